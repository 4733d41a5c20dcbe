/*
 * cs - control's store task: the platform's configuration and host list.
 *
 * Overview
 *	Each control process runs one. It polls the rows of the configuration,
 *	newer ones only, and the host list, hands both to the replica by
 *	message, and carries out operators' changes.
 *
 *	A change is one transaction: it holds if config/head is still at the
 *	revision that the operator read and no row change/ID is there. When
 *	the answer is lost, the row change/ID says whether it took effect; if
 *	it is missing, the same transaction is sent again, which is safe,
 *	because of the two at most one can pass both checks.
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

/** Between two polls: this for each control process, within the bounds. */
#define CS_POLL_MS_PER_PROCESS 100
#define CS_MIN_POLL_PERIOD_MS  1000
#define CS_MAX_POLL_PERIOD_MS  5000
#define CS_HOSTS_PERIOD_MS     1000
/** Upper bound of the periods while the platform fails. */
#define CS_MAX_PERIOD_MS 8000
/** A list of that age is polled by every control process, not by two. */
#define CS_HOSTS_STALE_MS 3000
#define CS_MAX_CHANGES	  16
/** A change is settled within it, or its outcome is reported as unknown. */
#define CS_CHANGE_DEADLINE_MS 8000
#define CS_CHANGE_RETRY_MS    300

/**
 * struct cs_desc - zero means default.
 * @settings: of this host.
 * @members: the membership table.
 * @cr: the replica.
 * @replica: its task.
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
 * cs_change_done_fn - the end of a change.
 * @code: ST_OK; ST_CONFLICT: the configuration is no longer at the expected
 *	revision; ST_INVALID with findings; ST_UNAVAILABLE: nothing took
 *	effect; ST_UNKNOWN: repeat it with the same change id.
 * @revision: after the change, or in force for ST_CONFLICT.
 */
typedef void (*cs_change_done_fn)(void *arg, enum st_code code,
				  uint64_t revision,
				  const struct fd_list *findings);

/**
 * struct cs_request - a change.
 * @change_id: unique for each change, 1 to 63 characters of a name.
 * @expected_revision: that the operator read.
 * @delta: objects; taken over.
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

/** cs_store() - the store, for other work of control. */
struct pf_store *cs_store(struct cs_task *cs);

/** cs_change() - queue a change; ST_FULL with CS_MAX_CHANGES waiting. */
enum st_code cs_change(struct cs_task *cs, const struct cs_request *request);

#endif
