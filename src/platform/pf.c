/*
 * Dispatch to the plug-in. Calls that have to wait for the budget are copied,
 * since the caller's memory is theirs only until the call returns.
 */
#include "platform/pf.h"

#include <glib.h>
#include <string.h>

#include "kernel/kn_registry.h"
#include "platform/pf_budget.h"

struct pf_txn_job {
	struct pf_job job;
	struct pf_store *store;
	struct pf_txn txn;
	pf_txn_fn fn;
	void *arg;
};

struct pf_range_job {
	struct pf_job job;
	struct pf_store *store;
	struct pf_range range;
	pf_rows_fn fn;
	void *arg;
};

struct pf_object_job {
	struct pf_job job;
	struct pf_store *store;
	char *key;
	void *data;
	uint64_t bytes;
	pf_object_fn got;
	pf_txn_fn put;
	void *arg;
};

enum st_code pf_init(struct pf_store *store, const struct pf_desc *desc)
{
	enum st_code code;

	memset(store, 0, sizeof(*store));
	store->_ops = kn_plugin_find("platform", desc->kind ? desc->kind : "");
	if (!store->_ops)
		return st_fail(ST_NOT_FOUND, "no platform plug-in '%s'",
			       desc->kind ? desc->kind : "");
	code = store->_ops->init(&store->_impl, desc);
	if (code != ST_OK) {
		store->_ops = NULL;
		return code;
	}
	store->_budget = pf_budget_new(
		desc->loop,
		desc->reads_per_s ? desc->reads_per_s : PF_DEFAULT_READS_PER_S,
		desc->writes_per_s ? desc->writes_per_s
				   : PF_DEFAULT_WRITES_PER_S);
	return ST_OK;
}

void pf_finish(struct pf_store *store)
{
	if (!store->_ops)
		return;
	pf_budget_free(store->_budget);
	store->_ops->finish(store->_impl);
	memset(store, 0, sizeof(*store));
}

static int64_t pf_timeout(int64_t timeout_ms)
{
	return timeout_ms ? timeout_ms : PF_DEFAULT_TIMEOUT_MS;
}

static enum st_code pf_txn_send(struct pf_job *job, int64_t left_ms)
{
	struct pf_txn_job *j = (struct pf_txn_job *)job;

	j->txn.timeout_ms = left_ms;
	return j->store->_ops->txn(j->store->_impl, &j->txn, j->fn, j->arg);
}

static void pf_txn_fail(struct pf_job *job, enum st_code code)
{
	struct pf_txn_job *j = (struct pf_txn_job *)job;

	j->fn(j->arg, code, 0);
}

static void pf_txn_free(struct pf_job *job)
{
	struct pf_txn_job *j = (struct pf_txn_job *)job;

	for (uint32_t i = 0; i < j->txn.check_count; i++)
		g_free((char *)j->txn.checks[i].key);
	for (uint32_t i = 0; i < j->txn.put_count; i++) {
		g_free((char *)j->txn.puts[i].key);
		g_free((char *)j->txn.puts[i].value);
	}
	g_free((void *)j->txn.checks);
	g_free((void *)j->txn.puts);
	g_free(j);
}

static void pf_txn_copy(struct pf_txn *to, const struct pf_txn *from)
{
	struct pf_check *checks = g_new0(struct pf_check, from->check_count);
	struct pf_put *puts = g_new0(struct pf_put, from->put_count);

	for (uint32_t i = 0; i < from->check_count; i++) {
		checks[i].key = g_strdup(from->checks[i].key);
		checks[i].revision = from->checks[i].revision;
	}
	for (uint32_t i = 0; i < from->put_count; i++) {
		puts[i].key = g_strdup(from->puts[i].key);
		puts[i].value = g_strdup(from->puts[i].value);
	}
	*to = *from;
	to->checks = checks;
	to->puts = puts;
}

enum st_code pf_txn(struct pf_store *store, const struct pf_txn *txn,
		    pf_txn_fn fn, void *arg)
{
	struct pf_txn_job *j;

	if (txn->check_count > PF_MAX_CHECKS || txn->put_count > PF_MAX_PUTS)
		return st_fail(ST_INVALID,
			       "a transaction has at most %d checks, %d puts",
			       PF_MAX_CHECKS, PF_MAX_PUTS);
	j = g_new0(struct pf_txn_job, 1);
	j->job = (struct pf_job){ .bucket = PF_WRITES,
				  .timeout_ms = pf_timeout(txn->timeout_ms),
				  .send = pf_txn_send,
				  .fail = pf_txn_fail,
				  .free = pf_txn_free };
	j->store = store;
	j->fn = fn;
	j->arg = arg;
	pf_txn_copy(&j->txn, txn);
	return pf_budget_submit(store->_budget, &j->job);
}

static enum st_code pf_range_send(struct pf_job *job, int64_t left_ms)
{
	struct pf_range_job *j = (struct pf_range_job *)job;

	j->range.timeout_ms = left_ms;
	return j->store->_ops->range(j->store->_impl, &j->range, j->fn, j->arg);
}

static void pf_range_fail(struct pf_job *job, enum st_code code)
{
	struct pf_range_job *j = (struct pf_range_job *)job;

	j->fn(j->arg, code, NULL);
}

static void pf_range_free(struct pf_job *job)
{
	struct pf_range_job *j = (struct pf_range_job *)job;

	g_free((char *)j->range.key);
	g_free((char *)j->range.prefix);
	g_free(j);
}

enum st_code pf_range(struct pf_store *store, const struct pf_range *range,
		      pf_rows_fn fn, void *arg)
{
	struct pf_range_job *j;

	if (!range->key == !range->prefix)
		return st_fail(ST_INVALID, "either a key or a prefix is read");
	j = g_new0(struct pf_range_job, 1);
	j->job = (struct pf_job){ .bucket = PF_READS,
				  .timeout_ms = pf_timeout(range->timeout_ms),
				  .send = pf_range_send,
				  .fail = pf_range_fail,
				  .free = pf_range_free };
	j->store = store;
	j->fn = fn;
	j->arg = arg;
	j->range = *range;
	j->range.key = g_strdup(range->key);
	j->range.prefix = g_strdup(range->prefix);
	return pf_budget_submit(store->_budget, &j->job);
}

/* The host list is another service, which the store's budget is not for. */
enum st_code pf_hosts(struct pf_store *store, pf_hosts_fn fn, void *arg)
{
	return store->_ops->hosts(store->_impl, fn, arg);
}

static enum st_code pf_object_send(struct pf_job *job, int64_t left_ms)
{
	struct pf_object_job *j = (struct pf_object_job *)job;
	const struct pf_ops *ops = j->store->_ops;

	if (j->got)
		return ops->object_get(j->store->_impl, j->key, j->got, j->arg);
	return ops->object_put(j->store->_impl, j->key, j->data, j->bytes,
			       j->put, j->arg);
}

static void pf_object_fail(struct pf_job *job, enum st_code code)
{
	struct pf_object_job *j = (struct pf_object_job *)job;

	if (j->got)
		j->got(j->arg, code, NULL, 0);
	else
		j->put(j->arg, code, 0);
}

static void pf_object_free(struct pf_job *job)
{
	struct pf_object_job *j = (struct pf_object_job *)job;

	g_free(j->key);
	g_free(j->data);
	g_free(j);
}

static struct pf_object_job *pf_object_job_new(struct pf_store *store,
					       enum pf_bucket bucket,
					       const char *key, void *arg)
{
	struct pf_object_job *j = g_new0(struct pf_object_job, 1);

	j->job = (struct pf_job){ .bucket = bucket,
				  .timeout_ms = PF_DEFAULT_TIMEOUT_MS,
				  .send = pf_object_send,
				  .fail = pf_object_fail,
				  .free = pf_object_free };
	j->store = store;
	j->key = g_strdup(key);
	j->arg = arg;
	return j;
}

enum st_code pf_object_get(struct pf_store *store, const char *key,
			   pf_object_fn fn, void *arg)
{
	struct pf_object_job *j = pf_object_job_new(store, PF_READS, key, arg);

	j->got = fn;
	return pf_budget_submit(store->_budget, &j->job);
}

enum st_code pf_object_put(struct pf_store *store, const char *key,
			   const void *data, uint64_t bytes, pf_txn_fn fn,
			   void *arg)
{
	struct pf_object_job *j = pf_object_job_new(store, PF_WRITES, key, arg);

	j->put = fn;
	j->data = g_memdup2(data, bytes);
	j->bytes = bytes;
	return pf_budget_submit(store->_budget, &j->job);
}
