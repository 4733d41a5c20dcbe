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

/**
 * enum fd_severity - how serious a finding is.
 * @FD_ERROR: the input, or a part of it, is refused or ignored.
 * @FD_WARNING: the input is accepted, but is unlikely to do what was meant.
 * @FD_NOTE: worth knowing.
 */
enum fd_severity { FD_ERROR = 0, FD_WARNING, FD_NOTE, FD_SEVERITY_COUNT };

/**
 * struct fd_rule - the rule that a finding is about; static.
 * @name: short and stable, for tools.
 * @remedy: what to change.
 */
struct fd_rule {
	const char *name;
	enum fd_severity severity;
	const char *remedy;
};

struct fd_finding {
	char *place;
	char *message;
	const struct fd_rule *rule;
};

/**
 * struct fd_list - findings in the order in which they were added.
 * @count: number of findings in @items, at most FD_MAX_FINDINGS.
 * @left_out: number of further findings, which were dropped.
 * @totals: findings by severity, including those that were dropped.
 */
struct fd_list {
	struct fd_finding items[FD_MAX_FINDINGS];
	uint32_t count;
	uint32_t left_out;
	uint32_t totals[FD_SEVERITY_COUNT];
};

void fd_init(struct fd_list *list);
void fd_finish(struct fd_list *list);

/**
 * fd_add() - append an error without a rule of its own; if the list is full,
 * only count it.
 */
void fd_add(struct fd_list *list, const char *place, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * fd_report() - append a finding of a rule. In a full list, an error replaces
 * the last finding that is none; anything else is only counted.
 */
void fd_report(struct fd_list *list, const char *place,
	       const struct fd_rule *rule, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

const char *fd_severity_name(enum fd_severity severity);

/** fd_print() - print a line "FILE: PLACE: MESSAGE" for each finding. */
void fd_print(const struct fd_list *list, const char *file, FILE *out);

#endif
