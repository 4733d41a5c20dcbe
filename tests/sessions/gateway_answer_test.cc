// Answers of engines that are none: no caller of the gateway gets one, whole or
// in part; it counts as the engine's failure, and another engine is asked only
// where the route allows.
#include <gtest/gtest.h>

#include "answer_cases.h"
#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "raw.h"
#include "scripted.h"

using namespace harness;

namespace
{

// Adds @fields behind the last status line of @text, which is that of the
// answer itself.
std::string with_fields(std::string text, const std::string &fields)
{
	size_t line = text.rfind("HTTP/");
	size_t end = line == std::string::npos ? line : text.find('\n', line);

	return end == std::string::npos ? text : text.insert(end + 1, fields);
}

class Answer : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	Fleet fleet;
	std::unique_ptr<Process> process;
	std::string text;
	std::atomic<bool> closes{ false };
	std::atomic<int> runs{ 0 };
	std::atomic<int> looks{ 0 };
	int asked = 0;
	ScriptedServer engine{ [this](const ScriptedServer::Request &r) {
		runs++;
		looks += r.head.find(" /look/") != std::string::npos;
		return with_fields(
			text, "X-Attempt-Id: " + r.field("X-Attempt-Id") +
				      "\r\nX-Response-Stamp: scripted\r\n");
	} };

	void SetUp() override
	{
		fleet.add_engine("e1", "llm", "m", 1);
		fleet.add_engine("a1", "app");
		fleet.add_engine("b1", "both");
		fleet.add_engine("b2", "both");
		for (const char *id : { "e1", "a1", "b1" })
			fleet.set_address(id, engine.address());
		fleet.put("op", "config",
			  fleet_config(1,
				       { { "grade", "streaming", "llm", 2, true,
					   3000 },
					 { "record", "non_idempotent", "app", 2,
					   false, 3000 },
					 { "look", "idempotent", "both", 2,
					   false, 3000 } },
				       "\"k1\""));
		process = start_gateway(fleet, directory.path, "h1");
		ASSERT_TRUE(wait_until([] {
			return call(Fleet::readiness("h1")).status == 200;
		}));
	}

	void answer_with(const std::string &bytes, bool closes)
	{
		text = bytes;
		engine.closes = closes;
	}

	// What the caller of one request receives, up to the connection's end.
	std::string ask(const std::string &route)
	{
		std::string id = "n" + std::to_string(++asked);
		RawCaller caller(Fleet::url("h1", ""));

		caller.write("POST /" + route +
			     "/x HTTP/1.1\r\nHost: h\r\n"
			     "Authorization: Bearer k1\r\nX-Attempt-Id: " +
			     id + "\r\nX-Deadline-Ms: 3000\r\n" +
			     (route == "grade"
				      ? "X-Model: m\r\n"
					"X-Token-Usage: 100,8\r\n"
					"X-Prefix-Hash: aa:50,b" +
						id.substr(1) + ":20\r\n"
				      : "") +
			     "Content-Length: 4\r\nConnection: close\r\n\r\n"
			     "body");
		return caller.read_to_end();
	}

	static std::string status_of(const std::string &answer)
	{
		return answer.substr(0, 12);
	}

	// Whether the log has a line about a garbled answer, with a reason.
	bool has_logged_reason()
	{
		std::string log = read_file(directory.path + "/log");

		return log.find("\"outcome\":\"garbled\",\"reason\":\"") !=
			       std::string::npos &&
		       log.find("\"outcome\":\"garbled\",\"reason\":\"\"") ==
			       std::string::npos;
	}

	// A request that may run once only, a stream, and one that may be sent
	// to another engine.
	template <size_t n> void check(const BrokenAnswer (&answers)[n])
	{
		for (const BrokenAnswer &a : answers) {
			answer_with(a.text, true);
			runs = 0;
			EXPECT_EQ(status_of(ask("record")), "HTTP/1.1 502")
				<< a.name;
			EXPECT_EQ(runs, 1) << a.name;
			EXPECT_NE(status_of(ask("grade")), "HTTP/1.1 200")
				<< a.name;
			EXPECT_EQ(status_of(ask("look")), "HTTP/1.1 200")
				<< a.name;
		}
		EXPECT_GT(looks, 0);
		EXPECT_TRUE(has_logged_reason());
		EXPECT_EQ(call(Fleet::readiness("h1")).status, 200);
	}
};

TEST_F(Answer, SoundOnesReachTheirCallers)
{
	for (const SoundAnswer &a : sound_answers) {
		std::string seen;

		answer_with(a.text, a.closes);
		seen = ask("record");
		EXPECT_EQ(status_of(seen),
			  "HTTP/1.1 " + std::to_string(a.status))
			<< a.name;
		EXPECT_NE(seen.find("X-Response-Stamp: scripted\r\n"),
			  std::string::npos)
			<< a.name;
		EXPECT_EQ(seen.substr(seen.find("\r\n\r\n") + 4), a.body)
			<< a.name;
	}
}

// Its head is final: the request has not run. What is wrong with its body is
// the engine's failure all the same.
TEST_F(Answer, RefusalWithABrokenBodyIsLoggedWithItsReason)
{
	std::string log;

	answer_with("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n2\r\nhixx0\r\n\r\n",
		    true);
	EXPECT_EQ(status_of(ask("record")), "HTTP/1.1 503");
	EXPECT_TRUE(wait_until([&] {
		log = read_file(directory.path + "/log");
		return log.find("\"outcome\":\"not_run\",\"reason\":\"") !=
		       std::string::npos;
	}));
	EXPECT_EQ(log.find("\"outcome\":\"not_run\",\"reason\":\"\""),
		  std::string::npos);
}

// No part of a chunk that is none reaches the caller, and the end of its answer
// does not look like one.
TEST_F(Answer, StreamThatTurnsIntoNoneIsCutOff)
{
	static const std::string head =
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"11\r\nid: 1\ndata: one\n\n\r\n";

	for (const char *rest : { "11\r\nid: 2\ndata: two\n\nxx0\r\n\r\n",
				  "11\rxid: 2\ndata: two\n\n\r\n0\r\n\r\n",
				  "what\r\n", "0\r\nX A: a\r\n\r\n" }) {
		std::string seen;

		answer_with(head + rest, true);
		seen = ask("grade");
		EXPECT_EQ(status_of(seen), "HTTP/1.1 200") << rest;
		EXPECT_NE(seen.find("data: one\n\n"), std::string::npos)
			<< rest;
		EXPECT_EQ(seen.find("\r\n0\r\n"), std::string::npos) << rest;
	}
}

TEST_F(Answer, ChunksThatAreNone)
{
	check(broken_chunks);
}

TEST_F(Answer, FieldsThatAreNone)
{
	check(broken_fields);
}

TEST_F(Answer, LengthsAndCodingsThatAreNone)
{
	check(broken_lengths);
}

TEST_F(Answer, StatusLinesThatAreNone)
{
	check(broken_statuses);
}

} // namespace
