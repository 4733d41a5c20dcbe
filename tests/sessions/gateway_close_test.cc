// Answers after which the gateway closes the connection, or reads the next
// request from it: the request that was answered is logged and ends soundly.
#include <gtest/gtest.h>

#include <signal.h>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "raw.h"

using namespace harness;

namespace
{

// The C library gives memory of that size back to the system as it is freed.
const int long_head_bytes = 69000;

std::string config()
{
	std::string text = fleet_config(
		1,
		{ { "draft", "streaming", "llm", 1, false, 6000 },
		  { "record", "non_idempotent", "app", 1, false, 6000 } },
		"\"k1\"");

	return "{\"limits\":{\"max_header_bytes\":70000}," + text.substr(1);
}

class Close : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;

	void SetUp() override
	{
		fleet.add_engine("e1", "llm", "m", 1);
		fleet.add_engine("a1", "app");
		fleet.behave("e1", Behaviour::pace);
		fleet.behave("a1", Behaviour::pace);
		fleet.put("op", "config", config());
		start();
	}

	void start()
	{
		process = start_gateway(fleet, directory.path, "h1");
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
	}

	static std::string request(const std::string &route,
				   const std::string &id,
				   const std::string &version = "1.1",
				   const std::string &more = "")
	{
		std::string model = "X-Model: m\r\nX-Token-Usage: 100,8\r\n"
				    "X-Prefix-Hash: aa:50,bb:50\r\n";

		return "POST /" + route + "/x HTTP/" + version +
		       "\r\nHost: h\r\nAuthorization: Bearer k1\r\n"
		       "X-Attempt-Id: " +
		       id + "\r\nX-Deadline-Ms: 6000\r\n" +
		       (route == "draft" ? model : "") +
		       "Content-Length: 4\r\n" + more + "\r\nbody";
	}

	static std::string padding(int bytes)
	{
		return "X-Padding: " + std::string(bytes, 'p') + "\r\n";
	}

	// How often a line says that the request has ended with an answer.
	int logged(const std::string &id)
	{
		std::string log = read_file(directory.path + "/log");
		std::string line =
			"\"event\":\"request_ended\",\"request\":\"" + id +
			"\"";
		int count = 0;

		for (size_t at = 0;
		     (at = log.find(line, at)) != std::string::npos; at++) {
			std::string rest =
				log.substr(at, log.find('\n', at) - at);

			count += rest.find("\"complete\"") != std::string::npos;
		}
		return count;
	}

	bool is_serving()
	{
		return process->is_running() &&
		       call(Fleet::readiness("h1")).status != 0;
	}
};

struct CloseCase {
	const char *name;
	const char *version;
	const char *more;
	bool stops;
};

const CloseCase close_cases[] = {
	{ "header", "1.1", "Connection: close\r\n", false },
	{ "old", "1.0", "", false },
	{ "stop", "1.1", "", true },
};

// The process crashed as it logged a request whose answer had closed its
// connection: the log line read header fields that were freed with it.
TEST_F(Close, RequestWhoseAnswerClosesItsConnectionIsLogged)
{
	for (const CloseCase &c : close_cases)
		for (const char *route : { "record", "draft" })
			for (int bytes : { 100, long_head_bytes }) {
				std::string id = std::string(c.name) + route +
						 std::to_string(bytes);
				RawCaller caller(Fleet::url("h1", ""));

				caller.write(request(route, id, c.version,
						     c.more + padding(bytes)));
				ASSERT_TRUE(wait_until([&] {
					return fleet.runs(id) == 1;
				})) << id;
				if (c.stops)
					process->signal(SIGTERM);
				caller.read_to_end();
				EXPECT_EQ(caller.status(), 200) << id;
				EXPECT_TRUE(wait_until([&] {
					return logged(id) == 1;
				})) << id;
				if (c.stops) {
					EXPECT_EQ(process->wait(9000), 0) << id;
					start();
				}
				ASSERT_TRUE(is_serving()) << id;
			}
}

// The next request of the connection is read before the line about the one
// that was answered is written.
TEST_F(Close, LogNamesTheAnsweredRequestAndNotTheNext)
{
	for (const char *route : { "record", "draft" }) {
		std::string id = std::string("first-") + route;
		std::string next = std::string("after-") + route;
		RawCaller caller(Fleet::url("h1", ""));

		caller.write(
			request(route, id) +
			request(route, next, "1.1", "Connection: close\r\n"));
		caller.read_to_end();
		EXPECT_TRUE(wait_until([&] { return logged(next) > 0; }));
		EXPECT_EQ(logged(id), 1) << route;
		EXPECT_EQ(logged(next), 1) << route;
	}
}

} // namespace
