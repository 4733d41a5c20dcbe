/*
 * lm - limits: which requests run now, wait, or are refused.
 *
 * Overview
 *	Each entry process has one struct lm_limits. A team's limit holds over
 *	all entries without a central counter: every entry reports its running
 *	and waiting requests per team (lm_report(), BP_USAGE) and computes its
 *	own share of the limit from what the others reported. Half of an equal
 *	share is always its own, the rest goes by demand. Entries that are
 *	listed but silent are taken to use an equal share, and so does this one
 *	if it hears of nobody.
 *
 *	What may not run yet waits in a queue that is bounded in number, bytes
 *	and time. The next one is chosen by urgency, raised with the time
 *	waited, and between teams by weighted fair queueing on prompt tokens.
 *	A full queue gives up its least urgent request, of the team that has
 *	most of them. A refusal means that the request did not run, and says
 *	after how long a try is worth while.
 *
 *	lm_engine_...() (lm_engine.h) limits what this entry runs at a time on
 *	one engine. No sockets, no clock: time comes in as @now_ms.
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
 *	Every request that lm_admit() or lm_next() let run is ended by
 *	lm_done(); one that still waits is withdrawn by lm_done() too.
 */
#ifndef LM_H
#define LM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"

#define LM_REPORT_INTERVAL_MS 500
#define LM_TICK_MS	      50
/** A peer's report older than this counts as silence. */
#define LM_PEER_TIMEOUT_MS	 2500
#define LM_DEFAULT_MAX_RUNNING	 1024
#define LM_DEFAULT_MAX_WAITING	 1024
#define LM_DEFAULT_WAITING_BYTES (UINT64_C(64) << 20)
#define LM_URGENT_WAIT_MS	 5000
#define LM_NORMAL_WAIT_MS	 10000
#define LM_DEFERRABLE_WAIT_MS	 30000
/** A waiting request is taken one grade more urgent after each of these. */
#define LM_AGING_STEP_MS      2000
#define LM_MIN_RETRY_AFTER_MS 100
#define LM_MAX_RETRY_AFTER_MS 60000
/** Reports of peers that are kept; older ones make room. */
#define LM_MAX_PEER_ROWS 65536

/** enum lm_verdict - what becomes of a request. */
enum lm_verdict { LM_RUN = 0, LM_WAIT, LM_REFUSE };

/** enum lm_reason - why it was refused. */
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
 * @id: unique among those that wait or run here; a second one with the same
 * id ends the first.
 * @team: px_id() of its name.
 * @team_weight: 0 means 1.
 * @team_max_running: over all entries; 0 is unlimited.
 * @team_max_waiting: over all entries; 0 is unlimited.
 * @urgency: CM_AUTO is taken as CM_NORMAL.
 * @bytes: held while it waits.
 * @tokens: estimated prompt tokens, its cost in the fair queue.
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
 * struct lm_answer - the verdict.
 * @reason: of a refusal.
 * @retry_after_ms: with a refusal, 0 if a later try cannot help.
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

/** struct lm_usage - of one team, as reported. */
struct lm_usage {
	uint64_t team;
	uint32_t running;
	uint32_t waiting;
};

/**
 * struct lm_desc - zero means default.
 * @self: px_id() of this entry host.
 * @max_running: of this entry, over all teams.
 * @max_waiting: likewise.
 * @max_waiting_bytes: likewise.
 * @max_wait_ms: in the queue, by enum cm_urgency.
 */
struct lm_desc {
	uint64_t self;
	uint32_t max_running;
	uint32_t max_waiting;
	uint64_t max_waiting_bytes;
	int64_t max_wait_ms[CM_DEFERRABLE + 1];
};

/** struct lm_limits - state; fields are read-only outside. */
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

/** lm_admit() - a request has come. */
struct lm_answer lm_admit(struct lm_limits *limits,
			  const struct lm_request *request, int64_t now_ms);

/**
 * lm_next() - a waiting request that is to run, or to be refused, now.
 *
 * Return: false if there is none at present.
 */
bool lm_next(struct lm_limits *limits, struct lm_next *next, int64_t now_ms);

/** lm_done() - a request ended, or its caller left the queue. */
void lm_done(struct lm_limits *limits, uint64_t id, int64_t now_ms);

/** lm_drain() - refuse new requests; those that wait still run. */
void lm_drain(struct lm_limits *limits);

/**
 * lm_set_entries() - the entry hosts that share the limits, this one included.
 * @ids: px_id() of their names, in any order.
 *
 * Pass those that the host list names, not only those that are heard of: a
 * host that is cut off goes on with its equal part, and so must be counted.
 * Before the first call this entry takes itself for the only one.
 */
void lm_set_entries(struct lm_limits *limits, const uint64_t *ids,
		    uint32_t count, int64_t now_ms);

/**
 * lm_report() - this entry's usage, to be sent every LM_REPORT_INTERVAL_MS.
 * @out: room for @capacity; teams take turns if there are more.
 *
 * Return: how many were filled in.
 */
uint32_t lm_report(struct lm_limits *limits, struct lm_usage *out,
		   uint32_t capacity, int64_t now_ms);

/**
 * lm_peer_report() - another entry's usage.
 * @entry: px_id() of its name.
 * @age_ms: since it was true there.
 */
void lm_peer_report(struct lm_limits *limits, uint64_t entry,
		    const struct lm_usage *usage, uint32_t count,
		    int64_t age_ms, int64_t now_ms);

/** lm_share() - requests of a team that this entry may run at present. */
uint32_t lm_share(struct lm_limits *limits, uint64_t team, int64_t now_ms);

const char *lm_reason_name(enum lm_reason reason);

#endif
