// State shared between hosts: load at upstreams, held prefixes, the readers of
// the store and the owners of keys.
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

	void receive(uint64_t peer, uint64_t sequence, uint64_t engine,
		     uint32_t running, uint32_t tokens, int64_t now_ms = 0)
	{
		struct pe_share share = { engine, running, tokens };

		pe_load_receive(&load, peer, sequence, &share, 1, now_ms);
	}
};

TEST_F(Load, SumsPeersAndReplacesTheirLastReport)
{
	receive(1, 1, 7, 2, 100);
	receive(2, 1, 7, 3, 50);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 5u);
	EXPECT_EQ(pe_load_sum(&load, 7).tokens, 150u);
	receive(1, 2, 8, 1, 10);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 3u);
	EXPECT_EQ(pe_load_sum(&load, 8).tokens, 10u);
	EXPECT_EQ(pe_load_peer_count(&load), 2u);
}

TEST_F(Load, MessagesOutOfOrderAreIgnored)
{
	receive(1, 5, 7, 2, 100);
	receive(1, 4, 7, 9, 900);
	EXPECT_EQ(pe_load_sum(&load, 7).running, 2u);
}

TEST_F(Load, SilentPeersAreRemoved)
{
	receive(1, 1, 7, 2, 100, 1000);
	receive(2, 1, 7, 3, 50, 3000);
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

// At peak load all hosts together send more tokens than the engines can keep.
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

// For seconds the store may answer only some of the hosts.
TEST(Reader, IsNearestHostWithStoreAccess)
{
	const struct {
		const char *what;
		std::vector<pe_host> hosts;
		int32_t reader;
	} cases[] = {
		{ "lowest hash of the region",
		  { { 5, 1, true }, { 3, 1, true }, { 1, 2, true } },
		  1 },
		{ "the store does not answer the host with the lowest hash",
		  { { 5, 1, true }, { 3, 1, false }, { 1, 2, true } },
		  0 },
		{ "the store answers no host of the region",
		  { { 5, 1, false }, { 4, 2, true }, { 2, 3, true } },
		  2 },
		{ "own region before a lower hash, in either order",
		  { { 1, 2, true }, { 5, 1, true }, { 0, 2, true } },
		  1 },
		{ "the store answers no host",
		  { { 5, 1, false }, { 1, 1, false } },
		  -1 },
		{ "no hosts", {}, -1 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(pe_reader_index(c.hosts.data(), c.hosts.size(), 1),
			  c.reader)
			<< c.what;
}

// During a roll-out, messages of stopping hosts still arrive for seconds. The
// next hosts by rank must poll the lease meanwhile.
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
	EXPECT_EQ(pe_reader_rank(hosts.data(), hosts.size(), 1), 3u);
	EXPECT_EQ(pe_reader_rank(hosts.data(), hosts.size(), 3), 4u);
}

// Load: the store answers none of 195 hosts for eight seconds. Without an order
// among them each would poll the lease as if it were first.
TEST(Rank, IsDistinctWhileTheStoreAnswersNoHost)
{
	std::vector<pe_host> hosts;
	int first = 0;

	for (uint64_t i = 1; i <= 195; i++)
		hosts.push_back({ i * 7919 % 1009, 1, false });
	for (const pe_host &host : hosts)
		first += pe_reader_rank(hosts.data(), hosts.size(), host.hash) <
			 3;
	EXPECT_EQ(first, 3);
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

// Returns the owners of @key, in descending order of weight.
std::vector<uint64_t> owners_of(const std::vector<uint64_t> &hosts,
				uint64_t key)
{
	uint32_t indices[PE_OWNERS];
	std::vector<uint64_t> owners;
	uint32_t count = pe_owners(hosts.data(), hosts.size(), key, indices);

	for (uint32_t i = 0; i < count; i++)
		owners.push_back(hosts[indices[i]]);
	return owners;
}

TEST(Owners, AreIndependentOfHostOrderAndLimitedInNumber)
{
	EXPECT_TRUE(owners_of({}, 1).empty());
	EXPECT_EQ(owners_of({ 5 }, 1), std::vector<uint64_t>{ 5 });
	EXPECT_EQ(owners_of({ 5, 6, 7, 8 }, 1).size(), (size_t)PE_OWNERS);
	EXPECT_EQ(owners_of({ 5, 6, 7, 8 }, 1), owners_of({ 8, 6, 5, 7 }, 1));
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
		std::vector<uint64_t> before = owners_of(hosts, key);
		bool was_owner = false;

		shares[before[0]]++;
		for (uint64_t owner : before)
			was_owner |= owner == hosts[0];
		moved += owners_of(fewer, key) != before;
		EXPECT_EQ(owners_of(fewer, key) != before, was_owner) << key;
	}
	/* Each of 30 hosts is among the 3 owners of a tenth of the keys. */
	EXPECT_NEAR(moved, keys / 10, keys / 40);
	for (const auto &share : shares)
		EXPECT_NEAR(share.second, keys / 30, keys / 60);
}

} // namespace
