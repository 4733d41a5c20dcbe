// Prefix index: requests in flight, load, confidence, limits, ownership.
#include "index_fixture.h"

namespace
{

TEST_F(Index, PendingOfRequestsInFlight)
{
	const Ids a = Keys(5, 9, 1), b = Keys(5, 9, 2);

	Event(IX_STORED, { 1 });
	Record(IX_ENDED, 1, a, { 1 });
	Record(IX_SENT, 2, a, {}, 8000);
	Record(IX_SENT, 2, a, {}, 8000);
	EXPECT_EQ(Held(a), 1u);
	EXPECT_EQ(Pending(a), 9u);
	EXPECT_EQ(Pending(b), 5u) << "shared keys";
	Record(IX_SENT, 3, b, {}, 4000);
	EXPECT_EQ(Lookup(b).sent_tokens, 12000u);
	Record(IX_PREFILLED, 2, a);
	EXPECT_EQ(Lookup(b).sent_tokens, 4000u);
	EXPECT_EQ(Pending(a), 9u) << "computed, but no record lists its blocks";
	Record(IX_ENDED, 2, a);
	EXPECT_EQ(Pending(a), 5u) << "request 3 still computes the shared keys";
	now += IX_REQUEST_EXPIRES_MS;
	ix_expire(&ix, now);
	EXPECT_EQ(Pending(b), 9u);
	ix_expire(&ix, ++now);
	EXPECT_EQ(Pending(b), 1u) << "request 3 expired without an end record";
	EXPECT_EQ(Lookup(b).sent_tokens, 0u);
}

TEST_F(Index, RecordWithUnknownIncarnation)
{
	const Ids keys = Keys(0, 3, 1);

	Event(IX_STORED, { 1, 2 });
	inc = 0;
	EXPECT_EQ(Record(IX_SENT, 1, keys, {}, 100), ST_OK);
	EXPECT_EQ(Pending(keys), 3u);
	EXPECT_EQ(Lookup(keys).sent_tokens, 100u);
	EXPECT_EQ(Record(IX_ENDED, 1, keys, { 1, 2 }), ST_OK);
	EXPECT_EQ(Pending(keys), 0u)
		<< "blocks of an unknown incarnation are ignored";
	EXPECT_EQ(Lookup(keys).incarnation, 1u);
}

TEST_F(Index, LoadAndTokensSentSinceTheReport)
{
	EXPECT_FALSE(Lookup({}).has_load);
	Record(IX_SENT, 1, {}, {}, 100);
	now += 50;
	Record(IX_SENT, 2, {}, {}, 20);
	now += 50;
	Load(80, 5000);
	now += 10;
	auto a = Lookup({});
	EXPECT_TRUE(a.has_load);
	EXPECT_EQ(a.running, 3u);
	EXPECT_EQ(a.waiting_tokens, 5000u);
	EXPECT_EQ(a.prefill_tokens_per_s, 9000u);
	EXPECT_EQ(a.load_age_ms, 90u);
	EXPECT_EQ(a.sent_tokens, 20u) << "the report includes request 1";
	EXPECT_FALSE(a.is_leaving);
	Load(0, 0, true);
	EXPECT_EQ(Lookup({}).sent_tokens, 0u);
	EXPECT_TRUE(Lookup({}).is_leaving);
	Record(IX_ENDED, 1, {});
	Record(IX_ENDED, 2, {});
	EXPECT_EQ(Lookup({}).sent_tokens, 0u);
}

TEST_F(Index, LoadReportCoveredBySnapshot)
{
	ix_snapshot_begin(&ix, ENGINE);
	EXPECT_EQ(Snapshot(20, {}), ST_OK);
	seq = 9;
	EXPECT_EQ(Load(0, 500), IX_NONE);
	EXPECT_EQ(Lookup({}).waiting_tokens, 500u);
	seq = 8;
	EXPECT_EQ(Load(0, 400), IX_IGNORED) << "older than the last report";
	seq = 9;
	EXPECT_EQ(Load(0, 400), IX_IGNORED) << "duplicate";
	EXPECT_EQ(Lookup({}).waiting_tokens, 500u);
	EXPECT_EQ(EventAt(20, IX_STORED, { 1 }), IX_IGNORED);
	EXPECT_EQ(EventAt(21, IX_STORED, { 1 }), IX_NONE);
}

TEST_F(Index, ConfidenceFallsWithAgeAndDisconnection)
{
	const Ids keys = Keys(0, 3, 1);

	// Four of five blocks are removed after 10 s, the fifth after 5 s.
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
		      { "just below the eviction age", age - 10, 1000 },
		      { "twice the eviction age", 2 * age, 500 },
		      { "100 times the eviction age", 100 * age, 100 } };
	const int64_t start = now;

	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		now = start + k.after_ms;
		EXPECT_NEAR(Lookup(keys).confidence_permille, k.want, 2);
	}
	Record(IX_ENDED, 2, keys, { 1, 2 });
	EXPECT_EQ(Lookup(keys).confidence_permille, 1000u)
		<< "listed in a new record";
	ix_set_connected(&ix, ENGINE, false, now);
	now += IX_DISCONNECTED_DECAY_MS / 4;
	EXPECT_EQ(Lookup({}).confidence_permille, 750u);
	now += IX_DISCONNECTED_DECAY_MS;
	EXPECT_EQ(Lookup({}).confidence_permille, 0u);
	ix_set_connected(&ix, ENGINE, true, now);
	EXPECT_EQ(Lookup({}).confidence_permille, 1000u) << "reconnected";
}

TEST_F(Index, BlockLimitDropsOldestBlock)
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
	EXPECT_EQ(Held(b), 0u) << "its oldest block was dropped";
	EXPECT_EQ(Held(a), 3u) << "listed in a later record";
	EXPECT_EQ(Stats().blocks, 100u);
	// The limit evicts from the engine with the most blocks.
	ASSERT_EQ(ix_own(&ix, ENGINE + 1, now), ST_OK);
	uint64_t block = 5;
	struct ix_event e = {};
	e.incarnation = e.sequence = 1;
	e.blocks = &block;
	e.block_count = 1;
	ix_event(&ix, ENGINE + 1, &e, now);
	EXPECT_EQ(Stats().blocks, 99u);
	// The limit also applies to snapshots.
	Ids many;
	for (uint64_t i = 0; i < 300; i++)
		many.push_back(i);
	ix_snapshot_begin(&ix, ENGINE);
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
	EXPECT_EQ(Lookup({}).sent_tokens, 20u);
}

TEST_F(Index, OwnershipMoves)
{
	const Ids keys = Keys(0, 3, 1);
	struct ix_answer a;

	Event(IX_STORED, { 1, 2 });
	Record(IX_ENDED, 1, keys, { 1, 2 });
	ix_disown(&ix, ENGINE);
	ix_disown(&ix, ENGINE);
	EXPECT_EQ(ix_lookup(&ix, ENGINE, keys.data(), 3, now, &a),
		  ST_NOT_FOUND);
	EXPECT_EQ(Record(IX_ENDED, 2, keys, { 1, 2 }), ST_NOT_FOUND);
	EXPECT_EQ(Event(IX_STORED, { 1 }), IX_IGNORED);
	ASSERT_EQ(ix_own(&ix, ENGINE, now), ST_OK);
	EXPECT_EQ(Pending(keys), 0u)
		<< "entries do not survive a loss of ownership";
	EXPECT_TRUE(ix_needs_snapshot(&ix, ENGINE));
	for (uint64_t i = 1; i < IX_MAX_ENGINES; i++)
		ASSERT_EQ(ix_own(&ix, 1000 + i, now), ST_OK);
	EXPECT_EQ(ix_own(&ix, 5, now), ST_FULL);
}

TEST_F(Index, InvalidRecordsAssignNoKeys)
{
	struct {
		const char *what;
		uint32_t block_tokens, prompt_tokens, prompt_bytes;
	} cases[] = {
		{ "no block size", 0, 4000, 16000 },
		{ "no tokens", 2000, 0, 16000 },
		{ "no bytes", 2000, 4000, 0 },
		{ "blocks beyond the end of the prompt", 2000, 100, 16000 },
		{ "maximum values", UINT32_MAX, UINT32_MAX, UINT32_MAX },
	};
	const Ids keys = Keys(0, 3, 1), blocks = { 1, 2 };

	Event(IX_STORED, blocks);
	for (const auto &k : cases) {
		SCOPED_TRACE(k.what);
		struct ix_record r = {};

		r.engine = ENGINE;
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

// Compares ix_map with std::map over random operations.
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

TEST_F(Index, AgreesWithReferenceModel)
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
