/*
 * cr_wire - configuration and host list between memory and the schema.
 *
 * Overview
 *	Private to the module cr. What goes out borrows the texts of the
 *	configuration and the list; only the arrays are allocated.
 */
#ifndef CR_WIRE_H
#define CR_WIRE_H

#include <glib.h>

#include "config/cm.h"
#include "membership/mb_task.h"
#include "rpc/gen/balsampin.h"

/** cr_objects_to_wire() - array of bp_object that borrows the texts. */
GArray *cr_objects_to_wire(const GArray *objects);

/** cr_objects_from_wire() - array of struct cm_object, likewise. */
GArray *cr_objects_from_wire(const bp_object *objects, uint32_t count);

/** cr_listing_to_wire() - array of bp_upstream that borrows the texts. */
GArray *cr_listing_to_wire(struct mb_listing *listing);

/** cr_listing_from_wire() - a listing on the heap, free with g_free(). */
struct mb_listing *cr_listing_from_wire(const bp_upstream *upstreams,
					uint32_t count);

/** cr_listing_copy() - on the heap, free with g_free(). */
struct mb_listing *cr_listing_copy(const struct mb_listing *listing);

/** cr_listing_equal() - the same members in the same order. */
bool cr_listing_equal(const struct mb_listing *a, const struct mb_listing *b);

#endif
