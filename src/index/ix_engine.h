/*
 * ix_engine - private state of the index for one engine.
 *
 * Overview
 *	ix.c		ownership, records, look-ups, bounds
 *	ix_events.c	events, gaps, snapshots
 */
#ifndef IX_ENGINE_H
#define IX_ENGINE_H

#include "index/ix.h"
#include "index/ix_blocks.h"
#include "index/ix_pending.h"

/* The stream was joined late, so the number of lost events is unknown. */
#define IX_LOST_UNKNOWN UINT32_MAX

/** struct _ix_change - journal entry: a change during a snapshot fetch. */
struct _ix_change {
	uint64_t sequence;
	uint64_t block;
	enum ix_event_kind kind;
};

/**
 * struct _ix_engine - state of one engine.
 * @incarnation: 0 until the first event, record or snapshot.
 * @sequence: of the last event applied.
 * @first_after_gap: sequence number of the first event after the last gap, 0
 *	for none; a snapshot closes the gap if it is at most one event older.
 * @is_complete: every event since the start of the incarnation, or since the
 *	last snapshot, was received.
 * @lost_events: number of missing events while not @is_complete.
 * @disconnected_since_ms: when the event stream broke; 0 while it is open.
 * @load_sequence: sequence number of the last load report.
 * @reported_ms: when the engine measured its load.
 * @eviction_age_ms: estimated quantile of the age of blocks at removal.
 * @journal: array of struct _ix_change; NULL while no snapshot is fetched.
 * @journal_from: sequence number after which the journal is complete.
 */
struct _ix_engine {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t first_after_gap;
	bool is_complete;
	uint64_t lost_events;
	int64_t disconnected_since_ms;
	bool has_load;
	struct ix_load load;
	uint64_t load_sequence;
	int64_t reported_ms;
	double eviction_age_ms;
	GArray *journal;
	uint64_t journal_from;
	struct ix_blocks blocks;
	struct ix_pending pending;
};

struct _ix_engine *ix_find_engine(const struct ix_index *index,
				  uint64_t engine);

/* Drops all state of the previous incarnation. */
void ix_reset(struct ix_index *index, struct _ix_engine *state,
	      uint64_t incarnation);

uint32_t ix_to_ticks(const struct ix_index *index, int64_t now_ms);

/*
 * Updates the total after a change of the engine's blocks and enforces the
 * limit; @before is the engine's number of blocks before the change.
 */
void ix_update_block_count(struct ix_index *index,
			   const struct _ix_engine *state, uint32_t before);

#endif
