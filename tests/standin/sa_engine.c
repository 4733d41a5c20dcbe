#include "sa_engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/ck.h"

/* Two incarnations of one engine never begin within one millisecond. */
static uint64_t sa_engine_new_incarnation(const struct sa_engine *engine)
{
	return MAX((uint64_t)ck_wall_ms(), engine->incarnation + 1);
}

static bool sa_engine_is_silent(struct sa_engine *engine, struct hs_exchange *x)
{
	gpointer port = GUINT_TO_POINTER((guint)sa_client_port(x));

	g_hash_table_add(engine->ports, port);
	return g_hash_table_contains(engine->silent_ports, port);
}

static void sa_engine_route(struct sa_engine *engine, struct hs_exchange *x)
{
	static const char streams[] = "/v1/streams/";
	bool is_post = !strcmp(x->method, "POST");

	if (is_post && !strcmp(x->path, "/v1/completions"))
		sa_run_start(engine, x, false);
	else if (is_post && !strcmp(x->path, "/v1/chat/completions"))
		sa_run_start(engine, x, true);
	else if (is_post && !strcmp(x->path, "/v1/orders"))
		sa_orders_take(engine, x);
	else if (is_post && !strcmp(x->path, "/v1/cache/export"))
		sa_orders_export(engine, x);
	else if (is_post && !strcmp(x->path, "/v1/cache/import"))
		sa_orders_import(engine, x);
	else if (!strcmp(x->path, "/v1/cache/events"))
		sa_events_watch(engine, x);
	else if (!strcmp(x->path, "/v1/cache/blocks"))
		sa_events_snapshot(engine, x);
	else if (!strcmp(x->path, "/v1/status"))
		sa_orders_status(engine, x);
	else if (!g_str_has_prefix(x->path, streams))
		sa_answer_error(x, 404, "not_found");
	else if (!strcmp(x->method, "DELETE"))
		sa_stream_cancel(engine, x, x->path + strlen(streams));
	else
		sa_stream_resume(engine, x, x->path + strlen(streams));
}

static void sa_engine_on_request(void *arg, struct hs_exchange *x)
{
	struct sa_engine *engine = arg;

	if (sa_engine_is_silent(engine, x))
		return;
	if (engine->is_frozen)
		g_queue_push_tail(&engine->held, x);
	else
		sa_engine_route(engine, x);
}

static void sa_engine_on_closed(void *arg, struct hs_exchange *x)
{
	struct sa_engine *engine = arg;

	g_queue_remove(&engine->held, x);
	g_ptr_array_remove(engine->watchers, x);
	sa_orders_detach(engine, x);
	sa_stream_detach(engine, x);
}

static void sa_engine_up(struct sa_engine *engine)
{
	struct hs_desc desc = {
		.loop = engine->world->loop,
		.address = engine->desc.address,
		.port = engine->desc.port,
		.on_request = sa_engine_on_request,
		.on_closed = sa_engine_on_closed,
		.arg = engine,
	};

	engine->incarnation = sa_engine_new_incarnation(engine);
	if (hs_init(&engine->server, &desc) != ST_OK) {
		fprintf(stderr, "%s: %s\n", engine->desc.name, st_message());
		exit(1);
	}
	engine->desc.port = hs_port(&engine->server);
	engine->is_up = true;
	sa_events_start(engine);
}

static void sa_engine_on_restart(struct ev_loop *loop, ev_timer *timer,
				 int revents)
{
	struct sa_engine *engine = timer->data;

	sa_engine_up(engine);
	sa_orders_restart(engine);
}

static void sa_engine_drop_runs(struct sa_engine *engine)
{
	for (guint i = 0; i < engine->runs->len; i++) {
		struct sa_run *run = g_ptr_array_index(engine->runs, i);

		if (run->state < SA_DONE)
			sa_run_finish(run, SA_CRASHED);
	}
	g_hash_table_remove_all(engine->streams);
	g_queue_clear(&engine->finished);
}

void sa_engine_crash(struct sa_engine *engine, int64_t down_ms)
{
	if (!engine->is_up)
		return;
	engine->is_up = false;
	engine->is_frozen = false;
	ev_timer_stop(engine->world->loop, &engine->thaw);
	sa_events_stop(engine);
	/* Who comes back while connections close meets a closed port. */
	hs_quiesce(&engine->server);
	hs_finish(&engine->server);
	sa_engine_drop_runs(engine);
	sa_cache_clear(&engine->cache);
	g_hash_table_remove_all(engine->ports);
	g_hash_table_remove_all(engine->silent_ports);
	g_queue_clear(&engine->held);
	engine->fencing = 0;
	ev_timer_set(&engine->restart, (double)down_ms / 1000.0, 0.0);
	ev_timer_start(engine->world->loop, &engine->restart);
}

static void sa_engine_on_thaw(struct ev_loop *loop, ev_timer *timer,
			      int revents)
{
	struct sa_engine *engine = timer->data;
	struct hs_exchange *x;

	engine->is_frozen = false;
	while ((x = g_queue_pop_head(&engine->held)))
		sa_engine_route(engine, x);
	sa_events_flush(engine);
	sa_run_schedule(engine);
}

void sa_engine_freeze(struct sa_engine *engine, int64_t ms)
{
	if (!engine->is_up)
		return;
	engine->is_frozen = true;
	ev_timer_stop(engine->world->loop, &engine->thaw);
	ev_timer_set(&engine->thaw, (double)ms / 1000.0, 0.0);
	ev_timer_start(engine->world->loop, &engine->thaw);
}

void sa_engine_silence(struct sa_engine *engine)
{
	GHashTable *none = engine->silent_ports;

	g_hash_table_remove_all(none);
	engine->silent_ports = engine->ports;
	engine->ports = none;
	g_ptr_array_set_size(engine->watchers, 0);
	for (guint i = 0; i < engine->runs->len; i++) {
		struct sa_run *run = g_ptr_array_index(engine->runs, i);

		run->exchange = NULL;
	}
}

static void sa_engine_read(struct sa_engine_desc *desc, struct json_object *o,
			   struct json_object *defaults)
{
#define NUMBER(key, fallback)                                                  \
	sa_number(o, key, sa_number(defaults, key, fallback))
	g_strlcpy(desc->name, sa_text(o, "name", "engine"), sizeof(desc->name));
	g_strlcpy(desc->address, sa_text(o, "address", "127.0.0.1"),
		  sizeof(desc->address));
	g_strlcpy(desc->zone, sa_text(o, "zone", ""), sizeof(desc->zone));
	g_strlcpy(desc->region, sa_text(o, "region", ""), sizeof(desc->region));
	desc->port = (uint16_t)NUMBER("port", 0);
	desc->block_tokens = (uint32_t)NUMBER("block_tokens", 2000);
	desc->bytes_per_token = (uint32_t)NUMBER("bytes_per_token", 4);
	desc->cache_blocks = (uint32_t)NUMBER("cache_blocks", 64);
	desc->prefill_tokens_per_s =
		(double)NUMBER("prefill_tokens_per_s", 100000);
	desc->token_ms = MAX(1, (uint32_t)NUMBER("token_ms", 10));
	desc->event_delay_ms = (uint32_t)NUMBER("event_delay_ms", 50);
	desc->load_period_ms = (uint32_t)NUMBER("load_period_ms", 200);
	desc->max_running = (uint32_t)NUMBER("max_running", 32);
	desc->load_ms = (uint32_t)NUMBER("load_ms", 300);
#undef NUMBER
	desc->checks_orders = !strcmp(
		sa_text(o, "orders", sa_text(defaults, "orders", "checked")),
		"checked");
}

struct sa_engine *sa_engine_new(struct sa_world *world, struct json_object *o,
				struct json_object *defaults)
{
	struct sa_engine *engine = g_new0(struct sa_engine, 1);
	struct json_object *models = sa_member(o, "models");

	sa_engine_read(&engine->desc, o, defaults);
	engine->world = world;
	engine->role = g_strdup("serve");
	engine->models = g_ptr_array_new();
	engine->orders = g_ptr_array_new();
	engine->imports = g_ptr_array_new();
	engine->runs = g_ptr_array_new();
	engine->streams = g_hash_table_new(g_str_hash, g_str_equal);
	engine->ports = g_hash_table_new(NULL, NULL);
	engine->silent_ports = g_hash_table_new(NULL, NULL);
	engine->watchers = g_ptr_array_new();
	ev_init(&engine->restart, sa_engine_on_restart);
	engine->restart.data = engine;
	ev_init(&engine->thaw, sa_engine_on_thaw);
	engine->thaw.data = engine;
	sa_cache_init(&engine->cache, engine->desc.cache_blocks,
		      sa_events_block, engine);
	sa_orders_set_models(
		engine, models ? models : sa_member(defaults, "models"), true);
	sa_engine_up(engine);
	return engine;
}

struct sa_engine *sa_engine_find(struct sa_world *world, const char *name)
{
	for (guint i = 0; i < world->engines->len; i++) {
		struct sa_engine *engine = g_ptr_array_index(world->engines, i);

		if (!strcmp(engine->desc.name, name))
			return engine;
	}
	return NULL;
}
