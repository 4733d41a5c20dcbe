// Servers that end in the middle of an answer, or send bytes without end: the
// call fails, is never taken for a whole answer, and its memory is bounded.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "http1/h1_client.h"
#include "kernel/ck.h"
#include "net/hc.h"
}

namespace
{

// Answers every request with @text, then closes, or goes on with @part.
class FaultyServer
{
      public:
	uint64_t sent = 0;

	FaultyServer(std::string text, std::string part)
	    : text(std::move(text)), part(std::move(part))
	{
		struct sockaddr_in a = {};
		socklen_t bytes = sizeof(a);

		while (!this->part.empty() && this->part.size() < 16384)
			this->part += this->part;
		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&a, bytes), 0);
		EXPECT_EQ(listen(listener, 64), 0);
		getsockname(listener, (struct sockaddr *)&a, &bytes);
		port = ntohs(a.sin_port);
	}

	~FaultyServer()
	{
		for (const Connection &c : connections)
			if (c.fd >= 0)
				close(c.fd);
		close(listener);
	}

	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port) + "/x";
	}

	void serve()
	{
		int fd;

		while ((fd = accept4(listener, nullptr, nullptr,
				     SOCK_NONBLOCK)) >= 0)
			connections.push_back({ fd, "", false });
		for (Connection &c : connections)
			serve_one(c);
	}

	uint16_t port;

      private:
	struct Connection {
		int fd;
		std::string out;
		bool is_asked;
	};

	std::string text, part;
	int listener;
	std::vector<Connection> connections;

	static void end(Connection &c)
	{
		close(c.fd);
		c.fd = -1;
	}

	void serve_one(Connection &c)
	{
		char buffer[4096];
		ssize_t n;

		if (c.fd < 0)
			return;
		n = recv(c.fd, buffer, sizeof(buffer), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			end(c);
			return;
		}
		if (n > 0 && !c.is_asked) {
			c.is_asked = true;
			c.out = text;
		}
		if (!c.is_asked)
			return;
		n = ::send(c.fd, c.out.data(), c.out.size(), MSG_NOSIGNAL);
		if (n > 0) {
			sent += n;
			c.out.erase(0, n);
		}
		if (!c.out.empty())
			return;
		if (part.empty())
			end(c);
		else
			c.out = part;
	}
};

struct Outcome {
	bool is_done = false;
	bool is_whole = false;
	uint64_t streamed = 0;
};

class NetFaulty : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct hc_client client = {};

	void SetUp() override
	{
		struct hc_desc desc = {};

		desc.loop = loop;
		desc.max_collected_bytes = 4 << 20;
		ASSERT_EQ(hc_init(&client, &desc), ST_OK);
	}

	void TearDown() override
	{
		hc_finish(&client);
		ev_loop_destroy(loop);
	}

	void start(Outcome *o, const std::string &url, bool is_stream = false)
	{
		struct hc_call_desc desc = {};

		desc.url = url.c_str();
		desc.fresh_connection = true;
		desc.on_done = [](void *arg, const struct hc_result *result) {
			auto *outcome = static_cast<Outcome *>(arg);

			outcome->is_done = true;
			outcome->is_whole = result->outcome == HC_DONE;
		};
		if (is_stream)
			desc.on_data = [](void *arg, uint32_t status,
					  const char *data, uint64_t bytes) {
				static_cast<Outcome *>(arg)->streamed += bytes;
			};
		desc.arg = o;
		ASSERT_EQ(hc_send(&client, &desc, nullptr), ST_OK);
	}

	void run(FaultyServer &server, const std::function<bool()> &is_done)
	{
		int64_t end_ms = ck_now_ms() + 5000;

		while (!is_done() && ck_now_ms() < end_ms) {
			server.serve();
			ev_run(loop, EVRUN_NOWAIT);
			usleep(50);
		}
	}
};

// @spare: bytes at the end without which libcurl has the whole body all the
// same, as the last chunk has come.
struct WholeAnswer {
	std::string text;
	size_t spare = 0;
};

const WholeAnswer whole_answers[] = {
	{ "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	  "Content-Length: 5\r\n\r\nwhole" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "5\r\nwhole\r\n0\r\n\r\n",
	  1 },
	{ "HTTP/1.1 100 Continue\r\nX-A: a\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" },
	{ "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" },
};

// libcurl reports success for an answer whose head breaks off: callers got a
// status 200 with an empty body.
TEST_F(NetFaulty, AnswerThatBreaksOffIsNotWhole)
{
	for (const WholeAnswer &answer : whole_answers)
		for (size_t cut = 0; cut <= answer.text.size(); cut++) {
			FaultyServer server(answer.text.substr(0, cut), "");
			Outcome o;

			start(&o, server.url());
			run(server, [&] { return o.is_done; });
			EXPECT_TRUE(o.is_done);
			EXPECT_EQ(o.is_whole,
				  cut + answer.spare >= answer.text.size())
				<< answer.text.substr(0, cut);
		}
}

TEST_F(NetFaulty, AnswerThatBreaksOffIsNotWholeForTheGatewaysClient)
{
	struct Call {
		struct h1_call call = {};
		bool is_done = false;
		bool is_whole = false;
	};

	for (const WholeAnswer &answer : whole_answers)
		for (size_t cut = 0; cut <= answer.text.size(); cut++) {
			FaultyServer server(answer.text.substr(0, cut), "");
			struct h1_call_desc desc = {};
			struct h1_headers headers;
			struct h1_peer peer;
			Call c;

			h1_headers_init(&headers);
			h1_peer_init(&peer, loop, INADDR_LOOPBACK, server.port);
			desc.peer = &peer;
			desc.method = "GET";
			desc.target = "/x";
			desc.headers = &headers;
			desc.connect_timeout_ms = 500;
			desc.on_done = [](void *arg, enum h1_outcome outcome) {
				auto *call = static_cast<Call *>(arg);

				call->is_done = true;
				call->is_whole = outcome == H1_DONE;
			};
			desc.arg = &c;
			h1_call_start(&c.call, &desc);
			run(server, [&] { return c.is_done; });
			EXPECT_TRUE(c.is_done);
			EXPECT_EQ(c.is_whole, cut == answer.text.size())
				<< answer.text.substr(0, cut);
			h1_peer_finish(&peer);
			h1_headers_finish(&headers);
		}
}

struct EndlessCase {
	const char *what;
	const char *start;
	const char *part;
};

// Kernel buffers of both ends, and what is read before the limit.
const uint64_t most_head_bytes = 16 << 20;

const EndlessCase endless_heads[] = {
	{ "no HTTP at all", "", "x" },
	{ "a line of the head", "HTTP/1.1 200 OK\r\nX-A: ", "a" },
	{ "lines of the head", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n" },
	{ "heads that are not final", "",
	  "HTTP/1.1 100 Continue\r\nX-A: a\r\n\r\n" },
	{ "a trailer",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	  "X-A: a\r\n" },
};

// No time limit ends these calls; the head of an answer has a limit in bytes.
TEST_F(NetFaulty, EndlessHeadEndsItsCall)
{
	for (const EndlessCase &c : endless_heads)
		for (bool is_stream : { false, true }) {
			FaultyServer server(c.start, c.part);
			Outcome o;

			start(&o, server.url(), is_stream);
			run(server, [&] { return o.is_done; });
			EXPECT_TRUE(o.is_done) << c.what;
			EXPECT_FALSE(o.is_whole) << c.what;
			EXPECT_LT(server.sent, most_head_bytes) << c.what;
			TearDown();
			loop = ev_loop_new(EVFLAG_AUTO);
			SetUp();
		}
}

// Each body stays below the limit of one call; all of them share another.
TEST_F(NetFaulty, EndlessBodiesAtOnceStayWithinTheClientsLimit)
{
	static const uint64_t buffers = 8 << 20;
	FaultyServer server("HTTP/1.1 200 OK\r\n\r\n", "x");
	std::vector<Outcome> outcomes(32);
	Outcome small;

	for (Outcome &o : outcomes)
		start(&o, server.url());
	run(server, [&] {
		EXPECT_LE(hc_collected_bytes(&client), 4u << 20);
		for (const Outcome &o : outcomes)
			if (!o.is_done)
				return false;
		return true;
	});
	for (const Outcome &o : outcomes) {
		EXPECT_TRUE(o.is_done);
		EXPECT_FALSE(o.is_whole);
	}
	EXPECT_LT(server.sent, outcomes.size() * buffers);
	EXPECT_EQ(hc_collected_bytes(&client), 0u);
	FaultyServer sound(whole_answers[0].text, "");
	start(&small, sound.url());
	run(sound, [&] { return small.is_done; });
	EXPECT_TRUE(small.is_whole);
}

} // namespace
