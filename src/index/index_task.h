/*
 * index_task - the task of the index process.
 *
 * Overview
 *	Engines are divided among the living index processes of a zone by
 *	mb_owner(). The task follows the events of those it owns (ix_feed.h),
 *	answers BP_IX_LOOKUP and takes BP_IX_RECORD, and tells the membership
 *	task what it sees of the engines. When the ownership of an engine
 *	moves, its entries are dropped; the new owner begins with a snapshot.
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
 * struct index_task_desc - all are required but @membership.
 * @settings: of this host.
 * @rpc: the process's endpoint.
 * @members: the membership table, for reading.
 * @membership: task that takes evidence on members.
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
