/*
 * pc - placement: selects the upstream for a request.
 *
 * Load pattern
 *	Prompts share nested prefixes: a few long roots, each extended by some
 *	hundred longer prefixes, some of them hot. Recomputing a shared prefix
 *	costs more than copying its KV cache from an engine that holds it. New
 *	weights invalidate the cache of every engine, so all prefixes are
 *	recomputed every few seconds, while engines join one after the other.
 *
 * Overview
 *	The cost of a candidate is the predicted time to the first token: the
 *	prompt tokens that already wait there, the request's suffix, its shared
 *	prefix unless the candidate holds it or can copy it, and the network
 *	delay. The candidate with the lowest cost is chosen.
 *
 *	Each root has a group of engines, the first ones in the order of
 *	rendezvous hashing; if every engine held every root, roots would take
 *	up half of the cache memory. A prefix that no engine is known to hold
 *	has an owner in the group of its root, ranked by the prefix hash. All
 *	hosts agree on the owner without a message, so that a prefix requested
 *	by several hosts at the same time is computed by one engine only.
 *
 *	Engines with older weights than the newest requested ones stay in use
 *	without a penalty during a short grace period, then with one. The
 *	engines of each version share prefixes only with each other and have
 *	groups and owners of their own, since at the peak new weights are being
 *	rolled out half of the time. Avoided candidates are the last resort.
 *
 *	Engines evict a prefix within seconds. Those in the region of a store
 *	save long prompts there and copy them back.
 *
 *	Dozens of hosts act on the same load reports for a tenth of a second.
 *	A random term keeps them from sending all their requests to the one
 *	engine that looks best until the next report.
 *
 *	Plain services: the least loaded upstream in proportion to its slots,
 *	the nearest among equals.
 *
 *	pc_place() depends on its arguments only: no clock, no sockets.
 *
 * Use
 *	answer = pc_place(&request, candidates, count);
 *	if (answer.chosen < 0) ...
 */
#ifndef PC_H
#define PC_H

#include <stdbool.h>
#include <stdint.h>

/** enum pc_distance - from this host to the upstream. */
enum pc_distance { PC_SAME_ZONE = 0, PC_SAME_REGION, PC_OTHER_REGION };

/**
 * struct pc_candidate - an upstream that could run the request.
 * @hash: of its id.
 * @running: requests of all hosts that run there, as far as is known.
 * @waiting_tokens: prompt tokens of these requests not yet prefilled.
 * @slots: maximum number of concurrent requests; 0: unknown.
 * @region: number that is unique to its region.
 * @distance: from this host.
 * @prefix_age_ms: since it last used the whole shared prefix; -1: never.
 * @root_age_ms: since it last used the root; -1: never.
 * @holds_prefix, @holds_root: used, and probably not evicted since.
 * @is_avoided: it failed recently, loads weights or is about to.
 * @is_less_suited: kept for other requests, see sp.h; used at a small cost.
 * @is_tried: an earlier attempt of this request was sent to it.
 * @weights: version of its weights; prefixes are shared within one version.
 * @weights_age_ms: time since newer weights were requested; 0: the newest.
 */
struct pc_candidate {
	uint64_t hash;
	uint32_t running;
	uint32_t waiting_tokens;
	uint32_t slots;
	uint32_t region;
	enum pc_distance distance;
	int64_t prefix_age_ms;
	int64_t root_age_ms;
	bool holds_prefix;
	bool holds_root;
	bool is_avoided;
	bool is_less_suited;
	bool is_tried;
	uint64_t weights;
	int64_t weights_age_ms;
};

/**
 * struct pc_store - a store of saved prompts, used by the engines of its region
 * only, since the delay to another region is ten times as long.
 * @region: as in struct pc_candidate.
 * @holds_prefix, @holds_root: saved there recently.
 */
struct pc_store {
	uint32_t region;
	bool holds_prefix;
	bool holds_root;
};

/**
 * struct pc_request - the request to place.
 * @prefix_hash: of the whole shared prefix; 0: none.
 * @root_hash: of the root, the first part of the shared prefix; equal to
 *	@prefix_hash if there is one part.
 * @shared_tokens: length of the shared prefix.
 * @root_tokens: length of the root.
 * @suffix_tokens: length of the rest of the prompt; 0 for plain services.
 * @max_running: such requests that fit an engine's memory; 0: unknown.
 * @late_fill: part of an engine that late requests like this one may fill.
 * @slot_ms: time for which such a request holds a slot; 0: unknown.
 * @seed: of the random term; differs between requests.
 * @store: NULL if there is none.
 */
struct pc_request {
	uint64_t prefix_hash;
	uint64_t root_hash;
	uint32_t shared_tokens;
	uint32_t root_tokens;
	uint32_t suffix_tokens;
	uint32_t max_running;
	double late_fill;
	double slot_ms;
	uint64_t seed;
	const struct pc_store *store;
};

/**
 * struct pc_answer - indices into the table, -1 for none.
 * @chosen: candidate to send the request to.
 * @source: engine from which the chosen one can copy missing parts of the
 *	shared prefix; set even if the chosen one should hold all of it, since
 *	it may have evicted it.
 * @is_from_store: copy from the store instead of @source.
 * @is_to_store: the chosen engine shall save the prompt to the store.
 * @prefill_tokens: tokens that the chosen engine is expected to compute.
 * @cost_ms: predicted time to the first token.
 * @has_room: the chosen engine has room for a late request.
 * @free_slots: such room at all usable candidates.
 * @mean_wait_ms: time until the waiting prompts of the usable candidates are
 *	prefilled, on average.
 */
struct pc_answer {
	int32_t chosen;
	int32_t source;
	bool is_from_store;
	bool is_to_store;
	uint32_t prefill_tokens;
	double cost_ms;
	double mean_wait_ms;
	bool has_room;
	uint32_t free_slots;
};

/** pc_place() - choose among @count candidates. */
struct pc_answer pc_place(const struct pc_request *request,
			  const struct pc_candidate *candidates,
			  uint32_t count);

#endif
