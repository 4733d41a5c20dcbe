// What hosts tell each other: load at upstreams, and prefixes that are held.
#include <gtest/gtest.h>

extern "C" {
#include "peers/pe_held.h"
#include "peers/pe_load.h"
}

namespace
{

class Load : public testing::Test
{
      protected:
	struct pe_load load;

	void SetUp() override
	{
		pe_load_init(&load);
	}

	void TearDown() override
	{
		pe_load_finish(&load);
	}

	void hear(uint64_t peer, uint64_t sequence, uint64_t engine,
		  uint32_t running, uint32_t tokens, int64_t now_ms = 0)
	{
		struct pe_share share = { engine, running, tokens };

		pe_load_hear(&load, peer, sequence, &share, 1, now_ms);
	}
};

TEST_F(Load, SumsOverPeersAndReplacesTheirLastWord)
{
	hear(1, 1, 7, 2, 100);
	hear(2, 1, 7, 3, 50);
	EXPECT_EQ(pe_load_of(&load, 7).running, 5u);
	EXPECT_EQ(pe_load_of(&load, 7).tokens, 150u);
	hear(1, 2, 8, 1, 10);
	EXPECT_EQ(pe_load_of(&load, 7).running, 3u);
	EXPECT_EQ(pe_load_of(&load, 8).tokens, 10u);
	EXPECT_EQ(pe_load_peers(&load), 2u);
}

TEST_F(Load, MessagesOutOfOrderAreIgnored)
{
	hear(1, 5, 7, 2, 100);
	hear(1, 4, 7, 9, 900);
	EXPECT_EQ(pe_load_of(&load, 7).running, 2u);
}

TEST_F(Load, SilentPeersAreForgotten)
{
	hear(1, 1, 7, 2, 100, 1000);
	hear(2, 1, 7, 3, 50, 3000);
	pe_load_expire(&load, 2000);
	EXPECT_EQ(pe_load_of(&load, 7).running, 3u);
	EXPECT_EQ(pe_load_peers(&load), 1u);
}

TEST(Held, KnowsTheLastHoldersOfAPrefixUnderItsWeights)
{
	struct pe_held held;
	uint64_t key = pe_held_key(11, 3);

	pe_held_init(&held);
	EXPECT_TRUE(pe_held_add(&held, key, 1, 100));
	EXPECT_FALSE(pe_held_add(&held, key, 1, 200));
	EXPECT_EQ(pe_held_used_ms(&held, key, 1), 200);
	EXPECT_TRUE(pe_held_add(&held, key, 1, 100 + PE_TELL_AGAIN_MS));
	EXPECT_EQ(pe_held_used_ms(&held, pe_held_key(11, 4), 1), 0);
	for (uint64_t engine = 2; engine <= PE_MAX_HOLDERS + 1; engine++)
		pe_held_add(&held, key, engine, 2000 + engine);
	EXPECT_EQ(pe_held_used_ms(&held, key, 1), 0);
	EXPECT_GT(pe_held_used_ms(&held, key, PE_MAX_HOLDERS + 1), 0);
	pe_held_expire(&held, 5000);
	EXPECT_EQ(pe_held_used_ms(&held, key, 2), 0);
	pe_held_finish(&held);
}

} // namespace
