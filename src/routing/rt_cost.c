/*
 * The policy "cost": the least predicted time to the first token.
 */
#include "kernel/kn_registry.h"
#include "routing/rt.h"
#include "routing/rt_place.h"

#define RT_SECOND_US	   UINT64_C(1000000)
#define RT_MS_US	   UINT64_C(1000)
#define RT_PERMILLE	   1000
#define RT_REGION_DELAY_US (2 * RT_MS_US)
/* Chance that an engine of the placement set holds the level. */
#define RT_PLACED_PERMILLE 500
/* Expected part of a pending prefix that is still to be computed. */
#define RT_PENDING_LEFT_PERMILLE 500
/* Costs closer than this are taken as equal. */
#define RT_BAND_PERMILLE 50
#define RT_MIN_BAND_US	 (2 * RT_MS_US)
/* A load report is off by up to this part of its age. */
#define RT_LAG_PERMILLE	   250
#define RT_MAX_LAG_BAND_US (100 * RT_MS_US)
/* Waits of deferrable requests weigh this part. */
#define RT_DEFERRABLE_PERMILLE 500

/* What the decision weighs of one candidate. */
struct _rt_score {
	uint64_t cost_us;
	uint64_t time_us;
	uint64_t distance_us;
	uint32_t new_tokens;
	uint32_t held_keys;
	bool is_pending;
	bool is_usable;
};

/* What is the same for all candidates of a decision. */
struct _rt_frame {
	const struct rt_router *router;
	const struct rt_request *request;
	struct rt_weights weights;
	double tokens_per_key;
	uint64_t mean_wait_us;
	uint32_t speed;
	struct rt_place place;
	struct _rt_score scores[RT_MAX_CANDIDATES];
};

static uint64_t rt_part(uint64_t value, uint64_t permille)
{
	return value * permille / RT_PERMILLE;
}

static uint64_t rt_tokens_us(const struct _rt_frame *frame,
			     const struct rt_candidate *c, uint64_t tokens)
{
	uint64_t speed = c->prefill_tokens_per_s;

	return tokens * RT_SECOND_US / (speed ? speed : frame->speed);
}

static uint32_t rt_keys_tokens(const struct _rt_frame *frame, double keys)
{
	double tokens = keys * frame->tokens_per_key;
	uint32_t all = frame->request->prompt_tokens;

	return tokens < all ? (uint32_t)tokens : all;
}

/*
 * Tokens sent by this entry are part of those sent by all; after a report was
 * lost they may be more, and without the index they are all that is known.
 */
static uint64_t rt_queue_us(const struct _rt_frame *frame,
			    const struct rt_candidate *c)
{
	uint64_t tokens = (uint64_t)c->waiting_tokens + c->sent_tokens;

	if (tokens < c->own_tokens)
		tokens = c->own_tokens;
	return rt_tokens_us(frame, c, tokens);
}

static uint64_t rt_distance_us(const struct _rt_frame *frame,
			       const struct rt_candidate *c)
{
	const struct rt_desc *desc = &frame->router->desc;

	if (c->distance == RT_SAME_ZONE)
		return 0;
	if (c->distance == RT_SAME_REGION)
		return RT_REGION_DELAY_US;
	return desc->link_delay_ms * RT_MS_US + frame->request->chain->bytes *
							RT_SECOND_US /
							desc->link_bytes_per_s;
}

/* An engine that the index did not report on is no better than the mean. */
static uint64_t rt_wait_us(const struct _rt_frame *frame,
			   const struct rt_candidate *c)
{
	uint64_t wait_us = rt_queue_us(frame, c);

	if (!c->has_index && wait_us < frame->mean_wait_us)
		return frame->mean_wait_us;
	return wait_us;
}

/* Keys expected to be held, without those that are only being computed. */
static double rt_held_keys(const struct _rt_frame *frame, uint32_t i)
{
	const struct rt_candidate *c = &frame->request->candidates[i];

	if (c->has_index)
		return (double)c->held * c->confidence_permille / RT_PERMILLE;
	return (double)frame->place.expected[i] * RT_PLACED_PERMILLE /
	       RT_PERMILLE;
}

static void rt_score(struct _rt_frame *frame, uint32_t i)
{
	const struct rt_request *request = frame->request;
	const struct rt_candidate *c = &request->candidates[i];
	struct _rt_score *s = &frame->scores[i];
	uint32_t all = request->prompt_tokens;
	uint32_t held = rt_keys_tokens(frame, rt_held_keys(frame, i));
	uint64_t wait_us = rt_wait_us(frame, c);
	uint64_t compute_us;

	s->held_keys = c->has_index ? c->held : 0;
	s->is_pending = c->has_index && c->pending > c->held;
	s->new_tokens = all - held;
	if (s->is_pending) {
		uint32_t then = rt_keys_tokens(frame, c->pending);
		uint64_t left_us = rt_part(
			rt_tokens_us(frame, c, then > held ? then - held : 0),
			RT_PENDING_LEFT_PERMILLE);

		s->new_tokens = all - (then > held ? then : held);
		wait_us = wait_us > left_us ? wait_us : left_us;
	}
	compute_us = rt_tokens_us(frame, c, s->new_tokens);
	s->distance_us = rt_distance_us(frame, c);
	s->time_us = wait_us + compute_us + s->distance_us;
	s->cost_us = rt_part(wait_us, frame->weights.wait) +
		     rt_part(compute_us, frame->weights.compute) +
		     rt_part(s->distance_us, frame->weights.distance);
}

static void rt_frame_means(struct _rt_frame *frame)
{
	const struct rt_request *request = frame->request;
	uint64_t speed = 0, wait_us = 0;
	uint32_t speeds = 0, waits = 0;

	for (uint32_t i = 0; i < request->count; i++) {
		const struct rt_candidate *c = &request->candidates[i];

		if (c->prefill_tokens_per_s) {
			speed += c->prefill_tokens_per_s;
			speeds++;
		}
	}
	frame->speed = speeds ? (uint32_t)(speed / speeds)
			      : frame->router->desc.prefill_tokens_per_s;
	for (uint32_t i = 0; i < request->count; i++) {
		const struct rt_candidate *c = &request->candidates[i];

		if (c->has_index) {
			wait_us += rt_queue_us(frame, c);
			waits++;
		}
	}
	frame->mean_wait_us = waits ? wait_us / waits : 0;
}

static void rt_frame_init(struct _rt_frame *frame,
			  const struct rt_router *router,
			  const struct rt_request *request)
{
	uint64_t bytes = request->chain->bytes;

	frame->router = router;
	frame->request = request;
	frame->weights = router->desc.weights[request->objective];
	if (request->urgency == CM_DEFERRABLE)
		frame->weights.wait = (uint32_t)rt_part(frame->weights.wait,
							RT_DEFERRABLE_PERMILLE);
	frame->tokens_per_key =
		bytes ? (double)request->prompt_tokens * PX_CHUNK_BYTES / bytes
		      : 0.0;
	rt_frame_means(frame);
	rt_place_make(&frame->place, router, request);
}

/* Scores what may be chosen; suspects only if there is nothing else. */
static bool rt_score_all(struct _rt_frame *frame)
{
	const struct rt_request *request = frame->request;
	bool is_any = false;

	for (int with_suspects = 0; with_suspects < 2 && !is_any;
	     with_suspects++) {
		for (uint32_t i = 0; i < request->count; i++) {
			frame->scores[i].is_usable =
				rt_is_eligible(request, i) &&
				request->candidates[i].is_suspect ==
					with_suspects;
			if (!frame->scores[i].is_usable)
				continue;
			rt_score(frame, i);
			is_any = true;
		}
	}
	return is_any;
}

static uint32_t rt_cheapest(const struct _rt_frame *frame)
{
	uint32_t best = RT_MAX_CANDIDATES;

	for (uint32_t i = 0; i < frame->request->count; i++) {
		const struct _rt_score *s = &frame->scores[i];

		if (s->is_usable && (best == RT_MAX_CANDIDATES ||
				     s->cost_us < frame->scores[best].cost_us))
			best = i;
	}
	return best;
}

/*
 * Costs within the band count as equal: the prediction is no better than that,
 * and a report that is old is off by what all routers did since. Among equals
 * the one that computes least wins, then the order of placement, so that
 * routers do not all run to the engine whose report looks best.
 */
static uint64_t rt_band_us(const struct _rt_frame *frame, uint32_t cheapest)
{
	const struct rt_candidate *c = &frame->request->candidates[cheapest];
	uint64_t band_us =
		rt_part(frame->scores[cheapest].cost_us, RT_BAND_PERMILLE);
	uint64_t lag_us = rt_part(c->load_age_ms * RT_MS_US, RT_LAG_PERMILLE);

	if (lag_us > RT_MAX_LAG_BAND_US)
		lag_us = RT_MAX_LAG_BAND_US;
	if (band_us < RT_MIN_BAND_US)
		band_us = RT_MIN_BAND_US;
	return band_us > lag_us ? band_us : lag_us;
}

static bool rt_is_better(const struct _rt_frame *frame, uint32_t a, uint32_t b)
{
	uint32_t grain = (uint32_t)frame->tokens_per_key;
	uint32_t of_a = frame->scores[a].new_tokens;
	uint32_t of_b = frame->scores[b].new_tokens;

	grain = grain ? grain : 1;
	if (of_a / grain != of_b / grain)
		return of_a < of_b;
	return frame->place.positions[a] < frame->place.positions[b];
}

static uint32_t rt_best_within(const struct _rt_frame *frame, uint32_t best)
{
	uint64_t limit_us =
		frame->scores[best].cost_us + rt_band_us(frame, best);

	for (uint32_t i = 0; i < frame->request->count; i++) {
		if (frame->scores[i].is_usable &&
		    frame->scores[i].cost_us <= limit_us &&
		    rt_is_better(frame, i, best))
			best = i;
	}
	return best;
}

static bool rt_is_first(const struct _rt_frame *frame, uint32_t chosen)
{
	for (uint32_t i = 0; i < frame->request->count; i++) {
		if (frame->scores[i].is_usable &&
		    frame->place.positions[i] < frame->place.positions[chosen])
			return false;
	}
	return true;
}

/* Whether a farther engine would have been cheaper, were it as near. */
static bool rt_is_by_distance(const struct _rt_frame *frame, uint32_t chosen)
{
	const struct _rt_score *c = &frame->scores[chosen];

	for (uint32_t i = 0; i < frame->request->count; i++) {
		const struct _rt_score *s = &frame->scores[i];

		if (s->is_usable && s->distance_us > c->distance_us &&
		    s->time_us - s->distance_us < c->time_us - c->distance_us)
			return true;
	}
	return false;
}

static enum rt_reason rt_reason(const struct _rt_frame *frame, uint32_t chosen)
{
	const struct _rt_score *s = &frame->scores[chosen];

	if (s->is_pending)
		return RT_BY_PENDING;
	if (s->held_keys > 0)
		return RT_BY_CACHE;
	if (rt_is_first(frame, chosen))
		return RT_BY_PLACEMENT;
	if (rt_is_by_distance(frame, chosen))
		return RT_BY_DISTANCE;
	return RT_BY_LOAD;
}

static enum st_code rt_decide_cost(struct rt_router *router,
				   const struct rt_request *request,
				   struct rt_choice *choice, int64_t now_ms)
{
	struct _rt_frame frame;
	uint64_t time_us;
	uint32_t best;

	(void)now_ms;
	rt_frame_init(&frame, router, request);
	if (!rt_score_all(&frame))
		return st_fail(ST_UNAVAILABLE,
			       "no engine can take the request");
	best = rt_best_within(&frame, rt_cheapest(&frame));
	time_us = frame.scores[best].time_us;
	choice->candidate = best;
	choice->reason = rt_reason(&frame, best);
	choice->cost_us = time_us < UINT32_MAX ? (uint32_t)time_us : UINT32_MAX;
	choice->new_tokens = frame.scores[best].new_tokens;
	return ST_OK;
}

static const struct rt_policy rt_cost = { "cost", rt_decide_cost };

KN_REGISTER("policy", "cost", rt_cost)
