#include "http1/h1_message.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "kernel/ba.h"

/* Memory that an idle connection keeps for each of its texts. */
#define H1_KEPT_BYTES (2u << 10)
/* Probes of a silent connection: the first one, and the time between them. */
#define H1_KEEPALIVE_IDLE_S	1
#define H1_KEEPALIVE_INTERVAL_S 1
#define H1_KEEPALIVE_PROBES	2

void h1_collector_init(struct h1_collector *c)
{
	h1_headers_init(&c->headers);
	c->_name = g_string_sized_new(32);
	c->_value = g_string_sized_new(128);
	c->_is_in_value = false;
	c->bytes = 0;
}

void h1_collector_finish(struct h1_collector *c)
{
	if (!c->_name)
		return;
	h1_headers_finish(&c->headers);
	g_string_free(c->_name, TRUE);
	g_string_free(c->_value, TRUE);
	c->_name = NULL;
}

void h1_collector_clear(struct h1_collector *c)
{
	h1_headers_clear(&c->headers);
	h1_release(&c->_name);
	h1_release(&c->_value);
	c->_is_in_value = false;
	c->bytes = 0;
}

void h1_collector_end(struct h1_collector *c)
{
	if (c->_name->len)
		h1_headers_add(&c->headers, c->_name->str, c->_value->str);
	g_string_truncate(c->_name, 0);
	g_string_truncate(c->_value, 0);
	c->_is_in_value = false;
}

void h1_collector_field(struct h1_collector *c, const char *at, size_t bytes)
{
	if (c->_is_in_value)
		h1_collector_end(c);
	g_string_append_len(c->_name, at, bytes);
	c->bytes += bytes;
}

void h1_collector_value(struct h1_collector *c, const char *at, size_t bytes)
{
	c->_is_in_value = true;
	g_string_append_len(c->_value, at, bytes);
	c->bytes += bytes;
}

uint64_t h1_collector_bytes(const struct h1_collector *c)
{
	return h1_headers_bytes(&c->headers) + ba_text_bytes(c->_name) +
	       ba_text_bytes(c->_value);
}

void h1_release(GString **text)
{
	if ((*text)->allocated_len <= H1_KEPT_BYTES) {
		g_string_truncate(*text, 0);
		return;
	}
	g_string_free(*text, TRUE);
	*text = g_string_new(NULL);
}

static void h1_set(int fd, int level, int name, int value)
{
	/* An option that is refused costs time, never correctness. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

void h1_set_unacknowledged_ms(int fd, int64_t unacknowledged_ms)
{
	h1_set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

void h1_set_options(int fd, int64_t unacknowledged_ms)
{
	(void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	(void)fcntl(fd, F_SETFD, FD_CLOEXEC);
	h1_set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	h1_set_unacknowledged_ms(fd, unacknowledged_ms);
	h1_set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	h1_set(fd, IPPROTO_TCP, TCP_KEEPIDLE, H1_KEEPALIVE_IDLE_S);
	h1_set(fd, IPPROTO_TCP, TCP_KEEPINTVL, H1_KEEPALIVE_INTERVAL_S);
	h1_set(fd, IPPROTO_TCP, TCP_KEEPCNT, H1_KEEPALIVE_PROBES);
}
