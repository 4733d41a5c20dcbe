/*
 * h1_server - HTTP/1.1 server on the task's libev loop.
 *
 * Overview
 *	Reads each request whole, within limits, and hands it over as an
 *	exchange with its raw target, all header fields in order and the body.
 *	The owner answers at once or later: with one whole answer
 *	(h1_respond()), or piece by piece (h1_begin(), h1_write(), h1_end()).
 *	h1_abort() closes the connection, so that the caller sees an answer
 *	that is incomplete.
 *
 *	on_gone is called at most once, when the caller closes its connection
 *	while an answer is due; the exchange must then be left alone. A loop
 *	that is behind calls it late: before work that cannot be undone, ask
 *	h1_has_caller_left(). After h1_respond(), h1_end() and h1_abort() the
 *	exchange must be left alone, too. These
 *	only note what is to be sent: connections are written, closed, and read
 *	for their next request from the loop.
 *
 *	An answer is owed until its last byte has been written to the socket:
 *	h1_server_busy() counts it, and neither the idle timeout nor
 *	h1_server_close_idle() ends its connection.
 *
 *	libmicrohttpd reads a request with both Content-Length and
 *	Transfer-Encoding, which may hide a second request, and gives no say
 *	over the closing of a kept connection; http_parser, which Debian has
 *	as a library, leaves both to us (tests/unit/http1_server_test.cc).
 *
 * Use
 *	h1_server_init(&server, &(struct h1_server_desc){ .loop = loop,
 *		.address = "127.0.0.1", .port = 8080,
 *		.on_request = on_request, .arg = me });
 *
 * Limits
 *	Header fields over max_header_bytes or max_fields get 431, a target over
 *	max_target_bytes 414, a body over max_body_bytes 413, what is no request
 *	400. What finds no room in the account gets 503 with Retry-After; small
 *	requests are read in any case (h1_guard.h). Idle connections hold no
 *	large memory.
 */
#ifndef H1_SERVER_H
#define H1_SERVER_H

#include <ev.h>
#include <stdint.h>

#include "http1/h1_guard.h"
#include "http1/h1_headers.h"
#include "kernel/st.h"

#define H1_DEFAULT_MAX_HEADER_BYTES  (16u << 10)
#define H1_DEFAULT_MAX_BODY_BYTES    (8u << 20)
#define H1_DEFAULT_HEADER_TIMEOUT_MS 10000
#define H1_DEFAULT_IDLE_TIMEOUT_MS   60000
#define H1_DEFAULT_UNREAD_TIMEOUT_MS 15000
/* A field takes four bytes of a head at least; see H1_DEFAULT_MAX_HEADER_BYTES.
 */
#define H1_DEFAULT_MAX_FIELDS 4096
/* Its text and the final zero fit 8 KB, to which GLib rounds. */
#define H1_DEFAULT_MAX_PIPELINED_BYTES 8191
#define H1_DEFAULT_RATE_GRACE_MS       10000
#define H1_LABEL_BYTES		       64

struct h1_server;
struct _h1_connection;

/**
 * struct h1_exchange - one request and its answer. Readable fields:
 * @method: such as "POST".
 * @target: path and query as sent.
 * @headers: all fields as sent.
 * @body: the whole body without framing.
 * @is_body_dropped: @body is empty, as on_head said that nobody needs it.
 * @arrived_ms: ck_now_ms() of the first byte.
 * @arg: for the owner's use.
 */
struct h1_exchange {
	const char *method;
	const char *target;
	struct h1_headers *headers;
	GString *body;
	bool is_body_dropped;
	int64_t arrived_ms;
	void *arg;

	struct _h1_connection *_connection;
};

/**
 * struct h1_limits - what a caller may do; may change while serving.
 * @header_timeout_ms: from the first byte of a request to the end of its
 *	header fields; and between two bytes of its body.
 * @idle_timeout_ms: without a request.
 * @max_held_bytes: budget of the account of a server without a guard of its
 *	process; 0 is unlimited.
 * @max_fields: header fields of a request.
 * @max_target_bytes: path and query; 0: @max_header_bytes alone holds.
 * @max_pipelined_bytes: read from a connection while an answer is due on it;
 *	the rest waits in the network.
 * @min_bytes_per_s: of a request that is not whole @rate_grace_ms after its
 *	first byte; 0: any.
 * @unread_timeout_ms: in which it reads nothing of its answer.
 */
struct h1_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
	int64_t unread_timeout_ms;
	uint64_t max_held_bytes;
	uint32_t max_fields;
	uint64_t max_target_bytes;
	uint64_t max_pipelined_bytes;
	uint64_t min_bytes_per_s;
	int64_t rate_grace_ms;
};

/**
 * struct h1_server_desc - zero means default.
 * @loop: required.
 * @address: IP number to listen on, required.
 * @port: 0 lets the kernel choose; see h1_server_port().
 * @limits: see struct h1_limits.
 * @on_request: a whole request has come; required.
 * @on_gone: the caller has left before the end of its answer.
 * @on_refused: a request was answered without being handed over; @headers are
 *	those that have been read. May be NULL.
 * @on_head: the header fields of a request with a large body have come; false
 *	if nobody needs the body, which is then read and not kept. May be NULL.
 * @on_shed: a connection was closed, or its request refused, to make room for
 *	others; @reason: "memory" or "descriptors". May be NULL.
 * @guard: of all servers of the process; NULL: the server has its own.
 * @is_control: for readiness or metrics; keeps no bodies, and has places that
 *	callers do not take.
 * @arg: first argument of all.
 */
struct h1_server_desc {
	struct ev_loop *loop;
	const char *address;
	uint16_t port;
	struct h1_limits limits;
	void (*on_request)(void *arg, struct h1_exchange *x);
	void (*on_gone)(void *arg, struct h1_exchange *x);
	void (*on_refused)(void *arg, const struct h1_headers *headers,
			   uint32_t status);
	bool (*on_head)(void *arg, const struct h1_exchange *x);
	void (*on_shed)(void *arg, const char *reason,
			enum h1_standing standing);
	struct h1_guard *guard;
	bool is_control;
	void *arg;
};

/** struct h1_server - all state; @limits may be changed. */
struct h1_server {
	struct h1_limits limits;
	struct h1_server_desc _desc;
	struct _h1_connection *_connections;
	int _fd;
	ev_io _accept;
	ev_timer _sweep;
	uint32_t _open;
	uint32_t _busy;
	struct h1_guard *_guard;
	struct h1_guard _own_guard;
	struct ba_account _own_account;
	bool _is_draining;
};

enum st_code h1_server_init(struct h1_server *server,
			    const struct h1_server_desc *desc);
void h1_server_finish(struct h1_server *server);
uint16_t h1_server_port(const struct h1_server *server);

/**
 * h1_server_drain() - every answer from now on ends its connection. New
 * connections are still served, as the balancer may send some for a while.
 */
void h1_server_drain(struct h1_server *server);

/**
 * h1_server_close_idle() - close connections on which nothing is due. Those on
 * which a request has come, or the first one is expected, stay.
 */
void h1_server_close_idle(struct h1_server *server);

/** h1_server_busy() - answers that are due or not yet sent. */
static inline uint32_t h1_server_busy(const struct h1_server *server)
{
	return server->_busy;
}

/** h1_server_held_bytes() - by all connections of the guard, beyond what is
 * guaranteed to them. */
static inline uint64_t h1_server_held_bytes(const struct h1_server *server)
{
	return ba_kind_held_bytes(server->_guard->account, BA_CALLERS);
}

/** h1_server_open() - connections. */
static inline uint32_t h1_server_open(const struct h1_server *server)
{
	return server->_open;
}

/** h1_respond() - the whole answer; @headers may be NULL. */
void h1_respond(struct h1_exchange *x, uint32_t status,
		const struct h1_headers *headers, const void *body,
		uint64_t bytes);

/**
 * h1_begin() - start an answer that comes piece by piece.
 * @body_bytes: its length; -1 sends it in chunks.
 */
void h1_begin(struct h1_exchange *x, uint32_t status,
	      const struct h1_headers *headers, int64_t body_bytes);
void h1_write(struct h1_exchange *x, const void *data, uint64_t bytes);
void h1_end(struct h1_exchange *x);
void h1_abort(struct h1_exchange *x);

/** h1_set_label() - the id by which log lines name the request. */
void h1_set_label(struct h1_exchange *x, const char *label);

/**
 * h1_may_take() - whether there is room for @bytes more of an answer; others
 * may be closed for it. An answer is sent in any case.
 */
bool h1_may_take(struct h1_exchange *x, uint64_t bytes);

/**
 * h1_has_caller_left() - whether the caller has closed its connection, or its
 * sending half, behind all that has been read from it. Found at once, also
 * where on_gone has not been called yet.
 */
bool h1_has_caller_left(const struct h1_exchange *x);

/** h1_unsent_bytes() - written and not yet taken by the network. */
uint64_t h1_unsent_bytes(const struct h1_exchange *x);

#endif
