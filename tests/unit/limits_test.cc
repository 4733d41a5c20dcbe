// Limits: the queue, the usage reports, and the limit per engine.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

extern "C" {
#include "limits/lm_engine.h"
}
#include "limits_fixture.h"

namespace
{

TEST(Queue, NothingStarvesBehindAnUrgentFlood)
{
	Limits l;
	int64_t now_ms = 1000;
	uint64_t late;
	bool ran = false;

	l.lm.desc.max_running = 2;
	for (int i = 0; i < 40; i++)
		l.admit(1, CM_URGENT, now_ms, 0);
	l.admit(2, CM_DEFERRABLE, now_ms, 0);
	late = l.last_id;
	std::vector<uint64_t> running = { 1, 2 };
	for (int i = 0; i < 200 && !ran; i++) {
		now_ms += 100;
		l.admit(1, CM_URGENT, now_ms, 0);
		lm_done(&l.lm, running.front(), now_ms);
		running.erase(running.begin());
		for (auto &next : l.collect(now_ms)) {
			if (next.answer.verdict != LM_RUN)
				continue;
			running.push_back(next.id);
			ran = ran || next.id == late;
		}
	}
	EXPECT_TRUE(ran);
	EXPECT_LE(now_ms, 1000 + 2 * LM_AGING_STEP_MS + 300);
}

struct FairCase {
	const char *what;
	uint32_t weight_a, weight_b;
	uint32_t tokens_a, tokens_b;
	double ratio;
};

TEST(Queue, TeamsShareByWeightAndTokens)
{
	const FairCase cases[] = {
		{ "equal weight and tokens", 1, 1, 100, 100, 1.0 },
		{ "three to one", 3, 1, 100, 100, 3.0 },
		{ "long prompts count more", 1, 1, 400, 100, 0.25 },
	};

	for (const FairCase &c : cases) {
		Limits l;
		std::map<uint64_t, uint64_t> team_of;
		std::map<uint64_t, int> ran;

		l.lm.desc.max_running = 1;
		l.admit(9, CM_NORMAL, 1000, 0);
		uint64_t running = l.last_id;
		for (int i = 0; i < 200; i++) {
			l.admit(1, CM_NORMAL, 1000, 0, c.tokens_a, 10,
				c.weight_a);
			team_of[l.last_id] = 1;
			l.admit(2, CM_NORMAL, 1000, 0, c.tokens_b, 10,
				c.weight_b);
			team_of[l.last_id] = 2;
		}
		for (int i = 0; i < 120; i++) {
			lm_done(&l.lm, running, 1000);
			auto next = l.collect(1000);
			ASSERT_EQ(next.size(), 1u) << c.what;
			running = next[0].id;
			ran[team_of[running]]++;
		}
		EXPECT_NEAR((double)ran[1] / ran[2], c.ratio, c.ratio * 0.1)
			<< c.what;
	}
}

struct FullCase {
	const char *what;
	enum cm_urgency queued, incoming;
	uint64_t incoming_team;
	uint64_t bytes;
	enum lm_verdict verdict;
	enum lm_reason reason;
	bool is_shed;
};

// The queue is full, with ten requests of team 1.
TEST(Queue, FullQueueShedsTheLeastUrgent)
{
	const FullCase cases[] = {
		{ "equal urgency, same team", CM_NORMAL, CM_NORMAL, 1, 10,
		  LM_REFUSE, LM_QUEUE_FULL, false },
		{ "more urgent, same team", CM_DEFERRABLE, CM_NORMAL, 1, 10,
		  LM_WAIT, LM_NO_REASON, true },
		{ "less urgent, same team", CM_URGENT, CM_DEFERRABLE, 1, 10,
		  LM_REFUSE, LM_QUEUE_FULL, false },
		{ "equal urgency, a team with none waiting", CM_NORMAL,
		  CM_NORMAL, 2, 10, LM_WAIT, LM_NO_REASON, true },
		{ "less urgent, a team with none waiting", CM_URGENT, CM_NORMAL,
		  2, 10, LM_REFUSE, LM_QUEUE_FULL, false },
		{ "larger than the queue", CM_DEFERRABLE, CM_URGENT, 2, 20000,
		  LM_REFUSE, LM_QUEUE_FULL, false },
	};

	for (const FullCase &c : cases) {
		struct lm_desc desc = {};

		desc.max_running = 1;
		desc.max_waiting = 10;
		desc.max_waiting_bytes = 10000;
		Limits l(desc);
		l.admit(1, CM_NORMAL, 1000, 0);
		for (int i = 0; i < 10; i++)
			ASSERT_EQ(l.admit(1, c.queued, 1000, 0, 1, 10).verdict,
				  LM_WAIT);
		struct lm_answer answer = l.admit(c.incoming_team, c.incoming,
						  1000, 0, 1, c.bytes);
		EXPECT_EQ(answer.verdict, c.verdict) << c.what;
		EXPECT_EQ(answer.reason, c.reason) << c.what;
		if (c.verdict == LM_REFUSE) {
			EXPECT_GE(answer.retry_after_ms, 100u) << c.what;
		}
		auto next = l.collect(1000);
		ASSERT_EQ(next.size(), c.is_shed ? 1u : 0u) << c.what;
		if (c.is_shed) {
			EXPECT_EQ(next[0].answer.reason, LM_SHED) << c.what;
			EXPECT_EQ(next[0].id, 11u) << c.what;
		}
		EXPECT_EQ(l.lm.waiting, 10u) << c.what;
	}
}

TEST(Queue, BytesAreBounded)
{
	struct lm_desc desc = {};

	desc.max_running = 1;
	desc.max_waiting_bytes = 10000;
	Limits l(desc);
	for (int i = 0; i < 100; i++)
		l.admit(i % 7, i % 2 ? CM_URGENT : CM_DEFERRABLE, 1000, 0, 1,
			700 + i * 13);
	EXPECT_LE(l.lm.waiting_bytes, 10000u);
	EXPECT_GE(l.lm.waiting_bytes, 5000u);
}

TEST(Queue, ExpiredWaitIsRefusedAtOnce)
{
	struct {
		const char *what;
		enum cm_urgency urgency;
		int64_t deadline_ms, after_ms;
		enum lm_reason reason;
		bool has_retry_after;
	} cases[] = {
		{ "urgent", CM_URGENT, 0, LM_URGENT_WAIT_MS, LM_WAITED_TOO_LONG,
		  true },
		{ "deferrable", CM_DEFERRABLE, 0, LM_DEFERRABLE_WAIT_MS,
		  LM_WAITED_TOO_LONG, true },
		{ "deadline of the request", CM_NORMAL, 1300, 300,
		  LM_DEADLINE_PASSED, false },
	};

	for (auto &c : cases) {
		Limits l;
		struct lm_request r = {};

		l.lm.desc.max_running = 1;
		l.admit(1, CM_NORMAL, 1000);
		r.id = 77;
		r.team = 1;
		r.urgency = c.urgency;
		r.deadline_ms = c.deadline_ms;
		ASSERT_EQ(lm_admit(&l.lm, &r, 1000).verdict, LM_WAIT);
		EXPECT_TRUE(l.collect(1000 + c.after_ms - 1).empty()) << c.what;
		auto next = l.collect(1000 + c.after_ms);
		ASSERT_EQ(next.size(), 1u) << c.what;
		EXPECT_EQ(next[0].id, 77u) << c.what;
		EXPECT_EQ(next[0].answer.verdict, LM_REFUSE) << c.what;
		EXPECT_EQ(next[0].answer.reason, c.reason) << c.what;
		EXPECT_EQ(next[0].answer.retry_after_ms > 0, c.has_retry_after)
			<< c.what;
		EXPECT_EQ(l.lm.waiting, 0u);
	}
}

// A caller that disconnects while its request waits, or after it was shed,
// leaves no state behind; lm_done() of an unknown id changes nothing.
TEST(Queue, DisconnectedCallerIsRemoved)
{
	struct lm_desc desc = {};

	desc.max_running = 1;
	desc.max_waiting = 2;
	Limits l(desc);
	for (int i = 0; i < 3; i++)
		l.admit(1, CM_DEFERRABLE, 1000, 0);
	l.admit(1, CM_URGENT, 1000, 0);
	lm_done(&l.lm, 3, 1000);
	lm_done(&l.lm, 2, 1000);
	lm_done(&l.lm, 99, 1000);
	EXPECT_EQ(l.lm.waiting, 1u);
	EXPECT_TRUE(l.collect(1000).empty());
	lm_done(&l.lm, 1, 1100);
	auto next = l.collect(1100);
	ASSERT_EQ(next.size(), 1u);
	EXPECT_EQ(next[0].id, 4u);
	lm_done(&l.lm, 4, 1200);
	EXPECT_EQ(l.lm.running, 0u);
	EXPECT_EQ(l.lm.waiting_bytes, 0u);
}

// An id that is used twice must not leave a dangling request.
TEST(Queue, DuplicateIdReplacesTheFirst)
{
	Limits l;
	struct lm_request r = {};

	l.lm.desc.max_running = 1;
	r.id = 5;
	r.team = 1;
	EXPECT_EQ(lm_admit(&l.lm, &r, 1000).verdict, LM_RUN);
	EXPECT_EQ(lm_admit(&l.lm, &r, 1000).verdict, LM_RUN);
	EXPECT_EQ(l.lm.running, 1u);
	lm_done(&l.lm, 5, 1000);
	EXPECT_EQ(l.lm.running, 0u);
	EXPECT_TRUE(l.collect(1000).empty());
}

TEST(Queue, RetryAfterFollowsTheQueueAndIsSpreadOut)
{
	struct lm_desc desc = {};

	desc.max_running = 1;
	desc.max_waiting = 20;
	Limits l(desc);
	int64_t now_ms = 1000;
	uint32_t slow, fast, low = UINT32_MAX, high = 0;

	for (int i = 0; i < 21; i++)
		l.admit(1, CM_NORMAL, now_ms, 0);
	slow = l.admit(1, CM_NORMAL, now_ms, 0).retry_after_ms;
	EXPECT_GE(slow, 10000u);
	for (uint64_t id = 1; id <= 15; id++) {
		lm_done(&l.lm, id, now_ms += 20);
		l.collect(now_ms);
		l.admit(1, CM_NORMAL, now_ms, 0);
	}
	fast = l.admit(1, CM_NORMAL, now_ms, 0).retry_after_ms;
	EXPECT_LT(fast, slow);
	for (int i = 0; i < 50; i++) {
		uint32_t ms = l.admit(1, CM_NORMAL, now_ms, 0).retry_after_ms;

		low = std::min(low, ms);
		high = std::max(high, ms);
	}
	EXPECT_GT(high, low + low / 5);
}

TEST(Queue, DrainRefusesNewAndRunsWaitingRequests)
{
	Limits l;

	l.lm.desc.max_running = 1;
	l.admit(1, CM_NORMAL, 1000);
	l.admit(1, CM_NORMAL, 1000);
	lm_drain(&l.lm);
	EXPECT_EQ(l.admit(1, CM_URGENT, 1000).reason, LM_DRAINING);
	lm_done(&l.lm, 1, 1000);
	auto next = l.collect(1000);
	ASSERT_EQ(next.size(), 1u);
	EXPECT_EQ(next[0].answer.verdict, LM_RUN);
}

TEST(Report, TeamsTakeTurnsAndIdleTeamsAreRemoved)
{
	Limits l;
	std::map<uint64_t, int> reports;
	struct lm_usage usage[32];

	for (uint64_t team = 1; team <= 100; team++)
		l.admit(team, CM_NORMAL, 1000);
	for (int i = 0; i < 4; i++) {
		uint32_t n = lm_report(&l.lm, usage, 32, 1000 + i * 500);

		for (uint32_t k = 0; k < n; k++)
			reports[usage[k].team]++;
	}
	EXPECT_EQ(reports.size(), 100u);
	for (uint64_t id = 1; id <= 100; id++)
		lm_done(&l.lm, id, 3000);
	for (int i = 0; i < 16; i++)
		lm_report(&l.lm, usage, 32, 4000 + i * 500);
	EXPECT_EQ(lm_report(&l.lm, usage, 32, 20000), 0u);
	EXPECT_EQ(g_hash_table_size(l.lm._teams), 0u);
}

struct EngineCase {
	const char *what;
	uint32_t took_ms, new_tokens, running;
	bool is_overloaded;
	uint32_t low, high;
};

// Each case follows 50 first tokens after 100 ms with 1536 computed tokens and
// the limit in use.
TEST(EngineLimit, FollowsTheTimeToTheFirstToken)
{
	const EngineCase cases[] = {
		{ "stays fast", 100, 1536, 300, false, 150, 256 },
		{ "long prompts are not a slow engine", 800, 15872, 300, false,
		  150, 256 },
		{ "slow", 1000, 1536, 300, false, LM_ENGINE_MIN, 10 },
		{ "a little slower", 130, 1536, 300, false, 150, 256 },
		{ "overloaded", 100, 1536, 0, true, LM_ENGINE_MIN,
		  LM_ENGINE_MIN },
	};

	for (const EngineCase &c : cases) {
		struct lm_engine_table table;
		struct lm_engine_desc desc = {};

		lm_engine_init(&table, &desc);
		for (int i = 0; i < 50; i++)
			lm_engine_first_token(&table, 1, 100, 1536, 300);
		for (int i = 0; i < 60; i++) {
			if (c.is_overloaded)
				lm_engine_overloaded(&table, 1);
			else
				lm_engine_first_token(&table, 1, c.took_ms,
						      c.new_tokens, c.running);
		}
		EXPECT_GE(lm_engine_limit(&table, 1), c.low) << c.what;
		EXPECT_LE(lm_engine_limit(&table, 1), c.high) << c.what;
		lm_engine_finish(&table);
	}
}

TEST(EngineLimit, RecoversAndDoesNotGrowWhileUnused)
{
	struct lm_engine_table table;
	struct lm_engine_desc desc = {};
	uint32_t low;

	lm_engine_init(&table, &desc);
	for (int i = 0; i < 200; i++)
		lm_engine_first_token(&table, 1, 100, 1536, 1);
	EXPECT_EQ(lm_engine_limit(&table, 1),
		  (uint32_t)LM_ENGINE_DEFAULT_INITIAL);
	for (int i = 0; i < 60; i++)
		lm_engine_first_token(&table, 1, 1000, 1536, 32);
	low = lm_engine_limit(&table, 1);
	EXPECT_LT(low, 10u);
	for (int i = 0; i < 100; i++)
		lm_engine_first_token(&table, 1, 100, 1536, 300);
	EXPECT_GT(lm_engine_limit(&table, 1), 3 * low);
	lm_engine_forget(&table, 1);
	EXPECT_EQ(lm_engine_limit(&table, 1),
		  (uint32_t)LM_ENGINE_DEFAULT_INITIAL);
	lm_engine_finish(&table);
}

// Times of a few ms vary by a large factor without any queue at the engine.
TEST(EngineLimit, NoiseInShortTimesDoesNotShrinkIt)
{
	struct lm_engine_table table;
	struct lm_engine_desc desc = {};

	lm_engine_init(&table, &desc);
	for (uint32_t i = 0; i < 2000; i++)
		lm_engine_first_token(&table, 1, 1 + i % 7, i % 5 * 500, 16);
	EXPECT_GE(lm_engine_limit(&table, 1),
		  (uint32_t)LM_ENGINE_DEFAULT_INITIAL);
	lm_engine_finish(&table);
}

// A single concurrent request cannot queue behind others of this entry, so
// slow answers must not shrink the limit.
TEST(EngineLimit, UnusedLimitDoesNotShrink)
{
	struct lm_engine_table table;
	struct lm_engine_desc desc = {};

	lm_engine_init(&table, &desc);
	lm_engine_first_token(&table, 1, 100, 1536, 1);
	for (uint32_t i = 0; i < 100; i++)
		lm_engine_first_token(&table, 1, 1000, 1536, 1);
	EXPECT_EQ(lm_engine_limit(&table, 1),
		  (uint32_t)LM_ENGINE_DEFAULT_INITIAL);
	lm_engine_finish(&table);
}

} // namespace
