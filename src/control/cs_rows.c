#include "control/cs_rows.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#define CS_DELETED "{\"deleted\": true}"
/* Each entry host runs three processes: entry, index and control. */
#define CS_PROCESSES_PER_HOST 3

char *cs_object_key(const char *kind, const char *name)
{
	return g_strdup_printf(CS_PREFIX "%s/%s", kind, name);
}

char *cs_change_key(const char *change_id)
{
	return g_strdup_printf(CS_CHANGE "%s", change_id);
}

/* No object has a field "deleted", so the field identifies deleted rows. */
static bool cs_is_deleted(const char *value)
{
	struct json_object *json = json_tokener_parse(value);
	struct json_object *deleted = NULL;
	bool is_deleted = json_object_is_type(json, json_type_object) &&
			  json_object_object_get_ex(json, "deleted", &deleted);

	json_object_put(json);
	return is_deleted;
}

static void cs_add_row(struct cr_delta *delta, const struct pf_row *row)
{
	g_auto(GStrv) parts = g_strsplit(row->key + strlen(CS_PREFIX), "/", 2);
	struct cm_object object = { .revision = row->revision };

	if (g_strv_length(parts) != 2)
		return;
	object.kind = parts[0];
	object.name = parts[1];
	object.is_deleted = cs_is_deleted(row->value);
	object.json = object.is_deleted ? NULL : row->value;
	cr_delta_add(delta, &object);
}

struct cr_delta *cs_rows_to_delta(const struct pf_rows *rows,
				  uint64_t base_revision)
{
	struct cr_delta *delta = cr_delta_new(base_revision);
	bool has_head = false;

	for (uint32_t i = 0; i < rows->count; i++) {
		const struct pf_row *row = &rows->rows[i];

		if (strcmp(row->key, CS_HEAD)) {
			cs_add_row(delta, row);
			continue;
		}
		has_head = true;
		delta->revision = row->revision;
	}
	if (rows->count && !has_head) {
		cr_delta_free(delta);
		return NULL;
	}
	return delta;
}

const char *cs_find_head(const struct pf_rows *rows)
{
	for (uint32_t i = 0; i < rows->count; i++)
		if (!strcmp(rows->rows[i].key, CS_HEAD))
			return rows->rows[i].value;
	return NULL;
}

char *cs_head_append_change(const char *head, const char *change_id,
			    char *dropped, size_t dropped_bytes)
{
	struct json_object *json = head ? json_tokener_parse(head) : NULL;
	struct json_object *changes = NULL;
	char *text;

	*dropped = '\0';
	if (!json_object_is_type(json, json_type_object)) {
		json_object_put(json);
		json = json_object_new_object();
	}
	if (!json_object_object_get_ex(json, "changes", &changes) ||
	    !json_object_is_type(changes, json_type_array)) {
		changes = json_object_new_array();
		json_object_object_add(json, "changes", changes);
	}
	if (json_object_array_length(changes) >= CS_MAX_CHANGE_IDS) {
		g_strlcpy(dropped,
			  json_object_get_string(
				  json_object_array_get_idx(changes, 0)),
			  dropped_bytes);
		json_object_array_del_idx(changes, 0, 1);
	}
	json_object_array_add(changes, json_object_new_string(change_id));
	text = g_strdup(json_object_to_json_string(json));
	json_object_put(json);
	return text;
}

static void cs_add_member(struct mb_listing *listing,
			  const struct pf_host *host, enum mb_role role,
			  uint16_t http_port, uint16_t rpc_port)
{
	struct mb_member *m = &listing->members[listing->count++];

	m->role = role;
	m->ipv4 = host->ipv4;
	m->http_port = http_port;
	m->rpc_port = rpc_port;
	m->is_listed = true;
	m->is_listed_leaving = host->is_leaving;
	g_strlcpy(m->name, host->name, sizeof(m->name));
	g_strlcpy(m->service, host->service, sizeof(m->service));
	g_strlcpy(m->zone, host->zone, sizeof(m->zone));
	g_strlcpy(m->region, host->region, sizeof(m->region));
}

struct mb_listing *cs_hosts_to_listing(const struct pf_host *hosts,
				       uint32_t count)
{
	struct mb_listing *listing =
		g_malloc0(sizeof(*listing) + sizeof(struct mb_member) *
						     CS_PROCESSES_PER_HOST *
						     (size_t)count);

	for (uint32_t i = 0; i < count; i++) {
		const struct pf_host *h = &hosts[i];

		if (h->kind == PF_HOST_ENGINE) {
			cs_add_member(listing, h, MB_ENGINE, h->port, 0);
			continue;
		}
		if (h->kind == PF_HOST_SERVICE) {
			cs_add_member(listing, h, MB_SERVICE, h->port, 0);
			continue;
		}
		cs_add_member(listing, h, MB_ENTRY, h->entry_http_port,
			      h->entry_rpc_port);
		cs_add_member(listing, h, MB_INDEX, 0, h->index_rpc_port);
		cs_add_member(listing, h, MB_CONTROL, 0, h->control_rpc_port);
	}
	return listing;
}
