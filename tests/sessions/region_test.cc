// Callers in one region, engines in the other: the answer is whole and shared
// prompt text crosses the link once, also over a restart of the far entry.
#include <gtest/gtest.h>

#include <csignal>

#include "cluster.h"

using namespace harness;

namespace
{

Options two_regions()
{
	Options options;

	options.hosts = 2;
	options.engines = 2;
	options.zones = { "z1:near", "z2:far" };
	return options;
}

class RegionTest : public testing::Test
{
      protected:
	Cluster cluster{ two_regions() };
	const std::string rulebook =
		std::string(1000, 'a') + std::string(100000, 'b');

	void SetUp() override
	{
		cluster.start();
		// host1 and engine1 are in the far region.
		cluster.configure("model", "m",
				  "{\"version\":\"v1\",\"engines\":"
				  "[\"engine1\"]}");
		ASSERT_TRUE(wait_until([&] {
			ask("x");
			return counter("balsampin_link_sent_bytes_total") > 0;
		}));
	}
	Reply ask(const std::string &tail)
	{
		return call(cluster.entry_url(0) + "/v1/completions",
			    completion(rulebook + tail, 4, true),
			    Cluster::team());
	}
	void expect_whole(const std::string &tail)
	{
		Reply reply = ask(tail);

		EXPECT_TRUE(ends_whole(reply)) << reply.status << reply.body;
		EXPECT_EQ(answer_text(reply),
			  expected_text(rulebook + tail, "m", "v1", 4));
	}
	// A counter of the near entry.
	long counter(const std::string &name)
	{
		std::string text = call(cluster.entry_url(0) + "/metrics").body;
		size_t at = text.find("\n" + name + " ");

		if (at == std::string::npos)
			return -1;
		return std::stol(text.substr(at + name.size() + 2));
	}
};

TEST_F(RegionTest, SharedTextCrossesTheLinkOnce)
{
	long before;

	expect_whole("1");
	before = counter("balsampin_link_sent_bytes_total");
	EXPECT_GT(before, 0);
	for (const char *tail : { "2", "3", "4", "5" })
		expect_whole(tail);
	EXPECT_LT(counter("balsampin_link_sent_bytes_total") - before, 20000);
	EXPECT_GT(counter("balsampin_link_whole_bytes_total"), 500000);
	EXPECT_TRUE(cluster.stop());
}

TEST_F(RegionTest, FarEntryThatRestartedGetsTheTextAgain)
{
	expect_whole("1");
	cluster.process(1, "entry").signal(SIGKILL);
	cluster.process(1, "entry").wait();
	cluster.start_process(1, "entry");
	for (const char *tail : { "2", "3" })
		expect_whole(tail);
	EXPECT_TRUE(cluster.stop());
}

} // namespace
