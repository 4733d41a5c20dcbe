/*
 * lm_engine - how many requests this entry runs at a time on one engine.
 *
 * Overview
 *	A gradient rule, per engine. The time to the first token of a request,
 *	per token that it computed, is compared with the best seen of late.
 *	While it is near the best the limit grows by its square root whenever
 *	it is in use; when the engine slows down the limit shrinks in
 *	proportion, and a refusal or failure by overload halves it. The best
 *	rises slowly by itself, so that a change of model is followed.
 *
 * Use
 *	candidate.max_running = lm_engine_limit(&table, engine);
 *	lm_engine_first_token(&table, engine, took_ms, new_tokens, running);
 *	lm_engine_overloaded(&table, engine);
 */
#ifndef LM_ENGINE_H
#define LM_ENGINE_H

#include <glib.h>
#include <stdint.h>

#define LM_ENGINE_MIN		  4
#define LM_ENGINE_DEFAULT_MAX	  256
#define LM_ENGINE_DEFAULT_INITIAL 32
#define LM_MAX_ENGINES		  4096

/** struct lm_engine_desc - zero means default. */
struct lm_engine_desc {
	uint32_t initial;
	uint32_t max;
};

struct lm_engine_table {
	struct lm_engine_desc desc;
	GHashTable *_engines;
};

void lm_engine_init(struct lm_engine_table *table,
		    const struct lm_engine_desc *desc);
void lm_engine_finish(struct lm_engine_table *table);

/** lm_engine_limit() - for struct rt_candidate's @max_running. */
uint32_t lm_engine_limit(const struct lm_engine_table *table, uint64_t engine);

/**
 * lm_engine_first_token() - a request got its first token.
 * @took_ms: since it was sent to the engine.
 * @new_tokens: prompt tokens that the engine computed for it.
 * @running: requests of this entry that ran there when it was sent.
 */
void lm_engine_first_token(struct lm_engine_table *table, uint64_t engine,
			   uint32_t took_ms, uint32_t new_tokens,
			   uint32_t running);

/** lm_engine_overloaded() - it refused a request for lack of room. */
void lm_engine_overloaded(struct lm_engine_table *table, uint64_t engine);

/** lm_engine_forget() - it restarted, or is gone. */
void lm_engine_forget(struct lm_engine_table *table, uint64_t engine);

#endif
