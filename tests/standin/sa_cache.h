/*
 * sa_cache - the block cache of a stand-in engine.
 *
 * Overview
 *	A prompt is cut into whole blocks. The id of a block hashes everything
 *	before it: salt, model, weights version, and the text from the start,
 *	so that position and parents are part of it. Blocks are evicted least
 *	recently used first, the end of a prompt before its start.
 *
 * Use
 *	sa_cache_init(&cache, 64, changed, me);
 *	ids = sa_cache_ids(seed, text, bytes, block_bytes);
 *	hits = sa_cache_hits(&cache, ids);
 *	sa_cache_add(&cache, ids);
 */
#ifndef SA_CACHE_H
#define SA_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef void (*sa_cache_fn)(void *arg, bool stored, uint64_t id);

/**
 * struct sa_cache - state; fields are private but for the sizes.
 * @capacity: in blocks.
 * @used: in blocks.
 */
struct sa_cache {
	uint32_t capacity;
	uint32_t used;
	GHashTable *_blocks;
	GQueue _lru;
	sa_cache_fn _changed;
	void *_arg;
};

void sa_cache_init(struct sa_cache *cache, uint32_t capacity,
		   sa_cache_fn changed, void *arg);
void sa_cache_finish(struct sa_cache *cache);

/** sa_cache_ids() - ids of the whole blocks of a text, to be freed. */
GArray *sa_cache_ids(uint64_t seed, const char *text, uint64_t bytes,
		     uint64_t block_bytes);

/** sa_cache_has() - whether one block is there. */
bool sa_cache_has(const struct sa_cache *cache, uint64_t id);

/** sa_cache_hits() - how many of the first blocks are there. */
uint32_t sa_cache_hits(const struct sa_cache *cache, const GArray *ids);

/** sa_cache_add() - store what is missing, mark all as just used. */
void sa_cache_add(struct sa_cache *cache, const GArray *ids);

/** sa_cache_clear() - forget everything, without a call of the function. */
void sa_cache_clear(struct sa_cache *cache);

/** sa_cache_for_each() - every block, the oldest first. */
void sa_cache_for_each(struct sa_cache *cache,
		       void (*fn)(void *arg, uint64_t id), void *arg);

#endif
