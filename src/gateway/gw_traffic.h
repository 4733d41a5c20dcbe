/*
 * gw_traffic - counters of the bytes between this host and others.
 *
 * Overview
 *	By kind of message, by scope (the own zone, another zone of the region,
 *	another region) and by direction, on the metrics page. Messages between
 *	hosts are counted as they pass the endpoint (rp.h), datagrams with
 *	their IP and UDP headers; of requests and responses the bodies are.
 *
 *	Announced prefixes travel in messages of load and of sums. Their bytes
 *	are moved to a kind of their own.
 *
 * Use
 *	gw_traffic_on_message(p, &message);	called by the endpoint
 *	gw_traffic_move_held(p, &peer, number, count, is_sent);
 *	gw_traffic_count(g, zone, "requests", bytes, true);
 */
#ifndef GW_TRAFFIC_H
#define GW_TRAFFIC_H

#include "gateway/gw.h"
#include "rpc/rp.h"

/** enum gw_scope - where the other end is. */
enum gw_scope { GW_OWN_ZONE = 0, GW_OTHER_ZONE, GW_OTHER_REGION, GW_SCOPES };

/**
 * struct gw_traffic - bytes of control messages sent, loads in sums left out.
 * @total: since the start, by scope.
 * @per_s: in the last whole second.
 */
struct gw_traffic {
	uint64_t total[GW_SCOPES];
	int64_t per_s[GW_SCOPES];

	uint64_t _before[GW_SCOPES];
};

/** gw_traffic_second() - renew @per_s; called once a second. */
void gw_traffic_second(struct gw_traffic *traffic);

/** gw_traffic_on_message() - count a message; @arg: struct gw_peers. */
void gw_traffic_on_message(void *arg, const struct rp_traffic *message);

/**
 * gw_traffic_move_held() - count @held announcements of a message of procedure
 * @number that is counted already as such.
 */
void gw_traffic_move_held(const struct gw_peers *p, const struct rp_peer *peer,
			  uint32_t number, uint32_t held, bool is_sent);

/** gw_traffic_count() - count @bytes to or from something in @zone. */
void gw_traffic_count(const struct gw_gateway *g, const char *zone,
		      const char *kind, uint64_t bytes, bool is_sent);

#endif
