/*
 * en_request - a caller's request, checked.
 *
 * Overview
 *	en_request_new() turns what came over HTTP into a typed request: who
 *asks, for which model or service, whether a stream is wanted, and until when.
 *It has no sockets. Whatever is wrong with the request is found here, before
 *anything is queued or sent.
 *
 * Use
 *	code = en_request_new(&ask, config, &input, &why);
 *	...
 *	en_request_free(ask);
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

/** enum en_kind - what is asked for. */
enum en_kind { EN_COMPLETION = 0, EN_CHAT, EN_SERVICE };

/**
 * struct en_input - a request as it came; texts may be NULL.
 * @query: "?a=b", or "".
 * @headers: "Name: value" lines to pass on, NULL-terminated.
 * @fallback_id: request id if the caller gave none.
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
 * struct en_request - a checked request.
 * @id: names the exchange at the front task.
 * @kind: see enum en_kind.
 * @request_id: as echoed.
 * @team: name.
 * @name: of the model or the service.
 * @method: of a call to a service.
 * @path: at the upstream, with the query.
 * @idempotency_key: "" for none.
 * @headers: to pass on to a service, NULL-terminated.
 * @body: of a call to a service.
 * @json: body of a call to an engine.
 * @is_stream: the answer is to be streamed.
 * @wants_usage: the stream is to end with the usage.
 * @max_tokens: asked for.
 * @deadline_ms: from the arrival; 0 for none.
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
 * en_request_new() - check a request.
 * @ask: filled in with EN_OK, to be freed with en_request_free().
 * @why: a better message than the usual one, or NULL; static.
 */
enum en_code en_request_new(struct en_request **request,
			    const struct cm_config *config,
			    const struct en_input *input, const char **detail);

/** en_request_free() - takes a struct en_request. */
void en_request_free(void *request);

/** en_authenticate() - the team of an Authorization header. */
enum en_code en_authenticate(const struct cm_config *config,
			     const char *authorization,
			     const struct cm_team **team);

/** en_request_prompt() - the text whose prefixes are shared, for px. */
void en_request_prompt(const struct en_request *request, GString *out);

#endif
