/*
 * en_error - error responses to callers.
 *
 * Overview
 *	Every error that a caller can get is one of enum en_code. Each code has
 *	an HTTP status, a type, whether the request may have run, and the
 *	number of seconds after which a retry can succeed. The body is
 *	{"error": {"message", "type", "code", "run"}}.
 *
 * Use
 *	const struct en_error *error = en_error(EN_DRAINING);
 *	en_error_body(body, error, NULL);
 */
#ifndef EN_ERROR_H
#define EN_ERROR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum en_code - error codes; EN_OK means no error. */
enum en_code {
	EN_OK = 0,
	EN_NO_KEY,
	EN_BAD_KEY,
	EN_BAD_HEADER,
	EN_BAD_JSON,
	EN_BAD_FIELD,
	EN_UNKNOWN_MODEL,
	EN_MODEL_DENIED,
	EN_UNKNOWN_SERVICE,
	EN_SERVICE_DENIED,
	EN_UNKNOWN_PATH,
	EN_BAD_METHOD,
	EN_DUPLICATE_ID,
	EN_DRAINING,
	EN_STARTING,
	EN_OVERLOADED,
	EN_NO_UPSTREAM,
	EN_NOT_RUN,
	EN_UPSTREAM_FAILED,
	EN_STREAM_BROKEN,
	EN_DEADLINE,
	EN_DEADLINE_NOT_RUN,
	EN_POISONED,
	EN_PLATFORM_DOWN,
	EN_UNSETTLED,
	EN_ANSWER_NOT_KEPT,
	EN_KEY_REUSED,
	EN_CODE_COUNT
};

/**
 * struct en_error - the response for an error code.
 * @status: HTTP status.
 * @type: error type as in the OpenAI API.
 * @code: machine-readable code.
 * @message: default text, used if the caller of en_error_body() has none.
 * @may_have_run: "run" is "unknown" if set, otherwise "not_run".
 * @retry_after_s: value of Retry-After; 0 if a retry cannot succeed.
 */
struct en_error {
	uint32_t status;
	const char *type;
	const char *code;
	const char *message;
	bool may_have_run;
	uint32_t retry_after_s;
};

const struct en_error *en_error(enum en_code code);

/**
 * en_error_body() - append the JSON body of an error.
 * @message: NULL for the default text of the error.
 */
void en_error_body(GString *out, const struct en_error *error,
		   const char *message);

#endif
