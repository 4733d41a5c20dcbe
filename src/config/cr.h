/*
 * cr - the configuration replica of a process.
 *
 * Overview
 *	Each process runs one replica. It holds the configuration in force
 *	(cm.h) and applies newer revisions as they arrive: from the platform
 *	(in control, by message) and by BP_PULL from a process whose gossip
 *	shows a higher revision, control processes and the own host first. A
 *	lower revision is never applied.
 *
 *	A replica that started without state is not trusted as a source until
 *	it has caught up (cr_is_trusted()); docs/CONFIGURATION.md gives the
 *	conditions and the reasons.
 *
 *	The host list is replicated in the same way. Its revision is a hybrid
 *	logical clock time stamp of the process that first observed its content
 *	at the platform; its age is the time since a platform last confirmed
 *	it.
 *
 *	Other tasks of the process read the configuration through a const
 *	pointer, which is stable only within one of their callbacks. Tasks that
 *	subscribed receive CR_MSG_APPLIED after each change.
 */
#ifndef CR_H
#define CR_H

#include "config/cm.h"
#include "kernel/kn.h"
#include "membership/mb_task.h"
#include "rpc/rp.h"
#include "settings/cf.h"

#define CR_MAX_SUBSCRIBERS 8

/**
 * enum cr_message - messages of the replica.
 * @CR_MSG_DELTA: sent to the replica: struct cr_delta from the platform, on the
 *	heap. An empty delta means that the platform has nothing newer.
 * @CR_MSG_HOSTS: sent to the replica: struct mb_listing from the platform, on
 *	the heap.
 * @CR_MSG_APPLIED: sent by the replica: cookie is the revision now in force.
 */
enum cr_message { CR_MSG_DELTA = 200, CR_MSG_HOSTS, CR_MSG_APPLIED };

/** struct cr_delta - a delta that owns its texts. */
struct cr_delta {
	uint64_t revision;
	GArray *objects;
};

/** cr_delta_new() - allocate an empty delta. */
struct cr_delta *cr_delta_new(uint64_t revision);

/** cr_delta_add() - append a copy of an object. */
void cr_delta_add(struct cr_delta *delta, const struct cm_object *object);

/** cr_delta_free() - usable as free_body of struct kn_message. */
void cr_delta_free(void *delta);

/**
 * struct cr_desc - parameters of a replica.
 * @settings: settings of this host.
 * @rpc: RPC endpoint of the process.
 * @members: the membership table.
 * @membership: the membership task.
 * @serve: whether to answer BP_PULL. Control processes do. A process of another
 *	role that does is pulled from if no control process has the newest
 *	revision.
 */
struct cr_desc {
	const struct cf_settings *settings;
	struct rp_endpoint *rpc;
	const struct mb_table *members;
	struct kn_handle membership;
	bool serve;
};

/** struct cr_replica - a replica with opaque state. */
struct cr_replica {
	struct _cr_state *_state;
};

enum st_code cr_spawn(struct cr_replica *replica, struct kn_kernel *kernel,
		      const struct cr_desc *desc, struct kn_handle *handle);

/** cr_config() - the configuration in force, for reading. */
const struct cm_config *cr_config(const struct cr_replica *replica);

/** cr_is_trusted() - whether the replica has caught up since it started. */
bool cr_is_trusted(const struct cr_replica *replica);

/** cr_hosts_age_ms() - time since the host list was confirmed; -1 if none. */
int64_t cr_hosts_age_ms(const struct cr_replica *replica, int64_t now_ms);

/** cr_subscribe() - send CR_MSG_APPLIED to @task after each change. */
enum st_code cr_subscribe(struct cr_replica *replica, struct kn_handle task);

#endif
