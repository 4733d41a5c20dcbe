#include "catalog/ca.h"

#include <string.h>

static void ca_route_free(void *data)
{
	struct ca_route *route = data;

	g_free(route->place);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void ca_service_free(void *data)
{
	struct ca_service *service = data;

	g_free(service->place);
	g_free(service->name);
	g_free(service->store_address);
	g_free(service->store_zone);
	g_free(service);
}

static void ca_team_free(void *data)
{
	struct ca_team *team = data;

	g_free(team->place);
	g_free(team->name);
	g_free(team);
}

static void ca_list_free(void *data)
{
	g_ptr_array_free(data, TRUE);
}

struct ca_catalog *ca_catalog_new(uint64_t version)
{
	struct ca_catalog *c = g_new0(struct ca_catalog, 1);

	c->version = version;
	c->_references = 1;
	c->_routes = g_ptr_array_new_with_free_func(ca_route_free);
	c->_services = g_ptr_array_new_with_free_func(ca_service_free);
	c->_teams = g_ptr_array_new_with_free_func(ca_team_free);
	c->_services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->_teams_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->_routes_by_host = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, ca_list_free);
	return c;
}

struct ca_catalog *ca_catalog_ref(struct ca_catalog *c)
{
	c->_references++;
	return c;
}

void ca_catalog_unref(struct ca_catalog *c)
{
	if (!c || --c->_references)
		return;
	g_hash_table_destroy(c->_routes_by_host);
	g_hash_table_destroy(c->_teams_by_key);
	g_hash_table_destroy(c->_services_by_name);
	g_ptr_array_free(c->_routes, TRUE);
	g_ptr_array_free(c->_services, TRUE);
	g_ptr_array_free(c->_teams, TRUE);
	g_free(c);
}

bool ca_replaces(const struct ca_catalog *next,
		 const struct ca_catalog *current)
{
	return !current || next->version > current->version;
}

struct ca_route *ca_add_route(struct ca_catalog *c, const char *host,
			      const char *prefix)
{
	struct ca_route *route = g_new0(struct ca_route, 1);
	char *lower = g_ascii_strdown(host, -1);
	GPtrArray *list = g_hash_table_lookup(c->_routes_by_host, lower);

	route->place = g_strdup("");
	route->host = g_strdup(lower);
	route->prefix = g_strdup(prefix);
	route->max_sends = 1;
	g_ptr_array_add(c->_routes, route);
	if (list) {
		g_free(lower);
	} else {
		list = g_ptr_array_new();
		g_hash_table_insert(c->_routes_by_host, lower, list);
	}
	g_ptr_array_add(list, route);
	return route;
}

const struct ca_service *ca_find_service(const struct ca_catalog *c,
					 const char *name)
{
	return g_hash_table_lookup(c->_services_by_name, name);
}

struct ca_service *ca_add_service(struct ca_catalog *c, const char *name)
{
	struct ca_service *service =
		(struct ca_service *)ca_find_service(c, name);

	if (service)
		return service;
	service = g_new0(struct ca_service, 1);
	service->place = g_strdup("");
	service->name = g_strdup(name);
	service->store_address = g_strdup("");
	service->store_zone = g_strdup("");
	g_ptr_array_add(c->_services, service);
	g_hash_table_insert(c->_services_by_name, service->name, service);
	return service;
}

bool ca_add_split(struct ca_route *route, const struct ca_service *service,
		  uint32_t weight)
{
	if (!weight)
		return true;
	if (route->split_count == CA_MAX_SPLITS)
		return false;
	route->splits[route->split_count].service = service;
	route->splits[route->split_count].weight = weight;
	route->split_count++;
	return true;
}

struct ca_team *ca_add_team(struct ca_catalog *c, const char *name)
{
	struct ca_team *team = g_new0(struct ca_team, 1);

	team->place = g_strdup("");
	team->name = g_strdup(name);
	team->priority = -1;
	g_ptr_array_add(c->_teams, team);
	c->has_teams = true;
	return team;
}

void ca_add_key(struct ca_catalog *c, struct ca_team *team, const char *key)
{
	g_hash_table_replace(c->_teams_by_key, g_strdup(key), team);
}

static int ca_compare_prefixes(const void *a, const void *b)
{
	const struct ca_route *left = *(struct ca_route *const *)a;
	const struct ca_route *right = *(struct ca_route *const *)b;
	size_t left_bytes = strlen(left->prefix);
	size_t right_bytes = strlen(right->prefix);

	return left_bytes < right_bytes ? 1 : left_bytes > right_bytes ? -1 : 0;
}

static void ca_set_loosest_targets(const struct ca_catalog *c)
{
	for (uint32_t i = 0; i < c->_routes->len; i++) {
		const struct ca_route *route = c->_routes->pdata[i];

		for (uint32_t j = 0; j < route->split_count; j++) {
			struct ca_service *service =
				(struct ca_service *)route->splits[j].service;

			service->loosest_target_ms = MAX(
				service->loosest_target_ms, route->target_ms);
		}
	}
}

void ca_catalog_seal(struct ca_catalog *c)
{
	GHashTableIter iter;
	void *list;

	ca_set_loosest_targets(c);
	g_hash_table_iter_init(&iter, c->_routes_by_host);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, ca_compare_prefixes);
}

const struct ca_route *ca_find_route(const struct ca_catalog *c,
				     const char *host, const char *target)
{
	size_t host_bytes = strcspn(host, ":");
	char *lower = g_ascii_strdown(host, host_bytes);
	GPtrArray *list = g_hash_table_lookup(c->_routes_by_host, lower);
	size_t path_bytes = strcspn(target, "?#");

	g_free(lower);
	for (uint32_t i = 0; list && i < list->len; i++) {
		const struct ca_route *route = list->pdata[i];
		size_t bytes = strlen(route->prefix);

		if (bytes <= path_bytes &&
		    !strncmp(route->prefix, target, bytes))
			return route;
	}
	return NULL;
}

const struct ca_team *ca_find_team(const struct ca_catalog *c, const char *key)
{
	return g_hash_table_lookup(c->_teams_by_key, key);
}

void ca_set_place(char **place, const char *text)
{
	g_free(*place);
	*place = g_strdup(text);
}

uint32_t ca_route_count(const struct ca_catalog *c)
{
	return c->_routes->len;
}

const struct ca_route *ca_route_at(const struct ca_catalog *c, uint32_t index)
{
	return index < c->_routes->len ? c->_routes->pdata[index] : NULL;
}

uint32_t ca_service_count(const struct ca_catalog *c)
{
	return c->_services->len;
}

const struct ca_service *ca_service_at(const struct ca_catalog *c,
				       uint32_t index)
{
	return index < c->_services->len ? c->_services->pdata[index] : NULL;
}

uint32_t ca_team_count(const struct ca_catalog *c)
{
	return c->_teams->len;
}

const struct ca_team *ca_team_at(const struct ca_catalog *c, uint32_t index)
{
	return index < c->_teams->len ? c->_teams->pdata[index] : NULL;
}

void ca_each_key(const struct ca_catalog *c, ca_key_fn fn, void *arg)
{
	GHashTableIter iter;
	void *key, *team;

	g_hash_table_iter_init(&iter, c->_teams_by_key);
	while (g_hash_table_iter_next(&iter, &key, &team))
		fn(arg, key, team);
}

const struct ca_service *ca_pick_service(const struct ca_route *route,
					 uint64_t hash)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < route->split_count; i++)
		sum += route->splits[i].weight;
	if (!sum)
		return NULL;
	hash %= sum;
	for (uint32_t i = 0; i < route->split_count; i++) {
		if (hash < route->splits[i].weight)
			return route->splits[i].service;
		hash -= route->splits[i].weight;
	}
	return NULL;
}

const struct ca_service *ca_find_store(const struct ca_catalog *c)
{
	for (uint32_t i = 0; i < c->_services->len; i++) {
		const struct ca_service *service = c->_services->pdata[i];

		if (service->store_address[0])
			return service;
	}
	return NULL;
}

const char *ca_kind_name(enum ca_kind kind)
{
	static const char *const names[] = { "idempotent", "at_most_once",
					     "stream" };

	return names[kind];
}
