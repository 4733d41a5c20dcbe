#include "entry/en_recover.h"

static const char *const en_step_names[EN_STEP_COUNT] = {
	[EN_FINISH] = "finish",
	[EN_RESUME] = "resume",
	[EN_RETRY] = "retry",
	[EN_CONTINUE] = "continue",
	[EN_END_TEXT] = "end_text",
	[EN_PASS_ON] = "pass_on",
	[EN_FAIL_NOT_RUN] = "fail_not_run",
	[EN_FAIL_UNCERTAIN] = "fail_uncertain",
	[EN_FAIL_DEADLINE] = "fail_deadline",
};

static const enum en_step en_step_of_verdict[] = {
	[RB_RETRY] = EN_RETRY,
	[RB_RESUME] = EN_RESUME,
	[RB_CONTINUE] = EN_CONTINUE,
	[RB_NOT_RUN] = EN_FAIL_NOT_RUN,
	[RB_UNKNOWN] = EN_FAIL_UNCERTAIN,
};

const char *en_step_name(enum en_step step)
{
	return en_step_names[step];
}

/* Statuses by which the request itself is at fault, not the engine. */
static bool en_is_about_request(uint32_t status)
{
	switch (status) {
	case 400:
	case 413:
	case 415:
	case 422:
		return true;
	default:
		return false;
	}
}

/* An engine that refuses with 4xx or 503 has run nothing. */
static bool en_ran_nothing(uint32_t status)
{
	return (status >= 400 && status < 500) || status == 503;
}

bool en_may_have_run(const struct en_attempt_result *e)
{
	if (!e->maybe_sent)
		return false;
	if (e->end == UP_REFUSED && !e->is_resuming)
		return !en_ran_nothing(e->http_status);
	return true;
}

static bool en_is_resumable(const struct en_attempt_result *e)
{
	return e->can_resume && (e->end == UP_SILENT || e->end == UP_BROKEN);
}

enum en_step en_recover(const struct en_attempt_result *e, int64_t now_ms)
{
	struct rb_attempt rb = e->rb;

	if (e->end == UP_COMPLETE)
		return EN_FINISH;
	if (e->has_text_end && rb.has_answer_bytes)
		return EN_END_TEXT;
	if (e->end == UP_TIMEOUT)
		return EN_FAIL_DEADLINE;
	if (e->end == UP_REFUSED && !e->is_resuming && !rb.has_answer_bytes &&
	    en_is_about_request(e->http_status))
		return EN_PASS_ON;
	rb.may_have_begun = e->may_have_run_before || en_may_have_run(e);
	rb.is_resumable = en_is_resumable(e);
	if (e->end == UP_TOO_LARGE)
		rb.has_budget = false;
	return en_step_of_verdict[rb_decide(&rb, now_ms)];
}
