/*
 * Attempts at engines, and recovery from failed ones.
 */
#include <string.h>

#include "entry/en_dispatch.h"

MT_COUNTER(en_resumed, "balsampin_entry_streams_resumed_total",
	   "streams resumed on a new connection")
MT_COUNTER(en_continued, "balsampin_entry_streams_continued_total",
	   "streams continued by another engine")
MT_COUNTER(en_retried, "balsampin_entry_retries_total",
	   "requests sent to another upstream")
MT_COUNTER(en_completed, "balsampin_entry_completed_total",
	   "requests answered in full")

static void en_engine_start(struct en_call *call);

/* Computes what all attempts share. */
void en_engine_prepare(struct en_call *call)
{
	struct en_request *request = call->request;
	const struct cm_model *model =
		cm_model(call->d->process->config, request->name);
	GString *prompt = g_string_new(NULL);
	uint64_t salt, chunk_bytes;

	g_strlcpy(call->version,
		  model->serving[0] ? model->serving : model->version,
		  sizeof(call->version));
	en_request_prompt(request, prompt);
	call->chain = g_new0(struct px_chain, 1);
	salt = px_salt(request->team, model->name, call->version,
		       model->adapter);
	px_chain_make(call->chain, salt, prompt->str, prompt->len);
	call->prompt_tokens = (uint32_t)(prompt->len / EN_BYTES_PER_TOKEN + 1);
	call->body = up_body_make(request->json, ug_priority(call->urgency));
	chunk_bytes = (uint64_t)call->chain->count * PX_CHUNK_BYTES;
	call->fingerprint = ps_fingerprint(
		salt, call->chain, prompt->str + MIN(chunk_bytes, prompt->len),
		prompt->len - MIN(chunk_bytes, prompt->len), request->name,
		strlen(request->name));
	g_string_free(prompt, TRUE);
	json_object_put(request->json);
	request->json = NULL;
	call->is_idempotent = true;
}

static void en_reply_data(struct en_call *call, GString *out)
{
	if (!out->len) {
		g_string_free(out, TRUE);
		return;
	}
	en_call_reply(call, EN_REPLY_DATA, 0, NULL, out);
}

static void en_begin_stream(struct en_call *call)
{
	GPtrArray *headers;

	if (call->has_stream_begun)
		return;
	call->has_stream_begun = true;
	headers = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(headers, g_strdup("Content-Type"));
	g_ptr_array_add(headers, g_strdup("text/event-stream"));
	g_ptr_array_add(headers, g_strdup("Cache-Control"));
	g_ptr_array_add(headers, g_strdup("no-cache"));
	en_call_reply(call, EN_REPLY_BEGIN, 200, headers, NULL);
}

static void en_on_first_token(struct en_call *call)
{
	int64_t took_ms = ck_now_ms() - call->sent_ms;

	call->incarnation = up_incarnation(&call->attempt);
	ps_engine_answered(&call->d->poison, call->upstream_id,
			   call->incarnation);
	en_load_first_token(call);
	lm_engine_first_token(&call->d->engine_limits, call->upstream_id,
			      (uint32_t)took_ms, call->new_tokens,
			      call->running_at_send);
	ug_record(&call->d->urgency, call->history_key, UG_ANSWERED,
		  ck_now_ms() - call->arrived_ms, ck_now_ms());
	en_peers_send_record(call, BP_IX_PREFILLED);
}

/* Ends the stream to the caller; the attempt finishes on its own. */
static void en_end_stream(struct en_call *call)
{
	en_call_reply(call, EN_REPLY_DATA, 0, NULL,
		      g_string_new("data: [DONE]\n\n"));
	en_call_reply(call, EN_REPLY_END, 0, NULL, NULL);
}

static void en_on_event(void *arg, const struct up_event *event)
{
	struct en_call *call = arg;
	bool had_token = call->relay.has_token;
	GString *out;

	if (event->is_done) {
		en_begin_stream(call);
		en_end_stream(call);
		return;
	}
	out = g_string_new(NULL);
	en_relay_event(&call->relay, event->json, out);
	if (!had_token && call->relay.has_token)
		en_on_first_token(call);
	if (out->len) {
		en_begin_stream(call);
		if (call->state == EN_RUNNING)
			en_call_transition(call, EN_FIRST_EVENT);
	}
	en_reply_data(call, out);
}

static void en_reply_plain(struct en_call *call, const struct up_result *result)
{
	GString *out = g_string_new(NULL);

	en_relay_plain(&call->relay, result->json, out);
	en_on_first_token(call);
	en_call_reply(call, EN_REPLY_FULL, 200, NULL, out);
}

static void en_complete(struct en_call *call, const struct up_result *result)
{
	if (!call->request->is_stream)
		en_reply_plain(call, result);
	mt_add(&en_completed, 1);
	rb_budget_earn(en_call_budget(call));
	en_peers_send_record(call, BP_IX_ENDED);
	tl_record(TL_REQUEST_DONE, call->request->request_id,
		  "engine=%s ms=%" G_GINT64_FORMAT " attempts=%u",
		  call->upstream, ck_now_ms() - call->arrived_ms,
		  call->attempts);
	en_call_end(call);
}

/* Forwards the engine's status and error message to the caller. */
static void en_forward_refusal(struct en_call *call,
			       const struct up_result *result)
{
	struct en_error error = *en_error(EN_BAD_FIELD);
	struct json_object *json =
		up_parse_json(result->body, result->body_bytes);
	struct json_object *inner, *message = NULL;
	GString *body = g_string_new(NULL);

	error.code = "refused_by_engine";
	error.message = "the engine refused the request";
	if (json_object_object_get_ex(json, "error", &inner))
		json_object_object_get_ex(inner, "message", &message);
	en_error_body(body, &error,
		      message ? json_object_get_string(message) : NULL);
	json_object_put(json);
	tl_record(TL_REQUEST_REFUSED, call->request->request_id,
		  "engine=%s status=%u", call->upstream, result->http_status);
	en_call_reply(call, EN_REPLY_FULL, result->http_status, NULL, body);
	en_call_end(call);
}

static void en_end_text(struct en_call *call)
{
	GString *out = g_string_new(NULL);

	if (!call->relay.has_text_end)
		en_relay_end_text(&call->relay, out);
	en_reply_data(call, out);
	en_end_stream(call);
	tl_record(TL_REQUEST_DONE, call->request->request_id,
		  "engine=%s text_only=1", call->upstream);
	en_call_end(call);
}

/* Cancels at the engine too, which may still be working on the request. */
static void en_cancel_attempt(struct en_call *call)
{
	if (call->has_attempt)
		up_cancel(&call->attempt);
	en_call_drop_attempt(call);
}

static void en_reroute(struct en_call *call)
{
	if (!call->is_retry_free)
		rb_budget_take(en_call_budget(call));
	en_call_exclude(call, call->upstream_id);
	en_cancel_attempt(call);
	en_call_transition(call, EN_REROUTED);
	en_place(call);
}

static void en_continue(struct en_call *call)
{
	char *body = up_body_continue(call->body, call->relay.text->str,
				      call->relay.tokens);

	/* No tokens are left of max_tokens: the text is complete. */
	if (!body) {
		en_cancel_attempt(call);
		en_end_text(call);
		return;
	}
	g_free(body);
	mt_add(&en_continued, 1);
	tl_record(TL_STREAM_CONTINUED, call->request->request_id,
		  "from=%s tokens=%u", call->upstream, call->relay.tokens);
	en_relay_continue(&call->relay);
	en_reroute(call);
}

static void en_resume(struct en_call *call)
{
	call->attempts++;
	call->is_resuming = true;
	mt_add(&en_resumed, 1);
	tl_record(TL_STREAM_RESUMED, call->request->request_id, "engine=%s",
		  call->upstream);
	if (up_resume(&call->attempt) == ST_OK)
		return;
	en_call_fail(call, EN_STREAM_BROKEN, NULL, 0);
	en_cancel_attempt(call);
	en_call_end(call);
}

static void en_fail(struct en_call *call, enum en_step step)
{
	enum en_code code = EN_NOT_RUN;

	if (step == EN_FAIL_UNCERTAIN)
		code = call->has_stream_begun ? EN_STREAM_BROKEN
					      : EN_UPSTREAM_FAILED;
	if (step == EN_FAIL_DEADLINE)
		code = EN_DEADLINE;
	en_call_fail(call, code, NULL, 0);
	if (call->may_have_run)
		en_cancel_attempt(call);
	en_call_end(call);
}

static void en_note_wrong_weights(struct en_call *call)
{
	uint64_t *key = g_new(uint64_t, 1);
	int64_t *until_ms = g_new(int64_t, 1);

	*key = px_rank(call->upstream_id, px_id(call->version));
	*until_ms = ck_now_ms() + EN_WRONG_WEIGHTS_MS;
	if (g_hash_table_size(call->d->wrong_weights) >= EN_MAX_WRONG_WEIGHTS)
		g_hash_table_remove_all(call->d->wrong_weights);
	g_hash_table_replace(call->d->wrong_weights, key, until_ms);
}

/* The engine ran nothing and refuses until it has loaded these weights. */
static bool en_lacks_weights(const struct up_result *result)
{
	if (result->fault == SD_WRONG_WEIGHTS)
		return true;
	return result->end == UP_REFUSED &&
	       (result->http_status == 404 || result->http_status == 409);
}

static void en_pause_engine(struct en_call *call, int64_t pause_ms)
{
	char text[24];

	if (!lm_engine_pause(&call->d->engine_limits, call->upstream_id,
			     pause_ms, ck_now_ms()))
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, pause_ms);
	lg_info("engine asks for a pause", "event", "engine_paused", "engine",
		call->upstream, "request", call->request->request_id,
		"pause_ms", text, NULL);
}

/* Reports to the membership and the limits what the result shows about the
 * engine; the outcome of the request does not matter here. */
static void en_report_engine(struct en_call *call,
			     const struct up_result *result)
{
	struct en_dispatch *d = call->d;
	struct kn_kernel *kernel = d->task->kernel;

	if (result->incarnation && result->end != UP_NOT_SENT)
		mb_report_answered(kernel, d->process->membership, MB_ENGINE,
				   call->upstream, result->incarnation);
	if (result->end == UP_NOT_SENT || result->end == UP_BROKEN ||
	    result->end == UP_SILENT || result->end == UP_GARBLED)
		mb_report_failed(kernel, d->process->membership, MB_ENGINE,
				 call->upstream);
	if (en_lacks_weights(result))
		en_note_wrong_weights(call);
	if (result->http_status == 429 || result->http_status == 503)
		lm_engine_overloaded(&d->engine_limits, call->upstream_id);
	if (result->pause_ms)
		en_pause_engine(call, result->pause_ms);
}

static void en_record_attempt_end(struct en_call *call,
				  const struct up_result *result)
{
	enum ps_end end = PS_CANCELLED;

	if (result->end == UP_COMPLETE)
		end = PS_COMPLETED;
	if (result->end == UP_BROKEN ||
	    (result->end == UP_NOT_SENT && call->is_resuming))
		end = PS_BROKEN;
	if (ps_ended(&call->d->poison, call->fingerprint, call->upstream_id,
		     call->incarnation, end, ck_now_ms()))
		en_peers_send_poison(call->d, call->fingerprint, 0, 0);
}

/* The budget bounds repeated work at engines; a refusal cost none. */
static bool en_may_retry(struct en_call *call, const struct up_result *result)
{
	call->is_retry_free = en_lacks_weights(result) && !call->is_resuming;
	return call->is_retry_free || rb_budget_has(en_call_budget(call));
}

static enum en_step en_next_step(struct en_call *call,
				 const struct up_result *result)
{
	struct en_attempt_result ended = {
		.end = result->end,
		.fault = result->fault,
		.http_status = result->http_status,
		.maybe_sent = result->maybe_sent,
		.can_resume = up_can_resume(&call->attempt),
		.is_resuming = call->is_resuming,
		.has_text_end = call->relay.has_text_end,
		.may_have_run_before = call->may_have_run,
		.rb = { .is_idempotent = true,
			.has_answer_bytes = call->has_stream_begun,
			.can_continue = call->relay.is_continuable,
			.attempts = call->attempts,
			.deadline_ms = call->deadline_ms,
			.has_budget = en_may_retry(call, result) },
	};
	enum en_step step = en_recover(&ended, ck_now_ms());
	bool is_garbled = result->end == UP_GARBLED;

	call->may_have_run = call->may_have_run || en_may_have_run(&ended);
	if (step != EN_FINISH)
		tl_record(TL_UPSTREAM_FAILED, call->request->request_id,
			  "engine=%s end=%s fault=%s status=%u next=%s%s%s",
			  call->upstream, up_end_name(result->end),
			  sd_fault_name(result->fault), result->http_status,
			  en_step_name(step), is_garbled ? " reason=" : "",
			  is_garbled ? result->message : "");
	return step;
}

/*
 * It is unknown whether the far entry or the engine behind it failed, so only
 * a direct attempt may count against the engine.
 */
static void en_retry_directly(struct en_call *call)
{
	mb_report_failed(call->d->task->kernel, call->d->process->membership,
			 MB_ENTRY, call->far);
	ps_ended(&call->d->poison, call->fingerprint, call->upstream_id,
		 call->incarnation, PS_CANCELLED, ck_now_ms());
	en_call_drop_attempt(call);
	call->is_direct = true;
	en_call_transition(call, EN_REROUTED);
	en_place(call);
}

static void en_on_done(void *arg, const struct up_result *result)
{
	struct en_call *call = arg;
	enum en_step step;

	if (result->end == UP_NOT_SENT && call->via.near) {
		en_retry_directly(call);
		return;
	}
	en_report_engine(call, result);
	step = en_next_step(call, result);
	/* A resumed run has not ended yet. */
	if (step != EN_RESUME)
		en_record_attempt_end(call, result);
	switch (step) {
	case EN_FINISH:
		en_complete(call, result);
		break;
	case EN_RESUME:
		en_resume(call);
		break;
	case EN_RETRY:
		mt_add(&en_retried, 1);
		en_reroute(call);
		break;
	case EN_CONTINUE:
		en_continue(call);
		break;
	case EN_END_TEXT:
		en_cancel_attempt(call);
		en_end_text(call);
		break;
	case EN_PASS_ON:
		en_forward_refusal(call, result);
		break;
	default:
		en_fail(call, step);
		break;
	}
}

static void en_engine_start(struct en_call *call)
{
	enum st_code code = up_start(&call->attempt);

	if (code == ST_OK)
		return;
	en_call_fail(call,
		     call->may_have_run ? EN_UPSTREAM_FAILED : EN_OVERLOADED,
		     NULL, 0);
	en_call_end(call);
}

void en_engine_send(struct en_call *call, const struct mb_member *engine,
		    uint32_t new_tokens)
{
	struct en_dispatch *d = call->d;
	const struct cf_limits *limits = &d->process->settings.limits;
	const struct cm_model *model =
		cm_model(d->process->config, call->request->name);
	char id[UP_ID_BYTES];
	char *body = call->body;
	struct up_desc desc = {
		.kind = "engine",
		.loop = d->task->kernel->loop,
		.client = &d->client,
		.id = id,
		.ipv4 = engine->ipv4,
		.port = engine->http_port,
		.path = call->request->path,
		.weights = call->version,
		.incarnation = engine->incarnation,
		.cache_salt =
			px_salt(call->request->team, call->request->name,
				call->version, model ? model->adapter : ""),
		.is_stream = call->request->is_stream,
		.first_byte_timeout_ms = limits->first_byte_timeout_ms,
		.idle_timeout_ms = limits->idle_timeout_ms,
		.total_timeout_ms = en_call_time_left_ms(call),
		.on_event = en_on_event,
		.on_done = en_on_done,
		.arg = call,
	};

	if (call->relay.tokens)
		body = up_body_continue(call->body, call->relay.text->str,
					call->relay.tokens);
	desc.body = body;
	desc.body_bytes = strlen(body);
	g_strlcpy(call->upstream, engine->name, sizeof(call->upstream));
	g_strlcpy(call->upstream_zone, engine->zone,
		  sizeof(call->upstream_zone));
	desc.via = en_via(call, engine);
	call->upstream_id = engine->id;
	call->incarnation = engine->incarnation;
	call->new_tokens = new_tokens;
	call->is_resuming = false;
	call->attempts++;
	call->sent_ms = ck_now_ms();
	en_call_next_attempt_id(call, id);
	en_call_transition(call, EN_SENT);
	en_load_add(call);
	en_peers_check_engine(d, engine, call->sent_ms);
	ps_started(&d->poison, call->fingerprint, engine->id,
		   engine->incarnation, call->sent_ms);
	up_init(&call->attempt, &desc);
	call->has_attempt = true;
	en_peers_send_record(call, BP_IX_SENT);
	en_engine_start(call);
	if (body != call->body)
		g_free(body);
}

void en_engine_disconnected(struct en_call *call)
{
	bool has_run = call->state == EN_RUNNING || call->state == EN_STREAMING;

	if (!call->relay.has_token)
		ug_record(&call->d->urgency, call->history_key, UG_DISCONNECTED,
			  ck_now_ms() - call->arrived_ms, ck_now_ms());
	if (has_run) {
		ps_ended(&call->d->poison, call->fingerprint, call->upstream_id,
			 call->incarnation, PS_CANCELLED, ck_now_ms());
		en_cancel_attempt(call);
	}
	tl_record(TL_REQUEST_DONE, call->request->request_id, "caller_gone=1");
	en_call_end(call);
}
