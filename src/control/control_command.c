/*
 * `balsampin control`: store task, order task and operators' calls of a host.
 */
#include "control/cs.h"
#include "control/od_task.h"
#include "control/op.h"
#include "kernel/kn_registry.h"
#include "process/pr.h"

/* struct control_state - the role's tasks. */
struct control_state {
	struct cs_task cs;
	struct od_task od;
	struct op_server op;
};

static enum st_code control_start(struct pr_process *process)
{
	static struct control_state state;
	enum st_code code;

	process->role_state = &state;
	code = cs_spawn(&state.cs, &process->kernel,
			&(struct cs_desc){ .settings = &process->settings,
					   .members = process->members,
					   .cr = &process->cr,
					   .replica = process->replica },
			NULL);
	if (code != ST_OK)
		return code;
	code = od_spawn(
		&state.od, &process->kernel,
		&(struct od_task_desc){ .settings = &process->settings,
					.incarnation = process->incarnation,
					.members = process->members,
					.cr = &process->cr,
					.cs = &state.cs },
		NULL);
	if (code != ST_OK)
		return code;
	return op_init(&state.op,
		       &(struct op_desc){ .settings = &process->settings,
					  .kernel = &process->kernel,
					  .rpc = &process->rpc,
					  .members = process->members,
					  .cr = &process->cr,
					  .cs = &state.cs,
					  .print_orders = od_print,
					  .orders_arg = &state.od });
}

static const struct pr_role control_role = { "control", MB_CONTROL,
					     control_start, NULL };

static int control_run(int argc, char **argv)
{
	return pr_main(argc, argv, &control_role);
}

static const struct kn_command control_command = {
	"control", "hold the configuration, send orders, serve operators",
	control_run
};
KN_REGISTER("command", "control", control_command)
