#include "index/ix_blocks.h"

#include <glib.h>
#include <string.h>

#define IX_MIN_BLOCKS 64
/* Growth by one half leaves less memory unused than doubling. */
#define IX_POOL_GROWTH(capacity) ((capacity) + (capacity) / 2)

void ix_blocks_finish(struct ix_blocks *blocks)
{
	g_free(blocks->pool);
	g_free(blocks->buckets);
	ix_map_finish(&blocks->keys);
	*blocks = (struct ix_blocks){ 0 };
}

uint64_t ix_blocks_bytes(const struct ix_blocks *blocks)
{
	return (uint64_t)blocks->pool_capacity * sizeof(struct ix_block) +
	       (uint64_t)blocks->bucket_count * sizeof(uint32_t) +
	       ix_map_bytes(&blocks->keys);
}

/* Returns the bucket of an id, or the empty bucket to insert it into. */
static uint32_t ix_blocks_probe(const struct ix_blocks *blocks, uint64_t id)
{
	uint32_t mask = blocks->bucket_count - 1;
	uint32_t i = (uint32_t)ix_mix(id) & mask;

	while (blocks->buckets[i] && blocks->pool[blocks->buckets[i]].id != id)
		i = (i + 1) & mask;
	return i;
}

struct ix_block *ix_blocks_find(const struct ix_blocks *blocks, uint64_t id)
{
	uint32_t slot;

	if (!blocks->count)
		return NULL;
	slot = blocks->buckets[ix_blocks_probe(blocks, id)];
	return slot ? &blocks->pool[slot] : NULL;
}

static void ix_blocks_unlink(struct ix_blocks *blocks, struct ix_block *block)
{
	if (block->newer)
		blocks->pool[block->newer].older = block->older;
	else
		blocks->newest = block->older;
	if (block->older)
		blocks->pool[block->older].newer = block->newer;
	else
		blocks->oldest = block->newer;
}

static void ix_blocks_link_newest(struct ix_blocks *blocks, uint32_t slot)
{
	struct ix_block *block = &blocks->pool[slot];

	block->newer = 0;
	block->older = blocks->newest;
	if (blocks->newest)
		blocks->pool[blocks->newest].newer = slot;
	else
		blocks->oldest = slot;
	blocks->newest = slot;
}

static void ix_blocks_grow_buckets(struct ix_blocks *blocks)
{
	uint32_t capacity = MAX(blocks->bucket_count * 2, IX_MIN_BLOCKS);

	g_free(blocks->buckets);
	blocks->buckets = g_new0(uint32_t, capacity);
	blocks->bucket_count = capacity;
	for (uint32_t slot = blocks->pool ? blocks->oldest : 0; slot;
	     slot = blocks->pool[slot].newer) {
		uint64_t id = blocks->pool[slot].id;

		blocks->buckets[ix_blocks_probe(blocks, id)] = slot;
	}
}

static void ix_blocks_grow_pool(struct ix_blocks *blocks)
{
	uint32_t old = blocks->pool_capacity;
	uint32_t capacity = MAX(IX_POOL_GROWTH(old), IX_MIN_BLOCKS);

	blocks->pool = g_renew(struct ix_block, blocks->pool, capacity);
	memset(blocks->pool + old, 0, sizeof(*blocks->pool) * (capacity - old));
	blocks->pool_capacity = capacity;
}

static uint32_t ix_blocks_alloc_slot(struct ix_blocks *blocks)
{
	uint32_t slot = blocks->free_slot;

	if (slot && blocks->pool) {
		blocks->free_slot = blocks->pool[slot].older;
		return slot;
	}
	if (!blocks->pool || blocks->pool_used + 1 >= blocks->pool_capacity)
		ix_blocks_grow_pool(blocks);
	return ++blocks->pool_used;
}

static struct ix_block *ix_blocks_add(struct ix_blocks *blocks, uint64_t id)
{
	uint32_t slot;
	uint32_t generation;

	if (blocks->count + 1 > blocks->bucket_count / 4 * 3)
		ix_blocks_grow_buckets(blocks);
	slot = ix_blocks_alloc_slot(blocks);
	generation = blocks->pool[slot].generation;
	blocks->pool[slot] = (struct ix_block){ .id = id,
						.generation = generation,
						.is_used = 1 };
	blocks->buckets[ix_blocks_probe(blocks, id)] = slot;
	blocks->count++;
	ix_blocks_link_newest(blocks, slot);
	return &blocks->pool[slot];
}

/* Moves a block to the newest end of the list; adds it if missing. */
static struct ix_block *ix_blocks_touch(struct ix_blocks *blocks, uint64_t id)
{
	struct ix_block *block = ix_blocks_find(blocks, id);

	if (!block)
		return ix_blocks_add(blocks, id);
	ix_blocks_unlink(blocks, block);
	ix_blocks_link_newest(blocks, (uint32_t)(block - blocks->pool));
	return block;
}

struct ix_block *ix_blocks_store(struct ix_blocks *blocks, uint64_t id,
				 uint32_t tick)
{
	struct ix_block *block = ix_blocks_touch(blocks, id);

	if (!block->is_held) {
		block->is_held = 1;
		block->stored_tick = tick;
		blocks->held_count++;
	}
	return block;
}

static bool ix_blocks_key_is_valid(const void *arg,
				   const struct ix_map_slot *slot)
{
	const struct ix_blocks *blocks = arg;
	const struct ix_block *block = &blocks->pool[slot->value];

	return block->is_used && block->generation == slot->tag;
}

void ix_blocks_assign_keys(struct ix_blocks *blocks, uint64_t id,
			   const uint64_t *keys, uint32_t count, uint32_t tick)
{
	struct ix_block *block = ix_blocks_touch(blocks, id);
	uint32_t slot = (uint32_t)(block - blocks->pool);

	block->recorded_tick = tick;
	for (uint32_t i = 0; i < count; i++)
		ix_map_put(&blocks->keys, keys[i], slot, block->generation,
			   ix_blocks_key_is_valid, blocks);
}

void ix_blocks_release(struct ix_blocks *blocks, struct ix_block *block)
{
	if (!block->is_held)
		return;
	block->is_held = 0;
	blocks->held_count--;
}

static void ix_blocks_clear_bucket(struct ix_blocks *blocks, uint64_t id)
{
	uint32_t mask = blocks->bucket_count - 1;
	uint32_t hole = ix_blocks_probe(blocks, id);
	uint32_t home;

	for (uint32_t i = (hole + 1) & mask; blocks->buckets[i];
	     i = (i + 1) & mask) {
		home = (uint32_t)ix_mix(blocks->pool[blocks->buckets[i]].id) &
		       mask;
		/* Entries whose home bucket lies after the hole stay. */
		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		blocks->buckets[hole] = blocks->buckets[i];
		hole = i;
	}
	blocks->buckets[hole] = 0;
}

void ix_blocks_drop(struct ix_blocks *blocks, struct ix_block *block)
{
	uint32_t slot = (uint32_t)(block - blocks->pool);

	ix_blocks_release(blocks, block);
	ix_blocks_clear_bucket(blocks, block->id);
	ix_blocks_unlink(blocks, block);
	blocks->count--;
	block->is_used = 0;
	block->generation++;
	block->older = blocks->free_slot;
	blocks->free_slot = slot;
}

void ix_blocks_drop_oldest(struct ix_blocks *blocks)
{
	if (blocks->oldest)
		ix_blocks_drop(blocks, &blocks->pool[blocks->oldest]);
}

const struct ix_block *ix_blocks_find_key(const struct ix_blocks *blocks,
					  uint64_t key)
{
	const struct ix_map_slot *slot = ix_map_find(&blocks->keys, key);

	if (!slot || !ix_blocks_key_is_valid(blocks, slot))
		return NULL;
	return &blocks->pool[slot->value];
}
