/* One attempt at an upstream, and the handling of its answer. */
#include <stdio.h>
#include <string.h>

#include "gateway/gw_cap.h"
#include "gateway/gw_notice.h"
#include "gateway/gw_poison.h"
#include "gateway/gw_reach.h"
#include "gateway/gw_request.h"
#include "gateway/gw_separate.h"
#include "gateway/gw_silence.h"
#include "gateway/gw_via.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt_family.h"
#include "placement/pu.h"

/*
 * A connection takes one to three ms within the region and 60 ms to the other
 * region; a lost packet is retransmitted after 200 ms.
 */
#define GW_CONNECT_TIMEOUT_MS 400
/*
 * A failed upstream is avoided for this time, doubled with each failure in a
 * row.
 */
#define GW_AVOID_MS	250
#define GW_AVOID_MAX_MS 4000
/* An upstream that is full or loading gets no request for this time. */
#define GW_BUSY_AVOID_MS 150

/*
 * Memory reserved for each answer while it is collected, within an event, or
 * until its caller reads it; beyond that all answers share a pool.
 */
#define GW_ANSWER_RESERVED_BYTES (64u << 10)
/* A smaller request is sent in any case. */
#define GW_SMALL_REQUEST_BYTES (64u << 10)

/* A fingerprint has 16 digits and a comma. */
#define GW_LOGGED_PARTS_BYTES (DL_MAX_PARTS * 17 + 1)

MT_HISTOGRAMS(gw_placed_ms, "balsampin_gateway_placed_ms",
	      "from a request's arrival to each send", "kind")
MT_HISTOGRAMS(gw_first_event_ms, "balsampin_gateway_first_event_ms",
	      "from a request's arrival to its first event", "kind")
MT_HISTOGRAMS(gw_between_events_ms, "balsampin_gateway_between_events_ms",
	      "between two events of a stream", "kind")
MT_HISTOGRAMS(gw_predicted_short_ms, "balsampin_gateway_predicted_short_ms",
	      "time to the first event beyond the predicted one", "kind")
MT_HISTOGRAMS(gw_predicted_long_ms, "balsampin_gateway_predicted_long_ms",
	      "predicted time to the first event beyond the actual one", "kind")
MT_COUNTERS(gw_attempt_failures, "balsampin_gateway_attempt_failures_total",
	    "attempts at an upstream that failed", "outcome")

void gw_send_log_failure(const struct gw_request *r, const char *outcome,
			 const char *reason)
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
		r->engine->entry.id, "outcome", outcome, "reason", reason,
		"status", status, "ms", ms, "content", content, NULL);
}

/* Formats the fingerprints of the parts, separated by commas. */
static void gw_format_parts(const struct gw_request *r, char *text,
			    uint32_t bytes)
{
	uint32_t used = 0;

	text[0] = '\0';
	for (uint32_t i = 0; i < r->part_count && used < bytes; i++)
		used += g_snprintf(text + used, bytes - used,
				   "%s%" G_GINT64_MODIFIER "x", i ? "," : "",
				   r->parts[i]);
}

/* Logs the placement decision and its inputs. */
static void gw_log_sent(const struct gw_request *r,
			const struct gw_place_answer *to)
{
	char weights[24], running[12], subject[20], root[20], left[24];
	char cost[24], reads[12], shared[12], priority[12], kept[12];
	char content[20], sends[12], parts[GW_LOGGED_PARTS_BYTES];

	gw_format_parts(r, parts, sizeof(parts));
	g_snprintf(weights, sizeof(weights), "%" G_GUINT64_FORMAT,
		   to->engine->entry.weights);
	g_snprintf(running, sizeof(running), "%u", to->engine->running);
	g_snprintf(subject, sizeof(subject), "%" G_GINT64_MODIFIER "x",
		   r->prefix.prefix_hash);
	g_snprintf(root, sizeof(root), "%" G_GINT64_MODIFIER "x",
		   r->prefix.root_hash);
	g_snprintf(left, sizeof(left), "%" G_GINT64_FORMAT,
		   r->deadline_ms - r->sent_ms);
	g_snprintf(cost, sizeof(cost), "%.0f", to->cost_ms);
	g_snprintf(priority, sizeof(priority), "%u", r->priority);
	g_snprintf(reads, sizeof(reads), "%u", to->read_tokens);
	g_snprintf(shared, sizeof(shared), "%u", r->prefix.shared_tokens);
	g_snprintf(content, sizeof(content), "%" G_GINT64_MODIFIER "x",
		   r->content);
	g_snprintf(sends, sizeof(sends), "%u", r->sends);
	g_snprintf(kept, sizeof(kept), "%.2f", to->kept_share);
	lg_info("request sent", "event", "request_sent", "request",
		r->in.attempt ? r->in.attempt : "", "engine",
		to->engine->entry.id, "source",
		to->is_from_store ? "store"
		: to->source	  ? to->source->entry.id
				  : "",
		"subject", subject, "root", root, "weights", weights, "running",
		running, "left_ms", left, "predicted_ms", cost, "priority",
		priority, "read_tokens", reads, "shared_tokens", shared,
		"content", content, "parts", parts, "sends", sends,
		"kept_share", kept, "build",
		gw_continue_name(&r->gateway->fleet, r->stream.sent_build),
		NULL);
}

static void gw_set_pooled(struct gw_request *r, uint64_t bytes)
{
	ba_charge(&r->gateway->account, BA_ANSWERS,
		  (int64_t)(bytes - r->pooled_bytes));
	r->pooled_bytes = bytes;
}

static void gw_set_sending(struct gw_request *r, uint64_t bytes)
{
	ba_charge(&r->gateway->account, BA_UPSTREAMS,
		  (int64_t)(bytes - r->sending_bytes));
	r->sending_bytes = bytes;
}

/*
 * Accounts for the memory that the answer holds now. Returns false if the pool
 * is exhausted. What callers hold does not count here: the request may have
 * run.
 */
bool gw_send_reserve_answer(struct gw_request *r)
{
	uint64_t held = r->answer_body->len + gw_events_pending(&r->events);

	if (r->has_begun)
		held += h1_unsent_bytes(r->exchange);
	held -= MIN(held, GW_ANSWER_RESERVED_BYTES);
	if (held > r->pooled_bytes &&
	    !ba_fits_kind(&r->gateway->account, BA_ANSWERS,
			  held - r->pooled_bytes))
		return false;
	gw_set_pooled(r, held);
	return true;
}

/* Whether there is memory for the copy that goes to the upstream. */
static bool gw_may_send(struct gw_request *r)
{
	const struct ba_account *account = &r->gateway->account;
	uint64_t bytes = r->exchange->body->len;

	return bytes <= GW_SMALL_REQUEST_BYTES ||
	       ba_fits(account, BA_UPSTREAMS, bytes) ||
	       (h1_may_take(r->exchange, bytes) &&
		ba_fits(account, BA_UPSTREAMS, bytes));
}

bool gw_send_hold_body(struct gw_request *r)
{
	if (!gw_may_send(r))
		return false;
	gw_set_sending(r, r->exchange->body->len);
	return true;
}

void gw_send_release_body(struct gw_request *r)
{
	gw_set_sending(r, 0);
}

static void gw_detach_engine(struct gw_request *r)
{
	struct fl_engine *e = r->engine;

	gw_set_sending(r, 0);
	if (!e)
		return;
	gw_separate_ended(r);
	r->is_awaiting_head = false;
	e->running--;
	e->waiting_tokens -= r->read_tokens;
	r->read_tokens = 0;
	r->engine = NULL;
	fl_unref(e);
}

static bool gw_is_silent(const struct gw_request *r)
{
	return gw_silence_of(ck_now_ms() - r->last_byte_ms,
			     r->mode != GW_NO_ANSWER, true) != GW_NOT_SILENT;
}

void gw_send_cancel(struct gw_request *r)
{
	if (!h1_call_was_sent(&r->call))
		gw_cap_give_back(r);
	gw_cap_keep(r);
	h1_call_cancel(&r->call);
	gw_poison_attempt_ended(r,
				gw_is_silent(r) ? PS_ABANDONED : PS_CANCELLED);
	gw_set_pooled(r, 0);
	gw_detach_engine(r);
}

static void gw_engine_failed(struct fl_engine *e, int64_t now_ms)
{
	int64_t avoid_ms = GW_AVOID_MS << (e->failures < 4 ? e->failures : 4);

	if (avoid_ms > GW_AVOID_MAX_MS)
		avoid_ms = GW_AVOID_MAX_MS;
	e->failures++;
	e->avoid_until_ms = now_ms + avoid_ms;
}

static void gw_engine_succeeded(struct fl_engine *e)
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

static void gw_on_sent(void *arg)
{
	gw_set_sending(arg, 0);
}

static bool gw_on_head(void *arg, uint32_t status,
		       const struct h1_headers *headers)
{
	struct gw_request *r = arg;
	struct dl_answer answer;

	gw_reach_heard(r->gateway);
	r->gateway->dialect->read_answer(status, headers, &answer);
	gw_notice_answer(r->gateway, r->engine, &answer,
			 r->in.attempt ? r->in.attempt : "");
	rj_set_limit(&r->engine->rejections, answer.rejections_per_s);
	/* A late answer to an earlier request on this connection. */
	if (answer.attempt && r->in.attempt &&
	    strcmp(answer.attempt, r->in.attempt) != 0)
		return false;
	/*
	 * Without an id it may be an earlier refusal, written once more, while
	 * the engine runs this request.
	 */
	if (!answer.attempt && r->in.attempt && !h1_call_is_first(&r->call))
		answer.has_not_run = false;
	r->is_awaiting_head = false;
	if (answer.is_signed)
		gw_poison_engine_answered(r->gateway, r->engine);
	r->answer = answer;
	r->answer.attempt = NULL;
	r->status = status;
	r->mode = r->terms.route->kind == CA_STREAM && status == 200 &&
				  answer.is_signed
			  ? GW_EVENTS
			  : GW_COLLECT;
	if (r->has_begun)
		return true;
	gw_copy_headers(headers, &r->answer_headers);
	if (r->is_passed)
		h1_headers_add(&r->answer_headers, GW_VIA_ENGINE_FIELD,
			       r->engine->entry.id);
	return true;
}

static void gw_announce_held(struct gw_request *r, uint64_t prefix,
			     uint64_t holder)
{
	struct gw_gateway *g = r->gateway;
	uint64_t key = pe_held_key(prefix, r->weights);

	if (pe_held_add(&g->held, key, holder, ck_now_ms()))
		gw_peers_announce_held(g, key, holder);
}

static void gw_announce_prefix(struct gw_request *r, uint64_t holder)
{
	gw_announce_held(r, r->prefix.prefix_hash, holder);
	if (r->prefix.root_hash != r->prefix.prefix_hash)
		gw_announce_held(r, r->prefix.root_hash, holder);
}

/* Compares the predicted time to the first event with the actual one. */
static void gw_check_prediction(struct gw_request *r)
{
	int64_t late_ms;

	r->first_event_ms = ck_now_ms() - r->sent_ms;
	late_ms = r->first_event_ms - (int64_t)r->predicted_ms;
	if (!r->in.model)
		return;
	if (late_ms > 0)
		mt_observe(&gw_predicted_short_ms, gw_request_kind(r), late_ms);
	else
		mt_observe(&gw_predicted_long_ms, gw_request_kind(r), -late_ms);
}

/* With the first event, the engine has read the prompt and holds its prefix. */
static void gw_on_first_event(struct gw_request *r)
{
	r->engine->waiting_tokens -= r->read_tokens;
	r->read_tokens = 0;
	r->is_awaiting_event = false;
	gw_check_prediction(r);
	if (!r->prefix.prefix_hash)
		return;
	gw_announce_prefix(r, r->engine->hash);
	if (r->store_hash)
		gw_announce_prefix(r, r->store_hash);
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

static void gw_forward_event(struct gw_request *r, const struct gw_event *event)
{
	if (r->is_awaiting_event)
		gw_on_first_event(r);
	gw_poison_attempt_streaming(r);
	if (event->id >= 0 && event->id <= r->last_event)
		return;
	r->last_byte_ms = ck_now_ms();
	gw_continue_forward(r);
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

/* The answer exceeds the available memory; no caller could get it whole. */
static void gw_answer_too_large(struct gw_request *r)
{
	gw_send_log_failure(r, "too_large", "");
	gw_engine_failed(r->engine, ck_now_ms());
	gw_send_cancel(r);
	r->may_have_begun = true;
	gw_request_failed(r, "answer_too_large");
}

/* The engine may have come back as another build since the request was sent. */
static void gw_build_in_doubt(struct gw_request *r)
{
	gw_send_log_failure(r, "build_in_doubt", "");
	gw_send_cancel(r);
	r->may_have_begun = true;
	gw_request_failed(r, "build_in_doubt");
}

static void gw_on_body(void *arg, const char *data, uint64_t bytes)
{
	struct gw_request *r = arg;
	struct gw_event event;

	gw_reach_heard(r->gateway);
	if (r->mode == GW_EVENTS && r->is_awaiting_event &&
	    !gw_continue_may_forward(&r->stream, fl_build(r->engine))) {
		gw_build_in_doubt(r);
		return;
	}
	if (r->mode == GW_COLLECT) {
		r->last_byte_ms = ck_now_ms();
		/*
		 * Unsigned answers are not forwarded; only their head counts.
		 */
		if (r->answer.is_signed)
			g_string_append_len(r->answer_body, data, bytes);
	} else {
		gw_events_add(&r->events, data, bytes);
		while (gw_events_next(&r->events, &event))
			gw_forward_event(r, &event);
	}
	if (!gw_send_reserve_answer(r))
		gw_answer_too_large(r);
}

/* 421 is for another engine, and no want of room. */
static void gw_back_off(const struct gw_request *r)
{
	struct rj_state *rejections = &r->engine->rejections;
	char backoff[24];

	if (r->status != 503 || !rejections->per_s)
		return;
	rj_rejected(rejections, gw_peers_count(r->gateway) + 1,
		    g_random_double(), ck_now_ms());
	g_snprintf(backoff, sizeof(backoff), "%" G_GINT64_FORMAT,
		   rejections->backoff_until_ms - ck_now_ms());
	lg_info("engine has rejected a request", "event", "engine_backoff",
		"engine", r->engine->entry.id, "request",
		r->in.attempt ? r->in.attempt : "", "backoff_ms", backoff,
		NULL);
}

/* @reason: what is wrong with the answer behind its head; or "". */
static void gw_attempt_refused(struct gw_request *r, const char *reason)
{
	int64_t until_ms = ck_now_ms() + GW_BUSY_AVOID_MS;

	gw_cap_give_back(r);
	gw_send_log_failure(r, "not_run", reason);
	if (r->engine->avoid_until_ms < until_ms)
		r->engine->avoid_until_ms = until_ms;
	gw_back_off(r);
	gw_poison_attempt_ended(r, PS_CANCELLED);
	gw_detach_engine(r);
	gw_request_failed(r, "refused_by_engine");
}

static void gw_attempt_answered(struct gw_request *r)
{
	if (r->answer.has_not_run) {
		gw_attempt_refused(r, "");
		return;
	}
	gw_cap_keep(r);
	r->may_have_begun = true;
	/* The engine did not crash, even if it answered with an error. */
	gw_poison_attempt_ended(r, r->answer.is_signed ? PS_COMPLETED
						       : PS_CANCELLED);
	if (!r->answer.is_signed) {
		gw_send_log_failure(r, "unsigned_answer", "");
		gw_engine_failed(r->engine, ck_now_ms());
		gw_detach_engine(r);
		gw_request_failed(r, "unsigned_answer");
		return;
	}
	if (r->mode == GW_EVENTS) {
		gw_engine_succeeded(r->engine);
		gw_request_answer(r);
		return;
	}
	/* Retry after an internal error of the engine. */
	if (r->status >= 500 && gw_request_can_retry(r)) {
		gw_send_log_failure(r, "engine_error", "");
		gw_detach_engine(r);
		gw_request_failed(r, "engine_error");
		return;
	}
	gw_engine_succeeded(r->engine);
	if (r->has_begun) {
		gw_request_refuse(r, 502, "stream_not_continued");
		return;
	}
	gw_request_answer(r);
}

/*
 * Checks with a new connection whether the engine crashed during the attempt.
 */
static void gw_attempt_broken(struct gw_request *r)
{
	gw_poison_attempt_ended(r, PS_BROKEN);
	if (gw_poison_has_broken_attempt(r->gateway, r->engine))
		gw_silence_check(r->gateway, r->engine);
	gw_detach_engine(r);
}

static void gw_on_done(void *arg, enum h1_outcome outcome)
{
	struct gw_request *r = arg;
	bool was_torn =
		r->mode == GW_EVENTS && gw_events_is_incomplete(&r->events);

	if (outcome == H1_DONE && !was_torn) {
		gw_attempt_answered(r);
		return;
	}
	/* A head that says "not run" is final, however the body ends. */
	if (r->mode == GW_COLLECT && r->answer.has_not_run) {
		if (outcome == H1_GARBLED)
			gw_engine_failed(r->engine, ck_now_ms());
		gw_attempt_refused(r, h1_outcome_reason(outcome));
		return;
	}
	gw_send_log_failure(r,
			    was_torn ? "torn_event" : h1_outcome_name(outcome),
			    h1_outcome_reason(outcome));
	if (outcome == H1_NO_DESCRIPTOR) {
		gw_cap_give_back(r);
		gw_poison_attempt_ended(r, PS_CANCELLED);
		gw_detach_engine(r);
		r->sends--;
		gw_request_give_up(r, "no_descriptor");
		return;
	}
	gw_engine_failed(r->engine, ck_now_ms());
	if (r->mode == GW_NO_ANSWER && outcome != H1_GARBLED)
		gw_reach_failed(r->gateway, r->engine, r->sent_ms);
	if (outcome == H1_NOT_SENT) {
		gw_cap_give_back(r);
		gw_poison_attempt_ended(r, PS_CANCELLED);
		gw_detach_engine(r);
		r->sends--;
		r->failed_connects++;
		gw_request_place(r);
		return;
	}
	gw_cap_keep(r);
	r->may_have_begun = true;
	gw_attempt_broken(r);
	gw_request_failed(r, "engine_broke_off");
}

/*
 * Returns the time left to the target for the first token; 0: there is no
 * target.
 */
static int64_t gw_target_left_ms(const struct gw_request *r)
{
	int64_t target_ms = r->terms.route->target_ms;

	if (!target_ms)
		return 0;
	return MAX(target_ms - (ck_now_ms() - r->arrived_ms), 1);
}

static void gw_prepare_attempt(struct gw_request *r,
			       const struct gw_place_answer *to)
{
	struct fl_engine *engine = to->engine;

	struct pu_urgency urgency =
		pu_decide(to->cost_ms, gw_target_left_ms(r), to->mean_wait_ms,
			  r->terms.priority);

	r->engine = engine;
	r->priority = urgency.priority;
	r->read_tokens = to->read_tokens * urgency.weight;
	fl_ref(engine);
	engine->running++;
	rj_sent(&engine->rejections, ck_now_ms());
	engine->waiting_tokens += r->read_tokens;
	gw_separate_started(r, to->read_tokens);
	r->gateway->sent_tokens += to->read_tokens + r->in.max_output_tokens;
	r->weights = engine->entry.weights;
	gw_continue_sent(r);
	gw_poison_attempt_started(r);
	r->is_awaiting_head = true;
	r->is_awaiting_event = true;
	r->sends++;
	r->sent_ms = ck_now_ms();
	r->predicted_ms = to->cost_ms;
	r->first_event_ms = -1;
	r->last_byte_ms = r->sent_ms;
	mt_observe(&gw_placed_ms, gw_request_kind(r),
		   r->sent_ms - r->arrived_ms);
	r->mode = GW_NO_ANSWER;
	r->status = 0;
	g_string_truncate(r->answer_body, 0);
	if (r->tried_count < GW_MAX_TRIED)
		r->tried[r->tried_count++] = engine->hash;
}

/*
 * Sets the cache scope, which keeps apart weights and the prompts of isolated
 * teams.
 */
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
					  .resume_after = r->last_event,
					  .omitted = GW_VIA_FIELD };
	struct h1_headers headers;

	if (!gw_send_hold_body(r)) {
		gw_cap_give_back(r);
		gw_request_give_up(r, "no_memory");
		return;
	}
	gw_prepare_attempt(r, to);
	gw_log_sent(r, to);
	send.team = r->terms.team ? r->terms.team->name : NULL;
	send.budget_ms = r->deadline_ms - r->sent_ms;
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
		/* The store holds the prefix, or will after this request. */
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
			      .on_sent = gw_on_sent,
			      .on_head = gw_on_head,
			      .on_body = gw_on_body,
			      .on_done = gw_on_done,
			      .arg = r });
	h1_headers_finish(&headers);
}
