#include <json-c/json.h>
#include <string.h>

#include "control/od.h"

static const char *od_get_text(struct json_object *o, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(o, key, &value);
	return json_object_is_type(value, json_type_string)
		       ? json_object_get_string(value)
		       : "";
}

static uint64_t od_get_number(struct json_object *o, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(o, key, &value);
	return json_object_get_uint64(value);
}

static void od_decode_models(struct json_object *list, struct od_models *out)
{
	size_t count = json_object_is_type(list, json_type_array)
			       ? json_object_array_length(list)
			       : 0;

	out->count = (uint32_t)MIN(count, OD_MAX_MODELS);
	for (uint32_t i = 0; i < out->count; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		struct od_model *m = &out->items[i];

		g_strlcpy(m->model, od_get_text(o, "model"), sizeof(m->model));
		g_strlcpy(m->version, od_get_text(o, "version"),
			  sizeof(m->version));
		g_strlcpy(m->adapter, od_get_text(o, "adapter"),
			  sizeof(m->adapter));
		m->is_ready = !strcmp(od_get_text(o, "state"), "ready");
	}
}

bool od_status_decode(const char *text, struct od_engine *engine)
{
	struct json_object *json = json_tokener_parse(text);
	struct json_object *models = NULL;
	bool is_status = json_object_is_type(json, json_type_object) &&
			 json_object_object_get_ex(json, "models", &models);

	if (is_status) {
		engine->incarnation = od_get_number(json, "incarnation");
		engine->fencing = od_get_number(json, "fencing");
		g_strlcpy(engine->role, od_get_text(json, "role"),
			  sizeof(engine->role));
		engine->is_leaving =
			!strcmp(od_get_text(json, "state"), "leaving");
		engine->is_checked =
			!strcmp(od_get_text(json, "orders"), "checked");
		od_decode_models(models, &engine->models);
	}
	json_object_put(json);
	return is_status;
}

static struct json_object *od_encode_models(const struct od_models *models)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < models->count; i++) {
		const struct od_model *m = &models->items[i];
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "model",
				       json_object_new_string(m->model));
		json_object_object_add(o, "version",
				       json_object_new_string(m->version));
		json_object_object_add(o, "adapter",
				       json_object_new_string(m->adapter));
		json_object_array_add(list, o);
	}
	return list;
}

char *od_order_encode(const struct od_engine *engine,
		      const struct od_models *wanted, uint64_t fencing,
		      const char *order_id)
{
	struct json_object *json = json_object_new_object();
	struct json_object *state = json_object_new_object();
	char *text;

	json_object_object_add(state, "role",
			       json_object_new_string(engine->role));
	json_object_object_add(state, "models", od_encode_models(wanted));
	json_object_object_add(json, "fencing",
			       json_object_new_uint64(fencing));
	json_object_object_add(json, "order_id",
			       json_object_new_string(order_id));
	json_object_object_add(json, "wanted", state);
	text = g_strdup(
		json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}
