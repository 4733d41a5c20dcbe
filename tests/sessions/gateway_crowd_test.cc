// Many callers that misbehave in the same way, at every address that listens:
// the process lives, its memory and descriptors stay bounded, and an ordinary
// request is answered while the crowd is still connected.
#include <gtest/gtest.h>

#include <dirent.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <thread>

#include "cluster.h"
#include "crowd.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

using namespace harness;

namespace
{

// Settings of the host. The crowds, and the bounds below, belong together.
const int memory_mb = 32;
const int max_fds = 300;
const int crowd_count = 600;
// The descriptors of a host whose limit is not what the case is about.
const int many_fds = 2000;
// The sanitizer needs more for its maps, its red zones and its quarantine.
#ifdef __SANITIZE_ADDRESS__
const long most_resident_kb = 160 * 1024;
#else
const long most_resident_kb = memory_mb * 1024;
#endif
const char sanitizer_options[] = "quarantine_size_mb=4";
const int ask_timeout_ms = 10000;

// Longer than any case, so that no crowd ends by itself.
const int header_timeout_ms = 30000;
const int idle_timeout_ms = 30000;

std::string config()
{
	std::string text = fleet_config(
		1, { { "look", "idempotent", "app", 2, true, 5000 } },
		"\"k1\"");

	return "{\"limits\":{\"max_header_bytes\":16384,"
	       "\"max_body_bytes\":4194304,\"header_timeout_ms\":" +
	       std::to_string(header_timeout_ms) +
	       ",\"idle_timeout_ms\":" + std::to_string(idle_timeout_ms) +
	       "}," + text.substr(1);
}

enum class At { callers, no_route, readiness, metrics };

const char *name_of(At at)
{
	static const char *const names[] = { "callers", "no route", "readiness",
					     "metrics" };

	return names[(int)at];
}

std::string url_of(At at)
{
	switch (at) {
	case At::readiness:
		return Fleet::readiness("h1");
	case At::metrics:
		return Fleet::metrics("h1");
	default:
		return Fleet::url("h1", "");
	}
}

std::string path_of(At at)
{
	switch (at) {
	case At::callers:
		return "/look/x";
	case At::no_route:
		return "/nowhere";
	case At::readiness:
		return "/ready";
	default:
		return "/metrics";
	}
}

const At everywhere[] = { At::callers, At::no_route, At::readiness,
			  At::metrics };

std::string head(At at, const std::string &method, const std::string &more)
{
	return method + " " + path_of(at) +
	       " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n" + more;
}

std::string body_short_of_its_end(At at, size_t bytes)
{
	return head(at, "POST",
		    "Content-Length: " + std::to_string(bytes) + "\r\n\r\n") +
	       std::string(bytes - 1, 'b');
}

std::string short_fields(int count)
{
	std::string text;

	for (int i = 0; i < count; i++)
		text += "a:b\r\n";
	return text;
}

std::string one_byte_chunks(int count)
{
	std::string text;

	for (int i = 0; i < count; i++)
		text += "1\r\nx\r\n";
	return text;
}

std::string repeated(const std::string &text, int times)
{
	std::string all;

	for (int i = 0; i < times; i++)
		all += text;
	return all;
}

class CrowdTest : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;
	int asked = 0;
	int most_fds = 0;

	void SetUp() override
	{
		fleet.add_engine("a1", "app");
		fleet.put("op", "config", config());
		setenv("ASAN_OPTIONS", sanitizer_options, 1);
	}

	// @setting_fds: of the settings, 0 without; @system_fds: the limit that
	// the process starts with.
	void start(int setting_fds = 0, int system_fds = many_fds)
	{
		std::string path = fleet.settings(directory.path, "h1");
		std::string text = read_file(path);
		std::string limits = "\"limits\":{\"memory_mb\":" +
				     std::to_string(memory_mb);

		if (setting_fds)
			limits += ",\"max_fds\":" + std::to_string(setting_fds);
		text.insert(text.find("\"bounds\""), limits + "},");
		write_file(path, text);
		process = std::make_unique<Process>(
			std::vector<std::string>{
				"/bin/sh", "-c",
				"ulimit -n " + std::to_string(system_fds) +
					"; exec \"$0\" gateway --settings "
					"\"$1\"",
				BALSAMPIN_PROGRAM, path },
			directory.path + "/log");
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
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

	int open_fds()
	{
		std::string path =
			"/proc/" + std::to_string(process->pid()) + "/fd";
		DIR *list = opendir(path.c_str());
		int count = 0;

		while (list && readdir(list))
			count++;
		if (list)
			closedir(list);
		return count - 2;
	}

	// Until the process takes no more memory for what it has been sent.
	void settle()
	{
		long before_kb = 0;

		wait_until(
			[&] {
				long now_kb = resident_kb();
				bool is_same = now_kb == before_kb;

				most_fds = std::max(most_fds, open_fds());
				before_kb = now_kb;
				std::this_thread::sleep_for(
					std::chrono::milliseconds(400));
				return is_same;
			},
			6000);
	}

	long ask()
	{
		return call(Fleet::url("h1", "/look/x"), "body",
			    { "Host: h", "Authorization: Bearer k1",
			      "X-Attempt-Id: n" + std::to_string(++asked),
			      "X-Deadline-Ms: 3000" },
			    "POST", 3000)
			.status;
	}

	void check(const std::string &what, int fds_bound = many_fds)
	{
		settle();
		EXPECT_TRUE(wait_until([&] { return ask() == 200; },
				       ask_timeout_ms))
			<< what << ": no answer";
		settle();
		EXPECT_TRUE(process->is_running()) << what;
		EXPECT_LE(resident_kb(), most_resident_kb) << what;
		EXPECT_LE(most_fds, fds_bound) << what;
		printf("%s: %ld kB, %d descriptors\n", what.c_str(),
		       resident_kb(), most_fds);
		process->signal(SIGKILL);
		process->wait();
		most_fds = 0;
	}

	// One crowd at each address, each at a process of its own.
	void run_everywhere(const char *what,
			    const std::function<void(Crowd &, At)> &load)
	{
		for (At at : everywhere) {
			start();
			Crowd crowd(url_of(at), crowd_count);

			load(crowd, at);
			check(std::string(what) + " at " + name_of(at));
		}
	}
};

// Memory grew by each body that never ends, at every address.
TEST_F(CrowdTest, BodiesOneByteShortInOnePiece)
{
	run_everywhere("60 kB bodies", [](Crowd &crowd, At at) {
		crowd.write(body_short_of_its_end(at, 60000));
	});
}

TEST_F(CrowdTest, BodiesOneByteShortInPieces)
{
	run_everywhere("60 kB bodies in pieces", [](Crowd &crowd, At at) {
		crowd.write_in_pieces(body_short_of_its_end(at, 60000), 4000);
	});
}

TEST_F(CrowdTest, LongBodiesOneByteShort)
{
	run_everywhere("1 MB bodies", [](Crowd &crowd, At at) {
		crowd.write(body_short_of_its_end(at, 1000000));
	});
}

// Chunks announce no length, so that no room is reserved for them.
TEST_F(CrowdTest, ChunksOfOneByte)
{
	run_everywhere("chunks of one byte", [](Crowd &crowd, At at) {
		crowd.write(
			head(at, "POST", "Transfer-Encoding: chunked\r\n\r\n") +
			one_byte_chunks(30000));
	});
}

TEST_F(CrowdTest, ChunksOneByteShort)
{
	run_everywhere("60 kB in chunks", [](Crowd &crowd, At at) {
		crowd.write(head(at, "POST",
				 "Transfer-Encoding: chunked\r\n\r\nea60\r\n") +
			    std::string(59999, 'c'));
	});
}

TEST_F(CrowdTest, BodiesFarOverTheLimit)
{
	run_everywhere("bodies over the limit", [](Crowd &crowd, At at) {
		crowd.write(
			head(at, "POST", "Content-Length: 1000000000\r\n\r\n") +
			std::string(1000000, 'b'));
	});
	run_everywhere("chunks over the limit", [](Crowd &crowd, At at) {
		crowd.write(head(at, "POST",
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "3b9aca00\r\n") +
			    std::string(1000000, 'c'));
	});
}

// Each field costs far more than its bytes on the wire.
TEST_F(CrowdTest, HeadsOfShortFieldsWithoutEnd)
{
	run_everywhere("unterminated heads", [](Crowd &crowd, At at) {
		crowd.write(head(at, "POST", short_fields(3900)));
	});
}

TEST_F(CrowdTest, HeadsOfShortFieldsThenBodyOneByteShort)
{
	run_everywhere("heads with a body", [](Crowd &crowd, At at) {
		crowd.write(head(at, "POST",
				 short_fields(3900) +
					 "Content-Length: 60000\r\n\r\n") +
			    std::string(59999, 'b'));
	});
}

// Requests that wait, and their answers, add up on one connection.
TEST_F(CrowdTest, PipelinedRequestsWithUnreadAnswers)
{
	run_everywhere("300 pipelined requests", [](Crowd &crowd, At at) {
		crowd.write(repeated(
			head(at, at == At::callers ? "POST" : "GET",
			     at == At::callers ? "Content-Length: 100\r\n\r\n" +
							 std::string(100, 'b')
					       : "\r\n"),
			300));
	});
}

TEST_F(CrowdTest, SlowWriters)
{
	run_everywhere("slow heads", [](Crowd &crowd, At at) {
		crowd.trickle(head(at, "GET", short_fields(100)), 50, 2000);
	});
	run_everywhere("slow bodies", [](Crowd &crowd, At at) {
		crowd.write(body_short_of_its_end(at, 60000).substr(0, 30000));
		crowd.trickle(std::string(1000, 'b'), 50, 2000);
	});
}

// A bound for each address would not be one for the process.
TEST_F(CrowdTest, AllAddressesAtOnce)
{
	start();
	std::vector<std::unique_ptr<Crowd>> crowds;

	for (At at : everywhere) {
		crowds.push_back(
			std::make_unique<Crowd>(url_of(at), crowd_count / 4));
		crowds.back()->write(body_short_of_its_end(at, 120000));
	}
	check("all addresses at once");
}

// Record marks of peers announce more than the process may hold.
TEST_F(CrowdTest, RecordsOfPeersOneByteShort)
{
	static const char mark[] = { (char)0x80, 0x0a, 0x00, 0x00 };
	static const size_t record_bytes = 0x0a0000;
	std::string metrics = Fleet::metrics("h1");
	size_t colon = metrics.find(':', strlen("http://"));
	// The peers' port follows that of the metrics; see fleet.cc.
	std::string peers =
		metrics.substr(0, colon + 1) +
		std::to_string(std::stoi(metrics.substr(colon + 1)) + 1);

	start();
	// This address is listened at after the others.
	ASSERT_TRUE(wait_until([&] { return accepts(peers); }));
	Crowd crowd(peers, 200);

	crowd.write(std::string(mark, sizeof(mark)) +
		    std::string(record_bytes - 1, 'r'));
	check("records of peers");
}

// Connections beyond the descriptors waited, and those of ordinary callers with
// them.
TEST_F(CrowdTest, SilentCallersBeyondTheDescriptors)
{
	for (At at : { At::callers, At::readiness, At::metrics }) {
		start(max_fds);
		Crowd crowd(url_of(at), crowd_count);

		check(std::string("silent, limit of the settings, at ") +
			      name_of(at),
		      max_fds);
	}
	for (At at : { At::callers, At::readiness, At::metrics }) {
		start(0, max_fds);
		Crowd crowd(url_of(at), crowd_count);

		check(std::string("silent, limit of the system, at ") +
			      name_of(at),
		      max_fds);
	}
}

TEST_F(CrowdTest, StalledHeadsBeyondTheDescriptors)
{
	start(max_fds);
	Crowd crowd(url_of(At::callers), crowd_count);

	crowd.write(head(At::callers, "POST", "X-A: b"));
	check("stalled heads", max_fds);
}

// A lone request within the limits is served whatever its size, and so are
// bodies beside idle connections; the account must not refuse them.
TEST_F(CrowdTest, OrdinaryRequestsOfAnySizeAreServed)
{
	start();
	Crowd idle(url_of(At::callers), 300);

	for (size_t bytes : { 10, 1000, 60000, 1000000, 4194304 })
		for (const char *padding : { "", "15000" }) {
			Reply r = call(
				Fleet::url("h1", "/look/x"),
				std::string(bytes, 'b'),
				{ "Host: h", "Authorization: Bearer k1",
				  "X-Attempt-Id: s" + std::to_string(++asked),
				  "X-Deadline-Ms: 3000",
				  "X-Padding: " +
					  std::string(atoi(padding), 'p') },
				"POST");

			EXPECT_EQ(r.status, 200) << bytes << " " << padding;
		}
	EXPECT_LE(resident_kb(), most_resident_kb);
}

} // namespace
