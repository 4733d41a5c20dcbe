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

static void ix_engine_free(struct _ix_engine *e)
{
	ix_blocks_finish(&e->blocks);
	ix_pending_finish(&e->pending);
	if (e->journal)
		g_array_unref(e->journal);
	g_free(e);
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
	struct _ix_engine *e;

	if (ix_owns(index, engine))
		return ST_OK;
	if (g_hash_table_size(index->_engines) == IX_MAX_ENGINES)
		return st_fail(ST_FULL, "limit of %u engines reached",
			       IX_MAX_ENGINES);
	e = g_new0(struct _ix_engine, 1);
	e->id = engine;
	e->lost_events = IX_LOST_UNKNOWN;
	e->disconnected_since_ms = now_ms;
	ix_pending_init(&e->pending, index->_desc.max_requests);
	g_hash_table_insert(index->_engines, &e->id, e);
	return ST_OK;
}

void ix_disown(struct ix_index *index, uint64_t engine)
{
	struct _ix_engine *e = ix_find_engine(index, engine);

	if (!e)
		return;
	g_hash_table_remove(index->_engines, &engine);
	index->_block_count -= e->blocks.count;
	ix_engine_free(e);
}

uint32_t ix_to_ticks(const struct ix_index *index, int64_t now_ms)
{
	/* Tick 0 means never. */
	return (uint32_t)((now_ms - index->_start_ms) / IX_TICK_MS) + 1;
}

void ix_reset(struct ix_index *index, struct _ix_engine *e,
	      uint64_t incarnation)
{
	index->_block_count -= e->blocks.count;
	ix_blocks_finish(&e->blocks);
	ix_pending_clear(&e->pending);
	if (e->journal)
		g_array_set_size(e->journal, 0);
	e->journal_from = 0;
	e->incarnation = incarnation;
	e->sequence = 0;
	e->first_after_gap = 0;
	/* The first event has sequence number 1, so none is missing yet. */
	e->is_complete = true;
	e->lost_events = 0;
	e->has_load = false;
	e->load_sequence = 0;
}

static struct _ix_engine *ix_largest_engine(const struct ix_index *index)
{
	struct _ix_engine *largest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, index->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct _ix_engine *e = value;

		if (!largest || e->blocks.count > largest->blocks.count)
			largest = e;
	}
	return largest;
}

void ix_update_block_count(struct ix_index *index, const struct _ix_engine *e,
			   uint32_t before)
{
	index->_block_count += e->blocks.count;
	index->_block_count -= before;
	while (index->_block_count > index->_desc.max_blocks) {
		ix_blocks_drop_oldest(&ix_largest_engine(index)->blocks);
		index->_block_count--;
	}
}

/* Returns the number of prompt keys that end within blocks 0 to @i. */
static uint32_t ix_keys_through_block(const struct ix_record *r, uint32_t i)
{
	uint64_t tokens = (uint64_t)(i + 1) * r->block_tokens;
	uint64_t end_bytes;

	if (tokens > r->prompt_tokens)
		return 0;
	end_bytes = tokens * r->prompt_bytes / r->prompt_tokens;
	return (uint32_t)MIN(end_bytes / PX_CHUNK_BYTES, r->key_count);
}

static void ix_record_blocks(struct ix_index *index, struct _ix_engine *e,
			     const struct ix_record *r, int64_t now_ms)
{
	uint32_t before = e->blocks.count;
	uint32_t covered = 0;
	uint32_t depth;

	if (!r->incarnation || !r->block_tokens || !r->prompt_tokens ||
	    !r->prompt_bytes)
		return;
	for (uint32_t i = 0; i < r->block_count; i++) {
		depth = MAX(ix_keys_through_block(r, i), covered);
		ix_blocks_assign_keys(&e->blocks, r->blocks[i],
				      r->keys + covered, depth - covered,
				      ix_to_ticks(index, now_ms));
		covered = depth;
	}
	ix_update_block_count(index, e, before);
}

enum st_code ix_record(struct ix_index *index, const struct ix_record *record,
		       int64_t now_ms)
{
	struct _ix_engine *e = ix_find_engine(index, record->engine);

	if (!e)
		return ST_NOT_FOUND;
	if (record->incarnation && record->incarnation < e->incarnation)
		return ST_STALE;
	if (record->incarnation > e->incarnation) {
		ix_reset(index, e, record->incarnation);
		/* Earlier events of this incarnation may have been missed. */
		e->is_complete = false;
		e->lost_events = IX_LOST_UNKNOWN;
	}
	switch (record->phase) {
	case IX_SENT:
		ix_pending_add(&e->pending, record->request, record->keys,
			       record->key_count, record->new_tokens, now_ms);
		break;
	case IX_PREFILLED:
		ix_pending_set_prefilled(&e->pending, record->request, now_ms);
		break;
	case IX_ENDED:
		ix_pending_remove(&e->pending, record->request);
		break;
	}
	ix_record_blocks(index, e, record, now_ms);
	return ST_OK;
}

/* Whether a record listed the block recently enough that it may be cached. */
static bool ix_is_unconfirmed(const struct ix_block *block, uint32_t tick)
{
	return block && block->recorded_tick &&
	       tick - block->recorded_tick <= IX_UNCONFIRMED_MS / IX_TICK_MS;
}

/* Returns the last block of the held prefix, or NULL if nothing is held. */
static const struct ix_block *ix_walk_chain(const struct _ix_engine *e,
					    const uint64_t *keys,
					    uint32_t count, uint32_t tick,
					    struct ix_answer *answer)
{
	const struct ix_block *last = NULL;
	bool all_held = true;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct ix_block *block =
			ix_blocks_find_key(&e->blocks, keys[i]);

		if (block && block->is_held) {
			if (!all_held)
				continue;
			answer->held++;
			last = block;
			continue;
		}
		all_held = false;
		if (!ix_is_unconfirmed(block, tick) &&
		    !ix_pending_has_key(&e->pending, keys[i]))
			break;
	}
	answer->pending = i;
	return last;
}

/*
 * The chance that missing events affect a given chain falls with the number of
 * blocks held.
 */
static int64_t ix_gap_confidence(const struct _ix_engine *e)
{
	uint64_t lost = MIN(e->lost_events, IX_LOST_UNKNOWN);
	uint64_t doubt = 1000 * IX_TYPICAL_CHAIN_BLOCKS * lost /
			 MAX(e->blocks.held_count, 1);

	if (e->is_complete)
		return 1000;
	return (int64_t)(1000 -
			 MIN(doubt, 1000 - IX_MIN_GAP_CONFIDENCE_PERMILLE));
}

static uint32_t ix_base_confidence(const struct _ix_engine *e, int64_t now_ms)
{
	int64_t confidence = ix_gap_confidence(e);
	int64_t blind_ms;

	if (e->disconnected_since_ms) {
		blind_ms = CLAMP(now_ms - e->disconnected_since_ms, 0,
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
static uint32_t ix_age_factor(const struct _ix_engine *e,
			      const struct ix_block *block, uint32_t tick)
{
	uint32_t since = MAX(block->stored_tick, block->recorded_tick);
	double age_ms = tick > since ? (double)(tick - since) * IX_TICK_MS : 0.;

	if (e->eviction_age_ms <= 0. || age_ms <= e->eviction_age_ms)
		return 1000;
	return MAX((uint32_t)(1000. * e->eviction_age_ms / age_ms),
		   IX_MIN_AGE_FACTOR_PERMILLE);
}

static void ix_fill_load(const struct _ix_engine *e, int64_t now_ms,
			 struct ix_answer *answer)
{
	answer->sent_tokens = ix_pending_sent_tokens(&e->pending);
	answer->has_load = e->has_load;
	if (!e->has_load)
		return;
	answer->is_leaving = e->load.is_leaving;
	answer->running = e->load.running;
	answer->waiting_tokens = e->load.waiting_tokens;
	answer->prefill_tokens_per_s = e->load.prefill_tokens_per_s;
	answer->load_age_ms =
		(uint32_t)CLAMP(now_ms - e->reported_ms, 0, UINT32_MAX);
}

enum st_code ix_lookup(const struct ix_index *index, uint64_t engine,
		       const uint64_t *keys, uint32_t count, int64_t now_ms,
		       struct ix_answer *answer)
{
	const struct _ix_engine *e = ix_find_engine(index, engine);
	uint32_t tick = ix_to_ticks(index, now_ms);
	const struct ix_block *last;

	*answer = (struct ix_answer){ 0 };
	if (!e)
		return ST_NOT_FOUND;
	answer->incarnation = e->incarnation;
	last = ix_walk_chain(e, keys, count, tick, answer);
	answer->confidence_permille = ix_base_confidence(e, now_ms);
	if (last)
		answer->confidence_permille = answer->confidence_permille *
					      ix_age_factor(e, last, tick) /
					      1000;
	ix_fill_load(e, now_ms, answer);
	return ST_OK;
}

/* Without this, recorded blocks that no event confirms would accumulate. */
static void ix_drop_unconfirmed(struct ix_index *index, struct _ix_engine *e,
				uint32_t tick)
{
	uint32_t slot = e->blocks.oldest;
	uint32_t before = e->blocks.count;

	for (uint32_t i = 0; slot && i < IX_MAX_CHECKED_BLOCKS; i++) {
		struct ix_block *block = &e->blocks.pool[slot];

		slot = block->newer;
		if (!block->is_held && !ix_is_unconfirmed(block, tick))
			ix_blocks_drop(&e->blocks, block);
	}
	ix_update_block_count(index, e, before);
}

void ix_expire(struct ix_index *index, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, index->_engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct _ix_engine *e = value;

		ix_pending_expire(&e->pending, now_ms - IX_REQUEST_EXPIRES_MS);
		ix_drop_unconfirmed(index, e, ix_to_ticks(index, now_ms));
	}
}

enum st_code ix_stats(const struct ix_index *index, uint64_t engine,
		      struct ix_stats *stats)
{
	const struct _ix_engine *e = ix_find_engine(index, engine);

	*stats = (struct ix_stats){ 0 };
	if (!e)
		return ST_NOT_FOUND;
	stats->incarnation = e->incarnation;
	stats->sequence = e->sequence;
	stats->is_incomplete = !e->is_complete;
	stats->blocks = e->blocks.count;
	stats->held = e->blocks.held_count;
	stats->keys = e->blocks.keys.count;
	stats->requests = ix_pending_count(&e->pending);
	stats->eviction_age_ms = (int64_t)e->eviction_age_ms;
	stats->bytes = sizeof(*e) + ix_blocks_bytes(&e->blocks);
	return ST_OK;
}
