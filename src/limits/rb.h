/*
 * rb - may this be tried again?
 *
 * Overview
 *	rb_decide() says what follows when an attempt at an upstream failed. It
 *	is a plain function of what is known of the request. A call whose
 *	repetition does harm is never sent again once a byte of it may have
 *	reached an upstream, and "not run" is said only if none has.
 *
 *	The retry budget is a token bucket that successes fill: at most a tenth
 *	of them, and a small reserve, may be tried again, so that retries do
 *	not multiply the load while upstreams fail. A table has a budget for
 *	each service: what one of them earns is none of another's.
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
 * enum rb_verdict - what to do.
 * @RB_RETRY: send the whole request again, to another upstream.
 * @RB_RESUME: go on with the same run over a new connection.
 * @RB_CONTINUE: another engine goes on after what the caller already has.
 * @RB_NOT_RUN: refuse; nothing ran and nothing will.
 * @RB_UNKNOWN: end with an error; it may have run, in part or in whole.
 */
enum rb_verdict {
	RB_RETRY = 0,
	RB_RESUME,
	RB_CONTINUE,
	RB_NOT_RUN,
	RB_UNKNOWN
};

/**
 * struct rb_attempt - a request after a failed attempt.
 * @is_idempotent: running it twice does no harm.
 * @may_have_begun: of any attempt, a byte may have reached an upstream that
 * did not answer that it ran nothing.
 * @has_answer_bytes: bytes of an answer were given to the caller.
 * @is_resumable: the upstream still runs it, as the same incarnation, and
 * keeps its stream.
 * @can_continue: the text that the caller has can be handed to another engine.
 * @attempts: made so far, resumptions included.
 * @deadline_ms: of the caller, on the clock of now_ms; 0 for none.
 * @has_budget: rb_budget_has() of the budget it belongs to.
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

/** rb_decide() - what follows a failed attempt. */
enum rb_verdict rb_decide(const struct rb_attempt *attempt, int64_t now_ms);

const char *rb_verdict_name(enum rb_verdict verdict);

/**
 * struct rb_desc - zero means default.
 * @ratio_permille: retries earned by a thousand successes.
 * @reserve: retries at hand at the start.
 * @max: retries that can be saved up.
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

/** rb_budget_earn() - an attempt succeeded that was not a retry. */
void rb_budget_earn(struct rb_budget *budget);
bool rb_budget_has(const struct rb_budget *budget);

/** rb_budget_take() - a retry is made; false if there is none left. */
bool rb_budget_take(struct rb_budget *budget);

/** struct rb_table - budgets by name of the service. */
struct rb_table {
	struct rb_desc _desc;
	GHashTable *_budgets;
};

void rb_table_init(struct rb_table *table, const struct rb_desc *desc);
void rb_table_finish(struct rb_table *table);

/** rb_table_get() - the budget of a service; made when it is first asked for.
 */
struct rb_budget *rb_table_get(struct rb_table *table, const char *service);

/** rb_table_set_max() - each may save up @max from now on. */
void rb_table_set_max(struct rb_table *table, uint32_t max);

#endif
