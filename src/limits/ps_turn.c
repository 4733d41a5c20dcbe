#include "limits/ps_turn.h"

void ps_turn_read(struct ps_turn *turn, uint64_t version, int64_t now_ms)
{
	/* Another host writes the row. */
	if (version != turn->version)
		turn->stale_ms = 0;
	turn->version = version;
	turn->read_ms = now_ms;
}

enum ps_turn_step ps_turn_next(struct ps_turn *turn, bool is_stale,
			       uint32_t owner_index, int64_t now_ms)
{
	int64_t wait_ms = (int64_t)owner_index * PS_TURN_TAKEOVER_MS;

	if (!is_stale) {
		turn->stale_ms = 0;
		return PS_TURN_WAIT;
	}
	if (!turn->stale_ms)
		turn->stale_ms = now_ms;
	if (now_ms - turn->stale_ms < wait_ms)
		return PS_TURN_WAIT;
	if (turn->read_ms < turn->stale_ms + wait_ms && owner_index > 0)
		return PS_TURN_READ;
	return PS_TURN_WRITE;
}
