#include "gateway/gw_silence.h"

#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

/* Well over the pause between two events of a busy engine. */
#define GW_SILENT_CHECK_MS 800
/* Callers leave a stream after three seconds of silence and more, of which the
 * other engine needs one. */
#define GW_SILENT_HUNG_MS 2000
/* Of a check: a connection takes up to 60 ms between regions. */
#define GW_CHECK_TIMEOUT_MS 300
/* A busy engine is silent, too: one that took a connection is trusted for
 * a while, as connections are dear. */
#define GW_CHECK_TRUST_MS 2000
/* One lost packet must not look like a lost engine. */
#define GW_CHECKS 2
/* An engine that is gone is tried again after that. */
#define GW_GONE_AVOID_MS 1500

MT_COUNTER(gw_checks, "balsampin_gateway_engine_checks_total",
	   "connections tried to engines that were silent")
MT_COUNTER(gw_silent_engines, "balsampin_gateway_engines_silent_total",
	   "engines found to take no connection")

/* A check under way; it holds the engine, the gateway outlives both. */
struct gw_check {
	struct gw_gateway *gateway;
	struct fl_engine *engine;
};

enum gw_silence gw_silence_of(int64_t silent_ms, bool has_begun, bool may_go_on)
{
	if (!may_go_on || silent_ms < GW_SILENT_CHECK_MS)
		return GW_HEARD;
	if (has_begun && silent_ms >= GW_SILENT_HUNG_MS)
		return GW_HUNG;
	return GW_CHECK;
}

static void gw_leave_silent(struct gw_request *r, const char *reason)
{
	gw_send_log_failure(r, reason);
	gw_send_cancel(r);
	r->may_have_begun = true;
	gw_request_failed(r, reason);
}

static void gw_leave_engine_requests(struct gw_gateway *g,
				     const struct fl_engine *engine)
{
	gw_for_each_request (g, r)
		if (r->engine == engine && gw_request_may_repeat(r))
			gw_leave_silent(r, "engine_silent");
}

static void gw_on_checked(void *arg, bool is_there)
{
	struct gw_check *check = arg;
	struct fl_engine *e = check->engine;

	e->is_checking = false;
	e->checked_ms = ck_now_ms();
	e->failed_checks = is_there ? 0 : e->failed_checks + 1;
	if (e->failed_checks >= GW_CHECKS) {
		mt_add(&gw_silent_engines, 1);
		lg_warn("engine takes no connection", "event", "engine_silent",
			"engine", e->entry.id, "outcome", "avoided", NULL);
		e->avoid_until_ms = e->checked_ms + GW_GONE_AVOID_MS;
		gw_leave_engine_requests(check->gateway, e);
	}
	fl_unref(e);
	g_free(check);
}

static void gw_check_engine(struct gw_gateway *g, struct fl_engine *e,
			    int64_t now_ms)
{
	struct gw_check *check;
	bool is_trusted = !e->failed_checks && e->checked_ms &&
			  now_ms - e->checked_ms < GW_CHECK_TRUST_MS;

	if (e->is_checking || is_trusted)
		return;
	mt_add(&gw_checks, 1);
	check = g_new0(struct gw_check, 1);
	check->gateway = g;
	check->engine = e;
	fl_ref(e);
	e->is_checking = true;
	h1_peer_check(&e->peer, GW_CHECK_TIMEOUT_MS, gw_on_checked, check);
}

void gw_silence_sweep(struct gw_gateway *g, int64_t now_ms)
{
	gw_for_each_request (g, r) {
		if (!r->engine)
			continue;
		switch (gw_silence_of(now_ms - r->heard_ms,
				      r->mode != GW_NO_ANSWER,
				      gw_request_may_repeat(r))) {
		case GW_CHECK:
			gw_check_engine(g, r->engine, now_ms);
			break;
		case GW_HUNG:
			gw_leave_silent(r, "stream_hung");
			break;
		default:
			break;
		}
	}
}
