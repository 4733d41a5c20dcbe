#include "routing/rt.h"

#include <sys/param.h>

#include "kernel/kn_registry.h"
#include "routing/rt_place.h"

#define RT_DEFAULT_PREFILL_TOKENS_PER_S 8000
#define RT_DEFAULT_LINK_BYTES_PER_S	(30000000 / 8)
#define RT_DEFAULT_LINK_DELAY_MS	60

static const struct rt_weights rt_default_weights[CM_REUSE + 1] = {
	[CM_FIRST_TOKEN] = { .wait = 1000, .compute = 1000, .distance = 1000 },
	[CM_REUSE] = { .wait = 300, .compute = 3000, .distance = 1000 },
};

static const struct rt_constants rt_default_constants = {
	.band_permille = 50,
	.min_band_ms = 2,
	.lag_permille = 250,
	.max_lag_ms = 100,
	.placed_permille = 500,
	.pending_left_permille = 500,
	.spread_permille = 1250,
	.deferrable_permille = 500,
};

static void rt_set_default(uint32_t *value, uint32_t default_value)
{
	if (*value == 0)
		*value = default_value;
}

static void rt_fill_constants(struct rt_constants *c)
{
	const struct rt_constants *d = &rt_default_constants;

	rt_set_default(&c->band_permille, d->band_permille);
	rt_set_default(&c->min_band_ms, d->min_band_ms);
	rt_set_default(&c->lag_permille, d->lag_permille);
	rt_set_default(&c->max_lag_ms, d->max_lag_ms);
	rt_set_default(&c->placed_permille, d->placed_permille);
	rt_set_default(&c->pending_left_permille, d->pending_left_permille);
	rt_set_default(&c->spread_permille, d->spread_permille);
	rt_set_default(&c->deferrable_permille, d->deferrable_permille);
}

static void rt_fill_weights(struct rt_weights *weights)
{
	for (int i = 0; i <= CM_REUSE; i++) {
		const struct rt_weights *w = &weights[i];

		if (!w->wait && !w->compute && !w->distance)
			weights[i] = rt_default_weights[i];
	}
}

void rt_router_init(struct rt_router *router, const struct rt_desc *desc)
{
	struct rt_desc *d = &router->desc;

	*router = (struct rt_router){ .desc = *desc, ._random = desc->seed };
	rt_fill_weights(d->weights);
	rt_fill_constants(&d->constants);
	rt_set_default(&d->prefill_tokens_per_s,
		       RT_DEFAULT_PREFILL_TOKENS_PER_S);
	rt_set_default(&d->link_delay_ms, RT_DEFAULT_LINK_DELAY_MS);
	if (!d->link_bytes_per_s)
		d->link_bytes_per_s = RT_DEFAULT_LINK_BYTES_PER_S;
	rt_heat_init(&router->heat, &d->heat);
}

void rt_router_finish(struct rt_router *router)
{
	rt_heat_finish(&router->heat);
}

const struct rt_policy *rt_policy_find(const char *name)
{
	return kn_plugin_find("policy", name);
}

enum st_code rt_decide(const struct rt_policy *policy, struct rt_router *router,
		       const struct rt_request *request,
		       struct rt_choice *choice, int64_t now_ms)
{
	enum st_code code;

	if (request->count > RT_MAX_CANDIDATES)
		return st_fail(ST_INVALID,
			       "request has %u candidates; at most %d allowed",
			       request->count, RT_MAX_CANDIDATES);
	router->_sequence++;
	code = policy->decide(router, request, choice, now_ms);
	rt_heat_count(&router->heat, request->chain, now_ms);
	return code;
}

static bool rt_is_excluded(const struct rt_request *request, uint64_t engine)
{
	for (uint32_t i = 0; i < request->excluded_count; i++) {
		if (request->excluded[i] == engine)
			return true;
	}
	return false;
}

bool rt_is_eligible(const struct rt_request *request, uint32_t candidate)
{
	const struct rt_candidate *c = &request->candidates[candidate];

	if (c->max_running && c->own_running >= c->max_running)
		return false;
	return !rt_is_excluded(request, c->engine);
}

uint32_t rt_shortlist(struct rt_router *router,
		      const struct rt_request *request, uint64_t *out,
		      uint32_t capacity, int64_t now_ms)
{
	uint32_t first[RT_MAX_CANDIDATES];
	struct rt_place place;
	uint32_t found, count = 0;

	(void)now_ms;
	if (request->count > RT_MAX_CANDIDATES)
		return 0;
	rt_place_make(&place, router, request);
	found = rt_place_first(
		&place, first,
		MIN(capacity + request->excluded_count, RT_MAX_CANDIDATES));
	for (uint32_t i = 0; i < found && count < capacity; i++) {
		uint64_t engine = request->candidates[first[i]].engine;

		if (!rt_is_excluded(request, engine))
			out[count++] = engine;
	}
	return count;
}

bool rt_candidate_merge(struct rt_candidate *candidate,
			const struct rt_candidate *found)
{
	if (found->engine != candidate->engine ||
	    found->incarnation < candidate->incarnation)
		return false;
	candidate->incarnation = found->incarnation;
	candidate->has_index = true;
	candidate->held = found->held;
	candidate->pending = found->pending;
	candidate->confidence_permille = found->confidence_permille;
	candidate->running = found->running;
	candidate->waiting_tokens = found->waiting_tokens;
	candidate->sent_tokens = found->sent_tokens;
	candidate->load_age_ms = found->load_age_ms;
	candidate->prefill_tokens_per_s = found->prefill_tokens_per_s;
	return true;
}

const char *rt_reason_name(enum rt_reason reason)
{
	static const char *const names[RT_REASON_COUNT] = {
		[RT_BY_CACHE] = "cache",	 [RT_BY_PENDING] = "pending",
		[RT_BY_PLACEMENT] = "placement", [RT_BY_LOAD] = "load",
		[RT_BY_DISTANCE] = "distance",
	};

	return (uint32_t)reason < RT_REASON_COUNT ? names[reason] : "unknown";
}
