#include "index/ix_decode.h"

#include <json-c/json.h>
#include <string.h>

#define IX_HEX_DIGITS	  16
#define IX_MAX_JSON_DEPTH 8
#define IX_STATE_LEAVING  "leaving"

static const struct {
	const char *name;
	enum ix_event_kind kind;
} ix_event_names[] = {
	{ "stored", IX_STORED },
	{ "removed", IX_REMOVED },
	{ "cleared", IX_CLEARED },
	{ "load", IX_LOAD },
};

static bool ix_decode_id(const char *id, struct ix_event *event)
{
	char incarnation[SE_ID_BYTES];
	const char *colon = strchr(id, ':');

	if (!colon || colon - id >= (ptrdiff_t)sizeof(incarnation))
		return false;
	g_strlcpy(incarnation, id, (gsize)(colon - id) + 1);
	return g_ascii_string_to_unsigned(incarnation, 10, 1, UINT64_MAX,
					  &event->incarnation, NULL) &&
	       g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT64_MAX,
					  &event->sequence, NULL);
}

static bool ix_decode_blocks(struct json_object *object, GArray *blocks)
{
	struct json_object *list;

	g_array_set_size(blocks, 0);
	if (!json_object_object_get_ex(object, "blocks", &list) ||
	    !json_object_is_type(list, json_type_array))
		return false;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		const char *text = json_object_get_string(item);
		uint64_t block;

		if (!json_object_is_type(item, json_type_string) ||
		    strlen(text) != IX_HEX_DIGITS ||
		    !g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &block,
						NULL))
			return false;
		g_array_append_val(blocks, block);
	}
	return true;
}

/* Clamps to 32 bits; a missing, negative or non-numeric value yields 0. */
static uint32_t ix_decode_number(struct json_object *object, const char *name)
{
	struct json_object *value;
	double number;

	if (!json_object_object_get_ex(object, name, &value))
		return 0;
	number = json_object_get_double(value);
	return number > 0. ? (uint32_t)MIN(number, (double)UINT32_MAX) : 0;
}

static void ix_decode_load(struct json_object *object, struct ix_load *load)
{
	struct json_object *state;

	load->running = ix_decode_number(object, "running");
	load->waiting = ix_decode_number(object, "waiting");
	load->waiting_tokens = ix_decode_number(object, "waiting_tokens");
	load->prefill_tokens_per_s =
		ix_decode_number(object, "prefill_tokens_per_s");
	load->age_ms = ix_decode_number(object, "age_ms");
	load->is_leaving =
		json_object_object_get_ex(object, "state", &state) &&
		json_object_is_type(state, json_type_string) &&
		!strcmp(json_object_get_string(state), IX_STATE_LEAVING);
}

static struct json_object *ix_parse_json(const char *text, uint64_t bytes)
{
	struct json_tokener *tokener = json_tokener_new_ex(IX_MAX_JSON_DEPTH);
	struct json_object *object = NULL;

	if (bytes <= INT32_MAX)
		object = json_tokener_parse_ex(tokener, text, (int)bytes);
	if (json_tokener_get_error(tokener) != json_tokener_success ||
	    !json_object_is_type(object, json_type_object)) {
		json_object_put(object);
		object = NULL;
	}
	json_tokener_free(tokener);
	return object;
}

static enum ix_event_kind ix_kind_of(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ix_event_names); i++)
		if (!strcmp(ix_event_names[i].name, name))
			return ix_event_names[i].kind;
	return IX_OTHER;
}

bool ix_decode_event(const struct se_event *from, struct ix_event *event,
		     GArray *blocks)
{
	struct json_object *object;
	bool ok = true;

	*event = (struct ix_event){ .kind = ix_kind_of(from->type) };
	if (!ix_decode_id(from->id, event))
		return false;
	if (event->kind == IX_OTHER || event->kind == IX_CLEARED)
		return true;
	object = ix_parse_json(from->data, from->bytes);
	if (!object)
		return false;
	if (event->kind == IX_LOAD) {
		ix_decode_load(object, &event->load);
	} else {
		ok = ix_decode_blocks(object, blocks);
		event->blocks = (const uint64_t *)(const void *)blocks->data;
		event->block_count = blocks->len;
	}
	json_object_put(object);
	return ok;
}

bool ix_decode_snapshot(const char *text, uint64_t bytes, uint64_t *incarnation,
			uint64_t *sequence, GArray *blocks)
{
	struct json_object *object = ix_parse_json(text, bytes);
	struct json_object *inc;
	struct json_object *seq;
	bool ok;

	if (!object)
		return false;
	ok = json_object_object_get_ex(object, "incarnation", &inc) &&
	     json_object_object_get_ex(object, "seq", &seq) &&
	     ix_decode_blocks(object, blocks);
	if (ok) {
		*incarnation = json_object_get_uint64(inc);
		*sequence = json_object_get_uint64(seq);
	}
	json_object_put(object);
	return ok && *incarnation;
}
