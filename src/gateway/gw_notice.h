/*
 * gw_notice - acts on what upstreams say of themselves in their answers.
 *
 * Overview
 *	Each answer of an upstream, to a request or to a call, also one that is
 *	skipped, is passed to gw_notice_answer(). src/fleet/fl_notice.h decides
 *	what follows; gw_place.c and gw_rollout.c ask it before they send.
 *
 *	When another upstream has taken the place of one, a late answer of the
 *	latter may come from either, so it holds for both.
 *
 *	The end of a pause is spread over some time, as all hosts may have been
 *	told the same moment.
 *
 *	A host that is told tells the others of its zone, in a large fleet
 *	through the collector (gw_collect.h), which passes on what is news to
 *	it: no host sends more messages in a larger fleet. A host that starts
 *	is told, too. Those that only heard of it prefer other upstreams.
 *
 * Use
 *	g->dialect->read_answer(status, headers, &answer);
 *	gw_notice_answer(g, engine, &answer, request);
 */
#ifndef GW_NOTICE_H
#define GW_NOTICE_H

#include "gateway/gw.h"
#include "rpc/rp.h"

/**
 * gw_notice_answer() - apply what @answer says of @e.
 * @request: id of the request that it answers, "" for a call.
 */
void gw_notice_answer(struct gw_gateway *g, struct fl_engine *e,
		      const struct dl_answer *answer, const char *request);

/**
 * gw_notice_inherit() - @e has taken the place of an upstream.
 * @before: notice of the one before it.
 * @since_ms: last time at which @e was known not to have its place yet.
 */
void gw_notice_inherit(struct gw_gateway *g, struct fl_engine *e,
		       const struct fl_notice *before, int64_t since_ms);

/** gw_notice_sync_peer() - tell a process that started what is known. */
void gw_notice_sync_peer(struct gw_gateway *g, const struct rp_peer *peer);

/** gw_notice_serve() - take what other hosts were told. */
enum st_code gw_notice_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/** gw_notice_sweep() - log pauses that have ended; call several times a second.
 */
void gw_notice_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
