#include "index/ix.h"

#include <string.h>

#include "index/ix_engine.h"
#include "prefix/px.h"

/* Number of oldest blocks of an engine that one ix_expire() call checks. */
#define IX_MAX_CHECKED_BLOCKS 4096

void ix_init(struct ix_index *index, const struct ix_desc *desc, int64_t now_ms)
{
	*index = (struct ix_index){ ._desc = *desc, ._start_ms = now_ms };
	if (!index->_desc.max_blocks)
		index->_desc.max_blocks = IX_DEFAULT_MAX_BLOCKS;
	if (!index->_desc.max_requests)
		index->_desc.max_requests = IX_DEFAULT_MAX_REQUESTS;
	index->_engines = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static void ix_engine_free(struct _ix_engine *state)
{
	ix_blocks_finish(&state->blocks);
	ix_pending_finish(&state->pending);
	if (state->journal)
		g_array_unref(state->journal);
	g_free(state);
}

void ix_finish(struct ix_index *index)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, index->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		ix_engine_free(value);
	g_hash_table_unref(index->_engines);
	index->_engines = NULL;
}

struct _ix_engine *ix_find_engine(const struct ix_index *index, uint64_t engine)
{
	return g_hash_table_lookup(index->_engines, &engine);
}

bool ix_owns(const struct ix_index *index, uint64_t engine)
{
	return ix_find_engine(index, engine) != NULL;
}

enum st_code ix_own(struct ix_index *index, uint64_t engine, int64_t now_ms)
{
	struct _ix_engine *state;

	if (ix_owns(index, engine))
		return ST_OK;
	if (g_hash_table_size(index->_engines) == IX_MAX_ENGINES)
		return st_fail(ST_FULL, "limit of %u engines reached",
			       IX_MAX_ENGINES);
	state = g_new0(struct _ix_engine, 1);
	state->id = engine;
	state->lost_events = IX_LOST_UNKNOWN;
	state->disconnected_since_ms = now_ms;
	ix_pending_init(&state->pending, index->_desc.max_requests);
	g_hash_table_insert(index->_engines, &state->id, state);
	return ST_OK;
}

void ix_disown(struct ix_index *index, uint64_t engine)
{
	struct _ix_engine *state = ix_find_engine(index, engine);

	if (!state)
		return;
	g_hash_table_remove(index->_engines, &engine);
	index->_block_count -= state->blocks.count;
	ix_engine_free(state);
}

uint32_t ix_to_ticks(const struct ix_index *index, int64_t now_ms)
{
	/* Tick 0 means never. */
	return (uint32_t)((now_ms - index->_start_ms) / IX_TICK_MS) + 1;
}

void ix_reset(struct ix_index *index, struct _ix_engine *state,
	      uint64_t incarnation)
{
	index->_block_count -= state->blocks.count;
	ix_blocks_finish(&state->blocks);
	ix_pending_clear(&state->pending);
	if (state->journal)
		g_array_set_size(state->journal, 0);
	state->journal_from = 0;
	state->incarnation = incarnation;
	state->sequence = 0;
	state->first_after_gap = 0;
	/* The first event has sequence number 1, so none is missing yet. */
	state->is_complete = true;
	state->lost_events = 0;
	state->has_load = false;
	state->load_sequence = 0;
}

static struct _ix_engine *ix_largest_engine(const struct ix_index *index)
{
	struct _ix_engine *largest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, index->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct _ix_engine *state = value;

		if (!largest || state->blocks.count > largest->blocks.count)
			largest = state;
	}
	return largest;
}

void ix_update_block_count(struct ix_index *index,
			   const struct _ix_engine *state, uint32_t before)
{
	index->_block_count += state->blocks.count;
	index->_block_count -= before;
	while (index->_block_count > index->_desc.max_blocks) {
		ix_blocks_drop_oldest(&ix_largest_engine(index)->blocks);
		index->_block_count--;
	}
}

/* Returns the number of prompt keys that end within blocks 0 to @i. */
static uint32_t ix_keys_through_block(const struct ix_record *record,
				      uint32_t i)
{
	uint64_t tokens = (uint64_t)(i + 1) * record->block_tokens;
	uint64_t end_bytes;

	if (tokens > record->prompt_tokens)
		return 0;
	end_bytes = tokens * record->prompt_bytes / record->prompt_tokens;
	return (uint32_t)MIN(end_bytes / PX_CHUNK_BYTES, record->key_count);
}

static void ix_record_blocks(struct ix_index *index, struct _ix_engine *state,
			     const struct ix_record *record, int64_t now_ms)
{
	uint32_t before = state->blocks.count;
	uint32_t covered = 0;
	uint32_t depth;

	if (!record->incarnation || !record->block_tokens ||
	    !record->prompt_tokens || !record->prompt_bytes)
		return;
	for (uint32_t i = 0; i < record->block_count; i++) {
		depth = MAX(ix_keys_through_block(record, i), covered);
		ix_blocks_assign_keys(&state->blocks, record->blocks[i],
				      record->keys + covered, depth - covered,
				      ix_to_ticks(index, now_ms));
		covered = depth;
	}
	ix_update_block_count(index, state, before);
}

enum st_code ix_record(struct ix_index *index, const struct ix_record *record,
		       int64_t now_ms)
{
	struct _ix_engine *state = ix_find_engine(index, record->engine);

	if (!state)
		return ST_NOT_FOUND;
	if (record->incarnation && record->incarnation < state->incarnation)
		return ST_STALE;
	if (record->incarnation > state->incarnation) {
		ix_reset(index, state, record->incarnation);
		/* Earlier events of this incarnation may have been missed. */
		state->is_complete = false;
		state->lost_events = IX_LOST_UNKNOWN;
	}
	switch (record->phase) {
	case IX_SENT:
		ix_pending_add(&state->pending, record->request, record->keys,
			       record->key_count, record->new_tokens, now_ms);
		break;
	case IX_PREFILLED:
		ix_pending_set_prefilled(&state->pending, record->request,
					 now_ms);
		break;
	case IX_ENDED:
		ix_pending_remove(&state->pending, record->request);
		break;
	}
	ix_record_blocks(index, state, record, now_ms);
	return ST_OK;
}

/* Whether a record listed the block recently enough that it may be cached. */
static bool ix_is_unconfirmed(const struct ix_block *block, uint32_t tick)
{
	return block && block->recorded_tick &&
	       tick - block->recorded_tick <= IX_UNCONFIRMED_MS / IX_TICK_MS;
}

/* Returns the last block of the held prefix, or NULL if nothing is held. */
static const struct ix_block *ix_walk_chain(const struct _ix_engine *state,
					    const uint64_t *keys,
					    uint32_t count, uint32_t tick,
					    struct ix_answer *answer)
{
	const struct ix_block *last = NULL;
	bool all_held = true;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct ix_block *block =
			ix_blocks_find_key(&state->blocks, keys[i]);

		if (block && block->is_held) {
			if (!all_held)
				continue;
			answer->held++;
			last = block;
			continue;
		}
		all_held = false;
		if (!ix_is_unconfirmed(block, tick) &&
		    !ix_pending_has_key(&state->pending, keys[i]))
			break;
	}
	answer->pending = i;
	return last;
}

/*
 * The chance that missing events affect a given chain falls with the number of
 * blocks held.
 */
static int64_t ix_gap_confidence(const struct _ix_engine *state)
{
	uint64_t lost = MIN(state->lost_events, IX_LOST_UNKNOWN);
	uint64_t doubt = 1000 * IX_TYPICAL_CHAIN_BLOCKS * lost /
			 MAX(state->blocks.held_count, 1);

	if (state->is_complete)
		return 1000;
	return (int64_t)(1000 -
			 MIN(doubt, 1000 - IX_MIN_GAP_CONFIDENCE_PERMILLE));
}

static uint32_t ix_base_confidence(const struct _ix_engine *state,
				   int64_t now_ms)
{
	int64_t confidence = ix_gap_confidence(state);
	int64_t blind_ms;

	if (state->disconnected_since_ms) {
		blind_ms = CLAMP(now_ms - state->disconnected_since_ms, 0,
				 IX_DISCONNECTED_DECAY_MS);
		confidence = confidence *
			     (IX_DISCONNECTED_DECAY_MS - blind_ms) /
			     IX_DISCONNECTED_DECAY_MS;
	}
	return (uint32_t)confidence;
}

/*
 * Events are delayed, so a block may already be evicted. This becomes likely
 * once the block is older than the estimated eviction age.
 */
static uint32_t ix_age_factor(const struct _ix_engine *state,
			      const struct ix_block *block, uint32_t tick)
{
	uint32_t since = MAX(block->stored_tick, block->recorded_tick);
	double age_ms = tick > since ? (double)(tick - since) * IX_TICK_MS : 0.;

	if (state->eviction_age_ms <= 0. || age_ms <= state->eviction_age_ms)
		return 1000;
	return MAX((uint32_t)(1000. * state->eviction_age_ms / age_ms),
		   IX_MIN_AGE_FACTOR_PERMILLE);
}

static void ix_fill_load(const struct _ix_engine *state, int64_t now_ms,
			 struct ix_answer *answer)
{
	answer->sent_tokens = ix_pending_sent_tokens(&state->pending);
	answer->has_load = state->has_load;
	if (!state->has_load)
		return;
	answer->is_leaving = state->load.is_leaving;
	answer->running = state->load.running;
	answer->waiting_tokens = state->load.waiting_tokens;
	answer->prefill_tokens_per_s = state->load.prefill_tokens_per_s;
	answer->load_age_ms =
		(uint32_t)CLAMP(now_ms - state->reported_ms, 0, UINT32_MAX);
}

enum st_code ix_lookup(const struct ix_index *index, uint64_t engine,
		       const uint64_t *keys, uint32_t count, int64_t now_ms,
		       struct ix_answer *answer)
{
	const struct _ix_engine *state = ix_find_engine(index, engine);
	uint32_t tick = ix_to_ticks(index, now_ms);
	const struct ix_block *last;

	*answer = (struct ix_answer){ 0 };
	if (!state)
		return ST_NOT_FOUND;
	answer->incarnation = state->incarnation;
	last = ix_walk_chain(state, keys, count, tick, answer);
	answer->confidence_permille = ix_base_confidence(state, now_ms);
	if (last)
		answer->confidence_permille = answer->confidence_permille *
					      ix_age_factor(state, last, tick) /
					      1000;
	ix_fill_load(state, now_ms, answer);
	return ST_OK;
}

/* Without this, recorded blocks that no event confirms would accumulate. */
static void ix_drop_unconfirmed(struct ix_index *index,
				struct _ix_engine *state, uint32_t tick)
{
	uint32_t slot = state->blocks.oldest;
	uint32_t before = state->blocks.count;

	for (uint32_t i = 0; slot && i < IX_MAX_CHECKED_BLOCKS; i++) {
		struct ix_block *block = &state->blocks.pool[slot];

		slot = block->newer;
		if (!block->is_held && !ix_is_unconfirmed(block, tick))
			ix_blocks_drop(&state->blocks, block);
	}
	ix_update_block_count(index, state, before);
}

void ix_expire(struct ix_index *index, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, index->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct _ix_engine *state = value;

		ix_pending_expire(&state->pending,
				  now_ms - IX_REQUEST_EXPIRES_MS);
		ix_drop_unconfirmed(index, state, ix_to_ticks(index, now_ms));
	}
}

enum st_code ix_stats(const struct ix_index *index, uint64_t engine,
		      struct ix_stats *stats)
{
	const struct _ix_engine *state = ix_find_engine(index, engine);

	*stats = (struct ix_stats){ 0 };
	if (!state)
		return ST_NOT_FOUND;
	stats->incarnation = state->incarnation;
	stats->sequence = state->sequence;
	stats->is_incomplete = !state->is_complete;
	stats->blocks = state->blocks.count;
	stats->held = state->blocks.held_count;
	stats->keys = state->blocks.keys.count;
	stats->requests = ix_pending_count(&state->pending);
	stats->eviction_age_ms = (int64_t)state->eviction_age_ms;
	stats->bytes = sizeof(*state) + ix_blocks_bytes(&state->blocks);
	return ST_OK;
}
