#include "gateway/gw_plan.h"

#include <string.h>

/* One engine in so many may load at a time; but two at least. */
#define GW_PLAN_SHARE	 6
#define GW_PLAN_AT_LEAST 2

uint32_t gw_plan_at_once(uint32_t count)
{
	uint32_t share = count / GW_PLAN_SHARE;

	return share > GW_PLAN_AT_LEAST ? share : GW_PLAN_AT_LEAST;
}

static bool gw_plan_lacks(const struct fl_engine *e,
			  const struct gw_wanted *wanted)
{
	return !e->entry.is_draining &&
	       !strcmp(e->entry.model, wanted->model) &&
	       e->entry.weights < wanted->version;
}

static uint64_t gw_plan_rank(const struct fl_engine *e,
			     const struct gw_wanted *wanted)
{
	return (e->hash ^ wanted->version * 0x9e3779b97f4a7c15ULL) *
	       0xff51afd7ed558ccdULL;
}

bool gw_plan_is_next(const struct fl_fleet *fleet,
		     const struct gw_wanted *wanted,
		     const struct fl_engine *engine)
{
	uint64_t rank;
	uint32_t before = 0, all = 0;

	if (!wanted || !gw_plan_lacks(engine, wanted))
		return false;
	rank = gw_plan_rank(engine, wanted);
	fl_for_each(fleet, e)
	{
		if (strcmp(e->entry.model, wanted->model) != 0)
			continue;
		all++;
		if (gw_plan_lacks(e, wanted) && gw_plan_rank(e, wanted) < rank)
			before++;
	}
	return before < gw_plan_at_once(all);
}
