/*
 * cr_source - which process a replica pulls from, and when it may vouch.
 *
 * Overview
 *	Used by cr and by control's store task; plain functions over the
 *membership table. A source that failed is left alone for a while that doubles
 *with each failure in a row.
 */
#ifndef CR_SOURCE_H
#define CR_SOURCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "membership/mb.h"

#define CR_FIRST_BACKOFF_MS 500
#define CR_MAX_BACKOFF_MS   16000
#define CR_POLLERS_PER_ZONE 2

/**
 * struct cr_sources - what is known of sources.
 * @host: own host, whose control process is asked first.
 * @zone: own availability zone, whose processes come next.
 * @region: own region.
 */
struct cr_sources {
	const char *host;
	const char *zone;
	const char *region;
	GHashTable *_failures;
};

void cr_sources_init(struct cr_sources *sources, const char *host,
		     const char *zone, const char *region);
void cr_sources_finish(struct cr_sources *sources);

/**
 * cr_source_newer() - a process that holds more than @have_revision.
 * @random: chooses among equally good ones.
 *
 * Return: control processes before others; own host, zone and region first;
 * NULL if there is none that may be asked now.
 */
const struct mb_member *cr_source_newer(const struct cr_sources *sources,
					const struct mb_table *members,
					uint64_t have_revision, uint32_t random,
					int64_t now_ms);

/**
 * cr_source_any() - the same whatever it holds, control only.
 * @ignore_location: no preference for own host, zone and region.
 */
const struct mb_member *cr_source_any(const struct cr_sources *sources,
				      const struct mb_table *members,
				      bool ignore_location, uint32_t random,
				      int64_t now_ms);

/** cr_source_failed() - a pull from it got no usable answer. */
void cr_source_failed(struct cr_sources *sources, enum mb_role role,
		      const char *name, int64_t now_ms);
void cr_source_answered(struct cr_sources *sources, enum mb_role role,
			const char *name);

/**
 * cr_polls_host_list() - whether a control process polls the host list.
 *
 * The first CR_POLLERS_PER_ZONE living ones of each zone, in the order of
 * names, do; the others of the zone pull from them.
 */
bool cr_polls_host_list(const struct mb_table *members, const char *zone,
			const char *host);

/** cr_highest_known_revision() - highest revision in any record, reachable or
 * not. */
uint64_t cr_highest_known_revision(const struct mb_table *members);

/**
 * cr_has_caught_up() - has a replica that started empty caught up?
 * @source_is_trusted: the process that answered may vouch itself.
 * @source_revision: what it holds.
 * @own_revision: in force here after its answer.
 * @highest_heard: see cr_highest_known_revision().
 */
static inline bool cr_has_caught_up(bool source_is_trusted,
				    uint64_t source_revision,
				    uint64_t own_revision,
				    uint64_t highest_heard)
{
	return source_is_trusted && own_revision >= source_revision &&
	       own_revision >= highest_heard;
}

#endif
