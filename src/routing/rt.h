/*
 * rt - where a request runs.
 *
 * Overview
 *	rt_decide() chooses an engine for a request from what is known of the
 *	candidates at that moment. It is a plain function of its input: no
 *	sockets, no clock. A policy is a struct rt_policy registered under the
 *	kind "policy"; "cost" is the one in use, the others (random,
 *	round_robin, least_loaded, hash) are baselines for the bench.
 *
 *	rt_heat_...() measures how hot each prefix is, from which follows at
 *	which depth of the chain the placement key is taken and over how many
 *	engines a hot prefix is spread (docs/ROUTING.md).
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
/** Engines that rt_preselect() looks at. */
#define RT_MAX_ENGINES 1024

/** enum rt_distance - from this entry to an engine. */
enum rt_distance { RT_SAME_ZONE = 0, RT_SAME_REGION, RT_OTHER_REGION };

/**
 * struct rt_candidate - an engine that holds the right weights.
 * @engine: its id (px_id of its name).
 * @incarnation: 0 if not known.
 * @distance: from this entry.
 * @is_suspect: membership suspects it.
 * @has_index: the fields below it came from the index for this request.
 * @held: keys of the chain, from the first on, whose blocks are there.
 * @pending: the same, counting blocks that a request in flight computes.
 * @confidence_permille: that @held is still right.
 * @running: requests that it runs.
 * @waiting_tokens: prompt tokens that wait there, as last reported.
 * @sent_tokens: prompt tokens sent to it since that report, by all entries.
 * @load_age_ms: age of the report.
 * @prefill_tokens_per_s: learned speed; 0 if not known.
 * @own_running: requests of this entry that run there.
 * @own_tokens: prompt tokens this entry sent that have no first token yet.
 * @max_running: limit of this entry for it; 0 is unlimited.
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
 * struct rt_request - what is to be placed.
 * @chain: of the prompt.
 * @prompt_tokens: estimated.
 * @objective: from the route.
 * @urgency: CM_AUTO is taken as CM_NORMAL here.
 * @candidates: engines with the right weights that may get work.
 * @count: RT_MAX_CANDIDATES at most.
 * @excluded: engines that this request must not meet again.
 * @excluded_count: their number.
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

/** enum rt_reason - why the candidate was chosen, for the time line. */
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
 * @reason: see enum rt_reason.
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
 * struct rt_weights - of the parts of the cost, in thousandths.
 * @wait: of the time in the engine's queue.
 * @compute: of the time to compute missed tokens.
 * @distance: of the way to the engine.
 */
struct rt_weights {
	uint32_t wait;
	uint32_t compute;
	uint32_t distance;
};

/**
 * struct rt_constants - of the prediction; docs/ROUTING.md explains each.
 * @band_permille: costs closer than this part are taken as equal.
 * @min_band_ms: and costs closer than this.
 * @lag_permille: by this part of its age a load report may be off.
 * @max_lag_ms: and by this at most.
 * @placed_permille: chance that an engine of the placement set holds a prefix.
 * @pending_left_permille: part of a prefix in flight that is still to compute.
 * @spread_permille: engines for a prefix, over its share of the traffic.
 * @deferrable_permille: weight of a wait for a deferrable request.
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
 * struct rt_desc - zero means default.
 * @seed: of the baseline "random".
 * @heat: of the heat tracker.
 * @weights: by enum cm_objective.
 * @constants: each one zero for its default.
 * @prefill_tokens_per_s: of an engine whose speed is not known.
 * @placement_distance: farthest engines that take part in placement.
 * @link_bytes_per_s: of the link between regions.
 * @link_delay_ms: there and back.
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
 * struct rt_router - what a router remembers between decisions.
 * @desc: with the defaults filled in.
 * @heat: of the prefixes that it has seen.
 */
struct rt_router {
	struct rt_desc desc;
	struct rt_heat heat;
	uint64_t _sequence;
	uint64_t _random;
};

/** rt_router_init() - it can decide at once. */
void rt_router_init(struct rt_router *router, const struct rt_desc *desc);
void rt_router_finish(struct rt_router *router);

/**
 * struct rt_policy - a way to choose.
 * @decide: ST_UNAVAILABLE if no candidate can take the request.
 */
struct rt_policy {
	const char *name;
	enum st_code (*decide)(struct rt_router *router,
			       const struct rt_request *request,
			       struct rt_choice *choice, int64_t now_ms);
};

/**
 * rt_decide() - choose by a policy.
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
 * rt_preselect() - which engines to take as candidates if there are more.
 * @engines: with the right weights; of each, id and distance are read.
 * @count: RT_MAX_ENGINES at most, further ones are not looked at.
 * @out: indices into @engines, room for RT_MAX_CANDIDATES.
 *
 * Return: their number. Nearer engines come first, and among equally near ones
 * those that rank highest for the prompt's first key, so that routers agree.
 */
uint32_t rt_preselect(const struct px_chain *chain,
		      const struct rt_candidate *engines, uint32_t count,
		      uint32_t *out);

/**
 * rt_shortlist() - the engines whose index entries are worth a look-up.
 * @out: ids, in the order of preference.
 *
 * Return: their number; chosen from the chain and the heat alone, so that
 * routers that know the same engines name the same ones.
 */
uint32_t rt_shortlist(struct rt_router *router,
		      const struct rt_request *request, uint64_t *out,
		      uint32_t capacity, int64_t now_ms);

/**
 * rt_candidate_merge() - add what the index answered to a candidate.
 * @found: the answer, with @engine, @incarnation, and the index's fields.
 *
 * Return: false if the answer is of another engine or of an incarnation that
 * has ended; the candidate is left as it was then.
 */
bool rt_candidate_merge(struct rt_candidate *candidate,
			const struct rt_candidate *found);

/** rt_is_eligible() - not excluded and below its limit. */
bool rt_is_eligible(const struct rt_request *request, uint32_t candidate);

const char *rt_reason_name(enum rt_reason reason);

#endif
