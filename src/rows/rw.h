/*
 * rw - a store of rows in tables, with transactions and a feed of changes.
 *
 * Overview
 *	A plug-in of the kind "rows" speaks the protocol of one such store. Its
 *	calls return at once; the function given is called exactly once from
 *	the loop, unless the call is cancelled. The codes:
 *
 *	ST_OK		took effect, or what was read
 *	ST_CONFLICT	a check failed, nothing took effect
 *	ST_UNAVAILABLE	nothing took effect
 *	ST_UNKNOWN	no answer: a write may have taken effect, or may yet
 *	ST_STALE	the feed's history no longer reaches back so far: read
 *			the table again
 *
 * Use
 *	rw_init(&store, &(struct rw_desc){ .loop = loop, .kind = "fleet",
 *		.address = "10.0.0.1:9000" });
 *	rw_feed(&store, &(struct rw_query){ .table = "t", .after = version,
 *		.wait_ms = 1000, .timeout_ms = 2000 }, changed, me, &call);
 */
#ifndef RW_H
#define RW_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

/**
 * struct rw_row - a row as read.
 * @value: decoded, NUL-terminated; NULL if it can't be decoded.
 * @version: of the store when the row last changed; 0: there is no row.
 * @is_deleted: of a feed: the row is gone.
 */
struct rw_row {
	const char *key;
	const char *value;
	uint64_t value_bytes;
	uint64_t version;
	bool is_deleted;
};

/** rw_row_clear() - free key and value of a row that owns them. */
void rw_row_clear(struct rw_row *row);

/**
 * struct rw_rows - valid during the call back.
 * @version: the newest of the store.
 * @store_ms: of the store's steady clock, when it answered.
 */
struct rw_rows {
	const struct rw_row *rows;
	uint32_t count;
	uint64_t version;
	int64_t store_ms;
};

/**
 * struct rw_query - what to read.
 * @after: of a feed: only what changed after that version.
 * @wait_ms: of a feed: how long the store waits for a change.
 * @timeout_ms: of the whole call.
 */
struct rw_query {
	const char *table;
	uint64_t after;
	int64_t wait_ms;
	int64_t timeout_ms;
};

/**
 * struct rw_write - one row, written if it still has @version.
 * @version: 0: the row must not exist.
 */
struct rw_write {
	const char *table;
	const char *key;
	const char *value;
	uint64_t version;
	int64_t timeout_ms;
};

typedef void (*rw_rows_fn)(void *arg, enum st_code code,
			   const struct rw_rows *rows);
typedef void (*rw_write_fn)(void *arg, enum st_code code, uint64_t version);

/** struct rw_call - of a call under way; NULL inside if there is none. */
struct rw_call {
	void *_call;
};

/**
 * struct rw_desc
 * @loop: required.
 * @kind: name of the plug-in.
 * @address: "IP:PORT" of the store.
 */
struct rw_desc {
	struct ev_loop *loop;
	const char *kind;
	const char *address;
};

/** struct rw_ops - a plug-in; @impl is what init made. */
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
};

struct rw_store {
	const struct rw_ops *_ops;
	void *_impl;
};

enum st_code rw_init(struct rw_store *store, const struct rw_desc *desc);
void rw_finish(struct rw_store *store);

/** rw_get() - all rows of a table. */
void rw_get(struct rw_store *store, const struct rw_query *query, rw_rows_fn fn,
	    void *arg, struct rw_call *call);
/** rw_feed() - the rows that changed, in order; none after wait_ms. */
void rw_feed(struct rw_store *store, const struct rw_query *query,
	     rw_rows_fn fn, void *arg, struct rw_call *call);
void rw_write(struct rw_store *store, const struct rw_write *write,
	      rw_write_fn fn, void *arg, struct rw_call *call);
void rw_cancel(struct rw_store *store, struct rw_call *call);

#endif
