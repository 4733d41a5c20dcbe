/*
 * ix - prefix index: the cache contents and load of each engine.
 *
 * Overview
 *	Pure state without sockets or clocks; the index task (index_task.h)
 *	updates and queries it. For each engine owned by this process it
 *	stores the incarnation, the last load report, the cache blocks, and
 *	the keys of prompt chains (px.h) that each block completes.
 *
 *	Events report blocks by the engine's own ids. Request records list
 *	the blocks of a prompt in order and so map keys to blocks. An event
 *	and a record for the same block may arrive in either order.
 *
 *	Every event has a sequence number. A gap lowers the confidence in
 *	the entries until a snapshot of the cache has been applied. Events
 *	that arrive while the snapshot is fetched are kept in a journal and
 *	replayed on top of it, since the snapshot may be older than they are.
 *
 *	An answer is a hint with a confidence. A higher incarnation means
 *	that the engine has restarted and drops all its entries at once.
 *
 * Use
 *	ix_init(&index, &(struct ix_desc){ 0 });
 *	ix_own(&index, engine_id, now_ms);
 *	ix_event(&index, engine_id, &event, now_ms);
 *	ix_record(&index, &record, now_ms);
 *	ix_lookup(&index, engine_id, keys, count, now_ms, &answer);
 *
 * Bounds
 *	max_blocks limits the blocks of all engines together. Above it, the
 *	oldest block of the engine with the most blocks is evicted.
 *	max_requests limits the requests in flight of each engine.
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
/* Lifetime of a block that a record lists and no event has confirmed. */
#define IX_UNCONFIRMED_MS 5000
/* A request without records for this time is treated as finished. */
#define IX_REQUEST_EXPIRES_MS 60000
/* Confidence falls to 0 within this time after the event stream breaks. */
#define IX_DISCONNECTED_DECAY_MS 20000
/* Lower bound of the confidence while events are known to be missing. */
#define IX_MIN_GAP_CONFIDENCE_PERMILLE 500
/* Each missing event may affect any of this many blocks of a chain. */
#define IX_TYPICAL_CHAIN_BLOCKS	   16
#define IX_MIN_AGE_FACTOR_PERMILLE 100
/* Share of blocks that are evicted younger than the estimated age. */
#define IX_EVICTION_QUANTILE 0.2
#define IX_EVICTION_GAIN     0.02

struct _ix_engine;

/**
 * struct ix_desc - zero means default.
 * @max_blocks: limit over all engines.
 * @max_requests: limit of requests in flight at one engine.
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

/** enum ix_event_kind - IX_OTHER only advances the sequence number. */
enum ix_event_kind { IX_STORED = 0, IX_REMOVED, IX_CLEARED, IX_LOAD, IX_OTHER };

/**
 * struct ix_load - a load report.
 * @is_leaving: the engine accepts no new requests.
 * @age_ms: age of the report when it was sent.
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
 * @sequence: number within the incarnation, from 1 without gaps.
 * @blocks: set for IX_STORED and IX_REMOVED.
 * @load: set for IX_LOAD.
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
 * enum ix_effect - result of an event.
 * @IX_NONE: nothing unusual.
 * @IX_RESTARTED: a higher incarnation; all entries were dropped.
 * @IX_GAP: events are missing before this one.
 * @IX_IGNORED: the event has an old incarnation or is a duplicate.
 */
enum ix_effect { IX_NONE = 0, IX_RESTARTED, IX_GAP, IX_IGNORED };

enum ix_phase { IX_SENT = 0, IX_PREFILLED, IX_ENDED };

/**
 * struct ix_record - report of an entry host on one request; see
 * balsampin.x.
 * @incarnation: 0 if unknown to the entry host; @blocks is then ignored.
 * @request: unique over all entry hosts.
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
 * struct ix_answer - state of an engine with respect to one chain.
 * @has_load: a load report was received; otherwise the load fields are 0.
 * @held: leading keys of the chain whose blocks are in the cache.
 * @pending: like @held, plus keys that a request in flight computes and keys
 *	whose blocks are listed in a record and not yet confirmed by an event.
 * @confidence_permille: confidence that @held is still correct.
 * @load_age_ms: current age of the load report.
 * @sent_tokens: prompt tokens sent since the report and not yet computed.
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
 * struct ix_stats - statistics of one engine.
 * @eviction_age_ms: estimated age of blocks at eviction; 0 if no block was
 *	removed yet.
 * @bytes: memory of the engine's tables.
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

/** ix_own() - add an engine; ST_FULL if IX_MAX_ENGINES are owned. */
enum st_code ix_own(struct ix_index *index, uint64_t engine, int64_t now_ms);

/** ix_disown() - drop an engine and all its entries. */
void ix_disown(struct ix_index *index, uint64_t engine);

/** ix_owns() - whether the engine is in the index. */
bool ix_owns(const struct ix_index *index, uint64_t engine);

/** ix_set_connected() - set whether the engine's event stream is open. */
void ix_set_connected(struct ix_index *index, uint64_t engine,
		      bool is_connected, int64_t now_ms);

/** ix_event() - apply one event. */
enum ix_effect ix_event(struct ix_index *index, uint64_t engine,
			const struct ix_event *event, int64_t now_ms);

/** ix_needs_snapshot() - whether events are missing or none were received. */
bool ix_needs_snapshot(const struct ix_index *index, uint64_t engine);

/** ix_snapshot_begin() - start the journal before a snapshot is requested. */
void ix_snapshot_begin(struct ix_index *index, uint64_t engine);

/**
 * ix_snapshot_end() - apply a snapshot: the blocks held after @sequence.
 *
 * Return: ST_STALE if the snapshot has an older incarnation or predates the
 * journal started by ix_snapshot_begin(); another snapshot is then needed.
 */
enum st_code ix_snapshot_end(struct ix_index *index, uint64_t engine,
			     uint64_t incarnation, uint64_t sequence,
			     const uint64_t *blocks, uint32_t count,
			     int64_t now_ms);

/** ix_snapshot_cancel() - drop the journal; no snapshot will follow. */
void ix_snapshot_cancel(struct ix_index *index, uint64_t engine);

/**
 * ix_record() - apply a record.
 *
 * Return: ST_NOT_FOUND for an engine that is not owned, ST_STALE for an older
 * incarnation.
 */
enum st_code ix_record(struct ix_index *index, const struct ix_record *record,
		       int64_t now_ms);

/** ix_lookup() - look up a chain; ST_NOT_FOUND if the engine is not owned. */
enum st_code ix_lookup(const struct ix_index *index, uint64_t engine,
		       const uint64_t *keys, uint32_t count, int64_t now_ms,
		       struct ix_answer *answer);

/**
 * ix_expire() - drop expired requests and unconfirmed blocks; call about once a
 * second.
 */
void ix_expire(struct ix_index *index, int64_t now_ms);

/** ix_stats() - copy statistics; ST_NOT_FOUND if the engine is not owned. */
enum st_code ix_stats(const struct ix_index *index, uint64_t engine,
		      struct ix_stats *stats);

#endif
