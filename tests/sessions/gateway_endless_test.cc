// Engines that send bytes without end, in a head or a body, until the gateway
// closes the connection: the caller gets an answer in time, and memory stays
// bounded.
#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <thread>

#include "cluster.h"
#include "endless.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

using namespace harness;

namespace
{

const int timeout_ms = 1500;
// Allowed time between the deadline of a request and its answer.
const int slack_ms = 500;
// Below the memory of the smallest host in use. The address sanitizer needs
// more for its maps and red zones; it keeps few of the freed blocks, or these
// alone, up to 256 MB, would exceed what the gateway uses.
#ifdef __SANITIZE_ADDRESS__
const long most_resident_kb = 192 * 1024;
#else
const long most_resident_kb = 64 * 1024;
#endif
const char sanitizer_options[] = "quarantine_size_mb=16";

const char signed_head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
			   "X-Response-Stamp: s\r\n";

struct EndlessCase {
	const char *what;
	std::string start;
	std::string part;
};

const EndlessCase cases[] = {
	{ "no HTTP at all", "", "x" },
	{ "a line of the head", "HTTP/1.1 200 OK\r\nX-A: ", "a" },
	{ "lines of the head", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n" },
	{ "empty lines before an answer", "", "\r\n" },
	{ "the name of a field", "HTTP/1.1 200 OK\r\n", "a" },
	{ "the size of a chunk",
	  std::string(signed_head) + "Transfer-Encoding: chunked\r\n\r\n",
	  "0" },
	{ "heads that are not final", "",
	  "HTTP/1.1 100 Continue\r\nX-A: a\r\n\r\n" },
	{ "answers of other attempts", "",
	  "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
	  "Content-Length: 5\r\n\r\nother" },
	{ "the body of another attempt's answer",
	  "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "x" },
	{ "a body without a signature", "HTTP/1.1 200 OK\r\n\r\n", "x" },
	{ "the body of a refusal",
	  "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\n", "x" },
	{ "a body without a length", std::string(signed_head) + "\r\n", "x" },
	{ "a body in chunks",
	  std::string(signed_head) + "Transfer-Encoding: chunked\r\n\r\n",
	  "4\r\nxxxx\r\n" },
	{ "a chunk's extension",
	  std::string(signed_head) + "Transfer-Encoding: chunked\r\n\r\n4;",
	  "x" },
	{ "a trailer",
	  std::string(signed_head) +
		  "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n0\r\n",
	  "X-A: a\r\n" },
	{ "events", std::string(signed_head) + "\r\n", "data: x\n\n" },
	{ "events that the caller has",
	  std::string(signed_head) + "\r\nid: 9\ndata: x\n\n",
	  "id: 1\ndata: x\n\n" },
	{ "empty lines", std::string(signed_head) + "\r\n", "\n" },
};

std::string config()
{
	return fleet_config(
		1,
		{ { "grade", "streaming", "llm", 2, true, timeout_ms },
		  { "record", "non_idempotent", "app", 1, false, timeout_ms },
		  { "look", "idempotent", "app", 2, true, timeout_ms },
		  { "sound", "idempotent", "sound", 1, false, timeout_ms } },
		"\"k1\"");
}

class Endless : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;
	std::atomic<int> asked{ 0 };

	void SetUp() override
	{
		fleet.add_engine("e1", "llm", "m", 1);
		fleet.add_engine("a1", "app");
		fleet.add_engine("s1", "sound");
		fleet.put("op", "config", config());
		setenv("ASAN_OPTIONS", sanitizer_options, 1);
	}

	void start()
	{
		process = start_gateway(fleet, directory.path, "h1");
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
	}

	Reply ask(const std::string &route)
	{
		Headers headers = { "Host: h", "Authorization: Bearer k1",
				    "X-Attempt-Id: n" + std::to_string(++asked),
				    "X-Deadline-Ms: 6000" };

		if (route == "grade") {
			headers.push_back("X-Model: m");
			headers.push_back("X-Token-Usage: 100,8");
			headers.push_back("X-Prefix-Hash: aa:50,bb:30,cc:20");
		}
		return call(Fleet::url("h1", "/" + route + "/x"), "body",
			    headers, "POST");
	}

	long resident_kb()
	{
		std::string text = read_file(
			"/proc/" + std::to_string(process->pid()) + "/status");
		size_t at = text.find("VmHWM:");

		return at == std::string::npos
			       ? 0
			       : std::stol(text.substr(at + strlen("VmHWM:")));
	}

	void ask_and_check(const char *route, const char *what)
	{
		auto start = std::chrono::steady_clock::now();
		Reply r = ask(route);
		auto took = std::chrono::steady_clock::now() - start;

		EXPECT_LE(took,
			  std::chrono::milliseconds(timeout_ms + slack_ms))
			<< what << ", " << route;
		EXPECT_FALSE(r.complete && r.status == 200)
			<< what << ", " << route;
	}

	// Several requests at once: a bound on one request does not bound the
	// host.
	void ask_at_once(const char *what)
	{
		static const int times = 8;
		std::vector<std::thread> callers;

		for (const char *route : { "grade", "record", "look" })
			for (int i = 0; i < times; i++)
				callers.emplace_back([this, route, what] {
					ask_and_check(route, what);
				});
		for (auto &caller : callers)
			caller.join();
	}
};

TEST_F(Endless, EndlessAnswersEndWithTheirRequest)
{
	for (const EndlessCase &c : cases) {
		EndlessServer engine(Fleet::store_ip(), c.start, c.part);

		fleet.set_address("e1", engine.address());
		fleet.set_address("a1", engine.address());
		start();
		ask_at_once(c.what);
		EXPECT_LE(resident_kb(), most_resident_kb) << c.what;
		EXPECT_EQ(ask("sound").status, 200) << c.what;
		EXPECT_GT(engine.sent, 0u) << c.what;
		EXPECT_TRUE(wait_until([&] { return engine.open == 0; }, 6000))
			<< c.what;
		process->signal(SIGKILL);
		process->wait();
	}
}

} // namespace
