/*
 * gw_catchup - a table of the store from another host.
 *
 * Load pattern
 *	The store stops answering a zone, or some of its hosts, at the moment
 *	at which an operator changes the configuration. What the other hosts
 *	tell of later changes does not fit what these have.
 *
 * Overview
 *	A host that misses rows, and that the store does not answer, asks the
 *	host that told it of newer ones for the whole table, over TCP.
 */
#ifndef GW_CATCHUP_H
#define GW_CATCHUP_H

#include "gateway/gw.h"
#include "gateway/gw_relay.h"

/** gw_catchup_start() - keep the tables; gw_catchup_stop() ends it. */
void gw_catchup_start(struct gw_gateway *g);
void gw_catchup_stop(struct gw_gateway *g);

/** gw_catchup_rows() - rows were read; see rw_mirror_apply(). */
void gw_catchup_rows(struct gw_gateway *g, enum gw_table table,
		     const struct rw_rows *rows, bool is_whole);

/** gw_catchup_ask() - ask @peer for the table, unless a call is under way. */
void gw_catchup_ask(struct gw_gateway *g, enum gw_table table,
		    const struct rp_peer *peer);

/** gw_catchup_serve() - answer other hosts. */
enum st_code gw_catchup_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/** gw_knowledge_version() - of the table; in gw_knowledge.c. */
void gw_knowledge_version(const struct gw_gateway *g, enum gw_table table,
			  struct rw_rows *rows, int64_t *lapse_left_ms);

/** gw_knowledge_table() - another host sent the whole table. */
void gw_knowledge_table(struct gw_gateway *g, enum gw_table table,
			const struct rw_rows *rows, int64_t lapse_left_ms);

#endif
