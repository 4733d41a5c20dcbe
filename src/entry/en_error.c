#include "entry/en_error.h"

#include <json-c/json.h>

#define EN_INVALID_TYPE	   "invalid_request_error"
#define EN_PERMISSION_TYPE "permission_error"
#define EN_SERVER_TYPE	   "server_error"

static const struct en_error en_errors[EN_CODE_COUNT] = {
	[EN_OK] = { 200, "", "", "", false, 0 },
	[EN_NO_KEY] = { 401, "authentication_error", "no_key",
			"no Authorization: Bearer header", false, 0 },
	[EN_BAD_KEY] = { 401, "authentication_error", "invalid_api_key",
			 "the key is not known", false, 0 },
	[EN_BAD_HEADER] = { 400, EN_INVALID_TYPE, "bad_header",
			    "a header has a wrong value", false, 0 },
	[EN_BAD_JSON] = { 400, EN_INVALID_TYPE, "bad_json",
			  "the body is not a JSON object", false, 0 },
	[EN_BAD_FIELD] = { 400, EN_INVALID_TYPE, "bad_field",
			   "a field has a wrong value", false, 0 },
	[EN_UNKNOWN_MODEL] = { 404, EN_INVALID_TYPE, "model_not_found",
			       "there is no such model", false, 0 },
	[EN_MODEL_DENIED] = { 403, EN_PERMISSION_TYPE, "model_denied",
			      "the team may not use this model", false, 0 },
	[EN_UNKNOWN_SERVICE] = { 404, EN_INVALID_TYPE, "service_not_found",
				 "there is no such service", false, 0 },
	[EN_SERVICE_DENIED] = { 403, EN_PERMISSION_TYPE, "service_denied",
				"the team may not use this service", false, 0 },
	[EN_UNKNOWN_PATH] = { 404, EN_INVALID_TYPE, "not_found",
			      "there is no such path", false, 0 },
	[EN_BAD_METHOD] = { 405, EN_INVALID_TYPE, "method_not_allowed",
			    "the path does not take this method", false, 0 },
	[EN_DUPLICATE_ID] = { 409, EN_INVALID_TYPE, "duplicate_request_id",
			      "a request with this X-Request-Id is in flight",
			      false, 1 },
	[EN_DRAINING] = { 503, EN_SERVER_TYPE, "draining",
			  "this host is being stopped", false, 1 },
	[EN_STARTING] = { 503, EN_SERVER_TYPE, "starting",
			  "this host has no configuration yet", false, 1 },
	[EN_OVERLOADED] = { 429, "rate_limit_error", "overloaded",
			    "there is no room for the request now", false, 1 },
	[EN_NO_UPSTREAM] = { 503, EN_SERVER_TYPE, "no_upstream",
			     "no upstream can take the request now", false, 1 },
	[EN_NOT_RUN] = { 503, EN_SERVER_TYPE, "not_run",
			 "no upstream took the request", false, 1 },
	[EN_UPSTREAM_FAILED] = { 502, EN_SERVER_TYPE, "upstream_failed",
				 "the upstream failed while it had the request",
				 true, 1 },
	[EN_STREAM_BROKEN] = { 502, EN_SERVER_TYPE, "stream_broken",
			       "the stream could not be completed", true, 1 },
	[EN_DEADLINE] = { 504, EN_SERVER_TYPE, "deadline_passed",
			  "the request was not answered in time", true, 1 },
	[EN_DEADLINE_NOT_RUN] = { 504, EN_SERVER_TYPE, "deadline_passed",
				  "the request was not sent in time", false,
				  1 },
	[EN_POISONED] = { 422, EN_INVALID_TYPE, "request_crashes_engines",
			  "engines crashed while they ran this request", true,
			  0 },
	[EN_PLATFORM_DOWN] = { 503, EN_SERVER_TYPE, "claim_impossible",
			       "the call could not be claimed", false, 2 },
	[EN_UNSETTLED] = { 409, EN_SERVER_TYPE, "unsettled",
			   "an earlier call with this Idempotency-Key has no "
			   "known outcome",
			   true, 2 },
	[EN_ANSWER_NOT_KEPT] = { 409, EN_SERVER_TYPE, "answer_not_kept",
				 "the call ran; its answer was too large to keep",
				 true, 0 },
	[EN_KEY_REUSED] = { 422, EN_INVALID_TYPE, "idempotency_key_reused",
			    "the Idempotency-Key belongs to another call",
			    false, 0 },
};

const struct en_error *en_error(enum en_code code)
{
	return &en_errors[code];
}

static void en_add_string(struct json_object *json, const char *key,
			  const char *text)
{
	json_object_object_add(json, key, json_object_new_string(text));
}

void en_error_body(GString *out, const struct en_error *error,
		   const char *message)
{
	struct json_object *json = json_object_new_object();
	struct json_object *fields = json_object_new_object();

	en_add_string(fields, "message", message ? message : error->message);
	en_add_string(fields, "type", error->type);
	en_add_string(fields, "code", error->code);
	en_add_string(fields, "run",
		      error->may_have_run ? "unknown" : "not_run");
	json_object_object_add(json, "error", fields);
	g_string_append(out,
			json_object_to_json_string_ext(
				json, JSON_C_TO_STRING_PLAIN |
					      JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(json);
}
