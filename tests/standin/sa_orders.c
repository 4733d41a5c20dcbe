#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "sa_engine.h"

#define SA_LOADING_AT_ONCE     2
#define SA_IMPORT_MS_PER_BLOCK 5

static bool sa_model_is(const struct sa_model *model, const char *name,
			const char *version, const char *adapter)
{
	return !strcmp(model->name, name) && !strcmp(model->version, version) &&
	       !strcmp(model->adapter, adapter);
}

static void sa_model_on_loaded(struct ev_loop *loop, ev_timer *timer,
			       int revents)
{
	struct sa_model *model = timer->data;

	model->is_ready = true;
	model->engine->world->loading--;
}

static void sa_model_load(struct sa_model *model)
{
	struct sa_world *world = model->engine->world;
	double load_s = model->engine->desc.load_ms / 1000.0;

	model->is_ready = false;
	world->loading++;
	if (world->loading > SA_LOADING_AT_ONCE)
		load_s *= (double)world->loading / SA_LOADING_AT_ONCE;
	ev_timer_set(&model->loading, load_s, 0.0);
	ev_timer_start(world->loop, &model->loading);
}

static void sa_model_free(struct sa_model *model)
{
	struct sa_world *world = model->engine->world;

	if (ev_is_active(&model->loading))
		world->loading--;
	ev_timer_stop(world->loop, &model->loading);
	g_free(model->name);
	g_free(model->version);
	g_free(model->adapter);
	g_free(model);
}

static struct sa_model *sa_model_new(struct sa_engine *engine,
				     struct json_object *o, bool at_once)
{
	struct sa_model *model = g_new0(struct sa_model, 1);

	model->engine = engine;
	model->name = g_strdup(sa_text(o, "model", ""));
	model->version = g_strdup(sa_text(o, "version", ""));
	model->adapter = g_strdup(sa_text(o, "adapter", ""));
	ev_init(&model->loading, sa_model_on_loaded);
	model->loading.data = model;
	model->is_ready = at_once;
	if (!at_once)
		sa_model_load(model);
	return model;
}

static struct sa_model *sa_orders_take_held(GPtrArray *held,
					    struct json_object *o)
{
	for (guint i = 0; i < held->len; i++) {
		struct sa_model *model = g_ptr_array_index(held, i);

		if (sa_model_is(model, sa_text(o, "model", ""),
				sa_text(o, "version", ""),
				sa_text(o, "adapter", "")))
			return g_ptr_array_remove_index(held, i);
	}
	return NULL;
}

void sa_orders_set_models(struct sa_engine *engine, struct json_object *list,
			  bool at_once)
{
	GPtrArray *held = engine->models;
	size_t count = list ? json_object_array_length(list) : 0;

	engine->models = g_ptr_array_new();
	for (size_t i = 0; i < count; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		struct sa_model *model = sa_orders_take_held(held, o);

		g_ptr_array_add(engine->models,
				model ? model
				      : sa_model_new(engine, o, at_once));
	}
	for (guint i = 0; i < held->len; i++)
		sa_model_free(g_ptr_array_index(held, i));
	g_ptr_array_free(held, TRUE);
}

void sa_orders_restart(struct sa_engine *engine)
{
	for (guint i = 0; i < engine->models->len; i++) {
		struct sa_model *model = g_ptr_array_index(engine->models, i);

		if (!ev_is_active(&model->loading))
			sa_model_load(model);
	}
}

struct sa_model *sa_orders_model(struct sa_engine *engine, const char *name,
				 const char *version)
{
	for (guint i = 0; i < engine->models->len; i++) {
		struct sa_model *model = g_ptr_array_index(engine->models, i);

		if (model->is_ready && !strcmp(model->name, name) &&
		    (!version || !strcmp(model->version, version)))
			return model;
	}
	return NULL;
}

static struct json_object *sa_orders_model_list(struct sa_engine *engine)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < engine->models->len; i++) {
		struct sa_model *model = g_ptr_array_index(engine->models, i);
		struct json_object *o = json_object_new_object();
		const char *state = model->is_ready ? "ready" : "loading";

		json_object_object_add(o, "model",
				       json_object_new_string(model->name));
		json_object_object_add(o, "version",
				       json_object_new_string(model->version));
		json_object_object_add(o, "adapter",
				       json_object_new_string(model->adapter));
		json_object_object_add(o, "state",
				       json_object_new_string(state));
		json_object_array_add(list, o);
	}
	return list;
}

void sa_orders_status(struct sa_engine *engine, struct hs_exchange *x)
{
	struct json_object *o = json_object_new_object();
	const char *state = engine->is_leaving ? "leaving" : "up";
	const char *orders = engine->desc.checks_orders ? "checked" : "ignored";

	json_object_object_add(
		o, "incarnation",
		json_object_new_int64((int64_t)engine->incarnation));
	json_object_object_add(o, "role", json_object_new_string(engine->role));
	json_object_object_add(o, "state", json_object_new_string(state));
	json_object_object_add(o, "models", sa_orders_model_list(engine));
	json_object_object_add(o, "fencing",
			       json_object_new_int64((int64_t)engine->fencing));
	json_object_object_add(o, "orders", json_object_new_string(orders));
	sa_answer_json(x, 200, NULL, o);
}

void sa_orders_take(struct sa_engine *engine, struct hs_exchange *x)
{
	struct json_object *body = json_tokener_parse(x->body->str);
	struct json_object *wanted = sa_member(body, "wanted");
	uint64_t fencing = (uint64_t)sa_number(body, "fencing", 0);

	if (!wanted) {
		sa_answer_error(x, 400, "bad_order");
		json_object_put(body);
		return;
	}
	if (engine->desc.checks_orders && fencing < engine->fencing) {
		sa_answer_error(x, 409, "stale_fencing");
		json_object_put(body);
		return;
	}
	engine->fencing = fencing;
	g_free(engine->role);
	engine->role = g_strdup(sa_text(wanted, "role", "serve"));
	sa_orders_set_models(engine, sa_member(wanted, "models"), false);
	g_ptr_array_add(engine->orders,
			g_strdup(sa_text(body, "order_id", "")));
	json_object_put(body);
	sa_orders_status(engine, x);
}

static GArray *sa_orders_blocks(struct json_object *body)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct json_object *list = sa_member(body, "blocks");
	size_t count = list ? json_object_array_length(list) : 0;

	for (size_t i = 0; i < count; i++) {
		struct json_object *hex = json_object_array_get_idx(list, i);
		uint64_t id = strtoull(json_object_get_string(hex), NULL, 16);

		g_array_append_val(ids, id);
	}
	return ids;
}

static void sa_orders_answer_count(struct hs_exchange *x, uint32_t blocks)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "blocks", json_object_new_int64(blocks));
	sa_answer_json(x, 200, NULL, o);
}

void sa_orders_export(struct sa_engine *engine, struct hs_exchange *x)
{
	struct json_object *body = json_tokener_parse(x->body->str);
	GArray *ids = sa_orders_blocks(body);

	g_array_set_size(ids, sa_cache_hits(&engine->cache, ids));
	sa_orders_answer_count(x, ids->len);
	g_hash_table_insert(engine->world->kept,
			    g_strdup(sa_text(body, "object", "")), ids);
	json_object_put(body);
}

/* An import that takes its time, and its answer at the end. */
struct sa_import {
	struct sa_engine *engine;
	uint64_t incarnation;
	struct hs_exchange *exchange;
	GArray *ids;
	ev_timer timer;
};

static void sa_import_on_timer(struct ev_loop *loop, ev_timer *timer,
			       int revents)
{
	struct sa_import *import = timer->data;
	struct sa_engine *engine = import->engine;

	ev_timer_stop(loop, timer);
	g_ptr_array_remove(engine->imports, import);
	if (engine->is_up && engine->incarnation == import->incarnation)
		sa_cache_add(&engine->cache, import->ids);
	if (import->exchange)
		sa_orders_answer_count(import->exchange, import->ids->len);
	g_array_unref(import->ids);
	g_free(import);
}

static bool sa_orders_is_kept(const GArray *kept, uint64_t id)
{
	for (guint i = 0; kept && i < kept->len; i++)
		if (g_array_index(kept, uint64_t, i) == id)
			return true;
	return false;
}

void sa_orders_import(struct sa_engine *engine, struct hs_exchange *x)
{
	struct json_object *body = json_tokener_parse(x->body->str);
	struct sa_import *import = g_new0(struct sa_import, 1);
	GArray *kept = g_hash_table_lookup(engine->world->kept,
					   sa_text(body, "object", ""));
	guint hits = 0;

	import->engine = engine;
	import->incarnation = engine->incarnation;
	import->exchange = x;
	import->ids = sa_orders_blocks(body);
	json_object_put(body);
	while (hits < import->ids->len &&
	       sa_orders_is_kept(kept,
				 g_array_index(import->ids, uint64_t, hits)))
		hits++;
	g_array_set_size(import->ids, hits);
	g_ptr_array_add(engine->imports, import);
	ev_timer_init(&import->timer, sa_import_on_timer,
		      hits * SA_IMPORT_MS_PER_BLOCK / 1000.0, 0.0);
	import->timer.data = import;
	ev_timer_start(engine->world->loop, &import->timer);
}

void sa_orders_detach(struct sa_engine *engine, struct hs_exchange *x)
{
	for (guint i = 0; i < engine->imports->len; i++) {
		struct sa_import *import =
			g_ptr_array_index(engine->imports, i);

		if (import->exchange == x)
			import->exchange = NULL;
	}
}
