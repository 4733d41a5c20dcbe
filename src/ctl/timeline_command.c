/*
 * `balsampin timeline`: events of all processes in one ordered list.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "ctl/timeline_gather.h"
#include "kernel/kn_registry.h"
#include "kernel/tl.h"
#include "settings/cf.h"

/** struct timeline_options - of the command line. */
struct timeline_options {
	const char *settings;
	struct tm_filter filter;
	bool json;
	int64_t since_ms;
};

enum timeline_key {
	TIMELINE_SETTINGS = 's',
	TIMELINE_SUBJECT = 256,
	TIMELINE_KIND,
	TIMELINE_HOST,
	TIMELINE_JSON,
	TIMELINE_SINCE
};

static const struct argp_option timeline_argp_options[] = {
	{ "settings", TIMELINE_SETTINGS, "FILE", 0,
	  "settings file of any host; its peers are asked", 0 },
	{ "subject", TIMELINE_SUBJECT, "TEXT", 0,
	  "only this request, engine, host or lease", 0 },
	{ "kind", TIMELINE_KIND, "NAME", 0,
	  "only this kind, such as request_placed", 0 },
	{ "host", TIMELINE_HOST, "NAME", 0, "ask only this host", 0 },
	{ "json", TIMELINE_JSON, NULL, 0, "print JSON lines", 0 },
	{ "since-ms", TIMELINE_SINCE, "MS", 0,
	  "only the last so many milliseconds", 0 },
	{ 0 }
};

static error_t timeline_parse_since(const char *text, int64_t *out)
{
	char *end;

	*out = strtoll(text, &end, 10);
	return *text && !*end && *out > 0 ? 0 : EINVAL;
}

static error_t timeline_parse_option(int key, char *arg,
				     struct argp_state *state)
{
	struct timeline_options *options = state->input;

	switch (key) {
	case TIMELINE_SETTINGS:
		options->settings = arg;
		return 0;
	case TIMELINE_SUBJECT:
		options->filter.subject = arg;
		return 0;
	case TIMELINE_HOST:
		options->filter.host = arg;
		return 0;
	case TIMELINE_JSON:
		options->json = true;
		return 0;
	case TIMELINE_KIND:
		options->filter.kind = tl_kind_find(arg);
		if (options->filter.kind == TL_KIND_COUNT)
			argp_error(state, "no kind of event '%s'", arg);
		return 0;
	case TIMELINE_SINCE:
		if (timeline_parse_since(arg, &options->since_ms))
			argp_error(state, "'%s' is no positive number", arg);
		return 0;
	case ARGP_KEY_END:
		if (!options->settings)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp timeline_argp = {
	timeline_argp_options,
	timeline_parse_option,
	NULL,
	"Print the events of the entry, index and control processes of all "
	"hosts as one list, causes before effects.\v"
	"Exit code: 0 if every process answered, 1 if some did not (they are "
	"named on standard error), 78 for settings with findings.",
	NULL,
	NULL,
	NULL
};

static void timeline_add_host(GArray *targets, const struct cf_peer *peer)
{
	const struct {
		const char *role;
		uint16_t port;
	} processes[] = { { "entry", peer->entry_rpc_port },
			  { "index", peer->index_rpc_port },
			  { "control", peer->control_rpc_port } };
	struct in_addr address;

	if (inet_pton(AF_INET, peer->address, &address) != 1)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(processes); i++) {
		struct tg_target target = { .host = peer->name,
					    .role = processes[i].role };

		target.to.ipv4 = ntohl(address.s_addr);
		target.to.port = processes[i].port;
		g_array_append_val(targets, target);
	}
}

static GArray *timeline_targets(const struct cf_settings *settings,
				const char *host)
{
	GArray *targets = g_array_new(FALSE, TRUE, sizeof(struct tg_target));

	if (!host || !strcmp(host, settings->self.name))
		timeline_add_host(targets, &settings->self);
	for (uint32_t i = 0; i < settings->peer_count; i++) {
		const struct cf_peer *peer = &settings->peers[i];

		/* A file may be shared by all hosts and name its own, too. */
		if (strcmp(peer->name, settings->self.name) &&
		    (!host || !strcmp(host, peer->name)))
			timeline_add_host(targets, peer);
	}
	return targets;
}

/* Returns how many processes did not answer. */
static uint32_t timeline_report(const GArray *targets)
{
	uint32_t failed = 0;

	for (guint i = 0; i < targets->len; i++) {
		const struct tg_target *t =
			&g_array_index(targets, struct tg_target, i);

		if (t->code != ST_OK) {
			failed++;
			fprintf(stderr, "not reached: %s/%s: %s\n", t->host,
				t->role, st_name(t->code));
		} else if (t->overwritten) {
			fprintf(stderr,
				"%s/%s: %" PRIu64 " older events are gone\n",
				t->host, t->role, t->overwritten);
		}
	}
	return failed;
}

static int timeline_print(const struct timeline_options *options,
			  const struct cf_settings *settings)
{
	GArray *targets = timeline_targets(settings, options->filter.host);
	struct tg_desc desc = { .key = settings->rpc_key,
				.targets = (struct tg_target *)targets->data,
				.count = targets->len };
	struct tm_list list;
	int exit_code;

	if (options->since_ms)
		desc.after = (uint64_t)MAX(0, ck_wall_ms() - options->since_ms)
			     << CK_HLC_COUNTER_BITS;
	tm_init(&list, &options->filter);
	if (!targets->len) {
		fprintf(stderr, "balsampin timeline: no host '%s'\n",
			options->filter.host);
		exit_code = EX_USAGE;
	} else if (tg_run(&desc, &list) != ST_OK) {
		fprintf(stderr, "balsampin timeline: %s\n", st_message());
		exit_code = EX_UNAVAILABLE;
	} else {
		tm_print(&list, options->json, stdout);
		exit_code = timeline_report(targets) ? 1 : 0;
	}
	tm_finish(&list);
	g_array_unref(targets);
	return exit_code;
}

static int timeline_run(int argc, char **argv)
{
	struct timeline_options options = { .filter.kind = TL_KIND_COUNT };
	struct cf_settings settings;
	struct fd_list findings;
	int exit_code = EX_CONFIG;

	argp_parse(&timeline_argp, argc, argv, 0, NULL, &options);
	if (cf_load(&settings, options.settings, &findings) == ST_OK)
		exit_code = timeline_print(&options, &settings);
	else if (findings.count)
		fd_print(&findings, options.settings, stderr);
	else
		fprintf(stderr, "balsampin timeline: %s\n", st_message());
	fd_finish(&findings);
	cf_finish(&settings);
	return exit_code;
}

static const struct kn_command timeline_command = {
	"timeline", "print the events of all processes in order", timeline_run
};
KN_REGISTER("command", "timeline", timeline_command)
