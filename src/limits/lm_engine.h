/*
 * lm_engine - adaptive limit on the concurrent requests of an engine.
 *
 * Overview
 *	A gradient algorithm limits what this entry runs on each engine. The
 *	time to the first token of a request, per token that the engine
 *	computed, is compared with the best recent time. While it is near the
 *	best, the limit grows by its square root whenever it is in use; when
 *	the engine slows down, the limit shrinks in proportion, and a refusal
 *	or failure due to overload halves it. The best time rises slowly by
 *	itself, so that the limit adapts to a change of model.
 *
 *	An engine that asks for a pause with a refusal is not used until it is
 *	over; see fleet/fl_notice.h.
 *
 * Use
 *	candidate.max_running = lm_engine_limit(&table, engine);
 *	lm_engine_first_token(&table, engine, took_ms, new_tokens, running);
 *	lm_engine_overloaded(&table, engine);
 */
#ifndef LM_ENGINE_H
#define LM_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define LM_ENGINE_MIN		  4
#define LM_ENGINE_DEFAULT_MAX	  256
#define LM_ENGINE_DEFAULT_INITIAL 32
#define LM_MAX_ENGINES		  4096

/** struct lm_engine_desc - initial and highest limit; zero means default. */
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

/**
 * lm_engine_limit() - current limit, for @max_running of struct rt_candidate.
 */
uint32_t lm_engine_limit(const struct lm_engine_table *table, uint64_t engine);

/**
 * lm_engine_first_token() - record the first token of a request.
 * @took_ms: time since the request was sent to the engine.
 * @new_tokens: prompt tokens that the engine computed for it.
 * @running: requests of this entry on the engine when it was sent.
 */
void lm_engine_first_token(struct lm_engine_table *table, uint64_t engine,
			   uint32_t took_ms, uint32_t new_tokens,
			   uint32_t running);

/** lm_engine_overloaded() - record a refusal for lack of capacity. */
void lm_engine_overloaded(struct lm_engine_table *table, uint64_t engine);

/**
 * lm_engine_pause() - record that an engine asks for a pause; returns whether
 * none was running.
 */
bool lm_engine_pause(struct lm_engine_table *table, uint64_t engine,
		     int64_t pause_ms, int64_t now_ms);

/** lm_engine_pause_left_ms() - rest of its pause; 0: none is running. */
int64_t lm_engine_pause_left_ms(const struct lm_engine_table *table,
				uint64_t engine, int64_t now_ms);

/**
 * lm_engine_forget() - drop the state of an engine that restarted or is gone.
 */
void lm_engine_forget(struct lm_engine_table *table, uint64_t engine);

#endif
