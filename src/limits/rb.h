/*
 * rb - retry decisions and retry budgets.
 *
 * Overview
 *	rb_decide() decides what follows a failed attempt at an upstream. It is
 *	a pure function of what is known of the request. A call that is not
 *	idempotent is never sent again once a byte of it may have reached an
 *	upstream, and RB_NOT_RUN is returned only if none has.
 *
 *	The retry budget is a token bucket that successful attempts fill. By
 *	default it allows retries of at most a tenth of the successes, and a
 *	small reserve, so that retries do not multiply the load while upstreams
 *	fail. A table has a separate budget for each service: the successes of
 *	one service earn no retries for another.
 *
 * Use
 *	switch (rb_decide(&attempt, now_ms)) {
 *	case RB_RETRY:
 *		rb_budget_take(&budget);
 *		...
 */
#ifndef RB_H
#define RB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RB_MAX_ATTEMPTS		  4
#define RB_DEFAULT_RATIO_PERMILLE 100
#define RB_DEFAULT_RESERVE	  10
#define RB_DEFAULT_MAX		  100
#define RB_MIN_TIME_LEFT_MS	  20

/**
 * enum rb_verdict - decision after a failed attempt.
 * @RB_RETRY: send the whole request again, to another upstream.
 * @RB_RESUME: reconnect to the same run and read on from its stream.
 * @RB_CONTINUE: let another engine continue after the text that the caller
 * already has.
 * @RB_NOT_RUN: refuse; no attempt ran and none will.
 * @RB_UNKNOWN: fail with an error; the request may have run, in part or in
 * whole.
 */
enum rb_verdict {
	RB_RETRY = 0,
	RB_RESUME,
	RB_CONTINUE,
	RB_NOT_RUN,
	RB_UNKNOWN
};

/**
 * struct rb_attempt - state of a request after a failed attempt.
 * @is_idempotent: running the request twice does no harm.
 * @may_have_begun: in any attempt, a byte may have reached an upstream that did
 * not answer that it ran nothing.
 * @has_answer_bytes: the caller has received part of an answer.
 * @is_resumable: the upstream still runs the request, as the same incarnation,
 * and keeps its stream.
 * @can_continue: the text that the caller has can be passed to another engine.
 * @attempts: attempts made so far, including resumptions.
 * @deadline_ms: deadline of the caller, on the clock of now_ms; 0 for none.
 * @has_budget: result of rb_budget_has() for the budget of the request.
 */
struct rb_attempt {
	bool is_idempotent;
	bool may_have_begun;
	bool has_answer_bytes;
	bool is_resumable;
	bool can_continue;
	uint32_t attempts;
	int64_t deadline_ms;
	bool has_budget;
};

/** rb_decide() - decide what follows a failed attempt. */
enum rb_verdict rb_decide(const struct rb_attempt *attempt, int64_t now_ms);

const char *rb_verdict_name(enum rb_verdict verdict);

/**
 * struct rb_desc - parameters of a retry budget; zero means default.
 * @ratio_permille: retries earned by 1000 successes.
 * @reserve: retries available at the start.
 * @max: most retries that can accumulate.
 */
struct rb_desc {
	uint32_t ratio_permille;
	uint32_t reserve;
	uint32_t max;
};

struct rb_budget {
	struct rb_desc desc;
	uint64_t _permille;
};

void rb_budget_init(struct rb_budget *budget, const struct rb_desc *desc);

/** rb_budget_earn() - record the success of an attempt that was not a retry. */
void rb_budget_earn(struct rb_budget *budget);
bool rb_budget_has(const struct rb_budget *budget);

/** rb_budget_take() - consume one retry; false if none is left. */
bool rb_budget_take(struct rb_budget *budget);

/** struct rb_table - retry budgets by service name. */
struct rb_table {
	struct rb_desc _desc;
	GHashTable *_budgets;
};

void rb_table_init(struct rb_table *table, const struct rb_desc *desc);
void rb_table_finish(struct rb_table *table);

/** rb_table_get() - return the budget of a service, created on first use. */
struct rb_budget *rb_table_get(struct rb_table *table, const char *service);

/** rb_table_set_max() - set how many retries each budget can accumulate. */
void rb_table_set_max(struct rb_table *table, uint32_t max);

#endif
