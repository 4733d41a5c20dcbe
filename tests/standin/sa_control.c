/*
 * The control port:
 *
 *	GET  /records			what each stand-in saw; ?summary=1 has
 *					sums in place of every run
 *	POST /faults/crash		{"engine", "down_ms"}
 *	POST /faults/freeze		{"engine", "ms"}
 *	POST /faults/silent		{"engine"}
 *	POST /faults/lose_events	{"engine", "count"}
 *	POST /faults/delay_events	{"engine", "ms"}
 *	POST /faults/leaving		{"engine"}: in status and host list
 *	POST /faults/poison		{"text", "down_ms"}
 *	POST /faults/platform		{"down_ms", "slow_ms", "lose_answers"}
 *	POST /faults/host		{"name", "state", "lag_ms"} or {"add"}
 *	POST /faults/service		{"service", "slow_ms", "lose_answers"}
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "sa_engine.h"
#include "sa_platform.h"
#include "sa_service.h"

#define SA_HEX_BYTES 17

typedef bool (*sa_fault_fn)(struct sa_world *world, struct json_object *o);

static struct sa_engine *sa_fault_engine(struct sa_world *world,
					 struct json_object *o)
{
	return sa_engine_find(world, sa_text(o, "engine", ""));
}

static bool sa_fault_crash(struct sa_world *world, struct json_object *o)
{
	struct sa_engine *engine = sa_fault_engine(world, o);

	if (engine)
		sa_engine_crash(engine, sa_number(o, "down_ms", 500));
	return engine;
}

static bool sa_fault_freeze(struct sa_world *world, struct json_object *o)
{
	struct sa_engine *engine = sa_fault_engine(world, o);

	if (engine)
		sa_engine_freeze(engine, sa_number(o, "ms", 1000));
	return engine;
}

static bool sa_fault_silent(struct sa_world *world, struct json_object *o)
{
	struct sa_engine *engine = sa_fault_engine(world, o);

	if (engine)
		sa_engine_silence(engine);
	return engine;
}

static bool sa_fault_lose_events(struct sa_world *world, struct json_object *o)
{
	struct sa_engine *engine = sa_fault_engine(world, o);

	if (engine)
		engine->lose_events = (uint32_t)sa_number(o, "count", 1);
	return engine;
}

static bool sa_fault_delay_events(struct sa_world *world, struct json_object *o)
{
	struct sa_engine *engine = sa_fault_engine(world, o);

	if (engine)
		engine->desc.event_delay_ms = (uint32_t)sa_number(o, "ms", 0);
	return engine;
}

static bool sa_fault_leaving(struct sa_world *world, struct json_object *o)
{
	struct sa_engine *engine = sa_fault_engine(world, o);

	if (!engine)
		return false;
	engine->is_leaving = true;
	if (world->platform)
		sa_platform_change_host(world->platform, engine->desc.name,
					"leaving");
	return true;
}

static bool sa_fault_poison(struct sa_world *world, struct json_object *o)
{
	g_free(world->poison);
	world->poison = g_strdup(sa_text(o, "text", NULL));
	world->poison_down_ms = sa_number(o, "down_ms", 500);
	return true;
}

static bool sa_fault_platform(struct sa_world *world, struct json_object *o)
{
	struct sa_platform *platform = world->platform;

	if (!platform)
		return false;
	platform->slow_ms = sa_number(o, "slow_ms", platform->slow_ms);
	platform->lose_answers =
		(uint32_t)sa_number(o, "lose_answers", platform->lose_answers);
	if (sa_member(o, "down_ms"))
		sa_platform_down(platform, sa_number(o, "down_ms", 0));
	return true;
}

static bool sa_fault_host(struct sa_world *world, struct json_object *o)
{
	struct sa_platform *platform = world->platform;

	if (!platform)
		return false;
	platform->lag_ms = sa_number(o, "lag_ms", platform->lag_ms);
	if (sa_member(o, "add"))
		sa_platform_add_host(platform, sa_member(o, "add"));
	if (sa_member(o, "name"))
		sa_platform_change_host(platform, sa_text(o, "name", ""),
					sa_text(o, "state", "live"));
	return true;
}

static bool sa_fault_service(struct sa_world *world, struct json_object *o)
{
	const char *name = sa_text(o, "service", "");

	for (guint i = 0; i < world->services->len; i++) {
		struct sa_service *s = g_ptr_array_index(world->services, i);

		if (strcmp(s->name, name) != 0)
			continue;
		s->slow_ms = sa_number(o, "slow_ms", s->slow_ms);
		s->lose_answers =
			(uint32_t)sa_number(o, "lose_answers", s->lose_answers);
		return true;
	}
	return false;
}

static const struct {
	const char *path;
	sa_fault_fn run;
} sa_faults[] = {
	{ "/faults/crash", sa_fault_crash },
	{ "/faults/freeze", sa_fault_freeze },
	{ "/faults/silent", sa_fault_silent },
	{ "/faults/lose_events", sa_fault_lose_events },
	{ "/faults/delay_events", sa_fault_delay_events },
	{ "/faults/leaving", sa_fault_leaving },
	{ "/faults/poison", sa_fault_poison },
	{ "/faults/platform", sa_fault_platform },
	{ "/faults/host", sa_fault_host },
	{ "/faults/service", sa_fault_service },
};

static void sa_add(struct json_object *o, const char *key, uint64_t value)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)value));
}

static void sa_add_text(struct json_object *o, const char *key,
			const char *text)
{
	json_object_object_add(o, key, json_object_new_string(text));
}

static struct json_object *sa_record_run(const struct sa_run *run)
{
	struct json_object *o = json_object_new_object();
	char hash[SA_HEX_BYTES];

	snprintf(hash, sizeof(hash), "%016" PRIx64, run->prompt_hash);
	sa_add_text(o, "id", run->id);
	sa_add_text(o, "state", sa_run_state_name(run->state));
	sa_add_text(o, "salt", run->salt);
	sa_add_text(o, "model", run->model);
	sa_add_text(o, "version", run->version);
	sa_add_text(o, "prompt_hash", hash);
	json_object_object_add(o, "priority",
			       json_object_new_int64(run->priority));
	sa_add(o, "prompt_tokens", run->prompt_tokens);
	sa_add(o, "answered_tokens", run->answered_tokens);
	sa_add(o, "produced_tokens", run->produced_tokens);
	sa_add(o, "cached_blocks", run->cached_blocks);
	sa_add(o, "computed_blocks", run->computed_blocks);
	sa_add(o, "wasted_blocks", run->wasted_blocks);
	return o;
}

static void sa_record_sums(struct json_object *o,
			   const struct sa_engine *engine)
{
	uint64_t cached = 0;
	uint64_t computed = 0;
	uint64_t wasted = 0;
	uint64_t states[SA_CRASHED + 1] = { 0 };

	for (guint i = 0; i < engine->runs->len; i++) {
		const struct sa_run *run = g_ptr_array_index(engine->runs, i);

		cached += run->cached_blocks;
		computed += run->computed_blocks;
		wasted += run->wasted_blocks;
		states[run->state]++;
	}
	sa_add(o, "cached_blocks", cached);
	sa_add(o, "computed_blocks", computed);
	sa_add(o, "wasted_blocks", wasted);
	for (int state = 0; state <= SA_CRASHED; state++)
		sa_add(o, sa_run_state_name((enum sa_run_state)state),
		       states[state]);
}

static struct json_object *sa_record_engine(const struct sa_engine *engine,
					    bool has_runs)
{
	struct json_object *o = json_object_new_object();
	struct json_object *runs = json_object_new_array();
	struct json_object *orders = json_object_new_array();

	sa_add(o, "incarnation", engine->incarnation);
	sa_add_text(o, "zone", engine->desc.zone);
	sa_add(o, "fencing", engine->fencing);
	sa_record_sums(o, engine);
	for (guint i = 0; i < engine->orders->len; i++)
		json_object_array_add(
			orders, json_object_new_string(
					g_ptr_array_index(engine->orders, i)));
	json_object_object_add(o, "orders", orders);
	for (guint i = 0; has_runs && i < engine->runs->len; i++)
		json_object_array_add(runs, sa_record_run(g_ptr_array_index(
						    engine->runs, i)));
	json_object_object_add(o, "runs", runs);
	return o;
}

static struct json_object *sa_record_platform(const struct sa_platform *p)
{
	struct json_object *o = json_object_new_object();

	sa_add(o, "reads", p->tables.reads);
	sa_add(o, "writes", p->tables.writes);
	sa_add(o, "conflicts", p->tables.conflicts);
	sa_add(o, "revision", p->tables.revision);
	json_object_object_add(o, "keys", sa_tables_keys(&p->tables));
	return o;
}

static struct json_object *sa_records(struct sa_world *world, bool has_runs)
{
	struct json_object *o = json_object_new_object();
	struct json_object *engines = json_object_new_object();
	struct json_object *services = json_object_new_object();

	for (guint i = 0; i < world->engines->len; i++) {
		struct sa_engine *e = g_ptr_array_index(world->engines, i);

		json_object_object_add(engines, e->desc.name,
				       sa_record_engine(e, has_runs));
	}
	for (guint i = 0; i < world->services->len; i++) {
		struct sa_service *s = g_ptr_array_index(world->services, i);

		json_object_object_add(services, s->name,
				       sa_service_records(s));
	}
	json_object_object_add(o, "engines", engines);
	json_object_object_add(o, "services", services);
	if (world->platform)
		json_object_object_add(o, "platform",
				       sa_record_platform(world->platform));
	return o;
}

static void sa_control_fault(struct sa_world *world, struct hs_exchange *x)
{
	struct json_object *o = json_tokener_parse(x->body->str);

	for (size_t i = 0; i < G_N_ELEMENTS(sa_faults); i++) {
		if (strcmp(sa_faults[i].path, x->path) != 0)
			continue;
		if (sa_faults[i].run(world, o))
			sa_answer_json(x, 200, NULL, json_object_new_object());
		else
			sa_answer_error(x, 404, "no_such_target");
		json_object_put(o);
		return;
	}
	json_object_put(o);
	sa_answer_error(x, 404, "no_such_fault");
}

static void sa_control_on_request(void *arg, struct hs_exchange *x)
{
	struct sa_world *world = arg;

	if (!strcmp(x->path, "/records"))
		sa_answer_json(x, 200, NULL,
			       sa_records(world, !hs_query(x, "summary")));
	else
		sa_control_fault(world, x);
}

enum st_code sa_control_start(struct sa_world *world, struct json_object *o)
{
	struct hs_desc desc = {
		.loop = world->loop,
		.address = sa_text(o, "address", "127.0.0.1"),
		.port = (uint16_t)sa_number(o, "port", 0),
		.on_request = sa_control_on_request,
		.arg = world,
	};

	return hs_init(&world->control, &desc);
}
