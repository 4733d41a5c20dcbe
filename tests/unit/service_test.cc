// Plain services through the entry process: which calls may be retried, and
// at-most-once calls under faults of the platform and of the service.
#include "entry_host.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

const std::string call_path = "/v1/services/letters/fee?x=1%202";

// A server that answers the first request and keeps its connection open, and
// closes the connection of every later request without an answer.
class CloseAfterFirst
{
      public:
	int requests = 0;
	uint16_t port = 0;

	CloseAfterFirst()
	{
		struct sockaddr_in a = {};
		socklen_t bytes = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		bind(listener, reinterpret_cast<sockaddr *>(&a), sizeof(a));
		listen(listener, 8);
		getsockname(listener, reinterpret_cast<sockaddr *>(&a), &bytes);
		port = ntohs(a.sin_port);
	}
	~CloseAfterFirst()
	{
		for (int fd : fds)
			close(fd);
		close(listener);
	}
	void serve()
	{
		static const char ok[] = "HTTP/1.1 200 OK\r\n"
					 "Content-Length: 0\r\n\r\n";
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		char buffer[4096];

		if (fd >= 0)
			fds.push_back(fd);
		for (int &one : fds) {
			if (one < 0 ||
			    recv(one, buffer, sizeof(buffer), 0) <= 0)
				continue;
			if (++requests == 1) {
				::send(one, ok, sizeof(ok) - 1, 0);
				continue;
			}
			close(one);
			one = -1;
		}
	}

      private:
	int listener;
	std::vector<int> fds;
};

class Service : public testing::Test
{
      protected:
	Loop l;
	FakeServer s1{ l.loop }, s2{ l.loop };
	Caller caller{ l.loop };
	std::unique_ptr<Host> h1, h2;
	int runs = 0;

	void SetUp() override
	{
		auto run = [this](struct hs_exchange *x) { serve(x); };

		s1.on_request = run;
		s2.on_request = run;
		restart();
	}
	void TearDown() override
	{
		h1.reset();
		h2.reset();
	}
	void restart()
	{
		std::vector<UpstreamSpec> services = {
			{ MB_SERVICE, "s1", s1.port() },
			{ MB_SERVICE, "s2", s2.port() },
		};

		h1.reset();
		h2.reset();
		platform_faults = PlatformFaults();
		runs = 0;
		h1.reset(new Host(l.loop, "h1", services));
		h2.reset(new Host(l.loop, "h2", services));
	}
	void serve(struct hs_exchange *x)
	{
		runs++;
		send_whole(x, 201, "run " + std::to_string(runs), nullptr);
	}
	void serve_with(const std::function<void(struct hs_exchange *)> &fn)
	{
		s1.on_request = fn;
		s2.on_request = fn;
	}
	Answer call(Host &host, const char *method, const char *key = nullptr,
		    const std::string &body = "b")
	{
		Answer a;
		std::vector<std::string> headers;

		if (key)
			headers.push_back(std::string("Idempotency-Key: ") +
					  key);
		caller.send(&a, host.port(), method, call_path, body, headers);
		EXPECT_TRUE(l.run_until([&] { return a.is_done; }));
		return a;
	}
	FakeServer &first_service()
	{
		return s1.seen.empty() ? s2 : s1;
	}
};

void crash(struct hs_exchange *x)
{
	hs_begin(x, 200, nullptr);
	hs_abort(x);
}

TEST_F(Service, CallIsForwardedUnchanged)
{
	Answer a = call(*h1, "POST");

	EXPECT_EQ(a.status, 201u);
	EXPECT_EQ(a.body, "run 1");
	EXPECT_EQ(first_service().seen[0].path, "/fee");
	EXPECT_EQ(first_service().seen[0].body, "b");
}

// After a broken response only idempotent calls may be retried; an
// Idempotency-Key does not make a call idempotent.
TEST_F(Service, OnlyIdempotentCallsAreRetried)
{
	const struct {
		const char *method;
		const char *key;
		uint32_t status;
		int sent;
	} cases[] = {
		{ "GET", nullptr, 201, 2 },
		{ "POST", nullptr, 502, 1 },
		{ "DELETE", nullptr, 502, 1 },
		{ "POST", "k", 502, 1 },
	};

	for (const auto &c : cases) {
		int sent = 0;

		restart();
		serve_with([&](struct hs_exchange *x) {
			sent++;
			if (sent == 1)
				crash(x);
			else
				serve(x);
		});
		Answer a = call(*h1, c.method, c.key, "");
		EXPECT_EQ(a.status, c.status) << c.method;
		EXPECT_EQ(sent, c.sent) << c.method;
		if (c.status == 502) {
			EXPECT_TRUE(has(a.body, "\"run\":\"unknown\""));
		}
	}
}

TEST_F(Service, UnsentCallIsRetriedWhateverTheMethod)
{
	s1.stop();
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(call(*h1, "POST").status, 201u);
	EXPECT_EQ(call(*h1, "POST", "k").status, 201u);
	EXPECT_EQ(runs, 5);
}

TEST_F(Service, RepeatedCallGetsStoredAnswerOnAnyHost)
{
	Answer one = call(*h1, "POST", "k"), two, other;

	EXPECT_EQ(one.body, "run 1");
	ASSERT_TRUE(l.run_until([&] { return platform_faults.txns == 2; }));
	two = call(*h2, "POST", "k");
	EXPECT_EQ(two.status, 201u);
	EXPECT_EQ(two.body, "run 1");
	other = call(*h2, "POST", "k", "another body");
	EXPECT_EQ(other.status, 422u);
	EXPECT_TRUE(has(other.body, "idempotency_key_reused"));
	EXPECT_EQ(runs, 1);
	EXPECT_EQ(call(*h2, "POST", "k3").body, "run 2");
}

TEST_F(Service, RepeatDuringUnsettledCallIsUnknown)
{
	Answer one;
	struct hs_exchange *held = nullptr;

	serve_with([&](struct hs_exchange *x) { held = x; });
	caller.send(&one, h1->port(), "POST", call_path, "b",
		    { "Idempotency-Key: k" });
	ASSERT_TRUE(l.run_until([&] { return held != nullptr; }));
	Answer two = call(*h2, "POST", "k");
	EXPECT_EQ(two.status, 409u);
	EXPECT_EQ(two.retry_after, "2");
	EXPECT_TRUE(has(two.body, "\"run\":\"unknown\""));
	serve(held);
	ASSERT_TRUE(l.run_until([&] { return one.is_done; }));
	EXPECT_EQ(one.body, "run 1");
	EXPECT_EQ(runs, 1);
}

// The response of the store to a claim is lost, with or without the claim
// having been written; reading it back must still lead to exactly one run.
TEST_F(Service, LostClaimResponseRunsCallOnce)
{
	const struct {
		int lose_answers;
		int drop_writes;
	} cases[] = { { 1, 0 }, { 0, 1 }, { 2, 0 }, { 0, 2 }, { 1, 1 } };

	for (const auto &c : cases) {
		restart();
		platform_faults.lose_answers = c.lose_answers;
		platform_faults.drop_writes = c.drop_writes;
		EXPECT_EQ(call(*h1, "POST", "k").body, "run 1");
		EXPECT_EQ(runs, 1);
	}
}

TEST_F(Service, PlatformOutageIsReportedNotRun)
{
	platform_faults.is_down = true;
	Answer a = call(*h1, "POST", "k");
	EXPECT_EQ(a.status, 503u);
	EXPECT_EQ(a.retry_after, "2");
	EXPECT_TRUE(has(a.body, "\"run\":\"not_run\""));
	EXPECT_EQ(runs, 0);
	platform_faults.is_down = false;
	EXPECT_EQ(call(*h2, "POST", "k").body, "run 1");
}

// If nothing was sent, the claim is deleted, so that a repeated call can run.
TEST_F(Service, ClaimOfUnsentCallIsReleased)
{
	s1.stop();
	h1->list({ { MB_SERVICE, "s1", s1.port() },
		   { MB_SERVICE, "s2", s1.port() } });
	Answer a = call(*h1, "POST", "k");
	EXPECT_EQ(a.status, 503u);
	EXPECT_TRUE(has(a.body, "\"run\":\"not_run\""));
	ASSERT_TRUE(l.run_until([&] { return platform_faults.txns == 2; }));
	h2->list({ { MB_SERVICE, "s1", s2.port() },
		   { MB_SERVICE, "s2", s2.port() } });
	EXPECT_EQ(call(*h2, "POST", "k").body, "run 1");
}

// libcurl itself resends a request if the reused connection turns out to be
// closed; a call that is not idempotent must therefore use a new connection.
TEST_F(Service, ReusedConnectionDoesNotRepeatCall)
{
	CloseAfterFirst server;
	Answer get, post;

	h1->list({ { MB_SERVICE, "s1", server.port },
		   { MB_SERVICE, "s2", server.port } });
	caller.send(&get, h1->port(), "GET", call_path, "");
	ASSERT_TRUE(l.run_until([&] {
		server.serve();
		return get.is_done;
	}));
	caller.send(&post, h1->port(), "POST", call_path, "b");
	ASSERT_TRUE(l.run_until([&] {
		server.serve();
		return post.is_done;
	}));
	EXPECT_EQ(post.status, 502u);
	EXPECT_EQ(server.requests, 2);
}

// When the caller disconnects, only an idempotent call may be cancelled; the
// outcome of any other call must still be stored.
TEST_F(Service, DisconnectDoesNotStopCallThatMayHaveRun)
{
	Answer one;
	struct hs_exchange *held = nullptr;

	serve_with([&](struct hs_exchange *x) { held = x; });
	caller.send(&one, h1->port(), "POST", call_path, "b",
		    { "Idempotency-Key: k" });
	ASSERT_TRUE(l.run_until([&] { return held != nullptr; }));
	hc_cancel(&caller.client, one.call);
	l.run_until([] { return false; }, 50);
	ASSERT_NE(first_service().open[0], nullptr);
	serve(held);
	ASSERT_TRUE(l.run_until([&] { return platform_faults.txns == 2; }));
	EXPECT_EQ(call(*h2, "POST", "k").body, "run 1");
	EXPECT_EQ(runs, 1);
}

TEST_F(Service, DeadlineDuringClaimIsReportedNotRun)
{
	Answer a;
	int64_t late_ms = ck_now_ms() + 30;

	platform_faults.hold_answers = 1;
	caller.send(&a, h1->port(), "POST", call_path, "b",
		    { "Idempotency-Key: k", "X-Deadline-Ms: 20" });
	ASSERT_TRUE(l.run_until([&] {
		return !platform_faults.held.empty() && ck_now_ms() > late_ms;
	}));
	platform_faults.release();
	ASSERT_TRUE(l.run_until([&] { return a.is_done; }));
	EXPECT_TRUE(has(a.body, "\"run\":\"not_run\"")) << a.body;
	EXPECT_EQ(runs, 0);
	ASSERT_TRUE(l.run_until([&] { return platform_faults.txns == 2; }));
	EXPECT_EQ(call(*h2, "POST", "k").body, "run 1");
}

TEST_F(Service, StoringAnswerIsRetriedAfterDroppedWrite)
{
	Answer one;

	serve_with([&](struct hs_exchange *x) {
		platform_faults.drop_writes = 1;
		serve(x);
	});
	one = call(*h1, "POST", "k");
	EXPECT_EQ(one.status, 201u);
	ASSERT_TRUE(l.run_until([&] { return platform_faults.txns == 3; }));
	EXPECT_EQ(call(*h2, "POST", "k").body, "run 1");
}

} // namespace
