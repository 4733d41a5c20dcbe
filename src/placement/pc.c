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

static uint64_t pc_mix(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	return x ^ x >> 33;
}

static uint64_t pc_rank(uint64_t subject, const struct pc_candidate *c)
{
	return pc_mix(subject ^ c->hash);
}

/* Which candidates may be chosen, from the best class to the last resort. */
enum pc_class { PC_GOOD = 0, PC_OLD_WEIGHTS, PC_AVOIDED, PC_CLASSES };

static enum pc_class pc_class_of(const struct pc_candidate *c)
{
	if (c->is_avoided)
		return PC_AVOIDED;
	return c->is_current ? PC_GOOD : PC_OLD_WEIGHTS;
}

static bool pc_is_in(const struct pc_candidate *c, enum pc_class class,
		     bool is_far)
{
	return !c->is_tried && pc_class_of(c) == class &&
	       is_far == (c->distance == PC_OTHER_REGION);
}

static uint32_t pc_bound(const struct pc_candidate *candidates, uint32_t count,
			 enum pc_class class, bool is_far)
{
	uint64_t sum = 0, n = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!pc_is_in(&candidates[i], class, is_far))
			continue;
		sum += candidates[i].running;
		n++;
	}
	if (!n)
		return 0;
	return sum * PC_BOUND_NUMERATOR / (n * PC_BOUND_DENOMINATOR) +
	       PC_BOUND_EXTRA;
}

static int32_t pc_first_in_rank(uint64_t subject,
				const struct pc_candidate *candidates,
				uint32_t count, enum pc_class class,
				bool is_far, uint32_t bound)
{
	int32_t best = -1;
	uint64_t best_rank = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t rank = pc_rank(subject, &candidates[i]);

		if (!pc_is_in(&candidates[i], class, is_far) ||
		    candidates[i].running > bound)
			continue;
		if (best < 0 || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

static int32_t pc_least_loaded(const struct pc_candidate *candidates,
			       uint32_t count, enum pc_class class, bool is_far)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		const struct pc_candidate *c = &candidates[i];
		const struct pc_candidate *b =
			best < 0 ? NULL : &candidates[best];

		if (!pc_is_in(c, class, is_far))
			continue;
		if (!b || c->running < b->running ||
		    (c->running == b->running && c->distance < b->distance))
			best = i;
	}
	return best;
}

static int32_t pc_source(uint64_t subject,
			 const struct pc_candidate *candidates, uint32_t count,
			 int32_t chosen)
{
	bool is_far = candidates[chosen].distance == PC_OTHER_REGION;
	int32_t home;

	home = pc_first_in_rank(subject, candidates, count, PC_GOOD, is_far,
				UINT32_MAX);
	if (home >= 0 && home != chosen)
		return home;
	return pc_first_in_rank(subject, candidates, count, PC_GOOD, !is_far,
				UINT32_MAX);
}

static int32_t pc_choose(const struct pc_request *request,
			 const struct pc_candidate *candidates, uint32_t count,
			 enum pc_class class, bool is_far)
{
	if (!request->subject)
		return pc_least_loaded(candidates, count, class, is_far);
	return pc_first_in_rank(request->subject, candidates, count, class,
				is_far,
				pc_bound(candidates, count, class, is_far));
}

struct pc_answer pc_place(const struct pc_request *request,
			  const struct pc_candidate *candidates, uint32_t count)
{
	struct pc_answer answer = { -1, -1 };

	for (uint32_t class = 0; class < PC_CLASSES && answer.chosen < 0;
	     class ++) {
		answer.chosen =
			pc_choose(request, candidates, count, class, false);
		if (answer.chosen < 0)
			answer.chosen = pc_choose(request, candidates, count,
						  class, true);
	}
	if (answer.chosen >= 0 && request->subject)
		answer.source = pc_source(request->subject, candidates, count,
					  answer.chosen);
	return answer;
}
