#include "index/ix_map.h"

#include <glib.h>

#define IX_MAP_MIN_CAPACITY 16

void ix_map_finish(struct ix_map *map)
{
	g_free(map->slots);
	*map = (struct ix_map){ 0 };
}

/* Returns the slot of a key, or the empty slot to insert it into. */
static uint32_t ix_map_probe(const struct ix_map *map, uint64_t key)
{
	uint32_t mask = map->capacity - 1;
	uint32_t i = (uint32_t)ix_mix(key) & mask;

	while (map->slots[i].value && map->slots[i].key != key)
		i = (i + 1) & mask;
	return i;
}

struct ix_map_slot *ix_map_find(const struct ix_map *map, uint64_t key)
{
	uint32_t i;

	if (!map->count)
		return NULL;
	i = ix_map_probe(map, key);
	return map->slots[i].value ? &map->slots[i] : NULL;
}

static uint32_t ix_map_count_valid(const struct ix_map *map,
				   ix_map_valid is_valid, const void *arg)
{
	uint32_t count = 0;

	if (!is_valid)
		return map->count;
	for (uint32_t i = 0; i < map->capacity; i++)
		if (map->slots[i].value && is_valid(arg, &map->slots[i]))
			count++;
	return count;
}

/* Rebuilds the map with the valid slots only, at most half full. */
static void ix_map_rebuild(struct ix_map *map, ix_map_valid is_valid,
			   const void *arg)
{
	struct ix_map old = *map;
	uint32_t wanted = ix_map_count_valid(map, is_valid, arg) * 2;

	map->capacity = IX_MAP_MIN_CAPACITY;
	while (map->capacity < wanted)
		map->capacity *= 2;
	map->count = 0;
	map->slots = g_new0(struct ix_map_slot, map->capacity);
	for (uint32_t i = 0; i < old.capacity; i++) {
		const struct ix_map_slot *slot = &old.slots[i];

		if (!slot->value || (is_valid && !is_valid(arg, slot)))
			continue;
		map->slots[ix_map_probe(map, slot->key)] = *slot;
		map->count++;
	}
	g_free(old.slots);
}

void ix_map_put(struct ix_map *map, uint64_t key, uint32_t value, uint32_t tag,
		ix_map_valid is_valid, const void *arg)
{
	struct ix_map_slot *slot;

	if (map->count + 1 > map->capacity / 4 * 3)
		ix_map_rebuild(map, is_valid, arg);
	slot = &map->slots[ix_map_probe(map, key)];
	if (!slot->value)
		map->count++;
	*slot = (struct ix_map_slot){ key, value, tag };
}

void ix_map_remove(struct ix_map *map, uint64_t key)
{
	uint32_t mask = map->capacity - 1;
	uint32_t hole;
	uint32_t home;

	if (!ix_map_find(map, key))
		return;
	hole = ix_map_probe(map, key);
	for (uint32_t i = (hole + 1) & mask; map->slots[i].value;
	     i = (i + 1) & mask) {
		home = (uint32_t)ix_mix(map->slots[i].key) & mask;
		/* Entries whose home slot lies after the hole stay. */
		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		map->slots[hole] = map->slots[i];
		hole = i;
	}
	map->slots[hole] = (struct ix_map_slot){ 0 };
	map->count--;
}
