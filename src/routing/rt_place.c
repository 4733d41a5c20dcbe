#include "routing/rt_place.h"

#include <math.h>

/* A level ends where less than this part of its requests go on together. */
#define RT_LEVEL_DROP 0.7
/* A level needs this part of the traffic to be told from chance. */
#define RT_LEVEL_MIN_SHARE 0.01
/* Engines for a prefix, over its exact share, to level out bursts. */
#define RT_SPREAD_HEADROOM 1.25

struct _rt_ranked {
	uint64_t rank;
	uint32_t candidate;
	uint32_t expected;
};

static uint32_t rt_spread(double share, uint32_t engines)
{
	double wanted = ceil(share * engines * RT_SPREAD_HEADROOM);
	uint32_t spread = wanted < 1.0 ? 1 : (uint32_t)wanted;

	return spread < engines ? spread : engines;
}

uint32_t rt_levels(const struct rt_heat *heat, const struct px_chain *chain,
		   uint32_t engines, struct rt_level *out)
{
	uint32_t count = 0;
	double of_level = 0.0;

	for (uint32_t i = 0; i < chain->count; i++) {
		double share = rt_heat_share(heat, chain->keys[i]);

		if (i > 0 && share < RT_LEVEL_MIN_SHARE)
			break;
		if (i == 0 || share < of_level * RT_LEVEL_DROP) {
			if (count == RT_MAX_LEVELS)
				break;
			out[count].key = chain->keys[i];
			out[count].spread = rt_spread(share, engines);
			of_level = share;
			count++;
		}
		out[count - 1].end = i + 1;
	}
	return count;
}

static void rt_swap(struct _rt_ranked *a, struct _rt_ranked *b)
{
	struct _rt_ranked kept = *a;

	*a = *b;
	*b = kept;
}

/* Moves the @keep highest ranks of @items to its front (quickselect). */
static void rt_select(struct _rt_ranked *items, uint32_t count, uint32_t keep)
{
	uint32_t low = 0, high = count;

	while (high - low > 1) {
		uint64_t pivot = items[low + (high - low) / 2].rank;
		uint32_t above = low, equal = low;

		for (uint32_t i = low; i < high; i++) {
			if (items[i].rank < pivot)
				continue;
			rt_swap(&items[i], &items[equal]);
			if (items[equal].rank > pivot)
				rt_swap(&items[equal], &items[above++]);
			equal++;
		}
		if (keep < above)
			high = above;
		else if (keep > equal)
			low = equal;
		else
			return;
	}
}

/* Sorts by rank, highest first. */
static void rt_sort(struct _rt_ranked *items, uint32_t count)
{
	for (uint32_t gap = count / 2; gap > 0; gap /= 2) {
		for (uint32_t i = gap; i < count; i++) {
			struct _rt_ranked item = items[i];
			uint32_t j = i;

			for (; j >= gap && items[j - gap].rank < item.rank;
			     j -= gap)
				items[j] = items[j - gap];
			items[j] = item;
		}
	}
}

static void rt_rank(struct _rt_ranked *items, uint32_t count,
		    const struct rt_request *request, uint64_t key)
{
	for (uint32_t i = 0; i < count; i++) {
		uint64_t engine =
			request->candidates[items[i].candidate].engine;

		items[i].rank = px_rank(key, engine);
	}
}

/* Fills @items, engines near enough for placement first; returns their number.
 */
static uint32_t rt_collect(struct _rt_ranked *items,
			   const struct rt_router *router,
			   const struct rt_request *request)
{
	uint32_t near = 0;

	for (uint32_t i = 0; i < request->count; i++) {
		items[i] = (struct _rt_ranked){ .candidate = i };
		if (request->candidates[i].distance >
		    router->desc.placement_distance)
			continue;
		rt_swap(&items[i], &items[near]);
		near++;
	}
	return near;
}

static uint32_t rt_narrow(struct _rt_ranked *items, uint32_t near,
			  const struct rt_router *router,
			  const struct rt_request *request)
{
	struct rt_level levels[RT_MAX_LEVELS];
	uint32_t count = rt_levels(&router->heat, request->chain, near, levels);
	uint32_t set = near;

	for (uint32_t l = 0; l < count; l++) {
		uint32_t keep = levels[l].spread < set ? levels[l].spread : set;

		rt_rank(items, set, request, levels[l].key);
		rt_select(items, set, keep);
		rt_sort(items + keep, set - keep);
		set = keep;
		for (uint32_t i = 0; i < set; i++)
			items[i].expected = levels[l].end;
	}
	return set;
}

void rt_place_make(struct rt_place *place, const struct rt_router *router,
		   const struct rt_request *request)
{
	struct _rt_ranked items[RT_MAX_CANDIDATES];
	const struct px_chain *chain = request->chain;
	uint32_t near = rt_collect(items, router, request);
	uint64_t first = chain->count ? chain->keys[0] : router->_sequence;
	uint64_t last = chain->count ? chain->keys[chain->count - 1] : first;
	uint32_t set = rt_narrow(items, near, router, request);

	rt_rank(items, set, request, last);
	rt_sort(items, set);
	rt_rank(items + near, request->count - near, request, first);
	rt_sort(items + near, request->count - near);
	place->count = request->count;
	for (uint32_t i = 0; i < place->count; i++) {
		place->order[i] = items[i].candidate;
		place->positions[items[i].candidate] = i;
		place->expected[items[i].candidate] = items[i].expected;
	}
}

/* Above all ranks of the engines that are farther away. */
static uint64_t rt_rank_by_distance(uint64_t key, const struct rt_candidate *c)
{
	uint64_t nearness = RT_OTHER_REGION - c->distance;

	return nearness << 62 | px_rank(key, c->engine) >> 2;
}

uint32_t rt_preselect(const struct px_chain *chain,
		      const struct rt_candidate *engines, uint32_t count,
		      uint32_t *out)
{
	struct _rt_ranked items[RT_MAX_ENGINES];
	uint64_t key = chain->count ? chain->keys[0] : chain->bytes;
	uint32_t kept;

	if (count > RT_MAX_ENGINES)
		count = RT_MAX_ENGINES;
	for (uint32_t i = 0; i < count; i++) {
		items[i].candidate = i;
		items[i].rank = rt_rank_by_distance(key, &engines[i]);
	}
	kept = count < RT_MAX_CANDIDATES ? count : RT_MAX_CANDIDATES;
	rt_select(items, count, kept);
	for (uint32_t i = 0; i < kept; i++)
		out[i] = items[i].candidate;
	return kept;
}
