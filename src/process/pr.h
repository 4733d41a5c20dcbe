/*
 * pr - common start-up and shutdown of a host's processes.
 *
 * Overview
 *	pr_main() is the run function of the commands entry, index and control.
 *	It reads the command line and the settings, starts logging, the RPC
 *	endpoint, the membership task and the configuration replica, serves the
 *	time line over RPC, then starts the role's own tasks and runs until the
 *	graceful shutdown (SIGTERM) is complete.
 *
 *	index and control serve /metrics and /healthz on an HTTP server of
 *	their own; entry serves both on the HTTP server for its callers.
 *
 * Use
 *	static const struct pr_role role = { "index", MB_INDEX, start, stop };
 *	static int run(int argc, char **argv)
 *	{
 *		return pr_main(argc, argv, &role);
 *	}
 */
#ifndef PR_H
#define PR_H

#include "config/cr.h"
#include "control/dr.h"
#include "kernel/kn.h"
#include "membership/mb_task.h"
#include "net/hs.h"
#include "rpc/rp.h"
#include "settings/cf.h"

/**
 * struct pr_process - state shared by the tasks of a process.
 * @settings: settings of the host.
 * @kernel: the loop and the tasks.
 * @rpc: the RPC endpoint, for calls and for the role's own procedures.
 * @members: the membership table, read-only.
 * @config: the configuration in force, read-only.
 * @membership: task that receives evidence about members.
 * @replica: task of the configuration replica.
 * @cr: the replica itself, for cr_subscribe() and cr_is_trusted().
 * @incarnation: incarnation of this process.
 * @role_state: for the role's own use.
 */
struct pr_process {
	struct cf_settings settings;
	struct kn_kernel kernel;
	struct rp_endpoint rpc;
	const struct mb_table *members;
	const struct cm_config *config;
	struct kn_handle membership;
	struct kn_handle replica;
	struct cr_replica cr;
	uint64_t incarnation;
	void *role_state;

	struct mb_task _mb;
	struct dr_server _dr;
	struct hs_server _admin;
	bool _has_admin;
};

/**
 * struct pr_role - the parts of a process that depend on its role.
 * @name: name of the command.
 * @role: role in the membership.
 * @start: spawn the role's own tasks.
 * @finish: free what @start created; called after the loop has ended and
 *	before the kernel stops the tasks. May be NULL.
 */
struct pr_role {
	const char *name;
	enum mb_role role;
	enum st_code (*start)(struct pr_process *process);
	void (*finish)(struct pr_process *process);
};

/**
 * pr_main() - run a process of the given role.
 *
 * Return: exit code: 0 after a graceful shutdown, EX_CONFIG for settings with
 * findings, EX_UNAVAILABLE if the endpoint, a server or a task cannot start
 * (for instance, a port is taken), EX_OSERR if the kernel cannot be
 * initialised, EX_SOFTWARE if libsodium or libcurl cannot. A wrong command line
 * ends the process with EX_USAGE.
 */
int pr_main(int argc, char **argv, const struct pr_role *role);

/** pr_answer_metrics() - answer GET /metrics with the metrics of mt.h. */
void pr_answer_metrics(struct hs_exchange *x);

#endif
