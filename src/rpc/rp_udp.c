#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rpc/rp_private.h"

/* Datagrams read in one go, so that a flood leaves the loop responsive. */
#define RP_UDP_BATCH		 64
#define RP_UDP_RECEIVE_BUF_BYTES (1 << 20)

MT_COUNTER(rp_datagrams_oversized, "balsampin_rpc_datagrams_oversized_total",
	   "datagrams longer than any that a process sends")
MT_COUNTER(rp_datagrams_unsent, "balsampin_rpc_datagrams_unsent_total",
	   "datagrams that the socket did not take")
MT_COUNTER(rp_udp_received, "balsampin_rpc_udp_received_bytes_total",
	   "payload of the datagrams read")
MT_COUNTER(rp_udp_sent, "balsampin_rpc_udp_sent_bytes_total",
	   "payload of the datagrams sent")

static void rp_udp_read(struct ev_loop *loop, ev_io *io, int events)
{
	struct _rp_state *s = io->data;
	uint8_t data[RP_MAX_DATAGRAM_BYTES + 1] __attribute__((aligned(8)));
	struct sockaddr_in from = { 0 };
	socklen_t length;
	ssize_t n;

	for (int i = 0; i < RP_UDP_BATCH; i++) {
		length = sizeof(from);
		n = recvfrom(s->udp_fd, data, sizeof(data), 0,
			     (struct sockaddr *)&from, &length);
		if (n < 0)
			return;
		mt_add(&rp_udp_received, n);
		if (n > RP_MAX_DATAGRAM_BYTES) {
			mt_add(&rp_datagrams_oversized, 1);
			continue;
		}
		rp_receive(s, NULL, ntohl(from.sin_addr.s_addr),
			   ntohs(from.sin_port), data, (uint32_t)n);
	}
}

enum st_code rp_udp_open(struct _rp_state *s)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int bytes = RP_UDP_RECEIVE_BUF_BYTES;

	at.sin_addr.s_addr = htonl(s->ipv4);
	at.sin_port = htons(s->port);
	s->udp_fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (s->udp_fd < 0)
		return st_fail(ST_UNAVAILABLE, "socket: %s", strerror(errno));
	if (bind(s->udp_fd, (struct sockaddr *)&at, sizeof(at)) < 0) {
		st_fail(ST_UNAVAILABLE, "UDP port %u: %s", s->port,
			strerror(errno));
		close(s->udp_fd);
		s->udp_fd = -1;
		return ST_UNAVAILABLE;
	}
	setsockopt(s->udp_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	ev_io_init(&s->udp_io, rp_udp_read, s->udp_fd, EV_READ);
	s->udp_io.data = s;
	ev_io_start(s->loop, &s->udp_io);
	return ST_OK;
}

void rp_udp_close(struct _rp_state *s)
{
	if (s->udp_fd < 0)
		return;
	ev_io_stop(s->loop, &s->udp_io);
	close(s->udp_fd);
	s->udp_fd = -1;
}

enum st_code rp_udp_send(struct _rp_state *s, uint32_t ipv4, uint16_t port,
			 const uint8_t *data, uint32_t bytes)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	ssize_t n;

	to.sin_addr.s_addr = htonl(ipv4);
	to.sin_port = htons(port);
	n = sendto(s->udp_fd, data, bytes, 0, (struct sockaddr *)&to,
		   sizeof(to));
	if (n == (ssize_t)bytes) {
		mt_add(&rp_udp_sent, n);
		return ST_OK;
	}
	mt_add(&rp_datagrams_unsent, 1);
	return st_fail(ST_UNAVAILABLE, "sendto: %s", strerror(errno));
}
