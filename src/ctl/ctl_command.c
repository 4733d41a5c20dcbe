/*
 * `balsampin ctl`: operators' commands.
 */
#include <argp.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "control/op.h"
#include "ctl/ctl_call.h"
#include "ctl/ctl_check.h"
#include "ctl/ctl_file.h"
#include "ctl/ctl_wait.h"
#include "kernel/ck.h"
#include "kernel/kn_registry.h"

#define CTL_KEY_VARIABLE    "BALSAMPIN_OPERATOR_KEY"
#define CTL_CHANGE_ID_BYTES 16
#define CTL_DEFAULT_WAIT_S  30
#define CTL_WAIT_PERIOD_MS  200
/* A process that stays out of reach for it is reported, not waited for. */
#define CTL_REACH_WAIT_MS     6000
#define CTL_MAX_WORDS	      4
#define CTL_EXIT_NOT_IN_FORCE 1
#define CTL_EXIT_CONFLICT     2

/**
 * struct ctl_options - of the command line.
 * @words: the command and its arguments.
 * @against: version to compare with, of `check`.
 * @expected: revision the change is based on; -1 reads the present one.
 */
struct ctl_options {
	const char *settings;
	const char *control;
	const char *key_file;
	const char *change_id;
	const char *against;
	bool is_json;
	int64_t expected;
	bool wait;
	int64_t wait_s;
	const char *words[CTL_MAX_WORDS];
	uint32_t word_count;
};

/** struct ctl_run - a command under way. */
struct ctl_run {
	const struct ctl_options *options;
	struct ctl_session session;
	int exit_code;
	uint64_t revision;
	bool is_done;
	char *text;
};

enum ctl_key {
	CTL_SETTINGS = 's',
	CTL_CONTROL = 'c',
	CTL_KEY_FILE = 'k',
	CTL_WAIT = 'w',
	CTL_CHANGE_ID = 256,
	CTL_REVISION,
	CTL_AGAINST,
	CTL_JSON
};

static const struct argp_option ctl_argp_options[] = {
	{ "settings", CTL_SETTINGS, "FILE", 0,
	  "settings file of any host; its control process is asked first", 0 },
	{ "control", CTL_CONTROL, "IP:PORT", 0,
	  "ask this control process first", 0 },
	{ "key-file", CTL_KEY_FILE, "FILE", 0,
	  "file with the operators' key; default: " CTL_KEY_VARIABLE, 0 },
	{ "wait", CTL_WAIT, "SECONDS", OPTION_ARG_OPTIONAL,
	  "wait until a change is in force everywhere (30)", 0 },
	{ "change-id", CTL_CHANGE_ID, "ID", 0,
	  "repeat the change of that id, which takes effect once", 0 },
	{ "revision", CTL_REVISION, "N", 0,
	  "the change is based on revision N; default: the present one", 0 },
	{ "against", CTL_AGAINST, "FILE", 0,
	  "of check: list the differences from that configuration", 0 },
	{ "json", CTL_JSON, NULL, 0, "of check: print JSON", 0 },
	{ 0 }
};

static const char ctl_doc[] =
	"Ask and change the configuration and the hosts.\n\n"
	"  check FILE             findings of a platform's configuration, "
	"offline and\n"
	"                         without --settings; exit code: 0 nothing "
	"above a note,\n"
	"                         1 warnings, 2 errors, 64 wrong use, 66 no "
	"such file\n"
	"  apply FILE             all changes of a file together\n"
	"  set KIND NAME JSON     one object; @FILE reads it from a file\n"
	"  delete KIND NAME       one object\n"
	"  show KIND NAME         one object in force\n"
	"  list [KIND]            all objects in force\n"
	"  versions               which process has which revision\n"
	"  drain HOST             graceful shutdown of a host's processes\n"
	"  orders                 engines, wanted state and lease\n"
	"  counters HOST          metrics of a host's control process\v"
	"Exit code: 0 done; 1 not in force everywhere within the wait; 2 "
	"another change came first; 64 wrong use; 65 refused with findings; "
	"66 no such object or file; 69 nothing took effect; 75 outcome "
	"unknown, repeat with the printed change id; 77 wrong operators' key; "
	"78 wrong settings.";

static bool ctl_is_check(const struct ctl_options *o)
{
	return o->word_count && !strcmp(o->words[0], "check");
}

static error_t ctl_parse_option(int key, char *arg, struct argp_state *state)
{
	struct ctl_options *o = state->input;

	switch (key) {
	case CTL_SETTINGS:
		o->settings = arg;
		return 0;
	case CTL_CONTROL:
		o->control = arg;
		return 0;
	case CTL_KEY_FILE:
		o->key_file = arg;
		return 0;
	case CTL_WAIT:
		o->wait = true;
		o->wait_s = arg ? strtoll(arg, NULL, 10) : CTL_DEFAULT_WAIT_S;
		return 0;
	case CTL_CHANGE_ID:
		o->change_id = arg;
		return 0;
	case CTL_REVISION:
		o->expected = strtoll(arg, NULL, 10);
		return 0;
	case CTL_AGAINST:
		o->against = arg;
		return 0;
	case CTL_JSON:
		o->is_json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (o->word_count == CTL_MAX_WORDS)
			argp_usage(state);
		o->words[o->word_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!o->word_count || (!o->settings && !ctl_is_check(o)))
			argp_error(state, "--settings and a command are "
					  "required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp ctl_argp = { ctl_argp_options,
				      ctl_parse_option,
				      "COMMAND [ARGUMENT...]",
				      ctl_doc,
				      NULL,
				      NULL,
				      NULL };

static int ctl_exit_code(enum st_code code)
{
	static const int codes[ST_CODE_COUNT] = {
		[ST_OK] = 0,
		[ST_INVALID] = EX_DATAERR,
		[ST_NOT_FOUND] = EX_NOINPUT,
		[ST_CONFLICT] = CTL_EXIT_CONFLICT,
		[ST_UNAVAILABLE] = EX_UNAVAILABLE,
		[ST_UNKNOWN] = EX_TEMPFAIL,
		[ST_TIMEOUT] = EX_TEMPFAIL,
		[ST_FULL] = EX_UNAVAILABLE,
		[ST_DENIED] = EX_NOPERM,
		[ST_STALE] = EX_UNAVAILABLE,
		[ST_INTERNAL] = EX_SOFTWARE,
	};

	return code < ST_CODE_COUNT ? codes[code] : EX_PROTOCOL;
}

static void ctl_print_objects(const bp_operated *answer)
{
	for (u_int i = 0; i < answer->objects.objects_len; i++) {
		const bp_object *o = &answer->objects.objects_val[i];

		printf("%s/%s revision=%" PRIu64 " %s\n", o->kind, o->name,
		       (uint64_t)o->revision, o->deleted ? "deleted" : o->json);
	}
}

static void ctl_print_failure(const bp_operated *answer)
{
	for (u_int i = 0; i < answer->findings.findings_len; i++)
		fprintf(stderr, "%s: %s\n",
			answer->findings.findings_val[i].place,
			answer->findings.findings_val[i].message);
	if (answer->status == ST_CONFLICT)
		fprintf(stderr,
			"the configuration is at revision %" PRIu64
			"; changed since:\n",
			(uint64_t)answer->revision);
	else
		fprintf(stderr, "balsampin ctl: %s: %s\n",
			st_name(answer->status), answer->message);
}

static void ctl_on_answer(void *arg, const bp_operated *answer)
{
	struct ctl_run *run = arg;

	run->revision = answer->revision;
	run->exit_code = ctl_exit_code(answer->status);
	run->is_done = answer->status == ST_OK;
	g_free(run->text);
	run->text = g_strdup(answer->text);
	if (answer->status != ST_OK)
		ctl_print_failure(answer);
}

static void ctl_on_objects(void *arg, const bp_operated *answer)
{
	ctl_on_answer(arg, answer);
	ctl_print_objects(answer);
}

static bool ctl_call(struct ctl_run *run, bp_operate *call, ctl_answer_fn fn)
{
	enum st_code code;

	call->kind = call->kind ? call->kind : "";
	call->name = call->name ? call->name : "";
	call->change_id = call->change_id ? call->change_id : "";
	run->is_done = false;
	code = ctl_operate(&run->session, call, fn, run);
	if (code != ST_OK) {
		fprintf(stderr, "balsampin ctl: %s\n", st_message());
		run->exit_code = ctl_exit_code(code);
	}
	return run->is_done;
}

/* --- changes --- */

static void ctl_wait_in_force(struct ctl_run *run, uint64_t revision)
{
	int64_t start_ms = ck_now_ms();
	int64_t end_ms = start_ms + run->options->wait_s * 1000;
	struct ctl_spread spread = { 0 };

	for (;;) {
		bp_operate call = { .operation = BP_OP_VERSIONS };

		if (ctl_call(run, &call, ctl_on_answer))
			spread = ctl_spread_read(run->text, revision);
		if (spread.in_force && !spread.behind &&
		    (!spread.not_reached ||
		     ck_now_ms() >= start_ms + CTL_REACH_WAIT_MS))
			break;
		if (ck_now_ms() >= end_ms)
			break;
		ctl_pause(&run->session, CTL_WAIT_PERIOD_MS);
	}
	if (run->text)
		ctl_spread_print(run->text, revision, stdout);
	printf("in force in %u processes, behind %u, not reached %u\n",
	       spread.in_force, spread.behind, spread.not_reached);
	if (!spread.in_force || spread.behind || spread.not_reached)
		run->exit_code = CTL_EXIT_NOT_IN_FORCE;
}

static bool ctl_read_revision(struct ctl_run *run, uint64_t *revision)
{
	bp_operate call = { .operation = BP_OP_LIST, .kind = OP_KIND_REVISION };

	if (run->options->expected >= 0) {
		*revision = (uint64_t)run->options->expected;
		return true;
	}
	if (!ctl_call(run, &call, ctl_on_answer))
		return false;
	*revision = run->revision;
	return true;
}

static const char *ctl_change_id(const struct ctl_options *options, char *made,
				 size_t bytes)
{
	uint8_t random[CTL_CHANGE_ID_BYTES];

	if (options->change_id)
		return options->change_id;
	randombytes_buf(random, sizeof(random));
	return sodium_bin2hex(made, bytes, random, sizeof(random));
}

static void ctl_change(struct ctl_run *run, GArray *objects)
{
	char made[2 * CTL_CHANGE_ID_BYTES + 1];
	const char *id = ctl_change_id(run->options, made, sizeof(made));
	bp_operate call = { .operation = BP_OP_APPLY, .change_id = (char *)id };
	uint64_t expected;

	if (!ctl_read_revision(run, &expected))
		return;
	call.expected_revision = expected;
	call.objects.objects_val = (bp_object *)objects->data;
	call.objects.objects_len = objects->len;
	if (ctl_call(run, &call, ctl_on_objects)) {
		uint64_t revision = run->revision;

		printf("revision %" PRIu64 " change %s\n", revision, id);
		if (run->options->wait)
			ctl_wait_in_force(run, revision);
	} else if (run->exit_code == EX_TEMPFAIL) {
		fprintf(stderr,
			"repeat with --change-id=%s --revision=%" PRIu64 "\n",
			id, expected);
	}
}

static char *ctl_read_file(struct ctl_run *run, const char *path)
{
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "balsampin ctl: %s\n", error->message);
		g_error_free(error);
		run->exit_code = EX_NOINPUT;
	}
	return text;
}

static void ctl_apply(struct ctl_run *run, const char *const *words)
{
	g_autofree char *text = ctl_read_file(run, words[0]);
	struct fd_list findings;
	GArray *objects;

	if (!text)
		return;
	fd_init(&findings);
	objects = ctl_file_parse(text, &findings);
	fd_print(&findings, words[0], stderr);
	fd_finish(&findings);
	run->exit_code = EX_DATAERR;
	if (!objects)
		return;
	ctl_change(run, objects);
	g_array_unref(objects);
}

static void ctl_set(struct ctl_run *run, const char *const *words)
{
	GArray *objects = ctl_objects_new();
	g_autofree char *text = NULL;

	if (words[2][0] == '@')
		text = ctl_read_file(run, words[2] + 1);
	else
		text = g_strdup(words[2]);
	if (text) {
		ctl_objects_add(objects, words[0], words[1], text);
		ctl_change(run, objects);
	}
	g_array_unref(objects);
}

static void ctl_delete(struct ctl_run *run, const char *const *words)
{
	GArray *objects = ctl_objects_new();

	ctl_objects_add(objects, words[0], words[1], NULL);
	ctl_change(run, objects);
	g_array_unref(objects);
}

/* --- questions --- */

static void ctl_show(struct ctl_run *run, const char *const *words)
{
	bp_operate call = { .operation = BP_OP_SHOW,
			    .kind = (char *)words[0],
			    .name = (char *)words[1] };

	ctl_call(run, &call, ctl_on_objects);
}

static void ctl_list(struct ctl_run *run, const char *const *words)
{
	bp_operate call = { .operation = BP_OP_LIST, .kind = (char *)words[0] };

	if (ctl_call(run, &call, ctl_on_objects))
		printf("revision %" PRIu64 "\n", run->revision);
}

static void ctl_versions(struct ctl_run *run, const char *const *words)
{
	bp_operate call = { .operation = BP_OP_VERSIONS };

	if (!ctl_call(run, &call, ctl_on_answer))
		return;
	printf("revision %" PRIu64 "\n", run->revision);
	ctl_spread_print(run->text, run->revision, stdout);
}

static void ctl_text(struct ctl_run *run, bp_operation operation,
		     const char *name)
{
	bp_operate call = { .operation = operation, .name = (char *)name };

	if (ctl_call(run, &call, ctl_on_answer))
		puts(run->text);
}

static void ctl_drain(struct ctl_run *run, const char *const *words)
{
	ctl_text(run, BP_OP_DRAIN, words[0]);
}

static void ctl_orders(struct ctl_run *run, const char *const *words)
{
	ctl_text(run, BP_OP_ORDERS, "");
}

static void ctl_counters(struct ctl_run *run, const char *const *words)
{
	ctl_text(run, BP_OP_COUNTERS, words[0]);
}

static const struct ctl_verb {
	const char *name;
	uint32_t least;
	uint32_t most;
	void (*run)(struct ctl_run *run, const char *const *words);
} ctl_verbs[] = {
	{ "apply", 1, 1, ctl_apply },	    { "set", 3, 3, ctl_set },
	{ "delete", 2, 2, ctl_delete },	    { "show", 2, 2, ctl_show },
	{ "list", 0, 1, ctl_list },	    { "versions", 0, 0, ctl_versions },
	{ "drain", 1, 1, ctl_drain },	    { "orders", 0, 0, ctl_orders },
	{ "counters", 1, 1, ctl_counters },
};

static const struct ctl_verb *ctl_find_verb(const struct ctl_options *o)
{
	uint32_t arguments = o->word_count - 1;

	for (uint32_t i = 0; i < G_N_ELEMENTS(ctl_verbs); i++)
		if (!strcmp(ctl_verbs[i].name, o->words[0]) &&
		    arguments >= ctl_verbs[i].least &&
		    arguments <= ctl_verbs[i].most)
			return &ctl_verbs[i];
	return NULL;
}

static char *ctl_read_key(const struct ctl_options *options)
{
	const char *variable = getenv(CTL_KEY_VARIABLE);
	char *key = NULL;

	if (options->key_file)
		g_file_get_contents(options->key_file, &key, NULL, NULL);
	else if (variable)
		key = g_strdup(variable);
	return key ? g_strstrip(key) : NULL;
}

static int ctl_run_verb(const struct ctl_options *options,
			const struct cf_settings *settings)
{
	const struct ctl_verb *verb = ctl_find_verb(options);
	struct ctl_run run = { .options = options };
	g_autofree char *key = ctl_read_key(options);

	if (!verb) {
		fprintf(stderr, "balsampin ctl: wrong command; see --help\n");
		return EX_USAGE;
	}
	if (!key || strlen(key) > BP_NAME_BYTES) {
		fprintf(stderr, "balsampin ctl: no operators' key: --key-file "
				"or " CTL_KEY_VARIABLE "\n");
		return EX_NOPERM;
	}
	if (ctl_session_init(&run.session, settings, options->control, key) ==
	    ST_OK) {
		verb->run(&run, &options->words[1]);
	} else {
		fprintf(stderr, "balsampin ctl: %s\n", st_message());
		run.exit_code = EX_USAGE;
	}
	ctl_session_finish(&run.session);
	sodium_memzero(key, strlen(key));
	g_free(run.text);
	return run.exit_code;
}

static int ctl_run_check(const struct ctl_options *options)
{
	if (options->word_count != 2) {
		fprintf(stderr, "balsampin ctl check: give one FILE\n");
		return EX_USAGE;
	}
	return ctl_check(&(struct ctl_check_desc){ .file = options->words[1],
						   .against = options->against,
						   .is_json = options->is_json,
						   .out = stdout,
						   .err = stderr });
}

static int ctl_command_run(int argc, char **argv)
{
	struct ctl_options options = { .expected = -1 };
	struct cf_settings settings;
	struct fd_list findings;
	int exit_code = EX_CONFIG;

	argp_parse(&ctl_argp, argc, argv, 0, NULL, &options);
	if (ctl_is_check(&options))
		return ctl_run_check(&options);
	if (sodium_init() < 0)
		return EX_SOFTWARE;
	if (cf_load(&settings, options.settings, &findings) == ST_OK)
		exit_code = ctl_run_verb(&options, &settings);
	else
		fprintf(stderr, "balsampin ctl: %s\n", st_message());
	fd_print(&findings, options.settings, stderr);
	fd_finish(&findings);
	cf_finish(&settings);
	return exit_code;
}

static const struct kn_command ctl_command = {
	"ctl", "change and show the configuration", ctl_command_run
};
KN_REGISTER("command", "ctl", ctl_command)
