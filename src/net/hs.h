/*
 * hs - HTTP server: libmicrohttpd with external epoll on the libev loop.
 *
 * Overview
 *	A server belongs to one task. It reads each request whole, within
 *	bounds of size and time, and hands it to the task's function as an
 *	exchange. The task answers at once or later: with one whole answer
 *	(hs_respond()), or with a stream (hs_begin(), hs_write(), hs_end()).
 *	hs_abort() ends a stream so that the caller can tell that it is
 *	incomplete: the connection closes without the closing chunk.
 *
 *	on_closed is called exactly once for every exchange that on_request
 *	saw, when it is over: the answer has been sent, or the caller has gone,
 *	which is noticed also while the answer is still awaited. After
 *	on_closed the exchange must not be used.
 *
 * Use
 *	static void on_request(void *arg, struct hs_exchange *x)
 *	{
 *		hs_respond(x, 200, NULL, "ok\n", 3);
 *	}
 *
 *	hs_init(&server, &(struct hs_desc){ .loop = loop,
 *		.address = "127.0.0.1", .on_request = on_request, .arg = me });
 *
 * Limits
 *	A body over max_body_bytes gets 413, headers over MHD's memory limit
 *	431, a body that finds no room beside the unfinished ones of others 503
 *	with Retry-After, and a connection silent for idle_timeout_s while its
 *request is incomplete is closed; none of these reaches on_request.
 */
#ifndef HS_H
#define HS_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/ba.h"
#include "kernel/st.h"

#define HS_DEFAULT_MAX_BODY_BYTES   (8u << 20)
#define HS_DEFAULT_MAX_CONNECTIONS  4096
#define HS_DEFAULT_UNFINISHED_BYTES (128u << 20)
/** Of a body; not charged, so that small requests are always read. */
#define HS_GUARANTEED_BYTES	   (4u << 10)
#define HS_DEFAULT_IDLE_TIMEOUT_S  30
#define HS_CONNECTION_MEMORY_BYTES (16u << 10)

struct hs_server;
struct MHD_Connection;
struct MHD_Daemon;
struct MHD_Response;

/**
 * struct hs_exchange - one request and its answer. Readable fields:
 * @method: such as "POST".
 * @path: of the URL, without the query.
 * @body: the whole body, NUL-terminated.
 * @arg: for the task's own use.
 */
struct hs_exchange {
	char *method;
	char *path;
	GString *body;
	void *arg;

	struct hs_server *_server;
	struct MHD_Connection *_connection;
	struct MHD_Response *_response;
	uint32_t _status;
	GString *_out;
	uint64_t _out_offset;
	uint64_t _charged_bytes;
	bool _is_too_large;
	bool _has_no_room;
	bool _was_handed_over;
	bool _is_suspended;
	bool _has_answer;
	bool _is_ended;
	bool _is_aborted;
	bool _is_gone;
	ev_io _hangup;
	struct hs_exchange *_next;
	struct hs_exchange **_link;
};

/**
 * struct hs_header - name and value of a header of the answer.
 * A list of them ends with a name of NULL.
 */
struct hs_header {
	const char *name;
	const char *value;
};

/**
 * struct hs_desc - zero means default.
 * @loop: required.
 * @address: IP number to listen on, required.
 * @port: 0 lets the kernel choose; see hs_port().
 * @max_body_bytes: of one request.
 * @max_unfinished_bytes: bodies that are being read, in all.
 * @max_connections: in all.
 * @idle_timeout_s: while a request is being read.
 * @on_request: a whole request has come; required.
 * @on_closed: the exchange is over; may be NULL.
 * @arg: first argument of both.
 */
struct hs_desc {
	struct ev_loop *loop;
	const char *address;
	uint16_t port;
	uint64_t max_body_bytes;
	uint64_t max_unfinished_bytes;
	uint32_t max_connections;
	uint32_t idle_timeout_s;
	void (*on_request)(void *arg, struct hs_exchange *x);
	void (*on_closed)(void *arg, struct hs_exchange *x);
	void *arg;
};

/** struct hs_server - all state; fields are private. */
struct hs_server {
	struct hs_desc _desc;
	struct MHD_Daemon *_daemon;
	struct hs_exchange *_exchanges;
	struct ba_account _account;
	ev_io _io;
	ev_timer _timer;
	ev_prepare _prepare;
	uint32_t _open;
	bool _is_quiesced;
};

enum st_code hs_init(struct hs_server *server, const struct hs_desc *desc);

/** hs_finish() - close every connection and the server. */
void hs_finish(struct hs_server *server);

/** hs_quiesce() - accept no new connections; open exchanges go on. */
void hs_quiesce(struct hs_server *server);

/** hs_port() - the port listened on. */
uint16_t hs_port(const struct hs_server *server);

/** hs_open() - exchanges that are not over. */
static inline uint32_t hs_open(const struct hs_server *server)
{
	return server->_open;
}

/** hs_header() - a header of the request by name (any case), or NULL. */
const char *hs_header(struct hs_exchange *x, const char *name);

/** hs_query() - a parameter of the URL's query, or NULL. */
const char *hs_query(struct hs_exchange *x, const char *name);

/** hs_each_header() - call @fn for every header of the request. */
void hs_each_header(struct hs_exchange *x,
		    void (*fn)(void *arg, const char *name, const char *value),
		    void *arg);

/** hs_append_query() - append "?a=b&c" to @out, or nothing. */
void hs_append_query(struct hs_exchange *x, GString *out);

/** hs_respond() - the whole answer; @headers may be NULL. Call once. */
void hs_respond(struct hs_exchange *x, uint32_t status,
		const struct hs_header *headers, const void *body,
		uint64_t bytes);

/** hs_begin() - start a streamed answer. Call once. */
void hs_begin(struct hs_exchange *x, uint32_t status,
	      const struct hs_header *headers);

/** hs_write() - add to the stream; the bytes are copied. */
void hs_write(struct hs_exchange *x, const void *data, uint64_t bytes);

/** hs_end() - the stream is complete. */
void hs_end(struct hs_exchange *x);

/** hs_abort() - the stream is incomplete and ends after what was written. */
void hs_abort(struct hs_exchange *x);

/** hs_drop_body() - free the request's body, which is not needed any more. */
void hs_drop_body(struct hs_exchange *x);

/** hs_unsent_bytes() - written to the stream and not yet taken by the net. */
uint64_t hs_unsent_bytes(const struct hs_exchange *x);

#endif
