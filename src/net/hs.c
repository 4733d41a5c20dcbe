#include "net/hs.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HS_STREAM_BLOCK_BYTES 2048
/* The sent part of a stream's buffer is cut off once it reaches this. */
#define HS_COMPACT_BYTES 65536

static void hs_run(struct hs_server *server)
{
	MHD_run(server->_daemon);
}

static void hs_on_io(struct ev_loop *loop, ev_io *io, int revents)
{
	hs_run(io->data);
}

static void hs_on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	hs_run(timer->data);
}

/* Before the loop blocks: when does the daemon want to run next? */
static void hs_on_prepare(struct ev_loop *loop, ev_prepare *watcher,
			  int revents)
{
	struct hs_server *server = watcher->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(loop, &server->_timer);
	if (MHD_get_timeout(server->_daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&server->_timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(loop, &server->_timer);
}

static void hs_stop_hangup_watch(struct hs_exchange *x)
{
	ev_io_stop(x->_server->_desc.loop, &x->_hangup);
}

static void hs_resume(struct hs_exchange *x)
{
	hs_stop_hangup_watch(x);
	if (!x->_is_suspended)
		return;
	x->_is_suspended = false;
	MHD_resume_connection(x->_connection);
	/* Let the daemon see the connection before the loop blocks. */
	ev_feed_event(x->_server->_desc.loop, &x->_server->_timer, EV_TIMER);
}

/*
 * libmicrohttpd does not read from a suspended connection, so it would not
 * see that the caller hung up. Bytes that are there (a pipelined request) are
 * left alone; watching would then only spin.
 */
static void hs_on_hangup(struct ev_loop *loop, ev_io *io, int revents)
{
	struct hs_exchange *x = io->data;
	char byte;
	ssize_t got = recv(io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, io);
	if (got > 0)
		return;
	x->_is_gone = true;
	hs_resume(x);
}

static void hs_suspend(struct hs_exchange *x)
{
	const union MHD_ConnectionInfo *info;

	if (x->_is_suspended)
		return;
	x->_is_suspended = true;
	MHD_suspend_connection(x->_connection);
	info = MHD_get_connection_info(x->_connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	if (!info)
		return;
	ev_io_set(&x->_hangup, info->connect_fd, EV_READ);
	ev_io_start(x->_server->_desc.loop, &x->_hangup);
}

static struct hs_exchange *hs_exchange_new(struct hs_server *server,
					   struct MHD_Connection *connection,
					   const char *method, const char *path)
{
	struct hs_exchange *x = g_new0(struct hs_exchange, 1);

	x->_server = server;
	x->_connection = connection;
	x->method = g_strdup(method);
	x->path = g_strdup(path);
	x->body = g_string_new(NULL);
	x->_out = g_string_new(NULL);
	ev_io_init(&x->_hangup, hs_on_hangup, -1, EV_READ);
	x->_hangup.data = x;
	x->_next = server->_exchanges;
	x->_link = &server->_exchanges;
	if (x->_next)
		x->_next->_link = &x->_next;
	server->_exchanges = x;
	server->_open++;
	return x;
}

/* Notes what the allocator took for a body that is not whole. */
static void hs_charge(struct hs_exchange *x, uint64_t bytes)
{
	ba_charge(&x->_server->_account, BA_CALLERS,
		  (int64_t)(bytes - x->_charged_bytes));
	x->_charged_bytes = bytes;
}

static void hs_exchange_free(struct hs_exchange *x)
{
	hs_charge(x, 0);
	hs_stop_hangup_watch(x);
	if (x->_response)
		MHD_destroy_response(x->_response);
	*x->_link = x->_next;
	if (x->_next)
		x->_next->_link = x->_link;
	x->_server->_open--;
	g_string_free(x->body, TRUE);
	g_string_free(x->_out, TRUE);
	g_free(x->method);
	g_free(x->path);
	g_free(x);
}

static enum MHD_Result hs_queue_refusal(struct hs_exchange *x)
{
	static const char too_large[] =
		"{\"error\":{\"message\":\"the body is too large\","
		"\"type\":\"invalid_request_error\",\"code\":\"body_too_large\","
		"\"run\":\"not_run\"}}\n";
	static const char no_room[] =
		"{\"error\":{\"message\":\"no memory for the body\","
		"\"type\":\"overloaded_error\",\"code\":\"no_memory\","
		"\"run\":\"not_run\"}}\n";
	const char *text = x->_is_too_large ? too_large : no_room;
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	if (!x->_is_too_large)
		MHD_add_response_header(response, "Retry-After", "1");
	result = MHD_queue_response(x->_connection,
				    x->_is_too_large ? 413 : 503, response);
	MHD_destroy_response(response);
	return result;
}

/* libmicrohttpd takes an answer only within its access handler. */
static enum MHD_Result hs_queue_answer(struct hs_exchange *x)
{
	struct MHD_Response *response = x->_response;
	enum MHD_Result result;

	if (!response)
		return MHD_YES;
	x->_response = NULL;
	result = MHD_queue_response(x->_connection, x->_status, response);
	MHD_destroy_response(response);
	return result;
}

/* The text grows by doubling. */
static bool hs_has_room(const struct hs_exchange *x, uint64_t bytes)
{
	uint64_t next = 2 * bytes;

	return next <= HS_GUARANTEED_BYTES || next <= x->_charged_bytes ||
	       ba_fits(&x->_server->_account, BA_CALLERS,
		       next - x->_charged_bytes);
}

static void hs_take_upload(struct hs_exchange *x, const char *data,
			   size_t bytes)
{
	uint64_t length = x->body->len + bytes;
	uint64_t taken;

	if (x->_is_too_large || x->_has_no_room)
		return;
	x->_is_too_large = length > x->_server->_desc.max_body_bytes;
	x->_has_no_room = !x->_is_too_large && !hs_has_room(x, length);
	if (x->_is_too_large || x->_has_no_room) {
		g_string_free(x->body, TRUE);
		x->body = g_string_new(NULL);
		hs_charge(x, 0);
		return;
	}
	g_string_append_len(x->body, data, (gssize)bytes);
	taken = ba_text_bytes(x->body);
	hs_charge(x, taken > HS_GUARANTEED_BYTES ? taken : 0);
}

static enum MHD_Result hs_on_access(void *arg, struct MHD_Connection *c,
				    const char *url, const char *method,
				    const char *version, const char *data,
				    size_t *data_bytes, void **context)
{
	struct hs_server *server = arg;
	struct hs_exchange *x = *context;

	if (!x) {
		*context = hs_exchange_new(server, c, method, url);
		return MHD_YES;
	}
	if (*data_bytes) {
		hs_take_upload(x, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	/* Resumed without an answer: the caller hung up. */
	if (x->_is_gone)
		return MHD_NO;
	if (x->_is_too_large || x->_has_no_room)
		return hs_queue_refusal(x);
	if (!x->_was_handed_over) {
		x->_was_handed_over = true;
		/* From now on, the limits on running requests hold. */
		hs_charge(x, 0);
		server->_desc.on_request(server->_desc.arg, x);
	}
	if (x->_has_answer)
		return hs_queue_answer(x);
	hs_suspend(x);
	return MHD_YES;
}

static void hs_on_completed(void *arg, struct MHD_Connection *connection,
			    void **context, enum MHD_RequestTerminationCode how)
{
	struct hs_server *server = arg;
	struct hs_exchange *x = *context;

	if (!x)
		return;
	*context = NULL;
	if (x->_was_handed_over && server->_desc.on_closed)
		server->_desc.on_closed(server->_desc.arg, x);
	hs_exchange_free(x);
}

static ssize_t hs_read_stream(void *arg, uint64_t position, char *buffer,
			      size_t room)
{
	struct hs_exchange *x = arg;
	uint64_t left = x->_out->len - x->_out_offset;
	size_t bytes = left < room ? (size_t)left : room;

	if (x->_is_gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (bytes) {
		memcpy(buffer, x->_out->str + x->_out_offset, bytes);
		x->_out_offset += bytes;
		return (ssize_t)bytes;
	}
	if (x->_is_aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (x->_is_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	hs_suspend(x);
	return 0;
}

enum st_code hs_init(struct hs_server *server, const struct hs_desc *desc)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(desc->port) };
	const union MHD_DaemonInfo *info;

	memset(server, 0, sizeof(*server));
	server->_desc = *desc;
	if (!server->_desc.max_body_bytes)
		server->_desc.max_body_bytes = HS_DEFAULT_MAX_BODY_BYTES;
	if (!server->_desc.max_unfinished_bytes)
		server->_desc.max_unfinished_bytes =
			HS_DEFAULT_UNFINISHED_BYTES;
	ba_init(&server->_account, server->_desc.max_unfinished_bytes);
	if (!server->_desc.max_connections)
		server->_desc.max_connections = HS_DEFAULT_MAX_CONNECTIONS;
	if (!server->_desc.idle_timeout_s)
		server->_desc.idle_timeout_s = HS_DEFAULT_IDLE_TIMEOUT_S;
	if (inet_pton(AF_INET, desc->address, &address.sin_addr) != 1)
		return st_fail(ST_INVALID, "%s is no IP number", desc->address);
	server->_daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, desc->port, NULL,
		NULL, hs_on_access, server, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)server->_desc.max_connections,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HS_CONNECTION_MEMORY_BYTES,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)server->_desc.idle_timeout_s,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_NOTIFY_COMPLETED, hs_on_completed, server,
		MHD_OPTION_END);
	if (!server->_daemon)
		return st_fail(ST_UNAVAILABLE, "cannot listen on %s:%u",
			       desc->address, desc->port);
	info = MHD_get_daemon_info(server->_daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&server->_io, hs_on_io, info->epoll_fd, EV_READ);
	server->_io.data = server;
	ev_io_start(desc->loop, &server->_io);
	ev_timer_init(&server->_timer, hs_on_timer, 0.0, 0.0);
	server->_timer.data = server;
	ev_prepare_init(&server->_prepare, hs_on_prepare);
	server->_prepare.data = server;
	/* Last of the prepare watchers, after the kernel's messages. */
	ev_set_priority(&server->_prepare, EV_MINPRI);
	ev_prepare_start(desc->loop, &server->_prepare);
	return ST_OK;
}

void hs_finish(struct hs_server *server)
{
	struct ev_loop *loop = server->_desc.loop;

	if (!server->_daemon)
		return;
	/* libmicrohttpd must not be stopped with suspended connections. */
	for (struct hs_exchange *x = server->_exchanges; x; x = x->_next) {
		x->_is_gone = true;
		hs_resume(x);
	}
	MHD_run(server->_daemon);
	ev_io_stop(loop, &server->_io);
	ev_timer_stop(loop, &server->_timer);
	ev_prepare_stop(loop, &server->_prepare);
	MHD_stop_daemon(server->_daemon);
	memset(server, 0, sizeof(*server));
}

void hs_quiesce(struct hs_server *server)
{
	int listen_fd;

	if (server->_is_quiesced)
		return;
	server->_is_quiesced = true;
	listen_fd = MHD_quiesce_daemon(server->_daemon);
	/* Closed at once, so that new callers are refused and not left. */
	if (listen_fd >= 0)
		close(listen_fd);
}

uint16_t hs_port(const struct hs_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->_daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

const char *hs_header(struct hs_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(x->_connection, MHD_HEADER_KIND,
					   name);
}

const char *hs_query(struct hs_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(x->_connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

struct hs_each {
	void (*fn)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result hs_on_pair(void *arg, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	struct hs_each *each = arg;

	each->fn(each->arg, name, value);
	return MHD_YES;
}

void hs_each_header(struct hs_exchange *x,
		    void (*fn)(void *arg, const char *name, const char *value),
		    void *arg)
{
	struct hs_each each = { fn, arg };

	MHD_get_connection_values(x->_connection, MHD_HEADER_KIND, hs_on_pair,
				  &each);
}

static void hs_append_parameter(void *arg, const char *name, const char *value)
{
	GString *out = arg;

	g_string_append_uri_escaped(out, name, NULL, FALSE);
	if (value) {
		g_string_append_c(out, '=');
		g_string_append_uri_escaped(out, value, NULL, FALSE);
	}
	g_string_append_c(out, '&');
}

void hs_append_query(struct hs_exchange *x, GString *out)
{
	struct hs_each each = { hs_append_parameter, out };
	gsize before = out->len;

	g_string_append_c(out, '?');
	MHD_get_connection_values(x->_connection, MHD_GET_ARGUMENT_KIND,
				  hs_on_pair, &each);
	/* The last separator, or the question mark of no parameters. */
	g_string_truncate(out, MAX(before, out->len - 1));
}

static void hs_queue(struct hs_exchange *x, uint32_t status,
		     const struct hs_header *headers,
		     struct MHD_Response *response)
{
	for (const struct hs_header *h = headers; h && h->name; h++)
		MHD_add_response_header(response, h->name, h->value);
	if (x->_server->_is_quiesced)
		MHD_add_response_header(response, "Connection", "close");
	x->_has_answer = true;
	x->_response = response;
	x->_status = status;
	hs_resume(x);
}

void hs_respond(struct hs_exchange *x, uint32_t status,
		const struct hs_header *headers, const void *body,
		uint64_t bytes)
{
	if (x->_has_answer || x->_is_gone)
		return;
	hs_queue(x, status, headers,
		 MHD_create_response_from_buffer(bytes, (void *)body,
						 MHD_RESPMEM_MUST_COPY));
}

void hs_begin(struct hs_exchange *x, uint32_t status,
	      const struct hs_header *headers)
{
	if (x->_has_answer || x->_is_gone)
		return;
	hs_queue(x, status, headers,
		 MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
						   HS_STREAM_BLOCK_BYTES,
						   hs_read_stream, x, NULL));
}

void hs_write(struct hs_exchange *x, const void *data, uint64_t bytes)
{
	if (x->_is_ended || x->_is_aborted || x->_is_gone)
		return;
	if (x->_out_offset >= HS_COMPACT_BYTES) {
		g_string_erase(x->_out, 0, (gssize)x->_out_offset);
		x->_out_offset = 0;
	}
	g_string_append_len(x->_out, data, (gssize)bytes);
	hs_resume(x);
}

void hs_end(struct hs_exchange *x)
{
	x->_is_ended = true;
	hs_resume(x);
}

void hs_abort(struct hs_exchange *x)
{
	x->_is_aborted = true;
	hs_resume(x);
}

void hs_drop_body(struct hs_exchange *x)
{
	g_string_free(x->body, TRUE);
	x->body = g_string_new(NULL);
}

uint64_t hs_unsent_bytes(const struct hs_exchange *x)
{
	return x->_out->len - x->_out_offset;
}
