/*
 * up_link - an attempt that goes over the link between regions.
 *
 * Overview
 *	Private to the module up. The request of an attempt whose descriptor
 *	has a @via is posted to the far entry by reference (lk_near.h) instead
 *	of to the engine. If the far entry lacks chunks, the request is sent
 *	once more with their text, on behalf of the same attempt; nothing has
 *	run by then. Afterwards the answer is the engine's own.
 *
 *	Resumption and cancellation go to the engine directly.
 */
#ifndef UP_LINK_H
#define UP_LINK_H

#include <stdbool.h>

#include "net/hc.h"

struct up_attempt;
struct _up_link;

/** up_link_start() - encode and post; what hc_send() returned. */
enum st_code up_link_start(struct up_attempt *a,
			   const struct hc_call_desc *call, const char *path,
			   const char *const *headers);

/** up_link_header() - notes what the far entry says of the request. */
void up_link_header(struct up_attempt *a, const char *name, const char *value);

/**
 * up_link_handle_answer() - the end of a call over the link.
 * @answer: changed to what it means for the attempt.
 *
 * Return: true if the request was sent once more and goes on.
 */
bool up_link_handle_answer(struct up_attempt *a, struct hc_result *answer);

/** up_link_finish() - free what up_link_start() made. */
void up_link_finish(struct up_attempt *a);

#endif
