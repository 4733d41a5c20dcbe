// Chains of block keys: which prompts match, and which must not.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

extern "C" {
#include "prefix/px.h"
}

namespace
{

std::string text_of(char fill, size_t bytes)
{
	return std::string(bytes, fill);
}

struct px_chain chain_of(uint64_t salt, const std::string &text)
{
	struct px_chain chain;

	px_chain_make(&chain, salt, text.data(), text.size());
	return chain;
}

uint32_t shared(const struct px_chain &a, const struct px_chain &b)
{
	uint32_t n = 0;

	while (n < a.count && n < b.count && a.keys[n] == b.keys[n])
		n++;
	return n;
}

struct SaltCase {
	const char *what;
	const char *names[4];
};

TEST(Prefix, NoOtherTeamModelVersionOrAdapterMatches)
{
	const SaltCase cases[] = {
		{ "other team", { "kitb", "letters", "v1", "" } },
		{ "other model", { "kita", "grades", "v1", "" } },
		{ "older weights", { "kita", "letters", "v0", "" } },
		{ "an adapter", { "kita", "letters", "v1", "a" } },
		{ "same names with another boundary",
		  { "kital", "etters", "v1", "" } },
		{ "adapter for version", { "kita", "letters", "", "v1" } },
	};
	std::string text = text_of('x', 3 * PX_CHUNK_BYTES);
	struct px_chain own =
		chain_of(px_salt("kita", "letters", "v1", ""), text);

	for (const SaltCase &c : cases) {
		struct px_chain other = chain_of(
			px_salt(c.names[0], c.names[1], c.names[2], c.names[3]),
			text);
		for (uint32_t i = 0; i < own.count; i++)
			EXPECT_NE(own.keys[i], other.keys[i]) << c.what;
	}
}

struct ChainCase {
	const char *what;
	size_t shared_bytes;
	size_t own_bytes;
	uint32_t count;
	uint32_t shared;
};

TEST(Prefix, OnlyWholeCommonPiecesAreShared)
{
	const size_t k = PX_CHUNK_BYTES;
	const ChainCase cases[] = {
		{ "empty", 0, 0, 0, 0 },
		{ "less than a chunk", k - 1, 0, 0, 0 },
		{ "one chunk", k, 0, 1, 1 },
		{ "differs from the first byte", 0, 2 * k, 2, 0 },
		{ "differs inside the second chunk", k + k / 2, 2 * k, 3, 1 },
		{ "differs at a chunk boundary", 2 * k, k, 3, 2 },
		{ "longer than a chain", (PX_MAX_KEYS + 5) * k, 0, PX_MAX_KEYS,
		  PX_MAX_KEYS },
	};

	for (const ChainCase &c : cases) {
		std::string common = text_of('c', c.shared_bytes);
		struct px_chain a =
			chain_of(1, common + text_of('a', c.own_bytes));
		struct px_chain b =
			chain_of(1, common + text_of('b', c.own_bytes));

		EXPECT_EQ(a.count, c.count) << c.what;
		EXPECT_EQ(a.bytes, c.shared_bytes + c.own_bytes) << c.what;
		EXPECT_EQ(shared(a, b), c.shared) << c.what;
	}
}

// The same chunk twice in a row must not give the same key twice: a key
// identifies the whole prefix up to it.
TEST(Prefix, KeyDependsOnTheWholePrefix)
{
	struct px_chain chain =
		chain_of(1, text_of('x', PX_MAX_KEYS * PX_CHUNK_BYTES));

	for (uint32_t i = 1; i < chain.count; i++)
		EXPECT_NE(chain.keys[i], chain.keys[i - 1]);
}

TEST(Prefix, RendezvousSpreadsKeysEvenly)
{
	const int members = 12, keys = 24000;
	std::vector<int> got(members);

	for (int k = 0; k < keys; k++) {
		int best = 0;

		for (int m = 1; m < members; m++) {
			if (px_rank(px_id("k") + k, 1000 + m) >
			    px_rank(px_id("k") + k, 1000 + best))
				best = m;
		}
		got[best]++;
	}
	for (int m = 0; m < members; m++)
		EXPECT_NEAR(got[m], keys / members, 5 * sqrt(keys / members))
			<< m;
}

} // namespace
