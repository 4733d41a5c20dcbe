/*
 * lo - log lines of all hosts around one request or engine, in order of time.
 *
 * Overview
 *	Takes the JSON lines that the processes print, selects those that name
 *	an id, and on request what the hosts of these lines learned or decided
 *	just before and after: the store, configuration, engines, lease.
 *	Lines that are no JSON object are counted and left out.
 *
 * Use
 *	lo_init(&list);
 *	lo_add(&list, text);		// each line of each file
 *	lo_select(&list, "r-17", 2000);
 *	lo_print(&list, false, out);
 *	lo_finish(&list);
 */
#ifndef LO_H
#define LO_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * struct lo_list - memory of the caller. Readable:
 * @unreadable: lines that are no JSON object with a time.
 * @selected: lines that lo_print() prints.
 */
struct lo_list {
	uint32_t unreadable;
	uint32_t selected;
	GPtrArray *_lines;
};

void lo_init(struct lo_list *list);
void lo_finish(struct lo_list *list);

/** lo_add() - a line, with or without its end. */
void lo_add(struct lo_list *list, const char *text);

/**
 * lo_select() - lines with a field that equals @id, and of their hosts those
 * about no request that are at most @around_ms before or after one of them.
 */
void lo_select(struct lo_list *list, const char *id, int64_t around_ms);

/** lo_print() - the selected lines, by time; @is_json prints them as read. */
void lo_print(const struct lo_list *list, bool is_json, FILE *out);

#endif
