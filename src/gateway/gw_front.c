/* HTTP servers for callers, readiness checks and metrics. */
#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/mt_family.h"

/* Part of the memory of a process for what its callers' connections hold. */
#define GW_CALLERS_SHARE 4

struct gw_front {
	struct gw_gateway *gateway;
	struct h1_server callers;
	struct h1_server readiness;
	struct h1_server metrics;
};

static void gw_on_request(void *arg, struct h1_exchange *x)
{
	gw_request_new(arg, x);
}

static void gw_on_gone(void *arg, struct h1_exchange *x)
{
	gw_request_caller_left(x->arg);
}

/* The limits of the configuration, or of memory, or no HTTP. */
static void gw_on_refused(void *arg, const struct h1_headers *headers,
			  uint32_t status)
{
	struct gw_gateway *g = arg;
	struct dl_request in = { 0 };
	char text[12], held[24];

	g->dialect->read_request(headers, &in);
	g_snprintf(text, sizeof(text), "%u", status);
	g_snprintf(held, sizeof(held), "%" G_GUINT64_FORMAT,
		   h1_server_held_bytes(&g->front->callers));
	lg_info("request refused before it was read", "event",
		"request_refused", "request", in.attempt ? in.attempt : "",
		"status", text, "held_bytes", held, NULL);
}

static void gw_on_readiness(void *arg, struct h1_exchange *x)
{
	struct gw_gateway *g = arg;

	h1_respond(x, gw_is_ready(g, ck_now_ms()) ? 200 : 503, NULL, NULL, 0);
}

static void gw_on_metrics(void *arg, struct h1_exchange *x)
{
	struct h1_headers headers;
	GString *out = g_string_new(NULL);

	h1_headers_init(&headers);
	h1_headers_add(&headers, "Content-Type",
		       "text/plain; version=0.0.4; charset=utf-8");
	mt_print(out);
	mt_family_print(out);
	h1_respond(x, 200, &headers, out->str, out->len);
	h1_headers_finish(&headers);
	g_string_free(out, TRUE);
}

/*
 * Bodies are copied once more on their way to an engine, and answers are
 * collected beside them; the rest is for what the process knows.
 */
static uint64_t gw_callers_budget_bytes(int64_t memory_mb)
{
	return ((uint64_t)memory_mb << 20) / GW_CALLERS_SHARE;
}

bool gw_is_ready(const struct gw_gateway *g, int64_t now_ms)
{
	int64_t age_ms = now_ms - g->config_fresh_ms;

	return g->catalog && g->has_fleet && !g->stop_ms &&
	       age_ms <= gw_max_key_age_ms(g->settings.revoke_ms);
}

/* @handlers: the functions of the server; the rest follows from the settings.
 */
static enum st_code gw_listen(struct gw_gateway *g, struct h1_server *server,
			      const struct gw_listen *at,
			      const struct h1_server_desc *handlers)
{
	struct h1_server_desc desc = *handlers;

	if (!at->address[0])
		return ST_OK;
	desc.loop = g->kernel.loop;
	desc.address = at->address;
	desc.port = at->port;
	desc.limits.unread_timeout_ms = g->settings.unread_ms;
	desc.arg = g;
	return h1_server_init(server, &desc);
}

enum st_code gw_front_start(struct gw_gateway *g)
{
	struct gw_front *front = g_new0(struct gw_front, 1);
	const struct gw_settings *s = &g->settings;
	enum st_code code;

	g->front = front;
	front->gateway = g;
	code = gw_listen(
		g, &front->callers, &s->callers,
		&(struct h1_server_desc){ .on_request = gw_on_request,
					  .on_gone = gw_on_gone,
					  .on_refused = gw_on_refused });
	if (code == ST_OK)
		code = gw_listen(g, &front->readiness, &s->readiness,
				 &(struct h1_server_desc){
					 .on_request = gw_on_readiness });
	if (code == ST_OK)
		code = gw_listen(g, &front->metrics, &s->metrics,
				 &(struct h1_server_desc){
					 .on_request = gw_on_metrics });
	gw_front_limit(g);
	return code;
}

void gw_front_stop(struct gw_gateway *g)
{
	struct gw_front *front = g->front;

	if (!front)
		return;
	h1_server_finish(&front->callers);
	h1_server_finish(&front->readiness);
	h1_server_finish(&front->metrics);
	g_free(front);
	g->front = NULL;
}

void gw_front_drain(struct gw_gateway *g)
{
	h1_server_drain(&g->front->callers);
	h1_server_close_idle(&g->front->callers);
}

uint32_t gw_front_busy(const struct gw_gateway *g)
{
	return h1_server_busy(&g->front->callers);
}

void gw_front_limit(struct gw_gateway *g)
{
	const struct ca_limits *from;
	struct h1_limits *to;

	if (!g->front)
		return;
	to = &g->front->callers.limits;
	to->max_held_bytes = gw_callers_budget_bytes(g->settings.memory_mb);
	if (g->settings.unread_ms)
		to->unread_timeout_ms = g->settings.unread_ms;
	if (!g->catalog)
		return;
	from = &g->catalog->limits;
	if (from->max_header_bytes)
		to->max_header_bytes = from->max_header_bytes;
	if (from->max_body_bytes)
		to->max_body_bytes = from->max_body_bytes;
	if (from->header_timeout_ms)
		to->header_timeout_ms = from->header_timeout_ms;
	if (from->idle_timeout_ms)
		to->idle_timeout_ms = from->idle_timeout_ms;
}
