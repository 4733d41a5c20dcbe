// Input path of the index: SSE parsing of fragmented streams, decoding of valid
// and invalid JSON, and feeds against a server that closes streams, restarts,
// loses events and falls silent.
#include <gtest/gtest.h>

#include <arpa/inet.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes.h"

extern "C" {
#include "index/index_task.h"
#include "index/ix_decode.h"
#include "index/ix_feed.h"
#include "kernel/tl.h"
#include "membership/mb_task.h"
#include "prefix/px.h"
#include "rpc/gen/balsampin.h"
}

namespace
{

using Texts = std::vector<std::string>;

TEST(Sse, EventsInAnyPieces)
{
	const std::string stream =
		": comment\nid: 1:1\nevent: stored\ndata: {\n"
		"data:}\n\nid: 1:2\r\ndata: x\r\n\r\nevent: empty\n\n"
		"data: y\r\rother: z\ndata\n\nid: 1:9\ndata: cut off";
	const Texts want = { "1:1 stored {\n}", "1:2 message x",
			     "1:2 message y", "1:2 message " };

	for (size_t step = 1; step <= stream.size(); step++) {
		Texts got;
		struct se_parser p;
		struct se_desc desc = {};

		desc.on_event = [](void *arg, const struct se_event *e) {
			static_cast<Texts *>(arg)->push_back(
				std::string(e->id) + " " + e->type + " " +
				e->data);
		};
		desc.arg = &got;
		se_init(&p, &desc);
		for (size_t at = 0; at < stream.size(); at += step)
			EXPECT_TRUE(
				se_feed(&p, stream.data() + at,
					std::min(step, stream.size() - at)));
		EXPECT_EQ(got, want) << "in fragments of " << step << " bytes";
		se_finish(&p);
	}
}

TEST(Sse, LengthIsBounded)
{
	struct se_parser p;
	struct se_desc desc = {};

	desc.max_event_bytes = 100;
	desc.on_event = [](void *, const struct se_event *) { FAIL(); };
	for (const std::string &piece : Texts{ "x", "data: x\n" }) {
		int fed = 0;

		se_init(&p, &desc);
		while (fed < 1000 && se_feed(&p, piece.data(), piece.size()))
			fed++;
		EXPECT_LE(fed, 100);
		se_finish(&p);
	}
}

TEST(Decode, Events)
{
	struct {
		const char *id, *type, *data;
		bool ok;
		enum ix_event_kind kind;
		uint32_t blocks;
	} cases[] = {
		{ "7:1", "stored", R"({"blocks":["00000000000000ff"]})", true,
		  IX_STORED, 1 },
		{ "7:2", "removed", R"({"blocks":[]})", true, IX_REMOVED, 0 },
		{ "7:3", "cleared", "{}", true, IX_CLEARED, 0 },
		{ "7:4", "load", R"({"running":2,"state":"leaving"})", true,
		  IX_LOAD, 0 },
		{ "7:4", "load", R"({"running":-1,"state":3})", true, IX_LOAD,
		  0 },
		{ "7:5", "new_kind", "whatever", true, IX_OTHER, 0 },
		{ "7:6", "stored", "{}", false, IX_STORED, 0 },
		{ "7:6", "stored", "[]", false, IX_STORED, 0 },
		{ "7:6", "stored", R"({"blocks":["ff"]})", false, IX_STORED,
		  0 },
		{ "7:6", "stored", R"({"blocks":["00000000000000fg"]})", false,
		  IX_STORED, 0 },
		{ "7:6", "stored", R"({"blocks":[1]})", false, IX_STORED, 0 },
		{ "7:6", "stored", R"({"blocks":)", false, IX_STORED, 0 },
		{ "", "stored", R"({"blocks":[]})", false, IX_STORED, 0 },
		{ "7", "cleared", "{}", false, IX_CLEARED, 0 },
		{ "0:1", "cleared", "{}", false, IX_CLEARED, 0 },
		{ "7:x", "cleared", "{}", false, IX_CLEARED, 0 },
		{ "7:0", "cleared", "{}", false, IX_CLEARED, 0 },
		{ "-7:1", "cleared", "{}", false, IX_CLEARED, 0 },
	};
	GArray *blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (const auto &c : cases) {
		SCOPED_TRACE(std::string(c.id) + " " + c.type + " " + c.data);
		struct se_event from = { c.id, c.type, c.data, strlen(c.data),
					 true };
		struct ix_event event;

		EXPECT_EQ(ix_decode_event(&from, &event, blocks), c.ok);
		if (!c.ok)
			continue;
		EXPECT_EQ(event.kind, c.kind);
		EXPECT_EQ(event.incarnation, 7u);
		EXPECT_EQ(event.block_count, c.blocks);
		if (c.blocks) {
			EXPECT_EQ(event.blocks[0], 0xffu);
		}
	}
	g_array_unref(blocks);
}

TEST(Decode, Snapshots)
{
	struct {
		const char *text;
		bool ok;
	} cases[] = {
		{ R"({"incarnation":7,"seq":3,"blocks":["00000000000000ff"]})",
		  true },
		{ R"({"incarnation":0,"seq":3,"blocks":[]})", false },
		{ R"({"seq":3,"blocks":[]})", false },
		{ R"({"incarnation":7,"blocks":[]})", false },
		{ R"({"incarnation":7,"seq":3})", false },
		{ "", false },
		{ "[[[[[[[[[[[[[[[[", false },
	};
	GArray *blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (const auto &c : cases) {
		uint64_t incarnation, sequence;

		EXPECT_EQ(ix_decode_snapshot(c.text, strlen(c.text),
					     &incarnation, &sequence, blocks),
			  c.ok)
			<< c.text;
	}
	g_array_unref(blocks);
}

// Fake engine that serves the event stream and snapshots.
class FakeEngine
{
      public:
	FakeServer server;
	uint64_t inc = 7;
	uint64_t seq = 0;
	std::vector<std::string> blocks;
	int snapshots = 0;
	int streams = 0;
	bool is_silent = false;

	explicit FakeEngine(struct ev_loop *loop) : server(loop)
	{
		server.on_request = [this](struct hs_exchange *x) {
			if (std::string(x->path) == "/v1/cache/blocks")
				Answer(x);
			else if (!is_silent)
				Stream(x);
		};
	}

	void Answer(struct hs_exchange *x)
	{
		std::string list;

		snapshots++;
		for (const auto &b : blocks)
			list += (list.empty() ? "\"" : ",\"") + b + "\"";
		send_whole(x, 200,
			   "{\"incarnation\":" + std::to_string(inc) +
				   ",\"seq\":" + std::to_string(seq) +
				   ",\"blocks\":[" + list + "]}");
	}

	void Stream(struct hs_exchange *x)
	{
		streams++;
		begin_stream(x);
		stream = x;
		Send("load", R"({"running":1,"state":"up"})");
	}

	void Send(const std::string &type, const std::string &data)
	{
		std::string text = "id: " + std::to_string(inc) + ":" +
				   std::to_string(++seq) + "\nevent: " + type +
				   "\ndata: " + data + "\n\n";

		hs_write(stream, text.data(), text.size());
	}

	void Store(const std::string &block)
	{
		blocks.push_back(block);
		Send("stored", "{\"blocks\":[\"" + block + "\"]}");
	}

	std::string LastEventId()
	{
		std::string last;

		for (const auto &s : server.seen)
			if (s.path == "/v1/cache/events")
				last = s.last_event;
		return last;
	}

	struct hs_exchange *stream = nullptr;
};

const std::string B1 = "0000000000000001", B2 = "0000000000000002";

class Feed : public testing::Test
{
      protected:
	Loop loop;
	std::unique_ptr<FakeEngine> engine;
	struct hc_client http;
	struct ix_index index;
	struct ix_feed feed;
	std::map<ix_notice, int> notices;

	void SetUp() override
	{
		struct hc_desc http_desc = {};
		struct ix_desc desc = {};

		engine = std::make_unique<FakeEngine>(loop.loop);
		http_desc.loop = loop.loop;
		ASSERT_EQ(hc_init(&http, &http_desc), ST_OK);
		ix_init(&index, &desc, ck_now_ms());
		ASSERT_EQ(ix_own(&index, 1, ck_now_ms()), ST_OK);
	}

	void Start(int64_t idle_ms = 0)
	{
		struct ix_feed_desc desc = {};

		desc.loop = loop.loop;
		desc.http = &http;
		desc.index = &index;
		desc.engine = 1;
		desc.name = "e1";
		desc.ipv4 = INADDR_LOOPBACK;
		desc.port = engine->server.port();
		desc.idle_ms = idle_ms;
		desc.on_notice = [](void *arg, const struct ix_feed *,
				    enum ix_notice n) {
			static_cast<Feed *>(arg)->notices[n]++;
		};
		desc.arg = this;
		ix_feed_start(&feed, &desc);
	}

	void TearDown() override
	{
		ix_feed_stop(&feed);
		hc_finish(&http);
		ix_finish(&index);
	}

	struct ix_stats Stats()
	{
		struct ix_stats s;

		ix_stats(&index, 1, &s);
		return s;
	}

	bool IsInSync()
	{
		return engine->streams > 0 && Stats().sequence == engine->seq &&
		       Stats().held == engine->blocks.size() &&
		       !Stats().is_incomplete;
	}
};

TEST_F(Feed, StartsWithSnapshotThenFollowsEvents)
{
	engine->seq = 41;
	engine->blocks = { B1 };
	Start();
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	EXPECT_EQ(engine->LastEventId(), "");
	engine->Store(B2);
	ASSERT_TRUE(loop.run_until([&] { return Stats().held == 2; }));
	EXPECT_EQ(notices[IX_NOTICE_GAP], 0) << "joining late is not a gap";
	EXPECT_GE(notices[IX_NOTICE_ANSWERED], 1);
	EXPECT_EQ(notices[IX_NOTICE_FAILED], 0);
}

TEST_F(Feed, ResumesAfterStreamBreaks)
{
	Start();
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	engine->Store(B1);
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	int snapshots = engine->snapshots;
	hs_abort(engine->stream);
	ASSERT_TRUE(loop.run_until(
		[&] { return engine->streams == 2 && IsInSync(); }));
	EXPECT_EQ(engine->LastEventId(), "7:2");
	EXPECT_EQ(engine->snapshots, snapshots) << "no events were lost";
	EXPECT_EQ(notices[IX_NOTICE_FAILED], 0)
		<< "the stream was reopened at once";
}

TEST_F(Feed, GapsAndMalformedEventsTriggerSnapshot)
{
	Start();
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	engine->seq++;
	engine->Store(B1);
	ASSERT_TRUE(
		loop.run_until([&] { return notices[IX_NOTICE_GAP] == 1; }));
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	engine->Send("stored", "{\"blocks\":7}");
	engine->blocks.push_back(B2);
	engine->Send("load", "{}");
	ASSERT_TRUE(
		loop.run_until([&] { return notices[IX_NOTICE_GAP] == 2; }));
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
}

TEST_F(Feed, SnapshotsAreBoundedInBytesPerSecond)
{
	const int64_t wait_ms = 400;

	// An id takes 19 bytes in the snapshot.
	for (int i = 0; i < wait_ms * IX_FEED_SNAPSHOT_BYTES_PER_S / 19000;
	     i++) {
		char id[17];

		snprintf(id, sizeof(id), "%016x", i);
		engine->blocks.push_back(id);
	}
	Start();
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	int64_t synced_ms = ck_now_ms();
	engine->seq++;
	engine->Send("load", "{}");
	ASSERT_TRUE(loop.run_until([&] { return engine->snapshots == 2; }));
	EXPECT_GE(ck_now_ms() - synced_ms, wait_ms / 2);
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
}

TEST_F(Feed, RestartAndLeaving)
{
	Start();
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	engine->Store(B1);
	engine->Send("load", R"({"state":"leaving"})");
	engine->Send("load", R"({"state":"leaving"})");
	ASSERT_TRUE(loop.run_until([&] { return IsInSync(); }));
	EXPECT_EQ(notices[IX_NOTICE_LEAVING], 1);
	engine->inc = 8;
	engine->seq = 0;
	engine->blocks.clear();
	hs_abort(engine->stream);
	ASSERT_TRUE(loop.run_until([&] {
		return notices[IX_NOTICE_RESTARTED] == 1 && IsInSync();
	}));
	EXPECT_EQ(Stats().held, 0u);
	EXPECT_EQ(Stats().incarnation, 8u);
}

TEST_F(Feed, RestartOfEngineKnownOnlyFromSnapshot)
{
	engine->is_silent = true;
	Start(100);
	ASSERT_TRUE(loop.run_until([&] { return Stats().incarnation == 7; }));
	engine->inc = 8;
	engine->is_silent = false;
	ASSERT_TRUE(loop.run_until([&] { return Stats().incarnation == 8; }));
	EXPECT_EQ(notices[IX_NOTICE_RESTARTED], 1);
}

TEST_F(Feed, SilentStreamIsReopened)
{
	engine->is_silent = true;
	Start(100);
	ASSERT_TRUE(
		loop.run_until([&] { return notices[IX_NOTICE_FAILED] >= 1; }));
	engine->is_silent = false;
	ASSERT_TRUE(loop.run_until([&] { return engine->streams >= 1; }));
	ASSERT_TRUE(loop.run_until([&] { return engine->streams >= 2; }))
		<< "the stream is silent after its first event";
	EXPECT_GE(notices[IX_NOTICE_FAILED], 2);
}

TEST_F(Feed, UnreachableEngineIsReportedFailed)
{
	engine->server.stop();
	Start();
	ASSERT_TRUE(
		loop.run_until([&] { return notices[IX_NOTICE_FAILED] >= 3; }));
	EXPECT_EQ(notices[IX_NOTICE_ANSWERED], 0);
}

TEST_F(Feed, OversizedEventReopensStream)
{
	Start();
	ASSERT_TRUE(loop.run_until([&] { return engine->streams == 1; }));
	std::string text(SE_DEFAULT_MAX_EVENT_BYTES + 1, 'x');
	hs_write(engine->stream, text.data(), text.size());
	ASSERT_TRUE(loop.run_until([&] { return engine->streams == 2; }));
}

// Index task: ownership of engines, look-ups and records over RPC.
class Task : public testing::Test
{
      protected:
	Loop loop;
	FakeEngine engine{ loop.loop };
	struct kn_kernel kernel;
	struct cf_settings settings = {};
	struct mb_table members;
	struct rp_endpoint rpc;
	struct index_task task;
	struct kn_handle handle;
	std::vector<mb_evidence> evidence;
	bp_ix_engine found = {};
	int answers = 0;
	uint32_t count = 0;
	int failed = 0;

	static mb_member Member(mb_role role, const char *name,
				const char *zone, uint16_t port)
	{
		mb_member m = {};

		m.role = role;
		g_strlcpy(m.name, name, sizeof(m.name));
		g_strlcpy(m.zone, zone, sizeof(m.zone));
		m.id = px_id(name);
		m.ipv4 = INADDR_LOOPBACK;
		m.http_port = port;
		m.state = MB_ALIVE;
		m.incarnation = 1;
		m.heartbeat = 1;
		return m;
	}

	void SetUp() override
	{
		static const struct kn_task_ops evidence_ops = {
			"membership",
			[](struct kn_task *) { return ST_OK; },
			[](struct kn_task *t, struct kn_message *m) {
				static_cast<Task *>(t->state)
					->evidence.push_back(
						*static_cast<mb_evidence *>(
							m->body));
			},
			nullptr,
			nullptr,
			[](struct kn_task *) {}
		};
		static const uint8_t key[RP_KEY_BYTES] = { 3 };
		struct kn_desc kernel_desc = {};
		struct rp_desc rpc_desc = {};
		struct mb_desc mb = {};
		mb_member self = Member(MB_INDEX, "h1", "z1", 1);
		struct index_task_desc desc = {};

		kernel_desc.name = "index";
		kernel_desc.loop = loop.loop;
		kernel_desc.no_signals = true;
		ASSERT_EQ(kn_init(&kernel, &kernel_desc), ST_OK);
		rpc_desc.loop = loop.loop;
		rpc_desc.address = "127.0.0.1";
		rpc_desc.key = key;
		rpc_desc.incarnation = 5;
		ASSERT_EQ(rp_init(&rpc, &rpc_desc), ST_OK);
		mb.self = &self;
		mb_init(&members, &mb);
		mb_member engines[] = {
			Member(MB_ENGINE, "e1", "z1", engine.server.port()),
			Member(MB_ENGINE, "far", "z2", engine.server.port()),
		};
		mb_apply_host_list(&members, engines, 2, ck_now_ms());
		g_strlcpy(settings.self.name, "h1", CF_NAME_BYTES);
		g_strlcpy(settings.self.zone, "z1", CF_NAME_BYTES);
		desc.settings = &settings;
		desc.rpc = &rpc;
		desc.members = &members;
		kn_spawn(&kernel, &evidence_ops, this, &desc.membership);
		ASSERT_EQ(index_task_spawn(&task, &kernel, &desc, &handle),
			  ST_OK);
	}

	void TearDown() override
	{
		kn_finish(&kernel);
		rp_finish(&rpc);
		mb_finish(&members);
	}

	void Call(struct rp_endpoint &from, uint32_t number, xdrproc_t args,
		  const void *value, xdrproc_t result, uint32_t bytes)
	{
		rp_call_desc d = {};
		int before = answers;

		d.to.ipv4 = INADDR_LOOPBACK;
		d.to.port = rp_port(&rpc);
		d.number = number;
		d.args = args;
		d.args_value = value;
		d.result = result;
		d.result_bytes = bytes;
		d.deadline_ms = 5000;
		d.on_done = [](void *arg, enum st_code code,
			       const struct rp_peer *, const void *r) {
			auto *self = static_cast<Task *>(arg);
			auto *f = static_cast<const bp_ix_found *>(r);

			EXPECT_EQ(code, ST_OK);
			self->answers++;
			self->count = f ? f->engines.engines_len : 0;
			if (self->count)
				self->found = f->engines.engines_val[0];
		};
		d.arg = this;
		ASSERT_EQ(rp_call(&from, &d, nullptr), ST_OK);
		ASSERT_TRUE(loop.run_until([&] { return answers > before; }));
	}

	bool IsFollowed() const
	{
		return engine.snapshots == 1 && engine.streams == 1;
	}

	void Lookup(const char *name, std::vector<u_quad_t> keys)
	{
		u_quad_t engines[] = { px_id(name) };
		bp_ix_lookup args = {};

		args.engines.engines_len = 1;
		args.engines.engines_val = engines;
		args.keys.keys_len = (u_int)keys.size();
		args.keys.keys_val = keys.data();
		Call(rpc, BP_IX_LOOKUP, (xdrproc_t)xdr_bp_ix_lookup, &args,
		     (xdrproc_t)xdr_bp_ix_found, sizeof(bp_ix_found));
	}

	void Record(struct rp_endpoint &from, bp_ix_phase phase,
		    std::vector<u_quad_t> keys, std::vector<u_quad_t> blocks)
	{
		bp_ix_record args = {};

		args.engine = px_id("e1");
		args.incarnation = 7;
		args.request = 1;
		args.phase = phase;
		args.block_tokens = 2048;
		args.prompt_tokens = 2048 * (u_int)blocks.size();
		args.prompt_bytes = 4 * args.prompt_tokens;
		args.keys.keys_len = (u_int)keys.size();
		args.keys.keys_val = keys.data();
		args.blocks.blocks_len = (u_int)blocks.size();
		args.blocks.blocks_val = blocks.data();
		Call(from, BP_IX_RECORD, (xdrproc_t)xdr_bp_ix_record, &args,
		     nullptr, 0);
	}
};

TEST_F(Task, AnswersForEnginesOfItsZone)
{
	ASSERT_TRUE(loop.run_until([&] { return IsFollowed(); }));
	engine.Store(B1);
	engine.Store(B2);
	Record(rpc, BP_IX_ENDED, { 10, 11, 12, 13, 14 }, { 1, 2 });
	ASSERT_TRUE(loop.run_until([&] {
		Lookup("e1", { 10, 11, 12, 13, 99 });
		return found.held == 4;
	}));
	EXPECT_EQ(found.engine, px_id("e1"));
	EXPECT_EQ(found.incarnation, 7u);
	EXPECT_EQ(found.state, (u_int)MB_ALIVE);
	EXPECT_EQ(found.running, 1u);
	EXPECT_EQ(found.confidence_permille, 1000u);
	Lookup("far", { 10 });
	EXPECT_EQ(count, 0u) << "the engine is in another zone";
	ASSERT_FALSE(evidence.empty());
	EXPECT_STREQ(evidence[0].name, "e1");
	EXPECT_TRUE(evidence[0].has_answered);
	EXPECT_EQ(evidence[0].incarnation, 7u);
}

TEST_F(Task, RequestNumbersAreScopedToTheEntryHost)
{
	struct rp_endpoint other;
	struct rp_desc desc = {};
	static const uint8_t key[RP_KEY_BYTES] = { 3 };

	ASSERT_TRUE(loop.run_until([&] { return IsFollowed(); }));
	desc.loop = loop.loop;
	desc.address = "127.0.0.1";
	desc.key = key;
	desc.incarnation = 6;
	ASSERT_EQ(rp_init(&other, &desc), ST_OK);
	Record(rpc, BP_IX_SENT, { 10, 11 }, {});
	Record(other, BP_IX_SENT, { 10, 20 }, {});
	Lookup("e1", { 10, 20 });
	EXPECT_EQ(found.pending, 2u);
	Record(rpc, BP_IX_ENDED, {}, {});
	Lookup("e1", { 10, 20 });
	EXPECT_EQ(found.pending, 2u)
		<< "the request of the other entry host is in flight";
	Lookup("e1", { 10, 11 });
	EXPECT_EQ(found.pending, 1u);
	rp_finish(&other);
}

TEST_F(Task, FollowsOwnershipChanges)
{
	// A host that ranks before h1 as owner of the engine.
	std::string other;
	for (int i = 0; other.empty(); i++) {
		std::string name = "x" + std::to_string(i);

		if (px_rank(px_id("e1"), px_id(name.c_str())) >
		    px_rank(px_id("e1"), px_id("h1")))
			other = name;
	}
	ASSERT_TRUE(loop.run_until([&] { return engine.streams == 1; }));
	mb_member m = Member(MB_INDEX, other.c_str(), "z1", 1);
	mb_receive_record(&members, &m, ck_now_ms());
	ASSERT_TRUE(loop.run_until([&] {
		Lookup("e1", { 10 });
		return count == 0;
	}));
	m.heartbeat++;
	m.state = MB_LEAVING;
	mb_receive_record(&members, &m, ck_now_ms());
	ASSERT_TRUE(loop.run_until([&] {
		Lookup("e1", { 10 });
		return count == 1;
	}));
	ASSERT_TRUE(loop.run_until([&] { return engine.streams == 2; }));
}

TEST_F(Task, TimeLineShowsRestartsAndGaps)
{
	static struct tl_event events[TL_CAPACITY];
	uint64_t start = ck_hlc_tick(tl_clock(), ck_wall_ms());

	ASSERT_TRUE(loop.run_until([&] { return IsFollowed(); }));
	engine.seq += 2;
	engine.Store(B1);
	ASSERT_TRUE(loop.run_until([&] { return engine.snapshots == 2; }));
	engine.inc++;
	engine.seq = 0;
	engine.Send("load", R"({"state":"leaving"})");
	ASSERT_TRUE(loop.run_until([&] {
		return !evidence.empty() && evidence.back().incarnation == 8;
	}));
	std::string seen;
	for (uint32_t i = 0, n = tl_read(start, events, TL_CAPACITY); i < n;
	     i++)
		seen += std::string(tl_kind_name(events[i].kind)) + " " +
			events[i].subject + " " + events[i].detail + "\n";
	EXPECT_EQ(seen, "events_gap e1 incarnation=7 before=4\n"
			"engine_restarted e1 incarnation=8\n");
	bool has_left = false;
	for (const auto &e : evidence)
		has_left |= e.is_leaving && e.incarnation == 8;
	EXPECT_TRUE(has_left);
}

} // namespace
