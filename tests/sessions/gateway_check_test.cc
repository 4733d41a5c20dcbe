// One series of configurations, sound and unsound, is put into the store of a
// running gateway and given to `balsampin ctl check`.
#include <gtest/gtest.h>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

using namespace harness;

namespace
{

// VERSION is replaced by a higher number in each text.
const std::string route =
	"{\"name\":\"look\",\"host\":\"h\",\"prefix\":\"/look/\","
	"\"kind\":\"idempotent\",\"service\":\"app\"";
const std::string rest = ",\"services\":[{\"name\":\"app\"}],\"tenants\":"
			 "[{\"name\":\"t\",\"api_keys\":[\"k1\"]}]";
const std::string head = "{\"version\":VERSION,\"routes\":[";
const std::string sound = head + route + "}]" + rest + "}";

// is_taken: the host puts it in force, if only in part.
struct Case {
	std::string text;
	bool is_taken;
	int exit_code;
};

const Case cases[] = {
	{ sound, true, 0 },
	{ head + route + ",\"timeout_ms\":\"5s\"}]" + rest + "}", true, 2 },
	{ head + route + ",\"max_attempts\":-1}]" + rest + "}", true, 2 },
	{ head + route + ",\"max_attempts\":9}]" + rest + "}", true, 1 },
	{ head + route + ",\"timout_ms\":5}]" + rest + "}", true, 0 },
	{ head + route + "}," + route + "}]" + rest + "}", true, 1 },
	{ head + "{}]" + rest + "}", false, 2 },
	{ sound.substr(0, sound.size() - 1), false, 2 },
	{ sound + "}", true, 2 },
	{ "[]", false, 2 },
	{ "{\"version\":\"VERSION\",\"routes\":[]}", false, 2 },
	{ "{\"version\":VERSION,\"routes\":{}}", false, 2 },
	{ head + "]" + rest + "}", true, 1 },
	{ head + route + "}],\"services\":{},\"tenants\":[]}", true, 2 },
	{ head + route +
		  "}],\"services\":[{\"name\":\"app\"}],\"tenants\":"
		  "[{\"name\":\"t\",\"api_keys\":[\"k1\",7]}]}",
	  true, 2 },
	{ sound, true, 0 },
};

size_t count(const std::string &text, const std::string &part)
{
	size_t found = 0;

	for (size_t at = text.find(part); at != std::string::npos;
	     at = text.find(part, at + 1))
		found++;
	return found;
}

class CheckedGateway : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;

	std::string log()
	{
		return read_file(directory.path + "/log");
	}

	size_t findings()
	{
		return count(log(), "\"config_finding\"");
	}

	bool is_in_force(int version)
	{
		std::string line =
			"\"version\":\"" + std::to_string(version) + "\"";
		std::string text = log();
		size_t at = text.find("\"config_in_force\"");

		while (at != std::string::npos) {
			size_t end = text.find('\n', at);
			size_t begin = text.rfind('\n', at) + 1;

			if (text.substr(begin, end - begin).find(line) !=
			    std::string::npos)
				return true;
			at = text.find("\"config_in_force\"", at + 1);
		}
		return false;
	}

	int check(const std::string &text)
	{
		std::string path = directory.path + "/config";

		write_file(path, text);
		return Process({ BALSAMPIN_PROGRAM, "ctl", "check", path },
			       directory.path + "/check")
			.wait();
	}
};

// Guards against a check that accepts what a host refuses or ignores, and one
// that reports errors for what a host takes as it is.
TEST_F(CheckedGateway, ErrorsAreWhatAHostReports)
{
	int version = 1;

	fleet.add_engine("a1", "app");
	fleet.put("op", "config", fleet_config(version, {}, "\"k1\""));
	process = start_gateway(fleet, directory.path, "h1");
	ASSERT_TRUE(wait_until([&] { return is_in_force(1); }));
	for (const Case &c : cases) {
		std::string text = c.text;
		size_t at = text.find("VERSION"), before = findings();

		version++;
		if (at != std::string::npos)
			text.replace(at, 7, std::to_string(version));
		fleet.put("op", "config", text);
		ASSERT_TRUE(wait_until([&] {
			return c.is_taken ? is_in_force(version)
					  : findings() > before;
		})) << text;
		EXPECT_EQ(check(text), c.exit_code) << text;
		EXPECT_EQ(findings() > before, c.exit_code == 2) << text;
		EXPECT_EQ(is_in_force(version), c.is_taken) << text;
	}
}

struct UnusableCase {
	const char *name;
	std::string text;
};

// Each of them also takes the key k1 away.
const std::string other_key = ",\"services\":[{\"name\":\"app\"}],"
			      "\"tenants\":[{\"name\":\"t\","
			      "\"api_keys\":[\"k2\"]}";
const std::string other = "\"kind\":\"idempotent\",\"service\":\"app\"}]";
const UnusableCase unusable_cases[] = {
	{ "route without host",
	  head + "{\"prefix\":\"/look/\"," + other + other_key + "]}" },
	{ "route without prefix",
	  head + "{\"host\":\"h\"," + other + other_key + "]}" },
	{ "second route without kind",
	  head + route +
		  "},{\"host\":\"h\",\"prefix\":\"/find/\","
		  "\"service\":\"app\"}]" +
		  other_key + "]}" },
	{ "route without service",
	  head +
		  "{\"host\":\"h\",\"prefix\":\"/look/\","
		  "\"kind\":\"idempotent\"}]" +
		  other_key + "]}" },
	{ "split without service",
	  head +
		  "{\"host\":\"h\",\"prefix\":\"/look/\","
		  "\"kind\":\"idempotent\",\"traffic_split\":[{"
		  "\"weight\":90},{\"service\":\"app\",\"weight\":10}]}]" +
		  other_key + "]}" },
	{ "service without name",
	  head + route +
		  "}],\"services\":[{}],\"tenants\":[{\"name\":"
		  "\"t\",\"api_keys\":[\"k2\"]}]}" },
	{ "team without name",
	  head + route + "}]" + other_key + ",{\"api_keys\":[\"k3\"]}]}" },
};

// A version with an entry that cannot be used was put in force without it:
// callers of that route got 404, or were handled as no version says.
TEST_F(CheckedGateway, VersionWithAnUnusableEntryLeavesTheLastOneInForce)
{
	int version = 1;
	auto status = [](const char *key) {
		return call(Fleet::url("h1", "/look/x"), "",
			    { "Host: h",
			      std::string("Authorization: Bearer ") + key,
			      "X-Attempt-Id: t", "X-Deadline-Ms: 1500" },
			    "POST")
			.status;
	};

	fleet.add_engine("a1", "app");
	for (const UnusableCase &c : unusable_cases) {
		std::string first = sound, text = c.text;
		size_t before = findings();

		SCOPED_TRACE(c.name);
		first.replace(first.find("VERSION"), 7,
			      std::to_string(++version));
		text.replace(text.find("VERSION"), 7,
			     std::to_string(++version));
		fleet.put("op", "config", first);
		if (!process)
			process = start_gateway(fleet, directory.path, "h1");
		ASSERT_TRUE(wait_until([&] {
			return is_in_force(version - 1) && status("k1") == 200;
		}));
		fleet.put("op", "config", text);
		ASSERT_TRUE(wait_until([&] { return findings() > before; }));
		EXPECT_EQ(status("k1"), 200);
		EXPECT_EQ(status("k2"), 401);
		EXPECT_FALSE(is_in_force(version));
		EXPECT_EQ(check(text), 2);
	}
}

// A host that starts knows no other version: it serves none.
TEST_F(CheckedGateway, HostThatStartsWithAnUnusableVersionIsNotReady)
{
	std::string text = unusable_cases[0].text, good = sound;

	text.replace(text.find("VERSION"), 7, "1");
	good.replace(good.find("VERSION"), 7, "2");
	fleet.add_engine("a1", "app");
	fleet.put("op", "config", text);
	process = start_gateway(fleet, directory.path, "h1");
	ASSERT_TRUE(wait_until([&] { return findings() > 0; }));
	EXPECT_EQ(call(Fleet::readiness("h1")).status, 503);
	fleet.put("op", "config", good);
	EXPECT_TRUE(wait_until(
		[] { return call(Fleet::readiness("h1")).status == 200; }));
}

} // namespace
