// The entry process and its peers: an index that answers or times out, and
// other entries that receive usage reports and crash records.
#include "entry_host.h"

#include <memory>

extern "C" {
#include "entry/en_dispatch.h"
#include "rpc/gen/balsampin.h"
}

namespace
{

const std::string long_prompt = "{\"model\":\"m\",\"prompt\":\"" +
				std::string(3 * PX_CHUNK_BYTES, 'p') + "\"}";

// An index process that reports one engine as holding the whole prompt.
class FakeIndex
{
      public:
	struct rp_endpoint rpc;
	std::string holder;
	bool is_silent = false;
	int lookups = 0;
	std::vector<bp_ix_phase> phases;
	std::vector<uint64_t> record_engines;

	explicit FakeIndex(struct ev_loop *loop)
	{
		static const uint8_t key[RP_KEY_BYTES] = { 1 };
		struct rp_desc desc = {};
		struct rp_procedure p = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.key = key;
		desc.host = "i1";
		desc.role = "index";
		desc.incarnation = rp_new_incarnation();
		EXPECT_EQ(rp_init(&rpc, &desc), ST_OK);
		p.number = BP_IX_LOOKUP;
		p.args = (xdrproc_t)xdr_bp_ix_lookup;
		p.args_bytes = sizeof(bp_ix_lookup);
		p.result = (xdrproc_t)xdr_bp_ix_found;
		p.handler = on_lookup;
		p.arg = this;
		EXPECT_EQ(rp_serve(&rpc, &p), ST_OK);
		p.number = BP_IX_RECORD;
		p.args = (xdrproc_t)xdr_bp_ix_record;
		p.args_bytes = sizeof(bp_ix_record);
		p.result = nullptr;
		p.handler = on_record;
		EXPECT_EQ(rp_serve(&rpc, &p), ST_OK);
	}
	~FakeIndex()
	{
		rp_finish(&rpc);
	}

      private:
	static void on_lookup(void *arg, struct rp_request *request,
			      const void *args)
	{
		auto *self = static_cast<FakeIndex *>(arg);
		auto *lookup = static_cast<const bp_ix_lookup *>(args);
		bp_ix_engine engines[BP_MAX_ENGINES] = {};
		bp_ix_found found = {};

		self->lookups++;
		if (self->is_silent) {
			rp_drop(request);
			return;
		}
		found.engines.engines_val = engines;
		for (u_int i = 0; i < lookup->engines.engines_len; i++) {
			bp_ix_engine *e = &engines[found.engines.engines_len++];

			e->engine = lookup->engines.engines_val[i];
			e->incarnation = 7;
			e->prefill_tokens_per_s = 1000;
			if (e->engine != px_id(self->holder.c_str()))
				continue;
			e->held = lookup->keys.keys_len;
			e->pending = e->held;
			e->confidence_permille = 1000;
		}
		rp_reply(request, &found);
	}
	static void on_record(void *arg, struct rp_request *request,
			      const void *args)
	{
		auto *self = static_cast<FakeIndex *>(arg);
		auto *record = static_cast<const bp_ix_record *>(args);

		self->phases.push_back(record->phase);
		self->record_engines.push_back(record->engine);
		rp_drop(request);
	}
};

class Peers : public testing::Test
{
      protected:
	Loop l;
	FakeServer e1{ l.loop }, e2{ l.loop };
	Caller caller{ l.loop };
	FakeIndex index{ l.loop };
	std::unique_ptr<Host> h1, h2;

	void SetUp() override
	{
		auto answer = [](struct hs_exchange *x) {
			std::string id = hs_header(x, "X-Request-Id");

			send_whole(
				x, 200,
				"{\"id\":\"cmpl-" + id +
					"\",\"choices\":[{\"text\":\"a\"}]}");
		};

		e1.on_request = answer;
		e2.on_request = answer;
		h1.reset(new Host(l.loop, "h1", engines()));
		h2.reset(new Host(l.loop, "h2", engines()));
		add_member(*h1, MB_INDEX, "i1", rp_port(&index.rpc));
	}
	void TearDown() override
	{
		h1.reset();
		h2.reset();
	}
	std::vector<UpstreamSpec> engines()
	{
		return { { MB_ENGINE, "e1", e1.port(), 7 },
			 { MB_ENGINE, "e2", e2.port(), 7 } };
	}
	static void add_member(Host &host, enum mb_role role, const char *name,
			       uint16_t rpc_port, const char *zone = "z1")
	{
		struct mb_member m = {};

		m.role = role;
		g_strlcpy(m.name, name, sizeof(m.name));
		g_strlcpy(m.zone, zone, sizeof(m.zone));
		g_strlcpy(m.region, "r1", sizeof(m.region));
		m.ipv4 = INADDR_LOOPBACK;
		m.rpc_port = rpc_port;
		m.id = px_id(name);
		m.state = MB_ALIVE;
		m.incarnation = 1;
		m.heartbeat = 1;
		EXPECT_EQ(mb_receive_record(&host.members, &m, ck_now_ms()),
			  ST_OK);
	}
	Answer send_prompt(Host &host, const std::string &body)
	{
		Answer a;

		caller.send(&a, host.port(), "POST", "/v1/completions", body);
		EXPECT_TRUE(l.run_until([&] { return a.is_done; }));
		return a;
	}
	// Fingerprint of long_prompt, whose length is a multiple of the chunk.
	static uint64_t fingerprint()
	{
		struct px_chain chain;
		std::string text(3 * PX_CHUNK_BYTES, 'p');

		px_chain_make(&chain, px_salt("t1", "m", "v1", ""), text.data(),
			      text.size());
		return ps_fingerprint(px_salt("t1", "m", "v1", ""), &chain, "",
				      0, "m", 1);
	}
	static bool refuses(Host &host)
	{
		return ps_check(&dispatch(host)->poison, fingerprint(),
				ck_now_ms())
			       .verdict == PS_REFUSE;
	}
	static struct en_dispatch *dispatch(Host &host)
	{
		return static_cast<struct en_entry *>(host.p.role_state)
			->dispatch;
	}
};

TEST_F(Peers, EngineHoldingThePrefixIsChosen)
{
	for (const char *holder : { "e1", "e2" }) {
		FakeServer &e = std::string(holder) == "e1" ? e1 : e2;
		int before = e.count("POST");

		index.holder = holder;
		for (int i = 0; i < 3; i++)
			EXPECT_EQ(send_prompt(*h1, long_prompt).status, 200u);
		EXPECT_EQ(e.count("POST") - before, 3) << holder;
	}
	EXPECT_EQ(index.lookups, 6);
}

TEST_F(Peers, IndexReceivesEachPhase)
{
	index.holder = "e2";
	send_prompt(*h1, long_prompt);
	ASSERT_TRUE(l.run_until([&] { return index.phases.size() == 3; }));
	EXPECT_EQ(index.phases,
		  (std::vector<bp_ix_phase>{ BP_IX_SENT, BP_IX_PREFILLED,
					     BP_IX_ENDED }));
	EXPECT_EQ(index.record_engines[0], px_id("e2"));
}

// A failed attempt must not stay recorded as computing its prefix.
TEST_F(Peers, IndexReceivesEndOfFailedAttempt)
{
	index.holder = "e2";
	e2.on_request = [](struct hs_exchange *x) {
		send_whole(x, 503, "{\"error\":{\"message\":\"busy\"}}");
	};
	send_prompt(*h1, long_prompt);
	ASSERT_TRUE(l.run_until([&] { return index.phases.size() == 5; }));
	EXPECT_EQ(index.phases, (std::vector<bp_ix_phase>{
					BP_IX_SENT, BP_IX_ENDED, BP_IX_SENT,
					BP_IX_PREFILLED, BP_IX_ENDED }));
	EXPECT_EQ(index.record_engines[1], px_id("e2"));
	EXPECT_EQ(index.record_engines[2], px_id("e1"));
}

TEST_F(Peers, PlacementWorksWithoutTheIndex)
{
	int64_t before_ms = ck_now_ms();

	index.is_silent = true;
	EXPECT_EQ(send_prompt(*h1, long_prompt).status, 200u);
	EXPECT_EQ(index.lookups, 1);
	EXPECT_LT(ck_now_ms() - before_ms, 1000);
	EXPECT_EQ(send_prompt(*h2, long_prompt).status, 200u);
}

TEST_F(Peers, UsageReachesTheOtherEntry)
{
	struct en_dispatch *d2 = dispatch(*h2);
	std::string id;
	auto hold = [](struct hs_exchange *) {};
	Answer a;

	add_member(*h1, MB_ENTRY, "h2", rp_port(&h2->p.rpc));
	add_member(*h2, MB_ENTRY, "h1", rp_port(&h1->p.rpc));
	e1.on_request = hold;
	e2.on_request = hold;
	caller.send(&a, h1->port(), "POST", "/v1/completions", long_prompt);
	ASSERT_TRUE(l.run_until([&] { return d2->limits._row_count > 0; }));
}

// After two engines crashed while only this request ran, no entry runs it.
TEST_F(Peers, CrashingRequestIsRefusedByEveryEntry)
{
	auto crash = [](struct hs_exchange *x) {
		hs_begin(x, 200, engine_headers);
		hs_abort(x);
	};

	add_member(*h1, MB_ENTRY, "h2", rp_port(&h2->p.rpc));
	e1.on_request = crash;
	e2.on_request = crash;
	EXPECT_EQ(send_prompt(*h1, long_prompt).status, 502u);
	EXPECT_EQ(e1.count("POST"), 1);
	EXPECT_EQ(e2.count("POST"), 1);
	// The entry notices that both engines restarted.
	for (const char *name : { "e1", "e2" })
		mb_mark_answered(&h1->members, MB_ENGINE, name, 8, ck_now_ms());
	for (Host *host : { h1.get(), h2.get() }) {
		ASSERT_TRUE(l.run_until([&] {
			return ps_check(&dispatch(*host)->poison, fingerprint(),
					ck_now_ms())
				       .verdict == PS_REFUSE;
		}));
		Answer a = send_prompt(*host, long_prompt);
		EXPECT_EQ(a.status, 422u);
		EXPECT_TRUE(has(a.body, "request_crashes_engines"));
	}
	EXPECT_EQ(e1.count("POST") + e2.count("POST"), 2);
}

// The request crashes one engine at each of two entries in different zones.
TEST_F(Peers, CrashesInSeveralZonesAddUp)
{
	struct {
		Host *host;
		const char *engine;
	} runs[] = { { h1.get(), "e1" }, { h2.get(), "e2" } };

	g_strlcpy(h2->p.settings.self.zone, "z2",
		  sizeof(h2->p.settings.self.zone));
	add_member(*h1, MB_ENTRY, "h2", rp_port(&h2->p.rpc), "z2");
	add_member(*h2, MB_ENTRY, "h1", rp_port(&h1->p.rpc), "z1");
	for (auto &run : runs) {
		struct en_dispatch *d = dispatch(*run.host);
		uint64_t engine = px_id(run.engine);

		/* The entry must know the engine before it crashes. */
		ASSERT_TRUE(l.run_until(
			[&] { return en_load(d, engine)->incarnation == 7; }));
		ps_started(&d->poison, fingerprint(), engine, 7, ck_now_ms());
		mb_mark_answered(&run.host->members, MB_ENGINE, run.engine, 8,
				 ck_now_ms());
	}
	for (auto &run : runs)
		EXPECT_TRUE(l.run_until([&] { return refuses(*run.host); }));
}

// An entry lacks crash records after its own restart or a lost message; owners
// of the fingerprint resend them.
TEST_F(Peers, RestartedEntryReceivesKnownCrashingRequests)
{
	std::unique_ptr<Host> late;

	for (const char *engine : { "e1", "e2" })
		ps_peer_report(&dispatch(*h1)->poison, fingerprint(),
			       px_id(engine), 7, 0, ck_now_ms());
	ASSERT_TRUE(refuses(*h1));
	late.reset(new Host(l.loop, "h3", engines()));
	add_member(*h1, MB_ENTRY, "h3", rp_port(&late->p.rpc));
	EXPECT_TRUE(l.run_until([&] { return refuses(*late); }));
	late.reset();
}

} // namespace
