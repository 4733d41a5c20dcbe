// Prefix index: held and pending keys of a chain after events, records, gaps,
// restarts and snapshots in any order.
#include "index_fixture.h"

namespace
{

TEST_F(Index, NestedPrefixes)
{
	const Ids a = Keys(5, 9, 1), b = Keys(5, 9, 2), c = Keys(3, 9, 3);

	// a and b share blocks 1 to 3; c shares blocks 1 and 2 with them.
	Event(IX_STORED, { 1, 2, 3, 4, 5, 6, 7, 8 });
	Record(IX_ENDED, 1, a, { 1, 2, 3, 4, 5 });
	Record(IX_ENDED, 2, b, { 1, 2, 3, 6, 7 });
	Record(IX_ENDED, 3, c, { 1, 2, 8 });
	struct {
		const char *what;
		Ids removed;
		uint32_t a, b, c;
	} cases[] = {
		{ "nothing removed", {}, 9, 9, 5 },
		{ "last block of a", { 5 }, 7, 9, 5 },
		{ "next to last block of a", { 4 }, 5, 9, 5 },
		{ "last block shared by a and b", { 3 }, 3, 3, 5 },
		{ "first block of all", { 1 }, 0, 0, 0 },
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
	EXPECT_EQ(Held(keys), 0u) << "no event received";
	EXPECT_EQ(Pending(keys), 5u) << "the record lists the blocks";
	Event(IX_STORED, { 1 });
	EXPECT_EQ(Held(keys), 1u);
	Event(IX_STORED, { 2, 3 });
	EXPECT_EQ(Held(keys), 5u);
	Event(IX_CLEARED);
	EXPECT_EQ(Pending(keys), 0u);
	Event(IX_STORED, blocks);
	EXPECT_EQ(Held(keys), 0u) << "no record since the cache was cleared";
	Record(IX_PREFILLED, 2, keys, blocks);
	EXPECT_EQ(Held(keys), 5u);
}

TEST_F(Index, UnconfirmedBlocksExpire)
{
	const Ids keys = Keys(0, 3, 1);

	Record(IX_ENDED, 1, keys, { 1, 2 });
	now += IX_UNCONFIRMED_MS;
	EXPECT_EQ(Pending(keys), 3u);
	now += IX_TICK_MS;
	EXPECT_EQ(Pending(keys), 0u);
	ix_expire(&ix, now);
	EXPECT_EQ(Stats().blocks, 0u);
}

TEST_F(Index, LateRemovalOfRecomputedBlock)
{
	const Ids keys = Keys(0, 3, 1);

	Event(IX_STORED, { 1, 2 });
	Record(IX_ENDED, 1, keys, { 1, 2 });
	now += 60000;
	// Evicted and computed again; the record arrives before both events.
	Record(IX_ENDED, 2, keys, { 1, 2 });
	Event(IX_REMOVED, { 1, 2 });
	EXPECT_EQ(Held(keys), 0u);
	EXPECT_EQ(Pending(keys), 3u);
	Event(IX_STORED, { 1, 2 });
	EXPECT_EQ(Held(keys), 3u);
	now += 60000;
	Event(IX_REMOVED, { 1, 2 });
	Event(IX_STORED, { 1, 2 });
	EXPECT_EQ(Held(keys), 0u) << "the removal dropped the keys";
}

TEST_F(Index, RestartDropsAllEntries)
{
	const Ids keys = Keys(0, 3, 1);
	struct {
		const char *what;
		std::function<void()> learn_of_restart;
	} cases[] = {
		{ "by event", [&] { EXPECT_EQ(Load(0), IX_RESTARTED); } },
		{ "by record", [&] { Record(IX_SENT, 9, {}); } },
		{ "by snapshot",
		  [&] {
			  ix_snapshot_begin(&ix, ENGINE);
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
		k.learn_of_restart();
		EXPECT_EQ(Held(keys), 0u);
		EXPECT_EQ(Pending(keys), 0u);
		EXPECT_EQ(Pending(Keys(0, 5, 2)), 0u);
		EXPECT_EQ(Lookup(keys).sent_tokens, 0u);
		EXPECT_EQ(Lookup(keys).incarnation, inc);
		// Input with the old incarnation changes nothing.
		inc--;
		EXPECT_EQ(EventAt(50, IX_STORED, { 1, 2 }), IX_IGNORED);
		EXPECT_EQ(Record(IX_ENDED, 3, keys, { 1, 2 }), ST_STALE);
		ix_snapshot_begin(&ix, ENGINE);
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
	EXPECT_EQ(Lookup(keys).confidence_permille, 1000u);
	EXPECT_FALSE(ix_needs_snapshot(&ix, ENGINE));
	now += 2 * IX_UNCONFIRMED_MS;
	seq += 3; // one of the lost events removes block 2
	EXPECT_EQ(Event(IX_STORED, { 9 }), IX_GAP);
	EXPECT_EQ(Lookup(keys).held, 3u);
	EXPECT_EQ(Lookup(keys).confidence_permille,
		  IX_MIN_GAP_CONFIDENCE_PERMILLE);
	EXPECT_TRUE(ix_needs_snapshot(&ix, ENGINE));
	EXPECT_EQ(EventAt(seq, IX_REMOVED, { 9 }), IX_IGNORED) << "duplicate";
	ix_snapshot_begin(&ix, ENGINE);
	EXPECT_FALSE(ix_needs_snapshot(&ix, ENGINE))
		<< "one is already being fetched";
	EXPECT_EQ(Snapshot(seq, { 1, 9 }), ST_OK);
	EXPECT_EQ(Lookup(keys).held, 1u);
	EXPECT_EQ(Lookup(keys).confidence_permille, 1000u);
	EXPECT_FALSE(ix_needs_snapshot(&ix, ENGINE));
}

TEST_F(Index, ConfidenceFallsInProportionToLostEvents)
{
	struct {
		uint32_t held;
		uint64_t lost;
		uint32_t want;
	} cases[] = { { 16000, 1, 999 },
		      { 16000, 100, 900 },
		      { 16000, 5000, IX_MIN_GAP_CONFIDENCE_PERMILLE },
		      { 100, 1, 840 },
		      { 0, 1, IX_MIN_GAP_CONFIDENCE_PERMILLE } };

	for (const auto &k : cases) {
		inc++;
		seq = 0;
		Load(0);
		for (uint64_t i = 0; i < k.held; i++)
			Event(IX_STORED, { i });
		seq += k.lost;
		EXPECT_EQ(Load(0), IX_GAP);
		EXPECT_EQ(Lookup({}).confidence_permille, k.want)
			<< k.lost << " of " << k.held;
	}
	// Joined late: the number of lost events is unknown.
	inc++;
	EXPECT_EQ(EventAt(500, IX_STORED, { 1 }), IX_RESTARTED);
	EXPECT_EQ(Lookup({}).confidence_permille,
		  IX_MIN_GAP_CONFIDENCE_PERMILLE);
}

// Snapshots and events arrive on different connections. In any order of arrival
// the final state must be the one that the events alone lead to.
TEST_F(Index, SnapshotsInterleavedWithEvents)
{
	struct {
		const char *what;
		uint64_t snapshot_at;  // events 11..14 follow the gap
		uint64_t before_begin; // last event before the request
		uint64_t before_end;   // last event before the response
		st_code code;
		bool is_complete;
	} cases[] = {
		{ "newer than all events received", 14, 11, 12, ST_OK, true },
		{ "same as the last event received", 12, 11, 12, ST_OK, true },
		{ "older than the journalled events", 11, 11, 14, ST_OK, true },
		{ "last event of the gap", 10, 10, 14, ST_OK, true },
		{ "older than the start of the journal", 11, 12, 14, ST_STALE,
		  false },
	};
	const std::map<uint64_t, std::pair<ix_event_kind, uint64_t>> events = {
		{ 11, { IX_STORED, 3 } },
		{ 12, { IX_REMOVED, 1 } },
		{ 13, { IX_STORED, 4 } },
		{ 14, { IX_REMOVED, 3 } },
	};

	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		std::set<uint64_t> expected = { 1, 2 };
		auto send_events = [&](uint64_t from, uint64_t to) {
			for (uint64_t s = from; s <= to; s++) {
				const auto &e = events.at(s);

				EventAt(s, e.first, { e.second });
			}
		};

		inc++;
		EventAt(1, IX_STORED, { 8, 9 }); // events 2 to 10 are lost
		send_events(11, k.before_begin);
		ix_snapshot_begin(&ix, ENGINE);
		send_events(k.before_begin + 1, k.before_end);
		for (uint64_t s = 11; s <= k.snapshot_at; s++) {
			const auto &e = events.at(s);

			if (e.first == IX_STORED)
				expected.insert(e.second);
			else
				expected.erase(e.second);
		}
		EXPECT_EQ(Snapshot(k.snapshot_at,
				   Ids(expected.begin(), expected.end())),
			  k.code);
		send_events(k.before_end + 1, 14);
		EXPECT_EQ(!Stats().is_incomplete, k.is_complete);
		if (k.is_complete) {
			// Blocks 2 and 4 remain.
			EXPECT_EQ(Stats().held, 2u);
			Record(IX_ENDED, 1, Keys(0, 3, 1), { 2, 4 });
			EXPECT_EQ(Held(Keys(0, 3, 1)), 3u);
		}
	}
}

TEST_F(Index, SecondGapDuringSnapshotFetch)
{
	EventAt(1, IX_STORED, { 1 });
	EventAt(5, IX_STORED, { 2 });
	ix_snapshot_begin(&ix, ENGINE);
	EventAt(9, IX_STORED, { 3 });
	EXPECT_EQ(Snapshot(6, { 1, 2 }), ST_OK);
	EXPECT_TRUE(ix_needs_snapshot(&ix, ENGINE))
		<< "events 7 and 8 are missing";
	ix_snapshot_begin(&ix, ENGINE);
	EXPECT_EQ(Snapshot(9, { 1, 2, 3 }), ST_OK);
	EXPECT_FALSE(ix_needs_snapshot(&ix, ENGINE));
}

TEST_F(Index, JournalIsBounded)
{
	ix_snapshot_begin(&ix, ENGINE);
	for (uint64_t i = 0; i < IX_MAX_JOURNAL + 5; i++)
		Event(IX_STORED, { i });
	EXPECT_EQ(Snapshot(10, { 1 }), ST_STALE);
	ix_snapshot_begin(&ix, ENGINE);
	EXPECT_EQ(Snapshot(seq, { 1 }), ST_OK);
	EXPECT_EQ(Stats().held, 1u);
}

} // namespace
