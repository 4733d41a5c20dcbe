// Retry decisions and retry budgets.
#include <gtest/gtest.h>

extern "C" {
#include "limits/rb.h"
}

namespace
{

const int64_t now = 1000000;

struct RetryCase {
	const char *what;
	struct rb_attempt attempt;
	enum rb_verdict verdict;
};

// is_idempotent, may_have_begun, has_answer_bytes, is_resumable,
// can_continue, attempts, deadline_ms, has_budget
const RetryCase cases[] = {
	{ "connection refused",
	  { false, false, false, false, false, 1, 0, true },
	  RB_RETRY },
	{ "a non-idempotent call whose answer was lost",
	  { false, true, false, false, false, 1, 0, true },
	  RB_UNKNOWN },
	{ "a prompt whose engine died before the first token",
	  { true, true, false, false, true, 1, 0, true },
	  RB_RETRY },
	{ "a stream that went silent, its engine is alive",
	  { true, true, true, true, true, 1, 0, true },
	  RB_RESUME },
	{ "resuming needs no budget",
	  { true, true, true, true, true, 1, 0, false },
	  RB_RESUME },
	{ "a stream whose engine died",
	  { true, true, true, false, true, 1, 0, true },
	  RB_CONTINUE },
	{ "a partial answer that cannot be continued",
	  { true, true, true, false, false, 1, 0, true },
	  RB_UNKNOWN },
	{ "no budget, nothing sent",
	  { true, false, false, false, false, 1, 0, false },
	  RB_NOT_RUN },
	{ "no budget, something sent",
	  { true, true, false, false, true, 1, 0, false },
	  RB_UNKNOWN },
	{ "too many attempts",
	  { true, false, false, false, false, RB_MAX_ATTEMPTS, 0, true },
	  RB_NOT_RUN },
	{ "deadline passed",
	  { true, false, false, false, false, 1, now - 1, true },
	  RB_NOT_RUN },
	{ "no time for another attempt",
	  { true, true, false, false, false, 1, now + 5, true },
	  RB_UNKNOWN },
	{ "enough time for another attempt",
	  { true, true, false, false, false, 1, now + 5000, true },
	  RB_RETRY },
};

TEST(Retry, EachFailureHasItsVerdict)
{
	for (const RetryCase &c : cases)
		EXPECT_EQ(rb_decide(&c.attempt, now), c.verdict)
			<< c.what << ": "
			<< rb_verdict_name(rb_decide(&c.attempt, now));
}

// For every combination of inputs: a non-idempotent call is never repeated,
// RB_NOT_RUN is never returned for a request that may have run, and the number
// of attempts is bounded.
TEST(Retry, EveryCombinationKeepsTheGuarantees)
{
	for (uint32_t bits = 0; bits < 64; bits++) {
		for (uint32_t attempts = 1; attempts <= RB_MAX_ATTEMPTS + 1;
		     attempts++) {
			struct rb_attempt a = {};

			a.is_idempotent = bits & 1;
			a.may_have_begun = bits & 2;
			a.has_answer_bytes = bits & 4;
			a.is_resumable = bits & 8;
			a.can_continue = bits & 16;
			a.has_budget = bits & 32;
			a.attempts = attempts;
			enum rb_verdict v = rb_decide(&a, now);
			bool has_begun = a.may_have_begun || a.has_answer_bytes;
			bool sends = v == RB_RETRY || v == RB_CONTINUE;

			if (!a.is_idempotent && has_begun) {
				EXPECT_FALSE(sends) << bits;
			}
			if (a.has_answer_bytes) {
				EXPECT_NE(v, RB_RETRY) << bits;
			}
			EXPECT_EQ(v == RB_NOT_RUN && has_begun, false) << bits;
			EXPECT_EQ(v == RB_UNKNOWN && !has_begun, false) << bits;
			EXPECT_EQ(sends && !a.has_budget, false) << bits;
			if (attempts >= RB_MAX_ATTEMPTS) {
				EXPECT_TRUE(v == RB_NOT_RUN || v == RB_UNKNOWN);
			}
		}
	}
}

// While all upstreams fail, retries add at most a tenth of the load.
TEST(Retry, BudgetBoundsTheAddedLoad)
{
	struct {
		const char *what;
		int successes, failures;
		int min_retries, max_retries;
	} budgets[] = {
		{ "at the start", 0, 1000, 10, 10 },
		{ "after some traffic", 500, 1000, 60, 60 },
		{ "at the maximum of the budget", 100000, 1000, 100, 100 },
	};

	for (auto &c : budgets) {
		struct rb_budget budget;
		struct rb_desc desc = {};
		int retries = 0;

		rb_budget_init(&budget, &desc);
		for (int i = 0; i < c.successes; i++)
			rb_budget_earn(&budget);
		for (int i = 0; i < c.failures; i++)
			retries += rb_budget_take(&budget);
		EXPECT_GE(retries, c.min_retries) << c.what;
		EXPECT_LE(retries, c.max_retries) << c.what;
		EXPECT_FALSE(rb_budget_has(&budget)) << c.what;
	}
}

// The successes of one service earn no retries for another.
TEST(Retry, EachServiceHasItsOwnBudget)
{
	struct rb_table table;
	struct rb_desc desc = {};

	desc.ratio_permille = 100;
	desc.reserve = 1;
	desc.max = 5;
	rb_table_init(&table, &desc);
	for (int i = 0; i < 1000; i++)
		rb_budget_earn(rb_table_get(&table, "a"));
	EXPECT_TRUE(rb_budget_take(rb_table_get(&table, "b")));
	EXPECT_FALSE(rb_budget_take(rb_table_get(&table, "b")));
	for (int i = 0; i < 5; i++)
		EXPECT_TRUE(rb_budget_take(rb_table_get(&table, "a")));
	EXPECT_FALSE(rb_budget_take(rb_table_get(&table, "a")));
	rb_table_set_max(&table, 1);
	for (int i = 0; i < 1000; i++)
		rb_budget_earn(rb_table_get(&table, "a"));
	EXPECT_TRUE(rb_budget_take(rb_table_get(&table, "a")));
	EXPECT_FALSE(rb_budget_take(rb_table_get(&table, "a")));
	rb_table_finish(&table);
}

} // namespace
