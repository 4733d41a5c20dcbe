// Backoff after rejections: hosts that do not see each other's rejections must
// together stay within what a brittle upstream bears.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "limits/rj.h"
}

namespace
{

struct Replay {
	uint32_t hosts;
	uint32_t per_s;
	int requests_per_s; /* of each host */
	int answer_ms;
};

const Replay replays[] = {
	{ 1, 1, 100, 2 },   { 3, 10, 100, 2 },	 { 9, 5, 60, 5 },
	{ 71, 20, 10, 60 }, { 300, 100, 4, 60 }, { 300, 40, 20, 60 },
};

// All hosts send to an upstream that rejects everything, and learn of a
// rejection a while after they have sent.
TEST(Backoff, HostsTogetherStayWithinWhatAnUpstreamBears)
{
	for (const Replay &r : replays) {
		std::mt19937 random(59);
		std::uniform_real_distribution<double> part(0, 1);
		std::vector<rj_state> states(r.hosts);
		std::vector<std::pair<int64_t, uint32_t>> due;
		std::vector<int64_t> rejected;
		size_t most = 0, first = 0;

		for (rj_state &s : states) {
			rj_set_limit(&s, r.per_s);
			rj_rejected(&s, r.hosts, part(random), 0);
		}
		for (int64_t now_ms = 1; now_ms < 60000; now_ms++) {
			while (!due.empty() && due.front().first <= now_ms) {
				rj_rejected(&states[due.front().second],
					    r.hosts, part(random), now_ms);
				due.erase(due.begin());
			}
			for (uint32_t i = 0; i < r.hosts; i++) {
				bool asks = part(random) <
					    r.requests_per_s / 1000.0;

				if (!asks ||
				    rj_is_backing_off(&states[i], now_ms))
					continue;
				rj_sent(&states[i], now_ms);
				rejected.push_back(now_ms);
				due.push_back({ now_ms + r.answer_ms, i });
			}
		}
		for (size_t last = 0; last < rejected.size(); last++) {
			while (rejected[last] - rejected[first] >= 1000)
				first++;
			most = std::max(most, last - first + 1);
		}
		EXPECT_LE(most, r.per_s) << r.hosts << " hosts";
		EXPECT_GT(rejected.size(), 5u) << r.hosts << " hosts";
	}
}

TEST(Backoff, NoneFromAnUpstreamThatIsNotBrittle)
{
	struct rj_state state = {};

	rj_rejected(&state, 9, 0.5, 1000);
	EXPECT_FALSE(rj_is_backing_off(&state, 1000));
	rj_set_limit(&state, 10);
	rj_rejected(&state, 9, 0.5, 1000);
	EXPECT_TRUE(rj_is_backing_off(&state, 1000));
	rj_set_limit(&state, 0);
	EXPECT_FALSE(rj_is_backing_off(&state, 1000));
}

// After a backoff one request goes first; the others follow when it was taken.
TEST(Backoff, OneRequestGoesFirst)
{
	struct rj_state state = {};

	rj_set_limit(&state, 10);
	rj_rejected(&state, 5, 0.0, 1000);
	EXPECT_TRUE(rj_is_backing_off(&state, state.backoff_until_ms - 1));
	EXPECT_FALSE(rj_is_backing_off(&state, state.backoff_until_ms));
	rj_sent(&state, 5000);
	EXPECT_TRUE(rj_is_backing_off(&state, 5001));
	EXPECT_FALSE(rj_is_backing_off(&state, 5000 + RJ_ANSWER_MS));
	rj_sent(&state, 5200);
	EXPECT_FALSE(rj_is_backing_off(&state, 5201));
}

} // namespace
