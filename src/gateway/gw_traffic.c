#include "gateway/gw_traffic.h"

#include <string.h>

#include "gateway/gw_peers.h"
#include "kernel/mt_family.h"
#include "rpc/gen/balsampin.h"

#define GW_KIND_HELD "announcements"

MT_COUNTERS(gw_zone_sent, "balsampin_gateway_zone_sent_bytes_total",
	    "bytes sent within the zone", "kind")
MT_COUNTERS(gw_zone_received, "balsampin_gateway_zone_received_bytes_total",
	    "bytes received from the own zone", "kind")
MT_COUNTERS(gw_zones_sent, "balsampin_gateway_other_zones_sent_bytes_total",
	    "bytes sent to other zones of the region", "kind")
MT_COUNTERS(gw_zones_received,
	    "balsampin_gateway_other_zones_received_bytes_total",
	    "bytes received from other zones of the region", "kind")
MT_COUNTERS(gw_regions_sent, "balsampin_gateway_other_regions_sent_bytes_total",
	    "bytes sent to other regions", "kind")
MT_COUNTERS(gw_regions_received,
	    "balsampin_gateway_other_regions_received_bytes_total",
	    "bytes received from other regions", "kind")
MT_COUNTERS(gw_zone_sent_messages, "balsampin_gateway_zone_sent_messages_total",
	    "messages sent within the zone", "kind")
MT_COUNTERS(gw_zone_received_messages,
	    "balsampin_gateway_zone_received_messages_total",
	    "messages received from the own zone", "kind")
MT_COUNTERS(gw_zones_sent_messages,
	    "balsampin_gateway_other_zones_sent_messages_total",
	    "messages sent to other zones of the region", "kind")
MT_COUNTERS(gw_zones_received_messages,
	    "balsampin_gateway_other_zones_received_messages_total",
	    "messages received from other zones of the region", "kind")
MT_COUNTERS(gw_regions_sent_messages,
	    "balsampin_gateway_other_regions_sent_messages_total",
	    "messages sent to other regions", "kind")
MT_COUNTERS(gw_regions_received_messages,
	    "balsampin_gateway_other_regions_received_messages_total",
	    "messages received from other regions", "kind")

/* struct gw_meter - the counters of a scope and direction. */
struct gw_meter {
	struct mt_family *bytes;
	struct mt_family *messages;
};

/* By scope, then received and sent. */
static const struct gw_meter gw_meters[GW_SCOPES][2] = {
	[GW_OWN_ZONE] = { { &gw_zone_received, &gw_zone_received_messages },
			  { &gw_zone_sent, &gw_zone_sent_messages } },
	[GW_OTHER_ZONE] = { { &gw_zones_received, &gw_zones_received_messages },
			    { &gw_zones_sent, &gw_zones_sent_messages } },
	[GW_OTHER_REGION] = { { &gw_regions_received,
				&gw_regions_received_messages },
			      { &gw_regions_sent, &gw_regions_sent_messages } },
};

static const char *gw_kind_of(uint32_t number)
{
	switch (number) {
	case BP_GATEWAY_LOAD:
	case BP_GATEWAY_ALIVE:
		return "load";
	case BP_GATEWAY_SUMS:
	case BP_GATEWAY_CHANGES:
		return "sums";
	case BP_GATEWAY_ROWS:
	case BP_GATEWAY_FORWARD_ROWS:
		return "rows";
	case BP_GATEWAY_TABLE:
	case BP_GATEWAY_TABLES:
		return "tables";
	case BP_GATEWAY_NOTICE:
		return "notices";
	case BP_GATEWAY_SUSPECT:
		return "crash_records";
	default:
		return "other";
	}
}

/* Hosts that are not in the list yet count as far: the dearest case. */
static enum gw_scope gw_scope_of_peer(const struct gw_peers *p,
				      const struct rp_peer *at)
{
	const struct gw_peer *peer =
		at->host[0]
			? gw_hosts_find_hash(&p->hosts, gw_name_hash(at->host))
			: gw_hosts_find(&p->hosts, at->ipv4, at->port);

	if (!peer)
		return GW_OTHER_REGION;
	if (gw_collect_is_member(p, peer))
		return GW_OWN_ZONE;
	return peer->is_far ? GW_OTHER_REGION : GW_OTHER_ZONE;
}

void gw_traffic_on_message(void *arg, const struct rp_traffic *message)
{
	struct gw_peers *p = arg;
	enum gw_scope scope = gw_scope_of_peer(p, message->peer);
	const struct gw_meter *meter = &gw_meters[scope][message->is_sent];
	const char *kind = gw_kind_of(message->number);

	if (message->is_sent && message->number != BP_GATEWAY_CHANGES)
		p->traffic.total[scope] += message->bytes;
	mt_count_many(meter->bytes, kind, message->bytes);
	mt_count(meter->messages, kind);
}

void gw_traffic_second(struct gw_traffic *traffic)
{
	for (uint32_t i = 0; i < GW_SCOPES; i++) {
		traffic->per_s[i] =
			(int64_t)(traffic->total[i] - traffic->_before[i]);
		traffic->_before[i] = traffic->total[i];
	}
}

void gw_traffic_move_held(const struct gw_peers *p, const struct rp_peer *peer,
			  uint32_t number, uint32_t held, bool is_sent)
{
	const struct gw_meter *meter;
	int64_t bytes = (int64_t)held * (int64_t)sizeof(bp_held);

	if (!held)
		return;
	meter = &gw_meters[gw_scope_of_peer(p, peer)][is_sent];
	mt_count_many(meter->bytes, gw_kind_of(number), -bytes);
	mt_count_many(meter->bytes, GW_KIND_HELD, bytes);
}

void gw_traffic_count(const struct gw_gateway *g, const char *zone,
		      const char *kind, uint64_t bytes, bool is_sent)
{
	const struct gw_settings *s = &g->settings;
	enum gw_scope scope = GW_OTHER_REGION;
	const struct gw_meter *meter;

	if (!strcmp(zone, s->zone))
		scope = GW_OWN_ZONE;
	else if (!strcmp(gw_region_of(s, zone), s->region))
		scope = GW_OTHER_ZONE;
	meter = &gw_meters[scope][is_sent];
	mt_count_many(meter->bytes, kind, (int64_t)bytes);
	mt_count(meter->messages, kind);
}
