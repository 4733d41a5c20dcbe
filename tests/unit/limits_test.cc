// Limits: shares over all entries, the queue, and the limit per engine.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "limits/lm.h"
#include "limits/lm_engine.h"
#include "limits/lm_share.h"
}

namespace
{

struct Limits {
	struct lm_limits lm;
	uint64_t last_id = 0;

	explicit Limits(struct lm_desc desc = {})
	{
		lm_init(&lm, &desc);
	}
	~Limits()
	{
		lm_finish(&lm);
	}
	Limits(const Limits &) = delete;
	Limits &operator=(const Limits &) = delete;

	struct lm_answer admit(uint64_t team, enum cm_urgency urgency,
			       int64_t now_ms, uint32_t max_running = 4,
			       uint32_t tokens = 100, uint64_t bytes = 1000,
			       uint32_t weight = 1)
	{
		struct lm_request r = {};

		r.id = ++last_id;
		r.team = team;
		r.team_weight = weight;
		r.team_max_running = max_running;
		r.urgency = urgency;
		r.tokens = tokens;
		r.bytes = bytes;
		return lm_admit(&lm, &r, now_ms);
	}
	std::vector<struct lm_next> drain(int64_t now_ms)
	{
		std::vector<struct lm_next> all;
		struct lm_next next;

		while (lm_next(&lm, &next, now_ms))
			all.push_back(next);
		return all;
	}
};

struct ShareCase {
	const char *what;
	uint32_t limit;
	std::vector<struct lm_share_entry> entries;
	std::vector<uint32_t> shares;
};

TEST(Share, FollowsDemandAboveAFloor)
{
	const ShareCase cases[] = {
		{ "alone", 64, { { 5, 5, false, false } }, { 64 } },
		{ "nobody asks",
		  9,
		  { { 0, 0, false, false },
		    { 0, 0, false, false },
		    { 0, 0, false, false } },
		  { 3, 3, 3 } },
		{ "one asks for all",
		  12,
		  { { 99, 0, false, false },
		    { 0, 0, false, false },
		    { 0, 0, false, false } },
		  { 8, 2, 2 } },
		{ "two ask alike",
		  12,
		  { { 50, 0, false, false },
		    { 50, 0, false, false },
		    { 0, 0, false, false } },
		  { 5, 5, 2 } },
		{ "a silent one is taken to use an equal part",
		  12,
		  { { 99, 0, false, false },
		    { 0, 0, true, false },
		    { 0, 0, false, false } },
		  { 6, 4, 2 } },
		{ "the asker hears of nobody",
		  12,
		  { { 99, 0, false, false },
		    { 0, 0, true, false },
		    { 0, 0, true, false } },
		  { 4, 4, 4 } },
		{ "others still run above their part",
		  12,
		  { { 99, 0, false, false },
		    { 99, 9, false, false },
		    { 0, 0, false, false } },
		  { 3, 5, 2 } },
	};

	for (const ShareCase &c : cases) {
		for (size_t i = 0; i < c.entries.size(); i++) {
			auto seen = c.entries;

			/* An entry hears itself. */
			seen[i].is_self = true;
			seen[i].is_silent = false;
			if (c.entries[i].is_silent) {
				for (size_t j = 0; j < seen.size(); j++)
					seen[j].is_silent = j != i;
			}
			EXPECT_EQ(lm_share_of(c.limit, seen.data(),
					      (uint32_t)seen.size()),
				  c.shares[i])
				<< c.what << ", entry " << i;
		}
	}
}

TEST(Share, SameReportsNeverGiveMoreThanTheLimit)
{
	std::mt19937 random(1);

	for (int round = 0; round < 3000; round++) {
		uint32_t count = 1 + random() % 40;
		uint32_t limit = 1 + random() % 200;
		std::vector<struct lm_share_entry> entries(count);
		uint64_t sum = 0;

		for (auto &e : entries) {
			e.demand = random() % 3 ? random() % 60 : 0;
			e.running = 0;
		}
		for (uint32_t i = 0; i < count; i++) {
			entries[i].is_self = true;
			sum += lm_share_of(limit, entries.data(), count);
			entries[i].is_self = false;
		}
		if (limit >= count) {
			EXPECT_EQ(sum, limit);
		}
		EXPECT_LE(sum, limit + count);
	}
}

// Entries exchange reports every half second; requests run for a while.
struct Cluster {
	std::vector<std::unique_ptr<Limits>> entries;
	std::vector<bool> is_deaf, is_mute;
	std::multimap<int64_t, std::pair<size_t, uint64_t>> ends;
	std::vector<std::map<uint64_t, int64_t>> waiting;
	int64_t now_ms = 1000000;
	uint32_t most = 0;

	explicit Cluster(size_t count)
	    : is_deaf(count), is_mute(count), waiting(count)
	{
		std::vector<uint64_t> ids;

		for (size_t i = 0; i < count; i++)
			ids.push_back(100 + i);
		for (size_t i = 0; i < count; i++) {
			struct lm_desc desc = {};

			desc.self = ids[i];
			entries.push_back(std::make_unique<Limits>(desc));
			lm_entries(&entries[i]->lm, ids.data(), count, now_ms);
		}
	}
	uint32_t running()
	{
		uint32_t sum = 0;

		for (auto &e : entries)
			sum += e->lm.running;
		return sum;
	}
	void exchange()
	{
		for (size_t i = 0; i < entries.size(); i++) {
			struct lm_usage usage[32];
			uint32_t n =
				lm_report(&entries[i]->lm, usage, 32, now_ms);

			for (size_t j = 0; j < entries.size(); j++) {
				if (i != j && !is_mute[i] && !is_deaf[j])
					lm_peer_report(&entries[j]->lm, 100 + i,
						       usage, n, 40, now_ms);
			}
		}
	}
	void run(size_t entry, uint64_t id, int64_t for_ms)
	{
		ends.emplace(now_ms + for_ms, std::make_pair(entry, id));
	}
	void step(const std::vector<int> &arrivals, uint32_t limit,
		  int64_t for_ms)
	{
		now_ms += LM_TICK_MS;
		if (now_ms % LM_REPORT_INTERVAL_MS == 0)
			exchange();
		while (!ends.empty() && ends.begin()->first <= now_ms) {
			auto [entry, id] = ends.begin()->second;

			lm_done(&entries[entry]->lm, id, now_ms);
			ends.erase(ends.begin());
		}
		for (size_t i = 0; i < entries.size(); i++) {
			for (int k = 0; k < arrivals[i]; k++) {
				if (entries[i]
					    ->admit(7, CM_NORMAL, now_ms, limit)
					    .verdict == LM_RUN)
					run(i, entries[i]->last_id, for_ms);
			}
			for (auto &next : entries[i]->drain(now_ms)) {
				if (next.answer.verdict == LM_RUN)
					run(i, next.id, for_ms);
			}
		}
		most = std::max(most, running());
	}
};

struct OvershootCase {
	const char *what;
	uint32_t limit;
	bool is_mute, is_deaf;
	int bursts;
	uint32_t most, settled;
};

// One entry goes silent, deaf or both while all are under load: the limit is
// exceeded by no more than stated, and what was lost is given out again.
TEST(Share, OvershootIsBoundedWhenAPeerGoesSilent)
{
	const OvershootCase cases[] = {
		{ "all well", 90, false, false, 9, 90, 90 },
		{ "one entry has all the load", 90, false, false, 1, 90, 90 },
		{ "mute", 90, true, false, 9, 100, 100 },
		{ "deaf", 90, false, true, 9, 100, 100 },
		{ "cut off", 90, true, true, 9, 100, 100 },
		{ "cut off with all the load", 90, true, true, 1, 100, 100 },
		{ "fewer than entries", 4, false, false, 9, 9, 9 },
	};

	for (const OvershootCase &c : cases) {
		Cluster cluster(9);
		std::vector<int> arrivals(9);

		for (int i = 0; i < c.bursts; i++)
			arrivals[i] = 3;
		for (int i = 0; i < 200; i++)
			cluster.step(arrivals, c.limit, 700);
		cluster.is_mute[0] = c.is_mute;
		cluster.is_deaf[0] = c.is_deaf;
		for (int i = 0; i < 200; i++)
			cluster.step(arrivals, c.limit, 700);
		EXPECT_LE(cluster.most, c.most) << c.what;
		EXPECT_LE(cluster.running(), c.settled) << c.what;
		/* It is not met by running nearly nothing. */
		EXPECT_GE(cluster.running(),
			  c.bursts == 1 ? c.limit / 10 : c.limit * 8 / 10)
			<< c.what;
	}
}

// Demand that comes and goes at every entry, with requests that outlast many
// reports: what runs above a part that has shrunk is not cut off.
TEST(Share, ChangingDemandStaysWithinABound)
{
	struct {
		uint32_t limit;
		int64_t for_ms;
		uint32_t most;
	} loads[] = {
		{ 4, 1500, 4 + 9 }, { 30, 1500, 37 },	{ 90, 300, 100 },
		{ 90, 6000, 112 },  { 300, 1500, 330 },
	};

	for (auto &c : loads) {
		std::mt19937 random(1);
		Cluster cluster(9);
		std::vector<int> arrivals(9);
		uint64_t sum = 0;

		for (int i = 0; i < 1500; i++) {
			for (int &a : arrivals) {
				uint32_t burst = random() % (c.limit / 8 + 2);

				if (random() % 20 == 0)
					a = random() % 2 ? (int)burst : 0;
			}
			cluster.step(arrivals, c.limit, c.for_ms);
			sum += cluster.running();
		}
		EXPECT_LE(cluster.most, c.most) << c.limit;
		EXPECT_GE(sum / 1500, c.limit * 8 / 10) << c.limit;
	}
}

TEST(Share, AnIdleEntryGivesItsPartAwayAndGetsItBackAtOnce)
{
	Cluster cluster(9);
	std::vector<int> one(9), all(9, 3);

	one[4] = 9;
	for (int i = 0; i < 100; i++)
		cluster.step(one, 90, 500);
	EXPECT_GE(cluster.entries[4]->lm.running, 45u);
	cluster.step(all, 90, 500);
	for (auto &e : cluster.entries)
		EXPECT_GE(e->lm.running, 3u);
	EXPECT_LE(cluster.running(), 90u);
}

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
		for (auto &next : l.drain(now_ms)) {
			if (next.answer.verdict != LM_RUN)
				continue;
			running.push_back(next.id);
			ran = ran || next.id == late;
		}
	}
	EXPECT_TRUE(ran);
	EXPECT_LE(now_ms, 1000 + 2 * LM_AGE_STEP_MS + 300);
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
		{ "alike", 1, 1, 100, 100, 1.0 },
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
			auto next = l.drain(1000);
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
	enum cm_urgency queued, comes;
	uint64_t team_comes;
	uint64_t bytes;
	enum lm_verdict verdict;
	enum lm_reason reason;
	bool is_shed;
};

// The queue holds ten requests of team 1, its full number.
TEST(Queue, AFullQueueGivesUpTheLeastUrgent)
{
	const FullCase cases[] = {
		{ "alike, same team", CM_NORMAL, CM_NORMAL, 1, 10, LM_REFUSE,
		  LM_QUEUE_FULL, false },
		{ "more urgent, same team", CM_DEFERRABLE, CM_NORMAL, 1, 10,
		  LM_WAIT, LM_NO_REASON, true },
		{ "less urgent, same team", CM_URGENT, CM_DEFERRABLE, 1, 10,
		  LM_REFUSE, LM_QUEUE_FULL, false },
		{ "alike, a team with none", CM_NORMAL, CM_NORMAL, 2, 10,
		  LM_WAIT, LM_NO_REASON, true },
		{ "less urgent, a team with none", CM_URGENT, CM_NORMAL, 2, 10,
		  LM_REFUSE, LM_QUEUE_FULL, false },
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
		struct lm_answer answer =
			l.admit(c.team_comes, c.comes, 1000, 0, 1, c.bytes);
		EXPECT_EQ(answer.verdict, c.verdict) << c.what;
		EXPECT_EQ(answer.reason, c.reason) << c.what;
		if (c.verdict == LM_REFUSE) {
			EXPECT_GE(answer.retry_after_ms, 100u) << c.what;
		}
		auto next = l.drain(1000);
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

TEST(Queue, AWaitThatRanOutIsRefusedAtOnce)
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
		{ "its own deadline", CM_NORMAL, 1300, 300, LM_DEADLINE_PASSED,
		  false },
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
		EXPECT_TRUE(l.drain(1000 + c.after_ms - 1).empty()) << c.what;
		auto next = l.drain(1000 + c.after_ms);
		ASSERT_EQ(next.size(), 1u) << c.what;
		EXPECT_EQ(next[0].id, 77u) << c.what;
		EXPECT_EQ(next[0].answer.verdict, LM_REFUSE) << c.what;
		EXPECT_EQ(next[0].answer.reason, c.reason) << c.what;
		EXPECT_EQ(next[0].answer.retry_after_ms > 0, c.has_retry_after)
			<< c.what;
		EXPECT_EQ(l.lm.waiting, 0u);
	}
}

// A caller that hangs up while it waits, or after it was shed, leaves nothing
// behind; a caller unknown here changes nothing.
TEST(Queue, ACallerThatLeftIsForgotten)
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
	EXPECT_TRUE(l.drain(1000).empty());
	lm_done(&l.lm, 1, 1100);
	auto next = l.drain(1100);
	ASSERT_EQ(next.size(), 1u);
	EXPECT_EQ(next[0].id, 4u);
	lm_done(&l.lm, 4, 1200);
	EXPECT_EQ(l.lm.running, 0u);
	EXPECT_EQ(l.lm.waiting_bytes, 0u);
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
		l.drain(now_ms);
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

TEST(Queue, DrainingRefusesTheNewAndRunsTheWaiting)
{
	Limits l;

	l.lm.desc.max_running = 1;
	l.admit(1, CM_NORMAL, 1000);
	l.admit(1, CM_NORMAL, 1000);
	lm_drain(&l.lm);
	EXPECT_EQ(l.admit(1, CM_URGENT, 1000).reason, LM_DRAINING);
	lm_done(&l.lm, 1, 1000);
	auto next = l.drain(1000);
	ASSERT_EQ(next.size(), 1u);
	EXPECT_EQ(next[0].answer.verdict, LM_RUN);
}

TEST(Report, TeamsTakeTurnsAndIdleOnesAreForgotten)
{
	Limits l;
	std::map<uint64_t, int> told;
	struct lm_usage usage[32];

	for (uint64_t team = 1; team <= 100; team++)
		l.admit(team, CM_NORMAL, 1000);
	for (int i = 0; i < 4; i++) {
		uint32_t n = lm_report(&l.lm, usage, 32, 1000 + i * 500);

		for (uint32_t k = 0; k < n; k++)
			told[usage[k].team]++;
	}
	EXPECT_EQ(told.size(), 100u);
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

// After 50 fast answers of 100 ms for 1536 new tokens with the limit in use.
TEST(EngineLimit, FollowsTheTimeToTheFirstToken)
{
	const EngineCase cases[] = {
		{ "stays fast", 100, 1536, 300, false, 150, 256 },
		{ "long prompts are not a slow engine", 800, 15872, 300, false,
		  150, 256 },
		{ "slow", 1000, 1536, 300, false, LM_ENGINE_MIN, 10 },
		{ "a little slower", 130, 1536, 300, false, 150, 256 },
		{ "refuses", 100, 1536, 0, true, LM_ENGINE_MIN, LM_ENGINE_MIN },
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

TEST(EngineLimit, RecoversAndDoesNotGrowUnused)
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

} // namespace
