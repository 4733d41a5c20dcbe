/*
 * ix_blocks - the cache blocks of one engine and the keys that they cover.
 *
 * Overview
 *	A block is known by the engine's id. It is held (an event or snapshot
 *	said so), named (a request's record said which keys of a chain it
 *	covers), or both. Key entries point to their block by slot and
 *	generation, so dropping a block takes its keys away at once.
 *
 *	Blocks stand in the order in which they were last stored or named.
 *	At the bound the oldest one is dropped.
 *
 *	Times are ticks of IX_TICK_MS since a start that the owner chooses, so
 *	that none of them is 0.
 *
 * Memory
 *	32 bytes for a block, 4 for each bucket of the id table, 16 for each
 *	slot of the key table; every table is one block of memory.
 */
#ifndef IX_BLOCKS_H
#define IX_BLOCKS_H

#include <stdbool.h>
#include <stdint.h>

#include "index/ix_map.h"

#define IX_TICK_MS 10

/**
 * struct ix_block - one block.
 * @id: the engine's name for it.
 * @stored_tick: tick of the event.
 * @recorded_tick: tick of the last record that named it, 0 if none did.
 * @generation: of the slot, by which key entries find out that it was reused.
 * @is_marked: for ix_blocks_mark().
 * @newer, @older: neighbours by slot, 0 at the ends.
 */
struct ix_block {
	uint64_t id;
	uint32_t stored_tick;
	uint32_t recorded_tick;
	uint32_t generation : 29;
	uint32_t is_held : 1;
	uint32_t is_marked : 1;
	uint32_t is_used : 1;
	uint32_t newer;
	uint32_t older;
};

/** struct ix_blocks - zeroed memory is empty; slot 0 is never used. */
struct ix_blocks {
	struct ix_block *pool;
	uint32_t pool_capacity;
	uint32_t pool_used;
	uint32_t free_slot;
	uint32_t *buckets;
	uint32_t bucket_count;
	uint32_t count;
	uint32_t held_count;
	uint32_t newest;
	uint32_t oldest;
	struct ix_map keys;
};

void ix_blocks_finish(struct ix_blocks *blocks);

/** ix_blocks_find() - the block of an id, or NULL; valid until an addition. */
struct ix_block *ix_blocks_find(const struct ix_blocks *blocks, uint64_t id);

/** ix_blocks_store() - the engine holds the block since @tick. */
struct ix_block *ix_blocks_store(struct ix_blocks *blocks, uint64_t id,
				 uint32_t tick);

/** ix_blocks_assign_keys() - the block covers @count keys (maybe none). */
void ix_blocks_assign_keys(struct ix_blocks *blocks, uint64_t id,
			   const uint64_t *keys, uint32_t count, uint32_t tick);

/** ix_blocks_release() - no longer held, but its keys stay. */
void ix_blocks_release(struct ix_blocks *blocks, struct ix_block *block);

/** ix_blocks_drop() - forget the block and its keys. */
void ix_blocks_drop(struct ix_blocks *blocks, struct ix_block *block);

/** ix_blocks_drop_oldest() - make room. */
void ix_blocks_drop_oldest(struct ix_blocks *blocks);

/** ix_blocks_find_key() - the block that completes a key's piece, or NULL. */
const struct ix_block *ix_blocks_find_key(const struct ix_blocks *blocks,
					  uint64_t key);

/** ix_blocks_bytes() - memory in use. */
uint64_t ix_blocks_bytes(const struct ix_blocks *blocks);

#endif
