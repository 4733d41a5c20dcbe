#include "config/cm_check.h"

#include <string.h>

/*
 * struct cm_view - objects in force, overridden by a staged change.
 * @teams_by_key: from the hash of a team's key to the team's name.
 * @routes_by_key: from "TEAM/MODEL" to the route's name.
 */
struct cm_view {
	GHashTable *objects;
	GHashTable *staged;
	GHashTable *teams_by_key;
	GHashTable *routes_by_key;
	struct fd_list *findings;
};

static bool cm_exists(const struct cm_view *view, enum cm_kind kind,
		      const char *name)
{
	g_autofree char *key =
		g_strdup_printf("%s/%s", cm_kind_name(kind), name);
	const struct cm_entry *entry = g_hash_table_lookup(view->staged, key);

	if (!entry)
		entry = g_hash_table_lookup(view->objects, key);
	return entry && !entry->object.is_deleted;
}

static void cm_check_name(const struct cm_view *view,
			  const struct cm_entry *from, const char *field,
			  enum cm_kind kind, const char *name)
{
	g_autofree char *place = NULL;

	if (!*name || cm_exists(view, kind, name))
		return;
	place = g_strdup_printf("/%s/%s/%s", from->object.kind,
				from->object.name, field);
	fd_add(view->findings, place, "refers to unknown %s '%s'",
	       cm_kind_name(kind), name);
}

static void cm_check_names(const struct cm_view *view,
			   const struct cm_entry *from, const char *field,
			   enum cm_kind kind, const struct cm_names *names)
{
	for (uint32_t i = 0; i < names->count; i++)
		cm_check_name(view, from, field, kind, names->names[i]);
}

/* Keys are unique among teams; the order of checks does not matter. */
static void cm_check_team_key(struct cm_view *view,
			      const struct cm_entry *entry)
{
	GBytes *hash = g_bytes_new(entry->team.key_hash, CM_KEY_HASH_BYTES);
	const char *other = g_hash_table_lookup(view->teams_by_key, hash);
	g_autofree char *place = NULL;

	if (!other) {
		g_hash_table_insert(view->teams_by_key, hash,
				    (char *)entry->team.name);
		return;
	}
	place = g_strdup_printf("/team/%s/key_sha256", entry->team.name);
	fd_add(view->findings, place, "is also the key of team '%s'", other);
	g_bytes_unref(hash);
}

static void cm_check_route_key(struct cm_view *view,
			       const struct cm_entry *entry)
{
	char *key =
		g_strdup_printf("%s/%s", entry->route.team, entry->route.model);
	const char *other = g_hash_table_lookup(view->routes_by_key, key);
	g_autofree char *place = NULL;

	if (!other) {
		g_hash_table_insert(view->routes_by_key, key,
				    (char *)entry->route.name);
		return;
	}
	g_free(key);
	place = g_strdup_printf("/route/%s", entry->route.name);
	fd_add(view->findings, place,
	       "has the same team and model as route '%s'", other);
}

static void cm_check_entry(struct cm_view *view, const struct cm_entry *entry)
{
	if (entry->object.is_deleted)
		return;
	switch (entry->kind) {
	case CM_TEAM:
		cm_check_names(view, entry, "models", CM_MODEL,
			       &entry->team.models);
		cm_check_names(view, entry, "services", CM_SERVICE,
			       &entry->team.services);
		cm_check_team_key(view, entry);
		break;
	case CM_ROUTE:
		cm_check_name(view, entry, "model", CM_MODEL,
			      entry->route.model);
		cm_check_name(view, entry, "team", CM_TEAM, entry->route.team);
		cm_check_route_key(view, entry);
		break;
	default:
		break;
	}
}

static void cm_check_all(struct cm_view *view)
{
	GHashTableIter iter;
	void *key;
	void *entry;

	g_hash_table_iter_init(&iter, view->objects);
	while (g_hash_table_iter_next(&iter, &key, &entry))
		if (!g_hash_table_contains(view->staged, key))
			cm_check_entry(view, entry);
	g_hash_table_iter_init(&iter, view->staged);
	while (g_hash_table_iter_next(&iter, &key, &entry))
		cm_check_entry(view, entry);
}

void cm_check_references(GHashTable *objects, GHashTable *staged,
			 struct fd_list *findings)
{
	struct cm_view view = { .objects = objects,
				.staged = staged,
				.findings = findings };

	view.teams_by_key =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, NULL);
	view.routes_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cm_check_all(&view);
	g_hash_table_destroy(view.teams_by_key);
	g_hash_table_destroy(view.routes_by_key);
}
