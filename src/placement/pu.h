/*
 * pu - urgency: the order in which an overloaded engine takes requests.
 *
 * Load pattern
 *	A burst, or the loss of a quarter of the engines: more prompts arrive
 *	than can be prefilled. In the order of arrival every request waits
 *	longer than its target, and all answers are late.
 *
 * Overview
 *	A request that can be answered within its target is urgent. A request
 *	that would be late anyway is not: it runs when no urgent request waits,
 *	so that it delays no other. Since urgent requests are admitted first,
 *	only they count towards the wait of the next request, and their queue
 *	never grows beyond the target. Predictions are exact while little waits
 *	and too short under full load, so the part of the target that a
 *	prediction may use shrinks with the load. Within each class, requests
 *	are ordered by the rank of team and route.
 *
 *	pu_decide() depends on its arguments only: no clock, no sockets.
 *
 * Use
 *	urgency = pu_decide(predicted_ms, target_ms, mean_wait_ms, rank);
 */
#ifndef PU_H
#define PU_H

#include <stdbool.h>
#include <stdint.h>

/** PU_PRIORITIES - number of engine priorities; 0 is the most urgent. */
#define PU_PRIORITIES 10

/**
 * struct pu_urgency - scheduling of a request on its engine.
 * @priority: 0 to PU_PRIORITIES - 1.
 * @is_late: the first token is not expected within the target.
 * @weight: fraction of the prompt that counts towards the wait of other
 *	requests.
 */
struct pu_urgency {
	uint32_t priority;
	bool is_late;
	double weight;
};

/**
 * pu_decide() - derive the urgency from prediction and target.
 * @predicted_ms: time to the first token.
 * @target_ms: time left of the target for the first token; 0: no target.
 * @mean_wait_ms: see struct pc_answer.
 * @rank: of team and route; 0 is the highest.
 */
struct pu_urgency pu_decide(double predicted_ms, int64_t target_ms,
			    double mean_wait_ms, uint32_t rank);

#endif
