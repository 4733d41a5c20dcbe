/*
 * ps_turn - whose turn it is to write the row of crash records, and when.
 *
 * Load pattern
 *	Engines crash every few hundred milliseconds, and every host learns of
 *	it. The store takes few writes, and its row is written as a whole.
 *
 * Overview
 *	The row has a few owners among the hosts, in order. The first one writes
 *	the row when it is out of date. Each following one waits
 *	PS_TURN_TAKEOVER_MS longer, then reads the row again, and writes it only
 *	if no other host has done so since. Hosts that differ on who the owners
 *	are keep the pause between two writes, too: a write names the version of
 *	the row that it replaces, and the row tells when it was written
 *	(ps_row_pause_ms()).
 *
 *	Plain functions, no clock.
 *
 * Use
 *	ps_turn_read(&turn, row->version, now_ms);
 *	switch (ps_turn_next(&turn, is_stale, owner_index, now_ms))
 */
#ifndef PS_TURN_H
#define PS_TURN_H

#include <stdbool.h>
#include <stdint.h>

#define PS_TURN_TAKEOVER_MS 3000

/**
 * enum ps_turn_step - what to do now.
 * @PS_TURN_READ: read the row, and ask again once that is done.
 * @PS_TURN_WRITE: write the row, and read it before asking again.
 */
enum ps_turn_step { PS_TURN_WAIT = 0, PS_TURN_READ, PS_TURN_WRITE };

/**
 * struct ps_turn - zeroed at first.
 * @version: of the row when last read; 0: it did not exist.
 * @read_ms: time of that read.
 * @stale_ms: since when the row is out of date; 0 if it is not.
 */
struct ps_turn {
	uint64_t version;
	int64_t read_ms;
	int64_t stale_ms;
};

/** ps_turn_read() - record that the row was read. */
void ps_turn_read(struct ps_turn *turn, uint64_t version, int64_t now_ms);

/**
 * ps_turn_next() - decide on the next step; call it on owners only, and when
 * the pause since the last write is over.
 * @is_stale: the row as last read is out of date.
 * @owner_index: 0 for the first owner.
 */
enum ps_turn_step ps_turn_next(struct ps_turn *turn, bool is_stale,
			       uint32_t owner_index, int64_t now_ms);

#endif
