// Near and far side of the link with a fake engine: answers are forwarded,
// missing chunks are requested, refusals state whether the request ran.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

#include "../harness/answer_cases.h"
#include "../harness/one_answer.h"

extern "C" {
#include "kernel/ck.h"
#include "link/lk_relay.h"
#include "upstream/up.h"
}

namespace
{

const uint8_t secret[LK_SECRET_BYTES] = { 9, 8, 7 };

struct Answer {
	bool is_done = false;
	hc_outcome outcome = HC_DONE;
	uint32_t status = 0;
	std::string relay;
	std::string weights;
	std::string body;
};

class Relay : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct hs_server engine, far;
	struct hc_client client;
	struct mb_table members;
	struct lk_relay relay;
	struct lk_near near;
	std::string seen_body, seen_header;
	bool engine_aborts = false;
	bool engine_streams = false;
	bool engine_is_endless = false;
	harness::OneAnswer *raw_engine = nullptr;
	int runs = 0;
	int engine_closed = 0;

	void SetUp() override
	{
		struct hs_desc desc = {};
		struct mb_desc no_self = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.arg = this;
		desc.on_request = [](void *arg, struct hs_exchange *x) {
			static_cast<Relay *>(arg)->answer_as_engine(x);
		};
		desc.on_closed = [](void *arg, struct hs_exchange *x) {
			static_cast<Relay *>(arg)->engine_closed++;
		};
		ASSERT_EQ(hs_init(&engine, &desc), ST_OK);
		desc.on_request = [](void *arg, struct hs_exchange *x) {
			lk_relay_request(&static_cast<Relay *>(arg)->relay, x);
		};
		desc.on_closed = [](void *arg, struct hs_exchange *x) {
			lk_relay_closed(&static_cast<Relay *>(arg)->relay, x);
		};
		ASSERT_EQ(hs_init(&far, &desc), ST_OK);
		struct hc_desc client_desc = {};
		client_desc.loop = loop;
		hc_init(&client, &client_desc);
		mb_init(&members, &no_self);
		list_engine(hs_port(&engine));
		start_relay();
		lk_near_init(&near, secret);
	}
	void TearDown() override
	{
		lk_near_finish(&near);
		lk_relay_finish(&relay);
		hc_finish(&client);
		hs_finish(&far);
		hs_finish(&engine);
		mb_finish(&members);
		ev_loop_destroy(loop);
	}
	void start_relay()
	{
		struct lk_relay_desc desc = {};

		desc.loop = loop;
		desc.secret = secret;
		desc.members = &members;
		lk_relay_init(&relay, &desc);
	}
	void list_engine(uint16_t port)
	{
		struct mb_member m = {};

		m.role = MB_ENGINE;
		strcpy(m.name, "e1");
		m.ipv4 = INADDR_LOOPBACK;
		m.http_port = port;
		mb_apply_host_list(&members, &m, 1, 1);
	}
	void answer_as_engine(struct hs_exchange *x)
	{
		const struct hs_header headers[] = {
			{ "X-Weights-Version", "v2" }, { nullptr, nullptr }
		};
		const char *header = hs_header(x, "X-Request-Id");

		runs++;
		if (engine_streams) {
			answer_with_stream(x, header);
			return;
		}
		seen_body.assign(x->body->str, x->body->len);
		seen_header = header ? header : "";
		hs_begin(x, 200, headers);
		hs_write(x, "token ", 6);
		if (engine_is_endless) {
			std::string bytes(64 << 20, 'x');

			hs_write(x, bytes.data(), bytes.size());
			return;
		}
		if (engine_aborts)
			hs_abort(x);
		else
			hs_end(x);
	}
	void answer_with_stream(struct hs_exchange *x, const char *id)
	{
		const struct hs_header headers[] = {
			{ "X-Weights-Version", "v2" },
			{ "X-Engine-Incarnation", "5" },
			{ nullptr, nullptr }
		};
		std::string out = "id: 1\ndata: {\"id\": \"cmpl-" +
				  std::string(id ? id : "") +
				  "\"}\n\nid: 2\ndata: [DONE]\n\n";

		hs_begin(x, 200, headers);
		hs_write(x, out.data(), out.size());
		hs_end(x);
	}
	// Runs a streamed attempt over the link.
	struct up_result run_attempt(const std::string &body)
	{
		struct up_far_entry via = {
			&near,	       "h9", 1,	  INADDR_LOOPBACK,
			hs_port(&far), "t",  "e1"
		};
		struct up_desc desc = {};
		struct up_attempt a;
		struct Seen {
			struct up_result result;
			bool is_done = false;
		} seen;

		engine_streams = true;
		desc.kind = "engine";
		desc.loop = loop;
		desc.client = &client;
		desc.id = "r7";
		desc.ipv4 = INADDR_LOOPBACK;
		desc.port = hs_port(&engine);
		desc.path = "/v1/completions";
		desc.weights = "v2";
		desc.incarnation = 5;
		desc.is_stream = true;
		desc.body = body.data();
		desc.body_bytes = body.size();
		desc.via = &via;
		desc.on_event = [](void *, const struct up_event *) {};
		desc.on_done = [](void *arg, const struct up_result *r) {
			static_cast<Seen *>(arg)->result = *r;
			static_cast<Seen *>(arg)->is_done = true;
		};
		desc.arg = &seen;
		EXPECT_EQ(up_init(&a, &desc), ST_OK);
		EXPECT_EQ(up_start(&a), ST_OK);
		int64_t deadline_ms = ck_now_ms() + 5000;
		while (!seen.is_done && ck_now_ms() < deadline_ms)
			ev_run(loop, EVRUN_ONCE);
		EXPECT_TRUE(seen.is_done);
		up_finish(&a);
		return seen.result;
	}
	Answer post(const struct lk_call *call, const char *mac = nullptr)
	{
		Answer a;
		std::string url =
			"http://127.0.0.1:" + std::to_string(hs_port(&far)) +
			LK_RELAY_PATH;
		std::string header = std::string(LK_MAC_HEADER ": ") +
				     (mac ? mac : call->mac);
		const char *headers[] = { header.c_str(), nullptr };
		struct hc_call_desc desc = {};

		desc.method = "POST";
		desc.url = url.c_str();
		desc.headers = headers;
		desc.body = call->message;
		desc.body_bytes = call->message_bytes;
		desc.arg = &a;
		desc.on_header = [](void *arg, const char *n, const char *v) {
			if (!strcmp(n, "x-relay"))
				static_cast<Answer *>(arg)->relay = v;
			if (!strcmp(n, "x-weights-version"))
				static_cast<Answer *>(arg)->weights = v;
		};
		desc.on_done = [](void *arg, const struct hc_result *r) {
			auto *answer = static_cast<Answer *>(arg);

			answer->is_done = true;
			answer->outcome = r->outcome;
			answer->status = r->http_status;
			answer->body.assign(r->body, r->body_bytes);
		};
		EXPECT_EQ(hc_send(&client, &desc, nullptr), ST_OK);
		int64_t deadline_ms = ck_now_ms() + 5000;
		while (!a.is_done && ck_now_ms() < deadline_ms) {
			ev_run(loop, raw_engine ? EVRUN_NOWAIT : EVRUN_ONCE);
			if (raw_engine)
				raw_engine->serve();
		}
		EXPECT_TRUE(a.is_done);
		return a;
	}
	struct lk_call_desc desc_of(const std::string &body, uint64_t stamp = 0)
	{
		static const char *const headers[] = { "X-Request-Id: r1",
						       nullptr };
		struct lk_call_desc desc = {};

		desc.far = "h9";
		desc.far_incarnation = 1;
		desc.team = "t";
		desc.engine = "e1";
		desc.path = "/v1/completions";
		desc.headers = headers;
		desc.body = body.data();
		desc.bytes = body.size();
		desc.stamp = stamp ? stamp
				   : (uint64_t)ck_wall_ms()
					     << CK_HLC_COUNTER_BITS;
		return desc;
	}
};

TEST_F(Relay, AnswerIsForwardedAndSecondCallOmitsKnownChunks)
{
	const std::string body(100000, 'x');
	struct lk_call_desc desc = desc_of(body);
	struct lk_call call;

	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	Answer a = post(&call);
	EXPECT_EQ(a.status, 200u);
	EXPECT_EQ(a.weights, "v2");
	EXPECT_EQ(a.body, "token ");
	EXPECT_EQ(seen_body, body);
	EXPECT_EQ(seen_header, "r1");
	lk_call_finish(&call);
	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	EXPECT_LT(call.message_bytes, 2000u);
	post(&call);
	EXPECT_EQ(seen_body, body);
	EXPECT_EQ(runs, 2);
	lk_call_finish(&call);
}

TEST_F(Relay, FarSideWithLostCacheGetsMissingTextAndRunsOnce)
{
	const std::string body(60000, 'y');
	struct lk_call_desc desc = desc_of(body);
	struct lk_call call;

	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	post(&call);
	lk_call_finish(&call);
	lk_relay_finish(&relay);
	start_relay();
	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	Answer a = post(&call);
	EXPECT_EQ(a.status, 409u);
	EXPECT_EQ(a.relay, LK_RELAY_MISSING);
	EXPECT_EQ(runs, 1);
	ASSERT_EQ(lk_call_encode_missing(&call, a.body.data(), a.body.size()),
		  ST_OK);
	a = post(&call);
	EXPECT_EQ(a.status, 200u);
	EXPECT_EQ(seen_body, body);
	EXPECT_EQ(seen_header, "r1");
	EXPECT_EQ(runs, 2);
	lk_call_finish(&call);
}

TEST_F(Relay, RefusalsReportWhetherTheRequestRan)
{
	const std::string body(5000, 'z');
	const uint64_t old = (uint64_t)(ck_wall_ms() - 2 * LK_MAX_STAMP_AGE_MS)
			     << CK_HLC_COUNTER_BITS;
	static const std::string bad_mac(LK_MAC_HEX_BYTES - 1, 'a');
	const struct {
		const char *what;
		uint64_t stamp;
		const char *mac;
		const char *engine;
		uint32_t status;
		int runs;
	} cases[] = {
		{ "wrong MAC", 0, bad_mac.c_str(), "e1", 403, 0 },
		{ "no MAC", 0, "", "e1", 403, 0 },
		{ "replayed with an old stamp", old, nullptr, "e1", 403, 0 },
		{ "unknown engine", 0, nullptr, "e2", 502, 0 },
		{ "valid", 0, nullptr, "e1", 200, 1 },
	};

	for (const auto &c : cases) {
		struct lk_call_desc desc = desc_of(body, c.stamp);
		struct lk_call call;

		desc.engine = c.engine;
		runs = 0;
		/* The far side did not store chunks of rejected requests. */
		lk_near_finish(&near);
		lk_near_init(&near, secret);
		ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
		Answer a = post(&call, c.mac);
		EXPECT_EQ(a.status, c.status) << c.what;
		EXPECT_EQ(runs, c.runs) << c.what;
		if (c.status != 200) {
			EXPECT_EQ(a.relay, LK_RELAY_NOT_RUN) << c.what;
		}
		lk_call_finish(&call);
	}
}

TEST_F(Relay, BrokenEngineAnswerBreaksTheRelayedAnswer)
{
	const std::string body(5000, 'z');
	struct lk_call_desc desc = desc_of(body);
	struct lk_call call;

	engine_aborts = true;
	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	EXPECT_EQ(post(&call).outcome, HC_BROKEN);
	lk_call_finish(&call);
}

// libcurl hands the body over before it finds that the head is none.
TEST_F(Relay, AnswerThatIsNoneIsNotRelayed)
{
	const std::string body(5000, 'z');

	for (const BrokenAnswer *answer :
	     { &broken_statuses[1], &broken_statuses[2], &broken_statuses[3],
	       &broken_fields[3], &broken_lengths[6] }) {
		harness::OneAnswer server(answer->text, false, false);
		struct lk_call_desc desc = desc_of(body);
		struct lk_call call;

		raw_engine = &server;
		list_engine(server.port);
		ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
		Answer a = post(&call);
		EXPECT_EQ(a.outcome, HC_DONE) << answer->name;
		EXPECT_EQ(a.status, 502u) << answer->name;
		EXPECT_EQ(a.relay, LK_RELAY_UNKNOWN) << answer->name;
		EXPECT_EQ(a.body, "") << answer->name;
		lk_call_finish(&call);
		raw_engine = nullptr;
	}
}

// The engine sends without end, and the caller on the other side does not read:
// the far side kept everything.
TEST_F(Relay, AnswerWithoutEndToACallerThatDoesNotReadIsCut)
{
	const std::string body(5000, 'z');
	struct lk_call_desc desc = desc_of(body);
	struct sockaddr_in to = {};
	struct lk_call call;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	engine_is_endless = true;
	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	to.sin_family = AF_INET;
	to.sin_port = htons(hs_port(&far));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	std::string text =
		std::string("POST " LK_RELAY_PATH
			    " HTTP/1.1\r\nHost: h\r\n" LK_MAC_HEADER ": ") +
		call.mac +
		"\r\nContent-Length: " + std::to_string(call.message_bytes) +
		"\r\n\r\n" +
		std::string((const char *)call.message, call.message_bytes);
	ASSERT_EQ(send(fd, text.data(), text.size(), 0), (ssize_t)text.size());
	int64_t end_ms = ck_now_ms() + 5000;
	while (!engine_closed && ck_now_ms() < end_ms)
		ev_run(loop, EVRUN_NOWAIT);
	EXPECT_EQ(runs, 1);
	EXPECT_EQ(engine_closed, 1);
	lk_call_finish(&call);
	close(fd);
}

TEST_F(Relay, EngineThatRefusesTheConnectionDidNotRun)
{
	const std::string body(5000, 'z');
	struct lk_call_desc desc = desc_of(body);
	struct lk_call call;

	list_engine(1);
	ASSERT_EQ(lk_call_init(&call, &near, &desc), ST_OK);
	Answer a = post(&call);
	EXPECT_EQ(a.status, 502u);
	EXPECT_EQ(a.relay, LK_RELAY_NOT_RUN);
	lk_call_finish(&call);
}

TEST_F(Relay, AttemptOverTheLinkCompletesAfterFarSideLosesItsCache)
{
	const std::string body(60000, 'y');

	EXPECT_EQ(run_attempt(body).end, UP_COMPLETE);
	EXPECT_EQ(run_attempt(body).end, UP_COMPLETE);
	EXPECT_EQ(runs, 2);
	lk_relay_finish(&relay);
	start_relay();
	EXPECT_EQ(run_attempt(body).end, UP_COMPLETE);
	EXPECT_EQ(runs, 3);
}

TEST_F(Relay, AttemptThatTheRelayCannotForwardDidNotRun)
{
	struct up_result r;

	list_engine(1);
	r = run_attempt("{}");
	EXPECT_EQ(r.end, UP_NOT_SENT);
	EXPECT_FALSE(r.maybe_sent);
	EXPECT_EQ(runs, 0);
}

} // namespace
