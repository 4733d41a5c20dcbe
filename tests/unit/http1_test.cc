// HTTP/1.1 server and client on one loop, with raw peers where the test needs
// bytes that a library would not send.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "http1/h1_client.h"
#include "http1/h1_server.h"
#include "kernel/ck.h"
#include "net/hs.h"
}

namespace
{

constexpr int64_t kPatienceMs = 5000;
constexpr int64_t long_answer_bytes = 32 << 20;

int connect_to(uint16_t port)
{
	struct sockaddr_in to = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_family = AF_INET;
	to.sin_port = htons(port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

class Http1 : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct h1_server server = {};
	std::vector<std::string> seen;
	std::vector<h1_exchange *> held;
	std::vector<std::string> refused;
	bool holds = false;
	int gone = 0;
	int depth = 0;
	int most_depth = 0;
	std::string answer = "ok";

	void SetUp() override
	{
		struct h1_server_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.limits.max_body_bytes = 1000;
		desc.limits.max_header_bytes = 500;
		desc.on_request = [](void *arg, struct h1_exchange *x) {
			static_cast<Http1 *>(arg)->take(x);
		};
		desc.on_gone = [](void *arg, struct h1_exchange *x) {
			static_cast<Http1 *>(arg)->gone++;
		};
		desc.on_refused = [](void *arg,
				     const struct h1_headers *headers,
				     uint32_t status) {
			const char *id = h1_headers_get(headers, "X-Id");

			static_cast<Http1 *>(arg)->refused.push_back(
				std::to_string(status) + (id ? id : ""));
		};
		desc.arg = this;
		ASSERT_EQ(h1_server_init(&server, &desc), ST_OK);
	}

	void TearDown() override
	{
		h1_server_finish(&server);
		ev_loop_destroy(loop);
	}

	void take(h1_exchange *x)
	{
		seen.push_back(std::string(x->method) + " " + x->target + " " +
			       std::string(x->body->str, x->body->len));
		most_depth = std::max(most_depth, ++depth);
		if (holds)
			held.push_back(x);
		else
			h1_respond(x, 200, nullptr, answer.data(),
				   answer.size());
		depth--;
	}

	void run_until(const std::function<bool()> &is_done)
	{
		int64_t end_ms = ck_now_ms() + kPatienceMs;

		while (!is_done() && ck_now_ms() < end_ms) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(200);
		}
		EXPECT_TRUE(is_done());
	}

	void run_for(int64_t ms)
	{
		int64_t end_ms = ck_now_ms() + ms;

		while (ck_now_ms() < end_ms) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(200);
		}
	}

	// Asks for an answer that is larger than all buffers; none of it is
	// read.
	int ask_for_long_answer(const std::string &more = "")
	{
		int fd = connect_to(h1_server_port(&server));
		std::string text = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + more;

		answer = std::string(long_answer_bytes, 'x');
		EXPECT_EQ(send(fd, text.data(), text.size(), 0),
			  (ssize_t)text.size());
		run_until([&] { return !seen.empty(); });
		return fd;
	}

	// Writes more than the kernel's buffers take at once.
	void write_all(int fd, const std::string &text)
	{
		size_t at = 0;

		run_until([&] {
			ssize_t n = send(fd, text.data() + at, text.size() - at,
					 MSG_NOSIGNAL);

			at += n > 0 ? n : 0;
			return at == text.size();
		});
	}

	static int64_t allocated_bytes()
	{
		struct mallinfo2 info = mallinfo2();

		return info.uordblks + info.hblkhd;
	}

	// Reads until the end of the connection or @bytes; negative if it was
	// reset.
	int64_t read_all(int fd, int64_t bytes)
	{
		std::vector<char> buffer(1 << 20);
		int64_t got = 0;

		run_until([&] {
			ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);

			if (n > 0)
				got += n;
			if (n < 0 && errno != EAGAIN)
				got = -1;
			return n == 0 || got < 0 || got >= bytes;
		});
		return got;
	}

	std::string talk(const std::string &text, size_t at_least = 1)
	{
		int fd = connect_to(h1_server_port(&server));
		std::string got;
		char buffer[4096];

		write_all(fd, text);
		run_until([&] {
			ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

			if (n > 0)
				got.append(buffer, n);
			return got.size() >= at_least;
		});
		close(fd);
		return got;
	}
};

TEST_F(Http1, ReadsRequestsAsSent)
{
	static const struct {
		const char *text;
		const char *status;
		const char *seen;
	} cases[] = {
		{ "GET /a/%2f?x=1&y HTTP/1.1\r\nHost: h\r\n\r\n", "200",
		  "GET /a/%2f?x=1&y " },
		{ "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		  "200", "POST /p abc" },
		{ "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		  "\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
		  "200", "POST /p abc" },
		{ "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n",
		  "413", nullptr },
		{ "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  "400", nullptr },
		{ "no request at all\r\n\r\n", "400", nullptr },
		/* These were passed on to upstreams beside the real framing. */
		{ "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked"
		  "\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		  "400", nullptr },
		{ "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n"
		  "\r\nabc",
		  "400", nullptr },
		{ "GET /p HTTP/1.1\r\nHost: h\r\nX A: a\r\n\r\n", "400",
		  nullptr },
		{ "GET /p HTTP/1.1\r\n X-A: a\r\nHost: h\r\n\r\n", "400",
		  nullptr },
	};

	for (const auto &c : cases) {
		seen.clear();
		EXPECT_EQ(talk(c.text).substr(9, 3), c.status) << c.text;
		ASSERT_EQ(seen.size(), c.seen ? 1u : 0u) << c.text;
		if (c.seen) {
			EXPECT_EQ(seen[0], c.seen);
		}
	}
	std::string many = "GET / HTTP/1.1\r\nX: " + std::string(600, 'x');
	EXPECT_EQ(talk(many + "\r\n\r\n").substr(9, 3), "431");
}

// The reason for a server of our own: libmicrohttpd hands over a request with
// both framings, behind which another one may hide.
TEST_F(Http1, LibmicrohttpdTakesAmbiguousFraming)
{
	static const char text[] =
		"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
	struct hs_server other;
	struct hs_desc desc = {};
	int handed_over = 0;

	desc.loop = loop;
	desc.address = "127.0.0.1";
	desc.on_request = [](void *arg, struct hs_exchange *x) {
		(*static_cast<int *>(arg))++;
		hs_respond(x, 200, nullptr, "ok", 2);
	};
	desc.arg = &handed_over;
	ASSERT_EQ(hs_init(&other, &desc), ST_OK);
	int fd = connect_to(hs_port(&other));
	ASSERT_GT(send(fd, text, sizeof(text) - 1, 0), 0);
	run_until([&] { return handed_over > 0; });
	EXPECT_GT(handed_over, 0);
	close(fd);
	hs_finish(&other);
	EXPECT_EQ(talk(text).substr(9, 3), "400");
	EXPECT_TRUE(seen.empty());
}

TEST_F(Http1, PipelinedRequestsAreAnsweredInOrder)
{
	std::string got = talk("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
			       "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
			       80);

	EXPECT_EQ(seen, (std::vector<std::string>{ "GET /1 ", "GET /2 " }));
	EXPECT_NE(got.find("ok", got.find("ok") + 1), std::string::npos);
}

// A stop closed connections whose request had arrived and was not read yet.
TEST_F(Http1, CloseOfIdleConnectionsSparesRequestsThatHaveArrived)
{
	const std::string request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	int fresh = connect_to(h1_server_port(&server));
	int used = connect_to(h1_server_port(&server));
	int idle = connect_to(h1_server_port(&server));

	write_all(used, request);
	write_all(idle, request);
	run_until([&] { return seen.size() == 2; });
	run_for(20);
	write_all(used, request);
	h1_server_close_idle(&server);
	EXPECT_EQ(h1_server_open(&server), 2u);
	write_all(fresh, request);
	run_until([&] { return seen.size() == 4; });
	close(fresh);
	close(used);
	close(idle);
}

// A refusal without header fields must not be logged with the id of the request
// before it on the connection.
TEST_F(Http1, RefusalIsToldWithItsOwnHeaders)
{
	const std::string sound = "GET /1 HTTP/1.1\r\nX-Id: one\r\n\r\n";

	talk(sound + "\x01no request\r\n\r\n", 60);
	talk("POST /2 HTTP/1.1\r\nX-Id: two\r\nContent-Length: 2000\r\n\r\n");
	EXPECT_EQ(refused, (std::vector<std::string>{ "400", "413two" }));
}

// Each answer handed over the next request before it returned, so that a
// connection full of requests used up the stack.
TEST_F(Http1, PipelinedRequestsAreNotAnsweredWithinEachOther)
{
	const std::string request = "GET /1 HTTP/1.1\r\n\r\n";
	const size_t count = 500;
	int fd = connect_to(h1_server_port(&server));

	for (size_t i = 0; i < count; i++)
		ASSERT_EQ(send(fd, request.data(), request.size(), 0),
			  (ssize_t)request.size());
	run_until([&] { return seen.size() == count; });
	EXPECT_EQ(most_depth, 1);
	close(fd);
}

// A stop closed the connection as idle, and so did the idle timeout, while the
// kernel's buffers were full of the answer.
TEST_F(Http1, AnswerThatIsNotSentYetKeepsItsConnection)
{
	for (const char *more : { "", "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n" }) {
		int answers = *more ? 2 : 1;

		seen.clear();
		server.limits.idle_timeout_ms = 100;
		int fd = ask_for_long_answer(more);
		EXPECT_EQ(h1_server_busy(&server), 1u);
		h1_server_close_idle(&server);
		run_for(700);
		EXPECT_EQ(h1_server_busy(&server), 1u);
		server.limits.idle_timeout_ms = 60000;
		EXPECT_GE(read_all(fd, answers * long_answer_bytes),
			  answers * long_answer_bytes);
		run_until([&] { return h1_server_busy(&server) == 0; });
		close(fd);
	}
}

// The kernel gave the connection up after two seconds without room at the
// caller.
TEST_F(Http1, CallerThatPausesGetsTheRestOfItsAnswer)
{
	int fd = ask_for_long_answer();

	run_for(3500);
	EXPECT_GE(read_all(fd, long_answer_bytes), long_answer_bytes);
	close(fd);
}

TEST_F(Http1, AnswerThatNobodyReadsIsGivenUp)
{
	server.limits.unread_timeout_ms = 300;
	int fd = ask_for_long_answer();

	EXPECT_EQ(h1_server_busy(&server), 1u);
	run_until([&] { return h1_server_open(&server) == 0; });
	EXPECT_EQ(h1_server_busy(&server), 0u);
	close(fd);
}

// Bytes that nobody reads reset a connection that is closed, and the caller
// lost the end of its answer.
TEST_F(Http1, CallerThatWritesOnGetsItsLastAnswer)
{
	const std::string rest(60000, 'y');
	const std::string next = "POST /2 HTTP/1.1\r\nHost: h\r\n"
				 "Content-Length: 60000\r\n\r\n";

	h1_server_drain(&server);
	int fd = ask_for_long_answer(next + rest);
	EXPECT_GE(read_all(fd, INT64_MAX), long_answer_bytes);
	EXPECT_EQ(seen.size(), 1u);
	close(fd);
	run_until([&] { return h1_server_open(&server) == 0; });
}

// Each connection kept the memory of its longest body while it was idle.
TEST_F(Http1, IdleConnectionsGiveTheirMemoryBack)
{
	const int64_t body_bytes = 1 << 20, count = 40, kept_bytes = 8 << 20;
	std::string text = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
			   std::to_string(body_bytes) + "\r\n\r\n" +
			   std::string(body_bytes, 'b');
	std::vector<int> fds;

	server.limits.max_body_bytes = body_bytes;
	answer = std::string(body_bytes, 'x');
	int64_t before = allocated_bytes();
	for (int i = 0; i < count; i++) {
		seen.clear();
		fds.push_back(connect_to(h1_server_port(&server)));
		write_all(fds.back(), text);
		read_all(fds.back(), body_bytes);
		seen.clear();
		seen.shrink_to_fit();
	}
	run_until([&] { return h1_server_busy(&server) == 0; });
	EXPECT_EQ(h1_server_open(&server), (uint32_t)count);
	EXPECT_EQ(h1_server_held_bytes(&server), 0u);
	EXPECT_LT(allocated_bytes() - before, kept_bytes);
	for (int fd : fds)
		close(fd);
}

// What does not fit beside the bodies and answers of others is refused before
// it is read; short requests go on.
TEST_F(Http1, BodyWithoutRoomIsRefusedBeforeItIsRead)
{
	const std::string head = "POST /1 HTTP/1.1\r\nHost: h\r\n";
	const std::string body(600000, 'b');
	std::string text = head + "Content-Length: 600000\r\n\r\n";

	holds = true;
	server.limits.max_body_bytes = 1 << 20;
	server.limits.max_held_bytes = 1 << 20;
	int first = connect_to(h1_server_port(&server));
	write_all(first, text + body);
	run_until([&] { return held.size() == 1; });
	std::string refusal = talk(text, 30);
	EXPECT_EQ(refusal.substr(9, 3), "503");
	EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
	std::string chunk = "92000\r\n" + body.substr(0, 0x92000) + "\r\n";
	EXPECT_EQ(talk(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk, 30)
			  .substr(9, 3),
		  "503");
	EXPECT_EQ(held.size(), 1u);
	holds = false;
	EXPECT_EQ(talk(head + "Content-Length: 1000\r\n\r\n" +
		       body.substr(0, 1000))
			  .substr(9, 3),
		  "200");
	h1_respond(held[0], 200, nullptr, "ok", 2);
	EXPECT_EQ(talk(text + body).substr(9, 3), "200");
	close(first);
}

// The parser's fields cost more memory than their bytes, and a head may have no
// end.
TEST_F(Http1, FieldsAndTargetAreBoundedAsTheyCome)
{
	std::string fields;

	server.limits.max_header_bytes = 1 << 20;
	server.limits.max_fields = 50;
	for (int i = 0; i < 60; i++)
		fields += "a:b\r\n";
	EXPECT_EQ(talk("GET / HTTP/1.1\r\n" + fields).substr(9, 3), "431");
	server.limits.max_target_bytes = 100;
	EXPECT_EQ(talk("GET /" + std::string(200, 'x')).substr(9, 3), "414");
	EXPECT_TRUE(seen.empty());
}

// Each connection holds little, so that thousands fit a small host.
TEST_F(Http1, SmallRequestFitsWhatIsGuaranteed)
{
	holds = true;
	int fd = connect_to(h1_server_port(&server));
	write_all(fd, "POST /1 HTTP/1.1\r\nHost: h\r\n"
		      "Authorization: Bearer k1\r\nContent-Length: 900\r\n"
		      "\r\n" + std::string(900, 'b'));
	run_until([&] { return held.size() == 1; });
	EXPECT_EQ(h1_server_held_bytes(&server), 0u);
	close(fd);
	run_until([&] { return gone == 1; });
}

// A body that nobody needs is read, and not kept.
TEST_F(Http1, BodyThatNobodyNeedsIsNotKept)
{
	server.limits.max_body_bytes = 1 << 20;
	server._desc.on_head = [](void *arg, const struct h1_exchange *x) {
		return !strcmp(x->target, "/known");
	};
	for (const char *target : { "/known", "/unknown" }) {
		seen.clear();
		talk(std::string("POST ") + target +
		     " HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
		     std::string(5000, 'b'));
		ASSERT_EQ(seen.size(), 1u);
		EXPECT_EQ(seen[0].size() > 5000, !strcmp(target, "/known"))
			<< target;
	}
}

// A request that comes byte by byte must not hold its connection for good.
TEST_F(Http1, SlowRequestIsClosed)
{
	server.limits.header_timeout_ms = 300;
	int fd = connect_to(h1_server_port(&server));
	int64_t end_ms = ck_now_ms() + kPatienceMs;

	write_all(fd, "GET / HTTP/1.1\r\nX: ");
	run_until([&] { return h1_server_open(&server) == 1; });
	while (h1_server_open(&server) && ck_now_ms() < end_ms) {
		(void)!send(fd, "x", 1, MSG_NOSIGNAL);
		run_for(50);
	}
	EXPECT_EQ(h1_server_open(&server), 0u);
	close(fd);
}

// It has asked and waits for the rest of its answer.
TEST_F(Http1, CallerThatClosesItsSendingHalfGetsTheRestOfItsAnswer)
{
	int fd = ask_for_long_answer();

	shutdown(fd, SHUT_WR);
	run_for(50);
	EXPECT_GE(read_all(fd, INT64_MAX), long_answer_bytes);
	close(fd);
}

TEST_F(Http1, CallerThatLeavesIsNoticed)
{
	holds = true;
	int fd = connect_to(h1_server_port(&server));
	static const char text[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

	ASSERT_GT(send(fd, text, sizeof(text) - 1, 0), 0);
	run_until([&] { return held.size() == 1; });
	EXPECT_EQ(h1_server_busy(&server), 1u);
	close(fd);
	run_until([&] { return gone == 1; });
	EXPECT_EQ(h1_server_busy(&server), 0u);
}

TEST_F(Http1, AbortedStreamHasNoEnd)
{
	holds = true;
	int fd = connect_to(h1_server_port(&server));
	static const char text[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	std::string got;
	bool is_closed = false;

	ASSERT_GT(send(fd, text, sizeof(text) - 1, 0), 0);
	run_until([&] { return held.size() == 1; });
	h1_begin(held[0], 200, nullptr, -1);
	h1_write(held[0], "data", 4);
	h1_abort(held[0]);
	run_until([&] {
		char buffer[512];
		ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

		if (n > 0)
			got.append(buffer, n);
		is_closed = n == 0;
		return is_closed;
	});
	EXPECT_NE(got.find("data"), std::string::npos);
	EXPECT_EQ(got.find("0\r\n\r\n"), std::string::npos);
	close(fd);
}

// A body without length and chunks ends with its connection, so that only a
// reset tells a caller of HTTP/1.0 that its answer is not whole.
TEST_F(Http1, AbortedStreamOfAnOldCallerIsReset)
{
	holds = true;
	for (const char *version : { "1.0", "1.1" }) {
		int fd = connect_to(h1_server_port(&server));
		std::string text = std::string("GET /1 HTTP/") + version +
				   "\r\nHost: h\r\n\r\n";
		bool is_old = !strcmp(version, "1.0");

		held.clear();
		ASSERT_GT(send(fd, text.data(), text.size(), 0), 0);
		run_until([&] { return held.size() == 1; });
		h1_begin(held[0], 200, nullptr, -1);
		h1_write(held[0], "data", 4);
		run_for(20);
		h1_abort(held[0]);
		EXPECT_EQ(read_all(fd, INT64_MAX) < 0, is_old) << version;
		close(fd);
	}
}

// A peer that answers each request on a connection with the next of its texts;
// an empty text closes the connection.
class ScriptedPeer
{
      public:
	ScriptedPeer(struct ev_loop *loop, std::vector<std::string> texts)
	    : answers(std::move(texts))
	{
		struct sockaddr_in at = {};
		socklen_t bytes = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&at, bytes), 0);
		EXPECT_EQ(listen(listener, 8), 0);
		getsockname(listener, (struct sockaddr *)&at, &bytes);
		h1_peer_init(&peer, loop, INADDR_LOOPBACK, ntohs(at.sin_port));
	}

	~ScriptedPeer()
	{
		h1_peer_finish(&peer);
		for (int fd : open_fds)
			close(fd);
		close(listener);
	}

	void serve()
	{
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);

		if (fd >= 0)
			open_fds.push_back(fd);
		for (int &open_fd : open_fds)
			read_one(open_fd);
	}

	struct h1_peer peer;
	int requests = 0;
	std::vector<int> open_fds;

      private:
	int listener;
	std::vector<std::string> answers;

	void read_one(int &fd)
	{
		char buffer[4096];

		if (fd < 0 || recv(fd, buffer, sizeof(buffer), 0) <= 0)
			return;
		std::string text = answers[requests++ % answers.size()];
		if (text.empty()) {
			close(fd);
			fd = -1;
			return;
		}
		send(fd, text.data(), text.size(), MSG_NOSIGNAL);
		if (text.find("UNTIL-CLOSE") != std::string::npos) {
			close(fd);
			fd = -1;
		}
	}
};

struct Call {
	struct h1_call call = {};
	bool is_done = false;
	h1_outcome outcome = H1_DONE;
	uint32_t status = 0;
	std::string body;
	std::string expected_id;
};

void start(Call *c, struct h1_peer *peer, const std::string &body = "")
{
	static struct h1_headers headers;
	struct h1_call_desc desc = {};

	if (!headers._text)
		h1_headers_init(&headers);
	desc.peer = peer;
	desc.method = "POST";
	desc.target = "/x";
	desc.headers = &headers;
	desc.body = body.data();
	desc.body_bytes = body.size();
	desc.connect_timeout_ms = 500;
	desc.on_head = [](void *arg, uint32_t status,
			  const struct h1_headers *answer) {
		auto *call = static_cast<Call *>(arg);
		const char *id = h1_headers_get(answer, "x-id");

		if (id && id != call->expected_id)
			return false;
		call->status = status;
		return true;
	};
	desc.on_body = [](void *arg, const char *data, uint64_t bytes) {
		static_cast<Call *>(arg)->body.append(data, bytes);
	};
	desc.on_done = [](void *arg, enum h1_outcome outcome) {
		auto *call = static_cast<Call *>(arg);

		EXPECT_FALSE(call->is_done);
		call->is_done = true;
		call->outcome = outcome;
	};
	desc.arg = c;
	h1_call_start(&c->call, &desc);
}

TEST_F(Http1, AnswersOfAnUpstream)
{
	static const struct {
		const char *name;
		const char *answer;
		h1_outcome outcome;
		const char *body;
	} cases[] = {
		{ "length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		  H1_DONE, "hi" },
		{ "chunks",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nhi\r\n0\r\n\r\n",
		  H1_DONE, "hi" },
		{ "until close", "HTTP/1.1 200 OK\r\n\r\nUNTIL-CLOSE", H1_DONE,
		  "UNTIL-CLOSE" },
		{ "after 100",
		  "HTTP/1.1 100 Continue\r\n\r\n"
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		  H1_DONE, "hi" },
		{ "late answer to another request",
		  "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
		  "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nhi",
		  H1_DONE, "hi" },
		{ "torn",
		  "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nUNTIL-CLOSE",
		  H1_BROKEN, "UNTIL-CLOSE" },
		{ "no answer", "", H1_BROKEN, "" },
		{ "no HTTP", "what\r\n\r\n", H1_GARBLED, "" },
	};

	for (const auto &c : cases) {
		ScriptedPeer peer(loop, { c.answer });
		Call call;

		call.expected_id = "mine";
		start(&call, &peer.peer);
		run_until([&] {
			peer.serve();
			return call.is_done;
		});
		EXPECT_EQ(call.outcome, c.outcome) << c.name;
		EXPECT_EQ(call.body, c.body) << c.name;
	}
}

// A kept connection that the peer closes under a request: the call fails and
// is not sent a second time.
TEST_F(Http1, NeverRepeats)
{
	ScriptedPeer peer(
		loop, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "" });
	Call first, second;

	start(&first, &peer.peer);
	run_until([&] {
		peer.serve();
		return first.is_done;
	});
	start(&second, &peer.peer);
	run_until([&] {
		peer.serve();
		return second.is_done;
	});
	EXPECT_EQ(peer.peer.made, 1u);
	EXPECT_EQ(peer.requests, 2);
	EXPECT_EQ(second.outcome, H1_BROKEN);
}

TEST_F(Http1, BytesAfterAnAnswerEndTheConnection)
{
	ScriptedPeer peer(
		loop,
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 "
		  "200 OK\r\nContent-Length: 2\r\n\r\nno" });
	Call call;

	start(&call, &peer.peer);
	run_until([&] {
		peer.serve();
		return call.is_done;
	});
	EXPECT_EQ(call.body, "hi");
	EXPECT_EQ(peer.peer.open, 0u);
}

// The peer keeps the connection and reads on: only the rest of that body, or
// the end, may follow there.
TEST_F(Http1, AnAnswerBeforeTheBodyIsReadEndsTheConnection)
{
	const std::string body(16 << 20, 'b');
	ScriptedPeer peer(
		loop, { "HTTP/1.1 413 Long\r\nContent-Length: 2\r\n\r\nno" });
	Call first, second;
	std::string rest;
	char buffer[65536];
	ssize_t n = 0;

	start(&first, &peer.peer, body);
	run_until([&] {
		if (!peer.requests)
			peer.serve();
		return first.is_done;
	});
	EXPECT_EQ(first.outcome, H1_DONE);
	EXPECT_EQ(first.status, 413u);
	start(&second, &peer.peer);
	run_until([&] {
		while ((n = recv(peer.open_fds[0], buffer, sizeof(buffer), 0)) >
		       0)
			rest.append(buffer, n);
		return n == 0 || errno != EAGAIN;
	});
	EXPECT_LT(rest.size(), body.size());
	EXPECT_EQ(rest.find_first_not_of('b'), std::string::npos);
	run_until([&] {
		peer.serve();
		return second.is_done;
	});
	EXPECT_EQ(second.status, 413u);
	EXPECT_EQ(peer.peer.made, 2u);
}

TEST_F(Http1, NoConnectionMeansNotSent)
{
	struct h1_peer peer;
	Call call;

	h1_peer_init(&peer, loop, INADDR_LOOPBACK, 1);
	start(&call, &peer);
	run_until([&] { return call.is_done; });
	EXPECT_EQ(call.outcome, H1_NOT_SENT);
	h1_peer_finish(&peer);
}

// An engine was held for silent as this process had no descriptor to ask it.
TEST_F(Http1, LackOfDescriptorsIsNotThePeersFault)
{
	struct rlimit limit, low;
	struct h1_peer peer;
	int answer = -1;
	Call call;

	h1_peer_init(&peer, loop, INADDR_LOOPBACK, h1_server_port(&server));
	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
	low = limit;
	low.rlim_cur = 0;
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
	start(&call, &peer);
	h1_peer_check(
		&peer, 500,
		[](void *arg, enum h1_presence presence) {
			*static_cast<int *>(arg) = presence;
		},
		&answer);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
	run_until([&] { return call.is_done && answer >= 0; });
	EXPECT_EQ(call.outcome, H1_NO_DESCRIPTOR);
	EXPECT_EQ(answer, H1_UNCHECKED);
	h1_peer_finish(&peer);
}

TEST_F(Http1, CheckTellsWhetherThePeerTakesAConnection)
{
	ScriptedPeer there(
		loop, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" });
	struct h1_peer gone;
	int answers[2] = { -1, -1 };
	auto on_checked = [](void *arg, enum h1_presence presence) {
		*static_cast<int *>(arg) = presence;
	};

	h1_peer_init(&gone, loop, INADDR_LOOPBACK, 1);
	h1_peer_check(&there.peer, 500, on_checked, &answers[0]);
	h1_peer_check(&gone, 500, on_checked, &answers[1]);
	run_until([&] { return answers[0] >= 0 && answers[1] >= 0; });
	EXPECT_EQ(answers[0], H1_THERE);
	EXPECT_EQ(answers[1], H1_REFUSED);
	/* The connection is not wasted. */
	Call call;
	start(&call, &there.peer);
	run_until([&] {
		there.serve();
		return call.is_done;
	});
	EXPECT_EQ(call.body, "hi");
	EXPECT_EQ(there.peer.made, 1u);
	h1_peer_finish(&gone);
}

// The peer has closed an idle connection, and the loop has not seen it yet.
TEST_F(Http1, ConnectionThatHasEndedIsNotTaken)
{
	ScriptedPeer peer(loop, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				  "\r\nok" });
	Call first, second;

	start(&first, &peer.peer);
	run_until([&] {
		peer.serve();
		return first.is_done;
	});
	for (int &fd : peer.open_fds) {
		close(fd);
		fd = -1;
	}
	usleep(20000);
	start(&second, &peer.peer);
	run_until([&] {
		peer.serve();
		return second.is_done;
	});
	EXPECT_EQ(second.outcome, H1_DONE);
	EXPECT_EQ(peer.requests, 2);
}

TEST_F(Http1, CancelledCallIsNotCalledBack)
{
	ScriptedPeer peer(loop,
			  { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" });
	Call call;

	start(&call, &peer.peer);
	run_until([&] { return h1_call_was_sent(&call.call); });
	h1_call_cancel(&call.call);
	for (int i = 0; i < 50; i++) {
		peer.serve();
		ev_run(loop, EVRUN_NOWAIT);
	}
	EXPECT_FALSE(call.is_done);
	EXPECT_EQ(peer.peer.open, 0u);
}

// A call that is given up from one of its callbacks, by the last user of the
// peer, as a request does whose engine has left the fleet.
struct LastCall {
	struct h1_call call = {};
	struct h1_peer *peer = nullptr;

	void give_up()
	{
		h1_call_cancel(&call);
		h1_peer_finish(peer);
		memset((void *)peer, 0xa5, sizeof(*peer));
		delete peer;
		peer = nullptr;
	}
};

TEST_F(Http1, PeerMayEndInACallbackThatCancelsItsCall)
{
	for (bool is_in_head : { true, false }) {
		ScriptedPeer peer(
			loop,
			{ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhi" });
		struct h1_headers headers;
		struct h1_call_desc desc = {};
		LastCall last;

		SCOPED_TRACE(is_in_head ? "head" : "body");
		h1_headers_init(&headers);
		last.peer = new h1_peer(peer.peer);
		desc.peer = last.peer;
		desc.method = "GET";
		desc.target = "/x";
		desc.headers = &headers;
		desc.connect_timeout_ms = 500;
		if (is_in_head)
			desc.on_head = [](void *arg, uint32_t,
					  const struct h1_headers *) {
				static_cast<LastCall *>(arg)->give_up();
				return true;
			};
		desc.on_body = [](void *arg, const char *, uint64_t) {
			static_cast<LastCall *>(arg)->give_up();
		};
		desc.on_done = [](void *, enum h1_outcome) {
			ADD_FAILURE() << "called back after its end";
		};
		desc.arg = &last;
		h1_call_start(&last.call, &desc);
		run_until([&] {
			peer.serve();
			return !last.peer;
		});
		EXPECT_FALSE(h1_call_is_active(&last.call));
		h1_headers_finish(&headers);
	}
}

TEST(Http1Headers, FieldsOfOneConnectionAreKnown)
{
	struct h1_headers headers;
	static const struct {
		const char *name;
		bool is_hop;
	} cases[] = {
		{ "connection", true },	    { "Transfer-Encoding", true },
		{ "content-length", true }, { "X-Listed", true },
		{ "X-Kept", false },	    { "X-List", false },
	};

	h1_headers_init(&headers);
	h1_headers_add(&headers, "Connection", "close, x-listed");
	for (const auto &c : cases)
		EXPECT_EQ(h1_headers_is_hop(&headers, c.name), c.is_hop)
			<< c.name;
	h1_headers_finish(&headers);
}

} // namespace
