// Rows that the operator or the engines write in one transaction reach all
// hosts, also those that do not read the store themselves.
#include <gtest/gtest.h>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"

using namespace harness;

namespace
{

const int host_count = 3;
// Bound of the users' pages from the acknowledgement of a version.
const int config_ms = 4000;
// More than one datagram holds.
const int many_rows = 40;

using Rows = std::vector<std::pair<std::string, std::string>>;

std::string config(int version, const char *route, const std::string &key)
{
	std::string text = fleet_config(
		version, { { route, "idempotent", "app", 1, false, 1500 } },
		key);

	/* With the other members of a service, no datagram holds it. */
	return "{\"remark\":\"" + std::string(4000, 'r') + "\"," +
	       text.substr(1);
}

Rows small_rows(int count)
{
	Rows rows;

	/* In the order of keys, before the configuration. */
	for (int i = 0; i < count; i++)
		rows.push_back(
			{ "a/" + std::to_string(100 + i),
			  "{\"note\":\"" + std::string(60, 'n') + "\"}" });
	return rows;
}

class Together : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::vector<std::unique_ptr<Process>> hosts;

	void SetUp() override
	{
		fleet.add_engine("a1", "app");
		fleet.put("op", "config", config(1, "look", "\"k1\""));
		for (int i = 1; i <= host_count; i++)
			hosts.push_back(start_gateway(fleet, directory.path,
						      name(i), {},
						      name(i) + ".log"));
		for (int i = 1; i <= host_count; i++)
			ASSERT_TRUE(wait_until([&] {
				return call(Fleet::readiness(name(i))).status ==
				       200;
			}));
		/* The hosts have found each other, and one reads for all. */
		ASSERT_TRUE(wait_until([&] { return readers() == 1; }));
	}

	static std::string name(int i)
	{
		return "h" + std::to_string(i);
	}

	// Hosts that have read the store in the last while.
	int readers()
	{
		const char *reads =
			"balsampin_store_calls_total{reason=\"reader\"}";
		std::vector<double> before;
		int count = 0;

		for (int i = 1; i <= host_count; i++)
			before.push_back(metric(name(i), reads));
		std::this_thread::sleep_for(std::chrono::milliseconds(2500));
		for (int i = 1; i <= host_count; i++)
			count += metric(name(i), reads) > before[i - 1];
		return count;
	}

	static double metric(const std::string &host, const std::string &name)
	{
		std::string page = call(Fleet::metrics(host)).body;
		size_t at = page.find("\n" + name + " ");

		return at == std::string::npos
			       ? 0
			       : std::stod(page.substr(at + name.size() + 2));
	}

	static long status(const std::string &host, const std::string &route,
			   const std::string &key)
	{
		return call(Fleet::url(host, "/" + route + "/x"), "",
			    { "Host: h", "Authorization: Bearer " + key,
			      "X-Attempt-Id: t", "X-Deadline-Ms: 1500" },
			    "POST")
			.status;
	}

	void expect_in_force(const std::string &route, const std::string &key)
	{
		for (int i = 1; i <= host_count; i++)
			EXPECT_TRUE(wait_until(
				[&] {
					return status(name(i), route, key) ==
					       200;
				},
				config_ms))
				<< name(i);
	}
};

// A configuration behind a smaller row of its transaction was lost for good to
// the hosts that take their rows from another host.
TEST_F(Together, ConfigurationBehindASmallerRow)
{
	Rows rows = small_rows(1);

	rows.push_back({ "config", config(2, "find", "\"k2\"") });
	fleet.put_together("op", rows);
	expect_in_force("find", "k2");
	for (int i = 1; i <= host_count; i++)
		EXPECT_EQ(status(name(i), "find", "k1"), 401) << name(i);
}

TEST_F(Together, ConfigurationBehindMoreRowsThanADatagramHolds)
{
	Rows rows = small_rows(many_rows);

	rows.push_back({ "config", config(2, "find", "\"k2\"") });
	fleet.put_together("op", rows);
	expect_in_force("find", "k2");
}

// A version that follows at once is in the same read as the transaction.
TEST_F(Together, ConfigurationAfterATransaction)
{
	fleet.put_together("op", small_rows(many_rows));
	fleet.put("op", "config", config(2, "find", "\"k2\""));
	expect_in_force("find", "k2");
}

} // namespace
