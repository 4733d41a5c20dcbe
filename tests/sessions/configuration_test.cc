// Tests of the configuration with real processes: propagation to all hosts,
// concurrent operators, lost answers, restarts during a platform outage, and a
// roll-out.
#include <gtest/gtest.h>
#include <signal.h>

#include "cluster.h"

using namespace harness;

namespace
{

constexpr int not_in_force = 1, conflict = 2, invalid = 65, wrong_key = 77;

class ConfigurationTest : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	int calls = 0;

	static Options Hosts(uint32_t hosts)
	{
		Options options;

		options.hosts = hosts;
		options.engines = 3;
		options.zones = { "z1", "z2" };
		return options;
	}

	std::unique_ptr<Process> Ctl(Cluster &cluster, uint32_t host,
				     std::vector<std::string> words,
				     const std::string &key = "operator")
	{
		std::vector<std::string> command = {
			BALSAMPIN_PROGRAM, "ctl", "--settings",
			cluster.settings_path(host)
		};

		command.insert(command.end(), words.begin(), words.end());
		return std::make_unique<Process>(
			command,
			directory.path + "/ctl" + std::to_string(calls++),
			std::vector<std::string>{ "BALSAMPIN_OPERATOR_KEY=" +
						  key });
	}

	int Run(Cluster &cluster, uint32_t host, std::vector<std::string> words,
		std::string *output = nullptr,
		const std::string &key = "operator")
	{
		auto process = Ctl(cluster, host, words, key);
		int code = process->wait(60000);

		if (output)
			*output = process->output();
		return code;
	}

	static bool Serves(Cluster &cluster, uint32_t host)
	{
		return call(cluster.entry_url(host) + "/v1/completions",
			    completion("hello", 3, false), Cluster::team())
			       .status == 200;
	}
};

TEST_F(ConfigurationTest, ChangeAppliesOnAllHostsOrIsRefused)
{
	Cluster cluster(Hosts(3));
	std::string output;

	cluster.start();
	EXPECT_EQ(Run(cluster, 0,
		      { "set", "model", "n", "{\"version\":\"v1\"}",
			"--wait=20" },
		      &output),
		  0)
		<< output;
	EXPECT_NE(output.find("in force in 9 processes, behind 0"),
		  std::string::npos)
		<< output;
	EXPECT_EQ(Run(cluster, 1, { "set", "team", "x", "{\"weight\":0}" },
		      &output),
		  invalid);
	EXPECT_NE(output.find("/team/x/key_sha256"), std::string::npos);
	EXPECT_EQ(Run(cluster, 1, { "list" }, &output, "wrong"), wrong_key);
	cluster.process(2, "control").signal(SIGKILL);
	cluster.process(2, "control").wait();
	EXPECT_EQ(Run(cluster, 0, { "delete", "model", "n", "--wait=20" },
		      &output),
		  not_in_force);
	EXPECT_NE(output.find("behind 0, not reached 1"), std::string::npos)
		<< output;
	cluster.start_process(2, "control");
	EXPECT_TRUE(wait_until([&] {
		Run(cluster, 0, { "versions" }, &output);
		return output.find("not reached") == std::string::npos &&
		       output.find("behind") == std::string::npos;
	})) << output;
	EXPECT_TRUE(cluster.stop());
}

TEST_F(ConfigurationTest, ConcurrentOperatorsConflict)
{
	Cluster cluster(Hosts(2));
	std::string output;

	cluster.start();
	ASSERT_EQ(Run(cluster, 0,
		      { "set", "model", "o", "{\"version\":\"v1\"}" }, &output),
		  0)
		<< output;
	std::string revision = output.substr(output.find("revision ") + 9);
	revision = revision.substr(0, revision.find(' '));
	auto first = Ctl(cluster, 0,
			 { "set", "model", "n", "{\"version\":\"v1\"}",
			   "--revision=" + revision });
	auto second = Ctl(cluster, 1,
			  { "set", "model", "n", "{\"version\":\"v2\"}",
			    "--revision=" + revision });
	int codes[] = { first->wait(), second->wait() };
	EXPECT_EQ(codes[0] + codes[1], conflict)
		<< first->output() << second->output();
	EXPECT_EQ(codes[0] * codes[1], 0);
	std::string lost = (codes[0] ? first : second)->output();
	EXPECT_NE(lost.find("model/n"), std::string::npos) << lost;
	EXPECT_TRUE(cluster.stop());
}

TEST_F(ConfigurationTest, ChangeWithLostAnswerAppliesOnce)
{
	Cluster cluster(Hosts(1));
	std::string first, again;

	cluster.start();
	EXPECT_TRUE(wait_until([&] {
		return Run(cluster, 0, { "show", "team", "a" }) == 0;
	}));
	cluster.stand_ins->fault("platform", "{\"lose_answers\": 1}");
	EXPECT_EQ(Run(cluster, 0,
		      { "set", "model", "n", "{\"version\":\"v1\"}",
			"--change-id=once", "--revision=5" },
		      &first),
		  0)
		<< first;
	EXPECT_EQ(Run(cluster, 0,
		      { "set", "model", "n", "{\"version\":\"v1\"}",
			"--change-id=once", "--revision=5" },
		      &again),
		  0);
	EXPECT_EQ(first, again) << "the same revision";
	EXPECT_TRUE(cluster.stop());
}

TEST_F(ConfigurationTest, RestartedHostsServeWhileThePlatformIsDown)
{
	Cluster cluster(Hosts(2));

	cluster.start();
	ASSERT_EQ(Run(cluster, 0,
		      { "set", "model", "n", "{\"version\":\"v1\"}",
			"--wait=20" }),
		  0);
	cluster.stand_ins->fault("platform", "{\"down_ms\": -1}");
	for (const char *role : { "control", "entry" }) {
		cluster.process(0, role).signal(SIGKILL);
		cluster.process(0, role).wait();
		cluster.start_process(0, role);
	}
	EXPECT_TRUE(wait_until([&] { return Serves(cluster, 0); }));
	// All control processes restart at once; they recover the configuration
	// from the entry and index processes.
	for (uint32_t host : { 0, 1 }) {
		cluster.process(host, "control").signal(SIGKILL);
		cluster.process(host, "control").wait();
	}
	std::string output;
	for (uint32_t host : { 0, 1 })
		cluster.start_process(host, "control");
	EXPECT_TRUE(wait_until([&] {
		return Run(cluster, 1, { "show", "model", "n" }, &output) == 0;
	})) << output;
	EXPECT_TRUE(cluster.stop());
}

TEST_F(ConfigurationTest, RolloutAdvancesServingAutomatically)
{
	Cluster cluster(Hosts(1));
	std::string output;

	cluster.start();
	ASSERT_EQ(Run(cluster, 0,
		      { "set", "model", "m",
			"{\"version\":\"v2\",\"serving\":\"v1\","
			"\"min_ready\":1,\"max_loading\":1}" },
		      &output),
		  0)
		<< output;
	EXPECT_TRUE(wait_until(
		[&] {
			EXPECT_TRUE(Serves(cluster, 0));
			Run(cluster, 0, { "show", "model", "m" }, &output);
			return output.find("\"serving\":\"v2\"") !=
			       std::string::npos;
		},
		40000))
		<< output;
	EXPECT_TRUE(wait_until([&] {
		Run(cluster, 0, { "orders" }, &output);
		return output.find("\"v1\"") == std::string::npos;
	})) << output;
	EXPECT_TRUE(cluster.stop());
}

} // namespace
