#include "gateway/gw_request.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/gw_cap.h"
#include "gateway/gw_poison.h"
#include "gateway/gw_reach.h"
#include "gateway/gw_separate.h"
#include "gateway/gw_stop.h"
#include "gateway/gw_via.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/mt_family.h"
#include "limits/ps.h"

/*
 * After the deadline, the final answer may wait this long for the engine, which
 * stops at the same moment.
 */
#define GW_TIMEOUT_SLACK_MS 60
/* The request fails after this many upstreams that accepted no connection. */
#define GW_MAX_FAILED_CONNECTS 3
/*
 * Retry-After of refusals: long enough for an engine to finish some work,
 * spread so that callers do not return as one wave.
 */
#define GW_RETRY_AFTER_MIN_S 0.3
#define GW_RETRY_AFTER_MAX_S 0.9
/*
 * Retry-After for a request that crashes engines; an early retry is of no use.
 */
#define GW_POISON_RETRY_AFTER_MS 30000
/*
 * An attempt that has not begun on old weights is cancelled this long before
 * the bound for new weights: the sweep runs every 100 ms, the transfer takes 30
 * ms.
 */
#define GW_OUTDATED_MARGIN_MS 400
/* Time limit for callers that send none. */
#define GW_DEFAULT_BUDGET_MS 60000

MT_COUNTER(gw_requests, "balsampin_gateway_requests_total", "requests read")
MT_COUNTER(gw_answered, "balsampin_gateway_answered_total",
	   "requests answered by an upstream")
MT_COUNTER(gw_refused, "balsampin_gateway_refused_total",
	   "requests answered 503: not run")
MT_COUNTER(gw_failed, "balsampin_gateway_failed_total",
	   "requests that failed after they may have run")
MT_COUNTER(gw_rejected, "balsampin_gateway_rejected_total",
	   "requests without a route or a known key")
MT_COUNTER(gw_callers_left, "balsampin_gateway_callers_left_total",
	   "callers that left before their answer was complete")
MT_COUNTERS(gw_retries_sent, "balsampin_gateway_repeats_total",
	    "second and later sends of a request", "service")
MT_COUNTERS(gw_retries_denied, "balsampin_gateway_repeats_denied_total",
	    "failed attempts that found the budget empty", "service")

MT_COUNTERS(gw_ended, "balsampin_gateway_ended_total",
	    "requests by how they ended", "outcome")
MT_HISTOGRAMS(gw_answer_ms, "balsampin_gateway_answer_ms",
	      "from a request's arrival to the end of its answer", "kind")

const char *gw_request_kind(const struct gw_request *r)
{
	return r->terms.route ? ca_kind_name(r->terms.route->kind) : "none";
}

static void gw_log_end(const struct gw_request *r, const char *outcome,
		       uint32_t status)
{
	char status_text[12], ms[24], sends[12], events[12], first[24];
	char content[20];

	mt_count(&gw_ended, outcome);
	mt_observe(&gw_answer_ms, gw_request_kind(r),
		   ck_now_ms() - r->arrived_ms);
	g_snprintf(status_text, sizeof(status_text), "%u", status);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   ck_now_ms() - r->arrived_ms);
	g_snprintf(sends, sizeof(sends), "%u", r->sends);
	g_snprintf(events, sizeof(events), "%u", r->event_count);
	g_snprintf(first, sizeof(first), "%" G_GINT64_FORMAT,
		   r->first_event_ms);
	g_snprintf(content, sizeof(content), "%" G_GINT64_MODIFIER "x",
		   r->content);
	lg_info("request ended", "event", "request_ended", "request",
		r->in.attempt ? r->in.attempt : "", "route",
		r->terms.route ? r->terms.route->name : "", "team",
		r->terms.team ? r->terms.team->name : "", "engine",
		r->engine ? r->engine->entry.id : "", "outcome", outcome,
		"status", status_text, "ms", ms, "sends", sends, "events",
		events, "first_event_ms", first, "content", content, "build",
		r->stream.is_bound
			? gw_continue_name(&r->gateway->fleet, r->stream.build)
			: "",
		NULL);
}

/*
 * Ends the request but for its answer. An answer may close the connection or
 * read the next request from it, and either ends what the request has borrowed
 * from its exchange.
 */
static struct h1_exchange *
gw_release_exchange(struct gw_request *r, const char *outcome, uint32_t status)
{
	struct h1_exchange *exchange = r->exchange;

	gw_log_end(r, outcome, status);
	h1_set_label(exchange, r->in.attempt ? r->in.attempt : "");
	if (r->held_until_ms)
		gw_cap_give_back(r);
	gw_send_cancel(r);
	ev_timer_stop(r->gateway->kernel.loop, &r->timer);
	gw_separate_release(r);
	gw_begun_cancel(&r->begun);
	r->gateway->early_requests -= r->is_early;
	g_queue_unlink(&r->gateway->requests, &r->link);
	r->exchange = NULL;
	memset(&r->in, 0, sizeof(r->in));
	return exchange;
}

static void gw_free(struct gw_request *r)
{
	h1_headers_finish(&r->answer_headers);
	g_string_free(r->answer_body, TRUE);
	gw_events_finish(&r->events);
	ca_catalog_unref(r->catalog);
	g_free(r);
}

void gw_request_answer(struct gw_request *r)
{
	struct h1_exchange *exchange;

	mt_add(&gw_answered, 1);
	exchange = gw_release_exchange(r, "complete", r->status);
	if (r->has_begun)
		h1_end(exchange);
	else
		h1_respond(exchange, r->status, &r->answer_headers,
			   r->answer_body->str, r->answer_body->len);
	gw_free(r);
}

void gw_request_caller_left(struct gw_request *r)
{
	mt_add(&gw_callers_left, 1);
	gw_release_exchange(r, "caller_left", 0);
	gw_free(r);
}

static void gw_count_own_answer(uint32_t status)
{
	/* Refusals over a cap have a counter per team, see gw_cap.c. */
	if (status == 429)
		return;
	if (status == 503)
		mt_add(&gw_refused, 1);
	else if (status >= 500)
		mt_add(&gw_failed, 1);
	else
		mt_add(&gw_rejected, 1);
}

static double gw_retry_after_s(const struct gw_request *r)
{
	if (r->retry_after_ms)
		return r->retry_after_ms / 1000.0;
	return g_random_double_range(GW_RETRY_AFTER_MIN_S,
				     GW_RETRY_AFTER_MAX_S);
}

void gw_request_refuse(struct gw_request *r, uint32_t status,
		       const char *reason)
{
	struct h1_exchange *exchange;
	struct h1_headers headers;
	char after[16], body[128];

	gw_count_own_answer(status);
	exchange = gw_release_exchange(r, reason, status);
	if (r->has_begun) {
		h1_abort(exchange);
		gw_free(r);
		return;
	}
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Content-Type", "application/json");
	if (status == 503 || status == 429) {
		g_snprintf(after, sizeof(after), "%.2f", gw_retry_after_s(r));
		h1_headers_add(&headers, "Retry-After", after);
	}
	if (r->is_passed)
		h1_headers_add(&headers, GW_VIA_REASON_FIELD, reason);
	snprintf(body, sizeof(body), "{\"error\": \"%s\"}\n", reason);
	h1_respond(exchange, status, &headers, body, strlen(body));
	h1_headers_finish(&headers);
	gw_free(r);
}

void gw_request_give_up(struct gw_request *r, const char *reason)
{
	uint32_t status = 503;

	if (r->may_have_begun || r->has_begun)
		status = ck_now_ms() >= r->deadline_ms ? 504 : 502;
	gw_request_refuse(r, status, reason);
}

static void gw_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_request *r = w->data;

	if (h1_call_was_sent(&r->call))
		r->may_have_begun = true;
	if (r->engine && r->mode == GW_NO_ANSWER)
		gw_reach_timed_out(r->gateway, r->engine, r->sent_ms);
	gw_send_cancel(r);
	gw_request_give_up(r, r->is_cut_by_stop ? "stopping" : "timeout");
}

/* A request must end while the process can still answer it. */
static void gw_limit_to_grace(struct gw_request *r)
{
	const struct gw_gateway *g = r->gateway;
	int64_t end_ms = g->stop_ms + gw_stop_give_up_ms(g->settings.grace_ms);

	if (!g->stop_ms || r->deadline_ms <= end_ms)
		return;
	r->deadline_ms = end_ms;
	r->is_cut_by_stop = true;
}

static void gw_start_timer(struct gw_request *r)
{
	int64_t left_ms = r->deadline_ms + GW_TIMEOUT_SLACK_MS - ck_now_ms();

	ev_timer_init(&r->timer, gw_on_timer,
		      left_ms > 0 ? left_ms / 1000.0 : 0.0, 0.0);
	r->timer.data = r;
	ev_timer_start(r->gateway->kernel.loop, &r->timer);
}

bool gw_request_is_resumable(const struct gw_request *r)
{
	return r->terms.route->kind == CA_STREAM &&
	       r->terms.route->is_resumable;
}

static struct rb_budget *gw_budget_of(const struct gw_request *r)
{
	return rb_table_get(&r->gateway->retries, r->service->name);
}

uint32_t gw_request_sends_left(const struct gw_request *r)
{
	uint32_t most = MIN(r->terms.route->max_sends, r->max_sends);

	return most - MIN(most, r->sends);
}

bool gw_request_can_retry(const struct gw_request *r)
{
	const struct ca_route *route = r->terms.route;

	return (route->kind == CA_IDEMPOTENT || gw_request_is_resumable(r)) &&
	       gw_request_sends_left(r) && rb_budget_has(gw_budget_of(r));
}

void gw_request_failed(struct gw_request *r, const char *reason)
{
	bool is_resumable = gw_request_is_resumable(r);
	struct rb_attempt attempt = {
		.is_idempotent =
			r->terms.route->kind == CA_IDEMPOTENT || is_resumable,
		.may_have_begun = r->may_have_begun,
		.has_answer_bytes = r->has_begun,
		.can_continue = is_resumable,
		/* The limit of the route applies before that of rb.h. */
		.attempts =
			gw_request_sends_left(r) ? r->sends : RB_MAX_ATTEMPTS,
		.deadline_ms = r->deadline_ms,
		.has_budget = rb_budget_has(gw_budget_of(r)),
	};

	gw_events_clear(&r->events);
	if (!attempt.has_budget)
		mt_count(&gw_retries_denied, r->service->name);
	switch (rb_decide(&attempt, ck_now_ms())) {
	case RB_RETRY:
	case RB_RESUME:
	case RB_CONTINUE:
		rb_budget_take(gw_budget_of(r));
		mt_count(&gw_retries_sent, r->service->name);
		gw_request_place(r);
		return;
	default:
		gw_request_give_up(r, reason);
	}
}

/*
 * The request may be retried, but not at engines that run other suspects, so
 * that a crash there can be attributed.
 */
static void gw_exclude_suspect_engines(struct gw_request *r)
{
	uint64_t engines[GW_MAX_TRIED];
	uint32_t count =
		gw_poison_avoid(r->gateway, r->content, engines, GW_MAX_TRIED);

	for (uint32_t i = 0; i < count && r->tried_count < GW_MAX_TRIED; i++)
		r->tried[r->tried_count++] = engines[i];
}

/*
 * Acts on the verdict for the content of the request. Returns true if the
 * request was refused and freed.
 */
static bool gw_apply_poison_verdict(struct gw_request *r)
{
	struct ps_answer answer = gw_poison_check(r);

	switch (answer.verdict) {
	case PS_HOLD:
		r->retry_after_ms = answer.retry_after_ms;
		gw_request_give_up(r, "held_back");
		return true;
	case PS_REFUSE:
		r->retry_after_ms = GW_POISON_RETRY_AFTER_MS;
		gw_request_give_up(r, "crashes_engines");
		return true;
	case PS_ISOLATE:
		gw_exclude_suspect_engines(r);
		return false;
	default:
		return false;
	}
}

/* Callers return over some time after the first pause has ended. */
static int64_t gw_pause_retry_after_ms(int64_t pause_end_ms)
{
	return MAX(pause_end_ms - ck_now_ms(), 0) +
	       g_random_int_range(GW_RETRY_AFTER_MIN_S * 1000,
				  GW_RETRY_AFTER_MAX_S * 1000);
}

static struct gw_place_answer gw_find_place(const struct gw_request *r)
{
	struct gw_place_request request = {
		.kind = r->kind,
		.kept_share = gw_separate_kept_share(r),
		.service = r->service,
		.model = r->in.model,
		.prefix = r->prefix,
		.tried = r->tried,
		.tried_count = r->tried_count,
		.build = gw_continue_build(&r->stream),
	};

	if (gw_continue_is_lost(&r->stream))
		return (struct gw_place_answer){ 0 };
	return gw_place(r->gateway, &request, ck_now_ms());
}

bool gw_request_can_move(const struct gw_request *r)
{
	if (!gw_request_can_retry(r))
		return false;
	return (!r->has_begun && !r->stream.is_bound) ||
	       (gw_poison_may_move(r) && gw_find_place(r).engine);
}

/*
 * Ends a request whose caller has left before it is sent. Its close is read
 * behind the request, which a loop that is behind finds some time later.
 */
static bool gw_end_if_caller_left(struct gw_request *r)
{
	struct h1_exchange *exchange;

	if (!h1_has_caller_left(r->exchange))
		return false;
	mt_add(&gw_callers_left, 1);
	exchange = gw_release_exchange(r, "caller_left", 0);
	h1_abort(exchange);
	gw_free(r);
	return true;
}

/*
 * While this host is cut off from all engines, requests go through another one.
 * Without any that could help, they are refused at once; a host that is alone
 * tries its engines. Returns true if the request was passed on or refused.
 */
static bool gw_pass_if_cut_off(struct gw_request *r)
{
	if (!gw_reach_is_cut_off(r->gateway) || r->has_begun)
		return false;
	if (!r->is_passed) {
		if (gw_via_send(r, "cut_off"))
			return true;
		if (!gw_via_has_hosts(r->gateway))
			return false;
	}
	gw_request_give_up(r, "cut_off");
	return true;
}

/* No engine that was tried has accepted a connection. */
static void gw_place_elsewhere(struct gw_request *r, const char *reason)
{
	if (!gw_via_send(r, "no_connection"))
		gw_request_give_up(r, reason);
}

void gw_request_place(struct gw_request *r)
{
	struct gw_place_answer answer;

	if (gw_end_if_caller_left(r) || gw_apply_poison_verdict(r) ||
	    gw_pass_if_cut_off(r))
		return;
	answer = gw_find_place(r);
	if (!answer.engine && answer.pause_end_ms) {
		r->retry_after_ms =
			gw_pause_retry_after_ms(answer.pause_end_ms);
		gw_request_give_up(r, "engines_paused");
	} else if (!answer.engine && r->failed_connects)
		gw_place_elsewhere(r, gw_continue_no_place(&r->stream));
	else if (!answer.engine)
		gw_request_give_up(r, gw_continue_no_place(&r->stream));
	else if (r->failed_connects >= GW_MAX_FAILED_CONNECTS)
		gw_place_elsewhere(r, "no_engine");
	else if (!r->held_until_ms && !gw_cap_charge(r))
		gw_request_refuse(r, 429, "over_cap");
	else if (!gw_separate_holds(r, &answer))
		gw_send(r, &answer);
}

/*
 * Ends a request that waits at an engine, if it holds a part that has been
 * found to crash engines since it was sent. Returns whether it was freed.
 */
static bool gw_withdraw(struct gw_request *r)
{
	if (!r->is_awaiting_head || r->is_probe ||
	    !gw_poison_has_proven_part(r))
		return false;
	gw_send_log_failure(r, "withdrawn", "");
	if (h1_call_was_sent(&r->call))
		r->may_have_begun = true;
	gw_send_cancel(r);
	gw_request_give_up(r, "crashes_engines");
	return true;
}

/* The request waits at an engine whose weights may no longer begin one. */
static bool gw_is_outdated(const struct gw_request *r, int64_t now_ms)
{
	const struct gw_wanted *wanted;

	if (!r->is_awaiting_head || !r->in.model)
		return false;
	wanted = gw_weights_of(&r->gateway->weights, r->in.model);
	return gw_weights_age_ms(wanted, r->weights, now_ms) >
	       r->gateway->settings.weights_ms - GW_OUTDATED_MARGIN_MS;
}

void gw_requests_sweep(struct gw_gateway *g, int64_t now_ms)
{
	gw_for_each_request (g, r) {
		if (gw_withdraw(r) || !gw_is_outdated(r, now_ms))
			continue;
		gw_send_cancel(r);
		r->may_have_begun = true;
		gw_request_failed(r, "weights_too_old");
	}
}

static const char *gw_header(const struct h1_exchange *x, const char *name)
{
	const char *value = h1_headers_get(x->headers, name);

	return value ? value : "";
}

/*
 * All prompt parts but the last are shared. Isolated teams share with no other
 * team.
 */
static void gw_find_prefix(struct gw_request *r)
{
	const struct dl_request *in = &r->in;
	const char *isolated = r->terms.team && r->terms.team->is_isolated
				       ? r->terms.team->name
				       : "";
	uint32_t shared = in->part_count > 1 ? in->part_count - 1 : 0;

	for (uint32_t i = 0; i < shared; i++) {
		r->prefix.shared_tokens += in->parts[i].tokens;
		r->prefix.prefix_hash =
			XXH3_64bits_withSeed(isolated, strlen(isolated),
					     in->parts[i].id) |
			1;
		if (i)
			continue;
		r->prefix.root_hash = r->prefix.prefix_hash;
		r->prefix.root_tokens = in->parts[i].tokens;
	}
	r->prefix.suffix_tokens =
		in->prompt_tokens > r->prefix.shared_tokens
			? in->prompt_tokens - r->prefix.shared_tokens
			: 0;
}

static void gw_find_parts(struct gw_request *r)
{
	const struct dl_request *in = &r->in;
	const char *model = in->model ? in->model : "";

	for (uint32_t i = 0; i + 1 < in->part_count; i++)
		r->parts[r->part_count++] =
			ps_part_fingerprint(model, in->parts[i].id);
}

static void gw_set_times(struct gw_request *r)
{
	int64_t budget_ms =
		r->in.budget_ms >= 0 ? r->in.budget_ms : GW_DEFAULT_BUDGET_MS;
	int64_t timeout_ms = r->terms.route->timeout_ms;

	r->deadline_ms = r->arrived_ms + budget_ms;
	if (timeout_ms && timeout_ms < budget_ms)
		r->deadline_ms = r->arrived_ms + timeout_ms;
	gw_limit_to_grace(r);
}

static uint64_t gw_split_hash(const struct gw_request *r)
{
	const char *attempt = r->in.attempt ? r->in.attempt : "";

	return XXH3_64bits(attempt, strlen(attempt));
}

static uint64_t gw_content_of(const struct gw_request *r)
{
	return ps_call_fingerprint(&(struct ps_call){
		.method = r->exchange->method,
		.target = r->exchange->target,
		.caller = r->terms.team ? r->terms.team->name : "",
		.body = r->exchange->body->str,
		.body_bytes = r->exchange->body->len });
}

static void gw_answer_unadmitted(struct gw_request *r, enum gw_verdict verdict)
{
	switch (verdict) {
	case GW_NO_ROUTE:
		gw_request_refuse(r, 404, gw_verdict_name(verdict));
		return;
	case GW_UNKNOWN_KEY:
		gw_request_refuse(r, 401, gw_verdict_name(verdict));
		return;
	default:
		gw_request_refuse(r, 503, gw_verdict_name(verdict));
	}
}

static enum gw_verdict gw_admit_exchange(const struct gw_gateway *g,
					 const struct h1_exchange *exchange,
					 const struct dl_request *in,
					 struct gw_terms *terms)
{
	return gw_admit(
		&(struct gw_admit_input){ .catalog = g->catalog,
					  .config_age_ms = ck_now_ms() -
							   g->config_fresh_ms,
					  .config_ms = g->settings.config_ms,
					  .revoke_ms = g->settings.revoke_ms,
					  .host = gw_header(exchange, "Host"),
					  .target = exchange->target,
					  .request = in },
		terms);
}

bool gw_request_needs_body(void *arg, const struct h1_exchange *exchange)
{
	const struct gw_gateway *g = arg;
	struct dl_request in = { 0 };
	struct gw_terms terms;
	enum gw_verdict verdict;

	g->dialect->read_request(exchange->headers, &in);
	verdict = gw_admit_exchange(g, exchange, &in, &terms);
	return verdict != GW_NO_ROUTE && verdict != GW_UNKNOWN_KEY;
}

/* Admits and places the request. */
static void gw_start_request(struct gw_request *r)
{
	struct gw_gateway *g = r->gateway;
	enum gw_verdict verdict =
		gw_admit_exchange(g, r->exchange, &r->in, &r->terms);

	if (verdict != GW_ADMITTED) {
		gw_answer_unadmitted(r, verdict);
		return;
	}
	/* Its route or key has come into force since its header fields came. */
	if (r->exchange->is_body_dropped) {
		gw_request_refuse(r, 503, "body_not_kept");
		return;
	}
	r->catalog = ca_catalog_ref(g->catalog);
	r->service = ca_pick_service(r->terms.route, gw_split_hash(r));
	if (!r->service) {
		gw_request_refuse(r, 503, "route_without_service");
		return;
	}
	r->content = gw_content_of(r);
	rb_budget_earn(gw_budget_of(r));
	gw_find_parts(r);
	gw_find_prefix(r);
	r->prefix.seed = gw_split_hash(r);
	gw_separate_classify(r);
	gw_set_times(r);
	gw_start_timer(r);
	if (gw_continue_start(r))
		gw_request_place(r);
}

static void gw_release_held(struct gw_request *r)
{
	ev_timer_stop(r->gateway->kernel.loop, &r->timer);
	r->is_early = false;
	r->gateway->early_requests--;
	gw_start_request(r);
}

static void gw_on_early_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	gw_release_held(w->data);
}

static void gw_hold_early(struct gw_request *r, int64_t wait_ms)
{
	r->is_early = true;
	r->gateway->early_requests++;
	ev_timer_init(&r->timer, gw_on_early_timer, wait_ms / 1000.0, 0.0);
	r->timer.data = r;
	ev_timer_start(r->gateway->kernel.loop, &r->timer);
}

void gw_requests_release(struct gw_gateway *g)
{
	if (!g->early_requests)
		return;
	gw_for_each_request (g, r)
		if (r->is_early)
			gw_release_held(r);
}

void gw_requests_stop(struct gw_gateway *g)
{
	gw_for_each_request (g, r) {
		if (r->is_early)
			continue;
		gw_limit_to_grace(r);
		ev_timer_stop(g->kernel.loop, &r->timer);
		gw_start_timer(r);
	}
}

/* Whether a request that is whole now has too little time before the end. */
static bool gw_is_too_late(const struct gw_gateway *g)
{
	return g->stop_ms && ck_now_ms() - g->stop_ms >
				     gw_stop_accept_ms(g->settings.grace_ms);
}

static void gw_begin_request(struct gw_gateway *g, struct h1_exchange *exchange,
			     uint32_t max_sends, bool is_passed)
{
	struct gw_request *r = g_new0(struct gw_request, 1);
	int64_t wait_ms;

	mt_add(&gw_requests, 1);
	r->gateway = g;
	r->exchange = exchange;
	exchange->arg = r;
	r->link.data = r;
	g_queue_push_tail_link(&g->requests, &r->link);
	r->arrived_ms = exchange->arrived_ms;
	r->max_sends = max_sends;
	r->is_passed = is_passed;
	r->answer_body = g_string_new(NULL);
	h1_headers_init(&r->answer_headers);
	gw_events_init(&r->events);
	g->dialect->read_request(exchange->headers, &r->in);
	r->last_event = r->in.resume_after;
	if (gw_is_too_late(g)) {
		gw_request_refuse(r, 503, "stopping");
		return;
	}
	wait_ms = gw_startup_wait_ms(
		gw_has_read(g), ck_now_ms() - g->started_ms, g->early_requests);
	if (wait_ms > 0)
		gw_hold_early(r, wait_ms);
	else
		gw_start_request(r);
}

void gw_request_new(struct gw_gateway *g, struct h1_exchange *exchange)
{
	gw_begin_request(g, exchange, UINT32_MAX, false);
}

void gw_request_new_passed(struct gw_gateway *g, struct h1_exchange *exchange,
			   uint32_t max_sends)
{
	gw_begin_request(g, exchange, max_sends, true);
}
