/*
 * gw_watch - follows one table of the store.
 *
 * Overview
 *	Each host reads the whole table once. Then the reader of a region waits
 *	for changes with one call at a time and relays them to the other hosts
 *	of the region (gw_relay.c), which apply them. A host that misses a
 *	change, or receives nothing for a while, calls the store itself. After
 *	an outage the feed resumes at the last version; if the store's history
 *	no longer reaches back, the whole table is read again.
 *
 *	A store that returns from an older copy gives versions out again, so
 *	they are compared within one era only (rw_era()). With its next answer
 *	or relayed rows after another era is known, the watch reads the whole
 *	table anew. Rows that other hosts send do not tell their era.
 *
 *	fresh_ms is the last time, on this host's clock, at which the known rows
 *	were certainly those of the store. It is computed from the store's
 *	monotonic clock, which each answer carries: a delayed message cannot
 *	pass for a fresh one, even if it was in transit for long or this process
 *	was paused.
 *
 *	A store that is about to drop its history may omit changes for a second.
 *	An answer without rows therefore advances the version in the feed only
 *	some seconds later. Hosts that read the whole table in between know a
 *	higher version than the reader, and are current if the store's version
 *	was not below theirs.
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
 * struct gw_table_update - update of a table from the reader of the region.
 * @from: version after which the rows changed.
 * @newest: version of the store at the call, not below that of the rows.
 * @is_partial: some changed rows are left out.
 * @is_reload: the reader had to read the whole table again, and the receiver
 *	must do so too.
 */
struct gw_table_update {
	uint64_t from;
	uint64_t newest;
	bool is_partial;
	bool is_reload;
	struct rw_rows rows;
};

/**
 * struct gw_watch_desc
 * @loop, @store, @table: required.
 * @wait_ms: how long the store may hold a call for changes.
 * @is_reader: returns whether this host polls the store for its region.
 * @retry_max_ms: returns the longest pause between two calls to a store that
 *	does not answer.
 * @on_rows: receives all rows of the table (@is_whole) or the changed ones.
 * @on_read: a call to the store returned rows that changed or, except for the
 *	first read, the whole table.
 * @on_lost: the store did not answer; called once until it answers again.
 * @on_regained: the store answers again; called before on_rows.
 * @arg: first argument of all callbacks.
 */
struct gw_watch_desc {
	struct ev_loop *loop;
	struct rw_store *store;
	const char *table;
	int64_t wait_ms;
	bool (*is_reader)(void *arg);
	int64_t (*retry_max_ms)(void *arg);
	void (*on_rows)(void *arg, const struct rw_rows *rows, bool is_whole);
	void (*on_read)(void *arg, const struct gw_table_update *update);
	void (*on_lost)(void *arg, const char *reason);
	void (*on_regained)(void *arg, int64_t lost_ms);
	void *arg;
};

/**
 * struct gw_watch - public members:
 * @fresh_ms: see above; 0 before the first answer.
 * @version: store version of the known rows.
 * @store_ms: time of the store's clock at fresh_ms.
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
	uint64_t _era;
	uint64_t _empty_version;
	int64_t _empty_ms;
	bool _has_offset;
	bool _has_table;
	bool _has_had_table;
	bool _is_restarted;
};

void gw_watch_start(struct gw_watch *watch, const struct gw_watch_desc *desc);
void gw_watch_stop(struct gw_watch *watch);

/** gw_watch_is_lost() - whether the store left the last call unanswered. */
bool gw_watch_is_lost(const struct gw_watch *watch);

/**
 * gw_watch_apply_update() - apply an update from the reader of the region.
 * Return: false if rows are missing here and the store does not answer.
 */
bool gw_watch_apply_update(struct gw_watch *watch,
			   const struct gw_table_update *update);

/** gw_watch_apply_table() - apply a whole table sent by another host. */
void gw_watch_apply_table(struct gw_watch *watch, const struct rw_rows *rows);

#endif
