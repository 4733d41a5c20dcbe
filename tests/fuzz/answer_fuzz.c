/*
 * answer_fuzz - answers of upstreams, as bytes on a connection.
 *
 * The first byte says in pieces of which size the rest is written the second
 * time; the first time it is written at once. Whatever comes: both calls end in
 * the same way with the same body, a whole answer has a final status, and no
 * connection is left but one that is kept.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http1/h1_client.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

#define FUZZ_TURNS_MAX 100000

struct fuzz_seen {
	bool is_done;
	enum h1_outcome outcome;
	uint32_t heads;
	uint32_t status;
	GString *body;
};

static struct ev_loop *fuzz_loop;
static struct h1_peer fuzz_peer;
static struct h1_headers fuzz_headers;
static int fuzz_listener;

static void fuzz_start(void)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);

	fuzz_loop = ev_loop_new(EVFLAG_AUTO);
	fuzz_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fuzz_listener, (struct sockaddr *)&at, bytes) ||
	    listen(fuzz_listener, 4) ||
	    getsockname(fuzz_listener, (struct sockaddr *)&at, &bytes))
		abort();
	h1_headers_init(&fuzz_headers);
	h1_peer_init(&fuzz_peer, fuzz_loop, INADDR_LOOPBACK,
		     ntohs(at.sin_port));
}

static bool fuzz_on_head(void *arg, uint32_t status,
			 const struct h1_headers *headers)
{
	struct fuzz_seen *seen = arg;

	seen->heads++;
	seen->status = status;
	return true;
}

static void fuzz_on_body(void *arg, const char *data, uint64_t bytes)
{
	g_string_append_len(((struct fuzz_seen *)arg)->body, data, bytes);
}

static void fuzz_on_done(void *arg, enum h1_outcome outcome)
{
	struct fuzz_seen *seen = arg;

	seen->is_done = true;
	seen->outcome = outcome;
}

/* The peer's end of the call's connection, on which the request has come. */
static int fuzz_accept(void)
{
	char request[1024];
	int fd = -1;

	for (int i = 0; i < FUZZ_TURNS_MAX; i++) {
		ev_run(fuzz_loop, EVRUN_NOWAIT);
		if (fd < 0)
			fd = accept4(fuzz_listener, NULL, NULL, SOCK_NONBLOCK);
		if (fd >= 0 && recv(fd, request, sizeof(request), 0) > 0)
			return fd;
	}
	abort();
}

static void fuzz_answer(const uint8_t *data, size_t bytes, size_t piece,
			struct fuzz_seen *seen)
{
	struct h1_call call = { 0 };
	int fd;

	h1_call_start(&call, &(struct h1_call_desc){ .peer = &fuzz_peer,
						     .method = "GET",
						     .target = "/x",
						     .headers = &fuzz_headers,
						     .connect_timeout_ms = 5000,
						     .on_head = fuzz_on_head,
						     .on_body = fuzz_on_body,
						     .on_done = fuzz_on_done,
						     .arg = seen });
	fd = fuzz_accept();
	for (size_t at = 0; at < bytes && !seen->is_done; at += piece) {
		size_t n = bytes - at < piece ? bytes - at : piece;

		if (send(fd, data + at, n, MSG_NOSIGNAL) < 0)
			break;
		ev_run(fuzz_loop, EVRUN_NOWAIT);
	}
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < FUZZ_TURNS_MAX && !seen->is_done; i++)
		ev_run(fuzz_loop, EVRUN_NOWAIT);
	h1_peer_close_idle(&fuzz_peer);
	close(fd);
	if (!seen->is_done || fuzz_peer.open)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	struct fuzz_seen whole = { 0 }, pieces = { 0 };

	if (!fuzz_loop)
		fuzz_start();
	if (bytes < 2)
		return 0;
	whole.body = g_string_new(NULL);
	pieces.body = g_string_new(NULL);
	fuzz_answer(data + 1, bytes - 1, bytes, &whole);
	fuzz_answer(data + 1, bytes - 1, (size_t)data[0] % 64 + 1, &pieces);
	if (whole.outcome != pieces.outcome || whole.heads != pieces.heads ||
	    whole.status != pieces.status ||
	    !g_string_equal(whole.body, pieces.body))
		abort();
	if (whole.outcome == H1_DONE &&
	    (whole.heads != 1 || whole.status < 200 || whole.status > 599))
		abort();
	g_string_free(whole.body, TRUE);
	g_string_free(pieces.body, TRUE);
	return 0;
}
