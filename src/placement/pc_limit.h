/*
 * pc_limit - which engines a placement considers if there are too many.
 *
 * Load pattern
 *	A placement compares up to 1,024 engines. With 3,001 engines it saw
 *	those that came first in the table: far ones for some hosts, and the
 *	same ones, loaded or not, for all requests.
 *
 * Overview
 *	The nearest engines are kept, of these the least loaded ones.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	pc_limit(keys, count, max, is_kept);
 */
#ifndef PC_LIMIT_H
#define PC_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "placement/pc.h"

/** struct pc_limit_key - @running: requests of all hosts. */
struct pc_limit_key {
	enum pc_distance distance;
	uint32_t running;
};

/**
 * pc_limit() - choose @max of @count engines.
 * @first: where to begin among equal ones; chosen at random, so that hosts do
 *	not all choose the same.
 */
void pc_limit(const struct pc_limit_key *keys, uint32_t count, uint32_t max,
	      uint32_t first, bool *is_kept);

#endif
