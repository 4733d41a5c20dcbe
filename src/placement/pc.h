/*
 * pc - placement: which upstream a request goes to.
 *
 * Load pattern
 *	Many prompts share long prefixes of a few hundred subjects, some of
 *	them hot. Reading a shared prefix again costs more than copying it
 *	from an engine that has read it.
 *
 * Overview
 *	Every subject has a home in each region: the engine that rendezvous
 *	hashing of subject and engine ranks first. All hosts agree on it
 *	without a message, and the loss of an engine moves only its own
 *	subjects. An engine that already has clearly more requests of this host
 *	than the average is passed over for the next in rank, which then copies
 *	the prefix from the home. A region's home copies from the home of the
 *	other region.
 *
 *	Plain upstreams: the least loaded, the nearest among equals.
 *
 *	Engines whose weights are older than the newest wanted are used only
 *	while too few have the newest.
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
 * @is_avoided: it failed lately, is loading or is about to.
 * @is_tried: this request has been there.
 * @is_current: it has the newest wanted weights.
 */
struct pc_candidate {
	uint64_t hash;
	uint32_t running;
	enum pc_distance distance;
	bool is_avoided;
	bool is_tried;
	bool is_current;
};

/**
 * struct pc_request
 * @subject: of the shared prefix; 0: none, the least loaded is chosen.
 */
struct pc_request {
	uint64_t subject;
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
