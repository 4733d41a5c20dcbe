#include "gateway/gw_duty.h"

#include "gateway/gw.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_spread.h"
#include "kernel/ck.h"
#include "peers/pe_change.h"
#include "peers/pe_report.h"

/* A host that has been on duty for this time hears the others on duty often. */
#define GW_DUTY_SETTLED_MS 5000
/* Longer than any period of reports. */
#define GW_UNKNOWN_INTERVAL_MS 60000

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
void gw_duty_find_silent_zones(struct gw_peers *p, int64_t now_ms)
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

void gw_duty_find(struct gw_peers *p, int64_t now_ms)
{
	struct gw_collect *c = &p->collect;
	uint32_t count = p->hosts.peers->len + 1;
	struct pe_report_host *hosts = g_new0(struct pe_report_host, count);
	bool *is_on_duty = g_new0(bool, count);

	hosts[0] = (struct pe_report_host){ p->hash, gw_collect_zone(p), true,
					    gw_takes_part(p->gateway) };
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

void gw_duty_set_period(const struct gw_peers *p, struct gw_peer *peer,
			int64_t report_ms, int64_t now_ms)
{
	struct pe_report_pair pair = {
		.are_on_duty = p->collect.is_on_duty && peer->is_on_duty,
		.is_same_zone = gw_collect_is_member(p, peer),
		.is_listed = peer->listed_ms &&
			     pe_report_is_listed(now_ms - peer->listed_ms,
						 peer->hash ^ p->hash),
	};

	peer->period_ms = pe_report_period_ms(&pair);
	peer->expected_ms = pe_report_expected_ms(&pair, gw_observed_ms(peer));
	if (peer->is_collector)
		peer->period_ms = report_ms;
}

/* Members that have reported within the time of a collector's silence. */
static uint32_t gw_list_alive(const struct gw_peers *p, int64_t now_ms,
			      unsigned int *members)
{
	int64_t report_ms = gw_collect_report_ms(p);
	uint32_t count = 0;

	members[count++] = gw_alive_word(p->hash, gw_takes_part(p->gateway));
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
void gw_duty_send_list(struct gw_peers *p, const struct pe_zone_host *hosts,
		       uint32_t count, int64_t now_ms)
{
	unsigned int members[BP_MAX_ALIVE];
	bp_gateway_alive message = {
		.collector = p->hash,
		.period_ms = PE_LIST_PERIOD_MS,
		.members = { gw_list_alive(p, now_ms, members), members },
	};
	GPtrArray *receivers = g_ptr_array_new();

	gw_collect_list_group(p, hosts, count, GW_SUMS_NEAR, receivers);
	gw_collect_list_group(p, hosts, count, GW_SUMS_FAR, receivers);
	for (uint32_t i = 0; i < receivers->len; i++) {
		const struct gw_peer *to = receivers->pdata[i];

		gw_call_alive(p, to->address.ipv4, to->address.port, &message);
	}
	g_ptr_array_free(receivers, TRUE);
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
	GPtrArray *members = gw_collect_list_members(p, now_ms);
	uint32_t relays = pe_change_relays(members->len, BP_MAX_FORWARDS);
	bp_forward forwards[BP_MAX_FORWARDS];
	bp_gateway_alive copy = *message;

	gw_spread_shuffle(members);
	copy.forwards.forwards_val = forwards;
	for (uint32_t i = 0; i < relays; i++) {
		const struct gw_peer *to = members->pdata[i];

		copy.forwards.forwards_len =
			gw_spread_fill(members, i, relays, forwards);
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

enum st_code gw_duty_serve(struct gw_peers *p)
{
	return rp_serve(
		&p->rpc,
		&(struct rp_procedure){ .number = BP_GATEWAY_ALIVE,
					.args = (xdrproc_t)xdr_bp_gateway_alive,
					.args_bytes = sizeof(bp_gateway_alive),
					.handler = gw_on_alive,
					.arg = p });
}
