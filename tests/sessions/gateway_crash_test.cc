// Requests that crash the engines which run them, against real gateways.
#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <chrono>
#include <thread>

extern "C" {
#include "kernel/ck.h"
}

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

using namespace harness;

namespace
{

// Time for which an engine is down after a crash.
const int down_ms = 700;
// The same where several crashes have to fit into an outage of the store.
const int briefly_down_ms = 300;
// Limit of the engines that one request may crash.
const int max_crashes = 3;
const char *const deadly = "crashes engines";
// Part of a prompt that crashes engines, and the bound on requests with it:
// how many may reach engines, and since how long after the fifth crash.
const char *const deadly_part = "dead";
const size_t bounded_crashes = 5;
const int64_t settle_ms = 4000;
const int max_late_arrivals = 3;

std::string config()
{
	return fleet_config(
		1,
		{ { "grade", "streaming", "llm", 2, true, 3000 },
		  { "draft", "streaming", "llm", 1, false, 3000 },
		  { "record", "non_idempotent", "app", 1, false, 3000 },
		  { "look", "idempotent", "app", 2, false, 3000 } },
		"\"k1\"");
}

class Crash : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::map<std::string, std::unique_ptr<Process>> hosts;
	std::atomic<int> attempts{ 0 };

	void SetUp() override
	{
		for (int i = 0; i < 5; i++) {
			std::string n = std::to_string(i);

			fleet.add_engine("e" + n, "llm", "m", 1);
			fleet.add_engine("a" + n, "app");
		}
		fleet.put("op", "config", config());
	}

	void start(const std::string &host, const Place &place)
	{
		hosts[host] = start_gateway(fleet, directory.path, host, place,
					    host + ".log");
		ASSERT_TRUE(wait_until([&] {
			return call(Fleet::readiness(host)).status == 200;
		}));
	}

	void kill_all()
	{
		for (auto &host : hosts)
			host.second->signal(SIGKILL);
		for (auto &host : hosts)
			host.second->wait();
	}

	// Writes of the row of crash records by all hosts.
	size_t row_writes()
	{
		static const std::string event =
			"\"event\":\"poison_row\",\"outcome\":\"sent\"";
		size_t count = 0;

		for (const auto &host : hosts) {
			std::string log = read_file(directory.path + "/" +
						    host.first + ".log");

			for (size_t at = log.find(event);
			     at != std::string::npos;
			     at = log.find(event, at + 1))
				count++;
		}
		return count;
	}

	// Sends requests with @part to all hosts in turn, one after the engines
	// that the other ended are back. Returns how many engines ended.
	int send_part(const std::string &part, int times)
	{
		static const char *const names[] = { "h1", "h2", "h3" };
		int before = fleet.crashes();

		for (int i = 0; i < times; i++) {
			ask_with_part(part, names[i % 3]);
			std::this_thread::sleep_for(
				std::chrono::milliseconds(down_ms));
		}
		return fleet.crashes() - before;
	}

	void start_three()
	{
		start("h1", { "z1", "r1", "" });
		start("h2", { "z2", "r1", "" });
		start("h3", { "z3", "r2", "" });
		for (const auto &host : hosts)
			ASSERT_TRUE(receives_from_peers(host.first, 2))
				<< host.first;
	}

	// Waits until @host has received messages from @count other hosts.
	static bool receives_from_peers(const std::string &host, int count)
	{
		std::string name =
			"\nbalsampin_gateway_peer_messages_heard_total ";

		return wait_until([&] {
			std::string page = call(Fleet::metrics(host)).body;
			size_t at = page.find(name);

			return at != std::string::npos &&
			       std::stoi(page.substr(at + name.size())) >
				       10 * count;
		});
	}

	// Sends the content with a new attempt id, as a caller would.
	Reply ask(const std::string &route, const std::string &body,
		  const std::string &host = "h1",
		  const std::string &parts = "aa:50,bb:30,cc:20")
	{
		Headers headers = { "Host: h", "Authorization: Bearer k1",
				    "X-Attempt-Id: c" +
					    std::to_string(++attempts),
				    "X-Deadline-Ms: 3000" };

		if (route == "grade" || route == "draft") {
			headers.push_back("X-Model: m");
			headers.push_back("X-Token-Usage: 100,8");
			headers.push_back("X-Prefix-Hash: " + parts);
		}
		return call(Fleet::url(host, "/" + route + "/x"), body, headers,
			    "POST");
	}

	// Sends a request like no other; its prompt has @part in the middle.
	Reply ask_with_part(const std::string &part, const std::string &host)
	{
		std::string n = std::to_string(attempts);

		return ask("grade", "body " + n, host,
			   "aa:50," + part + ":30,f" + n + ":20");
	}

	// Arrivals at engines with @part, later than @settle_ms after the
	// crash that the bound counts from.
	int late_arrivals(const std::string &part)
	{
		std::vector<int64_t> crashes = fleet.crash_times();
		int late = 0;

		if (crashes.size() < bounded_crashes)
			return 0;
		for (const Arrival &a : fleet.arrivals())
			if (a.headers.count("X-Prefix-Hash") &&
			    a.headers.at("X-Prefix-Hash")
					    .find("," + part + ":") !=
				    std::string::npos &&
			    a.at_ms > crashes[bounded_crashes - 1] + settle_ms)
				late++;
		return late;
	}

	// Sends requests with @part to all hosts in turn for @lasts_ms, and
	// sound ones with the same first part beside them. Returns how many of
	// the sound ones of the last @settle_ms were answered in full, in 100.
	int play_part(const std::string &part, int64_t lasts_ms)
	{
		static const char *const names[] = { "h1", "h2", "h3" };
		std::atomic<bool> is_finished{ false };
		std::atomic<int> asked{ 0 }, served{ 0 };
		std::vector<std::thread> callers;
		int64_t began_ms = ck_now_ms();

		for (int i = 0; i < 3; i++)
			callers.emplace_back([&, i] {
				while (!is_finished) {
					std::this_thread::sleep_for(
						std::chrono::milliseconds(20));
					int status =
						ask_with_part(
							"b" + std::to_string(i),
							names[i])
							.status;

					if (ck_now_ms() - began_ms <
					    lasts_ms - settle_ms)
						continue;
					asked++;
					served += status == 200;
				}
			});
		for (int i = 0; ck_now_ms() - began_ms < lasts_ms; i++) {
			ask_with_part(part, names[i % 3]);
			std::this_thread::sleep_for(
				std::chrono::milliseconds(100));
		}
		is_finished = true;
		for (auto &caller : callers)
			caller.join();
		return asked ? 100 * served / asked : 0;
	}

	// Sends requests with @part to one host for @lasts_ms.
	void play_part(const std::string &part, const std::string &host,
		       int64_t lasts_ms)
	{
		int64_t until_ms = ck_now_ms() + lasts_ms;

		while (ck_now_ms() < until_ms) {
			ask_with_part(part, host);
			std::this_thread::sleep_for(
				std::chrono::milliseconds(200));
		}
	}

	// Sends the crashing request @times to @hosts in turn, with a pause
	// after each answer.
	Reply send_crashing(const std::string &route, int times,
			    const std::vector<std::string> &hosts)
	{
		Reply last;

		for (int i = 0; i < times; i++) {
			last = ask(route, deadly, hosts[i % hosts.size()]);
			std::this_thread::sleep_for(
				std::chrono::milliseconds(150));
		}
		return last;
	}
};

TEST_F(Crash, CrashingRequestIsRefusedByItsHost)
{
	static const char *const routes[] = { "look", "grade", "draft",
					      "record" };

	start("h1", {});
	fleet.crash_on(deadly, down_ms);
	for (const char *name : routes) {
		int before = fleet.crashes();
		Reply last = send_crashing(name, 10, { "h1" });

		EXPECT_LE(fleet.crashes() - before, max_crashes) << name;
		EXPECT_EQ(last.status, 503) << name;
		EXPECT_EQ(last.headers.count("retry-after"), 1u) << name;
		EXPECT_EQ(ask(name, "harmless").status, 200) << name;
	}
}

TEST_F(Crash, CrashingRequestIsRefusedByAllHosts)
{
	start_three();
	fleet.crash_on(deadly, down_ms);
	Reply last = send_crashing("look", 12, { "h1", "h2", "h3" });
	EXPECT_LE(fleet.crashes(), max_crashes);
	EXPECT_EQ(last.status, 503);
	EXPECT_EQ(ask("look", "harmless", "h3").status, 200);
}

TEST_F(Crash, CrashingRequestIsRefusedAfterAllHostsRestarted)
{
	start_three();
	fleet.crash_on(deadly, down_ms);
	send_crashing("look", 12, { "h1", "h2", "h3" });
	int before = fleet.crashes();

	kill_all();
	start_three();
	Reply last = send_crashing("look", 6, { "h1", "h2", "h3" });
	EXPECT_EQ(fleet.crashes(), before);
	EXPECT_EQ(last.status, 503);
}

// Requests that were running at the crashed engine are served elsewhere, and
// served again when their callers send them once more.
TEST_F(Crash, RequestsBesideACrashingOneAreServed)
{
	static const int beside = 12;

	start("h1", {});
	for (int i = 0; i < 5; i++)
		fleet.behave("a" + std::to_string(i), Behaviour::pace);
	fleet.crash_on(deadly, down_ms);
	for (int round = 0; round < 3; round++) {
		std::vector<std::thread> callers;
		std::vector<long> statuses(beside);

		for (int i = 0; i < beside; i++)
			callers.emplace_back([&, i] {
				statuses[i] =
					ask("look", "body " + std::to_string(i))
						.status;
			});
		ask("look", deadly);
		for (auto &caller : callers)
			caller.join();
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(2 * down_ms));
	for (int i = 0; i < beside; i++)
		EXPECT_EQ(ask("look", "body " + std::to_string(i)).status, 200)
			<< i;
}

// Many callers send the same harmless content to all hosts while engines that
// run it keep crashing. It is present at the crashes, but also gets complete
// answers between them, which must clear it.
TEST_F(Crash, ContentThatOtherHostsAnswerIsNotRefused)
{
	std::vector<std::thread> pollers;
	std::atomic<bool> is_finished{ false };

	start_three();
	for (int i = 0; i < 5; i++)
		fleet.behave("a" + std::to_string(i), Behaviour::pace);
	for (const char *host : { "h1", "h2", "h3" })
		pollers.emplace_back([this, host, &is_finished] {
			while (!is_finished)
				ask("look", "poll", host);
		});
	for (int i = 0; i < 6; i++) {
		std::string body = deadly + std::to_string(i);

		fleet.crash_on(body, down_ms);
		ask("look", body, i % 2 ? "h1" : "h2");
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
	}
	is_finished = true;
	for (auto &poller : pollers)
		poller.join();
	EXPECT_GE(fleet.crashes(), 6);
	for (const char *host : { "h1", "h2", "h3" })
		EXPECT_EQ(ask("look", "poll", host).status, 200) << host;
}

// Requests that share a part of their prompt and nothing else crash one engine
// after the other; the part is to be recognized, and sound requests beside it,
// with the same caller and first part, are to be served.
TEST_F(Crash, RequestsThatShareACrashingPartAreRefused)
{
	start_three();
	fleet.crash_on_part(deadly_part, down_ms);
	int served = play_part(deadly_part, 12000);

	EXPECT_LE(late_arrivals(deadly_part), max_late_arrivals);
	EXPECT_GE(served, 90);
	for (const char *host : { "h1", "h2", "h3" }) {
		Reply last = ask_with_part(deadly_part, host);

		EXPECT_EQ(last.status, 503) << host;
		EXPECT_EQ(last.headers.count("retry-after"), 1u) << host;
		EXPECT_EQ(ask_with_part("b0", host).status, 200) << host;
	}
}

// All hosts are killed after two moments of crashes; three prove a part. The
// crash records must not have to be collected again, and the part that all
// prompts share, which was answered just before, must not be taken for the
// cause. A request ends two engines at most.
TEST_F(Crash, EvidenceOutlivesAllHostsKilledAmidTheCrashes)
{
	static const char *const names[] = { "h1", "h2", "h3" };
	int64_t began_ms;

	start_three();
	for (const char *host : names)
		ASSERT_EQ(ask_with_part("b0", host).status, 200) << host;
	EXPECT_EQ(row_writes(), 0u);
	began_ms = ck_now_ms();
	fleet.crash_on_part(deadly_part, down_ms);
	ASSERT_GE(send_part(deadly_part, 2), 2);
	/* The row may be written a second after the last time. */
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	kill_all();
	EXPECT_GE(row_writes(), 1u);
	start_three();
	EXPECT_LE(send_part(deadly_part, 6), 2);
	for (const char *host : names) {
		EXPECT_EQ(ask_with_part(deadly_part, host).status, 503) << host;
		EXPECT_EQ(ask_with_part("b1", host).status, 200) << host;
	}
	EXPECT_LE(row_writes(), (ck_now_ms() - began_ms) / 1000u + 1);
}

// All hosts are killed while requests with the part come to all of them, and
// sound requests with the same first part, which are to be served.
TEST_F(Crash, PartIsRefusedWhenAllHostsAreKilledWhileItIsSent)
{
	start_three();
	fleet.crash_on_part(deadly_part, down_ms);
	std::thread killer([&] {
		std::this_thread::sleep_for(
			std::chrono::milliseconds(2 * down_ms));
		kill_all();
		start_three();
	});
	int served = play_part(deadly_part, 14000);

	killer.join();
	EXPECT_LE(late_arrivals(deadly_part), max_late_arrivals);
	EXPECT_GE(served, 90);
}

// Engines start anew and crash again before their entries can be read.
TEST_F(Crash, SharedPartIsRefusedWhenTheStoreIsAway)
{
	start_three();
	fleet.crash_on_part(deadly_part, down_ms);
	std::thread outage([&] {
		fleet.set_store_down(true);
		std::this_thread::sleep_for(
			std::chrono::milliseconds(settle_ms));
		fleet.set_store_down(false);
	});
	int served = play_part(deadly_part, 12000);

	outage.join();
	EXPECT_LE(late_arrivals(deadly_part), max_late_arrivals);
	EXPECT_GE(served, 90);
}

// One engine crashes again and again under its old entry, each time at another
// host's request: each crash counts once, not all of them as one.
TEST_F(Crash, CrashesUnderOneEntryAreCountedWhicheverHostFindsThem)
{
	static const char *const names[] = { "h1", "h2", "h3", "h4", "h5" };

	start_three();
	start("h4", { "z1", "r1", "" });
	start("h5", { "z2", "r1", "" });
	for (const char *host : names)
		ASSERT_TRUE(receives_from_peers(host, 4)) << host;
	for (int i = 1; i < 5; i++)
		fleet.remove_engine("a" + std::to_string(i));
	for (const char *host : names)
		ASSERT_EQ(ask("look", "harmless", host).status, 200) << host;
	fleet.set_store_down(true);
	std::this_thread::sleep_for(std::chrono::milliseconds(down_ms));
	fleet.crash_on(deadly, briefly_down_ms);
	for (const char *host : names) {
		ask("look", deadly, host);
		std::this_thread::sleep_for(
			std::chrono::milliseconds(briefly_down_ms + 100));
	}
	EXPECT_LE(fleet.crashes(), max_crashes);
	fleet.set_store_down(false);
}

// A part that is refused can't clear itself by an answer, so it is tried again.
TEST_F(Crash, PartThatNoLongerCrashesEnginesIsServedAgain)
{
	start("h1", {});
	fleet.crash_on_part(deadly_part, down_ms);
	play_part(deadly_part, "h1", settle_ms);
	int crashes = fleet.crashes();
	play_part(deadly_part, "h1", 2 * down_ms);
	ASSERT_EQ(fleet.crashes(), crashes);
	fleet.spare_parts();
	EXPECT_TRUE(wait_until(
		[&] {
			std::this_thread::sleep_for(
				std::chrono::milliseconds(200));
			return ask_with_part(deadly_part, "h1").status == 200;
		},
		45000));
	EXPECT_EQ(ask_with_part(deadly_part, "h1").status, 200);
}

// A broken connection is no evidence of a crash if the engine is alive.
TEST_F(Crash, BrokenConnectionsToLiveEnginesAreNotEvidence)
{
	start("h1", {});
	for (int i = 0; i < 5; i++)
		fleet.behave("a" + std::to_string(i), Behaviour::close);
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(ask("look", "harmless").status, 502) << i;
	for (int i = 0; i < 5; i++)
		fleet.behave("a" + std::to_string(i), Behaviour::answer);
	EXPECT_EQ(ask("look", "harmless").status, 200);
}

} // namespace
