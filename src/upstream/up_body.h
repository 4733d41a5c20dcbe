/*
 * up_body - bodies of requests to engines.
 *
 * Overview
 *	An engine's body is the caller's with fields that are the router's to
 *	set: priority, stream_options.include_usage, and continue_from. What
 *	the caller sent in these places is replaced.
 *
 * Use
 *	body = up_body_make(request, priority);
 *	body = up_body_continue(body, text_so_far, tokens_so_far);
 */
#ifndef UP_BODY_H
#define UP_BODY_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * up_body_make() - the body of a first attempt.
 * @request: the caller's, which is changed.
 * @priority: lower goes first.
 *
 * Return: JSON text, freed with g_free().
 */
char *up_body_make(struct json_object *request, int32_t priority);

/**
 * up_body_continue() - the body that goes on elsewhere.
 * @body: made by up_body_make().
 * @text: the answer so far.
 * @tokens: received so far, by which the limits are lowered.
 *
 * Return: JSON text, freed with g_free(); NULL if @body is not JSON, or if
 * its limit of tokens has been reached already.
 */
char *up_body_continue(const char *body, const char *text, uint32_t tokens);

#endif
