/*
 * pe_begun - table of the streams that began and the builds that began them.
 *
 * Load pattern
 *	A caller whose stream broke off takes it up at any host. Engines of
 *	another build cannot go on with it, so that host has to know the build.
 *
 * Overview
 *	A record belongs to an attempt of a caller. The host that forwards the
 *	first event makes it, and the owners of the attempt (pe_home.h) get a
 *	copy. It is kept for PE_BEGUN_KEEP_MS since it was last renewed. When
 *	the table is full, the record that was renewed longest ago is dropped.
 *
 *	A build of 0 is not known. An attempt for which two builds or two
 *	services were recorded has no known build until its record expires: its
 *	caller may hold events of either.
 *
 *	Attempts, services and builds are 64-bit hashes. Plain functions, no
 *	clock, no sockets.
 *
 * Use
 *	pe_begun_init(&begun, PE_MAX_BEGUN);
 *	pe_begun_add(&begun, attempt, service, build, now_ms);
 *	if (pe_begun_find(&begun, attempt, service, now_ms, &build)) ...
 */
#ifndef PE_BEGUN_H
#define PE_BEGUN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Time for which a record is kept since it was last renewed. */
#define PE_BEGUN_KEEP_MS 60000
/**
 * Records of a host, some 100 bytes each. A host gets four records for each
 * stream that it begins, so they fit for 260 streams a second; above, records
 * are kept for a shorter time.
 */
#define PE_MAX_BEGUN 65536

struct pe_begun {
	GHashTable *_records;
	GQueue _by_age;
	uint32_t _max;
};

void pe_begun_init(struct pe_begun *begun, uint32_t max);
void pe_begun_finish(struct pe_begun *begun);

/**
 * pe_begun_add() - record that @build began the stream of @attempt, or renew
 * the record.
 *
 * Return: false if another build or service is recorded for @attempt; its build
 * is not known from now on.
 */
bool pe_begun_add(struct pe_begun *begun, uint64_t attempt, uint64_t service,
		  uint64_t build, int64_t now_ms);

/**
 * pe_begun_find() - find the record of @attempt.
 * @build: 0 if the record says that the build is not known.
 *
 * Return: false if there is no record.
 */
bool pe_begun_find(const struct pe_begun *begun, uint64_t attempt,
		   uint64_t service, int64_t now_ms, uint64_t *build);

/** pe_begun_expire() - drop records that are no longer kept. */
void pe_begun_expire(struct pe_begun *begun, int64_t now_ms);

uint32_t pe_begun_count(const struct pe_begun *begun);

/**
 * struct pe_begun_answer - what a host knows of an attempt.
 * @is_known: it has a record, which says @build.
 * @inferred: else, the only build of the service; 0: not inferred.
 * @has_several: it has seen several builds in the service.
 * @is_spare: it is no owner of the attempt. It may lack a record of another
 *	build that the owners have.
 */
struct pe_begun_answer {
	bool is_known;
	uint64_t build;
	uint64_t inferred;
	bool has_several;
	bool is_spare;
};

enum pe_begun_outcome { PE_BEGUN_UNKNOWN, PE_BEGUN_INFERRED, PE_BEGUN_KNOWN };

/**
 * pe_begun_decide() - find the build from answers in the order of arrival.
 *
 * The first answer of an owner with a record decides, else the first of another
 * host. Without one, the build counts that all answers which infer one agree
 * on, unless a host has seen several: the others may just not have heard of the
 * newest yet.
 */
enum pe_begun_outcome pe_begun_decide(const struct pe_begun_answer *answers,
				      uint32_t count, uint64_t *build);

#endif
