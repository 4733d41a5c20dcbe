// Membership: incarnations, hysteresis, leaving, direct failures, own pauses,
// ownership, and the choice of records and heartbeats to gossip.
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
	enum st_code receive(const struct mb_member &m, int64_t now_ms)
	{
		return mb_receive_record(&table, &m, now_ms);
	}
	uint32_t state(enum mb_role role, const char *name)
	{
		return mb_find(&table, role, name)->state;
	}
	void set_host_list(std::vector<struct mb_member> members,
			   int64_t now_ms)
	{
		mb_apply_host_list(&table, members.data(),
				   static_cast<uint32_t>(members.size()),
				   now_ms);
	}
	// Ticks every half second, as the task does.
	void tick_until(int64_t *now_ms, int64_t until_ms)
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
		{ "same heartbeat", 5, 10, ST_STALE },
		{ "older heartbeat", 5, 9, ST_STALE },
		{ "newer heartbeat", 5, 11, ST_OK },
		{ "incarnation before the current one", 4, 99, ST_STALE },
		{ "restart", 6, 1, ST_OK },
		{ "incarnation before the restart", 5, 12, ST_STALE },
	};

	for (const auto &c : cases)
		EXPECT_EQ(receive(record_of(MB_INDEX, "a", c.incarnation,
					    c.heartbeat),
				  1000),
			  c.code)
			<< c.what;
	EXPECT_EQ(receive(record_of(MB_ENTRY, "self", 99, 99), 1000), ST_STALE);
	EXPECT_EQ(mb_self(&table)->incarnation, 7u);
}

TEST_F(Membership, SilentMemberBecomesSuspectThenDead)
{
	int64_t now_ms = 1000;

	receive(record_of(MB_INDEX, "a", 5, 1), now_ms);
	tick_until(&now_ms, 1000 + MB_SUSPECT_AFTER_MS - 500);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
	tick_until(&now_ms, 1000 + MB_SUSPECT_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_SUSPECT);
	EXPECT_TRUE(mb_can_get_work(mb_find(&table, MB_INDEX, "a")));
	tick_until(&now_ms, 1000 + MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_DEAD);
	receive(record_of(MB_INDEX, "a", 5, 2), now_ms);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
}

TEST_F(Membership, OwnPauseDoesNotAgeOtherMembers)
{
	receive(record_of(MB_INDEX, "a", 5, 1), 1000);
	mb_tick(&table, 1500);
	mb_tick(&table, 1500 + 60000);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
}

TEST_F(Membership, SilenceAloneNeverMarksUpstreamDead)
{
	int64_t now_ms = 1000;

	set_host_list({ record_of(MB_ENGINE, "e", 0, 0) }, now_ms);
	mb_mark_answered(&table, MB_ENGINE, "e", 3, now_ms);
	tick_until(&now_ms, 20 * MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_ENGINE, "e"), (uint32_t)MB_SUSPECT);
	EXPECT_TRUE(mb_can_get_work(mb_find(&table, MB_ENGINE, "e")));
}

TEST_F(Membership, LeavingIsFinalWithinIncarnation)
{
	struct mb_member leaving = record_of(MB_INDEX, "a", 5, 2);

	receive(record_of(MB_INDEX, "a", 5, 3), 1000);
	leaving.state = MB_LEAVING;
	EXPECT_EQ(receive(leaving, 1000), ST_STALE);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_LEAVING);
	receive(record_of(MB_INDEX, "a", 5, 4), 1000);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_LEAVING);
	EXPECT_FALSE(mb_can_get_work(mb_find(&table, MB_INDEX, "a")));
	receive(record_of(MB_INDEX, "a", 6, 1), 1000);
	EXPECT_EQ(state(MB_INDEX, "a"), (uint32_t)MB_ALIVE);
}

TEST_F(Membership, UpstreamWorkFollowsHostListAndOwnReports)
{
	const struct mb_member *e;
	struct mb_member listed = record_of(MB_ENGINE, "e", 0, 0);

	set_host_list({ listed }, 1000);
	e = mb_find(&table, MB_ENGINE, "e");
	EXPECT_TRUE(mb_can_get_work(e));
	mb_mark_answered(&table, MB_ENGINE, "e", 3, 1000);
	listed.is_listed_leaving = true;
	set_host_list({ listed }, 2000);
	EXPECT_FALSE(mb_can_get_work(e));
	listed.is_listed_leaving = false;
	set_host_list({ listed }, 3000);
	EXPECT_TRUE(mb_can_get_work(e));
	mb_mark_leaving(&table, MB_ENGINE, "e", 2);
	EXPECT_TRUE(mb_can_get_work(e))
		<< "an older incarnation must be ignored";
	mb_mark_leaving(&table, MB_ENGINE, "e", 3);
	EXPECT_FALSE(mb_can_get_work(e));
	mb_mark_answered(&table, MB_ENGINE, "e", 4, 4000);
	EXPECT_TRUE(mb_can_get_work(e));
	set_host_list({}, 5000);
	EXPECT_FALSE(mb_can_get_work(e)) << "not in the host list any more";
}

TEST_F(Membership, DirectFailuresSuspendWorkUntilRetry)
{
	const struct mb_member *e;
	int64_t now_ms = 1000;

	set_host_list({ record_of(MB_ENGINE, "e", 0, 0) }, now_ms);
	e = mb_find(&table, MB_ENGINE, "e");
	for (int i = 0; i < MB_MAX_DIRECT_FAILURES; i++) {
		EXPECT_TRUE(mb_can_get_work(e));
		mb_mark_failed(&table, MB_ENGINE, "e", now_ms);
	}
	EXPECT_FALSE(mb_can_get_work(e));
	tick_until(&now_ms, 1000 + MB_RETRY_FAILED_AFTER_MS);
	EXPECT_TRUE(mb_can_get_work(e)) << "one retry is allowed";
	mb_mark_failed(&table, MB_ENGINE, "e", now_ms);
	EXPECT_FALSE(mb_can_get_work(e));
	mb_mark_answered(&table, MB_ENGINE, "e", 1, now_ms);
	EXPECT_TRUE(mb_can_get_work(e));
}

TEST_F(Membership, OwnersChangeOnlyForTheLeavingMember)
{
	std::map<uint64_t, std::string> before;
	int64_t now_ms = 1000;
	int moved = 0, owned_by_c = 0;

	for (const char *name : { "a", "b", "c", "d" })
		receive(record_of(MB_INDEX, name, 1, 1), now_ms);
	receive(record_of(MB_INDEX, "far", 1, 1, "z2"), now_ms);
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
	receive(leaving, now_ms);
	for (const auto &b : before) {
		const struct mb_member *owner = mb_owner(
			&table, "z1", b.first * 0x9e3779b97f4a7c15u, 0);

		owned_by_c += b.second == "c";
		moved += b.second != owner->name;
	}
	EXPECT_EQ(moved, owned_by_c);
	EXPECT_GT(owned_by_c, 60);
	EXPECT_LT(owned_by_c, 140);
	EXPECT_EQ(mb_owner(&table, "z1", 1, 3), nullptr);
	EXPECT_EQ(mb_owner(&table, "nowhere", 1, 0), nullptr);
}

// A changed heartbeat alone must not make a record due again; a changed
// configuration revision must.
TEST_F(Membership, OwnRecordAndNewestChangesAreSelectedFirst)
{
	struct mb_member out[2];
	struct mb_member revised = record_of(MB_INDEX, "b", 1, 3);

	receive(record_of(MB_INDEX, "a", 1, 1), 1000);
	receive(record_of(MB_INDEX, "b", 1, 1), 1000);
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
		<< "relays must be bounded";
	receive(record_of(MB_INDEX, "b", 1, 2), 1000);
	EXPECT_EQ(mb_select_records(&table, out, 2), 1u)
		<< "only the heartbeat changed";
	revised.config_revision = 9;
	receive(revised, 1000);
	ASSERT_EQ(mb_select_records(&table, out, 2), 2u);
	EXPECT_STREQ(out[1].name, "b");
}

TEST_F(Membership, HeartbeatsSelectNewestAndOwnZoneFirst)
{
	struct mb_heartbeat out[3];
	struct mb_member leaving = record_of(MB_INDEX, "a", 1, 5);

	receive(record_of(MB_INDEX, "a", 1, 1), 1000);
	receive(record_of(MB_INDEX, "b", 1, 1), 1000);
	receive(record_of(MB_INDEX, "far", 1, 1, "z2"), 1000);
	ASSERT_EQ(mb_select_heartbeats(&table, out, 3), 3u);
	EXPECT_EQ(out[2].member,
		  mb_find(&table, MB_INDEX, "far")->_heartbeat_id);
	for (int i = 0; i < MB_MAX_RELAYS; i++)
		mb_mark_heartbeats_sent(&table, out, 3);
	EXPECT_EQ(mb_select_heartbeats(&table, out, 3), 0u);
	receive(record_of(MB_INDEX, "b", 1, 2), 1000);
	ASSERT_EQ(mb_select_heartbeats(&table, out, 3), 1u);
	EXPECT_EQ(out[0].heartbeat, 2u);
	leaving.state = MB_LEAVING;
	receive(leaving, 1000);
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
		{ "same heartbeat", 5, 1, ST_STALE },
		{ "newer heartbeat", 5, 2, ST_OK },
	};

	receive(record_of(MB_INDEX, "a", 5, 1), 1000);
	a = mb_find(&table, MB_INDEX, "a");
	for (const auto &c : cases) {
		struct mb_heartbeat heartbeat = { a->_heartbeat_id,
						  c.incarnation, c.heartbeat };

		EXPECT_EQ(mb_receive_heartbeat(&table, &heartbeat, 2000),
			  c.code)
			<< c.what;
	}
	EXPECT_EQ(a->heard_ms, 2000);
	struct mb_heartbeat unknown = { 42, 1, 1 };
	EXPECT_EQ(mb_receive_heartbeat(&table, &unknown, 2000), ST_STALE);
}

TEST_F(Membership, OtherZonesHaveLongerTimeouts)
{
	int64_t now_ms = 1000;

	receive(record_of(MB_INDEX, "near", 1, 1), now_ms);
	receive(record_of(MB_INDEX, "far", 1, 1, "z2"), now_ms);
	tick_until(&now_ms, 1000 + MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "near"), (uint32_t)MB_DEAD);
	EXPECT_EQ(state(MB_INDEX, "far"), (uint32_t)MB_ALIVE);
	tick_until(&now_ms, 1000 + MB_OTHER_ZONE_FACTOR * MB_DEAD_AFTER_MS);
	EXPECT_EQ(state(MB_INDEX, "far"), (uint32_t)MB_DEAD);
}

TEST_F(Membership, SilentUnlistedMemberIsRemoved)
{
	int64_t now_ms = 1000;

	receive(record_of(MB_ENTRY, "gone", 1, 1), now_ms);
	set_host_list({ record_of(MB_ENTRY, "kept", 0, 0) }, now_ms);
	tick_until(&now_ms, 1000 + MB_FORGET_AFTER_MS + 1000);
	EXPECT_EQ(mb_find(&table, MB_ENTRY, "gone"), nullptr);
	EXPECT_NE(mb_find(&table, MB_ENTRY, "kept"), nullptr);
}

} // namespace
