#include "limits/lm_share.h"

/* Sums over all entries. */
struct _lm_sums {
	uint64_t reserved;
	uint64_t excess;
	uint64_t others_running;
	uint32_t reporting;
	uint32_t self;
};

static uint32_t lm_equal_share(uint32_t limit, uint32_t count, uint32_t index)
{
	return limit / count + (index < limit % count ? 1 : 0);
}

static uint32_t lm_min_share(uint32_t limit, uint32_t count)
{
	uint32_t equal = limit / count;

	return equal == 1 ? 1 : equal / 2;
}

static uint64_t lm_excess(const struct lm_share_entry *entry,
			  uint32_t min_share)
{
	if (entry->is_silent)
		return 0;
	return entry->demand > min_share ? entry->demand - min_share : 0;
}

static struct _lm_sums
lm_sum(uint32_t limit, const struct lm_share_entry *entries, uint32_t count)
{
	uint32_t min_share = lm_min_share(limit, count);
	struct _lm_sums sums = { 0 };

	for (uint32_t i = 0; i < count; i++) {
		uint32_t equal = lm_equal_share(limit, count, i);

		if (entries[i].is_self)
			sums.self = i;
		if (entries[i].is_silent) {
			sums.reserved += equal;
			sums.others_running += equal;
			continue;
		}
		sums.reporting++;
		sums.reserved += min_share;
		sums.excess += lm_excess(&entries[i], min_share);
		if (!entries[i].is_self)
			sums.others_running += entries[i].running;
	}
	return sums;
}

/*
 * Returns the part of @whole for @own out of @all. Rounding at the running sums
 * makes all parts add up to @whole.
 */
static uint64_t lm_proportional_part(uint64_t whole, uint64_t before,
				     uint64_t own, uint64_t all)
{
	return whole * (before + own) / all - whole * before / all;
}

static uint64_t lm_share_by_demand(const struct _lm_sums *sums, uint64_t pool,
				   const struct lm_share_entry *entries,
				   uint32_t min_share)
{
	uint64_t own = lm_excess(&entries[sums->self], min_share);
	uint64_t before = 0;
	uint32_t reporting_before = 0;

	for (uint32_t i = 0; i < sums->self; i++) {
		before += lm_excess(&entries[i], min_share);
		reporting_before += !entries[i].is_silent;
	}
	if (sums->excess > pool)
		return lm_proportional_part(pool, before, own, sums->excess);
	return own + lm_proportional_part(pool - sums->excess, reporting_before,
					  1, sums->reporting);
}

uint32_t lm_share_compute(uint32_t limit, const struct lm_share_entry *entries,
			  uint32_t count)
{
	uint32_t min_share = lm_min_share(limit, count);
	struct _lm_sums sums = lm_sum(limit, entries, count);
	uint64_t pool, share, free_now;

	if (count == 1)
		return limit;
	if (sums.reporting <= 1)
		return lm_equal_share(limit, count, sums.self);
	pool = limit > sums.reserved ? limit - sums.reserved : 0;
	share = min_share + lm_share_by_demand(&sums, pool, entries, min_share);
	free_now =
		limit > sums.others_running ? limit - sums.others_running : 0;
	if (share > free_now)
		share = free_now > min_share ? free_now : min_share;
	/*
	 * With a limit below the number of entries any of them may still run
	 * one.
	 */
	if (share == 0 && free_now > 0)
		share = 1;
	return (uint32_t)share;
}
