#include "placement/pc.h"

#include <stddef.h>

/*
 * An engine is passed over above this multiple of the average number of
 * requests, plus a constant for small averages (consistent hashing with
 * bounded loads, Mirrokni et al., 2017).
 */
#define PC_BOUND_NUMERATOR   3
#define PC_BOUND_DENOMINATOR 2
#define PC_BOUND_EXTRA	     2
/*
 * A prefix this long costs more to read twice than the bytes of a request and
 * its answer cost on the way to the other region and back.
 */
#define PC_LONG_TOKENS 1000
/* Engines that got their weights within that time of each other joined
 * together. */
#define PC_JOIN_SPAN_MS 150

static uint64_t pc_mix(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	return x ^ x >> 33;
}

static uint64_t pc_rank(uint64_t key, const struct pc_candidate *c)
{
	return pc_mix(key ^ c->hash);
}

/* Which candidates may be chosen, from the best class to the last resort. */
enum pc_class { PC_GOOD = 0, PC_OLD_WEIGHTS, PC_AVOIDED, PC_CLASSES };

/**
 * struct pc_pool - the candidates that are looked at in one go.
 * @class: of those.
 * @reach: PC_OTHER_REGION takes in all, PC_SAME_REGION the near ones.
 * @except: index that is left out, -1 for none.
 * @joined_before_ms: only those that joined earlier.
 * @max_running: only those with no more requests.
 */
struct pc_pool {
	const struct pc_candidate *candidates;
	uint32_t count;
	enum pc_class class;
	enum pc_distance reach;
	int32_t except;
	int64_t joined_before_ms;
	uint32_t max_running;
};

static enum pc_class pc_class_of(const struct pc_candidate *c)
{
	if (c->is_avoided)
		return PC_AVOIDED;
	return c->is_current ? PC_GOOD : PC_OLD_WEIGHTS;
}

static bool pc_is_in(const struct pc_pool *pool, uint32_t i)
{
	const struct pc_candidate *c = &pool->candidates[i];

	return !c->is_tried && pc_class_of(c) == pool->class &&
	       c->distance <= pool->reach && (int32_t)i != pool->except &&
	       c->joined_ms < pool->joined_before_ms &&
	       c->running <= pool->max_running;
}

static uint32_t pc_bound(const struct pc_pool *pool)
{
	uint64_t sum = 0, n = 0;

	for (uint32_t i = 0; i < pool->count; i++) {
		if (!pc_is_in(pool, i))
			continue;
		sum += pool->candidates[i].running;
		n++;
	}
	if (!n)
		return 0;
	return sum * PC_BOUND_NUMERATOR / (n * PC_BOUND_DENOMINATOR) +
	       PC_BOUND_EXTRA;
}

static int32_t pc_home(const struct pc_pool *pool, uint64_t key)
{
	int32_t best = -1;
	uint64_t best_rank = 0;

	for (uint32_t i = 0; i < pool->count; i++) {
		uint64_t rank;

		if (!pc_is_in(pool, i))
			continue;
		rank = pc_rank(key, &pool->candidates[i]);
		if (best < 0 || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

static int32_t pc_least_loaded(const struct pc_pool *pool)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < pool->count; i++) {
		const struct pc_candidate *c = &pool->candidates[i];
		const struct pc_candidate *b =
			best < 0 ? NULL : &pool->candidates[best];

		if (!pc_is_in(pool, i))
			continue;
		if (!b || c->running < b->running ||
		    (c->running == b->running && c->distance < b->distance))
			best = i;
	}
	return best;
}

static int32_t pc_choose(const struct pc_pool *pool,
			 const struct pc_request *request)
{
	struct pc_pool bounded = *pool;
	bool is_gathered = request->shared_tokens >= PC_LONG_TOKENS &&
			   !request->is_root_read;

	if (!request->subject)
		return pc_least_loaded(pool);
	bounded.max_running = pc_bound(pool);
	return pc_home(&bounded,
		       is_gathered ? request->root : request->subject);
}

static enum pc_distance pc_reach(const struct pc_request *request)
{
	return request->shared_tokens >= PC_LONG_TOKENS ? PC_OTHER_REGION :
							  PC_SAME_REGION;
}

/* Who has probably read the prefix, or its root, other than the chosen one. */
static int32_t pc_source(const struct pc_pool *all,
			 const struct pc_request *request, int32_t chosen)
{
	const struct pc_candidate *c = &all->candidates[chosen];
	struct pc_pool pool = *all;
	int32_t source;

	pool.class = PC_GOOD;
	pool.reach = pc_reach(request);
	source = pc_home(&pool, request->subject);
	if (source >= 0 && source != chosen)
		return source;
	pool.reach = PC_OTHER_REGION;
	pool.except = chosen;
	pool.joined_before_ms = c->joined_ms - PC_JOIN_SPAN_MS;
	source = pc_home(&pool, request->subject);
	if (source >= 0)
		return source;
	pool.joined_before_ms = INT64_MAX;
	return pc_home(&pool, request->root);
}

struct pc_answer pc_place(const struct pc_request *request,
			  const struct pc_candidate *candidates, uint32_t count)
{
	struct pc_answer answer = { -1, -1 };
	struct pc_pool pool = {
		.candidates = candidates,
		.count = count,
		.except = -1,
		.joined_before_ms = INT64_MAX,
		.max_running = UINT32_MAX,
	};

	for (uint32_t class = 0; class < PC_CLASSES && answer.chosen < 0;
	     class++) {
		pool.class = class;
		pool.reach = pc_reach(request);
		answer.chosen = pc_choose(&pool, request);
		pool.reach = PC_OTHER_REGION;
		if (answer.chosen < 0)
			answer.chosen = pc_choose(&pool, request);
	}
	if (answer.chosen >= 0 && request->subject)
		answer.source = pc_source(&pool, request, answer.chosen);
	return answer;
}
