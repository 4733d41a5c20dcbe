// The entry process in one program with fake engines: engine failures, limits,
// invalid requests, cancellation and drain.
#include "entry_host.h"

extern "C" {
#include "limits/lm_engine.h"
}

namespace
{

const char *const completions = "/v1/completions";
const std::string plain = "{\"model\":\"m\",\"prompt\":\"p\"}";
const std::string streamed =
	"{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":9}";

class Entry : public testing::Test
{
      protected:
	Loop l;
	FakeServer e1{ l.loop }, e2{ l.loop };
	Caller caller{ l.loop };
	std::unique_ptr<Host> host;

	void SetUp() override
	{
		auto serve_request = [this](struct hs_exchange *x) {
			serve(x);
		};

		e1.on_request = serve_request;
		e2.on_request = serve_request;
		restart();
	}
	void restart()
	{
		host.reset();
		e1.seen.clear();
		e2.seen.clear();
		host.reset(new Host(l.loop, "h1",
				    { { MB_ENGINE, "e1", e1.port(), 7 },
				      { MB_ENGINE, "e2", e2.port(), 7 } }));
	}
	void TearDown() override
	{
		host.reset();
	}
	static std::string id_of(struct hs_exchange *x)
	{
		return hs_header(x, "X-Request-Id");
	}
	static bool is_post(struct hs_exchange *x)
	{
		return !strcmp(x->method, "POST");
	}
	// A healthy engine: answers "abc", streamed or plain; a continuation
	// starts after the first token.
	static void serve(struct hs_exchange *x)
	{
		std::string id;

		if (!strcmp(x->method, "DELETE")) {
			hs_respond(x, 200, nullptr, "", 0);
			return;
		}
		id = id_of(x);
		if (!has(x->body->str, "\"stream\":true")) {
			send_whole(x, 200,
				   "{\"id\":\"cmpl-" + id +
					   "\",\"choices\":[{\"index\":0,"
					   "\"text\":\"abc\"}]}");
			return;
		}
		bool is_rest = has(x->body->str, "continue_from");
		const char *const texts[] = { "a", "b", "c" };
		int n = 0;

		begin_stream(x);
		for (int i = is_rest ? 1 : 0; i < 3; i++)
			send_event(x, ++n, token(id, texts[i]));
		send_event(x, n + 1, "[DONE]");
		hs_end(x);
	}
	Answer post_completion(const std::string &body,
			       int64_t limit_ms = 10000)
	{
		Answer a;

		caller.send(&a, host->port(), "POST", completions, body);
		EXPECT_TRUE(l.run_until([&] { return a.is_done; }, limit_ms));
		return a;
	}
	// The first POST to either engine gets the fault; all later requests
	// are served.
	void first_request_gets(
		const std::function<void(struct hs_exchange *)> &fault)
	{
		auto is_first = std::make_shared<bool>(true);
		auto fail_once = [=](struct hs_exchange *x) {
			if (!*is_first || !is_post(x)) {
				serve(x);
				return;
			}
			*is_first = false;
			fault(x);
		};

		e1.on_request = fail_once;
		e2.on_request = fail_once;
	}
	FakeServer &first_engine()
	{
		return e1.seen.empty() ? e2 : e1;
	}
	int posts()
	{
		return e1.count("POST") + e2.count("POST");
	}
};

TEST_F(Entry, PlainAndStreamedAnswersAreComplete)
{
	Answer p = post_completion(plain), s = post_completion(streamed);

	EXPECT_EQ(p.status, 200u);
	EXPECT_TRUE(has(p.body, "abc"));
	EXPECT_TRUE(has(p.body, p.request_id.c_str()));
	EXPECT_EQ(s.status, 200u);
	EXPECT_EQ(s.outcome, HC_DONE);
	EXPECT_EQ(text_of(s.body), "abc");
	EXPECT_TRUE(has(s.body, "data: [DONE]"));
	for (const FakeServer *e : { &e1, &e2 })
		for (const Seen &seen : e->seen) {
			EXPECT_EQ(seen.weights, "v1");
			EXPECT_TRUE(has(seen.body, "\"priority\":"));
			EXPECT_FALSE(has(s.body, seen.id.c_str()));
		}
}

// The caller gets the complete answer exactly once, whatever fault the first
// attempt has.
TEST_F(Entry, FailuresBeforeAndDuringAnswerAreRecovered)
{
	const struct {
		const char *name;
		const std::string &body;
		std::function<void(struct hs_exchange *)> fault;
		int posts;
	} cases[] = {
		{ "crash before a plain answer", plain,
		  [](struct hs_exchange *x) {
			  hs_begin(x, 200, engine_headers);
			  hs_abort(x);
		  },
		  2 },
		{ "plain answer of another request", plain,
		  [](struct hs_exchange *x) {
			  send_whole(x, 200, "{\"id\":\"cmpl-other\"}");
		  },
		  2 },
		{ "wrong weights", plain,
		  [](struct hs_exchange *x) {
			  send_whole(x, 409, "{\"error\":{}}");
		  },
		  2 },
		{ "answer from other weights", plain,
		  [](struct hs_exchange *x) {
			  const struct hs_header headers[] = {
				  { "X-Weights-Version", "v0" },
				  { "X-Engine-Incarnation", "7" },
				  { nullptr, nullptr },
			  };
			  send_whole(x, 200,
				     "{\"id\":\"cmpl-" + id_of(x) + "\"}",
				     headers);
		  },
		  2 },
		{ "event of another request in mid-stream", streamed,
		  [](struct hs_exchange *x) {
			  begin_stream(x);
			  send_event(x, 1, token(id_of(x), "a"));
			  send_event(x, 2, token("other", "z"));
		  },
		  2 },
		{ "gap in mid-stream", streamed,
		  [](struct hs_exchange *x) {
			  begin_stream(x);
			  send_event(x, 1, token(id_of(x), "a"));
			  send_event(x, 3, token(id_of(x), "c"));
		  },
		  2 },
		{ "repeated events", streamed,
		  [](struct hs_exchange *x) {
			  begin_stream(x);
			  send_event(x, 1, token(id_of(x), "a"));
			  send_event(x, 1, token(id_of(x), "a"));
			  send_event(x, 2, token(id_of(x), "b"));
			  send_event(x, 3, token(id_of(x), "c"));
			  send_event(x, 2, token(id_of(x), "b"));
			  send_event(x, 4, "[DONE]");
			  hs_end(x);
		  },
		  1 },
	};

	for (const auto &c : cases) {
		restart();
		first_request_gets(c.fault);
		Answer a = post_completion(c.body);
		EXPECT_EQ(a.status, 200u) << c.name << a.body;
		EXPECT_EQ(a.outcome, HC_DONE) << c.name;
		EXPECT_EQ(text_of(a.body), "abc") << c.name << a.body;
		EXPECT_EQ(posts(), c.posts) << c.name;
	}
}

TEST_F(Entry, StalledStreamIsResumedOnNewConnection)
{
	std::string id;
	auto engine = [&](struct hs_exchange *x) {
		if (is_post(x)) {
			id = id_of(x);
			begin_stream(x);
			send_event(x, 1, token(id, "a"));
			return;
		}
		begin_stream(x);
		send_event(x, 2, token(id, "b"));
		send_event(x, 3, token(id, "c"));
		send_event(x, 4, "[DONE]");
		hs_end(x);
	};

	e1.on_request = engine;
	e2.on_request = engine;
	Answer a = post_completion(streamed);
	EXPECT_EQ(text_of(a.body), "abc");
	EXPECT_TRUE(has(a.body, "[DONE]"));
	EXPECT_EQ(posts(), 1);
	ASSERT_EQ(first_engine().seen.size(), 2u);
	EXPECT_EQ(first_engine().seen[1].path, "/v1/streams/" + id);
	EXPECT_EQ(first_engine().seen[1].last_event, "1");
}

TEST_F(Entry, StreamOfCrashedEngineContinuesOnAnother)
{
	FakeServer *crashed = nullptr;
	Answer a;

	first_request_gets([](struct hs_exchange *x) {
		begin_stream(x);
		send_event(x, 1, token(id_of(x), "a"));
	});
	caller.send(&a, host->port(), "POST", completions, streamed);
	ASSERT_TRUE(l.run_until([&] { return text_of(a.body) == "a"; }));
	crashed = &first_engine();
	crashed->stop();
	ASSERT_TRUE(l.run_until([&] { return a.is_done; }));
	EXPECT_EQ(a.outcome, HC_DONE);
	EXPECT_EQ(text_of(a.body), "abc");
	FakeServer &other = crashed == &e1 ? e2 : e1;
	ASSERT_EQ(other.count("POST"), 1);
	EXPECT_TRUE(
		has(other.seen[0].body, "\"continue_from\":{\"text\":\"a\"}"));
	EXPECT_TRUE(has(other.seen[0].body, "\"max_tokens\":8"));
	ASSERT_FALSE(host->failed.empty());
	EXPECT_EQ(host->failed[0], crashed == &e1 ? "e1" : "e2");
}

TEST_F(Entry, UnrecoverableStreamEndsWithErrorEvent)
{
	Answer a;

	first_request_gets([](struct hs_exchange *x) {
		begin_stream(x);
		send_event(x, 1, token(id_of(x), "a"));
	});
	caller.send(&a, host->port(), "POST", completions, streamed);
	ASSERT_TRUE(l.run_until([&] { return text_of(a.body) == "a"; }));
	e1.stop();
	e2.stop();
	ASSERT_TRUE(l.run_until([&] { return a.is_done; }));
	EXPECT_EQ(a.outcome, HC_BROKEN);
	EXPECT_FALSE(has(a.body, "[DONE]"));
	EXPECT_TRUE(has(a.body, "\"run\":\"unknown\"")) << a.body;
}

TEST_F(Entry, UnreachableEnginesAreReportedNotRun)
{
	e1.stop();
	e2.stop();
	Answer a = post_completion(plain);
	EXPECT_EQ(a.status, 503u);
	EXPECT_TRUE(has(a.body, "\"run\":\"not_run\""));
	EXPECT_EQ(a.retry_after, "1");
}

// An engine that asks for a pause gets nothing in it; if all do, callers are
// told when the first pause ends.
TEST_F(Entry, PausedEngineGetsNothingAndRefusalsTellItsEnd)
{
	auto pause = [](const char *seconds) {
		return [=](struct hs_exchange *x) {
			const struct hs_header headers[] = {
				{ "Retry-After", seconds }, {}
			};

			hs_respond(x, 503, headers, "{}", 2);
		};
	};

	for (const char *ignored : { "-3", "nan", "soon", "1e9", "" }) {
		restart();
		e1.on_request = pause(ignored);
		for (int i = 0; i < 8; i++)
			EXPECT_EQ(post_completion(plain).status, 200u);
		EXPECT_GT(e1.count("POST"), 1) << ignored;
	}
	restart();
	e1.on_request = pause("60");
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(post_completion(plain).status, 200u);
	EXPECT_EQ(e1.count("POST"), 1);
	e2.on_request = pause("7.5");
	post_completion(plain);
	int before = posts();
	Answer a = post_completion(plain);
	EXPECT_EQ(a.status, 503u);
	EXPECT_TRUE(has(a.body, "\"run\":\"not_run\"")) << a.body;
	EXPECT_EQ(a.retry_after, "8");
	EXPECT_EQ(posts(), before);
}

// One engine pauses for a minute, and the other one is not there for a moment:
// its callers need not wait for the first.
TEST_F(Entry, PauseOfOneEngineIsNotTheWaitForAnother)
{
	e1.on_request = [](struct hs_exchange *x) {
		const struct hs_header headers[] = { { "Retry-After", "60" },
						     {} };

		hs_respond(x, 503, headers, "{}", 2);
	};
	while (!e1.count("POST"))
		EXPECT_EQ(post_completion(plain).status, 200u);
	e2.stop();
	Answer a = post_completion(plain);
	EXPECT_EQ(a.status, 503u);
	EXPECT_EQ(a.retry_after, "1");
}

// An engine that is loading a model refuses at once without running anything,
// so retries of such requests must not use up the retry budget.
TEST_F(Entry, RefusalForMissingModelUsesNoRetryBudget)
{
	std::vector<Answer> answers(40);

	for (uint32_t status : { 404, 409 }) {
		restart();
		e1.on_request = [=](struct hs_exchange *x) {
			send_whole(x, status, "{\"error\":{}}");
		};
		for (Answer &a : answers) {
			a = Answer();
			caller.send(&a, host->port(), "POST", completions,
				    plain);
		}
		ASSERT_TRUE(l.run_until([&] {
			for (const Answer &a : answers)
				if (!a.is_done)
					return false;
			return true;
		}));
		for (const Answer &a : answers)
			EXPECT_EQ(a.status, 200u) << status << a.body;
		EXPECT_GT(e1.count("POST"), 10);
	}
}

// Requests beyond the limits of the engines are queued and run once earlier
// requests have finished.
TEST_F(Entry, RequestsQueueWhileEnginesAreAtLimit)
{
	const size_t count = 2 * LM_ENGINE_DEFAULT_INITIAL + 5;
	std::vector<Answer> answers(count);
	std::vector<struct hs_exchange *> held;
	auto hold = [&](struct hs_exchange *x) { held.push_back(x); };

	e1.on_request = hold;
	e2.on_request = hold;
	for (Answer &a : answers)
		caller.send(&a, host->port(), "POST", completions, plain);
	ASSERT_TRUE(l.run_until([&] { return held.size() == count - 5; }));
	l.run_until([] { return false; }, 100);
	EXPECT_EQ(held.size(), count - 5);
	e1.on_request = serve;
	e2.on_request = serve;
	for (struct hs_exchange *x : held)
		serve(x);
	ASSERT_TRUE(l.run_until([&] {
		for (const Answer &a : answers)
			if (!a.is_done)
				return false;
		return true;
	}));
	for (const Answer &a : answers)
		EXPECT_EQ(a.status, 200u) << a.body;
}

TEST_F(Entry, DisconnectCancelsRequestAtEngine)
{
	Answer a;
	auto engine = [](struct hs_exchange *x) {
		if (is_post(x)) {
			begin_stream(x);
			send_event(x, 1, token(id_of(x), "a"));
		} else {
			hs_respond(x, 200, nullptr, "", 0);
		}
	};

	e1.on_request = engine;
	e2.on_request = engine;
	caller.send(&a, host->port(), "POST", completions, streamed);
	ASSERT_TRUE(l.run_until([&] { return text_of(a.body) == "a"; }));
	hc_cancel(&caller.client, a.call);
	ASSERT_TRUE(l.run_until(
		[&] { return e1.count("DELETE") + e2.count("DELETE") == 1; }));
	EXPECT_EQ(first_engine().seen.back().path,
		  "/v1/streams/" + first_engine().seen[0].id);
}

TEST_F(Entry, PassedDeadlineEndsWithError)
{
	Answer a;
	auto silent = [](struct hs_exchange *x) {
		if (!is_post(x))
			hs_respond(x, 200, nullptr, "", 0);
	};

	e1.on_request = silent;
	e2.on_request = silent;
	caller.send(&a, host->port(), "POST", completions, plain,
		    { "X-Deadline-Ms: 60" });
	ASSERT_TRUE(l.run_until([&] { return a.is_done; }));
	EXPECT_EQ(a.status, 504u);
	EXPECT_TRUE(has(a.body, "\"run\":\"unknown\""));
}

TEST_F(Entry, InvalidRequestsGetSpecificErrors)
{
	const std::string unknown = "{\"model\":\"x\",\"prompt\":\"p\"}";
	const std::string denied = "{\"model\":\"n\",\"prompt\":\"p\"}";
	const std::string deep =
		"{\"model\":\"m\",\"prompt\":" + std::string(100, '[') +
		std::string(100, ']') + "}";
	const struct {
		const char *path;
		std::string body;
		const char *key;
		const char *header;
		uint32_t status;
		const char *code;
	} cases[] = {
		{ completions, plain, nullptr, nullptr, 401, "no_key" },
		{ completions, plain, "k9", nullptr, 401, "invalid_api_key" },
		{ completions, "{", "k1", nullptr, 400, "bad_json" },
		{ completions, "[]", "k1", nullptr, 400, "bad_json" },
		{ completions, plain + "x", "k1", nullptr, 400, "bad_json" },
		{ completions, deep, "k1", nullptr, 400, "bad_json" },
		{ completions, "{}", "k1", nullptr, 400, "bad_field" },
		{ completions, "{\"model\":\"m\"}", "k1", nullptr, 400,
		  "bad_field" },
		{ completions,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}", "k1",
		  nullptr, 400, "bad_field" },
		{ completions,
		  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}", "k1",
		  nullptr, 400, "bad_field" },
		{ completions, unknown, "k1", nullptr, 404, "model_not_found" },
		{ completions, denied, "k1", nullptr, 403, "model_denied" },
		{ "/v1/chat/completions", plain, "k1", nullptr, 400,
		  "bad_field" },
		{ "/v1/nothing", plain, "k1", nullptr, 404, "not_found" },
		{ "/v1/services/x/y", "", "k1", nullptr, 404,
		  "service_not_found" },
		{ "/v1/services/letters/y", "", "k2", nullptr, 403,
		  "service_denied" },
		{ completions, plain, "k1", "X-Deadline-Ms: soon", 400,
		  "bad_header" },
		{ completions, plain, "k1", "X-Request-Id: a b", 400,
		  "bad_header" },
		{ completions, std::string(2 << 20, 'x'), "k1", nullptr, 413,
		  "body_too_large" },
	};

	for (const auto &c : cases) {
		Answer a;
		std::vector<std::string> headers;

		if (c.header)
			headers.push_back(c.header);
		caller.send(&a, host->port(), "POST", c.path, c.body, headers,
			    c.key);
		ASSERT_TRUE(l.run_until([&] { return a.is_done; }));
		EXPECT_EQ(a.status, c.status) << c.code;
		EXPECT_TRUE(has(a.body, c.code)) << c.code << a.body;
		EXPECT_TRUE(has(a.body, "\"run\":\"not_run\"")) << c.code;
	}
	EXPECT_EQ(posts(), 0);
}

TEST_F(Entry, DuplicateRequestIdIsRefusedWhileInFlight)
{
	Answer one, two, three;
	auto silent = [](struct hs_exchange *x) {};

	e1.on_request = silent;
	e2.on_request = silent;
	caller.send(&one, host->port(), "POST", completions, plain,
		    { "X-Request-Id: same" });
	ASSERT_TRUE(l.run_until([&] { return posts() == 1; }));
	caller.send(&two, host->port(), "POST", completions, plain,
		    { "X-Request-Id: same" });
	ASSERT_TRUE(l.run_until([&] { return two.is_done; }));
	EXPECT_EQ(two.status, 409u);
	EXPECT_EQ(two.request_id, "same");
	EXPECT_FALSE(one.is_done);
	struct hs_exchange *x = e1.open.empty() ? e2.open[0] : e1.open[0];
	serve(x);
	ASSERT_TRUE(l.run_until([&] { return one.is_done; }));
	EXPECT_EQ(one.status, 200u);
	e1.on_request = serve;
	e2.on_request = serve;
	caller.send(&three, host->port(), "POST", completions, plain,
		    { "X-Request-Id: same" });
	ASSERT_TRUE(l.run_until([&] { return three.is_done; }));
	EXPECT_EQ(three.status, 200u);
}

TEST_F(Entry, DrainFinishesOpenStreamsAndRefusesNewRequests)
{
	Answer open, late, health;
	struct hs_exchange *held = nullptr;

	host->p.settings.limits.idle_timeout_ms = 10000;
	first_request_gets([&](struct hs_exchange *x) {
		held = x;
		begin_stream(x);
		send_event(x, 1, token(id_of(x), "a"));
	});
	caller.send(&open, host->port(), "POST", completions, streamed);
	ASSERT_TRUE(l.run_until([&] { return text_of(open.body) == "a"; }));
	kn_drain(&host->p.kernel);
	caller.send(&late, host->port(), "POST", completions, plain);
	caller.send(&health, host->port(), "GET", "/healthz", "");
	ASSERT_TRUE(
		l.run_until([&] { return late.is_done && health.is_done; }));
	EXPECT_EQ(late.status, 503u);
	EXPECT_TRUE(has(late.body, "\"run\":\"not_run\""));
	EXPECT_EQ(late.retry_after, "1");
	EXPECT_EQ(late.connection, "close");
	EXPECT_EQ(health.status, 503u);
	l.run_until([] { return false; }, 1200);
	EXPECT_FALSE(host->is_idle());
	send_event(held, 2, token(id_of(held), "b"));
	send_event(held, 3, "[DONE]");
	hs_end(held);
	ASSERT_TRUE(l.run_until([&] { return open.is_done; }));
	EXPECT_EQ(open.outcome, HC_DONE);
	EXPECT_EQ(text_of(open.body), "ab");
	EXPECT_TRUE(has(open.body, "[DONE]"));
	EXPECT_TRUE(l.run_until([&] { return host->is_idle(); }));
}

TEST_F(Entry, ModelListIsLimitedToTeam)
{
	Answer a;

	caller.send(&a, host->port(), "GET", "/v1/models", "");
	ASSERT_TRUE(l.run_until([&] { return a.is_done; }));
	EXPECT_TRUE(has(a.body, "\"id\":\"m\""));
	EXPECT_FALSE(has(a.body, "\"id\":\"n\""));
}

} // namespace
