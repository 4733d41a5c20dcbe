/*
 * en_recover - what becomes of a request whose attempt has ended.
 *
 * Overview
 *	en_recover() is a plain function from how an attempt ended, and what
 *	the caller has been given so far, to what is done next. Whether the
 *	request may be sent again is rb_decide()'s answer (limits/rb.h); here
 *	stands what goes before it:
 *
 *	- a whole answer, and a part that holds the whole text, finish it;
 *	- a refusal that every upstream would give is passed on;
 *	- the deadline ends it;
 *	- a stream that went silent or broke can be resumed, one that failed a
 *	  check can not, since what comes next would not be trusted.
 *
 * Use
 *	switch (en_recover(&(struct en_attempt_result){ .end = result->end, ...
 *})) {
 */
#ifndef EN_RECOVER_H
#define EN_RECOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "limits/rb.h"
#include "upstream/up.h"

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
	EN_FAIL_DEADLINE,
	EN_STEP_COUNT
};

/**
 * struct en_attempt_result - how an attempt ended, and what came before.
 * @end: of this attempt.
 * @fault: with UP_FAULTY.
 * @http_status: with UP_REFUSED.
 * @can_resume: the upstream keeps the stream (up_can_resume()).
 * @is_resuming: the attempt that ended was a resumption.
 * @has_text_end: the caller has the whole text; only the closing is missing.
 * @rb: the rest; is_resumable and may_have_begun are filled in here.
 * @may_have_run_before: of attempts before this one.
 */
struct en_attempt_result {
	enum up_end end;
	enum sd_fault fault;
	uint32_t http_status;
	bool maybe_sent;
	bool can_resume;
	bool is_resuming;
	bool has_text_end;
	bool may_have_run_before;
	struct rb_attempt rb;
};

/** en_may_have_run() - may this attempt have run, in part or in whole? */
bool en_may_have_run(const struct en_attempt_result *e);

enum en_step en_recover(const struct en_attempt_result *e, int64_t now_ms);

const char *en_step_name(enum en_step step);

#endif
