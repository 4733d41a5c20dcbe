/*
 * Attempts at plain services.
 *
 * An idempotent call may be retried at another upstream. Any other call is sent
 * on a new connection and never retried once a byte may have left. If it has an
 * Idempotency-Key, the once task claims it first.
 */
#include <string.h>

#include "entry/en_dispatch.h"
#include "once/on_row.h"

MT_COUNTER(en_service_calls, "balsampin_entry_service_calls_total",
	   "calls sent to plain services")

static void en_service_place(struct en_call *call);

/* GET and HEAD are the default if the configuration lists no methods; see
 * cm.h. */
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
	struct en_request *request = call->request;
	struct en_once_request *claim = g_new0(struct en_once_request, 1);
	enum st_code code;

	g_strlcpy(claim->team, request->team, sizeof(claim->team));
	g_strlcpy(claim->service, request->name, sizeof(claim->service));
	g_strlcpy(claim->key, request->idempotency_key, sizeof(claim->key));
	on_row_hash(claim->hash, request->method, request->path,
		    request->body->str, request->body->len);
	en_call_transition(call, EN_MUST_CLAIM);
	code = kn_post(d->task->kernel, *d->desc.once,
		       &(struct kn_message){ .type = EN_MSG_ONCE,
					     .cookie = call->id,
					     .body = claim,
					     .free_body = g_free });
	if (code == ST_OK)
		return;
	en_call_fail(call, EN_OVERLOADED, NULL, 0);
	en_call_end(call);
}

void en_service_start(struct en_call *call)
{
	const struct cm_service *service =
		cm_service(call->d->process->config, call->request->name);

	if (!service) {
		en_call_fail(call, EN_UNKNOWN_SERVICE, NULL, 0);
		en_call_end(call);
		return;
	}
	call->is_idempotent = en_is_idempotent(service, call->request->method);
	call->is_once =
		!call->is_idempotent && call->request->idempotency_key[0];
	if (call->is_once)
		en_service_claim(call);
	else
		en_service_place(call);
}

static void en_report_to_once(struct en_call *call,
			      enum en_once_outcome outcome,
			      const struct up_result *result, const char *type)
{
	struct en_dispatch *d = call->d;
	struct en_once_result *report = g_new0(struct en_once_result, 1);

	report->outcome = outcome;
	if (result) {
		report->status = result->http_status;
		report->body = g_string_new_len(result->body,
						(gssize)result->body_bytes);
		g_strlcpy(report->content_type, type ? type : "",
			  sizeof(report->content_type));
	}
	if (kn_post(d->task->kernel, *d->desc.once,
		    &(struct kn_message){ .type = EN_MSG_ONCE_RESULT,
					  .cookie = call->id,
					  .body = report,
					  .free_body = en_once_result_free }) !=
	    ST_OK)
		lg_error(
			"at-most-once call outcome lost: message queue refused it",
			"request", call->request->request_id, NULL);
}

static bool en_is_excluded(const struct en_call *call, uint64_t upstream)
{
	for (uint32_t i = 0; i < call->excluded_count; i++)
		if (call->excluded[i] == upstream)
			return true;
	return false;
}

/* Lower is better: same region, same zone, not suspect, fewest requests. */
static uint64_t en_service_rank(struct en_dispatch *dispatch,
				const struct mb_member *member)
{
	const struct cf_peer *self = &dispatch->process->settings.self;
	uint64_t rank = en_load(dispatch, member->id)->running;

	if (member->state == MB_SUSPECT)
		rank += UINT64_C(1) << 32;
	if (strcmp(self->zone, member->zone) != 0)
		rank += UINT64_C(1) << 33;
	if (strcmp(self->region, member->region) != 0)
		rank += UINT64_C(1) << 34;
	return rank;
}

static const struct mb_member *en_service_select(struct en_call *call)
{
	struct en_dispatch *d = call->d;
	const struct mb_table *members = d->process->members;
	const struct mb_member *best = NULL;
	uint64_t best_rank = 0;

	for (const struct mb_member *m =
		     mb_next(members, MB_SERVICE, NULL, NULL);
	     m; m = mb_next(members, MB_SERVICE, NULL, m)) {
		uint64_t rank = en_service_rank(d, m);

		if (strcmp(m->service, call->request->name) != 0 ||
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
		call, EN_REPLY_FULL, result->http_status, headers,
		g_string_new_len(result->body, (gssize)result->body_bytes));
	if (call->is_once)
		en_report_to_once(call, EN_ONCE_ANSWERED, result, type);
	rb_budget_earn(en_call_budget(call));
	tl_record(TL_REQUEST_DONE, call->request->request_id,
		  "service=%s status=%u", call->upstream, result->http_status);
	en_call_end(call);
}

static void en_service_fail(struct en_call *call, enum en_step step)
{
	enum en_code code =
		call->may_have_run ? EN_UPSTREAM_FAILED : EN_NOT_RUN;

	if (step == EN_FAIL_DEADLINE)
		code = call->may_have_run ? EN_DEADLINE : EN_DEADLINE_NOT_RUN;
	en_call_fail(call, code, NULL, 0);
	en_call_end(call);
}

static void en_service_prepare_retry(struct en_call *call)
{
	en_call_exclude(call, call->upstream_id);
	en_call_drop_attempt(call);
	en_call_transition(call, EN_REROUTED);
}

/* The once task holds the state of the claim, so it decides the next step. */
static void en_service_fail_claimed(struct en_call *call,
				    const struct up_result *result)
{
	en_service_prepare_retry(call);
	en_call_transition(call, EN_MUST_CLAIM);
	en_report_to_once(
		call, result->maybe_sent ? EN_ONCE_UNCERTAIN : EN_ONCE_NOT_SENT,
		NULL, NULL);
}

static void en_service_on_done(void *arg, const struct up_result *result)
{
	struct en_call *call = arg;
	struct en_dispatch *d = call->d;
	struct en_attempt_result ended = {
		.end = result->end,
		.maybe_sent = result->maybe_sent,
		.may_have_run_before = call->may_have_run,
		.rb = { .is_idempotent = call->is_idempotent,
			.attempts = call->attempts,
			.deadline_ms = call->deadline_ms,
			.has_budget = rb_budget_has(en_call_budget(call)) },
	};
	bool is_garbled = result->end == UP_GARBLED;
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
	tl_record(TL_UPSTREAM_FAILED, call->request->request_id,
		  "service=%s end=%s next=%s%s%s", call->upstream,
		  up_end_name(result->end), en_step_name(step),
		  is_garbled ? " reason=" : "",
		  is_garbled ? result->message : "");
	if (call->is_once) {
		en_service_fail_claimed(call, result);
	} else if (step == EN_RETRY) {
		rb_budget_take(en_call_budget(call));
		en_service_prepare_retry(call);
		en_service_place(call);
	} else {
		en_service_fail(call, step);
	}
}

static int64_t en_service_timeout_ms(const struct en_call *call)
{
	const struct cm_service *service =
		cm_service(call->d->process->config, call->request->name);
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
	struct en_request *request = call->request;
	char id[UP_ID_BYTES];
	struct up_desc desc = {
		.kind = "service",
		.loop = d->task->kernel->loop,
		.client = &d->client,
		.id = id,
		.ipv4 = member->ipv4,
		.port = member->http_port,
		.method = request->method,
		.path = request->path,
		.headers = (const char *const *)request->headers,
		.body = request->body->len ? request->body->str : NULL,
		.body_bytes = request->body->len,
		.fresh_connection = !call->is_idempotent,
		.total_timeout_ms = en_service_timeout_ms(call),
		.on_done = en_service_on_done,
		.arg = call,
	};

	g_strlcpy(call->upstream, member->name, sizeof(call->upstream));
	call->upstream_id = member->id;
	call->attempts++;
	en_call_next_attempt_id(call, id);
	en_call_transition(call, EN_SENT);
	en_load_add(call);
	mt_add(&en_service_calls, 1);
	up_init(&call->attempt, &desc);
	call->has_attempt = true;
	tl_record(TL_REQUEST_PLACED, request->request_id,
		  "service=%s attempt=%s", member->name, id);
	if (up_start(&call->attempt) == ST_OK)
		return;
	if (call->is_once) {
		en_service_fail_claimed(call, &(struct up_result){ 0 });
		return;
	}
	en_service_fail(call, EN_FAIL_NOT_RUN);
}

static void en_service_fail_no_upstream(struct en_call *call)
{
	en_call_fail(call,
		     call->may_have_run ? EN_UPSTREAM_FAILED : EN_NO_UPSTREAM,
		     NULL, 0);
	en_call_end(call);
}

static void en_service_place(struct en_call *call)
{
	const struct mb_member *member = en_service_select(call);

	bool is_abandoned = (call->is_once && call->is_disconnected) ||
			    en_call_is_past_deadline(call);

	if (member && !is_abandoned) {
		en_service_send(call, member);
		return;
	}
	if (call->is_once) {
		en_call_transition(call, EN_MUST_CLAIM);
		en_report_to_once(call, EN_ONCE_NO_UPSTREAM, NULL, NULL);
		return;
	}
	if (is_abandoned)
		en_service_fail(call, EN_FAIL_DEADLINE);
	else
		en_service_fail_no_upstream(call);
}

void en_service_step(struct en_call *call, struct en_once_step *step)
{
	GPtrArray *headers;

	if (call->state != EN_CLAIMING)
		return;
	if (step->action == EN_ONCE_SEND) {
		en_call_transition(call, EN_CLAIMED);
		en_service_place(call);
		return;
	}
	if (step->action == EN_ONCE_ERROR) {
		en_call_fail(call, step->error, NULL, 0);
		en_call_end(call);
		return;
	}
	headers = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(headers, g_strdup("Content-Type"));
	g_ptr_array_add(headers, g_strdup(step->content_type));
	en_call_reply(call, EN_REPLY_FULL, step->status, headers, step->body);
	step->body = NULL;
	en_call_end(call);
}

void en_service_disconnected(struct en_call *call)
{
	bool may_have_begun = call->state == EN_RUNNING && !call->is_idempotent;

	if (may_have_begun || call->state == EN_CLAIMING) {
		call->is_disconnected = true;
		return;
	}
	if (call->has_attempt)
		up_cancel(&call->attempt);
	en_call_end(call);
}
