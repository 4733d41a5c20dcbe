/*
 * op - server of operators' calls (BP_OPERATE) in control.
 *
 * Overview
 *	Every call carries the operators' key. Its SHA-256 is compared in
 *	constant time with the hash in the settings; on a mismatch the call is
 *	refused and counted. The key is never logged.
 *
 *	SHOW, LIST	objects of the configuration in force here
 *			(LIST of OP_KIND_REVISION: its revision only, ST_STALE
 *			from a process that has not caught up)
 *	APPLY		a change, see cs.h; the answer to a conflict has the
 *			objects that changed since the expected revision
 *	VERSIONS	the revision in force in each process, from gossip
 *	DRAIN		graceful shutdown of all processes of a host
 *	ORDERS		the lease and the engines' states
 *	COUNTERS	the metrics of a host's control process
 *
 *	DRAIN and COUNTERS name a host; any other control process forwards the
 *	call to the one of that host.
 */
#ifndef OP_H
#define OP_H

#include "config/cr.h"
#include "control/cs.h"
#include "rpc/gen/balsampin.h"

#define OP_FORWARD_DEADLINE_MS 4000
/** Pseudo-kind that requests the revision only; no kind has this name. */
#define OP_KIND_REVISION "-"

/**
 * struct op_desc - zero means default.
 * @settings: settings of this host.
 * @kernel: kernel of the process, drained by DRAIN.
 * @rpc: endpoint that serves the calls.
 * @members: the membership table.
 * @cr: the replica.
 * @cs: the store task.
 * @print_orders: appends JSON for ORDERS; may be NULL.
 * @orders_arg: first argument of @print_orders.
 */
struct op_desc {
	const struct cf_settings *settings;
	struct kn_kernel *kernel;
	struct rp_endpoint *rpc;
	const struct mb_table *members;
	const struct cr_replica *cr;
	struct cs_task *cs;
	void (*print_orders)(void *arg, GString *out);
	void *orders_arg;
};

/** struct op_server - state; fields are private. */
struct op_server {
	struct op_desc _desc;
};

/** op_init() - serve BP_OPERATE; @op must outlive the endpoint. */
enum st_code op_init(struct op_server *op, const struct op_desc *desc);

/** op_is_valid_key() - check an operators' key in constant time. */
bool op_is_valid_key(const struct cf_settings *settings, const char *key);

/** op_print_versions() - append the JSON of VERSIONS. */
void op_print_versions(const struct mb_table *members, uint64_t revision,
		       bool is_trusted, GString *out);

#endif
