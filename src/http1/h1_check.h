/*
 * h1_check - the grammar of an answer's lines, for lenient HTTP libraries.
 *
 * Overview
 *	http_parser and libcurl take lines that are none by RFC 9112. The check
 *	follows the lines of an answer beside the library, in the order in which
 *	they come, and names what is wrong with the first invalid one. Bodies
 *	and the data of chunks are not passed to it.
 *
 * Use
 *	struct h1_check check;
 *
 *	h1_check_init(&check);
 *	if (h1_check_line(&check, "HTTP/1.1 200 OK\r\n", 17) != ST_OK)
 *		puts(st_message());
 *	h1_check_finish(&check);
 */
#ifndef H1_CHECK_H
#define H1_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

/**
 * enum h1_line - what the next line has to be.
 * @H1_LINE_STATUS: a status line.
 * @H1_LINE_FIELD: a header field, or the empty line that ends the head.
 * @H1_LINE_SIZE: the size of a chunk, with extensions.
 * @H1_LINE_CHUNK_END: the empty line behind a chunk.
 * @H1_LINE_TRAILER: a trailer field, or the empty line that ends the trailers;
 *	due as well behind a head whose chunks are not followed.
 * @H1_LINE_NONE: the answer is complete.
 */
enum h1_line {
	H1_LINE_STATUS = 0,
	H1_LINE_FIELD,
	H1_LINE_SIZE,
	H1_LINE_CHUNK_END,
	H1_LINE_TRAILER,
	H1_LINE_NONE
};

/**
 * struct h1_check - the lines of one answer so far.
 * Readable fields:
 * @next: see above.
 * @status: of the last status line.
 */
struct h1_check {
	enum h1_line next;
	uint32_t status;

	bool _has_framing;
	GString *_line;
};

void h1_check_init(struct h1_check *check);
void h1_check_finish(struct h1_check *check);

/** h1_check_reset() - another answer begins. */
void h1_check_reset(struct h1_check *check);

/**
 * h1_check_line() - check one whole line, the bytes that end it included. An
 * interim head, whose status is 1xx, may precede the final one.
 *
 * Return: ST_OK, or ST_INVALID with the reason in st_message().
 */
enum st_code h1_check_line(struct h1_check *check, const char *line,
			   uint64_t bytes);

/**
 * h1_check_bytes() - like h1_check_line(), for lines that come in pieces; a
 * line is checked once it is whole.
 */
enum st_code h1_check_bytes(struct h1_check *check, const char *data,
			    uint64_t bytes);

/**
 * h1_check_expect_chunks() - the final head is complete, and the lines around
 * the chunks of the body are passed to the check, too.
 */
void h1_check_expect_chunks(struct h1_check *check);

/** h1_check_is_token() - whether @text may be part of a field's name. */
bool h1_check_is_token(const char *text, uint64_t bytes);

/** h1_check_is_final() - the head of the answer itself is complete. */
static inline bool h1_check_is_final(const struct h1_check *check)
{
	return check->next > H1_LINE_FIELD;
}

#endif
