/*
 * ps_row - the proven suspects of a table as text, for a row of a store.
 *
 * Overview
 *	A line for each crash: fingerprint, time on the store's steady clock,
 *	engine, incarnation, and how often it was tried since. The row is
 *	bounded by PS_ROW_MAX fingerprints, the newest ones, and has no crash
 *	older than PS_EXPIRE_MS.
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
 * ps_row_read() - charge what the text says.
 * @store_ms: of the store's clock, now.
 */
void ps_row_read(struct ps_table *table, const char *text, int64_t now_ms,
		 int64_t store_ms);

/** ps_row_is_current() - the text has the fingerprints that it should. */
bool ps_row_is_current(const struct ps_table *table, const char *text,
		       int64_t now_ms);

/** ps_row_format() - freed with g_free(). */
char *ps_row_format(const struct ps_table *table, int64_t now_ms,
		    int64_t store_ms);

#endif
