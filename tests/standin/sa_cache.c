#include "sa_cache.h"

#include <xxhash.h>

void sa_cache_init(struct sa_cache *cache, uint32_t capacity,
		   sa_cache_fn changed, void *arg)
{
	*cache = (struct sa_cache){ .capacity = capacity,
				    ._changed = changed,
				    ._arg = arg };
	cache->_blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&cache->_lru);
}

void sa_cache_finish(struct sa_cache *cache)
{
	sa_cache_clear(cache);
	g_hash_table_destroy(cache->_blocks);
}

void sa_cache_clear(struct sa_cache *cache)
{
	g_hash_table_remove_all(cache->_blocks);
	g_queue_clear_full(&cache->_lru, g_free);
	cache->used = 0;
}

GArray *sa_cache_ids(uint64_t seed, const char *text, uint64_t bytes,
		     uint64_t block_bytes)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t id = seed;

	for (uint64_t at = 0; at + block_bytes <= bytes; at += block_bytes) {
		id = XXH3_64bits_withSeed(text + at, block_bytes, id);
		g_array_append_val(ids, id);
	}
	return ids;
}

bool sa_cache_has(const struct sa_cache *cache, uint64_t id)
{
	return g_hash_table_contains(cache->_blocks, &id);
}

uint32_t sa_cache_hits(const struct sa_cache *cache, const GArray *ids)
{
	uint32_t hits = 0;

	while (hits < ids->len &&
	       sa_cache_has(cache, g_array_index(ids, uint64_t, hits)))
		hits++;
	return hits;
}

static void sa_cache_evict(struct sa_cache *cache)
{
	uint64_t *id = g_queue_pop_head(&cache->_lru);

	g_hash_table_remove(cache->_blocks, id);
	cache->used--;
	cache->_changed(cache->_arg, false, *id);
	g_free(id);
}

static void sa_cache_touch(struct sa_cache *cache, uint64_t id)
{
	GList *link = g_hash_table_lookup(cache->_blocks, &id);

	if (!link)
		return;
	g_queue_unlink(&cache->_lru, link);
	g_queue_push_tail_link(&cache->_lru, link);
}

static void sa_cache_store(struct sa_cache *cache, uint64_t id)
{
	if (sa_cache_has(cache, id))
		return;
	if (cache->used >= cache->capacity)
		sa_cache_evict(cache);
	g_queue_push_tail(&cache->_lru, g_memdup2(&id, sizeof(id)));
	g_hash_table_insert(cache->_blocks, cache->_lru.tail->data,
			    cache->_lru.tail);
	cache->used++;
	cache->_changed(cache->_arg, true, id);
}

/*
 * What is there is marked first, so that storing the rest does not evict it.
 * From the end, so that the start of the prompt is the most recently used.
 */
void sa_cache_add(struct sa_cache *cache, const GArray *ids)
{
	uint32_t count = MIN(ids->len, cache->capacity);

	for (uint32_t i = count; i > 0; i--)
		sa_cache_touch(cache, g_array_index(ids, uint64_t, i - 1));
	for (uint32_t i = count; i > 0; i--)
		sa_cache_store(cache, g_array_index(ids, uint64_t, i - 1));
	for (uint32_t i = count; i > 0; i--)
		sa_cache_touch(cache, g_array_index(ids, uint64_t, i - 1));
}

void sa_cache_for_each(struct sa_cache *cache,
		       void (*fn)(void *arg, uint64_t id), void *arg)
{
	for (GList *link = cache->_lru.head; link; link = link->next)
		fn(arg, *(uint64_t *)link->data);
}
