// Routing: the choice of the engine, and its stability.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "routing/rt.h"
#include "routing/rt_place.h"
}

namespace
{

const int64_t now = 1000000;

// A prompt of @keys chunks, of which the first @shared belong to @prefix.
struct px_chain prompt(uint64_t prefix, uint32_t shared, uint64_t tail,
		       uint32_t keys)
{
	struct px_chain chain = {};

	chain.count = keys;
	chain.bytes = (uint64_t)keys * PX_CHUNK_BYTES;
	for (uint32_t i = 0; i < keys; i++) {
		uint64_t of = i < shared ? prefix : px_rank(prefix, tail);

		chain.keys[i] = px_rank(of + 1, i + 1);
	}
	return chain;
}

struct Router {
	struct rt_router router;

	explicit Router(uint64_t seed = 0)
	{
		struct rt_desc desc = {};

		desc.seed = seed;
		rt_router_init(&router, &desc);
	}
	~Router()
	{
		rt_router_finish(&router);
	}
	Router(const Router &) = delete;
	Router &operator=(const Router &) = delete;
};

std::vector<struct rt_candidate> engines(uint32_t count)
{
	std::vector<struct rt_candidate> all(count);

	for (uint32_t i = 0; i < count; i++) {
		all[i].engine = px_id(("e" + std::to_string(i)).c_str());
		all[i].incarnation = 1;
		all[i].prefill_tokens_per_s = 10000;
	}
	return all;
}

struct rt_request request_of(const struct px_chain &chain,
			     const std::vector<struct rt_candidate> &all)
{
	struct rt_request request = {};

	request.chain = &chain;
	request.prompt_tokens = (uint32_t)(chain.bytes / 4);
	request.candidates = all.data();
	request.count = (uint32_t)all.size();
	return request;
}

struct rt_choice decide(Router &r, const struct rt_request &request,
			const char *policy = "cost")
{
	struct rt_choice choice = {};

	EXPECT_EQ(rt_decide(rt_policy_find(policy), &r.router, &request,
			    &choice, now),
		  ST_OK);
	return choice;
}

uint64_t place(Router &r, const struct px_chain &chain,
	       const std::vector<struct rt_candidate> &all)
{
	return all[decide(r, request_of(chain, all)).candidate].engine;
}

// The engine that a router without history chooses for a prompt.
uint64_t place_first(const struct px_chain &chain,
		     const std::vector<struct rt_candidate> &all)
{
	Router r;

	return place(r, chain, all);
}

// Warms up a router: each round has 100 requests, weights[p] of them with
// prefix p + 1.
void warm(Router &r, const std::vector<int> &weights, uint64_t salt, int rounds)
{
	auto all = engines(12);

	for (int round = 0; round < rounds; round++) {
		for (size_t p = 0; p < weights.size(); p++) {
			for (int i = 0; i < weights[p]; i++) {
				struct px_chain c = prompt(
					p + 1, 10, salt + round * 1000 + i * 10,
					12);
				place(r, c, all);
			}
		}
	}
}

TEST(Routing, RoutersThatKnowTheSameEnginesAgree)
{
	Router fresh(1), restarted(2);
	auto all = engines(12), shuffled = all;

	std::reverse(shuffled.begin(), shuffled.end());
	for (uint64_t p = 0; p < 200; p++) {
		struct px_chain c = prompt(p, 4, p, 6);

		EXPECT_EQ(place(fresh, c, all), place(restarted, c, shuffled));
	}
}

TEST(Routing, RoutersThatSawDifferentPartsOfTheTrafficAgree)
{
	Router a(1), b(2);
	std::vector<int> weights = { 40, 25, 15, 10, 5, 5 };
	auto all = engines(12);
	int same = 0;

	warm(a, weights, 1, 3);
	warm(b, weights, 500000, 3);
	for (uint64_t i = 0; i < 300; i++) {
		struct px_chain c = prompt(i % 6 + 1, 10, 900000 + i, 12);

		same += place(a, c, all) == place(b, c, all);
	}
	EXPECT_GE(same, 270);
}

TEST(Routing, OneEngineMoreOrLessMovesItsPartOfTheKeys)
{
	struct {
		const char *what;
		uint32_t before, after;
	} cases[] = {
		{ "one more", 12, 13 },
		{ "one less", 12, 11 },
		{ "one more of many", 60, 61 },
	};
	const int keys = 2000;

	for (auto &c : cases) {
		auto before = engines(c.before), after = engines(c.after);
		double part = 1.0 / std::max(c.before, c.after);
		int moved = 0;

		for (uint64_t k = 0; k < keys; k++) {
			struct px_chain chain = prompt(k, 6, k, 6);

			moved += place_first(chain, before) !=
				 place_first(chain, after);
		}
		EXPECT_GT(moved, keys * part * 0.5) << c.what;
		EXPECT_LT(moved, keys * part * 2.5) << c.what;
	}
}

TEST(Routing, AFlappingSuspectMovesOnlyItsOwnPrompts)
{
	auto all = engines(12), flapped = all;

	flapped[3].is_suspect = true;
	for (uint64_t k = 0; k < 500; k++) {
		struct px_chain chain = prompt(k, 6, k, 6);
		uint64_t at = place_first(chain, all);
		uint64_t then = place_first(chain, flapped);

		if (at != all[3].engine) {
			EXPECT_EQ(then, at);
		}
		EXPECT_NE(then, all[3].engine);
		EXPECT_EQ(place_first(chain, all), at);
	}
}

// A request that crashed an engine must not be sent to it again, even if the
// engine holds the prompt; if no other engine is left, the request is refused.
TEST(Routing, EnginesThatMayNotBeChosenNeverAre)
{
	for (const char *policy :
	     { "cost", "random", "round_robin", "least_loaded", "hash" }) {
		Router r;
		auto all = engines(3);
		struct px_chain chain = prompt(1, 6, 1, 6);
		struct rt_request request = request_of(chain, all);
		uint64_t excluded[] = { all[0].engine, all[1].engine };
		struct rt_choice choice;

		all[0].has_index = true;
		all[0].held = 6;
		all[0].confidence_permille = 1000;
		all[2].is_suspect = true;
		request.excluded = excluded;
		request.excluded_count = 2;
		for (int i = 0; i < 20; i++)
			EXPECT_EQ(decide(r, request, policy).candidate, 2u)
				<< policy;
		all[2].max_running = 4;
		all[2].own_running = 4;
		EXPECT_EQ(rt_decide(rt_policy_find(policy), &r.router, &request,
				    &choice, now),
			  ST_UNAVAILABLE)
			<< policy;
	}
}

TEST(Routing, AnIndexAnswerOfADeadIncarnationIsDropped)
{
	struct {
		const char *what;
		uint64_t known, found;
		bool is_same_engine, is_merged;
	} cases[] = {
		{ "the live incarnation", 7, 7, true, true },
		{ "an older incarnation", 7, 6, true, false },
		{ "restarted, the index knew first", 7, 8, true, true },
		{ "incarnation not known yet", 0, 6, true, true },
		{ "another engine", 7, 7, false, false },
	};

	for (auto &c : cases) {
		struct rt_candidate candidate = {}, found = {};

		candidate.engine = 1;
		candidate.incarnation = c.known;
		found.engine = c.is_same_engine ? 1 : 2;
		found.incarnation = c.found;
		found.held = 9;
		EXPECT_EQ(rt_candidate_merge(&candidate, &found), c.is_merged)
			<< c.what;
		EXPECT_EQ(candidate.held, c.is_merged ? 9u : 0u) << c.what;
		EXPECT_EQ(candidate.has_index, c.is_merged) << c.what;
	}
}

// Two engines of 10000 tokens/s, a prompt of 10 keys = 10240 tokens.
struct CostCase {
	const char *what;
	enum cm_objective objective;
	std::function<void(struct rt_candidate *a, struct rt_candidate *b)> set;
	uint32_t chosen;
	enum rt_reason reason;
};

const CostCase cost_cases[] = {
	{ "a cached prefix beats an idle engine", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { a->held = 9, a->waiting_tokens = 3000; }, 0,
	  RT_BY_CACHE },
	{ "a cached prefix beats an idle engine, reversed", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->held = 9, b->waiting_tokens = 3000; }, 1,
	  RT_BY_CACHE },
	{ "an idle engine beats a cached prefix with a long queue",
	  CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->held = 9, b->waiting_tokens = 30000; }, 0,
	  RT_BY_LOAD },
	{ "for reuse, the cached prefix beats that queue", CM_REUSE,
	  [](auto *a, auto *b) { b->held = 9, b->waiting_tokens = 30000; }, 1,
	  RT_BY_CACHE },
	{ "tokens sent since the report count as waiting", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->held = 9, b->sent_tokens = 30000; }, 0,
	  RT_BY_LOAD },
	{ "tokens sent by this entry host count as waiting", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->held = 9, b->own_tokens = 30000; }, 0,
	  RT_BY_LOAD },
	{ "a cached prefix of low confidence", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) {
		  a->held = 9, a->confidence_permille = 100;
		  b->held = 5;
	  },
	  1, RT_BY_CACHE },
	{ "an engine without a report is not assumed idle", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) {
		  a->held = 9, a->waiting_tokens = 12000, b->has_index = false;
	  },
	  0, RT_BY_CACHE },
	{ "the second request follows the first", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->pending = 9, b->sent_tokens = 9000; }, 1,
	  RT_BY_PENDING },
	{ "unless the queue costs more than the prefix", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->pending = 9, b->sent_tokens = 40000; }, 0,
	  RT_BY_LOAD },
	{ "an engine of another zone holds the prefix", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { b->held = 9, b->distance = RT_SAME_REGION; },
	  1, RT_BY_CACHE },
	{ "a short queue is not worth another region", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) {
		  a->waiting_tokens = 500, b->distance = RT_OTHER_REGION;
	  },
	  0, RT_BY_PLACEMENT },
	{ "a very long queue is worth another region", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) {
		  a->waiting_tokens = 90000, b->distance = RT_OTHER_REGION;
	  },
	  1, RT_BY_LOAD },
	{ "a slow engine", CM_FIRST_TOKEN,
	  [](auto *a, auto *b) { a->prefill_tokens_per_s = 1000; }, 1,
	  RT_BY_PLACEMENT },
};

TEST(Routing, LeastPredictedTimeToTheFirstToken)
{
	for (const CostCase &c : cost_cases) {
		Router r;
		auto all = engines(2);
		struct px_chain chain = prompt(1, 10, 1, 10);
		struct rt_request request = request_of(chain, all);

		for (auto &e : all) {
			e.has_index = true;
			e.confidence_permille = 1000;
		}
		c.set(&all[0], &all[1]);
		request.objective = c.objective;
		struct rt_choice choice = decide(r, request);
		EXPECT_EQ(choice.candidate, c.chosen) << c.what;
		EXPECT_EQ(choice.reason == RT_BY_CACHE, c.reason == RT_BY_CACHE)
			<< c.what;
		EXPECT_EQ(choice.reason == RT_BY_PENDING,
			  c.reason == RT_BY_PENDING)
			<< c.what;
	}
}

// 600 engines are more than a decision compares: the near ones are preferred,
// and routers that list the engines in another order preselect the same ones.
TEST(Routing, TheSameEnginesArePreselected)
{
	struct {
		const char *what;
		uint32_t count, near, selected, selected_near;
	} sizes[] = {
		{ "few", 12, 4, 12, 4 },
		{ "many, few near", 600, 100, 128, 100 },
		{ "many near", 600, 300, 128, 128 },
		{ "more than are considered", 2000, 2000, 128, 128 },
	};
	struct px_chain chain = prompt(1, 4, 1, 4);

	for (auto &c : sizes) {
		auto all = engines(c.count);
		uint32_t out[RT_MAX_CANDIDATES], again[RT_MAX_CANDIDATES];
		std::set<uint64_t> first, second;
		uint32_t near = 0;

		for (uint32_t i = c.near; i < c.count; i++)
			all[i].distance = RT_SAME_REGION;
		ASSERT_EQ(rt_preselect(&chain, all.data(), c.count, out),
			  c.selected)
			<< c.what;
		for (uint32_t i = 0; i < c.selected; i++) {
			near += out[i] < c.near;
			first.insert(all[out[i]].engine);
		}
		EXPECT_EQ(near, c.selected_near) << c.what;
		EXPECT_EQ(first.size(), c.selected) << c.what;
		if (c.count > RT_MAX_ENGINES)
			continue;
		std::reverse(all.begin(), all.end());
		rt_preselect(&chain, all.data(), c.count, again);
		for (uint32_t i = 0; i < c.selected; i++)
			second.insert(all[again[i]].engine);
		EXPECT_EQ(first, second) << c.what;
	}
}

// All routers see the same stale reports, in which engine 0 looks slightly
// better than the others.
TEST(Routing, NoHerdingOnStaleReports)
{
	auto all = engines(12);
	std::map<uint64_t, int> got;
	const int routers = 9, each = 20;

	for (auto &e : all) {
		e.has_index = true;
		e.load_age_ms = 1000;
		e.waiting_tokens = 800;
	}
	all[0].waiting_tokens = 0;
	for (int i = 0; i < routers; i++) {
		Router r((uint64_t)i);

		for (int k = 0; k < each; k++) {
			struct px_chain chain =
				prompt(1 + i * 1000 + k, 4, 1, 4);

			got[place(r, chain, all)]++;
		}
	}
	for (auto &[engine, count] : got)
		EXPECT_LT(count, 3 * routers * each / 12) << engine;
}

// Without the index, a burst of one prefix must move to other engines once the
// queue of its engine costs more than recomputing the prefix.
TEST(Routing, PlacementIsBoundedByLoad)
{
	Router r;
	auto all = engines(6);
	std::set<uint32_t> used;
	uint32_t most = 0;

	for (int i = 0; i < 60; i++) {
		struct px_chain chain = prompt(1, 10, (uint64_t)i, 12);
		uint32_t at = decide(r, request_of(chain, all)).candidate;

		all[at].own_tokens += 12 * 1024;
		used.insert(at);
		most = std::max(most, all[at].own_tokens / (12 * 1024));
	}
	EXPECT_EQ(used.size(), all.size());
	EXPECT_LE(most, 15u);
}

TEST(Routing, AHotPrefixIsSpreadAndARareOneIsNot)
{
	Router r;
	std::vector<int> weights = { 70, 10, 10, 10 };
	struct rt_level levels[RT_MAX_LEVELS];
	struct {
		const char *what;
		uint64_t prefix;
		uint32_t spread_min, spread_max;
	} cases[] = {
		{ "hot", 1, 9, 12 },
		{ "rare", 2, 1, 2 },
		{ "never seen", 99, 1, 2 },
	};

	warm(r, weights, 7, 3);
	for (auto &c : cases) {
		struct px_chain chain = prompt(c.prefix, 10, 77, 12);
		uint32_t n =
			rt_levels(&r.router.heat, &chain, 12, 1250, levels);

		ASSERT_GE(n, 1u) << c.what;
		EXPECT_GE(levels[0].spread, c.spread_min) << c.what;
		EXPECT_LE(levels[0].spread, c.spread_max) << c.what;
	}
}

// A router that has just started must not treat its first few requests as the
// whole traffic.
TEST(Routing, APrefixSeenTwiceIsNotHot)
{
	Router r;
	struct rt_level levels[RT_MAX_LEVELS];
	struct px_chain chain = prompt(1, 6, 1, 6);
	auto all = engines(61);

	for (int i = 0; i < 2; i++)
		place(r, chain, all);
	ASSERT_GE(rt_levels(&r.router.heat, &chain, 61, 1250, levels), 1u);
	EXPECT_LE(levels[0].spread, 2u);
}

// With thousands of teams each prefix has a tiny share; its end is still found.
TEST(Routing, APrefixOfASmallTeamIsKnownToItsEnd)
{
	Router r;
	struct rt_level levels[RT_MAX_LEVELS];
	auto all = engines(12);
	struct px_chain chain;

	for (uint64_t i = 0; i < 8 * 200; i++) {
		chain = prompt(i % 200, 10, i, 12);
		place(r, chain, all);
	}
	ASSERT_EQ(rt_levels(&r.router.heat, &chain, 12, 1250, levels), 1u);
	EXPECT_EQ(levels[0].end, 10u);
	EXPECT_EQ(levels[0].spread, 1u);
}

// The engines of a longer prefix are a subset of those of the shorter one, so
// that the shared part is not computed on engines that do not hold it.
TEST(Routing, NestedPrefixesHaveNestedSets)
{
	Router r;
	auto all = engines(12);
	std::map<uint64_t, std::set<uint64_t>> first_of;

	for (int i = 0; i < 600; i++) {
		struct px_chain chain = prompt((uint64_t)i % 4 + 1, 8,
					       (uint64_t)i % 24 / 4, 16);
		uint64_t out[12];
		struct rt_request request = request_of(chain, all);

		ASSERT_EQ(rt_shortlist(&r.router, &request, out, 12, now), 12u);
		decide(r, request);
		if (i >= 300)
			first_of[chain.keys[0]].insert(out[0]);
	}
	ASSERT_EQ(first_of.size(), 4u);
	for (auto &[key, set] : first_of)
		EXPECT_LE(set.size(), 4u);
}

TEST(Routing, UniquePromptsDoNotPushOutAHotPrefix)
{
	struct rt_heat heat;
	struct rt_heat_desc desc = {};
	struct px_chain hot = prompt(1, 10, 0, 10);

	desc.sets = 64;
	rt_heat_init(&heat, &desc);
	for (uint64_t i = 0; i < 20000; i++) {
		struct px_chain cold = prompt(1000 + i, 20, i, 20);

		rt_heat_count(&heat, &cold, now + (int64_t)i);
		if (i % 4 == 0)
			rt_heat_count(&heat, &hot, now + (int64_t)i);
	}
	EXPECT_GT(rt_heat_share(&heat, hot.keys[9]), 0.15);
	for (uint64_t i = 19000; i < 20000; i++) {
		struct px_chain cold = prompt(1000 + i, 20, i, 20);

		EXPECT_LT(rt_heat_share(&heat, cold.keys[0]), 0.01);
	}
	rt_heat_finish(&heat);
}

TEST(Routing, HeatFollowsATrafficShiftAfterAnIdleNight)
{
	struct rt_heat heat;
	struct rt_heat_desc desc = {};
	struct px_chain old = prompt(1, 5, 0, 5), fresh = prompt(2, 5, 0, 5);
	int64_t at = now;

	rt_heat_init(&heat, &desc);
	for (int i = 0; i < 2000; i++)
		rt_heat_count(&heat, &old, at += 100);
	EXPECT_GT(rt_heat_share(&heat, old.keys[0]), 0.9);
	at += 12 * 3600 * 1000;
	for (int i = 0; i < 2000; i++)
		rt_heat_count(&heat, &fresh, at += 100);
	EXPECT_GT(rt_heat_share(&heat, fresh.keys[0]), 0.9);
	EXPECT_LT(rt_heat_share(&heat, old.keys[0]), 0.01);
	rt_heat_finish(&heat);
}

} // namespace
