// Urgency inferred from the request and from the history of its callers.
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
	int disconnects, long_waits, short_waits;
	int64_t elapsed_ms;
	enum cm_urgency expected;
};

const UrgencyCase cases[] = {
	{ "the route sets the urgency", CM_DEFERRABLE, true, 0, 20, 0, 0, 0,
	  CM_DEFERRABLE },
	{ "a stream", CM_AUTO, true, 400, 0, 0, 0, 0, CM_URGENT },
	{ "an answer of one token", CM_AUTO, false, 1, 0, 0, 0, 0,
	  CM_DEFERRABLE },
	{ "a long answer", CM_AUTO, false, 400, 0, 0, 0, 0, CM_NORMAL },
	{ "no hints", CM_AUTO, false, 0, 0, 0, 0, 0, CM_NORMAL },
	{ "streams whose callers sit through long waits", CM_AUTO, true, 400, 0,
	  30, 5, 0, CM_NORMAL },
	{ "long answers whose callers disconnect", CM_AUTO, false, 400, 30, 0,
	  10, 0, CM_URGENT },
	{ "a single disconnect is not enough evidence", CM_AUTO, false, 1, 1, 0,
	  0, 0, CM_DEFERRABLE },
	{ "short answers whose callers disconnect", CM_AUTO, false, 1, 30, 0,
	  10, 0, CM_NORMAL },
	{ "the history decays", CM_AUTO, false, 400, 30, 0, 10, 24 * 3600000,
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
		for (int i = 0; i < c.disconnects; i++)
			ug_record(&table, request.history_key, UG_DISCONNECTED,
				  3000, now);
		for (int i = 0; i < c.long_waits; i++)
			ug_record(&table, request.history_key, UG_ANSWERED,
				  12000, now);
		for (int i = 0; i < c.short_waits; i++)
			ug_record(&table, request.history_key, UG_ANSWERED, 300,
				  now);
		EXPECT_EQ(ug_infer(&table, c.configured, &request,
				   now + c.elapsed_ms),
			  c.expected)
			<< c.what;
		request.history_key = ug_history_key("other", "letters");
		request.is_stream = false;
		request.max_tokens = 400;
		EXPECT_EQ(ug_infer(&table, CM_AUTO, &request, now), CM_NORMAL)
			<< c.what << ": another team";
		ug_finish(&table);
	}
}

// Many teams with one request each must not evict the history of an active one.
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
