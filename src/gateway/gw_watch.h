/*
 * gw_watch - follows one table of the store.
 *
 * Overview
 *	Reads the table whole once, then waits for changes with one call at
 *	a time. After an outage it goes on where it was; if the store's history
 *	no longer reaches back, it reads the table again.
 *
 *	on_rows gets what was read. fresh_ms is the latest time at which the
 *	rows known were those of the store: the start of the call, or for
 *	a call that found nothing, the end of its wait.
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
 * struct gw_watch_desc
 * @loop, @store, @table: required.
 * @wait_ms: of a call for changes.
 * @pause_ms: after a call that found some, so that one call tells of many.
 * @on_rows: rows of the whole table (@is_whole), or those that changed.
 * @on_lost: the store did not answer; called once until it answers again.
 * @on_regained: it answers again; before on_rows.
 * @arg: first argument of the three.
 */
struct gw_watch_desc {
	struct ev_loop *loop;
	struct rw_store *store;
	const char *table;
	int64_t wait_ms;
	int64_t pause_ms;
	void (*on_rows)(void *arg, const struct rw_rows *rows, bool is_whole);
	void (*on_lost)(void *arg, const char *reason);
	void (*on_regained)(void *arg, int64_t lost_ms);
	void *arg;
};

/** struct gw_watch - readable: @fresh_ms, 0 before the first answer. */
struct gw_watch {
	int64_t fresh_ms;

	struct gw_watch_desc _desc;
	struct rw_call _call;
	ev_timer _timer;
	uint64_t _version;
	int64_t _sent_ms;
	int64_t _lost_ms;
	bool _has_table;
};

void gw_watch_start(struct gw_watch *watch, const struct gw_watch_desc *desc);
void gw_watch_stop(struct gw_watch *watch);

#endif
