/*
 * Attempts at plain services.
 *
 * An idempotent call may be sent again elsewhere. Any other goes out once, on
 * a connection of its own, and is never sent again once a byte may have left;
 * with an Idempotency-Key the once task claims it first.
 */
#include <string.h>

#include "entry/en_dispatch.h"
#include "once/on_row.h"

MT_COUNTER(en_service_calls, "balsampin_entry_service_calls_total",
	   "calls sent to plain services")

static void en_service_place(struct en_call *call);

/* Without a list of the configuration these are; see cm.h. */
static bool en_is_idempotent(const struct cm_service *service,
			     const char *method)
{
	if (service->idempotent_methods.count)
		return cm_names_has(&service->idempotent_methods, method);
	return !strcmp(method, "GET") || !strcmp(method, "HEAD");
}

static void en_service_claim(struct en_call *call)
{
	struct en_dispatch *d = call->d;
	struct en_ask *ask = call->ask;
	struct en_once_ask *once = g_new0(struct en_once_ask, 1);
	enum st_code code;

	g_strlcpy(once->team, ask->team, sizeof(once->team));
	g_strlcpy(once->service, ask->name, sizeof(once->service));
	g_strlcpy(once->key, ask->idempotency_key, sizeof(once->key));
	on_row_hash(once->hash, ask->method, ask->path, ask->body->str,
		    ask->body->len);
	en_call_change(call, EN_MUST_CLAIM);
	code = kn_post(d->task->kernel, *d->desc.once,
		       &(struct kn_message){ .type = EN_MSG_ONCE,
					     .cookie = call->id,
					     .body = once,
					     .free_body = g_free });
	if (code == ST_OK)
		return;
	en_call_fail(call, EN_OVERLOADED, NULL, 0);
	en_call_end(call);
}

void en_service_begin(struct en_call *call)
{
	const struct cm_service *service =
		cm_service(call->d->process->config, call->ask->name);

	if (!service) {
		en_call_fail(call, EN_UNKNOWN_SERVICE, NULL, 0);
		en_call_end(call);
		return;
	}
	call->is_idempotent = en_is_idempotent(service, call->ask->method);
	call->is_once = !call->is_idempotent && call->ask->idempotency_key[0];
	if (call->is_once)
		en_service_claim(call);
	else
		en_service_place(call);
}

static void en_tell_once(struct en_call *call, enum en_once_outcome outcome,
			 const struct up_result *result, const char *type)
{
	struct en_dispatch *d = call->d;
	struct en_once_sent *sent = g_new0(struct en_once_sent, 1);

	sent->outcome = outcome;
	if (result) {
		sent->status = result->http_status;
		sent->body = g_string_new_len(result->body,
					      (gssize)result->body_bytes);
		g_strlcpy(sent->content_type, type ? type : "",
			  sizeof(sent->content_type));
	}
	if (kn_post(d->task->kernel, *d->desc.once,
		    &(struct kn_message){ .type = EN_MSG_ONCE_SENT,
					  .cookie = call->id,
					  .body = sent,
					  .free_body = en_once_sent_free }) !=
	    ST_OK)
		lg_error("outcome of an at-most-once call was dropped",
			 "request", call->ask->request_id, NULL);
}

static bool en_is_excluded(const struct en_call *call, uint64_t upstream)
{
	for (uint32_t i = 0; i < call->excluded_count; i++)
		if (call->excluded[i] == upstream)
			return true;
	return false;
}

/* Lower is better: distance, then suspicion, then what runs there. */
static uint64_t en_service_rank(struct en_dispatch *d,
				const struct mb_member *m)
{
	const struct cf_peer *self = &d->process->settings.self;
	uint64_t rank = en_load(d, m->id)->running;

	if (m->state == MB_SUSPECT)
		rank += UINT64_C(1) << 32;
	if (strcmp(self->zone, m->zone) != 0)
		rank += UINT64_C(1) << 33;
	if (strcmp(self->region, m->region) != 0)
		rank += UINT64_C(1) << 34;
	return rank;
}

static const struct mb_member *en_service_pick(struct en_call *call)
{
	struct en_dispatch *d = call->d;
	const struct mb_table *members = d->process->members;
	const struct mb_member *best = NULL;
	uint64_t best_rank = 0;

	for (const struct mb_member *m =
		     mb_next(members, MB_SERVICE, NULL, NULL);
	     m; m = mb_next(members, MB_SERVICE, NULL, m)) {
		uint64_t rank = en_service_rank(d, m);

		if (strcmp(m->service, call->ask->name) != 0 ||
		    !mb_can_get_work(m) || en_is_excluded(call, m->id))
			continue;
		if (best && (rank > best_rank ||
			     (rank == best_rank && d->attempts % 2)))
			continue;
		best = m;
		best_rank = rank;
	}
	return best;
}

static void en_service_answer(struct en_call *call,
			      const struct up_result *result)
{
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	const char *type = NULL;

	for (const char *const *h = result->headers; h && *h; h += 2) {
		g_ptr_array_add(headers, g_strdup(h[0]));
		g_ptr_array_add(headers, g_strdup(h[1]));
		if (!strcmp(h[0], "content-type"))
			type = h[1];
	}
	en_call_reply(
		call, EN_WHOLE, result->http_status, headers,
		g_string_new_len(result->body, (gssize)result->body_bytes));
	if (call->is_once)
		en_tell_once(call, EN_ONCE_WHOLE, result, type);
	rb_budget_earn(en_call_budget(call));
	tl_record(TL_REQUEST_DONE, call->ask->request_id,
		  "service=%s status=%u", call->upstream, result->http_status);
	en_call_end(call);
}

static void en_service_fail(struct en_call *call, enum en_step step)
{
	enum en_code code = call->may_have_run ? EN_UNCERTAIN : EN_NOT_RUN;

	if (step == EN_FAIL_DEADLINE)
		code = call->may_have_run ? EN_DEADLINE : EN_DEADLINE_NOT_RUN;
	en_call_fail(call, code, NULL, 0);
	en_call_end(call);
}

static void en_service_elsewhere(struct en_call *call)
{
	en_call_exclude(call, call->upstream_id);
	en_call_drop_attempt(call);
	en_call_change(call, EN_SEND_ELSEWHERE);
}

/* The once task decides what follows; it knows the claim. */
static void en_service_once_failed(struct en_call *call,
				   const struct up_result *result)
{
	en_service_elsewhere(call);
	en_call_change(call, EN_MUST_CLAIM);
	en_tell_once(call,
		     result->maybe_sent ? EN_ONCE_UNCERTAIN : EN_ONCE_NOT_SENT,
		     NULL, NULL);
}

static void en_service_on_done(void *arg, const struct up_result *result)
{
	struct en_call *call = arg;
	struct en_dispatch *d = call->d;
	struct en_ended ended = {
		.end = result->end,
		.maybe_sent = result->maybe_sent,
		.may_have_begun_before = call->may_have_run,
		.rb = { .is_idempotent = call->is_idempotent,
			.attempts = call->attempts,
			.deadline_ms = call->deadline_ms,
			.has_budget = rb_budget_has(en_call_budget(call)) },
	};
	enum en_step step;

	if (result->end == UP_COMPLETE) {
		mb_report_answered(d->task->kernel, d->process->membership,
				   MB_SERVICE, call->upstream, 0);
		en_service_answer(call, result);
		return;
	}
	mb_report_failed(d->task->kernel, d->process->membership, MB_SERVICE,
			 call->upstream);
	step = en_recover(&ended, ck_now_ms());
	call->may_have_run = call->may_have_run || en_may_have_run(&ended);
	tl_record(TL_UPSTREAM_FAILED, call->ask->request_id,
		  "service=%s end=%s next=%s", call->upstream,
		  up_end_name(result->end), en_step_name(step));
	if (call->is_once) {
		en_service_once_failed(call, result);
	} else if (step == EN_RETRY) {
		rb_budget_take(en_call_budget(call));
		en_service_elsewhere(call);
		en_service_place(call);
	} else {
		en_service_fail(call, step);
	}
}

static int64_t en_service_timeout_ms(const struct en_call *call)
{
	const struct cm_service *service =
		cm_service(call->d->process->config, call->ask->name);
	int64_t timeout_ms =
		service ? service->timeout_ms : CM_DEFAULT_SERVICE_TIMEOUT_MS;

	if (call->deadline_ms)
		timeout_ms = MIN(timeout_ms, en_call_time_left_ms(call));
	return timeout_ms;
}

static void en_service_send(struct en_call *call,
			    const struct mb_member *member)
{
	struct en_dispatch *d = call->d;
	struct en_ask *ask = call->ask;
	char id[UP_ID_BYTES];
	struct up_desc desc = {
		.kind = "service",
		.loop = d->task->kernel->loop,
		.client = &d->client,
		.id = id,
		.ipv4 = member->ipv4,
		.port = member->http_port,
		.method = ask->method,
		.path = ask->path,
		.headers = (const char *const *)ask->headers,
		.body = ask->body->len ? ask->body->str : NULL,
		.body_bytes = ask->body->len,
		.fresh_connection = !call->is_idempotent,
		.total_timeout_ms = en_service_timeout_ms(call),
		.on_done = en_service_on_done,
		.arg = call,
	};

	g_strlcpy(call->upstream, member->name, sizeof(call->upstream));
	call->upstream_id = member->id;
	call->attempts++;
	en_call_next_id(call, id);
	en_call_change(call, EN_SENT);
	en_load_count(call);
	mt_add(&en_service_calls, 1);
	up_init(&call->attempt, &desc);
	call->has_attempt = true;
	tl_record(TL_REQUEST_PLACED, ask->request_id, "service=%s attempt=%s",
		  member->name, id);
	if (up_start(&call->attempt) == ST_OK)
		return;
	if (call->is_once) {
		en_service_once_failed(call, &(struct up_result){ 0 });
		return;
	}
	en_service_fail(call, EN_FAIL_NOT_RUN);
}

static void en_service_fail_no_upstream(struct en_call *call)
{
	en_call_fail(call, call->may_have_run ? EN_UNCERTAIN : EN_NO_UPSTREAM,
		     NULL, 0);
	en_call_end(call);
}

static void en_service_place(struct en_call *call)
{
	const struct mb_member *member = en_service_pick(call);

	bool is_given_up =
		(call->is_once && call->is_gone) || en_call_is_late(call);

	if (member && !is_given_up) {
		en_service_send(call, member);
		return;
	}
	if (call->is_once) {
		en_call_change(call, EN_MUST_CLAIM);
		en_tell_once(call, EN_ONCE_NOWHERE, NULL, NULL);
		return;
	}
	if (is_given_up)
		en_service_fail(call, EN_FAIL_DEADLINE);
	else
		en_service_fail_no_upstream(call);
}

void en_service_step(struct en_call *call, struct en_once_step *step)
{
	GPtrArray *headers;

	if (call->state != EN_CLAIMING)
		return;
	if (step->part == EN_ONCE_SEND) {
		en_call_change(call, EN_CLAIMED);
		en_service_place(call);
		return;
	}
	if (step->part == EN_ONCE_ERROR) {
		en_call_fail(call, step->error, NULL, 0);
		en_call_end(call);
		return;
	}
	headers = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(headers, g_strdup("Content-Type"));
	g_ptr_array_add(headers, g_strdup(step->content_type));
	en_call_reply(call, EN_WHOLE, step->status, headers, step->body);
	step->body = NULL;
	en_call_end(call);
}

void en_service_gone(struct en_call *call)
{
	bool may_have_begun = call->state == EN_RUNNING && !call->is_idempotent;

	if (may_have_begun || call->state == EN_CLAIMING) {
		call->is_gone = true;
		return;
	}
	if (call->has_attempt)
		up_cancel(&call->attempt);
	en_call_end(call);
}
