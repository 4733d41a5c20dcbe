/*
 * The command "entry": the process that serves callers.
 */
#include "entry/en.h"
#include "kernel/kn_registry.h"
#include "kernel/tl.h"

enum st_code en_start(struct pr_process *process)
{
	struct en_entry *entry = g_new0(struct en_entry, 1);
	struct kn_kernel *kernel = &process->kernel;
	enum st_code code;

	process->role_state = entry;
	code = en_once_spawn(
		&entry->once, kernel,
		&(struct en_once_desc){ .process = process,
					.dispatch = &entry->dispatch_task },
		&entry->once_task);
	if (code != ST_OK)
		return code;
	code = en_dispatch_spawn(
		&entry->dispatch, kernel,
		&(struct en_dispatch_desc){ .process = process,
					    .front = &entry->front_task,
					    .once = &entry->once_task },
		&entry->dispatch_task);
	if (code != ST_OK)
		return code;
	return en_front_spawn(
		&entry->front, kernel,
		&(struct en_front_desc){ .process = process,
					 .dispatch = &entry->dispatch_task },
		&entry->front_task);
}

void en_finish(struct pr_process *process)
{
	struct en_entry *entry = process->role_state;

	if (!entry)
		return;
	kn_stop(&process->kernel, entry->front_task);
	kn_stop(&process->kernel, entry->dispatch_task);
	kn_stop(&process->kernel, entry->once_task);
	en_front_free(entry->front);
	en_dispatch_free(entry->dispatch);
	en_once_free(entry->once);
	g_free(entry);
	process->role_state = NULL;
}

static const struct pr_role en_role = { "entry", MB_ENTRY, en_start,
					en_finish };

static int en_run_command(int argc, char **argv)
{
	return pr_main(argc, argv, &en_role);
}

static const struct kn_command en_command = {
	"entry", "serve callers: limits, routing, calls to upstreams",
	en_run_command
};
KN_REGISTER("command", "entry", en_command)
