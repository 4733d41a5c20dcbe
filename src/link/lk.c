#include "link/lk.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Byte range of a chunk within the body. */
struct lk_span {
	uint64_t start;
	uint32_t bytes;
};

struct lk_entry {
	uint8_t key[LK_KEY_BYTES];
	uint32_t bytes;
	GList link;
	char text[];
};

static guint lk_key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean lk_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LK_KEY_BYTES) == 0;
}

void lk_cache_init(struct lk_cache *cache, uint64_t max_bytes)
{
	memset(cache, 0, sizeof(*cache));
	cache->max_bytes = max_bytes;
	cache->_chunks =
		g_hash_table_new_full(lk_key_hash, lk_key_equal, NULL, g_free);
	g_queue_init(&cache->_order);
}

void lk_cache_finish(struct lk_cache *cache)
{
	g_hash_table_destroy(cache->_chunks);
	memset(cache, 0, sizeof(*cache));
}

uint32_t lk_cache_count(const struct lk_cache *cache)
{
	return g_hash_table_size(cache->_chunks);
}

/* Looks a chunk up and marks it as the most recently used one. */
static struct lk_entry *lk_cache_get(struct lk_cache *cache, const uint8_t *key)
{
	struct lk_entry *entry = g_hash_table_lookup(cache->_chunks, key);

	if (!entry)
		return NULL;
	g_queue_unlink(&cache->_order, &entry->link);
	g_queue_push_tail_link(&cache->_order, &entry->link);
	return entry;
}

static uint64_t lk_entry_cost(const struct lk_entry *entry)
{
	return entry->bytes + (uint64_t)LK_ENTRY_OVERHEAD_BYTES;
}

static void lk_cache_remove(struct lk_cache *cache, struct lk_entry *entry)
{
	cache->bytes -= lk_entry_cost(entry);
	g_queue_unlink(&cache->_order, &entry->link);
	g_hash_table_remove(cache->_chunks, entry->key);
}

static void lk_cache_put(struct lk_cache *cache, const uint8_t *key,
			 const char *text, uint32_t bytes)
{
	struct lk_entry *entry = lk_cache_get(cache, key);

	if (entry)
		return;
	entry = g_malloc0(sizeof(*entry) + bytes);
	memcpy(entry->key, key, LK_KEY_BYTES);
	entry->bytes = bytes;
	entry->link.data = entry;
	if (bytes)
		memcpy(entry->text, text, bytes);
	g_hash_table_insert(cache->_chunks, entry->key, entry);
	g_queue_push_tail_link(&cache->_order, &entry->link);
	cache->bytes += lk_entry_cost(entry);
	while (cache->bytes > cache->max_bytes && cache->_order.length > 1)
		lk_cache_remove(cache, cache->_order.head->data);
}

static void lk_keyed_hash(uint8_t *key, const uint8_t *secret, const char *team,
			  const char *text, uint64_t bytes)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, secret, LK_SECRET_BYTES, LK_KEY_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)team,
				  strlen(team) + 1);
	crypto_generichash_update(&state, (const uint8_t *)text, bytes);
	crypto_generichash_final(&state, key, LK_KEY_BYTES);
}

/*
 * Table of the gear hash: a fixed random number for each byte value. The hash
 * covers the last 64 bytes, since each step shifts older ones out.
 */
static const uint64_t *lk_gear(void)
{
	static uint64_t table[256];

	if (!table[0])
		for (uint32_t i = 0; i < 256; i++)
			table[i] = XXH3_64bits_withSeed(&i, sizeof(i), 1) | 1;
	return table;
}

static uint32_t lk_chunk_length(const uint8_t *text, uint64_t left)
{
	const uint64_t mask = ((UINT64_C(1) << LK_BOUNDARY_BITS) - 1)
			      << (64 - LK_BOUNDARY_BITS);
	const uint64_t *gear = lk_gear();
	uint64_t hash = 0;
	uint64_t limit = MIN(left, LK_MAX_CHUNK_BYTES);

	for (uint64_t i = 0; i < limit; i++) {
		hash = (hash << 1) + gear[text[i]];
		if (i + 1 >= LK_MIN_CHUNK_BYTES && !(hash & mask))
			return (uint32_t)(i + 1);
	}
	return (uint32_t)limit;
}

static void lk_add_chunk(struct lk_cache *known, const uint8_t *secret,
			 const char *team, const char *body,
			 const struct lk_span *span, GArray *chunks)
{
	bp_link_chunk chunk = { 0 };
	char *text = (char *)body + span->start;

	lk_keyed_hash((uint8_t *)chunk.key, secret, team, text, span->bytes);
	if (!lk_cache_get(known, (uint8_t *)chunk.key)) {
		chunk.text.text_val = text;
		chunk.text.text_len = span->bytes;
		lk_cache_put(known, (uint8_t *)chunk.key, NULL, 0);
	}
	g_array_append_val(chunks, chunk);
}

enum st_code lk_encode(struct lk_cache *known, const uint8_t *secret,
		       const char *team, const char *body, uint64_t bytes,
		       struct lk_request *request)
{
	struct lk_span span = { 0 };

	memset(request, 0, sizeof(*request));
	request->_chunks = g_array_new(FALSE, TRUE, sizeof(bp_link_chunk));
	request->_spans = g_array_new(FALSE, TRUE, sizeof(span));
	while (span.start < bytes) {
		span.bytes = lk_chunk_length((const uint8_t *)body + span.start,
					     bytes - span.start);
		lk_add_chunk(known, secret, team, body, &span,
			     request->_chunks);
		g_array_append_val(request->_spans, span);
		span.start += span.bytes;
	}
	if (request->_chunks->len > BP_MAX_LINK_CHUNKS)
		return st_fail(ST_FULL, "a body of %u chunks exceeds the limit",
			       request->_chunks->len);
	lk_keyed_hash((uint8_t *)request->wire.whole, secret, team, body,
		      bytes);
	request->wire.chunks.chunks_len = request->_chunks->len;
	request->wire.chunks.chunks_val =
		(bp_link_chunk *)(void *)request->_chunks->data;
	return ST_OK;
}

void lk_add_missing_text(struct lk_request *request, const char *body,
			 const bp_link_missing *missing)
{
	for (uint32_t i = 0; i < missing->places.places_len; i++) {
		uint32_t index = missing->places.places_val[i];
		const struct lk_span *span;
		bp_link_chunk *chunk;

		if (index >= request->_chunks->len)
			continue;
		span = &g_array_index(request->_spans, struct lk_span, index);
		chunk = &g_array_index(request->_chunks, bp_link_chunk, index);
		chunk->text.text_val = (char *)body + span->start;
		chunk->text.text_len = span->bytes;
	}
}

void lk_request_finish(struct lk_request *request)
{
	g_array_free(request->_chunks, TRUE);
	g_array_free(request->_spans, TRUE);
	memset(request, 0, sizeof(*request));
}

/* Stores the chunk under the key computed from its text, not the sent key. */
static void lk_append_received_chunk(struct lk_cache *store,
				     const uint8_t *secret, const char *team,
				     const bp_link_chunk *chunk, GString *body)
{
	uint8_t key[LK_KEY_BYTES];

	lk_keyed_hash(key, secret, team, chunk->text.text_val,
		      chunk->text.text_len);
	lk_cache_put(store, key, chunk->text.text_val, chunk->text.text_len);
	g_string_append_len(body, chunk->text.text_val, chunk->text.text_len);
}

enum st_code lk_decode(struct lk_cache *store, const uint8_t *secret,
		       const bp_link_request *wire, GString *body,
		       GArray *missing)
{
	uint8_t whole[LK_KEY_BYTES];

	for (uint32_t i = 0; i < wire->chunks.chunks_len; i++) {
		const bp_link_chunk *chunk = &wire->chunks.chunks_val[i];
		struct lk_entry *entry;

		if (chunk->text.text_len) {
			lk_append_received_chunk(store, secret, wire->team,
						 chunk, body);
			continue;
		}
		entry = lk_cache_get(store, (const uint8_t *)chunk->key);
		if (entry)
			g_string_append_len(body, entry->text, entry->bytes);
		else
			g_array_append_val(missing, i);
	}
	if (missing->len)
		return st_fail(ST_NOT_FOUND,
			       "%u chunks of the body are not in the cache",
			       missing->len);
	lk_keyed_hash(whole, secret, wire->team, body->str, body->len);
	if (sodium_memcmp(whole, wire->whole, sizeof(whole)))
		return st_fail(ST_INVALID,
			       "the reassembled body does not match its hash");
	return ST_OK;
}
