#include "rows/rw.h"

#include <glib.h>

#include "kernel/kn_registry.h"
#include "kernel/mt_family.h"

MT_COUNTERS(rw_calls, "balsampin_store_calls_total",
	    "calls to the row store by the reason for them", "reason")

void rw_row_clear(struct rw_row *row)
{
	g_free((char *)row->key);
	g_free((char *)row->value);
}

enum st_code rw_init(struct rw_store *store, const struct rw_desc *desc)
{
	store->_ops = kn_plugin_find("rows", desc->kind);
	if (!store->_ops)
		return st_fail(ST_INVALID, "no plug-in for row store kind '%s'",
			       desc->kind);
	return store->_ops->init(&store->_impl, desc);
}

void rw_finish(struct rw_store *store)
{
	if (store->_ops && store->_impl)
		store->_ops->finish(store->_impl);
	store->_impl = NULL;
}

void rw_get(struct rw_store *store, const struct rw_query *query, rw_rows_fn fn,
	    void *arg, struct rw_call *call)
{
	mt_count(&rw_calls, query->reason);
	store->_ops->get(store->_impl, query, fn, arg, call);
}

void rw_feed(struct rw_store *store, const struct rw_query *query,
	     rw_rows_fn fn, void *arg, struct rw_call *call)
{
	mt_count(&rw_calls, query->reason);
	store->_ops->feed(store->_impl, query, fn, arg, call);
}

void rw_write(struct rw_store *store, const struct rw_write *write,
	      rw_write_fn fn, void *arg, struct rw_call *call)
{
	mt_count(&rw_calls, write->reason);
	store->_ops->write(store->_impl, write, fn, arg, call);
}

uint64_t rw_era(const struct rw_store *store)
{
	return store->_ops && store->_ops->era ? store->_ops->era(store->_impl)
					       : 0;
}

void rw_cancel(struct rw_store *store, struct rw_call *call)
{
	if (call->_call)
		store->_ops->cancel(store->_impl, call);
	call->_call = NULL;
}
