#include "gateway/gw_spread.h"

#include "gateway/gw_hosts.h"

void gw_spread_shuffle(GPtrArray *list)
{
	for (uint32_t i = list->len; i > 1; i--) {
		uint32_t j = g_random_int_range(0, (gint32)i);
		void *last = list->pdata[i - 1];

		list->pdata[i - 1] = list->pdata[j];
		list->pdata[j] = last;
	}
}

uint32_t gw_spread_fill(const GPtrArray *receivers, uint32_t relay,
			uint32_t relays, bp_forward *forwards)
{
	uint32_t count = 0;

	for (uint32_t i = relay + relays;
	     i < receivers->len && count < BP_MAX_FORWARDS; i += relays) {
		const struct gw_peer *peer = receivers->pdata[i];

		forwards[count++] =
			(bp_forward){ peer->address.ipv4, peer->address.port };
	}
	return count;
}
