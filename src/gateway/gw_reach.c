#include "gateway/gw_reach.h"

#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "peers/pe_reach.h"

/* An engine that is sound may be silent for a second. */
#define GW_REACH_SILENT_MS 1500
/* Between two probes while cut off, and the time for an answer to one.
 */
#define GW_PROBE_PERIOD_S   0.25
#define GW_PROBE_TIMEOUT_MS 1000
#define GW_PROBE_CONNECT_MS 300

MT_COUNTER(gw_probes, "balsampin_gateway_cut_off_probes_total",
	   "probes of engines while cut off from all")
MT_GAUGE(gw_cut_off, "balsampin_gateway_cut_off",
	 "whether this host is cut off from all engines")

struct gw_reach {
	struct gw_gateway *gateway;
	struct pe_reach state;
	ev_timer probe_timer;
	ev_timer probe_end;
	struct fl_engine *probed;
	struct h1_call probe;
};

static void gw_end_probe(struct gw_reach *reach)
{
	ev_timer_stop(reach->gateway->kernel.loop, &reach->probe_end);
	h1_call_cancel(&reach->probe);
	if (reach->probed)
		fl_unref(reach->probed);
	reach->probed = NULL;
}

static void gw_log_cut_off(const struct gw_reach *reach, const char *outcome)
{
	char heard[24];

	g_snprintf(heard, sizeof(heard), "%" G_GINT64_FORMAT,
		   reach->state.heard_ms ? ck_now_ms() - reach->state.heard_ms
					 : -1);
	lg_warn("way to all engines", "event", "cut_off", "outcome", outcome,
		"heard_ms_ago", heard, NULL);
}

void gw_reach_heard(struct gw_gateway *g)
{
	struct gw_reach *reach = g->reach;

	if (reach->state.is_cut_off) {
		gw_log_cut_off(reach, "over");
		mt_set(&gw_cut_off, 0);
		ev_timer_stop(g->kernel.loop, &reach->probe_timer);
	}
	pe_reach_heard(&reach->state, ck_now_ms());
}

static uint32_t gw_count_engines(const struct gw_gateway *g)
{
	uint32_t count = 0;

	fl_for_each (&g->fleet, e)
		count += !e->is_gone;
	return count;
}

void gw_reach_failed(struct gw_gateway *g, const struct fl_engine *e,
		     int64_t began_ms)
{
	struct gw_reach *reach = g->reach;

	if (reach->state.is_cut_off)
		return;
	pe_reach_failed(&reach->state, e->hash, began_ms, gw_count_engines(g),
			ck_now_ms());
	if (!reach->state.is_cut_off)
		return;
	gw_log_cut_off(reach, "found");
	mt_set(&gw_cut_off, 1);
	ev_timer_start(g->kernel.loop, &reach->probe_timer);
}

void gw_reach_timed_out(struct gw_gateway *g, const struct fl_engine *e,
			int64_t began_ms)
{
	if (ck_now_ms() - g->reach->state.heard_ms >= GW_REACH_SILENT_MS)
		gw_reach_failed(g, e, began_ms);
}

bool gw_reach_is_cut_off(const struct gw_gateway *g)
{
	return g->reach->state.is_cut_off;
}

static bool gw_on_probe_head(void *arg, uint32_t status,
			     const struct h1_headers *headers)
{
	gw_reach_heard(((struct gw_reach *)arg)->gateway);
	return true;
}

static void gw_on_probe_done(void *arg, enum h1_outcome outcome)
{
	gw_end_probe(arg);
}

static void gw_on_probe_end(struct ev_loop *loop, ev_timer *w, int events)
{
	gw_end_probe(w->data);
}

/* A plain engine has no report: that it takes a connection has to do. */
static void gw_on_probe_checked(void *arg, enum h1_presence presence)
{
	struct gw_reach *reach = arg;

	if (presence == H1_THERE)
		gw_reach_heard(reach->gateway);
	gw_end_probe(reach);
}

/* Model engines only, if there are any. */
static struct fl_engine *gw_choose_probed(const struct gw_gateway *g)
{
	struct fl_engine *chosen = NULL;
	bool has_model = false;
	uint32_t count = 0;

	fl_for_each (&g->fleet, e)
		has_model |= !e->is_gone && e->entry.model[0];
	fl_for_each (&g->fleet, e) {
		if (e->is_gone || (has_model && !e->entry.model[0]))
			continue;
		if (g_random_int_range(0, (gint32)++count) == 0)
			chosen = e;
	}
	return chosen;
}

static void gw_on_probe_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_reach *reach = w->data;
	struct gw_gateway *g = reach->gateway;
	struct h1_headers headers;

	if (reach->probed)
		return;
	reach->probed = gw_choose_probed(g);
	if (!reach->probed)
		return;
	mt_add(&gw_probes, 1);
	fl_ref(reach->probed);
	if (!reach->probed->entry.model[0]) {
		h1_peer_check(&reach->probed->peer, GW_PROBE_CONNECT_MS,
			      gw_on_probe_checked, reach);
		return;
	}
	/* One that was open before may hang for longer than the cut lasts. */
	h1_peer_close_idle(&reach->probed->peer);
	ev_timer_set(&reach->probe_end, GW_PROBE_TIMEOUT_MS / 1000.0, 0.0);
	ev_timer_start(loop, &reach->probe_end);
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Host", reach->probed->entry.address);
	h1_call_start(&reach->probe,
		      &(struct h1_call_desc){
			      .peer = &reach->probed->peer,
			      .method = "GET",
			      .target = g->dialect->report_target,
			      .headers = &headers,
			      .connect_timeout_ms = GW_PROBE_CONNECT_MS,
			      .on_head = gw_on_probe_head,
			      .on_done = gw_on_probe_done,
			      .arg = reach });
	h1_headers_finish(&headers);
}

/* A request that waits is not given up: its engine may be sound, and busy. */
void gw_reach_sweep(struct gw_gateway *g, int64_t now_ms)
{
	gw_for_each_request (g, r)
		if (r->engine && r->mode == GW_NO_ANSWER &&
		    now_ms - r->sent_ms >= GW_REACH_SILENT_MS)
			gw_reach_failed(g, r->engine, r->sent_ms);
}

enum st_code gw_reach_start(struct gw_gateway *g)
{
	struct gw_reach *reach = g_new0(struct gw_reach, 1);

	g->reach = reach;
	reach->gateway = g;
	ev_timer_init(&reach->probe_timer, gw_on_probe_timer, 0.0,
		      GW_PROBE_PERIOD_S);
	ev_timer_init(&reach->probe_end, gw_on_probe_end, 0.0, 0.0);
	reach->probe_timer.data = reach;
	reach->probe_end.data = reach;
	return ST_OK;
}

void gw_reach_stop(struct gw_gateway *g)
{
	struct gw_reach *reach = g->reach;

	if (!reach)
		return;
	ev_timer_stop(g->kernel.loop, &reach->probe_timer);
	gw_end_probe(reach);
	g_free(reach);
	g->reach = NULL;
}
