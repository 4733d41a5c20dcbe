#include "sa_service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An answer that is sent later; exchange is NULL once the caller has gone. */
struct sa_later {
	struct hs_exchange *exchange;
	struct json_object *answer;
	ev_timer timer;
};

static uint32_t sa_service_count(GHashTable *runs, const char *key)
{
	guint count = 1 + GPOINTER_TO_UINT(g_hash_table_lookup(runs, key));

	g_hash_table_replace(runs, g_strdup(key), GUINT_TO_POINTER(count));
	return count;
}

static void sa_service_on_later(struct ev_loop *loop, ev_timer *timer,
				int revents)
{
	struct sa_later *later = timer->data;

	ev_timer_stop(loop, timer);
	if (later->exchange) {
		later->exchange->arg = NULL;
		sa_answer_json(later->exchange, 200, NULL, later->answer);
	} else {
		json_object_put(later->answer);
	}
	g_free(later);
}

static void sa_service_answer(struct sa_service *service, struct hs_exchange *x,
			      struct json_object *answer)
{
	struct sa_later *later;

	if (!service->slow_ms) {
		sa_answer_json(x, 200, NULL, answer);
		return;
	}
	later = g_new0(struct sa_later, 1);
	later->exchange = x;
	later->answer = answer;
	x->arg = later;
	ev_timer_init(&later->timer, sa_service_on_later,
		      (double)service->slow_ms / 1000.0, 0.0);
	later->timer.data = later;
	ev_timer_start(service->world->loop, &later->timer);
}

static void sa_service_on_request(void *arg, struct hs_exchange *x)
{
	struct sa_service *service = arg;
	const char *key = hs_header(x, "Idempotency-Key");
	struct json_object *answer = json_object_new_object();
	uint32_t run = ++service->runs;

	sa_service_count(service->runs_by_body, x->body->str);
	if (key)
		sa_service_count(service->runs_by_key, key);
	json_object_object_add(answer, "service",
			       json_object_new_string(service->name));
	json_object_object_add(answer, "path", json_object_new_string(x->path));
	json_object_object_add(answer, "run", json_object_new_int64(run));
	if (service->lose_answers) {
		service->lose_answers--;
		json_object_put(answer);
		sa_drop(x);
		return;
	}
	sa_service_answer(service, x, answer);
}

static void sa_service_on_closed(void *arg, struct hs_exchange *x)
{
	struct sa_later *later = x->arg;

	if (later)
		later->exchange = NULL;
}

struct sa_service *sa_service_new(struct sa_world *world, struct json_object *o)
{
	struct sa_service *service = g_new0(struct sa_service, 1);
	struct hs_desc desc = { .loop = world->loop,
				.on_request = sa_service_on_request,
				.on_closed = sa_service_on_closed,
				.arg = service };

	service->world = world;
	g_strlcpy(service->name, sa_text(o, "name", "service"),
		  sizeof(service->name));
	g_strlcpy(service->address, sa_text(o, "address", "127.0.0.1"),
		  sizeof(service->address));
	g_strlcpy(service->zone, sa_text(o, "zone", ""), sizeof(service->zone));
	g_strlcpy(service->region, sa_text(o, "region", ""),
		  sizeof(service->region));
	service->runs_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	service->runs_by_body =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	desc.address = service->address;
	desc.port = (uint16_t)sa_number(o, "port", 0);
	if (hs_init(&service->server, &desc) != ST_OK) {
		fprintf(stderr, "%s: %s\n", service->name, st_message());
		exit(1);
	}
	service->port = hs_port(&service->server);
	return service;
}

static struct json_object *sa_service_counts(GHashTable *runs)
{
	struct json_object *o = json_object_new_object();
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, &key, &count))
		json_object_object_add(
			o, key, json_object_new_int64(GPOINTER_TO_UINT(count)));
	return o;
}

struct json_object *sa_service_records(const struct sa_service *service)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "runs", json_object_new_int64(service->runs));
	json_object_object_add(o, "runs_by_key",
			       sa_service_counts(service->runs_by_key));
	json_object_object_add(o, "runs_by_body",
			       sa_service_counts(service->runs_by_body));
	return o;
}
