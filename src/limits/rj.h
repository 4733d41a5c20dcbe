/*
 * rj - backoff after rejections, for upstreams that bear only few of them.
 *
 * Load pattern
 *	Upstreams are full and say that they are brittle: one that has to turn
 *	away more than so many requests in a second falls over. Dozens of hosts
 *	each send on what they get, and none sees what the others are told.
 *
 * Overview
 *	A host that was rejected sends nothing to that upstream for a time drawn
 *	around several times that for which its share of the rejections that the
 *	upstream bears has to last: rejections come in bunches, and all hosts
 *	may be rejected at the same moment. Then it sends one request, and more
 *	only when that one has not been rejected within RJ_ANSWER_MS. There is
 *	no backoff from an upstream that does not say that it is brittle.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	rj_set_limit(&state, answer.rejections_per_s);
 *	rj_rejected(&state, hosts, g_random_double(), now_ms);
 *	if (!rj_is_backing_off(&state, now_ms))
 *		... send ..., rj_sent(&state, now_ms);
 */
#ifndef RJ_H
#define RJ_H

#include <stdbool.h>
#include <stdint.h>

/** A rejection is back by then, also from another region. */
#define RJ_ANSWER_MS 100
/** Longest backoff: an upstream is not brittle for ever. */
#define RJ_MAX_BACKOFF_MS 30000

/** struct rj_state - of one upstream at one host; {0} is not brittle. */
struct rj_state {
	uint32_t per_s;
	bool was_rejected;
	int64_t backoff_until_ms;
};

/**
 * rj_set_limit() - an answer says how many rejections it bears in a second; 0:
 * any number.
 */
void rj_set_limit(struct rj_state *state, uint32_t per_s);

/**
 * rj_rejected() - it has turned a request away for want of room.
 * @hosts: that may send to it, this one included.
 * @random: from 0 to 1; spreads the ends of backoffs.
 */
void rj_rejected(struct rj_state *state, uint32_t hosts, double random,
		 int64_t now_ms);

/** rj_sent() - a request is sent to it. */
void rj_sent(struct rj_state *state, int64_t now_ms);

/** rj_is_backing_off() - whether nothing may be sent to it now. */
static inline bool rj_is_backing_off(const struct rj_state *state,
				     int64_t now_ms)
{
	return state->per_s && now_ms < state->backoff_until_ms;
}

#endif
