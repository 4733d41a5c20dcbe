#include "peers/pe_reader.h"

int32_t pe_reader_index(const struct pe_host *hosts, uint32_t count,
			uint32_t region)
{
	int32_t best = -1;
	bool best_is_near = false;

	for (uint32_t i = 0; i < count; i++) {
		bool is_near = hosts[i].region == region;

		if (!hosts[i].takes_part)
			continue;
		if (best >= 0 && (is_near != best_is_near
					  ? best_is_near
					  : hosts[i].hash >= hosts[best].hash))
			continue;
		best = i;
		best_is_near = is_near;
	}
	return best;
}

uint32_t pe_reader_rank(const struct pe_host *hosts, uint32_t count,
			uint64_t hash)
{
	uint32_t before = 0;

	for (uint32_t i = 0; i < count; i++)
		before += hosts[i].takes_part && hosts[i].hash < hash;
	return before;
}
