// Tests of `balsampin ctl check`: rules, differences, exit codes, output, and
// that it never accepts what a host refuses or ignores.
#include <gtest/gtest.h>

#include <json-c/json.h>
#include <json-c/json_pointer.h>
#include <sysexits.h>

#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "catalog/cv.h"
#include "ctl/ctl_check.h"
#include "dialect/dl.h"
#include "kernel/kn_registry.h"
}

namespace
{

const char base_text[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"drafts\",\"host\":\"h\",\"prefix\":\"/drafts/\","
	"\"kind\":\"streaming\",\"timeout_ms\":60000,"
	"\"target_latency_ms\":800,\"gap_aim_ms\":400,\"max_attempts\":3,"
	"\"priority\":1,\"public\":true,\"resumable\":true,"
	"\"traffic_split\":[{\"service\":\"a\",\"weight\":90},"
	"{\"service\":\"b\",\"weight\":10}]},"
	"{\"name\":\"old\",\"host\":\"h\",\"prefix\":\"/old/\","
	"\"kind\":\"idempotent\",\"timeout_ms\":5000,\"max_attempts\":2,"
	"\"service\":\"c\"}],"
	"\"services\":["
	"{\"name\":\"a\",\"max_connections\":630,\"engine\":"
	"{\"slots\":128,\"kv_capacity_tokens\":88566}},"
	"{\"name\":\"b\",\"max_connections\":630,\"engine\":"
	"{\"slots\":128,\"kv_capacity_tokens\":88566}},"
	"{\"name\":\"c\",\"max_connections\":64},"
	"{\"name\":\"k\",\"kv_store_addr\":\"10.0.0.1:1\",\"zone\":\"z\"}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":["
	"{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"
	"\"isolated\":true},"
	"{\"name\":\"u\",\"api_keys\":[\"k3\"]}]}";

// A member of the base and the JSON that replaces it; "" removes it.
struct Edit {
	std::string path;
	std::string json;
};

void Remove(json_object *root, const std::string &path)
{
	size_t slash = path.rfind('/');
	std::string name = path.substr(slash + 1);
	json_object *parent = root;

	if (slash) {
		ASSERT_EQ(json_pointer_get(root, path.substr(0, slash).c_str(),
					   &parent),
			  0)
			<< path;
	}
	if (json_object_is_type(parent, json_type_array))
		json_object_array_del_idx(parent, std::stoul(name), 1);
	else
		json_object_object_del(parent, name.c_str());
}

std::string Edited(const std::vector<Edit> &edits)
{
	json_object *root = json_tokener_parse(base_text);

	for (const Edit &e : edits) {
		if (e.json.empty())
			Remove(root, e.path);
		else
			EXPECT_EQ(json_pointer_set(
					  &root, e.path.c_str(),
					  json_tokener_parse(e.json.c_str())),
				  0)
				<< e.path;
	}
	std::string text = json_object_to_json_string(root);
	json_object_put(root);
	return text;
}

class Check : public testing::Test
{
      protected:
	const dl_dialect *dialect = static_cast<const dl_dialect *>(
		kn_plugin_find("dialect", "fleet"));
	struct fd_list findings;
	std::string directory, out, err;

	void SetUp() override
	{
		char path[] = "/tmp/check_test.XXXXXX";

		ASSERT_NE(dialect, nullptr);
		ASSERT_NE(mkdtemp(path), nullptr);
		directory = path;
		fd_init(&findings);
	}

	void TearDown() override
	{
		fd_finish(&findings);
		for (const char *name : { "/new", "/old" })
			remove((directory + name).c_str());
		remove(directory.c_str());
	}

	ca_catalog *Decode(const std::string &text)
	{
		fd_finish(&findings);
		return dialect->decode_config(text.data(), text.size(),
					      &findings);
	}

	std::string File(const char *name, const std::string &text)
	{
		std::string path = directory + name;
		FILE *file = fopen(path.c_str(), "w");

		fwrite(text.data(), 1, text.size(), file);
		fclose(file);
		return path;
	}

	int RunFiles(const std::string &file, const char *against = nullptr,
		     bool is_json = false)
	{
		char *out_text = nullptr, *err_text = nullptr;
		size_t out_bytes, err_bytes;
		ctl_check_desc desc = { file.c_str(), against, is_json,
					open_memstream(&out_text, &out_bytes),
					open_memstream(&err_text, &err_bytes) };
		int code = ctl_check(&desc);

		fclose(desc.out);
		fclose(desc.err);
		out.assign(out_text, out_bytes);
		err.assign(err_text, err_bytes);
		free(out_text);
		free(err_text);
		return code;
	}

	int Run(const std::string &text)
	{
		return RunFiles(File("/new", text));
	}

	// "PLACE RULE" of each finding, by the functions that the command
	// calls.
	std::string Rules(const std::string &text)
	{
		ca_catalog *c = Decode(text);
		cv_host host = { CV_MEMORY_MB };
		std::string rules;

		if (c)
			cv_check(c, dialect->config_fields, &host, &findings);
		ca_catalog_unref(c);
		for (uint32_t i = 0; i < findings.count; i++)
			rules += std::string(i ? ", " : "") +
				 findings.items[i].place + " " +
				 findings.items[i].rule->name;
		return rules;
	}

	std::string Changes(const std::string &from, const std::string &to)
	{
		ca_catalog *before = Decode(from), *after = Decode(to);
		GPtrArray *list =
			cv_diff(before, after, dialect->config_fields);
		std::string text;

		for (uint32_t i = 0; i < list->len; i++) {
			auto *c = static_cast<cv_change *>(list->pdata[i]);

			text += std::string(i ? "; " : "") +
				(c->takes_away ? "-" : "") +
				cv_subject_name(c->subject) + " " + c->name +
				"|" + (c->field ? c->field : "") + "|" +
				(c->before ? c->before : "none") + "|" +
				(c->after ? c->after : "none");
		}
		g_ptr_array_unref(list);
		ca_catalog_unref(before);
		ca_catalog_unref(after);
		return text;
	}
};

// Guards against rules that miss their case, report another place, or have
// another severity than documented.
TEST_F(Check, RulesAndExitCodes)
{
	static const struct {
		std::vector<Edit> edits;
		const char *rules;
		int exit_code;
	} cases[] = {
		{ {}, "", 0 },
		/* What a host refuses or ignores. */
		{ { { "/version", "" } }, "/ bad_root", 2 },
		{ { { "/version", "-1" } }, "/ bad_root", 2 },
		{ { { "/version", "1e300" } }, "/ bad_root", 2 },
		{ { { "/routes", "{}" } }, "/ bad_root", 2 },
		{ { { "/routes/1/kind", "\"twice\"" } },
		  "/routes/1 bad_entry, /services/2 unused_service",
		  2 },
		{ { { "/routes/1", "7" } },
		  "/routes/1 bad_entry, /services/2 unused_service",
		  2 },
		{ { { "/routes/1/timeout_ms", "\"5s\"" } },
		  "/routes/1/timeout_ms bad_type",
		  2 },
		{ { { "/routes/1/timeout_ms", "-1" } },
		  "/routes/1/timeout_ms out_of_range",
		  2 },
		{ { { "/routes/1/max_attempts", "4294967296" } },
		  "/routes/1/max_attempts out_of_range",
		  2 },
		{ { { "/routes/1/timeout_ms", "null" } }, "", 0 },
		{ { { "/routes/0/public", "1" } },
		  "/routes/0/public bad_type",
		  2 },
		{ { { "/routes/0/traffic_split/1/weight", "-1" } },
		  "/routes/0/traffic_split/1/weight out_of_range, "
		  "/services/1 unused_service",
		  2 },
		{ { { "/routes/0/traffic_split/1/service", "" } },
		  "/routes/0/traffic_split/1 bad_entry, "
		  "/services/1 unused_service",
		  2 },
		{ { { "/routes/0/traffic_split/0/weight", "0" },
		    { "/routes/0/traffic_split/1/weight", "0" } },
		  "/routes/0 no_service, /services/0 unused_service, "
		  "/services/1 unused_service",
		  2 },
		{ { { "/routes/1/service", "" } },
		  "/routes/1 no_service, /services/2 unused_service",
		  2 },
		{ { { "/services/2/name", "7" } },
		  "/services/2 bad_entry, /routes/1 unknown_service",
		  2 },
		{ { { "/services/2/name", "\"b\"" } },
		  "/services/2 service_twice, /routes/1 unknown_service",
		  2 },
		{ { { "/services/0/engine", "[]" } },
		  "/services/0/engine bad_type",
		  2 },
		{ { { "/services/0/engine/slots", "\"8\"" } },
		  "/services/0/engine/slots bad_type",
		  2 },
		{ { { "/limits", "[]" } }, "/limits bad_type", 2 },
		{ { { "/limits/max_body_bytes", "-1" } },
		  "/limits/max_body_bytes out_of_range",
		  2 },
		{ { { "/tenants", "{}" } },
		  "/tenants bad_type, / no_teams",
		  2 },
		{ { { "/tenants/1/name", "" } }, "/tenants/1 bad_entry", 2 },
		{ { { "/tenants/1/api_keys/0", "7" } },
		  "/tenants/1/api_keys/0 bad_type, "
		  "/tenants/1 team_without_key",
		  2 },
		{ { { "/tenants/1/api_keys/0", "\"k1\"" } },
		  "/tenants/1/api_keys/0 key_twice",
		  2 },
		/* A key twice in one team takes nothing away. */
		{ { { "/tenants/0/api_keys/1", "\"k1\"" } }, "", 0 },
		/* Entries that never match. */
		{ { { "/routes", "[]" } },
		  "/ no_routes, /services/0 unused_service, "
		  "/services/1 unused_service, /services/2 unused_service",
		  1 },
		{ { { "/routes/1/prefix", "\"/drafts/\"" } },
		  "/routes/1 shadowed_route",
		  1 },
		{ { { "/routes/1/prefix", "\"/drafts/\"" },
		    { "/routes/1/host", "\"H\"" } },
		  "/routes/1 shadowed_route",
		  1 },
		{ { { "/routes/1/prefix", "\"/drafts/old/\"" } }, "", 0 },
		{ { { "/routes/1/prefix", "\"old/\"" } },
		  "/routes/1 unreachable_route",
		  1 },
		{ { { "/routes/1/prefix", "\"/old?a=\"" } },
		  "/routes/1 unreachable_route",
		  1 },
		{ { { "/routes/1/host", "\"h:8080\"" } },
		  "/routes/1 unreachable_route",
		  1 },
		{ { { "/services/2", "" } }, "/routes/1 unknown_service", 1 },
		{ { { "/services/2/name", "\"d\"" } },
		  "/routes/1 unknown_service, /services/2 unused_service",
		  1 },
		{ { { "/services/2/kv_store_addr", "\"10.0.0.2:1\"" } },
		  "/services/3 second_store",
		  1 },
		{ { { "/tenants/1/api_keys", "[]" } },
		  "/tenants/1 team_without_key",
		  1 },
		{ { { "/tenants/1/api_keys", "" } },
		  "/tenants/1 team_without_key",
		  1 },
		{ { { "/tenants/1/name", "\"t\"" } },
		  "/tenants/1 team_twice",
		  1 },
		{ { { "/tenants", "[]" } }, "/ no_teams", 0 },
		/* Limits that contradict each other. */
		{ { { "/routes/0/timeout_ms", "799" } },
		  "/routes/0/timeout_ms timeout_below_target",
		  1 },
		{ { { "/routes/0/timeout_ms", "800" } }, "", 0 },
		{ { { "/routes/0/timeout_ms", "0" } }, "", 0 },
		{ { { "/routes/1/gap_aim_ms", "400" } },
		  "/routes/1/gap_aim_ms gap_without_stream",
		  1 },
		{ { { "/routes/1/resumable", "true" } },
		  "/routes/1/resumable resumable_without_stream",
		  1 },
		{ { { "/routes/0/max_attempts", "1" } },
		  "/routes/0/resumable resumable_one_send",
		  1 },
		{ { { "/routes/1/max_attempts", "4" } }, "", 0 },
		{ { { "/routes/1/max_attempts", "5" } },
		  "/routes/1/max_attempts too_many_sends",
		  1 },
		{ { { "/routes/1/kind", "\"non_idempotent\"" } },
		  "/routes/1/max_attempts sends_at_most_once",
		  0 },
		{ { { "/routes/0/resumable", "false" } },
		  "/routes/0/max_attempts sends_at_most_once",
		  0 },
		{ { { "/limits/max_body_bytes", "23068672" } }, "", 0 },
		{ { { "/limits/max_body_bytes", "23068673" } },
		  "/limits/max_body_bytes over_memory",
		  1 },
		{ { { "/limits/max_header_bytes", "23068673" } },
		  "/limits/max_header_bytes over_memory",
		  1 },
		{ { { "/limits/idle_timeout_ms", "2999" } },
		  "/limits/idle_timeout_ms idle_below_header",
		  1 },
		/* A default counts as well: 60 s without a request. */
		{ { { "/limits/header_timeout_ms", "60001" },
		    { "/limits/idle_timeout_ms", "" } },
		  "/limits/idle_timeout_ms idle_below_header",
		  1 },
		/* Members that no host reads. */
		{ { { "/routes/0/timout_ms", "5" } },
		  "/routes/0 unknown_member",
		  0 },
		{ { { "/extra", "5" } }, "/ unknown_member", 0 },
	};

	for (const auto &c : cases) {
		std::string text = Edited(c.edits);

		EXPECT_EQ(Rules(text), c.rules) << text;
		EXPECT_EQ(Run(text), c.exit_code) << text << out;
	}
}

// Guards against a ninth split that a host drops without a word.
TEST_F(Check, SplitsOverTheMaximumAreErrors)
{
	std::string splits;

	for (int i = 0; i < CA_MAX_SPLITS + 1; i++)
		splits += std::string(i ? "," : "") +
			  "{\"service\":\"a\",\"weight\":1}";
	EXPECT_EQ(Rules(Edited({ { "/routes/0/traffic_split",
				   "[" + splits + "]" } })),
		  "/routes/0/traffic_split/8 too_many_splits, "
		  "/services/1 unused_service");
}

// Guards against text that is no configuration at all.
TEST_F(Check, TextsThatAreNoConfiguration)
{
	const std::string base = base_text;
	const struct {
		std::string text;
		const char *rules;
		int exit_code;
	} cases[] = {
		{ "", "/ not_json", 2 },
		{ "{", "/ not_json", 2 },
		{ "version: 7", "/ not_json", 2 },
		{ base.substr(0, base.size() - 1), "/ not_json", 2 },
		{ std::string("\0\1\2", 3), "/ not_json", 2 },
		{ std::string(64, '['), "/ not_json", 2 },
		{ "[1]", "/ bad_root", 2 },
		{ "{\"version\":NaN,\"routes\":[]}", "/ bad_root", 2 },
		{ base + " \n", "", 0 },
		{ base + "x", "/ trailing_text", 2 },
		{ base + base, "/ trailing_text", 2 },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(Rules(c.text), c.rules) << c.text;
		EXPECT_EQ(Run(c.text), c.exit_code) << c.text;
	}
	EXPECT_EQ(Run(std::string(CTL_MAX_CONFIG_BYTES + 1, ' ')), 2);
	EXPECT_NE(out.find("too_large"), std::string::npos) << out;
	EXPECT_EQ(RunFiles(directory + "/none"), EX_NOINPUT);
	EXPECT_NE(err.find("No such file"), std::string::npos) << err;
	EXPECT_EQ(RunFiles(directory), EX_NOINPUT);
}

// Guards against wrong or missing differences, and against losses that are not
// marked. Keys must not be printed.
TEST_F(Check, Differences)
{
	static const struct {
		std::vector<Edit> edits;
		const char *changes;
	} cases[] = {
		{ {}, "" },
		{ { { "/version", "8" } }, "version ||7|8" },
		{ { { "/routes/1", "" } },
		  "-route h /old/||idempotent to c:1|none" },
		{ { { "/routes/1/prefix", "\"/new/\"" } },
		  "-route h /old/||idempotent to c:1|none; "
		  "route h /new/||none|idempotent to c:1" },
		{ { { "/routes/0/timeout_ms", "50000" } },
		  "-route h /drafts/|timeout_ms|60000|50000" },
		{ { { "/routes/0/timeout_ms", "" } },
		  "route h /drafts/|timeout_ms|60000|0" },
		{ { { "/routes/0/max_attempts", "" } },
		  "-route h /drafts/|max_attempts|3|1" },
		{ { { "/routes/0/target_latency_ms", "900" } },
		  "route h /drafts/|target_latency_ms|800|900" },
		{ { { "/routes/0/gap_aim_ms", "0" } },
		  "route h /drafts/|gap_aim_ms|400|0" },
		{ { { "/routes/0/priority", "2" } },
		  "-route h /drafts/|priority|1|2" },
		{ { { "/routes/0/public", "" } },
		  "-route h /drafts/|public|true|false" },
		{ { { "/routes/0/resumable", "false" } },
		  "-route h /drafts/|resumable|true|false" },
		{ { { "/routes/1/kind", "\"streaming\"" } },
		  "route h /old/|kind|idempotent|stream" },
		{ { { "/routes/0/traffic_split/1/weight", "20" } },
		  "route h /drafts/|traffic_split|a:90 b:10|a:90 b:20" },
		{ { { "/routes/0/traffic_split/1", "" } },
		  "-route h /drafts/|traffic_split|a:90 b:10|a:90" },
		{ { { "/services/3", "" } }, "-service k||store|none" },
		{ { { "/services/2/max_connections", "63" } },
		  "-service c|max_connections|64|63" },
		{ { { "/services/2/max_connections", "0" } },
		  "service c|max_connections|64|0" },
		{ { { "/services/0/engine", "" } },
		  "-service a|engine|true|false; service a|slots|128|0; "
		  "service a|kv_capacity_tokens|88566|0" },
		{ { { "/services/0/engine/slots", "64" } },
		  "-service a|slots|128|64" },
		{ { { "/services/3/kv_store_addr", "\"10.0.0.1:2\"" } },
		  "service k|kv_store_addr|10.0.0.1:1|10.0.0.1:2" },
		{ { { "/tenants/1", "" } }, "-team u||1 keys|none" },
		{ { { "/tenants/0/name", "\"v\"" } },
		  "-team t||2 keys|none; team v||none|2 keys" },
		{ { { "/tenants/0/api_keys/0", "\"k9\"" } },
		  "-team t|api_keys|2 keys, 1 of them removed|"
		  "2 keys, 1 of them new" },
		{ { { "/tenants/0/api_keys/-", "\"k9\"" } },
		  "team t|api_keys|2 keys, 0 of them removed|"
		  "3 keys, 1 of them new" },
		{ { { "/tenants/0/priority", "0" } }, "team t|priority|1|0" },
		{ { { "/tenants/0/isolated", "" } },
		  "team t|isolated|true|false" },
		{ { { "/limits/max_body_bytes", "99" } },
		  "-limit |max_body_bytes|4194304|99" },
		{ { { "/limits/max_body_bytes", "" } },
		  "limit |max_body_bytes|4194304|0" },
		{ { { "/limits/idle_timeout_ms", "14000" } },
		  "-limit |idle_timeout_ms|15000|14000" },
	};

	for (const auto &c : cases) {
		std::string text = Edited(c.edits);

		EXPECT_EQ(Changes(base_text, text), c.changes) << text;
		RunFiles(File("/new", text), File("/old", base_text).c_str());
		EXPECT_EQ(out.find("k1"), std::string::npos) << out;
		EXPECT_EQ(out.find("k9"), std::string::npos) << out;
	}
}

// Guards against a version that hosts never take, and an accidental removal of
// all keys.
TEST_F(Check, ComparedWithTheVersionInForce)
{
	static const struct {
		std::vector<Edit> edits;
		const char *rule;
		int exit_code;
	} cases[] = {
		{ { { "/version", "8" } }, "", 0 },
		{ {}, "version_not_newer", 2 },
		{ { { "/version", "6" } }, "version_not_newer", 2 },
		{ { { "/version", "8" }, { "/tenants", "[]" } },
		  "last_team_removed",
		  1 },
	};
	std::string against = File("/old", base_text);

	for (const auto &c : cases) {
		std::string file = File("/new", Edited(c.edits));

		EXPECT_EQ(RunFiles(file, against.c_str()), c.exit_code) << out;
		EXPECT_NE(out.find(c.rule), std::string::npos) << out;
	}
	EXPECT_EQ(RunFiles(File("/new", Edited({ { "/version", "8" } })),
			   (directory + "/none").c_str()),
		  EX_NOINPUT);
	File("/old", "{");
	EXPECT_EQ(RunFiles(directory + "/new", against.c_str()), 2);
	EXPECT_NE(out.find("bad_against"), std::string::npos) << out;
}

// Guards against output that tools can't read, also with names that are no
// UTF-8, and against control characters that reach a terminal.
TEST_F(Check, PrintsJsonAndCleanText)
{
	std::string file = File(
		"/new",
		Edited({ { "/version", "8" },
			 { "/tenants/1",
			   "{\"name\":\"\xff\\u001b[1m\",\"api_keys\":[]}" } }));
	std::string against = File("/old", base_text);

	EXPECT_EQ(RunFiles(file, against.c_str(), true), 1);
	json_object *root = json_tokener_parse(out.c_str()), *value;
	ASSERT_NE(root, nullptr) << out;
	EXPECT_TRUE(g_utf8_validate(out.c_str(), -1, nullptr));
	static const struct {
		const char *path;
		const char *value;
	} members[] = {
		{ "/version", "8" },
		{ "/exit_code", "1" },
		{ "/totals/error", "0" },
		{ "/totals/warning", "1" },
		{ "/omitted", "0" },
		{ "/findings/0/place", "/tenants/1" },
		{ "/findings/0/severity", "warning" },
		{ "/findings/0/rule", "team_without_key" },
		{ "/findings/0/remedy", "add a key, or remove the team" },
		{ "/changes/0/subject", "version" },
		{ "/changes/1/name", "u" },
		{ "/changes/1/takes_away", "true" },
	};
	for (const auto &m : members) {
		ASSERT_EQ(json_pointer_get(root, m.path, &value), 0) << m.path;
		EXPECT_STREQ(json_object_get_string(value), m.value) << m.path;
	}
	json_object_put(root);
	EXPECT_EQ(RunFiles(file, against.c_str()), 1);
	EXPECT_TRUE(g_utf8_validate(out.c_str(), -1, nullptr));
	EXPECT_EQ(out.find('\x1b'), std::string::npos);
}

// Guards against errors that are lost behind many findings of less weight.
TEST_F(Check, ErrorsAreKeptInAFullList)
{
	static const fd_rule note = { "n", FD_NOTE, "r" };
	static const fd_rule error = { "e", FD_ERROR, "r" };

	for (int i = 0; i < FD_MAX_FINDINGS + 3; i++)
		fd_report(&findings, "/a", &note, "%d", i);
	EXPECT_EQ(ctl_check_exit_code(&findings), 0);
	for (int i = 0; i < FD_MAX_FINDINGS + 2; i++)
		fd_report(&findings, "/b", &error, "%d", i);
	EXPECT_EQ(findings.count, (uint32_t)FD_MAX_FINDINGS);
	EXPECT_EQ(findings.left_out, (uint32_t)FD_MAX_FINDINGS + 5);
	EXPECT_EQ(findings.totals[FD_ERROR], (uint32_t)FD_MAX_FINDINGS + 2);
	EXPECT_EQ(findings.totals[FD_NOTE], (uint32_t)FD_MAX_FINDINGS + 3);
	for (uint32_t i = 0; i < findings.count; i++) {
		EXPECT_STREQ(findings.items[i].place, "/b");
		EXPECT_EQ(findings.items[i].message, std::to_string(i));
	}
	EXPECT_EQ(ctl_check_exit_code(&findings), 2);
}

void CollectPaths(json_object *value, const std::string &path,
		  std::vector<std::string> *paths)
{
	if (!path.empty())
		paths->push_back(path);
	if (json_object_is_type(value, json_type_object)) {
		json_object_object_foreach(value, name, member)
			CollectPaths(member, path + "/" + name, paths);
	} else if (json_object_is_type(value, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(value); i++)
			CollectPaths(json_object_array_get_idx(value, i),
				     path + "/" + std::to_string(i), paths);
	}
}

bool HasTypeOfBase(const std::string &path, json_type type)
{
	json_object *root = json_tokener_parse(base_text), *value = nullptr;
	bool is_same = json_pointer_get(root, path.c_str(), &value) == 0 &&
		       json_object_get_type(value) == type;

	json_object_put(root);
	return is_same;
}

// Every member of the base is replaced by values that are wrong for most
// members. A host takes each text by dl_dialect.decode_config() and
// ca_replaces(). Guards against a text that the check accepts although a host
// refuses it, or ignores a member: then its catalog is the same as without the
// member, which the comparison shows independently of the findings.
TEST_F(Check, NeverAcceptsWhatAHostRefusesOrIgnores)
{
	static const struct {
		const char *json;
		json_type type;
		bool is_valid_type;
	} values[] = {
		{ "-7", json_type_int, false },
		{ "1e300", json_type_double, false },
		{ "true", json_type_boolean, true },
		{ "\"x\"", json_type_string, true },
		{ "[]", json_type_array, true },
		{ "{}", json_type_object, true },
	};
	json_object *root = json_tokener_parse(base_text);
	std::vector<std::string> paths;
	ca_catalog *current = Decode(base_text);
	uint32_t refused = 0, ignored = 0, taken = 0;

	CollectPaths(root, "", &paths);
	json_object_put(root);
	ASSERT_GT(paths.size(), 50u);
	for (const std::string &path : paths) {
		for (const auto &v : values) {
			bool may_be_default =
				v.is_valid_type && HasTypeOfBase(path, v.type);
			std::string text = Edited({ { path, v.json } });
			std::string without = Edited({ { path, "" } });
			ca_catalog *host = Decode(text);
			bool has_errors = findings.totals[FD_ERROR] > 0;
			int exit_code = Run(text);

			if (!host || has_errors) {
				EXPECT_EQ(exit_code, 2) << text;
			}
			if (!host) {
				refused++;
				continue;
			}
			ca_catalog *rest = Decode(without);
			if (!may_be_default && rest &&
			    Changes(text, without).empty()) {
				ignored++;
				EXPECT_EQ(exit_code, 2) << path << v.json;
			} else {
				taken++;
			}
			ca_catalog_unref(rest);
			RunFiles(File("/new", text),
				 File("/old", base_text).c_str());
			EXPECT_EQ(ca_replaces(host, current),
				  out.find("version_not_newer") ==
					  std::string::npos)
				<< text;
			ca_catalog_unref(host);
		}
	}
	EXPECT_GT(refused, 5u);
	EXPECT_GT(ignored, 100u);
	EXPECT_GT(taken, 20u);
	ca_catalog_unref(current);
}

} // namespace
