/*
 * en_recover - what becomes of a request whose attempt has ended.
 *
 * Overview
 *	en_recover() is a plain function from how an attempt ended, and what
 *	the caller has been given so far, to what is done next. Its rules:
 *
 *	- a stream that went silent or broke is resumed on a new connection;
 *	- a prompt that gave nothing to the caller yet runs again elsewhere,
 *	  within a budget of retries;
 *	- a stream of which the caller has a part goes on elsewhere from that
 *	  part, if the part is known as text;
 *	- a refusal that would be the same everywhere is passed on;
 *	- everything else ends as an explicit error, which says "not run" only
 *	  if no attempt may have run.
 *
 * Use
 *	switch (en_recover(&(struct en_ended){ .end = result->end, ... })) {
 */
#ifndef EN_RECOVER_H
#define EN_RECOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "upstream/up.h"

#define EN_MAX_ATTEMPTS 4
#define EN_MAX_RESUMES	3
/** Retries over all requests: one for so many new requests, and a reserve. */
#define EN_RETRY_EVERY	 5
#define EN_RETRY_RESERVE 20

/** enum en_step - what to do next. */
enum en_step {
	EN_FINISH = 0,
	EN_RESUME,
	EN_RETRY,
	EN_CONTINUE,
	EN_END_TEXT,
	EN_PASS_ON,
	EN_FAIL_NOT_RUN,
	EN_FAIL_UNCERTAIN,
	EN_FAIL_BROKEN,
	EN_FAIL_DEADLINE,
	EN_STEP_COUNT
};

/**
 * struct en_ended - how an attempt ended, and what came before.
 * @end: of this attempt.
 * @http_status: with UP_REFUSED.
 * @may_have_run: this attempt or an earlier one may have run.
 * @can_resume: the upstream can resume this stream.
 * @is_resuming: the attempt that ended was a resumed one.
 * @has_given: the caller has a part of the answer.
 * @has_text_end: that part holds the whole text; only the closing is missing.
 * @is_continuable: that part is known as text.
 * @resumes: so far, since the last event.
 * @max_resumes: allowed.
 * @attempts: so far, this one included.
 * @has_budget: a retry is within the budget.
 */
struct en_ended {
	enum up_end end;
	uint32_t http_status;
	bool may_have_run;
	bool can_resume;
	bool is_resuming;
	bool has_given;
	bool has_text_end;
	bool is_continuable;
	uint32_t resumes;
	uint32_t max_resumes;
	uint32_t attempts;
	bool has_budget;
};

enum en_step en_recover(const struct en_ended *e);

const char *en_step_name(enum en_step step);

/** struct en_budget - of retries, as a token bucket filled by requests. */
struct en_budget {
	uint32_t requests;
	uint32_t spent;
};

/** en_budget_request() - a new request was sent. */
void en_budget_request(struct en_budget *budget);

/** en_budget_has() - one more retry is allowed. */
bool en_budget_has(const struct en_budget *budget);

/** en_budget_spend() - a retry was made. */
void en_budget_spend(struct en_budget *budget);

#endif
