/*
 * rw - interface to a store of rows in tables, with transactions and a change
 * feed.
 *
 * Overview
 *	A plug-in of the kind "rows" implements the protocol of one store. Its
 *	calls return at once; the callback runs exactly once from the event
 *	loop, unless the call is cancelled. Status codes of a callback:
 *
 *	ST_OK		the read or write succeeded
 *	ST_CONFLICT	a version check failed; nothing was written
 *	ST_UNAVAILABLE	nothing was written
 *	ST_UNKNOWN	no answer: a write may have succeeded, or may yet
 *	ST_STALE	the feed's history no longer includes the requested
 *			version: read the whole table again
 *
 *	A store that has returned from an older copy of its rows states a
 *	higher era. Versions are only comparable within one era. A result (ST_OK
 *	or ST_CONFLICT) of an earlier era than one already seen is dropped: the
 *	read has failed, and the outcome of the write is unknown.
 *
 * Use
 *	rw_init(&store, &(struct rw_desc){ .loop = loop, .kind = "fleet",
 *		.address = "10.0.0.1:9000" });
 *	rw_feed(&store, &(struct rw_query){ .table = "t", .after = version,
 *		.wait_ms = 1000, .timeout_ms = 2000 }, on_changes, self, &call);
 */
#ifndef RW_H
#define RW_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

/**
 * struct rw_row - a row that was read.
 * @value: decoded, NUL-terminated; NULL if it can't be decoded.
 * @version: of the store when the row last changed; 0: the row does not exist.
 * @is_deleted: in a feed: the row was deleted.
 */
struct rw_row {
	const char *key;
	const char *value;
	uint64_t value_bytes;
	uint64_t version;
	bool is_deleted;
};

/** rw_row_clear() - free the key and value of a row that owns them. */
void rw_row_clear(struct rw_row *row);

/**
 * struct rw_rows - result of a read; valid during the callback.
 * @version: current version of the store.
 * @store_ms: the store's monotonic clock at the time of its answer.
 */
struct rw_rows {
	const struct rw_row *rows;
	uint32_t count;
	uint64_t version;
	int64_t store_ms;
};

/**
 * struct rw_query - a read of a table or its feed.
 * @after: feed only: version after which changes are returned.
 * @wait_ms: feed only: how long the store waits for a change.
 * @timeout_ms: limit on the whole call.
 * @reason: why the caller reads, a constant for the metrics; required.
 */
struct rw_query {
	const char *table;
	uint64_t after;
	int64_t wait_ms;
	int64_t timeout_ms;
	const char *reason;
};

/**
 * struct rw_write - a conditional write of one row.
 * @version: the row must still have this version; 0: it must not exist.
 * @reason: see struct rw_query.
 */
struct rw_write {
	const char *table;
	const char *key;
	const char *value;
	uint64_t version;
	int64_t timeout_ms;
	const char *reason;
};

typedef void (*rw_rows_fn)(void *arg, enum st_code code,
			   const struct rw_rows *rows);
typedef void (*rw_write_fn)(void *arg, enum st_code code, uint64_t version);

/** struct rw_call - handle of a pending call; _call is NULL without one. */
struct rw_call {
	void *_call;
};

/**
 * struct rw_desc - configuration of a store.
 * @loop: required.
 * @kind: name of the plug-in.
 * @address: "IP:PORT" of the store.
 */
struct rw_desc {
	struct ev_loop *loop;
	const char *kind;
	const char *address;
};

/**
 * struct rw_ops - plug-in operations; init sets @impl.
 * @era: see rw_era(); NULL for a store that never loses writes.
 */
struct rw_ops {
	enum st_code (*init)(void **impl, const struct rw_desc *desc);
	void (*finish)(void *impl);
	void (*get)(void *impl, const struct rw_query *query, rw_rows_fn fn,
		    void *arg, struct rw_call *call);
	void (*feed)(void *impl, const struct rw_query *query, rw_rows_fn fn,
		     void *arg, struct rw_call *call);
	void (*write)(void *impl, const struct rw_write *write, rw_write_fn fn,
		      void *arg, struct rw_call *call);
	void (*cancel)(void *impl, struct rw_call *call);
	uint64_t (*era)(const void *impl);
};

struct rw_store {
	const struct rw_ops *_ops;
	void *_impl;
};

enum st_code rw_init(struct rw_store *store, const struct rw_desc *desc);
void rw_finish(struct rw_store *store);

/** rw_get() - read all rows of a table. */
void rw_get(struct rw_store *store, const struct rw_query *query, rw_rows_fn fn,
	    void *arg, struct rw_call *call);
/** rw_feed() - read the changed rows in order; none after wait_ms. */
void rw_feed(struct rw_store *store, const struct rw_query *query,
	     rw_rows_fn fn, void *arg, struct rw_call *call);
void rw_write(struct rw_store *store, const struct rw_write *write,
	      rw_write_fn fn, void *arg, struct rw_call *call);
void rw_cancel(struct rw_store *store, struct rw_call *call);

/**
 * rw_era() - number of times that the store has returned from an older copy of
 * its rows, as far as its answers have told; 0 if it does not say.
 *
 * In a callback it includes the answer that is being handled.
 */
uint64_t rw_era(const struct rw_store *store);

#endif
