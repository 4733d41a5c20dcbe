/*
 * `balsampin check FILE`: every finding of a settings file, all at once.
 */
#include <argp.h>
#include <stdio.h>
#include <sysexits.h>

#include "kernel/kn_registry.h"
#include "settings/cf.h"

static error_t check_parse_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	if (key == ARGP_KEY_ARG && !*path) {
		*path = arg;
		return 0;
	}
	if (key == ARGP_KEY_ARG || (key == ARGP_KEY_END && !*path))
		argp_usage(state);
	return key == ARGP_KEY_ARG || key == ARGP_KEY_END ? 0
							  : ARGP_ERR_UNKNOWN;
}

static const struct argp check_argp = {
	NULL,
	check_parse_option,
	"FILE",
	"Check a settings file and print every finding with its place.\v"
	"Exit code: 0 without findings, 1 with findings, 66 without the file.",
	NULL,
	NULL,
	NULL
};

static int check_run(int argc, char **argv)
{
	const char *path = NULL;
	struct cf_settings settings;
	struct fd_list findings;
	enum st_code code;
	int exit_code = 0;

	argp_parse(&check_argp, argc, argv, 0, NULL, &path);
	code = cf_load(&settings, path, &findings);
	if (code == ST_NOT_FOUND) {
		fprintf(stderr, "balsampin check: %s\n", st_message());
		exit_code = EX_NOINPUT;
	} else if (code != ST_OK) {
		fd_print(&findings, path, stdout);
		if (!findings.count)
			fprintf(stderr, "balsampin check: %s\n", st_message());
		exit_code = 1;
	} else {
		printf("%s: host %s in zone %s, %u peers: no findings\n", path,
		       settings.self.name, settings.self.zone,
		       settings.peer_count);
	}
	fd_finish(&findings);
	cf_finish(&settings);
	return exit_code;
}

static const struct kn_command check_command = {
	"check", "check a settings file and print every finding", check_run
};
KN_REGISTER("command", "check", check_command)
