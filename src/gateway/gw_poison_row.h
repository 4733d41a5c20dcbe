/*
 * gw_poison_row - the row of the gateway's own table that holds crash records.
 *
 * Overview
 *	src/limits/ps_row.h has the contents of the row, src/limits/ps_turn.h
 *	decides which host writes it and when. The row is read with the other
 *	rows of the table, at the start of a host and every few seconds, and
 *	after each write. Nothing is written while no engine crashes.
 *
 * Use
 *	gw_poison_row_init(&row, g, &table);
 *	gw_poison_row_apply(&row, rows);
 *	gw_poison_row_changed(&row);
 *	gw_poison_row_finish(&row);
 */
#ifndef GW_POISON_ROW_H
#define GW_POISON_ROW_H

#include "gateway/gw.h"
#include "limits/ps.h"
#include "limits/ps_turn.h"

/*
 * @has_read: the row has been read since it was last written.
 * @is_changed: a crash was recorded or cleared since the last check.
 * @text: content of the row when last read; NULL if there is none.
 * @store_ahead_ms: difference between the clocks of the store and of this host.
 */
struct gw_poison_row {
	struct gw_gateway *gateway;
	struct ps_table *table;
	ev_timer timer;
	struct rw_call write;
	struct ps_turn turn;
	bool is_writing;
	bool has_read;
	bool is_changed;
	char *text;
	int64_t store_ahead_ms;
	int64_t next_check_ms;
};

void gw_poison_row_init(struct gw_poison_row *row, struct gw_gateway *g,
			struct ps_table *table);
void gw_poison_row_finish(struct gw_poison_row *row);

/** gw_poison_row_apply() - record what a read of the table has found. */
void gw_poison_row_apply(struct gw_poison_row *row, const struct rw_rows *rows);

/** gw_poison_row_changed() - have the row checked soon. */
void gw_poison_row_changed(struct gw_poison_row *row);

#endif
