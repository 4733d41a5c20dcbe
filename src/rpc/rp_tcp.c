#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/ck.h"
#include "rpc/rp_private.h"

#define RP_TCP_BACKLOG	  128
#define RP_TCP_READ_BYTES 65536
/* Half of the connections are ours, so that peers cannot use them all up. */
#define RP_MAX_CONNECTIONS_EACH_WAY (RP_MAX_CONNECTIONS / 2)

MT_COUNTER(rp_connections_refused, "balsampin_rpc_connections_refused_total",
	   "connections over the limit")
MT_COUNTER(rp_records_malformed, "balsampin_rpc_records_malformed_total",
	   "connections closed for a bad or oversized record")
MT_COUNTER(rp_records_without_room, "balsampin_rpc_records_without_room_total",
	   "connections closed as there was no room for their record")
MT_GAUGE(rp_connections, "balsampin_rpc_connections",
	 "open TCP connections of the endpoint")
MT_COUNTER(rp_tcp_received, "balsampin_rpc_tcp_received_bytes_total",
	   "bytes read from connections, record marks included")
MT_COUNTER(rp_tcp_sent, "balsampin_rpc_tcp_sent_bytes_total",
	   "bytes written to connections, record marks included")

/* The memory of a record grows by doubling. */
static void rp_set_buffered(struct _rp_conn *conn, uint32_t record_bytes)
{
	uint64_t bytes = 1;

	while (bytes < record_bytes)
		bytes <<= 1;
	if (!record_bytes)
		bytes = 0;
	conn->state->buffered_bytes += bytes - conn->buffered_bytes;
	if (conn->state->account)
		ba_charge(conn->state->account, BA_PEERS,
			  (int64_t)(bytes - conn->buffered_bytes));
	conn->buffered_bytes = bytes;
}

/*
 * Whether the peers' records leave room for so much more. That of a lone one
 * is always there: a table of the store may be larger than the rest. What
 * callers hold does not count, so that they can't cut a host off from others.
 */
static bool rp_may_buffer(const struct _rp_conn *conn, uint32_t bytes)
{
	const struct _rp_state *s = conn->state;
	uint64_t most = 2 * (uint64_t)(rp_record_bytes(&conn->record) + bytes);
	uint64_t more =
		most > conn->buffered_bytes ? most - conn->buffered_bytes : 0;

	if (s->buffered_bytes == conn->buffered_bytes)
		return true;
	return s->buffered_bytes + more <= RP_MAX_BUFFERED_BYTES &&
	       (!s->account || ba_fits_kind(s->account, BA_PEERS, more));
}

static void rp_conn_close(struct _rp_conn *conn)
{
	struct _rp_state *s = conn->state;
	struct _rp_out *out;

	ev_io_stop(s->loop, &conn->readable);
	ev_io_stop(s->loop, &conn->writable);
	close(conn->fd);
	g_ptr_array_remove_fast(s->conns, conn);
	s->conn_count[conn->is_outgoing]--;
	mt_add(&rp_connections, -1);
	rp_set_buffered(conn, 0);
	for (GList *l = s->requests.head; l; l = l->next) {
		struct rp_request *request = l->data;

		if (request->conn == conn)
			request->conn = NULL;
	}
	rp_calls_conn_closed(s, conn);
	while ((out = g_queue_pop_head(&conn->out)))
		g_free(out);
	rp_record_finish(&conn->record);
	g_free(conn);
}

static void rp_conn_on_record(void *arg, const uint8_t *data, uint32_t bytes)
{
	struct _rp_conn *conn = arg;

	rp_receive(conn->state, conn, conn->ipv4, conn->port, data, bytes);
}

/* Returns false once the connection is of no more use. */
static bool rp_conn_feed(struct _rp_conn *conn, const uint8_t *data,
			 uint32_t bytes)
{
	bool ok;

	conn->received++;
	conn->active_ms = ck_now_ms();
	if (!rp_may_buffer(conn, bytes)) {
		mt_add(&rp_records_without_room, 1);
		return false;
	}
	ok = rp_record_feed(&conn->record, data, bytes, rp_conn_on_record,
			    conn);
	rp_set_buffered(conn, rp_record_bytes(&conn->record));
	if (!ok)
		mt_add(&rp_records_malformed, 1);
	return ok;
}

static void rp_conn_read(struct ev_loop *loop, ev_io *io, int events)
{
	static uint8_t data[RP_TCP_READ_BYTES];
	struct _rp_conn *conn = io->data;
	ssize_t n = read(conn->fd, data, sizeof(data));
	bool ok;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0)
		mt_add(&rp_tcp_received, n);
	conn->is_reading = true;
	ok = n > 0 && rp_conn_feed(conn, data, (uint32_t)n);
	conn->is_reading = false;
	if (!ok)
		rp_conn_close(conn);
}

static bool rp_conn_is_connected(struct _rp_conn *conn)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0 ||
	    error)
		return false;
	conn->is_connecting = false;
	conn->active_ms = ck_now_ms();
	ev_io_start(conn->state->loop, &conn->readable);
	return true;
}

/* Returns false if the connection broke. */
static bool rp_conn_flush(struct _rp_conn *conn)
{
	struct _rp_out *out;
	ssize_t n;

	while ((out = g_queue_peek_head(&conn->out))) {
		n = send(conn->fd, out->data + out->written,
			 out->bytes - out->written, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		mt_add(&rp_tcp_sent, n);
		conn->active_ms = ck_now_ms();
		out->written += (uint32_t)n;
		if (out->call)
			out->call->is_sent = true;
		if (out->written < out->bytes)
			return true;
		conn->out_bytes -= out->bytes;
		g_free(g_queue_pop_head(&conn->out));
	}
	ev_io_stop(conn->state->loop, &conn->writable);
	return true;
}

static void rp_conn_write(struct ev_loop *loop, ev_io *io, int events)
{
	struct _rp_conn *conn = io->data;

	if (conn->is_connecting && !rp_conn_is_connected(conn)) {
		rp_conn_close(conn);
		return;
	}
	if (!rp_conn_flush(conn))
		rp_conn_close(conn);
}

static struct _rp_conn *rp_conn_new(struct _rp_state *s, int fd,
				    const struct sockaddr_in *peer,
				    bool is_outgoing)
{
	struct _rp_conn *conn = g_new0(struct _rp_conn, 1);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->state = s;
	conn->fd = fd;
	conn->ipv4 = ntohl(peer->sin_addr.s_addr);
	conn->port = ntohs(peer->sin_port);
	conn->is_outgoing = is_outgoing;
	conn->active_ms = ck_now_ms();
	g_queue_init(&conn->out);
	rp_record_init(&conn->record, RP_MAX_RECORD_BYTES);
	ev_io_init(&conn->readable, rp_conn_read, fd, EV_READ);
	ev_io_init(&conn->writable, rp_conn_write, fd, EV_WRITE);
	conn->readable.data = conn;
	conn->writable.data = conn;
	g_ptr_array_add(s->conns, conn);
	s->conn_count[is_outgoing]++;
	mt_add(&rp_connections, 1);
	return conn;
}

static void rp_tcp_accept(struct ev_loop *loop, ev_io *io, int events)
{
	struct _rp_state *s = io->data;
	struct sockaddr_in peer;
	socklen_t length = sizeof(peer);
	int fd = accept4(s->listen_fd, (struct sockaddr *)&peer, &length,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0) {
		/* Out of descriptors: the sweep starts the watcher again. */
		if (errno == EMFILE || errno == ENFILE)
			ev_io_stop(s->loop, &s->listen_io);
		return;
	}
	if (s->conn_count[false] == RP_MAX_CONNECTIONS_EACH_WAY) {
		mt_add(&rp_connections_refused, 1);
		close(fd);
		return;
	}
	ev_io_start(s->loop, &rp_conn_new(s, fd, &peer, false)->readable);
}

/* Makes room for another outgoing connection; false if all are in use. */
static bool rp_tcp_close_idlest(struct _rp_state *s)
{
	struct _rp_conn *idlest = NULL;

	for (uint32_t i = 0; i < s->conns->len; i++) {
		struct _rp_conn *conn = g_ptr_array_index(s->conns, i);

		if (conn->is_outgoing && !conn->pending && !conn->is_reading &&
		    !conn->out.length &&
		    (!idlest || conn->active_ms < idlest->active_ms))
			idlest = conn;
	}
	if (idlest)
		rp_conn_close(idlest);
	return idlest != NULL;
}

static struct _rp_conn *rp_tcp_connect(struct _rp_state *s, uint32_t ipv4,
				       uint16_t port)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct _rp_conn *conn;
	int fd;

	if (s->conn_count[true] == RP_MAX_CONNECTIONS_EACH_WAY &&
	    !rp_tcp_close_idlest(s)) {
		mt_add(&rp_connections_refused, 1);
		return NULL;
	}
	to.sin_addr.s_addr = htonl(ipv4);
	to.sin_port = htons(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	conn = rp_conn_new(s, fd, &to, true);
	conn->is_connecting = true;
	ev_io_start(s->loop, &conn->writable);
	return conn;
}

struct _rp_conn *rp_tcp_target(struct _rp_state *s, uint32_t ipv4,
			       uint16_t port)
{
	for (uint32_t i = 0; i < s->conns->len; i++) {
		struct _rp_conn *conn = g_ptr_array_index(s->conns, i);

		if (conn->is_outgoing && !conn->is_retired &&
		    conn->ipv4 == ipv4 && conn->port == port)
			return conn;
	}
	return rp_tcp_connect(s, ipv4, port);
}

struct _rp_out *rp_tcp_out_new(uint32_t capacity)
{
	struct _rp_out *out =
		g_malloc(sizeof(*out) + RP_RECORD_MARK_BYTES + capacity);

	*out = (struct _rp_out){ 0 };
	return out;
}

enum st_code rp_tcp_queue(struct _rp_conn *conn, struct _rp_out *out)
{
	if (conn->out_bytes + out->bytes > RP_MAX_UNSENT_BYTES) {
		g_free(out);
		return st_fail(ST_UNAVAILABLE, "connection is backed up");
	}
	conn->out_bytes += out->bytes;
	g_queue_push_tail(&conn->out, out);
	ev_io_start(conn->state->loop, &conn->writable);
	return ST_OK;
}

void rp_tcp_take_back(struct _rp_conn *conn, struct _rp_call *call)
{
	for (GList *l = conn->out.head; l; l = l->next) {
		struct _rp_out *out = l->data;

		if (out->call != call)
			continue;
		out->call = NULL;
		if (!out->written) {
			conn->out_bytes -= out->bytes;
			g_queue_delete_link(&conn->out, l);
			g_free(out);
		}
		return;
	}
}

/* The caller's end closes first, so that no call meets a closing peer. */
static int64_t rp_conn_idle_limit_ms(const struct _rp_conn *conn)
{
	return conn->is_outgoing ? conn->state->idle_ms
				 : conn->state->idle_ms * 2;
}

static void rp_tcp_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct _rp_state *s = timer->data;
	int64_t now_ms = ck_now_ms();

	ev_io_start(s->loop, &s->listen_io);
	for (uint32_t i = s->conns->len; i-- > 0;) {
		struct _rp_conn *conn = g_ptr_array_index(s->conns, i);

		if (conn->pending)
			continue;
		if (conn->is_retired ||
		    now_ms - conn->active_ms >= rp_conn_idle_limit_ms(conn))
			rp_conn_close(conn);
	}
}

static enum st_code rp_tcp_listen(struct _rp_state *s)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t length = sizeof(at);
	int one = 1;

	at.sin_addr.s_addr = htonl(s->ipv4);
	at.sin_port = htons(s->port);
	s->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (s->listen_fd < 0)
		return st_fail(ST_UNAVAILABLE, "socket: %s", strerror(errno));
	setsockopt(s->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(s->listen_fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(s->listen_fd, RP_TCP_BACKLOG) < 0 ||
	    getsockname(s->listen_fd, (struct sockaddr *)&at, &length) < 0)
		return st_fail(ST_UNAVAILABLE, "TCP port %u: %s", s->port,
			       strerror(errno));
	s->port = ntohs(at.sin_port);
	return ST_OK;
}

enum st_code rp_tcp_open(struct _rp_state *s)
{
	enum st_code code = rp_tcp_listen(s);
	double sweep_s;

	if (code != ST_OK) {
		if (s->listen_fd >= 0)
			close(s->listen_fd);
		s->listen_fd = -1;
		return code;
	}
	s->conns = g_ptr_array_new();
	ev_io_init(&s->listen_io, rp_tcp_accept, s->listen_fd, EV_READ);
	s->listen_io.data = s;
	ev_io_start(s->loop, &s->listen_io);
	sweep_s = (double)s->idle_ms / 1000. / RP_SWEEPS_EACH_IDLE;
	ev_timer_init(&s->sweep, rp_tcp_sweep, sweep_s, sweep_s);
	s->sweep.data = s;
	ev_timer_start(s->loop, &s->sweep);
	return ST_OK;
}

void rp_tcp_close(struct _rp_state *s)
{
	if (s->listen_fd < 0)
		return;
	ev_io_stop(s->loop, &s->listen_io);
	ev_timer_stop(s->loop, &s->sweep);
	for (uint32_t i = s->conns->len; i-- > 0;)
		rp_conn_close(g_ptr_array_index(s->conns, i));
	g_ptr_array_unref(s->conns);
	close(s->listen_fd);
	s->listen_fd = -1;
}
