// Tests of the settings file: defaults, comments, and findings with their
// places.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "settings/cf.h"
}

namespace
{

const std::string key(64, 'a');

std::string good(const std::string &more = "")
{
	return R"({
	// comments are allowed
	"host": {"name": "h1", "zone": "z1", "region": "r1",
		 "address": "127.0.0.1"},
	"entry": {"http_port": 8080, "rpc_port": 7001},
	"index": {"http_port": 9002, "rpc_port": 7002},
	"control": {"http_port": 9003, "rpc_port": 7003}, /* and these */
	"platform": {"kind": "embedded"},
	"rpc_key": ")" +
	       key + R"(", "operator_key_sha256": ")" + key + "\"" + more +
	       "}\n// the end\n";
}

std::vector<std::string> findings_of(const std::string &text)
{
	struct cf_settings settings;
	struct fd_list findings;
	std::vector<std::string> out;

	cf_parse(&settings, text.c_str(), &findings);
	for (uint32_t i = 0; i < findings.count; i++)
		out.push_back(std::string(findings.items[i].place) + ": " +
			      findings.items[i].message);
	fd_finish(&findings);
	cf_finish(&settings);
	return out;
}

TEST(Settings, GoodFileWithCommentsHasDefaults)
{
	struct cf_settings settings;
	struct fd_list findings;

	ASSERT_EQ(cf_parse(&settings, good().c_str(), &findings), ST_OK);
	EXPECT_STREQ(settings.self.zone, "z1");
	EXPECT_EQ(settings.self.index_rpc_port, 7002);
	EXPECT_EQ(settings.limits.lookup_timeout_ms, 3);
	EXPECT_EQ(settings.platform.reads_per_s, 20u);
	EXPECT_STREQ(settings.routing.policy, "cost");
	EXPECT_EQ(settings.rpc_key[0], 0xaa);
	fd_finish(&findings);
	cf_finish(&settings);
}

TEST(Settings, FindingsIncludeTheirPlace)
{
	static const struct {
		std::string text;
		std::vector<std::string> findings;
	} cases[] = {
		{ "{\n \"host\": {,}\n}",
		  { "line 2, column 11: quoted object property name expected" } },
		{ good() + "x",
		  { "line 11, column 1: text after the end of the settings" } },
		{ good(", \"limit\": {}"),
		  { "/limit: is not a known setting" } },
		{ good(", \"limits\": {\"max_running\": 0, \"max\": 1}"),
		  { "/limits/max_running: is 0, must be 1 to 100000",
		    "/limits/max: is not a known setting" } },
		{ good(", \"routing\": {\"policy\": \"hash\"}"), {} },
		{ good(", \"routing\": {\"policy\": \"best\", \"x\": 1}"),
		  { "/routing/x: is not a known setting",
		    "/routing/policy: 'best' is not a known policy" } },
		{ good(", \"limits\": {\"max_waiting\": \"many\"}"),
		  { "/limits/max_waiting: is not an integer" } },
		{ good(", \"peers\": [{\"name\": \"\"}, 3]"),
		  { "/peers/0/name: is empty", "/peers/0/zone: is required",
		    "/peers/0/region: is required",
		    "/peers/0/address: is required",
		    "/peers/0/entry_http_port: is required",
		    "/peers/0/entry_rpc_port: is required",
		    "/peers/0/index_http_port: is required",
		    "/peers/0/index_rpc_port: is required",
		    "/peers/0/control_http_port: is required",
		    "/peers/0/control_rpc_port: is required",
		    "/peers/1: is not an object",
		    "/peers/1: has the same name '' as /peers/0" } },
		{ "[]", { "/: is not an object" } },
		{ "{ \"host\": /* never closed",
		  { "line 1, column 26: unexpected end of data" } },
		{ "{ \"host\": ",
		  { "line 1, column 11: unexpected end "
		    "of data" } },
		{ "{\"host\": {\"name\": \"h1\"/* never closed",
		  { "line 1, column 38: unexpected end of data" } },
		{ "", { "line 1, column 1: unexpected end of data" } },
	};

	for (const auto &c : cases)
		EXPECT_EQ(findings_of(c.text), c.findings) << c.text;
}

TEST(Settings, EmptyFileReportsEveryMissingSetting)
{
	EXPECT_EQ(findings_of("{}").size(), 13u);
}

TEST(Settings, HttpPlatformRequiresUrls)
{
	std::string text = good();
	size_t at = text.find("\"embedded\"");

	text.replace(at, 10, "\"http\", \"tables_url\": \"ftp://x\"");
	EXPECT_EQ(findings_of(text),
		  (std::vector<std::string>{
			  "/platform/tables_url: 'ftp://x' is not an http or "
			  "https URL",
			  "/platform/hosts_url: is required" }));
}

} // namespace
