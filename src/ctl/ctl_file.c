#include "ctl/ctl_file.h"

#include <json-c/json.h>
#include <string.h>

#define CTL_MAX_DEPTH 16

static void ctl_object_clear(void *p)
{
	bp_object *o = p;

	g_free(o->kind);
	g_free(o->name);
	g_free(o->json);
}

GArray *ctl_objects_new(void)
{
	GArray *objects = g_array_new(false, true, sizeof(bp_object));

	g_array_set_clear_func(objects, ctl_object_clear);
	return objects;
}

void ctl_objects_add(GArray *objects, const char *kind, const char *name,
		     const char *json)
{
	bp_object o = { .kind = g_strdup(kind),
			.name = g_strdup(name),
			.deleted = json == NULL,
			.json = g_strdup(json ? json : "") };

	g_array_append_val(objects, o);
}

static void ctl_check_name(const char *kind, const char *name,
			   struct fd_list *findings)
{
	g_autofree char *place = g_strdup_printf("/%s/%s", kind, name);

	if (strlen(kind) > BP_NAME_BYTES || strlen(name) > BP_NAME_BYTES)
		fd_add(findings, place, "the name is longer than %d bytes",
		       BP_NAME_BYTES);
}

static void ctl_read_kind(GArray *objects, const char *kind,
			  struct json_object *names, struct fd_list *findings)
{
	g_autofree char *place = g_strdup_printf("/%s", kind);

	if (!json_object_is_type(names, json_type_object)) {
		fd_add(findings, place, "is not an object of names");
		return;
	}
	json_object_object_foreach(names, name, value)
	{
		ctl_check_name(kind, name, findings);
		ctl_objects_add(objects, kind, name,
				value ? json_object_to_json_string(value)
				      : NULL);
	}
}

GArray *ctl_file_parse(const char *text, struct fd_list *findings)
{
	struct json_tokener *tokener = json_tokener_new_ex(CTL_MAX_DEPTH);
	struct json_object *json =
		json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
	GArray *objects = ctl_objects_new();

	if (!json_object_is_type(json, json_type_object)) {
		fd_add(findings, "/", "is not a JSON object: %s",
		       json_tokener_error_desc(
			       json_tokener_get_error(tokener)));
	} else {
		json_object_object_foreach(json, kind, names)
			ctl_read_kind(objects, kind, names, findings);
	}
	json_object_put(json);
	json_tokener_free(tokener);
	if (!findings->count)
		return objects;
	g_array_unref(objects);
	return NULL;
}
