// Crash records of requests: which requests are suspected, and which are
// refused.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "limits/ps_row.h"
}
#include "poison_fixture.h"

namespace
{

struct PoisonCase {
	const char *what;
	std::vector<Step> steps;
	uint64_t checked;
	enum ps_verdict verdict;
};

// Fingerprint 1 was at four crashes, and fingerprint 2 at three of them.
std::vector<Step> with_rival_at_four_crashes(const std::vector<Step> &more)
{
	std::vector<Step> steps = { { 'p', 1, 1 }, { 'p', 1, 2 }, { 'p', 1, 3 },
				    { 'p', 1, 4 }, { 'p', 2, 1 }, { 'p', 2, 2 },
				    { 'p', 2, 4 } };

	steps.insert(steps.end(), more.begin(), more.end());
	return steps;
}

const PoisonCase cases[] = {
	{ "unknown request", {}, 1, PS_RUN },
	{ "one crash is no proof",
	  { { '+', 1, 1 }, { 'x', 0, 1 } },
	  1,
	  PS_RUN },
	{ "two crashes without other requests",
	  { { '+', 1, 1 }, { 'x', 0, 1 }, { '+', 1, 2 }, { 'x', 0, 2 } },
	  1,
	  PS_REFUSE },
	{ "the connection broke before the crash was reported",
	  { { '+', 1, 1 },
	    { '!', 1, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '!', 1, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_REFUSE },
	{ "two broken connections are held until a crash is known",
	  { { '+', 1, 1 }, { '!', 1, 1 }, { '+', 1, 2 }, { '!', 1, 2 } },
	  1,
	  PS_HOLD },
	{ "broken connections without a reported crash expire",
	  { { '+', 1, 1 },
	    { '!', 1, 1 },
	    { '+', 1, 2 },
	    { '!', 1, 2 },
	    { 'w', 0, 8 } },
	  1,
	  PS_RUN },
	{ "the attempt had ended when the engine crashed",
	  { { '+', 1, 1 },
	    { '-', 1, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '/', 1, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_RUN },
	{ "the request ran on other engines than those that crashed",
	  { { '+', 1, 3 }, { 'x', 0, 1 }, { 'x', 0, 2 } },
	  1,
	  PS_RUN },
	{ "a crash reported twice counts once",
	  { { '+', 1, 1 }, { 'x', 0, 1 }, { 'p', 1, 1 }, { 'p', 1, 1 } },
	  1,
	  PS_RUN },
	{ "a request present at one of two crashes",
	  { { '+', 1, 1 },
	    { '+', 2, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { 'x', 0, 2 } },
	  2,
	  PS_RUN },
	{ "the only request present at both crashes is refused",
	  { { '+', 1, 1 },
	    { '+', 2, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '+', 3, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_REFUSE },
	{ "two requests at both crashes are isolated",
	  { { '+', 1, 1 },
	    { '+', 2, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '+', 2, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_ISOLATE },
	{ "isolated, then crashes a third engine",
	  { { '+', 1, 1 },
	    { '+', 2, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '+', 2, 2 },
	    { 'x', 0, 2 },
	    { '+', 1, 3 },
	    { 'x', 0, 3 } },
	  1,
	  PS_REFUSE },
	{ "a rival with more crashes: held for a pause",
	  with_rival_at_four_crashes({}), 2, PS_HOLD },
	{ "a rival with more crashes: isolated after the pause",
	  with_rival_at_four_crashes({ { 'w', 0, 2 } }), 2, PS_ISOLATE },
	{ "a rival with more crashes, broken at an engine that seems alive",
	  with_rival_at_four_crashes({ { 'w', 0, 2 },
				       { '+', 2, 5 },
				       { '!', 2, 5 },
				       { 'l', 0, 5 } }),
	  2, PS_HOLD },
	{ "the rival with more crashes is refused",
	  with_rival_at_four_crashes({ { 'w', 0, 2 } }), 1, PS_REFUSE },
	{ "a rival with more crashes than its record holds",
	  { { 'p', 1, 1 },
	    { 'p', 1, 2 },
	    { 'p', 1, 3 },
	    { 'p', 1, 4 },
	    { 'p', 1, 5 },
	    { 'p', 1, 6 },
	    { 'p', 1, 7 },
	    { 'p', 1, 8 },
	    { 'p', 1, 9 },
	    { 'p', 2, 8 },
	    { 'p', 2, 9 },
	    { 'w', 0, 2 } },
	  2,
	  PS_ISOLATE },
	{ "completed shortly before two crashes",
	  { { 'c', 1, 0 }, { 'p', 1, 1 }, { 'p', 1, 2 } },
	  1,
	  PS_ISOLATE },
	{ "completed shortly before seven crashes: isolated after a short pause",
	  { { 'c', 1, 0 },
	    { 'p', 1, 1 },
	    { 'p', 1, 2 },
	    { 'p', 1, 3 },
	    { 'p', 1, 4 },
	    { 'p', 1, 5 },
	    { 'p', 1, 6 },
	    { 'p', 1, 7 },
	    { 'w', 0, 2 } },
	  1,
	  PS_ISOLATE },
	{ "completed long before the crashes",
	  { { 'c', 1, 0 }, { 'w', 0, 61 }, { 'p', 1, 1 }, { 'p', 1, 2 } },
	  1,
	  PS_REFUSE },
	{ "completed shortly before, but its crash record is full",
	  { { 'c', 1, 0 },
	    { 'p', 1, 1 },
	    { 'p', 1, 2 },
	    { 'p', 1, 3 },
	    { 'p', 1, 4 },
	    { 'p', 1, 5 },
	    { 'p', 1, 6 },
	    { 'p', 1, 7 },
	    { 'p', 1, 8 } },
	  1,
	  PS_REFUSE },
	{ "isolated, then completes",
	  { { '+', 1, 1 },
	    { '+', 2, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '+', 2, 2 },
	    { 'x', 0, 2 },
	    { '+', 2, 3 },
	    { '-', 2, 3 } },
	  2,
	  PS_RUN },
	{ "a rival that completes leaves the other as the cause",
	  { { '+', 1, 1 },
	    { '+', 2, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '+', 2, 2 },
	    { 'x', 0, 2 },
	    { '+', 2, 3 },
	    { '-', 2, 3 } },
	  1,
	  PS_REFUSE },
	{ "completed elsewhere before the crash was reported",
	  { { '+', 1, 1 },
	    { '!', 1, 1 },
	    { '+', 1, 2 },
	    { '-', 1, 2 },
	    { 'x', 0, 1 },
	    { '+', 1, 3 },
	    { 'x', 0, 3 } },
	  1,
	  PS_RUN },
	{ "both crashes reported by peers",
	  { { 'p', 1, 1 }, { 'p', 1, 2 } },
	  1,
	  PS_REFUSE },
	{ "one of two crashes reported by a peer",
	  { { '+', 1, 1 }, { 'x', 0, 1 }, { 'p', 1, 2 } },
	  1,
	  PS_REFUSE },
	{ "a peer reports that it completed",
	  { { 'p', 1, 1 }, { 'w', 0, 1 }, { 'c', 1, 0 }, { 'p', 1, 2 } },
	  1,
	  PS_RUN },
	{ "a late report of a crash from before the clearing",
	  { { 'p', 1, 1 },
	    { 'w', 0, 9 },
	    { 'c', 1, 0 },
	    { 'o', 1, 2 },
	    { 'p', 1, 3 } },
	  1,
	  PS_RUN },
	{ "a suspect runs one attempt at a time",
	  { { '+', 1, 1 }, { 'x', 0, 1 }, { '+', 1, 2 } },
	  1,
	  PS_HOLD },
	{ "two connections broke at engines that are alive",
	  { { '+', 1, 1 },
	    { '!', 1, 1 },
	    { 'l', 0, 1 },
	    { '+', 1, 2 },
	    { '!', 1, 2 },
	    { 'l', 0, 2 } },
	  1,
	  PS_RUN },
	{ "the next incarnation accepted the connection",
	  { { '+', 1, 1 },
	    { '!', 1, 1 },
	    { 'l', 0, 1 },
	    { 'x', 0, 1 },
	    { 'p', 1, 2 } },
	  1,
	  PS_REFUSE },
	{ "abandoned at two silent engines that had crashed",
	  { { '+', 1, 1 },
	    { '<', 1, 1 },
	    { 'w', 0, 4 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '<', 1, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_REFUSE },
	{ "abandoned at two silent engines that were only busy",
	  { { '+', 1, 1 }, { '<', 1, 1 }, { '+', 1, 2 }, { '<', 1, 2 } },
	  1,
	  PS_RUN },
	{ "abandoned at an engine that crashed long after",
	  { { '+', 1, 1 }, { '<', 1, 1 }, { 'w', 0, 9 }, { 'x', 0, 1 } },
	  1,
	  PS_RUN },
	{ "completed here after the crashes that peers report",
	  { { '+', 1, 3 }, { '-', 1, 3 }, { 'o', 1, 1 }, { 'o', 1, 2 } },
	  1,
	  PS_RUN },
	{ "sent to engines after another request had broken there",
	  { { '+', 2, 1 },
	    { '!', 2, 1 },
	    { '+', 1, 1 },
	    { '!', 1, 1 },
	    { 'x', 0, 1 },
	    { '+', 3, 2 },
	    { '!', 3, 2 },
	    { '+', 1, 2 },
	    { '!', 1, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_RUN },
	{ "the request that broke first is charged",
	  { { '+', 2, 1 },
	    { '!', 2, 1 },
	    { '+', 1, 1 },
	    { 'x', 0, 1 },
	    { '+', 2, 2 },
	    { '!', 2, 2 },
	    { '+', 3, 2 },
	    { 'x', 0, 2 } },
	  2,
	  PS_REFUSE },
	{ "the engine answered between the break and the request",
	  { { '+', 2, 1 },
	    { '!', 2, 1 },
	    { 'a', 0, 1 },
	    { '+', 1, 1 },
	    { '!', 1, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '!', 1, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_REFUSE },
	{ "the engine answered while the request ran there",
	  { { '+', 2, 1 },
	    { '!', 2, 1 },
	    { '+', 1, 1 },
	    { 'a', 0, 1 },
	    { 'x', 0, 1 },
	    { '+', 1, 2 },
	    { '!', 1, 2 },
	    { 'x', 0, 2 } },
	  1,
	  PS_REFUSE },
	{ "crash records expire",
	  { { 'p', 1, 1 }, { 'p', 1, 2 }, { 'w', 0, 1801 } },
	  1,
	  PS_RUN },
};

TEST(Poison, VerdictFollowsCrashesDuringAttempts)
{
	for (const PoisonCase &c : cases) {
		struct ps_table table;
		int64_t at = now;

		ps_init(&table);
		run(&table, c.steps, &at);
		EXPECT_EQ(ps_check(&table, c.checked, at).verdict, c.verdict)
			<< c.what;
		ps_finish(&table);
	}
}

// Two hosts learnt of the same crashes, more than a record holds, at times and
// in orders of their own, and send each other what they have.
TEST(Poison, FullRecordsAreNotSentBackAndForth)
{
	struct ps_table tables[2];
	struct ps_suspect s;

	for (struct ps_table &table : tables)
		ps_init(&table);
	for (uint64_t i = 0; i < 12; i++) {
		ps_peer_report(&tables[0], 7, 1 + i, 1, 0, now + 100 * i);
		ps_peer_report(&tables[1], 7, 12 - i, 1, 0, now + 100 * i);
	}
	for (int round = 0; round < 10; round++) {
		bool is_news = false;
		int64_t at = now + 1200 + 40 * round;

		ASSERT_TRUE(ps_find(&tables[round % 2], 7, &s));
		for (uint32_t i = 0; i < s.count; i++)
			is_news |= ps_peer_report(
				&tables[(round + 1) % 2], 7,
				s.crashes[i].engine, s.crashes[i].incarnation,
				at - s.crashes[i].at_ms, at + 20);
		EXPECT_FALSE(is_news && round >= 2) << round;
	}
	for (struct ps_table &table : tables)
		ps_finish(&table);
}

TEST(Poison, FingerprintsOfPartsAndContentsDiffer)
{
	struct ps_call call = { "POST", "/x", "team", "body", 4 };

	EXPECT_TRUE(ps_is_part(ps_part_fingerprint("m", 7)));
	EXPECT_FALSE(ps_is_part(ps_call_fingerprint(&call)));
	EXPECT_EQ(ps_part_fingerprint("m", 7), ps_part_fingerprint("m", 7));
	EXPECT_NE(ps_part_fingerprint("m", 7), ps_part_fingerprint("m", 8));
	EXPECT_NE(ps_part_fingerprint("m", 7), ps_part_fingerprint("n", 7));
}

TEST(Poison, EnginesOfRivalsAreAvoided)
{
	struct ps_table table;
	int64_t at = now;
	uint64_t engines[4];

	ps_init(&table);
	run(&table,
	    { { '+', 1, 1 },
	      { '+', 2, 1 },
	      { 'x', 0, 1 },
	      { '+', 1, 2 },
	      { '+', 2, 2 },
	      { 'x', 0, 2 },
	      { '+', 9, 4 },
	      { '+', 2, 3 } },
	    &at);
	ASSERT_EQ(ps_rival_engines(&table, 1, engines, 4), 1u);
	EXPECT_EQ(engines[0], 3u);
	ps_finish(&table);
}

TEST(Poison, EachIncarnationIsASeparateCrash)
{
	struct ps_table table;
	uint64_t fingerprints[4];

	ps_init(&table);
	for (uint64_t incarnation = 1; incarnation <= 2; incarnation++) {
		ps_started(&table, 5, 1, incarnation, now);
		EXPECT_EQ(ps_crashed(&table, 1, 99, fingerprints, 4, now), 0u);
		ASSERT_EQ(ps_crashed(&table, 1, incarnation, fingerprints, 4,
				     now),
			  1u);
		EXPECT_EQ(fingerprints[0], 5u);
	}
	EXPECT_EQ(ps_check(&table, 5, now).verdict, PS_REFUSE);
	ps_finish(&table);
}

// Two hosts find the same crashes of an engine whose entry they cannot read.
TEST(Poison, InferredIncarnationsOfTwoHostsAreTheSameCrash)
{
	static const struct {
		const char *what;
		uint64_t first, second;
		int64_t apart_ms;
		uint32_t crashes;
	} cases[] = {
		{ "both inferred", 11, 12, 100, 1 },
		{ "both inferred, another crash", 11, 12, 700, 2 },
		{ "inferred by one host", 11, 3, -100, 1 },
		{ "the next crash is found by the entry", 11, 3, 900, 2 },
		{ "the same one, told late", 11, 11, 5000, 1 },
	};

	for (const auto &c : cases) {
		struct ps_table table;
		uint64_t second =
			c.second > 10 ? c.second | PS_INFERRED_BIT : c.second;

		ps_init(&table);
		ps_peer_report(&table, 5, 1, c.first | PS_INFERRED_BIT, 0, now);
		ps_peer_report(&table, 5, 1, second, 0, now + c.apart_ms);
		EXPECT_EQ(ps_crash_count(&table, 5), c.crashes) << c.what;
		ps_finish(&table);
	}
}

// Many suspects with one crash must not evict a proven one.
TEST(Poison, TableIsBoundedAndKeepsProvenSuspects)
{
	struct ps_table table;

	ps_init(&table);
	ps_peer_report(&table, 7, 1, 1, 0, now);
	ps_peer_report(&table, 7, 2, 1, 0, now);
	for (uint64_t i = 0; i < PS_MAX_SUSPECTS + 100; i++)
		ps_peer_report(&table, 1000 + i, 3, i, 0, now + (int64_t)i);
	EXPECT_LE(g_hash_table_size(table._suspects), (guint)PS_MAX_SUSPECTS);
	EXPECT_EQ(ps_check(&table, 7, now).verdict, PS_REFUSE);
	ps_expire(&table, now + 2 * PS_EXPIRE_MS + 10000);
	EXPECT_EQ(g_hash_table_size(table._suspects), 0u);
	ps_finish(&table);
}

// A wrongly refused request is not cleared by completing, since all its
// attempts are refused, so it has to be probed.
TEST(Poison, RefusedRequestIsProbedWithGrowingPauses)
{
	struct ps_table table;
	int64_t at = now;
	uint32_t probes = 0;
	std::vector<int64_t> tried_at;

	ps_init(&table);
	ps_peer_report(&table, 5, 1, 1, 0, at);
	EXPECT_FALSE(ps_start_probe(&table, 6, at + PS_EXPIRE_MS));
	ps_peer_report(&table, 5, 2, 1, 0, at);
	for (; at < now + PS_EXPIRE_MS; at += 1000) {
		if (!ps_start_probe(&table, 5, at))
			continue;
		probes++;
		tried_at.push_back(at - now);
		ps_started(&table, 5, 10 + probes, 1, at);
		EXPECT_FALSE(ps_start_probe(&table, 5, at + PS_EXPIRE_MS / 2));
		ps_ended(&table, 5, 10 + probes, 1, PS_BROKEN, at);
		ps_peer_report(&table, 5, 10 + probes, 1, 0, at);
	}
	EXPECT_EQ(probes, (uint32_t)PS_MAX_PROBES);
	EXPECT_GE(tried_at[0], PS_PROBE_MS);
	EXPECT_GE(tried_at[1] - tried_at[0], PS_PROBE_MS * PS_PROBE_GROWTH);
	/* A host that received the number of probes does not start over. */
	ps_finish(&table);
	ps_init(&table);
	ps_peer_report(&table, 5, 1, 1, 0, now);
	ps_peer_report(&table, 5, 2, 1, 0, now);
	ps_peer_probes(&table, 5, PS_MAX_PROBES);
	EXPECT_FALSE(ps_start_probe(&table, 5, now + PS_EXPIRE_MS / 2));
	ps_finish(&table);
}

// A host without any records reads the row that another host wrote to the
// store.
// A host that missed the message which cleared a suspect finds it by the time
// since an owner last reported it.
TEST(Poison, ConfirmationFollowsCrashesAndReports)
{
	struct ps_table table;
	struct ps_suspect s;

	ps_init(&table);
	ps_peer_report(&table, 1, 1, 1, 0, now);
	ps_peer_report(&table, 1, 2, 1, 100, now + 500);
	ASSERT_TRUE(ps_find(&table, 1, &s));
	EXPECT_EQ(s.confirmed_ms, now + 400);
	ps_confirm(&table, 1, now + 2000);
	ps_confirm(&table, 1, now + 1000);
	ps_confirm(&table, 7, now + 1000);
	ASSERT_TRUE(ps_find(&table, 1, &s));
	EXPECT_EQ(s.confirmed_ms, now + 2000);
	EXPECT_FALSE(ps_find(&table, 7, &s));
	ps_finish(&table);
}

// A host that starts knows as much as the one that wrote the row.
TEST(Poison, RowHoldsSuspects)
{
	static const struct {
		const char *what;
		std::vector<Step> steps;
		uint64_t checked;
		enum ps_verdict verdict;
	} rows[] = {
		{ "proven", { { 'p', 1, 1 }, { 'p', 1, 2 } }, 1, PS_REFUSE },
		{ "one crash", { { 'p', 1, 1 } }, 1, PS_RUN },
		{ "rivals",
		  { { 'p', 1, 1 },
		    { 'p', 1, 2 },
		    { 'p', 2, 1 },
		    { 'p', 2, 2 } },
		  1,
		  PS_ISOLATE },
		{ "expired",
		  { { 'p', 1, 1 }, { 'p', 1, 2 }, { 'w', 0, 1801 } },
		  1,
		  PS_RUN },
		{ "cleared",
		  { { 'p', 1, 1 }, { 'p', 1, 2 }, { 'c', 1, 0 } },
		  1,
		  PS_RUN },
	};
	const int64_t store_ahead_ms = 77777;

	for (const auto &c : rows) {
		struct ps_table writer, reader;
		int64_t at = now;
		char *text;

		ps_init(&writer);
		ps_init(&reader);
		run(&writer, c.steps, &at);
		text = ps_row_format(&writer, at, at + store_ahead_ms);
		EXPECT_TRUE(ps_row_is_current(&writer, text, at)) << c.what;
		ps_row_read(&reader, text, now, now + store_ahead_ms);
		EXPECT_EQ(ps_check(&reader, c.checked, now).verdict, c.verdict)
			<< c.what;
		EXPECT_EQ(ps_row_is_current(&reader, nullptr, now),
			  c.verdict != PS_REFUSE)
			<< c.what;
		g_free(text);
		ps_finish(&writer);
		ps_finish(&reader);
	}
}

TEST(Poison, UnreadableRowIsIgnored)
{
	struct ps_table table;

	for (const char *text :
	     { "", "\n\n", "zz 1 2 3\n", "0000000000000001 5 7\n",
	       "0000000000000001 5 7 8\n" }) {
		ps_init(&table);
		ps_row_read(&table, text, now, now);
		EXPECT_EQ(g_hash_table_size(table._suspects), 0u) << text;
		ps_finish(&table);
	}
}

TEST(Poison, CallFingerprintCoversMethodTargetCallerAndBody)
{
	static const struct {
		const char *what;
		struct ps_call call;
		bool is_same;
	} calls[] = {
		{ "sent again", { "POST", "/a?b", "t1", "body", 4 }, true },
		{ "method", { "PUT", "/a?b", "t1", "body", 4 }, false },
		{ "query", { "POST", "/a?c", "t1", "body", 4 }, false },
		{ "caller", { "POST", "/a?b", "t2", "body", 4 }, false },
		{ "body", { "POST", "/a?b", "t1", "bodz", 4 }, false },
		{ "boundary between query and caller",
		  { "POST", "/a?bt", "1", "body", 4 },
		  false },
	};
	uint64_t first = ps_call_fingerprint(&calls[0].call);

	for (const auto &c : calls)
		EXPECT_EQ(ps_call_fingerprint(&c.call) == first, c.is_same)
			<< c.what;
}

TEST(Poison, FingerprintCoversSaltContentAndParameters)
{
	struct {
		const char *what;
		uint64_t salt;
		char last, first;
		const char *params;
		bool is_same;
	} contents[] = {
		{ "sent again", 1, 'a', 'a', "{\"max_tokens\":5}", true },
		{ "another tail", 1, 'b', 'a', "{\"max_tokens\":5}", false },
		{ "another start", 1, 'a', 'b', "{\"max_tokens\":5}", false },
		{ "other parameters", 1, 'a', 'a', "{}", false },
		{ "another team or weights", 2, 'a', 'a', "{\"max_tokens\":5}",
		  false },
	};

	for (size_t bytes : { 3 * PX_CHUNK_BYTES + 100, 100 }) {
		uint64_t first = 0;

		for (auto &c : contents) {
			struct px_chain chain;
			std::string t(bytes, 'a');

			t.back() = c.last;
			t.front() = c.first;
			px_chain_make(&chain, c.salt, t.data(), t.size());
			uint64_t tail = (uint64_t)chain.count * PX_CHUNK_BYTES;
			uint64_t fingerprint = ps_fingerprint(
				c.salt, &chain, t.data() + tail,
				t.size() - tail, c.params, strlen(c.params));
			first = first ? first : fingerprint;
			EXPECT_EQ(fingerprint == first, c.is_same)
				<< c.what << ", " << bytes;
		}
	}
}

} // namespace
