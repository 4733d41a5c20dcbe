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
 *	Every subject has a home: the engine that rendezvous hashing of subject
 *	and engine ranks first. All hosts agree on it without a message, and
 *	the loss of an engine moves only its own subjects. Long prefixes have
 *	one home among all engines, short ones one in each region, as the way
 *	to the other region costs more than they do.
 *
 *	A root that this host has not yet seen read goes to the root's own
 *	home, so that only one engine reads it first. Afterwards its subjects
 *	go to their homes, which copy the root from there.
 *
 *	When engines join, some subjects move to a new home. It copies from the
 *	engine that ranks first among those that were there before.
 *
 *	An engine that already has clearly more requests of this host than the
 *	average is passed over for the next in rank, which copies from the home.
 *
 *	Plain upstreams: the least loaded, the nearest among equals.
 *
 *	Engines whose weights are older than the newest wanted are used only
 *	while none has the newest.
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
 * @running: requests of this host there.
 * @joined_ms: since when it has its weights.
 * @is_avoided: it failed lately, is loading or is about to.
 * @is_tried: this request has been there.
 * @is_current: it has the newest wanted weights.
 */
struct pc_candidate {
	uint64_t hash;
	uint32_t running;
	int64_t joined_ms;
	enum pc_distance distance;
	bool is_avoided;
	bool is_tried;
	bool is_current;
};

/**
 * struct pc_request
 * @subject: of the whole shared prefix; 0: none, the least loaded is chosen.
 * @root: of the first shared part; equal to @subject if there is one part.
 * @shared_tokens: of the shared prefix.
 * @is_root_read: this host has seen the root read under these weights.
 */
struct pc_request {
	uint64_t subject;
	uint64_t root;
	uint32_t shared_tokens;
	bool is_root_read;
};

/**
 * struct pc_answer - indices into the table, -1 for none.
 * @chosen: where to send it.
 * @source: which engine probably holds the shared prefix.
 */
struct pc_answer {
	int32_t chosen;
	int32_t source;
};

struct pc_answer pc_place(const struct pc_request *request,
			  const struct pc_candidate *candidates,
			  uint32_t count);

#endif
