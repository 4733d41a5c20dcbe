#include "upstream/up_body.h"

#include <glib.h>
#include <string.h>

#include "upstream/up.h"

static char *up_body_text(struct json_object *json)
{
	return g_strdup(json_object_to_json_string_ext(
		json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
}

static void up_body_request_usage(struct json_object *request)
{
	struct json_object *options;

	if (!json_object_object_get_ex(request, "stream_options", &options) ||
	    !json_object_is_type(options, json_type_object)) {
		options = json_object_new_object();
		json_object_object_add(request, "stream_options", options);
	}
	json_object_object_add(options, "include_usage",
			       json_object_new_boolean(true));
}

char *up_body_make(struct json_object *request, int32_t priority)
{
	struct json_object *stream = NULL;

	json_object_object_add(request, "priority",
			       json_object_new_int(priority));
	json_object_object_del(request, "continue_from");
	json_object_object_get_ex(request, "stream", &stream);
	if (json_object_get_boolean(stream))
		up_body_request_usage(request);
	else
		json_object_object_del(request, "stream_options");
	return up_body_text(request);
}

/* Returns false if no tokens are left. */
static bool up_body_reduce_limit(struct json_object *json, const char *key,
				 uint32_t tokens)
{
	struct json_object *limit;
	int64_t left;

	if (!json_object_object_get_ex(json, key, &limit) || !limit)
		return true;
	left = json_object_get_int64(limit) - (int64_t)tokens;
	json_object_object_add(json, key, json_object_new_int64(left));
	return left > 0;
}

char *up_body_continue(const char *body, const char *text, uint32_t tokens)
{
	struct json_object *json = up_parse_json(body, strlen(body));
	struct json_object *from;
	char *out = NULL;

	if (!json)
		return NULL;
	from = json_object_new_object();
	json_object_object_add(from, "text", json_object_new_string(text));
	json_object_object_add(json, "continue_from", from);
	if (up_body_reduce_limit(json, "max_tokens", tokens) &&
	    up_body_reduce_limit(json, "max_completion_tokens", tokens))
		out = up_body_text(json);
	json_object_put(json);
	return out;
}
