/*
 * en_state - the life cycle of a request in the dispatch task.
 *
 * Overview
 *	A request goes through the states below. en_state_next() has the table
 *	of allowed transitions, and only these change a state. Any other
 *	transition is a bug in this program.
 *
 *	waiting -> placing -> running -> streaming -> ended
 *	              ^          |           |
 *	              +----------+-----------+  retry, continue
 *
 * Use
 *	state = en_state_next(state, EN_ADMITTED);
 */
#ifndef EN_STATE_H
#define EN_STATE_H

#include <stdint.h>

/**
 * enum en_state - the state of a request.
 * @EN_NEW: not admitted yet.
 * @EN_WAITING: in the queue of the limits.
 * @EN_PLACING: an engine is being chosen, after a look-up at the index.
 * @EN_CLAIMING: a call that must run at most once is being claimed.
 * @EN_RUNNING: sent to an upstream; the caller has received nothing yet.
 * @EN_STREAMING: at an upstream; the caller has received a part of the answer.
 * @EN_ENDED: the caller has received the whole answer or an error, or has
 *	disconnected.
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

/** enum en_state_event - events that change the state. */
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
 * en_state_next() - the state after an event.
 *
 * Return: EN_STATE_COUNT if the event is not allowed in this state.
 */
enum en_state en_state_next(enum en_state state, enum en_state_event event);

const char *en_state_name(enum en_state state);

#endif
