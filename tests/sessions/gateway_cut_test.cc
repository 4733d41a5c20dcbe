// Hosts that are cut off from all engines, while callers, the store and the
// other hosts still reach them.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "proxy.h"

using namespace harness;

namespace
{

const int host_count = 4;
const std::vector<std::string> engine_ids = { "a1", "a2", "a3", "a4",
					      "e1", "e2", "e3", "e4" };
const int callers_per_host = 6;
// From the users' pages: when the comparison begins, and its bounds.
const auto stable_window = std::chrono::milliseconds(3000);
const double least_ratio = 2.0 / 3;
const int allowed_failures = 10;
const int one_failure_in = 50;
const auto counted = std::chrono::milliseconds(3000);
// Soon after the links have healed, engines are used directly again.
const int heal_ms = 3000;

/* How the links of a host to the engines are cut. */
enum class Cut {
	none,
	reset,	     /* open connections and new ones are reset */
	hang,	     /* no byte passes, no end is told */
	refuses_new, /* open connections live on */
};

struct Count {
	std::atomic<int> served{ 0 };
	std::atomic<int> failed{ 0 };

	double share() const
	{
		return served + failed ? double(served) / (served + failed) : 0;
	}
};

class CutOff : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	/* By host, then by engine. */
	std::map<std::string, std::map<std::string, std::unique_ptr<Proxy>>>
		links;
	std::vector<std::unique_ptr<Process>> hosts;

	void SetUp() override
	{
		for (const std::string &id : engine_ids)
			fleet.add_engine(id, id[0] == 'a' ? "app" : "llm",
					 id[0] == 'a' ? "" : "m", 1);
		fleet.put("op", "config",
			  fleet_config(1,
				       { { "look", "idempotent", "app", 2,
					   false, 4000 },
					 { "record", "non_idempotent", "app", 1,
					   false, 4000 },
					 { "grade", "streaming", "llm", 2, true,
					   5000 } },
				       "\"k1\""));
		for (int i = 1; i <= host_count; i++)
			start(name(i));
		for (int i = 1; i <= host_count; i++)
			ASSERT_TRUE(wait_until([&] {
				return call(Fleet::readiness(name(i))).status ==
				       200;
			}));
		/* The hosts have found each other. */
		std::this_thread::sleep_for(std::chrono::milliseconds(4000));
	}

	void start(const std::string &host)
	{
		std::map<std::string, std::string> addresses;
		Place place;

		for (const std::string &id : engine_ids) {
			auto link = std::make_unique<Proxy>(
				Fleet::store_ip(), Fleet::store_ip(),
				fleet.engine_port(id));

			addresses[id] = link->address();
			links[host][id] = std::move(link);
		}
		place.region = "r-" + host;
		place.store = fleet.add_view(addresses);
		hosts.push_back(start_gateway(fleet, directory.path, host,
					      place, host + ".log"));
	}

	static std::string name(int i)
	{
		return "h" + std::to_string(i);
	}

	void cut(const std::string &host, Cut how)
	{
		for (const std::string &id : engine_ids) {
			Proxy &link = *links[host][id];

			switch (how) {
			case Cut::none:
				link.tear();
				link.set_target_port(fleet.engine_port(id));
				link.set(Way::pass);
				break;
			case Cut::reset:
				link.set(Way::reset);
				break;
			case Cut::hang:
				link.set(Way::silent);
				break;
			case Cut::refuses_new:
				link.set_target_port(0);
				break;
			}
		}
	}

	static bool is_served(const std::string &host, const std::string &route,
			      const std::string &id)
	{
		std::vector<std::string> fields = { "Host: h",
						    "Authorization: Bearer k1",
						    "X-Attempt-Id: " + id,
						    "X-Deadline-Ms: 4000" };

		if (route == "grade")
			for (const char *field :
			     { "X-Model: m", "X-Token-Usage: 100,8",
			       "X-Prefix-Hash: aa:50,bb:50" })
				fields.push_back(field);
		Reply reply = call(Fleet::url(host, "/" + route + "/x"),
				   "body of " + id, fields, "POST", 6000);
		return reply.complete && reply.status == 200 &&
		       reply.headers.count("x-response-stamp") &&
		       reply.body == (route == "grade" ? stream_answer(0)
						       : "recorded");
	}

	// First tries at all hosts for the time; by host.
	void load(std::map<std::string, Count> &counts,
		  std::chrono::milliseconds time, const std::string &label)
	{
		auto end = std::chrono::steady_clock::now() + time;
		std::vector<std::thread> callers;

		for (int i = 1; i <= host_count; i++)
			counts[name(i)];
		for (int i = 0; i < host_count * callers_per_host; i++)
			callers.emplace_back([&, i] {
				static const char *const routes[] = { "look",
								      "record",
								      "grade" };
				std::string host = name(i % host_count + 1);
				Count &count = counts[host];

				for (int n = 0;
				     std::chrono::steady_clock::now() < end;
				     n++) {
					std::string id =
						label + std::to_string(i) +
						"-" + std::to_string(n);
					bool is_ok = is_served(
						host, routes[(i + n) % 3], id);

					(is_ok ? count.served : count.failed)++;
					std::this_thread::sleep_for(
						std::chrono::milliseconds(20));
				}
			});
		for (std::thread &caller : callers)
			caller.join();
	}

	// The rule of the users' pages on first tries at hosts that are cut
	// off, and at the others.
	void compare(std::map<std::string, Count> &counts,
		     const std::vector<std::string> &cut_hosts)
	{
		Count there, elsewhere;
		std::string text;

		for (auto &entry : counts) {
			bool is_cut =
				std::find(cut_hosts.begin(), cut_hosts.end(),
					  entry.first) != cut_hosts.end();
			Count &sum = is_cut ? there : elsewhere;

			sum.served += entry.second.served;
			sum.failed += entry.second.failed;
		}
		printf("served there %d of %d, elsewhere %d of %d\n",
		       there.served.load(), there.served + there.failed,
		       elsewhere.served.load(),
		       elsewhere.served + elsewhere.failed);
		EXPECT_GT(there.served + there.failed, 50);
		EXPECT_TRUE(there.share() >= least_ratio * elsewhere.share() ||
			    there.failed <=
				    allowed_failures +
					    (there.served + there.failed) /
						    one_failure_in);
	}

	// Requests that ran more often than they may.
	void expect_once(const std::string &label)
	{
		std::map<std::string, int> arrived;

		for (const Arrival &a : fleet.arrivals())
			if (a.target == "/record/x" &&
			    a.headers.at("X-Attempt-Id").rfind(label, 0) == 0)
				arrived[a.headers.at("X-Attempt-Id")]++;
		for (const auto &entry : arrived)
			EXPECT_LE(fleet.runs(entry.first), 1) << entry.first;
	}
};

struct CutCase {
	const char *name;
	Cut how;
	std::vector<std::string> hosts;
};

const CutCase cut_cases[] = {
	{ "reset, half", Cut::reset, { "h1", "h2" } },
	{ "hang, half", Cut::hang, { "h1", "h2" } },
	{ "new ones refused, half", Cut::refuses_new, { "h1", "h2" } },
	{ "reset, all but one", Cut::reset, { "h1", "h2", "h3" } },
	{ "hang, one", Cut::hang, { "h4" } },
};

// A host without a way to the engines could only refuse, or let its callers
// wait, and the balancer went on sending callers to it.
TEST_F(CutOff, HostsWithoutAWayToTheEnginesServeTheirCallers)
{
	int number = 0;

	for (const CutCase &c : cut_cases) {
		std::map<std::string, Count> calm, during, after;
		std::string label = "c" + std::to_string(number++) + "-";

		SCOPED_TRACE(c.name);
		printf("%s: ", c.name);
		load(calm, std::chrono::milliseconds(500), label + "b");
		for (const std::string &host : c.hosts)
			cut(host, c.how);
		load(during, stable_window, label + "w");
		during.clear();
		load(during, counted, label + "d");
		for (const std::string &host : c.hosts)
			cut(host, Cut::none);
		compare(during, c.hosts);
		expect_once(label);
		std::this_thread::sleep_for(std::chrono::milliseconds(heal_ms));
		load(after, std::chrono::milliseconds(500), label + "a");
		for (auto &entry : after)
			EXPECT_EQ(entry.second.failed, 0) << entry.first;
	}
}

} // namespace
