/*
 * rt_place - placement order of the engines, from the chain and the heat alone.
 *
 * Overview
 *	The chain of a prompt is split into levels where the heat drops: a
 *	level is a run of keys shared by about the same requests. The first
 *	level starts at the first key, so that routers agree on it before they
 *	have any measurements.
 *
 *	Each level narrows the set of engines to those that rank highest for
 *	the level's first key (rendezvous hashing); their number is in
 *	proportion to the level's share of the traffic. The set of the whole
 *	prompt is thus a subset of the set of each of its prefixes, and a hot
 *	prefix is spread over many engines while a rare one is kept on one.
 *
 *	The order starts with the innermost set, ranked for the last key,
 *	followed by the rest of each wider set, then by the engines too far
 *	away for placement. Each of these parts is called a tier.
 */
#ifndef RT_PLACE_H
#define RT_PLACE_H

#include "routing/rt.h"

#define RT_MAX_LEVELS 4

/**
 * struct rt_level - a run of keys with about the same heat.
 * @key: first key of the run.
 * @end: number of keys of the chain up to the end of the run.
 * @spread: number of engines that hold the run.
 */
struct rt_level {
	uint64_t key;
	uint32_t end;
	uint32_t spread;
};

/** One tier per level, the rest of the near engines, and the far engines. */
#define RT_MAX_TIERS (RT_MAX_LEVELS + 2)

/**
 * struct rt_place - placement order, sorted lazily by rt_place_first().
 * @packed: candidates tier by tier, unsorted within a tier; the high bits are
 *	the rank, the lowest bits the index of the candidate.
 * @tier_ends: end of each tier in @packed.
 * @tiers: number of tiers.
 * @rank: rank of each candidate within its tier.
 * @tier: tier of each candidate; 0 is the innermost set.
 * @expected: number of leading keys that a candidate should hold by placement.
 */
struct rt_place {
	uint64_t packed[RT_MAX_CANDIDATES];
	uint32_t tier_ends[RT_MAX_TIERS];
	uint32_t tiers;
	uint64_t rank[RT_MAX_CANDIDATES];
	uint8_t tier[RT_MAX_CANDIDATES];
	uint32_t expected[RT_MAX_CANDIDATES];
};

/**
 * rt_levels() - split a chain into levels.
 * @engines: number of engines to spread the chain over.
 * @spread_permille: see struct rt_constants.
 * @out: size RT_MAX_LEVELS.
 *
 * Return: the number of levels, 0 for a chain without keys.
 */
uint32_t rt_levels(const struct rt_heat *heat, const struct px_chain *chain,
		   uint32_t engines, uint32_t spread_permille,
		   struct rt_level *out);

/** rt_place_make() - compute the placement order of the candidates. */
void rt_place_make(struct rt_place *place, const struct rt_router *router,
		   const struct rt_request *request);

/** rt_place_is_before() - whether candidate @a is preferred over @b. */
static inline bool rt_place_is_before(const struct rt_place *place, uint32_t a,
				      uint32_t b)
{
	if (place->tier[a] != place->tier[b])
		return place->tier[a] < place->tier[b];
	return place->rank[a] > place->rank[b];
}

/**
 * rt_place_first() - list the most preferred candidates, in order.
 * @place: @packed is reordered within each tier.
 * @out: indices of candidates; size @capacity.
 *
 * Return: the number of indices in @out.
 */
uint32_t rt_place_first(struct rt_place *place, uint32_t *out,
			uint32_t capacity);

#endif
