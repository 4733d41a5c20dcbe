// Collectors of load in a fleet that is large enough to have them.
#include <gtest/gtest.h>

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

extern "C" {
#include "gateway/gw_hosts.h"
#include "peers/pe_zone.h"
}

using namespace harness;

namespace
{

// More than GW_DIRECT_PEERS, in two zones of different regions.
const int host_count = 20;

// The reader sends the age of its rows several times a second.
constexpr auto several_relays = std::chrono::milliseconds(800);

class Collect : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::map<std::string, std::unique_ptr<Process>> hosts;

	void configure(int version, const std::string &route)
	{
		fleet.put("op", "config",
			  fleet_config(version,
				       { { route.c_str(), "idempotent", "app",
					   1, false, 1500 } },
				       "\"k1\""));
	}

	// @other_region: of zone z2; z1 is in r1.
	void start(const std::string &other_region)
	{
		fleet.add_engine("a1", "app");
		configure(1, "look");
		for (int i = 0; i < host_count; i++) {
			std::string name = "h" + std::to_string(i);
			Place place = { zone_of(i), i % 2 ? "r1" : other_region,
					"" };

			hosts[name] = start_gateway(fleet, directory.path, name,
						    place, name + ".log");
		}
	}

	void TearDown() override
	{
		for (auto &host : hosts)
			kill(host.second->pid(), SIGCONT);
	}

	static std::string zone_of(int i)
	{
		return i % 2 ? "z1" : "z2";
	}

	static double metric(const std::string &host, const std::string &name)
	{
		std::string page = call(Fleet::metrics(host)).body;
		size_t at = page.find("\n" + name + " ");

		return at == std::string::npos
			       ? -1
			       : std::stod(page.substr(at + name.size() + 2));
	}

	// The hosts of @zone that act as its collector; @except is not asked.
	std::vector<std::string> collectors(const std::string &zone,
					    const std::string &except = "")
	{
		std::vector<std::string> found;

		for (int i = 0; i < host_count; i++) {
			std::string name = "h" + std::to_string(i);

			if (zone_of(i) == zone && name != except &&
			    metric(name, "balsampin_gateway_collects_load") > 0)
				found.push_back(name);
		}
		return found;
	}

	static std::string calls_for(const std::string &reason)
	{
		return "balsampin_store_calls_total{reason=\"" + reason + "\"}";
	}

	// Calls to the store for rows that were not relayed, or did not arrive.
	static double reads_of_missing_rows(const std::string &except)
	{
		double sum = 0;

		for (int i = 0; i < host_count; i++) {
			std::string name = "h" + std::to_string(i);

			for (const char *reason :
			     { "missing_rows", "nothing_relayed" })
				if (name != except)
					sum += std::max(
						metric(name, calls_for(reason)),
						0.0);
		}
		return sum;
	}

	// The hosts that forward rows now. A reader may have forwarded some at
	// the start, when another host was taken for the reader.
	std::vector<std::string> forwarders()
	{
		const char *forwarded =
			"balsampin_gateway_rows_forwarded_total";
		const char *sent = "balsampin_gateway_rows_told_total";
		std::map<std::string, std::pair<double, double>> before;
		std::vector<std::string> found;

		for (auto &host : hosts)
			before[host.first] = { metric(host.first, forwarded),
					       metric(host.first, sent) };
		std::this_thread::sleep_for(several_relays);
		for (auto &host : hosts)
			if (metric(host.first, forwarded) >
				    before[host.first].first &&
			    metric(host.first, sent) ==
				    before[host.first].second)
				found.push_back(host.first);
		return found;
	}

	// The collector on which the hosts of @zone but @except settle.
	static std::vector<std::string> expected(const std::string &zone,
						 const std::string &except = "")
	{
		std::string lowest;

		for (int i = 0; i < host_count; i++) {
			std::string name = "h" + std::to_string(i);

			if (zone_of(i) == zone && name != except &&
			    (lowest.empty() ||
			     gw_name_hash(name.c_str()) <
				     gw_name_hash(lowest.c_str())))
				lowest = name;
		}
		return { lowest };
	}

	bool receives_sums(const std::string &host)
	{
		const char *name = "balsampin_gateway_sums_received_total";
		double before = metric(host, name);

		return wait_until([&] { return metric(host, name) > before; },
				  3000);
	}
};

TEST_F(Collect, EachZoneHasOneCollectorAndReplacesAFrozenOne)
{
	start("r2");
	ASSERT_TRUE(wait_until(
		[&] {
			return collectors("z1") == expected("z1") &&
			       collectors("z2") == expected("z2");
		},
		20000));
	std::string frozen = expected("z1")[0];

	for (int i = 0; i < host_count; i++)
		EXPECT_TRUE(receives_sums("h" + std::to_string(i))) << i;
	kill(hosts[frozen]->pid(), SIGSTOP);
	ASSERT_TRUE(wait_until(
		[&] {
			return collectors("z1", frozen) ==
			       expected("z1", frozen);
		},
		5000));
	for (int i = 0; i < host_count; i++) {
		std::string name = "h" + std::to_string(i);

		EXPECT_TRUE(name == frozen || receives_sums(name)) << name;
	}
	EXPECT_EQ(collectors("z2"), expected("z2"));
	kill(hosts[frozen]->pid(), SIGCONT);
	EXPECT_TRUE(wait_until(
		[&] { return collectors("z1") == expected("z1"); }, 10000));
}

// Bytes of each kind are on the metrics page, by where they go.
TEST_F(Collect, BytesAreCountedByKindAndScope)
{
	static const char *const names[] = {
		"zone_sent_bytes_total{kind=\"load\"}",
		"zone_received_bytes_total{kind=\"sums\"}",
		"other_regions_sent_bytes_total{kind=\"load\"}",
		"other_regions_received_messages_total{kind=\"load\"}",
	};
	const std::string prefix = "balsampin_gateway_";

	start("r2");
	for (const char *name : names)
		EXPECT_TRUE(wait_until(
			[&] { return metric("h3", prefix + name) > 0; }, 10000))
			<< name;
	EXPECT_EQ(
		metric("h3",
		       prefix + "other_zones_sent_bytes_total{kind=\"load\"}"),
		-1)
		<< "no other zone is in the region";
	EXPECT_GT(metric("h3", "balsampin_store_received_bytes_total{"
			       "reason=\"own_rows\"}"),
		  0);
}

// The reader of a region sends rows to two hosts of each other zone, which
// forward them to theirs. One of the two is frozen.
// One host is told of a pause. The others of its zone learn it from it through
// the collector, with a few messages each.
TEST_F(Collect, NoticeOfAnEngineReachesTheZone)
{
	const char *heard = "balsampin_gateway_notices_heard_total";
	std::vector<std::string> found;

	start("r1");
	ASSERT_TRUE(wait_until(
		[&] { return collectors("z1") == expected("z1"); }, 20000));
	ASSERT_TRUE(wait_until(
		[&] { return forwarders().size() == PE_COLLECTORS; }, 20000));
	fleet.ask_pause("a1", 8000);
	EXPECT_EQ(call(Fleet::url("h3", "/look/x"), "",
		       { "Host: h", "Authorization: Bearer k1",
			 "X-Attempt-Id: p1", "X-Deadline-Ms: 1500" },
		       "POST")
			  .status,
		  503);
	for (int i = 0; i < host_count; i++) {
		std::string name = "h" + std::to_string(i);

		if (name == "h3")
			continue;
		if (zone_of(i) == zone_of(3)) {
			EXPECT_TRUE(wait_until(
				[&] { return metric(name, heard) > 0; }, 2000))
				<< name;
		}
		EXPECT_LE(metric(name, heard), zone_of(i) == zone_of(3) ? 3 : 0)
			<< name;
	}
}

TEST_F(Collect, RowsReachBothZonesOfARegionWhileAForwarderIsFrozen)
{
	std::vector<std::string> found;

	start("r1");
	ASSERT_TRUE(wait_until(
		[&] {
			found = forwarders();
			return found.size() == PE_COLLECTORS;
		},
		20000));
	kill(hosts[found[0]]->pid(), SIGSTOP);
	double reads = reads_of_missing_rows(found[0]);
	configure(2, "find");
	for (int i = 0; i < host_count; i++) {
		std::string name = "h" + std::to_string(i);

		if (name == found[0])
			continue;
		EXPECT_TRUE(wait_until(
			[&] {
				return call(Fleet::url(name, "/find/x"), "",
					    { "Host: h",
					      "Authorization: Bearer k1",
					      "X-Attempt-Id: f" + name,
					      "X-Deadline-Ms: 1500" },
					    "POST")
					       .status == 200;
			},
			2000))
			<< name;
	}
	/* Without forwarding, half of the hosts would read the change. */
	EXPECT_LT(reads_of_missing_rows(found[0]) - reads, host_count / 2);
}

// Each host read whole tables from the store when it started: all of them at
// once filled the link that they share.
TEST_F(Collect, HostsThatStartGetTablesFromOthers)
{
	const char *copied = "balsampin_gateway_tables_from_hosts_total";
	const char *read = "balsampin_gateway_start_reads_total";
	double reads = 0;

	start("r1");
	ASSERT_TRUE(wait_until(
		[&] { return collectors("z1") == expected("z1"); }, 20000));
	for (auto &host : hosts)
		host.second.reset();
	for (int i = 0; i < host_count; i++) {
		std::string name = "h" + std::to_string(i);
		Place place = { zone_of(i), "r1", "" };

		hosts[name] = start_gateway(fleet, directory.path, name, place,
					    name + "b.log");
	}
	for (int i = 0; i < host_count; i++) {
		std::string name = "h" + std::to_string(i);

		EXPECT_TRUE(wait_until(
			[&] {
				return metric(name, read) +
					       metric(name, copied) >=
				       2;
			},
			5000))
			<< name;
		reads += metric(name, read);
	}
	/* Two tables each for a few hosts, which are not told apart by when
	 * their processes happen to be started. */
	EXPECT_GE(reads, 2);
	EXPECT_LE(reads, host_count);
	hosts["h3"].reset();
	hosts["h3"] = start_gateway(fleet, directory.path, "h3",
				    { zone_of(3), "r1", "" }, "h3c.log");
	ASSERT_TRUE(
		wait_until([&] { return metric("h3", copied) >= 2; }, 5000));
	EXPECT_EQ(metric("h3", read), 0);
	EXPECT_EQ(call(Fleet::url("h3", "/look/x"), "",
		       { "Host: h", "Authorization: Bearer k1",
			 "X-Attempt-Id: p1", "X-Deadline-Ms: 1500" },
		       "POST")
			  .status,
		  200);
}

} // namespace
