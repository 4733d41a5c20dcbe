/*
 * en_state - the life cycle of a request in the dispatch task.
 *
 * Overview
 *	A request goes through the states below; en_state_next() holds every
 *	transition that is allowed, and nothing else changes a state. A
 *	transition that is not in the table is a fault of this program.
 *
 *	waiting -> placing -> running -> streaming -> ended
 *	              ^          |           |
 *	              +----------+-----------+  retry, continue elsewhere
 *
 * Use
 *	state = en_state_next(state, EN_ADMITTED);
 */
#ifndef EN_STATE_H
#define EN_STATE_H

#include <stdint.h>

/**
 * enum en_state - where a request is.
 * @EN_NEW: not admitted yet.
 * @EN_WAITING: in the queue of the limits.
 * @EN_PLACING: the index is asked, then an engine is chosen.
 * @EN_CLAIMING: a call that must run at most once is being claimed.
 * @EN_RUNNING: at an upstream; the caller has nothing yet.
 * @EN_STREAMING: at an upstream; the caller has a part of the answer.
 * @EN_ENDED: the caller has the whole answer, an error, or is gone.
 */
enum en_state {
	EN_NEW = 0,
	EN_WAITING,
	EN_PLACING,
	EN_CLAIMING,
	EN_RUNNING,
	EN_STREAMING,
	EN_ENDED,
	EN_STATE_COUNT
};

/** enum en_state_event - what moves a request on. */
enum en_state_event {
	EN_QUEUED = 0,
	EN_ADMITTED,
	EN_MUST_CLAIM,
	EN_CLAIMED,
	EN_SENT,
	EN_FIRST_EVENT,
	EN_REROUTED,
	EN_END,
	EN_STATE_EVENT_COUNT
};

/**
 * en_state_next() - the state after a change.
 *
 * Return: EN_STATE_COUNT if the change is not allowed in this state.
 */
enum en_state en_state_next(enum en_state state, enum en_state_event change);

const char *en_state_name(enum en_state state);

#endif
