// The entry process and its peers: the index, answering or not, and other
// entries that are told of usage and of requests that crash engines.
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

// An index process that knows one engine to hold the whole prompt.
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
		know(*h1, MB_INDEX, "i1", rp_port(&index.rpc));
	}
	void TearDown() override
	{
		h1.reset();
		h2.reset();
	}
	std::vector<Upstreams> engines()
	{
		return { { MB_ENGINE, "e1", e1.port(), 7 },
			 { MB_ENGINE, "e2", e2.port(), 7 } };
	}
	static void know(Host &host, enum mb_role role, const char *name,
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
	Answer ask(Host &host, const std::string &body)
	{
		Answer a;

		caller.send(&a, host.port(), "POST", "/v1/completions", body);
		EXPECT_TRUE(l.run_until([&] { return a.is_done; }));
		return a;
	}
	// Of long_prompt, whose length is a whole number of pieces.
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

TEST_F(Peers, TheEngineThatHoldsThePrefixIsChosen)
{
	for (const char *holder : { "e1", "e2" }) {
		FakeServer &e = std::string(holder) == "e1" ? e1 : e2;
		int before = e.count("POST");

		index.holder = holder;
		for (int i = 0; i < 3; i++)
			EXPECT_EQ(ask(*h1, long_prompt).status, 200u);
		EXPECT_EQ(e.count("POST") - before, 3) << holder;
	}
	EXPECT_EQ(index.lookups, 6);
}

TEST_F(Peers, TheIndexIsToldOfEachPhase)
{
	index.holder = "e2";
	ask(*h1, long_prompt);
	ASSERT_TRUE(l.run_until([&] { return index.phases.size() == 3; }));
	EXPECT_EQ(index.phases,
		  (std::vector<bp_ix_phase>{ BP_IX_SENT, BP_IX_PREFILLED,
					     BP_IX_ENDED }));
	EXPECT_EQ(index.record_engines[0], px_id("e2"));
}

// An attempt that failed no longer counts as computing its prefix.
TEST_F(Peers, TheIndexIsToldOfAnAttemptThatFailed)
{
	index.holder = "e2";
	e2.on_request = [](struct hs_exchange *x) {
		send_whole(x, 503, "{\"error\":{\"message\":\"busy\"}}");
	};
	ask(*h1, long_prompt);
	ASSERT_TRUE(l.run_until([&] { return index.phases.size() == 5; }));
	EXPECT_EQ(index.phases, (std::vector<bp_ix_phase>{
					BP_IX_SENT, BP_IX_ENDED, BP_IX_SENT,
					BP_IX_PREFILLED, BP_IX_ENDED }));
	EXPECT_EQ(index.record_engines[1], px_id("e2"));
	EXPECT_EQ(index.record_engines[2], px_id("e1"));
}

TEST_F(Peers, WithoutTheIndexPlacementNeedsNoState)
{
	int64_t before_ms = ck_now_ms();

	index.is_silent = true;
	EXPECT_EQ(ask(*h1, long_prompt).status, 200u);
	EXPECT_EQ(index.lookups, 1);
	EXPECT_LT(ck_now_ms() - before_ms, 1000);
	EXPECT_EQ(ask(*h2, long_prompt).status, 200u);
}

TEST_F(Peers, UsageReachesTheOtherEntry)
{
	struct en_dispatch *d2 = dispatch(*h2);
	std::string id;
	auto hold = [](struct hs_exchange *) {};
	Answer a;

	know(*h1, MB_ENTRY, "h2", rp_port(&h2->p.rpc));
	know(*h2, MB_ENTRY, "h1", rp_port(&h1->p.rpc));
	e1.on_request = hold;
	e2.on_request = hold;
	caller.send(&a, h1->port(), "POST", "/v1/completions", long_prompt);
	ASSERT_TRUE(l.run_until([&] { return d2->limits._rows > 0; }));
}

// Two engines crash while only this request runs; then no entry runs it.
TEST_F(Peers, RequestThatCrashesEnginesIsGivenUpEverywhere)
{
	auto crash = [](struct hs_exchange *x) {
		hs_begin(x, 200, engine_headers);
		hs_abort(x);
	};

	know(*h1, MB_ENTRY, "h2", rp_port(&h2->p.rpc));
	e1.on_request = crash;
	e2.on_request = crash;
	EXPECT_EQ(ask(*h1, long_prompt).status, 502u);
	EXPECT_EQ(e1.count("POST"), 1);
	EXPECT_EQ(e2.count("POST"), 1);
	// Both are seen to have restarted.
	for (const char *name : { "e1", "e2" })
		mb_mark_answered(&h1->members, MB_ENGINE, name, 8, ck_now_ms());
	for (Host *host : { h1.get(), h2.get() }) {
		ASSERT_TRUE(l.run_until([&] {
			return ps_check(&dispatch(*host)->poison, fingerprint(),
					ck_now_ms())
				       .verdict == PS_REFUSE;
		}));
		Answer a = ask(*host, long_prompt);
		EXPECT_EQ(a.status, 422u);
		EXPECT_TRUE(has(a.body, "request_crashes_engines"));
	}
	EXPECT_EQ(e1.count("POST") + e2.count("POST"), 2);
}

// One engine ends under it at each of two entries, which are of two zones.
TEST_F(Peers, CrashesInSeveralZonesAddUp)
{
	struct {
		Host *host;
		const char *engine;
	} runs[] = { { h1.get(), "e1" }, { h2.get(), "e2" } };

	g_strlcpy(h2->p.settings.self.zone, "z2",
		  sizeof(h2->p.settings.self.zone));
	know(*h1, MB_ENTRY, "h2", rp_port(&h2->p.rpc), "z2");
	know(*h2, MB_ENTRY, "h1", rp_port(&h1->p.rpc), "z1");
	for (auto &run : runs) {
		struct en_dispatch *d = dispatch(*run.host);
		uint64_t engine = px_id(run.engine);

		/* The entry has seen the engine before it ends. */
		ASSERT_TRUE(l.run_until(
			[&] { return en_load(d, engine)->incarnation == 7; }));
		ps_started(&d->poison, fingerprint(), engine, 7, ck_now_ms());
		mb_mark_answered(&run.host->members, MB_ENGINE, run.engine, 8,
				 ck_now_ms());
	}
	for (auto &run : runs)
		EXPECT_TRUE(l.run_until([&] { return refuses(*run.host); }));
}

// It was lost with the process that knew it, or the message was.
TEST_F(Peers, AnEntryThatStartsAnewIsToldWhatCrashesEngines)
{
	std::unique_ptr<Host> late;

	for (const char *engine : { "e1", "e2" })
		ps_peer(&dispatch(*h1)->poison, fingerprint(), px_id(engine), 7,
			0, ck_now_ms());
	ASSERT_TRUE(refuses(*h1));
	late.reset(new Host(l.loop, "h3", engines()));
	know(*h1, MB_ENTRY, "h3", rp_port(&late->p.rpc));
	EXPECT_TRUE(l.run_until([&] { return refuses(*late); }));
	late.reset();
}

} // namespace
