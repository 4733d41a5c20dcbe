// The load that `balsampin bench load` draws from a seed.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "bench/bench_load.h"
}

namespace
{

struct Drawn {
	double gap_s;
	uint32_t team;
	uint32_t tokens;
	uint32_t blocks;
	uint32_t ideal_blocks;
	std::string prompt;

	bool operator==(const Drawn &o) const
	{
		return gap_s == o.gap_s && team == o.team &&
		       tokens == o.tokens && prompt == o.prompt;
	}
};

std::vector<Drawn> draw(const char *profile, uint64_t seed, int count)
{
	struct bench_workload w;
	std::vector<Drawn> out;

	bench_workload_init(&w, bench_profile_find(profile), seed);
	for (int i = 0; i < count; i++) {
		struct bench_request r;
		double gap_s = bench_workload_next(&w, 0.1 * i, 10.0, &r);

		out.push_back({ gap_s, r.team, r.tokens, r.blocks,
				r.ideal_blocks,
				std::string(r.prompt->str, r.prompt->len) });
		g_string_free(r.prompt, TRUE);
	}
	bench_workload_finish(&w);
	return out;
}

TEST(BenchWorkload, SameSeedSameRequestsOtherSeedOthers)
{
	for (const char *profile : { "kitami", "pisarik" }) {
		EXPECT_TRUE(draw(profile, 1, 50) == draw(profile, 1, 50));
		EXPECT_FALSE(draw(profile, 1, 50) == draw(profile, 2, 50));
	}
}

TEST(BenchWorkload, RequestsOfARootShareItsTextAndNoTail)
{
	const struct bench_profile *p = bench_profile_find("kitami");
	std::vector<Drawn> drawn = draw("kitami", 1, 50);
	std::set<std::string> roots;
	std::set<std::string> prompts;

	for (const Drawn &d : drawn) {
		EXPECT_EQ(d.prompt.size(),
			  p->root_bytes + p->file_bytes + p->tail_bytes);
		roots.insert(d.prompt.substr(0, p->root_bytes));
		prompts.insert(d.prompt);
	}
	EXPECT_LE(roots.size(), p->teams * p->roots_per_team);
	EXPECT_EQ(prompts.size(), drawn.size());
}

TEST(BenchWorkload, TheFirstRequestOfATeamFindsNothing)
{
	std::vector<Drawn> drawn = draw("kitami", 1, 50);
	std::set<uint32_t> seen;

	for (const Drawn &d : drawn) {
		EXPECT_EQ(d.blocks, 28u);
		if (seen.insert(d.team).second)
			EXPECT_EQ(d.ideal_blocks, 0u);
		else
			EXPECT_GE(d.ideal_blocks, 25u);
	}
}

} // namespace
