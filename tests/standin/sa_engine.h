/*
 * sa_engine - a stand-in model engine.
 *
 * Overview
 *	Requests wait in the order of priority; prefill is one at a time and
 *	charges time for each missed block, decoding goes on side by side. A
 *	run outlives its connection, so that a stream can be resumed.
 *
 *	sa_engine.c	server, life (crash, freeze, silence), routes
 *	sa_run.c	requests from queue to last token
 *	sa_stream.c	output of a run: events, resume, cancel
 *	sa_events.c	cache events and load reports
 *	sa_orders.c	status, orders, export and import
 */
#ifndef SA_ENGINE_H
#define SA_ENGINE_H

#include "sa.h"
#include "sa_cache.h"

/** struct sa_engine_desc - fields of the file. */
struct sa_engine_desc {
	char name[64];
	char address[64];
	char zone[64];
	char region[64];
	uint16_t port;
	uint32_t block_tokens;
	uint32_t bytes_per_token;
	uint32_t cache_blocks;
	double prefill_tokens_per_s;
	uint32_t token_ms;
	uint32_t event_delay_ms;
	uint32_t load_period_ms;
	uint32_t max_running;
	uint32_t load_ms;
	bool checks_orders;
};

/** struct sa_model - weights that the engine holds or loads. */
struct sa_model {
	struct sa_engine *engine;
	char *name;
	char *version;
	char *adapter;
	bool is_ready;
	ev_timer loading;
};

/** enum sa_run_state - stages of a run. */
enum sa_run_state {
	SA_WAITING = 0,
	SA_PREFILL,
	SA_DECODE,
	SA_DONE,
	SA_CANCELLED,
	SA_CRASHED
};

/**
 * struct sa_run - one request. After its end only the record is left.
 * @exchange: who reads the answer, or NULL.
 * @wasted_blocks: computed although another live engine of the zone had them.
 * @answered_tokens: of the answer, already in "continue_from".
 */
struct sa_run {
	struct sa_engine *engine;
	struct hs_exchange *exchange;
	enum sa_run_state state;
	char *id;
	char *salt;
	char *model;
	char *version;
	char *prompt;
	uint64_t prompt_bytes;
	uint64_t prompt_hash;
	uint64_t answer_seed;
	uint64_t order;
	int64_t priority;
	bool is_chat;
	bool is_stream;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t answered_tokens;
	uint32_t produced_tokens;
	uint32_t cached_blocks;
	uint32_t computed_blocks;
	uint32_t wasted_blocks;
	GArray *blocks;
	GString *out;
	GArray *event_ends;
	ev_timer timer;
};

/** struct sa_event - a cache event or load report. */
struct sa_event {
	uint64_t seq;
	double due;
	bool is_lost;
	char *text;
};

/**
 * struct sa_engine - an engine.
 * @runs: every run, for the records.
 * @streams: request id to the run that can be resumed or cancelled.
 * @waiting: runs by priority and order of arrival.
 * @held: exchanges that came while frozen.
 * @ports: callers' ports seen since the last silence.
 * @silent_ports: connections that have gone silent for good.
 */
struct sa_engine {
	struct sa_engine_desc desc;
	struct sa_world *world;
	struct hs_server server;
	bool is_up;
	bool is_frozen;
	bool is_leaving;
	char *role;
	uint64_t incarnation;
	uint64_t fencing;
	ev_timer restart;
	ev_timer thaw;
	struct sa_cache cache;
	GPtrArray *models;
	GPtrArray *orders;
	GPtrArray *imports;

	GPtrArray *runs;
	GHashTable *streams;
	GQueue finished;
	GQueue waiting;
	struct sa_run *prefilling;
	uint32_t decoding;
	uint64_t next_order;
	GQueue held;
	GHashTable *ports;
	GHashTable *silent_ports;

	GQueue events;
	uint64_t seq;
	uint64_t published_seq;
	uint32_t lose_events;
	GPtrArray *watchers;
	ev_timer publish;
	ev_timer report;
};

/** sa_engine_new() - start an engine described by the file. */
struct sa_engine *sa_engine_new(struct sa_world *world, struct json_object *o,
				struct json_object *defaults);

struct sa_engine *sa_engine_find(struct sa_world *world, const char *name);

/** sa_engine_crash() - down for @down_ms, then back with an empty cache. */
void sa_engine_crash(struct sa_engine *engine, int64_t down_ms);

/** sa_engine_freeze() - no answer at all for @ms. */
void sa_engine_freeze(struct sa_engine *engine, int64_t ms);

/** sa_engine_silence() - connections of now say nothing any more. */
void sa_engine_silence(struct sa_engine *engine);

/** sa_engine_live() - up and not frozen. */
static inline bool sa_engine_live(const struct sa_engine *engine)
{
	return engine->is_up && !engine->is_frozen;
}

/* sa_run.c */
void sa_run_start(struct sa_engine *engine, struct hs_exchange *x,
		  bool is_chat);
void sa_run_schedule(struct sa_engine *engine);
void sa_run_finish(struct sa_run *run, enum sa_run_state state);
const char *sa_run_state_name(enum sa_run_state state);
/** sa_run_waiting_tokens() - that the queue would have to compute. */
uint64_t sa_run_waiting_tokens(struct sa_engine *engine);

/* sa_stream.c */
void sa_stream_begin(struct sa_run *run);
void sa_stream_token(struct sa_run *run, const char *text, bool is_last);
void sa_stream_end(struct sa_run *run);
void sa_stream_detach(struct sa_engine *engine, struct hs_exchange *x);
void sa_stream_resume(struct sa_engine *engine, struct hs_exchange *x,
		      const char *id);
void sa_stream_cancel(struct sa_engine *engine, struct hs_exchange *x,
		      const char *id);

/* sa_events.c */
void sa_events_start(struct sa_engine *engine);
void sa_events_stop(struct sa_engine *engine);
void sa_events_add(struct sa_engine *engine, const char *name,
		   struct json_object *data);
void sa_events_block(void *engine, bool stored, uint64_t id);
void sa_events_flush(struct sa_engine *engine);
void sa_events_watch(struct sa_engine *engine, struct hs_exchange *x);
void sa_events_snapshot(struct sa_engine *engine, struct hs_exchange *x);

/* sa_orders.c */
void sa_orders_set_models(struct sa_engine *engine, struct json_object *list,
			  bool at_once);
struct sa_model *sa_orders_model(struct sa_engine *engine, const char *name,
				 const char *version);
void sa_orders_status(struct sa_engine *engine, struct hs_exchange *x);
void sa_orders_take(struct sa_engine *engine, struct hs_exchange *x);
void sa_orders_export(struct sa_engine *engine, struct hs_exchange *x);
void sa_orders_import(struct sa_engine *engine, struct hs_exchange *x);
void sa_orders_detach(struct sa_engine *engine, struct hs_exchange *x);
/** sa_orders_restart() - a new incarnation has to load its weights again. */
void sa_orders_restart(struct sa_engine *engine);

#endif
