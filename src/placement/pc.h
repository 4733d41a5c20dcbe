/*
 * pc - placement: which upstream a request goes to.
 *
 * Load pattern
 *	Prompts share nested prefixes: a few long roots, and under each of
 *	them some hundred subjects, some of them hot. Reading a shared prefix
 *	again costs more than copying it from an engine that has read it. New
 *	weights empty every engine, so all prefixes are read anew every few
 *	seconds, while engines join one after the other.
 *
 * Overview
 *	Each candidate gets a predicted time until the first token: the prompt
 *	tokens that wait there already, the request's own, its shared prefix
 *	unless it is held there or can be copied, and the way. The lowest sum
 *	wins.
 *
 *	Every root has a group of engines, those that rendezvous hashing ranks
 *	first; if every engine kept every root, roots would take up half of the
 *	memory. A prefix that nobody is known to hold has a home in the group of
 *	its root, ranked by the subject. All hosts agree on it without
 *	a message, so that only one engine reads a prefix that several hosts
 *	ask for at the same time.
 *
 *	Engines with older weights than the newest wanted stay in use for
 *	a short while without a penalty, then with one. Those of each version
 *	share prefixes among themselves, with groups and homes of their own: at
 *	the peak new weights are on the way half of the time. Avoided ones are
 *	the last resort.
 *
 *	Engines forget a prefix within seconds. Those in the region of a store
 *	save long prompts there and copy them back.
 *
 *	Dozens of hosts see the same table for a tenth of a second. A random
 *	term keeps them from sending all their requests to the one engine that
 *	looks best meanwhile.
 *
 *	Plain upstreams: the least loaded for its slots, the nearest among
 *	equals.
 *
 *	A plain function over a table of candidates: no clock, no sockets.
 *
 * Use
 *	answer = pc_place(&request, candidates, n);
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
 * @running: requests of all hosts there, as far as is known.
 * @waiting_tokens: of their prompts, not read yet.
 * @slots: requests that it runs at once; 0: unknown.
 * @region: any number that differs between regions.
 * @distance: from this host.
 * @prefix_age_ms: since it last used the whole shared prefix; -1: never.
 * @root_age_ms: the same of the first part.
 * @holds_prefix, @holds_root: and it has probably not evicted it since.
 * @is_avoided: it failed lately, is loading or is about to.
 * @is_tried: this request has been there.
 * @weights: its version of them; only engines with the same share prefixes.
 * @weights_age_ms: of its weights: since newer ones were wanted; 0: the newest.
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
	bool is_tried;
	uint64_t weights;
	int64_t weights_age_ms;
};

/**
 * struct pc_store - a store of kept prompts, used by engines of its region: the
 * way to the other one is ten times as long.
 * @region: as of the candidates.
 * @holds_prefix, @holds_root: the same was saved there not long ago.
 */
struct pc_store {
	uint32_t region;
	bool holds_prefix;
	bool holds_root;
};

/**
 * struct pc_request
 * @prefix_hash: of the whole shared prefix; 0: none.
 * @root_hash: of the first shared part; equal to @prefix_hash if there is one
 * part.
 * @shared_tokens: of the shared prefix.
 * @root_tokens: of its first part.
 * @suffix_tokens: of the rest of the prompt; 0 for plain requests.
 * @seed: any number that differs between requests.
 * @store: NULL if there is none.
 */
struct pc_request {
	uint64_t prefix_hash;
	uint64_t root_hash;
	uint32_t shared_tokens;
	uint32_t root_tokens;
	uint32_t suffix_tokens;
	uint64_t seed;
	const struct pc_store *store;
};

/**
 * struct pc_answer - indices into the table, -1 for none.
 * @chosen: where to send it.
 * @source: from which engine it may copy what it lacks of the shared prefix;
 *	given also if it should lack nothing, as it may have evicted it.
 * @is_from_store: the store is to be copied from, not the source.
 * @is_to_store: the chosen one is to save the prompt there.
 * @prefill_tokens: that the chosen one probably has to read.
 * @cost_ms: predicted time until the first token.
 */
struct pc_answer {
	int32_t chosen;
	int32_t source;
	bool is_from_store;
	bool is_to_store;
	uint32_t prefill_tokens;
	double cost_ms;
};

struct pc_answer pc_place(const struct pc_request *request,
			  const struct pc_candidate *candidates,
			  uint32_t count);

#endif
