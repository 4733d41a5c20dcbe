#include "index/ix_pending.h"

#include <string.h>

/**
 * struct ix_inflight - a request in flight.
 * @sent_ms: when its first record arrived.
 * @updated_ms: when its last record arrived.
 * @tokens: prompt tokens not yet computed.
 */
struct ix_inflight {
	uint64_t request;
	int64_t sent_ms;
	int64_t updated_ms;
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

/* The load report already includes tokens sent before it. */
static bool ix_pending_is_unreported(const struct ix_pending *pending,
				     const struct ix_inflight *inflight)
{
	return inflight->sent_ms > pending->_report_ms;
}

static void ix_pending_clear_tokens(struct ix_pending *pending,
				    struct ix_inflight *inflight)
{
	if (ix_pending_is_unreported(pending, inflight))
		pending->_sent_tokens -= inflight->tokens;
	inflight->tokens = 0;
}

static void ix_pending_drop(struct ix_pending *pending,
			    struct ix_inflight *inflight)
{
	ix_pending_clear_tokens(pending, inflight);
	for (uint32_t i = 0; i < inflight->count; i++) {
		struct ix_map_slot *slot =
			ix_map_find(&pending->_keys, inflight->keys[i]);

		if (slot && --slot->value == 0) {
			slot->value = 1;
			ix_map_remove(&pending->_keys, inflight->keys[i]);
		}
	}
	g_hash_table_remove(pending->_requests, &inflight->request);
	g_queue_unlink(&pending->_order, &inflight->link);
	g_free(inflight);
}

void ix_pending_clear(struct ix_pending *pending)
{
	while (pending->_order.head)
		ix_pending_drop(pending, pending->_order.head->data);
	ix_map_finish(&pending->_keys);
}

void ix_pending_add(struct ix_pending *pending, uint64_t request,
		    const uint64_t *keys, uint32_t count, uint32_t new_tokens,
		    int64_t now_ms)
{
	struct ix_inflight *inflight;

	if (g_hash_table_contains(pending->_requests, &request))
		return;
	if (pending->_order.length == pending->_max_requests)
		ix_pending_drop(pending, pending->_order.head->data);
	inflight = g_malloc0(sizeof(*inflight) + count * sizeof(*keys));
	inflight->request = request;
	inflight->sent_ms = now_ms;
	inflight->updated_ms = now_ms;
	inflight->tokens = new_tokens;
	inflight->count = count;
	if (count)
		memcpy(inflight->keys, keys, count * sizeof(*keys));
	inflight->link.data = inflight;
	g_queue_push_tail_link(&pending->_order, &inflight->link);
	g_hash_table_insert(pending->_requests, &inflight->request, inflight);
	if (ix_pending_is_unreported(pending, inflight))
		pending->_sent_tokens += new_tokens;
	for (uint32_t i = 0; i < count; i++) {
		struct ix_map_slot *slot =
			ix_map_find(&pending->_keys, keys[i]);

		ix_map_put(&pending->_keys, keys[i], slot ? slot->value + 1 : 1,
			   0, NULL, NULL);
	}
}

void ix_pending_set_prefilled(struct ix_pending *pending, uint64_t request,
			      int64_t now_ms)
{
	struct ix_inflight *inflight =
		g_hash_table_lookup(pending->_requests, &request);

	if (!inflight)
		return;
	ix_pending_clear_tokens(pending, inflight);
	inflight->updated_ms = now_ms;
	g_queue_unlink(&pending->_order, &inflight->link);
	g_queue_push_tail_link(&pending->_order, &inflight->link);
}

void ix_pending_remove(struct ix_pending *pending, uint64_t request)
{
	struct ix_inflight *inflight =
		g_hash_table_lookup(pending->_requests, &request);

	if (inflight)
		ix_pending_drop(pending, inflight);
}

void ix_pending_expire(struct ix_pending *pending, int64_t before_ms)
{
	while (pending->_order.head) {
		struct ix_inflight *inflight = pending->_order.head->data;

		if (inflight->updated_ms >= before_ms)
			return;
		ix_pending_drop(pending, inflight);
	}
}

void ix_pending_set_report(struct ix_pending *pending, int64_t report_ms)
{
	pending->_report_ms = report_ms;
	pending->_sent_tokens = 0;
	for (GList *l = pending->_order.head; l; l = l->next) {
		const struct ix_inflight *inflight = l->data;

		if (ix_pending_is_unreported(pending, inflight))
			pending->_sent_tokens += inflight->tokens;
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
