/*
 * `balsampin index`: the index process of a host.
 */
#include "index/index_task.h"
#include "kernel/kn_registry.h"
#include "process/pr.h"

static struct index_task index_command_task;

static enum st_code index_command_start(struct pr_process *process)
{
	return index_task_spawn(
		&index_command_task, &process->kernel,
		&(struct index_task_desc){ .settings = &process->settings,
					   .rpc = &process->rpc,
					   .members = process->members,
					   .membership = process->membership },
		NULL);
}

static const struct pr_role index_command_role = { "index", MB_INDEX,
						   index_command_start, NULL };

static int index_command_run(int argc, char **argv)
{
	return pr_main(argc, argv, &index_command_role);
}

static const struct kn_command index_command = {
	"index", "follow engines' caches and answer look-ups", index_command_run
};
KN_REGISTER("command", "index", index_command)
