/*
 * rw_mirror - in-memory copy of the rows of one table, as last read.
 *
 * Use
 *	rw_mirror_init(&mirror);
 *	rw_mirror_apply(&mirror, rows, is_full);
 *	rw_mirror_list(&mirror, list);	// GArray of struct rw_row
 *	rw_mirror_finish(&mirror);
 */
#ifndef RW_MIRROR_H
#define RW_MIRROR_H

#include <glib.h>

#include "rows/rw.h"

/** struct rw_mirror - allocated by the caller; fields are private. */
struct rw_mirror {
	GHashTable *_rows;
};

void rw_mirror_init(struct rw_mirror *mirror);
void rw_mirror_finish(struct rw_mirror *mirror);

/** rw_mirror_apply() - replace all rows if @is_full, else merge changes. */
void rw_mirror_apply(struct rw_mirror *mirror, const struct rw_rows *rows,
		     bool is_full);

/**
 * rw_mirror_list() - append every row to @list.
 *
 * Their keys and values are valid until the next rw_mirror_apply().
 */
void rw_mirror_list(const struct rw_mirror *mirror, GArray *list);

#endif
