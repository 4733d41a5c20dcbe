/*
 * sd - decoder of an engine's streamed answer.
 *
 * Overview
 *	Bytes of a server-sent event stream go in, in pieces of any size;
 *	events come out in the order of their sequence numbers. The decoder
 *	has no sockets. It finds what makes an answer unfit to be handed on:
 *	headers of another engine incarnation or of other weights, a gap in
 *	the sequence numbers, an event without a number, data after [DONE],
 *	and an end without [DONE]. An event that was already given out is
 *	dropped and counted. After a fault nothing more is given out.
 *
 *	A stream that is resumed goes on with the same decoder after
 *	sd_reopen(), which keeps the sequence numbers and expects the same
 *	incarnation.
 *
 * Use
 *	sd_init(&d, &(struct sd_desc){ .weights = "v1", .on_event = fn });
 *	sd_header(&d, "x-weights-version", "v1");
 *	if (sd_feed(&d, data, bytes) != SD_FINE)
 *		...
 *	fault = sd_end(&d);
 *	sd_finish(&d);
 */
#ifndef SD_H
#define SD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/se.h"

#define SD_MAX_EVENT_BYTES (1u << 20)

/**
 * enum sd_fault - what is wrong with a stream.
 * @SD_FINE: nothing.
 * @SD_GAP: a sequence number was skipped.
 * @SD_NO_NUMBER: an event has no sequence number, or not a number.
 * @SD_NOT_DONE: the stream ended without [DONE].
 * @SD_AFTER_DONE: an event came after [DONE].
 * @SD_TOO_LARGE: an event exceeds SD_MAX_EVENT_BYTES.
 * @SD_WRONG_WEIGHTS: the weights header is missing or differs.
 * @SD_WRONG_INCARNATION: the incarnation header is missing or differs.
 * @SD_CROSSED: an event belongs to another request; set by sd_reject().
 * @SD_ERROR: the engine reported an error; set by sd_reject().
 */
enum sd_fault {
	SD_FINE = 0,
	SD_GAP,
	SD_NO_NUMBER,
	SD_NOT_DONE,
	SD_AFTER_DONE,
	SD_TOO_LARGE,
	SD_WRONG_WEIGHTS,
	SD_WRONG_INCARNATION,
	SD_CROSSED,
	SD_ERROR,
	SD_FAULT_COUNT
};

/**
 * struct sd_event - an event, valid during the call back.
 * @sequence: from 1, without gaps.
 * @data: NUL-terminated.
 * @bytes: length of @data.
 * @is_done: the data is [DONE].
 */
struct sd_event {
	uint64_t sequence;
	const char *data;
	uint64_t bytes;
	bool is_done;
};

/**
 * struct sd_desc - zero means default.
 * @weights: version that the headers must name; NULL accepts any.
 * @incarnation: that the headers must name; 0 accepts any, and then that one.
 * @on_event: gets each event; required.
 * @arg: its first argument.
 */
struct sd_desc {
	const char *weights;
	uint64_t incarnation;
	void (*on_event)(void *arg, const struct sd_event *event);
	void *arg;
};

/**
 * struct sd_decoder - state. Readable fields:
 * @last_sequence: sequence number of the last event given out.
 * @duplicates: events that were dropped because they had been given out.
 * @incarnation: of the engine, once its header came.
 * @seen_incarnation: that the last header named, right or wrong; 0 for none.
 * @fault: the first fault.
 * @is_done: [DONE] was given out.
 */
struct sd_decoder {
	uint64_t last_sequence;
	uint64_t duplicates;
	uint64_t incarnation;
	uint64_t seen_incarnation;
	enum sd_fault fault;
	bool is_done;

	struct sd_desc _desc;
	char *_weights;
	struct se_parser _parser;
	bool _is_open;
	bool _has_weights_header;
	bool _has_incarnation_header;
	bool _is_other_weights;
	bool _is_other_incarnation;
};

void sd_init(struct sd_decoder *d, const struct sd_desc *desc);
void sd_finish(struct sd_decoder *d);

/** sd_header() - a header of the answer, name in lower case. */
void sd_header(struct sd_decoder *d, const char *name, const char *value);

/** sd_check_headers() - all headers have come: are they the right ones? */
enum sd_fault sd_check_headers(struct sd_decoder *d);

/** sd_feed() - bytes of the body; checks the headers before the first. */
enum sd_fault sd_feed(struct sd_decoder *d, const char *data, uint64_t bytes);

/** sd_reject() - called from on_event if the event's content is unfit. */
void sd_reject(struct sd_decoder *d, enum sd_fault fault);

/** sd_end() - the body has ended as a whole. */
enum sd_fault sd_end(struct sd_decoder *d);

/** sd_reopen() - a new connection goes on with this stream. */
void sd_reopen(struct sd_decoder *d);

/** sd_fault_name() - such as "gap". */
const char *sd_fault_name(enum sd_fault fault);

#endif
