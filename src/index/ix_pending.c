#include "index/ix_pending.h"

#include <string.h>

/**
 * struct ix_flight - a request in flight.
 * @sent_ms: when the record of it came.
 * @heard_ms: last record of it.
 * @tokens: still to be computed.
 */
struct ix_flight {
	uint64_t request;
	int64_t sent_ms;
	int64_t heard_ms;
	uint32_t tokens;
	GList link;
	uint32_t count;
	uint64_t keys[];
};

void ix_pending_init(struct ix_pending *pending, uint32_t max_requests)
{
	*pending = (struct ix_pending){ ._max_requests = max_requests };
	pending->_requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&pending->_order);
}

void ix_pending_finish(struct ix_pending *pending)
{
	ix_pending_clear(pending);
	g_hash_table_unref(pending->_requests);
}

/* Tokens sent before the report are part of it already. */
static bool ix_pending_counts(const struct ix_pending *pending,
			      const struct ix_flight *flight)
{
	return flight->sent_ms > pending->_report_ms;
}

static void ix_pending_settle(struct ix_pending *pending,
			      struct ix_flight *flight)
{
	if (ix_pending_counts(pending, flight))
		pending->_sent_tokens -= flight->tokens;
	flight->tokens = 0;
}

static void ix_pending_drop(struct ix_pending *pending,
			    struct ix_flight *flight)
{
	ix_pending_settle(pending, flight);
	for (uint32_t i = 0; i < flight->count; i++) {
		struct ix_map_slot *slot =
			ix_map_find(&pending->_keys, flight->keys[i]);

		if (slot && --slot->value == 0) {
			slot->value = 1;
			ix_map_remove(&pending->_keys, flight->keys[i]);
		}
	}
	g_hash_table_remove(pending->_requests, &flight->request);
	g_queue_unlink(&pending->_order, &flight->link);
	g_free(flight);
}

void ix_pending_clear(struct ix_pending *pending)
{
	while (pending->_order.head)
		ix_pending_drop(pending, pending->_order.head->data);
	ix_map_finish(&pending->_keys);
}

void ix_pending_sent(struct ix_pending *pending, uint64_t request,
		     const uint64_t *keys, uint32_t count, uint32_t new_tokens,
		     int64_t now_ms)
{
	struct ix_flight *flight;

	if (g_hash_table_contains(pending->_requests, &request))
		return;
	if (pending->_order.length == pending->_max_requests)
		ix_pending_drop(pending, pending->_order.head->data);
	flight = g_malloc0(sizeof(*flight) + count * sizeof(*keys));
	flight->request = request;
	flight->sent_ms = now_ms;
	flight->heard_ms = now_ms;
	flight->tokens = new_tokens;
	flight->count = count;
	if (count)
		memcpy(flight->keys, keys, count * sizeof(*keys));
	flight->link.data = flight;
	g_queue_push_tail_link(&pending->_order, &flight->link);
	g_hash_table_insert(pending->_requests, &flight->request, flight);
	if (ix_pending_counts(pending, flight))
		pending->_sent_tokens += new_tokens;
	for (uint32_t i = 0; i < count; i++) {
		struct ix_map_slot *slot =
			ix_map_find(&pending->_keys, keys[i]);

		ix_map_put(&pending->_keys, keys[i], slot ? slot->value + 1 : 1,
			   0, NULL, NULL);
	}
}

void ix_pending_prefilled(struct ix_pending *pending, uint64_t request,
			  int64_t now_ms)
{
	struct ix_flight *flight =
		g_hash_table_lookup(pending->_requests, &request);

	if (!flight)
		return;
	ix_pending_settle(pending, flight);
	flight->heard_ms = now_ms;
	g_queue_unlink(&pending->_order, &flight->link);
	g_queue_push_tail_link(&pending->_order, &flight->link);
}

void ix_pending_ended(struct ix_pending *pending, uint64_t request)
{
	struct ix_flight *flight =
		g_hash_table_lookup(pending->_requests, &request);

	if (flight)
		ix_pending_drop(pending, flight);
}

void ix_pending_expire(struct ix_pending *pending, int64_t before_ms)
{
	while (pending->_order.head) {
		struct ix_flight *flight = pending->_order.head->data;

		if (flight->heard_ms >= before_ms)
			return;
		ix_pending_drop(pending, flight);
	}
}

void ix_pending_report(struct ix_pending *pending, int64_t report_ms)
{
	pending->_report_ms = report_ms;
	pending->_sent_tokens = 0;
	for (GList *l = pending->_order.head; l; l = l->next) {
		const struct ix_flight *flight = l->data;

		if (ix_pending_counts(pending, flight))
			pending->_sent_tokens += flight->tokens;
	}
}

bool ix_pending_has_key(const struct ix_pending *pending, uint64_t key)
{
	return ix_map_find(&pending->_keys, key) != NULL;
}

uint32_t ix_pending_sent_tokens(const struct ix_pending *pending)
{
	return (uint32_t)MIN(pending->_sent_tokens, UINT32_MAX);
}

uint32_t ix_pending_count(const struct ix_pending *pending)
{
	return pending->_order.length;
}
