/*
 * pe_builds - the builds that each service has had for the last minute.
 *
 * Overview
 *	If a service has had only one build for as long as records of streams
 *	are kept (pe_begun.h), that build began every stream which can still be
 *	taken up. To say so, a host must have known the engines for all that
 *	time. A host that was cut off, or whose process was stopped, may have
 *	missed a build that came and went, and infers nothing for a minute.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	pe_builds_see(&builds, service, build, now_ms);	for each engine
 *	pe_builds_follow(&builds, fresh_ms, now_ms);	often
 *	build = pe_builds_infer(&builds, service, now_ms);
 */
#ifndef PE_BUILDS_H
#define PE_BUILDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Knowledge of the engines that is older infers nothing at the moment. A host
 * in touch hears once a second that nothing has changed.
 */
#define PE_BUILDS_MAX_AGE_MS 1500
/**
 * After a longer gap a build may have come and gone unseen. A lost datagram and
 * a store that answers late, which are no reason to distrust, take 4 s.
 */
#define PE_BUILDS_GAP_MS 5000

struct pe_builds {
	GHashTable *_services;
	int64_t _fresh_ms;
	int64_t _followed_ms;
	int64_t _since_ms;
};

void pe_builds_init(struct pe_builds *builds);
void pe_builds_finish(struct pe_builds *builds);

/** pe_builds_see() - an engine of @service has @build now; 0: not known. */
void pe_builds_see(struct pe_builds *builds, uint64_t service, uint64_t build,
		   int64_t now_ms);

/**
 * pe_builds_follow() - note how well this host knows the engines; call several
 * times a second.
 * @fresh_ms: last time at which all engines were known; 0: never yet.
 */
void pe_builds_follow(struct pe_builds *builds, int64_t fresh_ms,
		      int64_t now_ms);

/**
 * pe_builds_infer() - the only build that @service has had for
 * PE_BEGUN_KEEP_MS, or 0.
 */
uint64_t pe_builds_infer(const struct pe_builds *builds, uint64_t service,
			 int64_t now_ms);

/**
 * pe_builds_has_several() - whether @service has had two builds or more of
 * those that are known, within PE_BEGUN_KEEP_MS.
 */
bool pe_builds_has_several(const struct pe_builds *builds, uint64_t service,
			   int64_t now_ms);

/** pe_builds_expire() - drop services not seen for PE_BEGUN_KEEP_MS. */
void pe_builds_expire(struct pe_builds *builds, int64_t now_ms);

#endif
