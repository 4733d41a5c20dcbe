// At-most-once calls: paths of the state machine, and the format of the row.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "once/on.h"
}

namespace
{

struct on_row row(const char *attempt, const char *hash, bool is_answered)
{
	struct on_row r = {};

	g_strlcpy(r.attempt, attempt, sizeof(r.attempt));
	g_strlcpy(r.hash, hash, sizeof(r.hash));
	r.is_answered = is_answered;
	r.revision = 9;
	return r;
}

const struct on_row own = row("me", "h", false);
const struct on_row claimed = row("other", "h", false);
const struct on_row answered = row("other", "h", true);
const struct on_row reused = row("other", "g", true);

struct Step {
	struct on_input input;
	enum on_action action;
};

struct on_input claim(enum st_code code)
{
	return { ON_CLAIM_ANSWERED, code, 4, nullptr };
}

struct on_input read(enum st_code code, const struct on_row *r = nullptr)
{
	return { ON_READ_ANSWERED, code, 0, r };
}

struct on_input event(enum on_event e, enum st_code code = ST_OK)
{
	return { e, code, 0, nullptr };
}

const Step begin = { { ON_BEGIN, ST_OK, 0, nullptr }, ON_CLAIM };

TEST(Once, EveryPath)
{
	const struct {
		const char *name;
		std::vector<Step> steps;
	} cases[] = {
		{ "claimed, sent, kept",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_SEND_ANSWERED), ON_KEEP },
		    { event(ON_KEEP_ANSWERED), ON_FINISHED } } },
		{ "table service is down",
		  { begin, { claim(ST_UNAVAILABLE), ON_REFUSE } } },
		{ "claim answer lost, own row found",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK, &own), ON_SEND } } },
		{ "claim answer lost, row of another attempt found",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK, &claimed), ON_UNSETTLED } } },
		{ "claim answer lost, no row yet, claimed again",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_CLAIM },
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &own), ON_SEND } } },
		{ "claim answer lost, then reads fail",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_UNAVAILABLE), ON_READ },
		    { read(ST_UNAVAILABLE), ON_READ },
		    { read(ST_UNAVAILABLE), ON_REFUSE_AND_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_READ },
		    { read(ST_UNAVAILABLE), ON_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_READ },
		    { read(ST_OK, &own), ON_RELEASE },
		    { event(ON_RELEASE_ANSWERED), ON_FINISHED } } },
		{ "abandoned claim, row of another attempt found",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_CLAIM },
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_CLAIM },
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_REFUSE_AND_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_READ },
		    { read(ST_OK, &claimed), ON_FINISHED } } },
		{ "retry, first attempt is answered",
		  { begin,
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &answered), ON_ANSWER_KEPT } } },
		{ "retry, first attempt is unsettled",
		  { begin,
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &claimed), ON_UNSETTLED } } },
		{ "key was used for another call",
		  { begin,
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &reused), ON_REUSED } } },
		{ "uncertain outcome, never sent again",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_SEND_UNCERTAIN), ON_UNCERTAIN },
		    { event(ON_NOT_SENT), ON_FINISHED } } },
		{ "not sent, next upstream tried, released",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_NOT_SENT), ON_SEND },
		    { event(ON_NO_UPSTREAM_LEFT), ON_RELEASE },
		    { event(ON_RELEASE_ANSWERED, ST_UNKNOWN), ON_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_READ },
		    { read(ST_OK, &own), ON_RELEASE },
		    { event(ON_RELEASE_ANSWERED, ST_CONFLICT),
		      ON_FINISHED } } },
		{ "answer to storing the answer lost",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_SEND_ANSWERED), ON_KEEP },
		    { event(ON_KEEP_ANSWERED, ST_UNKNOWN), ON_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_KEEP },
		    { event(ON_KEEP_ANSWERED, ST_CONFLICT), ON_FINISHED } } },
	};

	for (const auto &c : cases) {
		struct on_machine machine;

		on_init(&machine, "me", "h");
		for (const Step &s : c.steps)
			EXPECT_STREQ(
				on_action_name(on_step(&machine, &s.input)),
				on_action_name(s.action))
				<< c.name;
	}
}

// In any order of events, ON_SEND follows only a certain claim, and never after
// a byte of the call may have been sent.
TEST(Once, NoOrderOfEventsSendsTwice)
{
	const struct on_input inputs[] = {
		claim(ST_OK),
		claim(ST_CONFLICT),
		claim(ST_UNKNOWN),
		read(ST_OK),
		read(ST_OK, &own),
		read(ST_OK, &claimed),
		read(ST_UNAVAILABLE),
		event(ON_SEND_ANSWERED),
		event(ON_SEND_UNCERTAIN),
		event(ON_NOT_SENT),
		event(ON_KEEP_ANSWERED),
		event(ON_RELEASE_ANSWERED),
		event(ON_WAIT_ELAPSED),
		event(ON_BEGIN),
	};
	const int count = sizeof(inputs) / sizeof(inputs[0]);

	for (int order = 0; order < count * count * count * count; order++) {
		struct on_machine machine;
		bool may_have_sent = false, is_sending = false;

		on_init(&machine, "me", "h");
		on_step(&machine, &begin.input);
		for (int i = 0, rest = order; i < 4; i++, rest /= count) {
			const struct on_input *in = &inputs[rest % count];
			bool is_claim_certain =
				(in->event == ON_CLAIM_ANSWERED &&
				 in->code == ST_OK) ||
				in->row == &own || in->event == ON_NOT_SENT;

			if (is_sending && (in->event == ON_SEND_ANSWERED ||
					   in->event == ON_SEND_UNCERTAIN))
				may_have_sent = true;
			if (on_step(&machine, in) != ON_SEND)
				continue;
			is_sending = true;
			ASSERT_TRUE(is_claim_certain) << order;
			ASSERT_FALSE(may_have_sent) << order;
		}
	}
}

TEST(OnceRow, FormatAndParseRoundTrip)
{
	struct on_row r = row("me", "h", false), parsed;
	const std::string body("a\0\xff", 3);
	char *text = on_row_format(&r);

	ASSERT_EQ(on_row_parse(&parsed, text, 5), ST_OK);
	EXPECT_STREQ(parsed.attempt, "me");
	EXPECT_FALSE(parsed.is_answered);
	EXPECT_EQ(parsed.revision, 5u);
	g_free(text);
	on_row_set_answer(&r, 201, "text/plain", body.data(), body.size());
	text = on_row_format(&r);
	ASSERT_EQ(on_row_parse(&parsed, text, 6), ST_OK);
	EXPECT_EQ(parsed.status, 201u);
	EXPECT_STREQ(parsed.content_type, "text/plain");
	EXPECT_EQ(std::string(parsed.body->str, parsed.body->len), body);
	g_free(text);
	on_row_finish(&parsed);
	on_row_set_answer(&r, 200, nullptr, "",
			  (uint64_t)ON_MAX_KEPT_BYTES + 1);
	EXPECT_TRUE(r.is_too_large);
	on_row_finish(&r);
	for (const char *bad : { "", "{", "[]", "{\"attempt\":1}" })
		EXPECT_EQ(on_row_parse(&parsed, bad, 1), ST_INVALID) << bad;
}

TEST(OnceRow, KeysAndHashesDistinguishCalls)
{
	char a[ON_HASH_BYTES], b[ON_HASH_BYTES];
	char *key = on_row_key("t", "s/x", "a/b c");

	EXPECT_STREQ(key, "once/t/s%2Fx/a%2Fb%20c");
	g_free(key);
	on_row_hash(a, "POST", "/fee", "x", 1);
	on_row_hash(b, "POST", "/feex", "", 0);
	EXPECT_STRNE(a, b);
	on_row_hash(b, "POST", "/fee", "x", 1);
	EXPECT_STREQ(a, b);
}

} // namespace
