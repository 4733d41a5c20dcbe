/*
 * The platform in the memory of the process, for one host alone and for
 * tests. All stores of the process share one set of tables, as they would
 * share the platform; the tables go with the last store. There is no host
 * list: the answer is ST_UNAVAILABLE.
 */
#include <glib.h>
#include <string.h>

#include "kernel/kn_registry.h"
#include "platform/pf.h"

struct pf_tables {
	uint32_t users;
	uint64_t revision;
	GTree *rows;
	GHashTable *objects;
};

/* Outlives each store, since the stores of several tasks share it. */
static struct pf_tables pf_tables;

struct pf_embedded_row {
	char *value;
	uint64_t revision;
	uint64_t created;
};

/*
 * struct pf_answer - an answer that the loop delivers later.
 * @rows: of a range, owned.
 */
struct pf_answer {
	enum st_code code;
	uint64_t revision;
	GArray *rows;
	GBytes *data;
	pf_txn_fn txn_fn;
	pf_rows_fn rows_fn;
	pf_hosts_fn hosts_fn;
	pf_object_fn object_fn;
	void *arg;
};

struct pf_embedded {
	struct ev_loop *loop;
	ev_timer deliver;
	GQueue answers;
};

static void pf_embedded_row_free(void *p)
{
	struct pf_embedded_row *row = p;

	g_free(row->value);
	g_free(row);
}

static void pf_row_clear(void *p)
{
	struct pf_row *row = p;

	g_free((char *)row->key);
	g_free((char *)row->value);
}

static int pf_compare_keys(const void *a, const void *b, void *unused)
{
	return strcmp(a, b);
}

static void pf_answer_free(struct pf_answer *answer)
{
	if (answer->rows)
		g_array_unref(answer->rows);
	if (answer->data)
		g_bytes_unref(answer->data);
	g_free(answer);
}

static void pf_answer_call(struct pf_answer *a)
{
	struct pf_rows rows = { .store_revision = a->revision };
	gsize bytes = 0;
	const void *data = a->data ? g_bytes_get_data(a->data, &bytes) : NULL;

	if (a->rows) {
		rows.rows = (const struct pf_row *)a->rows->data;
		rows.count = a->rows->len;
	}
	if (a->txn_fn)
		a->txn_fn(a->arg, a->code, a->revision);
	else if (a->rows_fn)
		a->rows_fn(a->arg, a->code, &rows);
	else if (a->hosts_fn)
		a->hosts_fn(a->arg, a->code, NULL, 0);
	else
		a->object_fn(a->arg, a->code, data, bytes);
}

/* A call back may finish the store, so one answer is delivered at a time. */
static void pf_on_deliver(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct pf_embedded *e = timer->data;
	struct pf_answer *answer = g_queue_pop_head(&e->answers);

	if (!g_queue_is_empty(&e->answers)) {
		ev_timer_set(timer, 0, 0);
		ev_timer_start(loop, timer);
	}
	pf_answer_call(answer);
	pf_answer_free(answer);
}

static enum st_code pf_answer_later(struct pf_embedded *e,
				    const struct pf_answer *answer)
{
	g_queue_push_tail(&e->answers, g_memdup2(answer, sizeof(*answer)));
	if (!ev_is_active(&e->deliver)) {
		ev_timer_set(&e->deliver, 0, 0);
		ev_timer_start(e->loop, &e->deliver);
	}
	return ST_OK;
}

static enum st_code pf_embedded_init(void **impl, const struct pf_desc *desc)
{
	struct pf_embedded *e = g_new0(struct pf_embedded, 1);

	if (!pf_tables.users++) {
		pf_tables.revision = 1;
		pf_tables.rows = g_tree_new_full(pf_compare_keys, NULL, g_free,
						 pf_embedded_row_free);
		pf_tables.objects =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_bytes_unref);
	}
	e->loop = desc->loop;
	ev_timer_init(&e->deliver, pf_on_deliver, 0, 0);
	e->deliver.data = e;
	g_queue_init(&e->answers);
	*impl = e;
	return ST_OK;
}

static void pf_embedded_finish(void *impl)
{
	struct pf_embedded *e = impl;
	struct pf_answer *answer;

	ev_timer_stop(e->loop, &e->deliver);
	while ((answer = g_queue_pop_head(&e->answers)))
		pf_answer_free(answer);
	g_free(e);
	if (--pf_tables.users)
		return;
	g_tree_destroy(pf_tables.rows);
	g_hash_table_destroy(pf_tables.objects);
	memset(&pf_tables, 0, sizeof(pf_tables));
}

static bool pf_checks_hold(const struct pf_txn *txn)
{
	for (uint32_t i = 0; i < txn->check_count; i++) {
		const struct pf_embedded_row *row =
			g_tree_lookup(pf_tables.rows, txn->checks[i].key);

		if ((row ? row->revision : 0) != txn->checks[i].revision)
			return false;
	}
	return true;
}

static void pf_put_row(const struct pf_put *put)
{
	struct pf_embedded_row *old = g_tree_lookup(pf_tables.rows, put->key);
	struct pf_embedded_row *row;

	if (!put->value) {
		g_tree_remove(pf_tables.rows, put->key);
		return;
	}
	row = g_new0(struct pf_embedded_row, 1);
	row->value = g_strdup(put->value);
	row->revision = pf_tables.revision;
	row->created = old ? old->created : pf_tables.revision;
	g_tree_replace(pf_tables.rows, g_strdup(put->key), row);
}

static enum st_code pf_embedded_txn(void *impl, const struct pf_txn *txn,
				    pf_txn_fn fn, void *arg)
{
	struct pf_answer answer = { .txn_fn = fn, .arg = arg };

	if (pf_checks_hold(txn)) {
		pf_tables.revision += txn->put_count > 0;
		for (uint32_t i = 0; i < txn->put_count; i++)
			pf_put_row(&txn->puts[i]);
	} else {
		answer.code = ST_CONFLICT;
	}
	answer.revision = pf_tables.revision;
	return pf_answer_later(impl, &answer);
}

struct pf_collect {
	const struct pf_range *range;
	GArray *out;
};

static gboolean pf_collect_row(void *key, void *value, void *data)
{
	struct pf_collect *collect = data;
	const struct pf_range *range = collect->range;
	const struct pf_embedded_row *row = value;
	struct pf_row copy;

	if (range->key ? strcmp(key, range->key) != 0
		       : !g_str_has_prefix(key, range->prefix))
		return FALSE;
	if (row->revision < range->min_revision)
		return FALSE;
	copy = (struct pf_row){ .key = g_strdup(key),
				.value = g_strdup(row->value),
				.revision = row->revision,
				.created = row->created };
	g_array_append_val(collect->out, copy);
	return range->limit && collect->out->len == range->limit;
}

static enum st_code pf_embedded_range(void *impl, const struct pf_range *range,
				      pf_rows_fn fn, void *arg)
{
	GArray *rows = g_array_new(false, true, sizeof(struct pf_row));

	g_array_set_clear_func(rows, pf_row_clear);
	g_tree_foreach(pf_tables.rows, pf_collect_row,
		       &(struct pf_collect){ .range = range, .out = rows });
	return pf_answer_later(
		impl, &(struct pf_answer){ .rows = rows,
					   .revision = pf_tables.revision,
					   .rows_fn = fn,
					   .arg = arg });
}

static enum st_code pf_embedded_hosts(void *impl, pf_hosts_fn fn, void *arg)
{
	return pf_answer_later(impl,
			       &(struct pf_answer){ .code = ST_UNAVAILABLE,
						    .hosts_fn = fn,
						    .arg = arg });
}

static enum st_code pf_embedded_object_get(void *impl, const char *key,
					   pf_object_fn fn, void *arg)
{
	GBytes *data = g_hash_table_lookup(pf_tables.objects, key);

	return pf_answer_later(
		impl,
		&(struct pf_answer){ .code = data ? ST_OK : ST_NOT_FOUND,
				     .data = data ? g_bytes_ref(data) : NULL,
				     .object_fn = fn,
				     .arg = arg });
}

static enum st_code pf_embedded_object_put(void *impl, const char *key,
					   const void *data, uint64_t bytes,
					   pf_txn_fn fn, void *arg)
{
	g_hash_table_replace(pf_tables.objects, g_strdup(key),
			     g_bytes_new(data, bytes));
	return pf_answer_later(impl,
			       &(struct pf_answer){ .txn_fn = fn, .arg = arg });
}

static const struct pf_ops pf_embedded_ops = {
	.init = pf_embedded_init,
	.finish = pf_embedded_finish,
	.txn = pf_embedded_txn,
	.range = pf_embedded_range,
	.hosts = pf_embedded_hosts,
	.object_get = pf_embedded_object_get,
	.object_put = pf_embedded_object_put,
};
KN_REGISTER("platform", "embedded", pf_embedded_ops)
