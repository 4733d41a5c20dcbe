/*
 * `balsampin logs`: lines of all hosts about one request or engine.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "ctl/lo.h"
#include "kernel/kn_registry.h"

/** struct logs_options - of the command line. */
struct logs_options {
	const char *id;
	int64_t around_ms;
	bool is_json;
	GPtrArray *files;
};

enum logs_key { LOGS_ID = 'i', LOGS_AROUND = 256, LOGS_JSON };

static const struct argp_option logs_argp_options[] = {
	{ "id", LOGS_ID, "TEXT", 0, "of a request, an engine or a host", 0 },
	{ "around-ms", LOGS_AROUND, "MS", 0,
	  "also what these hosts learned and decided so long before and after",
	  0 },
	{ "json", LOGS_JSON, NULL, 0, "print the lines as they were read", 0 },
	{ 0 }
};

static error_t logs_parse_around(const char *text, int64_t *out)
{
	char *end;

	*out = strtoll(text, &end, 10);
	return *text && !*end && *out >= 0 ? 0 : EINVAL;
}

static error_t logs_parse_option(int key, char *arg, struct argp_state *state)
{
	struct logs_options *options = state->input;

	switch (key) {
	case LOGS_ID:
		options->id = arg;
		return 0;
	case LOGS_AROUND:
		if (logs_parse_around(arg, &options->around_ms))
			argp_error(state, "'%s' is no number of ms", arg);
		return 0;
	case LOGS_JSON:
		options->is_json = true;
		return 0;
	case ARGP_KEY_ARG:
		g_ptr_array_add(options->files, arg);
		return 0;
	case ARGP_KEY_END:
		if (!options->id || !*options->id)
			argp_error(state, "--id is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp logs_argp = {
	logs_argp_options,
	logs_parse_option,
	"[FILE...]",
	"Print the log lines of all hosts that name an id, by time; without "
	"files, of standard input.\v"
	"Exit code: 0 if lines were found, 1 if none was, 66 if a file could "
	"not be read.",
	NULL,
	NULL,
	NULL
};

static void logs_read(struct lo_list *list, FILE *in)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, in) >= 0)
		lo_add(list, line);
	free(line);
}

static bool logs_read_file(struct lo_list *list, const char *path)
{
	FILE *in = fopen(path, "re");

	if (!in) {
		perror(path);
		return false;
	}
	logs_read(list, in);
	fclose(in);
	return true;
}

static int logs_print(const struct logs_options *options)
{
	struct lo_list list;
	int exit_code = 0;

	lo_init(&list);
	for (uint32_t i = 0; i < options->files->len; i++)
		if (!logs_read_file(&list, options->files->pdata[i]))
			exit_code = EX_NOINPUT;
	if (!options->files->len)
		logs_read(&list, stdin);
	lo_select(&list, options->id, options->around_ms);
	lo_print(&list, options->is_json, stdout);
	if (list.unreadable)
		fprintf(stderr, "%u lines are no log lines\n", list.unreadable);
	if (!exit_code && !list.selected)
		exit_code = 1;
	lo_finish(&list);
	return exit_code;
}

static int logs_run(int argc, char **argv)
{
	struct logs_options options = { .files = g_ptr_array_new() };
	int exit_code;

	argp_parse(&logs_argp, argc, argv, 0, NULL, &options);
	exit_code = logs_print(&options);
	g_ptr_array_free(options.files, TRUE);
	return exit_code;
}

static const struct kn_command logs_command = {
	"logs", "print log lines of all hosts about one request or engine",
	logs_run
};
KN_REGISTER("command", "logs", logs_command)
