#include "config/cm.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "config/cm_check.h"
#include "config/cm_entry.h"

/* The hash table index leaks no key: it is derived from the key's hash. */
static guint cm_hash_key_hash(const void *hash)
{
	guint value;

	memcpy(&value, hash, sizeof(value));
	return value;
}

static gboolean cm_hash_equal(const void *a, const void *b)
{
	return sodium_memcmp(a, b, CM_KEY_HASH_BYTES) == 0;
}

void cm_init(struct cm_config *config)
{
	memset(config, 0, sizeof(*config));
	config->_objects = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, cm_entry_free);
	config->_teams_by_key =
		g_hash_table_new(cm_hash_key_hash, cm_hash_equal);
	config->_teams = g_hash_table_new(g_str_hash, g_str_equal);
	config->_models = g_hash_table_new(g_str_hash, g_str_equal);
	config->_routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->_services = g_hash_table_new(g_str_hash, g_str_equal);
}

void cm_finish(struct cm_config *config)
{
	g_hash_table_destroy(config->_teams_by_key);
	g_hash_table_destroy(config->_teams);
	g_hash_table_destroy(config->_models);
	g_hash_table_destroy(config->_routes);
	g_hash_table_destroy(config->_services);
	g_hash_table_destroy(config->_objects);
	memset(config, 0, sizeof(*config));
}

/* Parses a delta; objects not newer than those in force are skipped. */
static GHashTable *cm_stage(const struct cm_config *config,
			    const struct cm_delta *delta,
			    struct fd_list *findings)
{
	GHashTable *staged = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, cm_entry_free);

	for (uint32_t i = 0; i < delta->count; i++) {
		const struct cm_object *o = &delta->objects[i];
		const struct cm_object *old =
			cm_object_find(config, o->kind, o->name);
		struct cm_entry *entry;

		if (old && o->revision && old->revision >= o->revision)
			continue;
		entry = cm_entry_new(o, findings);
		if (entry)
			g_hash_table_replace(
				staged,
				g_strdup_printf("%s/%s", o->kind, o->name),
				entry);
	}
	return staged;
}

/* Returns the staged and validated change, or NULL with findings. */
static GHashTable *cm_stage_checked(const struct cm_config *config,
				    const struct cm_delta *delta,
				    struct fd_list *findings)
{
	uint32_t before = findings->count + findings->left_out;
	GHashTable *staged = cm_stage(config, delta, findings);

	cm_check_references(config->_objects, staged, findings);
	if (findings->count + findings->left_out == before)
		return staged;
	g_hash_table_destroy(staged);
	return NULL;
}

enum st_code cm_check(const struct cm_config *config,
		      const struct cm_delta *delta, struct fd_list *findings)
{
	GHashTable *staged = cm_stage_checked(config, delta, findings);

	if (!staged)
		return st_fail(ST_INVALID, "invalid configuration: %u findings",
			       findings->count + findings->left_out);
	g_hash_table_destroy(staged);
	return ST_OK;
}

static char *cm_route_key(const struct cm_route *route)
{
	return g_strdup_printf("%s/%s", route->team, route->model);
}

static void cm_unlink(struct cm_config *config, struct cm_entry *entry)
{
	g_autofree char *route_key = NULL;

	if (entry->object.is_deleted)
		return;
	switch (entry->kind) {
	case CM_TEAM:
		g_hash_table_remove(config->_teams_by_key,
				    entry->team.key_hash);
		g_hash_table_remove(config->_teams, entry->team.name);
		break;
	case CM_MODEL:
		g_hash_table_remove(config->_models, entry->model.name);
		break;
	case CM_ROUTE:
		route_key = cm_route_key(&entry->route);
		g_hash_table_remove(config->_routes, route_key);
		break;
	case CM_SERVICE:
		g_hash_table_remove(config->_services, entry->service.name);
		break;
	default:
		break;
	}
}

static void cm_link(struct cm_config *config, struct cm_entry *entry)
{
	if (entry->object.is_deleted)
		return;
	switch (entry->kind) {
	case CM_TEAM:
		g_hash_table_replace(config->_teams_by_key,
				     entry->team.key_hash, &entry->team);
		g_hash_table_replace(config->_teams, entry->team.name,
				     &entry->team);
		break;
	case CM_MODEL:
		g_hash_table_replace(config->_models, entry->model.name,
				     &entry->model);
		break;
	case CM_ROUTE:
		g_hash_table_replace(config->_routes,
				     cm_route_key(&entry->route),
				     &entry->route);
		break;
	case CM_SERVICE:
		g_hash_table_replace(config->_services, entry->service.name,
				     &entry->service);
		break;
	default:
		break;
	}
}

/*
 * Unlinks all old entries before linking new ones. In a single pass, a key or
 * route that moves between objects in one change could be unlinked after it
 * was linked to its new object.
 */
static void cm_commit(struct cm_config *config, GHashTable *staged)
{
	GHashTableIter iter;
	void *key;
	void *entry;

	g_hash_table_iter_init(&iter, staged);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cm_entry *old =
			g_hash_table_lookup(config->_objects, key);

		if (old)
			cm_unlink(config, old);
	}
	g_hash_table_iter_init(&iter, staged);
	while (g_hash_table_iter_next(&iter, &key, &entry)) {
		g_hash_table_iter_steal(&iter);
		cm_link(config, entry);
		g_hash_table_replace(config->_objects, key, entry);
	}
}

enum st_code cm_apply(struct cm_config *config, const struct cm_delta *delta,
		      struct fd_list *findings)
{
	GHashTable *staged;

	if (delta->revision <= config->revision)
		return st_fail(ST_STALE,
			       "revision %" PRIu64
			       " is not above revision %" PRIu64 " in force",
			       delta->revision, config->revision);
	staged = cm_stage_checked(config, delta, findings);
	if (!staged)
		return st_fail(ST_INVALID,
			       "configuration revision %" PRIu64 " is invalid",
			       delta->revision);
	cm_commit(config, staged);
	g_hash_table_destroy(staged);
	config->revision = delta->revision;
	return ST_OK;
}

static int cm_compare_objects(const void *a, const void *b)
{
	const struct cm_object *x = a;
	const struct cm_object *y = b;
	int by_kind = strcmp(x->kind, y->kind);

	return by_kind ? by_kind : strcmp(x->name, y->name);
}

void cm_changed_since(const struct cm_config *config, uint64_t revision,
		      GArray *out)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, config->_objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cm_entry *entry = value;

		if (entry->object.revision > revision)
			g_array_append_val(out, entry->object);
	}
	g_array_sort(out, cm_compare_objects);
}

const struct cm_object *cm_object_find(const struct cm_config *config,
				       const char *kind, const char *name)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	const struct cm_entry *entry =
		g_hash_table_lookup(config->_objects, key);

	return entry ? &entry->object : NULL;
}

const struct cm_team *cm_team_by_key(const struct cm_config *config,
				     const char *key)
{
	uint8_t hash[CM_KEY_HASH_BYTES];

	crypto_hash_sha256(hash, (const uint8_t *)key, strlen(key));
	return g_hash_table_lookup(config->_teams_by_key, hash);
}

const struct cm_team *cm_team(const struct cm_config *config, const char *name)
{
	return g_hash_table_lookup(config->_teams, name);
}

const struct cm_model *cm_model(const struct cm_config *config,
				const char *name)
{
	return g_hash_table_lookup(config->_models, name);
}

const struct cm_service *cm_service(const struct cm_config *config,
				    const char *name)
{
	return g_hash_table_lookup(config->_services, name);
}

const struct cm_route *cm_route(const struct cm_config *config,
				const char *team, const char *model)
{
	g_autofree char *team_key = g_strdup_printf("%s/%s", team, model);
	g_autofree char *general_key = g_strdup_printf("/%s", model);
	const struct cm_route *route =
		g_hash_table_lookup(config->_routes, team_key);

	return route ? route
		     : g_hash_table_lookup(config->_routes, general_key);
}

void cm_for_each_model(const struct cm_config *config,
		       void (*fn)(void *arg, const struct cm_model *model),
		       void *arg)
{
	GList *names = g_list_sort(g_hash_table_get_keys(config->_models),
				   (GCompareFunc)strcmp);

	for (GList *l = names; l; l = l->next)
		fn(arg, g_hash_table_lookup(config->_models, l->data));
	g_list_free(names);
}

bool cm_names_has(const struct cm_names *names, const char *name)
{
	if (!names->count)
		return true;
	for (uint32_t i = 0; i < names->count; i++)
		if (!strcmp(names->names[i], name))
			return true;
	return false;
}
