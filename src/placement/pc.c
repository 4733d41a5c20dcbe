#include "placement/pc.h"

#include <stddef.h>

/* Prompt tokens that an engine prefills in a ms. The engines of a pool are
 * alike, so this only weighs prefill against the other terms. */
#define PC_PREFILL_TOKENS_PER_MS 40.0
/* Copy of one token's 262 KB between zones over a link of about 1 Tbit/s,
 * which takes twice as long as within a zone. */
#define PC_COPY_MS_PER_TOKEN 0.004
/* Copy from the store, whose link has less bandwidth and is shared by all
 * engines. */
#define PC_STORE_MS_PER_TOKEN 0.012
/* Shorter prefixes are recomputed faster than copied from the store. */
#define PC_STORE_MIN_TOKENS 1000
/* Cost of the other prefixes that the engine must evict for a copy. */
#define PC_EVICTION_MS_PER_TOKEN 0.07
/* Round trip to another zone, and to another region. The bytes of a request
 * between regions have a cost, too: the region term is twice the delay. */
#define PC_CROSS_ZONE_MS   4.0
#define PC_CROSS_REGION_MS 120.0
/* Each running request makes the steps of an engine slightly longer. */
#define PC_RUNNING_MS 1.0
/* Wait for a slot when all are in use. */
#define PC_SLOT_WAIT_MS 100.0
/* A short prompt beside long ones: each of its steps takes longer. */
#define PC_LESS_SUITED_MS 60.0
/* Engines with older weights get the penalty after the grace period. */
#define PC_OLD_WEIGHTS_GRACE_MS	  1200
#define PC_OLD_WEIGHTS_PENALTY_MS 400.0
/* Size of a root's group: one in PC_GROUP_DIVISOR engines, PC_MAX_GROUP at
 * most. Few enough that roots do not fill the engines' memory, many enough that
 * the requests of one root do not queue. */
#define PC_GROUP_DIVISOR 4
#define PC_MAX_GROUP	 16
/* Cost of a second copy, as a fraction of the prefill of the prefix. */
#define PC_REPLICA_COST_RATIO 0.4
/* Upper bound of the random term: the work of a few short requests. */
#define PC_JITTER_MS 40.0
/* Makes avoided candidates the last resort. */
#define PC_AVOIDED_PENALTY_MS 100000.0

static uint64_t pc_mix(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	return x ^ x >> 33;
}

/* Versions in use at a time; the engines of further ones get no owner. */
#define PC_MAX_VERSIONS 4

/**
 * struct pc_version - the candidates with the same weights, which share
 * prefixes only with each other.
 * @weights: version of the weights.
 * @owner: candidate that computes the prefix first, -1 for none.
 * @is_prefix_held: a usable candidate holds the whole shared prefix.
 * @is_root_held: a usable candidate holds the root.
 */
struct pc_version {
	uint64_t weights;
	int32_t owner;
	bool is_prefix_held;
	bool is_root_held;
};

/** struct pc_view - the arguments of pc_place() and state derived from them. */
struct pc_view {
	const struct pc_request *request;
	const struct pc_candidate *candidates;
	uint32_t count;
	struct pc_version versions[PC_MAX_VERSIONS];
	uint32_t version_count;
};

static bool pc_is_usable(const struct pc_candidate *c)
{
	return !c->is_tried && !c->is_avoided;
}

static bool pc_has_version(const struct pc_candidate *c,
			   const struct pc_version *version)
{
	return pc_is_usable(c) && c->weights == version->weights;
}

/* NULL for plain services and for versions beyond PC_MAX_VERSIONS. */
static const struct pc_version *pc_version_of(const struct pc_view *view,
					      const struct pc_candidate *c)
{
	for (uint32_t i = 0; i < view->version_count; i++)
		if (view->versions[i].weights == c->weights)
			return &view->versions[i];
	return NULL;
}

/** struct pc_ranked - rank of a candidate for a root. */
struct pc_ranked {
	uint64_t rank;
	int32_t index;
};

/* Fills @group with the @size highest ranked candidates for the root. */
static uint32_t pc_root_group(const struct pc_view *view,
			      const struct pc_version *version,
			      struct pc_ranked *group, uint32_t size)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		uint64_t rank = pc_mix(view->request->root_hash ^
				       view->candidates[i].hash);
		uint32_t at = count;

		if (!pc_has_version(&view->candidates[i], version))
			continue;
		while (at && group[at - 1].rank < rank)
			at--;
		if (at >= size)
			continue;
		if (count < size)
			count++;
		for (uint32_t j = count - 1; j > at; j--)
			group[j] = group[j - 1];
		group[at] = (struct pc_ranked){ rank, i };
	}
	return count;
}

/* One in PC_GROUP_DIVISOR of the usable engines, at least two. */
static uint32_t pc_group_size(const struct pc_view *view,
			      const struct pc_version *version)
{
	uint32_t usable = 0, size;

	for (uint32_t i = 0; i < view->count; i++)
		usable += pc_has_version(&view->candidates[i], version);
	size = usable / PC_GROUP_DIVISOR;
	if (size < 2)
		return 2;
	return size < PC_MAX_GROUP ? size : PC_MAX_GROUP;
}

/*
 * The highest ranked engine of the group computes the root; once the root is
 * held, the prefixes below it are distributed over the group.
 */
static int32_t pc_find_owner(const struct pc_view *view,
			     const struct pc_version *version)
{
	struct pc_ranked group[PC_MAX_GROUP];
	uint32_t count = pc_root_group(view, version, group,
				       pc_group_size(view, version));
	int32_t best = -1;
	uint64_t best_rank = 0;

	if (!count)
		return -1;
	if (!version->is_root_held)
		return group[0].index;
	for (uint32_t i = 0; i < count; i++) {
		uint64_t rank = pc_mix(view->request->prefix_hash ^
				       view->candidates[group[i].index].hash);

		if (best >= 0 && rank <= best_rank)
			continue;
		best = group[i].index;
		best_rank = rank;
	}
	return best;
}

static struct pc_version *pc_add_version(struct pc_view *view, uint64_t weights)
{
	struct pc_version *version = view->versions;

	for (uint32_t i = 0; i < view->version_count; i++, version++)
		if (version->weights == weights)
			return version;
	if (view->version_count == PC_MAX_VERSIONS)
		return NULL;
	view->version_count++;
	*version = (struct pc_version){ weights, -1, false, false };
	return version;
}

static struct pc_view pc_view_make(const struct pc_request *request,
				   const struct pc_candidate *candidates,
				   uint32_t count)
{
	struct pc_view view = { request, candidates, count, { { 0 } }, 0 };

	if (!request->prefix_hash)
		return view;
	for (uint32_t i = 0; i < count; i++) {
		const struct pc_candidate *c = &candidates[i];
		struct pc_version *version;

		if (!pc_is_usable(c))
			continue;
		version = pc_add_version(&view, c->weights);
		if (!version)
			continue;
		version->is_prefix_held |= c->holds_prefix;
		version->is_root_held |= c->holds_root;
	}
	for (uint32_t i = 0; i < view.version_count; i++)
		view.versions[i].owner =
			pc_find_owner(&view, &view.versions[i]);
	return view;
}

/* The latest user has most likely not evicted the prefix; -1 for none. */
static int32_t pc_latest_user(const struct pc_view *view, int32_t chosen,
			      bool is_root)
{
	int32_t best = -1;
	int64_t best_ms = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		const struct pc_candidate *c = &view->candidates[i];
		int64_t age_ms = is_root ? c->root_age_ms : c->prefix_age_ms;

		if ((int32_t)i == chosen || age_ms < 0 || !pc_is_usable(c) ||
		    c->weights != view->candidates[chosen].weights)
			continue;
		if (best < 0 || age_ms < best_ms) {
			best = i;
			best_ms = age_ms;
		}
	}
	return best;
}

static int32_t pc_copy_source(const struct pc_view *view, int32_t chosen)
{
	const struct pc_candidate *c = &view->candidates[chosen];
	int32_t source = pc_latest_user(view, chosen, false);

	if (source >= 0 &&
	    !(c->holds_root && !view->candidates[source].holds_prefix))
		return source;
	return pc_latest_user(view, chosen, true);
}

/**
 * struct pc_prefill - how a candidate gets the KV cache of the prompt.
 * @prefill_tokens: computed by the candidate.
 * @copy_tokens: copied from another engine.
 * @store_tokens: copied from the store.
 */
struct pc_prefill {
	uint32_t prefill_tokens;
	uint32_t copy_tokens;
	uint32_t store_tokens;
};

static bool pc_can_use_store(const struct pc_request *r,
			     const struct pc_candidate *c)
{
	return r->store && r->shared_tokens >= PC_STORE_MIN_TOKENS &&
	       !c->weights_age_ms && c->region == r->store->region;
}

static struct pc_prefill pc_prefill(const struct pc_view *view,
				    const struct pc_candidate *c)
{
	const struct pc_request *r = view->request;
	const struct pc_version *version = pc_version_of(view, c);
	bool is_root_held = version && version->is_root_held;
	struct pc_prefill prefill = { r->suffix_tokens, 0, 0 };

	if (c->holds_prefix || !r->prefix_hash)
		return prefill;
	if (version && version->is_prefix_held) {
		prefill.copy_tokens = r->shared_tokens;
		return prefill;
	}
	if (pc_can_use_store(r, c) && r->store->holds_prefix) {
		prefill.store_tokens = r->shared_tokens;
		return prefill;
	}
	prefill.prefill_tokens += r->shared_tokens;
	if (c->holds_root || is_root_held)
		prefill.prefill_tokens -= r->root_tokens;
	if (!c->holds_root && is_root_held)
		prefill.copy_tokens = r->root_tokens;
	return prefill;
}

static double pc_network_ms(const struct pc_candidate *c)
{
	if (c->distance == PC_OTHER_REGION)
		return PC_CROSS_REGION_MS;
	return c->distance == PC_SAME_REGION ? PC_CROSS_ZONE_MS : 0.0;
}

/*
 * Cost of choosing a candidate other than the owner. If no engine holds the
 * prefix, another host may just have sent it to the owner. If an engine holds
 * it, a use elsewhere keeps a second copy in memory at the expense of other
 * prefixes.
 */
static double pc_off_owner_ms(const struct pc_view *view,
			      const struct pc_version *version)
{
	double prefill_ms =
		view->request->shared_tokens / PC_PREFILL_TOKENS_PER_MS;

	return version->is_prefix_held ? prefill_ms * PC_REPLICA_COST_RATIO
				       : prefill_ms;
}

static double pc_jitter_ms(const struct pc_request *request,
			   const struct pc_candidate *c)
{
	uint64_t x = pc_mix(request->seed ^ pc_mix(c->hash));

	return PC_JITTER_MS * (double)(x >> 11) / (double)(1ULL << 53);
}

/* Requests like this one that the candidate runs at once; 0: unknown. */
static uint32_t pc_slots(const struct pc_request *r,
			 const struct pc_candidate *c)
{
	return r->max_running && r->max_running < c->slots ? r->max_running
							   : c->slots;
}

/* Slots until late requests have filled their part of the candidate. */
static uint32_t pc_free_slots(const struct pc_request *r,
			      const struct pc_candidate *c)
{
	uint32_t limit = (uint32_t)(pc_slots(r, c) * r->late_fill);

	return c->running < limit ? limit - c->running : 0;
}

static double pc_cost_ms(const struct pc_view *view, uint32_t i)
{
	const struct pc_candidate *c = &view->candidates[i];
	const struct pc_version *version = pc_version_of(view, c);
	struct pc_prefill prefill = pc_prefill(view, c);
	double ms = pc_network_ms(c);
	uint32_t slots = pc_slots(view->request, c);

	ms += (c->waiting_tokens + prefill.prefill_tokens) /
	      PC_PREFILL_TOKENS_PER_MS;
	ms += prefill.copy_tokens *
	      (PC_COPY_MS_PER_TOKEN + PC_EVICTION_MS_PER_TOKEN);
	ms += prefill.store_tokens * PC_STORE_MS_PER_TOKEN;
	ms += c->running * PC_RUNNING_MS;
	if (view->request->suffix_tokens)
		ms += pc_jitter_ms(view->request, c);
	if (slots && c->running >= slots)
		ms += (view->request->slot_ms > 0.0 ? view->request->slot_ms
						    : PC_SLOT_WAIT_MS) *
		      (c->running - slots + 1) / slots;
	if (c->is_less_suited)
		ms += PC_LESS_SUITED_MS;
	if (version && version->owner >= 0 && (int32_t)i != version->owner)
		ms += pc_off_owner_ms(view, version);
	if (c->weights_age_ms > PC_OLD_WEIGHTS_GRACE_MS)
		ms += PC_OLD_WEIGHTS_PENALTY_MS;
	if (c->is_avoided)
		ms += PC_AVOIDED_PENALTY_MS;
	return ms;
}

static double pc_mean_wait_ms(const struct pc_view *view)
{
	uint64_t tokens = 0;
	uint32_t usable = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		if (!pc_is_usable(&view->candidates[i]))
			continue;
		tokens += view->candidates[i].waiting_tokens;
		usable++;
	}
	return usable ? tokens / (usable * PC_PREFILL_TOKENS_PER_MS) : 0.0;
}

struct pc_answer pc_place(const struct pc_request *request,
			  const struct pc_candidate *candidates, uint32_t count)
{
	struct pc_view view = pc_view_make(request, candidates, count);
	struct pc_answer answer = { .chosen = -1, .source = -1 };

	for (uint32_t i = 0; i < count; i++) {
		double ms;

		if (candidates[i].is_tried)
			continue;
		ms = pc_cost_ms(&view, i);
		if (answer.chosen >= 0 && ms >= answer.cost_ms)
			continue;
		answer.chosen = i;
		answer.cost_ms = ms;
	}
	if (answer.chosen < 0)
		return answer;
	answer.mean_wait_ms = pc_mean_wait_ms(&view);
	answer.has_room =
		pc_free_slots(request, &candidates[answer.chosen]) > 0;
	for (uint32_t i = 0; i < count; i++)
		if (pc_is_usable(&candidates[i]))
			answer.free_slots +=
				pc_free_slots(request, &candidates[i]);
	answer.prefill_tokens =
		pc_prefill(&view, &candidates[answer.chosen]).prefill_tokens;
	if (!request->prefix_hash)
		return answer;
	answer.source = pc_copy_source(&view, answer.chosen);
	if (!pc_can_use_store(request, &candidates[answer.chosen]))
		return answer;
	answer.is_to_store = !request->store->holds_prefix;
	/* A source that still holds the prefix is nearer than the store. */
	answer.is_from_store =
		request->store->holds_prefix &&
		!(answer.source >= 0 && candidates[answer.source].holds_prefix);
	return answer;
}
