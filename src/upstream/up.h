/*
 * up - attempts: sends a request to one upstream and validates the answer.
 *
 * Overview
 *	An upstream plug-in is a struct up_ops registered under the kind
 *	"upstream". "engine" implements the OpenAI-compatible API, plain and
 *	streamed, and checks that the answer belongs to this attempt, is
 *	complete and in order, and comes from the requested incarnation and
 *	weights; "service" forwards plain requests.
 *
 *	The owner provides the memory of an attempt. on_done is called once
 *	after each up_start() and each up_resume(), never from within them. A
 *	stream that became silent or broke may then be resumed: the same
 *	attempt continues on a new connection after the last delivered event.
 *	up_cancel() ends an attempt and makes the engine stop its work.
 *
 * Use
 *	struct up_attempt attempt;
 *
 *	up_init(&attempt, &(struct up_desc){ .kind = "engine", ... });
 *	up_start(&attempt);
 *	...
 *	up_cancel(&attempt);	(unless on_done reported UP_COMPLETE)
 *	up_finish(&attempt);
 *
 * Limits
 *	None of these functions may be called from on_event.
 */
#ifndef UP_H
#define UP_H

#include <ev.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"
#include "net/hc.h"
#include "upstream/sd.h"

#define UP_ID_BYTES	   64
#define UP_VERSION_BYTES   64
#define UP_PATH_BYTES	   2048
#define UP_MAX_ERROR_BYTES 65536
/** Limit between two events and of a refusal; over SD_MAX_EVENT_BYTES. */
#define UP_MAX_BYTES_WITHOUT_EVENT (2u << 20)
#define UP_MAX_HEADERS		   64
#define UP_MAX_JSON_DEPTH	   64

/**
 * enum up_end - outcome of an attempt.
 * @UP_COMPLETE: a complete, valid answer. A service's may have any HTTP status.
 * @UP_REFUSED: the engine answered with another status than 200.
 * @UP_NOT_SENT: no connection; nothing ran.
 * @UP_SILENT: no data within the first-byte or idle timeout.
 * @UP_BROKEN: the connection ended before the answer was complete.
 * @UP_GARBLED: what came is no HTTP answer; up_result.message says why.
 * @UP_FAULTY: the answer failed a check; see up_result.fault.
 * @UP_TIMEOUT: total_timeout_ms passed.
 * @UP_TOO_LARGE: the answer exceeds its size limit.
 */
enum up_end {
	UP_COMPLETE = 0,
	UP_REFUSED,
	UP_NOT_SENT,
	UP_SILENT,
	UP_BROKEN,
	UP_FAULTY,
	UP_TIMEOUT,
	UP_TOO_LARGE,
	UP_GARBLED,
	UP_END_COUNT
};

/**
 * struct up_event - event of a stream, valid during the callback.
 * @sequence: number of the event.
 * @json: the parsed data, which the callee may change; NULL with @is_done.
 * @is_done: [DONE], the end of a complete stream.
 */
struct up_event {
	uint64_t sequence;
	struct json_object *json;
	bool is_done;
};

/**
 * struct up_result - outcome of an attempt, valid during the callback.
 * @end: see enum up_end.
 * @fault: the check that failed, with UP_FAULTY.
 * @http_status: 0 if no status line was received.
 * @maybe_sent: a byte of the request may have reached the upstream.
 * @last_sequence: number of the last delivered event.
 * @incarnation: incarnation of the engine that answered, 0 if unknown.
 * @json: parsed body of an engine's complete plain answer.
 * @body: unparsed body of a service's complete answer or an engine's refusal.
 * @body_bytes: length of @body.
 * @headers: alternating names and values, NULL-terminated, of a service's
 *	answer.
 * @pause_ms: for how long a refusal asks to get no requests; 0 if it does not.
 * @message: human-readable reason of a failure.
 */
struct up_result {
	enum up_end end;
	enum sd_fault fault;
	uint32_t http_status;
	bool maybe_sent;
	uint64_t last_sequence;
	uint64_t incarnation;
	struct json_object *json;
	const char *body;
	uint64_t body_bytes;
	const char *const *headers;
	int64_t pause_ms;
	const char *message;
};

struct lk_near;
struct _up_link;

/**
 * struct up_far_entry - far entry that forwards an attempt; must outlive the
 * attempt.
 * @near: near side of the link.
 * @far: name of the far entry's host.
 * @far_incarnation: incarnation of the far entry.
 * @ipv4: address of the far entry, in host byte order.
 * @port: port of the far entry's HTTP server.
 * @team: name of the team.
 * @engine: name of the engine.
 */
struct up_far_entry {
	struct lk_near *near;
	const char *far;
	uint64_t far_incarnation;
	uint32_t ipv4;
	uint16_t port;
	const char *team;
	const char *engine;
};

/**
 * struct up_desc - parameters of an attempt; zero means default. Strings are
 * copied.
 * @kind: name of the plug-in, required.
 * @loop: required.
 * @client: required.
 * @id: unique for each attempt, required.
 * @ipv4: of the upstream, in host byte order.
 * @port: of the upstream.
 * @method: default "POST".
 * @path: with the query, required.
 * @weights: requested version of the weights; engines only.
 * @incarnation: requested incarnation; 0 accepts any.
 * @cache_salt: cached blocks are shared only between requests of one salt.
 * @is_stream: the answer is a stream of events.
 * @fresh_connection: use a connection for this request alone; the request is
 *	never repeated.
 * @headers: additional headers, "Name: value", NULL-terminated; may be NULL.
 * @body: may be NULL; copied by up_start().
 * @body_bytes: length of @body.
 * @via: far entry that relays the request; NULL sends it directly.
 * @first_byte_timeout_ms, @idle_timeout_ms, @total_timeout_ms,
 * @max_answer_bytes: see struct hc_call_desc.
 * @on_event: receives the events of a stream; required with @is_stream.
 * @on_done: receives the outcome; required.
 * @arg: first argument of both callbacks.
 */
struct up_desc {
	const char *kind;
	struct ev_loop *loop;
	struct hc_client *client;
	const char *id;
	uint32_t ipv4;
	uint16_t port;
	const char *method;
	const char *path;
	const char *weights;
	uint64_t incarnation;
	uint64_t cache_salt;
	bool is_stream;
	bool fresh_connection;
	const char *const *headers;
	const void *body;
	uint64_t body_bytes;
	const struct up_far_entry *via;
	int64_t first_byte_timeout_ms;
	int64_t idle_timeout_ms;
	int64_t total_timeout_ms;
	uint64_t max_answer_bytes;
	void (*on_event)(void *arg, const struct up_event *event);
	void (*on_done)(void *arg, const struct up_result *result);
	void *arg;
};

struct up_attempt;

/**
 * struct up_ops - operations of a kind of upstream.
 * @add_headers: append headers of the request (strings from g_strdup()).
 * @on_header: process a header of the answer, its name in lower case.
 * @on_data: process a piece of a stream's body.
 * @classify: set @end, @fault and the fields of a complete answer.
 * @resume: start the call that resumes a stream; NULL if not supported.
 * @cancel: make the upstream stop the work; NULL if not supported.
 */
struct up_ops {
	const char *name;
	void (*add_headers)(struct up_attempt *a, GPtrArray *headers);
	void (*on_header)(struct up_attempt *a, const char *name,
			  const char *value);
	void (*on_data)(struct up_attempt *a, uint32_t http_status,
			const char *data, uint64_t bytes);
	void (*classify)(struct up_attempt *a, const struct hc_result *answer,
			 struct up_result *result);
	enum st_code (*resume)(struct up_attempt *a);
	void (*cancel)(struct up_attempt *a);
};

/** struct up_attempt - state of an attempt; fields are for plug-ins only. */
struct up_attempt {
	struct up_desc _desc;
	const struct up_ops *_ops;
	char _id[UP_ID_BYTES];
	char _weights[UP_VERSION_BYTES];
	struct sd_decoder _decoder;
	struct hc_call _call;
	ev_timer _fault_timer;
	GString *_error_body;
	uint64_t _bytes_since_event;
	GPtrArray *_headers;
	struct json_object *_json;
	int64_t _pause_ms;
	struct _up_link *_link;
	bool _is_running;
	bool _was_sent;
};

enum st_code up_init(struct up_attempt *a, const struct up_desc *desc);

/** up_finish() - free the attempt without notifying the upstream. */
void up_finish(struct up_attempt *a);

/** up_start() - send the request; returns the result of hc_send(). */
enum st_code up_start(struct up_attempt *a);

/** up_incarnation() - the engine's incarnation, 0 until it is known. */
static inline uint64_t up_incarnation(const struct up_attempt *a)
{
	return a->_decoder.incarnation;
}

/** up_can_resume() - whether plug-in and attempt allow up_resume(). */
bool up_can_resume(const struct up_attempt *a);

/** up_resume() - resume a stream on a new connection. */
enum st_code up_resume(struct up_attempt *a);

/** up_cancel() - end the attempt and make the upstream stop the work. */
void up_cancel(struct up_attempt *a);

/** up_end_name() - name of an outcome, such as "silent". */
const char *up_end_name(enum up_end end);

/** up_send() - for plug-ins: start a call whose end ends the attempt. */
enum st_code up_send(struct up_attempt *a, const struct hc_call_desc *desc,
		     const char *path, const char *const *headers);

/** up_send_to() - like up_send(), to another address. */
enum st_code up_send_to(struct up_attempt *a, const struct hc_call_desc *desc,
			uint32_t ipv4, uint16_t port, const char *path,
			const char *const *headers);

/** up_send_detached() - for plug-ins: start a call and ignore its answer. */
void up_send_detached(struct up_attempt *a, const char *method,
		      const char *path);

/**
 * up_owns_answer() - for plug-ins: whether the answer's id is this attempt's.
 *
 * Engines may prepend "cmpl-" or "chatcmpl-" to the request's id.
 */
bool up_owns_answer(const struct up_attempt *a, struct json_object *answer);

/**
 * up_parse_json() - parse JSON of at most UP_MAX_JSON_DEPTH levels.
 *
 * Return: the value, which the caller releases with json_object_put(), or NULL.
 */
struct json_object *up_parse_json(const char *text, uint64_t bytes);

#endif
