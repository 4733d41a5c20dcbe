#include "config/cm_entry.h"

#include <string.h>

static const char *const cm_kind_names[CM_KIND_COUNT] = {
	[CM_TEAM] = "team",
	[CM_MODEL] = "model",
	[CM_ROUTE] = "route",
	[CM_SERVICE] = "service",
};

const char *cm_kind_name(enum cm_kind kind)
{
	return kind < CM_KIND_COUNT ? cm_kind_names[kind] : "unknown";
}

static enum cm_kind cm_kind_find(const char *name)
{
	for (uint32_t i = 0; i < CM_KIND_COUNT; i++)
		if (!strcmp(cm_kind_names[i], name))
			return i;
	return CM_KIND_COUNT;
}

/* Names are used in keys of the table service and in URLs. */
static bool cm_is_name(const char *name)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._:-";
	size_t length = strlen(name);

	return length && length < CM_NAME_BYTES &&
	       strspn(name, allowed) == length;
}

static void cm_check_identity(const struct cm_object *object,
			      struct fd_list *findings)
{
	g_autofree char *place =
		g_strdup_printf("/%s/%s", object->kind, object->name);

	if (cm_kind_find(object->kind) == CM_KIND_COUNT)
		fd_add(findings, place, "unknown object kind '%s'",
		       object->kind);
	if (!cm_is_name(object->name))
		fd_add(findings, place,
		       "name must have 1 to %d characters: letters, digits or .:_-",
		       CM_NAME_BYTES - 1);
}

struct cm_entry *cm_entry_new(const struct cm_object *object,
			      struct fd_list *findings)
{
	uint32_t before = findings->count + findings->left_out;
	struct cm_entry *entry;

	cm_check_identity(object, findings);
	if (findings->count + findings->left_out != before)
		return NULL;
	entry = g_new0(struct cm_entry, 1);
	entry->object = *object;
	entry->object.kind = g_strdup(object->kind);
	entry->object.name = g_strdup(object->name);
	entry->object.json = object->is_deleted ? NULL : g_strdup(object->json);
	entry->kind = cm_kind_find(object->kind);
	if (!object->is_deleted)
		cm_parse_body(entry, findings);
	if (findings->count + findings->left_out != before) {
		cm_entry_free(entry);
		return NULL;
	}
	return entry;
}

static void cm_free_body(struct cm_entry *entry)
{
	switch (entry->kind) {
	case CM_TEAM:
		g_free(entry->team.models.names);
		g_free(entry->team.services.names);
		break;
	case CM_MODEL:
		g_free(entry->model.engines.names);
		break;
	case CM_SERVICE:
		g_free(entry->service.idempotent_methods.names);
		break;
	default:
		break;
	}
}

void cm_entry_free(void *p)
{
	struct cm_entry *entry = p;

	if (!entry)
		return;
	cm_free_body(entry);
	g_free((char *)entry->object.kind);
	g_free((char *)entry->object.name);
	g_free((char *)entry->object.json);
	g_free(entry);
}
