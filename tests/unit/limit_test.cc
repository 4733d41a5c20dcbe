// Which engines a placement considers if there are too many.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

extern "C" {
#include "placement/pc_limit.h"
}

namespace
{

std::vector<bool> keep(const std::vector<pc_limit_key> &keys, uint32_t max,
		       uint32_t first = 0)
{
	std::unique_ptr<bool[]> kept(new bool[keys.size() + 1]());

	pc_limit(keys.data(), keys.size(), max, first, kept.get());
	return std::vector<bool>(kept.get(), kept.get() + keys.size());
}

TEST(Limit, NearestAndLeastLoadedAreKept)
{
	static const struct {
		const char *what;
		std::vector<pc_limit_key> keys;
		uint32_t max, first;
		std::vector<bool> kept;
	} cases[] = {
		{ "room for all",
		  { { PC_OTHER_REGION, 9 }, { PC_SAME_ZONE, 1 } },
		  2,
		  0,
		  { true, true } },
		{ "nearest",
		  { { PC_OTHER_REGION, 0 },
		    { PC_SAME_REGION, 0 },
		    { PC_SAME_ZONE, 9 } },
		  2,
		  0,
		  { false, true, true } },
		{ "least loaded",
		  { { PC_SAME_ZONE, 5 },
		    { PC_SAME_ZONE, 1 },
		    { PC_SAME_ZONE, 3 } },
		  2,
		  0,
		  { false, true, true } },
		{ "equal ones from the first on",
		  { { PC_SAME_ZONE, 1 },
		    { PC_SAME_ZONE, 1 },
		    { PC_SAME_ZONE, 1 } },
		  2,
		  1,
		  { false, true, true } },
		{ "far beyond the scale of load",
		  { { PC_SAME_ZONE, 9000 }, { PC_OTHER_REGION, 0 } },
		  1,
		  0,
		  { true, false } },
		{ "none", {}, 4, 0, {} },
	};

	for (const auto &c : cases)
		EXPECT_EQ(keep(c.keys, c.max, c.first), c.kept) << c.what;
}

TEST(Limit, KeepsExactlyAsManyAtAnySize)
{
	for (uint32_t count : { 12u, 1000u, 1024u, 1025u, 3001u }) {
		std::vector<pc_limit_key> keys;
		uint32_t kept = 0, near = 0;

		for (uint32_t i = 0; i < count; i++)
			keys.push_back({ i % 6 ? PC_OTHER_REGION : PC_SAME_ZONE,
					 i * 7 % 40 });
		std::vector<bool> is_kept = keep(keys, 1024, 77);

		for (uint32_t i = 0; i < count; i++) {
			kept += is_kept[i];
			near += is_kept[i] && keys[i].distance == PC_SAME_ZONE;
		}
		EXPECT_EQ(kept, std::min(count, 1024u));
		EXPECT_EQ(near, (count + 5) / 6);
	}
}

} // namespace
