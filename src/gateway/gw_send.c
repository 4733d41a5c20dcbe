/*
 * One attempt at an upstream, and what is done with its answer.
 */
#include <stdio.h>
#include <string.h>

#include "gateway/gw_poison.h"
#include "gateway/gw_request.h"
#include "gateway/gw_silence.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt_family.h"
#include "placement/pu.h"

/* A connection within the region is made in one to three ms, to the other
 * region in 60; a packet that was lost is sent again after 200. */
#define GW_CONNECT_TIMEOUT_MS 400
/* An upstream that failed is avoided so long, doubled with each failure. */
#define GW_AVOID_MS	250
#define GW_AVOID_MAX_MS 4000
/* One that is full or loading gets no request for so long. */
#define GW_BUSY_MS 150

/*
 * What an answer may hold in memory while it is collected, within an event, or
 * until its caller takes it; beyond that all answers share a pool. Engines
 * send bytes without end, to many requests at once.
 */
#define GW_OWN_ANSWER_BYTES  (64u << 10)
#define GW_ANSWER_POOL_BYTES (8u << 20)

MT_HISTOGRAMS(gw_placed_ms, "balsampin_gateway_placed_ms",
	      "from a request's arrival to each send", "kind")
MT_HISTOGRAMS(gw_first_event_ms, "balsampin_gateway_first_event_ms",
	      "from a request's arrival to its first event", "kind")
MT_HISTOGRAMS(gw_between_events_ms, "balsampin_gateway_between_events_ms",
	      "between two events of a stream", "kind")
MT_COUNTERS(gw_attempt_failures, "balsampin_gateway_attempt_failures_total",
	    "attempts at an upstream that failed", "outcome")

void gw_send_log_failure(const struct gw_request *r, const char *outcome)
{
	char ms[24], status[12], content[20];

	mt_count(&gw_attempt_failures, outcome);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   ck_now_ms() - r->sent_ms);
	g_snprintf(status, sizeof(status), "%u", r->status);
	g_snprintf(content, sizeof(content), "%" G_GINT64_MODIFIER "x",
		   r->content);
	lg_info("attempt failed", "event", "attempt_failed", "request",
		r->in.attempt ? r->in.attempt : "", "engine",
		r->engine->entry.id, "outcome", outcome, "status", status, "ms",
		ms, "content", content, NULL);
}

/* The decision and what it rests on. */
static void gw_log_sent(const struct gw_request *r,
			const struct gw_place_answer *to)
{
	char weights[24], running[12], subject[20], root[20], left[24];
	char cost[24], reads[12], shared[12], priority[12];
	char content[20], sends[12];

	g_snprintf(weights, sizeof(weights), "%" G_GUINT64_FORMAT,
		   to->engine->entry.weights);
	g_snprintf(running, sizeof(running), "%u", to->engine->running);
	g_snprintf(subject, sizeof(subject), "%" G_GINT64_MODIFIER "x",
		   r->prefix.subject);
	g_snprintf(root, sizeof(root), "%" G_GINT64_MODIFIER "x",
		   r->prefix.root);
	g_snprintf(left, sizeof(left), "%" G_GINT64_FORMAT,
		   r->end_ms - r->sent_ms);
	g_snprintf(cost, sizeof(cost), "%.0f", to->cost_ms);
	g_snprintf(priority, sizeof(priority), "%u", r->priority);
	g_snprintf(reads, sizeof(reads), "%u", to->read_tokens);
	g_snprintf(shared, sizeof(shared), "%u", r->prefix.shared_tokens);
	g_snprintf(content, sizeof(content), "%" G_GINT64_MODIFIER "x",
		   r->content);
	g_snprintf(sends, sizeof(sends), "%u", r->sends);
	lg_info("request sent", "event", "request_sent", "request",
		r->in.attempt ? r->in.attempt : "", "engine",
		to->engine->entry.id, "source",
		to->is_from_store ? "store"
		: to->source	  ? to->source->entry.id
				  : "",
		"subject", subject, "root", root, "weights", weights, "running",
		running, "left_ms", left, "predicted_ms", cost, "priority",
		priority, "read_tokens", reads, "shared_tokens", shared,
		"content", content, "sends", sends, NULL);
}

static void gw_leave_engine(struct gw_request *r)
{
	struct fl_engine *e = r->engine;

	if (!e)
		return;
	r->is_awaiting = false;
	e->running--;
	e->waiting_tokens -= r->read_tokens;
	r->read_tokens = 0;
	r->engine = NULL;
	fl_unref(e);
}

static void gw_set_pooled(struct gw_request *r, uint64_t bytes)
{
	r->gateway->pooled_bytes += bytes - r->pooled_bytes;
	r->pooled_bytes = bytes;
}

/* Accounts for what the answer holds now; false if there is no room. */
static bool gw_has_room(struct gw_request *r)
{
	uint64_t held = r->answer_body->len + gw_events_pending(&r->events);
	uint64_t others = r->gateway->pooled_bytes - r->pooled_bytes;

	if (r->has_begun)
		held += h1_unsent_bytes(r->exchange);
	held -= MIN(held, GW_OWN_ANSWER_BYTES);
	if (others + held > GW_ANSWER_POOL_BYTES)
		return false;
	gw_set_pooled(r, held);
	return true;
}

static bool gw_is_silent(const struct gw_request *r)
{
	return gw_silence_of(ck_now_ms() - r->heard_ms, r->mode != GW_NO_ANSWER,
			     true) != GW_HEARD;
}

void gw_send_cancel(struct gw_request *r)
{
	h1_call_cancel(&r->call);
	gw_poison_ended(r, gw_is_silent(r) ? PS_LEFT : PS_CANCELLED);
	gw_set_pooled(r, 0);
	gw_leave_engine(r);
}

static void gw_engine_failed(struct fl_engine *e, int64_t now_ms)
{
	int64_t avoid_ms = GW_AVOID_MS << (e->failures < 4 ? e->failures : 4);

	if (avoid_ms > GW_AVOID_MAX_MS)
		avoid_ms = GW_AVOID_MAX_MS;
	e->failures++;
	e->avoid_until_ms = now_ms + avoid_ms;
}

static void gw_engine_worked(struct fl_engine *e)
{
	e->failures = 0;
	e->avoid_until_ms = 0;
}

static void gw_copy_headers(const struct h1_headers *from,
			    struct h1_headers *to)
{
	h1_headers_clear(to);
	for (uint32_t i = 0; i < h1_headers_count(from); i++) {
		const char *name = h1_headers_name(from, i);

		if (!h1_headers_is_hop(from, name))
			h1_headers_add(to, name, h1_headers_value(from, i));
	}
}

static bool gw_on_head(void *arg, uint32_t status,
		       const struct h1_headers *headers)
{
	struct gw_request *r = arg;
	struct dl_answer answer;

	r->gateway->dialect->read_answer(status, headers, &answer);
	/* A late answer to an earlier request on this connection. */
	if (answer.attempt && r->in.attempt &&
	    strcmp(answer.attempt, r->in.attempt) != 0)
		return false;
	r->is_awaiting = false;
	r->answer = answer;
	r->answer.attempt = NULL;
	r->status = status;
	r->mode = r->terms.route->kind == CA_STREAM && status == 200 &&
				  answer.is_signed
			  ? GW_EVENTS
			  : GW_COLLECT;
	if (!r->has_begun)
		gw_copy_headers(headers, &r->answer_headers);
	return true;
}

static void gw_tell_held(struct gw_request *r, uint64_t prefix, uint64_t holder)
{
	struct gw_gateway *g = r->gateway;
	uint64_t key = pe_held_key(prefix, r->weights);

	if (pe_held_add(&g->held, key, holder, ck_now_ms()))
		gw_peers_tell_held(g, key, holder);
}

static void gw_tell_prefix(struct gw_request *r, uint64_t holder)
{
	gw_tell_held(r, r->prefix.subject, holder);
	if (r->prefix.root != r->prefix.subject)
		gw_tell_held(r, r->prefix.root, holder);
}

/* The first token has come: the prompt has been read there. */
static void gw_prompt_read(struct gw_request *r)
{
	r->engine->waiting_tokens -= r->read_tokens;
	r->read_tokens = 0;
	r->is_prompt_waiting = false;
	if (!r->prefix.subject)
		return;
	gw_tell_prefix(r, r->engine->hash);
	if (r->store_hash)
		gw_tell_prefix(r, r->store_hash);
}

static void gw_observe_event(struct gw_request *r)
{
	int64_t now_ms = ck_now_ms();

	if (!r->event_count)
		mt_observe(&gw_first_event_ms, gw_request_kind(r),
			   now_ms - r->arrived_ms);
	else
		mt_observe(&gw_between_events_ms, gw_request_kind(r),
			   now_ms - r->event_ms);
	r->event_ms = now_ms;
}

static void gw_pass_event(struct gw_request *r, const struct gw_event *event)
{
	if (r->is_prompt_waiting)
		gw_prompt_read(r);
	if (event->id >= 0 && event->id <= r->last_event)
		return;
	r->heard_ms = ck_now_ms();
	if (!r->has_begun) {
		r->has_begun = true;
		h1_begin(r->exchange, r->status, &r->answer_headers, -1);
	}
	if (event->id >= 0)
		r->last_event = event->id;
	gw_observe_event(r);
	r->event_count++;
	h1_write(r->exchange, event->data, event->bytes);
}

/* More than there is room for: nobody gets such an answer whole. */
static void gw_answer_too_large(struct gw_request *r)
{
	gw_send_log_failure(r, "too_large");
	gw_engine_failed(r->engine, ck_now_ms());
	gw_send_cancel(r);
	r->may_have_begun = true;
	gw_request_failed(r, "answer_too_large");
}

static void gw_on_body(void *arg, const char *data, uint64_t bytes)
{
	struct gw_request *r = arg;
	struct gw_event event;

	if (r->mode == GW_COLLECT) {
		r->heard_ms = ck_now_ms();
		/* Of an answer that is not passed on, only the head counts. */
		if (r->answer.is_signed)
			g_string_append_len(r->answer_body, data, bytes);
	} else {
		gw_events_add(&r->events, data, bytes);
		while (gw_events_next(&r->events, &event))
			gw_pass_event(r, &event);
	}
	if (!gw_has_room(r))
		gw_answer_too_large(r);
}

static void gw_finish_events(struct gw_request *r)
{
	if (!r->has_begun)
		h1_respond(r->exchange, r->status, &r->answer_headers, NULL, 0);
	else
		h1_end(r->exchange);
	gw_request_done(r, "complete");
}

static void gw_refused(struct gw_request *r)
{
	int64_t until_ms = ck_now_ms() + GW_BUSY_MS;

	gw_send_log_failure(r, "not_run");
	if (r->engine->avoid_until_ms < until_ms)
		r->engine->avoid_until_ms = until_ms;
	gw_poison_ended(r, PS_CANCELLED);
	gw_leave_engine(r);
	gw_request_failed(r, "refused_by_engine");
}

static void gw_answered(struct gw_request *r)
{
	if (r->answer.has_not_run) {
		gw_refused(r);
		return;
	}
	r->may_have_begun = true;
	/* Also with a failure of its own the engine has lived on. */
	gw_poison_ended(r, r->answer.is_signed ? PS_COMPLETED : PS_CANCELLED);
	if (!r->answer.is_signed) {
		gw_send_log_failure(r, "unsigned_answer");
		gw_engine_failed(r->engine, ck_now_ms());
		gw_leave_engine(r);
		gw_request_failed(r, "unsigned_answer");
		return;
	}
	if (r->mode == GW_EVENTS) {
		gw_engine_worked(r->engine);
		gw_finish_events(r);
		return;
	}
	/* A failure of the engine itself is worth another engine. */
	if (r->status >= 500 && gw_request_may_repeat(r)) {
		gw_send_log_failure(r, "engine_error");
		gw_leave_engine(r);
		gw_request_failed(r, "engine_error");
		return;
	}
	gw_engine_worked(r->engine);
	if (r->has_begun) {
		gw_request_refuse(r, 502, "stream_not_continued");
		return;
	}
	h1_respond(r->exchange, r->status, &r->answer_headers,
		   r->answer_body->str, r->answer_body->len);
	gw_request_done(r, "complete");
}

/* Whether the engine has ended under it shows in a new connection. */
static void gw_broke(struct gw_request *r)
{
	gw_poison_ended(r, PS_BROKEN);
	if (gw_poison_doubts(r->gateway, r->engine))
		gw_silence_check(r->gateway, r->engine);
	gw_leave_engine(r);
}

static void gw_on_done(void *arg, enum h1_outcome outcome)
{
	struct gw_request *r = arg;
	bool was_torn = r->mode == GW_EVENTS && gw_events_is_torn(&r->events);

	if (outcome == H1_DONE && !was_torn) {
		gw_answered(r);
		return;
	}
	/* The head says it all, however its body ends. */
	if (r->mode == GW_COLLECT && r->answer.has_not_run) {
		gw_refused(r);
		return;
	}
	gw_send_log_failure(r,
			    was_torn ? "torn_event" : h1_outcome_name(outcome));
	gw_engine_failed(r->engine, ck_now_ms());
	if (outcome == H1_NOT_SENT) {
		gw_poison_ended(r, PS_CANCELLED);
		gw_leave_engine(r);
		r->sends--;
		r->failed_connects++;
		gw_request_place(r);
		return;
	}
	r->may_have_begun = true;
	gw_broke(r);
	gw_request_failed(r, "engine_broke_off");
}

/* Of the time within which the first token is on time; 0: there is none. */
static int64_t gw_target_left_ms(const struct gw_request *r)
{
	int64_t target_ms = r->terms.route->target_ms;

	if (!target_ms)
		return 0;
	return MAX(target_ms - (ck_now_ms() - r->arrived_ms), 1);
}

static void gw_prepare(struct gw_request *r, const struct gw_place_answer *to)
{
	struct fl_engine *engine = to->engine;

	struct pu_urgency urgency =
		pu_decide(to->cost_ms, gw_target_left_ms(r), r->terms.priority);

	r->engine = engine;
	r->priority = urgency.priority;
	r->read_tokens = to->read_tokens * urgency.weight;
	fl_ref(engine);
	engine->running++;
	engine->waiting_tokens += r->read_tokens;
	r->gateway->sent_tokens += to->read_tokens + r->in.max_output_tokens;
	r->weights = engine->entry.weights;
	gw_poison_sent(r);
	r->is_awaiting = true;
	r->is_prompt_waiting = true;
	r->sends++;
	r->sent_ms = ck_now_ms();
	r->heard_ms = r->sent_ms;
	mt_observe(&gw_placed_ms, gw_request_kind(r),
		   r->sent_ms - r->arrived_ms);
	r->mode = GW_NO_ANSWER;
	r->status = 0;
	g_string_truncate(r->answer_body, 0);
	if (r->tried_count < GW_MAX_TRIED)
		r->tried[r->tried_count++] = engine->hash;
}

/* What must not mix: weights, and the prompts of isolated teams. */
static void gw_set_scope(struct gw_request *r)
{
	const struct ca_team *team = r->terms.team;

	snprintf(r->scope, sizeof(r->scope), "%" G_GUINT64_FORMAT ".%s",
		 r->engine->entry.weights,
		 team && team->is_isolated ? team->name : "");
}

void gw_send(struct gw_request *r, const struct gw_place_answer *to)
{
	struct gw_gateway *g = r->gateway;
	struct dl_forward_fields send = { .instance = to->engine->entry.id,
					  .priority = -1,
					  .resume_after = r->last_event };
	struct h1_headers headers;

	gw_prepare(r, to);
	gw_log_sent(r, to);
	send.team = r->terms.team ? r->terms.team->name : NULL;
	send.budget_ms = r->end_ms - r->sent_ms;
	if (send.budget_ms < 1)
		send.budget_ms = 1;
	if (r->in.model) {
		gw_set_scope(r);
		send.cache_scope = r->scope;
		send.weights = to->engine->entry.weights;
		send.priority = r->priority;
		send.fetch_from = to->source ? to->source->entry.address : NULL;
		if (to->is_from_store)
			send.fetch_from = to->store->store_address;
		if (to->is_to_store)
			send.save_to = to->store->store_address;
		/* Used or saved there now. */
		r->store_hash = to->is_from_store || to->is_to_store
					? gw_store_hash(to->store)
					: 0;
	}
	h1_headers_init(&headers);
	g->dialect->write_request(r->exchange->headers, &send, &headers);
	h1_call_start(&r->call,
		      &(struct h1_call_desc){
			      .peer = &to->engine->peer,
			      .method = r->exchange->method,
			      .target = r->exchange->target,
			      .headers = &headers,
			      .body = r->exchange->body->str,
			      .body_bytes = r->exchange->body->len,
			      .connect_timeout_ms = GW_CONNECT_TIMEOUT_MS,
			      .on_head = gw_on_head,
			      .on_body = gw_on_body,
			      .on_done = gw_on_done,
			      .arg = r });
	h1_headers_finish(&headers);
}
