/*
 * rt - routing: selects the engine for a request.
 *
 * Overview
 *	rt_decide() chooses an engine for a request from the current state of
 *	the candidates. It uses no sockets and no clock. A policy is a struct
 *	rt_policy registered under the kind "policy"; "cost" is the default,
 *	the others (random, round_robin, least_loaded, hash) are baselines for
 *	the bench.
 *
 *	rt_heat_...() measures the share of the traffic of each prefix. It
 *	determines at which depth of the chain the placement key is taken and
 *	over how many engines a hot prefix is spread (docs/ROUTING.md).
 *
 * Use
 *	struct rt_request request = { .chain = &chain, ... };
 *	struct rt_choice choice;
 *
 *	if (rt_decide(rt_policy_find("cost"), &router, &request, &choice,
 *		      now_ms) == ST_OK)
 *		send to candidates[choice.candidate];
 */
#ifndef RT_H
#define RT_H

#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"
#include "kernel/st.h"
#include "prefix/px.h"
#include "routing/rt_heat.h"

#define RT_MAX_CANDIDATES 128
/** Engines that rt_preselect() considers. */
#define RT_MAX_ENGINES 1024

/** enum rt_distance - from this entry host to an engine. */
enum rt_distance { RT_SAME_ZONE = 0, RT_SAME_REGION, RT_OTHER_REGION };

/**
 * struct rt_candidate - an engine that serves the requested weights.
 * @engine: id of the engine (px_id() of its name).
 * @incarnation: 0 if not known.
 * @distance: from this entry host.
 * @is_suspect: membership suspects the engine.
 * @has_index: the index answered for this request; it provides the fields from
 *	@held to @prefill_tokens_per_s.
 * @held: number of leading keys of the chain whose blocks the engine holds.
 * @pending: as @held, including blocks that a request in flight computes.
 * @confidence_permille: confidence that @held is still right.
 * @running: requests that run on the engine.
 * @waiting_tokens: prompt tokens that wait there, as last reported.
 * @sent_tokens: prompt tokens sent by all entry hosts since that report.
 * @load_age_ms: age of the report.
 * @prefill_tokens_per_s: measured prefill speed; 0 if not known.
 * @own_running: requests of this entry host that run there.
 * @own_tokens: prompt tokens of these requests that wait for a first token.
 * @max_running: limit for @own_running; 0 is unlimited.
 */
struct rt_candidate {
	uint64_t engine;
	uint64_t incarnation;
	enum rt_distance distance;
	bool is_suspect;
	bool has_index;
	uint32_t held;
	uint32_t pending;
	uint32_t confidence_permille;
	uint32_t running;
	uint32_t waiting_tokens;
	uint32_t sent_tokens;
	uint32_t load_age_ms;
	uint32_t prefill_tokens_per_s;
	uint32_t own_running;
	uint32_t own_tokens;
	uint32_t max_running;
};

/**
 * struct rt_request - the request to place.
 * @chain: prefix keys of the prompt.
 * @prompt_tokens: estimated length of the prompt.
 * @objective: from the route.
 * @urgency: CM_AUTO is treated as CM_NORMAL.
 * @candidates: engines that serve the requested weights and accept work.
 * @count: number of @candidates, RT_MAX_CANDIDATES at most.
 * @excluded: engines that this request must not be sent to again.
 * @excluded_count: number of @excluded.
 */
struct rt_request {
	const struct px_chain *chain;
	uint32_t prompt_tokens;
	enum cm_objective objective;
	enum cm_urgency urgency;
	const struct rt_candidate *candidates;
	uint32_t count;
	const uint64_t *excluded;
	uint32_t excluded_count;
};

/** enum rt_reason - reason for the choice, for the time line. */
enum rt_reason {
	RT_BY_CACHE = 0,
	RT_BY_PENDING,
	RT_BY_PLACEMENT,
	RT_BY_LOAD,
	RT_BY_DISTANCE,
	RT_REASON_COUNT
};

/**
 * struct rt_choice - the decision.
 * @candidate: index into the request's candidates.
 * @reason: why it was chosen.
 * @cost_us: predicted time to the first token.
 * @new_tokens: prompt tokens expected to be computed.
 */
struct rt_choice {
	uint32_t candidate;
	enum rt_reason reason;
	uint32_t cost_us;
	uint32_t new_tokens;
};

/**
 * struct rt_weights - weights of the terms of the cost, in thousandths.
 * @wait: time in the engine's queue.
 * @compute: time to compute the tokens that are not cached.
 * @distance: network delay to the engine.
 */
struct rt_weights {
	uint32_t wait;
	uint32_t compute;
	uint32_t distance;
};

/**
 * struct rt_constants - constants of the prediction; see docs/ROUTING.md.
 * @band_permille: costs that differ by less than this fraction are equal.
 * @min_band_ms: costs that differ by less than this are equal.
 * @lag_permille: error of a load report, as a fraction of its age.
 * @max_lag_ms: upper bound of that error.
 * @placed_permille: probability that an engine of the placement set holds a
 *	prefix.
 * @pending_left_permille: fraction of a prefix in flight that is still to be
 *	computed.
 * @spread_permille: ratio of the share of engines that hold a prefix to the
 *	prefix's share of the traffic.
 * @deferrable_permille: factor on the weight of the wait for deferrable
 *	requests.
 */
struct rt_constants {
	uint32_t band_permille;
	uint32_t min_band_ms;
	uint32_t lag_permille;
	uint32_t max_lag_ms;
	uint32_t placed_permille;
	uint32_t pending_left_permille;
	uint32_t spread_permille;
	uint32_t deferrable_permille;
};

/**
 * struct rt_desc - parameters of a router; zero means default.
 * @seed: of the policy "random".
 * @heat: parameters of the heat tracker.
 * @weights: by enum cm_objective.
 * @constants: each zero field gets its default.
 * @prefill_tokens_per_s: assumed if no engine's speed is known.
 * @placement_distance: maximum distance of engines that take part in placement.
 * @link_bytes_per_s: bandwidth of the link between regions.
 * @link_delay_ms: round-trip time of that link.
 */
struct rt_desc {
	uint64_t seed;
	struct rt_heat_desc heat;
	struct rt_weights weights[CM_REUSE + 1];
	struct rt_constants constants;
	uint32_t prefill_tokens_per_s;
	enum rt_distance placement_distance;
	uint64_t link_bytes_per_s;
	uint32_t link_delay_ms;
};

/**
 * struct rt_router - state kept between decisions.
 * @desc: with the defaults filled in.
 * @heat: of the prefixes of past requests.
 */
struct rt_router {
	struct rt_desc desc;
	struct rt_heat heat;
	uint64_t _sequence;
	uint64_t _random;
};

void rt_router_init(struct rt_router *router, const struct rt_desc *desc);
void rt_router_finish(struct rt_router *router);

/**
 * struct rt_policy - an algorithm that chooses a candidate.
 * @decide: returns ST_UNAVAILABLE if no candidate can take the request.
 */
struct rt_policy {
	const char *name;
	enum st_code (*decide)(struct rt_router *router,
			       const struct rt_request *request,
			       struct rt_choice *choice, int64_t now_ms);
};

/**
 * rt_decide() - choose a candidate by @policy.
 *
 * Return: ST_OK, ST_INVALID for more candidates than RT_MAX_CANDIDATES,
 * ST_UNAVAILABLE if no candidate can take the request.
 */
enum st_code rt_decide(const struct rt_policy *policy, struct rt_router *router,
		       const struct rt_request *request,
		       struct rt_choice *choice, int64_t now_ms);

/** rt_policy_find() - a registered policy, or NULL. */
const struct rt_policy *rt_policy_find(const char *name);

/**
 * rt_preselect() - reduce @engines to at most RT_MAX_CANDIDATES.
 * @engines: that serve the requested weights; only @engine and @distance of
 *	each are used.
 * @count: engines beyond RT_MAX_ENGINES are ignored.
 * @out: indices into @engines; size RT_MAX_CANDIDATES.
 *
 * Nearer engines are preferred, and among equally near ones those that rank
 * highest for the prompt's first key, so that routers agree.
 *
 * Return: the number of indices in @out.
 */
uint32_t rt_preselect(const struct px_chain *chain,
		      const struct rt_candidate *engines, uint32_t count,
		      uint32_t *out);

/**
 * rt_shortlist() - list the engines to look up in the index.
 * @out: engine ids in the order of preference; size @capacity.
 *
 * The list depends on the chain and the heat alone, so that routers that know
 * the same engines agree on it.
 *
 * Return: the number of ids in @out.
 */
uint32_t rt_shortlist(struct rt_router *router,
		      const struct rt_request *request, uint64_t *out,
		      uint32_t capacity, int64_t now_ms);

/**
 * rt_candidate_merge() - merge an index answer into a candidate.
 * @found: the answer: @engine, @incarnation and the fields of the index.
 *
 * Return: false, with the candidate unchanged, if the answer is for another
 * engine or for an older incarnation.
 */
bool rt_candidate_merge(struct rt_candidate *candidate,
			const struct rt_candidate *found);

/**
 * rt_is_eligible() - whether a candidate is neither excluded nor at its limit.
 */
bool rt_is_eligible(const struct rt_request *request, uint32_t candidate);

const char *rt_reason_name(enum rt_reason reason);

#endif
