#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sa_engine.h"

#define SA_KEPT_EVENTS 4096
#define SA_HEX_BYTES   17

static void sa_event_free(void *event)
{
	g_free(((struct sa_event *)event)->text);
	g_free(event);
}

static void sa_events_write(struct sa_engine *engine, struct sa_event *event)
{
	if (event->is_lost)
		return;
	for (guint i = 0; i < engine->watchers->len; i++)
		hs_write(g_ptr_array_index(engine->watchers, i), event->text,
			 strlen(event->text));
}

/* Events in order, each once its delay has passed. */
void sa_events_flush(struct sa_engine *engine)
{
	struct ev_loop *loop = engine->world->loop;

	ev_timer_stop(loop, &engine->publish);
	if (engine->is_frozen)
		return;
	ev_now_update(loop);
	for (GList *l = engine->events.head; l; l = l->next) {
		struct sa_event *event = l->data;

		if (event->seq <= engine->published_seq)
			continue;
		if (event->due > ev_now(loop)) {
			ev_timer_set(&engine->publish,
				     event->due - ev_now(loop), 0.0);
			ev_timer_start(loop, &engine->publish);
			return;
		}
		engine->published_seq = event->seq;
		sa_events_write(engine, event);
	}
}

void sa_events_add(struct sa_engine *engine, const char *name,
		   struct json_object *data)
{
	struct sa_event *event = g_new0(struct sa_event, 1);
	const char *text =
		json_object_to_json_string_ext(data, JSON_C_TO_STRING_PLAIN);

	event->seq = ++engine->seq;
	event->due = ev_now(engine->world->loop) +
		     engine->desc.event_delay_ms / 1000.0;
	event->text = g_strdup_printf(
		"id: %" PRIu64 ":%" PRIu64 "\nevent: %s\ndata: %s\n\n",
		engine->incarnation, event->seq, name, text);
	event->is_lost = engine->lose_events > 0;
	if (engine->lose_events)
		engine->lose_events--;
	json_object_put(data);
	g_queue_push_tail(&engine->events, event);
	if (engine->events.length > SA_KEPT_EVENTS)
		sa_event_free(g_queue_pop_head(&engine->events));
	if (!ev_is_active(&engine->publish))
		sa_events_flush(engine);
}

static void sa_events_add_hex(void *list, uint64_t id)
{
	char hex[SA_HEX_BYTES];

	snprintf(hex, sizeof(hex), "%016" PRIx64, id);
	json_object_array_add(list, json_object_new_string(hex));
}

void sa_events_block(void *arg, bool stored, uint64_t id)
{
	struct json_object *data = json_object_new_object();
	struct json_object *blocks = json_object_new_array();

	sa_events_add_hex(blocks, id);
	json_object_object_add(data, "blocks", blocks);
	sa_events_add(arg, stored ? "stored" : "removed", data);
}

static uint32_t sa_events_running(const struct sa_engine *engine)
{
	return engine->decoding + (engine->prefilling != NULL);
}

static void sa_events_report(struct sa_engine *engine)
{
	const struct sa_engine_desc *desc = &engine->desc;
	struct json_object *o = json_object_new_object();
	const struct {
		const char *name;
		uint64_t value;
	} fields[] = {
		{ "running", sa_events_running(engine) },
		{ "waiting", engine->waiting.length },
		{ "waiting_tokens", sa_run_waiting_tokens(engine) },
		{ "blocks_used", engine->cache.used },
		{ "blocks_total", engine->cache.capacity },
		{ "prefill_tokens_per_s",
		  (uint64_t)desc->prefill_tokens_per_s },
		{ "age_ms", desc->event_delay_ms },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		json_object_object_add(
			o, fields[i].name,
			json_object_new_int64((int64_t)fields[i].value));
	json_object_object_add(
		o, "state",
		json_object_new_string(engine->is_leaving ? "leaving" : "up"));
	sa_events_add(engine, "load", o);
}

static void sa_events_on_publish(struct ev_loop *loop, ev_timer *timer,
				 int revents)
{
	sa_events_flush(timer->data);
}

static void sa_events_on_report(struct ev_loop *loop, ev_timer *timer,
				int revents)
{
	struct sa_engine *engine = timer->data;

	if (!engine->is_frozen)
		sa_events_report(engine);
}

void sa_events_start(struct sa_engine *engine)
{
	double period_s = engine->desc.load_period_ms / 1000.0;

	engine->seq = 0;
	engine->published_seq = 0;
	engine->lose_events = 0;
	ev_init(&engine->publish, sa_events_on_publish);
	engine->publish.data = engine;
	ev_timer_init(&engine->report, sa_events_on_report, period_s, period_s);
	engine->report.data = engine;
	ev_timer_start(engine->world->loop, &engine->report);
}

void sa_events_stop(struct sa_engine *engine)
{
	ev_timer_stop(engine->world->loop, &engine->publish);
	ev_timer_stop(engine->world->loop, &engine->report);
	g_queue_clear_full(&engine->events, sa_event_free);
	g_ptr_array_set_size(engine->watchers, 0);
}

/* Position after which to go on: the end without a usable Last-Event-ID. */
static uint64_t sa_events_position(struct sa_engine *engine,
				   struct hs_exchange *x)
{
	const char *last = hs_header(x, "Last-Event-ID");
	char *colon = NULL;

	if (!last)
		return engine->published_seq;
	if (strtoull(last, &colon, 10) != engine->incarnation || *colon != ':')
		return 0;
	return strtoull(colon + 1, NULL, 10);
}

void sa_events_watch(struct sa_engine *engine, struct hs_exchange *x)
{
	const struct hs_header headers[] = {
		{ "Content-Type", "text/event-stream" },
		{ NULL, NULL },
	};
	uint64_t after = sa_events_position(engine, x);

	hs_begin(x, 200, headers);
	for (GList *l = engine->events.head; l; l = l->next) {
		struct sa_event *event = l->data;

		if (event->seq > after && event->seq <= engine->published_seq &&
		    !event->is_lost)
			hs_write(x, event->text, strlen(event->text));
	}
	g_ptr_array_add(engine->watchers, x);
}

/* The state after event @seq, although its delivery may still be pending. */
void sa_events_snapshot(struct sa_engine *engine, struct hs_exchange *x)
{
	struct json_object *o = json_object_new_object();
	struct json_object *blocks = json_object_new_array();

	sa_cache_for_each(&engine->cache, sa_events_add_hex, blocks);
	json_object_object_add(
		o, "incarnation",
		json_object_new_int64((int64_t)engine->incarnation));
	json_object_object_add(o, "seq",
			       json_object_new_int64((int64_t)engine->seq));
	json_object_object_add(o, "blocks", blocks);
	sa_answer_json(x, 200, NULL, o);
}
