/*
 * ps_suspect - records of crashes, and what they prove; private to ps*.c.
 *
 * Overview
 *	A record holds the crashes at which a content or a part of a prompt was
 *	running, PS_MAX_CRASHES at most. It is proven to be their cause if it
 *	was at enough of them and nothing else was at all of them; ps.h has the
 *	rules for contents and for parts.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	ps_add_crash(&table, fingerprint, &crash);
 *	s = ps_find_current(&table, fingerprint, now_ms);
 *	if (s && ps_is_proven(&table, s)) ...refuse
 */
#ifndef PS_SUSPECT_H
#define PS_SUSPECT_H

#include "limits/ps.h"

/*
 * A fingerprint that was running at some crash.
 * @proven_ms: since when a part has been found to be proven; 0 if it was not.
 * @proof_count: number of crashes, the first ones, that proved it.
 */
struct _ps_suspect {
	uint64_t fingerprint;
	struct ps_crash crashes[PS_MAX_CRASHES];
	uint32_t count;
	uint32_t probes;
	int64_t last_ms;
	int64_t cleared_ms;
	int64_t confirmed_ms;
	int64_t proven_ms;
	uint32_t proof_count;
};

bool ps_has_crash(const struct _ps_suspect *suspect,
		  const struct ps_crash *crash);

int64_t ps_last_crash_ms(const struct _ps_suspect *suspect);

/** ps_was_at_all_crashes() - whether @other may have been at all of @suspect's.
 */
bool ps_was_at_all_crashes(const struct _ps_suspect *suspect,
			   const struct _ps_suspect *other);

/** ps_is_rival() - whether @other may be the cause of the crashes instead. */
bool ps_is_rival(const struct _ps_suspect *suspect,
		 const struct _ps_suspect *other);

/** ps_add_crash() - returns whether the crash was not recorded before. */
bool ps_add_crash(struct ps_table *table, uint64_t fingerprint,
		  const struct ps_crash *crash);

/** ps_clear() - drop the crashes up to @at_ms; returns whether there were any.
 */
bool ps_clear(struct ps_table *table, uint64_t fingerprint, int64_t at_ms);

bool ps_is_expired(const struct _ps_suspect *suspect, int64_t now_ms);

/** ps_find_current() - the record, NULL if there is none or it has expired. */
struct _ps_suspect *ps_find_current(struct ps_table *table,
				    uint64_t fingerprint, int64_t now_ms);

/**
 * ps_completed_recently() - whether an answer in full precedes the crashes by
 * at most PS_COMPLETED_RECENT_MS.
 */
bool ps_completed_recently(const struct ps_table *table,
			   const struct _ps_suspect *suspect);

/** ps_set_proven() - keep the crashes of a part as its proof, or drop it. */
void ps_set_proven(struct _ps_suspect *suspect, bool is_proven, int64_t now_ms);

/** ps_is_proven() - whether the record shows the cause of its crashes. */
bool ps_is_proven(const struct ps_table *table,
		  const struct _ps_suspect *suspect);

#endif
