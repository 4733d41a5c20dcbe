// Tests of the configuration replica: replicas on one event loop pull from each
// other over loopback. Gossip is simulated by writing to membership tables.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "config/cr.h"
#include "config/cr_wire.h"
#include "config/cr_source.h"
#include "kernel/ck.h"
#include "kernel/mt.h"
}

namespace
{

const uint8_t KEY[RP_KEY_BYTES] = { 7 };

mb_member Member(mb_role role, const char *name, const char *zone,
		 uint64_t revision, uint16_t port = 1)
{
	mb_member m = {};

	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.zone, zone, sizeof(m.zone));
	g_strlcpy(m.region, "r", sizeof(m.region));
	m.role = role;
	m.state = MB_ALIVE;
	m.ipv4 = 0x7f000001;
	m.rpc_port = port;
	m.incarnation = 1;
	m.config_revision = revision;
	return m;
}

struct TestProcess {
	cf_settings settings = {};
	kn_kernel kernel = {};
	rp_endpoint rpc = {};
	mb_table members = {};
	cr_replica cr = {};
	kn_handle replica = {};
	kn_handle spy = {};
	std::vector<std::string> listed_names;
	int lists_received = 0;
	int applied = 0;
	uint64_t heartbeat = 0;

	TestProcess(struct ev_loop *loop, const char *name, mb_role role,
		    bool serve)
	{
		static const kn_task_ops spy_ops = {
			"spy",
			[](kn_task *) { return ST_OK; },
			[](kn_task *task, kn_message *message) {
				static_cast<TestProcess *>(task->state)
					->OnMessage(message);
			},
			nullptr,
			nullptr,
			[](kn_task *) {},
		};
		kn_desc kernel_desc = {};
		rp_desc rpc_desc = {};
		cr_desc desc = {};
		mb_member self = Member(role, name, "z", 0);
		mb_desc members_desc = { &self };

		kernel_desc.loop = loop;
		kernel_desc.no_signals = true;
		kn_init(&kernel, &kernel_desc);
		rpc_desc.loop = loop;
		rpc_desc.address = "127.0.0.1";
		rpc_desc.key = KEY;
		rpc_desc.host = name;
		rpc_desc.role = "control";
		rpc_desc.incarnation = 1;
		EXPECT_EQ(rp_init(&rpc, &rpc_desc), ST_OK);
		mb_init(&members, &members_desc);
		g_strlcpy(settings.self.name, name, sizeof(settings.self.name));
		g_strlcpy(settings.self.zone, "z", sizeof(settings.self.zone));
		EXPECT_EQ(kn_spawn(&kernel, &spy_ops, this, &spy), ST_OK);
		desc.settings = &settings;
		desc.rpc = &rpc;
		desc.members = &members;
		desc.membership = spy;
		desc.serve = serve;
		EXPECT_EQ(cr_spawn(&cr, &kernel, &desc, &replica), ST_OK);
		cr_subscribe(&cr, spy);
	}

	~TestProcess()
	{
		kn_finish(&kernel);
		rp_finish(&rpc);
		mb_finish(&members);
	}

	void OnMessage(kn_message *message)
	{
		if (message->type == MB_MSG_REVISION)
			mb_self(&members)->config_revision = message->cookie;
		if (message->type == CR_MSG_APPLIED)
			applied++;
		if (message->type != MB_MSG_HOST_LIST)
			return;
		auto *listing = static_cast<mb_listing *>(message->body);
		lists_received++;
		listed_names.clear();
		for (uint32_t i = 0; i < listing->count; i++)
			listed_names.push_back(listing->members[i].name);
	}

	// Updates the membership table as if @other had sent a heartbeat.
	void ReceiveHeartbeat(TestProcess &other, mb_role role = MB_CONTROL)
	{
		mb_member m = Member(role, other.settings.self.name, "z",
				     other.Revision(), rp_port(&other.rpc));

		m.heartbeat = ++other.heartbeat;
		mb_receive_record(&members, &m, ck_now_ms());
	}

	uint64_t Revision()
	{
		return cr_config(&cr)->revision;
	}

	bool IsTrusted()
	{
		return cr_is_trusted(&cr);
	}

	void PostPlatformDelta(uint64_t revision, const char *version)
	{
		std::string json =
			std::string("{\"version\": \"") + version + "\"}";
		cm_object object = { "model", "m", json.c_str(), revision,
				     false };
		cr_delta *delta = cr_delta_new(revision);
		kn_message message = {};

		if (*version)
			cr_delta_add(delta, &object);
		message.type = CR_MSG_DELTA;
		message.body = delta;
		message.free_body = cr_delta_free;
		kn_post(&kernel, replica, &message);
	}

	void PostHosts(const std::vector<std::string> &names)
	{
		auto *listing = static_cast<mb_listing *>(g_malloc0(
			sizeof(mb_listing) + names.size() * sizeof(mb_member)));
		kn_message message = {};

		for (const auto &name : names)
			listing->members[listing->count++] =
				Member(MB_ENGINE, name.c_str(), "z", 0);
		message.type = CR_MSG_HOSTS;
		message.body = listing;
		message.free_body = g_free;
		kn_post(&kernel, replica, &message);
	}
};

class Replica : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);

	void TearDown() override
	{
		ev_loop_destroy(loop);
	}

	void RunUntil(const std::function<bool()> &condition,
		      bool is_required = true, int64_t ms = 15000)
	{
		int64_t end = ck_now_ms() + ms;

		while (!condition() && ck_now_ms() < end)
			ev_run(loop, EVRUN_ONCE);
		if (is_required) {
			ASSERT_TRUE(condition());
		}
	}

	// Runs the loop for @ms, for checks that nothing happens meanwhile.
	void RunFor(int64_t ms)
	{
		RunUntil([] { return false; }, false, ms);
	}
};

TEST_F(Replica, RestartedReplicaPullsTheHighestRevisionOnly)
{
	TestProcess old_peer(loop, "old", MB_CONTROL, true);
	TestProcess new_peer(loop, "new", MB_CONTROL, true);

	old_peer.PostPlatformDelta(5, "v5");
	new_peer.PostPlatformDelta(9, "v9");
	RunUntil([&] {
		return old_peer.Revision() == 5 && new_peer.Revision() == 9;
	});
	TestProcess fresh(loop, "fresh", MB_CONTROL, true);
	fresh.ReceiveHeartbeat(old_peer);
	RunUntil([&] { return fresh.Revision() == 5; });
	fresh.ReceiveHeartbeat(new_peer);
	RunUntil([&] { return fresh.Revision() == 9; });
	EXPECT_STREQ(cm_model(cr_config(&fresh.cr), "m")->version, "v9");
	fresh.PostPlatformDelta(7, "v7");
	RunFor(300);
	EXPECT_EQ(fresh.Revision(), 9u);
	EXPECT_EQ(fresh.applied, 2);
}

// Two replicas that both started empty cannot know which revisions they missed,
// so neither may take the other's answer as proof of having caught up.
TEST_F(Replica, EmptyReplicasDoNotTrustEachOther)
{
	TestProcess a(loop, "a", MB_CONTROL, true);
	TestProcess b(loop, "b", MB_CONTROL, true);

	a.ReceiveHeartbeat(b);
	b.ReceiveHeartbeat(a);
	RunFor(3000);
	EXPECT_FALSE(a.IsTrusted());
	EXPECT_FALSE(b.IsTrusted());

	TestProcess c(loop, "c", MB_CONTROL, true);
	c.PostPlatformDelta(9, "v9");
	RunUntil([&] { return c.IsTrusted(); });
	a.ReceiveHeartbeat(c);
	b.ReceiveHeartbeat(c);
	RunUntil([&] { return a.IsTrusted() && b.IsTrusted(); });
	EXPECT_EQ(a.Revision(), 9u);
}

TEST_F(Replica, EmptyPlatformDeltaMakesReplicaTrusted)
{
	TestProcess a(loop, "a", MB_CONTROL, true);

	a.PostPlatformDelta(0, "");
	RunUntil([&] { return a.IsTrusted(); });
}

// No reachable process holds the newest revision: the replica serves what it
// could pull, but stays untrusted because it knows of a higher revision.
TEST_F(Replica, UnreachableHigherRevisionPreventsTrust)
{
	TestProcess peer(loop, "peer", MB_CONTROL, true);
	TestProcess fresh(loop, "fresh", MB_CONTROL, true);
	mb_member lost = Member(MB_CONTROL, "lost", "far", 12, 9);

	peer.PostPlatformDelta(5, "v5");
	RunUntil([&] { return peer.IsTrusted(); });
	lost.state = MB_DEAD;
	mb_receive_record(&fresh.members, &lost, ck_now_ms());
	fresh.ReceiveHeartbeat(peer);
	RunUntil([&] { return fresh.Revision() == 5; });
	RunFor(1500);
	EXPECT_FALSE(fresh.IsTrusted());
	EXPECT_EQ(cr_highest_known_revision(&fresh.members), 12u);
	peer.PostPlatformDelta(12, "v12");
	RunUntil([&] { return peer.Revision() == 12; });
	fresh.ReceiveHeartbeat(peer);
	RunUntil([&] { return fresh.IsTrusted(); });
}

// All control processes restarted while the platform is down.
TEST_F(Replica, ControlPullsNewestFromServingEntry)
{
	TestProcess entry(loop, "h", MB_ENTRY, true);
	TestProcess control(loop, "h", MB_CONTROL, true);

	entry.PostPlatformDelta(9, "v9");
	RunUntil([&] { return entry.Revision() == 9; });
	control.ReceiveHeartbeat(entry, MB_ENTRY);
	RunUntil([&] { return control.Revision() == 9; });
}

TEST_F(Replica, HostListIsPostedOncePerContent)
{
	TestProcess control(loop, "h", MB_CONTROL, true);
	TestProcess entry(loop, "h", MB_ENTRY, false);

	entry.ReceiveHeartbeat(control);
	control.PostHosts({ "e1", "e2" });
	RunUntil([&] { return entry.lists_received == 1; });
	EXPECT_EQ(entry.listed_names, (std::vector<std::string>{ "e1", "e2" }));
	control.PostHosts({ "e1", "e2" });
	RunFor(1500);
	EXPECT_EQ(entry.lists_received, 1);
	EXPECT_LT(cr_hosts_age_ms(&entry.cr, ck_now_ms()), 15000);
	control.PostHosts({ "e1" });
	RunUntil([&] { return entry.lists_received == 2; });
	EXPECT_EQ(entry.listed_names, (std::vector<std::string>{ "e1" }));
}

// An entry may catch up before its control process has read the host list; it
// must still get the list later.
TEST_F(Replica, ReplicaWithoutHostListKeepsPolling)
{
	TestProcess control(loop, "h", MB_CONTROL, true);
	TestProcess entry(loop, "h", MB_ENTRY, true);

	entry.ReceiveHeartbeat(control);
	control.PostPlatformDelta(5, "v5");
	RunUntil([&] { return entry.IsTrusted(); });
	EXPECT_EQ(entry.lists_received, 0);
	control.PostHosts({ "e1" });
	RunUntil([&] { return entry.lists_received == 1; });
}

// pr_main() finishes the endpoint before the tasks, so a pull in flight must
// not use the endpoint when the replica task stops.
TEST_F(Replica, PullInFlightEndsWithTheEndpoint)
{
	TestProcess fresh(loop, "fresh", MB_CONTROL, true);
	mt_metric *pulls = mt_find("balsampin_config_pulls_total");
	int64_t before = pulls->value;

	mb_member silent = Member(MB_CONTROL, "silent", "z", 9, 1);
	mb_receive_record(&fresh.members, &silent, ck_now_ms());
	RunUntil([&] { return pulls->value > before; });
	rp_finish(&fresh.rpc);
	kn_finish(&fresh.kernel);
	kn_desc desc = {};
	desc.loop = loop;
	desc.no_signals = true;
	kn_init(&fresh.kernel, &desc);
}

TEST(ReplicaSource, PrefersNearControlAndBacksOffAfterFailure)
{
	struct Case {
		const char *what;
		std::vector<mb_member> members;
		std::vector<const char *> failed;
		const char *expected;
	} cases[] = {
		{ "no newer revision",
		  { Member(MB_CONTROL, "h", "z", 5) },
		  {},
		  nullptr },
		{ "own host first",
		  { Member(MB_CONTROL, "a", "z", 9),
		    Member(MB_CONTROL, "h", "z", 9) },
		  {},
		  "h" },
		{ "own zone before another",
		  { Member(MB_CONTROL, "a", "far", 9),
		    Member(MB_CONTROL, "b", "z", 9) },
		  {},
		  "b" },
		{ "control of another zone before an own entry",
		  { Member(MB_CONTROL, "a", "far", 9),
		    Member(MB_ENTRY, "h", "z", 9) },
		  {},
		  "a" },
		{ "failed source is skipped during backoff",
		  { Member(MB_CONTROL, "a", "far", 9),
		    Member(MB_CONTROL, "h", "z", 9) },
		  { "h" },
		  "a" },
		{ "all failed",
		  { Member(MB_CONTROL, "h", "z", 9) },
		  { "h" },
		  nullptr },
	};

	for (const auto &c : cases) {
		mb_table table;
		mb_desc desc = {};
		cr_sources sources;

		mb_init(&table, &desc);
		cr_sources_init(&sources, "h", "z", "r");
		for (const auto &m : c.members)
			mb_receive_record(&table, &m, 1000);
		for (const char *name : c.failed)
			cr_source_failed(&sources, MB_CONTROL, name, 1000);
		const mb_member *m =
			cr_source_newer(&sources, &table, 5, 3, 1001);
		EXPECT_STREQ(m ? m->name : nullptr, c.expected) << c.what;
		m = cr_source_newer(&sources, &table, 5, 3,
				    1000 + CR_FIRST_BACKOFF_MS);
		EXPECT_EQ(m != nullptr, !c.failed.empty() || c.expected)
			<< c.what;
		cr_sources_finish(&sources);
		mb_finish(&table);
	}
}

// If they differed, each process that polls the host list would take a list
// pulled from another process for a change.
TEST(Listing, IsEqualAfterWireRoundTrip)
{
	for (uint32_t role = MB_ENTRY; role < MB_ROLE_COUNT; role++) {
		auto *sent = static_cast<mb_listing *>(
			g_malloc0(sizeof(mb_listing) + sizeof(mb_member)));
		GArray *wire;

		sent->count = 1;
		sent->members[0].role = role;
		sent->members[0].is_listed = true;
		sent->members[0].http_port = 8080;
		sent->members[0].rpc_port = role < MB_ENGINE ? 7001 : 0;
		wire = cr_listing_to_wire(sent);

		auto *arrived = cr_listing_from_wire(
			(const bp_upstream *)wire->data, wire->len);
		EXPECT_TRUE(cr_listing_equal(sent, arrived)) << role;
		arrived->members[0].rpc_port++;
		arrived->members[0].http_port++;
		EXPECT_FALSE(cr_listing_equal(sent, arrived)) << role;
		g_free(arrived);
		g_array_unref(wire);
		g_free(sent);
	}
}

} // namespace
