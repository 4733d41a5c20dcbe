#include "peers/pe_home.h"

#include <xxhash.h>

static uint64_t pe_weight(uint64_t host, uint64_t key)
{
	return XXH3_64bits_withSeed(&host, sizeof(host), key);
}

uint32_t pe_owners(const uint64_t *hosts, uint32_t count, uint64_t key,
		   uint32_t owners[PE_OWNERS])
{
	uint64_t weights[PE_OWNERS];
	uint32_t found = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight = pe_weight(hosts[i], key);
		uint32_t at = found < PE_OWNERS ? found++ : PE_OWNERS;

		while (at > 0 && weights[at - 1] < weight) {
			if (at < PE_OWNERS) {
				weights[at] = weights[at - 1];
				owners[at] = owners[at - 1];
			}
			at--;
		}
		if (at < PE_OWNERS) {
			weights[at] = weight;
			owners[at] = i;
		}
	}
	return found;
}
