/* HTTP servers for callers, readiness checks and metrics. */
#include <string.h>
#include <sys/resource.h>

#include "gateway/gw.h"
#include "gateway/gw_request.h"
#include "gateway/gw_via.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/mt_family.h"

/*
 * Part of the memory of a process for what others make it hold. The rest is for
 * what the process knows, for what connections are guaranteed, and for answers
 * that are collected.
 */
#define GW_HELD_SHARE 3
/* Part of that for records of other hosts. */
#define GW_PEERS_SHARE 4
/* A whole body, and its copy on the way to an upstream, fit in any case. */
#define GW_BODY_COPIES	     2
#define GW_BEYOND_BODY_BYTES (1u << 20)
/* Descriptors of the process itself, of the store and of the other hosts. */
#define GW_OWN_FDS	 16
#define GW_OWN_FDS_SHARE 8
#define GW_OWN_FDS_MAX	 320
/* Lines about refused and closed callers each second; the rest is counted. */
#define GW_LINES_PER_S 10
/* A metrics page is sent only if there is so much room for it. */
#define GW_METRICS_BYTES (64u << 10)
/*
 * Metrics pages made each second; whoever asks more often gets the last one.
 * Pipelined requests for them kept the loop from callers' requests.
 */
#define GW_METRICS_PER_S 20

MT_COUNTER(gw_lines_left_out, "balsampin_caller_lines_left_out_total",
	   "log lines about refused or closed callers that were left out")

struct gw_front {
	struct gw_gateway *gateway;
	struct h1_server callers;
	struct h1_server via;
	struct h1_server readiness;
	struct h1_server metrics;
	struct h1_guard guard;
	int64_t lines_ms;
	uint32_t lines;
	GString *page;
	int64_t pages_ms;
	uint32_t pages;
};

static void gw_on_request(void *arg, struct h1_exchange *x)
{
	gw_request_new(arg, x);
}

static void gw_on_gone(void *arg, struct h1_exchange *x)
{
	gw_request_caller_left(x->arg);
}

/* Whether a log line about a caller may be written; bounded under load. */
static bool gw_may_log(struct gw_front *front)
{
	int64_t now_ms = ck_now_ms();

	if (now_ms - front->lines_ms >= 1000) {
		front->lines_ms = now_ms;
		front->lines = 0;
	}
	if (front->lines++ < GW_LINES_PER_S)
		return true;
	mt_add(&gw_lines_left_out, 1);
	return false;
}

static void gw_on_shed(void *arg, const char *reason, enum h1_standing standing)
{
	static const char *const standings[] = { "leaving",    "fresh",
						 "unfinished", "kept",
						 "unread",     "working" };
	struct gw_gateway *g = arg;
	char held[24], open[12];

	if (!gw_may_log(g->front))
		return;
	g_snprintf(held, sizeof(held), "%" G_GUINT64_FORMAT,
		   ba_held_bytes(&g->account));
	g_snprintf(open, sizeof(open), "%u", h1_guard_open(&g->front->guard));
	lg_info("caller closed to make room for others", "event",
		"caller_closed", "reason", reason, "standing",
		standings[standing], "held_bytes", held, "open", open, NULL);
}

/* The limits of the configuration, or of memory, or no HTTP. */
static void gw_on_refused(void *arg, const struct h1_headers *headers,
			  uint32_t status)
{
	struct gw_gateway *g = arg;
	struct dl_request in = { 0 };
	char text[12], held[24];

	if (!gw_may_log(g->front))
		return;
	g->dialect->read_request(headers, &in);
	g_snprintf(text, sizeof(text), "%u", status);
	g_snprintf(held, sizeof(held), "%" G_GUINT64_FORMAT,
		   ba_held_bytes(&g->account));
	lg_info("request refused before it was read", "event",
		"request_refused", "request", in.attempt ? in.attempt : "",
		"status", text, "held_bytes", held, NULL);
}

static void gw_on_readiness(void *arg, struct h1_exchange *x)
{
	struct gw_gateway *g = arg;

	h1_respond(x, gw_is_ready(g, ck_now_ms()) ? 200 : 503, NULL, NULL, 0);
}

/* Makes the metrics page, unless it has been made too often of late. */
static void gw_update_metrics(struct gw_front *front)
{
	int64_t now_ms = ck_now_ms();

	if (now_ms - front->pages_ms >= 1000) {
		front->pages_ms = now_ms;
		front->pages = 0;
	}
	if (front->pages >= GW_METRICS_PER_S)
		return;
	front->pages++;
	g_string_truncate(front->page, 0);
	mt_print(front->page);
	mt_family_print(front->page);
}

static void gw_on_metrics(void *arg, struct h1_exchange *x)
{
	struct gw_front *front = ((struct gw_gateway *)arg)->front;
	struct h1_headers headers;

	if (!h1_may_take(x, GW_METRICS_BYTES)) {
		h1_respond(x, 503, NULL, NULL, 0);
		return;
	}
	gw_update_metrics(front);
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Content-Type",
		       "text/plain; version=0.0.4; charset=utf-8");
	h1_respond(x, 200, &headers, front->page->str, front->page->len);
	h1_headers_finish(&headers);
}

static uint64_t gw_budget_bytes(int64_t memory_mb, uint64_t max_body_bytes)
{
	uint64_t share = ((uint64_t)memory_mb << 20) / GW_HELD_SHARE;

	return memory_mb ? MAX(share, max_body_bytes * GW_BODY_COPIES +
					      GW_BEYOND_BODY_BYTES)
			 : 0;
}

/*
 * The system enforces the bound on all descriptors: a connection to an upstream
 * beyond it fails before anything is sent.
 */
static int64_t gw_bound_fds(int64_t max_fds)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return max_fds;
	if (max_fds && (rlim_t)max_fds <= limit.rlim_max) {
		limit.rlim_cur = (rlim_t)max_fds;
		(void)setrlimit(RLIMIT_NOFILE, &limit);
	}
	return (int64_t)MIN(limit.rlim_cur, INT32_MAX);
}

/* Connections of callers, each of which may need one more to an upstream. */
static uint32_t gw_max_open(int64_t fds)
{
	int64_t own = GW_OWN_FDS + MIN(fds / GW_OWN_FDS_SHARE, GW_OWN_FDS_MAX);

	return (uint32_t)MAX(fds - own, 2 * H1_CONTROL_PLACES);
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
	desc.guard = &g->front->guard;
	desc.on_shed = gw_on_shed;
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
	front->page = g_string_new(NULL);
	h1_guard_init(&front->guard, &g->account);
	code = gw_listen(
		g, &front->callers, &s->callers,
		&(struct h1_server_desc){ .on_request = gw_on_request,
					  .on_gone = gw_on_gone,
					  .on_refused = gw_on_refused,
					  .on_head = gw_request_needs_body });
	if (code == ST_OK)
		code = gw_listen(g, &front->via, &s->via,
				 &(struct h1_server_desc){
					 .on_request = gw_via_on_request,
					 .on_gone = gw_on_gone,
					 .on_refused = gw_on_refused,
					 .on_head = gw_request_needs_body });
	if (code == ST_OK)
		code = gw_listen(
			g, &front->readiness, &s->readiness,
			&(struct h1_server_desc){ .on_request = gw_on_readiness,
						  .is_control = true });
	if (code == ST_OK)
		code = gw_listen(
			g, &front->metrics, &s->metrics,
			&(struct h1_server_desc){ .on_request = gw_on_metrics,
						  .is_control = true });
	gw_front_limit(g);
	return code;
}

void gw_front_stop(struct gw_gateway *g)
{
	struct gw_front *front = g->front;

	if (!front)
		return;
	h1_server_finish(&front->callers);
	h1_server_finish(&front->via);
	h1_server_finish(&front->readiness);
	h1_server_finish(&front->metrics);
	g_string_free(front->page, TRUE);
	g_free(front);
	g->front = NULL;
}

void gw_front_drain(struct gw_gateway *g)
{
	h1_server_drain(&g->front->callers);
	h1_server_drain(&g->front->via);
	h1_server_close_idle(&g->front->callers);
	h1_server_close_idle(&g->front->via);
}

uint32_t gw_front_busy(const struct gw_gateway *g)
{
	return h1_server_busy(&g->front->callers) +
	       h1_server_busy(&g->front->via);
}

/* What the settings say; it holds for all addresses. */
static void gw_limit_server(const struct gw_gateway *g,
			    struct h1_server *server)
{
	const struct gw_settings *s = &g->settings;
	struct h1_limits *to = &server->limits;

	if (s->unread_ms)
		to->unread_timeout_ms = s->unread_ms;
	if (s->max_fields)
		to->max_fields = s->max_fields;
	if (s->max_pipelined_bytes)
		to->max_pipelined_bytes = s->max_pipelined_bytes;
	if (s->rate_grace_ms)
		to->rate_grace_ms = s->rate_grace_ms;
	to->max_target_bytes = s->max_target_bytes;
	to->min_bytes_per_s = s->min_bytes_per_s;
}

/* What the configuration says of callers' requests. */
static void gw_limit_callers(const struct ca_limits *from, struct h1_limits *to)
{
	if (from->max_header_bytes)
		to->max_header_bytes = from->max_header_bytes;
	if (from->max_body_bytes)
		to->max_body_bytes = from->max_body_bytes;
	if (from->header_timeout_ms)
		to->header_timeout_ms = from->header_timeout_ms;
	if (from->idle_timeout_ms)
		to->idle_timeout_ms = from->idle_timeout_ms;
}

void gw_front_limit(struct gw_gateway *g)
{
	struct gw_front *front = g->front;
	struct ba_account *account = &g->account;

	if (!front)
		return;
	gw_limit_server(g, &front->callers);
	gw_limit_server(g, &front->via);
	gw_limit_server(g, &front->readiness);
	gw_limit_server(g, &front->metrics);
	if (g->catalog) {
		gw_limit_callers(&g->catalog->limits, &front->callers.limits);
		gw_limit_callers(&g->catalog->limits, &front->via.limits);
	}
	/* What a caller may send still fits with the field of the hosts. */
	front->via.limits.max_header_bytes =
		front->callers.limits.max_header_bytes + GW_VIA_FIELD_BYTES;
	front->via.limits.max_fields = front->callers.limits.max_fields + 1;
	front->guard.max_open = gw_max_open(gw_bound_fds(g->settings.max_fds));
	account->budget_bytes = gw_budget_bytes(
		g->settings.memory_mb, front->callers.limits.max_body_bytes);
	account->kind_bytes[BA_ANSWERS] = GW_ANSWER_POOL_BYTES;
	/* Neither callers nor peers can take what belongs to the other. */
	account->kind_bytes[BA_PEERS] = account->budget_bytes / GW_PEERS_SHARE;
	account->kind_bytes[BA_CALLERS] =
		account->budget_bytes - account->kind_bytes[BA_PEERS];
}
