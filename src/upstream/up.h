/*
 * up - upstreams: one attempt to have a request answered by one of them.
 *
 * Overview
 *	An upstream plug-in is a struct up_ops registered under the kind
 *	"upstream". "engine" speaks the OpenAI-compatible calls, plain and
 *	streamed, and checks that the answer is this attempt's, whole, in
 *	order, and from the incarnation and weights that were asked for;
 *	"service" passes plain calls on.
 *
 *	An attempt lives in memory of its owner. on_done is called once after
 *	each up_start() and each up_resume(), never from within them. A stream
 *	that went silent or broke may then be resumed: the same attempt goes
 *	on, on a new connection, after the last event that was given out.
 *	up_cancel() ends an attempt and tells the engine to stop its work.
 *
 * Use
 *	struct up_attempt attempt;
 *
 *	up_init(&attempt, &(struct up_desc){ .kind = "engine", ... });
 *	up_start(&attempt);
 *	...
 *	up_cancel(&attempt);	(unless on_done said that it was complete)
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
/** Of a stream without an event, or of a refusal; over the largest event. */
#define UP_MAX_BYTES_WITHOUT_EVENT (2u << 20)
#define UP_MAX_HEADERS		   64
#define UP_MAX_JSON_DEPTH	   64

/**
 * enum up_end - how an attempt ended.
 * @UP_COMPLETE: the whole answer, checked. Any HTTP status of a service.
 * @UP_REFUSED: the engine answered with another status than 200.
 * @UP_NOT_SENT: no connection; nothing ran.
 * @UP_SILENT: no byte in time.
 * @UP_BROKEN: the connection ended before the answer was whole.
 * @UP_FAULTY: the answer failed a check; see up_result.fault.
 * @UP_TIMEOUT: total_timeout_ms passed.
 * @UP_TOO_LARGE: the answer exceeds its bound.
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
	UP_END_COUNT
};

/**
 * struct up_event - an event of a stream, valid during the call back.
 * @sequence: its number.
 * @json: the parsed data, which the callee may change; NULL with @is_done.
 * @is_done: [DONE], the end of a complete stream.
 */
struct up_event {
	uint64_t sequence;
	struct json_object *json;
	bool is_done;
};

/**
 * struct up_result - the end of an attempt, valid during the call back.
 * @end: see enum up_end.
 * @fault: the check that failed, with UP_FAULTY.
 * @http_status: 0 if no status line came.
 * @maybe_sent: a byte of the request may have reached the upstream.
 * @last_sequence: number of the last event given out.
 * @incarnation: of the engine that answered, 0 if not known.
 * @json: of an engine's whole plain answer.
 * @body: of a whole answer as it came; an engine's refusal.
 * @body_bytes: its length.
 * @headers: names and values in turn, NULL-terminated, of a service's answer.
 * @message: reason of a failure in words.
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
	const char *message;
};

struct lk_near;
struct _up_link;

/**
 * struct up_far_entry - the far entry that forwards an attempt; outlives it.
 * @near: near side of the link.
 * @far: name of the far entry's host.
 * @far_incarnation: of the far entry.
 * @ipv4: of the far entry, in host byte order.
 * @port: of its HTTP server.
 * @team: name.
 * @engine: name.
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
 * struct up_desc - an attempt; zero means default. Texts are copied.
 * @kind: name of the plug-in, required.
 * @loop: required.
 * @client: required.
 * @id: unique for each attempt, required.
 * @ipv4: of the upstream, in host byte order.
 * @port: of the upstream.
 * @method: default "POST".
 * @path: with the query, required.
 * @weights: version that is asked for; engines only.
 * @incarnation: that is asked for; 0 accepts any.
 * @cache_salt: blocks are shared only between requests of one salt.
 * @is_stream: the answer is a stream of events.
 * @fresh_connection: never share or repeat the connection.
 * @headers: more headers, "Name: value", NULL-terminated; may be NULL.
 * @body: may be NULL; copied by up_start().
 * @body_bytes: its length.
 * @via: the request goes by the far entry; NULL sends it directly.
 * @first_byte_timeout_ms, @idle_timeout_ms, @total_timeout_ms,
 * @max_answer_bytes: see struct hc_call_desc.
 * @on_event: events of a stream; required with @is_stream.
 * @on_done: the end; required.
 * @arg: first argument of both.
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
 * struct up_ops - what differs between the kinds of upstreams.
 * @add_headers: append headers of the request (g_strdup'ed texts).
 * @on_header: a header of the answer, name in lower case.
 * @on_data: a piece of the body of a stream.
 * @classify: set @end, @fault and what belongs to a whole answer.
 * @resume: start the call that goes on with a stream; NULL: not possible.
 * @cancel: tell the upstream to stop the work; NULL: not possible.
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

/** struct up_attempt - state; fields are for the plug-ins only. */
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
	struct _up_link *_link;
	bool _is_running;
	bool _was_sent;
};

enum st_code up_init(struct up_attempt *a, const struct up_desc *desc);

/** up_finish() - drop the attempt without a word to the upstream. */
void up_finish(struct up_attempt *a);

/** up_start() - send the request; what hc_send() returned. */
enum st_code up_start(struct up_attempt *a);

/** up_incarnation() - of the engine, 0 until it is known. */
static inline uint64_t up_incarnation(const struct up_attempt *a)
{
	return a->_decoder.incarnation;
}

/** up_can_resume() - whether the plug-in and the attempt allow it. */
bool up_can_resume(const struct up_attempt *a);

/** up_resume() - go on with a stream on a new connection. */
enum st_code up_resume(struct up_attempt *a);

/** up_cancel() - end the attempt; the upstream is told to stop. */
void up_cancel(struct up_attempt *a);

/** up_end_name() - such as "silent". */
const char *up_end_name(enum up_end end);

/** up_send() - for plug-ins: start a call whose end is this attempt's. */
enum st_code up_send(struct up_attempt *a, const struct hc_call_desc *desc,
		     const char *path, const char *const *headers);

/** up_send_to() - the same to another address. */
enum st_code up_send_to(struct up_attempt *a, const struct hc_call_desc *desc,
			uint32_t ipv4, uint16_t port, const char *path,
			const char *const *headers);

/** up_send_detached() - for plug-ins: a call whose answer nobody awaits. */
void up_send_detached(struct up_attempt *a, const char *method,
		      const char *path);

/**
 * up_owns_answer() - for plug-ins: does the answer's id name this attempt?
 *
 * Engines put "cmpl-" or "chatcmpl-" before the request's id.
 */
bool up_owns_answer(const struct up_attempt *a, struct json_object *answer);

/**
 * up_parse_json() - parse a text of bounded depth.
 *
 * Return: the value, to be put by the caller, or NULL.
 */
struct json_object *up_parse_json(const char *text, uint64_t bytes);

#endif
