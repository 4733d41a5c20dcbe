/*
 * ps_row - what a table knows of crashes as text, for a row of a store.
 *
 * Load pattern
 *	All hosts are killed while engines crash. What they knew and had not
 *	proven yet would have to be collected again, with an engine for each
 *	crash; and a part that all prompts share would be taken for the cause,
 *	as no host knows that engines answered it just before.
 *
 * Overview
 *	The text has a line for each crash of a proven fingerprint: fingerprint,
 *	time on the steady clock of the store, engine, incarnation, and number
 *	of probes since. The row holds the newest PS_ROW_MAX fingerprints at
 *	most, and none whose last recorded crash is older than PS_EXPIRE_MS.
 *
 *	Lines that start with a letter are ignored by versions which only know
 *	those above:
 *
 *	- t: the time at which the row was written.
 *	- w: a crash of a watched fingerprint, one with at least
 *	  PS_POISON_CRASHES crashes that is not proven; PS_ROW_MAX_WATCHED of
 *	  them, those with most crashes first.
 *	- s: a fingerprint and when it was last answered in full: those with
 *	  crashes above, then the most frequent ones of the last
 *	  PS_COMPLETED_RECENT_MS; PS_ROW_MAX_ANSWERED in all.
 *
 *	Without crashes within PS_ROW_ACTIVE_MS, only changes of what is proven
 *	and answers that clear a watched fingerprint make the row out of date.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	ps_row_read(&table, text, now_ms, store_ms);
 *	if (ps_row_pause_ms(text, store_ms) == 0 &&
 *	    ps_row_is_stale(&table, text, now_ms, store_ms))
 *		text = ps_row_format(&table, now_ms, store_ms);
 */
#ifndef PS_ROW_H
#define PS_ROW_H

#include "limits/ps.h"

#define PS_ROW_MAX	    64
#define PS_ROW_MAX_WATCHED  32
#define PS_ROW_MAX_ANSWERED 128
/** Upper bound of the text: 71 bytes for a crash, 34 for an answer. */
#define PS_ROW_MAX_BYTES 65536
/** Least time between two writes of the row, over all hosts. */
#define PS_ROW_GAP_MS 1000
/** A row with older answers is written again while engines crash. */
#define PS_ROW_ANSWERS_MS 2000
/** Engines crash as long as the last crash is this recent. */
#define PS_ROW_ACTIVE_MS PS_PART_ANSWERED_MS

/**
 * ps_row_read() - record the crashes, probes and answers in the text. What is
 * proven there and was not known here counts as proven.
 * @store_ms: current time on the clock of the store.
 */
void ps_row_read(struct ps_table *table, const char *text, int64_t now_ms,
		 int64_t store_ms);

/** ps_row_is_current() - whether the text lists exactly the proven suspects. */
bool ps_row_is_current(const struct ps_table *table, const char *text,
		       int64_t now_ms);

/**
 * ps_row_is_stale() - whether the text is not current, lacks recent crashes of
 * watched fingerprints or answers, or blames one that was answered since.
 */
bool ps_row_is_stale(const struct ps_table *table, const char *text,
		     int64_t now_ms, int64_t store_ms);

/** ps_row_pause_ms() - time until the row may be written again. */
int64_t ps_row_pause_ms(const char *text, int64_t store_ms);

/** ps_row_format() - format the row; free it with g_free(). */
char *ps_row_format(const struct ps_table *table, int64_t now_ms,
		    int64_t store_ms);

#endif
