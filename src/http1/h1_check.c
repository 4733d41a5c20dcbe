#include "http1/h1_check.h"

#include <errno.h>
#include <string.h>

#include "http1/h1_message.h"

/* "HTTP/1.1 200", without the reason, which may be missing. */
#define H1_STATUS_LINE_BYTES 12
#define H1_STATUS_AT	     9
#define H1_FIRST_STATUS	     100
#define H1_FIRST_FINAL	     200
#define H1_LAST_STATUS	     599
/* Follows an offer to change the protocol, which is never made. */
#define H1_OTHER_PROTOCOL 101

void h1_check_init(struct h1_check *check)
{
	memset(check, 0, sizeof(*check));
	check->_line = g_string_new(NULL);
}

void h1_check_finish(struct h1_check *check)
{
	if (check->_line)
		g_string_free(check->_line, TRUE);
	check->_line = NULL;
}

void h1_check_reset(struct h1_check *check)
{
	check->next = H1_LINE_STATUS;
	check->status = 0;
	check->_has_framing = false;
	h1_release(&check->_line);
}

/* The bytes of a line without those that end it. */
static uint64_t h1_text_bytes(const char *line, uint64_t bytes)
{
	if (bytes && line[bytes - 1] == '\n')
		bytes--;
	if (bytes && line[bytes - 1] == '\r')
		bytes--;
	return bytes;
}

static bool h1_is_status_line(const char *line, uint64_t bytes)
{
	if (bytes < H1_STATUS_LINE_BYTES || memcmp(line, "HTTP/1.", 7) ||
	    !g_ascii_isdigit(line[7]) || line[8] != ' ')
		return false;
	for (uint64_t i = H1_STATUS_AT; i < H1_STATUS_LINE_BYTES; i++)
		if (!g_ascii_isdigit(line[i]))
			return false;
	return bytes == H1_STATUS_LINE_BYTES ||
	       line[H1_STATUS_LINE_BYTES] == ' ';
}

static enum st_code h1_check_status_line(struct h1_check *check,
					 const char *line, uint64_t bytes)
{
	if (!h1_is_status_line(line, bytes))
		return st_fail(ST_INVALID, "malformed status line");
	check->status = 0;
	for (uint64_t i = H1_STATUS_AT; i < H1_STATUS_LINE_BYTES; i++)
		check->status = check->status * 10 + (line[i] - '0');
	if (check->status < H1_FIRST_STATUS || check->status > H1_LAST_STATUS)
		return st_fail(ST_INVALID, "invalid status code %03u",
			       check->status);
	if (check->status == H1_OTHER_PROTOCOL)
		return st_fail(ST_INVALID, "unexpected switch of protocols");
	check->next = H1_LINE_FIELD;
	return ST_OK;
}

static bool h1_is_token_byte(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

bool h1_check_is_token(const char *text, uint64_t bytes)
{
	for (uint64_t i = 0; i < bytes; i++)
		if (!h1_is_token_byte(text[i]))
			return false;
	return true;
}

/*
 * A line that begins with a blank may go on with the value before it, which
 * RFC 9112, 5.2 lets a gateway reject; behind a status line it is no field.
 */
static enum st_code h1_check_field(const char *line, uint64_t bytes)
{
	const char *colon = memchr(line, ':', bytes);
	uint64_t name_bytes = colon ? (uint64_t)(colon - line) : bytes;

	for (uint64_t i = 0; i < name_bytes; i++)
		if (!h1_is_token_byte(line[i]))
			return st_fail(ST_INVALID,
				       "invalid byte 0x%02x in a field name",
				       (unsigned char)line[i]);
	if (!colon || !name_bytes)
		return st_fail(ST_INVALID, "field without a %s",
			       colon ? "name" : "colon");
	return ST_OK;
}

static bool h1_is_number(const char *value)
{
	char *end;

	if (!g_ascii_isdigit(value[0]))
		return false;
	errno = 0;
	return g_ascii_strtoull(value, &end, 10) <= G_MAXINT64 && !errno &&
	       !*end;
}

/* No other coding was offered; RFC 2616 had "identity" for none at all. */
static bool h1_is_coding(const char *value)
{
	return !g_ascii_strcasecmp(value, "chunked") ||
	       !g_ascii_strcasecmp(value, "identity");
}

/* The fields that tell where the body ends. */
static const struct {
	const char *name;
	bool (*is_valid)(const char *value);
	const char *fault;
} h1_framing_fields[] = {
	{ "Content-Length:", h1_is_number, "invalid Content-Length" },
	{ "Transfer-Encoding:", h1_is_coding, "unsupported transfer coding" },
};

static enum st_code h1_check_framing(struct h1_check *check, const char *line,
				     uint64_t bytes)
{
	for (size_t i = 0; i < G_N_ELEMENTS(h1_framing_fields); i++) {
		const char *name = h1_framing_fields[i].name;
		uint64_t name_bytes = strlen(name);
		g_autofree char *value = NULL;

		if (bytes < name_bytes ||
		    g_ascii_strncasecmp(line, name, name_bytes) != 0)
			continue;
		value = g_strndup(line + name_bytes, bytes - name_bytes);
		if (!h1_framing_fields[i].is_valid(g_strstrip(value)))
			return st_fail(ST_INVALID, "%s",
				       h1_framing_fields[i].fault);
		if (check->_has_framing)
			return st_fail(ST_INVALID,
				       "more than one Content-Length or "
				       "Transfer-Encoding");
		check->_has_framing = true;
	}
	return ST_OK;
}

/* Trailers tell nothing about the body, and follow it. */
static enum st_code h1_check_field_line(struct h1_check *check,
					const char *line, uint64_t bytes)
{
	enum st_code code = h1_check_field(line, bytes);

	if (code != ST_OK || check->next != H1_LINE_FIELD)
		return code;
	return h1_check_framing(check, line, bytes);
}

static void h1_end_head(struct h1_check *check)
{
	check->next = check->status < H1_FIRST_FINAL ? H1_LINE_STATUS
						     : H1_LINE_TRAILER;
	check->_has_framing = false;
}

/* CR stands before the LF that ends a line only. */
static enum st_code h1_check_controls(const char *line, uint64_t bytes)
{
	for (uint64_t i = 0; i < bytes; i++)
		if (g_ascii_iscntrl(line[i]) && line[i] != '\t')
			return st_fail(ST_INVALID,
				       "invalid control byte 0x%02x",
				       (unsigned char)line[i]);
	return ST_OK;
}

static enum st_code h1_check_size(struct h1_check *check, const char *line,
				  uint64_t bytes)
{
	uint64_t digits = 0, at;
	bool is_last = true;

	while (digits < bytes && g_ascii_isxdigit(line[digits]))
		is_last &= line[digits++] == '0';
	at = digits;
	while (at < bytes && (line[at] == ' ' || line[at] == '\t'))
		at++;
	if (!digits || (at < bytes && line[at] != ';'))
		return st_fail(ST_INVALID, "malformed chunk size");
	check->next = is_last ? H1_LINE_TRAILER : H1_LINE_CHUNK_END;
	return ST_OK;
}

/* A line without its end, of which only the empty one has no bytes. */
static enum st_code h1_check_text(struct h1_check *check, const char *line,
				  uint64_t bytes)
{
	switch (check->next) {
	case H1_LINE_STATUS:
		/* http_parser skips empty lines before an answer. */
		return bytes ? h1_check_status_line(check, line, bytes) : ST_OK;
	case H1_LINE_SIZE:
		return h1_check_size(check, line, bytes);
	case H1_LINE_CHUNK_END:
		if (bytes)
			return st_fail(ST_INVALID,
				       "chunk longer than its size");
		check->next = H1_LINE_SIZE;
		return ST_OK;
	case H1_LINE_FIELD:
		if (bytes)
			return h1_check_field_line(check, line, bytes);
		h1_end_head(check);
		return ST_OK;
	default:
		if (bytes)
			return h1_check_field_line(check, line, bytes);
		check->next = H1_LINE_NONE;
		return ST_OK;
	}
}

enum st_code h1_check_line(struct h1_check *check, const char *line,
			   uint64_t bytes)
{
	enum st_code code;

	bytes = h1_text_bytes(line, bytes);
	code = h1_check_controls(line, bytes);
	return code == ST_OK ? h1_check_text(check, line, bytes) : code;
}

void h1_check_expect_chunks(struct h1_check *check)
{
	check->next = H1_LINE_SIZE;
}

enum st_code h1_check_bytes(struct h1_check *check, const char *data,
			    uint64_t bytes)
{
	const char *end = data + bytes;

	while (data < end) {
		const char *lf = memchr(data, '\n', end - data);
		const char *next = lf ? lf + 1 : end;
		enum st_code code;

		g_string_append_len(check->_line, data, next - data);
		data = next;
		if (!lf)
			return ST_OK;
		code = h1_check_line(check, check->_line->str,
				     check->_line->len);
		g_string_truncate(check->_line, 0);
		if (code != ST_OK)
			return code;
	}
	return ST_OK;
}
