#include "gateway/gw_plan.h"

#include <string.h>

/* One of this many engines of a region goes first, rounded up. */
#define GW_PLAN_FIRST_DIVISOR 2

static bool gw_plan_is_outdated(const struct fl_engine *e,
				const struct gw_wanted *wanted)
{
	return e->entry.weights < wanted->version;
}

/* Breaks ties between engines with the same weights, equally on all hosts. */
static uint64_t gw_plan_rank(const struct fl_engine *e,
			     const struct gw_wanted *wanted)
{
	return (e->hash ^ wanted->version * 0x9e3779b97f4a7c15ULL) *
	       0xff51afd7ed558ccdULL;
}

static bool gw_plan_is_before(const struct fl_engine *a,
			      const struct fl_engine *b,
			      const struct gw_wanted *wanted)
{
	if (a->entry.weights != b->entry.weights)
		return a->entry.weights < b->entry.weights;
	return gw_plan_rank(a, wanted) < gw_plan_rank(b, wanted);
}

static bool gw_plan_is_next(const struct fl_fleet *fleet,
			    const struct gw_wanted *wanted,
			    const struct fl_engine *engine)
{
	uint32_t all = 0, current = 0, before = 0, first;

	fl_for_each (fleet, e) {
		if (strcmp(e->entry.model, wanted->model) != 0 ||
		    strcmp(e->region, engine->region) != 0 || fl_is_leaving(e))
			continue;
		all++;
		if (!gw_plan_is_outdated(e, wanted))
			current++;
		else if (gw_plan_is_before(e, engine, wanted))
			before++;
	}
	first = (all + GW_PLAN_FIRST_DIVISOR - 1) / GW_PLAN_FIRST_DIVISOR;
	return current >= first || current + before < first;
}

void gw_plan_update(const struct gw_gateway *g, int64_t now_ms)
{
	fl_for_each (&g->fleet, e) {
		const struct gw_wanted *wanted =
			gw_weights_of(&g->weights, e->entry.model);

		bool was_next = e->is_updating;

		e->is_updating = wanted && !fl_is_leaving(e) &&
				 gw_plan_is_outdated(e, wanted) &&
				 gw_plan_is_next(&g->fleet, wanted, e);
		if (e->is_updating && !was_next)
			e->updating_since_ms = now_ms;
	}
}
