/*
 * gw_plan - the order in which engines get new weights.
 *
 * Load pattern
 *	New weights are named every few seconds under full load. An engine
 *	serves nothing while it loads, and loading gets slower when several
 *	engines do so at once.
 *
 * Overview
 *	Engines that lack the wanted version are brought to it a few at a time,
 *	in the order of a hash of engine and version. Every host works out the
 *	same order, so all of them keep new requests away from the engines that
 *	come next, and the holder of the lease orders just those.
 *
 *	Plain functions, no clock.
 */
#ifndef GW_PLAN_H
#define GW_PLAN_H

#include "fleet/fl.h"
#include "gateway/gw.h"

/** gw_plan_at_once() - how many of @count engines may load at a time. */
uint32_t gw_plan_at_once(uint32_t count);

/** gw_plan_is_next() - it is among the engines that load next or now. */
bool gw_plan_is_next(const struct fl_fleet *fleet,
		     const struct gw_wanted *wanted,
		     const struct fl_engine *engine);

#endif
