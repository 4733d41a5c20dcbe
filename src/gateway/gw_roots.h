/*
 * gw_roots - which roots of prompts this host has seen read.
 *
 * Overview
 *	A root is read once the first event of a stream that has it came from
 *	an engine with the same weights. The table forgets all roots of other
 *	weights, as no engine keeps them.
 *
 * Use
 *	gw_roots_add(&roots, weights, root);
 *	if (gw_roots_has(&roots, weights, root)) ...
 */
#ifndef GW_ROOTS_H
#define GW_ROOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gw_roots {
	GHashTable *_roots;
	uint64_t _weights;
};

void gw_roots_init(struct gw_roots *roots);
void gw_roots_finish(struct gw_roots *roots);
void gw_roots_add(struct gw_roots *roots, uint64_t weights, uint64_t root);
bool gw_roots_has(const struct gw_roots *roots, uint64_t weights,
		  uint64_t root);

#endif
