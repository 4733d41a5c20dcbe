/*
 * cr_source - selection of the process to pull from, and the trust condition.
 *
 * Overview
 *	Used by cr and by control's store task; plain functions over the
 *	membership table. A source that failed is skipped for a backoff time
 *	that doubles with each consecutive failure.
 */
#ifndef CR_SOURCE_H
#define CR_SOURCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "membership/mb.h"

#define CR_FIRST_BACKOFF_MS 500
#define CR_MAX_BACKOFF_MS   16000
/* Control processes of a zone that poll the host list at the platform. */
#define CR_POLLERS_PER_ZONE 2

/**
 * struct cr_sources - own location and failures of sources.
 * @host: own host; its control process is preferred.
 * @zone: own availability zone; its processes come next.
 * @region: own region; its processes come after those of the zone.
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
 * cr_source_newer() - select a process with a revision above @have_revision.
 * @random: random number that chooses among equally ranked processes.
 *
 * Return: the process with the best rank (control processes before others; own
 * host, zone and region first), or NULL if none is available now.
 */
const struct mb_member *cr_source_newer(const struct cr_sources *sources,
					const struct mb_table *members,
					uint64_t have_revision, uint32_t random,
					int64_t now_ms);

/**
 * cr_source_any() - select a control process, whatever its revision.
 * @ignore_location: no preference for own host, zone and region.
 *
 * Within the own zone, the processes that poll the host list come first.
 */
const struct mb_member *cr_source_any(const struct cr_sources *sources,
				      const struct mb_table *members,
				      bool ignore_location, uint32_t random,
				      int64_t now_ms);

/** cr_source_failed() - record a failed pull and extend the backoff. */
void cr_source_failed(struct cr_sources *sources, enum mb_role role,
		      const char *name, int64_t now_ms);
/** cr_source_answered() - clear the failures of a source. */
void cr_source_answered(struct cr_sources *sources, enum mb_role role,
			const char *name);

/**
 * cr_polls_host_list() - whether the control process of @host polls the list.
 *
 * In each zone, the first CR_POLLERS_PER_ZONE live control processes, ordered
 * by name, poll the host list; the others of the zone pull it from them.
 */
bool cr_polls_host_list(const struct mb_table *members, const char *zone,
			const char *host);

/** cr_highest_known_revision() - highest of all members, reachable or not. */
uint64_t cr_highest_known_revision(const struct mb_table *members);

/**
 * cr_has_caught_up() - whether a replica that started empty has caught up.
 * @source_is_trusted: whether the process that answered is itself trusted.
 * @source_revision: revision in force at the source.
 * @own_revision: revision in force here after the answer was applied.
 * @highest_known: see cr_highest_known_revision().
 */
static inline bool cr_has_caught_up(bool source_is_trusted,
				    uint64_t source_revision,
				    uint64_t own_revision,
				    uint64_t highest_known)
{
	return source_is_trusted && own_revision >= source_revision &&
	       own_revision >= highest_known;
}

#endif
