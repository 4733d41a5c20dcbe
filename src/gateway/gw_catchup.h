/*
 * gw_catchup - copy of a store table from another host.
 *
 * Load pattern
 *	The store stops answering a zone, or some of its hosts, just as an
 *	operator changes the configuration. The affected hosts cannot apply
 *	the later changes that other hosts relay, since they lack the earlier
 *	ones.
 *
 * Overview
 *	A host that misses rows, and that the store does not answer, requests
 *	the whole table over TCP from the host that relayed the newer rows. One
 *	that starts requests it from any that has it (gw_start.h). A host sends
 *	large tables one after the other, and says so by a table of version 0,
 *	as does a host that has none.
 */
#ifndef GW_CATCHUP_H
#define GW_CATCHUP_H

#include "gateway/gw.h"
#include "gateway/gw_relay.h"

/** gw_catchup_start() - keep copies of the tables until gw_catchup_stop(). */
void gw_catchup_start(struct gw_gateway *g);
void gw_catchup_stop(struct gw_gateway *g);

/** gw_catchup_apply_rows() - add rows to the copy; see rw_mirror_apply(). */
void gw_catchup_apply_rows(struct gw_gateway *g, enum gw_table table,
			   const struct rw_rows *rows, bool is_whole);

/**
 * gw_catchup_request() - request the table from @peer, unless a call for the
 * table is pending.
 */
void gw_catchup_request(struct gw_gateway *g, enum gw_table table,
			const struct rp_peer *peer);

/** gw_catchup_is_pending() - whether a table is on its way. */
bool gw_catchup_is_pending(const struct gw_gateway *g, enum gw_table table);

/** gw_catchup_is_busy() - whether tables are still being sent to others. */
bool gw_catchup_is_busy(const struct gw_gateway *g, int64_t now_ms);

/** gw_catchup_serve() - serve the tables to other hosts. */
enum st_code gw_catchup_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/**
 * gw_knowledge_get_version() - get the version and store time of @table; in
 * gw_knowledge.c.
 * @rows: only version and store_ms are set.
 * @lapse_left_ms: time for which missing engine entries are still kept.
 */
void gw_knowledge_get_version(const struct gw_gateway *g, enum gw_table table,
			      struct rw_rows *rows, int64_t *lapse_left_ms);

/** gw_knowledge_apply_table() - apply a whole table from another host. */
void gw_knowledge_apply_table(struct gw_gateway *g, enum gw_table table,
			      const struct rw_rows *rows,
			      int64_t lapse_left_ms);

#endif
