/*
 * op - the operators' calls (BP_OPERATE) in control.
 *
 * Overview
 *	Every call carries the operators' key; its SHA-256 is compared with
 *	the one in the settings in constant time, and the call is refused and
 *	counted if they differ. The key is never logged.
 *
 *	SHOW, LIST	objects of the configuration in force here
 *			(LIST of OP_KIND_REVISION: the revision alone, ST_STALE
 *from a process that has not caught up) APPLY		a change, see cs.h; a
 *conflict comes back with the objects that changed since the expected revision
 *	VERSIONS	the revision in force in each process, from gossip
 *	DRAIN		graceful shutdown of all processes of a host
 *	ORDERS		engines, their wanted state and the lease
 *	COUNTERS	the metrics of a host's control process
 *
 *	DRAIN and COUNTERS name a host; the control process of another host
 *	passes the call on to it.
 */
#ifndef OP_H
#define OP_H

#include "config/cr.h"
#include "control/cs.h"
#include "rpc/gen/balsampin.h"

#define OP_FORWARD_DEADLINE_MS 4000
/** Stands for a kind; no kind has that name. */
#define OP_KIND_REVISION "-"

/**
 * struct op_desc - zero means default.
 * @settings: of this host.
 * @kernel: of the process, which DRAIN ends.
 * @rpc: the endpoint.
 * @members: the membership table.
 * @cr: the replica.
 * @cs: the store task.
 * @print_orders: appends JSON for ORDERS; may be NULL.
 * @orders_arg: its first argument.
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

/** op_init() - serve BP_OPERATE. @op must outlive the endpoint. */
enum st_code op_init(struct op_server *op, const struct op_desc *desc);

/** op_is_valid_key() - compare a presented key in constant time. */
bool op_is_valid_key(const struct cf_settings *settings, const char *key);

/** op_print_versions() - JSON for VERSIONS. */
void op_print_versions(const struct mb_table *members, uint64_t revision,
		       bool is_trusted, GString *out);

#endif
