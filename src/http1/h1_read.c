/* Reads requests: the callbacks of the parser, and their limits. */
#include <string.h>

#include "http1/h1_check.h"
#include "http1/h1_private.h"
#include "kernel/ck.h"
#include "kernel/mt.h"

/* The room for header fields is looked at after so many bytes of them. */
#define H1_UNCHECKED_BYTES 1024
/* Each field costs so much beside its text. */
#define H1_FIELD_BYTES 10
/* Of a body in chunks; blocks of all smaller sizes would scatter the heap. */
#define H1_FIRST_BODY_BYTES 2048
/* Smaller bodies are within the guaranteed minimum. */
#define H1_SMALL_BODY_BYTES 1024

MT_COUNTER(h1_over_budget, "balsampin_bodies_refused_total",
	   "requests refused because there was no memory for them")

static int h1_on_begin(http_parser *p)
{
	struct _h1_connection *c = p->data;
	int64_t now_ms = ck_now_ms();

	h1_collector_clear(&c->collector);
	g_string_truncate(c->target, 0);
	h1_release_body(c);
	c->is_complete = false;
	c->is_begun = true;
	c->has_fields = false;
	c->unchecked_bytes = 0;
	c->dropped_bytes = 0;
	c->exchange.is_body_dropped = false;
	c->member.is_known = false;
	c->member.read_bytes = 0;
	h1_guard_set(c->server->_guard, &c->member, H1_UNFINISHED, now_ms);
	c->since_ms = now_ms;
	c->exchange.arrived_ms = now_ms;
	return 0;
}

static int h1_reject(struct _h1_connection *c, uint32_t status)
{
	if (status == 503)
		mt_add(&h1_over_budget, 1);
	c->refused_status = status;
	return status ? -1 : 0;
}

/*
 * Looked at as the fields come, as their end may not come. The texts grow by
 * doubling, so that what they hold now is the most that they take next.
 */
static int h1_check_fields(struct _h1_connection *c, uint64_t bytes)
{
	const struct h1_limits *limits = &c->server->limits;

	if (c->collector.bytes > limits->max_header_bytes ||
	    h1_headers_count(&c->collector.headers) >= limits->max_fields)
		return h1_reject(c, 431);
	c->unchecked_bytes += bytes + H1_FIELD_BYTES;
	if (c->unchecked_bytes < H1_UNCHECKED_BYTES)
		return 0;
	c->unchecked_bytes = 0;
	h1_account(c);
	return h1_reject(c, h1_has_room(c, h1_collector_bytes(&c->collector) +
						   ba_text_bytes(c->target))
				    ? 0
				    : 503);
}

static int h1_on_target(http_parser *p, const char *at, size_t bytes)
{
	struct _h1_connection *c = p->data;
	uint64_t most = c->server->limits.max_target_bytes;

	g_string_append_len(c->target, at, bytes);
	c->collector.bytes += bytes;
	if (most && c->target->len > most)
		return h1_reject(c, 414);
	return h1_check_fields(c, bytes);
}

static int h1_on_field(http_parser *p, const char *at, size_t bytes)
{
	struct _h1_connection *c = p->data;

	if (!h1_check_is_token(at, bytes))
		return h1_reject(c, 400);
	h1_collector_field(&c->collector, at, bytes);
	return h1_check_fields(c, bytes);
}

static int h1_on_value(http_parser *p, const char *at, size_t bytes)
{
	struct _h1_connection *c = p->data;

	h1_collector_value(&c->collector, at, bytes);
	return h1_check_fields(c, bytes);
}

/* Both framings at once may hide a second request in the body. */
static bool h1_is_ambiguous(const struct h1_headers *headers)
{
	return h1_headers_get(headers, "Content-Length") &&
	       h1_headers_get(headers, "Transfer-Encoding");
}

/* The memory of a body of that size, which grows by doubling. */
static uint64_t h1_body_bytes(const struct _h1_connection *c, uint64_t bytes)
{
	uint64_t most = c->server->limits.max_body_bytes;
	uint64_t size = H1_FIRST_BODY_BYTES;

	if (bytes <= c->body_bytes)
		return c->body_bytes;
	while (size <= bytes)
		size <<= 1;
	return bytes > most / 2 ? MAX(bytes, most) : size;
}

/*
 * Returns the status with which the body is refused, or 0. @is_announced: its
 * whole length is known, and memory for that is taken once.
 */
static uint32_t h1_reserve_body(struct _h1_connection *c, uint64_t bytes,
				bool is_announced)
{
	uint64_t held = MAX(c->body_bytes, ba_text_bytes(c->body));
	uint64_t size;

	if (bytes > c->server->limits.max_body_bytes)
		return 413;
	if (c->exchange.is_body_dropped)
		return 0;
	size = is_announced ? bytes + 1 : h1_body_bytes(c, bytes);
	if (size <= held)
		return 0;
	if (!h1_has_room(c, size - held))
		return 503;
	c->body_bytes = size;
	h1_account(c);
	return 0;
}

/* Whether somebody needs the body of the request. */
static bool h1_is_body_kept(struct _h1_connection *c, uint64_t content_length)
{
	const struct h1_server_desc *desc = &c->server->_desc;
	struct h1_exchange *x = &c->exchange;

	if (desc->is_control)
		return false;
	if (!desc->on_head || content_length <= H1_SMALL_BODY_BYTES)
		return true;
	x->method = http_method_str(c->parser.method);
	x->target = c->target->str;
	x->headers = &c->collector.headers;
	return desc->on_head(desc->arg, x);
}

static int h1_on_headers(http_parser *p)
{
	struct _h1_connection *c = p->data;
	const struct h1_limits *limits = &c->server->limits;
	const char *expect;
	uint32_t status = 0;

	h1_collector_end(&c->collector);
	c->has_fields = true;
	h1_account(c);
	if (c->collector.bytes > limits->max_header_bytes)
		status = 431;
	else if (h1_is_ambiguous(&c->collector.headers) || p->upgrade)
		status = 400;
	if (status)
		return h1_reject(c, status);
	c->member.is_known = h1_is_body_kept(c, p->content_length);
	c->exchange.is_body_dropped = !c->member.is_known;
	if (p->content_length != UINT64_MAX)
		status = h1_reserve_body(c, p->content_length, true);
	expect = h1_headers_get(&c->collector.headers, "Expect");
	c->must_continue =
		expect && !g_ascii_strcasecmp(expect, "100-continue");
	return h1_reject(c, status);
}

static int h1_on_body(http_parser *p, const char *at, size_t bytes)
{
	struct _h1_connection *c = p->data;
	uint32_t status = 0;

	c->must_continue = false;
	if (c->exchange.is_body_dropped) {
		c->dropped_bytes += bytes;
		return h1_reject(
			c, c->dropped_bytes > c->server->limits.max_body_bytes
				   ? 413
				   : 0);
	}
	status = h1_reserve_body(c, c->body->len + bytes, false);
	if (status)
		return h1_reject(c, status);
	if (!c->body->len && c->body_bytes > bytes) {
		g_string_free(c->body, TRUE);
		c->body = g_string_sized_new(c->body_bytes - 1);
	}
	g_string_append_len(c->body, at, bytes);
	return 0;
}

static int h1_on_complete(http_parser *p)
{
	struct _h1_connection *c = p->data;

	c->is_complete = true;
	c->is_keep = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings h1_settings = {
	.on_message_begin = h1_on_begin,
	.on_url = h1_on_target,
	.on_header_field = h1_on_field,
	.on_header_value = h1_on_value,
	.on_headers_complete = h1_on_headers,
	.on_body = h1_on_body,
	.on_message_complete = h1_on_complete,
};

void h1_read_init(struct _h1_connection *c)
{
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
}

/* May free the connection. */
static void h1_execute(struct _h1_connection *c, const char *data,
		       uint64_t bytes)
{
	uint64_t used =
		http_parser_execute(&c->parser, &h1_settings, data, bytes);

	c->member.read_bytes += bytes;
	if (c->is_complete) {
		http_parser_pause(&c->parser, 0);
		g_string_append_len(c->in, data + used, bytes - used);
		c->is_complete = false;
		h1_account(c);
		h1_hand_over(c);
		return;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade) {
		h1_refuse(c, c->refused_status ? c->refused_status : 400);
		return;
	}
	h1_account(c);
	if (c->must_continue) {
		c->must_continue = false;
		g_string_append(c->out, "HTTP/1.1 100 Continue\r\n\r\n");
		h1_flush_later(c);
	}
}

void h1_parse(struct _h1_connection *c)
{
	GString *in = c->in;

	if (c->phase != H1_READING || !in->len)
		return;
	c->in = g_string_new(NULL);
	h1_execute(c, in->str, in->len);
	g_string_free(in, TRUE);
}

void h1_take(struct _h1_connection *c, const char *data, uint64_t bytes)
{
	c->member.moved_ms = ck_now_ms();
	if (c->phase == H1_READING && !c->in->len) {
		h1_execute(c, data, bytes);
		return;
	}
	g_string_append_len(c->in, data, bytes);
	h1_account(c);
	h1_parse(c);
}
