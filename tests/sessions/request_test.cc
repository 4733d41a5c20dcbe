// One request end to end through separate processes.
#include <gtest/gtest.h>

#include "cluster.h"

using namespace harness;

namespace
{

class RequestTest : public testing::Test
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

	std::string completions() const
	{
		return cluster.entry_url(0) + "/v1/completions";
	}

	Cluster cluster{ Options{} };
};

TEST_F(RequestTest, EveryWayOfAskingGetsTheEnginesBytes)
{
	std::string chat = "{\"model\":\"m\",\"max_tokens\":9,\"messages\":"
			   "[{\"role\":\"user\",\"content\":\"abc\"}]";
	std::string chat_text = expected_text("<|user|>abc\n", "m", "v1", 9);
	std::string text = expected_text("abc", "m", "v1", 9);
	struct {
		const char *path;
		std::string body;
		bool is_stream;
		std::string expected;
	} cases[] = {
		{ "/v1/completions", completion("abc", 9, false), false, text },
		{ "/v1/completions", completion("abc", 9, true), true, text },
		{ "/v1/chat/completions", chat + "}", false, chat_text },
		{ "/v1/chat/completions", chat + ",\"stream\":true}", true,
		  chat_text },
	};

	for (const auto &c : cases) {
		Reply reply = call(cluster.entry_url(0) + c.path, c.body,
				   Cluster::team());

		EXPECT_EQ(reply.status, 200) << reply.body;
		EXPECT_EQ(answer_text(reply), c.expected) << reply.body;
		EXPECT_EQ(ends_whole(reply), c.is_stream) << reply.body;
	}
}

// The harness: on a loaded machine the index was still being loaded when the
// test had ended, and SIGTERM ended it before it could handle signals.
TEST_F(RequestTest, ProcessThatHasJustBegunToStartStopsInOrder)
{
	cluster.start_process(0, "index");
}

TEST_F(RequestTest, SecondRequestRunsWhereItsPrefixIs)
{
	std::string prefix(4000, 'p');

	for (const char *tail : { "1", "2", "3" })
		EXPECT_EQ(call(completions(),
			       completion(prefix + tail, 2, true),
			       Cluster::team())
				  .status,
			  200);
	EXPECT_EQ(cluster.stand_ins->sum("cached_blocks"), 20);
	EXPECT_EQ(cluster.stand_ins->sum("computed_blocks"), 10);
}

TEST_F(RequestTest, RefusalsSayThatNothingRan)
{
	Headers wrong_key = { "Authorization: Bearer nobody" };
	struct {
		const char *path;
		std::string body;
		Headers headers;
		long status;
	} cases[] = {
		{ "/v1/completions", completion("abc", 1, false), {}, 401 },
		{ "/v1/completions", completion("abc", 1, false), wrong_key,
		  401 },
		{ "/v1/completions", "{\"model\":", Cluster::team(), 400 },
		{ "/v1/completions", "{\"model\":\"none\",\"prompt\":\"a\"}",
		  Cluster::team(), 404 },
		{ "/v1/services/none/x", "x", Cluster::team(), 404 },
		{ "/v1/nothing", "", Cluster::team(), 404 },
	};

	for (const auto &c : cases) {
		Reply reply =
			call(cluster.entry_url(0) + c.path, c.body, c.headers);

		EXPECT_EQ(reply.status, c.status) << c.path << reply.body;
		EXPECT_NE(reply.body.find("not_run"), std::string::npos)
			<< reply.body;
	}
	EXPECT_EQ(cluster.stand_ins->sum("done"), 0);
}

} // namespace
