/*
 * fl - the fleet: upstreams that this host knows, and what it learned.
 *
 * Overview
 *	Entries come from the store. An entry that disappears while the store
 *	can be trusted is gone at once: its upstream takes no new request. One
 *	that disappears around an outage of the store may only have lapsed
 *	there, so it stays in use for a bounded time (fl_mark_missing()).
 *
 *	An upstream that started again under the same id is a new incarnation:
 *	what was learned of it before is dropped.
 *
 *	An upstream stays in memory while requests refer to it.
 *
 *	No clock and no decision on placement here.
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
#include "http1/h1_client.h"

/**
 * struct fl_engine - an upstream.
 * @entry: as last read; @entry.weights also follows what it was seen to have.
 * @hash: of the id, for rendezvous hashing.
 * @peer: connections to it.
 * @running: requests of this host there.
 * @waiting_tokens: prompt tokens of theirs that are not read yet.
 * @failures: in a row.
 * @avoid_until_ms: it gets no request before, unless there is no other.
 * @checked_ms, @failed_checks, @is_checking, @check_again: see gw_silence.h.
 * @region: of its availability zone; set by the owner of the fleet.
 * @region_number: of its name, equal for equal names.
 * @is_updating: it is about to load new weights or does; see gw_plan.h.
 * @updating_since_ms: when that began.
 * @is_gone: no new requests; kept for those that still refer to it.
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
	bool is_gone;

	uint64_t _incarnation;
	uint32_t _references;
	int64_t _missing_until_ms;
};

struct fl_fleet {
	struct ev_loop *_loop;
	GPtrArray *_engines;
};

void fl_init(struct fl_fleet *fleet, struct ev_loop *loop);
void fl_finish(struct fl_fleet *fleet);

/** fl_put() - an entry was read; returns the upstream. */
struct fl_engine *fl_put(struct fl_fleet *fleet, const struct dl_engine *entry);

/**
 * fl_mark_missing() - an entry is not in the store any more.
 * @keep_until_ms: 0: it is gone now.
 */
void fl_mark_missing(struct fl_fleet *fleet, const char *id,
		     int64_t keep_until_ms);

/** fl_incarnation() - number of this start of it, the same on all hosts. */
uint64_t fl_incarnation(const struct fl_engine *engine);

/** fl_is_superseded_by() - @entry tells that another one has taken its place.
 */
bool fl_is_superseded_by(const struct fl_engine *engine,
			 const struct dl_engine *entry);

/** fl_expire() - drop those that stayed missing; returns how many. */
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
