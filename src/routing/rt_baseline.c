/*
 * Baseline policies for the bench: random, round_robin, least_loaded and hash.
 */
#include "kernel/kn_registry.h"
#include "routing/rt.h"

/* Lists the eligible candidates; suspects only if there are no others. */
static uint32_t rt_list_usable(const struct rt_request *request, uint32_t *out)
{
	for (int with_suspects = 0; with_suspects < 2; with_suspects++) {
		uint32_t count = 0;

		for (uint32_t i = 0; i < request->count; i++) {
			if (rt_is_eligible(request, i) &&
			    request->candidates[i].is_suspect == with_suspects)
				out[count++] = i;
		}
		if (count > 0)
			return count;
	}
	return 0;
}

static enum st_code rt_choose(const struct rt_request *request,
			      struct rt_choice *choice, uint32_t candidate,
			      enum rt_reason reason)
{
	*choice = (struct rt_choice){ .candidate = candidate,
				      .reason = reason,
				      .new_tokens = request->prompt_tokens };
	return ST_OK;
}

static enum st_code rt_fail_unavailable(void)
{
	return st_fail(ST_UNAVAILABLE, "no engine can take the request");
}

static enum st_code rt_decide_random(struct rt_router *router,
				     const struct rt_request *request,
				     struct rt_choice *choice, int64_t now_ms)
{
	uint32_t usable[RT_MAX_CANDIDATES];
	uint32_t count = rt_list_usable(request, usable);

	(void)now_ms;
	if (count == 0)
		return rt_fail_unavailable();
	router->_random = px_rank(router->_random, router->_sequence);
	return rt_choose(request, choice, usable[router->_random % count],
			 RT_BY_PLACEMENT);
}

static enum st_code rt_decide_round_robin(struct rt_router *router,
					  const struct rt_request *request,
					  struct rt_choice *choice,
					  int64_t now_ms)
{
	uint32_t usable[RT_MAX_CANDIDATES];
	uint32_t count = rt_list_usable(request, usable);

	(void)now_ms;
	if (count == 0)
		return rt_fail_unavailable();
	return rt_choose(request, choice, usable[router->_sequence % count],
			 RT_BY_PLACEMENT);
}

static uint64_t rt_prefill_backlog(const struct rt_candidate *c)
{
	uint64_t reported = (uint64_t)c->waiting_tokens + c->sent_tokens;

	return reported > c->own_tokens ? reported : c->own_tokens;
}

static bool rt_is_less_loaded(const struct rt_candidate *a,
			      const struct rt_candidate *b)
{
	if (rt_prefill_backlog(a) != rt_prefill_backlog(b))
		return rt_prefill_backlog(a) < rt_prefill_backlog(b);
	return a->running + a->own_running < b->running + b->own_running;
}

static enum st_code rt_decide_least_loaded(struct rt_router *router,
					   const struct rt_request *request,
					   struct rt_choice *choice,
					   int64_t now_ms)
{
	uint32_t usable[RT_MAX_CANDIDATES];
	uint32_t count = rt_list_usable(request, usable);
	uint32_t best, start;

	(void)now_ms;
	if (count == 0)
		return rt_fail_unavailable();
	start = (uint32_t)(router->_sequence % count);
	best = usable[start];
	for (uint32_t i = 1; i < count; i++) {
		uint32_t at = usable[(start + i) % count];

		if (rt_is_less_loaded(&request->candidates[at],
				      &request->candidates[best]))
			best = at;
	}
	return rt_choose(request, choice, best, RT_BY_LOAD);
}

static enum st_code rt_decide_hash(struct rt_router *router,
				   const struct rt_request *request,
				   struct rt_choice *choice, int64_t now_ms)
{
	const struct px_chain *chain = request->chain;
	uint64_t key = chain->count ? chain->keys[0] : router->_sequence;
	uint32_t usable[RT_MAX_CANDIDATES];
	uint32_t count = rt_list_usable(request, usable);
	uint64_t best_rank = 0;
	uint32_t best = 0;

	(void)now_ms;
	if (count == 0)
		return rt_fail_unavailable();
	for (uint32_t i = 0; i < count; i++) {
		uint64_t engine = request->candidates[usable[i]].engine;
		uint64_t rank = px_rank(key, engine);

		if (i == 0 || rank > best_rank) {
			best_rank = rank;
			best = usable[i];
		}
	}
	return rt_choose(request, choice, best, RT_BY_PLACEMENT);
}

static const struct rt_policy rt_random = { "random", rt_decide_random };
static const struct rt_policy rt_round_robin = { "round_robin",
						 rt_decide_round_robin };
static const struct rt_policy rt_least_loaded = { "least_loaded",
						  rt_decide_least_loaded };
static const struct rt_policy rt_hash = { "hash", rt_decide_hash };

KN_REGISTER("policy", "random", rt_random)
KN_REGISTER("policy", "round_robin", rt_round_robin)
KN_REGISTER("policy", "least_loaded", rt_least_loaded)
KN_REGISTER("policy", "hash", rt_hash)
