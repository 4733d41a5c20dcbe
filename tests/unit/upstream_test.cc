// Attempts at engines and services against a fake server on the same loop.
#include "../harness/answer_cases.h"
#include "../harness/endless.h"
#include "../harness/one_answer.h"
#include "fakes.h"

extern "C" {
#include "upstream/up.h"
#include "upstream/up_body.h"
}

namespace
{

class Upstream : public testing::Test
{
      protected:
	Loop l;
	FakeServer server{ l.loop };
	struct hc_client client;
	struct up_attempt attempt = {};
	std::string text;
	int done_count = 0;
	bool is_done_seen = false;
	struct up_result result = {};
	std::string body;

	void SetUp() override
	{
		struct hc_desc desc = {};

		desc.loop = l.loop;
		ASSERT_EQ(hc_init(&client, &desc), ST_OK);
	}
	void TearDown() override
	{
		up_finish(&attempt);
		hc_finish(&client);
		server.stop();
	}
	void start(const char *kind, bool is_stream,
		   const char *path = "/v1/completions", uint16_t port = 0)
	{
		struct up_desc desc = {};

		desc.kind = kind;
		desc.loop = l.loop;
		desc.client = &client;
		desc.id = "a-1";
		desc.ipv4 = INADDR_LOOPBACK;
		desc.port = port ? port : server.port();
		desc.path = path;
		desc.weights = "v1";
		desc.incarnation = 7;
		desc.cache_salt = 0xabc;
		desc.is_stream = is_stream;
		desc.body = "{}";
		desc.body_bytes = 2;
		desc.idle_timeout_ms = 50;
		desc.first_byte_timeout_ms = 2000;
		desc.on_event = [](void *arg, const struct up_event *e) {
			static_cast<Upstream *>(arg)->append_token(e);
		};
		desc.on_done = [](void *arg, const struct up_result *r) {
			auto *self = static_cast<Upstream *>(arg);

			self->done_count++;
			self->result = *r;
			self->body.assign(r->body, r->body_bytes);
		};
		desc.arg = this;
		ASSERT_EQ(up_init(&attempt, &desc), ST_OK);
		ASSERT_EQ(up_start(&attempt), ST_OK);
	}
	void append_token(const struct up_event *e)
	{
		struct json_object *choices, *piece;

		is_done_seen = is_done_seen || e->is_done;
		if (e->is_done)
			return;
		choices = json_object_object_get(e->json, "choices");
		piece = json_object_array_get_idx(choices, 0);
		text += json_object_get_string(
			json_object_object_get(piece, "text"));
	}
	void wait_done(int count)
	{
		ASSERT_TRUE(l.run_until([&] { return done_count == count; }));
	}
};

TEST_F(Upstream, StreamsAreValidated)
{
	const struct {
		const char *name;
		const char *id;
		int second;
		bool has_end;
		enum up_end end;
		enum sd_fault fault;
		const char *text;
	} cases[] = {
		{ "complete", "a-1", 2, true, UP_COMPLETE, SD_FINE, "xy" },
		{ "duplicate in place of a lost event", "a-1", 1, true,
		  UP_FAULTY, SD_GAP, "x" },
		{ "gap", "a-1", 3, true, UP_FAULTY, SD_GAP, "x" },
		{ "event of another request", "b-1", 2, true, UP_FAULTY,
		  SD_CROSSED, "" },
		{ "no [DONE]", "a-1", 2, false, UP_BROKEN, SD_NOT_DONE, "xy" },
	};

	for (const auto &c : cases) {
		server.on_request = [&](struct hs_exchange *x) {
			begin_stream(x);
			send_event(x, 1, token(c.id, "x"));
			send_event(x, c.second, token(c.id, "y"));
			if (c.has_end)
				send_event(x, 3, "[DONE]");
			hs_end(x);
		};
		text.clear();
		done_count = 0;
		start("engine", true);
		wait_done(1);
		EXPECT_EQ(result.end, c.end) << c.name;
		EXPECT_EQ(result.fault, c.fault) << c.name;
		EXPECT_EQ(text, c.text) << c.name;
		EXPECT_TRUE(result.maybe_sent);
		up_finish(&attempt);
	}
	EXPECT_EQ(server.seen[0].weights, "v1");
	EXPECT_EQ(server.seen[0].salt, "0000000000000abc");
}

TEST_F(Upstream, PlainAnswersAreValidated)
{
	const struct {
		const char *weights;
		const char *incarnation;
		const char *id;
		uint32_t status;
		enum up_end end;
		enum sd_fault fault;
	} cases[] = {
		{ "v1", "7", "cmpl-a-1", 200, UP_COMPLETE, SD_FINE },
		{ "v2", "7", "cmpl-a-1", 200, UP_FAULTY, SD_WRONG_WEIGHTS },
		{ "v1", "8", "cmpl-a-1", 200, UP_FAULTY, SD_WRONG_INCARNATION },
		{ "v1", "7", "cmpl-b-1", 200, UP_FAULTY, SD_CROSSED },
		{ "v1", "7", "cmpl-a-1", 409, UP_REFUSED, SD_FINE },
	};

	for (const auto &c : cases) {
		const struct hs_header headers[] = {
			{ "X-Weights-Version", c.weights },
			{ "X-Engine-Incarnation", c.incarnation },
			{ nullptr, nullptr },
		};

		server.on_request = [&](struct hs_exchange *x) {
			send_whole(x, c.status,
				   std::string("{\"id\":\"") + c.id + "\"}",
				   headers);
		};
		done_count = 0;
		start("engine", false);
		wait_done(1);
		EXPECT_EQ(result.end, c.end);
		EXPECT_EQ(result.fault, c.fault);
		up_finish(&attempt);
	}
}

TEST_F(Upstream, SilentStreamIsResumedAfterItsLastEvent)
{
	server.on_request = [&](struct hs_exchange *x) {
		begin_stream(x);
		if (std::string(x->method) == "POST") {
			send_event(x, 1, token("a-1", "x"));
			return;
		}
		send_event(x, 1, token("a-1", "x"));
		send_event(x, 2, token("a-1", "y"));
		send_event(x, 3, "[DONE]");
		hs_end(x);
	};
	start("engine", true);
	wait_done(1);
	EXPECT_EQ(result.end, UP_SILENT);
	EXPECT_EQ(result.last_sequence, 1u);
	ASSERT_TRUE(up_can_resume(&attempt));
	ASSERT_EQ(up_resume(&attempt), ST_OK);
	wait_done(2);
	EXPECT_EQ(result.end, UP_COMPLETE);
	EXPECT_EQ(text, "xy");
	EXPECT_EQ(server.seen[1].path, "/v1/streams/a-1");
	EXPECT_EQ(server.seen[1].last_event, "1");
}

TEST_F(Upstream, CancelSendsDeleteToTheEngine)
{
	server.on_request = [&](struct hs_exchange *x) {
		if (std::string(x->method) == "DELETE")
			hs_respond(x, 200, nullptr, "", 0);
	};
	start("engine", true);
	ASSERT_TRUE(l.run_until([&] { return server.seen.size() == 1; }));
	up_cancel(&attempt);
	up_finish(&attempt);
	ASSERT_TRUE(l.run_until([&] { return server.count("DELETE") == 1; }));
	EXPECT_EQ(server.seen[1].path, "/v1/streams/a-1");
	EXPECT_EQ(done_count, 0);
}

TEST_F(Upstream, RefusedConnectionEndsAsNotSent)
{
	server.stop();
	start("engine", true);
	wait_done(1);
	EXPECT_EQ(result.end, UP_NOT_SENT);
	EXPECT_FALSE(result.maybe_sent);
}

TEST_F(Upstream, ServiceAnswerOfAnyStatusIsComplete)
{
	server.on_request = [&](struct hs_exchange *x) {
		const struct hs_header headers[] = { { "X-Kind", "letter" },
						     { nullptr, nullptr } };

		send_whole(x, 404, "none", headers);
	};
	start("service", false, "/letters/1?x=y");
	wait_done(1);
	EXPECT_EQ(result.end, UP_COMPLETE);
	EXPECT_EQ(result.http_status, 404u);
	EXPECT_EQ(body, "none");
	EXPECT_FALSE(up_can_resume(&attempt));
}

// Neither a service's answer, whatever its status, nor an engine's refusal.
TEST_F(Upstream, AnswerThatIsNoneEndsTheAttemptWithItsReason)
{
	static const struct {
		const char *kind;
		bool is_stream;
	} attempts[] = { { "service", false },
			 { "engine", false },
			 { "engine", true } };

	for (const auto &a : attempts)
		for (const BrokenAnswer *answer :
		     { &broken_statuses[1], &broken_fields[3],
		       &broken_lengths[6], &broken_chunks[10] }) {
			harness::OneAnswer server(answer->text, false, false);
			int before = done_count;

			start(a.kind, a.is_stream, "/x", server.port);
			l.run_until([&] {
				server.serve();
				return done_count > before;
			});
			/* The decoder may have found a fault before. */
			EXPECT_EQ(result.end,
				  a.is_stream && answer->has_sound_head
					  ? UP_FAULTY
					  : UP_GARBLED)
				<< answer->name;
			EXPECT_TRUE(result.maybe_sent) << answer->name;
			EXPECT_EQ(body, "") << answer->name;
			up_finish(&attempt);
		}
}

std::string make(const char *request, int32_t priority)
{
	struct json_object *json = up_parse_json(request, strlen(request));
	char *made = up_body_make(json, priority);
	std::string out = made;

	g_free(made);
	json_object_put(json);
	return out;
}

TEST(UpstreamBody, RouterFieldsReplaceTheCallersFields)
{
	EXPECT_EQ(make("{\"prompt\":\"a\",\"priority\":-9,"
		       "\"continue_from\":{\"text\":\"b\"}}",
		       3),
		  "{\"prompt\":\"a\",\"priority\":3}");
	EXPECT_EQ(make("{\"stream\":true}", 0),
		  "{\"stream\":true,\"priority\":0,"
		  "\"stream_options\":{\"include_usage\":true}}");
}

TEST(UpstreamBody, ContinuationReducesTheTokenLimit)
{
	const struct {
		const char *body;
		uint32_t tokens;
		const char *expected;
	} cases[] = {
		{ "{\"max_tokens\":5}", 2,
		  "{\"max_tokens\":3,\"continue_from\":{\"text\":\"ab\"}}" },
		{ "{}", 2, "{\"continue_from\":{\"text\":\"ab\"}}" },
		{ "{\"max_tokens\":2}", 2, nullptr },
		{ "[", 2, nullptr },
	};

	for (const auto &c : cases) {
		char *out = up_body_continue(c.body, "ab", c.tokens);

		EXPECT_STREQ(out, c.expected);
		g_free(out);
	}
}

// Answers without end are bounded even if the caller sets no deadline.
TEST_F(Upstream, BytesWithoutEndEndTheAttempt)
{
	static const struct {
		const char *what;
		bool is_stream;
		const char *start;
		const char *part;
	} cases[] = {
		{ "no HTTP at all", true, "", "x" },
		{ "endless header line", true, "HTTP/1.1 200 OK\r\nA: ", "a" },
		{ "endless header lines", true, "HTTP/1.1 200 OK\r\n",
		  "A: a\r\n" },
		{ "endless interim responses", true, "",
		  "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "endless plain answer", false, "HTTP/1.1 200 OK\r\n\r\n",
		  "x" },
		{ "endless event", true, "HTTP/1.1 200 OK\r\n\r\ndata: ", "x" },
		{ "endless comments", true, "HTTP/1.1 200 OK\r\n\r\n",
		  ": x\n\n" },
		{ "endless refusal", true, "HTTP/1.1 503 Busy\r\n\r\n", "x" },
	};

	for (const auto &c : cases) {
		std::string preamble = c.start;
		size_t end_of_line = preamble.find('\n');

		/* Headers of the engine that the attempt was routed to. */
		if (end_of_line != std::string::npos)
			preamble.insert(end_of_line + 1,
					"X-Weights-Version: v1\r\n"
					"X-Engine-Incarnation: 7\r\n");
		harness::EndlessServer endless("127.0.0.1", preamble, c.part);

		done_count = 0;
		start("engine", c.is_stream, "/v1/completions", endless.port());
		EXPECT_TRUE(l.run_until([&] { return done_count == 1; }))
			<< c.what;
		EXPECT_NE(result.end, UP_COMPLETE) << c.what;
		EXPECT_LT(body.size(), 1u << 20) << c.what;
		up_finish(&attempt);
	}
}

} // namespace
