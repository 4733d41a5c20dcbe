/*
 * sd - decoder and validator of an engine's streamed answer.
 *
 * Overview
 *	The decoder reads a server-sent event stream in pieces of any size and
 *	delivers its events in the order of their sequence numbers. It uses no
 *	sockets. An answer must not be forwarded if its headers name another
 *	engine incarnation or other weights, if there is a gap in the sequence
 *	numbers, an event without a number or data after [DONE], or if it ends
 *	without [DONE]; the decoder reports these cases as faults and delivers
 *	nothing after a fault. An event that was already delivered is dropped
 *	and counted.
 *
 *	A resumed stream continues with the same decoder after sd_reopen(),
 *	which keeps the sequence numbers and expects the same incarnation.
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
 * enum sd_fault - defects of a stream.
 * @SD_FINE: no fault.
 * @SD_GAP: a sequence number was skipped.
 * @SD_NO_NUMBER: an event has no sequence number, or a malformed one.
 * @SD_NOT_DONE: the stream ended without [DONE].
 * @SD_AFTER_DONE: an event follows [DONE].
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
 * struct sd_event - event of a stream, valid during the callback.
 * @sequence: number of the event, from 1, without gaps.
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
 * struct sd_desc - parameters of a decoder; zero means default.
 * @weights: version that the headers must name; NULL accepts any.
 * @incarnation: incarnation that the headers must name; 0 accepts the first one
 *	that is received and then only that one.
 * @on_event: receives each event; required.
 * @arg: first argument of @on_event.
 */
struct sd_desc {
	const char *weights;
	uint64_t incarnation;
	void (*on_event)(void *arg, const struct sd_event *event);
	void *arg;
};

/**
 * struct sd_decoder - state of a decoder. Readable fields:
 * @last_sequence: sequence number of the last delivered event.
 * @duplicates: number of events dropped because they were delivered before.
 * @incarnation: expected or received incarnation of the engine; 0 while
 *unknown.
 * @seen_incarnation: incarnation in the last header, whether expected or not;
 *	0 for none.
 * @fault: the first fault.
 * @is_done: [DONE] was delivered.
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

/** sd_header() - process a header of the answer, its name in lower case. */
void sd_header(struct sd_decoder *d, const char *name, const char *value);

/** sd_check_headers() - validate the headers once all were received. */
enum sd_fault sd_check_headers(struct sd_decoder *d);

/** sd_feed() - process bytes of the body; validates the headers first. */
enum sd_fault sd_feed(struct sd_decoder *d, const char *data, uint64_t bytes);

/** sd_reject() - called from on_event to reject the event's content. */
void sd_reject(struct sd_decoder *d, enum sd_fault fault);

/** sd_end() - process the regular end of the body. */
enum sd_fault sd_end(struct sd_decoder *d);

/** sd_reopen() - prepare for resuming the stream on a new connection. */
void sd_reopen(struct sd_decoder *d);

/** sd_fault_name() - name of a fault, such as "gap". */
const char *sd_fault_name(enum sd_fault fault);

#endif
