// At-most-once calls through a cluster of two hosts; the stand-in service
// counts how often each call runs.
#include <gtest/gtest.h>

#include "cluster.h"

using namespace harness;

namespace
{

Headers headers_with_key(const std::string &key)
{
	Headers headers = Cluster::team();

	headers.push_back("Idempotency-Key: " + key);
	return headers;
}

class DispatchTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		cluster.start();
	}

	void TearDown() override
	{
		EXPECT_TRUE(cluster.stop());
	}

	std::string send_url(uint32_t host = 0) const
	{
		return cluster.entry_url(host) + "/v1/services/dispatch/send";
	}

	long runs(const std::string &key)
	{
		return cluster.stand_ins->number(
			"/services/dispatch/runs_by_key/" + key);
	}

	static Options two_hosts()
	{
		Options options;

		options.hosts = 2;
		return options;
	}

	Cluster cluster{ two_hosts() };
};

TEST_F(DispatchTest, DuplicateCallRunsOnceAndGetsTheSameAnswer)
{
	Reply first = call(send_url(0), "letter", headers_with_key("k"));
	Reply again = call(send_url(0), "letter", headers_with_key("k"));
	Reply elsewhere = call(send_url(1), "letter", headers_with_key("k"));

	EXPECT_EQ(first.status, 200) << first.body;
	EXPECT_EQ(again.body, first.body);
	EXPECT_EQ(elsewhere.body, first.body);
	EXPECT_EQ(runs("k"), 1);
}

TEST_F(DispatchTest, ConcurrentDuplicatesRunOnce)
{
	cluster.stand_ins->fault("service",
				 "{\"service\":\"dispatch\",\"slow_ms\":200}");
	Stream first(send_url(0), "letter", headers_with_key("k"));
	Stream second(send_url(1), "letter", headers_with_key("k"));
	Reply replies[] = { first.finish(), second.finish() };
	long answered = 0;

	for (const Reply &reply : replies) {
		EXPECT_TRUE(reply.complete) << reply.error;
		answered += reply.status == 200;
	}
	EXPECT_GE(answered, 1);
	EXPECT_EQ(runs("k"), 1);
}

TEST_F(DispatchTest, LostClaimResponseIsResolvedByReadingBack)
{
	cluster.stand_ins->fault("platform", "{\"lose_answers\":1}");
	Reply reply = call(send_url(), "letter", headers_with_key("k"));

	EXPECT_EQ(reply.status, 200) << reply.body;
	EXPECT_EQ(runs("k"), 1);
}

TEST_F(DispatchTest, LostServiceResponseIsUnknownAndNeverRetried)
{
	cluster.stand_ins->fault(
		"service", "{\"service\":\"dispatch\",\"lose_answers\":1}");
	for (uint32_t host : { 0, 1, 0 }) {
		Reply reply =
			call(send_url(host), "letter", headers_with_key("k"));

		EXPECT_GE(reply.status, 400) << reply.body;
		EXPECT_NE(reply.body.find("\"unknown\""), std::string::npos)
			<< reply.body;
	}
	EXPECT_EQ(runs("k"), 1);
}

TEST_F(DispatchTest, PlatformOutageRefusesCallWithoutRunningIt)
{
	cluster.stand_ins->fault("platform", "{\"down_ms\":-1}");
	Reply refused = call(send_url(), "letter", headers_with_key("k"));

	EXPECT_EQ(refused.status, 503) << refused.body;
	EXPECT_NE(refused.body.find("not_run"), std::string::npos)
		<< refused.body;
	EXPECT_EQ(refused.headers.count("retry-after"), 1u);
	EXPECT_EQ(runs("k"), 0);
	cluster.stand_ins->fault("platform", "{\"down_ms\":0}");
	EXPECT_TRUE(wait_until([&] {
		return call(send_url(), "letter", headers_with_key("k"))
			       .status == 200;
	}));
	EXPECT_EQ(runs("k"), 1);
}

TEST_F(DispatchTest, CallWithoutKeyIsSentOnce)
{
	cluster.stand_ins->fault(
		"service", "{\"service\":\"dispatch\",\"lose_answers\":1}");
	Reply reply = call(send_url(), "letter", Cluster::team());

	EXPECT_GE(reply.status, 400) << reply.body;
	EXPECT_EQ(cluster.stand_ins->number("/services/dispatch/runs"), 1);
}

} // namespace
