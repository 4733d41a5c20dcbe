// Test fixture for the prefix index, with helpers that send events and records.
#ifndef INDEX_FIXTURE_H
#define INDEX_FIXTURE_H

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

const uint64_t ENGINE = 77;
const int64_t START_MS = 1000000;

// Keys of a prompt whose first @shared keys are common to all prompts.
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
	int64_t now = START_MS;
	uint64_t inc = 1;
	uint64_t seq = 0;

	void SetUp() override
	{
		Init(0);
	}

	void Init(uint32_t max_blocks, uint32_t max_requests = 0)
	{
		struct ix_desc desc = { max_blocks, max_requests };

		ix_init(&ix, &desc, START_MS);
		ASSERT_EQ(ix_own(&ix, ENGINE, now), ST_OK);
		ix_set_connected(&ix, ENGINE, true, now);
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
		return ix_event(&ix, ENGINE, &e, now);
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
		return ix_event(&ix, ENGINE, &e, now);
	}

	// A block has 2,000 tokens of 4 bytes, 8,000 bytes in all. The first
	// blocks of a prompt complete 1, 3, 5, 7, 9, 11 keys in total.
	st_code Record(ix_phase phase, uint64_t request, const Ids &keys,
		       const Ids &blocks = {}, uint32_t new_tokens = 0)
	{
		struct ix_record r = {};

		r.engine = ENGINE;
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

	struct ix_answer Lookup(const Ids &keys)
	{
		struct ix_answer a;

		EXPECT_EQ(ix_lookup(&ix, ENGINE, keys.data(),
				    (uint32_t)keys.size(), now, &a),
			  ST_OK);
		return a;
	}

	uint32_t Held(const Ids &keys)
	{
		return Lookup(keys).held;
	}

	uint32_t Pending(const Ids &keys)
	{
		return Lookup(keys).pending;
	}

	struct ix_stats Stats()
	{
		struct ix_stats s;

		ix_stats(&ix, ENGINE, &s);
		return s;
	}

	st_code Snapshot(uint64_t sequence, const Ids &blocks)
	{
		return ix_snapshot_end(&ix, ENGINE, inc, sequence,
				       blocks.data(), (uint32_t)blocks.size(),
				       now);
	}
};

} // namespace

#endif
