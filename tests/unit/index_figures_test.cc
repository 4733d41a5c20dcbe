// Benchmark of the prefix index: prints the time per event and look-up and the
// bytes per entry at three sizes. Of these figures only memory is asserted.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "index/ix.h"
#include "index/ix_decode.h"
#include "prefix/px.h"
}

namespace
{

const uint64_t ENGINE = 1;
const uint32_t PROMPT_BLOCKS = 48; // two keys per block
const uint32_t LOOKUPS = 20000;

double Microseconds(std::chrono::steady_clock::time_point since)
{
	return std::chrono::duration<double, std::micro>(
		       std::chrono::steady_clock::now() - since)
		.count();
}

class IndexFigures : public testing::TestWithParam<uint32_t>
{
      protected:
	struct ix_index ix;
	uint64_t seq = 0;
	std::vector<uint64_t> keys;

	void Event(ix_event_kind kind, uint64_t block, int64_t now)
	{
		struct ix_event e = {};

		e.incarnation = 1;
		e.sequence = ++seq;
		e.kind = kind;
		e.blocks = &block;
		e.block_count = 1;
		ix_event(&ix, ENGINE, &e, now);
	}

	// Stores the blocks of one prompt and then sends its record.
	void Prompt(uint64_t first_block, int64_t now)
	{
		std::vector<uint64_t> blocks;
		struct ix_record r = {};

		for (uint64_t i = 0; i < PROMPT_BLOCKS; i++) {
			blocks.push_back(ix_id(first_block + i));
			Event(IX_STORED, blocks.back(), now);
		}
		r.engine = ENGINE;
		r.incarnation = 1;
		r.request = first_block;
		r.phase = IX_ENDED;
		r.block_tokens = 2048;
		r.prompt_tokens = PROMPT_BLOCKS * 2048;
		r.prompt_bytes = PROMPT_BLOCKS * 2 * PX_CHUNK_BYTES;
		r.keys = &keys[first_block * 2];
		r.key_count = PROMPT_BLOCKS * 2;
		r.blocks = blocks.data();
		r.block_count = PROMPT_BLOCKS;
		ix_record(&ix, &r, now);
	}

	static uint64_t ix_id(uint64_t n)
	{
		return px_rank(n, 42);
	}
};

TEST_P(IndexFigures, Print)
{
	const uint32_t entries = GetParam() / PROMPT_BLOCKS * PROMPT_BLOCKS;
	struct ix_desc desc = {};
	struct ix_stats stats;
	struct ix_answer answer;
	uint64_t held = 0;

	for (uint32_t i = 0; i < entries * 2; i++)
		keys.push_back(px_rank(i, 7));
	ix_init(&ix, &desc, 0);
	ix_own(&ix, ENGINE, 0);
	for (uint32_t i = 0; i < entries; i += PROMPT_BLOCKS)
		Prompt(i, i);
	ix_stats(&ix, ENGINE, &stats);
	ASSERT_EQ(stats.held, entries);
	ASSERT_EQ(stats.keys, entries * 2);

	auto start = std::chrono::steady_clock::now();
	for (uint32_t i = 0; i < LOOKUPS; i++) {
		uint64_t at = px_rank(i, 3) % (entries / PROMPT_BLOCKS);

		ix_lookup(&ix, ENGINE, &keys[at * PROMPT_BLOCKS * 2],
			  PROMPT_BLOCKS * 2, entries, &answer);
		held += answer.held;
	}
	double lookup_us = Microseconds(start) / LOOKUPS;
	EXPECT_EQ(held, (uint64_t)LOOKUPS * PROMPT_BLOCKS * 2);

	// Steady state: each removed block is replaced by a new one.
	start = std::chrono::steady_clock::now();
	for (uint32_t i = 0; i < entries; i++) {
		Event(IX_REMOVED, ix_id(i), entries + 10000);
		Event(IX_STORED, ix_id(entries + i), entries + 10000);
	}
	double event_us = Microseconds(start) / (2. * entries);
	ix_stats(&ix, ENGINE, &stats);
	EXPECT_EQ(stats.held, entries);
	printf("entries %u: %.1f bytes an entry (%.1f MB in all), "
	       "%.3f us an event, %.3f us a look-up of %u keys\n",
	       entries, (double)stats.bytes / entries,
	       (double)stats.bytes / 1e6, event_us, lookup_us,
	       PROMPT_BLOCKS * 2);
	EXPECT_LT(stats.bytes, 64u << 20);
	ix_finish(&ix);
}

// Stored events of one block each, from SSE text to index state.
TEST(IndexDecodingFigures, Print)
{
	struct Sink {
		struct ix_index ix;
		GArray *blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		uint32_t applied = 0;
	} sink;
	struct ix_desc desc = {};
	struct se_desc parser_desc = {};
	struct se_parser parser;
	const uint32_t count = 100000;
	std::string text;

	for (uint32_t i = 1; i <= count; i++) {
		char line[160];

		snprintf(line, sizeof(line),
			 "id: 1796351695412:%u\nevent: stored\ndata: "
			 "{\"blocks\":[\"%016lx\"]}\n\n",
			 i, (unsigned long)px_rank(i, 5));
		text += line;
	}
	ix_init(&sink.ix, &desc, 0);
	ix_own(&sink.ix, ENGINE, 0);
	parser_desc.arg = &sink;
	parser_desc.on_event = [](void *arg, const struct se_event *from) {
		auto *s = static_cast<Sink *>(arg);
		struct ix_event event;

		if (ix_decode_event(from, &event, s->blocks) &&
		    ix_event(&s->ix, ENGINE, &event, 0) == IX_NONE)
			s->applied++;
	};
	se_init(&parser, &parser_desc);
	auto start = std::chrono::steady_clock::now();
	EXPECT_TRUE(se_feed(&parser, text.data(), text.size()));
	printf("events %u: %.3f us to parse and apply, %.1f bytes "
	       "each\n",
	       count, Microseconds(start) / count, (double)text.size() / count);
	EXPECT_EQ(sink.applied, count);
	se_finish(&parser);
	ix_finish(&sink.ix);
	g_array_unref(sink.blocks);
}

// Snapshot of an engine of the design size: 51 million blocks / 600 engines.
TEST(IndexSnapshotFigures, Print)
{
	const uint32_t count = 85000;
	struct ix_index ix;
	struct ix_desc desc = {};
	struct ix_stats stats;
	GArray *blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	std::string text = "{\"incarnation\":1,\"seq\":1,\"blocks\":[";
	uint64_t incarnation = 0, sequence = 0;

	for (uint32_t i = 0; i < count; i++) {
		char id[32];

		snprintf(id, sizeof(id), "%s\"%016lx\"", i ? "," : "",
			 (unsigned long)px_rank(i, 5));
		text += id;
	}
	text += "]}";
	ix_init(&ix, &desc, 0);
	ix_own(&ix, ENGINE, 0);
	ix_snapshot_begin(&ix, ENGINE);
	auto start = std::chrono::steady_clock::now();
	ASSERT_TRUE(ix_decode_snapshot(text.data(), text.size(), &incarnation,
				       &sequence, blocks));
	double decode_us = Microseconds(start);
	start = std::chrono::steady_clock::now();
	EXPECT_EQ(ix_snapshot_end(&ix, ENGINE, incarnation, sequence,
				  (const uint64_t *)(void *)blocks->data,
				  blocks->len, 0),
		  ST_OK);
	printf("snapshot of %u blocks: %.1f ms to decode, %.1f ms to apply"
	       "\n",
	       count, decode_us / 1000, Microseconds(start) / 1000);
	ix_stats(&ix, ENGINE, &stats);
	EXPECT_EQ(stats.held, count);
	ix_finish(&ix);
	g_array_unref(blocks);
}

INSTANTIATE_TEST_SUITE_P(Sizes, IndexFigures,
			 testing::Values(10000, 142000, 390000));

} // namespace
