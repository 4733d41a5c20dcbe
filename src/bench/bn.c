#include "bench/bn.h"

#include <gsl/gsl_fit.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "kernel/kn_registry.h"

int64_t bn_cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

struct bn_line bn_fit(const double *x, const double *y, uint32_t count)
{
	struct bn_line line = { 0 };
	double cov00, cov01, cov11, sumsq;

	gsl_fit_linear(x, 1, y, 1, count, &line.at_zero, &line.slope, &cov00,
		       &cov01, &cov11, &sumsq);
	return line;
}

static void bn_print_usage(FILE *out)
{
	fprintf(out, "Usage: balsampin bench MODE [OPTION...]\n\nModes:\n");
	kn_for_each_plugin ("bench", p) {
		const struct bn_mode *mode = p->table;

		fprintf(out, "  %-10s %s\n", mode->name, mode->summary);
	}
	fprintf(out, "\n`balsampin bench MODE --help` shows its options.\n");
}

static int bn_run(int argc, char **argv)
{
	const struct bn_mode *mode;

	if (argc < 2) {
		bn_print_usage(stderr);
		return EX_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-?")) {
		bn_print_usage(stdout);
		return 0;
	}
	mode = kn_plugin_find("bench", argv[1]);
	if (!mode) {
		fprintf(stderr, "balsampin: no bench '%s'\n", argv[1]);
		bn_print_usage(stderr);
		return EX_USAGE;
	}
	return mode->run(argc - 1, argv + 1);
}

static const struct kn_command bn_command = {
	"bench", "measure decisions and real processes", bn_run
};

KN_REGISTER("command", "bench", bn_command)
