// What is no valid answer is never handed over as one, and its connection is
// closed; sound answers are served, also unusual ones. Both HTTP clients.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "../harness/answer_cases.h"
#include "../harness/one_answer.h"

extern "C" {
#include "http1/h1_client.h"
#include "kernel/ck.h"
#include "kernel/st.h"
#include "net/hc.h"
}

using harness::OneAnswer;

namespace
{

constexpr int64_t patience_ms = 5000;
// Longer than the silence after which a peer counts as unreachable.
constexpr int64_t unread_ms = 3300;
constexpr size_t long_upload_bytes = 8 << 20;

// Answers before it has read the request, whose body is longer than all
// buffers, and goes on as the test says.
class EarlyAnswer
{
      public:
	uint16_t port;

	EarlyAnswer()
	{
		listener = harness::listen_on_loopback(&port, window_bytes);
	}

	~EarlyAnswer()
	{
		if (fd >= 0)
			close(fd);
		close(listener);
	}

	// Whether the request has come, of which the first bytes are read.
	bool is_asked()
	{
		char buffer[1024];

		if (fd < 0)
			fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		if (fd < 0)
			return false;
		has_read = std::max<ssize_t>(
			recv(fd, buffer, sizeof(buffer), 0), 0);
		return has_read > 0;
	}

	void write(const std::string &text)
	{
		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
	}

	void reset()
	{
		struct linger hard = { 1, 0 };

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
		end();
	}

	// Resets it as well, as bytes of the request are unread.
	void end()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}

	void stop_writing()
	{
		shutdown(fd, SHUT_WR);
	}

	void read_on()
	{
		char buffer[65536];
		ssize_t n;

		while (fd >= 0 && (n = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			has_read += n;
	}

	// Of the request, its head included.
	size_t read_bytes() const
	{
		return has_read;
	}

      private:
	static constexpr int window_bytes = 16384;
	int listener, fd = -1;
	size_t has_read = 0;
};

// What a client handed over of one answer.
struct Seen {
	bool is_done = false;
	bool is_whole = false;
	bool is_garbled = false;
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

	// Runs the loop until @is_over, which may act for the server.
	bool run_until(const std::function<bool()> &is_over)
	{
		int64_t end_ms = ck_now_ms() + patience_ms;
		bool has_ended;

		while (!(has_ended = is_over()) && ck_now_ms() < end_ms)
			ev_run(loop, EVRUN_NOWAIT);
		return has_ended;
	}

	void run_for(int64_t ms)
	{
		int64_t end_ms = ck_now_ms() + ms;

		run_until([&] { return ck_now_ms() >= end_ms; });
	}

	void run(OneAnswer &server, const std::function<bool()> &is_over)
	{
		run_until([&] {
			server.serve();
			return is_over();
		});
	}

	// With h1, the gateway's client. @play acts for the server.
	Seen ask_h1(uint16_t port, const std::string &body,
		    const std::function<void(const Seen &)> &play)
	{
		struct h1_headers headers;
		struct h1_call_desc desc = {};
		struct h1_call call = {};
		struct h1_peer peer;
		Seen seen;

		h1_headers_init(&headers);
		h1_peer_init(&peer, loop, INADDR_LOOPBACK, port);
		desc.peer = &peer;
		desc.method = body.empty() ? "GET" : "POST";
		desc.target = "/x";
		desc.headers = &headers;
		desc.body = body.data();
		desc.body_bytes = body.size();
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
			s->is_garbled = outcome == H1_GARBLED;
			s->reason = st_message();
		};
		desc.arg = &seen;
		h1_call_start(&call, &desc);
		play(seen);
		h1_call_cancel(&call);
		if (!seen.is_whole) {
			EXPECT_EQ(peer.open, 0u);
		}
		h1_peer_finish(&peer);
		h1_headers_finish(&headers);
		return seen;
	}

	Seen ask_h1(OneAnswer &server)
	{
		return ask_h1(server.port, "", [&](const Seen &seen) {
			run(server, [&] { return seen.is_done; });
		});
	}

	// With hc, the client of the entry and of the stores.
	Seen ask_hc(uint16_t port, const std::string &body, bool is_stream,
		    const std::function<void(const Seen &)> &play)
	{
		std::string url =
			"http://127.0.0.1:" + std::to_string(port) + "/x";
		struct hc_call_desc desc = {};
		struct hc_client client;
		struct hc_desc init = {};
		Seen seen;

		init.loop = loop;
		EXPECT_EQ(hc_init(&client, &init), ST_OK);
		desc.url = url.c_str();
		desc.method = body.empty() ? "GET" : "POST";
		desc.body = body.empty() ? nullptr : body.data();
		desc.body_bytes = body.size();
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
			s->is_garbled = r->outcome == HC_GARBLED;
			s->status = r->http_status;
			s->body.append(r->body, r->body_bytes);
			s->reason = r->message;
		};
		desc.arg = &seen;
		EXPECT_EQ(hc_send(&client, &desc, nullptr), ST_OK);
		play(seen);
		hc_finish(&client);
		return seen;
	}

	Seen ask_hc(OneAnswer &server, bool is_stream)
	{
		return ask_hc(
			server.port, "", is_stream, [&](const Seen &seen) {
				run(server, [&] { return seen.is_done; });
				if (!seen.is_whole)
					run(server,
					    [&] { return server.is_closed; });
			});
	}

	// The whole of the answer of play_early().
	static std::string early_body()
	{
		return "the first half, and the second one";
	}

	// How the connection of an early answer ends.
	enum End {
		RESET_HALFWAY, /* after half of the answer */
		CLOSE_HALFWAY, /* the same, with the request unread */
		READ_LATE,     /* the whole request is read, then it closes */
		READ_AFTER_PAUSE, /* the same, and nothing for some seconds */
		HALF_CLOSE,	  /* no more is written; the request is read */
	};

	void play_early(EarlyAnswer &server, const std::string &head, End end,
			const Seen &seen)
	{
		size_t half = early_body().size() / 2;

		EXPECT_TRUE(run_until([&] { return server.is_asked(); }));
		run_for(50);
		server.write(head + early_body().substr(0, half));
		run_for(50);
		if (end == RESET_HALFWAY)
			server.reset();
		if (end == CLOSE_HALFWAY)
			server.end();
		if (end == READ_AFTER_PAUSE)
			run_for(unread_ms);
		if (end >= READ_LATE)
			server.write(early_body().substr(half));
		if (end == HALF_CLOSE)
			server.stop_writing();
		run_until([&] {
			server.read_on();
			if (server.read_bytes() > long_upload_bytes)
				server.end();
			return seen.is_done;
		});
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
		if (!seen.is_garbled)
			return "not garbled: " + seen.reason;
		if (seen.reason.empty())
			return "without a reason";
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

// The answer has no length, and the request is still being sent: a reset was
// found by a write, and the read that followed saw a proper end.
TEST_F(Answers, EarlyOnesThatAreResetAreNotWhole)
{
	const std::string upload(long_upload_bytes, 'u');

	for (End end : { RESET_HALFWAY, CLOSE_HALFWAY })
		for (int client = 0; client < 3; client++) {
			EarlyAnswer server;
			auto play = [&](const Seen &seen) {
				play_early(server, OK_LINE "\r\n", end, seen);
			};
			Seen seen = client ? ask_hc(server.port, upload,
						    client == 2, play)
					   : ask_h1(server.port, upload, play);

			EXPECT_TRUE(seen.is_done) << client;
			EXPECT_FALSE(seen.is_whole)
				<< "client " << client << ", end " << end
				<< ", " << seen.body;
		}
}

TEST_F(Answers, EarlyOnesThatEndSoundlyAreServed)
{
	const std::string upload(long_upload_bytes, 'u');
	const std::string with_length = OK_LINE "Content-Length: " +
					std::to_string(early_body().size()) +
					"\r\n\r\n";

	for (const std::string &head :
	     { std::string(OK_LINE "\r\n"), with_length })
		for (End end : { READ_LATE, READ_AFTER_PAUSE, HALF_CLOSE })
			for (int client = 0; client < 3; client++) {
				EarlyAnswer server;
				auto play = [&](const Seen &seen) {
					play_early(server, head, end, seen);
				};
				Seen seen = client ? ask_hc(server.port, upload,
							    client == 2, play)
						   : ask_h1(server.port, upload,
							    play);

				EXPECT_TRUE(seen.is_whole)
					<< "client " << client << ", end "
					<< end << ", " << head << seen.reason;
				EXPECT_EQ(seen.body, early_body()) << client;
			}
}

TEST_F(Answers, SoundOnesAreServed)
{
	check_sound([&](OneAnswer &s) { return ask_h1(s); });
	for (bool is_stream : { false, true })
		check_sound([&](OneAnswer &s) { return ask_hc(s, is_stream); });
}

// The bytes that end a chunk were skipped, whatever they were.
TEST_F(Answers, ChunksThatAreNoneAreRejected)
{
	check_broken(broken_chunks, [&](OneAnswer &s) { return ask_h1(s); });
	for (bool is_stream : { false, true })
		check_broken(broken_chunks, [&](OneAnswer &s) {
			return ask_hc(s, is_stream);
		});
}

// Lengths that contradict each other, or that are none, and codings that nobody
// had offered to undo.
TEST_F(Answers, LengthsAndCodingsThatAreNoneAreRejected)
{
	check_broken(broken_lengths, [&](OneAnswer &s) { return ask_h1(s); });
	for (bool is_stream : { false, true })
		check_broken(broken_lengths, [&](OneAnswer &s) {
			return ask_hc(s, is_stream);
		});
}

// Fields with a blank in their name were handed over, or taken for the length
// of the body; a name that began with CR ended the head.
TEST_F(Answers, FieldsThatAreNoneAreRejected)
{
	check_broken(broken_fields, [&](OneAnswer &s) { return ask_h1(s); });
	for (bool is_stream : { false, true })
		check_broken(broken_fields, [&](OneAnswer &s) {
			return ask_hc(s, is_stream);
		});
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
