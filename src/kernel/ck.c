#include "kernel/ck.h"

#include <time.h>

static int64_t ck_read_us(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int64_t ck_now_us(void)
{
	return ck_read_us(CLOCK_BOOTTIME);
}

int64_t ck_now_ms(void)
{
	return ck_now_us() / 1000;
}

int64_t ck_wall_ms(void)
{
	return ck_read_us(CLOCK_REALTIME) / 1000;
}

uint64_t ck_hlc_tick(struct ck_hlc *hlc, int64_t wall_ms)
{
	uint64_t wall = (uint64_t)wall_ms << CK_HLC_COUNTER_BITS;

	hlc->last = wall > hlc->last ? wall : hlc->last + 1;
	return hlc->last;
}

void ck_hlc_observe(struct ck_hlc *hlc, uint64_t stamp, int64_t wall_ms)
{
	if (ck_hlc_wall_ms(stamp) > wall_ms + CK_HLC_MAX_AHEAD_MS)
		return;
	if (stamp > hlc->last)
		hlc->last = stamp;
}
