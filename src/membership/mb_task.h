/*
 * mb_task - membership task: gossip over RPC, and the table it updates.
 *
 * Overview
 *	Each process runs one membership task. It owns the table of members
 *	(mb.h), sends records to MB_GOSSIP_FANOUT random peers every
 *	MB_GOSSIP_PERIOD_MS, mostly within the zone, and merges what it
 *	receives. Other tasks of the process read the table through a const
 *	pointer, between two callbacks of this task, and send it messages with
 *	the direct evidence they have.
 *
 * Use
 *	mb_report_answered(kernel, membership, MB_ENGINE, "e1", incarnation);
 *	mb_report_failed(kernel, membership, MB_ENGINE, "e1");
 */
#ifndef MB_TASK_H
#define MB_TASK_H

#include "kernel/kn.h"
#include "membership/mb.h"
#include "rpc/rp.h"
#include "settings/cf.h"

#define MB_GOSSIP_PERIOD_MS 500
#define MB_GOSSIP_FANOUT    4
/** One of this many datagrams goes to another zone. */
#define MB_GOSSIP_OTHER_ZONE_EVERY 4

/**
 * enum mb_message - messages to the task; bodies are on the heap and have a
 * free_body.
 * @MB_MSG_EVIDENCE: struct mb_evidence.
 * @MB_MSG_HOST_LIST: struct mb_listing.
 * @MB_MSG_REVISION: the cookie is the configuration revision in force here.
 */
enum mb_message { MB_MSG_EVIDENCE = 100, MB_MSG_HOST_LIST, MB_MSG_REVISION };

/** struct mb_evidence - direct evidence about a member. */
struct mb_evidence {
	enum mb_role role;
	char name[MB_NAME_BYTES];
	uint64_t incarnation;
	bool has_answered;
	bool is_leaving;
};

/** struct mb_listing - a host list, allocated together with @members. */
struct mb_listing {
	uint32_t count;
	struct mb_member members[];
};

/**
 * struct mb_task_desc - zero means default.
 * @settings: of this host; the peers in them are the initial members.
 * @rpc: endpoint of this process.
 * @role: of this process.
 * @incarnation: of this process.
 */
struct mb_task_desc {
	const struct cf_settings *settings;
	struct rp_endpoint *rpc;
	enum mb_role role;
	uint64_t incarnation;
};

/** struct mb_task - task state; fields are private. */
struct mb_task {
	struct mb_task_desc _desc;
	struct mb_table _table;
	struct kn_task *_task;
	ev_timer _timer;
	uint32_t _round;
	bool _is_leaving;
};

/** mb_task_spawn() - start the task. */
enum st_code mb_task_spawn(struct mb_task *mb, struct kn_kernel *kernel,
			   const struct mb_task_desc *desc,
			   struct kn_handle *handle);

/** mb_task_table() - the table, read-only. */
const struct mb_table *mb_task_table(const struct mb_task *mb);

void mb_report_answered(struct kn_kernel *kernel, struct kn_handle membership,
			enum mb_role role, const char *name,
			uint64_t incarnation);
void mb_report_failed(struct kn_kernel *kernel, struct kn_handle membership,
		      enum mb_role role, const char *name);
void mb_report_leaving(struct kn_kernel *kernel, struct kn_handle membership,
		       enum mb_role role, const char *name,
		       uint64_t incarnation);

#endif
