/*
 * gw_relay - one reader of the store for the hosts of a region.
 *
 * Load pattern
 *	Dozens of hosts that each wait for changes of the store make thousands
 *	of calls a minute, and a roll-out over a hundred engines wakes all of
 *	them for each engine.
 *
 * Overview
 *	Each region has a reader, src/peers/pe_reader.h tells which.
 *	It tells the others what its calls found, in datagrams, and several
 *	times a second how fresh it is. When the reader falls silent, the others
 *	ask the store themselves. A region whose hosts the store does not answer
 *	is told by a host of another one.
 *
 *	Rows that do not fit a datagram are not told but announced; the others
 *	then ask the store once.
 */
#ifndef GW_RELAY_H
#define GW_RELAY_H

#include "gateway/gw.h"
#include "gateway/gw_watch.h"
#include "rpc/rp.h"

/** enum gw_table - of the store, as the hosts name them to each other. */
enum gw_table { GW_OPERATOR_ROWS = 0, GW_ENGINE_ROWS, GW_TABLES };

/** gw_relay_send_rows() - this host's call found rows; tell the region. */
void gw_relay_send_rows(struct gw_gateway *g, enum gw_table table,
			uint64_t from, const struct rw_rows *rows,
			int64_t lapse_left_ms);

/** gw_relay_send_reload() - this host had to read the whole table again. */
void gw_relay_send_reload(struct gw_gateway *g, enum gw_table table,
			  const struct rw_rows *rows, int64_t lapse_left_ms);

/** gw_relay_serve() - take what the reader of the region tells. */
enum st_code gw_relay_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/**
 * gw_knowledge_apply_update() - the reader told of a table; in gw_knowledge.c.
 * Return: false if rows are missing here and the store does not answer.
 */
bool gw_knowledge_apply_update(struct gw_gateway *g, enum gw_table table,
			       const struct gw_table_update *update,
			       int64_t lapse_left_ms);

/** gw_peers_is_reader() - this host reads for its region; in gw_peers.c. */
bool gw_peers_is_reader(const struct gw_gateway *g);

/** gw_peers_call_followers() - a one-way call to each host this one reads for.
 */
void gw_peers_call_followers(struct gw_gateway *g, uint32_t number,
			     xdrproc_t args, const void *value);

#endif
