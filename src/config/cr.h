/*
 * cr - the configuration replica of a process.
 *
 * Overview
 *	Each process runs one. It holds the configuration in force (cm.h) and
 *	brings newer revisions in force as they come: from the platform (in
 *	control, by message), and from the control process of any host whose
 *	gossip shows a higher revision, own host first, by BP_PULL. A lower
 *	revision is never applied.
 *
 *	A replica that has just started without state does not vouch for
 *	others until it has caught up (cr_is_trusted()); docs/CONFIGURATION.md
 *	says when that is, and why.
 *
 *	The host list is spread with it. The list's revision is the hybrid
 *	logical clock of the process that first observed its content at the
 *	platform; its age is the time since a platform last confirmed it.
 *
 *	Other tasks of the process read the configuration through a const
 *	pointer between two of its callbacks, and get CR_MSG_APPLIED after each
 *	change if they subscribed.
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
 * @CR_MSG_DELTA: to it: struct cr_delta from the platform, on the heap. One
 *	without objects says that the platform has nothing newer.
 * @CR_MSG_HOSTS: to it: struct mb_listing from the platform, on the heap.
 * @CR_MSG_APPLIED: from it: cookie is the revision now in force.
 */
enum cr_message { CR_MSG_DELTA = 200, CR_MSG_HOSTS, CR_MSG_APPLIED };

/** struct cr_delta - a delta that owns its texts. */
struct cr_delta {
	uint64_t revision;
	GArray *objects;
};

/** cr_delta_new() - an empty delta. */
struct cr_delta *cr_delta_new(uint64_t revision);

/** cr_delta_add() - add a copy of an object. */
void cr_delta_add(struct cr_delta *delta, const struct cm_object *object);

/** cr_delta_free() - fits struct kn_message's free_body. */
void cr_delta_free(void *delta);

/**
 * struct cr_desc - zero means default.
 * @settings: of this host.
 * @rpc: the process's endpoint; the replica serves BP_PULL if @serve.
 * @members: the membership table.
 * @membership: its task.
 * @serve: answer BP_PULL. Control does; a process of another role that does
 *	is asked if no control process has what is newest.
 */
struct cr_desc {
	const struct cf_settings *settings;
	struct rp_endpoint *rpc;
	const struct mb_table *members;
	struct kn_handle membership;
	bool serve;
};

/** struct cr_replica - state, behind one pointer. */
struct cr_replica {
	struct _cr_state *_state;
};

enum st_code cr_spawn(struct cr_replica *replica, struct kn_kernel *kernel,
		      const struct cr_desc *desc, struct kn_handle *handle);

/** cr_config() - the configuration in force, for reading. */
const struct cm_config *cr_config(const struct cr_replica *replica);

/** cr_is_trusted() - it has caught up since it started. */
bool cr_is_trusted(const struct cr_replica *replica);

/** cr_hosts_age_ms() - since a platform confirmed the list; -1 without one. */
int64_t cr_hosts_age_ms(const struct cr_replica *replica, int64_t now_ms);

/** cr_subscribe() - @task gets CR_MSG_APPLIED from now on. */
enum st_code cr_subscribe(struct cr_replica *replica, struct kn_handle task);

#endif
