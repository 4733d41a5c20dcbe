/*
 * Messages between hosts: load, held prefixes, whether the store answers.
 */
#include <sodium.h>
#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_begun.h"
#include "gateway/gw_cap.h"
#include "gateway/gw_catchup.h"
#include "gateway/gw_notice.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_poison.h"
#include "gateway/gw_relay.h"
#include "gateway/gw_via.h"
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

static void gw_on_load(void *arg, struct rp_request *request, const void *args)
{
	struct gw_peers *p = arg;
	const bp_gateway_load *message = args;
	const struct rp_peer *from = rp_peer_of(request);
	struct pe_share shares[BP_MAX_SHARES];
	struct gw_peer *peer;
	int64_t now_ms = ck_now_ms();

	mt_add(&gw_peer_received, 1);
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
		peer->received_ms = now_ms;
		peer->is_seen = true;
		peer->takes_part = message->takes_part;
		if (peer->incarnation != from->incarnation)
			gw_sync_started_peer(p, peer, from);
		peer->incarnation = from->incarnation;
		gw_collect_member(p, peer, message->sequence, shares,
				  message->shares.shares_len, now_ms);
	}
	rp_drop(request);
}

static uint32_t gw_fill_shares(const struct gw_gateway *g, bp_share *shares)
{
	uint32_t count = 0;

	fl_for_each (&g->fleet, e) {
		if (count == BP_MAX_SHARES ||
		    (!e->running && !e->waiting_tokens))
			continue;
		shares[count++] =
			(bp_share){ e->hash, e->running, e->waiting_tokens };
	}
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

static void gw_send_load(struct gw_peers *p, struct gw_peer *peer,
			 int64_t now_ms)
{
	bp_share shares[BP_MAX_SHARES];
	bp_held held[BP_MAX_HELD];
	bp_gateway_load message = { .sequence = p->sequence++,
				    .takes_part = gw_takes_part(p->gateway) };

	message.shares.shares_val = shares;
	message.shares.shares_len = gw_fill_shares(p->gateway, shares);
	message.held.held_val = held;
	message.held.held_len = gw_fill_held(p, peer, held);
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
}

static uint32_t gw_count_far_peers(const struct gw_peers *p)
{
	uint32_t far = 0;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++)
		far += ((struct gw_peer *)p->hosts.peers->pdata[i])->is_far;
	return far;
}

/*
 * @similar_peers: number of peers that are far, or not far, like @peer.
 * @report_ms: period of the messages to a collector.
 */
static int64_t gw_send_period_ms(const struct gw_peer *peer,
				 int64_t similar_peers, int64_t report_ms,
				 int64_t now_ms)
{
	int64_t period_ms = peer->is_far
				    ? MAX(GW_FAR_PERIOD_MS,
					  similar_peers * GW_FAR_PER_PEER_MS)
				    : MAX(GW_NEAR_PERIOD_MS,
					  similar_peers * GW_NEAR_PER_PEER_MS);

	if (now_ms - peer->received_ms > GW_SILENT_MS)
		return GW_SILENT_PERIOD_MS;
	return peer->is_collector ? MIN(period_ms, report_ms) : period_ms;
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

		peer->period_ms = gw_send_period_ms(
			peer, peer->is_far ? far : p->hosts.peers->len - far,
			report_ms, now_ms);
		if (now_ms - peer->sent_ms >= peer->period_ms)
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
	code = rp_init(&p->rpc,
		       &(struct rp_desc){ .loop = p->gateway->kernel.loop,
					  .address = s->peers.address,
					  .port = s->peers.port,
					  .key = bytes,
					  .host = s->host,
					  .role = "gateway",
					  .incarnation = rp_new_incarnation(),
					  .account = &p->gateway->account });
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
		code = gw_poison_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_begun_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_notice_serve(p->gateway, &p->rpc);
	if (code == ST_OK)
		code = gw_cap_serve(p->gateway, &p->rpc);
	gw_via_set_key(p->gateway, bytes);
	p->is_open = code == ST_OK;
	if (!p->is_open)
		lg_warn("endpoint for other hosts not opened", "event",
			"peers_closed", "reason", st_message(), NULL);
}

void gw_peers_announce_held(struct gw_gateway *g, uint64_t key, uint64_t engine)
{
	struct gw_peers *p = g->peers;
	bp_held held = { key, engine };

	if (!p)
		return;
	if (p->announcements->len >= GW_MAX_ANNOUNCEMENTS)
		g_array_remove_range(p->announcements, 0,
				     GW_MAX_ANNOUNCEMENTS / 2);
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

enum st_code gw_peers_call_awaited(struct gw_gateway *g,
				   const struct rp_call_desc *desc,
				   struct rp_handle *handle)
{
	if (!g->peers || !g->peers->is_open)
		return st_fail(ST_UNAVAILABLE,
			       "endpoint for other hosts is not open");
	return rp_call(&g->peers->rpc, desc, handle);
}

enum st_code gw_peers_call(struct gw_gateway *g,
			   const struct rp_call_desc *desc)
{
	return gw_peers_call_awaited(g, desc, NULL);
}

void gw_peers_cancel(struct gw_gateway *g, struct rp_handle handle)
{
	if (g->peers && g->peers->is_open)
		rp_cancel(&g->peers->rpc, handle);
}

enum st_code gw_peers_start(struct gw_gateway *g)
{
	struct gw_peers *p = g_new0(struct gw_peers, 1);

	g->peers = p;
	p->gateway = g;
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
	if (g->settings.peers.address[0])
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
