/*
 * od_task - task that sends orders to engines while it holds the lease.
 *
 * Overview
 *	Each control process runs one order task. All compete for the lease
 *	"lease/orders" (ls.h). The holder reads the engines' states back, a few
 *	per tick, compares them with the wanted state (od.h) and sends orders.
 *	It checks the lease against the current time just before each order. A
 *	process whose replica has not caught up neither acquires nor renews the
 *	lease.
 *
 *	Switching a model's serving version is an ordinary configuration
 *	change, made through the store task.
 */
#ifndef OD_TASK_H
#define OD_TASK_H

#include "config/cr.h"
#include "control/cs.h"
#include "control/ls.h"
#include "control/od.h"
#include "kernel/kn.h"
#include "net/hc.h"

#define OD_LEASE_KEY	     "lease/orders"
#define OD_TICK_MS	     200
#define OD_READS_PER_TICK    10
#define OD_STATUS_TIMEOUT_MS 2000
/** Period of status reads of an engine at rest, and of one that is changing. */
#define OD_READ_PERIOD_MS     2000
#define OD_CHANGING_PERIOD_MS 400

/**
 * struct od_task_desc - zero means default.
 * @settings: settings of this host.
 * @incarnation: incarnation of this process.
 * @members: the membership table, which lists the engines.
 * @cr: the replica.
 * @cs: the store task; must be spawned first.
 * @lease: durations; holder and incarnation are filled in.
 */
struct od_task_desc {
	const struct cf_settings *settings;
	uint64_t incarnation;
	const struct mb_table *members;
	const struct cr_replica *cr;
	struct cs_task *cs;
	struct ls_desc lease;
};

/** struct od_task - state; fields are private. */
struct od_task {
	struct od_task_desc _desc;
	struct kn_task *_task;
	struct ls_lease _lease;
	struct hc_client _http;
	ev_timer _timer;
	GHashTable *_engines;
	uint32_t _next_read;
	uint64_t _order_count;
	bool _is_switching;
	bool _was_held;
};

enum st_code od_spawn(struct od_task *od, struct kn_kernel *kernel,
		      const struct od_task_desc *desc,
		      struct kn_handle *handle);

/** od_print() - append the lease and the engines' states as JSON. */
void od_print(void *od, GString *out);

#endif
