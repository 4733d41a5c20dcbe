#include "sa_platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sa_engine.h"
#include "sa_service.h"

/* Down without an end. */
#define SA_FOREVER_S 1e9

static void sa_platform_tables(struct sa_platform *platform,
			       struct hs_exchange *x)
{
	struct json_object *request = json_tokener_parse(x->body->str);
	struct json_object *answer = NULL;
	bool is_write = false;

	if (request && !strcmp(x->path, "/v3/kv/range"))
		answer = sa_tables_range(&platform->tables, request);
	else if (request && !strcmp(x->path, "/v3/kv/txn"))
		answer = sa_tables_txn(&platform->tables, request, &is_write);
	json_object_put(request);
	if (!answer) {
		sa_answer_error(x, 400, "bad_request");
	} else if (is_write && platform->lose_answers) {
		platform->lose_answers--;
		json_object_put(answer);
		sa_drop(x);
	} else {
		sa_answer_json(x, 200, NULL, answer);
	}
}

static void sa_platform_put_object(struct sa_platform *platform,
				   struct hs_exchange *x)
{
	const char *if_none = hs_header(x, "If-None-Match");

	if (if_none && g_hash_table_contains(platform->objects, x->path)) {
		hs_respond(x, 412, NULL, "", 0);
		return;
	}
	g_hash_table_insert(platform->objects, g_strdup(x->path),
			    g_bytes_new(x->body->str, x->body->len));
	hs_respond(x, 200, NULL, "", 0);
}

static void sa_platform_object(struct sa_platform *platform,
			       struct hs_exchange *x)
{
	GBytes *data = g_hash_table_lookup(platform->objects, x->path);
	gsize bytes;
	const void *bytes_of;

	if (!strcmp(x->method, "PUT")) {
		sa_platform_put_object(platform, x);
	} else if (!strcmp(x->method, "DELETE")) {
		g_hash_table_remove(platform->objects, x->path);
		hs_respond(x, 204, NULL, "", 0);
	} else if (!data) {
		hs_respond(x, 404, NULL, "", 0);
	} else {
		bytes_of = g_bytes_get_data(data, &bytes);
		hs_respond(x, 200, NULL, bytes_of, bytes);
	}
}

static void sa_platform_route(struct sa_platform *platform,
			      struct hs_exchange *x)
{
	if (g_str_has_prefix(x->path, "/v3/kv/"))
		sa_platform_tables(platform, x);
	else if (!strcmp(x->path, "/hosts"))
		sa_answer_json(x, 200, NULL, json_object_get(platform->hosts));
	else
		sa_platform_object(platform, x);
}

/* Delayed requests take effect in order, one for each slow_ms at most. */
static void sa_platform_delay(struct sa_platform *platform)
{
	struct ev_loop *loop = platform->world->loop;

	if (ev_is_active(&platform->delay) ||
	    g_queue_is_empty(&platform->delayed))
		return;
	ev_timer_set(&platform->delay, (double)platform->slow_ms / 1000.0, 0.0);
	ev_timer_start(loop, &platform->delay);
}

static void sa_platform_on_delay(struct ev_loop *loop, ev_timer *timer,
				 int revents)
{
	struct sa_platform *platform = timer->data;
	struct hs_exchange *x;

	while ((x = g_queue_pop_head(&platform->delayed)))
		sa_platform_route(platform, x);
}

static void sa_platform_on_request(void *arg, struct hs_exchange *x)
{
	struct sa_platform *platform = arg;

	if (!platform->slow_ms) {
		sa_platform_route(platform, x);
		return;
	}
	g_queue_push_tail(&platform->delayed, x);
	sa_platform_delay(platform);
}

static void sa_platform_on_closed(void *arg, struct hs_exchange *x)
{
	struct sa_platform *platform = arg;

	g_queue_remove(&platform->delayed, x);
}

static void sa_platform_up(struct sa_platform *platform)
{
	struct hs_desc desc = { .loop = platform->world->loop,
				.address = platform->address,
				.port = platform->port,
				.on_request = sa_platform_on_request,
				.on_closed = sa_platform_on_closed,
				.arg = platform };

	if (platform->is_up)
		return;
	if (hs_init(&platform->server, &desc) != ST_OK) {
		fprintf(stderr, "platform: %s\n", st_message());
		exit(1);
	}
	platform->port = hs_port(&platform->server);
	platform->is_up = true;
}

static void sa_platform_on_restart(struct ev_loop *loop, ev_timer *timer,
				   int revents)
{
	sa_platform_up(timer->data);
}

void sa_platform_down(struct sa_platform *platform, int64_t ms)
{
	ev_timer_stop(platform->world->loop, &platform->restart);
	if (!ms) {
		sa_platform_up(platform);
		return;
	}
	if (platform->is_up) {
		hs_quiesce(&platform->server);
		hs_finish(&platform->server);
	}
	platform->is_up = false;
	ev_timer_set(&platform->restart,
		     ms < 0 ? SA_FOREVER_S : (double)ms / 1000.0, 0.0);
	ev_timer_start(platform->world->loop, &platform->restart);
}

static void sa_platform_on_lag(struct ev_loop *loop, ev_timer *timer,
			       int revents)
{
	struct sa_platform *platform = timer->data;

	json_object_put(platform->hosts);
	platform->hosts = NULL;
	json_object_deep_copy(platform->next_hosts, &platform->hosts, NULL);
}

static void sa_platform_show_later(struct sa_platform *platform)
{
	struct ev_loop *loop = platform->world->loop;

	ev_timer_stop(loop, &platform->lag);
	if (!platform->lag_ms) {
		sa_platform_on_lag(loop, &platform->lag, 0);
		return;
	}
	ev_timer_set(&platform->lag, (double)platform->lag_ms / 1000.0, 0.0);
	ev_timer_start(loop, &platform->lag);
}

void sa_platform_add_host(struct sa_platform *platform,
			  struct json_object *entry)
{
	json_object_array_add(platform->next_hosts, json_object_get(entry));
	sa_platform_show_later(platform);
}

void sa_platform_change_host(struct sa_platform *platform, const char *name,
			     const char *state)
{
	struct json_object *list = platform->next_hosts;

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);
		struct json_object *labels = sa_member(entry, "labels");

		if (strcmp(sa_text(labels, "name", ""), name) != 0)
			continue;
		if (!strcmp(state, "gone"))
			json_object_array_del_idx(list, i, 1);
		else
			json_object_object_add(labels, "state",
					       json_object_new_string(state));
		break;
	}
	sa_platform_show_later(platform);
}

static void sa_platform_list(struct sa_platform *platform, const char *name,
			     const char *kind, const char *address,
			     uint16_t port, const char *zone,
			     const char *region)
{
	struct json_object *entry = json_object_new_object();
	struct json_object *targets = json_object_new_array();
	struct json_object *labels = json_object_new_object();
	char *target = g_strdup_printf("%s:%u", address, port);

	json_object_array_add(targets, json_object_new_string(target));
	g_free(target);
	json_object_object_add(labels, "name", json_object_new_string(name));
	json_object_object_add(labels, "kind", json_object_new_string(kind));
	json_object_object_add(labels, "zone", json_object_new_string(zone));
	json_object_object_add(labels, "region",
			       json_object_new_string(region));
	json_object_object_add(labels, "state", json_object_new_string("live"));
	if (!strcmp(kind, "service"))
		json_object_object_add(labels, "service",
				       json_object_new_string(name));
	json_object_object_add(entry, "targets", targets);
	json_object_object_add(entry, "labels", labels);
	json_object_array_add(platform->next_hosts, entry);
}

static void sa_platform_list_all(struct sa_platform *platform,
				 struct json_object *more)
{
	struct sa_world *world = platform->world;
	size_t count = more ? json_object_array_length(more) : 0;

	for (guint i = 0; i < world->engines->len; i++) {
		struct sa_engine *e = g_ptr_array_index(world->engines, i);

		sa_platform_list(platform, e->desc.name, "engine",
				 e->desc.address, e->desc.port, e->desc.zone,
				 e->desc.region);
	}
	for (guint i = 0; i < world->services->len; i++) {
		struct sa_service *s = g_ptr_array_index(world->services, i);

		sa_platform_list(platform, s->name, "service", s->address,
				 s->port, s->zone, s->region);
	}
	for (size_t i = 0; i < count; i++)
		json_object_array_add(
			platform->next_hosts,
			json_object_get(json_object_array_get_idx(more, i)));
}

struct sa_platform *sa_platform_new(struct sa_world *world,
				    struct json_object *o)
{
	struct sa_platform *platform = g_new0(struct sa_platform, 1);

	platform->world = world;
	g_strlcpy(platform->address, sa_text(o, "address", "127.0.0.1"),
		  sizeof(platform->address));
	platform->port = (uint16_t)sa_number(o, "port", 0);
	platform->lag_ms = sa_number(o, "lag_ms", 0);
	platform->objects = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	platform->next_hosts = json_object_new_array();
	sa_tables_init(&platform->tables);
	ev_init(&platform->restart, sa_platform_on_restart);
	platform->restart.data = platform;
	ev_init(&platform->lag, sa_platform_on_lag);
	platform->lag.data = platform;
	ev_init(&platform->delay, sa_platform_on_delay);
	platform->delay.data = platform;
	sa_platform_list_all(platform, sa_member(o, "hosts"));
	sa_platform_on_lag(world->loop, &platform->lag, 0);
	sa_platform_up(platform);
	return platform;
}
