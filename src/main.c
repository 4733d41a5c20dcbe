/*
 * The binary: finds the subcommand in the registry and runs it.
 */
#include <argp.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "kernel/kn_registry.h"

const char *argp_program_version = "balsampin " BALSAMPIN_VERSION;

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: balsampin COMMAND [OPTION...]\n\n"
		     "Router for language-model traffic with long shared "
		     "prompts.\n\nCommands:\n");
	kn_for_each_plugin ("command", p) {
		const struct kn_command *c = p->table;

		fprintf(out, "  %-10s %s\n", c->name, c->summary);
	}
	fprintf(out,
		"\n`balsampin COMMAND --help` shows a command's options.\n");
}

int main(int argc, char **argv)
{
	const struct kn_command *command;

	if (argc < 2) {
		print_usage(stderr);
		return EX_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-?")) {
		print_usage(stdout);
		return 0;
	}
	if (!strcmp(argv[1], "--version")) {
		puts(argp_program_version);
		return 0;
	}
	command = kn_plugin_find("command", argv[1]);
	if (!command) {
		fprintf(stderr, "balsampin: no command '%s'\n", argv[1]);
		print_usage(stderr);
		return EX_USAGE;
	}
	return command->run(argc - 1, argv + 1);
}
