/*
 * h1_headers - the header fields of one HTTP message, in order.
 *
 * Overview
 *	Names and values are kept in one text, so that a message costs two
 *	allocations. Names compare without case. A field may come several
 *	times; h1_headers_get() gives the first one.
 *
 * Use
 *	struct h1_headers headers;
 *
 *	h1_headers_init(&headers);
 *	h1_headers_add(&headers, "Content-Type", "application/json");
 *	value = h1_headers_get(&headers, "content-type");
 *	h1_headers_finish(&headers);
 */
#ifndef H1_HEADERS_H
#define H1_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct h1_headers - fields are private; see h1_headers_name(). */
struct h1_headers {
	GString *_text;
	GArray *_offsets;
};

void h1_headers_init(struct h1_headers *headers);
void h1_headers_finish(struct h1_headers *headers);
void h1_headers_clear(struct h1_headers *headers);
void h1_headers_add(struct h1_headers *headers, const char *name,
		    const char *value);

/** h1_headers_bytes() - what the allocator took for them. */
uint64_t h1_headers_bytes(const struct h1_headers *headers);

/** h1_headers_get() - the first value of a name, or NULL. */
const char *h1_headers_get(const struct h1_headers *headers, const char *name);

/** h1_headers_count() - fields; i below it for the two calls that follow. */
static inline uint32_t h1_headers_count(const struct h1_headers *headers)
{
	return headers->_offsets->len;
}

const char *h1_headers_name(const struct h1_headers *headers, uint32_t i);
const char *h1_headers_value(const struct h1_headers *headers, uint32_t i);

/**
 * h1_headers_is_hop() - whether a field concerns one connection only: the
 * names of RFC 9110, 7.6.1, those of framing, and what Connection lists.
 */
bool h1_headers_is_hop(const struct h1_headers *headers, const char *name);

/** h1_headers_print() - append "Name: value\r\n" for every field. */
void h1_headers_print(const struct h1_headers *headers, GString *out);

/**
 * h1_parse_delay_ms() - read a delay in seconds, fractions too, as Retry-After
 * has it; a date, which the field may hold instead, is not read.
 *
 * Return: milliseconds, or -1 if @value is no delay of at most @max_ms.
 */
int64_t h1_parse_delay_ms(const char *value, int64_t max_ms);

#endif
