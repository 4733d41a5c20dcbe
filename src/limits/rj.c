#include "limits/rj.h"

#include <glib.h>

/* The longest backoff, in times that a share has to last, and the shortest as
 * a part of it. */
#define RJ_SHARES   6.5
#define RJ_SHORTEST 0.23

void rj_set_limit(struct rj_state *state, uint32_t per_s)
{
	state->per_s = per_s;
	if (!per_s)
		state->was_rejected = false;
}

void rj_rejected(struct rj_state *state, uint32_t hosts, double random,
		 int64_t now_ms)
{
	double longest_ms, backoff_ms;

	if (!state->per_s)
		return;
	longest_ms = MIN(RJ_SHARES * 1000.0 * hosts / state->per_s,
			 (double)RJ_MAX_BACKOFF_MS);
	backoff_ms = longest_ms * (RJ_SHORTEST + (1.0 - RJ_SHORTEST) * random);
	state->was_rejected = true;
	state->backoff_until_ms =
		MAX(state->backoff_until_ms,
		    now_ms + MAX((int64_t)backoff_ms, RJ_ANSWER_MS));
}

void rj_sent(struct rj_state *state, int64_t now_ms)
{
	if (!state->was_rejected)
		return;
	state->was_rejected = false;
	state->backoff_until_ms = now_ms + RJ_ANSWER_MS;
}
