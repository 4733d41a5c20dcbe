/*
 * up_link - attempts that are relayed over the link between regions.
 *
 * Overview
 *	Private to the module up. The request of an attempt whose descriptor
 *	has a @via is encoded (lk_near.h) and posted to the far entry instead
 *	of the engine. If the far entry lacks chunks, the request is resent
 *	once with their text as part of the same attempt; the engine has not
 *	run the request by then. The answer that follows is the engine's own.
 *
 *	Resumption and cancellation requests go directly to the engine.
 */
#ifndef UP_LINK_H
#define UP_LINK_H

#include <stdbool.h>

#include "net/hc.h"

struct up_attempt;
struct _up_link;

/** up_link_start() - encode and post; returns the result of hc_send(). */
enum st_code up_link_start(struct up_attempt *a,
			   const struct hc_call_desc *call, const char *path,
			   const char *const *headers);

/** up_link_header() - read the outcome that the far entry reports. */
void up_link_header(struct up_attempt *a, const char *name, const char *value);

/**
 * up_link_handle_answer() - process the end of a call over the link.
 * @answer: adjusted to the outcome of the attempt.
 *
 * Return: true if the request was resent and the attempt continues.
 */
bool up_link_handle_answer(struct up_attempt *a, struct hc_result *answer);

/** up_link_finish() - free the state that up_link_start() allocated. */
void up_link_finish(struct up_attempt *a);

#endif
