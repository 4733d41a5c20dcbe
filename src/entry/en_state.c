#include "entry/en_state.h"

static const char *const en_state_names[EN_STATE_COUNT] = {
	[EN_NEW] = "new",	  [EN_WAITING] = "waiting",
	[EN_PLACING] = "placing", [EN_CLAIMING] = "claiming",
	[EN_RUNNING] = "running", [EN_STREAMING] = "streaming",
	[EN_ENDED] = "ended",
};

/* EN_NEW is zero and marks what is not allowed: no event leads to it. */
static const enum en_state
	en_transitions[EN_STATE_COUNT][EN_STATE_EVENT_COUNT] = {
		[EN_NEW] = { [EN_QUEUED] = EN_WAITING,
			     [EN_ADMITTED] = EN_PLACING,
			     [EN_END] = EN_ENDED },
		[EN_WAITING] = { [EN_ADMITTED] = EN_PLACING,
				 [EN_END] = EN_ENDED },
		[EN_PLACING] = { [EN_MUST_CLAIM] = EN_CLAIMING,
				 [EN_SENT] = EN_RUNNING,
				 [EN_END] = EN_ENDED },
		[EN_CLAIMING] = { [EN_CLAIMED] = EN_PLACING,
				  [EN_END] = EN_ENDED },
		[EN_RUNNING] = { [EN_FIRST_EVENT] = EN_STREAMING,
				 [EN_REROUTED] = EN_PLACING,
				 [EN_END] = EN_ENDED },
		[EN_STREAMING] = { [EN_REROUTED] = EN_PLACING,
				   [EN_END] = EN_ENDED },
	};

enum en_state en_state_next(enum en_state state, enum en_state_event event)
{
	enum en_state next = en_transitions[state][event];

	return next == EN_NEW ? EN_STATE_COUNT : next;
}

const char *en_state_name(enum en_state state)
{
	return state < EN_STATE_COUNT ? en_state_names[state] : "none";
}
