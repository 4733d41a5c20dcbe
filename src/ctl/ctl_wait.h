/*
 * ctl_wait - which processes have a revision in force.
 */
#ifndef CTL_WAIT_H
#define CTL_WAIT_H

#include <stdint.h>
#include <stdio.h>

/**
 * struct ctl_spread - summary of an answer to VERSIONS.
 * @in_force: processes that have the revision or a higher one.
 * @behind: processes that are reached and have a lower one.
 * @not_reached: processes of which nothing is heard.
 */
struct ctl_spread {
	uint32_t in_force;
	uint32_t behind;
	uint32_t not_reached;
};

/** ctl_spread_read() - summary of the JSON text of VERSIONS. */
struct ctl_spread ctl_spread_read(const char *text, uint64_t revision);

/** ctl_spread_print() - one line for each process. */
void ctl_spread_print(const char *text, uint64_t revision, FILE *out);

#endif
