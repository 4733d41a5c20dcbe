/*
 * gw_plan - selection of the engines that load new weights next.
 *
 * Load pattern
 *	New weights are requested every few seconds under full load. Before an
 *	engine loads them, it finishes its running streams, which takes up to
 *	two seconds, and accepts no new request meanwhile. Loading is slower
 *	when several engines load at once.
 *
 * Overview
 *	In each region, half of the engines go first: from the moment the
 *	version is requested they get no new request, and they receive their
 *	order at once. The other half serves until the first half has the new
 *	weights, then drains and follows. Engines with the oldest weights go
 *	first: in a quick succession of versions they are the ones that are
 *	already idle.
 *
 *	Every host computes the same plan from the entries, so all of them
 *	avoid the same engines without exchanging messages.
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
