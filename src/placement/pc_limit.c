#include "placement/pc_limit.h"

#include <glib.h>

/* Engines with more requests count as equally loaded. */
#define PC_MAX_RUNNING 255
#define PC_DISTANCES   3
#define PC_CLASSES     (PC_DISTANCES * (PC_MAX_RUNNING + 1))

static uint32_t pc_class(const struct pc_limit_key *key)
{
	uint32_t distance = key->distance == PC_SAME_ZONE     ? 0
			    : key->distance == PC_SAME_REGION ? 1
							      : 2;

	return distance * (PC_MAX_RUNNING + 1) +
	       MIN(key->running, PC_MAX_RUNNING);
}

void pc_limit(const struct pc_limit_key *keys, uint32_t count, uint32_t max,
	      uint32_t first, bool *is_kept)
{
	uint32_t counts[PC_CLASSES] = { 0 };
	uint32_t last = 0, room = max;

	for (uint32_t i = 0; i < count; i++)
		counts[pc_class(&keys[i])]++;
	while (last < PC_CLASSES && counts[last] <= room)
		room -= counts[last++];
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (first + n) % count;
		uint32_t class = pc_class(&keys[i]);

		is_kept[i] = class < last || (class == last && room > 0);
		if (class == last && room > 0)
			room--;
	}
}
