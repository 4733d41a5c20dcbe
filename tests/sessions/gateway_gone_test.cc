// Callers that leave: nothing is sent to an engine for them later, and what
// their engines do for them ends.
#include <gtest/gtest.h>

#include <signal.h>

#include <chrono>
#include <memory>
#include <thread>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "raw.h"

using namespace harness;

namespace
{

const int callers_of_a_case = 24;
// The process stands still, its callers leave, and it goes on so much later.
// In all, less than the age up to which its configuration is used.
const auto until_they_leave = std::chrono::milliseconds(100);
const auto after_they_left = std::chrono::milliseconds(650);
// Within which work for a caller that has left has to end.
const int left_ms = 500;
// Of an engine's answer, well over left_ms.
const int long_answer_ms = 4000;
// More than a host reads ahead of an answer that is due.
const int bytes_ahead = 20000;

std::string config()
{
	return fleet_config(
		1,
		{ { "look", "idempotent", "app", 2, false, 6000 },
		  { "record", "non_idempotent", "app", 1, false, 6000 },
		  { "grade", "streaming", "llm", 2, true, 6000 } },
		"\"k1\"");
}

class Gone : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;

	void SetUp() override
	{
		for (const char *id : { "a1", "a2" })
			fleet.add_engine(id, "app");
		for (const char *id : { "e1", "e2" })
			fleet.add_engine(id, "llm", "m", 1);
		fleet.put("op", "config", config());
		process = start_gateway(fleet, directory.path, "h1");
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
	}

	void TearDown() override
	{
		process->signal(SIGCONT);
	}

	static std::string request(const std::string &route,
				   const std::string &id)
	{
		std::string model = "X-Model: m\r\nX-Token-Usage: 100,8\r\n"
				    "X-Prefix-Hash: aa:50,bb:50\r\n";

		return "POST /" + route +
		       "/x HTTP/1.1\r\nHost: h\r\n"
		       "Authorization: Bearer k1\r\nX-Attempt-Id: " +
		       id + "\r\nX-Deadline-Ms: 6000\r\n" +
		       (route == "grade" ? model : "") +
		       "Content-Length: 4\r\n\r\nbody";
	}

	// Requests that reached an engine, of those whose id begins with @id.
	int arrived(const std::string &id)
	{
		int count = 0;

		for (const Arrival &a : fleet.arrivals())
			count += a.headers.at("X-Attempt-Id").rfind(id, 0) == 0;
		return count;
	}

	void make_engines_slow()
	{
		fleet.set_pace(long_answer_ms);
		for (const char *id : { "a1", "a2", "e1", "e2" })
			fleet.behave(id, Behaviour::pace);
	}
};

struct UnreadCase {
	const char *route;
	bool is_kept; /* the connection has served a request before */
	int ahead;    /* further requests behind the first one */
};

const UnreadCase unread_cases[] = {
	{ "look", false, 0 },	{ "look", true, 0 },  { "look", true, 2 },
	{ "record", false, 0 }, { "grade", true, 0 }, { "grade", false, 40 },
};

// A host that was behind on reading took the request from the connection, sent
// it to an engine, and found only then that the caller had closed.
TEST_F(Gone, BeforeTheirRequestIsRead)
{
	int number = 0;

	for (const UnreadCase &c : unread_cases) {
		std::string id = "u" + std::to_string(number++) + "-";
		std::vector<std::unique_ptr<RawCaller>> callers;

		SCOPED_TRACE(std::string(c.route) +
			     (c.is_kept ? ", kept" : ", new") + ", ahead " +
			     std::to_string(c.ahead));
		for (int i = 0; i < callers_of_a_case; i++) {
			callers.push_back(std::make_unique<RawCaller>(
				Fleet::url("h1", "")));
			if (!c.is_kept)
				continue;
			callers[i]->write(request("look", "before"));
			callers[i]->read("recorded");
		}
		process->signal(SIGSTOP);
		for (int i = 0; i < callers_of_a_case; i++)
			for (int n = 0; n <= c.ahead; n++)
				callers[i]->write(request(
					c.route, id + std::to_string(i) + "-" +
							 std::to_string(n)));
		std::this_thread::sleep_for(until_they_leave);
		callers.clear();
		std::this_thread::sleep_for(after_they_left);
		process->signal(SIGCONT);
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
		std::this_thread::sleep_for(after_they_left);
		EXPECT_EQ(arrived(id), 0);
	}
}

// A request that was waiting in the host: the attempt at an engine fails while
// the host stands still, and its caller leaves.
TEST_F(Gone, BeforeTheyAreTriedAgain)
{
	std::vector<std::unique_ptr<RawCaller>> callers;

	make_engines_slow();
	for (int i = 0; i < callers_of_a_case; i++) {
		callers.push_back(
			std::make_unique<RawCaller>(Fleet::url("h1", "")));
		callers[i]->write(request("look", "r-" + std::to_string(i)));
	}
	ASSERT_TRUE(wait_until(
		[&] { return arrived("r-") == callers_of_a_case; }, 3000));
	process->signal(SIGSTOP);
	fleet.restart_engine("a1", "", 100);
	std::this_thread::sleep_for(until_they_leave);
	callers.clear();
	std::this_thread::sleep_for(after_they_left);
	process->signal(SIGCONT);
	std::this_thread::sleep_for(after_they_left);
	EXPECT_EQ(arrived("r-"), callers_of_a_case);
}

struct AheadCase {
	const char *route;
	bool closes_one_half;
};

const AheadCase ahead_cases[] = { { "look", false },
				  { "look", true },
				  { "grade", false } };

// With more requests ahead than it reads, a host did not see that the caller
// had left, and the engine worked on to its end.
TEST_F(Gone, WithMoreRequestsAheadThanAreRead)
{
	make_engines_slow();
	for (const AheadCase &c : ahead_cases) {
		auto caller = std::make_unique<RawCaller>(Fleet::url("h1", ""));
		std::string text;

		SCOPED_TRACE(c.route);
		for (int n = 0; (int)text.size() < bytes_ahead; n++)
			text += request(c.route, "p-" + std::to_string(n));
		caller->write(text);
		ASSERT_TRUE(
			wait_until([&] { return fleet.at_work() == 1; }, 3000));
		std::this_thread::sleep_for(std::chrono::milliseconds(100));
		if (c.closes_one_half)
			caller->stop_writing();
		else
			caller.reset();
		EXPECT_TRUE(wait_until([&] { return fleet.at_work() == 0; },
				       left_ms));
		caller.reset();
		ASSERT_TRUE(wait_until([&] { return fleet.at_work() == 0; }));
	}
}

} // namespace
