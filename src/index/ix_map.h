/*
 * ix_map - a compact hash map from 64-bit keys to two 32-bit values.
 *
 * Overview
 *	Open addressing with linear probing in one block of memory, 16 bytes
 *	a slot, at most three quarters full. Removal shifts later slots back,
 *	so there are no tombstones.
 *
 *	The owner of a map whose slots can become invalid passes a predicate
 *	to ix_map_put(); invalid slots are dropped before the map grows.
 */
#ifndef IX_MAP_H
#define IX_MAP_H

#include <stdbool.h>
#include <stdint.h>

/** struct ix_map_slot - @value 0 marks an empty slot. */
struct ix_map_slot {
	uint64_t key;
	uint32_t value;
	uint32_t tag;
};

/** struct ix_map - zeroed memory is an empty map. */
struct ix_map {
	struct ix_map_slot *slots;
	uint32_t capacity;
	uint32_t count;
};

/** ix_map_valid - predicate: whether a slot is still valid. */
typedef bool (*ix_map_valid)(const void *arg, const struct ix_map_slot *slot);

/** ix_map_finish() - free the memory; the map is empty afterwards. */
void ix_map_finish(struct ix_map *map);

/** ix_map_find() - find the slot of a key, or NULL; valid until a put. */
struct ix_map_slot *ix_map_find(const struct ix_map *map, uint64_t key);

/**
 * ix_map_put() - set the slot of a key.
 * @value: not 0.
 * @is_valid: NULL if all slots are valid.
 */
void ix_map_put(struct ix_map *map, uint64_t key, uint32_t value, uint32_t tag,
		ix_map_valid is_valid, const void *arg);

void ix_map_remove(struct ix_map *map, uint64_t key);

/** ix_mix() - spread the bits of a key. */
static inline uint64_t ix_mix(uint64_t x)
{
	x = (x ^ (x >> 32)) * UINT64_C(0xd6e8feb86659fd93);
	return x ^ (x >> 32);
}

/** ix_map_bytes() - memory in use. */
static inline uint64_t ix_map_bytes(const struct ix_map *map)
{
	return (uint64_t)map->capacity * sizeof(struct ix_map_slot);
}

#endif
