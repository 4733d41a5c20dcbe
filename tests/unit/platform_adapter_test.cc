// Tests of the adapter's decoders and encoders, with the platform's messages.
#include <gtest/gtest.h>

#include <json-c/json.h>

#include <string>
#include <vector>

extern "C" {
#include "dialect/dl.h"
#include "kernel/kn_registry.h"
}

namespace
{

class Adapter : public testing::Test
{
      protected:
	const dl_dialect *dialect = static_cast<const dl_dialect *>(
		kn_plugin_find("dialect", "fleet"));
	struct h1_headers in, out;
	struct dl_request request = {};

	void SetUp() override
	{
		ASSERT_NE(dialect, nullptr);
		h1_headers_init(&in);
		h1_headers_init(&out);
	}

	void TearDown() override
	{
		h1_headers_finish(&in);
		h1_headers_finish(&out);
	}
};

TEST_F(Adapter, ReadsARequest)
{
	h1_headers_add(&in, "X-Attempt-Id", "9c41");
	h1_headers_add(&in, "Authorization", "bearer  key1");
	h1_headers_add(&in, "X-Model", "m");
	h1_headers_add(&in, "X-Token-Usage", "1460, 80");
	h1_headers_add(&in, "X-Prefix-Hash",
		       "5c1e07a2:800, 91bd3f06:410,e4:250");
	h1_headers_add(&in, "X-Deadline-Ms", "5000");
	h1_headers_add(&in, "Last-Event-Id", "12");
	h1_headers_add(&in, "Resumes", "77aa");
	h1_headers_add(&in, "X-Length-Hint", "33");
	dialect->read_request(&in, &request);
	EXPECT_STREQ(request.resumes, "77aa");
	EXPECT_STREQ(request.attempt, "9c41");
	EXPECT_STREQ(request.key, "key1");
	EXPECT_EQ(request.prompt_tokens, 1460u);
	EXPECT_EQ(request.max_output_tokens, 80u);
	EXPECT_EQ(request.expected_output_tokens, 33u);
	ASSERT_EQ(request.part_count, 3u);
	EXPECT_EQ(request.parts[0].id, 0x5c1e07a2u);
	EXPECT_EQ(request.parts[2].tokens, 250u);
	EXPECT_EQ(request.budget_ms, 5000);
	EXPECT_EQ(request.resume_after, 12);
}

TEST_F(Adapter, TreatsMalformedFieldsAsAbsent)
{
	h1_headers_add(&in, "Authorization", "Basic abc");
	h1_headers_add(&in, "X-Prefix-Hash", "zz:1,5c:2");
	dialect->read_request(&in, &request);
	EXPECT_EQ(request.attempt, nullptr);
	EXPECT_EQ(request.key, nullptr);
	EXPECT_EQ(request.part_count, 0u);
	EXPECT_EQ(request.budget_ms, -1);
	EXPECT_EQ(request.resume_after, -1);
	EXPECT_EQ(request.resumes, nullptr);
	h1_headers_add(&in, "Resumes", "");
	dialect->read_request(&in, &request);
	EXPECT_EQ(request.resumes, nullptr);
}

TEST_F(Adapter, ReplacesReservedFieldsFromTheCaller)
{
	static const char *const dropped[] = {
		"X-Tenant",
		"X-Cache-Salt",
		"X-Hold",
		"X-Pin-Ms",
		"Kv-From",
		"X-Kv-Backup",
		"Connection",
		"Transfer-Encoding",
		"X-Kv-Fetch",
		"X-Expect-Version",
		"X-Request-Priority",
		"Resumes",
	};
	struct dl_forward_fields send = {};

	for (const char *name : dropped)
		h1_headers_add(&in, name, "forged");
	h1_headers_add(&in, "Authorization", "Bearer secret");
	h1_headers_add(&in, "X-Attempt-Id", "9c41");
	h1_headers_add(&in, "X-Other", "kept");
	send.team = "t1";
	send.instance = "i-7";
	send.budget_ms = 700;
	send.priority = 2;
	send.weights = 5;
	send.resume_after = 3;
	dialect->write_request(&in, &send, &out);
	for (uint32_t i = 0; i < h1_headers_count(&out); i++) {
		EXPECT_STRNE(h1_headers_value(&out, i), "forged");
		EXPECT_STRNE(h1_headers_name(&out, i), "Authorization");
	}
	EXPECT_STREQ(h1_headers_get(&out, "X-Other"), "kept");
	EXPECT_STREQ(h1_headers_get(&out, "X-Attempt-Id"), "9c41");
	EXPECT_STREQ(h1_headers_get(&out, "X-Tenant"), "t1");
	EXPECT_STREQ(h1_headers_get(&out, "X-Expect-Instance"), "i-7");
	EXPECT_STREQ(h1_headers_get(&out, "X-Deadline-Ms"), "700");
	EXPECT_STREQ(h1_headers_get(&out, "X-Expect-Version"), "5");
	EXPECT_STREQ(h1_headers_get(&out, "Last-Event-Id"), "3");
}

// Another host admits and places the request itself, so it needs the caller's
// key and what the caller says of its stream.
TEST_F(Adapter, PassesACallersRequestOnToAnotherHost)
{
	static const char *const kept[] = { "Authorization", "X-Attempt-Id",
					    "Last-Event-Id", "Resumes",
					    "X-Token-Usage", "X-Prefix-Hash",
					    "X-Other",	     "Host" };

	for (const char *name : kept)
		h1_headers_add(&in, name, name);
	h1_headers_add(&in, "X-Deadline-Ms", "5000");
	h1_headers_add(&in, "Connection", "X-Hop");
	h1_headers_add(&in, "X-Hop", "dropped");
	h1_headers_add(&in, "Transfer-Encoding", "chunked");
	dialect->pass_request(&in, 700, &out);
	for (const char *name : kept)
		EXPECT_STREQ(h1_headers_get(&out, name), name);
	EXPECT_STREQ(h1_headers_get(&out, "X-Deadline-Ms"), "700");
	EXPECT_EQ(h1_headers_count(&out), G_N_ELEMENTS(kept) + 1);
}

TEST_F(Adapter, LeavesOutAFieldOfTheGateway)
{
	struct dl_forward_fields send = {};

	h1_headers_add(&in, "Balsampin-Via", "2 00");
	h1_headers_add(&in, "X-Other", "kept");
	send.budget_ms = -1;
	send.priority = -1;
	send.resume_after = -1;
	send.omitted = "balsampin-via";
	dialect->write_request(&in, &send, &out);
	EXPECT_EQ(h1_headers_count(&out), 1u);
	EXPECT_STREQ(h1_headers_get(&out, "X-Other"), "kept");
}

TEST_F(Adapter, DetectsRequestsThatDidNotRun)
{
	static const struct {
		uint32_t status;
		const char *name;
		bool has_not_run;
		bool is_signed;
	} cases[] = {
		{ 503, "X-Not-Executed", true, false },
		{ 421, "X-Instance-Id", true, false },
		{ 503, "X-Response-Stamp", false, true },
		{ 200, "X-Response-Stamp", false, true },
		{ 500, "Other", false, false },
	};

	for (const auto &c : cases) {
		struct dl_answer answer;

		h1_headers_clear(&in);
		h1_headers_add(&in, c.name, "1");
		dialect->read_answer(c.status, &in, &answer);
		EXPECT_EQ(answer.has_not_run, c.has_not_run) << c.name;
		EXPECT_EQ(answer.is_signed, c.is_signed) << c.name;
	}
}

TEST_F(Adapter, ReadsWhatAnUpstreamSaysOfItself)
{
	static const struct {
		uint32_t status;
		std::vector<std::pair<const char *, const char *>> fields;
		bool is_leaving;
		int64_t pause_ms;
		bool is_bad;
	} cases[] = {
		{ 200, {}, false, 0, false },
		{ 200, { { "Server-Leaving", "1" } }, true, 0, false },
		{ 500, { { "server-leaving", "1" } }, true, 0, false },
		{ 200, { { "Server-Leaving", "yes" } }, false, 0, true },
		{ 200, { { "Server-Leaving", "" } }, false, 0, true },
		{ 503, { { "Retry-After", "3" } }, false, 3000, false },
		{ 503, { { "Retry-After", "0.25" } }, false, 250, false },
		{ 503, { { "Retry-After", "0" } }, false, 0, false },
		{ 200, { { "Retry-After", "3" } }, false, 0, false },
		{ 503, { { "Retry-After", "-3" } }, false, 0, true },
		{ 503, { { "Retry-After", "" } }, false, 0, true },
		{ 503, { { "Retry-After", "soon" } }, false, 0, true },
		{ 503, { { "Retry-After", "3s" } }, false, 0, true },
		{ 503, { { "Retry-After", "nan" } }, false, 0, true },
		{ 503, { { "Retry-After", "1e9" } }, false, 0, true },
		{ 503, { { "Retry-After", "86400" } }, false, 86400000, false },
		{ 503,
		  { { "Retry-After", "3" }, { "Retry-After", "3" } },
		  false,
		  3000,
		  false },
		{ 503,
		  { { "Retry-After", "3" }, { "Retry-After", "4" } },
		  false,
		  0,
		  true },
		{ 503,
		  { { "Retry-After", "-1" }, { "Server-Leaving", "1" } },
		  true,
		  0,
		  true },
	};

	for (const auto &c : cases) {
		struct dl_answer answer;
		std::string what;

		h1_headers_clear(&in);
		for (const auto &field : c.fields) {
			h1_headers_add(&in, field.first, field.second);
			what += std::string(field.first) + "=" + field.second +
				" ";
		}
		dialect->read_answer(c.status, &in, &answer);
		EXPECT_EQ(answer.is_leaving, c.is_leaving) << what;
		EXPECT_EQ(answer.pause_ms, c.pause_ms) << what;
		EXPECT_EQ(answer.has_bad_notice, c.is_bad) << what;
	}
}

TEST_F(Adapter, ReadsHowManyRejectionsAnUpstreamBears)
{
	static const struct {
		const char *value;
		uint32_t per_s;
		bool is_bad;
	} cases[] = {
		{ nullptr, 0, false }, { "1", 1, false },
		{ "40", 40, false },   { "0", 0, true },
		{ "-4", 0, true },     { "", 0, true },
		{ "4.5", 0, true },    { "many", 0, true },
		{ "1e9", 0, true },    { "4294967296", 0, true },
	};

	for (const auto &c : cases) {
		struct dl_answer answer;

		h1_headers_clear(&in);
		if (c.value)
			h1_headers_add(&in, "server-brittle", c.value);
		dialect->read_answer(200, &in, &answer);
		EXPECT_EQ(answer.rejections_per_s, c.per_s) << c.value;
		EXPECT_EQ(answer.has_bad_notice, c.is_bad) << c.value;
	}
}

// "seq" and "version" occur at several levels, with a different meaning at
// each.
TEST_F(Adapter, ReadsAnEngineAndItsReport)
{
	const std::string entry =
		"{\"service\":\"s\",\"address\":\"10.128.0.9:8080\","
		"\"zone\":\"z\",\"version\":\"v1\",\"slots\":128,"
		"\"state\":\"draining\",\"cold_remaining_ms\":5,\"born\":99,"
		"\"models\":[{\"name\":\"m\",\"version\":3}],\"seq\":4}";
	const std::string text =
		"{\"busy\":true,\"seq\":2,\"waiting\":1,\"running\":12,"
		"\"born\":99,\"models\":[{\"name\":\"m\",\"version\":3}]}";
	struct dl_engine engine;
	struct dl_report report;

	ASSERT_EQ(dialect->decode_engine("i-7", entry.data(), entry.size(),
					 &engine),
		  ST_OK);
	EXPECT_STREQ(engine.id, "i-7");
	EXPECT_EQ(engine.ipv4, 0x0a800009u);
	EXPECT_EQ(engine.port, 8080);
	EXPECT_TRUE(engine.is_draining);
	EXPECT_EQ(engine.weights, 3u);
	EXPECT_EQ(engine.started_ms, 99);
	EXPECT_STREQ(engine.build, "v1");
	ASSERT_EQ(dialect->decode_report(text.data(), text.size(), &report),
		  ST_OK);
	EXPECT_EQ(report.orders, 2u);
	EXPECT_TRUE(report.is_busy);
	EXPECT_EQ(report.weights, 3u);
}

TEST_F(Adapter, RejectsMalformedEngineEntries)
{
	static const char *const broken[] = {
		"",
		"{",
		"[]",
		"{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"state\":\"asleep\"}",
		"{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:99999\",\"zone\":\"z\","
		"\"state\":\"ready\"}",
	};
	struct dl_engine engine;

	for (const char *text : broken)
		EXPECT_NE(dialect->decode_engine("i", text, strlen(text),
						 &engine),
			  ST_OK)
			<< text;
	EXPECT_NE(dialect->decode_engine("i", nullptr, 0, &engine), ST_OK);
}

// Entries of another writer: a field that is sound but for one value.
TEST_F(Adapter, RejectsEngineEntriesWithValuesOutOfRange)
{
	static const struct {
		const char *field;
		bool is_valid;
	} cases[] = {
		{ "\"slots\":128", true },
		{ "\"slots\":0", true },
		{ "\"slots\":1e300", false },
		{ "\"slots\":-1", false },
		{ "\"slots\":4294967296", false },
		{ "\"slots\":NaN", false },
		{ "\"slots\":\"128\"", false },
		{ "\"slots\":[[[[[[[[8]]]]]]]]", false },
		{ "\"born\":1700000000000", true },
		{ "\"born\":123456789012345678901234567890", false },
		{ "\"born\":-5", false },
		{ "\"cold_remaining_ms\":1e18", false },
		{ "\"models\":{}", false },
		{ "\"models\":[]", true },
		{ "\"models\":[7]", false },
		{ "\"models\":[{\"name\":\"m\",\"version\":2}]", true },
		{ "\"models\":[{\"name\":\"m\",\"version\":1e40}]", false },
		{ "\"models\":[{\"name\":3,\"version\":1}]", false },
		{ "\"other\":[{}]", true },
	};
	struct dl_engine engine;

	for (const auto &c : cases) {
		std::string text = std::string("{\"service\":\"s\",\"address\":"
					       "\"1.2.3.4:5\",\"zone\":\"z\","
					       "\"state\":\"ready\",") +
				   c.field + "}";

		EXPECT_EQ(dialect->decode_engine("i", text.data(), text.size(),
						 &engine) == ST_OK,
			  c.is_valid)
			<< c.field;
	}
}

// An entry whose build could be taken for another one would join streams.
TEST_F(Adapter, ReadsTheBuildOfAnEngine)
{
	const std::string most(DL_ID_BYTES - 1, 'v');
	const struct {
		std::string field;
		const char *build; /* NULL: the entry is refused */
	} cases[] = {
		{ "", "" },
		{ ",\"version\":\"v1.2\"", "v1.2" },
		{ ",\"version\":\"\"", "" },
		{ ",\"version\":7", "7" },
		{ ",\"version\":1.20", "1.20" },
		{ ",\"version\":\"" + most + "\"", most.c_str() },
		{ ",\"version\":\"" + most + "v\"", nullptr },
		{ ",\"version\":null", nullptr },
		{ ",\"version\":true", nullptr },
		{ ",\"version\":[\"v1\"]", nullptr },
		{ ",\"version\":{\"v\":1}", nullptr },
		{ ",\"models\":[{\"name\":\"m\",\"version\":2}]", "" },
	};
	struct dl_engine engine;

	for (const auto &c : cases) {
		std::string text = "{\"service\":\"s\",\"address\":"
				   "\"1.2.3.4:5\",\"zone\":\"z\","
				   "\"state\":\"ready\"" +
				   c.field + "}";
		bool is_valid =
			dialect->decode_engine("i", text.data(), text.size(),
					       &engine) == ST_OK;

		ASSERT_EQ(is_valid, c.build != nullptr) << c.field;
		if (c.build) {
			EXPECT_STREQ(engine.build, c.build) << c.field;
		}
	}
}

TEST_F(Adapter, ReadsTheConfiguration)
{
	const std::string text =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"prefix\":\"/p/\",\"kind\":\"streaming\",\"timeout_ms\":5000,"
		"\"target_latency_ms\":800,\"priority\":1,\"traffic_split\":["
		"{\"service\":\"a\",\"weight\":90},{\"service\":\"b\","
		"\"weight\":10}],\"max_attempts\":2,\"resumable\":true,"
		"\"gap_aim_ms\":400},{\"host\":\"h\",\"prefix\":\"/q/\","
		"\"kind\":\"unheard\",\"service\":\"a\"}],\"services\":["
		"{\"name\":\"a\",\"max_connections\":630,\"engine\":{\"slots\":"
		"128,\"kv_capacity_tokens\":88566}},{\"name\":\"k\","
		"\"kv_store_addr\":\"172.20.0.2:8781\",\"zone\":\"z\"}],"
		"\"limits\":{\"max_body_bytes\":99},\"tenants\":[{\"name\":"
		"\"t\",\"api_keys\":[\"k1\",7,\"k2\"],\"priority\":1,"
		"\"isolated\":true}]}";
	struct fd_list findings;

	fd_init(&findings);
	struct ca_catalog *catalog =
		dialect->decode_config(text.data(), text.size(), &findings);
	ASSERT_NE(catalog, nullptr);
	EXPECT_EQ(catalog->version, 7u);
	EXPECT_EQ(catalog->limits.max_body_bytes, 99u);
	const struct ca_route *route = ca_find_route(catalog, "h", "/p/x");
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(route->kind, CA_STREAM);
	EXPECT_EQ(route->max_sends, 2u);
	EXPECT_EQ(route->split_count, 2u);
	EXPECT_TRUE(route->is_resumable);
	EXPECT_TRUE(route->splits[0].service->is_model);
	EXPECT_STREQ(ca_find_team(catalog, "k2")->name, "t");
	EXPECT_TRUE(ca_find_team(catalog, "k1")->is_isolated);
	EXPECT_STREQ(ca_find_store(catalog)->store_address, "172.20.0.2:8781");
	/* Each invalid part is reported by its path; the rest is accepted. */
	ASSERT_EQ(findings.count, 2u);
	EXPECT_STREQ(findings.items[0].place, "/routes/1");
	EXPECT_STREQ(findings.items[1].place, "/tenants/0/api_keys/1");
	EXPECT_EQ(ca_find_route(catalog, "h", "/q/x"), nullptr);
	ca_catalog_unref(catalog);
	fd_finish(&findings);
}

// A cap that can't be read is a finding, and the last valid one stays in force;
// it must not become no cap, or a cap of another size.
TEST_F(Adapter, ReadsCapsOfTeams)
{
	static const struct {
		const char *members;
		uint32_t findings;
		double per_s;
		int64_t burst;
		enum ca_unit unit;
		int64_t plain_cost;
	} cases[] = {
		{ "", 0, 0, 0, CA_REQUESTS, 0 },
		{ ",\"rate_per_s\":0", 0, 0, 0, CA_REQUESTS, 0 },
		{ ",\"rate_per_s\":50,\"burst\":100", 0, 50, 100, CA_REQUESTS,
		  0 },
		{ ",\"rate_per_s\":0.5,\"burst\":3,\"unit\":\"requests\"", 0,
		  0.5, 3, CA_REQUESTS, 0 },
		{ ",\"rate_per_s\":700000,\"burst\":1400000,\"unit\":"
		  "\"tokens\",\"plain_tokens\":20",
		  0, 700000, 1400000, CA_TOKENS, 20 },
		/* The rest keeps the cap of the version before: 7 and 9. */
		{ ",\"rate_per_s\":-1", 1, 7, 9, CA_TOKENS, 5 },
		{ ",\"rate_per_s\":\"50\"", 1, 7, 9, CA_TOKENS, 5 },
		{ ",\"rate_per_s\":NaN", 1, 7, 9, CA_TOKENS, 5 },
		{ ",\"rate_per_s\":1e300", 1, 7, 9, CA_TOKENS, 5 },
		{ ",\"rate_per_s\":null", 1, 7, 9, CA_TOKENS, 5 },
		{ ",\"rate_per_s\":50,\"burst\":-100", 1, 7, 9, CA_TOKENS, 5 },
		{ ",\"rate_per_s\":50,\"plain_tokens\":[]", 1, 7, 9, CA_TOKENS,
		  5 },
		{ ",\"rate_per_s\":50,\"unit\":\"bytes\"", 1, 7, 9, CA_TOKENS,
		  5 },
		{ ",\"rate_per_s\":50,\"unit\":3", 1, 7, 9, CA_TOKENS, 5 },
	};
	struct ca_catalog *before = ca_catalog_new(1);
	struct ca_team *last = ca_add_team(before, "t");

	last->cap_per_s = 7;
	last->cap_burst = 9;
	last->cap_unit = CA_TOKENS;
	last->cap_plain_cost = 5;
	for (const auto &c : cases) {
		std::string text = std::string("{\"version\":2,\"routes\":[],"
					       "\"tenants\":[{\"name\":\"t\"") +
				   c.members + "}]}";
		struct fd_list findings;

		fd_init(&findings);
		struct ca_catalog *catalog = dialect->decode_config(
			text.data(), text.size(), &findings);
		ASSERT_NE(catalog, nullptr) << text;
		ca_keep_caps(catalog, before);
		const struct ca_team *team = ca_team_at(catalog, 0);
		ASSERT_NE(team, nullptr);
		EXPECT_EQ(ca_team_at(catalog, 1), nullptr);
		EXPECT_EQ(findings.count, c.findings) << text;
		if (findings.count) {
			EXPECT_TRUE(g_str_has_prefix(findings.items[0].place,
						     "/tenants/0/"));
			EXPECT_STREQ(findings.items[0].rule->name, "bad_cap");
		}
		EXPECT_EQ(team->cap_per_s, c.per_s) << text;
		EXPECT_EQ(team->cap_burst, c.burst) << text;
		EXPECT_EQ(team->cap_unit, c.unit) << text;
		EXPECT_EQ(team->cap_plain_cost, c.plain_cost) << text;
		ca_keep_caps(catalog, nullptr);
		ca_catalog_unref(catalog);
		fd_finish(&findings);
	}
	ca_catalog_unref(before);
}

TEST_F(Adapter, RejectsMalformedConfiguration)
{
	static const char *const broken[] = { "", "{}", "[1]",
					      "{\"version\":1}",
					      "{\"version\":1,\"routes\":7}" };

	for (const char *text : broken) {
		struct fd_list findings;

		fd_init(&findings);
		EXPECT_EQ(dialect->decode_config(text, strlen(text), &findings),
			  nullptr)
			<< text;
		EXPECT_EQ(findings.count, 1u);
		fd_finish(&findings);
	}
}

TEST_F(Adapter, EncodesOrderWithPrecondition)
{
	struct dl_order order = { "m", 5, "h1", 41, 2, DL_FINISH_RUNS };
	char *text = dialect->encode_order(&order);
	struct json_object *json = json_tokener_parse(text);
	struct json_object *value;

	ASSERT_NE(json, nullptr);
	static const struct {
		const char *name;
		const char *text;
	} fields[] = { { "operation", "version" }, { "model", "m" },
		       { "version", "5" },	   { "mode", "queue" },
		       { "holder", "h1" },	   { "fence", "41" },
		       { "precondition", "2" } };
	for (const auto &f : fields) {
		ASSERT_TRUE(json_object_object_get_ex(json, f.name, &value));
		EXPECT_STREQ(json_object_get_string(value), f.text);
	}
	json_object_put(json);
	g_free(text);
}

} // namespace
