/*
 * `balsampin bench`: finds the mode in the registry and runs it.
 */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "bench/bench.h"
#include "kernel/kn_registry.h"

static void bench_print_usage(FILE *out)
{
	fprintf(out, "Usage: balsampin bench MODE [OPTION...]\n\nModes:\n");
	kn_for_each_plugin ("bench_mode", p) {
		const struct bench_mode *mode = p->table;

		fprintf(out, "  %-10s %s\n", mode->name, mode->summary);
	}
	fprintf(out,
		"\n`balsampin bench MODE --help` shows a mode's options.\n");
}

static int bench_run(int argc, char **argv)
{
	const struct bench_mode *mode;

	if (argc < 2) {
		bench_print_usage(stderr);
		return EX_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-?")) {
		bench_print_usage(stdout);
		return 0;
	}
	mode = kn_plugin_find("bench_mode", argv[1]);
	if (!mode) {
		fprintf(stderr, "balsampin bench: no mode '%s'\n", argv[1]);
		bench_print_usage(stderr);
		return EX_USAGE;
	}
	return mode->run(argc - 1, argv + 1);
}

static const struct kn_command bench_command = {
	"bench",
	"load and measurement",
	bench_run,
};

KN_REGISTER("command", "bench", bench_command)
