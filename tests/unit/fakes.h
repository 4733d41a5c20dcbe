// Fakes that tests share: a loop that runs until a condition holds, and an
// HTTP server on it whose behaviour the test gives as a function.
#ifndef FAKES_H
#define FAKES_H

#include <gtest/gtest.h>

#include <netinet/in.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "kernel/ck.h"
#include "net/hc.h"
#include "net/hs.h"
}

class Loop
{
      public:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);

	~Loop()
	{
		ev_loop_destroy(loop);
	}

	bool run_until(const std::function<bool()> &condition,
		       int64_t limit_ms = 10000)
	{
		int64_t deadline_ms = ck_now_ms() + limit_ms;

		while (!condition() && ck_now_ms() < deadline_ms) {
			ev_timer tick;

			ev_timer_init(
				&tick, [](struct ev_loop *, ev_timer *, int) {},
				0.005, 0.0);
			ev_timer_start(loop, &tick);
			ev_run(loop, EVRUN_ONCE);
			ev_timer_stop(loop, &tick);
		}
		return condition();
	}
};

struct Seen {
	std::string method, path, body, id, last_event, idempotency_key;
	std::string weights, salt;
};

// A server on loopback; every request is kept in @seen.
class FakeServer
{
      public:
	std::function<void(struct hs_exchange *)> on_request;
	std::vector<Seen> seen;
	std::vector<struct hs_exchange *> open;

	explicit FakeServer(struct ev_loop *loop)
	{
		struct hs_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.on_request = [](void *arg, struct hs_exchange *x) {
			static_cast<FakeServer *>(arg)->take(x);
		};
		desc.on_closed = [](void *arg, struct hs_exchange *x) {
			static_cast<FakeServer *>(arg)->forget(x);
		};
		desc.arg = this;
		EXPECT_EQ(hs_init(&server, &desc), ST_OK);
		saved_port = hs_port(&server);
	}
	~FakeServer()
	{
		stop();
	}
	// A crash: every connection and the listening socket are closed.
	void stop()
	{
		if (is_up)
			hs_finish(&server);
		is_up = false;
	}
	uint16_t port() const
	{
		return saved_port;
	}
	int count(const std::string &method) const
	{
		int n = 0;

		for (const Seen &s : seen)
			n += s.method == method;
		return n;
	}

      private:
	struct hs_server server;
	bool is_up = true;
	uint16_t saved_port;

	static std::string header(struct hs_exchange *x, const char *name)
	{
		const char *value = hs_header(x, name);

		return value ? value : "";
	}
	void take(struct hs_exchange *x)
	{
		Seen s;

		s.method = x->method;
		s.path = x->path;
		s.body.assign(x->body->str, x->body->len);
		s.id = header(x, "X-Request-Id");
		s.last_event = header(x, "Last-Event-ID");
		s.idempotency_key = header(x, "Idempotency-Key");
		s.weights = header(x, "X-Weights-Version");
		s.salt = header(x, "X-Cache-Salt");
		seen.push_back(s);
		open.push_back(x);
		on_request(x);
	}
	void forget(struct hs_exchange *x)
	{
		for (auto &o : open)
			if (o == x)
				o = nullptr;
	}
};

// What an engine sends.
inline const struct hs_header engine_headers[] = {
	{ "X-Weights-Version", "v1" },
	{ "X-Engine-Incarnation", "7" },
	{ "Content-Type", "text/event-stream" },
	{ nullptr, nullptr },
};

inline void begin_stream(struct hs_exchange *x)
{
	hs_begin(x, 200, engine_headers);
}

inline void send_event(struct hs_exchange *x, int number,
		       const std::string &data)
{
	std::string text =
		"id: " + std::to_string(number) + "\ndata: " + data + "\n\n";

	hs_write(x, text.data(), text.size());
}

inline std::string token(const std::string &id, const std::string &text)
{
	return "{\"id\":\"cmpl-" + id +
	       "\",\"choices\":[{\"index\":0,"
	       "\"text\":\"" +
	       text + "\"}]}";
}

inline void send_whole(struct hs_exchange *x, uint32_t status,
		       const std::string &body,
		       const struct hs_header *headers = engine_headers)
{
	hs_respond(x, status, headers, body.data(), body.size());
}

#endif
