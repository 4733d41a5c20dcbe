// Engines that say in their answers that they leave, or ask for a pause.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

extern "C" {
#include "kernel/ck.h"
}

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "proxy.h"

using namespace harness;

namespace
{

// From here on a pause binds a host, which may send this many requests in it.
const int64_t settle_ms = 500;
const int allowed_in_pause = 2;

class Notice : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::map<std::string, std::unique_ptr<Process>> hosts;
	std::atomic<int> attempts{ 0 };
	std::mutex lock;
	std::map<std::string, std::string> life_of;
	std::map<std::string, int> lives;

	void SetUp() override
	{
		for (const char *n : { "1", "2", "3" }) {
			fleet.add_engine(std::string("e") + n, "llm", "m", 1);
			fleet.add_engine(std::string("a") + n, "app");
		}
		fleet.put("op", "config",
			  fleet_config(1,
				       { { "grade", "streaming", "llm", 2, true,
					   3000 },
					 { "record", "non_idempotent", "app", 2,
					   false, 3000 },
					 { "look", "idempotent", "app", 2,
					   false, 3000 } },
				       "\"k1\""));
	}

	void start(const std::string &host, const Place &place)
	{
		{
			std::lock_guard<std::mutex> guard(lock);
			lives[host]++;
		}
		hosts[host] = start_gateway(fleet, directory.path, host, place,
					    host + ".log");
		ASSERT_TRUE(wait_until([&] {
			return call(Fleet::readiness(host)).status == 200;
		}));
	}

	Reply ask(const std::string &route, const std::string &host = "h1")
	{
		std::string n = std::to_string(++attempts);
		Headers headers = { "Host: h", "Authorization: Bearer k1",
				    "X-Attempt-Id: n" + n,
				    "X-Deadline-Ms: 3000" };

		{
			std::lock_guard<std::mutex> guard(lock);
			life_of["n" + n] =
				host + " " + std::to_string(lives[host]);
		}
		if (route == "grade") {
			headers.push_back("X-Model: m");
			headers.push_back("X-Token-Usage: 100,8");
			headers.push_back("X-Prefix-Hash: a" + n + ":50,b" + n +
					  ":20");
		}
		return call(Fleet::url(host, "/" + route + "/x"), "body " + n,
			    headers, "POST");
	}

	static bool knows_others(const std::string &host)
	{
		std::string name =
			"\nbalsampin_gateway_peer_messages_heard_total ";
		std::string page = call(Fleet::metrics(host)).body;
		size_t at = page.find(name);

		return at != std::string::npos &&
		       std::stod(page.substr(at + name.size())) > 0;
	}

	// A time after all arrivals so far, which are known in whole ms.
	static int64_t later_ms()
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(2));
		return ck_now_ms();
	}

	// Requests that reached @engine between two times.
	int arrivals(const std::string &engine, int64_t from_ms,
		     int64_t to_ms = INT64_MAX)
	{
		int count = 0;

		for (const Arrival &a : fleet.arrivals())
			count += a.engine == engine && a.at_ms >= from_ms &&
				 a.at_ms < to_ms;
		return count;
	}

	// Requests that reached @engine before @to_ms from half a second after
	// it had first refused one of the same life of the same host.
	std::map<std::string, int> late_in_pause(const std::string &engine,
						 int64_t from_ms, int64_t to_ms)
	{
		std::lock_guard<std::mutex> guard(lock);
		std::map<std::string, int64_t> told_ms;
		std::map<std::string, int> late;

		for (const Arrival &a : fleet.arrivals()) {
			if (a.engine != engine || a.at_ms < from_ms ||
			    a.at_ms >= to_ms)
				continue;
			const std::string &life =
				life_of[a.headers.at("X-Attempt-Id")];
			int64_t first_ms =
				told_ms.insert({ life, a.at_ms }).first->second;

			late[life] += a.at_ms > first_ms + settle_ms;
		}
		return late;
	}

	// What an answer tells binds the host, also while the store is away and
	// when the engine's entry goes and comes back. @kind: of the engines.
	void expect_left_alone(const std::string &route,
			       const std::string &kind, Behaviour behaviour)
	{
		std::string leaving = kind + "1";

		start("h1", {});
		fleet.behave(leaving, behaviour);
		fleet.say_leaving(leaving);
		fleet.set_draining(kind + "2");
		fleet.set_draining(kind + "3");
		ASSERT_TRUE(wait_until([&] {
			return ask(route).headers.count("server-leaving") > 0;
		}));
		int64_t heard_ms = later_ms();
		EXPECT_EQ(ask(route).status, 503);
		fleet.set_store_down(true);
		EXPECT_EQ(ask(route).status, 503);
		fleet.set_store_down(false);
		fleet.put("servers", leaving, "");
		std::this_thread::sleep_for(std::chrono::milliseconds(600));
		fleet.write_entry(leaving);
		std::this_thread::sleep_for(std::chrono::milliseconds(600));
		for (int i = 0; i < 10; i++)
			EXPECT_EQ(ask(route).status, 503);
		EXPECT_EQ(arrivals(leaving, heard_ms), 0);
		fleet.add_engine(kind + "4", kind == "e" ? "llm" : "app",
				 kind == "e" ? "m" : "", 1);
		EXPECT_TRUE(
			wait_until([&] { return ask(route).status == 200; }));
	}
};

TEST_F(Notice, EngineThatLeavesWithASuccessGetsNothingMore)
{
	expect_left_alone("look", "a", Behaviour::answer);
}

TEST_F(Notice, EngineThatLeavesWithAFailureGetsNothingMore)
{
	expect_left_alone("record", "a", Behaviour::fail);
}

TEST_F(Notice, EngineThatLeavesWithAStreamGetsNothingMore)
{
	expect_left_alone("grade", "e", Behaviour::answer);
}

// The engine had started anew when it said so, which the host learns later.
TEST_F(Notice, EngineWhoseStartIsLearntLateIsLeftAlone)
{
	const auto some_reads = std::chrono::milliseconds(1500);

	start("h1", {});
	fleet.set_draining("a2");
	fleet.set_draining("a3");
	std::this_thread::sleep_for(some_reads);
	fleet.set_store_down(true);
	fleet.start_anew("a1");
	fleet.say_leaving("a1");
	ASSERT_TRUE(wait_until([&] {
		return ask("look").headers.count("server-leaving") > 0;
	}));
	int64_t heard_ms = later_ms();
	fleet.set_store_down(false);
	fleet.write_entry("a1");
	std::this_thread::sleep_for(some_reads);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(ask("look").status, 503);
	EXPECT_EQ(arrivals("a1", heard_ms), 0);
	/* The next one has said nothing. */
	std::this_thread::sleep_for(some_reads);
	fleet.start_anew("a1");
	fleet.write_entry("a1");
	EXPECT_TRUE(wait_until([&] { return ask("look").status == 200; }));
}

// A host that starts anew may ask once more, and one that the store does not
// answer is bound as the others are.
TEST_F(Notice, EachLifeOfAHostLeavesAnEngineAloneThatLeaves)
{
	Proxy way(Fleet::store_ip(), Fleet::store_ip(), fleet.store_port());
	int64_t heard_ms;

	start("h1", {});
	start("h2", { "z2", "r1", way.address() });
	fleet.say_leaving("a1");
	for (const char *host : { "h1", "h2" })
		ASSERT_TRUE(wait_until([&] {
			return ask("look", host)
				       .headers.count("server-leaving") > 0;
		}));
	way.set(Way::silent);
	heard_ms = later_ms();
	for (int i = 0; i < 30; i++)
		for (const char *host : { "h1", "h2" })
			EXPECT_EQ(ask("look", host).status, 200);
	EXPECT_EQ(arrivals("a1", heard_ms), 0);
	way.set(Way::pass);
	hosts["h1"]->signal(SIGKILL);
	hosts["h1"]->wait();
	start("h1", {});
	for (int i = 0; i < 30; i++)
		for (const char *host : { "h1", "h2" })
			EXPECT_EQ(ask("look", host).status, 200);
	EXPECT_LE(arrivals("a1", heard_ms), 1);
}

// Nine hosts of three zones under load, one of which starts anew meanwhile.
TEST_F(Notice, PausedEngineGetsNoRequestAndTheOthersServe)
{
	static const char *const routes[] = { "look", "grade", "record" };
	const int pause_ms = 4000, host_count = 9;
	std::atomic<bool> is_finished{ false };
	std::atomic<int> asked{ 0 }, served{ 0 };
	std::vector<std::thread> callers;
	std::vector<Place> places;
	int64_t began_ms;

	for (int i = 0; i < host_count; i++) {
		places.push_back({ "z" + std::to_string(i % 3 + 1),
				   i % 3 == 2 ? "r2" : "r1", "" });
		start("h" + std::to_string(i), places.back());
	}
	began_ms = ck_now_ms();
	fleet.ask_pause("a1", pause_ms);
	fleet.ask_pause("e1", pause_ms);
	for (int i = 0; i < 2 * host_count; i++)
		callers.emplace_back([&, i] {
			std::string host = "h" + std::to_string(i % host_count);
			bool is_restarted = i % host_count == 0;

			for (int n = i; !is_finished; n++) {
				bool is_served =
					ask(routes[n % 3], host).status == 200;

				asked += !is_restarted;
				served += !is_restarted && is_served;
				std::this_thread::sleep_for(
					std::chrono::milliseconds(20));
			}
		});
	std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms / 3));
	hosts["h0"]->signal(SIGKILL);
	hosts["h0"]->wait();
	start("h0", places[0]);
	std::this_thread::sleep_for(
		std::chrono::milliseconds(began_ms + pause_ms - ck_now_ms()));
	is_finished = true;
	for (auto &caller : callers)
		caller.join();
	for (const char *engine : { "a1", "e1" }) {
		EXPECT_GE(arrivals(engine, began_ms), 1) << engine;
		for (const auto &life :
		     late_in_pause(engine, began_ms, began_ms + pause_ms))
			EXPECT_LE(life.second, allowed_in_pause)
				<< engine << " from " << life.first;
	}
	EXPECT_GE(served, asked * 9 / 10);
	EXPECT_TRUE(wait_until([&] {
		ask("look");
		return arrivals("a1", began_ms + pause_ms) > 0;
	}));
}

// A host prefers other engines to those that asked its neighbours for a pause,
// also after it has started anew, but refuses nothing for hearsay.
TEST_F(Notice, HostsOfAZoneTellEachOther)
{
	const int pause_ms = 6000;

	start("h1", {});
	start("h2", {});
	for (const char *host : { "h1", "h2" })
		ASSERT_TRUE(wait_until([&] { return knows_others(host); }));
	fleet.ask_pause("a1", pause_ms);
	int64_t began_ms = ck_now_ms();
	ASSERT_TRUE(wait_until([&] {
		return ask("record", "h1").status == 200 &&
		       arrivals("a1", began_ms) > 0;
	}));
	std::this_thread::sleep_for(std::chrono::milliseconds(100));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(ask("record", "h2").status, 200);
	EXPECT_EQ(arrivals("a1", began_ms), 1);
	hosts["h2"]->signal(SIGKILL);
	hosts["h2"]->wait();
	start("h2", {});
	ASSERT_TRUE(wait_until([&] { return knows_others("h2"); }));
	std::this_thread::sleep_for(std::chrono::milliseconds(100));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(ask("record", "h2").status, 200);
	EXPECT_EQ(arrivals("a1", began_ms), 1);
	for (const char *id : { "a2", "a3" })
		fleet.ask_pause(id, pause_ms);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(ask("record", "h1").status, 503);
	int64_t from_ms = later_ms();
	EXPECT_EQ(ask("record", "h2").status, 503);
	EXPECT_GT(arrivals("a1", from_ms) + arrivals("a2", from_ms) +
			  arrivals("a3", from_ms),
		  0);
}

// One engine pauses, and the only other one refuses a request: its caller need
// not wait for the end of the pause.
TEST_F(Notice, PauseOfOneEngineIsNotTheWaitForAnother)
{
	start("h1", {});
	fleet.set_draining("a3");
	fleet.ask_pause("a1", 9000);
	int64_t began_ms = ck_now_ms();
	ASSERT_TRUE(wait_until([&] {
		return ask("record").status == 200 &&
		       arrivals("a1", began_ms) > 0;
	}));
	fleet.behave("a2", Behaviour::refuse);
	Reply r = ask("record");

	EXPECT_EQ(r.status, 503);
	ASSERT_EQ(r.headers.count("retry-after"), 1u);
	EXPECT_LT(std::stod(r.headers["retry-after"]), 3.0);
}

TEST_F(Notice, RefusalTellsWhenThePauseEnds)
{
	start("h1", {});
	for (const char *id : { "a1", "a2", "a3" })
		fleet.ask_pause(id, 3000);
	/* The host learns of each pause by a refusal. */
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(ask("record").status, 503);
	int64_t from_ms = later_ms();
	Reply r = ask("record");

	EXPECT_EQ(r.status, 503);
	ASSERT_EQ(r.headers.count("retry-after"), 1u);
	EXPECT_GT(std::stod(r.headers["retry-after"]), 2.0);
	EXPECT_LT(std::stod(r.headers["retry-after"]), 5.0);
	for (const char *id : { "a1", "a2", "a3" })
		EXPECT_EQ(arrivals(id, from_ms), 0) << id;
}

} // namespace
