/*
 * Life cycle of one request: state changes, replies and cleanup.
 */
#include <inttypes.h>
#include <string.h>

#include "entry/en_dispatch.h"

MT_COUNTER(en_refused, "balsampin_entry_refused_total",
	   "requests that were refused without running")
MT_COUNTER(en_failed, "balsampin_entry_failed_total",
	   "requests that failed and may have run")
MT_COUNTER(en_broken, "balsampin_entry_broken_streams_total",
	   "streams that ended with an error event")
MT_COUNTER(en_lost_replies, "balsampin_entry_lost_replies_total",
	   "replies dropped because the message queue was full")

struct en_call *en_call_new(struct en_dispatch *d, struct en_request *ask)
{
	struct en_call *call = g_new0(struct en_call, 1);

	call->d = d;
	call->request = ask;
	call->id = ask->id;
	call->arrived_ms = ck_now_ms();
	if (ask->deadline_ms)
		call->deadline_ms = call->arrived_ms + ask->deadline_ms;
	en_relay_init(&call->relay, ask);
	g_hash_table_insert(d->calls, &call->id, call);
	return call;
}

void en_call_free(void *body)
{
	struct en_call *call = body;

	en_place_cancel(call);
	if (call->has_attempt)
		up_finish(&call->attempt);
	en_relay_finish(&call->relay);
	en_request_free(call->request);
	g_free(call->chain);
	g_free(call->body);
	g_free(call);
}

void en_call_transition(struct en_call *call, enum en_state_event change)
{
	enum en_state next = en_state_next(call->state, change);

	if (next == EN_STATE_COUNT) {
		lg_error("invalid state transition", "request",
			 call->request->request_id, "state",
			 en_state_name(call->state), NULL);
		return;
	}
	call->state = next;
}

bool en_call_is_past_deadline(const struct en_call *call)
{
	return call->deadline_ms && ck_now_ms() >= call->deadline_ms;
}

int64_t en_call_time_left_ms(const struct en_call *call)
{
	if (!call->deadline_ms)
		return 0;
	return MAX(call->deadline_ms - ck_now_ms(), 1);
}

void en_call_next_attempt_id(struct en_call *call, char id[UP_ID_BYTES])
{
	g_snprintf(id, UP_ID_BYTES, "%016" PRIx64 "-a%" PRIx64,
		   call->d->process->incarnation, ++call->d->attempts);
}

static void en_call_post(struct en_call *call, struct en_reply *reply)
{
	struct en_dispatch *d = call->d;
	enum st_code code;

	if (call->is_disconnected) {
		en_reply_free(reply);
		return;
	}
	code = kn_post(d->task->kernel, *d->desc.front,
		       &(struct kn_message){ .type = EN_MSG_REPLY,
					     .from = d->task->self,
					     .cookie = call->id,
					     .body = reply,
					     .free_body = en_reply_free });
	if (code == ST_OK)
		return;
	/* No later part may follow the missing one; the timer ends the call. */
	mt_add(&en_lost_replies, 1);
	call->is_disconnected = true;
	g_array_append_val(d->lost_replies, call->id);
}

void en_call_reply(struct en_call *call, enum en_reply_part part,
		   uint32_t status, GPtrArray *headers, GString *data)
{
	struct en_reply *reply = g_new0(struct en_reply, 1);

	reply->part = part;
	reply->status = status;
	reply->headers = headers;
	reply->data = data;
	en_call_post(call, reply);
}

static void en_call_break_stream(struct en_call *call,
				 const struct en_error *error,
				 const char *message)
{
	GString *data = g_string_new("data: ");

	en_error_body(data, error, message);
	g_string_append(data, "\n\n");
	mt_add(&en_broken, 1);
	tl_record(TL_REQUEST_BROKEN, call->request->request_id, "code=%s",
		  error->code);
	en_call_reply(call, EN_REPLY_DATA, 0, NULL, data);
	en_call_reply(call, EN_REPLY_ABORT, 0, NULL, NULL);
}

void en_call_fail(struct en_call *call, enum en_code code, const char *message,
		  uint32_t retry_after_s)
{
	const struct en_error *error = en_error(code);
	struct en_reply *reply;

	if (call->has_stream_begun) {
		en_call_break_stream(call, error, message);
		return;
	}
	mt_add(error->may_have_run ? &en_failed : &en_refused, 1);
	tl_record(TL_REQUEST_REFUSED, call->request->request_id,
		  "code=%s run=%s", error->code,
		  error->may_have_run ? "unknown" : "not_run");
	reply = g_new0(struct en_reply, 1);
	reply->part = EN_REPLY_FULL;
	reply->status = error->status;
	reply->retry_after_s = MAX(error->retry_after_s, retry_after_s);
	reply->data = g_string_new(NULL);
	en_error_body(reply->data, error, message);
	en_call_post(call, reply);
}

void en_call_exclude(struct en_call *call, uint64_t upstream)
{
	if (call->excluded_count < G_N_ELEMENTS(call->excluded))
		call->excluded[call->excluded_count++] = upstream;
}

struct rb_budget *en_call_budget(struct en_call *call)
{
	char *name = g_strdup_printf(
		"%s/%s",
		call->request->kind == EN_SERVICE ? "service" : "model",
		call->request->name);
	struct rb_budget *budget = rb_table_get(&call->d->retries, name);

	g_free(name);
	return budget;
}

void en_call_drop_attempt(struct en_call *call)
{
	en_load_remove(call);
	/* The engine no longer computes for this attempt. */
	if (call->is_recorded)
		en_peers_send_record(call, BP_IX_ENDED);
	if (call->has_attempt)
		up_finish(&call->attempt);
	call->has_attempt = false;
}

void en_call_end(struct en_call *call)
{
	struct en_dispatch *d = call->d;
	uint64_t id = call->id;

	en_call_transition(call, EN_END);
	en_call_drop_attempt(call);
	lm_done(&d->limits, id, ck_now_ms());
	g_hash_table_remove(d->calls, &id);
}
