/*
 * cs - store task of control: polls the platform's configuration and host list.
 *
 * Overview
 *	Each control process runs one store task. It polls the configuration
 *	rows newer than those it has and the host list, sends both to the
 *	replica by message, and applies operators' changes.
 *
 *	A change is one transaction. It succeeds if config/head is still at the
 *	revision that the operator read and the row change/ID does not exist.
 *	If the answer is lost, the row change/ID shows whether the change took
 *	effect. If the row is missing, the same transaction is sent again,
 *	which is safe because at most one of the two can pass both checks.
 *
 * Use
 *	cs_spawn(&cs, &kernel, &(struct cs_desc){ ... }, &handle);
 *	cs_change(&cs, &(struct cs_request){ ... });
 */
#ifndef CS_H
#define CS_H

#include "config/cr.h"
#include "control/cs_rows.h"
#include "kernel/kn.h"
#include "platform/pf.h"
#include "settings/cf.h"

/** Poll period: this times the number of control processes, within bounds. */
#define CS_POLL_MS_PER_PROCESS 100
#define CS_MIN_POLL_PERIOD_MS  1000
#define CS_MAX_POLL_PERIOD_MS  5000
#define CS_HOSTS_PERIOD_MS     1000
/** Upper bound of the back-off while the platform fails. */
#define CS_MAX_PERIOD_MS 8000
/** A host list older than this is read by all control processes, not two a
 * zone. */
#define CS_HOSTS_STALE_MS 3000
#define CS_MAX_CHANGES	  16
/** Changes unresolved after this time end as unknown or unavailable. */
#define CS_CHANGE_DEADLINE_MS 8000
#define CS_CHANGE_RETRY_MS    300

/**
 * struct cs_desc - zero means default.
 * @settings: settings of this host.
 * @members: the membership table.
 * @cr: the replica.
 * @replica: task of the replica.
 * @change_deadline_ms: default CS_CHANGE_DEADLINE_MS.
 */
struct cs_desc {
	const struct cf_settings *settings;
	const struct mb_table *members;
	const struct cr_replica *cr;
	struct kn_handle replica;
	int64_t change_deadline_ms;
};

/**
 * cs_change_done_fn - result of a change.
 * @code: ST_OK; ST_CONFLICT: the configuration is no longer at the expected
 *	revision; ST_INVALID with findings; ST_UNAVAILABLE: nothing took
 *	effect; ST_UNKNOWN: outcome unknown, retry with the same change id.
 * @revision: after the change; for ST_CONFLICT the revision in force.
 */
typedef void (*cs_change_done_fn)(void *arg, enum st_code code,
				  uint64_t revision,
				  const struct fd_list *findings);

/**
 * struct cs_request - a change to apply.
 * @change_id: unique per change, 1 to 63 characters valid in a name.
 * @expected_revision: revision that the change is based on.
 * @delta: changed objects; ownership passes to cs_change().
 * @done: called once, not from within cs_change().
 */
struct cs_request {
	const char *change_id;
	uint64_t expected_revision;
	struct cr_delta *delta;
	cs_change_done_fn done;
	void *arg;
};

struct cs_change;

/** struct cs_task - state; fields are private. */
struct cs_task {
	struct cs_desc _desc;
	struct kn_task *_task;
	struct pf_store _store;
	ev_timer _poll;
	ev_timer _hosts;
	ev_timer _retry;
	int64_t _poll_period_ms;
	int64_t _hosts_period_ms;
	uint64_t _polled_revision;
	char *_head;
	bool _is_polling;
	bool _is_reading_hosts;
	bool _is_down;
	GQueue _changes;
};

enum st_code cs_spawn(struct cs_task *cs, struct kn_kernel *kernel,
		      const struct cs_desc *desc, struct kn_handle *handle);

/** cs_store() - the store connection, shared with other tasks of control. */
struct pf_store *cs_store(struct cs_task *cs);

/** cs_change() - queue a change; ST_FULL if CS_MAX_CHANGES are queued. */
enum st_code cs_change(struct cs_task *cs, const struct cs_request *request);

#endif
