/*
 * en_recover - the next step of a request after an attempt has ended.
 *
 * Overview
 *	en_recover() is a pure function: from how an attempt ended, and what
 *	the caller has received so far, it derives the next step. rb_decide()
 *	(limits/rb.h) decides whether the request may be retried; the rules
 *	here come before it:
 *
 *	- a complete answer, and a part that holds the whole text, finish the
 *	  request;
 *	- a refusal that every upstream would give is forwarded;
 *	- a passed deadline ends the request;
 *	- a stream that stalled or broke can be resumed; one that failed a
 *	  check can not, since the rest of it can't be trusted.
 *
 * Use
 *	struct en_attempt_result ended = { .end = result->end, ... };
 *
 *	switch (en_recover(&ended, ck_now_ms())) {
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
 * struct en_attempt_result - how an attempt ended, and what earlier ones did.
 * @end: how this attempt ended.
 * @fault: set with UP_FAULTY.
 * @http_status: set with UP_REFUSED.
 * @maybe_sent: a byte of the request may have left.
 * @can_resume: the upstream keeps the stream (up_can_resume()).
 * @is_resuming: the attempt was a resumption.
 * @has_text_end: the caller has the whole text; only the end of the
 *	stream is missing.
 * @rb: input of rb_decide(); en_recover() sets is_resumable and
 *	may_have_begun itself.
 * @may_have_run_before: an earlier attempt may have run.
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

/** en_may_have_run() - whether the upstream may have run any of the attempt. */
bool en_may_have_run(const struct en_attempt_result *e);

enum en_step en_recover(const struct en_attempt_result *e, int64_t now_ms);

const char *en_step_name(enum en_step step);

#endif
