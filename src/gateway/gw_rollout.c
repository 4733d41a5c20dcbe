/*
 * Roll-out of wanted weights to engines. One host at a time, the holder of the
 * lease, sends orders; gw_plan.h selects the engines that come next.
 */
#include <string.h>

#include "control/ls.h"
#include "gateway/gw.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_notice.h"
#include "gateway/gw_plan.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

#define GW_LEASE_KEY "lease"
/*
 * Short, so that another host takes over soon; renewed at a third of it. Long
 * enough for a store that takes half a second to answer.
 */
#define GW_LEASE_MS 2000
/* Margin for clocks that run at different rates and for late timers. */
#define GW_LEASE_MARGIN_MS 300
/* An order crosses regions there and back and is answered at once. */
#define GW_ORDER_TIMEOUT_MS 400
/* Several round trips between regions. */
#define GW_CONNECT_TIMEOUT_MS 300
/*
 * After a timeout the next report gets twice as long, so that an engine behind
 * a link with a long queue eventually answers.
 */
#define GW_REPORT_TIMEOUT_MS	 400
#define GW_REPORT_MAX_TIMEOUT_MS 1600
/*
 * Period with which a few hosts read the lease, plus up to half of it at
 * random, so that a lost holder is replaced before the bound for new weights.
 */
#define GW_LEASE_READ_MS  600
#define GW_LEASE_WATCHERS 3
/* The other hosts read the lease with a period longer by this factor. */
#define GW_LEASE_IDLE_FACTOR 20
/* Enough for a store that is sixty times as slow as usual. */
#define GW_STORE_TIMEOUT_MS 1000
/* Short compared with the lease and the time to load weights. */
#define GW_TICK_S 0.05
/*
 * The entry of the engine shows the end of an order; if it does not, the engine
 * is queried after this time.
 */
#define GW_ORDER_LIMIT_MS 2500
/*
 * An engine without new requests first reads the prompts that wait there. An
 * immediate order would make it refuse them.
 */
#define GW_ORDER_WAIT_MS 500
/* Delay after an order that was refused or not answered. */
#define GW_ORDER_RETRY_MS 200

/* A report has a few models and some numbers. */
#define GW_MAX_REPORT_BYTES (256u << 10)

MT_COUNTER(gw_orders, "balsampin_gateway_orders_total", "orders to engines")
MT_COUNTER(gw_reports, "balsampin_gateway_reports_total",
	   "reports asked of engines")
MT_GAUGE(gw_is_holder, "balsampin_gateway_holds_lease",
	 "1 while this host gives orders")

/* An engine that is being brought to the wanted weights. */
struct gw_job {
	struct gw_rollout *rollout;
	struct fl_engine *engine;
	struct h1_call call;
	ev_timer timer;
	GString *body;
	uint32_t status;
	uint64_t version;
	uint64_t orders;
	int64_t next_ms;
	int64_t report_timeout_ms;
	bool knows_orders;
	bool is_ordering;
	bool is_reporting;
};

struct gw_rollout {
	struct gw_gateway *gateway;
	struct ls_lease lease;
	struct rw_call store_call;
	ev_timer tick;
	GPtrArray *jobs;
	bool was_holder;
	int64_t last_order_ms;
	int64_t read_period_ms;
};

static void gw_job_free(void *data)
{
	struct gw_job *job = data;

	ev_timer_stop(job->rollout->gateway->kernel.loop, &job->timer);
	h1_call_cancel(&job->call);
	g_string_free(job->body, TRUE);
	fl_unref(job->engine);
	g_free(job);
}

static struct gw_job *gw_job_of(struct gw_rollout *ro, struct fl_engine *e)
{
	struct gw_job *job;

	for (uint32_t i = 0; i < ro->jobs->len; i++) {
		job = ro->jobs->pdata[i];
		if (job->engine == e)
			return job;
	}
	job = g_new0(struct gw_job, 1);
	job->rollout = ro;
	job->engine = e;
	job->report_timeout_ms = GW_REPORT_TIMEOUT_MS;
	fl_ref(e);
	job->body = g_string_new(NULL);
	g_ptr_array_add(ro->jobs, job);
	return job;
}

static bool gw_job_on_head(void *arg, uint32_t status,
			   const struct h1_headers *headers)
{
	struct gw_job *job = arg;
	struct gw_gateway *g = job->rollout->gateway;
	struct dl_answer answer;

	g->dialect->read_answer(status, headers, &answer);
	gw_notice_answer(g, job->engine, &answer, "");
	job->status = status;
	return true;
}

static void gw_job_on_body(void *arg, const char *data, uint64_t bytes)
{
	g_string_append_len(((struct gw_job *)arg)->body, data, bytes);
}

static void gw_job_log(const struct gw_job *job, const char *event,
		       const char *outcome, const char *reason)
{
	char version[24], orders[24], fencing[24], status[12];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		   job->version);
	g_snprintf(orders, sizeof(orders), "%" G_GUINT64_FORMAT, job->orders);
	g_snprintf(fencing, sizeof(fencing), "%" G_GUINT64_FORMAT,
		   job->rollout->lease.fencing);
	g_snprintf(status, sizeof(status), "%u", job->status);
	lg_info(event, "event", event, "engine", job->engine->entry.id,
		"version", version, "after_orders", orders, "fencing", fencing,
		"status", status, "outcome", outcome, "reason", reason, NULL);
}

static void gw_job_done(void *arg, enum h1_outcome outcome);

static void gw_job_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_job *job = w->data;

	h1_call_cancel(&job->call);
	gw_job_done(job, H1_BROKEN);
}

static void gw_job_call(struct gw_job *job, const char *method,
			const char *target, const char *body,
			int64_t connect_timeout_ms, int64_t timeout_ms)
{
	struct gw_gateway *g = job->rollout->gateway;
	struct h1_headers headers;

	g_string_truncate(job->body, 0);
	job->status = 0;
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Host", job->engine->entry.address);
	if (body)
		g->dialect->write_order_headers(job->engine->entry.id,
						&headers);
	ev_timer_init(&job->timer, gw_job_timeout, timeout_ms / 1000.0, 0.0);
	job->timer.data = job;
	ev_timer_start(g->kernel.loop, &job->timer);
	h1_call_start(&job->call,
		      &(struct h1_call_desc){
			      .peer = &job->engine->peer,
			      .method = method,
			      .target = target,
			      .headers = &headers,
			      .body = body,
			      .body_bytes = body ? strlen(body) : 0,
			      .connect_timeout_ms = connect_timeout_ms,
			      .max_answer_bytes = GW_MAX_REPORT_BYTES,
			      .on_head = gw_job_on_head,
			      .on_body = gw_job_on_body,
			      .on_done = gw_job_done,
			      .arg = job });
	h1_headers_finish(&headers);
}

static void gw_job_report(struct gw_job *job)
{
	mt_add(&gw_reports, 1);
	job->is_reporting = true;
	gw_job_call(job, "GET", job->rollout->gateway->dialect->report_target,
		    NULL, job->report_timeout_ms, job->report_timeout_ms);
}

static void gw_job_order(struct gw_job *job, const struct gw_wanted *wanted)
{
	struct gw_gateway *g = job->rollout->gateway;
	char *body = g->dialect->encode_order(
		&(struct dl_order){ .model = wanted->model,
				    .version = wanted->version,
				    .holder = g->settings.host,
				    .fencing = job->rollout->lease.fencing,
				    .after_orders = job->orders,
				    /*
				     * Cutting or swapping a running stream
				     * would lose it for its caller.
				     */
				    .mode = DL_FINISH_RUNS });

	mt_add(&gw_orders, 1);
	job->rollout->last_order_ms = ck_now_ms();
	job->is_ordering = true;
	job->version = wanted->version;
	gw_job_call(job, "POST", g->dialect->order_target, body,
		    GW_CONNECT_TIMEOUT_MS, GW_ORDER_TIMEOUT_MS);
	g_free(body);
}

static void gw_job_reported(struct gw_job *job)
{
	struct fl_engine *e = job->engine;
	struct dl_report report;

	if (job->status != 200 ||
	    job->rollout->gateway->dialect->decode_report(
		    job->body->str, job->body->len, &report) != ST_OK) {
		gw_job_log(job, "report", "unusable", "");
		job->next_ms = ck_now_ms() + GW_ORDER_RETRY_MS;
		return;
	}
	job->orders = report.orders;
	job->knows_orders = !report.is_busy;
	job->next_ms = report.is_busy ? ck_now_ms() + GW_ORDER_RETRY_MS : 0;
	if (!report.is_busy && report.weights > e->entry.weights) {
		e->entry.weights = report.weights;
		gw_plan_update(job->rollout->gateway, ck_now_ms());
	}
}

static void gw_job_ordered(struct gw_job *job)
{
	switch (job->status) {
	case 202:
		job->orders++;
		job->next_ms = ck_now_ms() + GW_ORDER_LIMIT_MS;
		gw_job_log(job, "order", "accepted", "");
		/* The outcome is read before another order is sent. */
		job->knows_orders = false;
		return;
	case 200:
		job->engine->entry.weights = job->version;
		gw_plan_update(job->rollout->gateway, ck_now_ms());
		gw_job_log(job, "order", "already_there", "");
		return;
	case 412:
		ls_on_refused(&job->rollout->lease);
		/* fall through */
	default:
		job->knows_orders = false;
		job->next_ms = ck_now_ms() + GW_ORDER_RETRY_MS;
		gw_job_log(job, "order", "refused", "");
	}
}

static void gw_job_done(void *arg, enum h1_outcome outcome)
{
	struct gw_job *job = arg;
	bool was_report = job->is_reporting;

	ev_timer_stop(job->rollout->gateway->kernel.loop, &job->timer);
	job->is_reporting = false;
	job->is_ordering = false;
	if (outcome != H1_DONE) {
		job->knows_orders = false;
		job->next_ms = ck_now_ms() + GW_ORDER_RETRY_MS;
		gw_job_log(job, was_report ? "report" : "order",
			   h1_outcome_name(outcome),
			   h1_outcome_reason(outcome));
		if (was_report)
			job->report_timeout_ms = MIN(2 * job->report_timeout_ms,
						     GW_REPORT_MAX_TIMEOUT_MS);
		return;
	}
	if (was_report)
		gw_job_reported(job);
	else
		gw_job_ordered(job);
}

static bool gw_has_waiting_prompts(const struct gw_gateway *g,
				   const struct fl_engine *e, int64_t now_ms)
{
	return now_ms - e->updating_since_ms < GW_ORDER_WAIT_MS &&
	       e->waiting_tokens +
			       gw_collect_others(g, e->hash, now_ms).tokens >
		       0;
}

static void gw_advance_job(struct gw_job *job, const struct gw_wanted *wanted,
			   int64_t now_ms)
{
	bool may_order = job->knows_orders;

	if (job->is_reporting || job->is_ordering || now_ms < job->next_ms)
		return;
	if (may_order && (gw_has_waiting_prompts(job->rollout->gateway,
						 job->engine, now_ms) ||
			  !ls_can_order(&job->rollout->lease, false, now_ms)))
		return;
	if (!fl_notice_take_call(&job->engine->notice, now_ms))
		return;
	if (may_order)
		gw_job_order(job, wanted);
	else
		gw_job_report(job);
}

static void gw_drop_jobs(struct gw_rollout *ro)
{
	uint32_t i = 0;

	while (i < ro->jobs->len) {
		struct gw_job *job = ro->jobs->pdata[i];
		const struct gw_wanted *wanted = gw_weights_of(
			&ro->gateway->weights, job->engine->entry.model);
		bool is_needed = wanted && !job->engine->is_gone &&
				 job->engine->entry.weights < wanted->version;

		if (!is_needed && !job->is_ordering)
			g_ptr_array_remove_index_fast(ro->jobs, i);
		else
			i++;
	}
}

static void gw_send_orders(struct gw_rollout *ro, int64_t now_ms)
{
	struct gw_gateway *g = ro->gateway;

	gw_drop_jobs(ro);
	if (g->stop_ms || !ls_can_order(&ro->lease, false, now_ms))
		return;
	fl_for_each (&g->fleet, e) {
		const struct gw_wanted *wanted =
			gw_weights_of(&g->weights, e->entry.model);

		if (wanted && e->is_updating)
			gw_advance_job(gw_job_of(ro, e), wanted, now_ms);
	}
}

static void gw_on_lease_rows(void *arg, enum st_code code,
			     const struct rw_rows *rows)
{
	struct gw_rollout *ro = arg;
	struct ls_row row = { 0 };

	for (uint32_t i = 0; code == ST_OK && i < rows->count; i++)
		if (!strcmp(rows->rows[i].key, GW_LEASE_KEY) &&
		    rows->rows[i].value &&
		    !ls_row_decode(rows->rows[i].value, rows->rows[i].version,
				   &row))
			lg_warn("lease row ignored: cannot decode it", "event",
				"row_ignored", "key", GW_LEASE_KEY, NULL);
	if (code == ST_OK)
		gw_peers_apply_rows(ro->gateway, rows);
	ls_on_store(&ro->lease, rw_era(&ro->gateway->store), rows->store_ms,
		    ck_now_ms());
	ls_on_read(&ro->lease, code, &row, ck_now_ms());
}

static void gw_on_lease_written(void *arg, enum st_code code, uint64_t version)
{
	struct gw_rollout *ro = arg;

	if (ro->gateway->stop_ms)
		return;
	ls_on_store(&ro->lease, rw_era(&ro->gateway->store), 0, ck_now_ms());
	ls_on_written(&ro->lease, code, version, ck_now_ms());
}

static void gw_write_lease(struct gw_rollout *ro)
{
	const struct ls_row *row = ls_row_to_write(&ro->lease);
	char *text = ls_row_encode(row);

	rw_write(&ro->gateway->store,
		 &(struct rw_write){ .table = ro->gateway->dialect->own_table,
				     .key = GW_LEASE_KEY,
				     .value = text,
				     .version = row->revision,
				     .timeout_ms = GW_STORE_TIMEOUT_MS,
				     .reason = "lease_write" },
		 gw_on_lease_written, ro, &ro->store_call);
	g_free(text);
}

/* On shutdown, so that another host need not wait for the lease to lapse. */
static void gw_release_lease(struct gw_rollout *ro, int64_t now_ms)
{
	if (ro->store_call._call)
		return;
	if (ls_release(&ro->lease,
		       ro->last_order_ms ? now_ms - ro->last_order_ms
					 : INT64_MAX,
		       now_ms))
		gw_write_lease(ro);
}

static void gw_step_lease(struct gw_rollout *ro, int64_t now_ms)
{
	switch (ls_next(&ro->lease, now_ms)) {
	case LS_READ:
		ls_step_sent(&ro->lease, now_ms);
		rw_get(&ro->gateway->store,
		       &(struct rw_query){
			       .table = ro->gateway->dialect->own_table,
			       .timeout_ms = GW_STORE_TIMEOUT_MS,
			       .reason = "lease" },
		       gw_on_lease_rows, ro, &ro->store_call);
		break;
	case LS_WRITE:
		ls_step_sent(&ro->lease, now_ms);
		gw_write_lease(ro);
		break;
	default:
		break;
	}
}

static void gw_report_lease_change(struct gw_rollout *ro)
{
	const struct ls_row *row = &ro->lease.row;
	bool is_holder = ro->lease.state == LS_HELD;
	char fencing[24], era[24], revision[24], row_fencing[24], quiet[24];

	if (is_holder == ro->was_holder)
		return;
	ro->was_holder = is_holder;
	mt_set(&gw_is_holder, is_holder);
	g_snprintf(fencing, sizeof(fencing), "%" G_GUINT64_FORMAT,
		   ro->lease.fencing);
	g_snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT,
		   rw_era(&ro->gateway->store));
	g_snprintf(revision, sizeof(revision), "%" G_GUINT64_FORMAT,
		   row->revision);
	g_snprintf(row_fencing, sizeof(row_fencing), "%" G_GUINT64_FORMAT,
		   row->fencing);
	g_snprintf(quiet, sizeof(quiet), "%" G_GINT64_FORMAT,
		   ls_quiet_left_ms(&ro->lease, ck_now_ms()));
	lg_info(is_holder ? "lease taken" : "lease lost", "event", "lease",
		"outcome", is_holder ? "taken" : "lost", "fencing", fencing,
		"era", era, "revision", revision, "row_holder", row->holder,
		"row_fencing", row_fencing, "quiet_ms", quiet, NULL);
}

static void gw_on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_rollout *ro = w->data;
	int64_t now_ms = ck_now_ms();

	/* Any answer of the store may have told of its return. */
	ls_on_store(&ro->lease, rw_era(&ro->gateway->store), 0, now_ms);
	/*
	 * A few hosts read the lease often, so that it is soon taken over; the
	 * others rarely, so that the number of calls does not grow with the
	 * number of hosts.
	 */
	ls_set_read_period(&ro->lease,
			   gw_peers_rank(ro->gateway) < GW_LEASE_WATCHERS
				   ? ro->read_period_ms
				   : ro->read_period_ms * GW_LEASE_IDLE_FACTOR,
			   now_ms);
	if (!ro->gateway->stop_ms)
		gw_step_lease(ro, now_ms);
	else
		gw_release_lease(ro, now_ms);
	gw_report_lease_change(ro);
	gw_send_orders(ro, now_ms);
}

void gw_rollout_changed(struct gw_gateway *g)
{
	gw_plan_update(g, ck_now_ms());
	if (g->rollout)
		gw_send_orders(g->rollout, ck_now_ms());
}

/*
 * Returns how long to send no orders after the last one of another host. Orders
 * of two holders must arrive lease_ms apart, and one may arrive as late as its
 * timeout.
 */
static int64_t gw_quiet_ms(const struct gw_settings *settings)
{
	return settings->lease_ms + GW_ORDER_TIMEOUT_MS;
}

/*
 * Returns how long to send no orders after the lease of another host lapsed.
 * The old holder sent its last order at the latest when its lease had run, less
 * the margin and the timeout of an order; this host took the lease after its
 * full duration plus the margin.
 */
static int64_t gw_lapsed_quiet_ms(const struct gw_settings *settings)
{
	int64_t passed_ms = 2 * GW_LEASE_MARGIN_MS + GW_ORDER_TIMEOUT_MS;

	return MAX(gw_quiet_ms(settings) - passed_ms, 1) + GW_TICK_S * 1000;
}

enum st_code gw_rollout_start(struct gw_gateway *g)
{
	struct gw_rollout *ro = g_new0(struct gw_rollout, 1);

	g->rollout = ro;
	ro->gateway = g;
	ro->jobs = g_ptr_array_new_with_free_func(gw_job_free);
	ro->read_period_ms =
		GW_LEASE_READ_MS + g_random_int_range(0, GW_LEASE_READ_MS / 2);
	ls_init(&ro->lease,
		&(struct ls_desc){
			.holder = g->settings.host,
			.incarnation = ((uint64_t)g_random_int() << 32) |
				       g_random_int(),
			.duration_ms = GW_LEASE_MS,
			.margin_ms = GW_LEASE_MARGIN_MS,
			.order_timeout_ms = GW_ORDER_TIMEOUT_MS,
			.quiet_ms = gw_quiet_ms(&g->settings),
			.lapsed_quiet_ms = gw_lapsed_quiet_ms(&g->settings),
			/*
			 * Only one process of a host can listen for callers,
			 * and a process that has stopped listening sends no
			 * orders.
			 */
			.is_only_process = true });
	ev_timer_init(&ro->tick, gw_on_tick, GW_TICK_S, GW_TICK_S);
	ro->tick.data = ro;
	ev_timer_start(g->kernel.loop, &ro->tick);
	return ST_OK;
}

void gw_rollout_stop(struct gw_gateway *g)
{
	struct gw_rollout *ro = g->rollout;

	if (!ro)
		return;
	ev_timer_stop(g->kernel.loop, &ro->tick);
	rw_cancel(&g->store, &ro->store_call);
	g_ptr_array_free(ro->jobs, TRUE);
	g_free(ro);
	g->rollout = NULL;
}
