/*
 * rt_heat - share of the recent traffic that each prefix has.
 *
 * Overview
 *	A bounded heavy-hitter tracker with decay over the keys of prompts. A
 *	set-associative table holds counts; a new key replaces the slot with
 *	the lowest count of its set and inherits that count as its error, as in
 *	Space-Saving, so a count minus its error is a lower bound. Counts use
 *	forward decay: later requests add larger weights, and all counts are
 *	occasionally scaled down together, so that none needs an update in
 *	between.
 *
 *	The result is a share of the traffic, not a rate: behind a load
 *	balancer all routers see about the same shares, whatever their number.
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
/** Assumed requests with other prefixes, so that the first few requests do not
 * count as the whole traffic. */
#define RT_HEAT_PRIOR_REQUESTS 32

struct _rt_heat_slot {
	uint64_t key;
	float count;
	float error;
};

/**
 * struct rt_heat_desc - parameters; zero means default.
 * @sets: number of sets of RT_HEAT_WAYS slots; a power of two.
 * @half_life_ms: half-life of a count.
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
 * rt_heat_count() - count a request with this chain.
 *
 * At most RT_HEAT_MAX_NEW_KEYS new keys are inserted, so that long unique
 * suffixes do not evict shared prefixes.
 */
void rt_heat_count(struct rt_heat *heat, const struct px_chain *chain,
		   int64_t now_ms);

/**
 * rt_heat_share() - fraction of the recent requests with that key, 0 to 1.
 *
 * The estimate is low by one standard deviation of the count: a key seen once
 * has a share of 0.
 */
double rt_heat_share(const struct rt_heat *heat, uint64_t key);

#endif
