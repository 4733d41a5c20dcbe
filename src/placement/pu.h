/*
 * pu - urgency: which requests an overloaded engine takes first.
 *
 * Load pattern
 *	A burst, or the loss of a quarter of the engines: more prompts arrive
 *	than can be read. In the order of arrival every request waits longer
 *	than its target, and all answers are late.
 *
 * Overview
 *	A request that can be answered within its target is urgent. One that
 *	would be late anyway is not: it is read when nothing urgent waits, so
 *	that it makes no other request late. As urgent requests are admitted
 *	first, only they count as the wait of the next one; their queue thus
 *	never grows beyond the target. Within both classes the rank of team and
 *	route holds.
 *
 *	A plain function: no clock, no sockets.
 *
 * Use
 *	urgency = pu_decide(predicted_ms, target_ms, rank);
 */
#ifndef PU_H
#define PU_H

#include <stdbool.h>
#include <stdint.h>

/** PU_PRIORITIES - engines tell so many apart; 0 is the most urgent. */
#define PU_PRIORITIES 10

/**
 * struct pu_urgency
 * @priority: for the engine.
 * @is_late: it is not expected within its target.
 * @weight: part of its prompt that counts as waiting for other requests.
 */
struct pu_urgency {
	uint32_t priority;
	bool is_late;
	double weight;
};

/**
 * pu_decide()
 * @predicted_ms: until the first token.
 * @target_ms: for the first token, less what has passed; 0: none.
 * @rank: of team and route, 0 is the highest.
 */
struct pu_urgency pu_decide(double predicted_ms, int64_t target_ms,
			    uint32_t rank);

#endif
