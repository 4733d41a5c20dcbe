// Membership: incarnations, hysteresis, leaving, direct failures, own pauses,
// ownership, and what is passed on.
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "membership/mb.h"
}

namespace
{

struct mb_member record_of(enum mb_role role, const std::string &name,
			   uint64_t incarnation, uint64_t heartbeat,
			   const std::string &zone = "z1")
{
	struct mb_member m = {};

	m.role = role;
	snprintf(m.name, sizeof(m.name), "%s", name.c_str());
	snprintf(m.zone, sizeof(m.zone), "%s", zone.c_str());
	m.incarnation = incarnation;
	m.heartbeat = heartbeat;
	m.state = MB_ALIVE;
	return m;
}

class Membership : public testing::Test
{
      protected:
	struct mb_table table;
	struct mb_member self = record_of(MB_ENTRY, "self", 7, 0);

	void SetUp() override
	{
		struct mb_desc desc = { &self };

		mb_init(&table, &desc);
		mb_tick(&table, 1000);
	}
	void TearDown() override
	{
		mb_finish(&table);
	}
	enum st_code hear(const struct mb_member &m, int64_t now_ms)
	{
		return mb_receive_record(&table, &m, now_ms);
	}
	uint32_t state(enum mb_role role, const char *name)
	{
		return mb_find(&table, role, name)->state;
	}
	void list(std::vector<struct mb_member> members, int64_t now_ms)
	{
		mb_apply_host_list(&table, members.data(),
				   static_cast<uint32_t>(members.size()),
				   now_ms);
	}
	// Ticks every half second, as the task does.
	void run_to(int64_t *now_ms, int64_t until_ms)
	{
		for (; *now_ms <= until_ms; *now_ms += 500)
			mb_tick(&table, *now_ms);
	}
};

TEST_F(Membership, StaleRecordsAreRejected)
{
	static const struct {
		const char *what;
		uint64_t incarnation;
		uint64_t heartbeat;
		enum st_code code;
	} cases[] = {
		{ "first", 5, 10, ST_OK },
		{ "the same again", 5, 10, ST_STALE },
		{ "an older heartbeat", 5, 9, ST_STALE },
		{ "a newer one", 5, 11, ST_OK },
		{ "from before the restart", 4, 99, ST_STALE },
		{ "a restart", 6, 1, ST_OK },
		{ "from before that restart", 5, 12, ST_STALE },
	};

	for (const auto &c : cases)
		EXPECT_EQ(hear(record_of(MB_INDEX, "a", c.incarnation,
					 c.heartbeat),
			       1000),
			  c.code)
			<< c.what;
	EXPECT_EQ(hear(record_of(MB_ENTRY, "self", 99, 99), 1000), ST_STALE);
	EXPECT_EQ(mb_self(&table)->incarnation, 7u);
}

TEST_F(Membership, SilentMemberBecomesSuspectThenDead)
{
	int64_t now_ms = 1000;

	hear(record_of(MB_INDEX, "a", 5, 1), now_ms);
	run_to(&now_ms, 1000 + MB_SUSPECT_AFTER_MS - 500);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
	run_to(&now_ms, 1000 + MB_SUSPECT_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_SUSPECT);
	EXPECT_TRUE(mb_can_get_work(mb_find(&table, MB_INDEX, "a")));
	run_to(&now_ms, 1000 + MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_DEAD);
	hear(record_of(MB_INDEX, "a", 5, 2), now_ms);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
}

TEST_F(Membership, OwnPauseDoesNotAgeOtherMembers)
{
	hear(record_of(MB_INDEX, "a", 5, 1), 1000);
	mb_tick(&table, 1500);
	mb_tick(&table, 1500 + 60000);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
}

TEST_F(Membership, SilenceAloneNeverMarksUpstreamDead)
{
	int64_t now_ms = 1000;

	list({ record_of(MB_ENGINE, "e", 0, 0) }, now_ms);
	mb_mark_answered(&table, MB_ENGINE, "e", 3, now_ms);
	run_to(&now_ms, 20 * MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_ENGINE, "e"), (uint32_t)MB_SUSPECT);
	EXPECT_TRUE(mb_can_get_work(mb_find(&table, MB_ENGINE, "e")));
}

TEST_F(Membership, LeavingIsFinalWithinIncarnation)
{
	struct mb_member leaving = record_of(MB_INDEX, "a", 5, 2);

	hear(record_of(MB_INDEX, "a", 5, 3), 1000);
	leaving.state = MB_LEAVING;
	EXPECT_EQ(hear(leaving, 1000), ST_STALE);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_LEAVING);
	hear(record_of(MB_INDEX, "a", 5, 4), 1000);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_LEAVING);
	EXPECT_FALSE(mb_can_get_work(mb_find(&table, MB_INDEX, "a")));
	hear(record_of(MB_INDEX, "a", 6, 1), 1000);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
}

TEST_F(Membership, UpstreamWorkFollowsHostListAndOwnReports)
{
	const struct mb_member *e;
	struct mb_member listed = record_of(MB_ENGINE, "e", 0, 0);

	list({ listed }, 1000);
	e = mb_find(&table, MB_ENGINE, "e");
	EXPECT_TRUE(mb_can_get_work(e));
	mb_mark_answered(&table, MB_ENGINE, "e", 3, 1000);
	listed.is_listed_leaving = true;
	list({ listed }, 2000);
	EXPECT_FALSE(mb_can_get_work(e));
	listed.is_listed_leaving = false;
	list({ listed }, 3000);
	EXPECT_TRUE(mb_can_get_work(e));
	mb_mark_leaving(&table, MB_ENGINE, "e", 2);
	EXPECT_TRUE(mb_can_get_work(e)) << "that was an older incarnation";
	mb_mark_leaving(&table, MB_ENGINE, "e", 3);
	EXPECT_FALSE(mb_can_get_work(e));
	mb_mark_answered(&table, MB_ENGINE, "e", 4, 4000);
	EXPECT_TRUE(mb_can_get_work(e));
	list({}, 5000);
	EXPECT_FALSE(mb_can_get_work(e)) << "the list no longer names it";
}

TEST_F(Membership, DirectFailuresSuspendWorkUntilRetry)
{
	const struct mb_member *e;
	int64_t now_ms = 1000;

	list({ record_of(MB_ENGINE, "e", 0, 0) }, now_ms);
	e = mb_find(&table, MB_ENGINE, "e");
	for (int i = 0; i < MB_MAX_DIRECT_FAILURES; i++) {
		EXPECT_TRUE(mb_can_get_work(e));
		mb_mark_failed(&table, MB_ENGINE, "e", now_ms);
	}
	EXPECT_FALSE(mb_can_get_work(e));
	run_to(&now_ms, 1000 + MB_RETRY_FAILED_AFTER_MS);
	EXPECT_TRUE(mb_can_get_work(e)) << "one more try";
	mb_mark_failed(&table, MB_ENGINE, "e", now_ms);
	EXPECT_FALSE(mb_can_get_work(e));
	mb_mark_answered(&table, MB_ENGINE, "e", 1, now_ms);
	EXPECT_TRUE(mb_can_get_work(e));
}

TEST_F(Membership, OwnersChangeOnlyForTheLeavingMember)
{
	std::map<uint64_t, std::string> before;
	int64_t now_ms = 1000;
	int moved = 0, of_c = 0;

	for (const char *name : { "a", "b", "c", "d" })
		hear(record_of(MB_INDEX, name, 1, 1), now_ms);
	hear(record_of(MB_INDEX, "far", 1, 1, "z2"), now_ms);
	for (uint64_t id = 1; id <= 400; id++) {
		const struct mb_member *owner =
			mb_owner(&table, "z1", id * 0x9e3779b97f4a7c15u, 0);
		const struct mb_member *second =
			mb_owner(&table, "z1", id * 0x9e3779b97f4a7c15u, 1);

		before[id] = owner->name;
		EXPECT_STRNE(owner->name, "far");
		EXPECT_STRNE(owner->name, second->name);
	}
	struct mb_member leaving = record_of(MB_INDEX, "c", 1, 2);
	leaving.state = MB_LEAVING;
	hear(leaving, now_ms);
	for (const auto &b : before) {
		const struct mb_member *owner = mb_owner(
			&table, "z1", b.first * 0x9e3779b97f4a7c15u, 0);

		of_c += b.second == "c";
		moved += b.second != owner->name;
	}
	EXPECT_EQ(moved, of_c);
	EXPECT_GT(of_c, 60);
	EXPECT_LT(of_c, 140);
	EXPECT_EQ(mb_owner(&table, "z1", 1, 3), nullptr);
	EXPECT_EQ(mb_owner(&table, "nowhere", 1, 0), nullptr);
}

// A record goes out while something else than its heartbeat is news.
TEST_F(Membership, OwnRecordAndNewestChangesAreSelectedFirst)
{
	struct mb_member out[2];
	struct mb_member revised = record_of(MB_INDEX, "b", 1, 3);

	hear(record_of(MB_INDEX, "a", 1, 1), 1000);
	hear(record_of(MB_INDEX, "b", 1, 1), 1000);
	ASSERT_EQ(mb_select_records(&table, out, 2), 2u);
	EXPECT_STREQ(out[0].name, "self");
	EXPECT_STREQ(out[1].name, "a");
	mb_mark_records_sent(&table, out, 2);
	mb_select_records(&table, out, 2);
	EXPECT_STREQ(out[1].name, "b");
	mb_mark_records_sent(&table, out, 2);
	EXPECT_EQ(mb_self(&table)->heartbeat, 2u);
	for (int i = 0; i < 2 * MB_MAX_RELAYS; i++) {
		uint32_t count = mb_select_records(&table, out, 2);

		mb_mark_records_sent(&table, out, count);
	}
	EXPECT_EQ(mb_select_records(&table, out, 2), 1u)
		<< "old news is not passed on";
	hear(record_of(MB_INDEX, "b", 1, 2), 1000);
	EXPECT_EQ(mb_select_records(&table, out, 2), 1u)
		<< "that was a heartbeat";
	revised.config_revision = 9;
	hear(revised, 1000);
	ASSERT_EQ(mb_select_records(&table, out, 2), 2u);
	EXPECT_STREQ(out[1].name, "b");
}

TEST_F(Membership, HeartbeatsSelectNewestAndOwnZoneFirst)
{
	struct mb_heartbeat out[3];
	struct mb_member leaving = record_of(MB_INDEX, "a", 1, 5);

	hear(record_of(MB_INDEX, "a", 1, 1), 1000);
	hear(record_of(MB_INDEX, "b", 1, 1), 1000);
	hear(record_of(MB_INDEX, "far", 1, 1, "z2"), 1000);
	ASSERT_EQ(mb_select_heartbeats(&table, out, 3), 3u);
	EXPECT_EQ(out[2].member,
		  mb_find(&table, MB_INDEX, "far")->_heartbeat_id);
	for (int i = 0; i < MB_MAX_RELAYS; i++)
		mb_mark_heartbeats_sent(&table, out, 3);
	EXPECT_EQ(mb_select_heartbeats(&table, out, 3), 0u);
	hear(record_of(MB_INDEX, "b", 1, 2), 1000);
	ASSERT_EQ(mb_select_heartbeats(&table, out, 3), 1u);
	EXPECT_EQ(out[0].heartbeat, 2u);
	leaving.state = MB_LEAVING;
	hear(leaving, 1000);
	EXPECT_EQ(mb_select_heartbeats(&table, out, 3), 2u);
}

TEST_F(Membership, HeartbeatOfAnotherIncarnationIsRejected)
{
	const struct mb_member *a;
	struct {
		const char *what;
		uint64_t incarnation;
		uint64_t heartbeat;
		enum st_code code;
	} cases[] = {
		{ "older incarnation", 4, 99, ST_STALE },
		{ "newer incarnation", 6, 99, ST_STALE },
		{ "the same heartbeat", 5, 1, ST_STALE },
		{ "a newer one", 5, 2, ST_OK },
	};

	hear(record_of(MB_INDEX, "a", 5, 1), 1000);
	a = mb_find(&table, MB_INDEX, "a");
	for (const auto &c : cases) {
		struct mb_heartbeat beat = { a->_heartbeat_id, c.incarnation,
					     c.heartbeat };

		EXPECT_EQ(mb_receive_heartbeat(&table, &beat, 2000), c.code)
			<< c.what;
	}
	EXPECT_EQ(a->heard_ms, 2000);
	struct mb_heartbeat nobody = { 42, 1, 1 };
	EXPECT_EQ(mb_receive_heartbeat(&table, &nobody, 2000), ST_STALE);
}

TEST_F(Membership, OtherZonesHaveLongerTimeouts)
{
	int64_t now_ms = 1000;

	hear(record_of(MB_INDEX, "near", 1, 1), now_ms);
	hear(record_of(MB_INDEX, "far", 1, 1, "z2"), now_ms);
	run_to(&now_ms, 1000 + MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "near"), (uint32_t)MB_DEAD);
	EXPECT_EQ(state(MB_INDEX, "far"), (uint32_t)MB_ALIVE);
	run_to(&now_ms, 1000 + MB_OTHER_ZONE_FACTOR * MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "far"), (uint32_t)MB_DEAD);
}

TEST_F(Membership, SilentUnlistedMemberIsRemoved)
{
	int64_t now_ms = 1000;

	hear(record_of(MB_ENTRY, "gone", 1, 1), now_ms);
	list({ record_of(MB_ENTRY, "kept", 0, 0) }, now_ms);
	run_to(&now_ms, 1000 + MB_FORGET_AFTER_MS + 1000);
	EXPECT_EQ(mb_find(&table, MB_ENTRY, "gone"), nullptr);
	EXPECT_NE(mb_find(&table, MB_ENTRY, "kept"), nullptr);
}

} // namespace
