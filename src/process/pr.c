#include "process/pr.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "rpc/tl_rpc.h"

struct pr_arguments {
	const char *settings_path;
};

static const struct argp_option pr_options[] = {
	{ "settings", 's', "FILE", 0,
	  "settings of this host (JSON with comments)", 0 },
	{ 0 },
};

static error_t pr_parse_option(int key, char *arg, struct argp_state *state)
{
	struct pr_arguments *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings_path = arg;
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

static const struct argp pr_argp = {
	pr_options,
	pr_parse_option,
	"--settings FILE",
	"Run one process of this host until SIGTERM, then shut down "
	"gracefully.\vExit code: 0 after a graceful shutdown, 78 for settings "
	"with findings, 69 if a port is taken.",
	NULL,
	NULL,
	NULL
};

void pr_answer_metrics(struct hs_exchange *x)
{
	static const struct hs_header headers[] = {
		{ "Content-Type", "text/plain; version=0.0.4" },
		{ NULL, NULL },
	};
	GString *out = g_string_new(NULL);

	mt_print(out);
	hs_respond(x, 200, headers, out->str, out->len);
	g_string_free(out, TRUE);
}

static void pr_on_admin_request(void *arg, struct hs_exchange *x)
{
	const struct pr_process *p = arg;

	if (!strcmp(x->path, "/metrics"))
		pr_answer_metrics(x);
	else if (strcmp(x->path, "/healthz"))
		hs_respond(x, 404, NULL, "not found\n", 10);
	else if (p->kernel.draining)
		hs_respond(x, 503, NULL, "draining\n", 9);
	else
		hs_respond(x, 200, NULL, "ok\n", 3);
}

static enum st_code pr_start_admin(struct pr_process *p, uint16_t port)
{
	enum st_code code;

	code = hs_init(&p->_admin,
		       &(struct hs_desc){ .loop = p->kernel.loop,
					  .address = p->settings.self.address,
					  .port = port,
					  .on_request = pr_on_admin_request,
					  .arg = p });
	p->_has_admin = code == ST_OK;
	return code;
}

static uint16_t pr_rpc_port(const struct cf_peer *self, enum mb_role role)
{
	if (role == MB_ENTRY)
		return self->entry_rpc_port;
	if (role == MB_INDEX)
		return self->index_rpc_port;
	return self->control_rpc_port;
}

static enum st_code pr_start_rpc(struct pr_process *p,
				 const struct pr_role *role)
{
	const struct cf_peer *self = &p->settings.self;
	enum st_code code;

	p->incarnation = rp_new_incarnation();
	code = rp_init(&p->rpc,
		       &(struct rp_desc){ .loop = p->kernel.loop,
					  .address = self->address,
					  .port = pr_rpc_port(self, role->role),
					  .key = p->settings.rpc_key,
					  .host = self->name,
					  .role = role->name,
					  .incarnation = p->incarnation });
	if (code != ST_OK)
		return code;
	if (role->role != MB_CONTROL)
		code = dr_init(&p->_dr, &p->kernel, &p->rpc, &p->settings);
	if (code != ST_OK)
		return code;
	return tl_rpc_serve(&p->rpc, self->name, role->name, p->incarnation);
}

static enum st_code pr_start_tasks(struct pr_process *p,
				   const struct pr_role *role)
{
	enum st_code code;

	code = mb_task_spawn(
		&p->_mb, &p->kernel,
		&(struct mb_task_desc){ .settings = &p->settings,
					.rpc = &p->rpc,
					.role = role->role,
					.incarnation = p->incarnation },
		&p->membership);
	if (code != ST_OK)
		return code;
	p->members = mb_task_table(&p->_mb);
	code = cr_spawn(&p->cr, &p->kernel,
			&(struct cr_desc){ .settings = &p->settings,
					   .rpc = &p->rpc,
					   .members = p->members,
					   .membership = p->membership,
					   .serve = true },
			&p->replica);
	if (code != ST_OK)
		return code;
	p->config = cr_config(&p->cr);
	if (role->role == MB_INDEX)
		code = pr_start_admin(p, p->settings.self.index_http_port);
	if (role->role == MB_CONTROL)
		code = pr_start_admin(p, p->settings.self.control_http_port);
	if (code != ST_OK)
		return code;
	return role->start(p);
}

static int pr_load_settings(struct pr_process *p, const char *path)
{
	struct fd_list findings;
	enum st_code code = cf_load(&p->settings, path, &findings);

	if (code != ST_OK) {
		fd_print(&findings, path, stderr);
		fprintf(stderr, "balsampin: %s\n", st_message());
	}
	fd_finish(&findings);
	return code == ST_OK ? 0 : EX_CONFIG;
}

static int pr_run(struct pr_process *p, const struct pr_role *role)
{
	enum st_code code = pr_start_rpc(p, role);

	if (code == ST_OK)
		code = pr_start_tasks(p, role);
	if (code != ST_OK) {
		lg_error("cannot start the process", "reason", st_message(),
			 NULL);
		return EX_UNAVAILABLE;
	}
	lg_info("started", NULL);
	tl_record(TL_PROCESS_STARTED, p->settings.self.name, "role=%s",
		  role->name);
	kn_run(&p->kernel);
	lg_info("stopped", NULL);
	return 0;
}

int pr_main(int argc, char **argv, const struct pr_role *role)
{
	static struct pr_process process;
	struct pr_arguments arguments = { 0 };
	int exit_code;

	argp_parse(&pr_argp, argc, argv, 0, NULL, &arguments);
	exit_code = pr_load_settings(&process, arguments.settings_path);
	if (exit_code)
		return exit_code;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EX_SOFTWARE;
	lg_init(&(struct lg_desc){ .role = role->name,
				   .host = process.settings.self.name,
				   .zone = process.settings.self.zone });
	if (kn_init(&process.kernel, &(struct kn_desc){ .name = role->name }) !=
	    ST_OK)
		return EX_OSERR;
	exit_code = pr_run(&process, role);
	if (role->finish)
		role->finish(&process);
	kn_stop_all(&process.kernel);
	if (process._has_admin)
		hs_finish(&process._admin);
	if (process.rpc._state)
		rp_finish(&process.rpc);
	kn_finish(&process.kernel);
	cf_finish(&process.settings);
	return exit_code;
}
