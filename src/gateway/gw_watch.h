/*
 * gw_watch - follows one table of the store.
 *
 * Overview
 *	Reads the table whole once. Then the reader of a region waits for
 *changes with one call at a time and tells the other hosts of the region
 *	(gw_relay.c); the others take what it tells. A host that misses a
 *	change, or hears nothing for a while, asks the store itself. After an
 *	outage the feed goes on where it was; if the store's history no longer
 *	reaches back, the table is read again.
 *
 *	fresh_ms is the latest moment of this host's clock at which the rows
 *	known were certainly those of the store. It is worked out from the
 *	store's steady clock, which every answer bears: an old message cannot
 *	pass for a fresh one, however long it was under way or this process
 *	stood still.
 *
 *	A store that is about to drop its history may tell nothing of changes
 *	for a second. So an answer without rows moves the place in the feed only
 *	some seconds later.
 *
 * Use
 *	gw_watch_start(&watch, &(struct gw_watch_desc){ .loop = loop,
 *		.store = &store, .table = "t", .on_rows = rows, .arg = me });
 */
#ifndef GW_WATCH_H
#define GW_WATCH_H

#include <ev.h>

#include "rows/rw.h"

/**
 * struct gw_table_update - what the reader of the region tells of a table.
 * @from: the rows changed after it.
 * @is_partial: not all rows are told.
 * @is_reload: the reader had to read the whole table again, and so must others.
 */
struct gw_table_update {
	uint64_t from;
	bool is_partial;
	bool is_reload;
	struct rw_rows rows;
};

/**
 * struct gw_watch_desc
 * @loop, @store, @table: required.
 * @wait_ms: of a call for changes.
 * @is_reader: this host asks the store for its region.
 * @on_rows: rows of the whole table (@is_whole), or those that changed.
 * @on_read: a call to the store found what changed after @from, or, not for
 *	the first time, the whole table (@is_reload).
 * @on_lost: the store did not answer; called once until it answers again.
 * @on_regained: it answers again; before on_rows.
 * @arg: first argument of all.
 */
struct gw_watch_desc {
	struct ev_loop *loop;
	struct rw_store *store;
	const char *table;
	int64_t wait_ms;
	bool (*is_reader)(void *arg);
	void (*on_rows)(void *arg, const struct rw_rows *rows, bool is_whole);
	void (*on_read)(void *arg, uint64_t from, const struct rw_rows *rows,
			bool is_reload);
	void (*on_lost)(void *arg, const char *reason);
	void (*on_regained)(void *arg, int64_t lost_ms);
	void *arg;
};

/**
 * struct gw_watch - readable:
 * @fresh_ms: 0 before the first answer.
 * @version: of the store that the rows known belong to.
 * @store_ms: of the store's clock at fresh_ms.
 */
struct gw_watch {
	int64_t fresh_ms;
	uint64_t version;
	int64_t store_ms;

	struct gw_watch_desc _desc;
	struct rw_call _call;
	ev_timer _timer;
	int64_t _sent_ms;
	int64_t _lost_ms;
	int64_t _offset_ms;
	int64_t _retry_ms;
	uint64_t _empty_version;
	int64_t _empty_ms;
	bool _has_offset;
	bool _has_table;
	bool _has_had_table;
};

void gw_watch_start(struct gw_watch *watch, const struct gw_watch_desc *desc);
void gw_watch_stop(struct gw_watch *watch);

/** gw_watch_is_lost() - the store did not answer the last call. */
bool gw_watch_is_lost(const struct gw_watch *watch);

/**
 * gw_watch_apply_update() - the reader of the region told of the table.
 * Return: false if rows are missing here and the store does not answer.
 */
bool gw_watch_apply_update(struct gw_watch *watch,
			   const struct gw_table_update *update);

/** gw_watch_apply_table() - another host sent the whole table. */
void gw_watch_apply_table(struct gw_watch *watch, const struct rw_rows *rows);

#endif
