/*
 * balsampin-standin FILE: the stand-ins of tests, see sa.h. Ends on SIGTERM.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "sa_engine.h"
#include "sa_platform.h"
#include "sa_service.h"

static void sa_on_signal(struct ev_loop *loop, ev_signal *watcher, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static void sa_start_list(struct sa_world *world, struct json_object *file)
{
	struct json_object *defaults = sa_member(file, "engine_defaults");
	struct json_object *engines = sa_member(file, "engines");
	struct json_object *services = sa_member(file, "services");
	size_t engine_count = engines ? json_object_array_length(engines) : 0;
	size_t service_count =
		services ? json_object_array_length(services) : 0;

	for (size_t i = 0; i < engine_count; i++)
		g_ptr_array_add(
			world->engines,
			sa_engine_new(world,
				      json_object_array_get_idx(engines, i),
				      defaults));
	for (size_t i = 0; i < service_count; i++)
		g_ptr_array_add(world->services,
				sa_service_new(world, json_object_array_get_idx(
							      services, i)));
	if (sa_member(file, "platform"))
		world->platform =
			sa_platform_new(world, sa_member(file, "platform"));
}

static void sa_print_ready(struct sa_world *world)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "event", json_object_new_string("ready"));
	json_object_object_add(o, "control_port",
			       json_object_new_int(hs_port(&world->control)));
	puts(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	fflush(stdout);
	json_object_put(o);
}

int main(int argc, char **argv)
{
	struct json_object *file =
		argc == 2 ? json_object_from_file(argv[1]) : NULL;
	static struct sa_world world;
	ev_signal on_term;

	if (!file) {
		fprintf(stderr, "Usage: balsampin-standin FILE\n%s",
			argc == 2 ? json_util_get_last_err() : "");
		return EX_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	world.loop = ev_default_loop(0);
	world.engines = g_ptr_array_new();
	world.services = g_ptr_array_new();
	world.kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_array_unref);
	sa_start_list(&world, file);
	if (sa_control_start(&world, sa_member(file, "control")) != ST_OK) {
		fprintf(stderr, "%s\n", st_message());
		return EX_UNAVAILABLE;
	}
	ev_signal_init(&on_term, sa_on_signal, SIGTERM);
	ev_signal_start(world.loop, &on_term);
	sa_print_ready(&world);
	json_object_put(file);
	ev_run(world.loop, 0);
	return 0;
}
