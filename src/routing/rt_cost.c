/*
 * The policy "cost": the lowest weighted time to the first token.
 */
#include <math.h>

#include "kernel/kn_registry.h"
#include "routing/rt.h"
#include "routing/rt_place.h"

#define RT_US_PER_SECOND 1e6
#define RT_US_PER_MS	 1e3
#define RT_PERMILLE	 1000.0
#define RT_ZONE_DELAY_US (2.0 * RT_US_PER_MS)

/*
 * Score of one candidate. Times are in floating point, since a hundred integer
 * divisions would make a decision too slow.
 */
struct _rt_score {
	double us_per_token;
	double queue_us;
	double cost_us;
	double time_us;
	double distance_us;
	double new_tokens;
	uint32_t held_keys;
	bool is_pending;
	bool is_usable;
};

/* State of a decision that all candidates share. */
struct _rt_context {
	const struct rt_router *router;
	const struct rt_request *request;
	const struct rt_constants *constants;
	double wait_weight;
	double compute_weight;
	double distance_weight;
	double tokens_per_key;
	double link_us;
	double mean_wait_us;
	struct rt_place place;
	struct _rt_score scores[RT_MAX_CANDIDATES];
};

static double rt_tokens_of_keys(const struct _rt_context *context, double keys)
{
	double tokens = keys * context->tokens_per_key;
	double all = context->request->prompt_tokens;

	return tokens < all ? tokens : all;
}

/*
 * The tokens sent by this entry host are part of those sent by all. They may be
 * more if a report was lost, and without the index they are the only ones
 * known.
 */
static double rt_queue_tokens(const struct rt_candidate *c)
{
	uint64_t tokens = (uint64_t)c->waiting_tokens + c->sent_tokens;

	return (double)(tokens > c->own_tokens ? tokens : c->own_tokens);
}

static double rt_distance_us(const struct _rt_context *context,
			     const struct rt_candidate *c)
{
	if (c->distance == RT_SAME_ZONE)
		return 0.0;
	return c->distance == RT_SAME_REGION ? RT_ZONE_DELAY_US
					     : context->link_us;
}

/* An engine without an index report is assumed no better than the mean. */
static double rt_wait_us(const struct _rt_context *context, uint32_t i)
{
	double wait_us = context->scores[i].queue_us;

	if (!context->request->candidates[i].has_index &&
	    wait_us < context->mean_wait_us)
		return context->mean_wait_us;
	return wait_us;
}

/* Expected number of held keys, without those still being computed. */
static double rt_held_keys(const struct _rt_context *context, uint32_t i)
{
	const struct rt_candidate *c = &context->request->candidates[i];

	if (c->has_index)
		return c->held *
		       fmin(c->confidence_permille / RT_PERMILLE, 1.0);
	return context->place.expected[i] *
	       (context->constants->placed_permille / RT_PERMILLE);
}

static void rt_score(struct _rt_context *context, uint32_t i)
{
	const struct rt_candidate *c = &context->request->candidates[i];
	struct _rt_score *s = &context->scores[i];
	double all = context->request->prompt_tokens;
	double held = rt_tokens_of_keys(context, rt_held_keys(context, i));
	double wait_us = rt_wait_us(context, i);
	double compute_us;

	s->held_keys = c->has_index ? c->held : 0;
	s->is_pending = c->has_index && c->pending > c->held;
	s->new_tokens = all - held;
	if (s->is_pending) {
		double later_held = rt_tokens_of_keys(context, c->pending);
		double left_us = (later_held - held) * s->us_per_token *
				 context->constants->pending_left_permille /
				 RT_PERMILLE;

		s->new_tokens = all - later_held;
		wait_us = wait_us > left_us ? wait_us : left_us;
	}
	compute_us = s->new_tokens * s->us_per_token;
	s->distance_us = rt_distance_us(context, c);
	s->time_us = wait_us + compute_us + s->distance_us;
	s->cost_us = wait_us * context->wait_weight +
		     compute_us * context->compute_weight +
		     s->distance_us * context->distance_weight;
}

static double rt_mean_speed(const struct _rt_context *context)
{
	const struct rt_request *request = context->request;
	uint64_t sum = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < request->count; i++) {
		sum += request->candidates[i].prefill_tokens_per_s;
		count += request->candidates[i].prefill_tokens_per_s != 0;
	}
	return count ? (double)sum / count
		     : (double)context->router->desc.prefill_tokens_per_s;
}

/* Computes the queue of each candidate and the mean of the reported ones. */
static void rt_fill_queues(struct _rt_context *context)
{
	const struct rt_request *request = context->request;
	double mean_speed = rt_mean_speed(context);
	double sum_us = 0.0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < request->count; i++) {
		const struct rt_candidate *c = &request->candidates[i];
		struct _rt_score *s = &context->scores[i];
		double speed = c->prefill_tokens_per_s;

		s->us_per_token =
			RT_US_PER_SECOND / (speed ? speed : mean_speed);
		s->queue_us = rt_queue_tokens(c) * s->us_per_token;
		if (!c->has_index)
			continue;
		sum_us += s->queue_us;
		count++;
	}
	context->mean_wait_us = count ? sum_us / count : 0.0;
}

static void rt_context_init(struct _rt_context *context,
			    const struct rt_router *router,
			    const struct rt_request *request)
{
	const struct rt_desc *desc = &router->desc;
	const struct rt_weights *weights = &desc->weights[request->objective];
	double bytes = (double)request->chain->bytes;
	double keys = bytes / PX_CHUNK_BYTES;

	context->router = router;
	context->request = request;
	context->constants = &desc->constants;
	context->wait_weight = weights->wait / RT_PERMILLE;
	context->compute_weight = weights->compute / RT_PERMILLE;
	context->distance_weight = weights->distance / RT_PERMILLE;
	if (request->urgency == CM_DEFERRABLE)
		context->wait_weight *=
			desc->constants.deferrable_permille / RT_PERMILLE;
	context->tokens_per_key =
		bytes > 0.0 ? request->prompt_tokens / keys : 0.0;
	context->link_us =
		desc->link_delay_ms * RT_US_PER_MS +
		bytes * RT_US_PER_SECOND / (double)desc->link_bytes_per_s;
	rt_fill_queues(context);
	rt_place_make(&context->place, router, request);
}

/* Scores the eligible candidates; suspects only if there are no others. */
static bool rt_score_all(struct _rt_context *context)
{
	const struct rt_request *request = context->request;
	bool is_any = false;

	for (int with_suspects = 0; with_suspects < 2 && !is_any;
	     with_suspects++) {
		for (uint32_t i = 0; i < request->count; i++) {
			context->scores[i].is_usable =
				rt_is_eligible(request, i) &&
				request->candidates[i].is_suspect ==
					with_suspects;
			if (!context->scores[i].is_usable)
				continue;
			rt_score(context, i);
			is_any = true;
		}
	}
	return is_any;
}

static uint32_t rt_cheapest(const struct _rt_context *context)
{
	uint32_t best = RT_MAX_CANDIDATES;

	for (uint32_t i = 0; i < context->request->count; i++) {
		const struct _rt_score *s = &context->scores[i];

		if (s->is_usable &&
		    (best == RT_MAX_CANDIDATES ||
		     s->cost_us < context->scores[best].cost_us))
			best = i;
	}
	return best;
}

/*
 * Costs within the band count as equal: the prediction is no more exact, and an
 * old report lacks what all routers sent since. Among equals the candidate that
 * computes the fewest tokens is chosen, then the first in placement order, so
 * that routers do not all choose the engine whose report looks best.
 */
static double rt_band_us(const struct _rt_context *context, uint32_t cheapest)
{
	const struct rt_constants *constants = context->constants;
	double age_ms = context->request->candidates[cheapest].load_age_ms;
	double band_us = context->scores[cheapest].cost_us *
			 constants->band_permille / RT_PERMILLE;
	double lag_ms = fmin(age_ms * constants->lag_permille / RT_PERMILLE,
			     constants->max_lag_ms);

	band_us = fmax(band_us, constants->min_band_ms * RT_US_PER_MS);
	return fmax(band_us, lag_ms * RT_US_PER_MS);
}

static bool rt_is_better(const struct _rt_context *context, uint32_t a,
			 uint32_t b)
{
	double granularity =
		context->tokens_per_key >= 1.0 ? context->tokens_per_key : 1.0;
	double keys_a = floor(context->scores[a].new_tokens / granularity);
	double keys_b = floor(context->scores[b].new_tokens / granularity);

	if (keys_a != keys_b)
		return keys_a < keys_b;
	return rt_place_is_before(&context->place, a, b);
}

static uint32_t rt_best_in_band(const struct _rt_context *context,
				uint32_t best)
{
	double limit_us =
		context->scores[best].cost_us + rt_band_us(context, best);

	for (uint32_t i = 0; i < context->request->count; i++) {
		if (context->scores[i].is_usable &&
		    context->scores[i].cost_us <= limit_us &&
		    rt_is_better(context, i, best))
			best = i;
	}
	return best;
}

static bool rt_is_first_by_placement(const struct _rt_context *context,
				     uint32_t chosen)
{
	for (uint32_t i = 0; i < context->request->count; i++) {
		if (context->scores[i].is_usable &&
		    rt_place_is_before(&context->place, i, chosen))
			return false;
	}
	return true;
}

/* Whether a farther engine would be faster without the network delay. */
static bool rt_is_chosen_by_distance(const struct _rt_context *context,
				     uint32_t chosen)
{
	const struct _rt_score *c = &context->scores[chosen];

	for (uint32_t i = 0; i < context->request->count; i++) {
		const struct _rt_score *s = &context->scores[i];

		if (s->is_usable && s->distance_us > c->distance_us &&
		    s->time_us - s->distance_us < c->time_us - c->distance_us)
			return true;
	}
	return false;
}

static enum rt_reason rt_reason(const struct _rt_context *context,
				uint32_t chosen)
{
	const struct _rt_score *s = &context->scores[chosen];

	if (s->is_pending)
		return RT_BY_PENDING;
	if (s->held_keys > 0)
		return RT_BY_CACHE;
	if (rt_is_first_by_placement(context, chosen))
		return RT_BY_PLACEMENT;
	if (rt_is_chosen_by_distance(context, chosen))
		return RT_BY_DISTANCE;
	return RT_BY_LOAD;
}

static enum st_code rt_decide_cost(struct rt_router *router,
				   const struct rt_request *request,
				   struct rt_choice *choice, int64_t now_ms)
{
	struct _rt_context context;
	double time_us;
	uint32_t best;

	(void)now_ms;
	rt_context_init(&context, router, request);
	if (!rt_score_all(&context))
		return st_fail(ST_UNAVAILABLE,
			       "no engine can take the request");
	best = rt_best_in_band(&context, rt_cheapest(&context));
	time_us = context.scores[best].time_us;
	choice->candidate = best;
	choice->reason = rt_reason(&context, best);
	choice->cost_us = time_us < UINT32_MAX ? (uint32_t)time_us : UINT32_MAX;
	choice->new_tokens = (uint32_t)context.scores[best].new_tokens;
	return ST_OK;
}

static const struct rt_policy rt_cost = { "cost", rt_decide_cost };

KN_REGISTER("policy", "cost", rt_cost)
