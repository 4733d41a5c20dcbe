// A planned stop: what is owed is written, what comes too late is refused as
// not run, and what can't end in time is answered before the process ends.
#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "raw.h"
#include "scripted.h"

using namespace harness;

namespace
{

const int grace_ms = 8000; // as Fleet::settings() has it

class Stop : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;

	void SetUp() override
	{
		fleet.add_engine("a1", "app");
		fleet.add_engine("e1", "llm", "m", 1);
		fleet.put("op", "config",
			  fleet_config(1,
				       { { "record", "non_idempotent", "app", 1,
					   false, 20000 },
					 { "look", "idempotent", "app", 2,
					   false, 20000 },
					 { "draft", "streaming", "llm", 1,
					   false, 20000 } },
				       "\"k1\""));
		process = start_gateway(fleet, directory.path, "h1");
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
	}

	static std::string head(const std::string &route, const std::string &id,
				size_t body_bytes)
	{
		std::string model = "X-Model: m\r\nX-Token-Usage: 100,8\r\n"
				    "X-Prefix-Hash: aa:50,bb:50\r\n";

		return "POST /" + route +
		       "/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n"
		       "X-Attempt-Id: " +
		       id + "\r\nX-Deadline-Ms: 20000\r\n" +
		       (route == "draft" ? model : "") +
		       "Content-Length: " + std::to_string(body_bytes) +
		       "\r\n\r\n";
	}

	static std::string request(const std::string &route,
				   const std::string &id)
	{
		return head(route, id, 4) + "body";
	}

	static void sleep_ms(int ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
	}
};

// They were passed on as long as their first byte had come early enough, and
// cut off without an answer at the end of the grace period.
TEST_F(Stop, RequestThatIsWholeLateInTheGracePeriodIsRefusedAsNotRun)
{
	RawCaller late(Fleet::url("h1", "")), keeps(Fleet::url("h1", ""));
	std::string text = head("record", "late", 10000);

	fleet.behave("a1", Behaviour::hang);
	/* Keeps the process from ending early. */
	keeps.write(request("record", "keeps"));
	ASSERT_TRUE(wait_until([&] { return fleet.runs("keeps") == 1; }));
	late.write(text + std::string(5000, 'b'));
	sleep_ms(100);
	process->signal(SIGTERM);
	sleep_ms(4500);
	late.write(std::string(5000, 'b'));
	late.read_to_end();
	EXPECT_EQ(late.status(), 503);
	EXPECT_NE(late.read("").find("Retry-After: "), std::string::npos);
	EXPECT_EQ(fleet.runs("late"), 0);
}

// An engine goes on with them; their callers got a closed connection.
TEST_F(Stop, RequestThatCannotEndIsAnsweredBeforeTheProcessEnds)
{
	struct Asked {
		const char *route;
		int after_ms;
	};
	static const Asked cases[] = {
		{ "record", -1 }, { "look", -1 },     { "draft", -1 },
		{ "record", 0 },  { "record", 2000 }, { "look", 2000 },
	};
	std::vector<std::unique_ptr<RawCaller>> callers;
	int at_ms = 0;

	fleet.behave("a1", Behaviour::hang);
	fleet.behave("e1", Behaviour::hang);
	for (const Asked &c : cases) {
		std::string id = "r" + std::to_string(callers.size());

		if (c.after_ms >= 0 && callers.size() == 3)
			process->signal(SIGTERM);
		sleep_ms(std::max(c.after_ms - at_ms, 0));
		at_ms = std::max(c.after_ms, at_ms);
		callers.push_back(
			std::make_unique<RawCaller>(Fleet::url("h1", "")));
		callers.back()->write(request(c.route, id));
		ASSERT_TRUE(wait_until([&] { return fleet.runs(id) == 1; }));
	}
	for (size_t i = 0; i < callers.size(); i++) {
		callers[i]->read_to_end();
		EXPECT_EQ(callers[i]->status(), 504) << i;
		EXPECT_TRUE(callers[i]->is_whole()) << i;
		EXPECT_EQ(fleet.runs("r" + std::to_string(i)), 1) << i;
	}
	EXPECT_EQ(process->wait(grace_ms), 0);
}

// An answer that was read whole and not yet sent, or that becomes whole during
// the stop, reaches a caller that reads slowly.
TEST_F(Stop, LongAnswerReachesACallerThatReadsSlowly)
{
	static const int answer_bytes = 6000000, bytes_per_s = 1500000;
	std::atomic<int> answered{ 0 };
	ScriptedServer engine([&](const ScriptedServer::Request &r) {
		bool is_late = r.field("X-Attempt-Id") == "late";

		if (is_late)
			sleep_ms(1000);
		answered++;
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
		       r.field("X-Attempt-Id") +
		       "\r\nX-Response-Stamp: s\r\nContent-Length: " +
		       std::to_string(answer_bytes) + "\r\n\r\n" +
		       std::string(answer_bytes, 'x');
	});
	std::vector<std::thread> readers;

	fleet.set_address("a1", engine.address());
	sleep_ms(500);
	auto ask = [&](const std::string &id, const std::string &more) {
		readers.emplace_back([=] {
			RawCaller caller(Fleet::url("h1", ""), 65536);

			caller.write(request("record", id) + more);
			caller.read_slowly(bytes_per_s);
			EXPECT_EQ(caller.status(), 200) << id;
			EXPECT_TRUE(caller.is_whole()) << id;
		});
	};
	ask("early", "");
	ASSERT_TRUE(wait_until([&] { return answered == 1; }));
	sleep_ms(300);
	ask("late", "");
	sleep_ms(200);
	process->signal(SIGTERM);
	for (std::thread &reader : readers)
		reader.join();
	EXPECT_EQ(process->wait(grace_ms), 0);
}

} // namespace
