/*
 * ck - monotonic and wall clocks, and a hybrid logical clock for events.
 *
 * Overview
 *	Deadlines and leases use ck_now_ms(), which never goes backwards.
 *	Decision logic does not read the clock; callers pass the time in.
 *
 *	Events on different hosts are ordered by a hybrid logical clock: the
 *	wall clock's milliseconds in the upper 48 bits and a counter in the
 *	lower 16. Every message between processes carries the sender's stamp,
 *	and the receiver advances its own clock past that stamp. An effect
 *	therefore always has a higher stamp than its cause, even if the wall
 *	clocks of the two hosts differ.
 *
 * Use
 *	struct ck_hlc hlc = { 0 };
 *	uint64_t stamp = ck_hlc_tick(&hlc, ck_wall_ms());
 *	ck_hlc_observe(&hlc, stamp_from_peer, ck_wall_ms());
 *
 * Source
 *	S. Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots
 *	in Globally Distributed Databases", 2014.
 */
#ifndef CK_H
#define CK_H

#include <stdint.h>

#define CK_HLC_COUNTER_BITS 16
/** A peer's stamp that is further ahead of the wall clock is ignored. */
#define CK_HLC_MAX_AHEAD_MS 60000

/** struct ck_hlc - @last is the highest stamp issued or observed. */
struct ck_hlc {
	uint64_t last;
};

/** ck_now_ms() - monotonic milliseconds, including time suspended. */
int64_t ck_now_ms(void);

/** ck_now_us() - monotonic microseconds, including time suspended. */
int64_t ck_now_us(void);

/** ck_wall_ms() - milliseconds since 1970 by this host's wall clock. */
int64_t ck_wall_ms(void);

/** ck_hlc_tick() - issue a stamp above all issued or observed before. */
uint64_t ck_hlc_tick(struct ck_hlc *hlc, int64_t wall_ms);

/** ck_hlc_observe() - advance the clock to a peer's stamp. */
void ck_hlc_observe(struct ck_hlc *hlc, uint64_t stamp, int64_t wall_ms);

/** ck_hlc_wall_ms() - the wall clock part of a stamp. */
static inline int64_t ck_hlc_wall_ms(uint64_t stamp)
{
	return (int64_t)(stamp >> CK_HLC_COUNTER_BITS);
}

#endif
