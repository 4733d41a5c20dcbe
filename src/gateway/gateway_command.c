/*
 * The command "gateway": settings, start of the parts, signals, and graceful
 * shutdown.
 */
#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <sysexits.h>

#include "gateway/gw.h"
#include "gateway/gw_begun.h"
#include "gateway/gw_cap.h"
#include "gateway/gw_continue.h"
#include "gateway/gw_poison.h"
#include "gateway/gw_reach.h"
#include "gateway/gw_separate.h"
#include "gateway/gw_stop.h"
#include "gateway/gw_via.h"
#include "kernel/ck.h"
#include "kernel/kn_registry.h"
#include "kernel/lg.h"

/*
 * Environment variable with the path of the settings file that the platform
 * provides.
 */
#define GW_SETTINGS_ENV "BALSAMPIN_BOOT"
/* Period of writing the log; a crash loses the lines of at most this time. */
#define GW_LOG_PERIOD_S 0.1
/*
 * Retries that are always allowed at a service: what a host has at the start,
 * and the most it may save up until it knows how many other hosts there are;
 * see gw_peers.c.
 */
#define GW_RETRY_RESERVE   2
#define GW_RETRY_MAX_ALONE 4
#define GW_PERMILLE	   1000
/*
 * Part of the allowed ratio that is used, as the ratio is checked against
 * completed requests.
 */
#define GW_RETRY_SHARE 0.6

static const struct argp_option gw_options[] = {
	{ "settings", 's', "FILE", 0,
	  "settings file (JSON with comments); default: $" GW_SETTINGS_ENV, 0 },
	{ "check", 'c', NULL, 0, "only check the settings and report findings",
	  0 },
	{ 0 },
};

struct gw_arguments {
	const char *settings_path;
	bool only_check;
};

static error_t gw_parse_option(int key, char *arg, struct argp_state *state)
{
	struct gw_arguments *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings_path = arg;
		return 0;
	case 'c':
		arguments->only_check = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->settings_path)
			argp_error(state, "--settings FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp gw_argp = {
	gw_options,
	gw_parse_option,
	"[--settings FILE]",
	"Forward callers' requests to upstreams until SIGTERM, then shut down "
	"gracefully.\vExit code: 0 after a graceful shutdown, 78 for settings "
	"with findings, 69 if an address is in use.",
	NULL,
	NULL,
	NULL
};

static enum st_code gw_load(struct gw_settings *settings, const char *path)
{
	struct fd_list findings;
	enum st_code code = gw_settings_load(settings, path, &findings);

	if (code != ST_OK)
		fd_print(&findings, path, stderr);
	fd_finish(&findings);
	return code;
}

/*
 * Reloads the bounds; addresses and names of a running process do not change.
 */
static void gw_reload(struct ev_loop *loop, ev_signal *w, int events)
{
	struct gw_gateway *g = w->data;
	struct gw_settings fresh;

	if (gw_load(&fresh, g->settings_path) != ST_OK) {
		lg_warn("settings not reloaded", "event", "reload", "outcome",
			"findings", "reason", st_message(), NULL);
		gw_settings_finish(&fresh);
		return;
	}
	g->settings.grace_ms = fresh.grace_ms;
	g->settings.config_ms = fresh.config_ms;
	g->settings.revoke_ms = fresh.revoke_ms;
	g->settings.weights_ms = fresh.weights_ms;
	g->settings.unread_ms = fresh.unread_ms;
	g->settings.memory_mb = fresh.memory_mb;
	g->settings.max_fds = fresh.max_fds;
	g->settings.max_fields = fresh.max_fields;
	g->settings.max_target_bytes = fresh.max_target_bytes;
	g->settings.max_pipelined_bytes = fresh.max_pipelined_bytes;
	g->settings.min_bytes_per_s = fresh.min_bytes_per_s;
	g->settings.rate_grace_ms = fresh.rate_grace_ms;
	gw_front_limit(g);
	gw_settings_finish(&fresh);
	lg_info("settings reloaded", "event", "reload", "outcome", "done",
		NULL);
}

static void gw_flush_logs(struct ev_loop *loop, ev_timer *w, int events)
{
	lg_flush();
}

static enum st_code gw_task_start(struct kn_task *task)
{
	struct gw_gateway *g = task->state;
	enum st_code code = gw_cap_start(g);

	ev_timer_init(&g->log_timer, gw_flush_logs, GW_LOG_PERIOD_S,
		      GW_LOG_PERIOD_S);
	ev_timer_start(g->kernel.loop, &g->log_timer);
	if (code == ST_OK)
		code = gw_begun_start(g);
	if (code == ST_OK)
		code = gw_reach_start(g);
	if (code == ST_OK)
		code = gw_via_start(g);
	if (code == ST_OK)
		code = gw_knowledge_start(g);
	if (code == ST_OK)
		code = gw_rollout_start(g);
	if (code == ST_OK)
		code = gw_poison_start(g);
	if (code == ST_OK)
		code = gw_peers_start(g);
	if (code == ST_OK)
		code = gw_front_start(g);
	return code;
}

static void gw_task_drain(struct kn_task *task)
{
	struct gw_gateway *g = task->state;

	g->stop_ms = ck_now_ms();
	gw_front_drain(g);
	gw_requests_stop(g);
	lg_info("stopping", "event", "stopping", NULL);
}

static bool gw_task_is_idle(struct kn_task *task)
{
	struct gw_gateway *g = task->state;

	return gw_stop_may_exit(ck_now_ms() - g->stop_ms, g->settings.grace_ms,
				gw_front_busy(g));
}

static void gw_task_stop(struct kn_task *task)
{
	struct gw_gateway *g = task->state;

	ev_timer_stop(g->kernel.loop, &g->log_timer);
	gw_front_stop(g);
	gw_via_stop(g);
	gw_reach_stop(g);
	gw_begun_stop(g);
	gw_peers_stop(g);
	gw_poison_stop(g);
	gw_rollout_stop(g);
	gw_knowledge_stop(g);
	gw_cap_stop(g);
}

static const struct kn_task_ops gw_task_ops = {
	"gateway",     gw_task_start,	NULL,
	gw_task_drain, gw_task_is_idle, gw_task_stop
};

static enum st_code gw_init(struct gw_gateway *g)
{
	enum st_code code;

	g->dialect = kn_plugin_find("dialect", g->settings.dialect);
	if (!g->dialect)
		return st_fail(ST_INVALID, "unknown dialect '%s'",
			       g->settings.dialect);
	code = kn_init(&g->kernel, &(struct kn_desc){ .name = "gateway" });
	if (code != ST_OK)
		return code;
	g->started_ms = ck_now_ms();
	gw_weights_init(&g->weights);
	pe_held_init(&g->held);
	gw_separate_init(g);
	pe_load_init(&g->peer_load);
	fl_init(&g->fleet, g->kernel.loop);
	rb_table_init(&g->retries,
		      &(struct rb_desc){ .ratio_permille =
						 g->settings.retry_ratio *
						 GW_RETRY_SHARE * GW_PERMILLE,
					 .reserve = GW_RETRY_RESERVE,
					 .max = GW_RETRY_MAX_ALONE });
	return rw_init(
		&g->store,
		&(struct rw_desc){ .loop = g->kernel.loop,
				   .kind = g->settings.dialect,
				   .address = g->settings.store_address });
}

static void gw_finish(struct gw_gateway *g)
{
	kn_stop_all(&g->kernel);
	gw_continue_finish(g);
	fl_finish(&g->fleet);
	pe_held_finish(&g->held);
	gw_separate_finish(g);
	pe_load_finish(&g->peer_load);
	rb_table_finish(&g->retries);
	rw_finish(&g->store);
	ca_catalog_unref(g->catalog);
	gw_weights_finish(&g->weights);
	kn_finish(&g->kernel);
	gw_settings_finish(&g->settings);
}

/*
 * Blocks SIGHUP until its watcher runs, so that an early one does not end the
 * process.
 */
static void gw_mask_hangup(int how)
{
	sigset_t hangup;

	sigemptyset(&hangup);
	sigaddset(&hangup, SIGHUP);
	sigprocmask(how, &hangup, NULL);
}

static int gw_run(struct gw_gateway *g)
{
	ev_signal hangup;

	if (gw_init(g) != ST_OK ||
	    kn_spawn(&g->kernel, &gw_task_ops, g, NULL) != ST_OK) {
		lg_error("cannot start", "event", "start", "reason",
			 st_message(), NULL);
		lg_flush();
		return EX_UNAVAILABLE;
	}
	ev_signal_init(&hangup, gw_reload, SIGHUP);
	hangup.data = g;
	ev_signal_start(g->kernel.loop, &hangup);
	gw_mask_hangup(SIG_UNBLOCK);
	ev_unref(g->kernel.loop);
	lg_info("started", "event", "start", "version", BALSAMPIN_VERSION,
		NULL);
	kn_run(&g->kernel);
	lg_info("stopped", "event", "stop", NULL);
	ev_ref(g->kernel.loop);
	ev_signal_stop(g->kernel.loop, &hangup);
	gw_finish(g);
	lg_flush();
	return 0;
}

static int gw_run_command(int argc, char **argv)
{
	static struct gw_gateway gateway;
	struct gw_arguments arguments = { g_getenv(GW_SETTINGS_ENV), false };

	/* The default grows with what is freed, and such memory is kept. */
	mallopt(M_MMAP_THRESHOLD, BA_MAPPED_BYTES);
	gw_mask_hangup(SIG_BLOCK);
	argp_parse(&gw_argp, argc, argv, 0, NULL, &arguments);
	gateway.settings_path = arguments.settings_path;
	if (gw_load(&gateway.settings, arguments.settings_path) != ST_OK)
		return EX_CONFIG;
	if (arguments.only_check)
		return 0;
	if (sodium_init() < 0)
		return EX_SOFTWARE;
	lg_init(&(struct lg_desc){ .role = "gateway",
				   .host = gateway.settings.host,
				   .zone = gateway.settings.zone,
				   .defers = TRUE });
	return gw_run(&gateway);
}

static const struct kn_command gw_command = {
	"gateway", "forward requests unchanged to upstreams of a platform",
	gw_run_command
};
KN_REGISTER("command", "gateway", gw_command)
