/*
 * en_request - parsing and validation of callers' requests.
 *
 * Overview
 *	en_request_new() turns an HTTP request into a typed request: the team,
 *	the model or service, whether the answer is streamed, and the deadline.
 *	It does no I/O. Every invalid request is rejected here, before anything
 *	is queued or sent.
 *
 * Use
 *	code = en_request_new(&request, config, &input, &detail);
 *	...
 *	en_request_free(request);
 */
#ifndef EN_ASK_H
#define EN_ASK_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"
#include "entry/en_error.h"

#define EN_ID_BYTES	      65
#define EN_KEY_BYTES	      256
#define EN_METHOD_BYTES	      16
#define EN_MAX_PATH_BYTES     1900
#define EN_MAX_HEADERS	      64
#define EN_MAX_DEADLINE_MS    (24 * 3600 * 1000)
#define EN_SERVICE_PREFIX     "/v1/services/"
#define EN_DEFAULT_MAX_TOKENS 256

/** enum en_kind - kind of request. */
enum en_kind { EN_COMPLETION = 0, EN_CHAT, EN_SERVICE };

/**
 * struct en_input - an HTTP request before validation.
 *
 * Header values (@authorization to @idempotency_key) are NULL if absent.
 *
 * @query: with its question mark ("?a=b"), or "".
 * @headers: "Name: value" lines to forward, NULL-terminated.
 * @fallback_id: request id to use if @request_id is NULL.
 */
struct en_input {
	const char *method;
	const char *path;
	const char *query;
	const char *authorization;
	const char *request_id;
	const char *deadline_ms;
	const char *idempotency_key;
	const char *const *headers;
	const char *body;
	uint64_t body_bytes;
	const char *fallback_id;
};

/**
 * struct en_request - a validated request.
 * @id: identifies the exchange at the front task.
 * @request_id: echoed to the caller in X-Request-Id.
 * @team: name of the team.
 * @name: name of the model or the service.
 * @method: HTTP method of a call to a service.
 * @path: path at the upstream, including the query.
 * @idempotency_key: "" for none.
 * @headers: header lines to forward to a service, NULL-terminated.
 * @body: body of a call to a service.
 * @json: body of a call to an engine.
 * @is_stream: the answer is streamed.
 * @wants_usage: the stream ends with an event that holds the token usage.
 * @max_tokens: requested limit, or EN_DEFAULT_MAX_TOKENS.
 * @deadline_ms: relative to the arrival; 0 for none.
 */
struct en_request {
	uint64_t id;
	enum en_kind kind;
	char request_id[EN_ID_BYTES];
	char team[CM_NAME_BYTES];
	char name[CM_NAME_BYTES];
	char method[EN_METHOD_BYTES];
	char *path;
	char idempotency_key[EN_KEY_BYTES];
	char **headers;
	GString *body;
	struct json_object *json;
	bool is_stream;
	bool wants_usage;
	uint32_t max_tokens;
	int64_t deadline_ms;
};

/**
 * en_request_new() - validate a request.
 * @request: set on EN_OK, otherwise NULL; free with en_request_free().
 * @detail: set to a message that is more specific than that of the error code,
 *	or NULL; a static string.
 */
enum en_code en_request_new(struct en_request **request,
			    const struct cm_config *config,
			    const struct en_input *input, const char **detail);

/** en_request_free() - free a struct en_request; NULL is allowed. */
void en_request_free(void *request);

/** en_authenticate() - find the team of an Authorization header. */
enum en_code en_authenticate(const struct cm_config *config,
			     const char *authorization,
			     const struct cm_team **team);

/** en_request_prompt() - append the prompt text, input of the prefix keys. */
void en_request_prompt(const struct en_request *request, GString *out);

#endif
