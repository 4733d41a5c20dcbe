#include "membership/mb_task.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "rpc/gen/balsampin.h"

/* One of this many targets may be a dead member, so that partitions heal. */
#define MB_GOSSIP_DEAD_EVERY 8
#define MB_CALL_DEADLINE_MS  1000
/* Room for the RPC headers and the authenticator. */
#define MB_DATAGRAM_OVERHEAD_BYTES 340
#define MB_HEARTBEAT_WIRE_BYTES	   24

MT_COUNTER(mb_sent_total, "balsampin_gossip_sent_total",
	   "gossip datagrams sent")
MT_COUNTER(mb_received_total, "balsampin_gossip_received_total",
	   "gossip datagrams received")
MT_GAUGE(mb_members_gauge, "balsampin_members", "members known")

const struct mb_table *mb_task_table(const struct mb_task *mb)
{
	return &mb->_table;
}

static uint32_t mb_parse_ipv4(const char *address)
{
	struct in_addr a = { 0 };

	inet_pton(AF_INET, address, &a);
	return ntohl(a.s_addr);
}

/* Returns the record of the process with @role on a host. */
static struct mb_member mb_peer_member(const struct cf_peer *peer,
				       enum mb_role role)
{
	struct mb_member m = { .role = role };

	g_strlcpy(m.name, peer->name, sizeof(m.name));
	g_strlcpy(m.zone, peer->zone, sizeof(m.zone));
	g_strlcpy(m.region, peer->region, sizeof(m.region));
	m.ipv4 = mb_parse_ipv4(peer->address);
	switch (role) {
	case MB_ENTRY:
		m.http_port = peer->entry_http_port;
		m.rpc_port = peer->entry_rpc_port;
		break;
	case MB_INDEX:
		m.http_port = peer->index_http_port;
		m.rpc_port = peer->index_rpc_port;
		break;
	default:
		m.http_port = peer->control_http_port;
		m.rpc_port = peer->control_rpc_port;
	}
	return m;
}

static void mb_add_host(struct mb_task *mb, const struct cf_peer *peer)
{
	for (uint32_t role = MB_ENTRY; role <= MB_CONTROL; role++) {
		struct mb_member m = mb_peer_member(peer, role);

		mb_receive_record(&mb->_table, &m, ck_now_ms());
	}
}

static bp_member mb_to_wire(struct mb_member *m)
{
	return (bp_member){
		.name = m->name,
		.zone = m->zone,
		.region = m->region,
		.role = m->role,
		.state = m->state,
		.ipv4 = m->ipv4,
		.http_port = m->http_port,
		.rpc_port = m->rpc_port,
		.incarnation = m->incarnation,
		.heartbeat = m->heartbeat,
		.config_revision = m->config_revision,
	};
}

static struct mb_member mb_from_wire(const bp_member *wire)
{
	struct mb_member m = {
		.role = wire->role,
		.state = wire->state,
		.ipv4 = wire->ipv4,
		.http_port = (uint16_t)wire->http_port,
		.rpc_port = (uint16_t)wire->rpc_port,
		.incarnation = wire->incarnation,
		.heartbeat = wire->heartbeat,
		.config_revision = wire->config_revision,
	};

	g_strlcpy(m.name, wire->name, sizeof(m.name));
	g_strlcpy(m.zone, wire->zone, sizeof(m.zone));
	g_strlcpy(m.region, wire->region, sizeof(m.region));
	return m;
}

/* Counts the records that fit; leaves in @room the bytes for heartbeats. */
static uint32_t mb_count_fitting(bp_member *wire, uint32_t count,
				 uint32_t *room)
{
	uint32_t fitting = 0;

	while (fitting < count) {
		uint32_t bytes = (uint32_t)xdr_sizeof((xdrproc_t)xdr_bp_member,
						      &wire[fitting]);

		if (bytes > *room)
			break;
		*room -= bytes;
		fitting++;
	}
	return fitting;
}

static uint32_t mb_heartbeats_to_wire(struct mb_task *mb, uint32_t room,
				      struct mb_heartbeat *heartbeats,
				      bp_beat *wire)
{
	uint32_t capacity = MIN(room / MB_HEARTBEAT_WIRE_BYTES, BP_MAX_BEATS);
	uint32_t count =
		mb_select_heartbeats(&mb->_table, heartbeats, capacity);

	for (uint32_t i = 0; i < count; i++)
		wire[i] = (bp_beat){ heartbeats[i].member,
				     heartbeats[i].incarnation,
				     heartbeats[i].heartbeat };
	return count;
}

static void mb_send_to(struct mb_task *mb, const struct mb_member *target)
{
	struct mb_member records[BP_MAX_GOSSIP];
	bp_member wire[BP_MAX_GOSSIP];
	struct mb_heartbeat heartbeats[BP_MAX_BEATS];
	bp_beat wire_beats[BP_MAX_BEATS];
	bp_gossip gossip = { .members.members_val = wire,
			     .beats.beats_val = wire_beats };
	uint32_t room = RP_MAX_DATAGRAM_BYTES - MB_DATAGRAM_OVERHEAD_BYTES;
	uint32_t count = mb_select_records(&mb->_table, records, BP_MAX_GOSSIP);

	for (uint32_t i = 0; i < count; i++)
		wire[i] = mb_to_wire(&records[i]);
	count = mb_count_fitting(wire, count, &room);
	gossip.members.members_len = count;
	gossip.beats.beats_len =
		mb_heartbeats_to_wire(mb, room, heartbeats, wire_beats);
	if (rp_call(mb->_desc.rpc,
		    &(struct rp_call_desc){ .to = { .ipv4 = target->ipv4,
						    .port = target->rpc_port },
					    .number = BP_GOSSIP,
					    .args = (xdrproc_t)xdr_bp_gossip,
					    .args_value = &gossip,
					    .deadline_ms =
						    MB_CALL_DEADLINE_MS },
		    NULL) != ST_OK)
		return;
	mb_mark_records_sent(&mb->_table, records, count);
	mb_mark_heartbeats_sent(&mb->_table, heartbeats,
				gossip.beats.beats_len);
	mt_add(&mb_sent_total, 1);
}

static bool mb_is_target(struct mb_task *mb, const struct mb_member *m,
			 bool in_other_zone, bool allow_dead)
{
	bool is_own_zone = !strcmp(m->zone, mb->_desc.settings->self.zone);

	if (m == mb_self(&mb->_table) || m->role > MB_CONTROL)
		return false;
	if (m->state == MB_DEAD && !allow_dead)
		return false;
	return is_own_zone != in_other_zone;
}

/* Picks a random member by reservoir sampling, or NULL. */
static const struct mb_member *mb_pick_target(struct mb_task *mb,
					      bool in_other_zone)
{
	bool allow_dead = randombytes_uniform(MB_GOSSIP_DEAD_EVERY) == 0;
	const struct mb_member *picked = NULL;
	uint32_t seen = 0;

	for (uint32_t role = MB_ENTRY; role <= MB_CONTROL; role++) {
		const struct mb_member *m = NULL;

		while ((m = mb_next(&mb->_table, role, NULL, m))) {
			if (!mb_is_target(mb, m, in_other_zone, allow_dead))
				continue;
			if (randombytes_uniform(++seen) == 0)
				picked = m;
		}
	}
	return picked;
}

static void mb_gossip_round(struct mb_task *mb)
{
	for (uint32_t i = 0; i < MB_GOSSIP_FANOUT; i++) {
		bool in_other_zone =
			mb->_round++ % MB_GOSSIP_OTHER_ZONE_EVERY == 0;
		const struct mb_member *target =
			mb_pick_target(mb, in_other_zone);

		if (!target)
			target = mb_pick_target(mb, !in_other_zone);
		if (target)
			mb_send_to(mb, target);
	}
}

/* Notifies the whole zone at once; other zones learn it by gossip. */
static void mb_announce_leaving(struct mb_task *mb)
{
	for (uint32_t role = MB_ENTRY; role <= MB_CONTROL; role++) {
		const struct mb_member *m = NULL;

		while ((m = mb_next(&mb->_table, role, NULL, m)))
			if (mb_is_target(mb, m, false, false))
				mb_send_to(mb, m);
	}
}

static void mb_set_timer(struct mb_task *mb)
{
	double jitter = 0.75 + randombytes_uniform(1000) / 2000.0;

	ev_timer_set(&mb->_timer, MB_GOSSIP_PERIOD_MS / 1000.0 * jitter, 0.0);
	ev_timer_start(mb->_task->kernel->loop, &mb->_timer);
}

static void mb_on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct mb_task *mb = timer->data;

	mb_tick(&mb->_table, ck_now_ms());
	mb_gossip_round(mb);
	mt_set(&mb_members_gauge, mb->_table._order->len);
	mb_set_timer(mb);
}

/* Records in the time line how an update changed a member. */
static void mb_record_change(const struct mb_member *m, uint32_t state_before,
			     uint64_t incarnation_before)
{
	enum tl_kind kind = TL_MEMBER_UP;

	if (m->state == state_before && m->incarnation == incarnation_before)
		return;
	if (m->state == MB_LEAVING)
		kind = TL_MEMBER_LEAVING;
	else if (m->state != MB_ALIVE)
		kind = TL_MEMBER_DOWN;
	tl_record(kind, m->name, "role=%s state=%s", mb_role_name(m->role),
		  mb_state_name(m->state));
}

static void mb_on_gossip(void *arg, struct rp_request *request,
			 const void *args)
{
	struct mb_task *mb = arg;
	const bp_gossip *gossip = args;
	int64_t now_ms = ck_now_ms();

	mt_add(&mb_received_total, 1);
	for (uint32_t i = 0; i < gossip->members.members_len; i++) {
		struct mb_member record =
			mb_from_wire(&gossip->members.members_val[i]);
		const struct mb_member *m =
			mb_find(&mb->_table, record.role, record.name);
		uint32_t state = m ? m->state : MB_UNKNOWN;
		uint64_t incarnation = m ? m->incarnation : 0;

		mb_receive_record(&mb->_table, &record, now_ms);
		m = mb_find(&mb->_table, record.role, record.name);
		if (m)
			mb_record_change(m, state, incarnation);
	}
	for (uint32_t i = 0; i < gossip->beats.beats_len; i++) {
		const bp_beat *wire = &gossip->beats.beats_val[i];

		mb_receive_heartbeat(&mb->_table,
				     &(struct mb_heartbeat){ wire->member,
							     wire->incarnation,
							     wire->heartbeat },
				     now_ms);
	}
	rp_drop(request);
}

static void mb_apply_evidence(struct mb_task *mb, const struct mb_evidence *e)
{
	const struct mb_member *m = mb_find(&mb->_table, e->role, e->name);
	uint32_t state = m ? m->state : MB_UNKNOWN;
	uint64_t incarnation = m ? m->incarnation : 0;

	if (!m)
		return;
	if (e->is_leaving)
		mb_mark_leaving(&mb->_table, e->role, e->name, e->incarnation);
	else if (e->has_answered)
		mb_mark_answered(&mb->_table, e->role, e->name, e->incarnation,
				 ck_now_ms());
	else
		mb_mark_failed(&mb->_table, e->role, e->name, ck_now_ms());
	mb_record_change(m, state, incarnation);
}

static void mb_on_message(struct kn_task *task, struct kn_message *message)
{
	struct mb_task *mb = task->state;
	const struct mb_listing *listing = message->body;

	switch (message->type) {
	case MB_MSG_EVIDENCE:
		mb_apply_evidence(mb, message->body);
		break;
	case MB_MSG_HOST_LIST:
		mb_apply_host_list(&mb->_table, listing->members,
				   listing->count, ck_now_ms());
		break;
	case MB_MSG_REVISION:
		mb_self(&mb->_table)->config_revision = message->cookie;
		break;
	default:
		break;
	}
}

static enum st_code mb_on_start(struct kn_task *task)
{
	struct mb_task *mb = task->state;
	enum st_code code;

	mb->_task = task;
	code = rp_serve(mb->_desc.rpc, &(struct rp_procedure){
					       .number = BP_GOSSIP,
					       .args = (xdrproc_t)xdr_bp_gossip,
					       .args_bytes = sizeof(bp_gossip),
					       .handler = mb_on_gossip,
					       .arg = mb });
	if (code != ST_OK)
		return code;
	ev_timer_init(&mb->_timer, mb_on_timer, 0.0, 0.0);
	mb->_timer.data = mb;
	/* An immediate first round makes a restarted process known soon. */
	ev_feed_event(task->kernel->loop, &mb->_timer, EV_TIMER);
	return ST_OK;
}

static void mb_on_drain(struct kn_task *task)
{
	struct mb_task *mb = task->state;

	mb_self(&mb->_table)->state = MB_LEAVING;
	mb_announce_leaving(mb);
}

static void mb_on_stop(struct kn_task *task)
{
	struct mb_task *mb = task->state;

	ev_timer_stop(task->kernel->loop, &mb->_timer);
	mb_finish(&mb->_table);
}

static const struct kn_task_ops mb_ops = {
	"membership", mb_on_start, mb_on_message, mb_on_drain, NULL, mb_on_stop,
};

enum st_code mb_task_spawn(struct mb_task *mb, struct kn_kernel *kernel,
			   const struct mb_task_desc *desc,
			   struct kn_handle *handle)
{
	const struct cf_settings *settings = desc->settings;
	struct mb_member self = mb_peer_member(&settings->self, desc->role);

	memset(mb, 0, sizeof(*mb));
	mb->_desc = *desc;
	self.incarnation = desc->incarnation;
	mb_init(&mb->_table, &(struct mb_desc){ .self = &self });
	mb_add_host(mb, &settings->self);
	for (uint32_t i = 0; i < settings->peer_count; i++)
		mb_add_host(mb, &settings->peers[i]);
	return kn_spawn(kernel, &mb_ops, mb, handle);
}

static void mb_report(struct kn_kernel *kernel, struct kn_handle membership,
		      const struct mb_evidence *evidence)
{
	kn_post(kernel, membership,
		&(struct kn_message){
			.type = MB_MSG_EVIDENCE,
			.body = g_memdup2(evidence, sizeof(*evidence)),
			.free_body = g_free });
}

static struct mb_evidence mb_evidence_init(enum mb_role role, const char *name)
{
	struct mb_evidence evidence = { .role = role };

	g_strlcpy(evidence.name, name, sizeof(evidence.name));
	return evidence;
}

void mb_report_answered(struct kn_kernel *kernel, struct kn_handle membership,
			enum mb_role role, const char *name,
			uint64_t incarnation)
{
	struct mb_evidence evidence = mb_evidence_init(role, name);

	evidence.has_answered = true;
	evidence.incarnation = incarnation;
	mb_report(kernel, membership, &evidence);
}

void mb_report_failed(struct kn_kernel *kernel, struct kn_handle membership,
		      enum mb_role role, const char *name)
{
	struct mb_evidence evidence = mb_evidence_init(role, name);

	mb_report(kernel, membership, &evidence);
}

void mb_report_leaving(struct kn_kernel *kernel, struct kn_handle membership,
		       enum mb_role role, const char *name,
		       uint64_t incarnation)
{
	struct mb_evidence evidence = mb_evidence_init(role, name);

	evidence.is_leaving = true;
	evidence.incarnation = incarnation;
	mb_report(kernel, membership, &evidence);
}
