/*
 * pe_reach - whether this host is cut off from all upstreams.
 *
 * Load pattern
 *	The links between some hosts and all upstreams fail, while callers, the
 *	store and the other hosts still reach them. Connections are reset, time
 *	out, or hang without an end. Each request would be tried at one upstream
 *	after the other, and refused or timed out.
 *
 * Overview
 *	A host is cut off when attempts at several upstreams have failed without
 *	a byte from them, and no upstream has sent a byte since the earliest of
 *	these attempts began, nor for PE_REACH_SILENT_MS. Any byte ends that.
 *	Upstreams that crash never look like it beside others that answer; a
 *	host that is idle may be wrong for as long as it takes to ask one.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	pe_reach_heard(&reach, now_ms);
 *	pe_reach_failed(&reach, upstream, sent_ms, upstreams, now_ms);
 *	if (reach.is_cut_off) ...
 */
#ifndef PE_REACH_H
#define PE_REACH_H

#include <stdbool.h>
#include <stdint.h>

/** Upstreams that must have failed, or all if there are fewer. */
#define PE_REACH_UPSTREAMS 3
/** Well over the time between two answers at a host under load. */
#define PE_REACH_SILENT_MS 300

/**
 * struct pe_reach - {0} is not cut off. Readable:
 * @is_cut_off: see above.
 * @heard_ms: when the last byte came from any upstream.
 */
struct pe_reach {
	bool is_cut_off;
	int64_t heard_ms;

	uint64_t _failed[PE_REACH_UPSTREAMS];
	uint32_t _failed_count;
};

/** pe_reach_heard() - an upstream has sent something. */
void pe_reach_heard(struct pe_reach *reach, int64_t now_ms);

/**
 * pe_reach_failed() - an attempt ended, or has lasted for too long, without a
 * byte from its upstream.
 * @upstream: hash of its id.
 * @began_ms: when the attempt began.
 * @upstreams: number of those that are known.
 */
void pe_reach_failed(struct pe_reach *reach, uint64_t upstream,
		     int64_t began_ms, uint32_t upstreams, int64_t now_ms);

#endif
