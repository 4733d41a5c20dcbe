/*
 * rw_mirror - the rows of one table, as last read.
 *
 * Use
 *	rw_mirror_init(&mirror);
 *	rw_mirror_apply(&mirror, rows, is_whole);
 *	rw_mirror_list(&mirror, list);	// GArray of struct rw_row
 *	rw_mirror_finish(&mirror);
 */
#ifndef RW_MIRROR_H
#define RW_MIRROR_H

#include <glib.h>

#include "rows/rw.h"

/** struct rw_mirror - memory of the caller. */
struct rw_mirror {
	GHashTable *_rows;
};

void rw_mirror_init(struct rw_mirror *mirror);
void rw_mirror_finish(struct rw_mirror *mirror);

/** rw_mirror_apply() - rows of the whole table, or those that changed. */
void rw_mirror_apply(struct rw_mirror *mirror, const struct rw_rows *rows,
		     bool is_whole);

/** rw_mirror_list() - append every row to @list; valid until the next take. */
void rw_mirror_list(const struct rw_mirror *mirror, GArray *list);

#endif
