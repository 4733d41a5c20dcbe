// Messages to many hosts, spread over time.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "peers/pe_pace.h"
}

namespace
{

class Pace : public testing::Test
{
      protected:
	struct pe_pace pace;
	int messages[1000] = {};

	void SetUp() override
	{
		pe_pace_init(&pace);
	}

	void TearDown() override
	{
		while (pe_pace_take(&pace))
			;
	}
};

TEST_F(Pace, OneAtOnceThenOneAPeriodInOrder)
{
	EXPECT_TRUE(pe_pace_offer(&pace, &messages[0]));
	EXPECT_FALSE(pe_pace_offer(&pace, &messages[1]));
	EXPECT_FALSE(pe_pace_offer(&pace, &messages[2]));
	EXPECT_EQ(pe_pace_next(&pace), &messages[1]);
	EXPECT_FALSE(pe_pace_offer(&pace, &messages[3]));
	EXPECT_EQ(pe_pace_next(&pace), &messages[2]);
	EXPECT_EQ(pe_pace_next(&pace), &messages[3]);
	EXPECT_FALSE(pe_pace_offer(&pace, &messages[4]));
	EXPECT_EQ(pe_pace_next(&pace), &messages[4]);
	EXPECT_EQ(pe_pace_next(&pace), nullptr);
	EXPECT_TRUE(pe_pace_offer(&pace, &messages[5]));
}

TEST_F(Pace, IsBounded)
{
	for (int i = 0; i <= PE_PACE_MAX; i++) {
		EXPECT_FALSE(pe_pace_is_full(&pace));
		pe_pace_offer(&pace, &messages[i]);
	}
	EXPECT_TRUE(pe_pace_is_full(&pace));
}

// Load: 26 messages of 1.2 KB for each of 37 hosts at one moment, over a link
// that holds 128 KB and carries 20 Mbit/s. Returns how many get through to all.
int deliver(struct pe_pace *pace, bool is_paced)
{
	const double bytes = 37 * 1200.0, room = 128e3, bytes_per_ms = 2500;
	static int messages[26];
	double queued = 0;
	int delivered = 0;
	auto send = [&] {
		delivered += queued + bytes <= room;
		queued = std::min(queued + bytes, room);
	};

	for (int &message : messages)
		if (!is_paced || pe_pace_offer(pace, &message))
			send();
	for (int period = 0; period < 100; period++) {
		queued = std::max(0.0, queued - 20 * bytes_per_ms);
		if (is_paced && pe_pace_next(pace))
			send();
	}
	return delivered;
}

TEST_F(Pace, BurstGetsThroughALinkOfASmallHost)
{
	EXPECT_LT(deliver(&pace, false), 26);
	EXPECT_EQ(deliver(&pace, true), 26);
}

} // namespace
