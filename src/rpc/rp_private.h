/*
 * rp_private - what the files of the endpoint share.
 *
 * Overview
 *	rp_endpoint.c	construction, the procedures served, requests
 *	rp_calls.c	calls in flight and the matching of replies
 *	rp_udp.c	the datagram socket
 *	rp_tcp.c	the listener and the connections
 *
 *	Transports hand whole messages to rp_receive(). A connection is closed
 *	only from its own watchers, from timers and from rp_finish(), never
 *	while a handler runs on one of its messages.
 */
#ifndef RP_PRIVATE_H
#define RP_PRIVATE_H

#include <ev.h>
#include <glib.h>

#include "kernel/mt.h"
#include "rpc/rp.h"
#include "rpc/rp_message.h"
#include "rpc/rp_record.h"

#define RP_MAX_REQUESTS	       4096
#define RP_MAX_CLOCK_OFFSET_MS 60000
/* Looks for idle connections in the time after which one is idle. */
#define RP_SWEEPS_EACH_IDLE 12
/* Of records that are not whole, over all connections. */
#define RP_MAX_BUFFERED_BYTES (48u << 20)
/* Of records not yet sent on one connection. */
#define RP_MAX_UNSENT_BYTES (32u << 20)

struct _rp_call;

/**
 * struct _rp_out - a record waiting to be written.
 * @call: that it belongs to, NULL for a reply or an unawaited call.
 * @written: of @bytes, record mark included.
 */
struct _rp_out {
	struct _rp_call *call;
	uint32_t bytes;
	uint32_t written;
	uint8_t data[];
};

/**
 * struct _rp_conn - a TCP connection.
 * @is_outgoing: carries our calls; else the peer's.
 * @is_retired: takes no new calls, closed when the last one has ended.
 * @is_reading: its messages are being handled right now.
 * @pending: calls awaited or requests unanswered on it.
 * @received: reads that brought bytes.
 */
struct _rp_conn {
	struct _rp_state *state;
	int fd;
	uint32_t ipv4;
	uint16_t port;
	bool is_outgoing;
	bool is_connecting;
	bool is_retired;
	bool is_reading;
	uint32_t pending;
	uint64_t received;
	int64_t active_ms;
	struct rp_record record;
	GQueue out;
	uint32_t out_bytes;
	ev_io readable;
	ev_io writable;
};

/**
 * struct _rp_call - a call in flight.
 * @failure: known already when the timer fires; ST_OK means the deadline.
 * @is_sent: a byte of it may have left this host.
 * @received_before: of the connection when the call was queued.
 */
struct _rp_call {
	struct _rp_state *state;
	uint32_t slot;
	uint32_t xid;
	struct rp_call_desc desc;
	enum st_code failure;
	bool is_sent;
	struct _rp_conn *conn;
	uint64_t received_before;
	ev_timer timer;
};

/**
 * struct rp_request - a request that a handler has not answered.
 * @state: NULL once the endpoint is finished.
 * @conn: it came on, NULL for UDP and once that is closed.
 * @number: of the procedure that was called, also if it is not served.
 */
struct rp_request {
	struct _rp_state *state;
	GList link;
	enum rp_transport transport;
	struct _rp_conn *conn;
	uint32_t xid;
	uint32_t number;
	const struct rp_procedure *procedure;
	struct rp_peer from;
};

struct _rp_state {
	struct ev_loop *loop;
	uint8_t key[RP_KEY_BYTES];
	char host[64];
	char role[16];
	uint64_t incarnation;
	uint32_t ipv4;
	uint16_t port;
	int64_t idle_ms;

	int udp_fd;
	int listen_fd;
	ev_io udp_io;
	ev_io listen_io;
	ev_timer sweep;

	struct rp_procedure procedures[RP_MAX_PROCEDURES];
	uint32_t procedure_count;
	GQueue requests;

	struct _rp_call *calls[RP_MAX_CALLS];
	uint32_t generations[RP_MAX_CALLS];
	uint16_t free_slots[RP_MAX_CALLS];
	uint32_t free_count;
	uint32_t xid_count;

	GPtrArray *conns;
	uint32_t conn_count[2];
	uint64_t buffered_bytes;
	void (*on_traffic)(void *arg, const struct rp_traffic *message);
	void *traffic_arg;
};

/* Of IPv4 and UDP. */
#define RP_DATAGRAM_HEADER_BYTES 28

/* Bytes of a received message beside itself; @conn: NULL for a datagram. */
static inline uint32_t rp_framing_bytes(const struct _rp_conn *conn)
{
	return conn ? RP_RECORD_MARK_BYTES : RP_DATAGRAM_HEADER_BYTES;
}

static inline void rp_count_traffic(const struct _rp_state *s,
				    const struct rp_peer *peer, uint32_t number,
				    uint32_t bytes, bool is_sent)
{
	if (s->on_traffic)
		s->on_traffic(
			s->traffic_arg,
			&(struct rp_traffic){ peer, number, bytes, is_sent });
}

/* rp_endpoint.c */
void rp_receive(struct _rp_state *s, struct _rp_conn *conn, uint32_t ipv4,
		uint16_t port, const uint8_t *data, uint32_t bytes);
void rp_sign_as(const struct _rp_state *s, struct rp_sender *sender,
		uint64_t addressed);

/* rp_calls.c */
void rp_calls_init(struct _rp_state *s);
void rp_calls_finish(struct _rp_state *s);
void rp_take_reply(struct _rp_state *s, struct _rp_conn *conn, uint32_t ipv4,
		   uint16_t port, const struct rp_message *m,
		   const uint8_t *data, uint32_t bytes);
void rp_calls_conn_closed(struct _rp_state *s, struct _rp_conn *conn);

/* rp_udp.c */
enum st_code rp_udp_open(struct _rp_state *s);
void rp_udp_close(struct _rp_state *s);
enum st_code rp_udp_send(struct _rp_state *s, uint32_t ipv4, uint16_t port,
			 const uint8_t *data, uint32_t bytes);

/* rp_tcp.c */
enum st_code rp_tcp_open(struct _rp_state *s);
void rp_tcp_close(struct _rp_state *s);
/* The connection to a target, opened if there is none; NULL on failure. */
struct _rp_conn *rp_tcp_target(struct _rp_state *s, uint32_t ipv4,
			       uint16_t port);
/* Room for a record with its mark; queued by rp_tcp_queue(). */
struct _rp_out *rp_tcp_out_new(uint32_t capacity);
enum st_code rp_tcp_queue(struct _rp_conn *conn, struct _rp_out *out);
/* Take back a call's record if none of it was written. */
void rp_tcp_take_back(struct _rp_conn *conn, struct _rp_call *call);

#endif
