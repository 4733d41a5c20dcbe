/*
 * up_body - request bodies for engines.
 *
 * Overview
 *	The body for an engine is the caller's body with fields that only the
 *	router sets: priority, stream_options.include_usage and continue_from.
 *	The caller's values of these fields are replaced.
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
 * up_body_make() - build the body of a first attempt.
 * @request: the caller's body; modified.
 * @priority: lower values are served first.
 *
 * Return: JSON text, freed with g_free().
 */
char *up_body_make(struct json_object *request, int32_t priority);

/**
 * up_body_continue() - build the body that continues an answer on another
 * engine.
 * @body: result of up_body_make().
 * @text: text received so far.
 * @tokens: number of tokens received so far; reduces the token limits.
 *
 * Return: JSON text, freed with g_free(); NULL if @body is not JSON, or if its
 * token limit is already reached.
 */
char *up_body_continue(const char *body, const char *text, uint32_t tokens);

#endif
