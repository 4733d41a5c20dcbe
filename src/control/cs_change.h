/*
 * cs_change - state machine of an operator's change.
 *
 * Overview
 *	Private to the module cs. The changes of a process run one at a time:
 *	read newer rows, read change/ID, check, write. An unclear outcome
 *	restarts at the first step.
 */
#ifndef CS_CHANGE_H
#define CS_CHANGE_H

#include "control/cs.h"

/** enum cs_message - messages that the task sends to itself. */
enum cs_message { CS_MSG_CHECK = 300 };

/** cs_change_start() - start or restart the first queued change. */
void cs_change_start(struct cs_task *cs);

/** cs_change_check() - validate and write, once the replica is up to date. */
void cs_change_check(struct cs_task *cs);

/** cs_change_drop_all() - free queued changes without calling done. */
void cs_change_drop_all(struct cs_task *cs);

/** cs_poll_now() - poll the configuration rows without delay. */
void cs_poll_now(struct cs_task *cs);

/** cs_apply_rows() - send rows under CS_PREFIX to the replica. */
enum st_code cs_apply_rows(struct cs_task *cs, const struct pf_rows *rows,
			   uint64_t base_revision);

/** cs_record_platform_state() - record whether the platform answers. */
void cs_record_platform_state(struct cs_task *cs, bool has_answered);

#endif
