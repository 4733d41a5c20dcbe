/*
 * gw_plan - which engines get new weights next.
 *
 * Load pattern
 *	New weights are named every few seconds under full load. An engine
 *	that is to load them first finishes the streams that it runs, for up
 *	to two seconds, and takes no new request meanwhile. Loading gets
 *	slower when several engines do so at once.
 *
 * Overview
 *	In each region, half of the engines go first: they get no new request
 *	from the moment the version is named, and their order at once. The
 *	other half serves until the first half has the new weights, then runs
 *	empty and follows. Engines with the oldest weights go first: in a quick
 *	succession of versions they are those that already run empty.
 *
 *	Every host works out the same plan from the entries, so all of them
 *	keep away from the same engines without a message.
 *
 *	Plain functions, no clock.
 */
#ifndef GW_PLAN_H
#define GW_PLAN_H

#include "fleet/fl.h"
#include "gateway/gw.h"

/** gw_plan_update() - set is_updating of every engine. */
void gw_plan_update(const struct gw_gateway *g, int64_t now_ms);

#endif
