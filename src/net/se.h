/*
 * se - parser of server-sent events (WHATWG HTML), without sockets.
 *
 * Overview
 *	Bytes go in, in pieces of any size; whole events come out. An event's
 *	id stays in force for those after it that have none, as the standard
 *	has it. Comments and unknown fields are skipped. Memory is bounded.
 *
 * Use
 *	se_init(&parser, &(struct se_desc){ .on_event = fn, .arg = me });
 *	if (!se_feed(&parser, data, bytes))
 *		the event is too long, the stream is of no more use
 *	se_finish(&parser);
 */
#ifndef SE_H
#define SE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SE_DEFAULT_MAX_EVENT_BYTES (1u << 20)
#define SE_ID_BYTES		   64
#define SE_TYPE_BYTES		   32

/**
 * struct se_event - an event, valid during the call back.
 * @id: "" if none was given yet.
 * @type: "message" if none was given.
 * @data: NUL-terminated.
 * @bytes: length of @data.
 * @has_own_id: @id was given with this event.
 */
struct se_event {
	const char *id;
	const char *type;
	const char *data;
	uint64_t bytes;
	bool has_own_id;
};

/**
 * struct se_desc - zero means default.
 * @max_event_bytes: of one event's data, and of one line.
 * @on_event: required.
 * @arg: its first argument.
 */
struct se_desc {
	uint64_t max_event_bytes;
	void (*on_event)(void *arg, const struct se_event *event);
	void *arg;
};

/** struct se_parser - state; fields are private. */
struct se_parser {
	struct se_desc _desc;
	GString *_line;
	GString *_data;
	char _id[SE_ID_BYTES];
	char _type[SE_TYPE_BYTES];
	bool _has_own_id;
	bool _has_data;
	bool _is_after_cr;
};

void se_init(struct se_parser *parser, const struct se_desc *desc);
void se_finish(struct se_parser *parser);

/** se_reset() - a new connection begins; half an event is forgotten. */
void se_reset(struct se_parser *parser);

/** se_feed() - false once a line or an event exceeds the bound. */
bool se_feed(struct se_parser *parser, const char *data, uint64_t bytes);

#endif
