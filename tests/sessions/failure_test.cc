// Failures in the middle of real traffic: no stream is cut, none is wrong.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "cluster.h"

extern "C" {
#include "limits/rb.h"
}
#include "load.h"

using namespace harness;

namespace
{

const char quick_limits[] = "{\"idle_timeout_ms\":500}";

Options options_of(uint32_t hosts, uint32_t engines)
{
	Options options;

	options.hosts = hosts;
	options.engines = engines;
	options.limits = quick_limits;
	return options;
}

TEST(FailureTest, CrashInMidStreamIsContinuedElsewhere)
{
	Cluster cluster(options_of(1, 3));

	cluster.start();
	Stream stream(cluster.entry_url(0) + "/v1/completions",
		      completion("abc", 100, true), Cluster::team());
	ASSERT_TRUE(stream.wait_events(5));
	int engine = cluster.stand_ins->engine_with("decode");
	ASSERT_GE(engine, 0);
	cluster.stand_ins->fault("crash", "{\"engine\":\"engine" +
						  std::to_string(engine) +
						  "\",\"down_ms\":3000}");
	expect_whole(stream, "abc", 100);
	EXPECT_EQ(cluster.stand_ins->sum("crashed"), 1);
	EXPECT_TRUE(cluster.stop());
}

// A service that loses its answers, and so uses up its repeats, must leave
// those of the engines alone.
TEST(FailureTest, AStreamIsContinuedWhileAServiceHasNoRepeatsLeft)
{
	Cluster cluster(options_of(1, 3));

	cluster.start();
	cluster.stand_ins->fault(
		"service", "{\"service\":\"dispatch\",\"lose_answers\":1000}");
	/* A service that fails gets no calls for a moment. */
	ASSERT_TRUE(wait_until(
		[&] {
			std::vector<std::thread> callers;

			for (uint32_t i = 0; i < 2 * RB_DEFAULT_RESERVE; i++)
				callers.emplace_back([&cluster] {
					call(cluster.entry_url(0) +
						     "/v1/services/dispatch/"
						     "look",
					     "", Cluster::team(), "GET");
				});
			for (std::thread &caller : callers)
				caller.join();
			return cluster.stand_ins->number(
				       "/services/dispatch/runs") >
			       RB_DEFAULT_RESERVE;
		},
		3 * default_wait_ms));
	Stream stream(cluster.entry_url(0) + "/v1/completions",
		      completion("abc", 100, true), Cluster::team());
	ASSERT_TRUE(stream.wait_events(5));
	int engine = cluster.stand_ins->engine_with("decode");
	ASSERT_GE(engine, 0);
	cluster.stand_ins->fault("crash", "{\"engine\":\"engine" +
						  std::to_string(engine) +
						  "\",\"down_ms\":3000}");
	expect_whole(stream, "abc", 100);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, SilentConnectionIsResumedOnANewOne)
{
	Cluster cluster(options_of(1, 2));

	cluster.start();
	Stream stream(cluster.entry_url(0) + "/v1/completions",
		      completion("abc", 200, true), Cluster::team());
	ASSERT_TRUE(stream.wait_events(5));
	int engine = cluster.stand_ins->engine_with("decode");
	ASSERT_GE(engine, 0);
	cluster.stand_ins->fault("silent", "{\"engine\":\"engine" +
						   std::to_string(engine) +
						   "\"}");
	expect_whole(stream, "abc", 200);
	EXPECT_EQ(cluster.stand_ins->sum("done"), 1);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, PoisonedRequestIsGivenUpAfterTheSecondEngine)
{
	Cluster cluster(options_of(1, 4));
	std::string body = completion("a poisoned one", 5, true);

	cluster.start();
	cluster.stand_ins->fault("poison",
				 "{\"text\":\"poisoned\",\"down_ms\":200}");
	for (int i = 0; i < 3; i++) {
		Reply reply = call(cluster.entry_url(0) + "/v1/completions",
				   body, Cluster::team());

		EXPECT_FALSE(ends_whole(reply)) << reply.body;
	}
	EXPECT_EQ(cluster.stand_ins->sum("crashed"), 2);
	Stream other(cluster.entry_url(0) + "/v1/completions",
		     completion("a good one", 5, true), Cluster::team());
	expect_whole(other, "a good one", 5);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, IndexAndControlKilledDuringLoadFailNoRequest)
{
	Cluster cluster(options_of(2, 3));

	cluster.start();
	Load load({ cluster.entry_url(0), cluster.entry_url(1) }, 6, 10);
	ASSERT_TRUE(load.more(20));
	for (uint32_t host : { 0, 1 })
		for (const char *role : { "index", "control" }) {
			cluster.process(host, role).signal(SIGKILL);
			EXPECT_TRUE(load.more(20));
			cluster.start_process(host, role);
			EXPECT_TRUE(load.more(20));
		}
	load.stop();
	EXPECT_EQ(load.failed, 0);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, SigtermToEachProcessUnderLoadCutsNothingOff)
{
	Cluster cluster(options_of(2, 3));

	cluster.start();
	Load elsewhere({ cluster.entry_url(1) }, 4, 10);
	for (const char *role : { "index", "control", "entry" }) {
		std::string prompt = std::string("asked before ") + role;
		Stream open(cluster.entry_url(0) + "/v1/completions",
			    completion(prompt, 100, true), Cluster::team());

		ASSERT_TRUE(open.wait_events(2));
		cluster.process(0, role).signal(SIGTERM);
		ASSERT_TRUE(elsewhere.more(10));
		expect_whole(open, prompt, 100);
		EXPECT_EQ(cluster.process(0, role).wait(), 0)
			<< cluster.process(0, role).output();
	}
	elsewhere.stop();
	EXPECT_EQ(elsewhere.failed, 0);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, RestartedHostServesWhileThePlatformIsDown)
{
	Cluster cluster(options_of(2, 3));

	cluster.start();
	cluster.stand_ins->fault("platform", "{\"down_ms\":-1}");
	for (const char *role : { "entry", "index", "control" })
		cluster.process(0, role).signal(SIGKILL);
	for (const char *role : { "entry", "index", "control" }) {
		cluster.process(0, role).wait();
		cluster.start_process(0, role);
	}
	EXPECT_TRUE(wait_until([&] {
		return call(cluster.entry_url(0) + "/healthz").status == 200;
	}));
	Stream stream(cluster.entry_url(0) + "/v1/completions",
		      completion("abc", 10, true), Cluster::team());
	expect_whole(stream, "abc", 10);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, EntryWithoutConfigurationIsNotHealthyAndBlamesNoKey)
{
	Cluster cluster(options_of(1, 2));
	std::string health = cluster.entry_url(0) + "/healthz";

	cluster.start();
	cluster.stand_ins->fault("platform", "{\"down_ms\":-1}");
	for (const char *role : { "entry", "index", "control" })
		cluster.process(0, role).signal(SIGKILL);
	cluster.process(0, "control").wait();
	cluster.process(0, "entry").wait();
	cluster.start_process(0, "entry");
	ASSERT_TRUE(wait_until([&] { return call(health).complete; }));
	EXPECT_EQ(call(health).status, 503);
	Reply refused = call(cluster.entry_url(0) + "/v1/completions",
			     completion("abc", 10, true), Cluster::team());
	EXPECT_EQ(refused.status, 503) << refused.body;
	EXPECT_NE(refused.body.find("not_run"), std::string::npos);
	EXPECT_EQ(refused.headers.count("retry-after"), 1u);
	cluster.stand_ins->fault("platform", "{\"down_ms\":0}");
	cluster.start_process(0, "control");
	cluster.start_process(0, "index");
	EXPECT_TRUE(wait_until([&] { return call(health).status == 200; }));
	Stream stream(cluster.entry_url(0) + "/v1/completions",
		      completion("abc", 10, true), Cluster::team());
	expect_whole(stream, "abc", 10);
	EXPECT_TRUE(cluster.stop());
}

TEST(FailureTest, LeavingEngineGetsNoNewWorkAfterAFewSeconds)
{
	Cluster cluster(options_of(1, 3));
	int prompts = 0;
	auto sent_to_leaving = [&] {
		long before =
			cluster.stand_ins->number("/engines/engine0/done");

		for (int i = 0; i < 12; i++) {
			std::string prompt =
				"letter " + std::to_string(prompts++);

			Stream s(cluster.entry_url(0) + "/v1/completions",
				 completion(prompt, 2, true), Cluster::team());
			expect_whole(s, prompt, 2);
		}
		return cluster.stand_ins->number("/engines/engine0/done") -
		       before;
	};

	cluster.start();
	EXPECT_GT(sent_to_leaving(), 0);
	cluster.stand_ins->fault("leaving", "{\"engine\":\"engine0\"}");
	EXPECT_TRUE(wait_until([&] { return sent_to_leaving() == 0; }, 5000));
	EXPECT_EQ(sent_to_leaving(), 0);
	EXPECT_TRUE(cluster.stop());
}

} // namespace
