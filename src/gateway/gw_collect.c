#include "gateway/gw_collect.h"

#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_bound.h"
#include "gateway/gw_changes.h"
#include "gateway/gw_duty.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_traffic.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

/* Up to this many peers, reports between all hosts are as recent as sums. */
#define GW_DIRECT_PEERS 16
/* Hosts considered, this one included. */
#define GW_MAX_ZONE_HOSTS   4096
#define GW_CHOICE_PERIOD_MS 100
/* Reports are sent this often, and less often in a large zone: a host with an
 * eighth of a core handles some thousand messages a second. */
#define GW_REPORT_PERIOD_MS	100
#define GW_REPORT_MS_PER_MEMBER 1
/* A silent collector is not chosen again for this time, and only once it was
 * heard. */
#define GW_DISTRUST_MS 3000
/* Another host may be chosen if it was heard within this time. */
#define GW_CANDIDATE_SILENT_MS 1500
/* Announcements waiting to be relayed; older ones are dropped. */
#define GW_MAX_RELAYED 2048
/* The standby keeps those that a collector may not have relayed before it fell
 * silent. */
#define GW_STANDBY_RELAY_MS 1500

MT_COUNTER(gw_sums_received, "balsampin_gateway_sums_received_total",
	   "messages with the summed load of many hosts received")
MT_GAUGE(gw_collects, "balsampin_gateway_collects_load",
	 "1 while this host sums the load of its zone")

void gw_collect_init(struct gw_collect *collect)
{
	memset(collect, 0, sizeof(*collect));
	pe_zone_init(&collect->zone);
	collect->relayed = g_array_new(FALSE, FALSE, sizeof(struct gw_relayed));
	for (uint32_t i = 0; i < GW_SUMS_GROUPS; i++)
		pe_change_init(&collect->groups[i].change);
}

void gw_collect_finish(struct gw_collect *collect)
{
	pe_zone_finish(&collect->zone);
	for (uint32_t i = 0; i < GW_SUMS_GROUPS; i++)
		pe_change_finish(&collect->groups[i].change);
	g_array_free(collect->relayed, TRUE);
}

uint32_t gw_collect_zone(const struct gw_peers *p)
{
	return p->zone;
}

bool gw_collect_is_used(const struct gw_peers *p)
{
	return p->hosts.peers->len > GW_DIRECT_PEERS;
}

bool gw_collect_is_member(const struct gw_peers *p, const struct gw_peer *peer)
{
	return peer->zone == gw_collect_zone(p);
}

static uint32_t gw_count_members(const struct gw_peers *p)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		count += gw_collect_is_member(p, peer);
	}
	return count;
}

int64_t gw_collect_report_ms(const struct gw_peers *p)
{
	return MAX(GW_REPORT_PERIOD_MS,
		   (int64_t)gw_count_members(p) * GW_REPORT_MS_PER_MEMBER);
}

/* A host that receives no sums from its collector chooses another one. */
static void gw_distrust_silent(const struct gw_peers *p, struct gw_peer *peer,
			       int64_t now_ms)
{
	int64_t since_ms = MAX(peer->received_ms, peer->chosen_ms);

	if (!peer->is_collector ||
	    !pe_zone_is_silent(now_ms - since_ms, gw_collect_report_ms(p),
			       peer->sums_period_ms))
		return;
	peer->distrusted_ms = now_ms;
	lg_info("collector of the zone is silent", "event", "load_collector",
		"collector", peer->name, "outcome", "distrusted", NULL);
}

bool gw_collect_is_usable(const struct gw_peer *peer, int64_t now_ms)
{
	return peer->is_seen && !peer->is_zone_silent &&
	       (!peer->distrusted_ms ||
		(now_ms - peer->distrusted_ms >= GW_DISTRUST_MS &&
		 peer->received_ms > peer->distrusted_ms)) &&
	       now_ms - peer->received_ms <
		       GW_CANDIDATE_SILENT_MS + 2 * peer->expected_ms;
}

/* Lists this host, then the peers in their order. */
static uint32_t gw_list_zone_hosts(const struct gw_peers *p,
				   struct pe_zone_host *hosts, int64_t now_ms)
{
	const struct gw_settings *s = &p->gateway->settings;
	uint32_t count = 1;

	hosts[0] = (struct pe_zone_host){ gw_name_hash(s->host),
					  gw_collect_zone(p),
					  !p->gateway->stop_ms };
	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count == GW_MAX_ZONE_HOSTS)
			break;
		hosts[count++] = (struct pe_zone_host){ peer->hash, peer->zone,
							gw_collect_is_usable(
								peer, now_ms) };
	}
	return count;
}

static void gw_set_collector(struct gw_peers *p, bool is_collector)
{
	struct gw_collect *c = &p->collect;

	if (c->is_collector == is_collector)
		return;
	c->is_collector = is_collector;
	gw_changes_reset(c);
	mt_set(&gw_collects, is_collector);
	lg_info("collector of the zone", "event", "load_collector", "collector",
		p->gateway->settings.host, "outcome",
		is_collector ? "taken" : "left", NULL);
}

static void gw_choose_collectors(struct gw_peers *p,
				 const struct pe_zone_host *hosts,
				 uint32_t count, int64_t now_ms)
{
	uint32_t indexes[PE_COLLECTORS];
	uint32_t found = 0;
	bool is_collecting = false;

	if (gw_collect_is_used(p))
		found = pe_zone_collectors(hosts, count, hosts[0].zone,
					   indexes);

	for (uint32_t i = 0; i < found; i++)
		is_collecting |= indexes[i] == 0;
	pe_zone_set_collecting(&p->collect.zone, is_collecting, now_ms);
	gw_set_collector(p, found && indexes[0] == 0);
	p->collect.is_standby = is_collecting && !p->collect.is_collector;
	for (uint32_t i = 1; i < count; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i - 1];
		bool is_chosen = false;

		for (uint32_t j = 0; j < found; j++)
			is_chosen |= indexes[j] == i;
		if (is_chosen && !peer->is_collector)
			peer->chosen_ms = now_ms;
		peer->is_collector = is_chosen;
	}
}

GPtrArray *gw_collect_list_members(const struct gw_peers *p, int64_t now_ms)
{
	GPtrArray *members = g_ptr_array_new();

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (gw_collect_is_member(p, peer) &&
		    gw_collect_is_usable(peer, now_ms))
			g_ptr_array_add(members, peer);
	}
	return members;
}

/* Finds the host of each other zone that belongs to @group. */
void gw_collect_list_group(const struct gw_peers *p,
			   const struct pe_zone_host *hosts, uint32_t count,
			   enum gw_sums_group group, GPtrArray *receivers)
{
	bool is_far = group == GW_SUMS_FAR || group == GW_SUMS_FAR_STANDBY;
	uint32_t place =
		group == GW_SUMS_NEAR_STANDBY || group == GW_SUMS_FAR_STANDBY;
	GHashTable *done = g_hash_table_new(NULL, NULL);

	g_hash_table_add(done, GUINT_TO_POINTER(hosts[0].zone));
	for (uint32_t i = 1; i < count; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i - 1];
		uint32_t indexes[PE_COLLECTORS];

		if (peer->is_far != is_far ||
		    !g_hash_table_add(done, GUINT_TO_POINTER(peer->zone)))
			continue;
		if (pe_zone_collectors(hosts, count, peer->zone, indexes) >
		    place)
			g_ptr_array_add(
				receivers,
				p->hosts.peers->pdata[indexes[place] - 1]);
	}
	g_hash_table_destroy(done);
}

/* This host is a member of its own zone, too. */
static void gw_collect_own(struct gw_peers *p, int64_t now_ms)
{
	GArray *shares = g_array_new(FALSE, FALSE, sizeof(struct pe_share));

	fl_for_each (&p->gateway->fleet, e) {
		struct pe_share share = { e->hash, e->running,
					  e->waiting_tokens };

		if (e->running || e->waiting_tokens)
			g_array_append_val(shares, share);
	}
	pe_zone_add_member(&p->collect.zone, PE_SELF, ++p->collect.sequence,
			   (const struct pe_share *)(void *)shares->data,
			   shares->len, now_ms);
	g_array_free(shares, TRUE);
}

static void gw_log_source(struct gw_peers *p, int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	struct pe_share ignored;
	bool uses_sums = pe_zone_others(&c->zone, 0, now_ms, &ignored);

	if (uses_sums == c->uses_sums)
		return;
	c->uses_sums = uses_sums;
	lg_info("source of the load of other hosts", "event", "load_source",
		"outcome", uses_sums ? "sums" : "reports", NULL);
}

static void gw_trim_relayed(struct gw_collect *c, int64_t now_ms)
{
	uint32_t old = 0;

	if (c->is_collector)
		return;
	while (old < c->relayed->len &&
	       (!c->is_standby ||
		now_ms - g_array_index(c->relayed, struct gw_relayed, old)
					.heard_ms >
			GW_STANDBY_RELAY_MS))
		old++;
	if (old)
		g_array_remove_range(c->relayed, 0, old);
}

void gw_collect_step(struct gw_peers *p, int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	struct pe_zone_host hosts[GW_MAX_ZONE_HOSTS];
	uint32_t count;

	if (!p->is_open || now_ms < c->next_choice_ms)
		return;
	c->next_choice_ms = now_ms + GW_CHOICE_PERIOD_MS;
	pe_zone_expire(&c->zone, now_ms);
	for (uint32_t i = 0; i < p->hosts.peers->len; i++)
		gw_distrust_silent(p, p->hosts.peers->pdata[i], now_ms);
	gw_duty_find_silent_zones(p, now_ms);
	gw_duty_find(p, now_ms);
	count = gw_list_zone_hosts(p, hosts, now_ms);
	gw_choose_collectors(p, hosts, count, now_ms);
	gw_trim_relayed(c, now_ms);
	if (c->is_collector) {
		gw_collect_own(p, now_ms);
		if (pe_zone_may_send(&c->zone, now_ms))
			gw_changes_send_due(p, hosts, count, now_ms);
	}
	gw_log_source(p, now_ms);
}

void gw_collect_member(struct gw_peers *p, const struct gw_peer *peer,
		       uint64_t sequence, const struct pe_share *shares,
		       uint32_t count, int64_t now_ms)
{
	if (gw_collect_is_member(p, peer))
		pe_zone_add_member(&p->collect.zone, peer->incarnation,
				   sequence, shares, count, now_ms);
}

/* Drops the older half. Groups that have been sent them miss nothing. */
static void gw_drop_relayed(struct gw_collect *c)
{
	uint64_t dropped_end =
		c->relayed_end - c->relayed->len + GW_MAX_RELAYED / 2;

	for (uint32_t i = 0; c->is_collector && i <= GW_SUMS_FAR; i++) {
		if (c->groups[i].relayed_end >= dropped_end)
			continue;
		gw_bound_reached(GW_BOUND_RELAYED, c->relayed->len,
				 GW_MAX_RELAYED);
		break;
	}
	g_array_remove_range(c->relayed, 0, GW_MAX_RELAYED / 2);
}

void gw_collect_relay(struct gw_peers *p, const bp_held *held,
		      bool is_from_own_zone)
{
	struct gw_collect *c = &p->collect;
	struct gw_relayed relayed = { *held, ck_now_ms(), is_from_own_zone };

	if (!c->is_collector && !c->is_standby)
		return;
	if (c->relayed->len >= GW_MAX_RELAYED)
		gw_drop_relayed(c);
	g_array_append_val(c->relayed, relayed);
	c->relayed_end++;
}

static void gw_on_sums(void *arg, struct rp_request *request, const void *args)
{
	struct gw_peers *p = arg;
	const bp_gateway_sums *message = args;
	const struct rp_peer *from = rp_peer_of(request);
	struct gw_peer *peer = gw_hosts_find(&p->hosts, from->ipv4, from->port);
	struct pe_share shares[BP_MAX_SUM_SHARES];
	int64_t now_ms = ck_now_ms();
	struct pe_zone_part part = { .sender = from->incarnation,
				     .sequence = message->sequence,
				     .part = message->part,
				     .parts = message->parts,
				     .period_ms = message->period_ms,
				     .shares = shares,
				     .count = message->shares.shares_len };

	mt_add(&gw_sums_received, 1);
	for (uint32_t i = 0; i < part.count; i++) {
		const bp_share *s = &message->shares.shares_val[i];

		shares[i] =
			(struct pe_share){ s->engine, s->running, s->tokens };
	}
	pe_zone_add_sums(&p->collect.zone, message->zone, &part, now_ms);
	for (uint32_t i = 0; i < message->held.held_len; i++) {
		const bp_held *held = &message->held.held_val[i];

		pe_held_add(&p->gateway->held, held->key, held->engine, now_ms);
		if (message->zone)
			gw_collect_relay(p, held, false);
	}
	if (peer) {
		peer->received_ms = now_ms;
		peer->sums_period_ms = message->period_ms;
	}
	rp_drop(request);
}

static void gw_forward_changes(struct gw_peers *p,
			       const bp_gateway_changes *message)
{
	bp_gateway_changes copy = *message;

	copy.forwards.forwards_len = 0;
	for (uint32_t i = 0; i < message->forwards.forwards_len; i++) {
		const bp_forward *to = &message->forwards.forwards_val[i];

		gw_changes_call(p, to->ipv4, (uint16_t)to->port, &copy);
	}
}

static void gw_on_changes(void *arg, struct rp_request *request,
			  const void *args)
{
	struct gw_peers *p = arg;
	const bp_gateway_changes *message = args;
	struct gw_peer *peer =
		gw_hosts_find_hash(&p->hosts, message->collector);
	struct pe_share shares[BP_MAX_CHANGES];
	int64_t now_ms = ck_now_ms();
	struct pe_zone_changes changes = { .sender = message->incarnation,
					   .sequence = message->sequence,
					   .period_ms = message->period_ms,
					   .turn_ms = message->turn_ms,
					   .shares = shares,
					   .count =
						   message->shares.shares_len };

	mt_add(&gw_sums_received, 1);
	gw_traffic_move_held(p, rp_peer_of(request), BP_GATEWAY_CHANGES,
			     message->held.held_len, false);
	gw_forward_changes(p, message);
	for (uint32_t i = 0; i < changes.count; i++) {
		const bp_share *s = &message->shares.shares_val[i];

		shares[i] =
			(struct pe_share){ s->engine, s->running, s->tokens };
	}
	pe_zone_add_changes(&p->collect.zone, message->zone, &changes, now_ms);
	for (uint32_t i = 0; i < message->held.held_len; i++) {
		const bp_held *held = &message->held.held_val[i];

		pe_held_add(&p->gateway->held, held->key, held->engine, now_ms);
		if (message->zone)
			gw_collect_relay(p, held, false);
	}
	if (peer) {
		peer->received_ms = now_ms;
		peer->sums_period_ms = message->period_ms;
	}
	rp_drop(request);
}

enum st_code gw_collect_serve(struct gw_peers *p)
{
	const struct rp_procedure procedures[] = {
		{ .number = BP_GATEWAY_SUMS,
		  .args = (xdrproc_t)xdr_bp_gateway_sums,
		  .args_bytes = sizeof(bp_gateway_sums),
		  .handler = gw_on_sums,
		  .arg = p },
		{ .number = BP_GATEWAY_CHANGES,
		  .args = (xdrproc_t)xdr_bp_gateway_changes,
		  .args_bytes = sizeof(bp_gateway_changes),
		  .handler = gw_on_changes,
		  .arg = p },
	};
	enum st_code code = ST_OK;

	for (uint32_t i = 0; code == ST_OK && i < G_N_ELEMENTS(procedures); i++)
		code = rp_serve(&p->rpc, &procedures[i]);
	return code == ST_OK ? gw_duty_serve(p) : code;
}

struct pe_share gw_collect_others(const struct gw_gateway *g, uint64_t engine,
				  int64_t now_ms)
{
	struct pe_share share;

	if (g->peers &&
	    pe_zone_others(&g->peers->collect.zone, engine, now_ms, &share))
		return share;
	return pe_load_sum(&g->peer_load, engine);
}
