/*
 * gw_relay - distribution of store rows from one reader to its region.
 *
 * Load pattern
 *	Dozens of hosts that each wait for changes of the store make thousands
 *	of calls a minute, and a roll-out over a hundred engines wakes all of
 *	them for each engine.
 *
 * Overview
 *	Each region has one reader; src/peers/pe_reader.h selects it. The reader
 *	sends the rows that its calls return to the other hosts, in datagrams,
 *	and several times a second the time at which they were current. In a
 *	large fleet it sends them to the hosts of its own zone and to two hosts
 *	of each other zone, which forward them; its link would be full in a
 *	roll-out, and hosts that miss a datagram call the store. When the
 *	reader falls silent, the other hosts poll the store themselves. A region
 *	whose hosts the store does not answer is served by a reader in another
 *	region.
 *
 *	Messages that come in a burst are spread over time; see
 *	src/peers/pe_pace.h.
 *
 *	Rows of one transaction share a version and go in one datagram. What
 *	does not fit one is only announced; each receiver then reads it from
 *	the store.
 */
#ifndef GW_RELAY_H
#define GW_RELAY_H

#include "gateway/gw.h"
#include "gateway/gw_watch.h"
#include "rpc/rp.h"

/** enum gw_table - tables of the store, as numbered in messages. */
enum gw_table { GW_OPERATOR_ROWS = 0, GW_ENGINE_ROWS, GW_TABLES };

/** gw_relay_send() - send what this host has read to its region. */
void gw_relay_send(struct gw_gateway *g, enum gw_table table,
		   const struct gw_table_update *update, int64_t lapse_left_ms);

/** gw_relay_step() - send a waiting message, once a period of gw_peers.c. */
void gw_relay_step(struct gw_gateway *g);

/** gw_relay_clear() - drop the waiting messages. */
void gw_relay_clear(struct gw_gateway *g);

/** gw_relay_serve() - accept rows from the reader of the region. */
enum st_code gw_relay_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/**
 * gw_knowledge_apply_update() - apply an update from the reader; in
 * gw_knowledge.c.
 * Return: false if rows are missing here and the store does not answer.
 */
bool gw_knowledge_apply_update(struct gw_gateway *g, enum gw_table table,
			       const struct gw_table_update *update,
			       int64_t lapse_left_ms);

/** gw_peers_is_reader() - whether this host is the reader; in gw_roles.c. */
bool gw_peers_is_reader(const struct gw_gateway *g);

/**
 * gw_peers_call_followers() - make a one-way call to each host for which this
 * host reads the store.
 * @forward_number: procedure that asks a host of another zone to make the call
 *	to each host of its own; see gw_peers_call_zone().
 */
void gw_peers_call_followers(struct gw_gateway *g, uint32_t number,
			     uint32_t forward_number, xdrproc_t args,
			     const void *value);

/** gw_peers_call_zone() - make a one-way call to each host of the own zone. */
void gw_peers_call_zone(struct gw_gateway *g, uint32_t number, xdrproc_t args,
			const void *value);

/** gw_peers_call_collectors() - to the collector of the zone and its standby.
 */
void gw_peers_call_collectors(struct gw_gateway *g, uint32_t number,
			      xdrproc_t args, const void *value);

#endif
