#include "gateway/gw_silence.h"

#include "gateway/gw_poison.h"
#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

/* Well over the pause between two events of a busy engine. */
#define GW_SILENT_CHECK_MS 800
/*
 * Callers abandon a stream after three seconds of silence or more; the other
 * engine needs one of them.
 */
#define GW_SILENT_HUNG_MS 2000
/* Timeout of a check: a connection takes up to 60 ms between regions. */
#define GW_CHECK_TIMEOUT_MS 300
/*
 * A busy engine is silent, too: one that accepted a connection is not checked
 * again for this time, as connections are expensive.
 */
#define GW_CHECK_TRUST_MS 2000
/*
 * Failed checks in a row, so that one lost packet does not count as a lost
 * engine.
 */
#define GW_CHECKS 2
/* A silent engine is avoided for this time. */
#define GW_SILENT_AVOID_MS 1500

MT_COUNTER(gw_checks, "balsampin_gateway_engine_checks_total",
	   "connections tried to engines that were silent")
MT_COUNTER(gw_silent_engines, "balsampin_gateway_engines_silent_total",
	   "engines found to take no connection")

/*
 * A check in progress; it holds a reference to the engine, and the gateway
 * outlives both.
 */
struct gw_check {
	struct gw_gateway *gateway;
	struct fl_engine *engine;
};

enum gw_silence gw_silence_of(int64_t silent_ms, bool has_begun, bool may_go_on)
{
	if (!may_go_on || silent_ms < GW_SILENT_CHECK_MS)
		return GW_NOT_SILENT;
	if (has_begun && silent_ms >= GW_SILENT_HUNG_MS)
		return GW_HUNG;
	return GW_CHECK;
}

static void gw_abandon_attempt(struct gw_request *r, const char *reason)
{
	gw_send_log_failure(r, reason, "");
	gw_poison_attempt_ended(r, PS_BROKEN);
	gw_send_cancel(r);
	r->may_have_begun = true;
	gw_request_failed(r, reason);
}

static void gw_abandon_hung(struct gw_gateway *g, struct gw_request *r)
{
	struct fl_engine *e = r->engine;

	fl_ref(e);
	gw_abandon_attempt(r, "stream_hung");
	gw_silence_check(g, e);
	fl_unref(e);
}

static void gw_abandon_engine_requests(struct gw_gateway *g,
				       const struct fl_engine *engine)
{
	gw_for_each_request (g, r)
		if (r->engine == engine && gw_request_can_move(r))
			gw_abandon_attempt(r, "engine_silent");
}

static void gw_mark_engine_silent(struct gw_gateway *g, struct fl_engine *e)
{
	mt_add(&gw_silent_engines, 1);
	lg_warn("engine accepts no connections", "event", "engine_silent",
		"engine", e->entry.id, "outcome", "avoided", NULL);
	e->avoid_until_ms = e->checked_ms + GW_SILENT_AVOID_MS;
	gw_abandon_engine_requests(g, e);
}

/* Passes the result of a check on to the requests that broke at the engine. */
static void gw_report_check(struct gw_gateway *g, struct fl_engine *e,
			    enum h1_presence presence)
{
	if (presence == H1_THERE)
		gw_poison_engine_alive(g, e);
	else if (presence == H1_REFUSED)
		gw_poison_engine_exited(g, e, "refuses_connections");
	else if (e->is_gone)
		gw_poison_engine_exited(g, e, "entry_gone_and_silent");
}

static void gw_on_checked(void *arg, enum h1_presence presence)
{
	struct gw_check *check = arg;
	struct gw_gateway *g = check->gateway;
	struct fl_engine *e = check->engine;

	e->is_checking = false;
	/* It proves nothing; the next sweep asks again. */
	if (presence == H1_UNCHECKED) {
		fl_unref(e);
		g_free(check);
		return;
	}
	e->checked_ms = ck_now_ms();
	e->failed_checks = presence == H1_THERE ? 0 : e->failed_checks + 1;
	if (e->failed_checks >= GW_CHECKS)
		gw_mark_engine_silent(g, e);
	if (e->check_again)
		gw_silence_check(g, e);
	else
		gw_report_check(g, e, presence);
	fl_unref(e);
	g_free(check);
}

void gw_silence_check(struct gw_gateway *g, struct fl_engine *e)
{
	struct gw_check *check;

	/*
	 * A check that began earlier proves nothing about attempts that broke
	 * since.
	 */
	e->check_again = e->is_checking;
	if (e->is_checking)
		return;
	mt_add(&gw_checks, 1);
	check = g_new0(struct gw_check, 1);
	check->gateway = g;
	check->engine = e;
	fl_ref(e);
	e->is_checking = true;
	h1_peer_check(&e->peer, GW_CHECK_TIMEOUT_MS, gw_on_checked, check);
}

static void gw_check_engine(struct gw_gateway *g, struct fl_engine *e,
			    int64_t now_ms)
{
	bool is_trusted = !e->failed_checks && e->checked_ms &&
			  now_ms - e->checked_ms < GW_CHECK_TRUST_MS;

	if (!e->is_checking && !is_trusted)
		gw_silence_check(g, e);
}

static enum gw_silence gw_find_silence(const struct gw_request *r,
				       int64_t now_ms)
{
	enum gw_silence silence = gw_silence_of(now_ms - r->last_byte_ms,
						r->mode != GW_NO_ANSWER, true);

	/* Whether it can be moved takes a placement to tell. */
	if (silence != GW_NOT_SILENT && !gw_request_can_move(r))
		return GW_NOT_SILENT;
	return silence;
}

void gw_silence_sweep(struct gw_gateway *g, int64_t now_ms)
{
	gw_for_each_request (g, r) {
		if (!r->engine)
			continue;
		switch (gw_find_silence(r, now_ms)) {
		case GW_CHECK:
			gw_check_engine(g, r->engine, now_ms);
			break;
		case GW_HUNG:
			gw_abandon_hung(g, r);
			break;
		default:
			break;
		}
	}
}
