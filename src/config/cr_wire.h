/*
 * cr_wire - conversion of configuration and host list to and from XDR types.
 *
 * Overview
 *	Private to the module cr. Outgoing values borrow the texts of the
 *	configuration and the host list; only the arrays are allocated.
 */
#ifndef CR_WIRE_H
#define CR_WIRE_H

#include <glib.h>

#include "config/cm.h"
#include "membership/mb_task.h"
#include "rpc/gen/balsampin.h"

/**
 * cr_objects_to_wire() - convert to an array of bp_object that borrows the
 * texts.
 */
GArray *cr_objects_to_wire(const GArray *objects);

/**
 * cr_objects_from_wire() - convert to an array of struct cm_object that borrows
 * the texts.
 */
GArray *cr_objects_from_wire(const bp_object *objects, uint32_t count);

/**
 * cr_listing_to_wire() - convert to an array of bp_upstream that borrows the
 * texts; NULL gives an empty array.
 */
GArray *cr_listing_to_wire(struct mb_listing *listing);

/**
 * cr_listing_from_wire() - convert to a listing on the heap; free with
 * g_free().
 *
 * Members of an unknown role are skipped.
 */
struct mb_listing *cr_listing_from_wire(const bp_upstream *upstreams,
					uint32_t count);

/** cr_listing_copy() - copy to the heap; free with g_free(). */
struct mb_listing *cr_listing_copy(const struct mb_listing *listing);

/**
 * cr_listing_equal() - whether both hold the same members in the same order,
 * compared by what the wire carries.
 */
bool cr_listing_equal(const struct mb_listing *a, const struct mb_listing *b);

#endif
