#include "catalog/cv.h"

#include <stdio.h>
#include <string.h>

#include "http1/h1_server.h"
#include "limits/rb.h"

#define CV_PLACE_BYTES 128
/* Part of a host's memory that bodies and unsent answers may take. */
#define CV_CALLERS_SHARE 4

static const struct fd_rule cv_no_routes = {
	"no_routes", FD_WARNING, "add a route, or every request gets 404"
};
static const struct fd_rule cv_shadowed_route = {
	"shadowed_route", FD_WARNING,
	"remove one of the two routes, or change its prefix"
};
static const struct fd_rule cv_unreachable_route = {
	"unreachable_route", FD_WARNING,
	"give a host without port, and a prefix that starts with / and has "
	"no ? or #"
};
static const struct fd_rule cv_unknown_service = {
	"unknown_service", FD_WARNING,
	"add an entry for the service, or correct its name"
};
static const struct fd_rule cv_unused_service = {
	"unused_service", FD_WARNING,
	"name the service in a route, or remove the entry"
};
static const struct fd_rule cv_second_store = {
	"second_store", FD_WARNING, "keep one service with a store"
};
static const struct fd_rule cv_no_teams = {
	"no_teams", FD_NOTE, "add a team if callers must present a key"
};
static const struct fd_rule cv_team_without_key = {
	"team_without_key", FD_WARNING, "add a key, or remove the team"
};
static const struct fd_rule cv_team_twice = {
	"team_twice", FD_WARNING, "merge the entries, or rename one of them"
};
static const struct fd_rule cv_timeout_below_target = {
	"timeout_below_target", FD_WARNING,
	"raise the time limit, or lower the target"
};
static const struct fd_rule cv_gap_without_stream = {
	"gap_without_stream", FD_WARNING,
	"remove the member, or make it a route of streams"
};
static const struct fd_rule cv_resumable_without_stream = {
	"resumable_without_stream", FD_WARNING,
	"remove the member, or make it a route of streams"
};
static const struct fd_rule cv_resumable_one_send = {
	"resumable_one_send", FD_WARNING,
	"allow two upstreams or more, or don't declare it resumable"
};
static const struct fd_rule cv_too_many_sends = { "too_many_sends", FD_WARNING,
						  "lower the number" };
static const struct fd_rule cv_sends_at_most_once = {
	"sends_at_most_once", FD_NOTE,
	"set 1 if a request that one upstream refused must not go to another"
};
static const struct fd_rule cv_over_memory = {
	"over_memory", FD_WARNING, "lower the limit, or give hosts more memory"
};
static const struct fd_rule cv_idle_below_header = {
	"idle_below_header", FD_WARNING,
	"make the idle time at least as long as the time for a request"
};
static const struct fd_rule cv_version_not_newer = {
	"version_not_newer", FD_ERROR, "give a version above the one in force"
};
static const struct fd_rule cv_last_team_removed = {
	"last_team_removed", FD_WARNING,
	"keep a team, unless everyone may call without a key"
};

/** struct cv_checker - a check under way. */
struct cv_checker {
	const struct ca_catalog *catalog;
	const char *const *fields;
	const struct cv_host *host;
	struct fd_list *findings;
};

static void cv_place(char *place, const struct cv_checker *k, const char *entry,
		     enum ca_field field)
{
	snprintf(place, CV_PLACE_BYTES, "%s/%s", entry, k->fields[field]);
}

static char *cv_route_key(const struct ca_route *route)
{
	return g_strdup_printf("%s\n%s", route->host, route->prefix);
}

/* --- routes --- */

static void cv_check_reach(struct cv_checker *k, const struct ca_route *route,
			   GHashTable *first)
{
	char *key = cv_route_key(route);
	const struct ca_route *other = g_hash_table_lookup(first, key);

	if (other)
		fd_report(k->findings, route->place, &cv_shadowed_route,
			  "has the host and prefix of %s, which takes all of "
			  "its requests",
			  other->place);
	if (route->prefix[0] != '/' || strpbrk(route->prefix, "?#") ||
	    strchr(route->host, ':'))
		fd_report(k->findings, route->place, &cv_unreachable_route,
			  "no request matches, because hosts are compared "
			  "without port, and paths without query");
	if (other)
		g_free(key);
	else
		g_hash_table_insert(first, key, (void *)route);
}

static void cv_check_times(struct cv_checker *k, const struct ca_route *route)
{
	char place[CV_PLACE_BYTES];

	cv_place(place, k, route->place, CA_FIELD_TIMEOUT);
	if (route->timeout_ms && route->timeout_ms < route->target_ms)
		fd_report(k->findings, place, &cv_timeout_below_target,
			  "%" G_GINT64_FORMAT " ms is below the target of "
			  "%" G_GINT64_FORMAT " ms",
			  route->timeout_ms, route->target_ms);
	cv_place(place, k, route->place, CA_FIELD_GAP_TARGET);
	if (route->gap_target_ms && route->kind != CA_STREAM)
		fd_report(k->findings, place, &cv_gap_without_stream,
			  "has no effect, because the route does not stream");
}

static void cv_check_sends(struct cv_checker *k, const struct ca_route *route)
{
	bool is_stream = route->kind == CA_STREAM;
	bool can_repeat = route->kind == CA_IDEMPOTENT ||
			  (is_stream && route->is_resumable);
	char place[CV_PLACE_BYTES];

	cv_place(place, k, route->place, CA_FIELD_MAX_SENDS);
	if (route->max_sends > RB_MAX_ATTEMPTS)
		fd_report(k->findings, place, &cv_too_many_sends,
			  "%u is more than the %d upstreams that a request is "
			  "sent to at most",
			  route->max_sends, RB_MAX_ATTEMPTS);
	if (route->max_sends > 1 && !can_repeat)
		fd_report(k->findings, place, &cv_sends_at_most_once,
			  "requests run at most once: another upstream gets "
			  "one only if it has certainly not run");
	cv_place(place, k, route->place, CA_FIELD_RESUMABLE);
	if (route->is_resumable && !is_stream)
		fd_report(k->findings, place, &cv_resumable_without_stream,
			  "has no effect, because the route does not stream");
	if (route->is_resumable && is_stream && route->max_sends < 2)
		fd_report(k->findings, place, &cv_resumable_one_send,
			  "has no effect, because a request is sent to one "
			  "upstream only");
}

static void cv_check_route(struct cv_checker *k, const struct ca_route *route)
{
	cv_check_times(k, route);
	cv_check_sends(k, route);
	for (uint32_t i = 0; i < route->split_count; i++)
		if (!*route->splits[i].service->place)
			fd_report(k->findings, route->place,
				  &cv_unknown_service,
				  "the service %s has no entry: nothing is "
				  "known of its limits and engines",
				  route->splits[i].service->name);
}

static void cv_check_routes(struct cv_checker *k)
{
	GHashTable *first =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t count = ca_route_count(k->catalog);

	if (!count)
		fd_report(k->findings, "/", &cv_no_routes,
			  "there is no route that a host can use");
	for (uint32_t i = 0; i < count; i++) {
		const struct ca_route *route = ca_route_at(k->catalog, i);

		cv_check_reach(k, route, first);
		cv_check_route(k, route);
	}
	g_hash_table_destroy(first);
}

/* --- services --- */

static GHashTable *cv_used_services(const struct ca_catalog *c)
{
	GHashTable *used = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; i < ca_route_count(c); i++) {
		const struct ca_route *route = ca_route_at(c, i);

		for (uint32_t j = 0; j < route->split_count; j++)
			g_hash_table_add(used,
					 (void *)route->splits[j].service);
	}
	return used;
}

static void cv_check_services(struct cv_checker *k)
{
	const struct ca_service *store = ca_find_store(k->catalog);
	GHashTable *used = cv_used_services(k->catalog);

	for (uint32_t i = 0; i < ca_service_count(k->catalog); i++) {
		const struct ca_service *s = ca_service_at(k->catalog, i);

		if (!*s->place)
			continue;
		if (*s->store_address && s != store)
			fd_report(k->findings, s->place, &cv_second_store,
				  "is not used as store, because %s is one",
				  store->place);
		if (!*s->store_address && !g_hash_table_contains(used, s))
			fd_report(k->findings, s->place, &cv_unused_service,
				  "no route sends requests to the service %s",
				  s->name);
	}
	g_hash_table_destroy(used);
}

/* --- teams --- */

static void cv_mark_team(void *arg, const char *key, const struct ca_team *team)
{
	g_hash_table_add(arg, (void *)team);
}

static void cv_check_teams(struct cv_checker *k)
{
	GHashTable *with_key = g_hash_table_new(NULL, NULL);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	if (!k->catalog->has_teams)
		fd_report(k->findings, "/", &cv_no_teams,
			  "there is no team: every route accepts requests "
			  "without a key");
	ca_each_key(k->catalog, cv_mark_team, with_key);
	for (uint32_t i = 0; i < ca_team_count(k->catalog); i++) {
		const struct ca_team *team = ca_team_at(k->catalog, i);
		const struct ca_team *other =
			g_hash_table_lookup(names, team->name);

		if (!g_hash_table_contains(with_key, team))
			fd_report(k->findings, team->place,
				  &cv_team_without_key,
				  "no key belongs to the team %s", team->name);
		if (other)
			fd_report(k->findings, team->place, &cv_team_twice,
				  "has the name of %s", other->place);
		else
			g_hash_table_insert(names, team->name, (void *)team);
	}
	g_hash_table_destroy(names);
	g_hash_table_destroy(with_key);
}

/* --- limits --- */

static void cv_check_bytes(struct cv_checker *k, enum ca_field field,
			   uint64_t bytes)
{
	uint64_t room = (k->host->memory_mb << 20) / CV_CALLERS_SHARE;
	char place[CV_PLACE_BYTES];

	if (!room || bytes <= room)
		return;
	cv_place(place, k, "/limits", field);
	fd_report(k->findings, place, &cv_over_memory,
		  "a host with %" G_GUINT64_FORMAT " MB of memory has room for "
		  "%" G_GUINT64_FORMAT " bytes of all callers together",
		  k->host->memory_mb, room);
}

static int64_t cv_or(int64_t value, int64_t fallback)
{
	return value ? value : fallback;
}

static void cv_check_limits(struct cv_checker *k)
{
	const struct ca_limits *limits = &k->catalog->limits;
	int64_t idle_ms =
		cv_or(limits->idle_timeout_ms, H1_DEFAULT_IDLE_TIMEOUT_MS);
	int64_t header_ms =
		cv_or(limits->header_timeout_ms, H1_DEFAULT_HEADER_TIMEOUT_MS);
	char place[CV_PLACE_BYTES];

	cv_check_bytes(k, CA_FIELD_HEADER_BYTES, limits->max_header_bytes);
	cv_check_bytes(k, CA_FIELD_BODY_BYTES, limits->max_body_bytes);
	if (idle_ms >= header_ms)
		return;
	cv_place(place, k, "/limits", CA_FIELD_IDLE_TIMEOUT);
	fd_report(k->findings, place, &cv_idle_below_header,
		  "%" G_GINT64_FORMAT " ms is below the time for a request, "
		  "%" G_GINT64_FORMAT " ms",
		  idle_ms, header_ms);
}

void cv_check(const struct ca_catalog *c, const char *const *fields,
	      const struct cv_host *host, struct fd_list *findings)
{
	struct cv_checker k = { c, fields, host, findings };

	cv_check_routes(&k);
	cv_check_services(&k);
	cv_check_teams(&k);
	cv_check_limits(&k);
}

void cv_check_change(const struct ca_catalog *before,
		     const struct ca_catalog *after, struct fd_list *findings)
{
	if (!ca_replaces(after, before))
		fd_report(findings, "/version", &cv_version_not_newer,
			  "hosts that have version %" G_GUINT64_FORMAT
			  " in force ignore version %" G_GUINT64_FORMAT,
			  before->version, after->version);
	if (before->has_teams && !after->has_teams)
		fd_report(findings, "/", &cv_last_team_removed,
			  "without a team, every route accepts requests "
			  "without a key");
}
