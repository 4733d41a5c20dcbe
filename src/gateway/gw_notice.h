/*
 * gw_notice - acts on what upstreams say of themselves in their answers.
 *
 * Overview
 *	Each answer of an upstream, to a request or to a call, also one that is
 *	skipped, is passed to gw_notice_answer(). src/fleet/fl_notice.h decides
 *	what follows; gw_place.c and gw_rollout.c ask it before they send.
 *
 *	The end of a pause is spread over some time, as all hosts may have been
 *	told the same moment.
 *
 * Use
 *	g->dialect->read_answer(status, headers, &answer);
 *	gw_notice_answer(g, engine, &answer, request);
 */
#ifndef GW_NOTICE_H
#define GW_NOTICE_H

#include "gateway/gw.h"

/**
 * gw_notice_answer() - apply what @answer says of @e.
 * @request: id of the request that it answers, "" for a call.
 */
void gw_notice_answer(struct gw_gateway *g, struct fl_engine *e,
		      const struct dl_answer *answer, const char *request);

/** gw_notice_sweep() - log pauses that have ended; call several times a second.
 */
void gw_notice_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
