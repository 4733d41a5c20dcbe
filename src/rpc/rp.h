/*
 * rp - ONC RPC between the processes, over non-blocking sockets.
 *
 * Overview
 *	An endpoint belongs to one task. It serves the procedures that the
 *	task registers and sends calls to other endpoints, on UDP and TCP at
 *	one address and port. Encoding and message headers are libtirpc's XDR
 *	(RFC 5531, RFC 4506); the sockets are ours, so no call blocks the loop.
 *
 *	Every call has a deadline. A reply is accepted only if its transaction
 *	id, the address it comes from and the incarnation of its sender match
 *	the call; all others are counted and dropped. Every message is
 *	authenticated with a key that the processes share, and carries the
 *	sender's hybrid logical clock, which the receiver's time line takes
 *	over. A message whose MAC is wrong is counted and dropped unread.
 *
 *	A call is not repeated by the endpoint: the caller decides.
 *
 * Use
 *	rp_init(&ep, &(struct rp_desc){ .loop = loop, .address = "127.0.0.1",
 *		.port = 7001, .key = key, .host = "h1", .role = "entry",
 *		.incarnation = inc });
 *	rp_serve(&ep, &(struct rp_procedure){ .number = BP_IX_LOOKUP,
 *		.args = (xdrproc_t)xdr_bp_ix_lookup,
 *		.args_bytes = sizeof(bp_ix_lookup),
 *		.result = (xdrproc_t)xdr_bp_ix_found,
 *		.handler = on_lookup, .arg = me });
 *	rp_call(&ep, &(struct rp_call_desc){ ... });
 */
#ifndef RP_H
#define RP_H

#include <ev.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define RP_KEY_BYTES 32
/* Below the usual path MTU of 1,500 bytes with the IP and UDP headers. */
#define RP_MAX_DATAGRAM_BYTES 1452
#define RP_MAX_RECORD_BYTES   (16u << 20)
#define RP_MAX_CALLS	      4096
#define RP_MAX_CONNECTIONS    256
#define RP_MAX_PROCEDURES     16
#define RP_DEFAULT_IDLE_MS    60000

struct rp_endpoint;
struct rp_request;
struct _rp_state;

enum rp_transport { RP_UDP = 0, RP_TCP };

/**
 * struct rp_peer - where a message comes from or goes to.
 * @ipv4: address in host byte order.
 * @port: of the endpoint.
 * @incarnation: of the process; 0 in a target accepts any.
 * @host: name of the sender (requests and replies only).
 * @role: role of the sender (requests and replies only).
 */
struct rp_peer {
	uint32_t ipv4;
	uint16_t port;
	uint64_t incarnation;
	char host[64];
	char role[16];
};

/**
 * struct rp_procedure - a procedure to serve.
 * @number: from the schema.
 * @args: XDR function of the argument; @args_bytes its size in memory.
 * @result: XDR function of the result, NULL for void.
 * @handler: gets the decoded argument, valid until it returns, and answers
 *	with rp_reply(), at once or later; every request is to be answered or
 *	dropped exactly once.
 * @arg: first argument of @handler.
 */
struct rp_procedure {
	uint32_t number;
	xdrproc_t args;
	uint32_t args_bytes;
	xdrproc_t result;
	void (*handler)(void *arg, struct rp_request *request,
			const void *args);
	void *arg;
};

/**
 * struct rp_call_desc - a call.
 * @to: target.
 * @transport: RP_UDP needs argument and result to fit one datagram.
 * @number: procedure.
 * @args: XDR function, NULL for void.
 * @args_value: the argument; encoded before rp_call() returns.
 * @result: XDR function of the result, NULL for void.
 * @result_bytes: size of the result in memory.
 * @deadline_ms: from now; required.
 * @on_done: ST_OK with the decoded result, which is freed after the call
 *	back; ST_UNAVAILABLE if nothing was sent; ST_TIMEOUT; ST_UNKNOWN if
 *	the connection broke after the call may have been sent; ST_DENIED if
 *	the peer refused the message; ST_STALE if another incarnation
 *	answered; ST_INVALID if the result could not be decoded.
 *	Never called from within rp_call(). May be NULL for a call whose
 *	reply does not matter, which is then not awaited.
 * @arg: first argument of @on_done.
 */
struct rp_call_desc {
	struct rp_peer to;
	enum rp_transport transport;
	uint32_t number;
	xdrproc_t args;
	const void *args_value;
	xdrproc_t result;
	uint32_t result_bytes;
	int64_t deadline_ms;
	void (*on_done)(void *arg, enum st_code code,
			const struct rp_peer *from, const void *result);
	void *arg;
};

/**
 * struct rp_traffic - a message that was sent or received.
 * @peer: the other end; @host is empty if only its address is known.
 * @number: of the procedure, also for its reply.
 * @bytes: of a datagram with its IP and UDP headers, or of a record with its
 *	mark.
 */
struct rp_traffic {
	const struct rp_peer *peer;
	uint32_t number;
	uint32_t bytes;
	bool is_sent;
};

/**
 * struct rp_desc - zero means default.
 * @loop: required.
 * @address: IP number to bind, required.
 * @port: for UDP and TCP; 0 lets the kernel choose; see rp_port().
 * @key: RP_KEY_BYTES shared by all processes, required.
 * @host: name of this host.
 * @role: of this process.
 * @incarnation: of this process, not 0; rp_new_incarnation() makes one.
 * @idle_ms: an unused TCP connection is closed after it, by the peer that was
 *	called after twice the time; default RP_DEFAULT_IDLE_MS.
 * @on_traffic: called for each message; may be NULL.
 * @traffic_arg: its first argument.
 */
struct rp_desc {
	struct ev_loop *loop;
	const char *address;
	uint16_t port;
	const uint8_t *key;
	const char *host;
	const char *role;
	uint64_t incarnation;
	int64_t idle_ms;
	void (*on_traffic)(void *arg, const struct rp_traffic *message);
	void *traffic_arg;
};

/** struct rp_endpoint - all state, behind one pointer. */
struct rp_endpoint {
	struct _rp_state *_state;
};

/** struct rp_handle - a call in flight; {0} names none. */
struct rp_handle {
	uint32_t slot;
	uint32_t generation;
};

/** rp_new_incarnation() - wall clock in microseconds, random low bits. */
uint64_t rp_new_incarnation(void);

enum st_code rp_init(struct rp_endpoint *ep, const struct rp_desc *desc);

/**
 * rp_finish() - drop calls and connections without calling back; not to be
 * called from a handler or an on_done.
 */
void rp_finish(struct rp_endpoint *ep);

/** rp_port() - the port bound. */
uint16_t rp_port(const struct rp_endpoint *ep);

enum st_code rp_serve(struct rp_endpoint *ep,
		      const struct rp_procedure *procedure);

/**
 * rp_call() - start a call.
 * @handle: filled in; may be NULL.
 *
 * Return: ST_INVALID if the argument does not fit the transport, ST_FULL with
 * RP_MAX_CALLS in flight; on_done is then not called.
 */
enum st_code rp_call(struct rp_endpoint *ep, const struct rp_call_desc *desc,
		     struct rp_handle *handle);

/** rp_cancel() - forget a call; its reply will be counted as late. */
void rp_cancel(struct rp_endpoint *ep, struct rp_handle handle);

/** rp_peer_of() - who sent a request; valid until it is answered. */
const struct rp_peer *rp_peer_of(const struct rp_request *request);

/** rp_reply() - answer a request and free it; NULL for a void result. */
void rp_reply(struct rp_request *request, const void *result);

/** rp_drop() - free a request without an answer. */
void rp_drop(struct rp_request *request);

#endif
