#include "control/od_engines.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/mt.h"
#include "kernel/tl.h"

enum { OD_HTTP_OK = 200, OD_HTTP_CONFLICT = 409 };

MT_COUNTER(od_orders_total, "balsampin_orders_sent_total",
	   "orders sent to engines")
MT_COUNTER(od_refused_total, "balsampin_orders_refused_total",
	   "orders refused for an old fencing number")
MT_COUNTER(od_reads_total, "balsampin_engine_status_reads_total",
	   "statuses read back from engines")

static struct od_peer *od_engines_get(struct od_task *od, const char *name)
{
	struct od_peer *peer = g_hash_table_lookup(od->_engines, name);

	if (peer)
		return peer;
	peer = g_new0(struct od_peer, 1);
	peer->od = od;
	g_strlcpy(peer->engine.name, name, sizeof(peer->engine.name));
	g_hash_table_insert(od->_engines, peer->engine.name, peer);
	return peer;
}

/* An engine that left the table is removed once it has no call in flight. */
static gboolean od_engines_is_unlisted(void *key, void *value, void *arg)
{
	struct od_peer *peer = value;

	return !peer->is_listed && !peer->is_reading && !peer->is_sending;
}

void od_engines_update(struct od_task *od)
{
	const struct mb_member *m = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, od->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct od_peer *)value)->is_listed = false;
	while ((m = mb_next(od->_desc.members, MB_ENGINE, NULL, m))) {
		struct od_peer *peer = od_engines_get(od, m->name);

		peer->ipv4 = m->ipv4;
		peer->port = m->http_port;
		peer->is_listed = m->state != MB_DEAD;
		if (m->state == MB_LEAVING || m->is_listed_leaving)
			peer->engine.is_leaving = true;
	}
	g_hash_table_foreach_remove(od->_engines, od_engines_is_unlisted, NULL);
}

void od_engines_invalidate(struct od_task *od)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, od->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct od_peer *)value)->engine.is_known = false;
}

static int od_engines_compare(const void *a, const void *b)
{
	const struct od_engine *x = *(void *const *)a;
	const struct od_engine *y = *(void *const *)b;

	return strcmp(x->name, y->name);
}

GPtrArray *od_engines_sorted(const struct od_task *od)
{
	GPtrArray *engines = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, od->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(engines, value);
	g_ptr_array_sort(engines, od_engines_compare);
	return engines;
}

static char *od_engine_url(const struct od_peer *peer, const char *path)
{
	struct in_addr address = { .s_addr = htonl(peer->ipv4) };
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address, text, sizeof(text));
	return g_strdup_printf("http://%s:%u%s", text, peer->port, path);
}

/* --- status --- */

/*
 * A status confirms an order only if the read began after the order had ended;
 * an earlier read may show the state before the order.
 */
static void od_on_status(void *arg, const struct hc_result *result)
{
	struct od_peer *peer = arg;

	peer->is_reading = false;
	if (result->outcome != HC_DONE || result->http_status != OD_HTTP_OK ||
	    !od_status_decode(result->body, &peer->engine)) {
		peer->engine.is_known = false;
		return;
	}
	peer->engine.is_known = true;
	if (!peer->is_sending && peer->read_ms >= peer->ordered_ms)
		peer->engine.is_ordered = false;
	if (peer->engine.is_checked &&
	    peer->engine.fencing > peer->od->_lease.fencing)
		ls_on_refused(&peer->od->_lease);
}

static void od_engine_read(struct od_peer *peer, int64_t now_ms)
{
	g_autofree char *url = od_engine_url(peer, "/v1/status");
	struct hc_call_desc call = { .url = url,
				     .total_timeout_ms = OD_STATUS_TIMEOUT_MS,
				     .on_done = od_on_status,
				     .arg = peer };

	peer->read_ms = now_ms;
	peer->is_reading = hc_send(&peer->od->_http, &call, NULL) == ST_OK;
	mt_add(&od_reads_total, 1);
}

static bool od_is_changing(const struct od_peer *peer)
{
	if (!peer->engine.is_known || peer->engine.is_ordered)
		return true;
	for (uint32_t i = 0; i < peer->engine.models.count; i++)
		if (!peer->engine.models.items[i].is_ready)
			return true;
	return false;
}

static bool od_is_due(const struct od_peer *peer, int64_t now_ms)
{
	int64_t period_ms = od_is_changing(peer) ? OD_CHANGING_PERIOD_MS
						 : OD_READ_PERIOD_MS;

	return peer->is_listed && !peer->is_reading && !peer->is_sending &&
	       now_ms - peer->read_ms >= period_ms;
}

void od_engines_read(struct od_task *od, int64_t now_ms)
{
	GPtrArray *engines = od_engines_sorted(od);
	uint32_t started = 0;

	for (uint32_t i = 0; i < engines->len && started < OD_READS_PER_TICK;
	     i++) {
		struct od_peer *peer = g_ptr_array_index(
			engines, od->_next_read++ % engines->len);

		if (!od_is_due(peer, now_ms))
			continue;
		od_engine_read(peer, now_ms);
		started++;
	}
	g_ptr_array_unref(engines);
}

/* --- orders --- */

static void od_on_ordered(void *arg, const struct hc_result *result)
{
	struct od_peer *peer = arg;
	bool is_refused = result->outcome == HC_DONE &&
			  result->http_status == OD_HTTP_CONFLICT;

	peer->is_sending = false;
	peer->ordered_ms = ck_now_ms();
	if (is_refused) {
		mt_add(&od_refused_total, 1);
		ls_on_refused(&peer->od->_lease);
	}
	tl_record(is_refused ? TL_ORDER_REFUSED : TL_ORDER_DONE,
		  peer->engine.name, "outcome=%s status=%u",
		  hc_outcome_name(result->outcome), result->http_status);
}

void od_engine_order(struct od_peer *peer, const struct od_models *wanted,
		     uint64_t fencing)
{
	struct od_task *od = peer->od;
	g_autofree char *url = od_engine_url(peer, "/v1/orders");
	g_autofree char *id = g_strdup_printf("%" PRIu64 "-%" PRIu64, fencing,
					      ++od->_order_count);
	g_autofree char *body =
		od_order_encode(&peer->engine, wanted, fencing, id);
	struct hc_call_desc call = {
		.method = "POST",
		.url = url,
		.body = body,
		.body_bytes = strlen(body),
		.total_timeout_ms = ls_order_timeout_ms(&od->_lease),
		.fresh_connection = true,
		.on_done = od_on_ordered,
		.arg = peer,
	};

	peer->is_sending = hc_send(&od->_http, &call, NULL) == ST_OK;
	if (!peer->is_sending)
		return;
	peer->engine.is_ordered = true;
	peer->engine.wanted = *wanted;
	mt_add(&od_orders_total, 1);
	tl_record(TL_ORDER_SENT, peer->engine.name,
		  "fencing=%" PRIu64 " models=%u", fencing, wanted->count);
}
