/*
 * h1_client - HTTP/1.1 calls to upstreams over kept connections.
 *
 * Overview
 *	A call goes out on an idle connection to its peer or on a new one, and
 *	is never repeated here: whether a failed call may be sent again is the
 *	caller's decision, for which the outcome says whether a byte of it may
 *	have reached the peer. libcurl repeats a call by itself when a kept
 *	connection turns out to be closed
 *	(tests/unit/net_test.cc, FreshConnectionIsNeverRepeated).
 *
 *	on_head may reject an answer that belongs to an earlier request; it is
 *	then skipped, and the next one on the connection is awaited. Bytes on
 *	an idle connection close it.
 *
 *	What comes before the answer and its body are bounded: a peer may send
 *	without end. What is no valid answer (h1_check.h) is not handed over:
 *	on_head has not been called for a head that is none.
 *
 *	After on_done the call is over. h1_call_cancel() ends one early and
 *	closes its connection, from which the peer learns of it; nothing is
 *	called back then.
 *
 * Use
 *	h1_peer_init(&peer, loop, ipv4, port);
 *	h1_call_start(&call, &(struct h1_call_desc){ .peer = &peer,
 *		.method = "POST", .target = "/x", .headers = &headers,
 *		.body = body, .body_bytes = n, .connect_timeout_ms = 300,
 *		.on_done = done, .arg = me });
 */
#ifndef H1_CLIENT_H
#define H1_CLIENT_H

#include <ev.h>
#include <stdint.h>

#include "http1/h1_headers.h"
#include "kernel/st.h"

struct _h1_link;

/**
 * enum h1_outcome - how a call ended.
 * @H1_DONE: a whole answer came.
 * @H1_NOT_SENT: no connection; no byte of the call left.
 * @H1_BROKEN: the connection ended before the answer was whole.
 * @H1_GARBLED: what came is no HTTP answer.
 * @H1_TOO_LARGE: more came than the call takes.
 * @H1_NO_DESCRIPTOR: like H1_NOT_SENT, and the peer has no part in it: this
 *	process has too many descriptors open.
 */
enum h1_outcome {
	H1_DONE = 0,
	H1_NOT_SENT,
	H1_BROKEN,
	H1_GARBLED,
	H1_TOO_LARGE,
	H1_NO_DESCRIPTOR
};

#define H1_DEFAULT_MAX_ANSWER_BYTES (8u << 20)
/** Of answers that are skipped and heads that are not final. */
#define H1_MAX_BEFORE_ANSWER_BYTES (256u << 10)

/**
 * enum h1_presence - what a check of a peer found.
 * @H1_THERE: it took a connection.
 * @H1_REFUSED: its host answers, and nothing listens there.
 * @H1_SILENT: no answer in time, or no way there.
 * @H1_UNCHECKED: it was not asked, for want of a descriptor.
 */
enum h1_presence { H1_THERE = 0, H1_REFUSED, H1_SILENT, H1_UNCHECKED };

/**
 * struct h1_peer - an upstream's address and the connections to it.
 * Readable fields:
 * @open: connections, busy ones included.
 * @made: connections made since the start.
 */
struct h1_peer {
	uint32_t open;
	uint64_t made;

	struct ev_loop *_loop;
	struct _h1_link *_idle;
	uint32_t _ipv4;
	uint16_t _port;
};

/** struct h1_call - memory of the caller; fields are private. */
struct h1_call {
	struct _h1_link *_link;
};

/**
 * struct h1_call_desc - zero means default.
 * @peer: required.
 * @method: required.
 * @target: path and query, required.
 * @headers: without those of framing.
 * @body: copied.
 * @body_bytes: 0 sends none.
 * @connect_timeout_ms: required.
 * @max_answer_bytes: of the body; default H1_DEFAULT_MAX_ANSWER_BYTES.
 * @on_sent: all of it has been taken by the network, and the copy of the body
 *	is freed; may come before h1_call_start() returns. May be NULL.
 * @on_head: status and fields of an answer; false skips it. May be NULL.
 * @on_body: a piece of the body; may be NULL.
 * @on_done: the end; required. May start other calls.
 * @arg: first argument of all.
 */
struct h1_call_desc {
	struct h1_peer *peer;
	const char *method;
	const char *target;
	const struct h1_headers *headers;
	const void *body;
	uint64_t body_bytes;
	int64_t connect_timeout_ms;
	uint64_t max_answer_bytes;
	void (*on_sent)(void *arg);
	bool (*on_head)(void *arg, uint32_t status,
			const struct h1_headers *headers);
	void (*on_body)(void *arg, const char *data, uint64_t bytes);
	void (*on_done)(void *arg, enum h1_outcome outcome);
	void *arg;
};

/** h1_peer_init() - @ipv4 in host byte order. */
void h1_peer_init(struct h1_peer *peer, struct ev_loop *loop, uint32_t ipv4,
		  uint16_t port);

/** h1_peer_finish() - close idle connections; no call may be under way. */
void h1_peer_finish(struct h1_peer *peer);

/** h1_peer_close_idle() - close what is not in use. */
void h1_peer_close_idle(struct h1_peer *peer);

/**
 * h1_peer_check() - does the peer take a connection?
 * @on_checked: called from the loop, once. The connection is kept for calls.
 */
void h1_peer_check(struct h1_peer *peer, int64_t timeout_ms,
		   void (*on_checked)(void *arg, enum h1_presence presence),
		   void *arg);

/** h1_call_start() - returns at once; the callbacks come from the loop. */
void h1_call_start(struct h1_call *call, const struct h1_call_desc *desc);

/** h1_call_is_active() - between its start and on_done. */
static inline bool h1_call_is_active(const struct h1_call *call)
{
	return call->_link != NULL;
}

/**
 * h1_call_cancel() - no effect on one that is over. May be called from the
 * callbacks of the call; its peer may be finished right after.
 */
void h1_call_cancel(struct h1_call *call);

/** h1_call_is_first() - no call used its connection before. */
bool h1_call_is_first(const struct h1_call *call);

/** h1_call_was_sent() - a byte of it may have reached the peer. */
bool h1_call_was_sent(const struct h1_call *call);

const char *h1_outcome_name(enum h1_outcome outcome);

/**
 * h1_outcome_reason() - for on_done, before anything else fails.
 *
 * Return: why a call is broken or garbled, in words; "" for other outcomes.
 */
const char *h1_outcome_reason(enum h1_outcome outcome);

#endif
