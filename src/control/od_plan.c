#include <string.h>

#include "control/od.h"

/*
 * struct od_plan_state - state of one planning run.
 * @targets: wanted models of each engine, filled in model by model.
 */
struct od_plan_state {
	const GPtrArray *engines;
	struct od_models *targets;
};

static bool od_matches(const struct od_model *m, const char *model,
		       const char *version, const char *adapter)
{
	return !strcmp(m->model, model) && !strcmp(m->version, version) &&
	       !strcmp(m->adapter, adapter);
}

static const struct od_model *od_find(const struct od_models *models,
				      const struct cm_model *model,
				      const char *version)
{
	for (uint32_t i = 0; i < models->count; i++)
		if (od_matches(&models->items[i], model->name, version,
			       model->adapter))
			return &models->items[i];
	return NULL;
}

static bool od_holds_any(const struct od_models *models, const char *model)
{
	for (uint32_t i = 0; i < models->count; i++)
		if (!strcmp(models->items[i].model, model))
			return true;
	return false;
}

static void od_add(struct od_models *models, const char *model,
		   const char *version, const char *adapter)
{
	struct od_model *m;

	if (models->count == OD_MAX_MODELS)
		return;
	m = &models->items[models->count++];
	g_strlcpy(m->model, model, sizeof(m->model));
	g_strlcpy(m->version, version, sizeof(m->version));
	g_strlcpy(m->adapter, adapter, sizeof(m->adapter));
}

/* Keep all versions of the model that the engine has now. */
static void od_keep_present(struct od_models *target,
			    const struct od_engine *engine, const char *model)
{
	for (uint32_t i = 0; i < engine->models.count; i++) {
		const struct od_model *m = &engine->models.items[i];

		if (!strcmp(m->model, model))
			od_add(target, m->model, m->version, m->adapter);
	}
}

static bool od_is_loading(const struct od_engine *engine, const char *model)
{
	if (engine->is_ordered && od_holds_any(&engine->wanted, model))
		return true;
	for (uint32_t i = 0; i < engine->models.count; i++)
		if (!engine->models.items[i].is_ready &&
		    !strcmp(engine->models.items[i].model, model))
			return true;
	return false;
}

static bool od_is_ready(const struct od_engine *engine,
			const struct cm_model *model, const char *version)
{
	const struct od_model *m = od_find(&engine->models, model, version);

	return engine->is_known && !engine->is_leaving && m && m->is_ready;
}

static uint32_t od_count_loading(const GPtrArray *engines, const char *model)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < engines->len; i++)
		count += od_is_loading(g_ptr_array_index(engines, i), model);
	return count;
}

/*
 * Count engines that are ready and stay so: an engine whose pending order lacks
 * the version may be unloading it.
 */
static uint32_t od_count_ready(const GPtrArray *engines,
			       const struct cm_model *model,
			       const char *version)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < engines->len; i++) {
		const struct od_engine *e = g_ptr_array_index(engines, i);

		if (e->is_ordered && !od_find(&e->wanted, model, version))
			continue;
		count += od_is_ready(e, model, version);
	}
	return count;
}

static bool od_can_order(const struct od_engine *engine)
{
	return engine->is_known && !engine->is_ordered && !engine->is_leaving;
}

/* struct od_rollout - counters of one model while its engines are planned. */
struct od_rollout {
	const struct cm_model *model;
	uint32_t loading;
	uint32_t ready_serving;
};

/*
 * Whether the engine may unload its versions of the model; if so, it no longer
 * counts as ready.
 */
static bool od_try_unload(struct od_rollout *r, const struct od_engine *engine)
{
	if (!strcmp(r->model->serving, r->model->version) ||
	    !od_is_ready(engine, r->model, r->model->serving))
		return true;
	if (r->ready_serving <= r->model->min_ready)
		return false;
	r->ready_serving--;
	return true;
}

static void od_plan_engine(struct od_rollout *r, const struct od_engine *engine,
			   struct od_models *target)
{
	const struct cm_model *model = r->model;
	const struct od_model *present =
		od_find(&engine->models, model, model->version);
	bool holds_any = od_holds_any(&engine->models, model->name);

	if (!present && r->loading >= model->max_loading) {
		od_keep_present(target, engine, model->name);
		return;
	}
	if (holds_any && !od_try_unload(r, engine)) {
		od_keep_present(target, engine, model->name);
		return;
	}
	if (!present)
		r->loading++;
	od_add(target, model->name, model->version, model->adapter);
}

static void od_plan_model(void *arg, const struct cm_model *model)
{
	struct od_plan_state *state = arg;
	const GPtrArray *engines = state->engines;
	struct od_rollout r = {
		.model = model,
		.loading = od_count_loading(engines, model->name),
		.ready_serving = od_count_ready(engines, model, model->serving),
	};

	for (uint32_t i = 0; i < engines->len; i++) {
		const struct od_engine *e = g_ptr_array_index(engines, i);

		if (od_can_order(e) && cm_names_has(&model->engines, e->name))
			od_plan_engine(&r, e, &state->targets[i]);
	}
}

static bool od_is_equal(const struct od_models *a, const struct od_models *b)
{
	if (a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++) {
		bool is_found = false;

		for (uint32_t j = 0; j < b->count; j++)
			is_found = is_found ||
				   od_matches(&b->items[j], a->items[i].model,
					      a->items[i].version,
					      a->items[i].adapter);
		if (!is_found)
			return false;
	}
	return true;
}

/*
 * An engine that no model selects gets no order: an empty configuration must
 * not unload everything.
 */
void od_plan(const struct cm_config *config, const GPtrArray *engines,
	     GArray *orders)
{
	struct od_plan_state state = { .engines = engines };

	state.targets = g_new0(struct od_models, engines->len);
	cm_for_each_model(config, od_plan_model, &state);
	for (uint32_t i = 0; i < engines->len; i++) {
		const struct od_engine *e = g_ptr_array_index(engines, i);
		struct od_order order = { .engine = i,
					  .wanted = state.targets[i] };

		if (od_can_order(e) && order.wanted.count &&
		    !od_is_equal(&order.wanted, &e->models))
			g_array_append_val(orders, order);
	}
	g_free(state.targets);
}

bool od_can_switch_serving(const struct cm_model *model,
			   const GPtrArray *engines)
{
	uint32_t ready = od_count_ready(engines, model, model->version);

	if (!strcmp(model->serving, model->version))
		return false;
	return ready && ready >= model->min_ready &&
	       ready >= od_count_ready(engines, model, model->serving);
}
