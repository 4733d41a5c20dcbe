/*
 * gw_reach - whether this host is cut off from all engines.
 *
 * Overview
 *	peers/pe_reach.h decides, from what attempts at engines see. While cut
 *	off, the host asks one engine after the other for its report; any byte
 *	from an engine ends the state. A plain engine has no report: that it
 *	takes a connection has to do, if there are no others.
 *
 * Use
 *	gw_reach_heard(g);		a byte has come from an engine
 *	gw_reach_failed(g, engine, sent_ms);
 *	if (gw_reach_is_cut_off(g)) ...
 */
#ifndef GW_REACH_H
#define GW_REACH_H

#include "gateway/gw.h"

enum st_code gw_reach_start(struct gw_gateway *g);
void gw_reach_stop(struct gw_gateway *g);

/** gw_reach_heard() - an engine has sent something. */
void gw_reach_heard(struct gw_gateway *g);

/** gw_reach_failed() - an attempt at @e that began then ended without a byte.
 */
void gw_reach_failed(struct gw_gateway *g, const struct fl_engine *e,
		     int64_t began_ms);

/**
 * gw_reach_timed_out() - the deadline of a request at @e has ended an attempt
 * that had no byte yet. It may be shorter than the time for which a sound
 * engine is silent, so it counts only if no engine has sent anything for that
 * long.
 */
void gw_reach_timed_out(struct gw_gateway *g, const struct fl_engine *e,
			int64_t began_ms);

bool gw_reach_is_cut_off(const struct gw_gateway *g);

/** gw_reach_sweep() - attempts without a byte for long, of all requests. */
void gw_reach_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
