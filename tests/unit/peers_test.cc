// What hosts tell each other: load at upstreams, and prefixes that are held.
#include <gtest/gtest.h>

#include <map>
#include <vector>

extern "C" {
#include "net/ad.h"
#include "peers/pe_held.h"
#include "peers/pe_home.h"
#include "peers/pe_kept.h"
#include "peers/pe_load.h"
#include "peers/pe_reader.h"
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

		pe_load_receive(&load, peer, sequence, &share, 1, now_ms);
	}
};

TEST_F(Load, SumsPeersAndReplacesTheirLastReport)
{
	hear(1, 1, 7, 2, 100);
	hear(2, 1, 7, 3, 50);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 5u);
	EXPECT_EQ(pe_load_sum(&load, 7).tokens, 150u);
	hear(1, 2, 8, 1, 10);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 3u);
	EXPECT_EQ(pe_load_sum(&load, 8).tokens, 10u);
	EXPECT_EQ(pe_load_peer_count(&load), 2u);
}

TEST_F(Load, MessagesOutOfOrderAreIgnored)
{
	hear(1, 5, 7, 2, 100);
	hear(1, 4, 7, 9, 900);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 2u);
}

TEST_F(Load, SilentPeersAreRemoved)
{
	hear(1, 1, 7, 2, 100, 1000);
	hear(2, 1, 7, 3, 50, 3000);
	pe_load_expire(&load, 2000);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 3u);
	EXPECT_EQ(pe_load_peer_count(&load), 1u);
}

TEST(Held, TracksRecentHoldersPerWeights)
{
	struct pe_held held;
	uint64_t key = pe_held_key(11, 3);

	pe_held_init(&held);
	EXPECT_TRUE(pe_held_add(&held, key, 1, 100));
	EXPECT_FALSE(pe_held_add(&held, key, 1, 200));
	EXPECT_EQ(pe_held_used_ms(&held, key, 1), 200);
	EXPECT_TRUE(pe_held_add(&held, key, 1, 100 + PE_ANNOUNCE_AGAIN_MS));
	EXPECT_EQ(pe_held_used_ms(&held, pe_held_key(11, 4), 1), 0);
	for (uint64_t engine = 2; engine <= PE_MAX_HOLDERS + 1; engine++)
		pe_held_add(&held, key, engine, 2000 + engine);
	EXPECT_EQ(pe_held_used_ms(&held, key, 1), 0);
	EXPECT_GT(pe_held_used_ms(&held, key, PE_MAX_HOLDERS + 1), 0);
	pe_held_expire(&held, 5000);
	EXPECT_EQ(pe_held_used_ms(&held, key, 2), 0);
	pe_held_finish(&held);
}

// Load: the peak, at which all hosts send more than the engines keep.
TEST(Kept, ShrinksAsHostsSendMoreTokens)
{
	const struct {
		uint64_t sent_tokens;
		uint32_t hosts;
		uint64_t memory_tokens;
		int64_t kept_ms;
	} cases[] = {
		{ 0, 10, 1000000, PE_KEPT_MAX_MS },
		{ 10000, 10, 1000000, 7000 },
		{ 10000, 10, 2000000, 14000 },
		{ 5000, 20, 1000000, 7000 },
		{ 100000, 10, 1000000, PE_KEPT_MIN_MS },
		{ 1, 1, 1000000, PE_KEPT_MAX_MS },
	};

	for (const auto &c : cases) {
		struct pe_kept kept = {};
		struct pe_kept_input input = { c.sent_tokens, 1000, c.hosts,
					       c.memory_tokens };
		int64_t kept_ms = 0;

		for (int second = 0; second < 60; second++)
			kept_ms = pe_kept_update(&kept, &input);
		EXPECT_NEAR(kept_ms, c.kept_ms, 1)
			<< c.sent_tokens << " " << c.hosts;
	}
}

// Load: the store answers some hosts only, for seconds.
TEST(Reader, IsNearestHostWithStoreAccess)
{
	const struct {
		const char *what;
		std::vector<pe_host> hosts;
		int32_t reader;
	} cases[] = {
		{ "the first of the region",
		  { { 5, 1, true }, { 3, 1, true }, { 1, 2, true } },
		  1 },
		{ "the store does not answer the first",
		  { { 5, 1, true }, { 3, 1, false }, { 1, 2, true } },
		  0 },
		{ "nor any of the region",
		  { { 5, 1, false }, { 4, 2, true }, { 2, 3, true } },
		  2 },
		{ "a near one goes before a lower hash, in either order",
		  { { 1, 2, true }, { 5, 1, true }, { 0, 2, true } },
		  1 },
		{ "the store is away",
		  { { 5, 1, false }, { 1, 1, false } },
		  -1 },
		{ "nobody", {}, -1 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(pe_reader_index(c.hosts.data(), c.hosts.size(), 1),
			  c.reader)
			<< c.what;
}

// Load: a roll-out of the hosts. Those that stop are heard for seconds yet;
// the next ones in order look at the lease meanwhile.
TEST(Rank, ExcludesStoppingHosts)
{
	const std::vector<pe_host> hosts = { { 7, 1, true },
					     { 1, 1, false },
					     { 3, 1, false },
					     { 4, 1, true },
					     { 9, 2, true } };

	EXPECT_EQ(pe_reader_rank(hosts.data(), hosts.size(), 7), 1u);
	EXPECT_EQ(pe_reader_rank(hosts.data(), hosts.size(), 9), 2u);
	EXPECT_EQ(pe_reader_rank(hosts.data(), hosts.size(), 4), 0u);
}

TEST(Address, AcceptsOnlyCompleteIpv4AndPort)
{
	const struct {
		const char *text;
		bool is_address;
		uint32_t ipv4;
		uint16_t port;
	} cases[] = {
		{ "10.1.0.14:7420", true, 0x0a01000e, 7420 },
		{ "127.0.0.1:0", true, 0x7f000001, 0 },
		{ "10.1.0.14", false, 0, 0 },
		{ "10.1.0.14:", false, 0, 0 },
		{ "10.1.0.14:65536", false, 0, 0 },
		{ "10.1.0.14:-1", false, 0, 0 },
		{ "10.1.0.14:80x", false, 0, 0 },
		{ "10.1.0:80", false, 0, 0 },
		{ "100.100.100.1000:80", false, 0, 0 },
		{ "host:80", false, 0, 0 },
		{ "", false, 0, 0 },
	};

	for (const auto &c : cases) {
		struct ad_address address = {};

		EXPECT_EQ(ad_parse(c.text, &address), c.is_address) << c.text;
		EXPECT_EQ(address.ipv4, c.ipv4) << c.text;
		EXPECT_EQ(address.port, c.port) << c.text;
	}
}

// The hosts whose homes of @key they are, the first one first.
std::vector<uint64_t> homes_of(const std::vector<uint64_t> &hosts, uint64_t key)
{
	uint32_t places[PE_OWNERS];
	std::vector<uint64_t> homes;
	uint32_t count = pe_owners(hosts.data(), hosts.size(), key, places);

	for (uint32_t i = 0; i < count; i++)
		homes.push_back(hosts[places[i]]);
	return homes;
}

TEST(Owners, AreIndependentOfHostOrderAndLimitedInNumber)
{
	EXPECT_TRUE(homes_of({}, 1).empty());
	EXPECT_EQ(homes_of({ 5 }, 1), std::vector<uint64_t>{ 5 });
	EXPECT_EQ(homes_of({ 5, 6, 7, 8 }, 1).size(), (size_t)PE_OWNERS);
	EXPECT_EQ(homes_of({ 5, 6, 7, 8 }, 1), homes_of({ 8, 6, 5, 7 }, 1));
}

TEST(Owners, ChangeOnlyForKeysOfRemovedHostAndAreBalanced)
{
	std::vector<uint64_t> hosts, fewer;
	std::map<uint64_t, int> shares;
	const int keys = 3000;
	int moved = 0;

	for (uint64_t i = 1; i <= 30; i++)
		hosts.push_back(i * 7919);
	fewer.assign(hosts.begin() + 1, hosts.end());
	for (uint64_t key = 0; key < keys; key++) {
		std::vector<uint64_t> before = homes_of(hosts, key);
		bool was_home = false;

		shares[before[0]]++;
		for (uint64_t home : before)
			was_home |= home == hosts[0];
		moved += homes_of(fewer, key) != before;
		EXPECT_EQ(homes_of(fewer, key) != before, was_home) << key;
	}
	/* A tenth of the keys has a given one of 30 hosts among 3 homes. */
	EXPECT_NEAR(moved, keys / 10, keys / 40);
	for (const auto &share : shares)
		EXPECT_NEAR(share.second, keys / 30, keys / 60);
}

} // namespace
