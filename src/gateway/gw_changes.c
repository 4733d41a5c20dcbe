#include "gateway/gw_changes.h"

#include "gateway/gw.h"
#include "gateway/gw_duty.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_spread.h"
#include "kernel/mt.h"
#include "peers/pe_report.h"

#define GW_SUMS_PERIOD_MS     100
#define GW_SUMS_FAR_PERIOD_MS 200
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

MT_COUNTER(gw_sums_sent, "balsampin_gateway_sums_sent_total",
	   "messages with the summed load of many hosts sent")

void gw_changes_reset(struct gw_collect *c)
{
	for (uint32_t i = 0; i < GW_SUMS_GROUPS; i++) {
		pe_change_clear(&c->groups[i].change);
		c->groups[i].relayed_end = c->relayed_end - c->relayed->len;
	}
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
		    !gw_collect_is_usable(peer, now_ms) ||
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

void gw_changes_call(struct gw_peers *p, uint32_t ipv4, uint16_t port,
		     const bp_gateway_changes *message)
{
	struct rp_peer to = { .ipv4 = ipv4, .port = port };

	mt_add(&gw_sums_sent, 1);
	gw_peers_call_one(p->gateway, &to, BP_GATEWAY_CHANGES,
			  (xdrproc_t)xdr_bp_gateway_changes, message);
	gw_traffic_move_held(p, &to, BP_GATEWAY_CHANGES, message->held.held_len,
			     true);
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

/* Sends to @relays of the receivers, each of which serves some of the others.
 */
static void gw_spread_changes(struct gw_peers *p, GPtrArray *receivers,
			      uint32_t relays, bp_gateway_changes *message)
{
	bp_forward forwards[BP_MAX_FORWARDS];

	if (relays < receivers->len)
		gw_spread_shuffle(receivers);
	message->forwards.forwards_val = forwards;
	for (uint32_t i = 0; i < relays; i++) {
		const struct gw_peer *to = receivers->pdata[i];

		message->forwards.forwards_len =
			gw_spread_fill(receivers, i, relays, forwards);
		gw_changes_call(p, to->address.ipv4, to->address.port, message);
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
				.collector = p->hash,
				.incarnation = p->incarnation,
				.period_ms = plan.period_ms,
				.turn_ms = plan.turn_ms },
			loads, held);
	g_array_free(loads, TRUE);
	g_array_free(held, TRUE);
	return plan;
}

static void gw_send_member_sums(struct gw_peers *p, int64_t now_ms)
{
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	GPtrArray *receivers = gw_collect_list_members(p, now_ms);
	struct pe_change_plan plan;

	pe_zone_list_all(&p->collect.zone, sums);
	plan = gw_send_changes(p, GW_SUMS_MEMBERS, receivers, sums, now_ms);
	gw_sync_new_members(p, plan.turn_ms, now_ms);
	g_ptr_array_free(receivers, TRUE);
	g_array_free(sums, TRUE);
}

void gw_changes_send_due(struct gw_peers *p, const struct pe_zone_host *hosts,
			 uint32_t count, int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	GPtrArray *receivers = g_ptr_array_new();

	if (now_ms >= c->groups[GW_SUMS_MEMBERS].next_ms)
		gw_send_member_sums(p, now_ms);
	if (now_ms >= c->next_list_ms) {
		c->next_list_ms = now_ms + PE_LIST_PERIOD_MS;
		gw_duty_send_list(p, hosts, count, now_ms);
	}
	pe_zone_list_own(&c->zone, sums);
	for (uint32_t i = GW_SUMS_NEAR; i < GW_SUMS_GROUPS; i++) {
		if (now_ms < c->groups[i].next_ms)
			continue;
		g_ptr_array_set_size(receivers, 0);
		gw_collect_list_group(p, hosts, count, i, receivers);
		gw_send_changes(p, i, receivers, sums, now_ms);
	}
	g_ptr_array_free(receivers, TRUE);
	g_array_free(sums, TRUE);
}
