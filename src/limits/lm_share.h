/*
 * lm_share - one entry's part of a team's limit, from what all reported.
 *
 * Overview
 *	A plain function of the reports. Half of an equal part is every
 *	entry's own, whatever the others do, so that a request after a pause
 *	need not wait. The rest is divided by the demand above that half, and
 *	what nobody asks for in equal parts. Entries with the same reports
 *	compute parts that sum up to the limit. Only a limit below the number
 *	of entries is exceeded, by one for each entry at most, while fewer
 *	requests than the limit are known to run.
 *
 *	Demand counts only once it has been reported, so that the others have
 *	had the time to give way. A listed entry that is silent is taken to use
 *	its equal part, which is what it uses if it hears of nobody itself.
 *	Requests that run elsewhere above their part are waited for.
 */
#ifndef LM_SHARE_H
#define LM_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct lm_share_entry - what is known of one entry.
 * @demand: running and waiting requests.
 * @running: of these, running.
 * @is_silent: it has not reported of late.
 * @is_self: the entry that asks; its @demand is what it has reported.
 */
struct lm_share_entry {
	uint32_t demand;
	uint32_t running;
	bool is_silent;
	bool is_self;
};

/**
 * lm_share_compute() - the part of the entry that asks.
 * @entries: all listed ones, in the same order everywhere.
 *
 * Return: requests it may run at a time, at most @limit.
 */
uint32_t lm_share_compute(uint32_t limit, const struct lm_share_entry *entries,
			  uint32_t count);

#endif
