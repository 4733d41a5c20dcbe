/*
 * en_relay - rewrites an engine's answer for the caller.
 *
 * Overview
 *	Every attempt has its own id, and an answer may come from more than one
 *	engine; the caller sees one answer with one id. The relay rewrites each
 *	event, keeps the text so far (from which another engine can continue),
 *	and removes what is meant for the router only: the ids of cached blocks,
 *	and the usage if the caller did not ask for it. It uses no sockets.
 *
 * Use
 *	en_relay_init(&relay, request);
 *	en_relay_event(&relay, event->json, out);
 *	en_relay_continue(&relay);	another engine continues
 *	en_relay_finish(&relay);
 */
#ifndef EN_RELAY_H
#define EN_RELAY_H

#include "entry/en_ask.h"
#include "rpc/gen/balsampin.h"

#define EN_ANSWER_ID_BYTES (EN_ID_BYTES + 16)

/**
 * struct en_usage - what the engine reports about the prompt.
 * @prompt_tokens: 0 until it is known.
 * @block_tokens: tokens per block.
 * @blocks: the engine's ids of the prompt's whole blocks.
 * @block_count: number of @blocks, BP_MAX_BLOCKS at most.
 */
struct en_usage {
	uint32_t prompt_tokens;
	uint32_t block_tokens;
	uint64_t blocks[BP_MAX_BLOCKS];
	uint32_t block_count;
};

/**
 * struct en_relay - state. Readable fields:
 * @text: the answer so far.
 * @tokens: events with text so far, each counted as one token.
 * @has_token: at least one event with text was received.
 * @has_text_end: the engine sent a finish reason.
 * @is_continuable: the caller has nothing of the answer beyond @text.
 * @usage: reported by the last attempt.
 */
struct en_relay {
	GString *text;
	uint32_t tokens;
	bool has_token;
	bool has_text_end;
	bool is_continuable;
	struct en_usage usage;

	enum en_kind _kind;
	bool _wants_usage;
	bool _is_continued;
	uint32_t _tokens_before;
	char _id[EN_ANSWER_ID_BYTES];
	char _model[CM_NAME_BYTES];
};

void en_relay_init(struct en_relay *relay, const struct en_request *request);
void en_relay_finish(struct en_relay *relay);

/** en_relay_event() - append the event for the caller, if any, to @out. */
void en_relay_event(struct en_relay *relay, struct json_object *event,
		    GString *out);

/** en_relay_plain() - append a non-streamed answer for the caller to @out. */
void en_relay_plain(struct en_relay *relay, struct json_object *answer,
		    GString *out);

/** en_relay_continue() - expect the next events from another engine. */
void en_relay_continue(struct en_relay *relay);

/** en_relay_end_text() - append an event with finish reason "length". */
void en_relay_end_text(struct en_relay *relay, GString *out);

#endif
