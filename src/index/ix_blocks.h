/*
 * ix_blocks - cache blocks of one engine and the keys that they cover.
 *
 * Overview
 *	A block is identified by the engine's id. It is held (reported by an
 *	event or snapshot), recorded (a request's record maps keys of a chain
 *	to it), or both. Key entries refer to their block by slot and
 *	generation, so dropping a block invalidates its keys at once.
 *
 *	Blocks are listed in the order in which they were last stored or
 *	recorded; the caller drops the oldest one at its limit.
 *
 *	Times are ticks of IX_TICK_MS since a start that the owner chooses so
 *	that no time is 0.
 *
 * Memory
 *	32 bytes for each block, 4 for each bucket of the id table, 16 for
 *	each slot of the key table. Each table is a single allocation.
 */
#ifndef IX_BLOCKS_H
#define IX_BLOCKS_H

#include <stdbool.h>
#include <stdint.h>

#include "index/ix_map.h"

#define IX_TICK_MS 10

/**
 * struct ix_block - one block.
 * @id: id assigned by the engine.
 * @stored_tick: when an event or snapshot reported the block.
 * @recorded_tick: when a record last listed the block; 0 for never.
 * @generation: of the slot; shows key entries that the slot was reused.
 * @is_marked: the block is in the snapshot being applied.
 * @newer, @older: slots of the list neighbours, 0 at the ends.
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

/** ix_blocks_find() - find a block by id, or NULL; valid until an addition. */
struct ix_block *ix_blocks_find(const struct ix_blocks *blocks, uint64_t id);

/** ix_blocks_store() - mark a block as held since @tick; add it if missing. */
struct ix_block *ix_blocks_store(struct ix_blocks *blocks, uint64_t id,
				 uint32_t tick);

/** ix_blocks_assign_keys() - map @count keys (may be 0) to a block. */
void ix_blocks_assign_keys(struct ix_blocks *blocks, uint64_t id,
			   const uint64_t *keys, uint32_t count, uint32_t tick);

/** ix_blocks_release() - mark a block as not held; keep its keys. */
void ix_blocks_release(struct ix_blocks *blocks, struct ix_block *block);

/** ix_blocks_drop() - remove a block and its keys. */
void ix_blocks_drop(struct ix_blocks *blocks, struct ix_block *block);

/** ix_blocks_drop_oldest() - remove the oldest block, if any. */
void ix_blocks_drop_oldest(struct ix_blocks *blocks);

/** ix_blocks_find_key() - find the block that completes a key, or NULL. */
const struct ix_block *ix_blocks_find_key(const struct ix_blocks *blocks,
					  uint64_t key);

/** ix_blocks_bytes() - memory in use. */
uint64_t ix_blocks_bytes(const struct ix_blocks *blocks);

#endif
