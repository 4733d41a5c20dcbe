/*
 * lm_cap - usage caps of teams, over all hosts together.
 *
 * Load pattern
 *	Callers of a team send more than its cap allows, spread evenly or over
 *	few hosts, all of a sudden or for hours. A request may cost more than
 *	the part of a host for a second, so the cap can't be divided into parts.
 *
 * Overview
 *	Each host keeps one token bucket per team for the whole fleet. Its own
 *	charges are deducted at once, those of other hosts when their counters
 *	arrive. A counter is cumulative, so a lost message is made up for by the
 *	next one and a duplicate changes nothing.
 *
 *	Charges of others come from sources: hosts, sums of other zones, or one
 *	sum over all others. A source that is silent is assumed to charge at its
 *	share of the rate, from its last message on, until what it did charge is
 *	known. So the parts of a partitioned fleet stay within the cap together.
 *
 *	Plain functions, no clock, no sockets. Teams without a cap have no
 *	state.
 *
 * Use
 *	lm_cap_init(&caps, seed, now_ms);
 *	lm_cap_set(&caps, team, rate_per_s, burst, now_ms);
 *	lm_cap_expect(&caps, sources, count, now_ms);	several times a second
 *	lm_cap_heard(&caps, id, &message, now_ms);	for each message
 *	lm_cap_tick(&caps, now_ms);			several times a second
 *	if (!lm_cap_take(&caps, team, cost, is_urgent, now_ms, &answer)) ...
 *	lm_cap_give_back(&caps, team, cost, now_ms);	it has not run
 */
#ifndef LM_CAP_H
#define LM_CAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The rule holds in any window of this length. */
#define LM_CAP_WINDOW_MS 8000
/** Teams with state; more are not capped. */
#define LM_CAP_MAX_TEAMS 4096
/** Largest rate and burst; their sums over a window fit the counters. */
#define LM_CAP_MAX_RATE INT64_C(1000000000000)

/**
 * enum lm_cap_kind - what a source sums, and a list is for.
 * @LM_CAP_HOST: one host.
 * @LM_CAP_ZONE: all hosts of another zone.
 * @LM_CAP_ALL: all hosts but the receiver.
 */
enum lm_cap_kind { LM_CAP_HOST = 0, LM_CAP_ZONE, LM_CAP_ALL };

/**
 * struct lm_cap_expected - a source that should be heard from.
 * @id: the same for all messages of this source; not 0.
 * @zone: of a host. A host is forgotten after a window of silence if another
 *	host of its zone is heard.
 * @hosts: number of hosts in its sum.
 */
struct lm_cap_expected {
	uint64_t id;
	enum lm_cap_kind kind;
	uint64_t zone;
	uint32_t hosts;
};

/** struct lm_cap_row - @used: cumulative cost, net of refunds. */
struct lm_cap_row {
	uint64_t team;
	int64_t used;
};

/**
 * struct lm_cap_message
 * @stream: counters of different streams are not comparable.
 * @sequence: grows with each message of a stream.
 * @age_ms: time since the counters of the stream were 0.
 * @is_whole: the counters of teams that it does not list are 0.
 */
struct lm_cap_message {
	uint64_t stream;
	uint64_t sequence;
	int64_t age_ms;
	bool is_whole;
	const struct lm_cap_row *rows;
	uint32_t count;
};

/**
 * struct lm_cap_answer - decision and what led to it.
 * @retry_after_ms: for a refusal.
 * @left: what the bucket holds.
 * @used: charged by all hosts in the last window, as far as known.
 * @cap: what the window allows.
 * @share_permille: share of this host.
 * @age_ms: age of the oldest knowledge of a source.
 */
struct lm_cap_answer {
	int64_t retry_after_ms;
	int64_t left;
	int64_t used;
	int64_t cap;
	uint32_t share_permille;
	int64_t age_ms;
};

/** struct lm_caps - state of all teams. */
struct lm_caps {
	GHashTable *_teams;
	GHashTable *_sources;
	enum lm_cap_kind _uses;
	uint64_t _own_zone;
	uint64_t _random;
	uint64_t _own_stream;
	uint64_t _streams;
	uint64_t _turn;
	uint32_t _hosts;
	uint32_t _active;
	bool _has_heard;
	bool _has_heard_older;
	int64_t _started_ms;
	int64_t _ticked_ms;
	int64_t _heard_ms;
};

/**
 * lm_cap_init() - @seed: of Retry-After and of the streams of lm_cap_list();
 * different in each process.
 */
void lm_cap_init(struct lm_caps *caps, uint64_t seed, int64_t now_ms);
void lm_cap_finish(struct lm_caps *caps);

/** lm_cap_set() - set a team's cap; @rate_per_s of 0 removes it. */
void lm_cap_set(struct lm_caps *caps, uint64_t team, double rate_per_s,
		int64_t burst, int64_t now_ms);

/** lm_cap_is_active() - whether any team has a cap. */
bool lm_cap_is_active(const struct lm_caps *caps);

/**
 * lm_cap_take() - decide on a request, and charge it if it is admitted.
 * @is_urgent: its route has the best priority of the team.
 *
 * Return: whether it is admitted.
 */
bool lm_cap_take(struct lm_caps *caps, uint64_t team, int64_t cost,
		 bool is_urgent, int64_t now_ms, struct lm_cap_answer *answer);

/** lm_cap_charge() - charge a retry, which is never refused. */
void lm_cap_charge(struct lm_caps *caps, uint64_t team, int64_t cost,
		   int64_t now_ms);

/** lm_cap_give_back() - an attempt that was charged has not run. */
void lm_cap_give_back(struct lm_caps *caps, uint64_t team, int64_t cost,
		      int64_t now_ms);

/**
 * lm_cap_expect() - set the sources, all of them.
 * @uses: LM_CAP_ALL if only the sum over all others is deducted; LM_CAP_HOST if
 *	the hosts and the zones are. The others only count for lm_cap_list().
 * @own_zone: of this host.
 */
void lm_cap_expect(struct lm_caps *caps, const struct lm_cap_expected *sources,
		   uint32_t count, enum lm_cap_kind uses, uint64_t own_zone,
		   int64_t now_ms);

/** lm_cap_heard() - a message of the source @id; ignored if unexpected. */
void lm_cap_heard(struct lm_caps *caps, uint64_t id,
		  const struct lm_cap_message *message, int64_t now_ms);

/** lm_cap_tick() - count what silent sources are assumed to charge. */
void lm_cap_tick(struct lm_caps *caps, int64_t now_ms);

/**
 * struct lm_cap_query - a message to fill in.
 * @kind: what its counters sum: this host, its zone, or all but the receiver.
 * @receiver: id of the source that is the receiver, for LM_CAP_ALL.
 * @changed_ms: list teams whose counter has changed since then; 0: all.
 * @rows: room for @max rows.
 */
struct lm_cap_query {
	enum lm_cap_kind kind;
	uint64_t receiver;
	int64_t changed_ms;
	struct lm_cap_row *rows;
	uint32_t max;
};

/**
 * lm_cap_list() - fill in all of @message but @sequence. If there are more
 * teams than fit, those nearest to their cap are listed and the rest in turns.
 *
 * Return: false if there is nothing to send to the receiver.
 */
bool lm_cap_list(struct lm_caps *caps, const struct lm_cap_query *query,
		 struct lm_cap_message *message, int64_t now_ms);

/** lm_cap_look() - what lm_cap_take() would tell; false without a cap. */
bool lm_cap_look(struct lm_caps *caps, uint64_t team, int64_t now_ms,
		 struct lm_cap_answer *answer);

/** lm_cap_silent() - number of sources in use that are silent. */
uint32_t lm_cap_silent(const struct lm_caps *caps, int64_t now_ms);

#endif
