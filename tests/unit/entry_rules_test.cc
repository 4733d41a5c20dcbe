// Pure functions of the entry process: recovery from a failed attempt, allowed
// state transitions, and the rewriting of events for the caller.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "entry/en_recover.h"
#include "entry/en_relay.h"
#include "entry/en_state.h"
}

namespace
{

struct en_attempt_result attempt_result(enum up_end end, bool has_answer_bytes)
{
	struct en_attempt_result e = {};

	e.end = end;
	e.maybe_sent = end != UP_NOT_SENT;
	e.can_resume = true;
	e.rb.is_idempotent = true;
	e.rb.has_answer_bytes = has_answer_bytes;
	e.rb.can_continue = true;
	e.rb.attempts = 1;
	e.rb.has_budget = true;
	return e;
}

TEST(EntryRecover, NextStepFollowsAttemptResult)
{
	const struct {
		const char *name;
		enum up_end end;
		bool has_answer_bytes;
		void (*adjust)(struct en_attempt_result *);
		enum en_step step;
	} cases[] = {
		{ "complete", UP_COMPLETE, true, nullptr, EN_FINISH },
		{ "silent", UP_SILENT, true, nullptr, EN_RESUME },
		{ "broken", UP_BROKEN, false, nullptr, EN_RESUME },
		{ "not sent", UP_NOT_SENT, false, nullptr, EN_RETRY },
		{ "not sent, part delivered", UP_NOT_SENT, true, nullptr,
		  EN_CONTINUE },
		{ "failed a check", UP_FAULTY, false, nullptr, EN_RETRY },
		{ "no HTTP", UP_GARBLED, false, nullptr, EN_RETRY },
		{ "no HTTP, part delivered", UP_GARBLED, true, nullptr,
		  EN_CONTINUE },
		{ "failed a check, part delivered", UP_FAULTY, true, nullptr,
		  EN_CONTINUE },
		{ "not continuable, part delivered", UP_FAULTY, true,
		  [](struct en_attempt_result *e) {
			  e->rb.can_continue = false;
		  },
		  EN_FAIL_UNCERTAIN },
		{ "only the end of the stream is missing", UP_SILENT, true,
		  [](struct en_attempt_result *e) { e->has_text_end = true; },
		  EN_END_TEXT },
		{ "no budget, sent", UP_FAULTY, false,
		  [](struct en_attempt_result *e) { e->rb.has_budget = false; },
		  EN_FAIL_UNCERTAIN },
		{ "no budget, not sent", UP_NOT_SENT, false,
		  [](struct en_attempt_result *e) { e->rb.has_budget = false; },
		  EN_FAIL_NOT_RUN },
		{ "no budget, not sent, but sent before", UP_NOT_SENT, false,
		  [](struct en_attempt_result *e) {
			  e->rb.has_budget = false;
			  e->may_have_run_before = true;
		  },
		  EN_FAIL_UNCERTAIN },
		{ "invalid request", UP_REFUSED, false,
		  [](struct en_attempt_result *e) { e->http_status = 400; },
		  EN_PASS_ON },
		{ "wrong weights", UP_REFUSED, false,
		  [](struct en_attempt_result *e) { e->http_status = 409; },
		  EN_RETRY },
		{ "refused, no budget", UP_REFUSED, false,
		  [](struct en_attempt_result *e) {
			  e->http_status = 503;
			  e->rb.has_budget = false;
		  },
		  EN_FAIL_NOT_RUN },
		{ "internal error, no budget", UP_REFUSED, false,
		  [](struct en_attempt_result *e) {
			  e->http_status = 500;
			  e->rb.has_budget = false;
		  },
		  EN_FAIL_UNCERTAIN },
		{ "stream unknown at resumption", UP_REFUSED, true,
		  [](struct en_attempt_result *e) {
			  e->http_status = 404;
			  e->is_resuming = true;
		  },
		  EN_CONTINUE },
		{ "not idempotent, no HTTP", UP_GARBLED, false,
		  [](struct en_attempt_result *e) {
			  e->can_resume = false;
			  e->rb.is_idempotent = false;
		  },
		  EN_FAIL_UNCERTAIN },
		{ "not idempotent, may have run", UP_BROKEN, false,
		  [](struct en_attempt_result *e) {
			  e->can_resume = false;
			  e->rb.is_idempotent = false;
		  },
		  EN_FAIL_UNCERTAIN },
		{ "not idempotent, not sent", UP_NOT_SENT, false,
		  [](struct en_attempt_result *e) {
			  e->rb.is_idempotent = false;
		  },
		  EN_RETRY },
		{ "deadline", UP_TIMEOUT, true, nullptr, EN_FAIL_DEADLINE },
		{ "too large", UP_TOO_LARGE, false, nullptr,
		  EN_FAIL_UNCERTAIN },
	};

	for (const auto &c : cases) {
		struct en_attempt_result e =
			attempt_result(c.end, c.has_answer_bytes);

		if (c.adjust)
			c.adjust(&e);
		EXPECT_STREQ(en_step_name(en_recover(&e, 0)),
			     en_step_name(c.step))
			<< c.name;
	}
}

TEST(EntryState, OnlyTransitionsOfTheTableAreAllowed)
{
	EXPECT_EQ(en_state_next(EN_NEW, EN_ADMITTED), EN_PLACING);
	EXPECT_EQ(en_state_next(EN_RUNNING, EN_REROUTED), EN_PLACING);
	EXPECT_EQ(en_state_next(EN_NEW, EN_SENT), EN_STATE_COUNT);
	EXPECT_EQ(en_state_next(EN_CLAIMING, EN_SENT), EN_STATE_COUNT);
	for (int event = 0; event < EN_STATE_EVENT_COUNT; event++)
		EXPECT_EQ(en_state_next(EN_ENDED, (enum en_state_event)event),
			  EN_STATE_COUNT);
}

class EntryRelay : public testing::Test
{
      protected:
	struct en_request request = {};
	struct en_relay relay;

	void start(enum en_kind kind, bool wants_usage)
	{
		request.kind = kind;
		request.is_stream = true;
		request.wants_usage = wants_usage;
		g_strlcpy(request.request_id, "r", sizeof(request.request_id));
		en_relay_init(&relay, &request);
	}
	std::string relay_event(const char *event)
	{
		GString *out = g_string_new(nullptr);
		struct json_object *json = up_parse_json(event, strlen(event));

		en_relay_event(&relay, json, out);
		std::string text(out->str, out->len);
		json_object_put(json);
		g_string_free(out, TRUE);
		return text;
	}
};

const char *const usage =
	"{\"id\":\"x\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
	"\"completion_tokens\":2,\"prompt_tokens_details\":{"
	"\"cached_tokens\":4,\"block_tokens\":2,"
	"\"block_ids\":[\"00ff\",\"10\"]}}}";

TEST_F(EntryRelay, UsageIsReadAndWithheld)
{
	start(EN_COMPLETION, false);
	EXPECT_EQ(relay_event("{\"id\":\"x\",\"choices\":[{\"text\":\"a\"}]}"),
		  "data: {\"id\":\"cmpl-r\",\"choices\":[{\"text\":\"a\"}]}"
		  "\n\n");
	EXPECT_EQ(relay_event(usage), "");
	EXPECT_EQ(relay.usage.prompt_tokens, 9u);
	EXPECT_EQ(relay.usage.block_tokens, 2u);
	ASSERT_EQ(relay.usage.block_count, 2u);
	EXPECT_EQ(relay.usage.blocks[0], 0xffu);
	en_relay_finish(&relay);
}

TEST_F(EntryRelay, UsageOfAContinuedStreamCountsAllTokens)
{
	start(EN_COMPLETION, true);
	relay_event("{\"id\":\"x\",\"choices\":[{\"text\":\"a\"}]}");
	en_relay_continue(&relay);
	EXPECT_EQ(relay_event("{\"id\":\"y\",\"choices\":[{\"text\":\"\"}]}"),
		  "");
	std::string out = relay_event(usage);
	EXPECT_NE(out.find("\"completion_tokens\":3"), std::string::npos);
	EXPECT_NE(out.find("\"cached_tokens\":4"), std::string::npos);
	EXPECT_EQ(out.find("block"), std::string::npos);
	en_relay_finish(&relay);
}

TEST_F(EntryRelay, TextIsKeptAndContinuabilityTracked)
{
	const struct {
		const char *event;
		const char *text;
		bool is_continuable;
		bool has_text_end;
	} cases[] = {
		{ "{\"choices\":[{\"delta\":{\"content\":\"a\"}}]}", "a", true,
		  false },
		{ "{\"choices\":[{\"delta\":{\"content\":null},"
		  "\"finish_reason\":\"stop\"}]}",
		  "", true, true },
		{ "{\"choices\":[{\"delta\":{\"tool_calls\":[]}}]}", "", false,
		  false },
		{ "{\"choices\":[{\"index\":1,\"delta\":{}}]}", "", false,
		  false },
		{ "{\"choices\":[{\"logprobs\":{},\"delta\":{}}]}", "", false,
		  false },
		{ "{\"choices\":3}", "", true, false },
	};

	for (const auto &c : cases) {
		start(EN_CHAT, false);
		relay_event(c.event);
		EXPECT_STREQ(relay.text->str, c.text) << c.event;
		EXPECT_EQ(relay.is_continuable, c.is_continuable) << c.event;
		EXPECT_EQ(relay.has_text_end, c.has_text_end) << c.event;
		en_relay_finish(&relay);
	}
}

} // namespace
