#include "peers/pe_start.h"

#include <glib.h>

/* Time from which a host reads the table itself. */
static int64_t pe_read_from_ms(const struct pe_start_state *s)
{
	int64_t round = s->rank / PE_START_READERS;

	if (!s->others)
		return 0;
	if (!round)
		return s->answers ? s->jitter_ms
				  : PE_START_FIRST_MS + s->jitter_ms;
	if (!s->answers)
		return PE_START_ALONE_MS + s->jitter_ms;
	return MIN(PE_START_ALONE_MS + round * PE_START_ROUND_MS,
		   PE_START_MAX_MS) +
	       s->jitter_ms;
}

enum pe_start_step pe_start_next(const struct pe_start_state *state)
{
	if (state->is_copying)
		return PE_START_WAIT;
	return state->known_ms >= pe_read_from_ms(state) ? PE_START_READ
							 : PE_START_ASK;
}

static bool pe_is_first_of_zone(const struct pe_start_host *hosts,
				uint32_t index)
{
	for (uint32_t i = 0; i < index; i++)
		if (hosts[i].zone == hosts[index].zone)
			return false;
	return true;
}

uint32_t pe_start_rank(const struct pe_start_host *hosts, uint32_t count)
{
	uint32_t rank = 0, zones = 0, zones_before = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (pe_is_first_of_zone(hosts, i)) {
			zones++;
			zones_before += hosts[i].zone < hosts[0].zone;
		}
		rank += i && hosts[i].zone == hosts[0].zone &&
			hosts[i].is_seen && hosts[i].hash < hosts[0].hash;
	}
	return rank * zones + zones_before;
}
