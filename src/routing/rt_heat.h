/*
 * rt_heat - how much of the recent traffic shares each prefix.
 *
 * Overview
 *	A bounded heavy-hitter tracker with decay over the keys of prompts. A
 *	set-associative table holds counts; a new key takes the slot with the
 *	lowest count of its set and inherits that count as its error, as in
 *	space-saving, so a count less its error never overstates. Counts decay
 *	by forward decay: a later request adds a larger weight, and all counts
 *	are scaled down together now and then, so nothing is touched in
 *	between.
 *
 *	Shares of the traffic are reported, not rates: behind a balancer every
 *	router sees about the same shares, whatever their number.
 *
 * Use
 *	rt_heat_init(&heat, &(struct rt_heat_desc){ 0 });
 *	rt_heat_count(&heat, chain, now_ms);
 *	share = rt_heat_share(&heat, chain->keys[0]);
 *	rt_heat_finish(&heat);
 *
 * Source
 *	A. Metwally et al., "Efficient Computation of Frequent and Top-k
 *	Elements in Data Streams", 2005; G. Cormode et al., "Forward Decay",
 *	2009.
 */
#ifndef RT_HEAT_H
#define RT_HEAT_H

#include <stdint.h>

#include "prefix/px.h"

#define RT_HEAT_WAYS		     8
#define RT_HEAT_DEFAULT_SETS	     1024
#define RT_HEAT_DEFAULT_HALF_LIFE_MS 60000
#define RT_HEAT_MAX_NEW_KEYS	     16
/** Requests that stand for other traffic until enough has been seen. */
#define RT_HEAT_PRIOR_REQUESTS 32

struct _rt_heat_slot {
	uint64_t key;
	float count;
	float error;
};

/**
 * struct rt_heat_desc - zero means default.
 * @sets: of RT_HEAT_WAYS slots each; a power of two.
 * @half_life_ms: of a count.
 */
struct rt_heat_desc {
	uint32_t sets;
	int64_t half_life_ms;
};

struct rt_heat {
	struct _rt_heat_slot *_slots;
	uint32_t _sets;
	int64_t _half_life_ms;
	int64_t _landmark_ms;
	double _weight;
	double _total;
};

void rt_heat_init(struct rt_heat *heat, const struct rt_heat_desc *desc);
void rt_heat_finish(struct rt_heat *heat);

/**
 * rt_heat_count() - one request with this chain came.
 *
 * At most RT_HEAT_MAX_NEW_KEYS keys that were not in the table are taken in, so
 * that long unique tails do not push out what is shared.
 */
void rt_heat_count(struct rt_heat *heat, const struct px_chain *chain,
		   int64_t now_ms);

/**
 * rt_heat_share() - part of recent requests with that key, 0 to 1.
 *
 * A low estimate, by one standard deviation of the count: a key that was seen
 * once has no share yet.
 */
double rt_heat_share(const struct rt_heat *heat, uint64_t key);

#endif
