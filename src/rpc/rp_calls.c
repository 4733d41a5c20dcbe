#include <string.h>

#include "rpc/gen/balsampin.h"
#include "rpc/rp_private.h"

/*
 * A transaction id holds the call's slot in its low bits, a bit for calls
 * whose reply is not awaited, and a count above.
 */
#define RP_XID_SLOT_MASK (RP_MAX_CALLS - 1)
#define RP_XID_UNAWAITED RP_MAX_CALLS
#define RP_XID_COUNT_ONE (2 * RP_MAX_CALLS)

MT_COUNTER(rp_replies_late, "balsampin_rpc_replies_late_total",
	   "replies to no call in flight")
MT_COUNTER(rp_replies_crossed, "balsampin_rpc_replies_crossed_total",
	   "replies from an address that was not called, or meant for another")
MT_COUNTER(rp_replies_stale, "balsampin_rpc_replies_stale_total",
	   "replies of an incarnation that was not called")
MT_COUNTER(rp_replies_unawaited, "balsampin_rpc_replies_unawaited_total",
	   "replies to calls that do not wait for one")
MT_COUNTER(rp_replies_malformed, "balsampin_rpc_replies_malformed_total",
	   "replies whose result could not be decoded")
MT_COUNTER(rp_calls_sent, "balsampin_rpc_calls_total", "calls started")
MT_COUNTER(rp_calls_timeout, "balsampin_rpc_calls_timeout_total",
	   "calls whose deadline passed")

void rp_calls_init(struct _rp_state *s)
{
	for (uint32_t i = 0; i < RP_MAX_CALLS; i++)
		s->free_slots[i] = (uint16_t)i;
	s->free_count = RP_MAX_CALLS;
	s->xid_count = g_random_int();
}

static uint32_t rp_next_xid(struct _rp_state *s, uint32_t low_bits)
{
	s->xid_count++;
	return s->xid_count * RP_XID_COUNT_ONE | low_bits;
}

static struct _rp_call *rp_call_new(struct _rp_state *s,
				    const struct rp_call_desc *desc)
{
	struct _rp_call *call = g_new0(struct _rp_call, 1);

	call->state = s;
	call->desc = *desc;
	call->slot = s->free_slots[--s->free_count];
	call->xid = rp_next_xid(s, call->slot);
	s->calls[call->slot] = call;
	s->generations[call->slot]++;
	return call;
}

/* Frees the call and returns the descriptor, from which to call back. */
static struct rp_call_desc rp_call_free(struct _rp_call *call)
{
	struct _rp_state *s = call->state;
	struct rp_call_desc desc = call->desc;

	ev_timer_stop(s->loop, &call->timer);
	if (call->conn) {
		rp_tcp_take_back(call->conn, call);
		call->conn->pending--;
	}
	s->calls[call->slot] = NULL;
	s->free_slots[s->free_count++] = (uint16_t)call->slot;
	g_free(call);
	return desc;
}

/* @from: who answered, NULL if nobody did. */
static void rp_call_fail(struct _rp_call *call, enum st_code code,
			 const struct rp_peer *from)
{
	struct rp_call_desc desc = rp_call_free(call);

	desc.on_done(desc.arg, code, from ? from : &desc.to, NULL);
}

/*
 * A connection that brought nothing while a call on it ran into its deadline
 * may have gone silent for good: later calls open a new one.
 */
static void rp_call_retire_silent(const struct _rp_call *call)
{
	if (call->conn && call->conn->received == call->received_before)
		call->conn->is_retired = true;
}

static void rp_call_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct _rp_call *call = timer->data;

	if (call->failure != ST_OK) {
		rp_call_fail(call, call->failure, NULL);
		return;
	}
	mt_add(&rp_calls_timeout, 1);
	rp_call_retire_silent(call);
	if (call->is_sent)
		rp_call_fail(call, st_fail(ST_TIMEOUT, "no reply in time"),
			     NULL);
	else
		rp_call_fail(call, st_fail(ST_UNAVAILABLE, "no connection"),
			     NULL);
}

static void rp_call_start_timer(struct _rp_call *call, double after_s)
{
	struct ev_loop *loop = call->state->loop;

	ev_timer_stop(loop, &call->timer);
	ev_timer_init(&call->timer, rp_call_on_timer, after_s, 0.);
	call->timer.data = call;
	ev_timer_start(loop, &call->timer);
}

static void rp_call_message(const struct _rp_state *s,
			    const struct rp_call_desc *desc, uint32_t xid,
			    struct rp_message *m)
{
	*m = (struct rp_message){ .xid = xid,
				  .program = BALSAMPIN,
				  .version = BALSAMPIN_V1,
				  .procedure = desc->number };
	rp_sign_as(s, &m->sender, desc->to.incarnation);
}

static enum st_code rp_send_udp(struct _rp_state *s,
				const struct rp_call_desc *desc, uint32_t xid,
				struct _rp_call *call)
{
	uint8_t data[RP_MAX_DATAGRAM_BYTES] __attribute__((aligned(8)));
	struct rp_message m;
	uint32_t bytes;

	rp_call_message(s, desc, xid, &m);
	if (rp_message_write(&m, desc->args, desc->args_value, s->key, data,
			     sizeof(data), &bytes) != ST_OK)
		return ST_INVALID;
	if (rp_udp_send(s, desc->to.ipv4, desc->to.port, data, bytes) != ST_OK)
		return ST_UNAVAILABLE;
	if (call)
		call->is_sent = true;
	rp_count_traffic(s, &desc->to, desc->number,
			 bytes + RP_DATAGRAM_HEADER_BYTES, true);
	return ST_OK;
}

static enum st_code rp_send_tcp(struct _rp_state *s,
				const struct rp_call_desc *desc, uint32_t xid,
				struct _rp_call *call)
{
	uint64_t capacity = RP_MAX_HEADER_BYTES + 4 * RP_MAC_BYTES;
	struct _rp_conn *conn;
	struct rp_message m;
	struct _rp_out *out;

	if (desc->args)
		capacity += xdr_sizeof(desc->args, (void *)desc->args_value);
	if (capacity > RP_MAX_RECORD_BYTES)
		return st_fail(ST_INVALID, "argument exceeds a record");
	out = rp_tcp_out_new((uint32_t)capacity);
	rp_call_message(s, desc, xid, &m);
	if (rp_message_write(&m, desc->args, desc->args_value, s->key,
			     out->data + RP_RECORD_MARK_BYTES,
			     (uint32_t)capacity, &out->bytes) != ST_OK) {
		g_free(out);
		return ST_INVALID;
	}
	rp_record_mark(out->data, out->bytes);
	out->bytes += RP_RECORD_MARK_BYTES;
	conn = rp_tcp_target(s, desc->to.ipv4, desc->to.port);
	if (!conn) {
		g_free(out);
		return st_fail(ST_UNAVAILABLE, "no connection");
	}
	rp_count_traffic(s, &desc->to, desc->number, out->bytes, true);
	out->call = call;
	if (call) {
		call->conn = conn;
		call->received_before = conn->received;
		conn->pending++;
	}
	return rp_tcp_queue(conn, out);
}

static enum st_code rp_send(struct _rp_state *s,
			    const struct rp_call_desc *desc, uint32_t xid,
			    struct _rp_call *call)
{
	mt_add(&rp_calls_sent, 1);
	if (desc->transport == RP_TCP)
		return rp_send_tcp(s, desc, xid, call);
	return rp_send_udp(s, desc, xid, call);
}

enum st_code rp_call(struct rp_endpoint *ep, const struct rp_call_desc *desc,
		     struct rp_handle *handle)
{
	struct _rp_state *s = ep->_state;
	struct _rp_call *call;
	enum st_code code;

	if (handle)
		*handle = (struct rp_handle){ 0 };
	if (!desc->on_done) {
		code = rp_send(s, desc, rp_next_xid(s, RP_XID_UNAWAITED), NULL);
		return code == ST_INVALID ? code : ST_OK;
	}
	if (!s->free_count)
		return st_fail(ST_FULL, "%u calls in flight", RP_MAX_CALLS);
	if (desc->deadline_ms <= 0)
		return st_fail(ST_INVALID, "call without a deadline");
	call = rp_call_new(s, desc);
	code = rp_send(s, desc, call->xid, call);
	if (code == ST_INVALID) {
		rp_call_free(call);
		return code;
	}
	call->failure = code;
	ev_now_update(s->loop);
	rp_call_start_timer(
		call, code == ST_OK ? (double)desc->deadline_ms / 1000. : 0.);
	if (handle)
		*handle = (struct rp_handle){ call->slot + 1,
					      s->generations[call->slot] };
	return ST_OK;
}

void rp_cancel(struct rp_endpoint *ep, struct rp_handle handle)
{
	struct _rp_state *s = ep->_state;
	uint32_t slot = handle.slot - 1;

	if (!s || !handle.slot || slot >= RP_MAX_CALLS || !s->calls[slot] ||
	    s->generations[slot] != handle.generation)
		return;
	rp_call_free(s->calls[slot]);
}

void rp_calls_conn_closed(struct _rp_state *s, struct _rp_conn *conn)
{
	struct _rp_call *call;

	/* The timer calls back later: a caller may be at work right now. */
	for (uint32_t i = 0; conn->pending && i < RP_MAX_CALLS; i++) {
		call = s->calls[i];
		if (!call || call->conn != conn)
			continue;
		rp_tcp_take_back(conn, call);
		call->conn = NULL;
		conn->pending--;
		call->failure = call->is_sent ? ST_UNKNOWN : ST_UNAVAILABLE;
		rp_call_start_timer(call, 0.);
	}
}

void rp_calls_finish(struct _rp_state *s)
{
	for (uint32_t i = 0; i < RP_MAX_CALLS; i++)
		if (s->calls[i])
			rp_call_free(s->calls[i]);
}

/* The call that a reply belongs to; else counts why there is none. */
static struct _rp_call *rp_match(struct _rp_state *s,
				 const struct _rp_conn *conn, uint32_t ipv4,
				 uint16_t port, const struct rp_message *m)
{
	struct _rp_call *call = s->calls[m->xid & RP_XID_SLOT_MASK];

	if (m->xid & RP_XID_UNAWAITED) {
		mt_add(&rp_replies_unawaited, 1);
		return NULL;
	}
	if (!call || call->xid != m->xid) {
		mt_add(&rp_replies_late, 1);
		return NULL;
	}
	if ((call->desc.transport == RP_TCP) != (conn != NULL) ||
	    call->conn != conn || call->desc.to.ipv4 != ipv4 ||
	    call->desc.to.port != port ||
	    m->sender.addressed != s->incarnation) {
		mt_add(&rp_replies_crossed, 1);
		return NULL;
	}
	return call;
}

static void rp_call_succeed(struct _rp_call *call, const struct rp_peer *from,
			    const struct rp_message *m, const uint8_t *data,
			    uint32_t bytes)
{
	struct rp_call_desc desc = rp_call_free(call);
	void *result = desc.result ? g_malloc0(desc.result_bytes) : NULL;
	enum st_code code = ST_OK;

	if (!rp_message_body(m, data, bytes, desc.result, result)) {
		mt_add(&rp_replies_malformed, 1);
		code = st_fail(ST_INVALID, "reply cannot be decoded");
	}
	desc.on_done(desc.arg, code, from, code == ST_OK ? result : NULL);
	if (desc.result)
		xdr_free(desc.result, result);
	g_free(result);
}

void rp_take_reply(struct _rp_state *s, struct _rp_conn *conn, uint32_t ipv4,
		   uint16_t port, const struct rp_message *m,
		   const uint8_t *data, uint32_t bytes)
{
	struct _rp_call *call = rp_match(s, conn, ipv4, port, m);
	struct rp_peer from = { .ipv4 = ipv4, .port = port };
	uint64_t wanted;

	if (!call)
		return;
	from.incarnation = m->sender.incarnation;
	g_strlcpy(from.host, m->sender.host, sizeof(from.host));
	g_strlcpy(from.role, m->sender.role, sizeof(from.role));
	rp_count_traffic(s, &from, call->desc.number,
			 bytes + rp_framing_bytes(conn), false);
	wanted = call->desc.to.incarnation;
	if (wanted && wanted != from.incarnation) {
		mt_add(&rp_replies_stale, 1);
		rp_call_fail(call, st_fail(ST_STALE, "peer has restarted"),
			     &from);
	} else if (m->status != SUCCESS) {
		rp_call_fail(call,
			     st_fail(ST_DENIED, "peer refused: %u", m->status),
			     &from);
	} else {
		rp_call_succeed(call, &from, m, data, bytes);
	}
}
