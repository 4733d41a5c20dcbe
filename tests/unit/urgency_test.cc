// Urgency: inferred from the request and from what its callers did before.
#include <gtest/gtest.h>

extern "C" {
#include "prefix/px.h"
#include "routing/ug.h"
}

namespace
{

const int64_t now = 1000000;

struct UrgencyCase {
	const char *what;
	enum cm_urgency configured;
	bool is_stream;
	uint32_t max_tokens;
	int hang_ups, patient, plain;
	int64_t later_ms;
	enum cm_urgency urgency;
};

const UrgencyCase cases[] = {
	{ "configuration wins", CM_DEFERRABLE, true, 0, 20, 0, 0, 0,
	  CM_DEFERRABLE },
	{ "a watched stream", CM_AUTO, true, 400, 0, 0, 0, 0, CM_URGENT },
	{ "a grade of one token", CM_AUTO, false, 1, 0, 0, 0, 0,
	  CM_DEFERRABLE },
	{ "a letter body", CM_AUTO, false, 400, 0, 0, 0, 0, CM_NORMAL },
	{ "nothing stated", CM_AUTO, false, 0, 0, 0, 0, 0, CM_NORMAL },
	{ "streams that nobody waits for", CM_AUTO, true, 400, 0, 30, 5, 0,
	  CM_NORMAL },
	{ "letters whose callers hang up", CM_AUTO, false, 400, 30, 0, 10, 0,
	  CM_URGENT },
	{ "one hang-up proves nothing", CM_AUTO, false, 1, 1, 0, 0, 0,
	  CM_DEFERRABLE },
	{ "grades whose callers hang up", CM_AUTO, false, 1, 30, 0, 10, 0,
	  CM_NORMAL },
	{ "the past fades", CM_AUTO, false, 400, 30, 0, 10, 24 * 3600000,
	  CM_NORMAL },
};

TEST(Urgency, IsInferredFromRequestAndHistory)
{
	for (const UrgencyCase &c : cases) {
		struct ug_table table;
		struct ug_request request = {};

		ug_init(&table);
		request.history_key = ug_history_key("team", "letters");
		request.is_stream = c.is_stream;
		request.max_tokens = c.max_tokens;
		for (int i = 0; i < c.hang_ups; i++)
			ug_record(&table, request.history_key, UG_DISCONNECTED,
				  3000, now);
		for (int i = 0; i < c.patient; i++)
			ug_record(&table, request.history_key, UG_ANSWERED,
				  12000, now);
		for (int i = 0; i < c.plain; i++)
			ug_record(&table, request.history_key, UG_ANSWERED, 300,
				  now);
		EXPECT_EQ(ug_infer(&table, c.configured, &request,
				   now + c.later_ms),
			  c.urgency)
			<< c.what;
		request.history_key = ug_history_key("other", "letters");
		request.is_stream = false;
		request.max_tokens = 400;
		EXPECT_EQ(ug_infer(&table, CM_AUTO, &request, now), CM_NORMAL)
			<< c.what << ": another team";
		ug_finish(&table);
	}
}

// Many teams with one request each must not push out one that is active.
TEST(Urgency, TableIsBoundedAndKeepsActiveEntries)
{
	struct ug_table table;
	struct ug_request request = {};

	ug_init(&table);
	request.history_key = ug_history_key("active", "letters");
	for (int i = 0; i < 100000; i++) {
		ug_record(&table, px_rank(1, (uint64_t)i), UG_ANSWERED, 100,
			  now + i);
		if (i % 100 == 0)
			ug_record(&table, request.history_key, UG_DISCONNECTED,
				  1000, now + i);
	}
	EXPECT_EQ(ug_infer(&table, CM_AUTO, &request, now + 100000), CM_URGENT);
	ug_finish(&table);
}

TEST(Urgency, EnginesServeLowerPrioritiesFirst)
{
	EXPECT_LT(ug_priority(CM_URGENT), ug_priority(CM_NORMAL));
	EXPECT_LT(ug_priority(CM_NORMAL), ug_priority(CM_DEFERRABLE));
	EXPECT_EQ(ug_priority(CM_AUTO), ug_priority(CM_NORMAL));
}

} // namespace
