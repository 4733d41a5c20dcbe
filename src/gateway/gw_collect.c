#include "gateway/gw_collect.h"

#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_peers.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

/* Up to this many peers, reports between all hosts are as recent as sums. */
#define GW_DIRECT_PEERS 16
/* Hosts considered, this one included. */
#define GW_MAX_ZONE_HOSTS   4096
#define GW_CHOICE_PERIOD_MS 100
/* Sums and reports are sent this often, and less often in a large zone: a host
 * with an eighth of a core handles some thousand messages a second. */
#define GW_SUMS_PERIOD_MS	100
#define GW_SUMS_FAR_PERIOD_MS	200
#define GW_SUMS_MS_PER_DATAGRAM 1
#define GW_REPORT_MS_PER_MEMBER 1
/* A silent collector is not chosen again for this time. */
#define GW_DISTRUST_MS 3000
/* Another host may be chosen if it was heard within this time. */
#define GW_CANDIDATE_SILENT_MS 1500
/* Announcements waiting to be relayed; older ones are dropped. */
#define GW_MAX_RELAYED 2048
#define GW_ONE_WAY_MS  60

MT_COUNTER(gw_sums_sent, "balsampin_gateway_sums_sent_total",
	   "messages with the summed load of many hosts sent")
MT_COUNTER(gw_sums_received, "balsampin_gateway_sums_received_total",
	   "messages with the summed load of many hosts received")
MT_GAUGE(gw_collects, "balsampin_gateway_collects_load",
	 "1 while this host sums the load of its zone")

/** struct gw_relayed - an announcement; @is_own: of a host of this zone. */
struct gw_relayed {
	bp_held held;
	bool is_own;
};

void gw_collect_init(struct gw_collect *collect)
{
	memset(collect, 0, sizeof(*collect));
	pe_zone_init(&collect->zone);
	collect->relayed = g_array_new(FALSE, FALSE, sizeof(struct gw_relayed));
}

void gw_collect_finish(struct gw_collect *collect)
{
	pe_zone_finish(&collect->zone);
	g_array_free(collect->relayed, TRUE);
}

static uint32_t gw_own_zone(const struct gw_peers *p)
{
	return g_quark_from_string(p->gateway->settings.zone);
}

bool gw_collect_is_used(const struct gw_peers *p)
{
	return p->hosts.peers->len > GW_DIRECT_PEERS;
}

bool gw_collect_is_member(const struct gw_peers *p, const struct gw_peer *peer)
{
	return peer->zone == gw_own_zone(p);
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
	return MAX(GW_SUMS_PERIOD_MS,
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
	peer->distrusted_until_ms = now_ms + GW_DISTRUST_MS;
	lg_info("collector of the zone is silent", "event", "load_collector",
		"collector", peer->name, "outcome", "distrusted", NULL);
}

bool gw_collect_may_collect(const struct gw_peer *peer, int64_t now_ms)
{
	return peer->is_seen && now_ms >= peer->distrusted_until_ms &&
	       now_ms - peer->received_ms <
		       GW_CANDIDATE_SILENT_MS + 2 * peer->period_ms;
}

/* Lists this host, then the peers in their order. */
static uint32_t gw_list_zone_hosts(const struct gw_peers *p,
				   struct pe_zone_host *hosts, int64_t now_ms)
{
	const struct gw_settings *s = &p->gateway->settings;
	uint32_t count = 1;

	hosts[0] = (struct pe_zone_host){ gw_name_hash(s->host), gw_own_zone(p),
					  !p->gateway->stop_ms };
	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count == GW_MAX_ZONE_HOSTS)
			break;
		hosts[count++] = (struct pe_zone_host){ peer->hash, peer->zone,
							gw_collect_may_collect(
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

/* Fills in what @peer lacks; announcements that were dropped are skipped. */
static uint32_t gw_fill_relayed(const struct gw_collect *c,
				struct gw_peer *peer, bool is_member,
				bp_held *held)
{
	uint64_t first = c->relayed_end - c->relayed->len;
	uint32_t count = 0;

	peer->relayed_end = MAX(peer->relayed_end, first);
	while (peer->relayed_end < c->relayed_end && count < BP_MAX_HELD) {
		const struct gw_relayed *r =
			&g_array_index(c->relayed, struct gw_relayed,
				       peer->relayed_end++ - first);

		if (is_member || r->is_own)
			held[count++] = r->held;
	}
	return count;
}

static void gw_send_sums(struct gw_peers *p, struct gw_peer *peer,
			 const GArray *sums, int64_t period_ms)
{
	struct gw_collect *c = &p->collect;
	uint32_t own_zone = gw_own_zone(p);
	bool is_member = peer->zone == own_zone;
	bp_share shares[BP_MAX_SUM_SHARES];
	bp_held held[BP_MAX_HELD];
	bp_gateway_sums message = {
		.sequence = ++c->sequence,
		.zone = is_member ? 0 : gw_name_hash(p->gateway->settings.zone),
		.parts = MAX((sums->len + BP_MAX_SUM_SHARES - 1) /
				     BP_MAX_SUM_SHARES,
			     1),
		.period_ms = period_ms,
		.shares = { 0, shares },
		.held = { 0, held },
	};

	for (; message.part < message.parts; message.part++) {
		uint32_t first = message.part * BP_MAX_SUM_SHARES;
		uint32_t count = MIN(sums->len - first, BP_MAX_SUM_SHARES);

		for (uint32_t i = 0; i < count; i++) {
			const struct pe_share *s = &g_array_index(
				sums, struct pe_share, first + i);

			shares[i] =
				(bp_share){ s->engine, s->running, s->tokens };
		}
		message.shares.shares_len = count;
		message.held.held_len =
			gw_fill_relayed(c, peer, is_member, held);
		mt_add(&gw_sums_sent, 1);
		gw_peers_call_one(
			p->gateway,
			&(struct rp_peer){ .ipv4 = peer->address.ipv4,
					   .port = peer->address.port },
			BP_GATEWAY_SUMS, (xdrproc_t)xdr_bp_gateway_sums,
			&message);
	}
}

static void gw_send_member_sums(struct gw_peers *p, int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	uint32_t zone = gw_own_zone(p);
	uint32_t members = gw_count_members(p), parts;
	int64_t period_ms;

	pe_zone_list_for_member(&c->zone, 0, sums);
	parts = sums->len / BP_MAX_SUM_SHARES + 1;
	period_ms = MAX(GW_SUMS_PERIOD_MS,
			(int64_t)members * parts * GW_SUMS_MS_PER_DATAGRAM);
	c->next_member_sums_ms = now_ms + period_ms;
	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (peer->zone != zone || !gw_collect_may_collect(peer, now_ms))
			continue;
		g_array_set_size(sums, 0);
		pe_zone_list_for_member(&c->zone, peer->incarnation, sums);
		gw_send_sums(p, peer, sums, period_ms);
	}
	g_array_free(sums, TRUE);
}

/* Sends the sum of this zone to the collectors of the other zones. */
static void gw_send_zone_sums(struct gw_peers *p,
			      const struct pe_zone_host *hosts, uint32_t count,
			      bool is_far, int64_t period_ms)
{
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	GHashTable *done = g_hash_table_new(NULL, NULL);

	pe_zone_list_own(&p->collect.zone, sums);
	g_hash_table_add(done, GUINT_TO_POINTER(hosts[0].zone));
	for (uint32_t i = 1; i < count; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i - 1];
		uint32_t indexes[PE_COLLECTORS], found;

		if (peer->is_far != is_far ||
		    !g_hash_table_add(done, GUINT_TO_POINTER(peer->zone)))
			continue;
		found = pe_zone_collectors(hosts, count, peer->zone, indexes);
		for (uint32_t j = 0; j < found; j++)
			gw_send_sums(p, p->hosts.peers->pdata[indexes[j] - 1],
				     sums, period_ms);
	}
	g_hash_table_destroy(done);
	g_array_free(sums, TRUE);
}

void gw_collect_list_far(const struct gw_peers *p, GPtrArray *peers,
			 int64_t now_ms)
{
	struct pe_zone_host hosts[GW_MAX_ZONE_HOSTS];
	uint32_t count = gw_list_zone_hosts(p, hosts, now_ms);
	GHashTable *done = g_hash_table_new(NULL, NULL);

	g_hash_table_add(done, GUINT_TO_POINTER(hosts[0].zone));
	for (uint32_t i = 1; i < count; i++) {
		uint32_t indexes[PE_COLLECTORS], found;

		if (!g_hash_table_add(done, GUINT_TO_POINTER(hosts[i].zone)))
			continue;
		found = pe_zone_collectors(hosts, count, hosts[i].zone,
					   indexes);
		for (uint32_t j = 0; j < found; j++)
			g_ptr_array_add(peers,
					p->hosts.peers->pdata[indexes[j] - 1]);
	}
	g_hash_table_destroy(done);
}

static void gw_send_due_sums(struct gw_peers *p,
			     const struct pe_zone_host *hosts, uint32_t count,
			     int64_t now_ms)
{
	struct gw_collect *c = &p->collect;

	if (now_ms >= c->next_member_sums_ms)
		gw_send_member_sums(p, now_ms);
	if (now_ms >= c->next_near_sums_ms) {
		c->next_near_sums_ms = now_ms + GW_SUMS_PERIOD_MS;
		gw_send_zone_sums(p, hosts, count, false, GW_SUMS_PERIOD_MS);
	}
	if (now_ms >= c->next_far_sums_ms) {
		c->next_far_sums_ms = now_ms + GW_SUMS_FAR_PERIOD_MS;
		gw_send_zone_sums(p, hosts, count, true, GW_SUMS_FAR_PERIOD_MS);
	}
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
	count = gw_list_zone_hosts(p, hosts, now_ms);
	gw_choose_collectors(p, hosts, count, now_ms);
	if (c->is_collector) {
		gw_collect_own(p, now_ms);
		if (pe_zone_may_send(&c->zone, now_ms))
			gw_send_due_sums(p, hosts, count, now_ms);
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

void gw_collect_relay(struct gw_peers *p, const bp_held *held,
		      bool is_from_own_zone)
{
	struct gw_collect *c = &p->collect;
	struct gw_relayed relayed = { *held, is_from_own_zone };

	if (!c->is_collector)
		return;
	if (c->relayed->len >= GW_MAX_RELAYED)
		g_array_remove_range(c->relayed, 0, GW_MAX_RELAYED / 2);
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

enum st_code gw_collect_serve(struct gw_peers *p)
{
	return rp_serve(&p->rpc, &(struct rp_procedure){
					 .number = BP_GATEWAY_SUMS,
					 .args = (xdrproc_t)xdr_bp_gateway_sums,
					 .args_bytes = sizeof(bp_gateway_sums),
					 .handler = gw_on_sums,
					 .arg = p });
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
