/*
 * hc - HTTP client: libcurl multi on the task's libev loop.
 *
 * Overview
 *	A client belongs to one task. hc_send() starts a call and returns at
 *	once; the caller's functions are called from the loop as the answer
 *	comes in. on_done is called exactly once for each call, unless the
 *	caller cancels it with hc_cancel(), after which nothing is called.
 *
 *	What a failed call did at the far end decides whether it may be sent
 *	again, so every result says whether any byte of the request may have
 *	left this host (@maybe_sent). It is false only for calls that never got
 *	a connection.
 *
 *	libcurl on its own repeats a request whose reused connection turns out
 *	to be closed. That would run a non-idempotent call twice: set
 *	@fresh_connection for those, which rules the repetition out.
 *
 * Use
 *	struct hc_client client;
 *	struct hc_call call = { 0 };
 *
 *	hc_init(&client, &(struct hc_desc){ .loop = loop });
 *	hc_send(&client, &(struct hc_call_desc){
 *		.method = "POST", .url = "http://127.0.0.1:9000/v1/x",
 *		.body = text, .body_bytes = len, .total_timeout_ms = 5000,
 *		.on_done = done, .arg = me }, &call);
 *
 * Limits
 *	Without on_data the answer is collected, up to max_answer_bytes. All
 *	calls of a client share max_collected_bytes, beyond which an answer may
 *	have HC_RESERVED_BYTES. The head of an answer, interim heads and
 *	trailers included, may have HC_MAX_HEAD_BYTES.
 */
#ifndef HC_H
#define HC_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define HC_DEFAULT_CONNECT_TIMEOUT_MS  1000
#define HC_DEFAULT_MAX_ANSWER_BYTES    (16u << 20)
#define HC_DEFAULT_MAX_COLLECTED_BYTES (64u << 20)
#define HC_RESERVED_BYTES	       (64u << 10)
#define HC_MAX_HEAD_BYTES	       (256u << 10)
#define HC_MAX_CALLS		       4096

struct hc_client;
struct _hc_transfer;

/**
 * enum hc_outcome - how a call ended.
 * @HC_DONE: the whole answer came, whatever its HTTP status.
 * @HC_NO_CONNECTION: nothing was sent.
 * @HC_BROKEN: the connection ended before the answer was complete.
 * @HC_IDLE: no byte for idle_timeout_ms, or no first byte in time.
 * @HC_TIMEOUT: total_timeout_ms passed.
 * @HC_TOO_LARGE: the answer exceeded one of the limits above.
 * @HC_GARBLED: what came is no HTTP answer (http1/h1_check.h).
 */
enum hc_outcome {
	HC_DONE = 0,
	HC_NO_CONNECTION,
	HC_BROKEN,
	HC_IDLE,
	HC_TIMEOUT,
	HC_TOO_LARGE,
	HC_GARBLED
};

/**
 * struct hc_result - the end of a call, valid during on_done only.
 * @outcome: see enum hc_outcome.
 * @http_status: 0 if no status line came.
 * @maybe_sent: a byte of the request may have reached the far end.
 * @body: the collected answer, NUL-terminated; "" with on_data.
 * @body_bytes: its length.
 * @message: reason of a failure in words.
 */
struct hc_result {
	enum hc_outcome outcome;
	uint32_t http_status;
	bool maybe_sent;
	const char *body;
	uint64_t body_bytes;
	const char *message;
};

/**
 * struct hc_call_desc - a call; zero means default.
 * @method: NULL means GET.
 * @url: with an IP number as host.
 * @headers: NULL-terminated list of "Name: value"; may be NULL.
 * @body: copied; NULL sends none.
 * @body_bytes: length of @body.
 * @connect_timeout_ms: default HC_DEFAULT_CONNECT_TIMEOUT_MS.
 * @first_byte_timeout_ms: from the start until the first byte of the answer's
 *	body; 0 is unlimited.
 * @idle_timeout_ms: between two bytes of the body; 0 is unlimited.
 * @total_timeout_ms: of the whole call; 0 is unlimited.
 * @max_answer_bytes: default HC_DEFAULT_MAX_ANSWER_BYTES; not for on_data.
 * @fresh_connection: a connection for this call alone, never repeated.
 * @on_header: one header of the answer, name in lower case; may be NULL.
 * @on_data: a piece of the body of an answer, status known; may be NULL.
 * @on_done: the end; required.
 * @arg: first argument of the three.
 */
struct hc_call_desc {
	const char *method;
	const char *url;
	const char *const *headers;
	const void *body;
	uint64_t body_bytes;
	int64_t connect_timeout_ms;
	int64_t first_byte_timeout_ms;
	int64_t idle_timeout_ms;
	int64_t total_timeout_ms;
	uint64_t max_answer_bytes;
	bool fresh_connection;
	void (*on_header)(void *arg, const char *name, const char *value);
	void (*on_data)(void *arg, uint32_t http_status, const char *data,
			uint64_t bytes);
	void (*on_done)(void *arg, const struct hc_result *result);
	void *arg;
};

/** struct hc_call - handle of a call in flight; {0} names none. */
struct hc_call {
	uint32_t slot;
	uint32_t generation;
};

/**
 * struct hc_desc - zero means default.
 * @loop: required.
 * @max_connections_per_host: 0 is unlimited.
 * @max_collected_bytes: of the answers of all calls together, see above;
 *	default HC_DEFAULT_MAX_COLLECTED_BYTES.
 */
struct hc_desc {
	struct ev_loop *loop;
	uint32_t max_connections_per_host;
	uint64_t max_collected_bytes;
};

/** struct hc_client - all state; fields are private. */
struct hc_client {
	struct ev_loop *_loop;
	void *_multi;
	ev_timer _timer;
	struct _hc_transfer **_slots;
	uint32_t *_generations;
	uint32_t _slot_count;
	uint32_t _in_flight;
	uint64_t _max_collected_bytes;
	uint64_t _collected_bytes;
};

enum st_code hc_init(struct hc_client *client, const struct hc_desc *desc);

/** hc_finish() - cancel every call and free the client. */
void hc_finish(struct hc_client *client);

/**
 * hc_send() - start a call.
 * @call: filled in; may be NULL.
 *
 * Return: ST_OK, and on_done will be called later, never from within
 * hc_send(); ST_FULL with HC_MAX_CALLS in flight; ST_INVALID for a bad URL.
 */
enum st_code hc_send(struct hc_client *client, const struct hc_call_desc *desc,
		     struct hc_call *call);

/** hc_cancel() - drop a call; no function of its descriptor is called again. */
void hc_cancel(struct hc_client *client, struct hc_call call);

/**
 * hc_stop() - end a call with HC_TOO_LARGE as soon as on_data, which alone may
 * call it, returns.
 */
void hc_stop(struct hc_client *client, struct hc_call call);

/** hc_in_flight() - calls that have not ended. */
static inline uint32_t hc_in_flight(const struct hc_client *client)
{
	return client->_in_flight;
}

/** hc_collected_bytes() - of answers that are being collected. */
static inline uint64_t hc_collected_bytes(const struct hc_client *client)
{
	return client->_collected_bytes;
}

/** hc_make_url() - http URL of an address in host byte order and a port. */
void hc_make_url(char *out, uint32_t room, uint32_t ipv4, uint16_t port,
		 const char *path);

/** hc_outcome_name() - such as "no_connection". */
const char *hc_outcome_name(enum hc_outcome outcome);

#endif
