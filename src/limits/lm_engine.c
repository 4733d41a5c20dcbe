#include "limits/lm_engine.h"

#include <math.h>

#include "fleet/fl_notice.h"

/* Fixed part of the time to the first token, expressed in tokens. */
#define LM_FIXED_TOKENS 512
/* A slowdown below this factor counts as noise ... */
#define LM_TOLERANCE 1.5
/* ... and so does a smaller difference in time, whatever the factor. */
#define LM_NOISE_US 50000.0
/* Weight of a new sample in the smoothed time. */
#define LM_SMOOTHING 0.1
/* The best time rises by this fraction with every sample. */
#define LM_BEST_DRIFT 0.001
/* Lower bound on the factor by which the limit shrinks in one step. */
#define LM_MIN_GRADIENT 0.5
/* Weight of the new limit in the smoothed limit. */
#define LM_LIMIT_SMOOTHING 0.2

/* Times are per computed token. */
struct _lm_engine {
	uint64_t id;
	double limit;
	double best_us;
	double recent_us;
	struct fl_notice notice;
};

void lm_engine_init(struct lm_engine_table *table,
		    const struct lm_engine_desc *desc)
{
	table->desc = *desc;
	if (!table->desc.initial)
		table->desc.initial = LM_ENGINE_DEFAULT_INITIAL;
	if (!table->desc.max)
		table->desc.max = LM_ENGINE_DEFAULT_MAX;
	table->_engines = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
}

void lm_engine_finish(struct lm_engine_table *table)
{
	g_hash_table_destroy(table->_engines);
}

uint32_t lm_engine_limit(const struct lm_engine_table *table, uint64_t engine)
{
	const struct _lm_engine *state =
		g_hash_table_lookup(table->_engines, &engine);

	return state ? (uint32_t)state->limit : table->desc.initial;
}

static struct _lm_engine *lm_engine_get(struct lm_engine_table *table,
					uint64_t id)
{
	struct _lm_engine *state = g_hash_table_lookup(table->_engines, &id);

	if (state || g_hash_table_size(table->_engines) >= LM_MAX_ENGINES)
		return state;
	state = g_new0(struct _lm_engine, 1);
	state->id = id;
	state->limit = table->desc.initial;
	g_hash_table_insert(table->_engines, &state->id, state);
	return state;
}

static void lm_engine_set_limit(const struct lm_engine_table *table,
				struct _lm_engine *state, double limit)
{
	if (limit < LM_ENGINE_MIN)
		limit = LM_ENGINE_MIN;
	if (limit > table->desc.max)
		limit = table->desc.max;
	state->limit = limit;
}

static void lm_engine_add_sample(struct _lm_engine *state, double us)
{
	if (state->best_us == 0.0) {
		state->best_us = us;
		state->recent_us = us;
		return;
	}
	state->recent_us += (us - state->recent_us) * LM_SMOOTHING;
	state->best_us *= 1.0 + LM_BEST_DRIFT;
	if (us < state->best_us)
		state->best_us = us;
}

void lm_engine_first_token(struct lm_engine_table *table, uint64_t engine,
			   uint32_t took_ms, uint32_t new_tokens,
			   uint32_t running)
{
	struct _lm_engine *state = lm_engine_get(table, engine);
	double tokens = (double)((uint64_t)new_tokens + LM_FIXED_TOKENS);
	double us = 1000.0 * (took_ms ? took_ms : 1) / tokens;
	double gradient, target;

	if (!state)
		return;
	lm_engine_add_sample(state, us);
	/*
	 * If the limit is not in use, the time is no evidence for or against
	 * it.
	 */
	if (running * 2 < (uint32_t)state->limit)
		return;
	gradient = LM_TOLERANCE * state->best_us / state->recent_us;
	if (gradient < LM_MIN_GRADIENT)
		gradient = LM_MIN_GRADIENT;
	if (gradient >= 1.0 ||
	    (state->recent_us - state->best_us) * tokens < LM_NOISE_US)
		gradient = 1.0;
	target = state->limit * gradient +
		 (gradient < 1.0 ? 0.0 : sqrt(state->limit));
	lm_engine_set_limit(table, state,
			    state->limit + (target - state->limit) *
						   LM_LIMIT_SMOOTHING);
}

void lm_engine_overloaded(struct lm_engine_table *table, uint64_t engine)
{
	struct _lm_engine *state = lm_engine_get(table, engine);

	if (state)
		lm_engine_set_limit(table, state, state->limit / 2.0);
}

bool lm_engine_pause(struct lm_engine_table *table, uint64_t engine,
		     int64_t pause_ms, int64_t now_ms)
{
	struct _lm_engine *state = lm_engine_get(table, engine);

	return state && fl_notice_pause(&state->notice, pause_ms, now_ms);
}

int64_t lm_engine_pause_left_ms(const struct lm_engine_table *table,
				uint64_t engine, int64_t now_ms)
{
	const struct _lm_engine *state =
		g_hash_table_lookup(table->_engines, &engine);

	return state ? MAX(state->notice.pause_until_ms - now_ms, 0) : 0;
}

void lm_engine_forget(struct lm_engine_table *table, uint64_t engine)
{
	g_hash_table_remove(table->_engines, &engine);
}
