/*
 * cs_change - the steps of one operators' change.
 *
 * Overview
 *	Private to the module cs. The changes of a process run one after the
 *	other: read what is newer, read change/ID, check, write, and back to
 *	the first step when the outcome is not clear.
 */
#ifndef CS_CHANGE_H
#define CS_CHANGE_H

#include "control/cs.h"

/** enum cs_message - messages of the task to itself. */
enum cs_message { CS_MSG_CHECK = 300 };

/** cs_change_start() - begin the first queued change. */
void cs_change_start(struct cs_task *cs);

/** cs_change_check() - what is newer has been handed to the replica. */
void cs_change_check(struct cs_task *cs);

/** cs_change_drop_all() - free queued changes without a report. */
void cs_change_drop_all(struct cs_task *cs);

/** cs_poll_now() - poll the configuration's rows at once. */
void cs_poll_now(struct cs_task *cs);

/** cs_apply_rows() - hand rows under CS_PREFIX to the replica. */
enum st_code cs_apply_rows(struct cs_task *cs, const struct pf_rows *rows,
			   uint64_t base_revision);

/** cs_record_platform_state() - note whether the platform answers. */
void cs_record_platform_state(struct cs_task *cs, bool has_answered);

#endif
