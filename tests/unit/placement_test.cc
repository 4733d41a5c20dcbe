// Placement on tables of candidates, and replays of load patterns.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <vector>

extern "C" {
#include "placement/pc.h"
#include "placement/pu.h"
}

namespace
{

pc_candidate engine(uint64_t hash, enum pc_distance distance = PC_SAME_ZONE)
{
	pc_candidate c = {};

	c.hash = hash * 0x9e3779b97f4a7c15ULL;
	c.distance = distance;
	c.slots = 100;
	c.region = distance == PC_OTHER_REGION;
	c.prefix_age_ms = c.root_age_ms = -1;
	return c;
}

void mark_held(pc_candidate *c)
{
	c->holds_prefix = c->holds_root = true;
	c->prefix_age_ms = c->root_age_ms = 100;
}

pc_request shared_prompt(uint64_t prefix, uint64_t root)
{
	pc_request r = {};

	r.prefix_hash = prefix;
	r.root_hash = root;
	r.shared_tokens = 6300;
	r.root_tokens = 2520;
	r.suffix_tokens = 2890;
	return r;
}

TEST(Placement, PlainRequestsGoToTheLeastLoadedThenTheNearest)
{
	static const struct {
		uint32_t running[3];
		enum pc_distance distance[3];
		int32_t chosen;
	} cases[] = {
		{ { 0, 0, 0 },
		  { PC_OTHER_REGION, PC_SAME_REGION, PC_SAME_ZONE },
		  2 },
		{ { 0, 0, 20 },
		  { PC_OTHER_REGION, PC_SAME_REGION, PC_SAME_ZONE },
		  1 },
		{ { 3, 1, 2 },
		  { PC_SAME_ZONE, PC_SAME_ZONE, PC_SAME_ZONE },
		  1 },
	};

	for (const auto &c : cases) {
		std::vector<pc_candidate> table;
		pc_request plain = {};

		for (int i = 0; i < 3; i++) {
			table.push_back(engine(i + 1, c.distance[i]));
			table.back().running = c.running[i];
		}
		EXPECT_EQ(pc_place(&plain, table.data(), 3).chosen, c.chosen);
	}
}

TEST(Placement, AvoidedIsTheLastResortAndTriedIsExcluded)
{
	std::vector<pc_candidate> table = { engine(1), engine(2), engine(3) };
	pc_request plain = {};

	table[0].is_tried = true;
	table[1].is_avoided = true;
	table[2].running = 500;
	EXPECT_EQ(pc_place(&plain, table.data(), 3).chosen, 2);
	table[2].is_tried = true;
	EXPECT_EQ(pc_place(&plain, table.data(), 3).chosen, 1);
	table[1].is_tried = true;
	EXPECT_EQ(pc_place(&plain, table.data(), 3).chosen, -1);
}

TEST(Placement, HolderIsPreferredUntilItsQueueCostsMore)
{
	std::vector<pc_candidate> table = { engine(1), engine(2), engine(3) };
	pc_request r = shared_prompt(7, 3);

	mark_held(&table[1]);
	EXPECT_EQ(pc_place(&r, table.data(), 3).chosen, 1);
	table[1].waiting_tokens = 40000;
	pc_answer answer = pc_place(&r, table.data(), 3);
	EXPECT_NE(answer.chosen, 1);
	EXPECT_EQ(answer.source, 1);
	EXPECT_EQ(answer.prefill_tokens, r.suffix_tokens);
}

TEST(Placement, OldWeightsAreUsedDuringTheGracePeriodOnly)
{
	std::vector<pc_candidate> table = { engine(1), engine(2) };
	pc_request r = shared_prompt(7, 3);

	table[0].weights = 1;
	table[0].weights_age_ms = 500;
	table[1].weights = 2;
	mark_held(&table[0]);
	EXPECT_EQ(pc_place(&r, table.data(), 2).chosen, 0);
	table[0].weights_age_ms = 3000;
	EXPECT_EQ(pc_place(&r, table.data(), 2).chosen, 1);
	EXPECT_EQ(pc_place(&r, table.data(), 2).source, -1);
}

// Load: several hosts request the same new prefix at the same time. All of them
// choose the same engine without exchanging messages.
TEST(Placement, HostsAgreeOnTheOwnerOfANewPrefix)
{
	for (uint64_t prefix = 1; prefix < 200; prefix++) {
		std::vector<pc_candidate> forward, backward;
		pc_request r = shared_prompt(prefix * 977, prefix % 4 + 1);

		for (int i = 0; i < 12; i++)
			forward.push_back(engine(i + 1));
		backward.assign(forward.rbegin(), forward.rend());
		int32_t a = pc_place(&r, forward.data(), 12).chosen;
		int32_t b = pc_place(&r, backward.data(), 12).chosen;
		EXPECT_EQ(forward[a].hash, backward[b].hash);
	}
}

// Load: four roots with two hundred prefixes after a change of weights, one
// request every 40 ms, slightly more than one engine per root can prefill.
// Roots must not spread over all engines, where they would fill half of the
// memory, nor must all prefixes of a root queue at one engine.
TEST(Placement, PrefixesStayInTheGroupOfTheirRoot)
{
	std::map<uint64_t, std::set<int32_t>> engines_of;
	double waiting[12] = {};

	for (uint64_t prefix = 1; prefix <= 200; prefix++) {
		std::vector<pc_candidate> table;
		pc_request r = shared_prompt(prefix * 977, prefix % 4 + 1);

		for (int i = 0; i < 12; i++) {
			table.push_back(engine(i + 1));
			table.back().waiting_tokens = uint32_t(waiting[i]);
			/* Some engine holds each root. */
			if (i == int(prefix % 4)) {
				table.back().holds_root = true;
				table.back().root_age_ms = 100;
			}
		}
		pc_answer answer = pc_place(&r, table.data(), 12);
		engines_of[r.root_hash].insert(answer.chosen);
		waiting[answer.chosen] += answer.prefill_tokens;
		for (double &w : waiting)
			w = std::max(0.0, w - 40 * 40);
	}
	for (const auto &entry : engines_of) {
		/* The group of three, and the engine that holds the root. */
		EXPECT_LE(entry.second.size(), 4u);
		EXPECT_GE(entry.second.size(), 2u);
	}
}

// Load: engines evict a prefix within seconds. Those in the region of the store
// copy it back; the others are too far away and compute it.
TEST(Placement, EvictedPrefixComesFromTheStoreOfTheRegion)
{
	std::vector<pc_candidate> table = { engine(1),
					    engine(2, PC_OTHER_REGION) };
	pc_store store = {};
	pc_request r = shared_prompt(7, 3);

	r.store = &store;
	store.region = table[0].region;
	pc_answer answer = pc_place(&r, table.data(), 1);
	EXPECT_TRUE(answer.is_to_store);
	EXPECT_FALSE(answer.is_from_store);
	store.holds_prefix = store.holds_root = true;
	answer = pc_place(&r, table.data(), 2);
	EXPECT_EQ(answer.chosen, 0);
	EXPECT_TRUE(answer.is_from_store);
	EXPECT_FALSE(answer.is_to_store);
	EXPECT_EQ(answer.prefill_tokens, r.suffix_tokens);
	store.region = table[1].region;
	answer = pc_place(&r, table.data(), 1);
	EXPECT_FALSE(answer.is_from_store);
	EXPECT_EQ(answer.prefill_tokens, r.suffix_tokens + r.shared_tokens);
}

// The chosen engine may have evicted a prefix that it should hold, so the
// latest user among the others is given as a source anyway.
TEST(Placement, LastUserIsTheSource)
{
	std::vector<pc_candidate> table = { engine(1), engine(2), engine(3) };
	pc_request r = shared_prompt(7, 3);

	for (auto &c : table)
		mark_held(&c);
	table[0].prefix_age_ms = 50;
	table[1].prefix_age_ms = 900;
	table[2].prefix_age_ms = 20000;
	table[2].holds_prefix = false;
	table[0].waiting_tokens = 90000;
	pc_answer answer = pc_place(&r, table.data(), 3);
	EXPECT_EQ(answer.chosen, 1);
	EXPECT_EQ(answer.source, 0);
}

struct Replay {
	double mean_wait_ms;
	double worst_wait_ms;
};

// Places a burst of prompts that engines prefill at 40 tokens per ms; the wait
// of a prompt is the queue of its engine. @knows_all_load: whether each host
// knows the load of all hosts or only its own.
Replay replay_burst(bool knows_all_load)
{
	const int hosts = 9, engines = 12, requests = 900;
	double queued[12] = {};
	uint32_t own[9][12] = {};
	double sum = 0, worst = 0;

	for (int n = 0; n < requests; n++) {
		int host = n % hosts;
		std::vector<pc_candidate> table;
		pc_request r = {};

		/* A third of the requests share one prefix. */
		r.prefix_hash = n % 3 ? uint64_t(n) * 7919 + 1 : 42;
		r.root_hash = r.prefix_hash;
		r.shared_tokens = r.root_tokens = 198;
		r.suffix_tokens = 628;
		for (int i = 0; i < engines; i++) {
			table.push_back(engine(i + 1));
			if (r.prefix_hash == 42 && i == 5)
				mark_held(&table.back());
			table.back().waiting_tokens =
				knows_all_load ? uint32_t(queued[i] * 40)
					       : own[host][i];
		}
		pc_answer a = pc_place(&r, table.data(), engines);
		sum += queued[a.chosen];
		worst = std::max(worst, queued[a.chosen]);
		queued[a.chosen] += a.prefill_tokens / 40.0;
		own[host][a.chosen] += a.prefill_tokens;
		/* Engines prefill 1.5 ms of work between two requests. */
		for (double &q : queued)
			q = std::max(0.0, q - 1.5);
		for (int i = 0; i < engines; i++)
			if (queued[i] == 0)
				for (auto &mine : own)
					mine[i] = 0;
	}
	return { sum / requests, worst };
}

// Load: a burst with a hot prefix. A host that knows only its own ninth of the
// load keeps sending to an engine whose queue the other hosts have filled.
TEST(Placement, KnowingTheLoadOfAllHostsShortensTheWait)
{
	Replay alone = replay_burst(false);
	Replay all = replay_burst(true);

	EXPECT_LT(all.worst_wait_ms, alone.worst_wait_ms);
	EXPECT_LT(all.mean_wait_ms, alone.mean_wait_ms);
}

TEST(Urgency, OnTimeBeforeLateThenByRank)
{
	static const struct {
		double predicted_ms;
		int64_t target_ms;
		double mean_wait_ms;
		uint32_t rank;
		uint32_t priority;
		bool is_late;
	} cases[] = {
		{ 100, 800, 200, 0, 0, false },
		{ 100, 800, 200, 3, 3, false },
		{ 700, 800, 200, 0, 5, true },
		{ 700, 800, 200, 9, 9, true },
		{ 9000, 0, 200, 1, 1, false },
		/* Predictions are short under load, and exact without. */
		{ 550, 800, 200, 0, 5, true },
		{ 550, 800, 75, 0, 0, false },
		{ 650, 800, 75, 0, 5, true },
		{ 650, 800, 0, 0, 0, false },
		{ 750, 800, 0, 0, 5, true },
	};

	for (const auto &c : cases) {
		pu_urgency u = pu_decide(c.predicted_ms, c.target_ms,
					 c.mean_wait_ms, c.rank);

		EXPECT_EQ(u.priority, c.priority);
		EXPECT_EQ(u.is_late, c.is_late);
	}
}

// Prompts of 200 ms arrive every 130 ms at an engine that prefills one at a
// time, urgent ones before late ones. Returns how many were finished within 800
// ms.
int replay_overload(bool uses_urgency)
{
	const double prefill_ms = 200, every_ms = 130, target_ms = 800;
	std::vector<double> urgent, late;
	double free_ms = 0;
	int on_time = 0;

	auto run_until = [&](double now_ms) {
		while (free_ms <= now_ms && !(urgent.empty() && late.empty())) {
			auto &queue = urgent.empty() ? late : urgent;
			double arrived_ms = queue.front();

			queue.erase(queue.begin());
			free_ms = std::max(free_ms, arrived_ms) + prefill_ms;
			on_time += free_ms - arrived_ms <= target_ms;
		}
	};
	for (int n = 0; n < 300; n++) {
		double now_ms = n * every_ms;

		run_until(now_ms);
		double wait_ms = std::max(free_ms - now_ms, 0.0) +
				 urgent.size() * prefill_ms;
		pu_urgency u = pu_decide(wait_ms + prefill_ms,
					 int64_t(target_ms), wait_ms, 0);
		(uses_urgency && u.is_late ? late : urgent).push_back(now_ms);
	}
	run_until(1e9);
	return on_time;
}

// Load: one and a half times what the engine can prefill. In the order of
// arrival nearly all prompts are late.
TEST(Urgency, OverloadKeepsMostServablePromptsOnTime)
{
	int in_order = replay_overload(false);
	int by_urgency = replay_overload(true);

	EXPECT_LT(in_order, 30);
	/* 300 prompts arrive in 39 s, of which 195 can be prefilled. */
	EXPECT_GT(by_urgency, 150);
}

// Load: after a quarter of the engines is lost, ten prompts that are late
// anyway wait at each engine that is left. They run in idle gaps, so a new
// prompt can still be on time and must not join them.
TEST(Urgency, BacklogOfLatePromptsDoesNotMakeNewOnesLate)
{
	const double tokens = 6050, tokens_per_ms = 40;
	const int64_t target_ms = 800;
	double waiting = 0;

	for (int i = 0; i < 10; i++)
		waiting += tokens * pu_decide(2000, target_ms, 200, 0).weight;
	double predicted_ms = (waiting + tokens) / tokens_per_ms;
	double wait_ms = waiting / tokens_per_ms;
	EXPECT_FALSE(pu_decide(predicted_ms, target_ms, wait_ms, 0).is_late);
}

// Placement has to stay cheap at the design size of 600 engines.
TEST(Placement, HandlesSixHundredEngines)
{
	std::vector<pc_candidate> table;
	pc_request r = shared_prompt(7, 3);

	for (int i = 0; i < 600; i++)
		table.push_back(
			engine(i + 1, i % 2 ? PC_SAME_ZONE : PC_OTHER_REGION));
	EXPECT_GE(pc_place(&r, table.data(), 600).chosen, 0);
}

// Load: a new version is requested at the peak, no engine serves it yet, and
// the engines that load it first, avoided here, get no requests. The others
// must still place each prefix on few engines.
TEST(Placement, PrefixesStayTogetherOnOlderWeights)
{
	std::vector<pc_candidate> table;
	std::map<uint64_t, std::set<int32_t>> used;
	uint32_t misplaced = 0;

	for (uint64_t i = 0; i < 24; i++) {
		table.push_back(engine(i + 1));
		table.back().weights = i < 4 ? 2 : 1;
		table.back().weights_age_ms = 500;
		table.back().is_avoided = i >= 14;
	}
	for (uint64_t n = 0; n < 400; n++) {
		pc_request r = shared_prompt(1 + n % 20, 1000 + n % 4);
		pc_answer answer;

		r.seed = n;
		for (pc_candidate &c : table)
			c.holds_prefix = c.holds_root = false;
		for (int32_t i : used[r.prefix_hash])
			mark_held(&table[i]);
		answer = pc_place(&r, table.data(), table.size());
		ASSERT_GE(answer.chosen, 0);
		EXPECT_LT(answer.chosen, 14);
		misplaced +=
			n >= 20 && !used[r.prefix_hash].count(answer.chosen);
		used[r.prefix_hash].insert(answer.chosen);
		for (pc_candidate &c : table)
			c.prefix_age_ms = c.root_age_ms = -1;
	}
	/* 5 % of 380 requests for a prefix that some engine holds. */
	EXPECT_LE(misplaced, 19u);
}

// The same load: hosts that request a new prefix at the same time choose the
// same engine among those with older weights, too.
TEST(Placement, HostsAgreeOnTheOwnerAmongOlderWeights)
{
	std::vector<pc_candidate> table;

	for (uint64_t i = 0; i < 24; i++) {
		table.push_back(engine(i + 1));
		table.back().weights = 1;
		table.back().weights_age_ms = 500;
		table.back().is_avoided = i >= 14;
	}
	for (uint64_t prefix = 1; prefix <= 20; prefix++) {
		std::set<int32_t> chosen;

		for (uint64_t host = 0; host < 8; host++) {
			pc_request r = shared_prompt(prefix, 1000 + prefix % 4);

			r.seed = prefix * 100 + host;
			chosen.insert(pc_place(&r, table.data(), table.size())
					      .chosen);
		}
		EXPECT_EQ(chosen.size(), 1u) << prefix;
	}
}

// Prefixes are copied only from engines with the same weights.
TEST(Placement, CopiesComeFromTheSameWeights)
{
	std::vector<pc_candidate> table = { engine(1), engine(2), engine(3) };
	pc_request r = shared_prompt(7, 8);
	pc_answer answer;

	for (uint32_t i = 0; i < 3; i++) {
		table[i].weights = i < 2 ? 1 : 2;
		table[i].weights_age_ms = i < 2 ? 900 : 0;
	}
	mark_held(&table[2]);
	table[2].running = 100;
	table[2].waiting_tokens = 400000;
	answer = pc_place(&r, table.data(), table.size());
	ASSERT_GE(answer.chosen, 0);
	ASSERT_LT(answer.chosen, 2);
	EXPECT_EQ(answer.source, -1);
	mark_held(&table[1 - answer.chosen]);
	table[1 - answer.chosen].waiting_tokens = 400000;
	answer = pc_place(&r, table.data(), table.size());
	EXPECT_GE(answer.source, 0);
	EXPECT_LT(answer.source, 2);
}

} // namespace
