// The account of bytes, and the decision which connection gives way: plain
// functions without sockets or a clock.
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "http1/h1_guard.h"
#include "kernel/ba.h"
}

namespace
{

constexpr uint64_t kilobyte = 1024;

TEST(Account, BoundsOfTheWholeAndOfAKind)
{
	static const struct {
		uint64_t budget, kind_bound, callers, peers, asked;
		bool fits, fits_kind;
	} cases[] = {
		{ 0, 0, 1 << 30, 1 << 30, 1 << 30, true, true },
		{ 100, 0, 60, 40, 1, false, true },
		{ 100, 0, 60, 39, 1, true, true },
		{ 100, 50, 40, 0, 10, true, true },
		{ 100, 50, 40, 0, 11, false, false },
		{ 0, 50, 40, 99, 11, false, false },
		{ 100, 50, 20, 80, 10, false, true },
	};

	for (const auto &c : cases) {
		struct ba_account account;

		ba_init(&account, c.budget);
		account.kind_bytes[BA_CALLERS] = c.kind_bound;
		ba_charge(&account, BA_CALLERS, c.callers);
		ba_charge(&account, BA_PEERS, c.peers);
		EXPECT_EQ(ba_fits(&account, BA_CALLERS, c.asked), c.fits);
		EXPECT_EQ(ba_fits_kind(&account, BA_CALLERS, c.asked),
			  c.fits_kind);
		EXPECT_EQ(ba_held_bytes(&account), c.callers + c.peers);
		ba_charge(&account, BA_CALLERS, -(int64_t)c.callers);
		ba_charge(&account, BA_PEERS, -(int64_t)c.peers);
		EXPECT_EQ(ba_held_bytes(&account), 0u);
	}
}

// A text holds more than its length, unless it is mapped: GLib rounds a body of
// 4 MB up to 8 MB, of which half is never written.
TEST(Account, TextsCostWhatTheAllocatorTakes)
{
	static const struct {
		uint64_t length, least, most;
	} cases[] = {
		{ 0, 1, 200 },
		{ 5000, 8192, 9000 },
		{ 4 << 20, 4 << 20, (4 << 20) + 8192 },
	};

	for (const auto &c : cases) {
		GString *text = g_string_new(nullptr);

		for (uint64_t i = 0; i < c.length; i++)
			g_string_append_c(text, 'x');
		EXPECT_GE(ba_text_bytes(text), c.least);
		EXPECT_LE(ba_text_bytes(text), c.most);
		g_string_free(text, TRUE);
	}
}

class Guard : public testing::Test
{
      protected:
	struct ba_account account = {};
	struct h1_guard guard = {};
	std::deque<struct h1_member> members;
	std::vector<std::string> shed;

	void SetUp() override
	{
		ba_init(&account, 100 * kilobyte);
		h1_guard_init(&guard, &account);
	}

	struct h1_member *join(enum h1_standing standing, int64_t at_ms,
			       uint64_t bytes = 0)
	{
		members.emplace_back();
		struct h1_member *m = &members.back();

		*m = {};
		m->owner = this;
		m->shed = [](struct h1_member *member, const char *reason) {
			Guard *me = (Guard *)member->owner;

			for (size_t i = 0; i < me->members.size(); i++)
				if (&me->members[i] == member)
					me->shed.push_back(std::to_string(i) +
							   reason);
			h1_guard_leave(&me->guard, member);
		};
		m->is_writing = [](const struct h1_member *) { return false; };
		h1_guard_join(&guard, m, at_ms);
		h1_guard_set(&guard, m, standing, at_ms);
		m->since_ms = at_ms;
		if (bytes)
			h1_guard_hold(&guard, m, H1_GUARANTEED_BYTES + bytes);
		return m;
	}

	bool room(struct h1_member *m, uint64_t bytes, int64_t now_ms)
	{
		return h1_guard_make_room(&guard, m,
					  H1_GUARANTEED_BYTES + bytes, now_ms);
	}
};

TEST_F(Guard, WhatIsGuaranteedIsNotCharged)
{
	struct h1_member *m = join(H1_UNFINISHED, 0, 100 * kilobyte);
	struct h1_member *small = join(H1_UNFINISHED, 0);

	h1_guard_hold(&guard, small, H1_GUARANTEED_BYTES);
	EXPECT_EQ(ba_held_bytes(&account), 100 * kilobyte);
	EXPECT_TRUE(h1_guard_make_room(&guard, small, H1_GUARANTEED_BYTES, 10));
	EXPECT_TRUE(shed.empty());
	h1_guard_leave(&guard, m);
	EXPECT_EQ(ba_held_bytes(&account), 0u);
	EXPECT_EQ(h1_guard_open(&guard), 1u);
}

struct RankCase {
	const char *name;
	enum h1_standing standing;
	int64_t since_ms, moved_ms;
	uint64_t read_bytes;
	bool is_known;
	bool goes_for_memory, may_close;
};

// At 10,000 ms, each holding memory.
const RankCase rank_cases[] = {
	{ "has an answer due", H1_WORKING, 0, 0, 0, true, false, false },
	{ "idle", H1_KEPT, 0, 0, 0, true, false, true },
	{ "silent", H1_FRESH, 9999, 9999, 0, false, false, true },
	{ "has just begun", H1_UNFINISHED, 9900, 9990, 100, true, false,
	  false },
	{ "goes on fast", H1_UNFINISHED, 8000, 9990, 1 << 20, true, false,
	  false },
	{ "has stalled", H1_UNFINISHED, 8000, 9200, 1 << 20, true, true, true },
	{ "goes on slowly", H1_UNFINISHED, 8000, 9990, 1000, true, true, true },
	{ "reads on", H1_UNREAD, 0, 9990, 0, true, false, false },
	{ "reads no more", H1_UNREAD, 0, 7000, 0, true, true, true },
};

TEST_F(Guard, WhoGivesWay)
{
	for (const RankCase &c : rank_cases) {
		struct h1_member m = {};

		m.standing = c.standing;
		m.since_ms = c.since_ms;
		m.moved_ms = c.moved_ms;
		m.read_bytes = c.read_bytes;
		m.is_known = c.is_known;
		m.charged_bytes = 1;
		EXPECT_EQ(h1_guard_rank_memory(&m, 10000) > 0,
			  c.goes_for_memory)
			<< c.name;
		EXPECT_EQ(h1_guard_may_close(&m, 10000), c.may_close) << c.name;
		m.charged_bytes = 0;
		EXPECT_EQ(h1_guard_rank_memory(&m, 10000), 0u) << c.name;
	}
}

// Bodies that stop short of their end keep others out only until they have
// stalled; the one without a known route goes first, then the oldest.
TEST_F(Guard, StalledBodiesMakeRoom)
{
	join(H1_UNFINISHED, 0, 40 * kilobyte)->is_known = true;
	join(H1_UNFINISHED, 10, 40 * kilobyte);
	struct h1_member *late = join(H1_UNFINISHED, 100);

	late->is_known = true;
	EXPECT_TRUE(room(late, 20 * kilobyte, 110));
	EXPECT_FALSE(room(late, 30 * kilobyte, 110));
	EXPECT_TRUE(shed.empty());
	EXPECT_TRUE(room(late, 30 * kilobyte, 760));
	EXPECT_EQ(shed, (std::vector<std::string>{ "1memory" }));
	EXPECT_TRUE(room(late, 100 * kilobyte, 760));
	EXPECT_EQ(shed.back(), "0memory");
	EXPECT_FALSE(room(late, 101 * kilobyte, 760));
}

// Many that keep their memory do not hide one that does not.
TEST_F(Guard, StalledBodyIsFoundAmongMany)
{
	for (int i = 0; i < 90; i++)
		join(H1_WORKING, 0, kilobyte);
	join(H1_UNFINISHED, 0, 10 * kilobyte);
	struct h1_member *late = join(H1_UNFINISHED, 2000);
	bool has_room = false;

	for (int i = 0; i < 4 && !has_room; i++)
		has_room = room(late, 5 * kilobyte, 2000);
	EXPECT_TRUE(has_room);
	EXPECT_EQ(shed, (std::vector<std::string>{ "90memory" }));
}

// More callers than descriptors: the one that has been silent the longest goes,
// a kept connection after those, and none with an answer due.
TEST_F(Guard, SilentConnectionsGiveWay)
{
	guard.max_open = 4 + H1_CONTROL_PLACES;
	join(H1_KEPT, 0);
	join(H1_FRESH, 5);
	join(H1_FRESH, 6);
	EXPECT_TRUE(h1_guard_make_place(&guard, false, 10));
	join(H1_WORKING, 10);
	EXPECT_TRUE(shed.empty());
	// The one at work counts twice.
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(h1_guard_shed_one(&guard, 20));
	EXPECT_EQ(shed,
		  (std::vector<std::string>{ "1descriptors", "2descriptors",
					     "0descriptors" }));
	EXPECT_FALSE(h1_guard_shed_one(&guard, 20));
	join(H1_WORKING, 20);
	EXPECT_FALSE(h1_guard_make_place(&guard, false, 20));
	EXPECT_TRUE(h1_guard_make_place(&guard, true, 20));
}

} // namespace
