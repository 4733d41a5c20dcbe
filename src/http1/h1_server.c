#include "http1/h1_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http1/h1_private.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/mt_family.h"

#define H1_READ_BYTES	  16384
#define H1_LISTEN_BACKLOG 1024
/* Connections accepted before others are looked at. */
#define H1_ACCEPTS 64
/* How often connections are checked for their time limits. */
#define H1_SWEEP_S 0.25
/*
 * A caller that still writes as its connection closes has so long to read its
 * answer: bytes that nobody reads reset the connection, and the answer is lost.
 */
#define H1_LINGER_MS 1000

/* Retry-After of a body for which there is no room, spread over some time. */
#define H1_RETRY_AFTER_MIN_S 0.3
#define H1_RETRY_AFTER_MAX_S 1.5

MT_GAUGE(h1_held, "balsampin_held_bytes",
	 "bodies and unsent answers that callers' connections hold")
MT_COUNTERS(h1_closed, "balsampin_connections_closed_total",
	    "callers' connections closed by us, but for those after an answer",
	    "reason")
MT_COUNTER(h1_unread_answers, "balsampin_unread_answers_total",
	   "answers given up because their caller did not read on")

/* Whether an answer is due on the connection or still being sent. */
static void h1_set_owed(struct _h1_connection *c, bool is_owed)
{
	if (c->is_owed == is_owed)
		return;
	c->is_owed = is_owed;
	c->server->_busy += is_owed ? 1 : -1;
}

static void h1_set_standing(struct _h1_connection *c, enum h1_standing standing)
{
	h1_guard_set(c->server->_guard, &c->member, standing, ck_now_ms());
}

/* A body that is announced counts as if it had come. */
uint64_t h1_held_bytes(const struct _h1_connection *c)
{
	return sizeof(*c) + h1_collector_bytes(&c->collector) +
	       ba_text_bytes(c->target) + ba_text_bytes(c->in) +
	       ba_text_bytes(c->out) +
	       MAX(c->body_bytes, ba_text_bytes(c->body));
}

void h1_account(struct _h1_connection *c)
{
	struct h1_guard *guard = c->server->_guard;

	h1_guard_hold(guard, &c->member, h1_held_bytes(c));
	mt_set(&h1_held, (int64_t)ba_held_bytes(guard->account));
}

bool h1_has_room(struct _h1_connection *c, uint64_t bytes)
{
	struct h1_server *server = c->server;

	if (server->_guard == &server->_own_guard)
		server->_own_account.budget_bytes =
			server->limits.max_held_bytes;
	return h1_guard_make_room(server->_guard, &c->member,
				  h1_held_bytes(c) + bytes, ck_now_ms());
}

void h1_release_body(struct _h1_connection *c)
{
	c->body_bytes = 0;
	h1_release(&c->body);
	h1_account(c);
}

static void h1_free(struct _h1_connection *c)
{
	struct ev_loop *loop = c->server->_desc.loop;

	h1_set_owed(c, false);
	h1_guard_leave(c->server->_guard, &c->member);
	mt_set(&h1_held, (int64_t)ba_held_bytes(c->server->_guard->account));
	ev_io_stop(loop, &c->read);
	ev_io_stop(loop, &c->write);
	close(c->fd);
	*c->link = c->next;
	if (c->next)
		c->next->link = c->link;
	c->server->_open--;
	h1_collector_finish(&c->collector);
	g_string_free(c->target, TRUE);
	g_string_free(c->body, TRUE);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

/* The caller has gone or misbehaves: tell the owner, if it has the exchange. */
static void h1_drop(struct _h1_connection *c)
{
	struct h1_server *server = c->server;

	if (c->phase == H1_ANSWERING) {
		c->phase = H1_CLOSING;
		h1_set_owed(c, false);
		if (server->_desc.on_gone)
			server->_desc.on_gone(server->_desc.arg, &c->exchange);
	}
	h1_free(c);
}

/* Whether the caller has written, or goes on to write, what nobody reads. */
static bool h1_is_caller_writing(struct _h1_connection *c)
{
	char byte;

	return c->in->len || c->refused_status ||
	       recv(c->fd, &byte, sizeof(byte), MSG_DONTWAIT | MSG_PEEK) > 0;
}

static bool h1_is_hung_up(const struct _h1_connection *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) > 0;
}

static void h1_reset_on_close(int fd)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/* Closes a connection whose last answer is sent. */
static void h1_close(struct _h1_connection *c)
{
	if (c->must_reset)
		h1_reset_on_close(c->fd);
	if (c->must_reset || !h1_is_caller_writing(c)) {
		h1_free(c);
		return;
	}
	h1_release(&c->in);
	c->phase = H1_LINGERING;
	h1_set_standing(c, H1_LEAVING);
	h1_account(c);
	c->since_ms = ck_now_ms();
	(void)shutdown(c->fd, SHUT_WR);
	ev_io_start(c->server->_desc.loop, &c->read);
}

/* All that the owner has written is sent. */
static void h1_sent(struct _h1_connection *c)
{
	h1_release(&c->out);
	c->out_offset = 0;
	h1_account(c);
	ev_io_stop(c->server->_desc.loop, &c->write);
	if (c->phase == H1_CLOSING) {
		h1_close(c);
	} else if (c->phase == H1_SENDING) {
		h1_set_owed(c, false);
		c->phase = H1_READING;
		c->since_ms = ck_now_ms();
		h1_set_standing(c, H1_KEPT);
		ev_io_start(c->server->_desc.loop, &c->read);
		h1_parse(c);
	}
}

/* May free the connection, or hand over its next request. */
static void h1_flush(struct _h1_connection *c)
{
	while (c->out_offset < c->out->len) {
		ssize_t n = send(c->fd, c->out->str + c->out_offset,
				 c->out->len - c->out_offset, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(c->server->_desc.loop, &c->write);
			return;
		}
		if (n < 0) {
			h1_drop(c);
			return;
		}
		c->out_offset += n;
		c->member.moved_ms = ck_now_ms();
		if (c->phase != H1_ANSWERING)
			c->since_ms = ck_now_ms();
	}
	h1_sent(c);
}

/*
 * Sends from the loop. Functions that the owner calls do no more than this, so
 * that none of them ends an exchange, or hands over another, before it returns.
 */
void h1_flush_later(struct _h1_connection *c)
{
	ev_feed_event(c->server->_desc.loop, &c->write, EV_WRITE);
}

static const char *h1_reason(uint32_t status)
{
	const char *text = http_status_str(status);

	return g_str_has_prefix(text, "<") ? "Unknown" : text;
}

static void h1_append_head(struct _h1_connection *c, uint32_t status,
			   const struct h1_headers *headers)
{
	g_string_append_printf(c->out, "HTTP/1.1 %u %s\r\n", status,
			       h1_reason(status));
	if (headers)
		h1_headers_print(headers, c->out);
	if (c->server->_is_draining)
		c->is_keep = false;
	if (!c->is_keep)
		g_string_append(c->out, "Connection: close\r\n");
}

/* The answer is complete; what is unsent follows from the loop. */
static void h1_finish_answer(struct _h1_connection *c)
{
	/* A refused request was not handed over, and its answer is owed too. */
	h1_set_owed(c, true);
	c->has_answered = true;
	c->phase = c->is_keep ? H1_SENDING : H1_CLOSING;
	c->is_begun = false;
	h1_set_standing(c, H1_UNREAD);
	c->since_ms = ck_now_ms();
	g_string_truncate(c->target, 0);
	h1_collector_clear(&c->collector);
	h1_release_body(c);
	if (c->phase == H1_CLOSING)
		ev_io_stop(c->server->_desc.loop, &c->read);
	h1_flush_later(c);
}

/* A request that is not handed over: answer it and close. */
void h1_refuse(struct _h1_connection *c, uint32_t status)
{
	char after[G_ASCII_DTOSTR_BUF_SIZE];

	if (c->server->_desc.on_refused)
		c->server->_desc.on_refused(c->server->_desc.arg,
					    &c->collector.headers, status);
	c->label[0] = '\0';
	c->is_keep = false;
	h1_append_head(c, status, NULL);
	if (status == 503)
		g_string_append_printf(
			c->out, "Retry-After: %s\r\n",
			g_ascii_formatd(
				after, sizeof(after), "%.2f",
				g_random_double_range(H1_RETRY_AFTER_MIN_S,
						      H1_RETRY_AFTER_MAX_S)));
	g_string_append(c->out, "Content-Length: 0\r\n\r\n");
	h1_finish_answer(c);
}

void h1_hand_over(struct _h1_connection *c)
{
	struct h1_server *server = c->server;
	struct h1_exchange *x = &c->exchange;

	c->phase = H1_ANSWERING;
	c->has_head = false;
	c->label[0] = '\0';
	h1_set_owed(c, true);
	/* Its request takes a connection to an upstream. */
	h1_set_standing(c, H1_WORKING);
	(void)h1_guard_make_place(server->_guard, server->_desc.is_control,
				  ck_now_ms());
	x->method = http_method_str(c->parser.method);
	x->target = c->target->str;
	x->headers = &c->collector.headers;
	x->body = c->body;
	x->arg = NULL;
	server->_desc.on_request(server->_desc.arg, x);
}

/* The caller writes no more, or has gone. */
static void h1_on_end(struct _h1_connection *c)
{
	if (c->phase != H1_SENDING) {
		h1_drop(c);
		return;
	}
	/* It may still read the answer that it has asked for. */
	c->phase = H1_CLOSING;
	ev_io_stop(c->server->_desc.loop, &c->read);
}

/* How much may be read now; 0: nothing until the answer is sent. */
static uint64_t h1_may_read(const struct _h1_connection *c)
{
	const struct h1_server *server = c->server;
	uint64_t most = server->limits.max_pipelined_bytes;

	if (c->phase == H1_READING || c->phase == H1_LINGERING)
		return H1_READ_BYTES;
	if (c->in->len >= most ||
	    (c->in->len && !ba_fits(server->_guard->account, BA_CALLERS, most)))
		return 0;
	return MIN(H1_READ_BYTES, most - c->in->len);
}

static void h1_on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct _h1_connection *c = w->data;
	char buffer[H1_READ_BYTES];
	uint64_t most = h1_may_read(c);
	ssize_t n;

	if (!most) {
		ev_io_stop(loop, &c->read);
		return;
	}
	n = recv(c->fd, buffer, most, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		h1_on_end(c);
		return;
	}
	if (c->phase != H1_LINGERING)
		h1_take(c, buffer, n);
}

static void h1_on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	h1_flush(w->data);
}

/* The caller has read nothing of the rest of its answer for too long. */
static void h1_give_up_answer(struct _h1_connection *c)
{
	char unsent[24];

	mt_add(&h1_unread_answers, 1);
	g_snprintf(unsent, sizeof(unsent), "%" G_GSIZE_FORMAT,
		   c->out->len - (gsize)c->out_offset);
	lg_info("answer given up as its caller does not read", "event",
		"answer_unread", "request", c->label, "unsent_bytes", unsent,
		NULL);
}

/* Not run, and never will be: the request has not been read whole. */
static void h1_tell_not_run(struct _h1_connection *c)
{
	static const char text[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Connection: close\r\nRetry-After: 1\r\n"
				   "Content-Length: 0\r\n\r\n";

	(void)!send(c->fd, text, sizeof(text) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void h1_on_shed(struct h1_member *member, const char *reason)
{
	struct _h1_connection *c = member->owner;
	struct h1_server *server = c->server;

	mt_count(&h1_closed, reason);
	if (server->_desc.on_shed)
		server->_desc.on_shed(server->_desc.arg, reason,
				      member->standing);
	if (member->standing == H1_UNFINISHED && !strcmp(reason, "memory")) {
		h1_refuse(c, 503);
		return;
	}
	if (member->standing == H1_UNFINISHED)
		h1_tell_not_run(c);
	if (member->standing == H1_UNREAD)
		h1_give_up_answer(c);
	h1_free(c);
}

static bool h1_is_member_writing(const struct h1_member *member)
{
	const struct _h1_connection *c = member->owner;
	char byte;

	return recv(c->fd, &byte, sizeof(byte), MSG_DONTWAIT | MSG_PEEK) > 0;
}

static struct _h1_connection *h1_open(struct h1_server *server, int fd)
{
	struct _h1_connection *c = g_new0(struct _h1_connection, 1);

	c->server = server;
	c->fd = fd;
	c->since_ms = ck_now_ms();
	c->exchange._connection = c;
	c->target = g_string_sized_new(64);
	c->body = g_string_new(NULL);
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	h1_collector_init(&c->collector);
	h1_read_init(c);
	c->member.owner = c;
	c->member.shed = h1_on_shed;
	c->member.is_writing = h1_is_member_writing;
	ev_io_init(&c->read, h1_on_readable, fd, EV_READ);
	ev_io_init(&c->write, h1_on_writable, fd, EV_WRITE);
	c->read.data = c;
	c->write.data = c;
	c->next = server->_connections;
	if (c->next)
		c->next->link = &c->next;
	c->link = &server->_connections;
	server->_connections = c;
	server->_open++;
	h1_guard_join(server->_guard, &c->member, c->since_ms);
	h1_account(c);
	return c;
}

/* Returns false if there is nothing to accept, or no way to. */
static bool h1_accept(struct h1_server *server)
{
	int fd = accept4(server->_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	bool is_full = fd < 0 && (errno == EMFILE || errno == ENFILE);

	if (is_full && h1_guard_shed_one(server->_guard, ck_now_ms()))
		return true;
	/* Without a descriptor, the listening socket would stay readable. */
	if (is_full)
		ev_io_stop(server->_desc.loop, &server->_accept);
	if (fd < 0)
		return false;
	if (!h1_guard_make_place(server->_guard, server->_desc.is_control,
				 ck_now_ms())) {
		mt_count(&h1_closed, "no_place");
		close(fd);
		return true;
	}
	h1_set_options(fd, server->limits.unread_timeout_ms);
	ev_io_start(server->_desc.loop, &h1_open(server, fd)->read);
	return true;
}

static void h1_on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	for (int i = 0; i < H1_ACCEPTS && h1_accept(w->data); i++)
		;
}

/* Returns why the connection is to be closed, or NULL. */
static const char *h1_is_overdue(const struct _h1_connection *c, int64_t now_ms)
{
	const struct h1_limits *limits = &c->server->limits;
	int64_t age_ms = now_ms - c->since_ms;
	int64_t quiet_ms = now_ms - c->member.moved_ms;

	switch (c->phase) {
	case H1_READING:
		if (!c->is_begun)
			return age_ms > limits->idle_timeout_ms ? "idle" : NULL;
		if ((c->has_fields ? quiet_ms : age_ms) >
		    limits->header_timeout_ms)
			return "unfinished";
		/* Within its time, a head may be as slow as it likes. */
		if (age_ms > MAX(limits->rate_grace_ms,
				 limits->header_timeout_ms) &&
		    c->member.read_bytes * 1000 / (uint64_t)age_ms <
			    limits->min_bytes_per_s)
			return "slow";
		return NULL;
	case H1_SENDING:
	case H1_CLOSING:
		return age_ms > limits->unread_timeout_ms ? "unread" : NULL;
	case H1_LINGERING:
		return age_ms > H1_LINGER_MS ? "lingering" : NULL;
	default:
		return NULL;
	}
}

/*
 * While an answer is due, only so much is read ahead; then nothing tells of a
 * close, which lies behind what is not read.
 */
static bool h1_has_left_unseen(const struct _h1_connection *c)
{
	return c->phase == H1_ANSWERING && !ev_is_active(&c->read) &&
	       h1_is_hung_up(c);
}

static void h1_on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct h1_server *server = w->data;
	struct _h1_connection *c = server->_connections;
	int64_t now_ms = ck_now_ms();

	ev_io_start(loop, &server->_accept);
	while (c) {
		struct _h1_connection *next = c->next;

		const char *reason = h1_is_overdue(c, now_ms);

		if (reason) {
			mt_count(&h1_closed, reason);
			if (c->phase == H1_SENDING || c->phase == H1_CLOSING)
				h1_give_up_answer(c);
			h1_free(c);
		} else if (h1_has_left_unseen(c)) {
			h1_drop(c);
		}
		c = next;
	}
}

static int h1_listen(const struct h1_server_desc *desc)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd, one = 1;

	address.sin_port = htons(desc->port);
	if (inet_pton(AF_INET, desc->address, &address.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, H1_LISTEN_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

static void h1_default(struct h1_limits *limits)
{
	if (!limits->max_header_bytes)
		limits->max_header_bytes = H1_DEFAULT_MAX_HEADER_BYTES;
	if (!limits->max_body_bytes)
		limits->max_body_bytes = H1_DEFAULT_MAX_BODY_BYTES;
	if (!limits->header_timeout_ms)
		limits->header_timeout_ms = H1_DEFAULT_HEADER_TIMEOUT_MS;
	if (!limits->idle_timeout_ms)
		limits->idle_timeout_ms = H1_DEFAULT_IDLE_TIMEOUT_MS;
	if (!limits->unread_timeout_ms)
		limits->unread_timeout_ms = H1_DEFAULT_UNREAD_TIMEOUT_MS;
	if (!limits->max_fields)
		limits->max_fields = H1_DEFAULT_MAX_FIELDS;
	if (!limits->max_pipelined_bytes)
		limits->max_pipelined_bytes = H1_DEFAULT_MAX_PIPELINED_BYTES;
	if (!limits->rate_grace_ms)
		limits->rate_grace_ms = H1_DEFAULT_RATE_GRACE_MS;
}

enum st_code h1_server_init(struct h1_server *server,
			    const struct h1_server_desc *desc)
{
	memset(server, 0, sizeof(*server));
	server->_desc = *desc;
	server->limits = desc->limits;
	h1_default(&server->limits);
	ba_init(&server->_own_account, 0);
	h1_guard_init(&server->_own_guard, &server->_own_account);
	server->_guard = desc->guard ? desc->guard : &server->_own_guard;
	server->_fd = h1_listen(desc);
	if (server->_fd < 0)
		return st_fail(ST_UNAVAILABLE, "cannot listen on %s:%u: %s",
			       desc->address, desc->port, strerror(errno));
	ev_io_init(&server->_accept, h1_on_accept, server->_fd, EV_READ);
	server->_accept.data = server;
	ev_io_start(desc->loop, &server->_accept);
	ev_timer_init(&server->_sweep, h1_on_sweep, H1_SWEEP_S, H1_SWEEP_S);
	server->_sweep.data = server;
	ev_timer_start(desc->loop, &server->_sweep);
	return ST_OK;
}

void h1_server_finish(struct h1_server *server)
{
	struct _h1_connection *c = server->_connections;

	if (!server->_desc.loop || server->_fd < 0)
		return;
	while (c) {
		struct _h1_connection *next = c->next;

		h1_drop(c);
		c = next;
	}
	ev_io_stop(server->_desc.loop, &server->_accept);
	ev_timer_stop(server->_desc.loop, &server->_sweep);
	close(server->_fd);
	server->_fd = -1;
}

uint16_t h1_server_port(const struct h1_server *server)
{
	struct sockaddr_in address = { 0 };
	socklen_t bytes = sizeof(address);

	if (getsockname(server->_fd, (struct sockaddr *)&address, &bytes))
		return 0;
	return ntohs(address.sin_port);
}

void h1_server_drain(struct h1_server *server)
{
	server->_is_draining = true;
}

void h1_server_close_idle(struct h1_server *server)
{
	struct _h1_connection *c = server->_connections;

	while (c) {
		struct _h1_connection *next = c->next;

		if (c->phase == H1_READING && c->has_answered && !c->is_begun &&
		    !h1_is_caller_writing(c))
			h1_free(c);
		c = next;
	}
}

static bool h1_has_no_body(const struct _h1_connection *c, uint32_t status)
{
	return c->parser.method == HTTP_HEAD || status == 204 || status == 304;
}

void h1_respond(struct h1_exchange *x, uint32_t status,
		const struct h1_headers *headers, const void *body,
		uint64_t bytes)
{
	struct _h1_connection *c = x->_connection;

	h1_append_head(c, status, headers);
	if (status != 204 && status != 304)
		g_string_append_printf(
			c->out, "Content-Length: %" PRIu64 "\r\n", bytes);
	g_string_append_len(c->out, "\r\n", 2);
	if (bytes && !h1_has_no_body(c, status))
		g_string_append_len(c->out, body, bytes);
	h1_finish_answer(c);
}

void h1_begin(struct h1_exchange *x, uint32_t status,
	      const struct h1_headers *headers, int64_t body_bytes)
{
	struct _h1_connection *c = x->_connection;

	c->is_chunked = body_bytes < 0 && c->parser.http_minor;
	c->left_bytes = body_bytes;
	c->has_head = true;
	if (body_bytes < 0 && !c->is_chunked)
		c->is_keep = false;
	h1_append_head(c, status, headers);
	if (c->is_chunked)
		g_string_append(c->out, "Transfer-Encoding: chunked\r\n\r\n");
	else if (body_bytes >= 0)
		g_string_append_printf(c->out,
				       "Content-Length: %" PRId64 "\r\n\r\n",
				       body_bytes);
	else
		g_string_append_len(c->out, "\r\n", 2);
}

void h1_write(struct h1_exchange *x, const void *data, uint64_t bytes)
{
	struct _h1_connection *c = x->_connection;

	if (!bytes || h1_has_no_body(c, 0))
		return;
	if (c->is_chunked)
		g_string_append_printf(c->out, "%" PRIx64 "\r\n", bytes);
	g_string_append_len(c->out, data, bytes);
	if (c->is_chunked)
		g_string_append_len(c->out, "\r\n", 2);
	h1_account(c);
	h1_flush_later(c);
}

void h1_end(struct h1_exchange *x)
{
	struct _h1_connection *c = x->_connection;

	if (c->is_chunked && !h1_has_no_body(c, 0))
		g_string_append(c->out, "0\r\n\r\n");
	h1_finish_answer(c);
}

void h1_abort(struct h1_exchange *x)
{
	struct _h1_connection *c = x->_connection;

	c->is_keep = false;
	if (!c->has_head)
		g_string_truncate(c->out, c->out_offset);
	else
		/* The end of such a body is that of its connection. */
		c->must_reset = !c->is_chunked && c->left_bytes < 0;
	h1_finish_answer(c);
}

void h1_set_label(struct h1_exchange *x, const char *label)
{
	g_strlcpy(x->_connection->label, label, H1_LABEL_BYTES);
}

bool h1_has_caller_left(const struct h1_exchange *x)
{
	return h1_is_hung_up(x->_connection);
}

uint64_t h1_unsent_bytes(const struct h1_exchange *x)
{
	return x->_connection->out->len - x->_connection->out_offset;
}

bool h1_may_take(struct h1_exchange *x, uint64_t bytes)
{
	return h1_has_room(x->_connection, bytes);
}
