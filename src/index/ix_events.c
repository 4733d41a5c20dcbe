#include "index/ix_engine.h"

void ix_set_connected(struct ix_index *index, uint64_t engine,
		      bool is_connected, int64_t now_ms)
{
	struct _ix_engine *e = ix_find_engine(index, engine);

	if (!e)
		return;
	if (is_connected)
		e->disconnected_since_ms = 0;
	else if (!e->disconnected_since_ms)
		e->disconnected_since_ms = MAX(now_ms, 1);
}

/*
 * Stochastic estimate of a quantile: each sample scales it by a small factor.
 * The step up is smaller than the step down because the quantile is low.
 */
static void ix_update_eviction_age(struct _ix_engine *e, double age_ms)
{
	if (e->eviction_age_ms <= 0.)
		e->eviction_age_ms = MAX(age_ms, IX_TICK_MS);
	else if (age_ms < e->eviction_age_ms)
		e->eviction_age_ms *=
			1. - IX_EVICTION_GAIN * (1. - IX_EVICTION_QUANTILE);
	else
		e->eviction_age_ms *=
			1. + IX_EVICTION_GAIN * IX_EVICTION_QUANTILE;
}

/*
 * Handles an evicted block. Events are delayed: if a record listed the block
 * recently, the engine may have computed it again and the stored event may
 * still be on its way. The keys of such a block are kept until it expires.
 */
static void ix_release_or_drop(struct _ix_engine *e, struct ix_block *block,
			       uint32_t tick)
{
	if (block->recorded_tick &&
	    tick - block->recorded_tick <= IX_UNCONFIRMED_MS / IX_TICK_MS)
		ix_blocks_release(&e->blocks, block);
	else
		ix_blocks_drop(&e->blocks, block);
}

static void ix_remove_block(struct _ix_engine *e, uint64_t id, uint32_t tick)
{
	struct ix_block *block = ix_blocks_find(&e->blocks, id);

	if (!block)
		return;
	if (block->is_held)
		ix_update_eviction_age(e, (double)(tick - block->stored_tick) *
						  IX_TICK_MS);
	ix_release_or_drop(e, block, tick);
}

static void ix_clear_blocks(struct ix_index *index, struct _ix_engine *e)
{
	index->_block_count -= e->blocks.count;
	ix_blocks_finish(&e->blocks);
}

static void ix_apply_change(struct ix_index *index, struct _ix_engine *e,
			    enum ix_event_kind kind, uint64_t block,
			    uint32_t tick)
{
	uint32_t before = e->blocks.count;

	switch (kind) {
	case IX_STORED:
		ix_blocks_store(&e->blocks, block, tick);
		break;
	case IX_REMOVED:
		ix_remove_block(e, block, tick);
		break;
	case IX_CLEARED:
		ix_clear_blocks(index, e);
		return;
	case IX_LOAD:
	case IX_OTHER:
		return;
	}
	ix_update_block_count(index, e, before);
}

static void ix_journal_change(struct _ix_engine *e, uint64_t sequence,
			      enum ix_event_kind kind, uint64_t block)
{
	struct _ix_change change = { sequence, block, kind };

	if (!e->journal)
		return;
	if (e->journal->len < IX_MAX_JOURNAL) {
		g_array_append_val(e->journal, change);
		return;
	}
	/* Journal full: the snapshot must be at least as new as this event. */
	g_array_set_size(e->journal, 0);
	e->journal_from = sequence;
}

static void ix_set_load(struct _ix_engine *e, const struct ix_event *event,
			int64_t now_ms)
{
	e->has_load = true;
	e->load = event->load;
	e->load_sequence = event->sequence;
	e->reported_ms = now_ms - event->load.age_ms;
	ix_pending_set_report(&e->pending, e->reported_ms);
}

static void ix_apply_event(struct ix_index *index, struct _ix_engine *e,
			   const struct ix_event *event, int64_t now_ms)
{
	uint32_t tick = ix_to_ticks(index, now_ms);

	if (event->kind == IX_LOAD) {
		ix_set_load(e, event, now_ms);
	} else if (event->kind == IX_CLEARED) {
		ix_journal_change(e, event->sequence, IX_CLEARED, 0);
		ix_apply_change(index, e, IX_CLEARED, 0, tick);
	} else if (event->kind != IX_OTHER) {
		for (uint32_t i = 0; i < event->block_count; i++) {
			ix_journal_change(e, event->sequence, event->kind,
					  event->blocks[i]);
			ix_apply_change(index, e, event->kind, event->blocks[i],
					tick);
		}
	}
}

/*
 * A snapshot may cover events that arrive later, but it has no load, so a newer
 * load report is applied all the same.
 */
static enum ix_effect ix_apply_covered(struct _ix_engine *e,
				       const struct ix_event *event,
				       int64_t now_ms)
{
	if (event->kind != IX_LOAD || event->sequence <= e->load_sequence)
		return IX_IGNORED;
	ix_set_load(e, event, now_ms);
	return IX_NONE;
}

enum ix_effect ix_event(struct ix_index *index, uint64_t engine,
			const struct ix_event *event, int64_t now_ms)
{
	struct _ix_engine *e = ix_find_engine(index, engine);
	enum ix_effect effect = IX_NONE;

	if (!e || event->incarnation < e->incarnation)
		return IX_IGNORED;
	if (event->incarnation > e->incarnation) {
		effect = e->incarnation ? IX_RESTARTED : IX_NONE;
		ix_reset(index, e, event->incarnation);
	}
	if (event->sequence <= e->sequence)
		return ix_apply_covered(e, event, now_ms);
	if (event->sequence != e->sequence + 1) {
		e->is_complete = false;
		e->first_after_gap = event->sequence;
		e->lost_events += e->sequence
					  ? event->sequence - e->sequence - 1
					  : IX_LOST_UNKNOWN;
		/* Joining a stream late is not reported as a gap. */
		if (effect == IX_NONE && e->sequence)
			effect = IX_GAP;
	}
	e->sequence = event->sequence;
	ix_apply_event(index, e, event, now_ms);
	return effect;
}

bool ix_needs_snapshot(const struct ix_index *index, uint64_t engine)
{
	const struct _ix_engine *e = ix_find_engine(index, engine);

	return e && !e->journal && !e->is_complete;
}

void ix_snapshot_begin(struct ix_index *index, uint64_t engine)
{
	struct _ix_engine *e = ix_find_engine(index, engine);

	if (!e || e->journal)
		return;
	e->journal = g_array_new(FALSE, FALSE, sizeof(struct _ix_change));
	e->journal_from = e->sequence;
}

void ix_snapshot_cancel(struct ix_index *index, uint64_t engine)
{
	struct _ix_engine *e = ix_find_engine(index, engine);

	if (!e || !e->journal)
		return;
	g_array_unref(e->journal);
	e->journal = NULL;
}

/* Replaces the set of held blocks by that of the snapshot. */
static void ix_replace_blocks(struct ix_index *index, struct _ix_engine *e,
			      const uint64_t *blocks, uint32_t count,
			      uint32_t tick)
{
	uint32_t before = e->blocks.count;
	uint32_t slot;

	for (uint32_t i = 0; i < count; i++)
		ix_blocks_store(&e->blocks, blocks[i], tick)->is_marked = 1;
	slot = e->blocks.oldest;
	while (slot) {
		struct ix_block *block = &e->blocks.pool[slot];

		slot = block->newer;
		if (block->is_held && !block->is_marked)
			ix_release_or_drop(e, block, tick);
		else
			block->is_marked = 0;
	}
	ix_update_block_count(index, e, before);
}

static void ix_replay(struct ix_index *index, struct _ix_engine *e,
		      uint64_t after, uint32_t tick)
{
	for (guint i = 0; i < e->journal->len; i++) {
		const struct _ix_change *c =
			&g_array_index(e->journal, struct _ix_change, i);

		if (c->sequence > after)
			ix_apply_change(index, e, c->kind, c->block, tick);
	}
}

enum st_code ix_snapshot_end(struct ix_index *index, uint64_t engine,
			     uint64_t incarnation, uint64_t sequence,
			     const uint64_t *blocks, uint32_t count,
			     int64_t now_ms)
{
	struct _ix_engine *e = ix_find_engine(index, engine);
	uint32_t tick = ix_to_ticks(index, now_ms);

	if (!e || !e->journal)
		return ST_NOT_FOUND;
	if (incarnation > e->incarnation)
		ix_reset(index, e, incarnation);
	if (incarnation < e->incarnation || sequence < e->journal_from) {
		ix_snapshot_cancel(index, engine);
		return st_fail(
			ST_STALE,
			"snapshot is older than the events already applied");
	}
	ix_replace_blocks(index, e, blocks, count, tick);
	ix_replay(index, e, sequence, tick);
	ix_snapshot_cancel(index, engine);
	e->sequence = MAX(e->sequence, sequence);
	e->is_complete = sequence + 1 >= e->first_after_gap;
	if (e->is_complete)
		e->lost_events = 0;
	return ST_OK;
}
