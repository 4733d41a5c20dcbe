#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/tl.h"
#include "rpc/gen/balsampin.h"
#include "rpc/rp_private.h"

/* With port 0 the kernel's TCP port may be taken for UDP: try others. */
#define RP_PORT_TRIES 16

MT_COUNTER(rp_messages_malformed, "balsampin_rpc_messages_malformed_total",
	   "messages whose header could not be decoded")
MT_COUNTER(rp_messages_forged, "balsampin_rpc_messages_forged_total",
	   "messages with a wrong MAC")
MT_COUNTER(rp_requests_stale, "balsampin_rpc_requests_stale_total",
	   "requests addressed to another incarnation")
MT_COUNTER(rp_requests_old, "balsampin_rpc_requests_old_total",
	   "requests stamped too far from the own clock")
MT_COUNTER(rp_requests_refused, "balsampin_rpc_requests_refused_total",
	   "requests of unknown procedures, with bad arguments or over the "
	   "limit")
MT_COUNTER(rp_requests_served, "balsampin_rpc_requests_total",
	   "requests handed to their procedure")

uint64_t rp_new_incarnation(void)
{
	uint64_t wall_us = (uint64_t)ck_wall_ms() * 1000;

	/* Two starts within a millisecond still differ. */
	return wall_us + g_random_int_range(0, 1000);
}

void rp_sign_as(const struct _rp_state *s, struct rp_sender *sender,
		uint64_t addressed)
{
	int64_t wall_ms = ck_wall_ms();

	g_strlcpy(sender->host, s->host, sizeof(sender->host));
	g_strlcpy(sender->role, s->role, sizeof(sender->role));
	sender->incarnation = s->incarnation;
	sender->stamp = ck_hlc_tick(tl_clock(), wall_ms);
	sender->wall_ms = (uint64_t)wall_ms;
	sender->addressed = addressed;
}

static enum st_code rp_open(struct _rp_state *s)
{
	bool any_port = s->port == 0;
	enum st_code code = ST_UNAVAILABLE;

	for (int i = 0; i < (any_port ? RP_PORT_TRIES : 1); i++) {
		s->port = any_port ? 0 : s->port;
		code = rp_tcp_open(s);
		if (code != ST_OK)
			return code;
		code = rp_udp_open(s);
		if (code == ST_OK)
			return ST_OK;
		rp_tcp_close(s);
	}
	return code;
}

enum st_code rp_init(struct rp_endpoint *ep, const struct rp_desc *desc)
{
	struct _rp_state *s;
	struct in_addr address;
	enum st_code code;

	ep->_state = NULL;
	if (sodium_init() < 0)
		return st_fail(ST_INTERNAL, "libsodium does not start");
	if (!desc->loop || !desc->key || !desc->incarnation || !desc->address ||
	    inet_pton(AF_INET, desc->address, &address) != 1)
		return st_fail(ST_INVALID, "endpoint needs loop, key, "
					   "incarnation and an IPv4 address");
	s = g_new0(struct _rp_state, 1);
	s->loop = desc->loop;
	memcpy(s->key, desc->key, sizeof(s->key));
	g_strlcpy(s->host, desc->host ? desc->host : "", sizeof(s->host));
	g_strlcpy(s->role, desc->role ? desc->role : "", sizeof(s->role));
	s->incarnation = desc->incarnation;
	s->ipv4 = ntohl(address.s_addr);
	s->port = desc->port;
	s->idle_ms = desc->idle_ms ? desc->idle_ms : RP_DEFAULT_IDLE_MS;
	s->on_traffic = desc->on_traffic;
	s->traffic_arg = desc->traffic_arg;
	s->udp_fd = -1;
	s->listen_fd = -1;
	g_queue_init(&s->requests);
	rp_calls_init(s);
	code = rp_open(s);
	if (code != ST_OK) {
		g_free(s);
		return code;
	}
	ep->_state = s;
	return ST_OK;
}

void rp_finish(struct rp_endpoint *ep)
{
	struct _rp_state *s = ep->_state;
	GList *link;

	if (!s)
		return;
	rp_calls_finish(s);
	rp_tcp_close(s);
	rp_udp_close(s);
	while ((link = g_queue_pop_head_link(&s->requests)))
		((struct rp_request *)link->data)->state = NULL;
	sodium_memzero(s->key, sizeof(s->key));
	g_free(s);
	ep->_state = NULL;
}

uint16_t rp_port(const struct rp_endpoint *ep)
{
	return ep->_state->port;
}

enum st_code rp_serve(struct rp_endpoint *ep,
		      const struct rp_procedure *procedure)
{
	struct _rp_state *s = ep->_state;

	if (s->procedure_count == RP_MAX_PROCEDURES)
		return st_fail(ST_FULL, "%u procedures", RP_MAX_PROCEDURES);
	for (uint32_t i = 0; i < s->procedure_count; i++)
		if (s->procedures[i].number == procedure->number)
			return st_fail(ST_CONFLICT, "procedure %u is served",
				       procedure->number);
	s->procedures[s->procedure_count++] = *procedure;
	return ST_OK;
}

static void rp_request_free(struct rp_request *request)
{
	if (request->state)
		g_queue_unlink(&request->state->requests, &request->link);
	if (request->conn)
		request->conn->pending--;
	g_free(request);
}

static enum st_code rp_answer_udp(const struct rp_request *request,
				  const struct rp_message *m, xdrproc_t proc,
				  const void *result)
{
	uint8_t data[RP_MAX_DATAGRAM_BYTES] __attribute__((aligned(8)));
	struct _rp_state *s = request->state;
	uint32_t bytes;

	if (rp_message_write(m, proc, result, s->key, data, sizeof(data),
			     &bytes) != ST_OK)
		return ST_INVALID;
	rp_udp_send(s, request->from.ipv4, request->from.port, data, bytes);
	rp_count_traffic(s, &request->from, request->number,
			 bytes + RP_DATAGRAM_HEADER_BYTES, true);
	return ST_OK;
}

static enum st_code rp_answer_tcp(const struct rp_request *request,
				  const struct rp_message *m, xdrproc_t proc,
				  const void *result)
{
	uint64_t capacity = RP_MAX_HEADER_BYTES + 4 * RP_MAC_BYTES;
	struct _rp_out *out;

	if (!request->conn)
		return ST_OK;
	if (proc)
		capacity += xdr_sizeof(proc, (void *)result);
	if (capacity > RP_MAX_RECORD_BYTES)
		return st_fail(ST_INVALID, "result exceeds a record");
	out = rp_tcp_out_new((uint32_t)capacity);
	if (rp_message_write(m, proc, result, request->state->key,
			     out->data + RP_RECORD_MARK_BYTES,
			     (uint32_t)capacity, &out->bytes) != ST_OK) {
		g_free(out);
		return ST_INVALID;
	}
	rp_record_mark(out->data, out->bytes);
	out->bytes += RP_RECORD_MARK_BYTES;
	rp_count_traffic(request->state, &request->from, request->number,
			 out->bytes, true);
	rp_tcp_queue(request->conn, out);
	return ST_OK;
}

static void rp_answer(struct rp_request *request, uint32_t status,
		      xdrproc_t proc, const void *result)
{
	struct rp_message m = { .xid = request->xid,
				.is_reply = true,
				.status = status };
	enum st_code code;

	rp_sign_as(request->state, &m.sender, request->from.incarnation);
	if (request->transport == RP_TCP)
		code = rp_answer_tcp(request, &m, proc, result);
	else
		code = rp_answer_udp(request, &m, proc, result);
	if (code == ST_OK)
		return;
	lg_warn("result cannot be sent", "reason", st_message(), NULL);
	if (status != SYSTEM_ERR)
		rp_answer(request, SYSTEM_ERR, NULL, NULL);
}

const struct rp_peer *rp_peer_of(const struct rp_request *request)
{
	return &request->from;
}

void rp_reply(struct rp_request *request, const void *result)
{
	if (request->state)
		rp_answer(request, SUCCESS, request->procedure->result, result);
	rp_request_free(request);
}

void rp_drop(struct rp_request *request)
{
	rp_request_free(request);
}

static const struct rp_procedure *rp_find(const struct _rp_state *s,
					  uint32_t number)
{
	for (uint32_t i = 0; i < s->procedure_count; i++)
		if (s->procedures[i].number == number)
			return &s->procedures[i];
	return NULL;
}

/* SUCCESS if the request may be decoded, else the status of the refusal. */
static uint32_t rp_admit(struct _rp_state *s, const struct rp_message *m,
			 const struct rp_request *request)
{
	uint64_t own_ms = (uint64_t)ck_wall_ms();
	uint64_t sent_ms = m->sender.wall_ms;
	uint64_t offset_ms =
		sent_ms > own_ms ? sent_ms - own_ms : own_ms - sent_ms;

	if (m->sender.addressed && m->sender.addressed != s->incarnation) {
		mt_add(&rp_requests_stale, 1);
		return SYSTEM_ERR;
	}
	if (offset_ms > RP_MAX_CLOCK_OFFSET_MS) {
		mt_add(&rp_requests_old, 1);
		return SYSTEM_ERR;
	}
	if (m->program != BALSAMPIN)
		return PROG_UNAVAIL;
	if (m->version != BALSAMPIN_V1)
		return PROG_MISMATCH;
	if (!request->procedure)
		return PROC_UNAVAIL;
	if (s->requests.length > RP_MAX_REQUESTS)
		return SYSTEM_ERR;
	return SUCCESS;
}

static struct rp_request *rp_request_new(struct _rp_state *s,
					 struct _rp_conn *conn,
					 const struct rp_message *m)
{
	struct rp_request *request = g_new0(struct rp_request, 1);

	request->state = s;
	request->link.data = request;
	g_queue_push_tail_link(&s->requests, &request->link);
	request->transport = conn ? RP_TCP : RP_UDP;
	request->conn = conn;
	if (conn)
		conn->pending++;
	request->xid = m->xid;
	request->procedure = rp_find(s, m->procedure);
	request->number = m->procedure;
	request->from.incarnation = m->sender.incarnation;
	g_strlcpy(request->from.host, m->sender.host,
		  sizeof(request->from.host));
	g_strlcpy(request->from.role, m->sender.role,
		  sizeof(request->from.role));
	return request;
}

static void rp_refuse(struct rp_request *request, uint32_t status)
{
	mt_add(&rp_requests_refused, 1);
	rp_answer(request, status, NULL, NULL);
	rp_request_free(request);
}

static void rp_dispatch(struct rp_request *request, const struct rp_message *m,
			const uint8_t *data, uint32_t bytes)
{
	const struct rp_procedure *procedure = request->procedure;
	void *args = procedure->args ? g_malloc0(procedure->args_bytes) : NULL;

	if (rp_message_body(m, data, bytes, procedure->args, args)) {
		mt_add(&rp_requests_served, 1);
		procedure->handler(procedure->arg, request, args);
	} else {
		rp_refuse(request, GARBAGE_ARGS);
	}
	if (procedure->args)
		xdr_free(procedure->args, args);
	g_free(args);
}

static void rp_take_call(struct _rp_state *s, struct _rp_conn *conn,
			 uint32_t ipv4, uint16_t port,
			 const struct rp_message *m, const uint8_t *data,
			 uint32_t bytes)
{
	struct rp_request *request = rp_request_new(s, conn, m);
	uint32_t status;

	request->from.ipv4 = ipv4;
	request->from.port = port;
	rp_count_traffic(s, &request->from, request->number,
			 bytes + rp_framing_bytes(conn), false);
	status = rp_admit(s, m, request);
	if (status == SUCCESS)
		rp_dispatch(request, m, data, bytes);
	else
		rp_refuse(request, status);
}

void rp_receive(struct _rp_state *s, struct _rp_conn *conn, uint32_t ipv4,
		uint16_t port, const uint8_t *data, uint32_t bytes)
{
	struct rp_message m;

	if (!rp_message_parse(&m, data, bytes)) {
		mt_add(&rp_messages_malformed, 1);
		return;
	}
	if (!rp_message_is_authentic(&m, data, bytes, s->key)) {
		mt_add(&rp_messages_forged, 1);
		return;
	}
	ck_hlc_observe(tl_clock(), m.sender.stamp, ck_wall_ms());
	if (m.is_reply)
		rp_take_reply(s, conn, ipv4, port, &m, data, bytes);
	else
		rp_take_call(s, conn, ipv4, port, &m, data, bytes);
}
