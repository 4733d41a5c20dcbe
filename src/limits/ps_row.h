/*
 * ps_row - the proven suspects of a table as text, for a row of a store.
 *
 * Overview
 *	The text has a line for each crash: fingerprint, time on the steady
 *	clock of the store, engine, incarnation, and number of probes since.
 *	The row holds the newest PS_ROW_MAX fingerprints at most, and none
 *	whose last recorded crash is older than PS_EXPIRE_MS.
 *
 * Use
 *	ps_row_read(&table, text, now_ms, store_ms);
 *	if (!ps_row_is_current(&table, text, now_ms))
 *		text = ps_row_format(&table, now_ms, store_ms);
 */
#ifndef PS_ROW_H
#define PS_ROW_H

#include "limits/ps.h"

#define PS_ROW_MAX 64

/**
 * ps_row_read() - record the crashes and probes in the text.
 * @store_ms: current time on the clock of the store.
 */
void ps_row_read(struct ps_table *table, const char *text, int64_t now_ms,
		 int64_t store_ms);

/** ps_row_is_current() - whether the text lists exactly the proven suspects. */
bool ps_row_is_current(const struct ps_table *table, const char *text,
		       int64_t now_ms);

/** ps_row_format() - format the row; free it with g_free(). */
char *ps_row_format(const struct ps_table *table, int64_t now_ms,
		    int64_t store_ms);

#endif
