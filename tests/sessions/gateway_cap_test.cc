// Usage caps of teams, with real processes.
#include <gtest/gtest.h>

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

using namespace harness;

namespace
{

struct Counts {
	int answered = 0, refused = 0, other = 0;
};

class Caps : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::map<std::string, std::unique_ptr<Process>> hosts;
	int version = 0;

	void SetUp() override
	{
		fleet.add_engine("a1", "app");
		fleet.add_engine("a2", "app");
	}

	void TearDown() override
	{
		for (auto &host : hosts)
			if (host.second)
				kill(host.second->pid(), SIGCONT);
	}

	// @cap: members of the team, such as "\"rate_per_s\":10,".
	void configure(const std::string &cap)
	{
		std::string text = fleet_config(
			++version,
			{ { "look", "idempotent", "app", 2, false, 1500 } },
			"\"k1\"");
		const std::string before = "\"tenants\":[{";

		text.insert(text.find(before) + before.size(), cap);
		fleet.put("op", "config", text);
	}

	void start(const std::string &name, const Place &place = {})
	{
		hosts[name] = nullptr;
		hosts[name] = start_gateway(fleet, directory.path, name, place,
					    name + ".log");
	}

	void start_all(int count)
	{
		for (int i = 1; i <= count; i++)
			start("h" + std::to_string(i));
		for (auto &host : hosts)
			ASSERT_TRUE(wait_until([&] {
				return call(Fleet::readiness(host.first))
					       .status == 200;
			}));
	}

	// Waits until the only host has read the list of hosts. Before that it
	// uses the share of one host of many, and the 400 ms for which early
	// requests wait may be too short in a slow build.
	static void wait_for_list()
	{
		ASSERT_TRUE(wait_until(
			[] { return metric("h1", "cap_hosts") == 1; }));
	}

	// Waits until each host has heard from others about its caps.
	void wait_for_messages()
	{
		for (auto &host : hosts)
			ASSERT_TRUE(wait_until([&] {
				return metric(host.first,
					      "use_messages_heard_total") > 10;
			})) << host.first;
		// A host that the reader of the region does not list yet gets
		// no rows, and refuses keys for a moment: stale_config.
		for (auto &host : hosts)
			ASSERT_TRUE(wait_until([&] {
				return metric(host.first, "cap_hosts") ==
				       (double)hosts.size();
			})) << host.first;
		for (auto &host : hosts)
			ASSERT_TRUE(wait_until([&] {
				return ask(host.first).status != 503;
			})) << host.first;
	}

	static Reply ask(const std::string &host, const std::string &id = "",
			 const Headers &more = {})
	{
		Headers headers = { "Host: h", "Authorization: Bearer k1" };

		headers.insert(headers.end(), more.begin(), more.end());
		if (!id.empty())
			headers.push_back("X-Attempt-Id: " + id);
		return call(Fleet::url(host, "/look/x"), "body", headers);
	}

	// Asks each of @names @per_s times a second for @ms.
	static Counts load(const std::vector<std::string> &names, int per_s,
			   int ms)
	{
		std::atomic<int> answered{ 0 }, refused{ 0 }, other{ 0 };
		std::vector<std::thread> threads;

		for (const std::string &name : names)
			threads.emplace_back([&, name] {
				auto start = std::chrono::steady_clock::now();

				for (int i = 0; i < per_s * ms / 1000; i++) {
					std::this_thread::sleep_until(
						start +
						std::chrono::milliseconds(
							i * 1000 / per_s));
					long status = ask(name).status;

					(status == 200	 ? answered
					 : status == 429 ? refused
							 : other)++;
				}
			});
		for (auto &thread : threads)
			thread.join();
		return { answered, refused, other };
	}

	static double metric(const std::string &host, const std::string &name)
	{
		std::string page = call(Fleet::metrics(host)).body;
		size_t at = page.find("\nbalsampin_gateway_" + name + " ");

		return at == std::string::npos
			       ? -1
			       : std::stod(page.substr(page.find(' ', at + 1)));
	}

	// Most arrivals at engines within any 8 s.
	int busiest_window()
	{
		auto arrivals = fleet.arrivals();
		int most = 0;

		for (size_t i = 0; i < arrivals.size(); i++) {
			int count = 0;

			for (size_t k = i; k < arrivals.size(); k++)
				count += arrivals[k].at_ms <
					 arrivals[i].at_ms + 8000;
			most = std::max(most, count);
		}
		return most;
	}
};

// Over the cap: 429 with Retry-After, and the request never reached an engine.
TEST_F(Caps, RefusesOverTheCapBeforeSending)
{
	configure("\"rate_per_s\":0.01,\"burst\":10,");
	start_all(1);
	wait_for_list();
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(ask("h1", "in" + std::to_string(i)).status, 200);
	Reply reply = ask("h1", "out");

	EXPECT_EQ(reply.status, 429);
	EXPECT_NE(reply.body.find("over_cap"), std::string::npos);
	ASSERT_EQ(reply.headers.count("retry-after"), 1u);
	EXPECT_GE(std::stod(reply.headers["retry-after"]), 0.3);
	EXPECT_LE(std::stod(reply.headers["retry-after"]), 5.0);
	EXPECT_EQ(fleet.runs("out"), 0);
	for (const auto &arrival : fleet.arrivals()) {
		auto id = arrival.headers.find("x-attempt-id");

		EXPECT_TRUE(id == arrival.headers.end() || id->second != "out");
	}
}

// docs/OPERATIONS.md: "a caller got 429", from its id to the reason.
TEST_F(Caps, LogsLeadFromTheIdToTheReason)
{
	configure("\"rate_per_s\":0.01,\"burst\":4,");
	start_all(1);
	wait_for_list();
	EXPECT_EQ(ask("h1", "first").status, 200);
	EXPECT_EQ(ask("h1", "second").status, 429);
	std::string log = directory.path + "/h1.log", text;

	ASSERT_TRUE(wait_until([&] {
		return read_file(log).find("\"outcome\":\"over_cap\"") !=
		       std::string::npos;
	}));
	Process command({ BALSAMPIN_PROGRAM, "logs", "--id", "second", log },
			directory.path + "/lines");

	EXPECT_EQ(command.wait(), 0);
	text = read_file(directory.path + "/lines");
	for (const char *part :
	     { "over_cap request=second team=t1 cost=1 used=1 cap=4 ",
	       "share_permille=1000",
	       "age_ms=", "content=", "outcome=over_cap status=429" })
		EXPECT_NE(text.find(part), std::string::npos) << part << "\n"
							      << text;
}

// docs/OPERATIONS.md, "Refused: 503": the content that a refusal names leads to
// the crashes that decided it.
TEST_F(Caps, LogsLeadFromARefusalToItsContent)
{
	std::string log = directory.path + "/h1.log", text, content;
	const std::string field = " content=";

	for (const char *engine : { "a3", "a4", "a5" })
		fleet.add_engine(engine, "app");
	configure("");
	start_all(1);
	fleet.crash_on("body", 300);
	ASSERT_TRUE(wait_until([&] {
		ask("h1", "refused");
		return read_file(log).find("crashes_engines") !=
		       std::string::npos;
	}));
	Process first({ BALSAMPIN_PROGRAM, "logs", "--id", "refused", log },
		      directory.path + "/lines");

	EXPECT_EQ(first.wait(), 0);
	text = read_file(directory.path + "/lines");
	size_t at = text.find(field, text.find("outcome=crashes_engines"));
	ASSERT_NE(at, std::string::npos) << text;
	at += field.size();
	content = text.substr(at, text.find_first_of(" \n", at) - at);
	Process second({ BALSAMPIN_PROGRAM, "logs", "--id", content, log },
		       directory.path + "/content");

	EXPECT_EQ(second.wait(), 0);
	text = read_file(directory.path + "/content");
	EXPECT_NE(text.find("request_suspected content=" + content),
		  std::string::npos)
		<< text;
}

// The cap holds over all hosts together, not for each of them.
TEST_F(Caps, HostsShareTheCap)
{
	configure("\"rate_per_s\":20,\"burst\":20,");
	start_all(3);
	wait_for_messages();
	int before = (int)fleet.arrivals().size();
	Counts counts = load({ "h1", "h2", "h3" }, 30, 10000);

	EXPECT_EQ(counts.other, 0);
	EXPECT_LE(busiest_window(), (20 * 8 + 20) * 1.1);
	EXPECT_GE(counts.answered, 20 * 10 * 0.85);
	EXPECT_EQ((int)fleet.arrivals().size() - before, counts.answered);
}

// Below the cap nothing is refused, also with all load at one host.
TEST_F(Caps, LoadOfOneHostBelowTheCapIsServed)
{
	configure("\"rate_per_s\":40,\"burst\":40,");
	start_all(3);
	wait_for_messages();
	Counts counts = load({ "h2" }, 30, 5000);

	EXPECT_EQ(counts.refused, 0);
	EXPECT_EQ(counts.other, 0);
}

// All hosts are killed at once and start anew: no fresh burst.
TEST_F(Caps, AllHostsAreKilledAtOnce)
{
	std::vector<std::string> names = { "h1", "h2", "h3" };

	configure("\"rate_per_s\":20,\"burst\":20,");
	start_all(3);
	wait_for_messages();
	load(names, 30, 5000);
	for (auto &host : hosts)
		host.second->signal(SIGKILL);
	start_all(3);
	Counts counts = load(names, 30, 8000);

	EXPECT_LE(busiest_window(), (20 * 8 + 20) * 1.1);
	EXPECT_GE(counts.answered, 20 * 8 * 0.7);
}

// A frozen host wakes up with a full bucket of old knowledge.
TEST_F(Caps, FrozenHostWakesUp)
{
	configure("\"rate_per_s\":20,\"burst\":20,");
	start_all(3);
	wait_for_messages();
	hosts["h3"]->signal(SIGSTOP);
	load({ "h1", "h2" }, 40, 6000);
	hosts["h3"]->signal(SIGCONT);
	load({ "h1", "h2", "h3" }, 40, 4000);
	EXPECT_LE(busiest_window(), (20 * 8 + 20) * 1.1);
}

// What an engine refuses as not run is not charged: the team would be refused
// below its cap while engines are busy.
TEST_F(Caps, RefusedByEnginesIsGivenBack)
{
	configure("\"rate_per_s\":0.01,\"burst\":20,");
	start_all(1);
	wait_for_list();
	fleet.behave("a1", Behaviour::refuse);
	fleet.behave("a2", Behaviour::refuse);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(ask("h1").status, 503);
	fleet.behave("a1", Behaviour::answer);
	fleet.behave("a2", Behaviour::answer);
	EXPECT_EQ(ask("h1").status, 200);
}

// A cap in tokens counts both numbers of the request, and plain_tokens without.
TEST_F(Caps, CountsTokens)
{
	static const struct {
		const char *tokens;
		long status;
	} cases[] = {
		{ "X-Token-Usage: 100, 150", 200 },
		{ "X-Token-Usage: 100, 250", 429 },
		{ "X-Other: 1", 200 },
		{ "X-Other: 1", 429 },
	};

	configure("\"rate_per_s\":0.01,\"burst\":1000,\"unit\":\"tokens\","
		  "\"plain_tokens\":40,");
	start_all(1);
	wait_for_list();
	for (const auto &c : cases)
		EXPECT_EQ(ask("h1", "", { c.tokens }).status, c.status)
			<< c.tokens;
}

// Changes of the configuration: a bad cap leaves the last one in force, a
// removed one binds no longer, and without caps no message is sent.
TEST_F(Caps, FollowsTheConfiguration)
{
	configure("");
	start_all(2);
	EXPECT_EQ(load({ "h1" }, 50, 1000).refused, 0);
	EXPECT_EQ(metric("h1", "use_messages_sent_total"), 0);
	configure("\"rate_per_s\":1,\"burst\":1,");
	EXPECT_TRUE(wait_until([] { return ask("h1").status == 429; }));
	configure("\"rate_per_s\":-1,\"burst\":1,");
	EXPECT_TRUE(wait_until([&] {
		return read_file(directory.path + "/h1.log")
			       .find("config_finding") != std::string::npos;
	}));
	EXPECT_GT(load({ "h1" }, 50, 1000).refused, 40);
	configure("");
	EXPECT_TRUE(wait_until([] { return ask("h1").status == 200; }));
	EXPECT_EQ(load({ "h1" }, 50, 1000).refused, 0);
}

// The store is unavailable: nothing depends on it. The bound for revoked keys
// ends the service before long, so the outage is short.
TEST_F(Caps, StoreIsUnavailable)
{
	configure("\"rate_per_s\":20,\"burst\":20,");
	start_all(2);
	wait_for_messages();
	fleet.set_store_down(true);
	Counts counts = load({ "h1", "h2" }, 30, 1000);

	EXPECT_EQ(counts.other, 0);
	EXPECT_GT(counts.answered, 10);
	EXPECT_GT(counts.refused, 5);
	fleet.set_store_down(false);
}

// Above 17 hosts the messages pass through collectors; one of them is killed.
TEST_F(Caps, ThroughCollectors)
{
	const int count = 20;
	std::vector<std::string> names;
	std::string collector;

	configure("\"rate_per_s\":40,\"burst\":40,");
	for (int i = 0; i < count; i++)
		start("h" + std::to_string(i),
		      { i % 2 ? "z1" : "z2", i % 2 ? "r1" : "r2", "" });
	for (auto &host : hosts)
		ASSERT_TRUE(wait_until([&] {
			return metric(host.first, "use_messages_heard_total") >
			       20;
		})) << host.first;
	for (auto &host : hosts) {
		if (metric(host.first, "collects_load") > 0)
			collector = host.first;
		else if (names.size() < 4)
			names.push_back(host.first);
	}
	ASSERT_FALSE(collector.empty());
	Counts counts = load(names, 30, 9000);

	EXPECT_EQ(counts.other, 0);
	EXPECT_GE(counts.answered, 40 * 9 * 0.8);
	EXPECT_LE(busiest_window(), (40 * 8 + 40) * 1.1);
	hosts[collector]->signal(SIGKILL);
	load(names, 30, 9000);
	EXPECT_LE(busiest_window(), (40 * 8 + 40) * 1.1);
}

} // namespace
