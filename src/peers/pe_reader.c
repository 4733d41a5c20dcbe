#include "peers/pe_reader.h"

/* The lower the nearer. */
static uint32_t pe_distance(const struct pe_host *host, uint32_t zone,
			    uint32_t region)
{
	if (host->zone == zone)
		return 0;
	return host->region == region ? 1 : 2;
}

int32_t pe_reader_of(const struct pe_host *hosts, uint32_t count, uint32_t zone,
		     uint32_t region)
{
	int32_t best = -1;
	uint32_t best_distance = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t distance = pe_distance(&hosts[i], zone, region);

		if (!hosts[i].takes_part)
			continue;
		if (best >= 0 && (distance > best_distance ||
				  (distance == best_distance &&
				   hosts[i].hash >= hosts[best].hash)))
			continue;
		best = i;
		best_distance = distance;
	}
	return best;
}

uint32_t pe_rank_of(const struct pe_host *hosts, uint32_t count, uint64_t hash)
{
	uint32_t before = 0;

	for (uint32_t i = 0; i < count; i++)
		before += hosts[i].takes_part && hosts[i].hash < hash;
	return before;
}
