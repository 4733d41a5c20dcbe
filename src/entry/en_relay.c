#include "entry/en_relay.h"

#include <string.h>

void en_relay_init(struct en_relay *relay, const struct en_request *request)
{
	memset(relay, 0, sizeof(*relay));
	relay->text = g_string_new(NULL);
	relay->is_continuable = true;
	relay->_kind = request->kind;
	relay->_wants_usage = request->wants_usage || !request->is_stream;
	g_snprintf(relay->_id, sizeof(relay->_id), "%s-%s",
		   request->kind == EN_CHAT ? "chatcmpl" : "cmpl",
		   request->request_id);
	g_strlcpy(relay->_model, request->name, sizeof(relay->_model));
}

void en_relay_finish(struct en_relay *relay)
{
	if (relay->text)
		g_string_free(relay->text, TRUE);
	memset(relay, 0, sizeof(*relay));
}

static uint32_t en_get_u32(struct json_object *json, const char *key)
{
	struct json_object *field;
	int64_t value;

	if (!json_object_object_get_ex(json, key, &field))
		return 0;
	value = json_object_get_int64(field);
	return (uint32_t)CLAMP(value, 0, INT32_MAX);
}

static void en_read_blocks(struct en_usage *usage, struct json_object *details)
{
	struct json_object *ids;
	size_t count;

	usage->block_tokens = en_get_u32(details, "block_tokens");
	usage->block_count = 0;
	if (!json_object_object_get_ex(details, "block_ids", &ids) ||
	    !json_object_is_type(ids, json_type_array))
		return;
	count = MIN(json_object_array_length(ids), BP_MAX_BLOCKS);
	for (size_t i = 0; i < count; i++) {
		struct json_object *id = json_object_array_get_idx(ids, i);
		guint64 block;

		if (!json_object_is_type(id, json_type_string) ||
		    !g_ascii_string_to_unsigned(json_object_get_string(id), 16,
						0, G_MAXUINT64, &block, NULL))
			return;
		usage->blocks[usage->block_count++] = block;
	}
}

static void en_read_usage(struct en_relay *relay, struct json_object *json)
{
	struct json_object *usage, *details;
	uint32_t tokens;

	if (!json_object_object_get_ex(json, "usage", &usage) ||
	    !json_object_is_type(usage, json_type_object))
		return;
	relay->usage.prompt_tokens = en_get_u32(usage, "prompt_tokens");
	if (json_object_object_get_ex(usage, "prompt_tokens_details",
				      &details)) {
		en_read_blocks(&relay->usage, details);
		json_object_object_del(details, "block_tokens");
		json_object_object_del(details, "block_ids");
	}
	if (!relay->_tokens_before)
		return;
	/* The answer also holds the tokens that earlier engines generated. */
	tokens = en_get_u32(usage, "completion_tokens") + relay->_tokens_before;
	json_object_object_add(usage, "completion_tokens",
			       json_object_new_int64(tokens));
	json_object_object_add(
		usage, "total_tokens",
		json_object_new_int64((int64_t)tokens +
				      relay->usage.prompt_tokens));
}

static bool en_is_set(struct json_object *json, const char *key)
{
	struct json_object *field;

	return json_object_object_get_ex(json, key, &field) && field;
}

/* Returns the text of a choice, "" if there is none. */
static const char *en_choice_text(struct en_relay *relay,
				  struct json_object *choice)
{
	struct json_object *delta = choice, *text;
	const char *key = "text";

	if (relay->_kind == EN_CHAT) {
		key = "content";
		if (!json_object_object_get_ex(choice, "delta", &delta))
			return "";
	}
	if (en_is_set(delta, "tool_calls") || en_is_set(choice, "logprobs"))
		relay->is_continuable = false;
	if (!json_object_object_get_ex(delta, key, &text) || !text)
		return "";
	return json_object_get_string(text);
}

/* Returns whether the choice holds something new for the caller. */
static bool en_read_choice(struct en_relay *relay, struct json_object *choice)
{
	const char *text = en_choice_text(relay, choice);
	bool is_end = en_is_set(choice, "finish_reason");

	if (en_get_u32(choice, "index"))
		relay->is_continuable = false;
	if (is_end)
		relay->has_text_end = true;
	if (*text) {
		g_string_append(relay->text, text);
		relay->tokens++;
		relay->has_token = true;
	}
	/* An engine that continues the answer starts with an empty text. */
	return *text || is_end || !relay->_is_continued ||
	       !relay->is_continuable;
}

static bool en_read_choices(struct en_relay *relay, struct json_object *event)
{
	struct json_object *choices;
	bool has_new_content = false;

	if (!json_object_object_get_ex(event, "choices", &choices) ||
	    !json_object_is_type(choices, json_type_array))
		return false;
	for (size_t i = 0; i < json_object_array_length(choices); i++)
		if (en_read_choice(relay,
				   json_object_array_get_idx(choices, i)))
			has_new_content = true;
	return has_new_content;
}

static void en_append_json(struct json_object *json, GString *out)
{
	g_string_append(out,
			json_object_to_json_string_ext(
				json, JSON_C_TO_STRING_PLAIN |
					      JSON_C_TO_STRING_NOSLASHESCAPE));
}

void en_relay_event(struct en_relay *relay, struct json_object *event,
		    GString *out)
{
	bool has_new_content = en_read_choices(relay, event);

	en_read_usage(relay, event);
	if (!relay->_wants_usage)
		json_object_object_del(event, "usage");
	else if (en_is_set(event, "usage"))
		has_new_content = true;
	if (!has_new_content)
		return;
	json_object_object_add(event, "id", json_object_new_string(relay->_id));
	g_string_append(out, "data: ");
	en_append_json(event, out);
	g_string_append(out, "\n\n");
}

void en_relay_plain(struct en_relay *relay, struct json_object *answer,
		    GString *out)
{
	en_read_usage(relay, answer);
	json_object_object_add(answer, "id",
			       json_object_new_string(relay->_id));
	en_append_json(answer, out);
}

void en_relay_continue(struct en_relay *relay)
{
	relay->_is_continued = true;
	relay->_tokens_before = relay->tokens;
}

void en_relay_end_text(struct en_relay *relay, GString *out)
{
	struct json_object *event = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	struct json_object *choice = json_object_new_object();
	bool is_chat = relay->_kind == EN_CHAT;

	relay->has_text_end = true;
	json_object_object_add(choice, "index", json_object_new_int(0));
	if (is_chat)
		json_object_object_add(choice, "delta",
				       json_object_new_object());
	else
		json_object_object_add(choice, "text",
				       json_object_new_string(""));
	json_object_object_add(choice, "finish_reason",
			       json_object_new_string("length"));
	json_object_array_add(choices, choice);
	json_object_object_add(event, "id", json_object_new_string(relay->_id));
	json_object_object_add(
		event, "object",
		json_object_new_string(is_chat ? "chat.completion.chunk"
					       : "text_completion"));
	json_object_object_add(event, "model",
			       json_object_new_string(relay->_model));
	json_object_object_add(event, "choices", choices);
	g_string_append(out, "data: ");
	en_append_json(event, out);
	g_string_append(out, "\n\n");
	json_object_put(event);
}
