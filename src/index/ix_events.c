#include "index/ix_engine.h"

void ix_set_connected(struct ix_index *index, uint64_t engine,
		      bool is_connected, int64_t now_ms)
{
	struct _ix_engine *state = ix_find_engine(index, engine);

	if (!state)
		return;
	if (is_connected)
		state->disconnected_since_ms = 0;
	else if (!state->disconnected_since_ms)
		state->disconnected_since_ms = MAX(now_ms, 1);
}

/*
 * Stochastic estimate of a quantile: each sample scales it by a small factor.
 * The step up is smaller than the step down because the quantile is low.
 */
static void ix_update_eviction_age(struct _ix_engine *state, double age_ms)
{
	if (state->eviction_age_ms <= 0.)
		state->eviction_age_ms = MAX(age_ms, IX_TICK_MS);
	else if (age_ms < state->eviction_age_ms)
		state->eviction_age_ms *=
			1. - IX_EVICTION_GAIN * (1. - IX_EVICTION_QUANTILE);
	else
		state->eviction_age_ms *=
			1. + IX_EVICTION_GAIN * IX_EVICTION_QUANTILE;
}

/*
 * Handles an evicted block. Events are delayed: if a record listed the block
 * recently, the engine may have computed it again and the stored event may
 * still be on its way. The keys of such a block are kept until it expires.
 */
static void ix_release_or_drop(struct _ix_engine *state, struct ix_block *block,
			       uint32_t tick)
{
	if (block->recorded_tick &&
	    tick - block->recorded_tick <= IX_UNCONFIRMED_MS / IX_TICK_MS)
		ix_blocks_release(&state->blocks, block);
	else
		ix_blocks_drop(&state->blocks, block);
}

static void ix_remove_block(struct _ix_engine *state, uint64_t id,
			    uint32_t tick)
{
	struct ix_block *block = ix_blocks_find(&state->blocks, id);

	if (!block)
		return;
	if (block->is_held)
		ix_update_eviction_age(state,
				       (double)(tick - block->stored_tick) *
					       IX_TICK_MS);
	ix_release_or_drop(state, block, tick);
}

static void ix_clear_blocks(struct ix_index *index, struct _ix_engine *state)
{
	index->_block_count -= state->blocks.count;
	ix_blocks_finish(&state->blocks);
}

static void ix_apply_change(struct ix_index *index, struct _ix_engine *state,
			    enum ix_event_kind kind, uint64_t block,
			    uint32_t tick)
{
	uint32_t before = state->blocks.count;

	switch (kind) {
	case IX_STORED:
		ix_blocks_store(&state->blocks, block, tick);
		break;
	case IX_REMOVED:
		ix_remove_block(state, block, tick);
		break;
	case IX_CLEARED:
		ix_clear_blocks(index, state);
		return;
	case IX_LOAD:
	case IX_OTHER:
		return;
	}
	ix_update_block_count(index, state, before);
}

static void ix_journal_change(struct _ix_engine *state, uint64_t sequence,
			      enum ix_event_kind kind, uint64_t block)
{
	struct _ix_change change = { sequence, block, kind };

	if (!state->journal)
		return;
	if (state->journal->len < IX_MAX_JOURNAL) {
		g_array_append_val(state->journal, change);
		return;
	}
	/* Journal full: the snapshot must be at least as new as this event. */
	g_array_set_size(state->journal, 0);
	state->journal_from = sequence;
}

static void ix_set_load(struct _ix_engine *state, const struct ix_event *event,
			int64_t now_ms)
{
	state->has_load = true;
	state->load = event->load;
	state->load_sequence = event->sequence;
	state->reported_ms = now_ms - event->load.age_ms;
	ix_pending_set_report(&state->pending, state->reported_ms);
}

static void ix_apply_event(struct ix_index *index, struct _ix_engine *state,
			   const struct ix_event *event, int64_t now_ms)
{
	uint32_t tick = ix_to_ticks(index, now_ms);

	if (event->kind == IX_LOAD) {
		ix_set_load(state, event, now_ms);
	} else if (event->kind == IX_CLEARED) {
		ix_journal_change(state, event->sequence, IX_CLEARED, 0);
		ix_apply_change(index, state, IX_CLEARED, 0, tick);
	} else if (event->kind != IX_OTHER) {
		for (uint32_t i = 0; i < event->block_count; i++) {
			ix_journal_change(state, event->sequence, event->kind,
					  event->blocks[i]);
			ix_apply_change(index, state, event->kind,
					event->blocks[i], tick);
		}
	}
}

/*
 * A snapshot may cover events that arrive later, but it has no load, so a newer
 * load report is applied all the same.
 */
static enum ix_effect ix_apply_covered(struct _ix_engine *state,
				       const struct ix_event *event,
				       int64_t now_ms)
{
	if (event->kind != IX_LOAD || event->sequence <= state->load_sequence)
		return IX_IGNORED;
	ix_set_load(state, event, now_ms);
	return IX_NONE;
}

enum ix_effect ix_event(struct ix_index *index, uint64_t engine,
			const struct ix_event *event, int64_t now_ms)
{
	struct _ix_engine *state = ix_find_engine(index, engine);
	enum ix_effect effect = IX_NONE;

	if (!state || event->incarnation < state->incarnation)
		return IX_IGNORED;
	if (event->incarnation > state->incarnation) {
		effect = state->incarnation ? IX_RESTARTED : IX_NONE;
		ix_reset(index, state, event->incarnation);
	}
	if (event->sequence <= state->sequence)
		return ix_apply_covered(state, event, now_ms);
	if (event->sequence != state->sequence + 1) {
		state->is_complete = false;
		state->first_after_gap = event->sequence;
		state->lost_events +=
			state->sequence ? event->sequence - state->sequence - 1
					: IX_LOST_UNKNOWN;
		/* Joining a stream late is not reported as a gap. */
		if (effect == IX_NONE && state->sequence)
			effect = IX_GAP;
	}
	state->sequence = event->sequence;
	ix_apply_event(index, state, event, now_ms);
	return effect;
}

bool ix_needs_snapshot(const struct ix_index *index, uint64_t engine)
{
	const struct _ix_engine *state = ix_find_engine(index, engine);

	return state && !state->journal && !state->is_complete;
}

void ix_snapshot_begin(struct ix_index *index, uint64_t engine)
{
	struct _ix_engine *state = ix_find_engine(index, engine);

	if (!state || state->journal)
		return;
	state->journal = g_array_new(FALSE, FALSE, sizeof(struct _ix_change));
	state->journal_from = state->sequence;
}

void ix_snapshot_cancel(struct ix_index *index, uint64_t engine)
{
	struct _ix_engine *state = ix_find_engine(index, engine);

	if (!state || !state->journal)
		return;
	g_array_unref(state->journal);
	state->journal = NULL;
}

/* Replaces the set of held blocks by that of the snapshot. */
static void ix_replace_blocks(struct ix_index *index, struct _ix_engine *state,
			      const uint64_t *blocks, uint32_t count,
			      uint32_t tick)
{
	uint32_t before = state->blocks.count;
	uint32_t slot;

	for (uint32_t i = 0; i < count; i++)
		ix_blocks_store(&state->blocks, blocks[i], tick)->is_marked = 1;
	slot = state->blocks.oldest;
	while (slot) {
		struct ix_block *block = &state->blocks.pool[slot];

		slot = block->newer;
		if (block->is_held && !block->is_marked)
			ix_release_or_drop(state, block, tick);
		else
			block->is_marked = 0;
	}
	ix_update_block_count(index, state, before);
}

static void ix_replay(struct ix_index *index, struct _ix_engine *state,
		      uint64_t after, uint32_t tick)
{
	for (guint i = 0; i < state->journal->len; i++) {
		const struct _ix_change *c =
			&g_array_index(state->journal, struct _ix_change, i);

		if (c->sequence > after)
			ix_apply_change(index, state, c->kind, c->block, tick);
	}
}

enum st_code ix_snapshot_end(struct ix_index *index, uint64_t engine,
			     uint64_t incarnation, uint64_t sequence,
			     const uint64_t *blocks, uint32_t count,
			     int64_t now_ms)
{
	struct _ix_engine *state = ix_find_engine(index, engine);
	uint32_t tick = ix_to_ticks(index, now_ms);

	if (!state || !state->journal)
		return ST_NOT_FOUND;
	if (incarnation > state->incarnation)
		ix_reset(index, state, incarnation);
	if (incarnation < state->incarnation ||
	    sequence < state->journal_from) {
		ix_snapshot_cancel(index, engine);
		return st_fail(
			ST_STALE,
			"snapshot is older than the events already applied");
	}
	ix_replace_blocks(index, state, blocks, count, tick);
	ix_replay(index, state, sequence, tick);
	ix_snapshot_cancel(index, engine);
	state->sequence = MAX(state->sequence, sequence);
	state->is_complete = sequence + 1 >= state->first_after_gap;
	if (state->is_complete)
		state->lost_events = 0;
	return ST_OK;
}
