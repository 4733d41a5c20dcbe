/*
 * fl - upstreams known to this host and their observed state.
 *
 * Overview
 *	Entries come from the store. If an entry disappears while the store is
 *	reliable, its upstream is removed at once and gets no new requests. An
 *	entry that disappears around an outage of the store may merely have
 *	expired there, so its upstream stays in use for a bounded time
 *	(fl_mark_missing()).
 *
 *	An upstream that restarts under the same id is a new incarnation; the
 *	state observed of the previous one is dropped. What an incarnation said
 *	of itself (fl_notice.h) is kept when its entry disappears for a while.
 *
 *	An upstream stays in memory while requests refer to it.
 *
 *	The build of an upstream, the version of its software, is that of its
 *	entry. After a crash the next process under its id may be of another
 *	build before its entry has been read here: until then the build is not
 *	known (fl_build()).
 *
 *	This module reads no clock and makes no placement decisions.
 *
 * Use
 *	fl_init(&fleet, loop);
 *	fl_put(&fleet, &entry);
 *	fl_for_each(&fleet, e) ...
 *	fl_mark_missing(&fleet, "i-7", keep_until_ms);
 *	fl_expire(&fleet, now_ms);
 */
#ifndef FL_H
#define FL_H

#include "dialect/dl.h"
#include "fleet/fl_notice.h"
#include "http1/h1_client.h"
#include "limits/rj.h"

/**
 * struct fl_engine - an upstream.
 * @entry: last entry read; @entry.weights is also updated when the upstream
 *	reports other weights.
 * @hash: hash of the id, for rendezvous hashing.
 * @peer: connections to the upstream.
 * @running: requests of this host that run there.
 * @waiting_tokens: prompt tokens of those requests still to be prefilled.
 * @failures: consecutive failures.
 * @avoid_until_ms: until then used only if there is no other upstream.
 * @checked_ms, @failed_checks, @is_checking, @check_again: see gw_silence.h.
 * @region: region of its availability zone; set by the owner of the fleet.
 * @region_number: number of the region, equal for equal names.
 * @is_updating: about to load new weights, or loading; see gw_plan.h.
 * @updating_since_ms: when @is_updating was set.
 * @notice: what it has said of itself; change it with fl_keep_notice().
 * @rejections: backoff after its rejections, see limits/rj.h.
 * @is_gone: removed; kept in memory only for requests that refer to it.
 */
struct fl_engine {
	struct dl_engine entry;
	uint64_t hash;
	struct h1_peer peer;
	uint32_t running;
	uint32_t waiting_tokens;
	uint32_t failures;
	int64_t avoid_until_ms;
	int64_t checked_ms;
	uint32_t failed_checks;
	bool is_checking;
	bool check_again;
	const char *region;
	uint32_t region_number;
	bool is_updating;
	int64_t updating_since_ms;
	struct fl_notice notice;
	struct rj_state rejections;
	bool is_gone;

	uint64_t _build;
	uint64_t _incarnation;
	uint64_t _run_incarnation;
	uint32_t _references;
	int64_t _missing_until_ms;
};

/** Incarnations whose notices are kept. */
#define FL_MAX_NOTICES 4096

struct fl_fleet {
	struct ev_loop *_loop;
	GPtrArray *_engines;
	GHashTable *_notices;
};

void fl_init(struct fl_fleet *fleet, struct ev_loop *loop);
void fl_finish(struct fl_fleet *fleet);

/**
 * fl_put() - add or update an upstream from its entry; returns it.
 *
 * An incarnation that drains goes on draining: an entry that says otherwise is
 * from an older copy of the store. Without the time of its start, it may be the
 * next process.
 */
struct fl_engine *fl_put(struct fl_fleet *fleet, const struct dl_engine *entry);

/**
 * fl_mark_missing() - handle an entry that is no longer in the store.
 * @keep_until_ms: when to drop the upstream; 0: drop it now.
 */
void fl_mark_missing(struct fl_fleet *fleet, const char *id,
		     int64_t keep_until_ms);

/** fl_keep_notice() - keep the notice of @engine for when its entry returns. */
void fl_keep_notice(struct fl_fleet *fleet, const struct fl_engine *engine);

/** fl_is_leaving() - whether its entry or itself says that it leaves. */
static inline bool fl_is_leaving(const struct fl_engine *engine)
{
	return engine->entry.is_draining || engine->notice.is_leaving;
}

/** fl_incarnation() - hash of this start of @engine, equal on all hosts. */
uint64_t fl_incarnation(const struct fl_engine *engine);

/**
 * fl_count_end() - a crash of @engine was found; the next process at its
 * address may answer before its entry is known here.
 */
void fl_count_end(struct fl_engine *engine);

/**
 * fl_forget_build() - @engine has exited, whether or not requests ran there;
 * its build is not known until another incarnation has written its entry.
 */
void fl_forget_build(struct fl_engine *engine);

/** fl_keep_build() - set fl_build() to @build, which it was before an exit. */
void fl_keep_build(struct fl_engine *engine, uint64_t build);

/**
 * fl_build() - hash of the version of its software, equal on all hosts; 0: not
 * known.
 */
uint64_t fl_build(const struct fl_engine *engine);

/** fl_build_hash() - fl_build() of an upstream with this version. */
uint64_t fl_build_hash(const char *version);

/**
 * fl_run_incarnation() - fl_incarnation(), or after a crash an inferred one
 * (PS_INFERRED_BIT), which each host draws for itself: hosts that found
 * different crashes give them different ones.
 */
uint64_t fl_run_incarnation(const struct fl_engine *engine);

/**
 * fl_find_run() - the upstream with this hash, if @incarnation is its
 * fl_run_incarnation(); NULL if not.
 */
struct fl_engine *fl_find_run(const struct fl_fleet *fleet, uint64_t hash,
			      uint64_t incarnation);

/**
 * fl_is_superseded_by() - whether @entry is another incarnation of @engine, or
 * another upstream at its address.
 */
bool fl_is_superseded_by(const struct fl_engine *engine,
			 const struct dl_engine *entry);

/** fl_expire() - drop upstreams missing for too long; returns their number. */
uint32_t fl_expire(struct fl_fleet *fleet, int64_t now_ms);

struct fl_engine *fl_find(const struct fl_fleet *fleet, const char *id);

void fl_ref(struct fl_engine *engine);
void fl_unref(struct fl_engine *engine);

static inline uint32_t fl_count(const struct fl_fleet *fleet)
{
	return fleet->_engines->len;
}

static inline struct fl_engine *fl_at(const struct fl_fleet *fleet, uint32_t i)
{
	return (struct fl_engine *)fleet->_engines->pdata[i];
}

#define fl_for_each(fleet, e)                                                  \
	for (uint32_t _i = 0; _i < fl_count(fleet); _i++)                      \
		for (struct fl_engine *e = fl_at(fleet, _i); e; e = NULL)

#endif
