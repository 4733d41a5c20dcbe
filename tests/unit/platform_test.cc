// The platform plug-ins: what each failure of the store tells the caller, and
// the budget. A small fake of the platform stands on the same loop.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include <json-c/json.h>

#include "kernel/ck.h"
#include "net/hs.h"
#include "platform/pf.h"
}

namespace
{

enum Fault { NONE, LOSE_ANSWER, SLOW, ANSWER_503, ANSWER_429, NOT_JSON };

struct Outcome {
	int calls = 0;
	st_code code = ST_OK;
	uint64_t revision = 0;
	std::map<std::string, std::string> rows;
	std::vector<pf_host> hosts;
	std::string data;
};

void OnTxn(void *arg, st_code code, uint64_t revision)
{
	auto *o = static_cast<Outcome *>(arg);

	o->calls++;
	o->code = code;
	o->revision = revision;
}

void OnRows(void *arg, st_code code, const pf_rows *rows)
{
	auto *o = static_cast<Outcome *>(arg);

	o->calls++;
	o->code = code;
	for (uint32_t i = 0; code == ST_OK && i < rows->count; i++)
		o->rows[rows->rows[i].key] = rows->rows[i].value;
	if (code == ST_OK)
		o->revision = rows->store_revision;
}

void OnHosts(void *arg, st_code code, const pf_host *hosts, uint32_t count)
{
	auto *o = static_cast<Outcome *>(arg);

	o->calls++;
	o->code = code;
	o->hosts.assign(hosts, hosts + count);
}

void OnObject(void *arg, st_code code, const void *data, uint64_t bytes)
{
	auto *o = static_cast<Outcome *>(arg);

	o->calls++;
	o->code = code;
	if (data)
		o->data.assign(static_cast<const char *>(data), bytes);
}

std::string Base64(const std::string &text)
{
	g_autofree char *out = g_base64_encode(
		reinterpret_cast<const guchar *>(text.data()), text.size());

	return out;
}

// One row "k" behind the wire format of etcd's gateway.
class Platform : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct hs_server server;
	struct pf_store store;
	Fault fault = NONE;
	uint64_t revision = 10;
	uint64_t row_revision = 0;
	int txns = 0;
	std::string last_body;
	std::string hosts_text = "[]";
	std::map<std::string, std::string> objects;

	void SetUp() override
	{
		hs_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.on_request = [](void *arg, hs_exchange *x) {
			static_cast<Platform *>(arg)->Answer(x);
		};
		desc.arg = this;
		ASSERT_EQ(hs_init(&server, &desc), ST_OK);
		Open("http", hs_port(&server), 0);
	}

	void Open(const char *kind, uint16_t port, uint32_t per_s)
	{
		std::string base = "http://127.0.0.1:" + std::to_string(port);
		std::string objects_url = base + "/bucket";
		std::string hosts_url = base + "/hosts";
		pf_desc desc = {};

		desc.loop = loop;
		desc.kind = kind;
		desc.tables_url = base.c_str();
		desc.objects_url = objects_url.c_str();
		desc.hosts_url = hosts_url.c_str();
		desc.reads_per_s = per_s;
		desc.writes_per_s = per_s;
		ASSERT_EQ(pf_init(&store, &desc), ST_OK);
	}

	void TearDown() override
	{
		pf_finish(&store);
		hs_finish(&server);
		ev_loop_destroy(loop);
	}

	void Until(const std::function<bool()> &condition)
	{
		int64_t end = ck_now_ms() + 10000;

		while (!condition() && ck_now_ms() < end)
			ev_run(loop, EVRUN_ONCE);
		ASSERT_TRUE(condition());
	}

	std::string RunTxn()
	{
		json_object *json = json_tokener_parse(last_body.c_str());
		json_object *compare = json_object_array_get_idx(
			json_object_object_get(json, "compare"), 0);
		const char *field = json_object_object_get_ex(
					    compare, "mod_revision", nullptr)
					    ? "mod_revision"
					    : "create_revision";
		uint64_t expected = std::stoull(json_object_get_string(
			json_object_object_get(compare, field)));
		bool holds = expected == row_revision;

		json_object_put(json);
		txns++;
		if (holds)
			row_revision = ++revision;
		return "{\"header\":{\"revision\":\"" +
		       std::to_string(revision) + "\"}" +
		       (holds ? ",\"succeeded\":true}" : "}");
	}

	std::string RunRange()
	{
		std::string kv = "{\"key\":\"" + Base64("k") +
				 "\",\"value\":\"" + Base64("v") +
				 "\",\"mod_revision\":\"" +
				 std::to_string(row_revision) + "\"}";

		return "{\"header\":{\"revision\":\"" +
		       std::to_string(revision) + "\"}" +
		       (row_revision ? ",\"kvs\":[" + kv + "]}" : "}");
	}

	std::string Body(hs_exchange *x)
	{
		last_body = x->body->str;
		if (!strcmp(x->path, "/v3/kv/txn"))
			return RunTxn();
		if (!strcmp(x->path, "/v3/kv/range"))
			return RunRange();
		return hosts_text;
	}

	void AnswerObject(hs_exchange *x)
	{
		std::string key = x->path;

		if (!strcmp(x->method, "PUT"))
			objects[key] = x->body->str;
		uint32_t status = objects.count(key) ? 200 : 404;
		hs_respond(x, status, nullptr, objects[key].c_str(),
			   objects[key].size());
	}

	void Answer(hs_exchange *x)
	{
		if (!strncmp(x->path, "/bucket/", 8))
			return AnswerObject(x);
		if (fault == ANSWER_429) {
			hs_respond(x, 429, nullptr, "", 0);
			return;
		}
		std::string body = Body(x);
		switch (fault) {
		case LOSE_ANSWER:
			hs_begin(x, 200, nullptr);
			hs_write(x, body.data(), body.size() / 2);
			hs_abort(x);
			return;
		case SLOW:
			return;
		case ANSWER_503:
			hs_respond(x, 503, nullptr, "", 0);
			return;
		case NOT_JSON:
			hs_respond(x, 200, nullptr, "oops", 4);
			return;
		default:
			hs_respond(x, 200, nullptr, body.data(), body.size());
		}
	}

	Outcome Txn(uint64_t check)
	{
		Outcome o;
		pf_check checks[] = { { "k", check } };
		pf_put puts[] = { { "k", "v" }, { "gone", nullptr } };
		struct pf_txn txn = { checks, 1, puts, 2, 300 };

		EXPECT_EQ(pf_txn(&store, &txn, OnTxn, &o), ST_OK);
		EXPECT_EQ(o.calls, 0) << "called back from within the call";
		Until([&] { return o.calls > 0; });
		return o;
	}

	Outcome Range(const char *prefix, uint64_t min_revision = 0)
	{
		Outcome o;
		struct pf_range range = {};

		range.prefix = prefix;
		range.min_revision = min_revision;
		range.timeout_ms = 300;
		EXPECT_EQ(pf_range(&store, &range, OnRows, &o), ST_OK);
		Until([&] { return o.calls > 0; });
		return o;
	}
};

TEST_F(Platform, EachFaultHasItsCodeForWritesAndReads)
{
	struct Case {
		Fault fault;
		st_code write;
		st_code read;
		int txns;
	} cases[] = {
		{ NONE, ST_OK, ST_OK, 1 },
		{ LOSE_ANSWER, ST_UNKNOWN, ST_UNAVAILABLE, 1 },
		{ SLOW, ST_UNKNOWN, ST_UNAVAILABLE, 1 },
		{ ANSWER_503, ST_UNKNOWN, ST_UNAVAILABLE, 1 },
		{ ANSWER_429, ST_UNAVAILABLE, ST_UNAVAILABLE, 0 },
		{ NOT_JSON, ST_UNKNOWN, ST_UNAVAILABLE, 1 },
	};

	for (const auto &c : cases) {
		row_revision = 0;
		txns = 0;
		fault = c.fault;
		EXPECT_EQ(Txn(0).code, c.write) << c.fault;
		EXPECT_EQ(txns, c.txns) << "a write is never repeated";
		EXPECT_EQ(Range("k").code, c.read) << c.fault;
	}
}

TEST_F(Platform, ADownPlatformTookNothing)
{
	uint16_t port = hs_port(&server);

	pf_finish(&store);
	hs_finish(&server);
	Open("http", port, 0);
	EXPECT_EQ(Txn(0).code, ST_UNAVAILABLE);
	EXPECT_EQ(Range("k").code, ST_UNAVAILABLE);
	hs_desc desc = {};
	desc.loop = loop;
	desc.address = "127.0.0.1";
	desc.on_request = [](void *, hs_exchange *) {};
	ASSERT_EQ(hs_init(&server, &desc), ST_OK);
}

TEST_F(Platform, ALostAnswerIsSettledByReadingBack)
{
	fault = LOSE_ANSWER;
	EXPECT_EQ(Txn(0).code, ST_UNKNOWN);
	fault = NONE;
	EXPECT_EQ(Range("").rows.count("k"), 1u);
	EXPECT_EQ(Txn(0).code, ST_CONFLICT);
	EXPECT_EQ(Txn(11).code, ST_OK);
}

TEST_F(Platform, RequestsAreThoseOfEtcd)
{
	Range("config/", 7);
	EXPECT_EQ(last_body, "{\"key\":\"" + Base64("config/") +
				     "\",\"range_end\":\"" + Base64("config0") +
				     "\",\"min_mod_revision\":\"7\"}");
	Txn(0);
	EXPECT_EQ(last_body,
		  "{\"compare\":[{\"result\":\"EQUAL\",\"target\":\"CREATE\","
		  "\"key\":\"" +
			  Base64("k") +
			  "\",\"create_revision\":\"0\"}],\"success\":["
			  "{\"request_put\":{\"key\":\"" +
			  Base64("k") + "\",\"value\":\"" + Base64("v") +
			  "\"}},{\"request_delete_range\":{\"key\":\"" +
			  Base64("gone") + "\"}}]}");
}

TEST_F(Platform, HostListEntriesThatAreWrongAreLeftOut)
{
	hosts_text =
		"[{\"targets\":[\"10.0.0.1:80\"],\"labels\":{\"name\":\"h1\","
		"\"kind\":\"entry\",\"zone\":\"z\",\"state\":\"leaving\","
		"\"control_rpc\":\"7003\"}},"
		"{\"targets\":[\"host:80\"],\"labels\":{\"name\":\"h2\","
		"\"kind\":\"entry\"}},"
		"{\"targets\":[\"10.0.0.1:80\"],\"labels\":{\"name\":\"h3\","
		"\"kind\":\"thing\"}}, 7]";
	Outcome o;
	ASSERT_EQ(pf_hosts(&store, OnHosts, &o), ST_OK);
	Until([&] { return o.calls > 0; });
	ASSERT_EQ(o.hosts.size(), 1u);
	EXPECT_STREQ(o.hosts[0].name, "h1");
	EXPECT_EQ(o.hosts[0].ipv4, 0x0a000001u);
	EXPECT_EQ(o.hosts[0].control_rpc_port, 7003);
	EXPECT_TRUE(o.hosts[0].is_leaving);
}

TEST_F(Platform, ObjectsAreKept)
{
	Outcome o;

	for (const char *kind : { "http", "embedded" }) {
		pf_finish(&store);
		Open(kind, hs_port(&server), 0);
		pf_object_get(&store, "o", OnObject, &o);
		Until([&] { return o.calls == 1; });
		EXPECT_EQ(o.code, ST_NOT_FOUND);
		pf_object_put(&store, "o", "data", 4, OnTxn, &o);
		Until([&] { return o.calls == 2; });
		EXPECT_EQ(o.code, ST_OK);
		pf_object_get(&store, "o", OnObject, &o);
		Until([&] { return o.calls == 3; });
		EXPECT_EQ(o.data, "data");
		o = Outcome();
	}
}

TEST_F(Platform, TheBudgetHoldsAndWaitingCallsExpireUnsent)
{
	const int kBurst = 10, kCalls = 30;
	std::vector<Outcome> outcomes(kCalls);
	pf_check check = { "k", 99 };
	struct pf_txn txn = { &check, 1, nullptr, 0, 450 };
	auto count = [&](st_code code) {
		int n = 0;
		for (const auto &o : outcomes)
			n += o.calls == 1 && o.code == code;
		return n;
	};

	pf_finish(&store);
	Open("http", hs_port(&server), kBurst);
	for (auto &o : outcomes)
		ASSERT_EQ(pf_txn(&store, &txn, OnTxn, &o), ST_OK);
	Until([&] {
		return count(ST_CONFLICT) + count(ST_UNAVAILABLE) == kCalls;
	});
	EXPECT_GE(txns, count(ST_CONFLICT));
	// The burst and what half a second allows, within the loop's steps.
	EXPECT_GE(txns, kBurst);
	EXPECT_LE(txns, kBurst + kBurst / 2);
}

TEST_F(Platform, TheEmbeddedTablesCompareAndSet)
{
	pf_finish(&store);
	Open("embedded", 1, 0);
	struct Case {
		uint64_t check;
		st_code code;
	} cases[] = {
		{ 5, ST_CONFLICT }, { 0, ST_OK },	{ 0, ST_CONFLICT },
		{ 2, ST_OK },	    { 2, ST_CONFLICT },
	};

	for (const auto &c : cases)
		EXPECT_EQ(Txn(c.check).code, c.code) << c.check;
	EXPECT_EQ(Range("").rows.size(), 1u);
	EXPECT_EQ(Range("k", 3).rows.size(), 1u);
	EXPECT_EQ(Range("k", 4).rows.size(), 0u);
	EXPECT_EQ(Range("other").rows.size(), 0u);
}

} // namespace
