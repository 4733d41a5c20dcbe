// What is no valid answer is never handed over as one, and its connection is
// closed; sound answers are served, also unusual ones. Both HTTP clients.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "../harness/answer_cases.h"

extern "C" {
#include "http1/h1_client.h"
#include "kernel/ck.h"
#include "kernel/st.h"
#include "net/hc.h"
}

namespace
{

constexpr int64_t patience_ms = 5000;

// Answers the first request on its one connection with @text.
class OneAnswer
{
      public:
	OneAnswer(std::string text, bool is_bytewise, bool closes)
	    : rest(std::move(text)), is_bytewise(is_bytewise), closes(closes)
	{
		struct sockaddr_in a = {};
		socklen_t bytes = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&a, bytes), 0);
		EXPECT_EQ(listen(listener, 4), 0);
		getsockname(listener, (struct sockaddr *)&a, &bytes);
		port = ntohs(a.sin_port);
	}

	~OneAnswer()
	{
		if (fd >= 0)
			close(fd);
		close(listener);
	}

	void serve()
	{
		char buffer[4096];
		ssize_t n;

		if (fd < 0 && !is_closed) {
			fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
			return;
		}
		if (fd < 0)
			return;
		n = recv(fd, buffer, sizeof(buffer), 0);
		is_asked = is_asked || n > 0;
		if (n == 0 || (n < 0 && errno != EAGAIN))
			end();
		else if (is_asked)
			answer();
	}

	uint16_t port;
	bool is_closed = false;

      private:
	std::string rest;
	bool is_bytewise, closes;
	int listener, fd = -1;
	bool is_asked = false;

	void end()
	{
		close(fd);
		fd = -1;
		is_closed = true;
	}

	void answer()
	{
		int on = 1;
		size_t bytes = is_bytewise ? !rest.empty() : rest.size();

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		send(fd, rest.data(), bytes, MSG_NOSIGNAL);
		rest.erase(0, bytes);
		if (rest.empty() && closes)
			end();
	}
};

// What a client handed over of one answer.
struct Seen {
	bool is_done = false;
	bool is_whole = false;
	bool has_head = false;
	uint32_t status = 0;
	std::string body;
	std::string reason;
};

class Answers : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);

	void TearDown() override
	{
		ev_loop_destroy(loop);
	}

	void run(OneAnswer &server, const std::function<bool()> &is_over)
	{
		int64_t end_ms = ck_now_ms() + patience_ms;

		while (!is_over() && ck_now_ms() < end_ms) {
			server.serve();
			ev_run(loop, EVRUN_NOWAIT);
		}
	}

	// With h1, the gateway's client.
	Seen ask_h1(OneAnswer &server)
	{
		struct h1_headers headers;
		struct h1_call_desc desc = {};
		struct h1_call call = {};
		struct h1_peer peer;
		Seen seen;

		h1_headers_init(&headers);
		h1_peer_init(&peer, loop, INADDR_LOOPBACK, server.port);
		desc.peer = &peer;
		desc.method = "GET";
		desc.target = "/x";
		desc.headers = &headers;
		desc.connect_timeout_ms = 500;
		desc.on_head = [](void *arg, uint32_t status,
				  const struct h1_headers *) {
			auto *s = static_cast<Seen *>(arg);

			s->has_head = true;
			s->status = status;
			return true;
		};
		desc.on_body = [](void *arg, const char *data, uint64_t bytes) {
			static_cast<Seen *>(arg)->body.append(data, bytes);
		};
		desc.on_done = [](void *arg, enum h1_outcome outcome) {
			auto *s = static_cast<Seen *>(arg);

			s->is_done = true;
			s->is_whole = outcome == H1_DONE;
			s->reason = st_message();
		};
		desc.arg = &seen;
		h1_call_start(&call, &desc);
		run(server, [&] { return seen.is_done; });
		h1_call_cancel(&call);
		if (!seen.is_whole) {
			EXPECT_EQ(peer.open, 0u);
		}
		h1_peer_finish(&peer);
		h1_headers_finish(&headers);
		return seen;
	}

	// With hc, the client of the entry and of the stores.
	Seen ask_hc(OneAnswer &server, bool is_stream)
	{
		std::string url =
			"http://127.0.0.1:" + std::to_string(server.port) +
			"/x";
		struct hc_call_desc desc = {};
		struct hc_client client;
		struct hc_desc init = {};
		Seen seen;

		init.loop = loop;
		EXPECT_EQ(hc_init(&client, &init), ST_OK);
		desc.url = url.c_str();
		if (is_stream)
			desc.on_data = [](void *arg, uint32_t status,
					  const char *data, uint64_t bytes) {
				auto *s = static_cast<Seen *>(arg);

				s->has_head = true;
				s->body.append(data, bytes);
			};
		desc.on_done = [](void *arg, const struct hc_result *r) {
			auto *s = static_cast<Seen *>(arg);

			s->is_done = true;
			s->is_whole = r->outcome == HC_DONE;
			s->status = r->http_status;
			s->body.append(r->body, r->body_bytes);
			s->reason = r->message;
		};
		desc.arg = &seen;
		EXPECT_EQ(hc_send(&client, &desc, nullptr), ST_OK);
		run(server, [&] { return seen.is_done; });
		if (!seen.is_whole)
			run(server, [&] { return server.is_closed; });
		hc_finish(&client);
		return seen;
	}

	// "" if the answer was treated as it has to be.
	static std::string fault_of(const SoundAnswer &a, const Seen &seen)
	{
		if (!seen.is_whole)
			return "not served: " + seen.reason;
		if (seen.status != a.status || seen.body != a.body)
			return "served as " + std::to_string(seen.status) +
			       " \"" + seen.body + "\"";
		return "";
	}

	static std::string fault_of(const BrokenAnswer &a, const Seen &seen)
	{
		if (!seen.is_done)
			return "not ended";
		if (seen.is_whole)
			return "served as " + std::to_string(seen.status) +
			       " \"" + seen.body + "\"";
		if (!a.has_sound_head && (seen.has_head || !seen.body.empty()))
			return "handed over in part";
		return "";
	}

	using Ask = std::function<Seen(OneAnswer &)>;

	void check_sound(const Ask &ask)
	{
		for (const SoundAnswer &a : sound_answers)
			for (bool is_bytewise : { false, true }) {
				OneAnswer server(a.text, is_bytewise, a.closes);

				EXPECT_EQ(fault_of(a, ask(server)), "")
					<< a.name << ", bytewise "
					<< is_bytewise;
			}
	}

	// The server keeps the connection, or ends it after its last byte.
	template <size_t n>
	void check_broken(const BrokenAnswer (&answers)[n], const Ask &ask)
	{
		for (const BrokenAnswer &a : answers)
			for (int way = 0; way < 4; way++) {
				bool is_bytewise = way & 1, closes = way & 2;
				OneAnswer server(a.text, is_bytewise, closes);

				EXPECT_EQ(fault_of(a, ask(server)), "")
					<< a.name << ", bytewise "
					<< is_bytewise << ", closes " << closes;
				run(server, [&] { return server.is_closed; });
				EXPECT_TRUE(server.is_closed) << a.name;
			}
	}
};

TEST_F(Answers, SoundOnesAreServed)
{
	check_sound([&](OneAnswer &s) { return ask_h1(s); });
	for (bool is_stream : { false, true })
		check_sound([&](OneAnswer &s) { return ask_hc(s, is_stream); });
}

// A status of 000 was handed over like any other.
TEST_F(Answers, StatusLinesThatAreNoneAreRejected)
{
	check_broken(broken_statuses, [&](OneAnswer &s) { return ask_h1(s); });
	for (bool is_stream : { false, true })
		check_broken(broken_statuses, [&](OneAnswer &s) {
			return ask_hc(s, is_stream);
		});
}

} // namespace
