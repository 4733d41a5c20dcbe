#include "peers/pe_reader.h"

int32_t pe_reader_index(const struct pe_host *hosts, uint32_t count,
			uint32_t region)
{
	int32_t best = -1;
	bool best_is_in_region = false;

	for (uint32_t i = 0; i < count; i++) {
		bool is_in_region = hosts[i].region == region;

		if (!hosts[i].takes_part)
			continue;
		if (best >= 0 && (is_in_region != best_is_in_region
					  ? best_is_in_region
					  : hosts[i].hash >= hosts[best].hash))
			continue;
		best = i;
		best_is_in_region = is_in_region;
	}
	return best;
}

uint32_t pe_reader_rank(const struct pe_host *hosts, uint32_t count,
			uint64_t hash)
{
	bool takes_part = false;
	uint32_t rank = 0;

	for (uint32_t i = 0; i < count; i++)
		takes_part |= hosts[i].hash == hash && hosts[i].takes_part;
	for (uint32_t i = 0; i < count; i++)
		rank += hosts[i].takes_part == takes_part ? hosts[i].hash < hash
							  : hosts[i].takes_part;
	return rank;
}
