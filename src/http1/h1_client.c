#include "http1/h1_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http1/h1_check.h"
#include "http1/h1_message.h"
#include "kernel/ck.h"

#define H1_READ_BYTES 16384
/* Well over two retransmissions on a link between regions. */
#define H1_UNACKNOWLEDGED_TIMEOUT_MS 2000
/* A kept connection is given up so long before the peer would close it. */
#define H1_IDLE_MARGIN_MS 700
/* For peers that do not say how long they keep an idle connection. */
#define H1_DEFAULT_KEEP_MS 4000

struct _h1_link {
	struct h1_peer *peer;
	struct _h1_link *next;
	struct _h1_link **idle_link;
	struct h1_call *call;
	struct h1_call_desc desc;
	struct h1_collector collector;
	http_parser parser;
	struct h1_check check;
	const char *checked;
	enum st_code code;
	GString *out;
	uint64_t out_offset;
	ev_io read;
	ev_io write;
	ev_timer timer;
	int fd;
	bool is_connected;
	bool is_first;
	bool is_head;
	bool is_at_head_end;
	bool is_at_end;
	bool is_chunked;
	bool was_sent;
	bool is_skipped;
	bool is_answered;
	bool is_too_large;
	bool is_complete;
	bool is_keep;
	bool reads_slowly;
	bool in_callback;
	bool is_cancelled;
	uint32_t status;
	uint64_t before_bytes;
	uint64_t answer_bytes;
	int error;
	void (*on_checked)(void *arg, enum h1_presence presence);
	void *check_arg;
};

/* Closes the connection; the link no longer needs its peer. */
static void h1_link_close(struct _h1_link *l)
{
	struct ev_loop *loop = l->peer->_loop;

	ev_io_stop(loop, &l->read);
	ev_io_stop(loop, &l->write);
	ev_timer_stop(loop, &l->timer);
	if (l->fd >= 0)
		close(l->fd);
	if (l->idle_link) {
		*l->idle_link = l->next;
		if (l->next)
			l->next->idle_link = l->idle_link;
	}
	l->peer->open--;
	l->peer = NULL;
}

static void h1_link_free(struct _h1_link *l)
{
	if (l->peer)
		h1_link_close(l);
	h1_collector_finish(&l->collector);
	h1_check_finish(&l->check);
	g_string_free(l->out, TRUE);
	g_free(l);
}

static int64_t h1_keep_ms(const struct h1_headers *headers)
{
	const char *value = h1_headers_get(headers, "Keep-Alive");
	const char *timeout = value ? strcasestr(value, "timeout=") : NULL;

	if (!timeout)
		return H1_DEFAULT_KEEP_MS;
	return strtol(timeout + strlen("timeout="), NULL, 10) * 1000;
}

static void h1_link_keep(struct _h1_link *l)
{
	struct h1_peer *peer = l->peer;
	int64_t keep_ms = h1_keep_ms(&l->collector.headers) - H1_IDLE_MARGIN_MS;

	if (keep_ms <= 0) {
		h1_link_free(l);
		return;
	}
	if (l->reads_slowly)
		h1_set_unacknowledged_ms(l->fd, H1_UNACKNOWLEDGED_TIMEOUT_MS);
	l->reads_slowly = false;
	l->next = peer->_idle;
	if (l->next)
		l->next->idle_link = &l->next;
	l->idle_link = &peer->_idle;
	peer->_idle = l;
	ev_timer_set(&l->timer, keep_ms / 1000.0, 0.0);
	ev_timer_start(peer->_loop, &l->timer);
}

/* The call is over: free or keep the connection, then tell the caller. */
static void h1_link_end(struct _h1_link *l, enum h1_outcome outcome)
{
	struct h1_call_desc desc = l->desc;
	struct ev_loop *loop = l->peer->_loop;

	l->call->_link = NULL;
	l->call = NULL;
	ev_timer_stop(loop, &l->timer);
	if (outcome == H1_DONE && l->is_keep && l->out_offset == l->out->len)
		h1_link_keep(l);
	else
		h1_link_free(l);
	desc.on_done(desc.arg, outcome);
}

static int h1_on_begin(http_parser *p)
{
	struct _h1_link *l = p->data;

	h1_collector_clear(&l->collector);
	l->is_complete = false;
	return 0;
}

static int h1_on_field(http_parser *p, const char *at, size_t bytes)
{
	h1_collector_field(&((struct _h1_link *)p->data)->collector, at, bytes);
	return 0;
}

static int h1_on_value(http_parser *p, const char *at, size_t bytes)
{
	h1_collector_value(&((struct _h1_link *)p->data)->collector, at, bytes);
	return 0;
}

/* RFC 9112, 6.3: whatever the fields say. */
static bool h1_link_has_no_body(const struct _h1_link *l)
{
	uint32_t status = l->parser.status_code;

	return l->is_head || status / 100 == 1 || status == 204 ||
	       status == 304;
}

/* The parser pauses here, as it does not say where the head ends. */
static int h1_on_headers(http_parser *p)
{
	struct _h1_link *l = p->data;

	h1_collector_end(&l->collector);
	l->is_at_head_end = true;
	http_parser_pause(p, 1);
	return h1_link_has_no_body(l) ? 1 : 0;
}

/* Checks the lines that the parser has taken, up to @end. */
static enum st_code h1_link_check(struct _h1_link *l, const char *end)
{
	if (l->code == ST_OK && l->checked < end)
		l->code =
			h1_check_bytes(&l->check, l->checked, end - l->checked);
	l->checked = MAX(l->checked, end);
	return l->code;
}

static int h1_on_body(http_parser *p, const char *at, size_t bytes)
{
	struct _h1_link *l = p->data;

	if (h1_link_check(l, at) != ST_OK)
		return -1;
	l->checked = at + bytes;
	if (l->is_skipped)
		return 0;
	l->answer_bytes += bytes;
	l->is_too_large = l->answer_bytes > l->desc.max_answer_bytes;
	if (!l->is_too_large && l->desc.on_body)
		l->desc.on_body(l->desc.arg, at, bytes);
	return l->is_cancelled || l->is_too_large ? -1 : 0;
}

static int h1_on_complete(http_parser *p)
{
	struct _h1_link *l = p->data;

	l->is_at_end = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings h1_settings = {
	.on_message_begin = h1_on_begin,
	.on_header_field = h1_on_field,
	.on_header_value = h1_on_value,
	.on_headers_complete = h1_on_headers,
	.on_body = h1_on_body,
	.on_message_complete = h1_on_complete,
};

/*
 * A peer that answers early may read the rest of the request much later, and
 * the kernel would give it up for having no room. The caller's time limits hold
 * from here on.
 */
static void h1_link_expect_slow_reads(struct _h1_link *l)
{
	l->reads_slowly = l->out_offset < l->out->len;
	if (l->reads_slowly)
		h1_set_unacknowledged_ms(l->fd, 0);
}

/* The parser has stopped at the last byte of a head. */
static void h1_link_end_head(struct _h1_link *l, const char *last)
{
	bool is_interim = l->parser.status_code / 100 == 1;
	enum h1_line due = is_interim ? H1_LINE_STATUS : H1_LINE_TRAILER;

	l->is_at_head_end = false;
	if (h1_link_check(l, last + 1) != ST_OK)
		return;
	if (l->check.next != due) {
		l->code = st_fail(ST_INVALID, "no empty line after the head");
		return;
	}
	if (is_interim)
		return;
	l->is_chunked = !h1_link_has_no_body(l) && l->parser.flags & F_CHUNKED;
	if (l->is_chunked)
		h1_check_expect_chunks(&l->check);
	l->status = l->parser.status_code;
	l->is_skipped =
		l->desc.on_head &&
		!l->desc.on_head(l->desc.arg, l->status, &l->collector.headers);
	l->is_answered = !l->is_skipped;
	if (l->is_answered && !l->is_cancelled)
		h1_link_expect_slow_reads(l);
}

/* A body that was announced where none is allowed may still come. */
static bool h1_link_may_send_more(const struct _h1_link *l)
{
	uint64_t bytes = l->parser.content_length;

	return l->parser.status_code == 204 &&
	       (l->parser.flags & F_CHUNKED || (bytes && bytes != UINT64_MAX));
}

/*
 * The parser has stopped after an answer, which may be an interim one; @end is
 * behind its last byte.
 */
static void h1_link_end_message(struct _h1_link *l, const char *end)
{
	bool is_interim = l->parser.status_code / 100 == 1;

	l->is_at_end = false;
	if (h1_link_check(l, end) != ST_OK)
		return;
	if (l->is_chunked && l->check.next != H1_LINE_NONE) {
		l->code = st_fail(ST_INVALID, "no empty line after the chunks");
		return;
	}
	l->is_chunked = false;
	h1_check_reset(&l->check);
	if (!is_interim && !l->is_skipped) {
		l->is_keep = http_should_keep_alive(&l->parser) &&
			     !h1_link_may_send_more(l);
		l->is_complete = true;
	}
	l->is_skipped = false;
}

/*
 * Parses up to the end of the answer, or to what is wrong with it. Returns how
 * much has been taken.
 */
static size_t h1_link_execute(struct _h1_link *l, const char *data,
			      size_t bytes)
{
	size_t used = 0;

	l->checked = data;
	do {
		used += http_parser_execute(&l->parser, &h1_settings,
					    data + used, bytes - used);
		if (HTTP_PARSER_ERRNO(&l->parser) == HPE_PAUSED)
			http_parser_pause(&l->parser, 0);
		if (l->is_at_head_end)
			h1_link_end_head(l, data + used);
		else if (l->is_at_end)
			h1_link_end_message(l, data + used);
		else
			break;
	} while (l->code == ST_OK && !l->is_cancelled && !l->is_complete &&
		 used < bytes);
	if (l->is_cancelled || l->is_complete || l->code != ST_OK)
		return used;
	if (HTTP_PARSER_ERRNO(&l->parser) != HPE_OK)
		l->code = st_fail(
			ST_INVALID, "%s",
			http_errno_description(HTTP_PARSER_ERRNO(&l->parser)));
	else
		h1_link_check(l, data + bytes);
	return used;
}

/* Returns false if the link is gone or its call is over. */
static bool h1_link_parse(struct _h1_link *l, const char *data, size_t bytes)
{
	size_t used;

	l->in_callback = true;
	used = h1_link_execute(l, data, bytes);
	l->in_callback = false;
	if (l->is_cancelled) {
		h1_link_free(l);
		return false;
	}
	if (l->is_complete) {
		/* What follows a whole answer belongs to no request. */
		if (used < bytes)
			l->is_keep = false;
		h1_link_end(l, H1_DONE);
		return false;
	}
	if (!l->is_answered)
		l->before_bytes += bytes;
	if (l->is_too_large || l->before_bytes > H1_MAX_BEFORE_ANSWER_BYTES) {
		h1_link_end(l, H1_TOO_LARGE);
		return false;
	}
	if (l->code != ST_OK) {
		/* No bytes stand for the end of the connection. */
		h1_link_end(l, bytes ? H1_GARBLED : H1_BROKEN);
		return false;
	}
	return true;
}

/* The end of a check; the link is freed or kept. */
static void h1_link_checked(struct _h1_link *l, enum h1_presence presence)
{
	void (*on_checked)(void *, enum h1_presence) = l->on_checked;
	void *arg = l->check_arg;

	l->on_checked = NULL;
	ev_timer_stop(l->peer->_loop, &l->timer);
	ev_io_stop(l->peer->_loop, &l->write);
	if (presence == H1_THERE)
		h1_link_keep(l);
	else
		h1_link_free(l);
	on_checked(arg, presence);
}

static enum h1_presence h1_link_presence(const struct _h1_link *l)
{
	if (l->fd < 0)
		return H1_UNCHECKED;
	return l->error == ECONNREFUSED ? H1_REFUSED : H1_SILENT;
}

static enum h1_outcome h1_link_outcome(const struct _h1_link *l)
{
	if (l->fd < 0)
		return H1_NO_DESCRIPTOR;
	return l->was_sent ? H1_BROKEN : H1_NOT_SENT;
}

static void h1_link_fail(struct _h1_link *l)
{
	if (l->on_checked)
		h1_link_checked(l, h1_link_presence(l));
	else if (!l->call)
		h1_link_free(l);
	else
		h1_link_end(l, h1_link_outcome(l));
}

/*
 * A write that finds a reset takes the error off the socket, and reads see an
 * end from then on. EPIPE stands for a reset after the peer had closed its side
 * properly: reads had their end before.
 */
static bool h1_link_is_reset(const struct _h1_link *l)
{
	return l->error && l->error != EPIPE;
}

static void h1_on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct _h1_link *l = w->data;
	char buffer[H1_READ_BYTES];
	ssize_t n = recv(l->fd, buffer, sizeof(buffer), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0 && l->call) {
		h1_link_parse(l, buffer, n);
		return;
	}
	if (n < 0)
		l->error = errno;
	/* An answer without a length ends where the peer closes. */
	if (n == 0 && l->call && !h1_link_is_reset(l) &&
	    !h1_link_parse(l, "", 0))
		return;
	st_fail(ST_UNKNOWN, "%s",
		l->error ? g_strerror(l->error) : "closed without an answer");
	h1_link_fail(l);
}

static void h1_link_flush(struct _h1_link *l)
{
	while (l->out_offset < l->out->len) {
		ssize_t n = send(l->fd, l->out->str + l->out_offset,
				 l->out->len - l->out_offset, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(l->peer->_loop, &l->write);
			return;
		}
		if (n < 0) {
			/*
			 * The peer may have answered before it closed: that is
			 * read first, and the end is found there.
			 */
			l->error = errno;
			ev_io_stop(l->peer->_loop, &l->write);
			return;
		}
		l->out_offset += n;
		l->was_sent = true;
	}
	h1_release(&l->out);
	l->out_offset = 0;
	ev_io_stop(l->peer->_loop, &l->write);
	if (l->call && l->desc.on_sent)
		l->desc.on_sent(l->desc.arg);
}

static void h1_on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct _h1_link *l = w->data;
	int error = 0;
	socklen_t bytes = sizeof(error);

	if (!l->is_connected) {
		if (getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &bytes) ||
		    error) {
			l->error = error;
			h1_link_fail(l);
			return;
		}
		l->is_connected = true;
		l->error = 0;
		ev_timer_stop(loop, &l->timer);
		ev_io_start(loop, &l->read);
		if (l->on_checked) {
			h1_link_checked(l, H1_THERE);
			return;
		}
	}
	h1_link_flush(l);
}

/* Either no connection in time, or an idle one has been kept long enough. */
static void h1_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	h1_link_fail(w->data);
}

static struct _h1_link *h1_link_new(struct h1_peer *peer)
{
	struct _h1_link *l = g_new0(struct _h1_link, 1);

	l->peer = peer;
	l->out = g_string_sized_new(1024);
	h1_collector_init(&l->collector);
	h1_check_init(&l->check);
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	ev_io_init(&l->read, h1_on_readable, l->fd, EV_READ);
	ev_io_init(&l->write, h1_on_writable, l->fd, EV_WRITE);
	ev_timer_init(&l->timer, h1_on_timer, 0.0, 0.0);
	l->read.data = l;
	l->write.data = l;
	l->timer.data = l;
	peer->open++;
	peer->made++;
	return l;
}

static void h1_link_connect(struct _h1_link *l, int64_t timeout_ms)
{
	struct h1_peer *peer = l->peer;
	struct sockaddr_in to = { .sin_family = AF_INET };

	to.sin_addr.s_addr = htonl(peer->_ipv4);
	to.sin_port = htons(peer->_port);
	if (l->fd >= 0) {
		h1_set_options(l->fd, H1_UNACKNOWLEDGED_TIMEOUT_MS);
		if (connect(l->fd, (struct sockaddr *)&to, sizeof(to)))
			l->error = errno;
		ev_io_start(peer->_loop, &l->write);
		ev_timer_set(&l->timer, timeout_ms / 1000.0, 0.0);
	} else {
		/* No descriptor: fail from the loop, as other failures do. */
		ev_timer_set(&l->timer, 0.0, 0.0);
	}
	ev_timer_start(peer->_loop, &l->timer);
}

/* The peer has closed the connection, or sent what nobody asked for. */
static bool h1_link_is_stale(const struct _h1_link *l)
{
	char byte;
	ssize_t n = recv(l->fd, &byte, sizeof(byte), MSG_DONTWAIT | MSG_PEEK);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* The idle connection that was used last: it is the least likely closed. */
static struct _h1_link *h1_peer_pop(struct h1_peer *peer)
{
	struct _h1_link *l = peer->_idle;

	if (!l)
		return NULL;
	peer->_idle = l->next;
	if (l->next)
		l->next->idle_link = &peer->_idle;
	l->next = NULL;
	l->idle_link = NULL;
	ev_timer_stop(peer->_loop, &l->timer);
	return l;
}

/*
 * A connection that has ended since the loop looked at it is not for a request
 * that may run once only.
 */
static struct _h1_link *h1_peer_take(struct h1_peer *peer)
{
	struct _h1_link *l = h1_peer_pop(peer);

	while (l && h1_link_is_stale(l)) {
		h1_link_free(l);
		l = h1_peer_pop(peer);
	}
	return l;
}

static void h1_link_fill(struct _h1_link *l, const struct h1_call_desc *desc)
{
	GString *out = l->out;

	g_string_truncate(out, 0);
	l->out_offset = 0;
	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", desc->method,
			       desc->target);
	h1_headers_print(desc->headers, out);
	if (desc->body_bytes || !strcmp(desc->method, "POST") ||
	    !strcmp(desc->method, "PUT"))
		g_string_append_printf(out, "Content-Length: %" PRIu64 "\r\n",
				       desc->body_bytes);
	g_string_append_len(out, "\r\n", 2);
	if (desc->body_bytes)
		g_string_append_len(out, desc->body, desc->body_bytes);
}

void h1_call_start(struct h1_call *call, const struct h1_call_desc *desc)
{
	struct _h1_link *l = h1_peer_take(desc->peer);
	bool is_new = !l;

	if (is_new)
		l = h1_link_new(desc->peer);
	l->call = call;
	l->desc = *desc;
	l->is_first = is_new;
	l->is_head = !strcmp(desc->method, "HEAD");
	l->is_at_head_end = false;
	l->is_at_end = false;
	l->is_chunked = false;
	l->code = ST_OK;
	l->was_sent = false;
	l->is_complete = false;
	l->is_skipped = false;
	l->is_answered = false;
	l->is_too_large = false;
	l->before_bytes = 0;
	l->answer_bytes = 0;
	l->is_keep = false;
	if (!l->desc.max_answer_bytes)
		l->desc.max_answer_bytes = H1_DEFAULT_MAX_ANSWER_BYTES;
	call->_link = l;
	http_parser_init(&l->parser, HTTP_RESPONSE);
	h1_check_reset(&l->check);
	l->parser.data = l;
	h1_link_fill(l, desc);
	if (is_new)
		h1_link_connect(l, desc->connect_timeout_ms);
	else
		h1_link_flush(l);
}

void h1_call_cancel(struct h1_call *call)
{
	struct _h1_link *l = call->_link;

	if (!l)
		return;
	call->_link = NULL;
	l->call = NULL;
	if (!l->in_callback) {
		h1_link_free(l);
		return;
	}
	/* The parser still uses the link; the caller may free the peer. */
	l->is_cancelled = true;
	h1_link_close(l);
}

void h1_peer_check(struct h1_peer *peer, int64_t timeout_ms,
		   void (*on_checked)(void *arg, enum h1_presence presence),
		   void *arg)
{
	struct _h1_link *l = h1_link_new(peer);

	l->on_checked = on_checked;
	l->check_arg = arg;
	h1_link_connect(l, timeout_ms);
}

bool h1_call_is_first(const struct h1_call *call)
{
	return call->_link && call->_link->is_first;
}

bool h1_call_was_sent(const struct h1_call *call)
{
	return call->_link && call->_link->was_sent;
}

void h1_peer_init(struct h1_peer *peer, struct ev_loop *loop, uint32_t ipv4,
		  uint16_t port)
{
	memset(peer, 0, sizeof(*peer));
	peer->_loop = loop;
	peer->_ipv4 = ipv4;
	peer->_port = port;
}

void h1_peer_close_idle(struct h1_peer *peer)
{
	struct _h1_link *l = peer->_idle;

	while (l) {
		struct _h1_link *next = l->next;

		h1_link_free(l);
		l = next;
	}
}

void h1_peer_finish(struct h1_peer *peer)
{
	h1_peer_close_idle(peer);
}

const char *h1_outcome_reason(enum h1_outcome outcome)
{
	return outcome == H1_BROKEN || outcome == H1_GARBLED ? st_message()
							     : "";
}

const char *h1_outcome_name(enum h1_outcome outcome)
{
	static const char *const names[] = { "done",	  "not_sent",
					     "broken",	  "garbled",
					     "too_large", "no_descriptor" };

	return names[outcome];
}
