/*
 * h1_message - collects one HTTP message from http_parser's callbacks.
 *
 * Overview
 *	http_parser hands over a header field in pieces of any size.
 *	A collector joins them and keeps the fields in order. Both ends of the
 *	module use it; it is not for use elsewhere.
 */
#ifndef H1_MESSAGE_H
#define H1_MESSAGE_H

#include <http_parser.h>

#include "http1/h1_headers.h"

/**
 * struct h1_collector - the header fields read so far.
 * @headers: complete fields.
 * @bytes: of all fields, for a limit.
 */
struct h1_collector {
	struct h1_headers headers;
	uint64_t bytes;
	GString *_name;
	GString *_value;
	bool _is_in_value;
};

void h1_collector_init(struct h1_collector *c);
void h1_collector_finish(struct h1_collector *c);
void h1_collector_clear(struct h1_collector *c);
void h1_collector_field(struct h1_collector *c, const char *at, size_t bytes);
void h1_collector_value(struct h1_collector *c, const char *at, size_t bytes);

/** h1_collector_end() - the last field is complete. */
void h1_collector_end(struct h1_collector *c);

/** h1_collector_bytes() - what the allocator took for it. */
uint64_t h1_collector_bytes(const struct h1_collector *c);

/** h1_release() - empty @text and give back its memory if that is large. */
void h1_release(GString **text);

/**
 * h1_set_options() - options that every connection has.
 * @unacknowledged_ms: a peer is unreachable that acknowledges nothing, or has
 *	no room for more, for so long while there is something to send.
 */
void h1_set_options(int fd, int64_t unacknowledged_ms);

/** h1_set_unacknowledged_ms() - the same time once more; 0: the system's. */
void h1_set_unacknowledged_ms(int fd, int64_t unacknowledged_ms);

#endif
