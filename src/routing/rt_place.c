#include "routing/rt_place.h"

#include <math.h>
#include <string.h>
#include <sys/param.h>

/* A level ends where the share drops below this fraction of the level's. */
#define RT_LEVEL_SPLIT_RATIO 0.7
/* Smaller shares cannot be told from chance and start no new level. */
#define RT_LEVEL_MIN_SHARE 0.01

/* The lowest bits of a packed rank are the index of the engine. */
#define RT_INDEX_BITS 10
#define RT_INDEX_MASK ((UINT64_C(1) << RT_INDEX_BITS) - 1)
/* Preselection sorts ranks into buckets by their highest bits. */
#define RT_BUCKET_BITS	10
#define RT_BUCKETS	(1 << RT_BUCKET_BITS)
#define RT_BUCKET_SHIFT (64 - RT_BUCKET_BITS)

_Static_assert(RT_MAX_ENGINES <= 1 << RT_INDEX_BITS,
	       "RT_INDEX_BITS cannot hold RT_MAX_ENGINES");

static uint32_t rt_spread(double share, uint32_t engines,
			  uint32_t spread_permille)
{
	double wanted = ceil(share * engines * spread_permille / 1000.0);
	uint32_t spread = wanted < 1.0 ? 1 : (uint32_t)wanted;

	return spread < engines ? spread : engines;
}

uint32_t rt_levels(const struct rt_heat *heat, const struct px_chain *chain,
		   uint32_t engines, uint32_t spread_permille,
		   struct rt_level *out)
{
	uint32_t count = 0;
	double level_share = 0.0;

	for (uint32_t i = 0; i < chain->count; i++) {
		double share = rt_heat_share(heat, chain->keys[i]);

		if (i > 0 && share == 0.0)
			break;
		if (i == 0 || share < level_share * RT_LEVEL_SPLIT_RATIO) {
			if (i > 0 && share < RT_LEVEL_MIN_SHARE)
				break;
			if (count == RT_MAX_LEVELS)
				break;
			out[count].key = chain->keys[i];
			out[count].spread =
				rt_spread(share, engines, spread_permille);
			level_share = share;
			count++;
		}
		out[count - 1].end = i + 1;
	}
	return count;
}

static uint64_t rt_pack(uint64_t rank, uint32_t index)
{
	return (rank & ~RT_INDEX_MASK) | index;
}

static uint32_t rt_packed_index(uint64_t packed)
{
	return (uint32_t)(packed & RT_INDEX_MASK);
}

static void rt_swap(uint64_t *a, uint64_t *b)
{
	uint64_t saved = *a;

	*a = *b;
	*b = saved;
}

/*
 * Moves the @keep highest of @items, which are all different, to the front
 * (quickselect). The partition has no data-dependent branch, since it would be
 * mispredicted.
 */
static void rt_select(uint64_t *items, uint32_t count, uint32_t keep)
{
	uint32_t low = 0, high = count;

	while (high - low > 1) {
		uint32_t above = low + 1;
		uint64_t pivot;

		rt_swap(&items[low], &items[low + (high - low) / 2]);
		pivot = items[low];
		for (uint32_t i = low + 1; i < high; i++) {
			uint64_t item = items[i];

			items[i] = items[above];
			items[above] = item;
			above += item > pivot;
		}
		rt_swap(&items[low], &items[above - 1]);
		if (keep == above || keep + 1 == above)
			return;
		if (keep < above)
			high = above - 1;
		else
			low = above;
	}
}

/* Insertion sort, highest first; for few items only. */
static void rt_sort(uint64_t *items, uint32_t count)
{
	for (uint32_t i = 1; i < count; i++) {
		uint64_t item = items[i];
		uint32_t j = i;

		for (; j > 0 && items[j - 1] < item; j--)
			items[j] = items[j - 1];
		items[j] = item;
	}
}

static void rt_rank(uint64_t *packed, uint32_t count,
		    const struct rt_request *request, uint64_t key)
{
	for (uint32_t i = 0; i < count; i++) {
		uint32_t at = rt_packed_index(packed[i]);

		packed[i] = rt_pack(
			px_rank(key, request->candidates[at].engine), at);
	}
}

/* Moves the engines near enough for placement first; returns their number. */
static uint32_t rt_partition_near(uint64_t *packed,
				  const struct rt_router *router,
				  const struct rt_request *request)
{
	uint32_t near = 0;

	for (uint32_t i = 0; i < request->count; i++) {
		packed[i] = i;
		if (request->candidates[i].distance >
		    router->desc.placement_distance)
			continue;
		rt_swap(&packed[i], &packed[near]);
		near++;
	}
	return near;
}

/* Narrows the set of engines level by level; the innermost set is tier 0. */
static void rt_narrow(struct rt_place *place, const struct rt_router *router,
		      const struct rt_request *request, uint32_t near)
{
	struct rt_level levels[RT_MAX_LEVELS];
	uint32_t count =
		rt_levels(&router->heat, request->chain, near,
			  router->desc.constants.spread_permille, levels);
	uint32_t set = near;

	place->tiers = count + 2;
	place->tier_ends[count + 1] = request->count;
	place->tier_ends[count] = near;
	for (uint32_t l = 0; l < count; l++) {
		uint32_t keep = levels[l].spread < set ? levels[l].spread : set;

		rt_rank(place->packed, set, request, levels[l].key);
		rt_select(place->packed, set, keep);
		for (uint32_t i = 0; i < keep; i++)
			place->expected[rt_packed_index(place->packed[i])] =
				levels[l].end;
		set = keep;
		place->tier_ends[count - 1 - l] = set;
	}
}

static void rt_fill_tiers(struct rt_place *place)
{
	uint32_t at = 0;

	for (uint32_t tier = 0; tier < place->tiers; tier++) {
		for (; at < place->tier_ends[tier]; at++) {
			uint32_t candidate = rt_packed_index(place->packed[at]);

			place->rank[candidate] = place->packed[at];
			place->tier[candidate] = (uint8_t)tier;
		}
	}
}

void rt_place_make(struct rt_place *place, const struct rt_router *router,
		   const struct rt_request *request)
{
	const struct px_chain *chain = request->chain;
	uint64_t first = chain->count ? chain->keys[0] : router->_sequence;
	uint64_t last = chain->count ? chain->keys[chain->count - 1] : first;
	uint32_t near = rt_partition_near(place->packed, router, request);

	memset(place->expected, 0, request->count * sizeof(uint32_t));
	rt_narrow(place, router, request, near);
	rt_rank(place->packed, place->tier_ends[0], request, last);
	rt_rank(place->packed + near, request->count - near, request, first);
	rt_fill_tiers(place);
}

uint32_t rt_place_first(struct rt_place *place, uint32_t *out,
			uint32_t capacity)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < place->tiers && count < capacity; i++) {
		uint32_t begin = i ? place->tier_ends[i - 1] : 0;
		uint32_t size = place->tier_ends[i] - begin;
		uint32_t wanted = MIN(size, capacity - count);
		uint64_t *tier = place->packed + begin;

		rt_select(tier, size, wanted);
		rt_sort(tier, wanted);
		for (uint32_t j = 0; j < wanted; j++)
			out[count++] = rt_packed_index(tier[j]);
	}
	return count;
}

/* Rank that is higher than that of any engine farther away. */
static uint64_t rt_rank_by_distance(uint64_t key, const struct rt_candidate *c)
{
	uint64_t nearness = RT_OTHER_REGION - c->distance;

	return nearness << 62 | px_rank(key, c->engine) >> 2;
}

static uint32_t rt_bucket(uint64_t packed)
{
	return (uint32_t)(packed >> RT_BUCKET_SHIFT);
}

/*
 * Returns the highest bucket such that it and those above it contain at least
 * @keep items; sets @above to the number of items in the buckets above it.
 */
static uint32_t rt_lowest_bucket(const uint64_t *packed, uint32_t count,
				 uint32_t keep, uint32_t *above)
{
	uint16_t sizes[RT_BUCKETS] = { 0 };
	uint32_t bucket = RT_BUCKETS, found = 0;

	for (uint32_t i = 0; i < count; i++)
		sizes[rt_bucket(packed[i])]++;
	while (found < keep)
		found += sizes[--bucket];
	*above = found - sizes[bucket];
	return bucket;
}

uint32_t rt_preselect(const struct px_chain *chain,
		      const struct rt_candidate *engines, uint32_t count,
		      uint32_t *out)
{
	uint64_t packed[RT_MAX_ENGINES], last[RT_MAX_ENGINES];
	uint64_t key = chain->count ? chain->keys[0] : chain->bytes;
	uint32_t kept, bucket, above, taken = 0, last_count = 0;

	count = MIN(count, RT_MAX_ENGINES);
	kept = MIN(count, RT_MAX_CANDIDATES);
	if (kept == 0)
		return 0;
	for (uint32_t i = 0; i < count; i++)
		packed[i] = rt_pack(rt_rank_by_distance(key, &engines[i]), i);
	bucket = rt_lowest_bucket(packed, count, kept, &above);
	for (uint32_t i = 0; i < count; i++) {
		if (rt_bucket(packed[i]) > bucket)
			out[taken++] = rt_packed_index(packed[i]);
		else if (rt_bucket(packed[i]) == bucket)
			last[last_count++] = packed[i];
	}
	rt_select(last, last_count, kept - above);
	for (uint32_t i = 0; i < last_count && taken < kept; i++)
		out[taken++] = rt_packed_index(last[i]);
	return kept;
}
