/*
 * lm - admission control and request limits of an entry host.
 *
 * Overview
 *	Each entry process has one struct lm_limits. The limit of a team holds
 *	over all entries without a central counter: every entry reports its
 *	running and waiting requests per team (lm_report(), BP_USAGE) and
 *	computes its own share of the limit from the reports of the others.
 *	Half of an equal share is always reserved for each entry; the rest is
 *	divided by demand. An entry that is listed but silent is assumed to use
 *	an equal share, and an entry that receives no reports uses an equal
 *	share itself.
 *
 *	A request that cannot run yet waits in a queue that is bounded in
 *	number, bytes and time. The next request is chosen by urgency, which
 *	rises with the time waited, and between teams by weighted fair queueing
 *	on prompt tokens. A full queue sheds its least urgent request, from the
 *	team that has most of them waiting for its weight. A refused request
 *	did not run, and its answer says after how long a retry is worthwhile.
 *
 *	lm_engine_...() (lm_engine.h) limits the requests that this entry runs
 *	concurrently on one engine. The module uses no sockets and no clock:
 *	the time is passed in as @now_ms.
 *
 * Use
 *	answer = lm_admit(&limits, &request, now_ms);
 *	if (answer.verdict == LM_REFUSE)
 *		answer 429 with answer.retry_after_ms;
 *	...
 *	on every lm_done(), lm_peer_report(), and every LM_TICK_MS:
 *	while (lm_next(&limits, &next, now_ms))
 *		run or refuse next.id, by next.answer.verdict;
 *
 *	Call lm_done() when a request ends that lm_admit() or lm_next() let
 *	run, and to withdraw a request that still waits.
 */
#ifndef LM_H
#define LM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"

#define LM_REPORT_INTERVAL_MS 500
#define LM_TICK_MS	      50
/** A peer whose last report is older than this counts as silent. */
#define LM_PEER_TIMEOUT_MS	 2500
#define LM_DEFAULT_MAX_RUNNING	 1024
#define LM_DEFAULT_MAX_WAITING	 1024
#define LM_DEFAULT_WAITING_BYTES (UINT64_C(64) << 20)
#define LM_URGENT_WAIT_MS	 5000
#define LM_NORMAL_WAIT_MS	 10000
#define LM_DEFERRABLE_WAIT_MS	 30000
/** The urgency of a waiting request rises by one level per interval. */
#define LM_AGING_STEP_MS      2000
#define LM_MIN_RETRY_AFTER_MS 100
#define LM_MAX_RETRY_AFTER_MS 60000
/** Limit on stored peer reports; further ones are ignored until some expire. */
#define LM_MAX_PEER_ROWS 65536

/** enum lm_verdict - admission decision. */
enum lm_verdict { LM_RUN = 0, LM_WAIT, LM_REFUSE };

/** enum lm_reason - why a request was refused. */
enum lm_reason {
	LM_NO_REASON = 0,
	LM_TEAM_QUEUE_FULL,
	LM_QUEUE_FULL,
	LM_WAITED_TOO_LONG,
	LM_DEADLINE_PASSED,
	LM_SHED,
	LM_DRAINING,
	LM_REASON_COUNT
};

/**
 * struct lm_request - a request at admission.
 * @id: unique among the requests that wait or run here; a second request with
 * the same id ends the first.
 * @team: px_id() of the name of the team.
 * @team_weight: weight in the fair queue; 0 means 1.
 * @team_max_running: limit over all entries; 0 is unlimited.
 * @team_max_waiting: limit over all entries; 0 is unlimited.
 * @urgency: CM_AUTO counts as CM_NORMAL.
 * @bytes: memory held while the request waits.
 * @tokens: estimated prompt tokens, the cost in the fair queue.
 * @deadline_ms: on the clock of @now_ms; 0 for none.
 */
struct lm_request {
	uint64_t id;
	uint64_t team;
	uint32_t team_weight;
	uint32_t team_max_running;
	uint32_t team_max_waiting;
	enum cm_urgency urgency;
	uint64_t bytes;
	uint32_t tokens;
	int64_t deadline_ms;
};

/**
 * struct lm_answer - an admission decision and its reason.
 * @reason: why the request was refused.
 * @retry_after_ms: set on a refusal; 0 if a later retry cannot help.
 */
struct lm_answer {
	enum lm_verdict verdict;
	enum lm_reason reason;
	uint32_t retry_after_ms;
};

/** struct lm_next - a waiting request that runs or is refused now. */
struct lm_next {
	uint64_t id;
	struct lm_answer answer;
};

/** struct lm_usage - reported usage of one team. */
struct lm_usage {
	uint64_t team;
	uint32_t running;
	uint32_t waiting;
};

/**
 * struct lm_desc - limits of this entry; zero means default.
 * @self: px_id() of the name of this entry host.
 * @max_running: running requests, over all teams.
 * @max_waiting: waiting requests, over all teams.
 * @max_waiting_bytes: bytes of waiting requests, over all teams.
 * @max_wait_ms: longest time in the queue, by enum cm_urgency.
 */
struct lm_desc {
	uint64_t self;
	uint32_t max_running;
	uint32_t max_waiting;
	uint64_t max_waiting_bytes;
	int64_t max_wait_ms[CM_DEFERRABLE + 1];
};

/** struct lm_limits - state of one entry; fields are read-only outside lm. */
struct lm_limits {
	struct lm_desc desc;
	uint32_t running;
	uint32_t waiting;
	uint64_t waiting_bytes;
	bool is_draining;

	GHashTable *_teams;
	GHashTable *_requests;
	GPtrArray *_team_list;
	GPtrArray *_waiting_teams;
	GTree *_expiry;
	GArray *_entries;
	GArray *_shares;
	GQueue _refused;
	uint32_t _row_count;
	uint32_t _report_start;
	double _virtual_time;
};

void lm_init(struct lm_limits *limits, const struct lm_desc *desc);
void lm_finish(struct lm_limits *limits);

/** lm_admit() - decide on a new request. */
struct lm_answer lm_admit(struct lm_limits *limits,
			  const struct lm_request *request, int64_t now_ms);

/**
 * lm_next() - take the next waiting request that runs or is refused now.
 *
 * Return: false if there is none at present.
 */
bool lm_next(struct lm_limits *limits, struct lm_next *next, int64_t now_ms);

/** lm_done() - end a request, also one whose caller left the queue. */
void lm_done(struct lm_limits *limits, uint64_t id, int64_t now_ms);

/** lm_drain() - refuse new requests; waiting requests still run. */
void lm_drain(struct lm_limits *limits);

/**
 * lm_set_entries() - set the entry hosts that share the limits, this one
 * included.
 * @ids: px_id() of their names, in any order.
 *
 * Pass all hosts of the host list, not only those that report: a host that is
 * cut off goes on using its equal share, and so must be counted. Before the
 * first call this entry assumes that it is the only one.
 */
void lm_set_entries(struct lm_limits *limits, const uint64_t *ids,
		    uint32_t count, int64_t now_ms);

/**
 * lm_report() - report the usage of this entry, every LM_REPORT_INTERVAL_MS.
 * @out: room for @capacity teams; if there are more, they take turns.
 *
 * Return: number of teams written to @out.
 */
uint32_t lm_report(struct lm_limits *limits, struct lm_usage *out,
		   uint32_t capacity, int64_t now_ms);

/**
 * lm_peer_report() - record the usage of another entry.
 * @entry: px_id() of its name.
 * @age_ms: time since the usage was current there.
 */
void lm_peer_report(struct lm_limits *limits, uint64_t entry,
		    const struct lm_usage *usage, uint32_t count,
		    int64_t age_ms, int64_t now_ms);

/** lm_share() - requests of a team that this entry may run at present. */
uint32_t lm_share(struct lm_limits *limits, uint64_t team, int64_t now_ms);

const char *lm_reason_name(enum lm_reason reason);

#endif
