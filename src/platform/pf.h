/*
 * pf - the platform: table service, object store, host list.
 *
 * Overview
 *	A platform plug-in is a struct pf_ops registered under the kind
 *	"platform". "http" speaks the protocols of docs/PROTOCOLS.md;
 *	"embedded" keeps the tables in memory, for one host alone.
 *
 *	A store belongs to one task; its calls return at once and call back
 *	from the loop, exactly once, never from within the call. The codes
 *	tell what happened at the platform:
 *
 *	ST_OK		took effect
 *	ST_CONFLICT	a check failed, nothing took effect
 *	ST_UNAVAILABLE	nothing took effect
 *	ST_UNKNOWN	the answer was lost: it may have taken effect, now or
 *			later; read back before acting
 *
 *	Each store keeps within a budget of reads and writes a second; what is
 *	over it waits in a bounded queue and fails with ST_UNAVAILABLE when its
 *	deadline passes there.
 *
 * Use
 *	struct pf_store store;
 *
 *	pf_init(&store, &(struct pf_desc){ .loop = loop, .kind = "http",
 *		.tables_url = "http://127.0.0.1:2379", ... });
 *	pf_range(&store, &(struct pf_range){ .prefix = "team/" }, got, me);
 *	pf_finish(&store);
 */
#ifndef PF_H
#define PF_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define PF_DEFAULT_TIMEOUT_MS	2000
#define PF_DEFAULT_READS_PER_S	20
#define PF_DEFAULT_WRITES_PER_S 20
#define PF_MAX_QUEUED		4096
#define PF_MAX_CHECKS		64
#define PF_MAX_PUTS		128

struct pf_store;

/**
 * struct pf_row - a row as read.
 * @revision: of the store when the row last changed.
 * @created: of the store when the row was inserted.
 */
struct pf_row {
	const char *key;
	const char *value;
	uint64_t revision;
	uint64_t created;
};

/** struct pf_rows - rows sorted by key, valid during the call back. */
struct pf_rows {
	const struct pf_row *rows;
	uint32_t count;
	uint64_t store_revision;
};

/**
 * struct pf_check - condition of a transaction.
 * @revision: the row's revision must equal it; 0: the row must be absent.
 */
struct pf_check {
	const char *key;
	uint64_t revision;
};

/** struct pf_put - a row to write; a @value of NULL deletes it. */
struct pf_put {
	const char *key;
	const char *value;
};

/**
 * struct pf_txn - all checks hold and all puts take effect, or none does.
 * @timeout_ms: 0 means PF_DEFAULT_TIMEOUT_MS.
 */
struct pf_txn {
	const struct pf_check *checks;
	uint32_t check_count;
	const struct pf_put *puts;
	uint32_t put_count;
	int64_t timeout_ms;
};

/**
 * struct pf_range - what to read.
 * @key: one row; or
 * @prefix: all rows whose key starts so.
 * @min_revision: only rows changed at it or later; 0 means all.
 * @limit: 0 means no limit.
 */
struct pf_range {
	const char *key;
	const char *prefix;
	uint64_t min_revision;
	uint32_t limit;
	int64_t timeout_ms;
};

/** enum pf_host_kind - what runs at an entry of the host list. */
enum pf_host_kind { PF_HOST_ENTRY = 0, PF_HOST_ENGINE, PF_HOST_SERVICE };

/** struct pf_host - an entry of the host list; ports that do not apply: 0. */
struct pf_host {
	char name[64];
	char service[64];
	char zone[64];
	char region[64];
	uint32_t kind;
	uint32_t ipv4;
	uint16_t port;
	uint16_t entry_http_port;
	uint16_t entry_rpc_port;
	uint16_t index_rpc_port;
	uint16_t control_rpc_port;
	bool is_leaving;
};

typedef void (*pf_txn_fn)(void *arg, enum st_code code, uint64_t revision);
typedef void (*pf_rows_fn)(void *arg, enum st_code code,
			   const struct pf_rows *rows);
typedef void (*pf_hosts_fn)(void *arg, enum st_code code,
			    const struct pf_host *hosts, uint32_t count);
typedef void (*pf_object_fn)(void *arg, enum st_code code, const void *data,
			     uint64_t bytes);

/**
 * struct pf_desc - zero means default.
 * @loop: required.
 * @kind: name of the plug-in, required.
 * @tables_url: base of the table service, without a closing slash.
 * @objects_url: base of the object store with the bucket.
 * @hosts_url: of the host list.
 * @reads_per_s: budget of this store.
 * @writes_per_s: budget of this store.
 */
struct pf_desc {
	struct ev_loop *loop;
	const char *kind;
	const char *tables_url;
	const char *objects_url;
	const char *hosts_url;
	uint32_t reads_per_s;
	uint32_t writes_per_s;
};

/** struct pf_ops - a plug-in. @impl is what init made. */
struct pf_ops {
	enum st_code (*init)(void **impl, const struct pf_desc *desc);
	void (*finish)(void *impl);
	enum st_code (*txn)(void *impl, const struct pf_txn *txn, pf_txn_fn fn,
			    void *arg);
	enum st_code (*range)(void *impl, const struct pf_range *range,
			      pf_rows_fn fn, void *arg);
	enum st_code (*hosts)(void *impl, pf_hosts_fn fn, void *arg);
	enum st_code (*object_get)(void *impl, const char *key, pf_object_fn fn,
				   void *arg);
	enum st_code (*object_put)(void *impl, const char *key,
				   const void *data, uint64_t bytes,
				   pf_txn_fn fn, void *arg);
};

/** struct pf_store - a store of one task. */
struct pf_store {
	const struct pf_ops *_ops;
	void *_impl;
	struct _pf_budget *_budget;
};

enum st_code pf_init(struct pf_store *store, const struct pf_desc *desc);

/** pf_finish() - outstanding calls are not called back. */
void pf_finish(struct pf_store *store);

/**
 * pf_txn() - a transaction.
 *
 * Return: ST_FULL or ST_INVALID if it was not started (@fn is not called).
 */
enum st_code pf_txn(struct pf_store *store, const struct pf_txn *txn,
		    pf_txn_fn fn, void *arg);
enum st_code pf_range(struct pf_store *store, const struct pf_range *range,
		      pf_rows_fn fn, void *arg);
enum st_code pf_hosts(struct pf_store *store, pf_hosts_fn fn, void *arg);

/** pf_object_get() - ST_NOT_FOUND if there is no such object. */
enum st_code pf_object_get(struct pf_store *store, const char *key,
			   pf_object_fn fn, void *arg);
enum st_code pf_object_put(struct pf_store *store, const char *key,
			   const void *data, uint64_t bytes, pf_txn_fn fn,
			   void *arg);

#endif
