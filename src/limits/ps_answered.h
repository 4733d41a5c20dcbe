/*
 * ps_answered - fingerprints that were answered in full; private to ps*.c.
 *
 * Load pattern
 *	All prompts of a route share a part, and most requests hold further
 *	parts that are rare. When every host restarts amid crashes, the shared
 *	part is at all crashes that follow, so it must stay known that engines
 *	answered it just before.
 *
 * Overview
 *	PS_MAX_COMPLETED fingerprints at most, each with the time of its last
 *	complete answer and their number. A full table halves the numbers and
 *	drops what comes to 0, so it keeps what is answered often.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	ps_record_completion(&table, fingerprint, now_ms);
 *	at_ms = ps_completed_ms(&table, fingerprint);
 */
#ifndef PS_ANSWERED_H
#define PS_ANSWERED_H

#include "limits/ps.h"

/** ps_record_completion() - record an answer in full. */
void ps_record_completion(struct ps_table *table, uint64_t fingerprint,
			  int64_t now_ms);

#endif
