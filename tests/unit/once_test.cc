// At most once: every path of the state machine, and the row's text.
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
		{ "platform down",
		  { begin, { claim(ST_UNAVAILABLE), ON_REFUSE } } },
		{ "lost answer, row is there",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK, &own), ON_SEND } } },
		{ "lost answer, another's row",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK, &claimed), ON_UNSETTLED } } },
		{ "lost answer, no row yet, claimed again",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_CLAIM },
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &own), ON_SEND } } },
		{ "lost answer, then no answer to reading",
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
		{ "abandoned claim is another's",
		  { begin,
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_CLAIM },
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_CLAIM },
		    { claim(ST_UNKNOWN), ON_READ },
		    { read(ST_OK), ON_REFUSE_AND_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_READ },
		    { read(ST_OK, &claimed), ON_FINISHED } } },
		{ "repeat, first is answered",
		  { begin,
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &answered), ON_ANSWER_KEPT } } },
		{ "repeat, first is unsettled",
		  { begin,
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &claimed), ON_UNSETTLED } } },
		{ "key of another call",
		  { begin,
		    { claim(ST_CONFLICT), ON_READ },
		    { read(ST_OK, &reused), ON_REUSED } } },
		{ "uncertain, never sent again",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_SEND_UNCERTAIN), ON_UNCERTAIN },
		    { event(ON_NOT_SENT), ON_FINISHED } } },
		{ "not sent, tried elsewhere, released",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_NOT_SENT), ON_SEND },
		    { event(ON_NO_UPSTREAM_LEFT), ON_RELEASE },
		    { event(ON_RELEASE_ANSWERED, ST_UNKNOWN), ON_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_READ },
		    { read(ST_OK, &own), ON_RELEASE },
		    { event(ON_RELEASE_ANSWERED, ST_CONFLICT),
		      ON_FINISHED } } },
		{ "lost answer to keeping",
		  { begin,
		    { claim(ST_OK), ON_SEND },
		    { event(ON_SEND_ANSWERED), ON_KEEP },
		    { event(ON_KEEP_ANSWERED, ST_UNKNOWN), ON_WAIT },
		    { event(ON_WAIT_ELAPSED), ON_KEEP },
		    { event(ON_KEEP_ANSWERED, ST_CONFLICT), ON_FINISHED } } },
	};

	for (const auto &c : cases) {
		struct on_machine m;

		on_init(&m, "me", "h");
		for (const Step &s : c.steps)
			EXPECT_STREQ(on_action_name(on_step(&m, &s.input)),
				     on_action_name(s.action))
				<< c.name;
	}
}

// Whatever happens in whatever order, ON_SEND follows only a certain claim,
// and never a byte that may have left.
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
		struct on_machine m;
		bool may_have_left = false, is_sending = false;

		on_init(&m, "me", "h");
		on_step(&m, &begin.input);
		for (int i = 0, left = order; i < 4; i++, left /= count) {
			const struct on_input *in = &inputs[left % count];
			bool is_mine = (in->event == ON_CLAIM_ANSWERED &&
					in->code == ST_OK) ||
				       in->row == &own ||
				       in->event == ON_NOT_SENT;

			if (is_sending && (in->event == ON_SEND_ANSWERED ||
					   in->event == ON_SEND_UNCERTAIN))
				may_have_left = true;
			if (on_step(&m, in) != ON_SEND)
				continue;
			is_sending = true;
			ASSERT_TRUE(is_mine) << order;
			ASSERT_FALSE(may_have_left) << order;
		}
	}
}

TEST(OnceRow, FormatAndParseRoundTrip)
{
	struct on_row r = row("me", "h", false), back;
	const std::string body("a\0\xff", 3);
	char *text = on_row_format(&r);

	ASSERT_EQ(on_row_parse(&back, text, 5), ST_OK);
	EXPECT_STREQ(back.attempt, "me");
	EXPECT_FALSE(back.is_answered);
	EXPECT_EQ(back.revision, 5u);
	g_free(text);
	on_row_set_answer(&r, 201, "text/plain", body.data(), body.size());
	text = on_row_format(&r);
	ASSERT_EQ(on_row_parse(&back, text, 6), ST_OK);
	EXPECT_EQ(back.status, 201u);
	EXPECT_STREQ(back.content_type, "text/plain");
	EXPECT_EQ(std::string(back.body->str, back.body->len), body);
	g_free(text);
	on_row_finish(&back);
	on_row_set_answer(&r, 200, nullptr, "",
			  (uint64_t)ON_MAX_KEPT_BYTES + 1);
	EXPECT_TRUE(r.is_too_large);
	on_row_finish(&r);
	for (const char *bad : { "", "{", "[]", "{\"attempt\":1}" })
		EXPECT_EQ(on_row_parse(&back, bad, 1), ST_INVALID) << bad;
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
