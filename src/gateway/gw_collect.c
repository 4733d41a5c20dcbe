#include "gateway/gw_collect.h"

#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_bound.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_traffic.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "peers/pe_report.h"

/* Up to this many peers, reports between all hosts are as recent as sums. */
#define GW_DIRECT_PEERS 16
/* Hosts considered, this one included. */
#define GW_MAX_ZONE_HOSTS   4096
#define GW_CHOICE_PERIOD_MS 100
/* Sums and reports are sent this often. Reports are less often in a large zone:
 * a host with an eighth of a core handles some thousand messages a second. */
#define GW_SUMS_PERIOD_MS	100
#define GW_SUMS_FAR_PERIOD_MS	200
#define GW_REPORT_MS_PER_MEMBER 1
/* A standby takes over with loads that are at most so old. */
#define GW_SUMS_STANDBY_PERIOD_MS 1000
/* Of the collector to members that pass messages on. A host in a zone of 75
 * shall send less than 100 KB a second in all. */
#define GW_MEMBER_BYTES_PER_S 70000
/* Loads of a message: 720 a second repeat those of 1,000 upstreams in 2 s. */
#define GW_MEMBER_DATAGRAMS  1
#define GW_NEAR_DATAGRAMS    2
#define GW_FAR_DATAGRAMS     4
#define GW_STANDBY_DATAGRAMS 4
/* The rest of a budget is for loads. */
#define GW_HELD_BUDGET_FRACTION 0.5
/* New members are sent sums in full, so many datagrams in a step. */
#define GW_FULL_SUMS_DATAGRAMS 8
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
/* A host that has been on duty for this time hears the others on duty often. */
#define GW_DUTY_SETTLED_MS 5000
/* Longer than any period of reports. */
#define GW_UNKNOWN_INTERVAL_MS 60000

MT_COUNTER(gw_sums_sent, "balsampin_gateway_sums_sent_total",
	   "messages with the summed load of many hosts sent")
MT_COUNTER(gw_sums_received, "balsampin_gateway_sums_received_total",
	   "messages with the summed load of many hosts received")
MT_GAUGE(gw_collects, "balsampin_gateway_collects_load",
	 "1 while this host sums the load of its zone")

/** struct gw_relayed - an announcement; @is_own: of a host of this zone. */
struct gw_relayed {
	bp_held held;
	int64_t heard_ms;
	bool is_own;
};

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
	peer->distrusted_ms = now_ms;
	lg_info("collector of the zone is silent", "event", "load_collector",
		"collector", peer->name, "outcome", "distrusted", NULL);
}

static bool gw_may_collect(const struct gw_peer *peer, int64_t now_ms)
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

	hosts[0] = (struct pe_zone_host){ gw_name_hash(s->host), gw_own_zone(p),
					  !p->gateway->stop_ms };
	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count == GW_MAX_ZONE_HOSTS)
			break;
		hosts[count++] =
			(struct pe_zone_host){ peer->hash, peer->zone,
					       gw_may_collect(peer, now_ms) };
	}
	return count;
}

/* What was sent to a group counts for the process that sent it only. */
static void gw_reset_groups(struct gw_collect *c)
{
	for (uint32_t i = 0; i < GW_SUMS_GROUPS; i++) {
		pe_change_clear(&c->groups[i].change);
		c->groups[i].relayed_end = c->relayed_end - c->relayed->len;
	}
}

static void gw_set_collector(struct gw_peers *p, bool is_collector)
{
	struct gw_collect *c = &p->collect;

	if (c->is_collector == is_collector)
		return;
	c->is_collector = is_collector;
	gw_reset_groups(c);
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

static unsigned int gw_alive_word(uint64_t hash, bool takes_part)
{
	return (unsigned int)(hash << 1) | takes_part;
}

static int64_t gw_observed_ms(const struct gw_peer *peer)
{
	int64_t shortest_ms = GW_UNKNOWN_INTERVAL_MS;

	for (uint32_t i = 0; i < 2; i++)
		if (peer->intervals_ms[i])
			shortest_ms = MIN(shortest_ms, peer->intervals_ms[i]);
	return shortest_ms;
}

/* struct gw_zone_seen - what was heard of any host of a zone. */
struct gw_zone_seen {
	int64_t received_ms;
	int64_t observed_ms;
};

static GHashTable *gw_see_zones(const struct gw_peers *p)
{
	GHashTable *zones = g_hash_table_new_full(NULL, NULL, NULL, g_free);

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];
		struct gw_zone_seen *seen = g_hash_table_lookup(
			zones, GUINT_TO_POINTER(peer->zone));

		if (!seen) {
			seen = g_new0(struct gw_zone_seen, 1);
			seen->observed_ms = GW_UNKNOWN_INTERVAL_MS;
			g_hash_table_insert(zones, GUINT_TO_POINTER(peer->zone),
					    seen);
		}
		if (!peer->is_seen)
			continue;
		seen->received_ms = MAX(seen->received_ms, peer->received_ms);
		seen->observed_ms =
			MIN(seen->observed_ms, gw_observed_ms(peer));
	}
	return zones;
}

/* Only a host on duty hears each zone often enough to find it silent. */
static void gw_find_silent_zones(struct gw_peers *p, int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	bool hears_often = c->is_on_duty && gw_collect_is_used(p) &&
			   now_ms - c->duty_ms >= GW_DUTY_SETTLED_MS;
	GHashTable *zones = gw_see_zones(p);

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];
		const struct gw_zone_seen *seen = g_hash_table_lookup(
			zones, GUINT_TO_POINTER(peer->zone));

		peer->is_zone_silent =
			hears_often && !gw_collect_is_member(p, peer) &&
			pe_report_zone_is_silent(now_ms - seen->received_ms,
						 seen->observed_ms);
	}
	g_hash_table_destroy(zones);
}

static void gw_find_duty(struct gw_peers *p, int64_t now_ms)
{
	const struct gw_settings *s = &p->gateway->settings;
	struct gw_collect *c = &p->collect;
	uint32_t count = p->hosts.peers->len + 1;
	struct pe_report_host *hosts = g_new0(struct pe_report_host, count);
	bool *is_on_duty = g_new0(bool, count);

	hosts[0] =
		(struct pe_report_host){ gw_name_hash(s->host), gw_own_zone(p),
					 true, gw_takes_part(p->gateway) };
	for (uint32_t i = 1; i < count; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i - 1];

		hosts[i] =
			(struct pe_report_host){ peer->hash, peer->zone,
						 gw_peer_is_alive(peer, now_ms),
						 peer->takes_part };
	}
	pe_report_duty(hosts, count, is_on_duty);
	if (is_on_duty[0] && !c->is_on_duty)
		c->duty_ms = now_ms;
	c->is_on_duty = is_on_duty[0];
	for (uint32_t i = 1; i < count; i++)
		((struct gw_peer *)p->hosts.peers->pdata[i - 1])->is_on_duty =
			is_on_duty[i];
	g_free(hosts);
	g_free(is_on_duty);
}

void gw_collect_set_period(const struct gw_peers *p, struct gw_peer *peer,
			   int64_t report_ms, int64_t now_ms)
{
	struct pe_report_pair pair = {
		.are_on_duty = p->collect.is_on_duty && peer->is_on_duty,
		.is_same_zone = gw_collect_is_member(p, peer),
		.is_listed =
			peer->listed_ms &&
			pe_report_is_listed(
				now_ms - peer->listed_ms,
				peer->hash ^
					gw_name_hash(
						p->gateway->settings.host)),
	};

	peer->period_ms = pe_report_period_ms(&pair);
	peer->expected_ms = pe_report_expected_ms(&pair, gw_observed_ms(peer));
	if (peer->is_collector)
		peer->period_ms = report_ms;
}

/* Sends sums in full to @peer. */
static void gw_send_sums(struct gw_peers *p, struct gw_peer *peer,
			 const GArray *sums)
{
	struct gw_collect *c = &p->collect;
	bp_share shares[BP_MAX_SUM_SHARES];
	bp_gateway_sums message = {
		.sequence = ++c->sequence,
		.parts = MAX((sums->len + BP_MAX_SUM_SHARES - 1) /
				     BP_MAX_SUM_SHARES,
			     1),
		.period_ms = GW_SUMS_PERIOD_MS,
		.shares = { 0, shares },
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
		mt_add(&gw_sums_sent, 1);
		gw_peers_call_one(
			p->gateway,
			&(struct rp_peer){ .ipv4 = peer->address.ipv4,
					   .port = peer->address.port },
			BP_GATEWAY_SUMS, (xdrproc_t)xdr_bp_gateway_sums,
			&message);
	}
}

/*
 * A process that is new among the members would have to wait for a whole turn
 * of changes. If many are new at once, the turn is over first.
 */
static void gw_sync_new_members(struct gw_peers *p, int64_t turn_ms,
				int64_t now_ms)
{
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	uint32_t datagrams = 0;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (!gw_collect_is_member(p, peer) ||
		    !gw_may_collect(peer, now_ms) ||
		    peer->synced_incarnation == peer->incarnation)
			continue;
		if (!peer->joined_ms)
			peer->joined_ms = now_ms;
		if (now_ms - peer->joined_ms < turn_ms) {
			if (datagrams >= GW_FULL_SUMS_DATAGRAMS)
				continue;
			g_array_set_size(sums, 0);
			pe_zone_list_for_member(&p->collect.zone,
						peer->incarnation, sums);
			gw_send_sums(p, peer, sums);
			datagrams += sums->len / BP_MAX_SUM_SHARES + 1;
		}
		peer->synced_incarnation = peer->incarnation;
		peer->joined_ms = 0;
	}
	g_array_free(sums, TRUE);
}

/* Appends at most @max announcements that the group lacks. */
static void gw_take_relayed(struct gw_collect *c, enum gw_sums_group group,
			    uint32_t max, GArray *held)
{
	struct gw_sums_state *state = &c->groups[group];
	uint64_t first = c->relayed_end - c->relayed->len;

	state->relayed_end = MAX(state->relayed_end, first);
	while (state->relayed_end < c->relayed_end && held->len < max) {
		const struct gw_relayed *r =
			&g_array_index(c->relayed, struct gw_relayed,
				       state->relayed_end++ - first);

		if (group == GW_SUMS_MEMBERS || r->is_own)
			g_array_append_val(held, r->held);
	}
}

static void gw_call_changes(struct gw_peers *p, uint32_t ipv4, uint16_t port,
			    const bp_gateway_changes *message)
{
	struct rp_peer to = { .ipv4 = ipv4, .port = port };

	mt_add(&gw_sums_sent, 1);
	gw_peers_call_one(p->gateway, &to, BP_GATEWAY_CHANGES,
			  (xdrproc_t)xdr_bp_gateway_changes, message);
	gw_traffic_move_held(p, &to, BP_GATEWAY_CHANGES, message->held.held_len,
			     true);
}

/* In a new order for each message, so that a member that has failed keeps only
 * few messages from the others. */
static void gw_shuffle(GPtrArray *list)
{
	for (uint32_t i = list->len; i > 1; i--) {
		uint32_t j = g_random_int_range(0, (gint32)i);
		void *last = list->pdata[i - 1];

		list->pdata[i - 1] = list->pdata[j];
		list->pdata[j] = last;
	}
}

/*
 * Fills in the receivers that the one at @relay passes a message on to, of
 * @relays that do.
 */
static uint32_t gw_fill_forwards(const GPtrArray *receivers, uint32_t relay,
				 uint32_t relays, bp_forward *forwards)
{
	uint32_t count = 0;

	for (uint32_t i = relay + relays;
	     i < receivers->len && count < BP_MAX_FORWARDS; i += relays) {
		const struct gw_peer *peer = receivers->pdata[i];

		forwards[count++] =
			(bp_forward){ peer->address.ipv4, peer->address.port };
	}
	return count;
}

/* Sends to @relays of the receivers, each of which serves some of the others.
 */
static void gw_spread_changes(struct gw_peers *p, GPtrArray *receivers,
			      uint32_t relays, bp_gateway_changes *message)
{
	bp_forward forwards[BP_MAX_FORWARDS];

	if (relays < receivers->len)
		gw_shuffle(receivers);
	message->forwards.forwards_val = forwards;
	for (uint32_t i = 0; i < relays; i++) {
		const struct gw_peer *to = receivers->pdata[i];

		message->forwards.forwards_len =
			gw_fill_forwards(receivers, i, relays, forwards);
		gw_call_changes(p, to->address.ipv4, to->address.port, message);
	}
	message->forwards.forwards_val = NULL;
	message->forwards.forwards_len = 0;
}

static void gw_send_datagrams(struct gw_peers *p, GPtrArray *receivers,
			      uint32_t relays, bp_gateway_changes *message,
			      const GArray *loads, const GArray *held)
{
	uint32_t load = 0, announced = 0;

	do {
		bp_share shares[BP_MAX_CHANGES];
		uint32_t count = MIN(loads->len - load, BP_MAX_CHANGES);

		for (uint32_t i = 0; i < count; i++) {
			const struct pe_share *s = &g_array_index(
				loads, struct pe_share, load + i);

			shares[i] =
				(bp_share){ s->engine, s->running, s->tokens };
		}
		message->sequence = ++p->collect.sequence;
		message->shares.shares_val = shares;
		message->shares.shares_len = count;
		message->held.held_val =
			&((bp_held *)(void *)held->data)[announced];
		message->held.held_len =
			MIN(held->len - announced, BP_MAX_CHANGE_HELD);
		load += count;
		announced += message->held.held_len;
		gw_spread_changes(p, receivers, relays, message);
		message->shares.shares_val = NULL;
	} while (load < loads->len || announced < held->len);
}

/* struct gw_group_rules - how a group is served. */
struct gw_group_rules {
	int64_t period_ms;
	uint32_t max_datagrams;
	bool is_relayed_to;
};

static const struct gw_group_rules gw_group_rules[GW_SUMS_GROUPS] = {
	[GW_SUMS_MEMBERS] = { GW_SUMS_PERIOD_MS, GW_MEMBER_DATAGRAMS, true },
	[GW_SUMS_NEAR] = { GW_SUMS_PERIOD_MS, GW_NEAR_DATAGRAMS, true },
	[GW_SUMS_FAR] = { GW_SUMS_FAR_PERIOD_MS, GW_FAR_DATAGRAMS, true },
	[GW_SUMS_NEAR_STANDBY] = { GW_SUMS_STANDBY_PERIOD_MS,
				   GW_STANDBY_DATAGRAMS, false },
	[GW_SUMS_FAR_STANDBY] = { GW_SUMS_STANDBY_PERIOD_MS,
				  GW_STANDBY_DATAGRAMS, false },
};

static int64_t gw_group_bytes_per_s(const struct gw_peers *p,
				    enum gw_sums_group group)
{
	const struct gw_settings *s = &p->gateway->settings;
	const int64_t *taken = p->traffic.per_s;

	switch (group) {
	case GW_SUMS_NEAR:
	case GW_SUMS_NEAR_STANDBY:
		return pe_change_room(s->zone_bytes_per_s, taken[GW_OTHER_ZONE],
				      group == GW_SUMS_NEAR_STANDBY);
	case GW_SUMS_FAR:
	case GW_SUMS_FAR_STANDBY:
		return pe_change_room(s->region_bytes_per_s,
				      taken[GW_OTHER_REGION],
				      group == GW_SUMS_FAR_STANDBY);
	default:
		return GW_MEMBER_BYTES_PER_S;
	}
}

/* Sends the loads of @sums that are due to @receivers. */
static struct pe_change_plan gw_send_changes(struct gw_peers *p,
					     enum gw_sums_group group,
					     GPtrArray *receivers,
					     const GArray *sums, int64_t now_ms)
{
	const struct gw_group_rules *rules = &gw_group_rules[group];
	struct gw_sums_state *state = &p->collect.groups[group];
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	GArray *held = g_array_sized_new(FALSE, FALSE, sizeof(bp_held),
					 BP_MAX_CHANGE_HELD);
	uint32_t relays =
		group == GW_SUMS_MEMBERS
			? pe_change_relays(receivers->len, BP_MAX_FORWARDS)
			: receivers->len;
	struct pe_change_budget budget = {
		.upstreams = sums->len,
		.receivers = relays,
		.period_ms = rules->period_ms,
		.bytes_per_s = gw_group_bytes_per_s(p, group),
		.max_datagrams = rules->max_datagrams,
	};
	int64_t bytes_per_held = (int64_t)sizeof(bp_held) * MAX(relays, 1);
	struct pe_change_plan plan;

	if (rules->is_relayed_to)
		gw_take_relayed(
			&p->collect, group,
			MAX(budget.bytes_per_s * GW_HELD_BUDGET_FRACTION *
				    budget.period_ms / 1000 / bytes_per_held,
			    1),
			held);
	budget.bytes_per_s -=
		held->len * bytes_per_held * 1000 / budget.period_ms;
	plan = pe_change_plan(&budget);
	state->next_ms = now_ms + plan.period_ms;
	pe_change_choose(&state->change, sums, &plan, now_ms, loads);
	if (receivers->len)
		gw_send_datagrams(
			p, receivers, relays,
			&(bp_gateway_changes){
				.zone = group == GW_SUMS_MEMBERS
						? 0
						: gw_name_hash(
							  p->gateway->settings
								  .zone),
				.collector =
					gw_name_hash(p->gateway->settings.host),
				.incarnation = p->incarnation,
				.period_ms = plan.period_ms,
				.turn_ms = plan.turn_ms },
			loads, held);
	g_array_free(loads, TRUE);
	g_array_free(held, TRUE);
	return plan;
}

static GPtrArray *gw_list_members(const struct gw_peers *p, int64_t now_ms)
{
	GPtrArray *members = g_ptr_array_new();

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (gw_collect_is_member(p, peer) &&
		    gw_may_collect(peer, now_ms))
			g_ptr_array_add(members, peer);
	}
	return members;
}

static void gw_send_member_sums(struct gw_peers *p, int64_t now_ms)
{
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	GPtrArray *receivers = gw_list_members(p, now_ms);
	struct pe_change_plan plan;

	pe_zone_list_all(&p->collect.zone, sums);
	plan = gw_send_changes(p, GW_SUMS_MEMBERS, receivers, sums, now_ms);
	gw_sync_new_members(p, plan.turn_ms, now_ms);
	g_ptr_array_free(receivers, TRUE);
	g_array_free(sums, TRUE);
}

/* Finds the host of each other zone that belongs to @group. */
static void gw_list_group(const struct gw_peers *p,
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

/* Members that have reported within the time of a collector's silence. */
static uint32_t gw_list_alive(const struct gw_peers *p, int64_t now_ms,
			      unsigned int *members)
{
	const struct gw_settings *s = &p->gateway->settings;
	int64_t report_ms = gw_collect_report_ms(p);
	uint32_t count = 0;

	members[count++] =
		gw_alive_word(gw_name_hash(s->host), gw_takes_part(p->gateway));
	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count < BP_MAX_ALIVE && gw_collect_is_member(p, peer) &&
		    peer->is_seen &&
		    !pe_zone_is_silent(now_ms - peer->received_ms, report_ms,
				       0))
			members[count++] =
				gw_alive_word(peer->hash, peer->takes_part);
	}
	return count;
}

static void gw_call_alive(struct gw_peers *p, uint32_t ipv4, uint16_t port,
			  const bp_gateway_alive *message)
{
	gw_peers_call_one(
		p->gateway, &(struct rp_peer){ .ipv4 = ipv4, .port = port },
		BP_GATEWAY_ALIVE, (xdrproc_t)xdr_bp_gateway_alive, message);
}

/* Sends the list of the members to the collectors of the other zones. */
static void gw_send_alive(struct gw_peers *p, const struct pe_zone_host *hosts,
			  uint32_t count, int64_t now_ms)
{
	unsigned int members[BP_MAX_ALIVE];
	bp_gateway_alive message = {
		.collector = gw_name_hash(p->gateway->settings.host),
		.period_ms = PE_LIST_PERIOD_MS,
		.members = { gw_list_alive(p, now_ms, members), members },
	};
	GPtrArray *receivers = g_ptr_array_new();

	gw_list_group(p, hosts, count, GW_SUMS_NEAR, receivers);
	gw_list_group(p, hosts, count, GW_SUMS_FAR, receivers);
	for (uint32_t i = 0; i < receivers->len; i++) {
		const struct gw_peer *to = receivers->pdata[i];

		gw_call_alive(p, to->address.ipv4, to->address.port, &message);
	}
	g_ptr_array_free(receivers, TRUE);
}

static void gw_send_due_sums(struct gw_peers *p,
			     const struct pe_zone_host *hosts, uint32_t count,
			     int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	GPtrArray *receivers = g_ptr_array_new();

	if (now_ms >= c->groups[GW_SUMS_MEMBERS].next_ms)
		gw_send_member_sums(p, now_ms);
	if (now_ms >= c->next_list_ms) {
		c->next_list_ms = now_ms + PE_LIST_PERIOD_MS;
		gw_send_alive(p, hosts, count, now_ms);
	}
	pe_zone_list_own(&c->zone, sums);
	for (uint32_t i = GW_SUMS_NEAR; i < GW_SUMS_GROUPS; i++) {
		if (now_ms < c->groups[i].next_ms)
			continue;
		g_ptr_array_set_size(receivers, 0);
		gw_list_group(p, hosts, count, i, receivers);
		gw_send_changes(p, i, receivers, sums, now_ms);
	}
	g_ptr_array_free(receivers, TRUE);
	g_array_free(sums, TRUE);
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
	gw_find_silent_zones(p, now_ms);
	gw_find_duty(p, now_ms);
	count = gw_list_zone_hosts(p, hosts, now_ms);
	gw_choose_collectors(p, hosts, count, now_ms);
	gw_trim_relayed(c, now_ms);
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

		gw_call_changes(p, to->ipv4, (uint16_t)to->port, &copy);
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

/* Counts the hosts of @zone that @message lists as heard. */
static void gw_apply_alive(struct gw_peers *p, uint32_t zone,
			   const bp_gateway_alive *message, int64_t now_ms)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);

	for (uint32_t i = 0; i < message->members.members_len; i++)
		g_hash_table_add(
			listed,
			GUINT_TO_POINTER(message->members.members_val[i]));
	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		struct gw_peer *peer = p->hosts.peers->pdata[i];
		bool takes_part = g_hash_table_contains(
			listed,
			GUINT_TO_POINTER(gw_alive_word(peer->hash, true)));

		if (peer->zone != zone ||
		    (!takes_part &&
		     !g_hash_table_contains(
			     listed, GUINT_TO_POINTER(gw_alive_word(peer->hash,
								    false)))))
			continue;
		peer->is_seen = true;
		peer->takes_part = takes_part;
		peer->received_ms = now_ms;
		peer->listed_ms = now_ms;
	}
	g_hash_table_destroy(listed);
}

/* The collector passes lists of other zones on to its members. */
static void gw_spread_alive(struct gw_peers *p, const bp_gateway_alive *message,
			    int64_t now_ms)
{
	GPtrArray *members = gw_list_members(p, now_ms);
	uint32_t relays = pe_change_relays(members->len, BP_MAX_FORWARDS);
	bp_forward forwards[BP_MAX_FORWARDS];
	bp_gateway_alive copy = *message;

	gw_shuffle(members);
	copy.forwards.forwards_val = forwards;
	for (uint32_t i = 0; i < relays; i++) {
		const struct gw_peer *to = members->pdata[i];

		copy.forwards.forwards_len =
			gw_fill_forwards(members, i, relays, forwards);
		gw_call_alive(p, to->address.ipv4, to->address.port, &copy);
	}
	g_ptr_array_free(members, TRUE);
}

static void gw_on_alive(void *arg, struct rp_request *request, const void *args)
{
	struct gw_peers *p = arg;
	const bp_gateway_alive *message = args;
	const struct rp_peer *from = rp_peer_of(request);
	const struct gw_peer *collector =
		gw_hosts_find_hash(&p->hosts, message->collector);
	int64_t now_ms = ck_now_ms();

	if (collector && !gw_collect_is_member(p, collector)) {
		gw_apply_alive(p, collector->zone, message, now_ms);
		if (p->collect.is_collector &&
		    gw_hosts_find(&p->hosts, from->ipv4, from->port) ==
			    collector)
			gw_spread_alive(p, message, now_ms);
	}
	for (uint32_t i = 0; i < message->forwards.forwards_len; i++) {
		const bp_forward *to = &message->forwards.forwards_val[i];
		bp_gateway_alive copy = *message;

		copy.forwards.forwards_len = 0;
		gw_call_alive(p, to->ipv4, (uint16_t)to->port, &copy);
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
		{ .number = BP_GATEWAY_ALIVE,
		  .args = (xdrproc_t)xdr_bp_gateway_alive,
		  .args_bytes = sizeof(bp_gateway_alive),
		  .handler = gw_on_alive,
		  .arg = p },
	};
	enum st_code code = ST_OK;

	for (uint32_t i = 0; code == ST_OK && i < G_N_ELEMENTS(procedures); i++)
		code = rp_serve(&p->rpc, &procedures[i]);
	return code;
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
