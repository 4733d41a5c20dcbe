// HTTP client against HTTP server on one loop: whole answers, streams,
// broken streams, silence, hang-ups, and what a failed call may have done.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "kernel/ck.h"
#include "net/hc.h"
#include "net/hs.h"
}

namespace
{

struct Outcome {
	bool is_done = false;
	hc_outcome outcome = HC_DONE;
	uint32_t status = 0;
	bool maybe_sent = false;
	std::string body;
	std::string streamed;
};

void on_done(void *arg, const struct hc_result *result)
{
	auto *o = static_cast<Outcome *>(arg);

	EXPECT_FALSE(o->is_done) << "on_done came twice";
	o->is_done = true;
	o->outcome = result->outcome;
	o->status = result->http_status;
	o->maybe_sent = result->maybe_sent;
	o->body.assign(result->body, result->body_bytes);
}

void on_data(void *arg, uint32_t status, const char *data, uint64_t bytes)
{
	static_cast<Outcome *>(arg)->streamed.append(data, bytes);
}

class Net : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct hs_server server;
	struct hc_client client;
	struct hs_exchange *held = nullptr;
	int requests = 0;
	int closed = 0;

	void SetUp() override
	{
		struct hs_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.max_body_bytes = 1000;
		desc.on_request = [](void *arg, struct hs_exchange *x) {
			static_cast<Net *>(arg)->answer(x);
		};
		desc.on_closed = [](void *arg, struct hs_exchange *x) {
			auto *self = static_cast<Net *>(arg);

			self->closed++;
			if (self->held == x)
				self->held = nullptr;
		};
		desc.arg = this;
		ASSERT_EQ(hs_init(&server, &desc), ST_OK);
		struct hc_desc client_desc = {};
		client_desc.loop = loop;
		ASSERT_EQ(hc_init(&client, &client_desc), ST_OK);
	}

	void TearDown() override
	{
		hc_finish(&client);
		hs_finish(&server);
		ev_loop_destroy(loop);
	}

	void answer(struct hs_exchange *x)
	{
		std::string path = x->path;

		requests++;
		if (path == "/echo")
			hs_respond(x, 200, nullptr, x->body->str, x->body->len);
		if (path == "/later" || path == "/never")
			held = x;
		if (path == "/stream" || path == "/broken" ||
		    path == "/stall") {
			hs_begin(x, 200, nullptr);
			hs_write(x, "one ", 4);
			held = x;
		}
	}

	void run_until(const std::function<bool()> &condition)
	{
		int64_t deadline_ms = ck_now_ms() + 5000;

		while (!condition() && ck_now_ms() < deadline_ms) {
			ev_timer tick;

			ev_timer_init(
				&tick, [](struct ev_loop *, ev_timer *, int) {},
				0.01, 0.0);
			ev_timer_start(loop, &tick);
			ev_run(loop, EVRUN_ONCE);
			ev_timer_stop(loop, &tick);
		}
		ASSERT_TRUE(condition());
	}

	std::string url(const char *path)
	{
		return "http://127.0.0.1:" + std::to_string(hs_port(&server)) +
		       path;
	}

	struct hc_call send(Outcome *o, const std::string &to,
			    const std::string &body = "",
			    void (*adjust)(struct hc_call_desc *) = nullptr)
	{
		struct hc_call_desc desc = {};
		struct hc_call call = {};

		desc.method = body.empty() ? "GET" : "POST";
		desc.url = to.c_str();
		desc.body = body.empty() ? nullptr : body.data();
		desc.body_bytes = body.size();
		desc.on_done = on_done;
		desc.arg = o;
		if (adjust)
			adjust(&desc);
		EXPECT_EQ(hc_send(&client, &desc, &call), ST_OK);
		return call;
	}
};

TEST_F(Net, WholeAnswerNowAndLater)
{
	Outcome now, later;

	send(&now, url("/echo"), "hello");
	send(&later, url("/later"));
	run_until([&] { return now.is_done && held; });
	EXPECT_EQ(now.body, "hello");
	EXPECT_FALSE(later.is_done);
	hs_respond(held, 201, nullptr, "x", 1);
	run_until([&] { return later.is_done; });
	EXPECT_EQ(later.status, 201u);
	EXPECT_EQ(later.body, "x");
	run_until([&] { return closed == 2; });
}

TEST_F(Net, StreamEndsWhole)
{
	Outcome o;

	send(&o, url("/stream"), "",
	     [](struct hc_call_desc *d) { d->on_data = on_data; });
	run_until([&] { return o.streamed == "one "; });
	hs_write(held, "two", 3);
	run_until([&] { return o.streamed == "one two"; });
	hs_end(held);
	run_until([&] { return o.is_done; });
	EXPECT_EQ(o.outcome, HC_DONE);
}

TEST_F(Net, AbortedStreamIsSeenAsBroken)
{
	Outcome o;

	send(&o, url("/broken"), "",
	     [](struct hc_call_desc *d) { d->on_data = on_data; });
	run_until([&] { return o.streamed == "one "; });
	hs_abort(held);
	run_until([&] { return o.is_done; });
	EXPECT_EQ(o.outcome, HC_BROKEN);
	EXPECT_TRUE(o.maybe_sent);
}

TEST_F(Net, SilenceBeforeTheFirstByte)
{
	Outcome o;

	send(&o, url("/never"), "",
	     [](struct hc_call_desc *d) { d->first_byte_timeout_ms = 50; });
	run_until([&] { return o.is_done; });
	EXPECT_EQ(o.outcome, HC_IDLE);
	EXPECT_TRUE(o.maybe_sent);
	run_until([&] { return closed == 1; });
}

TEST_F(Net, SilenceInTheMiddle)
{
	Outcome o;

	send(&o, url("/stall"), "", [](struct hc_call_desc *d) {
		d->first_byte_timeout_ms = 5000;
		d->idle_timeout_ms = 50;
		d->on_data = on_data;
	});
	run_until([&] { return o.is_done; });
	EXPECT_EQ(o.outcome, HC_IDLE);
	EXPECT_EQ(o.streamed, "one ");
}

TEST_F(Net, CallerThatHangsUpWhileWaitingIsNoticed)
{
	Outcome o;
	struct hc_call call = send(&o, url("/never"));

	run_until([&] { return held != nullptr; });
	hc_cancel(&client, call);
	run_until([&] { return closed == 1; });
	EXPECT_FALSE(o.is_done);
	EXPECT_EQ(hs_open(&server), 0u);
}

TEST_F(Net, RefusedConnectionSentNothing)
{
	Outcome o;
	struct sockaddr_in a = {};
	socklen_t bytes = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)), 0);
	getsockname(fd, reinterpret_cast<sockaddr *>(&a), &bytes);
	send(&o, "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port)) + "/",
	     "body");
	run_until([&] { return o.is_done; });
	EXPECT_EQ(o.outcome, HC_NO_CONNECTION);
	EXPECT_FALSE(o.maybe_sent);
	close(fd);
}

TEST_F(Net, BodyOverTheLimitNeverReachesTheTask)
{
	Outcome o;

	send(&o, url("/echo"), std::string(1001, 'x'));
	run_until([&] { return o.is_done; });
	EXPECT_EQ(o.status, 413u);
	EXPECT_EQ(requests, 0);
}

// Bodies within the limit of one request, many at once, that stop short of
// their end.
TEST_F(Net, UnfinishedBodiesAreBoundedTogether)
{
	const std::string body(60000, 'b');
	const std::string text =
		"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: " +
		std::to_string(body.size()) + "\r\n\r\n" + body;
	struct sockaddr_in to = {};
	std::vector<int> fds;
	Outcome small, refused, taken;

	server._desc.max_body_bytes = 100000;
	ba_init(&server._account, 200000);
	to.sin_family = AF_INET;
	to.sin_port = htons(hs_port(&server));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < 8; i++) {
		fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
		ASSERT_EQ(connect(fds[i], (struct sockaddr *)&to, sizeof(to)),
			  0);
		ASSERT_GT(::send(fds[i], text.data(), text.size() - 1,
				 MSG_NOSIGNAL),
			  0);
	}
	run_until([&] { return hs_open(&server) == 8; });
	run_until([&] { return ba_held_bytes(&server._account) > 100000; });
	send(&small, url("/echo"), "small");
	run_until([&] { return small.is_done; });
	EXPECT_EQ(small.status, 200u);
	EXPECT_LE(ba_held_bytes(&server._account), 200000u);
	send(&refused, url("/echo"), std::string(90000, 'x'));
	run_until([&] { return refused.is_done; });
	EXPECT_EQ(refused.status, 503u);
	for (int fd : fds)
		close(fd);
	run_until([&] { return ba_held_bytes(&server._account) == 0; });
	send(&taken, url("/echo"), body);
	run_until([&] { return taken.is_done; });
	EXPECT_EQ(taken.status, 200u);
}

TEST_F(Net, QuiescedServerRefusesNewCallersAndFinishesOpenOnes)
{
	Outcome open, refused;

	send(&open, url("/later"));
	run_until([&] { return held != nullptr; });
	std::string to = url("/echo");
	hs_quiesce(&server);
	send(&refused, to, "",
	     [](struct hc_call_desc *d) { d->fresh_connection = true; });
	run_until([&] { return refused.is_done; });
	EXPECT_FALSE(refused.maybe_sent);
	hs_respond(held, 200, nullptr, "whole", 5);
	run_until([&] { return open.is_done; });
	EXPECT_EQ(open.body, "whole");
}

// A server that answers the first request and keeps the connection, then
// reads every other request and closes without an answer.
class CloseAfterFirst
{
      public:
	int requests = 0;

	CloseAfterFirst()
	{
		struct sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&a),
			       sizeof(a)),
			  0);
		listen(listener, 8);
	}
	~CloseAfterFirst()
	{
		for (int fd : open_fds)
			close(fd);
		close(listener);
	}
	std::string url() const
	{
		struct sockaddr_in a = {};
		socklen_t bytes = sizeof(a);

		getsockname(listener, reinterpret_cast<sockaddr *>(&a), &bytes);
		return "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port)) +
		       "/fee";
	}
	void serve()
	{
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);

		if (fd >= 0)
			open_fds.push_back(fd);
		for (size_t i = 0; i < open_fds.size(); i++)
			read_one(i);
	}

      private:
	int listener;
	std::vector<int> open_fds;

	void read_one(size_t i)
	{
		static const char ok[] = "HTTP/1.1 200 OK\r\n"
					 "Content-Length: 0\r\n\r\n";
		char buffer[1024];

		if (open_fds[i] < 0 ||
		    recv(open_fds[i], buffer, sizeof(buffer), 0) <= 0)
			return;
		requests++;
		if (requests == 1) {
			send(open_fds[i], ok, sizeof(ok) - 1, 0);
			return;
		}
		close(open_fds[i]);
		open_fds[i] = -1;
	}
};

// A server that answers once it has the head of a request, keeps the connection
// and reads on.
class AnswersEarly
{
      public:
	std::vector<std::string> texts;

	AnswersEarly()
	{
		struct sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&a),
			       sizeof(a)),
			  0);
		listen(listener, 8);
	}
	~AnswersEarly()
	{
		for (int fd : fds)
			close(fd);
		close(listener);
	}
	std::string url() const
	{
		struct sockaddr_in a = {};
		socklen_t bytes = sizeof(a);

		getsockname(listener, reinterpret_cast<sockaddr *>(&a), &bytes);
		return "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port)) +
		       "/early";
	}
	// Reads a little at a time, so that the answer is far ahead of it.
	void serve()
	{
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		char buffer[65536];

		if (fd >= 0) {
			fds.push_back(fd);
			texts.emplace_back();
		}
		for (size_t i = 0; i < fds.size(); i++) {
			ssize_t n = recv(fds[i], buffer, sizeof(buffer), 0);

			if (n <= 0)
				continue;
			texts[i].append(buffer, n);
			if (texts[i].compare(texts[i].size() - n, 4, "POST") ==
			    0)
				::send(fds[i], ok, sizeof(ok) - 1,
				       MSG_NOSIGNAL);
		}
	}

      private:
	static constexpr char ok[] = "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 2\r\n\r\nok";
	int listener;
	std::vector<int> fds;
};

// On that connection only the rest of the body, or the end, may follow.
TEST_F(Net, AnAnswerBeforeTheBodyIsReadIsWholeAndTheNextOneIsItsOwn)
{
	const std::string body(16 << 20, 'b');
	AnswersEarly server;
	Outcome first, second;

	send(&first, server.url(), body);
	run_until([&] {
		server.serve();
		return first.is_done;
	});
	EXPECT_EQ(first.outcome, HC_DONE);
	EXPECT_EQ(first.body, "ok");
	send(&second, server.url(), "x");
	run_until([&] {
		server.serve();
		return second.is_done;
	});
	EXPECT_EQ(second.outcome, HC_DONE);
	EXPECT_EQ(second.body, "ok");
	std::string rest = server.texts[0];
	rest = rest.substr(rest.find("\r\n\r\n") + 4);
	EXPECT_EQ(rest.substr(0, body.size()).find_first_not_of('b'),
		  std::string::npos);
}

// libcurl repeats the second call, whose reused connection closed, unless the
// call asked for a connection of its own.
TEST_F(Net, FreshConnectionIsNeverRepeated)
{
	static const struct {
		bool fresh_connection;
		int requests;
	} cases[] = { { false, 3 }, { true, 2 } };

	for (const auto &c : cases) {
		CloseAfterFirst server;
		Outcome first, second;

		send(&first, server.url(), "fee");
		run_until([&] {
			server.serve();
			return first.is_done;
		});
		send(&second, server.url(), "fee",
		     c.fresh_connection
			     ? [](struct hc_call_desc
					  *d) { d->fresh_connection = true; }
			     : static_cast<void (*)(struct hc_call_desc *)>(
				       nullptr));
		run_until([&] {
			server.serve();
			return second.is_done;
		});
		EXPECT_EQ(second.outcome, HC_BROKEN);
		EXPECT_TRUE(second.maybe_sent);
		EXPECT_EQ(server.requests, c.requests);
	}
}

} // namespace
