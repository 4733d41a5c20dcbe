#include "entry/en_ask.h"

#include <stdlib.h>
#include <string.h>

#include "upstream/up.h"

#define EN_BEARER "Bearer "

void en_request_free(void *ask_body)
{
	struct en_request *ask = ask_body;

	if (!ask)
		return;
	g_free(ask->path);
	g_strfreev(ask->headers);
	if (ask->body)
		g_string_free(ask->body, TRUE);
	json_object_put(ask->json);
	g_free(ask);
}

enum en_code en_authenticate(const struct cm_config *config,
			     const char *authorization,
			     const struct cm_team **team)
{
	if (!authorization ||
	    g_ascii_strncasecmp(authorization, EN_BEARER, strlen(EN_BEARER)))
		return EN_NO_KEY;
	*team = cm_team_by_key(config, authorization + strlen(EN_BEARER));
	return *team ? EN_OK : EN_BAD_KEY;
}

/* Printable ASCII without spaces, so that it can go into headers and keys. */
static bool en_is_token(const char *text, size_t max_bytes)
{
	size_t bytes = strlen(text);

	if (!bytes || bytes > max_bytes)
		return false;
	for (const char *c = text; *c; c++)
		if (!g_ascii_isgraph(*c))
			return false;
	return true;
}

static enum en_code en_ask_headers(struct en_request *ask,
				   const struct en_input *input,
				   const char **why)
{
	const char *id =
		input->request_id ? input->request_id : input->fallback_id;
	uint64_t deadline_ms = 0;

	if (!en_is_token(id, EN_ID_BYTES - 1)) {
		*why = "X-Request-Id is not 1 to 64 printable characters";
		return EN_BAD_HEADER;
	}
	g_strlcpy(ask->request_id, id, sizeof(ask->request_id));
	if (input->deadline_ms &&
	    !g_ascii_string_to_unsigned(input->deadline_ms, 10, 1,
					EN_MAX_DEADLINE_MS, &deadline_ms,
					NULL)) {
		*why = "X-Deadline-Ms is not a number of milliseconds";
		return EN_BAD_HEADER;
	}
	ask->deadline_ms = (int64_t)deadline_ms;
	if (!input->idempotency_key)
		return EN_OK;
	if (!en_is_token(input->idempotency_key, EN_KEY_BYTES - 1)) {
		*why = "Idempotency-Key is not 1 to 255 printable characters";
		return EN_BAD_HEADER;
	}
	g_strlcpy(ask->idempotency_key, input->idempotency_key,
		  sizeof(ask->idempotency_key));
	return EN_OK;
}

/* A field that is absent or null is not set; one of another type is wrong. */
static bool en_get_field(struct json_object *json, const char *key,
			 enum json_type type, struct json_object **field)
{
	*field = NULL;
	if (!json_object_object_get_ex(json, key, field) || !*field)
		return true;
	return json_object_is_type(*field, type);
}

static enum en_code en_ask_options(struct en_request *ask, const char **why)
{
	struct json_object *stream, *options, *usage, *limit;

	*why = "stream, stream_options or max_tokens has a wrong type";
	if (!en_get_field(ask->json, "stream", json_type_boolean, &stream) ||
	    !en_get_field(ask->json, "stream_options", json_type_object,
			  &options) ||
	    !en_get_field(options, "include_usage", json_type_boolean,
			  &usage) ||
	    !en_get_field(ask->json, "max_tokens", json_type_int, &limit))
		return EN_BAD_FIELD;
	ask->is_stream = json_object_get_boolean(stream);
	ask->wants_usage = json_object_get_boolean(usage);
	ask->max_tokens = EN_DEFAULT_MAX_TOKENS;
	if (!limit && !en_get_field(ask->json, "max_completion_tokens",
				    json_type_int, &limit))
		return EN_BAD_FIELD;
	if (!limit)
		return EN_OK;
	if (json_object_get_int64(limit) < 1 ||
	    json_object_get_int64(limit) > INT32_MAX)
		return EN_BAD_FIELD;
	ask->max_tokens = (uint32_t)json_object_get_int64(limit);
	return EN_OK;
}

static enum en_code en_ask_prompt_type(struct en_request *ask, const char **why)
{
	struct json_object *prompt;
	const char *key = ask->kind == EN_CHAT ? "messages" : "prompt";

	*why = ask->kind == EN_CHAT ? "messages is not a list"
				    : "prompt is neither a text nor a list";
	if (!json_object_object_get_ex(ask->json, key, &prompt))
		return EN_BAD_FIELD;
	if (json_object_is_type(prompt, json_type_array))
		return EN_OK;
	if (ask->kind == EN_COMPLETION &&
	    json_object_is_type(prompt, json_type_string))
		return EN_OK;
	return EN_BAD_FIELD;
}

static enum en_code en_ask_model(struct en_request *ask,
				 const struct cm_config *config,
				 const struct cm_team *team, const char **why)
{
	struct json_object *field;
	const char *name;

	if (!en_get_field(ask->json, "model", json_type_string, &field) ||
	    !field) {
		*why = "model is not a text";
		return EN_BAD_FIELD;
	}
	name = json_object_get_string(field);
	if (!cm_model(config, name))
		return EN_UNKNOWN_MODEL;
	if (!cm_names_has(&team->models, name))
		return EN_MODEL_DENIED;
	g_strlcpy(ask->name, name, sizeof(ask->name));
	return EN_OK;
}

static enum en_code en_ask_completion(struct en_request *ask,
				      const struct cm_config *config,
				      const struct cm_team *team,
				      const struct en_input *input,
				      const char **why)
{
	enum en_code code;

	if (strcmp(input->method, "POST") != 0)
		return EN_BAD_METHOD;
	ask->path = g_strdup(input->path);
	ask->json = up_parse_json(input->body, input->body_bytes);
	if (!json_object_is_type(ask->json, json_type_object))
		return EN_BAD_JSON;
	code = en_ask_model(ask, config, team, why);
	if (code == EN_OK)
		code = en_ask_prompt_type(ask, why);
	if (code == EN_OK)
		code = en_ask_options(ask, why);
	return code;
}

static enum en_code en_ask_service(struct en_request *ask,
				   const struct cm_config *config,
				   const struct cm_team *team,
				   const struct en_input *input,
				   const char **why)
{
	const char *name = input->path + strlen(EN_SERVICE_PREFIX);
	const char *rest = strchrnul(name, '/');
	char *escaped;

	if ((size_t)(rest - name) >= sizeof(ask->name))
		return EN_UNKNOWN_SERVICE;
	memcpy(ask->name, name, (size_t)(rest - name));
	if (!cm_service(config, ask->name))
		return EN_UNKNOWN_SERVICE;
	if (!cm_names_has(&team->services, ask->name))
		return EN_SERVICE_DENIED;
	if (strlen(input->method) >= sizeof(ask->method))
		return EN_BAD_METHOD;
	g_strlcpy(ask->method, input->method, sizeof(ask->method));
	escaped = g_uri_escape_string(*rest ? rest : "/",
				      "/:@!$&'()*+,;=", FALSE);
	ask->path = g_strconcat(escaped, input->query, NULL);
	g_free(escaped);
	if (strlen(ask->path) > EN_MAX_PATH_BYTES) {
		*why = "the path is too long";
		return EN_BAD_FIELD;
	}
	ask->headers = g_strdupv((char **)input->headers);
	ask->body = g_string_new_len(input->body, (gssize)input->body_bytes);
	return EN_OK;
}

static enum en_code en_ask_fill(struct en_request *ask,
				const struct cm_config *config,
				const struct en_input *input, const char **why)
{
	const struct cm_team *team = NULL;
	enum en_code code =
		en_authenticate(config, input->authorization, &team);

	if (code != EN_OK)
		return code;
	g_strlcpy(ask->team, team->name, sizeof(ask->team));
	code = en_ask_headers(ask, input, why);
	if (code != EN_OK)
		return code;
	if (g_str_has_prefix(input->path, EN_SERVICE_PREFIX)) {
		ask->kind = EN_SERVICE;
		return en_ask_service(ask, config, team, input, why);
	}
	if (!strcmp(input->path, "/v1/chat/completions"))
		ask->kind = EN_CHAT;
	else if (strcmp(input->path, "/v1/completions") != 0)
		return EN_UNKNOWN_PATH;
	return en_ask_completion(ask, config, team, input, why);
}

enum en_code en_request_new(struct en_request **out,
			    const struct cm_config *config,
			    const struct en_input *input, const char **why)
{
	struct en_request *ask = g_new0(struct en_request, 1);
	enum en_code code;

	*out = NULL;
	*why = NULL;
	code = en_ask_fill(ask, config, input, why);
	if (code != EN_OK) {
		en_request_free(ask);
		return code;
	}
	*why = NULL;
	*out = ask;
	return EN_OK;
}

static void en_append_field(struct json_object *json, const char *key,
			    GString *out)
{
	struct json_object *field;

	if (!json_object_object_get_ex(json, key, &field))
		return;
	if (json_object_is_type(field, json_type_string)) {
		g_string_append_len(out, json_object_get_string(field),
				    json_object_get_string_len(field));
		return;
	}
	g_string_append(out, json_object_to_json_string_ext(
				     field, JSON_C_TO_STRING_PLAIN));
}

/* Chat templates put the tools before the messages. */
void en_request_prompt(const struct en_request *ask, GString *out)
{
	if (ask->kind == EN_CHAT) {
		en_append_field(ask->json, "tools", out);
		en_append_field(ask->json, "messages", out);
		return;
	}
	en_append_field(ask->json, "prompt", out);
}
