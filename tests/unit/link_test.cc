// Deduplicated transfer over the link: bodies arrive unchanged, shared text is
// sent once, missing chunks are requested, and teams share no chunks.
#include <gtest/gtest.h>

#include <random>
#include <string>

extern "C" {
#include "link/lk.h"
}

namespace
{

std::string random_text(uint32_t seed, size_t bytes)
{
	std::mt19937 random(seed);
	std::string out;

	while (out.size() < bytes)
		out += "word" + std::to_string(random() % 5000) + " ";
	out.resize(bytes);
	return out;
}

class Link : public testing::Test
{
      protected:
	const uint8_t secret[LK_SECRET_BYTES] = { 1, 2, 3 };
	struct lk_cache known;
	struct lk_cache store;

	void SetUp() override
	{
		lk_cache_init(&known, 1 << 20);
		lk_cache_init(&store, 8 << 20);
	}
	void TearDown() override
	{
		lk_cache_finish(&known);
		lk_cache_finish(&store);
	}
	uint64_t wire_bytes(struct lk_request *r)
	{
		return xdr_sizeof(
			reinterpret_cast<xdrproc_t>(xdr_bp_link_request),
			&r->wire);
	}
	void set_routing(struct lk_request *r, const char *team)
	{
		static char empty[] = "";

		r->wire.team = const_cast<char *>(team);
		r->wire.engine = empty;
		r->wire.path = empty;
	}
	// Sends until the far side has the whole body; returns the bytes sent.
	uint64_t transfer(const std::string &team, const std::string &body,
			  int *rounds = nullptr)
	{
		struct lk_request r;
		GString *out = g_string_new(nullptr);
		GArray *missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		uint64_t bytes = 0;
		enum st_code code = ST_NOT_FOUND;
		int round = 0;

		EXPECT_EQ(lk_encode(&known, secret, team.c_str(), body.data(),
				    body.size(), &r),
			  ST_OK);
		set_routing(&r, team.c_str());
		for (; round < 3 && code == ST_NOT_FOUND; round++) {
			bp_link_missing m;

			bytes += wire_bytes(&r);
			g_string_truncate(out, 0);
			g_array_set_size(missing, 0);
			code = lk_decode(&store, secret, &r.wire, out, missing);
			m.places.places_len = missing->len;
			m.places.places_val =
				reinterpret_cast<u_int *>(missing->data);
			lk_add_missing_text(&r, body.data(), &m);
		}
		EXPECT_EQ(code, ST_OK);
		EXPECT_EQ(std::string(out->str, out->len), body);
		if (rounds)
			*rounds = round;
		lk_request_finish(&r);
		g_string_free(out, TRUE);
		g_array_free(missing, TRUE);
		return bytes;
	}
};

TEST_F(Link, SharedTextIsSentOnceAtAnyOffset)
{
	const std::string shared_text = random_text(1, 200000);
	uint64_t first = transfer("t", shared_text + random_text(2, 2000));
	static const struct {
		const char *what;
		std::string before;
		std::string after;
	} cases[] = {
		{ "different suffix", "", random_text(3, 2000) },
		{ "shifted by a prefix", "{\"max_tokens\": 1, ",
		  random_text(4, 2000) },
		{ "no suffix", "", "" },
	};

	EXPECT_GT(first, 200000u);
	for (const auto &c : cases)
		EXPECT_LT(transfer("t", c.before + shared_text + c.after),
			  14000u)
			<< c.what;
}

TEST_F(Link, FarSideWithLostCacheRequestsMissingChunksOnce)
{
	const std::string body = random_text(5, 100000);
	int rounds = 0;

	transfer("t", body);
	lk_cache_finish(&store);
	lk_cache_init(&store, 8 << 20);
	transfer("t", body, &rounds);
	EXPECT_EQ(rounds, 2);
	transfer("t", body, &rounds);
	EXPECT_EQ(rounds, 1);
}

TEST_F(Link, TeamsShareNoChunks)
{
	const std::string body = random_text(6, 100000);

	transfer("one", body);
	EXPECT_GT(transfer("two", body), 100000u);
}

TEST_F(Link, CachesStayWithinTheirLimits)
{
	lk_cache_finish(&store);
	lk_cache_init(&store, 300000);
	for (uint32_t i = 0; i < 20; i++) {
		transfer("t", random_text(100 + i, 100000));
		EXPECT_LE(store.bytes, 300000u);
		EXPECT_LE(known.bytes, known.max_bytes);
	}
}

TEST_F(Link, CorruptedBodyIsRejected)
{
	std::string body = random_text(7, 50000);
	struct lk_request r;
	GString *out = g_string_new(nullptr);
	GArray *missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	ASSERT_EQ(lk_encode(&known, secret, "t", body.data(), body.size(), &r),
		  ST_OK);
	set_routing(&r, "t");
	body[30000] ^= 1;
	EXPECT_EQ(lk_decode(&store, secret, &r.wire, out, missing), ST_INVALID);
	lk_request_finish(&r);
	g_string_free(out, TRUE);
	g_array_free(missing, TRUE);
}

TEST_F(Link, SmallBodies)
{
	for (const char *body : { "", "x", "{}" })
		transfer("t", body);
}

} // namespace
