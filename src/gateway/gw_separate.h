/*
 * gw_separate - short and long prompts on the engines of one pool.
 *
 * Overview
 *	src/placement/sp.h decides which engines are kept for short prompts and
 *	which requests wait. This module measures the demand of each pool at
 *	this host and holds back the requests that are to wait: a request that
 *	would be late anyway is sent only to an engine with room, and waits here
 *	meanwhile. Nothing of it has reached an engine then, so a refusal says
 *	truly that it has not run.
 *
 *	Nothing changes for pools without prompts of both kinds, and for those
 *	whose routes have the same target; see sp_is_separated().
 */
#ifndef GW_SEPARATE_H
#define GW_SEPARATE_H

#include "gateway/gw_request.h"

void gw_separate_init(struct gw_gateway *g);
void gw_separate_finish(struct gw_gateway *g);

/** gw_separate_classify() - find the kind of an admitted request. */
void gw_separate_classify(struct gw_request *r);

/** gw_separate_kept_share() - see struct gw_place_request. */
double gw_separate_kept_share(const struct gw_request *r);

/**
 * gw_separate_holds() - whether the request waits instead of being sent to
 * @answer; it may have been refused and freed then.
 */
bool gw_separate_holds(struct gw_request *r,
		       const struct gw_place_answer *answer);

/** gw_separate_release() - the request ends; it does not wait any more. */
void gw_separate_release(struct gw_request *r);

/** gw_separate_started() - an attempt that reads @read_tokens is sent. */
void gw_separate_started(struct gw_request *r, uint32_t read_tokens);

/** gw_separate_ended() - the attempt has ended. */
void gw_separate_ended(struct gw_request *r);

#endif
