/*
 * ix - the prefix index: what each engine's cache holds, and its load.
 *
 * Overview
 *	Pure state without sockets and clocks: the index task (index_task.h)
 *	feeds it and asks it. For each engine that this process owns it knows
 *	the incarnation, the last load report, the cache blocks, and which
 *	keys of prompt chains (px.h) each block completes.
 *
 *	Blocks come from the engine's events by the engine's own ids. Which
 *	keys a block covers is learned from the records of requests, which
 *	name the blocks of a prompt in order. Either may come first.
 *
 *	Every event has a sequence number. A gap makes the entries doubtful
 *	until a snapshot of the cache has been taken in. Events that arrive
 *	while the snapshot is fetched are kept and applied to it again, since
 *	the snapshot may be older than they are.
 *
 *	An answer is a hint with a confidence. It never outlives a restart: a
 *	higher incarnation drops everything known of the engine at once.
 *
 * Use
 *	ix_init(&index, &(struct ix_desc){ 0 });
 *	ix_own(&index, engine_id, now_ms);
 *	ix_event(&index, engine_id, &event, now_ms);
 *	ix_record(&index, &record, now_ms);
 *	ix_lookup(&index, engine_id, keys, count, now_ms, &answer);
 *
 * Bounds
 *	All engines together have max_blocks blocks and max_requests requests
 *	in flight; the oldest block of the engine that has most gives way.
 */
#ifndef IX_H
#define IX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define IX_DEFAULT_MAX_BLOCKS	400000
#define IX_DEFAULT_MAX_REQUESTS 1024
#define IX_MAX_ENGINES		256
#define IX_MAX_JOURNAL		65536
/* A block that a record named and no event confirmed counts that long. */
#define IX_UNCONFIRMED_MS 5000
/* A request of which no record came is taken as ended after it. */
#define IX_REQUEST_EXPIRES_MS 60000
/* Without its events an engine's entries lose all confidence in this time. */
#define IX_DISCONNECTED_DECAY_MS 20000
/* Lowest confidence while events are known to be missing ... */
#define IX_MIN_GAP_CONFIDENCE_PERMILLE 500
/* ... each of which may concern one of this many blocks of a chain. */
#define IX_TYPICAL_CHAIN_BLOCKS	   16
#define IX_MIN_AGE_FACTOR_PERMILLE 100
/* Share of blocks that are evicted younger than the learned age. */
#define IX_EVICTION_QUANTILE 0.2
#define IX_EVICTION_GAIN     0.02

struct _ix_engine;

/**
 * struct ix_desc - zero means default.
 * @max_blocks: over all engines.
 * @max_requests: in flight at one engine.
 */
struct ix_desc {
	uint32_t max_blocks;
	uint32_t max_requests;
};

/** struct ix_index - all state; fields are private. */
struct ix_index {
	struct ix_desc _desc;
	int64_t _start_ms;
	GHashTable *_engines;
	uint32_t _block_count;
};

/** enum ix_event_kind - IX_OTHER has a number and no effect. */
enum ix_event_kind { IX_STORED = 0, IX_REMOVED, IX_CLEARED, IX_LOAD, IX_OTHER };

/**
 * struct ix_load - a load report.
 * @is_leaving: the engine takes no new work.
 * @age_ms: of the report when it was sent.
 */
struct ix_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t waiting_tokens;
	uint32_t prefill_tokens_per_s;
	bool is_leaving;
	uint32_t age_ms;
};

/**
 * struct ix_event - one event of an engine.
 * @sequence: from 1 without gaps within an incarnation.
 * @blocks: for IX_STORED and IX_REMOVED.
 * @load: for IX_LOAD.
 */
struct ix_event {
	uint64_t incarnation;
	uint64_t sequence;
	enum ix_event_kind kind;
	const uint64_t *blocks;
	uint32_t block_count;
	struct ix_load load;
};

/**
 * enum ix_effect - what an event brought to light.
 * @IX_NONE: nothing unusual.
 * @IX_RESTARTED: a higher incarnation; all entries were dropped.
 * @IX_GAP: events are missing before this one.
 * @IX_IGNORED: of an old incarnation, or seen before.
 */
enum ix_effect { IX_NONE = 0, IX_RESTARTED, IX_GAP, IX_IGNORED };

enum ix_phase { IX_SENT = 0, IX_PREFILLED, IX_ENDED };

/**
 * struct ix_record - what an entry says of one request; see balsampin.x.
 * @incarnation: 0 if the entry does not know it; its blocks then say nothing.
 * @request: unique over all entries.
 */
struct ix_record {
	uint64_t engine;
	uint64_t incarnation;
	uint64_t request;
	enum ix_phase phase;
	uint32_t new_tokens;
	uint32_t block_tokens;
	uint32_t prompt_bytes;
	uint32_t prompt_tokens;
	const uint64_t *keys;
	uint32_t key_count;
	const uint64_t *blocks;
	uint32_t block_count;
};

/**
 * struct ix_answer - what is known of an engine for one chain.
 * @has_load: a load report has come; else the load fields are 0.
 * @held: keys, from the first on, whose blocks are there.
 * @pending: the same, counting those that a request in flight computes and
 *	those that a record has named and no event confirmed yet.
 * @confidence_permille: that @held is still right.
 * @load_age_ms: of the report, now.
 * @sent_tokens: prompt tokens sent since the report and not computed yet.
 */
struct ix_answer {
	uint64_t incarnation;
	bool has_load;
	bool is_leaving;
	uint32_t held;
	uint32_t pending;
	uint32_t confidence_permille;
	uint32_t running;
	uint32_t waiting_tokens;
	uint32_t load_age_ms;
	uint32_t sent_tokens;
	uint32_t prefill_tokens_per_s;
};

/**
 * struct ix_stats - of one engine.
 * @eviction_age_ms: learned; 0 if no block was removed yet.
 * @bytes: memory of its tables.
 */
struct ix_stats {
	uint64_t incarnation;
	uint64_t sequence;
	bool is_incomplete;
	uint32_t blocks;
	uint32_t held;
	uint32_t keys;
	uint32_t requests;
	int64_t eviction_age_ms;
	uint64_t bytes;
};

void ix_init(struct ix_index *index, const struct ix_desc *desc,
	     int64_t now_ms);
void ix_finish(struct ix_index *index);

/** ix_own() - begin to follow an engine; ST_FULL with IX_MAX_ENGINES. */
enum st_code ix_own(struct ix_index *index, uint64_t engine, int64_t now_ms);

/** ix_disown() - drop an engine and all of its entries. */
void ix_disown(struct ix_index *index, uint64_t engine);

/** ix_owns() - whether the engine is followed. */
bool ix_owns(const struct ix_index *index, uint64_t engine);

/** ix_set_connected() - its event stream is open, or has broken. */
void ix_set_connected(struct ix_index *index, uint64_t engine,
		      bool is_connected, int64_t now_ms);

/** ix_event() - take in one event. */
enum ix_effect ix_event(struct ix_index *index, uint64_t engine,
			const struct ix_event *event, int64_t now_ms);

/** ix_needs_snapshot() - whether events are missing or none came yet. */
bool ix_needs_snapshot(const struct ix_index *index, uint64_t engine);

/** ix_snapshot_begin() - a snapshot is being asked for. */
void ix_snapshot_begin(struct ix_index *index, uint64_t engine);

/**
 * ix_snapshot_end() - take in a snapshot: the blocks held after @sequence.
 *
 * Return: ST_STALE if it is of an older incarnation or too old for the events
 * kept since ix_snapshot_begin(); another one is then needed.
 */
enum st_code ix_snapshot_end(struct ix_index *index, uint64_t engine,
			     uint64_t incarnation, uint64_t sequence,
			     const uint64_t *blocks, uint32_t count,
			     int64_t now_ms);

/** ix_snapshot_cancel() - none will come. */
void ix_snapshot_cancel(struct ix_index *index, uint64_t engine);

/**
 * ix_record() - take in a record.
 *
 * Return: ST_NOT_FOUND for an engine not owned, ST_STALE for an older
 * incarnation.
 */
enum st_code ix_record(struct ix_index *index, const struct ix_record *record,
		       int64_t now_ms);

/** ix_lookup() - ST_NOT_FOUND for an engine not owned. */
enum st_code ix_lookup(const struct ix_index *index, uint64_t engine,
		       const uint64_t *keys, uint32_t count, int64_t now_ms,
		       struct ix_answer *answer);

/** ix_expire() - expire requests; call about once a second. */
void ix_expire(struct ix_index *index, int64_t now_ms);

/** ix_stats() - ST_NOT_FOUND for an engine not owned. */
enum st_code ix_stats(const struct ix_index *index, uint64_t engine,
		      struct ix_stats *stats);

#endif
