#include "gateway/gw_reach.h"

#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "peers/pe_reach.h"

/* An engine that is sound may be silent for a second. */
#define GW_REACH_SILENT_MS 1500
/* Between two questions to engines while cut off, and the time for an answer.
 */
#define GW_PROBE_PERIOD_S   0.25
#define GW_PROBE_TIMEOUT_MS 1000
#define GW_PROBE_CONNECT_MS 300

MT_COUNTER(gw_probes, "balsampin_gateway_cut_off_probes_total",
	   "questions to engines while cut off from all")
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

static void gw_end_probe(struct gw_reach *c)
{
	ev_timer_stop(c->gateway->kernel.loop, &c->probe_end);
	h1_call_cancel(&c->probe);
	if (c->probed)
		fl_unref(c->probed);
	c->probed = NULL;
}

static void gw_log_cut_off(const struct gw_reach *c, const char *outcome)
{
	char heard[24];

	g_snprintf(heard, sizeof(heard), "%" G_GINT64_FORMAT,
		   c->state.heard_ms ? ck_now_ms() - c->state.heard_ms : -1);
	lg_warn("way to all engines", "event", "cut_off", "outcome", outcome,
		"heard_ms_ago", heard, NULL);
}

void gw_reach_heard(struct gw_gateway *g)
{
	struct gw_reach *c = g->reach;

	if (c->state.is_cut_off) {
		gw_log_cut_off(c, "over");
		mt_set(&gw_cut_off, 0);
		ev_timer_stop(g->kernel.loop, &c->probe_timer);
	}
	pe_reach_heard(&c->state, ck_now_ms());
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
	struct gw_reach *c = g->reach;

	if (c->state.is_cut_off)
		return;
	pe_reach_failed(&c->state, e->hash, began_ms, gw_count_engines(g),
			ck_now_ms());
	if (!c->state.is_cut_off)
		return;
	gw_log_cut_off(c, "found");
	mt_set(&gw_cut_off, 1);
	ev_timer_start(g->kernel.loop, &c->probe_timer);
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
	struct gw_reach *c = arg;

	if (presence == H1_THERE)
		gw_reach_heard(c->gateway);
	gw_end_probe(c);
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
	struct gw_reach *c = w->data;
	struct gw_gateway *g = c->gateway;
	struct h1_headers headers;

	if (c->probed)
		return;
	c->probed = gw_choose_probed(g);
	if (!c->probed)
		return;
	mt_add(&gw_probes, 1);
	fl_ref(c->probed);
	if (!c->probed->entry.model[0]) {
		h1_peer_check(&c->probed->peer, GW_PROBE_CONNECT_MS,
			      gw_on_probe_checked, c);
		return;
	}
	/* One that was open before may hang for longer than the cut lasts. */
	h1_peer_close_idle(&c->probed->peer);
	ev_timer_set(&c->probe_end, GW_PROBE_TIMEOUT_MS / 1000.0, 0.0);
	ev_timer_start(loop, &c->probe_end);
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Host", c->probed->entry.address);
	h1_call_start(&c->probe,
		      &(struct h1_call_desc){
			      .peer = &c->probed->peer,
			      .method = "GET",
			      .target = g->dialect->report_target,
			      .headers = &headers,
			      .connect_timeout_ms = GW_PROBE_CONNECT_MS,
			      .on_head = gw_on_probe_head,
			      .on_done = gw_on_probe_done,
			      .arg = c });
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
	struct gw_reach *c = g_new0(struct gw_reach, 1);

	g->reach = c;
	c->gateway = g;
	ev_timer_init(&c->probe_timer, gw_on_probe_timer, 0.0,
		      GW_PROBE_PERIOD_S);
	ev_timer_init(&c->probe_end, gw_on_probe_end, 0.0, 0.0);
	c->probe_timer.data = c;
	c->probe_end.data = c;
	return ST_OK;
}

void gw_reach_stop(struct gw_gateway *g)
{
	struct gw_reach *c = g->reach;

	if (!c)
		return;
	ev_timer_stop(g->kernel.loop, &c->probe_timer);
	gw_end_probe(c);
	g_free(c);
	g->reach = NULL;
}
