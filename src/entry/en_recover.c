#include "entry/en_recover.h"

#define EN_BUDGET_WINDOW 1000

static const char *const en_step_names[EN_STEP_COUNT] = {
	[EN_FINISH] = "finish",
	[EN_RESUME] = "resume",
	[EN_RETRY] = "retry",
	[EN_CONTINUE] = "continue",
	[EN_END_TEXT] = "end_text",
	[EN_PASS_ON] = "pass_on",
	[EN_FAIL_NOT_RUN] = "fail_not_run",
	[EN_FAIL_UNCERTAIN] = "fail_uncertain",
	[EN_FAIL_BROKEN] = "fail_broken",
	[EN_FAIL_DEADLINE] = "fail_deadline",
};

const char *en_step_name(enum en_step step)
{
	return en_step_names[step];
}

/* Refusals that are about the request, not about the engine. */
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

static bool en_may_resume(const struct en_ended *e)
{
	if (!e->can_resume || e->resumes >= e->max_resumes)
		return false;
	return e->end == UP_SILENT || e->end == UP_BROKEN;
}

static enum en_step en_fail(const struct en_ended *e)
{
	if (e->has_given)
		return EN_FAIL_BROKEN;
	return e->may_have_run ? EN_FAIL_UNCERTAIN : EN_FAIL_NOT_RUN;
}

enum en_step en_recover(const struct en_ended *e)
{
	if (e->end == UP_COMPLETE)
		return EN_FINISH;
	if (e->end == UP_TIMEOUT)
		return EN_FAIL_DEADLINE;
	if (e->has_given && e->has_text_end)
		return EN_END_TEXT;
	if (e->end == UP_REFUSED && !e->is_resuming && !e->has_given &&
	    en_is_about_request(e->http_status))
		return EN_PASS_ON;
	if (e->end == UP_TOO_LARGE)
		return en_fail(e);
	if (en_may_resume(e))
		return EN_RESUME;
	if (e->attempts >= EN_MAX_ATTEMPTS || !e->has_budget)
		return en_fail(e);
	if (!e->has_given)
		return EN_RETRY;
	return e->is_continuable ? EN_CONTINUE : EN_FAIL_BROKEN;
}

void en_budget_request(struct en_budget *budget)
{
	budget->requests++;
	if (budget->requests < EN_BUDGET_WINDOW)
		return;
	budget->requests /= 2;
	budget->spent /= 2;
}

bool en_budget_has(const struct en_budget *budget)
{
	return budget->spent <
	       EN_RETRY_RESERVE + budget->requests / EN_RETRY_EVERY;
}

void en_budget_spend(struct en_budget *budget)
{
	budget->spent++;
}
