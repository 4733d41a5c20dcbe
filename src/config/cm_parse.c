/*
 * Parses the JSON text of an object into its struct. A table for each kind
 * lists the allowed fields; any other field is a finding.
 */
#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "config/cm_entry.h"

#define CM_MAX_COUNT	  1000000
#define CM_MAX_TIMEOUT_MS 3600000

enum cm_field_type {
	CM_FIELD_END = 0,
	CM_FIELD_NAME,
	CM_FIELD_HASH,
	CM_FIELD_COUNT,
	CM_FIELD_MS,
	CM_FIELD_NAMES,
	CM_FIELD_OBJECTIVE,
	CM_FIELD_URGENCY
};

/*
 * struct cm_field - a field of an object.
 * @offset: offset in the parsed struct.
 * @lowest: minimum of a numeric field.
 */
struct cm_field {
	const char *name;
	enum cm_field_type type;
	size_t offset;
	bool is_required;
	int64_t lowest;
};

#define CM_FIELD(struct_, field_, name_, type_, required_, lowest_)            \
	{                                                                      \
		name_, type_, offsetof(struct struct_, field_), required_,     \
			lowest_                                                \
	}

static const struct cm_field cm_team_fields[] = {
	CM_FIELD(cm_team, key_hash, "key_sha256", CM_FIELD_HASH, true, 0),
	CM_FIELD(cm_team, weight, "weight", CM_FIELD_COUNT, false, 1),
	CM_FIELD(cm_team, max_running, "max_running", CM_FIELD_COUNT, false, 0),
	CM_FIELD(cm_team, max_waiting, "max_waiting", CM_FIELD_COUNT, false, 0),
	CM_FIELD(cm_team, models, "models", CM_FIELD_NAMES, false, 0),
	CM_FIELD(cm_team, services, "services", CM_FIELD_NAMES, false, 0),
	{ 0 }
};

static const struct cm_field cm_model_fields[] = {
	CM_FIELD(cm_model, version, "version", CM_FIELD_NAME, true, 0),
	CM_FIELD(cm_model, serving, "serving", CM_FIELD_NAME, false, 0),
	CM_FIELD(cm_model, adapter, "adapter", CM_FIELD_NAME, false, 0),
	CM_FIELD(cm_model, engines, "engines", CM_FIELD_NAMES, false, 0),
	CM_FIELD(cm_model, max_loading, "max_loading", CM_FIELD_COUNT, false,
		 1),
	CM_FIELD(cm_model, min_ready, "min_ready", CM_FIELD_COUNT, false, 0),
	{ 0 }
};

static const struct cm_field cm_route_fields[] = {
	CM_FIELD(cm_route, model, "model", CM_FIELD_NAME, true, 0),
	CM_FIELD(cm_route, team, "team", CM_FIELD_NAME, false, 0),
	CM_FIELD(cm_route, objective, "objective", CM_FIELD_OBJECTIVE, false,
		 0),
	CM_FIELD(cm_route, urgency, "urgency", CM_FIELD_URGENCY, false, 0),
	{ 0 }
};

static const struct cm_field cm_service_fields[] = {
	CM_FIELD(cm_service, idempotent_methods, "idempotent_methods",
		 CM_FIELD_NAMES, false, 0),
	CM_FIELD(cm_service, timeout_ms, "timeout_ms", CM_FIELD_MS, false, 1),
	{ 0 }
};

static const char *const cm_objectives[] = { "first_token", "reuse", NULL };
static const char *const cm_urgencies[] = { "auto", "urgent", "normal",
					    "deferrable", NULL };

static void cm_parse_name(struct json_object *value, char *out,
			  const char *place, struct fd_list *findings)
{
	if (!json_object_is_type(value, json_type_string))
		fd_add(findings, place, "is not a string");
	else if (json_object_get_string_len(value) >= CM_NAME_BYTES)
		fd_add(findings, place, "is longer than %d bytes",
		       CM_NAME_BYTES - 1);
	else
		g_strlcpy(out, json_object_get_string(value), CM_NAME_BYTES);
}

static void cm_parse_hash(struct json_object *value, uint8_t *out,
			  const char *place, struct fd_list *findings)
{
	const char *text = json_object_get_string(value);
	size_t bytes = 0;

	if (!json_object_is_type(value, json_type_string) ||
	    strlen(text) != 2UL * CM_KEY_HASH_BYTES ||
	    sodium_hex2bin(out, CM_KEY_HASH_BYTES, text, strlen(text), NULL,
			   &bytes, NULL) ||
	    bytes != CM_KEY_HASH_BYTES)
		fd_add(findings, place,
		       "is not a SHA-256 hash of %d hex digits",
		       2 * CM_KEY_HASH_BYTES);
}

static int64_t cm_parse_number(struct json_object *value, int64_t lowest,
			       int64_t highest, const char *place,
			       struct fd_list *findings)
{
	int64_t number = json_object_get_int64(value);

	if (!json_object_is_type(value, json_type_int))
		fd_add(findings, place, "is not an integer");
	else if (number < lowest || number > highest)
		fd_add(findings, place,
		       "is outside the range %" PRId64 " to %" PRId64, lowest,
		       highest);
	return number;
}

static void cm_parse_names(struct json_object *value, struct cm_names *out,
			   const char *place, struct fd_list *findings)
{
	size_t count;

	if (!json_object_is_type(value, json_type_array)) {
		fd_add(findings, place, "is not a list of names");
		return;
	}
	count = json_object_array_length(value);
	if (count > CM_MAX_NAMES) {
		fd_add(findings, place, "has more than %d names", CM_MAX_NAMES);
		return;
	}
	out->names = g_malloc0_n(count, sizeof(*out->names));
	out->count = count;
	for (size_t i = 0; i < count; i++) {
		g_autofree char *item = g_strdup_printf("%s/%zu", place, i);

		cm_parse_name(json_object_array_get_idx(value, i),
			      out->names[i], item, findings);
	}
}

static uint32_t cm_parse_choice(struct json_object *value,
				const char *const *choices, const char *place,
				struct fd_list *findings)
{
	g_autofree char *listed = NULL;

	for (uint32_t i = 0; choices[i]; i++)
		if (json_object_is_type(value, json_type_string) &&
		    !strcmp(json_object_get_string(value), choices[i]))
			return i;
	listed = g_strjoinv(", ", (char **)choices);
	fd_add(findings, place, "is not one of %s", listed);
	return 0;
}

static void cm_parse_field(const struct cm_field *field,
			   struct json_object *value, void *out,
			   const char *place, struct fd_list *findings)
{
	void *at = (char *)out + field->offset;

	switch (field->type) {
	case CM_FIELD_NAME:
		cm_parse_name(value, at, place, findings);
		break;
	case CM_FIELD_HASH:
		cm_parse_hash(value, at, place, findings);
		break;
	case CM_FIELD_COUNT:
		*(uint32_t *)at = cm_parse_number(
			value, field->lowest, CM_MAX_COUNT, place, findings);
		break;
	case CM_FIELD_MS:
		*(int64_t *)at =
			cm_parse_number(value, field->lowest, CM_MAX_TIMEOUT_MS,
					place, findings);
		break;
	case CM_FIELD_NAMES:
		cm_parse_names(value, at, place, findings);
		break;
	case CM_FIELD_OBJECTIVE:
		*(enum cm_objective *)at =
			cm_parse_choice(value, cm_objectives, place, findings);
		break;
	case CM_FIELD_URGENCY:
		*(enum cm_urgency *)at =
			cm_parse_choice(value, cm_urgencies, place, findings);
		break;
	case CM_FIELD_END:
		break;
	}
}

static const struct cm_field *cm_field_find(const struct cm_field *fields,
					    const char *name)
{
	for (; fields->name; fields++)
		if (!strcmp(fields->name, name))
			return fields;
	return NULL;
}

static void cm_parse_fields(const struct cm_entry *entry,
			    const struct cm_field *fields,
			    struct json_object *json, void *out,
			    struct fd_list *findings)
{
	json_object_object_foreach(json, key, value)
	{
		const struct cm_field *field = cm_field_find(fields, key);
		g_autofree char *place =
			g_strdup_printf("/%s/%s/%s", entry->object.kind,
					entry->object.name, key);

		if (field)
			cm_parse_field(field, value, out, place, findings);
		else
			fd_add(findings, place, "is not a known field of a %s",
			       entry->object.kind);
	}
	for (const struct cm_field *f = fields; f->name; f++) {
		g_autofree char *place =
			g_strdup_printf("/%s/%s/%s", entry->object.kind,
					entry->object.name, f->name);

		if (f->is_required &&
		    !json_object_object_get_ex(json, f->name, NULL))
			fd_add(findings, place, "is required");
	}
}

static void cm_parse_team(struct cm_entry *entry, struct json_object *json,
			  struct fd_list *findings)
{
	struct cm_team *team = &entry->team;

	g_strlcpy(team->name, entry->object.name, sizeof(team->name));
	team->id = XXH3_64bits(team->name, strlen(team->name));
	team->weight = 1;
	team->max_running = CM_DEFAULT_MAX_RUNNING;
	team->max_waiting = CM_DEFAULT_MAX_WAITING;
	cm_parse_fields(entry, cm_team_fields, json, team, findings);
}

static void cm_parse_model(struct cm_entry *entry, struct json_object *json,
			   struct fd_list *findings)
{
	struct cm_model *model = &entry->model;

	g_strlcpy(model->name, entry->object.name, sizeof(model->name));
	model->max_loading = 2;
	model->min_ready = 1;
	cm_parse_fields(entry, cm_model_fields, json, model, findings);
	if (!*model->serving)
		g_strlcpy(model->serving, model->version,
			  sizeof(model->serving));
	if (!*model->version &&
	    json_object_object_get_ex(json, "version", NULL)) {
		g_autofree char *place =
			g_strdup_printf("/model/%s/version", model->name);

		fd_add(findings, place, "is empty");
	}
}

static void cm_parse_route(struct cm_entry *entry, struct json_object *json,
			   struct fd_list *findings)
{
	struct cm_route *route = &entry->route;

	g_strlcpy(route->name, entry->object.name, sizeof(route->name));
	cm_parse_fields(entry, cm_route_fields, json, route, findings);
}

static void cm_parse_service(struct cm_entry *entry, struct json_object *json,
			     struct fd_list *findings)
{
	struct cm_service *service = &entry->service;

	g_strlcpy(service->name, entry->object.name, sizeof(service->name));
	service->timeout_ms = CM_DEFAULT_SERVICE_TIMEOUT_MS;
	cm_parse_fields(entry, cm_service_fields, json, service, findings);
}

static struct json_object *cm_read_json(const struct cm_entry *entry,
					struct fd_list *findings)
{
	const char *text = entry->object.json ? entry->object.json : "";
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *json;
	g_autofree char *place = g_strdup_printf("/%s/%s", entry->object.kind,
						 entry->object.name);

	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
	json = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
	if (!json || !json_object_is_type(json, json_type_object)) {
		fd_add(findings, place, "is not a valid JSON object: %s",
		       json ? "value has another type"
			    : json_tokener_error_desc(
				      json_tokener_get_error(tokener)));
		json_object_put(json);
		json = NULL;
	}
	json_tokener_free(tokener);
	return json;
}

void cm_parse_body(struct cm_entry *entry, struct fd_list *findings)
{
	static void (*const parsers[CM_KIND_COUNT])(
		struct cm_entry *, struct json_object *, struct fd_list *) = {
		[CM_TEAM] = cm_parse_team,
		[CM_MODEL] = cm_parse_model,
		[CM_ROUTE] = cm_parse_route,
		[CM_SERVICE] = cm_parse_service,
	};
	struct json_object *json = cm_read_json(entry, findings);

	if (!json)
		return;
	parsers[entry->kind](entry, json, findings);
	json_object_put(json);
}
