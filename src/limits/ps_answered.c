#include "limits/ps_answered.h"

static struct ps_answered *ps_find_answered(const struct ps_table *table,
					    uint64_t fingerprint)
{
	return g_hash_table_lookup(table->_completed, &fingerprint);
}

int64_t ps_completed_ms(const struct ps_table *table, uint64_t fingerprint)
{
	const struct ps_answered *a = ps_find_answered(table, fingerprint);

	return a ? a->at_ms : 0;
}

/* What is dropped loses a clearing, but never a crash. */
static void ps_halve_answered(struct ps_table *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->_completed);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ps_answered *a = value;

		a->count /= 2;
		if (!a->count)
			g_hash_table_iter_remove(&iter);
	}
}

void ps_record_completion(struct ps_table *table, uint64_t fingerprint,
			  int64_t now_ms)
{
	struct ps_answered *a = ps_find_answered(table, fingerprint);

	if (a) {
		a->count += a->count < UINT32_MAX;
		a->at_ms = MAX(a->at_ms, now_ms);
		return;
	}
	while (g_hash_table_size(table->_completed) >= PS_MAX_COMPLETED)
		ps_halve_answered(table);
	a = g_new0(struct ps_answered, 1);
	*a = (struct ps_answered){ fingerprint, now_ms, 1 };
	g_hash_table_insert(table->_completed, &a->fingerprint, a);
}

static gint ps_more_frequent_first(gconstpointer a, gconstpointer b)
{
	const struct ps_answered *x = *(const struct ps_answered *const *)a;
	const struct ps_answered *y = *(const struct ps_answered *const *)b;

	if (x->count != y->count)
		return x->count > y->count ? -1 : 1;
	if (x->at_ms != y->at_ms)
		return x->at_ms > y->at_ms ? -1 : 1;
	return x->fingerprint < y->fingerprint ? -1 : 1;
}

uint32_t ps_list_answered(const struct ps_table *table, int64_t since_ms,
			  struct ps_answered *answered, uint32_t capacity)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t count;

	g_hash_table_iter_init(&iter, table->_completed);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ps_answered *a = value;

		if (a->at_ms >= since_ms)
			g_ptr_array_add(found, value);
	}
	g_ptr_array_sort(found, ps_more_frequent_first);
	count = MIN(found->len, capacity);
	for (uint32_t i = 0; i < count; i++)
		answered[i] = *(const struct ps_answered *)found->pdata[i];
	g_ptr_array_free(found, TRUE);
	return count;
}
