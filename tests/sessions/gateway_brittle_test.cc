// Engines that say that they are brittle: they fall over once they have to turn
// too many requests away in a second.
#include <gtest/gtest.h>

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

const int host_count = 3;
const int engine_count = 3;
const int callers_per_host = 6;
// Rejections in a second after which an engine falls over.
const int brittle_per_s = 10;
// From the users' pages: when hosts have to know.
const auto stable_window = std::chrono::milliseconds(3000);
const auto counted = std::chrono::milliseconds(3000);

std::string engine(int i)
{
	return "a" + std::to_string(i);
}

std::string host(int i)
{
	return "h" + std::to_string(i);
}

// The most requests that one engine got in any second since then.
int most_in_a_second(Fleet &fleet, const std::string &id, int64_t since_ms)
{
	std::vector<int64_t> times;
	size_t first = 0, most = 0;

	for (const Arrival &a : fleet.arrivals())
		if (a.engine == id && a.at_ms >= since_ms)
			times.push_back(a.at_ms);
	std::sort(times.begin(), times.end());
	for (size_t last = 0; last < times.size(); last++) {
		while (times[last] - times[first] >= 1000)
			first++;
		most = std::max(most, last - first + 1);
	}
	return (int)most;
}

// All engines are full and brittle. Each host sent on what it got, and the
// hosts together had every engine turn far more away than it bears.
TEST(Brittle, EnginesThatAreFullAreNotAskedMoreOftenThanTheyBear)
{
	TemporaryDirectory directory;
	Fleet fleet;
	std::vector<std::unique_ptr<Process>> hosts;
	std::vector<std::thread> callers;
	std::atomic<bool> is_over{ false };
	int64_t since_ms = 0;

	for (int i = 1; i <= engine_count; i++) {
		fleet.add_engine(engine(i), "app");
		fleet.set_brittle(engine(i), brittle_per_s);
		fleet.behave(engine(i), Behaviour::refuse);
	}
	fleet.put("op", "config",
		  fleet_config(
			  1,
			  { { "look", "idempotent", "app", 2, false, 1500 } },
			  "\"k1\""));
	for (int i = 1; i <= host_count; i++)
		hosts.push_back(start_gateway(fleet, directory.path, host(i),
					      {}, host(i) + ".log"));
	for (int i = 1; i <= host_count; i++)
		ASSERT_TRUE(wait_until([&] {
			return call(Fleet::readiness(host(i))).status == 200;
		}));
	for (int i = 0; i < host_count * callers_per_host; i++)
		callers.emplace_back([&, i] {
			for (int n = 0; !is_over; n++) {
				std::string id = std::to_string(i) + "-" +
						 std::to_string(n);

				call(Fleet::url(host(i % host_count + 1),
						"/look/x"),
				     "",
				     { "Host: h", "Authorization: Bearer k1",
				       "X-Attempt-Id: " + id,
				       "X-Deadline-Ms: 1500" },
				     "POST");
				std::this_thread::sleep_for(
					std::chrono::milliseconds(20));
			}
		});
	std::this_thread::sleep_for(stable_window);
	for (const Arrival &a : fleet.arrivals())
		since_ms = std::max(since_ms, a.at_ms);
	std::this_thread::sleep_for(counted);
	is_over = true;
	for (std::thread &caller : callers)
		caller.join();
	for (int i = 1; i <= engine_count; i++)
		EXPECT_LE(most_in_a_second(fleet, engine(i), since_ms),
			  brittle_per_s)
			<< engine(i);
}

} // namespace
