/*
 * index_task - task of the index process.
 *
 * Overview
 *	mb_owner() divides the engines of a zone among its live index
 *	processes. The task follows the events of the engines it owns
 *	(ix_feed.h), serves BP_IX_LOOKUP and BP_IX_RECORD, and reports to the
 *	membership task which engines answer, fail or are leaving. When the
 *	ownership of an engine moves, its entries are dropped; the new owner
 *	starts with a snapshot.
 *
 * Use
 *	index_task_spawn(&index, &kernel, &(struct index_task_desc){
 *		.settings = &settings, .rpc = &rpc, .members = members,
 *		.membership = handle }, NULL);
 */
#ifndef INDEX_TASK_H
#define INDEX_TASK_H

#include "index/ix_feed.h"
#include "kernel/kn.h"
#include "membership/mb.h"
#include "rpc/rp.h"
#include "settings/cf.h"

#define INDEX_TASK_OWNERSHIP_MS 250

/**
 * struct index_task_desc - all fields but @membership are required.
 * @settings: of this host.
 * @rpc: the process's endpoint.
 * @members: the membership table, for reading.
 * @membership: task that receives evidence on members.
 */
struct index_task_desc {
	const struct cf_settings *settings;
	struct rp_endpoint *rpc;
	const struct mb_table *members;
	struct kn_handle membership;
};

/** struct index_task - state of the task; fields are private. */
struct index_task {
	struct index_task_desc _desc;
	struct kn_task *_task;
	struct hc_client _http;
	struct ix_index _index;
	GHashTable *_feeds;
	ev_timer _timer;
};

/** index_task_spawn() - start the task. */
enum st_code index_task_spawn(struct index_task *task, struct kn_kernel *kernel,
			      const struct index_task_desc *desc,
			      struct kn_handle *handle);

#endif
