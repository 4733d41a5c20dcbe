#include "limits/lm_engine.h"

#include <math.h>

/* Tokens that stand for the fixed part of the time to the first token. */
#define LM_FIXED_TOKENS 512
/* Slower than the best by less than this is taken as noise ... */
#define LM_TOLERANCE 1.5
/* ... and so is this much of time, whatever the factor. */
#define LM_NOISE_US 50000.0
/* Part of a new measurement in the smoothed time. */
#define LM_SMOOTHING 0.1
/* By this part the best rises with every measurement. */
#define LM_BEST_RISE 0.001
/* The limit shrinks at most to this part of itself in one step. */
#define LM_MAX_SHRINK 0.5
/* Part of the new limit in the smoothed one. */
#define LM_LIMIT_SMOOTHING 0.2

/* Times are per token that was computed. */
struct _lm_engine {
	uint64_t id;
	double limit;
	double best_us;
	double recent_us;
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
	const struct _lm_engine *e =
		g_hash_table_lookup(table->_engines, &engine);

	return e ? (uint32_t)e->limit : table->desc.initial;
}

static struct _lm_engine *lm_engine_get(struct lm_engine_table *table,
					uint64_t id)
{
	struct _lm_engine *e = g_hash_table_lookup(table->_engines, &id);

	if (e || g_hash_table_size(table->_engines) >= LM_MAX_ENGINES)
		return e;
	e = g_new0(struct _lm_engine, 1);
	e->id = id;
	e->limit = table->desc.initial;
	g_hash_table_insert(table->_engines, &e->id, e);
	return e;
}

static void lm_engine_set(const struct lm_engine_table *table,
			  struct _lm_engine *e, double limit)
{
	if (limit < LM_ENGINE_MIN)
		limit = LM_ENGINE_MIN;
	if (limit > table->desc.max)
		limit = table->desc.max;
	e->limit = limit;
}

static void lm_engine_measure(struct _lm_engine *e, double us)
{
	if (e->best_us == 0.0) {
		e->best_us = us;
		e->recent_us = us;
		return;
	}
	e->recent_us += (us - e->recent_us) * LM_SMOOTHING;
	e->best_us *= 1.0 + LM_BEST_RISE;
	if (us < e->best_us)
		e->best_us = us;
}

void lm_engine_first_token(struct lm_engine_table *table, uint64_t engine,
			   uint32_t took_ms, uint32_t new_tokens,
			   uint32_t running)
{
	struct _lm_engine *e = lm_engine_get(table, engine);
	double tokens = (double)((uint64_t)new_tokens + LM_FIXED_TOKENS);
	double us = 1000.0 * (took_ms ? took_ms : 1) / tokens;
	double gradient, wanted;

	if (!e)
		return;
	lm_engine_measure(e, us);
	/* A limit that is not in use says nothing, either way. */
	if (running * 2 < (uint32_t)e->limit)
		return;
	gradient = LM_TOLERANCE * e->best_us / e->recent_us;
	if (gradient < LM_MAX_SHRINK)
		gradient = LM_MAX_SHRINK;
	if (gradient >= 1.0 ||
	    (e->recent_us - e->best_us) * tokens < LM_NOISE_US)
		gradient = 1.0;
	wanted = e->limit * gradient + (gradient < 1.0 ? 0.0 : sqrt(e->limit));
	lm_engine_set(table, e,
		      e->limit + (wanted - e->limit) * LM_LIMIT_SMOOTHING);
}

void lm_engine_overloaded(struct lm_engine_table *table, uint64_t engine)
{
	struct _lm_engine *e = lm_engine_get(table, engine);

	if (e)
		lm_engine_set(table, e, e->limit / 2.0);
}

void lm_engine_forget(struct lm_engine_table *table, uint64_t engine)
{
	g_hash_table_remove(table->_engines, &engine);
}
