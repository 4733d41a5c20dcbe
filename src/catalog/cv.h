/*
 * cv - check of a catalog: rules that a valid configuration may still break,
 * and differences between two versions.
 *
 * Overview
 *	The decoder reports what a host refuses or ignores. cv_check() reports
 *	what a host accepts although it can have no effect or contradicts
 *	itself: entries that no request reaches, limits that exclude each
 *	other. cv_check_change() reports what matters only beside the version
 *	in force, and cv_diff() lists the differences.
 *
 *	All are pure functions and meant for an operator's tool, before a
 *	configuration is sent. They address no load: hosts don't call them.
 *	Time and memory grow linearly with the size of the configuration.
 *
 *	Names of members are those of the operator's file: @fields is
 *	dl_dialect.config_fields. Keys are secrets and never in a text.
 *
 * Use
 *	cv_check(catalog, dialect->config_fields,
 *		 &(struct cv_host){ .memory_mb = CV_MEMORY_MB }, &findings);
 *	if (findings.totals[FD_ERROR])
 *		...
 *	changes = cv_diff(before, catalog, dialect->config_fields);
 *	for (uint32_t i = 0; i < changes->len; i++)
 *		print(changes->pdata[i]);	// struct cv_change
 *	g_ptr_array_unref(changes);
 */
#ifndef CV_H
#define CV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "catalog/ca.h"
#include "settings/fd.h"

/* The smallest host that is in use: memory_mb of its settings. */
#define CV_MEMORY_MB 88

/** struct cv_host - the smallest host; @memory_mb 0: unlimited. */
struct cv_host {
	uint64_t memory_mb;
};

void cv_check(const struct ca_catalog *c, const char *const *fields,
	      const struct cv_host *host, struct fd_list *findings);

/** cv_check_change() - what a host with @before in force makes of @after. */
void cv_check_change(const struct ca_catalog *before,
		     const struct ca_catalog *after, struct fd_list *findings);

enum cv_subject { CV_VERSION = 0, CV_ROUTE, CV_SERVICE, CV_TEAM, CV_LIMIT };

/**
 * struct cv_change - a difference between two versions.
 * @name: of the route (host and prefix), service or team, otherwise "".
 * @field: name of the member that differs; NULL: the whole entry.
 * @before: NULL if the entry was added.
 * @after: NULL if the entry was removed.
 * @takes_away: callers lose keys, routes, services or room.
 */
struct cv_change {
	enum cv_subject subject;
	char *name;
	const char *field;
	char *before;
	char *after;
	bool takes_away;
};

/**
 * cv_diff() - differences from @before to @after, ordered by subject.
 *
 * Return: array of struct cv_change that owns them.
 */
GPtrArray *cv_diff(const struct ca_catalog *before,
		   const struct ca_catalog *after, const char *const *fields);

const char *cv_subject_name(enum cv_subject subject);

#endif
