/*
 * rt_place - the order of engines that needs no state but the heat.
 *
 * Overview
 *	The chain of a prompt is cut into levels where the heat drops: a level
 *	is a run of keys that about the same requests share. The first level
 *	starts at the first key, so routers agree on it before they have
 *	measured anything.
 *
 *	Each level narrows the set of engines: of those left, the ones that
 *	rank highest for the level's first key (rendezvous hashing), as many as
 *	the level's share of the traffic takes up. The set of the whole prompt
 *	thus lies in the set of each of its prefixes, and a hot prefix is on
 *	many engines while a rare one is on one.
 *
 *	The order lists the innermost set first, by rank for the last key, then
 *	the rest of each wider set, then engines too far for placement.
 */
#ifndef RT_PLACE_H
#define RT_PLACE_H

#include "routing/rt.h"

#define RT_MAX_LEVELS 4

/**
 * struct rt_level - a run of keys with about the same heat.
 * @key: its first.
 * @end: number of keys of the chain up to its end.
 * @spread: engines that it is kept on.
 */
struct rt_level {
	uint64_t key;
	uint32_t end;
	uint32_t spread;
};

/** Innermost set, the rest of each wider set, and the engines too far. */
#define RT_MAX_TIERS (RT_MAX_LEVELS + 2)

/**
 * struct rt_place - the order, without sorting more than is asked for.
 * @packed: rank of a candidate, and in its lowest bits the candidate; tier
 * after tier, in no order within one.
 * @tier_ends: of each tier in @packed.
 * @tiers: number of them.
 * @rank: of each candidate, within its tier.
 * @tier: of each candidate; 0 is the innermost set.
 * @expected: keys that a candidate should hold by placement alone.
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
 * rt_levels() - cut a chain into levels.
 * @engines: among which it is spread.
 * @spread_permille: see struct rt_constants.
 * @out: room for RT_MAX_LEVELS.
 *
 * Return: their number, 0 for a chain without keys.
 */
uint32_t rt_levels(const struct rt_heat *heat, const struct px_chain *chain,
		   uint32_t engines, uint32_t spread_permille,
		   struct rt_level *out);

/** rt_place_make() - the order of a request's candidates. */
void rt_place_make(struct rt_place *place, const struct rt_router *router,
		   const struct rt_request *request);

/** rt_place_is_before() - whether candidate @a is preferred to @b. */
static inline bool rt_place_is_before(const struct rt_place *place, uint32_t a,
				      uint32_t b)
{
	if (place->tier[a] != place->tier[b])
		return place->tier[a] < place->tier[b];
	return place->rank[a] > place->rank[b];
}

/**
 * rt_place_first() - the most preferred candidates, in order.
 * @place: its tiers are reordered.
 *
 * Return: their number, @capacity at most.
 */
uint32_t rt_place_first(struct rt_place *place, uint32_t *out,
			uint32_t capacity);

#endif
