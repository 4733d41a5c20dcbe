/*
 * Messages between hosts: load, held prefixes, whether the store answers.
 */
#include <sodium.h>
#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_bound.h"
#include "gateway/gw_catchup.h"
#include "gateway/gw_duty.h"
#include "gateway/gw_notice.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_poison.h"
#include "gateway/gw_relay.h"
#include "gateway/gw_start.h"
#include "gateway/gw_traffic.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "rpc/gen/balsampin.h"

/* A third of the shortest period of messages to a peer. */
#define GW_PEERS_TICK_S 0.02
/* Period of the messages to a peer: the time in which ten hosts together place
 * one or two requests. It grows with the number of peers to bound the traffic,
 * which is expensive between regions. */
#define GW_NEAR_PERIOD_MS   60
#define GW_FAR_PERIOD_MS    200
#define GW_NEAR_PER_PEER_MS 6
#define GW_FAR_PER_PEER_MS  60
/* A peer is silent if it has sent nothing for three of the longest message
 * periods. Messages to it become rare, and the load that it last reported
 * counts as finished. */
#define GW_SILENT_MS	    6000
#define GW_SILENT_PERIOD_MS 4000
#define GW_FORGET_LOAD_MS   5000
/* Longer than any engine or store keeps a prefix. */
#define GW_FORGET_HELD_MS 30000
#define GW_SWEEP_MS	  1000
/* The fraction of the always allowed retries that is divided among the present
 * hosts. The rest is for hosts that join or leave within the period over which
 * retries are counted. */
#define GW_RETRY_FLOOR_FRACTION 0.6
/* A host that starts has heard the others of its zone after this time, and
 * knows whether it is on duty. Its first messages to other zones then take this
 * long.
 */
#define GW_DUTY_KNOWN_MS    300
#define GW_FIRST_ON_DUTY_MS 500
/* Held prefixes that are waiting to be sent; older ones are dropped. */
#define GW_MAX_ANNOUNCEMENTS 1024

MT_COUNTER(gw_peer_sent, "balsampin_gateway_peer_messages_sent_total",
	   "load messages sent to other hosts")
MT_COUNTER(gw_peer_received, "balsampin_gateway_peer_messages_heard_total",
	   "load messages received from other hosts")

static void gw_sync_started_peer(struct gw_peers *p, const struct gw_peer *peer,
				 const struct rp_peer *from)
{
	gw_poison_sync_peer(p->gateway, from);
	if (gw_collect_is_member(p, peer))
		gw_notice_sync_peer(p->gateway, from);
}

static void gw_note_interval(struct gw_peer *peer, int64_t now_ms)
{
	peer->intervals_ms[0] = peer->intervals_ms[1];
	peer->intervals_ms[1] = peer->load_ms ? now_ms - peer->load_ms : 0;
	peer->load_ms = now_ms;
}

static void gw_on_load(void *arg, struct rp_request *request, const void *args)
{
	struct gw_peers *p = arg;
	const bp_gateway_load *message = args;
	const struct rp_peer *from = rp_peer_of(request);
	struct pe_share shares[BP_MAX_SHARES];
	struct gw_peer *peer;
	int64_t now_ms = ck_now_ms();

	mt_add(&gw_peer_received, 1);
	gw_traffic_move_held(p, from, BP_GATEWAY_LOAD, message->held.held_len,
			     false);
	for (uint32_t i = 0; i < message->shares.shares_len; i++) {
		const bp_share *share = &message->shares.shares_val[i];

		shares[i] = (struct pe_share){ share->engine, share->running,
					       share->tokens };
	}
	pe_load_receive(&p->gateway->peer_load, from->incarnation,
			message->sequence, shares, message->shares.shares_len,
			now_ms);
	peer = gw_hosts_find(&p->hosts, from->ipv4, from->port);
	for (uint32_t i = 0; i < message->held.held_len; i++) {
		const bp_held *held = &message->held.held_val[i];

		if (pe_held_add(&p->gateway->held, held->key, held->engine,
				now_ms) &&
		    peer && gw_collect_is_member(p, peer))
			gw_collect_relay(p, held, true);
	}
	if (peer) {
		gw_note_interval(peer, now_ms);
		peer->received_ms = now_ms;
		peer->is_seen = true;
		peer->takes_part = message->takes_part;
		if (peer->incarnation != from->incarnation) {
			gw_sync_started_peer(p, peer, from);
			/* Tells it soon that this host is alive. */
			if (gw_collect_is_member(p, peer))
				peer->sent_ms = 0;
		}
		peer->incarnation = from->incarnation;
		gw_collect_member(p, peer, message->sequence, shares,
				  message->shares.shares_len, now_ms);
	}
	rp_drop(request);
}

static int gw_compare_shares(const void *a, const void *b)
{
	const bp_share *x = a, *y = b;

	if (x->running != y->running)
		return x->running > y->running ? -1 : 1;
	return x->tokens > y->tokens ? -1 : x->tokens < y->tokens;
}

/* The largest loads, if there are too many for a message. */
static uint32_t gw_fill_shares(const struct gw_gateway *g, bp_share *shares)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(bp_share));
	uint32_t count;

	fl_for_each (&g->fleet, e) {
		bp_share share = { e->hash, e->running, e->waiting_tokens };

		if (e->running || e->waiting_tokens)
			g_array_append_val(all, share);
	}
	if (all->len > BP_MAX_SHARES) {
		gw_bound_reached(GW_BOUND_SHARES, all->len, BP_MAX_SHARES);
		g_array_sort(all, gw_compare_shares);
	}
	count = MIN(all->len, BP_MAX_SHARES);
	if (count)
		memcpy(shares, all->data, count * sizeof(*shares));
	g_array_free(all, TRUE);
	return count;
}

/* Fills in what @peer lacks; announcements that were dropped are skipped. */
static uint32_t gw_fill_held(struct gw_peers *p, struct gw_peer *peer,
			     bp_held *held)
{
	uint64_t first = p->announcements_end - p->announcements->len;
	uint32_t count = 0;

	if (peer->announced_end < first)
		peer->announced_end = first;
	while (peer->announced_end < p->announcements_end &&
	       count < BP_MAX_HELD) {
		held[count++] = g_array_index(p->announcements, bp_held,
					      peer->announced_end - first);
		peer->announced_end++;
	}
	return count;
}

/* Tells the collectors of the zone, which report it back; see pe_zone.h. */
static void gw_note_own_report(struct gw_peers *p, const bp_share *sent,
			       uint32_t count, int64_t now_ms)
{
	struct pe_share shares[BP_MAX_SHARES];

	for (uint32_t i = 0; i < count; i++)
		shares[i] = (struct pe_share){ sent[i].engine, sent[i].running,
					       sent[i].tokens };
	pe_zone_note_own(&p->collect.zone, shares, count, now_ms);
}

static void gw_send_load(struct gw_peers *p, struct gw_peer *peer,
			 int64_t now_ms)
{
	bp_share shares[BP_MAX_SHARES];
	bp_held held[BP_MAX_HELD];
	bp_gateway_load message = { .sequence = p->sequence++,
				    .takes_part = gw_takes_part(p->gateway) };
	bool is_used = gw_collect_is_used(p);

	message.shares.shares_val = shares;
	/* Other zones get the load from the collector of this one. */
	if (!is_used || gw_collect_is_member(p, peer))
		message.shares.shares_len = gw_fill_shares(p->gateway, shares);
	message.held.held_val = held;
	if (is_used && p->collect.uses_sums && !peer->is_collector)
		peer->announced_end = p->announcements_end;
	else
		message.held.held_len = gw_fill_held(p, peer, held);
	if (peer->is_collector)
		gw_note_own_report(p, shares, message.shares.shares_len,
				   now_ms);
	peer->sent_takes_part = message.takes_part;
	peer->has_sent = true;
	peer->sent_ms = now_ms;
	mt_add(&gw_peer_sent, 1);
	rp_call(&p->rpc,
		&(struct rp_call_desc){ .to = { .ipv4 = peer->address.ipv4,
						.port = peer->address.port },
					.number = BP_GATEWAY_LOAD,
					.args = (xdrproc_t)xdr_bp_gateway_load,
					.args_value = &message,
					.deadline_ms = GW_NEAR_PERIOD_MS },
		NULL);
	gw_traffic_move_held(p,
			     &(struct rp_peer){ .ipv4 = peer->address.ipv4,
						.port = peer->address.port },
			     BP_GATEWAY_LOAD, message.held.held_len, true);
}

/* The collectors of other zones are to hear of a host on duty soon. */
static bool gw_is_first_due(const struct gw_peers *p,
			    const struct gw_peer *peer, int64_t now_ms)
{
	const struct gw_collect *c = &p->collect;

	return gw_collect_is_used(p) && !peer->has_sent && c->is_on_duty &&
	       now_ms - c->duty_ms >= GW_DUTY_KNOWN_MS &&
	       now_ms - peer->added_ms >=
		       (int64_t)(peer->hash % GW_FIRST_ON_DUTY_MS);
}

/* Hosts on duty learn at once whether they are to read for others. */
static bool gw_is_load_due(const struct gw_peers *p, const struct gw_peer *peer,
			   int64_t now_ms)
{
	if (gw_collect_is_used(p) && peer->is_on_duty && peer->is_seen &&
	    peer->sent_takes_part != gw_takes_part(p->gateway))
		return true;
	if (gw_is_first_due(p, peer, now_ms))
		return true;
	return now_ms - peer->sent_ms >= peer->period_ms;
}

static uint32_t gw_count_far_peers(const struct gw_peers *p)
{
	uint32_t far = 0;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++)
		far += ((struct gw_peer *)p->hosts.peers->pdata[i])->is_far;
	return far;
}

/* @similar_peers: number of peers that are far, or not far, like @peer. */
static void gw_set_period(const struct gw_peers *p, struct gw_peer *peer,
			  int64_t similar_peers, int64_t report_ms,
			  int64_t now_ms)
{
	if (gw_collect_is_used(p)) {
		gw_duty_set_period(p, peer, report_ms, now_ms);
	} else {
		peer->period_ms =
			peer->is_far ? MAX(GW_FAR_PERIOD_MS,
					   similar_peers * GW_FAR_PER_PEER_MS)
				     : MAX(GW_NEAR_PERIOD_MS,
					   similar_peers * GW_NEAR_PER_PEER_MS);
		peer->expected_ms = peer->period_ms;
	}
	if (now_ms - peer->received_ms > GW_SILENT_MS)
		peer->period_ms = GW_SILENT_PERIOD_MS;
}

/* Cache memory of all engines according to the configuration. */
static uint64_t gw_engine_memory(const struct gw_gateway *g)
{
	uint64_t sum = 0;

	if (!g->catalog)
		return 0;
	fl_for_each (&g->fleet, e) {
		const struct ca_service *service =
			ca_find_service(g->catalog, e->entry.service);

		sum += service ? service->memory_tokens : 0;
	}
	return sum;
}

static void gw_estimate_prefix_lifetime(struct gw_peers *p)
{
	struct gw_gateway *g = p->gateway;

	g->prefix_kept_ms = pe_kept_update(
		&p->kept, &(struct pe_kept_input){
				  .sent_tokens = g->sent_tokens,
				  .period_ms = GW_SWEEP_MS,
				  .hosts = p->hosts.peers->len + 1,
				  .memory_tokens = gw_engine_memory(g) });
	g->sent_tokens = 0;
}

/* The retries that are always allowed are shared by all hosts. */
static void gw_share_retries(struct gw_peers *p)
{
	uint32_t hosts = p->hosts.peers->len + 1;
	int64_t share = p->gateway->settings.retry_floor *
			GW_RETRY_FLOOR_FRACTION / hosts;

	rb_table_set_max(&p->gateway->retries, MAX(share, 1));
}

static void gw_sweep_peers(struct gw_peers *p, int64_t now_ms)
{
	p->next_sweep_ms = now_ms + GW_SWEEP_MS;
	pe_load_expire(&p->gateway->peer_load, now_ms - GW_FORGET_LOAD_MS);
	pe_held_expire(&p->gateway->held, now_ms - GW_FORGET_HELD_MS);
	gw_traffic_second(&p->traffic);
	gw_share_retries(p);
	gw_estimate_prefix_lifetime(p);
	gw_poison_sweep(p->gateway, now_ms);
}

static void gw_on_peers_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_peers *p = w->data;
	int64_t now_ms = ck_now_ms();
	int64_t report_ms;
	uint32_t far;

	gw_hosts_step(&p->hosts, now_ms);
	if (now_ms >= p->next_sweep_ms)
		gw_sweep_peers(p, now_ms);
	gw_collect_step(p, now_ms);
	gw_relay_step(p->gateway);
	report_ms = gw_collect_report_ms(p);
	far = gw_count_far_peers(p);
	for (uint32_t i = 0; p->is_open && i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];

		gw_set_period(p, peer,
			      peer->is_far ? far : p->hosts.peers->len - far,
			      report_ms, now_ms);
		if (gw_is_load_due(p, peer, now_ms))
			gw_send_load(p, peer, now_ms);
	}
}

static void gw_open_endpoint(void *arg, const char *key)
{
	struct gw_peers *p = arg;
	const struct gw_settings *s = &p->gateway->settings;
	uint8_t bytes[RP_KEY_BYTES];
	size_t got = 0;
	enum st_code code;

	if (p->is_open)
		return;
	if (sodium_hex2bin(bytes, sizeof(bytes), key, strlen(key), NULL, &got,
			   NULL) ||
	    got != sizeof(bytes)) {
		lg_warn("malformed key of the hosts ignored", "event",
			"row_ignored", "key", "key", NULL);
		return;
	}
	p->incarnation = rp_new_incarnation();
	code = rp_init(&p->rpc,
		       &(struct rp_desc){ .loop = p->gateway->kernel.loop,
					  .address = s->peers.address,
					  .port = s->peers.port,
					  .key = bytes,
					  .host = s->host,
					  .role = "gateway",
					  .incarnation = p->incarnation,
					  .on_traffic = gw_traffic_on_message,
					  .traffic_arg = p });
	if (code == ST_OK)
		code = rp_serve(&p->rpc,
				&(struct rp_procedure){
					.number = BP_GATEWAY_LOAD,
					.args = (xdrproc_t)xdr_bp_gateway_load,
					.args_bytes = sizeof(bp_gateway_load),
					.handler = gw_on_load,
					.arg = p });
	if (code == ST_OK)
		code = gw_collect_serve(p);
	if (code == ST_OK)
		code = gw_relay_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_catchup_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_start_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_poison_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_notice_serve(p->gateway, &p->rpc);
	p->is_open = code == ST_OK;
	if (!p->is_open)
		lg_warn("endpoint for other hosts not opened", "event",
			"peers_closed", "reason", st_message(), NULL);
}

/* Drops the older half. Peers that have been sent them miss nothing. */
static void gw_drop_announcements(struct gw_peers *p)
{
	uint64_t dropped_end = p->announcements_end - p->announcements->len +
			       GW_MAX_ANNOUNCEMENTS / 2;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (!gw_peer_is_alive(peer, ck_now_ms()) ||
		    peer->announced_end >= dropped_end ||
		    (p->collect.uses_sums && !peer->is_collector))
			continue;
		gw_bound_reached(GW_BOUND_ANNOUNCEMENTS, p->announcements->len,
				 GW_MAX_ANNOUNCEMENTS);
		break;
	}
	g_array_remove_range(p->announcements, 0, GW_MAX_ANNOUNCEMENTS / 2);
}

void gw_peers_announce_held(struct gw_gateway *g, uint64_t key, uint64_t engine)
{
	struct gw_peers *p = g->peers;
	bp_held held = { key, engine };

	if (!p)
		return;
	if (p->announcements->len >= GW_MAX_ANNOUNCEMENTS)
		gw_drop_announcements(p);
	g_array_append_val(p->announcements, held);
	p->announcements_end++;
	gw_collect_relay(p, &held, true);
}

void gw_peers_apply_rows(struct gw_gateway *g, const struct rw_rows *rows)
{
	if (!g->peers || !g->settings.peers.address[0])
		return;
	gw_hosts_apply_rows(&g->peers->hosts, rows);
	gw_poison_apply_rows(g, rows);
}

void gw_peers_read_rows(struct gw_gateway *g)
{
	if (g->peers)
		gw_hosts_read_soon(&g->peers->hosts);
}

enum st_code gw_peers_call(struct gw_gateway *g,
			   const struct rp_call_desc *desc)
{
	if (!g->peers || !g->peers->is_open)
		return st_fail(ST_UNAVAILABLE,
			       "endpoint for other hosts is not open");
	return rp_call(&g->peers->rpc, desc, NULL);
}

enum st_code gw_peers_start(struct gw_gateway *g)
{
	struct gw_peers *p = g_new0(struct gw_peers, 1);

	g->peers = p;
	p->gateway = g;
	p->hash = gw_name_hash(g->settings.host);
	p->zone = g_quark_from_string(g->settings.zone);
	g->prefix_kept_ms = PE_KEPT_MAX_MS;
	gw_hosts_init(&p->hosts,
		      &(struct gw_hosts_desc){ .gateway = g,
					       .on_key = gw_open_endpoint,
					       .arg = p });
	gw_collect_init(&p->collect);
	pe_pace_init(&p->pace);
	p->announcements = g_array_new(FALSE, FALSE, sizeof(bp_held));
	ev_timer_init(&p->tick, gw_on_peers_tick, GW_PEERS_TICK_S,
		      GW_PEERS_TICK_S);
	p->tick.data = p;
	if (!g->settings.peers.address[0])
		return ST_OK;
	gw_hosts_step(&p->hosts, ck_now_ms());
	ev_timer_start(g->kernel.loop, &p->tick);
	return ST_OK;
}

void gw_peers_stop(struct gw_gateway *g)
{
	struct gw_peers *p = g->peers;

	if (!p)
		return;
	ev_timer_stop(g->kernel.loop, &p->tick);
	if (p->is_open)
		rp_finish(&p->rpc);
	gw_relay_clear(g);
	gw_hosts_finish(&p->hosts);
	gw_collect_finish(&p->collect);
	g_array_free(p->announcements, TRUE);
	g_free(p);
	g->peers = NULL;
}
