// The prefix index as plain state: which keys of a chain an engine holds,
// after events, records, gaps, restarts and snapshots in any order.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "index/ix.h"
#include "index/ix_blocks.h"
#include "index/ix_map.h"
}

namespace
{

using Ids = std::vector<uint64_t>;

const uint64_t E = 77;
const int64_t T0 = 1000000;

// Keys of a prompt that shares its first @shared pieces with all others.
Ids Keys(uint32_t shared, uint32_t count, uint64_t own)
{
	Ids keys;

	for (uint32_t i = 0; i < count; i++)
		keys.push_back(i < shared ? 100 + i : own * 1000 + i);
	return keys;
}

class Index : public testing::Test
{
      protected:
	struct ix_index ix;
	int64_t now = T0;
	uint64_t inc = 1;
	uint64_t seq = 0;

	void SetUp() override
	{
		Init(0);
	}

	void Init(uint32_t max_blocks, uint32_t max_requests = 0)
	{
		struct ix_desc desc = { max_blocks, max_requests };

		ix_init(&ix, &desc, T0);
		ASSERT_EQ(ix_own(&ix, E, now), ST_OK);
		ix_connected(&ix, E, true, now);
	}

	void TearDown() override
	{
		ix_finish(&ix);
	}

	ix_effect Event(ix_event_kind kind, const Ids &blocks = {})
	{
		return EventAt(++seq, kind, blocks);
	}

	ix_effect EventAt(uint64_t sequence, ix_event_kind kind,
			  const Ids &blocks = {})
	{
		struct ix_event e = {};

		e.incarnation = inc;
		e.sequence = sequence;
		e.kind = kind;
		e.blocks = blocks.data();
		e.block_count = (uint32_t)blocks.size();
		return ix_event(&ix, E, &e, now);
	}

	ix_effect Load(uint32_t age_ms, uint32_t waiting_tokens = 0,
		       bool leaving = false)
	{
		struct ix_event e = {};

		e.incarnation = inc;
		e.sequence = ++seq;
		e.kind = IX_LOAD;
		e.load.age_ms = age_ms;
		e.load.waiting_tokens = waiting_tokens;
		e.load.running = 3;
		e.load.prefill_tokens_per_s = 9000;
		e.load.is_leaving = leaving;
		return ix_event(&ix, E, &e, now);
	}

	// Four bytes a token: a block of 2,000 tokens ends at byte 8,000, so
	// that blocks complete 1, 3, 5, 7, 9, 11 keys.
	st_code Record(ix_phase phase, uint64_t request, const Ids &keys,
		       const Ids &blocks = {}, uint32_t new_tokens = 0)
	{
		struct ix_record r = {};

		r.engine = E;
		r.incarnation = inc;
		r.request = request;
		r.phase = phase;
		r.new_tokens = new_tokens;
		r.block_tokens = 2000;
		r.prompt_tokens = (uint32_t)blocks.size() * 2000 + 1000;
		r.prompt_bytes = r.prompt_tokens * 4;
		r.keys = keys.data();
		r.key_count = (uint32_t)keys.size();
		r.blocks = blocks.data();
		r.block_count = (uint32_t)blocks.size();
		return ix_record(&ix, &r, now);
	}

	struct ix_answer Look(const Ids &keys)
	{
		struct ix_answer a;

		EXPECT_EQ(ix_lookup(&ix, E, keys.data(), (uint32_t)keys.size(),
				    now, &a),
			  ST_OK);
		return a;
	}

	uint32_t Held(const Ids &keys)
	{
		return Look(keys).held;
	}

	uint32_t Pending(const Ids &keys)
	{
		return Look(keys).pending;
	}

	struct ix_stats Stats()
	{
		struct ix_stats s;

		ix_stats(&ix, E, &s);
		return s;
	}

	st_code Snapshot(uint64_t sequence, const Ids &blocks)
	{
		return ix_snapshot_end(&ix, E, inc, sequence, blocks.data(),
				       (uint32_t)blocks.size(), now);
	}
};

TEST_F(Index, NestedPrefixes)
{
	const Ids a = Keys(5, 9, 1), b = Keys(5, 9, 2), c = Keys(3, 9, 3);

	// Blocks 1 to 3 are shared by a and b, of which c shares 1 and 2.
	Event(IX_STORED, { 1, 2, 3, 4, 5, 6, 7, 8 });
	Record(IX_ENDED, 1, a, { 1, 2, 3, 4, 5 });
	Record(IX_ENDED, 2, b, { 1, 2, 3, 6, 7 });
	Record(IX_ENDED, 3, c, { 1, 2, 8 });
	struct {
		const char *what;
		Ids removed;
		uint32_t a, b, c;
	} cases[] = {
		{ "all there", {}, 9, 9, 5 },
		{ "the end of one", { 5 }, 7, 9, 5 },
		{ "its middle, too", { 4 }, 5, 9, 5 },
		{ "what a and b share", { 3 }, 3, 3, 5 },
		{ "the root", { 1 }, 0, 0, 0 },
	};
	now += 2 * IX_UNCONFIRMED_MS;
	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		if (!k.removed.empty()) {
			Event(IX_REMOVED, k.removed);
		}
		EXPECT_EQ(Held(a), k.a);
		EXPECT_EQ(Held(b), k.b);
		EXPECT_EQ(Held(c), k.c);
		EXPECT_EQ(Pending(a), k.a);
	}
	EXPECT_EQ(Held(Keys(0, 9, 4)), 0u) << "another chain";
}

TEST_F(Index, EventsAndRecordsInEitherOrder)
{
	const Ids keys = Keys(0, 5, 1), blocks = { 1, 2, 3 };

	Record(IX_ENDED, 1, keys, blocks);
	EXPECT_EQ(Held(keys), 0u) << "no event yet";
	EXPECT_EQ(Pending(keys), 5u) << "but the engine has named them";
	Event(IX_STORED, { 1 });
	EXPECT_EQ(Held(keys), 1u);
	Event(IX_STORED, { 2, 3 });
	EXPECT_EQ(Held(keys), 5u);
	Event(IX_CLEARED);
	EXPECT_EQ(Pending(keys), 0u);
	Event(IX_STORED, blocks);
	EXPECT_EQ(Held(keys), 0u) << "nobody named them since";
	Record(IX_PREFILLED, 2, keys, blocks);
	EXPECT_EQ(Held(keys), 5u);
}

TEST_F(Index, UnconfirmedNamesExpire)
{
	const Ids keys = Keys(0, 3, 1);

	Record(IX_ENDED, 1, keys, { 1, 2 });
	now += IX_UNCONFIRMED_MS;
	EXPECT_EQ(Pending(keys), 3u);
	now += IX_TICK_MS;
	EXPECT_EQ(Pending(keys), 0u);
	ix_tick(&ix, now);
	EXPECT_EQ(Stats().blocks, 0u);
}

TEST_F(Index, LateRemovalOfABlockComputedAgain)
{
	const Ids keys = Keys(0, 3, 1);

	Event(IX_STORED, { 1, 2 });
	Record(IX_ENDED, 1, keys, { 1, 2 });
	now += 60000;
	// Evicted and computed again; the record overtakes both events.
	Record(IX_ENDED, 2, keys, { 1, 2 });
	Event(IX_REMOVED, { 1, 2 });
	EXPECT_EQ(Held(keys), 0u);
	EXPECT_EQ(Pending(keys), 3u);
	Event(IX_STORED, { 1, 2 });
	EXPECT_EQ(Held(keys), 3u);
	now += 60000;
	Event(IX_REMOVED, { 1, 2 });
	Event(IX_STORED, { 1, 2 });
	EXPECT_EQ(Held(keys), 0u) << "the names went with the removal";
}

TEST_F(Index, RestartDropsEverythingAtOnce)
{
	const Ids keys = Keys(0, 3, 1);
	struct {
		const char *what;
		std::function<void()> heard;
	} cases[] = {
		{ "by event", [&] { EXPECT_EQ(Load(0), IX_RESTARTED); } },
		{ "by record", [&] { Record(IX_SENT, 9, {}); } },
		{ "by snapshot",
		  [&] {
			  ix_snapshot_begin(&ix, E);
			  EXPECT_EQ(Snapshot(0, {}), ST_OK);
		  } },
	};

	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		Event(IX_STORED, { 1, 2 });
		Record(IX_ENDED, 1, keys, { 1, 2 });
		Record(IX_SENT, 2, Keys(0, 5, 2), {}, 700);
		ASSERT_EQ(Held(keys), 3u);
		inc++;
		seq = 0;
		k.heard();
		EXPECT_EQ(Held(keys), 0u);
		EXPECT_EQ(Pending(keys), 0u);
		EXPECT_EQ(Pending(Keys(0, 5, 2)), 0u);
		EXPECT_EQ(Look(keys).sent_tokens, 0u);
		EXPECT_EQ(Look(keys).incarnation, inc);
		// News of the old run changes nothing.
		inc--;
		EXPECT_EQ(EventAt(50, IX_STORED, { 1, 2 }), IX_IGNORED);
		EXPECT_EQ(Record(IX_ENDED, 3, keys, { 1, 2 }), ST_STALE);
		ix_snapshot_begin(&ix, E);
		EXPECT_EQ(Snapshot(60, { 1, 2 }), ST_STALE);
		EXPECT_EQ(Pending(keys), 0u);
		inc++;
	}
}

TEST_F(Index, GapLowersConfidenceUntilResync)
{
	const Ids keys = Keys(0, 3, 1);

	EXPECT_EQ(Event(IX_STORED, { 1, 2 }), IX_NONE);
	Record(IX_ENDED, 1, keys, { 1, 2 });
	EXPECT_EQ(Look(keys).confidence_permille, 1000u);
	EXPECT_FALSE(ix_wants_snapshot(&ix, E));
	now += 2 * IX_UNCONFIRMED_MS;
	seq += 3; // among them: 2 was removed
	EXPECT_EQ(Event(IX_STORED, { 9 }), IX_GAP);
	EXPECT_EQ(Look(keys).held, 3u);
	EXPECT_EQ(Look(keys).confidence_permille, IX_DOUBTFUL_PERMILLE);
	EXPECT_TRUE(ix_wants_snapshot(&ix, E));
	EXPECT_EQ(EventAt(seq, IX_REMOVED, { 9 }), IX_IGNORED) << "repeated";
	ix_snapshot_begin(&ix, E);
	EXPECT_FALSE(ix_wants_snapshot(&ix, E)) << "one at a time";
	EXPECT_EQ(Snapshot(seq, { 1, 9 }), ST_OK);
	EXPECT_EQ(Look(keys).held, 1u);
	EXPECT_EQ(Look(keys).confidence_permille, 1000u);
	EXPECT_FALSE(ix_wants_snapshot(&ix, E));
}

TEST_F(Index, DoubtIsInProportionToWhatIsMissing)
{
	struct {
		uint32_t held;
		uint64_t lost;
		uint32_t want;
	} cases[] = { { 16000, 1, 999 },
		      { 16000, 100, 900 },
		      { 16000, 5000, IX_DOUBTFUL_PERMILLE },
		      { 100, 1, 840 },
		      { 0, 1, IX_DOUBTFUL_PERMILLE } };

	for (const auto &k : cases) {
		inc++;
		seq = 0;
		Load(0);
		for (uint64_t i = 0; i < k.held; i++)
			Event(IX_STORED, { i });
		seq += k.lost;
		EXPECT_EQ(Load(0), IX_GAP);
		EXPECT_EQ(Look({}).confidence_permille, k.want)
			<< k.lost << " of " << k.held;
	}
	// Joined late: nobody knows how much is missing.
	inc++;
	EXPECT_EQ(EventAt(500, IX_STORED, { 1 }), IX_RESTARTED);
	EXPECT_EQ(Look({}).confidence_permille, IX_DOUBTFUL_PERMILLE);
}

// Snapshot and events travel on different connections. Whatever the order in
// which they come, the end result is that of the events alone.
TEST_F(Index, SnapshotCrossesEvents)
{
	struct {
		const char *what;
		uint64_t snapshot_at;  // events 11..14 follow the gap
		uint64_t before_begin; // events heard before it is asked for
		uint64_t before_end;   // and before it comes
		st_code code;
		bool is_complete;
	} cases[] = {
		{ "newer than all heard", 14, 11, 12, ST_OK, true },
		{ "as new", 12, 11, 12, ST_OK, true },
		{ "older than those kept", 11, 11, 14, ST_OK, true },
		{ "just before the gap's end", 10, 10, 14, ST_OK, true },
		{ "older than what was not kept", 11, 12, 14, ST_STALE, false },
	};
	const std::map<uint64_t, std::pair<ix_event_kind, uint64_t>> events = {
		{ 11, { IX_STORED, 3 } },
		{ 12, { IX_REMOVED, 1 } },
		{ 13, { IX_STORED, 4 } },
		{ 14, { IX_REMOVED, 3 } },
	};

	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		std::set<uint64_t> truth = { 1, 2 };
		auto play = [&](uint64_t from, uint64_t to) {
			for (uint64_t s = from; s <= to; s++) {
				const auto &e = events.at(s);

				EventAt(s, e.first, { e.second });
			}
		};

		inc++;
		EventAt(1, IX_STORED, { 8, 9 }); // 2 to 10 are lost
		play(11, k.before_begin);
		ix_snapshot_begin(&ix, E);
		play(k.before_begin + 1, k.before_end);
		for (uint64_t s = 11; s <= k.snapshot_at; s++) {
			const auto &e = events.at(s);

			if (e.first == IX_STORED)
				truth.insert(e.second);
			else
				truth.erase(e.second);
		}
		EXPECT_EQ(Snapshot(k.snapshot_at,
				   Ids(truth.begin(), truth.end())),
			  k.code);
		play(k.before_end + 1, 14);
		EXPECT_EQ(!Stats().is_doubtful, k.is_complete);
		if (k.is_complete) {
			// 2 and 4 are left.
			EXPECT_EQ(Stats().held, 2u);
			Record(IX_ENDED, 1, Keys(0, 3, 1), { 2, 4 });
			EXPECT_EQ(Held(Keys(0, 3, 1)), 3u);
		}
	}
}

TEST_F(Index, SecondGapWhileASnapshotIsFetched)
{
	EventAt(1, IX_STORED, { 1 });
	EventAt(5, IX_STORED, { 2 });
	ix_snapshot_begin(&ix, E);
	EventAt(9, IX_STORED, { 3 });
	EXPECT_EQ(Snapshot(6, { 1, 2 }), ST_OK);
	EXPECT_TRUE(ix_wants_snapshot(&ix, E)) << "7 and 8 are missing";
	ix_snapshot_begin(&ix, E);
	EXPECT_EQ(Snapshot(9, { 1, 2, 3 }), ST_OK);
	EXPECT_FALSE(ix_wants_snapshot(&ix, E));
}

TEST_F(Index, JournalIsBounded)
{
	ix_snapshot_begin(&ix, E);
	for (uint64_t i = 0; i < IX_MAX_JOURNAL + 5; i++)
		Event(IX_STORED, { i });
	EXPECT_EQ(Snapshot(10, { 1 }), ST_STALE);
	ix_snapshot_begin(&ix, E);
	EXPECT_EQ(Snapshot(seq, { 1 }), ST_OK);
	EXPECT_EQ(Stats().held, 1u);
}

TEST_F(Index, PendingOfRequestsInFlight)
{
	const Ids a = Keys(5, 9, 1), b = Keys(5, 9, 2);

	Event(IX_STORED, { 1 });
	Record(IX_ENDED, 1, a, { 1 });
	Record(IX_SENT, 2, a, {}, 8000);
	Record(IX_SENT, 2, a, {}, 8000);
	EXPECT_EQ(Held(a), 1u);
	EXPECT_EQ(Pending(a), 9u);
	EXPECT_EQ(Pending(b), 5u) << "what they share";
	Record(IX_SENT, 3, b, {}, 4000);
	EXPECT_EQ(Look(b).sent_tokens, 12000u);
	Record(IX_PREFILLED, 2, a);
	EXPECT_EQ(Look(b).sent_tokens, 4000u);
	EXPECT_EQ(Pending(a), 9u) << "computed, and no block named yet";
	Record(IX_ENDED, 2, a);
	EXPECT_EQ(Pending(a), 5u) << "b still computes what they share";
	now += IX_REQUEST_EXPIRES_MS;
	ix_tick(&ix, now);
	EXPECT_EQ(Pending(b), 9u);
	ix_tick(&ix, ++now);
	EXPECT_EQ(Pending(b), 1u) << "its end was lost";
	EXPECT_EQ(Look(b).sent_tokens, 0u);
}

TEST_F(Index, RecordOfAnEntryThatDoesNotKnowTheIncarnation)
{
	const Ids keys = Keys(0, 3, 1);

	Event(IX_STORED, { 1, 2 });
	inc = 0;
	EXPECT_EQ(Record(IX_SENT, 1, keys, {}, 100), ST_OK);
	EXPECT_EQ(Pending(keys), 3u);
	EXPECT_EQ(Look(keys).sent_tokens, 100u);
	EXPECT_EQ(Record(IX_ENDED, 1, keys, { 1, 2 }), ST_OK);
	EXPECT_EQ(Pending(keys), 0u) << "blocks of which run?";
	EXPECT_EQ(Look(keys).incarnation, 1u);
}

TEST_F(Index, LoadAndTokensSentSinceTheReport)
{
	EXPECT_FALSE(Look({}).has_load);
	Record(IX_SENT, 1, {}, {}, 100);
	now += 50;
	Record(IX_SENT, 2, {}, {}, 20);
	now += 50;
	Load(80, 5000);
	now += 10;
	auto a = Look({});
	EXPECT_TRUE(a.has_load);
	EXPECT_EQ(a.running, 3u);
	EXPECT_EQ(a.waiting_tokens, 5000u);
	EXPECT_EQ(a.prefill_tokens_per_s, 9000u);
	EXPECT_EQ(a.load_age_ms, 90u);
	EXPECT_EQ(a.sent_tokens, 20u) << "the first is in the report";
	EXPECT_FALSE(a.is_leaving);
	Load(0, 0, true);
	EXPECT_EQ(Look({}).sent_tokens, 0u);
	EXPECT_TRUE(Look({}).is_leaving);
	Record(IX_ENDED, 1, {});
	Record(IX_ENDED, 2, {});
	EXPECT_EQ(Look({}).sent_tokens, 0u);
}

TEST_F(Index, LoadReportThatASnapshotCovers)
{
	ix_snapshot_begin(&ix, E);
	EXPECT_EQ(Snapshot(20, {}), ST_OK);
	seq = 9;
	EXPECT_EQ(Load(0, 500), IX_NONE);
	EXPECT_EQ(Look({}).waiting_tokens, 500u);
	seq = 8;
	EXPECT_EQ(Load(0, 400), IX_IGNORED) << "older than the one known";
	seq = 9;
	EXPECT_EQ(Load(0, 400), IX_IGNORED) << "repeated";
	EXPECT_EQ(Look({}).waiting_tokens, 500u);
	EXPECT_EQ(EventAt(20, IX_STORED, { 1 }), IX_IGNORED);
	EXPECT_EQ(EventAt(21, IX_STORED, { 1 }), IX_NONE);
}

TEST_F(Index, ConfidenceFallsWithAgeAndSilence)
{
	const Ids keys = Keys(0, 3, 1);

	// Four blocks in five live for 10 s or more.
	for (uint64_t i = 0; i < 500; i++) {
		Event(IX_STORED, { 1000 + i });
		now += i % 5 == 0 ? 5000 : 10000;
		Event(IX_REMOVED, { 1000 + i });
	}
	int64_t age = Stats().eviction_age_ms;
	EXPECT_GT(age, 4500);
	EXPECT_LT(age, 10500);
	Event(IX_STORED, { 1, 2 });
	Record(IX_ENDED, 1, keys, { 1, 2 });
	struct {
		const char *what;
		int64_t after_ms;
		uint32_t want;
	} cases[] = { { "fresh", 0, 1000 },
		      { "as old as most get", age - 10, 1000 },
		      { "twice as old", 2 * age, 500 },
		      { "far too old", 100 * age, 100 } };
	const int64_t start = now;

	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		now = start + k.after_ms;
		EXPECT_NEAR(Look(keys).confidence_permille, k.want, 2);
	}
	Record(IX_ENDED, 2, keys, { 1, 2 });
	EXPECT_EQ(Look(keys).confidence_permille, 1000u) << "used again";
	ix_connected(&ix, E, false, now);
	now += IX_BLIND_MS / 4;
	EXPECT_EQ(Look({}).confidence_permille, 750u);
	now += IX_BLIND_MS;
	EXPECT_EQ(Look({}).confidence_permille, 0u);
	ix_connected(&ix, E, true, now);
	EXPECT_EQ(Look({}).confidence_permille, 1000u) << "resumed";
}

TEST_F(Index, BoundDropsTheOldest)
{
	const Ids a = Keys(0, 3, 1), b = Keys(0, 3, 2);

	ix_finish(&ix);
	Init(100);
	Event(IX_STORED, { 1, 2, 3, 4 });
	Record(IX_ENDED, 1, a, { 1, 2 });
	Record(IX_ENDED, 2, b, { 3, 4 });
	Record(IX_ENDED, 3, a, { 1, 2 });
	for (uint64_t i = 0; i < 97; i++)
		Event(IX_STORED, { 1000 + i });
	EXPECT_EQ(Held(b), 0u) << "one of its blocks was dropped";
	EXPECT_EQ(Held(a), 3u) << "used since";
	EXPECT_EQ(Stats().blocks, 100u);
	// The engine that has most gives way.
	ASSERT_EQ(ix_own(&ix, E + 1, now), ST_OK);
	uint64_t block = 5;
	struct ix_event e = {};
	e.incarnation = e.sequence = 1;
	e.blocks = &block;
	e.block_count = 1;
	ix_event(&ix, E + 1, &e, now);
	EXPECT_EQ(Stats().blocks, 99u);
	// A snapshot is bounded as well.
	Ids many;
	for (uint64_t i = 0; i < 300; i++)
		many.push_back(i);
	ix_snapshot_begin(&ix, E);
	Snapshot(++seq, many);
	EXPECT_EQ(Stats().blocks, 99u);
}

TEST_F(Index, RequestsAreBounded)
{
	ix_finish(&ix);
	Init(0, 2);
	for (uint64_t i = 1; i <= 3; i++)
		Record(IX_SENT, i, Keys(0, 2, i), {}, 10);
	EXPECT_EQ(Pending(Keys(0, 2, 1)), 0u);
	EXPECT_EQ(Pending(Keys(0, 2, 3)), 2u);
	EXPECT_EQ(Look({}).sent_tokens, 20u);
}

TEST_F(Index, OwnershipMoves)
{
	const Ids keys = Keys(0, 3, 1);
	struct ix_answer a;

	Event(IX_STORED, { 1, 2 });
	Record(IX_ENDED, 1, keys, { 1, 2 });
	ix_disown(&ix, E);
	ix_disown(&ix, E);
	EXPECT_EQ(ix_lookup(&ix, E, keys.data(), 3, now, &a), ST_NOT_FOUND);
	EXPECT_EQ(Record(IX_ENDED, 2, keys, { 1, 2 }), ST_NOT_FOUND);
	EXPECT_EQ(Event(IX_STORED, { 1 }), IX_IGNORED);
	ASSERT_EQ(ix_own(&ix, E, now), ST_OK);
	EXPECT_EQ(Pending(keys), 0u) << "nothing is kept for later";
	EXPECT_TRUE(ix_wants_snapshot(&ix, E));
	for (uint64_t i = 1; i < IX_MAX_ENGINES; i++)
		ASSERT_EQ(ix_own(&ix, 1000 + i, now), ST_OK);
	EXPECT_EQ(ix_own(&ix, 5, now), ST_FULL);
}

TEST_F(Index, RecordsThatMakeNoSense)
{
	struct {
		const char *what;
		uint32_t block_tokens, prompt_tokens, prompt_bytes;
	} cases[] = {
		{ "no block size", 0, 4000, 16000 },
		{ "no tokens", 2000, 0, 16000 },
		{ "no bytes", 2000, 4000, 0 },
		{ "blocks past the prompt's end", 2000, 100, 16000 },
		{ "all as large as can be", UINT32_MAX, UINT32_MAX,
		  UINT32_MAX },
	};
	const Ids keys = Keys(0, 3, 1), blocks = { 1, 2 };

	Event(IX_STORED, blocks);
	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		struct ix_record r = {};

		r.engine = E;
		r.incarnation = inc;
		r.phase = IX_ENDED;
		r.block_tokens = k.block_tokens;
		r.prompt_tokens = k.prompt_tokens;
		r.prompt_bytes = k.prompt_bytes;
		r.keys = keys.data();
		r.key_count = k.block_tokens == UINT32_MAX ? 0 : 3;
		r.blocks = blocks.data();
		r.block_count = 2;
		EXPECT_EQ(ix_record(&ix, &r, now), ST_OK);
		EXPECT_EQ(Held(keys), 0u);
	}
}

// The hand-made tables against the library's, over random operations.
TEST(IndexMap, AgreesWithStdMap)
{
	std::mt19937_64 random(7);
	std::map<uint64_t, uint32_t> want;
	struct ix_map map = {};

	for (int i = 0; i < 200000; i++) {
		uint64_t key = random() % 3000;
		uint32_t value = (uint32_t)(random() % 1000) + 1;

		if (random() % 3) {
			ix_map_put(&map, key, value, 0, nullptr, nullptr);
			want[key] = value;
		} else {
			ix_map_remove(&map, key);
			want.erase(key);
		}
	}
	EXPECT_EQ(map.count, want.size());
	for (uint64_t key = 0; key < 3000; key++) {
		const auto *slot = ix_map_find(&map, key);
		auto it = want.find(key);

		ASSERT_EQ(slot != nullptr, it != want.end()) << key;
		if (slot) {
			EXPECT_EQ(slot->value, it->second);
		}
	}
	ix_map_finish(&map);
}

TEST_F(Index, AgreesWithAPlainModel)
{
	std::mt19937_64 random(11);
	std::set<uint64_t> held;

	now += 10 * IX_UNCONFIRMED_MS;
	for (int i = 0; i < 100000; i++) {
		uint64_t block = random() % 2000;

		if (random() % 2) {
			Event(IX_STORED, { block });
			held.insert(block);
		} else {
			Event(IX_REMOVED, { block });
			held.erase(block);
		}
		if (i % 40000 == 39999) {
			Event(IX_CLEARED);
			held.clear();
		}
	}
	EXPECT_EQ(Stats().held, held.size());
	for (uint64_t block = 0; block < 2000; block++) {
		const Ids keys = Keys(0, 1, 10 + block);

		Record(IX_ENDED, 1, keys, { block });
		EXPECT_EQ(Held(keys), held.count(block)) << block;
	}
}

} // namespace
