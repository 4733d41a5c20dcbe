#include "entry/en_ask.h"

#include <stdlib.h>
#include <string.h>

#include "upstream/up.h"

#define EN_BEARER "Bearer "

void en_request_free(void *body)
{
	struct en_request *request = body;

	if (!request)
		return;
	g_free(request->path);
	g_strfreev(request->headers);
	if (request->body)
		g_string_free(request->body, TRUE);
	json_object_put(request->json);
	g_free(request);
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

/* Printable ASCII without spaces, which is safe in headers and store keys. */
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

static enum en_code en_parse_headers(struct en_request *request,
				     const struct en_input *input,
				     const char **detail)
{
	const char *id =
		input->request_id ? input->request_id : input->fallback_id;
	uint64_t deadline_ms = 0;

	if (!en_is_token(id, EN_ID_BYTES - 1)) {
		*detail = "X-Request-Id is not 1 to 64 printable characters";
		return EN_BAD_HEADER;
	}
	g_strlcpy(request->request_id, id, sizeof(request->request_id));
	if (input->deadline_ms &&
	    !g_ascii_string_to_unsigned(input->deadline_ms, 10, 1,
					EN_MAX_DEADLINE_MS, &deadline_ms,
					NULL)) {
		*detail = "X-Deadline-Ms is not a number of milliseconds";
		return EN_BAD_HEADER;
	}
	request->deadline_ms = (int64_t)deadline_ms;
	if (!input->idempotency_key)
		return EN_OK;
	if (!en_is_token(input->idempotency_key, EN_KEY_BYTES - 1)) {
		*detail =
			"Idempotency-Key is not 1 to 255 printable characters";
		return EN_BAD_HEADER;
	}
	g_strlcpy(request->idempotency_key, input->idempotency_key,
		  sizeof(request->idempotency_key));
	return EN_OK;
}

/* Sets field to NULL if it is absent or null; false if its type is wrong. */
static bool en_get_field(struct json_object *json, const char *key,
			 enum json_type type, struct json_object **field)
{
	*field = NULL;
	if (!json_object_object_get_ex(json, key, field) || !*field)
		return true;
	return json_object_is_type(*field, type);
}

static enum en_code en_parse_options(struct en_request *request,
				     const char **detail)
{
	struct json_object *stream, *options, *usage, *limit;

	*detail = "stream, stream_options or max_tokens has a wrong type";
	if (!en_get_field(request->json, "stream", json_type_boolean,
			  &stream) ||
	    !en_get_field(request->json, "stream_options", json_type_object,
			  &options) ||
	    !en_get_field(options, "include_usage", json_type_boolean,
			  &usage) ||
	    !en_get_field(request->json, "max_tokens", json_type_int, &limit))
		return EN_BAD_FIELD;
	request->is_stream = json_object_get_boolean(stream);
	request->wants_usage = json_object_get_boolean(usage);
	request->max_tokens = EN_DEFAULT_MAX_TOKENS;
	if (!limit && !en_get_field(request->json, "max_completion_tokens",
				    json_type_int, &limit))
		return EN_BAD_FIELD;
	if (!limit)
		return EN_OK;
	if (json_object_get_int64(limit) < 1 ||
	    json_object_get_int64(limit) > INT32_MAX)
		return EN_BAD_FIELD;
	request->max_tokens = (uint32_t)json_object_get_int64(limit);
	return EN_OK;
}

static enum en_code en_check_prompt_type(struct en_request *request,
					 const char **detail)
{
	struct json_object *prompt;
	const char *key = request->kind == EN_CHAT ? "messages" : "prompt";

	*detail = request->kind == EN_CHAT
			  ? "messages is not a list"
			  : "prompt is neither a text nor a list";
	if (!json_object_object_get_ex(request->json, key, &prompt))
		return EN_BAD_FIELD;
	if (json_object_is_type(prompt, json_type_array))
		return EN_OK;
	if (request->kind == EN_COMPLETION &&
	    json_object_is_type(prompt, json_type_string))
		return EN_OK;
	return EN_BAD_FIELD;
}

static enum en_code en_parse_model(struct en_request *request,
				   const struct cm_config *config,
				   const struct cm_team *team,
				   const char **detail)
{
	struct json_object *field;
	const char *name;

	if (!en_get_field(request->json, "model", json_type_string, &field) ||
	    !field) {
		*detail = "model is not a text";
		return EN_BAD_FIELD;
	}
	name = json_object_get_string(field);
	if (!cm_model(config, name))
		return EN_UNKNOWN_MODEL;
	if (!cm_names_has(&team->models, name))
		return EN_MODEL_DENIED;
	g_strlcpy(request->name, name, sizeof(request->name));
	return EN_OK;
}

static enum en_code en_parse_completion(struct en_request *request,
					const struct cm_config *config,
					const struct cm_team *team,
					const struct en_input *input,
					const char **detail)
{
	enum en_code code;

	if (strcmp(input->method, "POST") != 0)
		return EN_BAD_METHOD;
	request->path = g_strdup(input->path);
	request->json = up_parse_json(input->body, input->body_bytes);
	if (!json_object_is_type(request->json, json_type_object))
		return EN_BAD_JSON;
	code = en_parse_model(request, config, team, detail);
	if (code == EN_OK)
		code = en_check_prompt_type(request, detail);
	if (code == EN_OK)
		code = en_parse_options(request, detail);
	return code;
}

static enum en_code en_parse_service_call(struct en_request *request,
					  const struct cm_config *config,
					  const struct cm_team *team,
					  const struct en_input *input,
					  const char **detail)
{
	const char *name = input->path + strlen(EN_SERVICE_PREFIX);
	const char *rest = strchrnul(name, '/');
	char *escaped;

	if ((size_t)(rest - name) >= sizeof(request->name))
		return EN_UNKNOWN_SERVICE;
	memcpy(request->name, name, (size_t)(rest - name));
	if (!cm_service(config, request->name))
		return EN_UNKNOWN_SERVICE;
	if (!cm_names_has(&team->services, request->name))
		return EN_SERVICE_DENIED;
	if (strlen(input->method) >= sizeof(request->method))
		return EN_BAD_METHOD;
	g_strlcpy(request->method, input->method, sizeof(request->method));
	escaped = g_uri_escape_string(*rest ? rest : "/",
				      "/:@!$&'()*+,;=", FALSE);
	request->path = g_strconcat(escaped, input->query, NULL);
	g_free(escaped);
	if (strlen(request->path) > EN_MAX_PATH_BYTES) {
		*detail = "the path is too long";
		return EN_BAD_FIELD;
	}
	request->headers = g_strdupv((char **)input->headers);
	request->body =
		g_string_new_len(input->body, (gssize)input->body_bytes);
	return EN_OK;
}

static enum en_code en_parse_request(struct en_request *request,
				     const struct cm_config *config,
				     const struct en_input *input,
				     const char **detail)
{
	const struct cm_team *team = NULL;
	enum en_code code =
		en_authenticate(config, input->authorization, &team);

	if (code != EN_OK)
		return code;
	g_strlcpy(request->team, team->name, sizeof(request->team));
	code = en_parse_headers(request, input, detail);
	if (code != EN_OK)
		return code;
	if (g_str_has_prefix(input->path, EN_SERVICE_PREFIX)) {
		request->kind = EN_SERVICE;
		return en_parse_service_call(request, config, team, input,
					     detail);
	}
	if (!strcmp(input->path, "/v1/chat/completions"))
		request->kind = EN_CHAT;
	else if (strcmp(input->path, "/v1/completions") != 0)
		return EN_UNKNOWN_PATH;
	return en_parse_completion(request, config, team, input, detail);
}

enum en_code en_request_new(struct en_request **out,
			    const struct cm_config *config,
			    const struct en_input *input, const char **detail)
{
	struct en_request *request = g_new0(struct en_request, 1);
	enum en_code code;

	*out = NULL;
	*detail = NULL;
	code = en_parse_request(request, config, input, detail);
	if (code != EN_OK) {
		en_request_free(request);
		return code;
	}
	*detail = NULL;
	*out = request;
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

/* Chat templates render the tools before the messages. */
void en_request_prompt(const struct en_request *request, GString *out)
{
	if (request->kind == EN_CHAT) {
		en_append_field(request->json, "tools", out);
		en_append_field(request->json, "messages", out);
		return;
	}
	en_append_field(request->json, "prompt", out);
}
