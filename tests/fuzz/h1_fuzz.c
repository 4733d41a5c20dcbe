/*
 * h1_fuzz - requests of callers, as bytes on a connection.
 *
 * The first byte says in pieces of which size the rest is written. Whatever
 * comes: after the caller has closed, no connection is left, and the account
 * of bytes is back at zero. Small limits make refusals and dropped bodies
 * frequent.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http1/h1_server.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

#define FUZZ_TURNS_MAX 10000

static struct ev_loop *fuzz_loop;
static struct h1_server fuzz_server;
static struct h1_guard fuzz_guard;
static struct ba_account fuzz_account;

static void fuzz_on_request(void *arg, struct h1_exchange *x)
{
	if (x->is_body_dropped && x->body->len)
		abort();
	h1_respond(x, 200, NULL, x->body->str, x->body->len);
}

static bool fuzz_on_head(void *arg, const struct h1_exchange *x)
{
	return x->target[1] != 'n';
}

static void fuzz_start(void)
{
	fuzz_loop = ev_loop_new(EVFLAG_AUTO);
	ba_init(&fuzz_account, 8192);
	h1_guard_init(&fuzz_guard, &fuzz_account);
	if (h1_server_init(&fuzz_server,
			   &(struct h1_server_desc){
				   .loop = fuzz_loop,
				   .address = "127.0.0.1",
				   .limits = { .max_header_bytes = 1500,
					       .max_body_bytes = 2500,
					       .max_fields = 20 },
				   .on_request = fuzz_on_request,
				   .on_head = fuzz_on_head,
				   .guard = &fuzz_guard }) != ST_OK)
		abort();
}

static int fuzz_connect(void)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_port = htons(h1_server_port(&fuzz_server));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)))
		abort();
	/* Thousands of runs would use up the ports otherwise. */
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return fd;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	size_t piece;
	int fd;

	if (!fuzz_loop)
		fuzz_start();
	if (bytes < 2)
		return 0;
	piece = (size_t)data[0] * 8 + 1;
	fd = fuzz_connect();
	for (size_t at = 1; at < bytes; at += piece) {
		size_t n = bytes - at < piece ? bytes - at : piece;

		if (send(fd, data + at, n, MSG_NOSIGNAL) < 0)
			break;
		ev_run(fuzz_loop, EVRUN_NOWAIT);
	}
	ev_run(fuzz_loop, EVRUN_NOWAIT);
	close(fd);
	for (int i = 0; i < FUZZ_TURNS_MAX && h1_server_open(&fuzz_server); i++)
		ev_run(fuzz_loop, EVRUN_NOWAIT);
	if (h1_server_open(&fuzz_server) || h1_server_busy(&fuzz_server) ||
	    ba_held_bytes(&fuzz_account))
		abort();
	return 0;
}
