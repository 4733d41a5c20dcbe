/*
 * fd - findings: validation errors collected with their place.
 *
 * Overview
 *	Validation does not stop at the first error. It adds a finding for each
 *	error, with a place (a path such as "/teams/3/name", or "line 4, column
 *	7") and a message; the caller prints or sends the whole list.
 *
 * Use
 *	struct fd_list findings;
 *
 *	fd_init(&findings);
 *	fd_add(&findings, "/teams/3/name", "is empty");
 *	if (findings.count)
 *		fd_print(&findings, "settings.json", stderr);
 *	fd_finish(&findings);
 */
#ifndef FD_H
#define FD_H

#include <stdint.h>
#include <stdio.h>

#define FD_MAX_FINDINGS 256

struct fd_finding {
	char *place;
	char *message;
};

/**
 * struct fd_list - findings in the order in which they were added.
 * @count: number of findings in @items, at most FD_MAX_FINDINGS.
 * @left_out: number of further findings, which were dropped.
 */
struct fd_list {
	struct fd_finding items[FD_MAX_FINDINGS];
	uint32_t count;
	uint32_t left_out;
};

void fd_init(struct fd_list *list);
void fd_finish(struct fd_list *list);

/** fd_add() - append a finding; if the list is full, only count it. */
void fd_add(struct fd_list *list, const char *place, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** fd_print() - print a line "FILE: PLACE: MESSAGE" for each finding. */
void fd_print(const struct fd_list *list, const char *file, FILE *out);

#endif
