// Hosts that are cut off from all engines, while callers, the store and the
// other hosts still reach them.
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
#include "proxy.h"
#include "raw.h"

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
	int deadline_ms = 4000;

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

	bool is_served(const std::string &host, const std::string &route,
		       const std::string &id) const
	{
		std::vector<std::string> fields = {
			"Host: h", "Authorization: Bearer k1",
			"X-Attempt-Id: " + id,
			"X-Deadline-Ms: " + std::to_string(deadline_ms)
		};

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
	int deadline_ms = 4000;
};

const CutCase cut_cases[] = {
	{ "reset, half", Cut::reset, { "h1", "h2" } },
	{ "hang, half", Cut::hang, { "h1", "h2" } },
	{ "new ones refused, half", Cut::refuses_new, { "h1", "h2" } },
	{ "reset, all but one", Cut::reset, { "h1", "h2", "h3" } },
	{ "hang, one", Cut::hang, { "h4" } },
	{ "hang, half, short deadlines", Cut::hang, { "h1", "h2" }, 800 },
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
		deadline_ms = c.deadline_ms;
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

// Engines that are sound may be silent for a second and go on: what they run is
// not given up, and what runs at most once does.
TEST_F(CutOff, EnginesThatAreSilentForASecondLoseNothing)
{
	const auto silence = std::chrono::milliseconds(1100);

	for (int round = 0; round < 3; round++) {
		std::map<std::string, Count> counts;
		std::string label = "q" + std::to_string(round) + "-";
		std::thread callers([&] {
			load(counts, std::chrono::milliseconds(3000), label);
		});

		std::this_thread::sleep_for(std::chrono::milliseconds(400));
		for (int i = 1; i <= host_count; i++)
			for (const std::string &id : engine_ids)
				links[name(i)][id]->set(Way::silent);
		std::this_thread::sleep_for(silence);
		for (int i = 1; i <= host_count; i++)
			for (const std::string &id : engine_ids)
				links[name(i)][id]->set(Way::pass);
		callers.join();
		for (auto &entry : counts) {
			EXPECT_GT(entry.second.served, 50) << entry.first;
			EXPECT_EQ(entry.second.failed, 0) << entry.first;
		}
		expect_once(label);
	}
}

// Sound engines may be busy for longer than a host waits until it counts itself
// as cut off: what they run is not sent again.
TEST_F(CutOff, WorkOfBusyEnginesIsNotGivenUp)
{
	std::vector<std::thread> callers;
	std::atomic<int> served{ 0 };

	fleet.set_pace(2500);
	for (const char *id : { "a1", "a2", "a3", "a4" })
		fleet.behave(id, Behaviour::pace);
	for (int i = 0; i < 4; i++)
		callers.emplace_back([&, i] {
			std::string id = "busy-" + std::to_string(i);
			Reply reply =
				call(Fleet::url("h1", "/look/x"), "",
				     { "Host: h", "Authorization: Bearer k1",
				       "X-Attempt-Id: " + id,
				       "X-Deadline-Ms: 4000" },
				     "POST");

			served += reply.complete && reply.status == 200;
		});
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ(served, 4);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(fleet.runs("busy-" + std::to_string(i)), 1);
}

// Two of the hosts are cut off, the links reset, and know it.
class PassedOn : public CutOff
{
      protected:
	void SetUp() override
	{
		CutOff::SetUp();
		for (const char *host : { "h1", "h2" })
			cut(host, Cut::reset);
		for (const char *host : { "h1", "h2" })
			ASSERT_TRUE(finds_out(host));
	}

	// The host finds out that it is cut off, by a few requests.
	bool finds_out(const std::string &host) const
	{
		return wait_until([&] {
			is_served(host, "look", "warm");
			return metric(host, "balsampin_gateway_cut_off") == 1;
		});
	}

	static double metric(const std::string &host, const std::string &name)
	{
		std::string page = call(Fleet::metrics(host)).body;
		size_t at = page.find("\n" + name + " ");

		return at == std::string::npos
			       ? 0
			       : std::stod(page.substr(at + name.size() + 2));
	}

	static std::string request(const std::string &route,
				   const std::string &id,
				   const std::string &more = "")
	{
		std::string model = "X-Model: m\r\nX-Token-Usage: 100,8\r\n"
				    "X-Prefix-Hash: aa:50,bb:50\r\n";

		return "POST /" + route +
		       "/x HTTP/1.1\r\nHost: h\r\n"
		       "Authorization: Bearer k1\r\nX-Attempt-Id: " +
		       id + "\r\nX-Deadline-Ms: 3000\r\n" +
		       (route == "grade" ? model : "") + more +
		       "Content-Length: 4\r\n\r\nbody";
	}

	void make_engines_slow(int pace_ms)
	{
		fleet.set_pace(pace_ms);
		for (const std::string &id : engine_ids)
			fleet.behave(id, Behaviour::pace);
	}

	Arrival arrival_of(const std::string &id)
	{
		for (const Arrival &a : fleet.arrivals())
			if (a.headers.at("X-Attempt-Id") == id)
				return a;
		ADD_FAILURE() << id << " has not arrived";
		return {};
	}

	size_t arrivals_at(const std::string &engine)
	{
		size_t count = 0;

		for (const Arrival &a : fleet.arrivals())
			count += a.engine == engine;
		return count;
	}

	// The host that placed the request, by its log.
	std::string placed_by(const std::string &id)
	{
		for (int i = 1; i <= host_count; i++)
			if (read_file(directory.path + "/" + name(i) + ".log")
				    .find("\"event\":\"request_sent\","
					  "\"request\":\"" +
					  id + "\"") != std::string::npos)
				return name(i);
		return "";
	}

	Process &process_of(const std::string &host)
	{
		return *hosts[std::stoi(host.substr(1)) - 1];
	}
};

TEST_F(PassedOn, RequestReachesTheEngineAsItsCallerSentIt)
{
	for (const char *route : { "look", "record", "grade" }) {
		std::string id = std::string("as-") + route;
		RawCaller caller(Fleet::url("h1", ""));

		caller.write(request(route, id,
				     "X-Custom: kept\r\nBalsampin-Via: 9 "
				     "forged\r\nX-Tenant: other\r\n"));
		caller.read(route[0] == 'g' ? "\r\n0\r\n" : "recorded");
		EXPECT_EQ(caller.status(), 200) << route;
		Arrival a = arrival_of(id);
		EXPECT_EQ(a.body, "body");
		EXPECT_EQ(a.target, std::string("/") + route + "/x");
		EXPECT_EQ(a.headers["X-Custom"], "kept");
		EXPECT_EQ(a.headers["X-Tenant"], "t1");
		EXPECT_EQ(a.headers.count("Authorization"), 0u);
		EXPECT_EQ(a.headers.count("Balsampin-Via"), 0u);
		EXPECT_LE(std::stoi(a.headers["X-Deadline-Ms"]), 3000);
		EXPECT_EQ(fleet.runs(id), 1);
	}
}

// The close of the caller has to reach the engine over both hosts.
TEST_F(PassedOn, WorkEndsWhenTheCallerLeaves)
{
	make_engines_slow(2500);
	for (const char *route : { "look", "record", "grade" }) {
		auto caller = std::make_unique<RawCaller>(Fleet::url("h1", ""));

		caller->write(request(route, std::string("left-") + route));
		ASSERT_TRUE(
			wait_until([&] { return fleet.at_work() == 1; }, 2000));
		caller.reset();
		EXPECT_TRUE(
			wait_until([&] { return fleet.at_work() == 0; }, 500))
			<< route;
	}
}

TEST_F(PassedOn, EventsComeAsTheyAreMade)
{
	make_engines_slow(300);
	RawCaller caller(Fleet::url("h1", ""));

	caller.write(request("grade", "paced"));
	EXPECT_NE(caller.read("token 1", 1000).find("token 1"),
		  std::string::npos);
	EXPECT_EQ(caller.read("token 3", 100).find("token 3"),
		  std::string::npos);
	EXPECT_NE(caller.read("token 8").find("token 8"), std::string::npos);
}

// The other host is killed in the middle: what may have run is not repeated,
// and a stream that ends early does not look complete.
TEST_F(PassedOn, OtherHostIsKilledInTheMiddle)
{
	make_engines_slow(500);
	RawCaller stream(Fleet::url("h1", "")), record(Fleet::url("h2", ""));

	stream.write(request("grade", "killed-s"));
	record.write(request("record", "killed-r"));
	stream.read("token 2");
	for (const char *id : { "killed-s", "killed-r" }) {
		std::string host = placed_by(id);

		ASSERT_NE(host, "");
		process_of(host).signal(SIGKILL);
	}
	EXPECT_EQ(stream.read_to_end(3000).find("\r\n0\r\n"),
		  std::string::npos);
	EXPECT_TRUE(stream.is_at_end());
	record.read("\r\n\r\n", 4000);
	EXPECT_TRUE(record.status() == 502 || record.status() == 200)
		<< record.status();
	EXPECT_EQ(fleet.runs("killed-r"), 1);
}

// A host that stands still takes connections and answers nothing. It is left
// alone as soon as its messages cease.
TEST_F(PassedOn, OtherHostStandsStill)
{
	std::map<std::string, Count> counts;

	process_of("h3").signal(SIGSTOP);
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	for (int n = 0; n < 60; n++) {
		std::string host = n % 2 ? "h1" : "h2";
		std::string id = "still-" + std::to_string(n);

		(is_served(host, "record", id) ? counts[host].served
					       : counts[host].failed)++;
		EXPECT_LE(fleet.runs(id), 1);
	}
	process_of("h3").signal(SIGCONT);
	EXPECT_EQ(counts["h1"].failed + counts["h2"].failed, 0);
}

// The host that passes on that an engine leaves must leave it alone, too, once
// it reaches it again.
TEST_F(PassedOn, EngineThatLeavesGetsNothingAfterTheLinksHeal)
{
	bool is_told = false;
	size_t before;

	fleet.say_leaving("a1");
	for (int n = 0; n < 100 && !is_told; n++) {
		RawCaller caller(Fleet::url("h1", ""));
		const std::string &text =
			(caller.write(request("look",
					      "leaves-" + std::to_string(n))),
			 caller.read("recorded"));

		is_told = text.find("Server-Leaving: 1") != std::string::npos;
		EXPECT_EQ(text.find("Balsampin-Via"), std::string::npos);
	}
	ASSERT_TRUE(is_told);
	cut("h1", Cut::none);
	std::this_thread::sleep_for(std::chrono::milliseconds(heal_ms));
	ASSERT_EQ(metric("h1", "balsampin_gateway_cut_off"), 0);
	before = arrivals_at("a1");
	for (int n = 0; n < 40; n++)
		EXPECT_TRUE(
			is_served("h1", "look", "healed-" + std::to_string(n)));
	EXPECT_EQ(arrivals_at("a1"), before);
}

// No host has a way to the engines: nothing goes in circles, and callers are
// told at once that nothing has run.
TEST_F(PassedOn, NoHostHasAWay)
{
	for (const char *host : { "h3", "h4" }) {
		cut(host, Cut::reset);
		ASSERT_TRUE(finds_out(host));
	}
	for (int n = 0; n < 40; n++) {
		auto begin = std::chrono::steady_clock::now();
		std::string id = "none-" + std::to_string(n);
		RawCaller caller(Fleet::url(name(n % host_count + 1), ""));

		caller.write(request("record", id));
		caller.read("}\n", 4000);
		EXPECT_EQ(caller.status(), 503);
		EXPECT_LT(std::chrono::steady_clock::now() - begin,
			  std::chrono::milliseconds(500));
		EXPECT_EQ(fleet.runs(id), 0);
	}
	for (int i = 1; i <= host_count; i++)
		cut(name(i), Cut::none);
	std::this_thread::sleep_for(std::chrono::milliseconds(heal_ms));
	for (int i = 1; i <= host_count; i++)
		EXPECT_TRUE(is_served(name(i), "record",
				      "healed-" + std::to_string(i)));
}

// The address for other hosts serves nobody else.
TEST_F(PassedOn, CallersCannotUseTheAddressOfTheHosts)
{
	for (const char *more :
	     { "", "Balsampin-Via: 2\r\n", "Balsampin-Via: 2 1 00\r\n",
	       "Balsampin-Via: 0 1\r\n",
	       "Balsampin-Via: 2 1 "
	       "00000000000000000000000000000000000000000000000000000000000000"
	       "00\r\n" }) {
		RawCaller caller(Fleet::via("h3"));

		caller.write(request("look", "forged", more));
		caller.read("\r\n\r\n", 2000);
		EXPECT_EQ(caller.status(), 403) << more;
	}
	EXPECT_EQ(fleet.runs("forged"), 0);
}

// An engine that refuses is asked no more often than the route allows, however
// many hosts the request goes through.
TEST_F(PassedOn, RequestIsTriedAtNoMoreEnginesThanItsRouteAllows)
{
	for (const std::string &id : engine_ids)
		fleet.behave(id, Behaviour::fail);
	for (int n = 0; n < 12; n++)
		is_served("h1", "look", "fail-" + std::to_string(n));
	for (int n = 0; n < 12; n++)
		EXPECT_LE(fleet.runs("fail-" + std::to_string(n)), 2);
}

} // namespace
