// Golden files of whole sessions: what the caller got, what each process
// recorded of the request, and what the engines and the service ran.
#include <gtest/gtest.h>

#include "cluster.h"
#include "golden.h"

using namespace harness;

namespace
{

// Parts of a session, in the order they are added.
class Session
{
      public:
	void add(const std::string &title, const std::string &text)
	{
		out += "== " + title + "\n" + text;
		if (text.empty() || text.back() != '\n')
			out += "\n";
	}

	void add_answer(const std::string &request, const Reply &reply)
	{
		std::string answer = std::to_string(reply.status);

		if (!reply.complete)
			answer += " broken";
		if (reply.headers.count("retry-after"))
			answer += " retry-after";
		add(request, answer + "\n" + reply.body);
	}

	std::string out;
};

Headers with_id(const std::string &id)
{
	Headers headers = Cluster::team();

	headers.push_back("X-Request-Id: " + id);
	return headers;
}

Options options_of(uint32_t engines)
{
	Options options;

	options.engines = engines;
	options.limits = "{\"idle_timeout_ms\":500}";
	return options;
}

class GoldenTest : public testing::Test
{
      protected:
	// Start the hosts; the session is compared at the end.
	void start(uint32_t engines)
	{
		cluster = std::make_unique<Cluster>(options_of(engines));
		cluster->start();
	}

	void finish(const std::string &name,
		    const std::vector<std::string> &subjects)
	{
		session.add("time line", cluster->timeline_of(subjects));
		session.add("runs at engines", cluster->stand_ins->run_list());
		EXPECT_TRUE(cluster->stop());
		expect_golden(name, session.out);
	}

	std::string completions() const
	{
		return cluster->entry_url(0) + "/v1/completions";
	}

	Reply dispatch(const std::string &id)
	{
		Headers headers = with_id(id);

		headers.push_back("Idempotency-Key: letter-1");
		return call(cluster->entry_url(0) +
				    "/v1/services/dispatch/send",
			    "{}", headers);
	}

	// A caller has the whole answer before its entry knows that the last
	// byte went out: the next request of a session waits for the record.
	Reply call_and_await_done(const std::string &id,
				  const std::string &body)
	{
		Reply reply = call(completions(), body, with_id(id));

		EXPECT_TRUE(wait_until([this, &id] {
			return cluster->timeline_of({ id }).find(
				       "request_done") != std::string::npos;
		}));
		return reply;
	}

	// The answer is kept some time after the caller has it.
	void await_settled(uint32_t calls)
	{
		EXPECT_TRUE(wait_until([this, calls] {
			std::string text = cluster->timeline_of({ "once/" });
			uint32_t settled = 0;

			for (size_t at = text.find("call_settled");
			     at != std::string::npos;
			     at = text.find("call_settled", at + 1))
				settled++;
			return settled >= calls;
		}));
	}

	// A stream in the middle of which a fault hits its engine.
	Reply stream_with_fault(const std::string &fault,
				const std::string &more)
	{
		Stream stream(completions(), completion("abc", 100, true),
			      with_id("request-a"));
		EXPECT_TRUE(stream.wait_events(5));
		int engine = cluster->stand_ins->engine_with("decode");

		cluster->stand_ins->fault(
			fault, "{\"engine\":\"engine" + std::to_string(engine) +
				       "\"" + more + "}");
		return stream.finish();
	}

	void add_stream(const Reply &reply)
	{
		EXPECT_TRUE(ends_whole(reply)) << reply.body;
		EXPECT_EQ(answer_text(reply),
			  expected_text("abc", "m", "v1", 100));
		session.add("request-a streamed",
			    std::to_string(parse_events(reply.body).size()) +
				    " events, whole");
	}

	std::unique_ptr<Cluster> cluster;
	Session session;
};

TEST_F(GoldenTest, StreamedRequestWithAWarmPrefix)
{
	std::string prefix(4000, 'p');
	std::string usage = ",\"stream_options\":{\"include_usage\":true}";

	start(2);
	for (const char *id : { "request-a", "request-b" })
		session.add_answer(
			id, call_and_await_done(id, completion(prefix + id, 3,
							       true, usage)));
	finish("warm_prefix", { "request-a", "request-b" });
}

TEST_F(GoldenTest, CrashInMidStream)
{
	start(2);
	add_stream(stream_with_fault("crash", ",\"down_ms\":5000"));
	finish("crash", { "request-a" });
}

TEST_F(GoldenTest, SilentConnection)
{
	start(2);
	add_stream(stream_with_fault("silent", ""));
	finish("silent_connection", { "request-a" });
}

TEST_F(GoldenTest, DispatchSentTwice)
{
	start(1);
	session.add_answer("request-a", dispatch("request-a"));
	await_settled(1);
	session.add_answer("request-b", dispatch("request-b"));
	await_settled(2);
	session.add("runs at the service",
		    cluster->stand_ins->record("/services/dispatch"));
	finish("dispatch_twice", { "request-a", "request-b", "once/" });
}

TEST_F(GoldenTest, DispatchWhoseClaimsAnswerWasLost)
{
	start(1);
	cluster->stand_ins->fault("platform", "{\"lose_answers\":1}");
	session.add_answer("request-a", dispatch("request-a"));
	await_settled(1);
	session.add("runs at the service",
		    cluster->stand_ins->record("/services/dispatch"));
	finish("claim_lost", { "request-a", "once/" });
}

TEST_F(GoldenTest, PoisonedRequest)
{
	start(4);
	cluster->stand_ins->fault("poison",
				  "{\"text\":\"poisoned\",\"down_ms\":5000}");
	for (const char *id : { "request-a", "request-b" })
		session.add_answer(id, call(completions(),
					    completion("poisoned", 3, true),
					    with_id(id)));
	finish("poisoned", { "request-a", "request-b" });
}

TEST_F(GoldenTest, Refusal)
{
	start(1);
	session.add_answer("request-a",
			   call(completions(), "{\"model\":\"none\"}",
				with_id("request-a")));
	cluster->stand_ins->fault("platform", "{\"down_ms\":-1}");
	session.add_answer("request-b", dispatch("request-b"));
	finish("refusal", { "request-a", "request-b", "once/" });
}

} // namespace
