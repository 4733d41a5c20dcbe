/*
 * tm - the time lines of several processes as one ordered list.
 *
 * Overview
 *	Parts are added as they come, in any order; events that the filter
 *	leaves out are not kept. tm_print() orders the rest by stamp. A stamp
 *	is a hybrid logical clock, so that a cause stands before its effect
 *	also where the clocks of two hosts differ. There are no sockets here.
 *
 * Use
 *	tm_init(&list, &(struct tm_filter){ .kind = TL_KIND_COUNT });
 *	tm_add(&list, part);
 *	tm_print(&list, false, stdout);
 *	tm_finish(&list);
 */
#ifndef TIMELINE_MERGE_H
#define TIMELINE_MERGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "rpc/gen/balsampin.h"

/**
 * struct tm_filter - which events are kept.
 * @subject: NULL for all.
 * @host: NULL for all.
 * @kind: TL_KIND_COUNT for all.
 */
struct tm_filter {
	const char *subject;
	const char *host;
	uint32_t kind;
};

/** struct tm_event - one event and where it comes from. */
struct tm_event {
	uint64_t stamp;
	uint32_t kind;
	uint64_t incarnation;
	const char *host;
	const char *role;
	const char *subject;
	const char *detail;
};

/** struct tm_list - state; @events holds struct tm_event. */
struct tm_list {
	struct tm_filter filter;
	GArray *events;
	GStringChunk *_texts;
};

void tm_init(struct tm_list *list, const struct tm_filter *filter);
void tm_finish(struct tm_list *list);

/** tm_add() - take in what one process answered; texts are copied. */
void tm_add(struct tm_list *list, const bp_timeline_part *part);

/** tm_print() - order and print, one line each; JSON lines if @json. */
void tm_print(struct tm_list *list, bool json, FILE *out);

#endif
