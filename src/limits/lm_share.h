/*
 * lm_share - one entry's share of a team's limit.
 *
 * Overview
 *	A pure function of the reports. Half of an equal share is reserved for
 *	every entry, whatever the others do, so that a request after a pause
 *	need not wait. The rest is divided by the demand above that half, and
 *	what no entry demands is divided equally. Entries with the same reports
 *	compute shares that add up to the limit. Only a limit below the number
 *	of entries is exceeded, by at most one request per entry, while fewer
 *	requests than the limit are known to run.
 *
 *	Demand counts only once it has been reported, so that the others have
 *	had time to reduce their shares. A listed entry that is silent is
 *	assumed to use its equal share, which is what it uses if it receives no
 *	reports itself. If other entries run more than their shares, this entry
 *	waits until their requests end.
 */
#ifndef LM_SHARE_H
#define LM_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct lm_share_entry - known usage of one entry.
 * @demand: running and waiting requests.
 * @running: the running ones among them.
 * @is_silent: it has not reported recently.
 * @is_self: the entry that computes its share; its @demand is what it has
 * reported.
 */
struct lm_share_entry {
	uint32_t demand;
	uint32_t running;
	bool is_silent;
	bool is_self;
};

/**
 * lm_share_compute() - compute the share of the entry marked @is_self.
 * @entries: all listed entries, in the same order on every host.
 *
 * Return: requests that it may run concurrently, at most @limit.
 */
uint32_t lm_share_compute(uint32_t limit, const struct lm_share_entry *entries,
			  uint32_t count);

#endif
