#include "peers/pe_home.h"

#include <xxhash.h>

static uint64_t pe_weight(uint64_t host, uint64_t key)
{
	return XXH3_64bits_withSeed(&host, sizeof(host), key);
}

uint32_t pe_rank(const uint64_t *hosts, uint32_t count, uint64_t key,
		 uint32_t max, uint32_t *ranked)
{
	uint64_t weights[PE_MAX_RANKED];
	uint32_t found = 0;

	if (max > PE_MAX_RANKED)
		max = PE_MAX_RANKED;
	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight = pe_weight(hosts[i], key);
		uint32_t at = found < max ? found++ : max;

		while (at > 0 && weights[at - 1] < weight) {
			if (at < max) {
				weights[at] = weights[at - 1];
				ranked[at] = ranked[at - 1];
			}
			at--;
		}
		if (at < max) {
			weights[at] = weight;
			ranked[at] = i;
		}
	}
	return found;
}

uint32_t pe_owners(const uint64_t *hosts, uint32_t count, uint64_t key,
		   uint32_t owners[PE_OWNERS])
{
	return pe_rank(hosts, count, key, PE_OWNERS, owners);
}
