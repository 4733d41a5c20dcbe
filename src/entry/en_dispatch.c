/*
 * The dispatch task: messages, limits, timer.
 */
#include "entry/en_dispatch.h"

#include <string.h>

#define EN_TICK_S (LM_TICK_MS / 1000.0)
/* Answers that are collected, in half of the memory a daemon may use. */
#define EN_MAX_COLLECTED_BYTES (32u << 20)

MT_GAUGE(en_running, "balsampin_entry_running_requests",
	 "requests admitted by the limits and not finished")
MT_GAUGE(en_waiting, "balsampin_entry_waiting_requests",
	 "requests waiting in the queue")

struct en_load *en_load(struct en_dispatch *d, uint64_t id)
{
	struct en_load *load = g_hash_table_lookup(d->loads, &id);

	if (load)
		return load;
	load = g_new0(struct en_load, 1);
	load->id = id;
	g_hash_table_insert(d->loads, &load->id, load);
	return load;
}

void en_load_add(struct en_call *call)
{
	struct en_load *load = en_load(call->d, call->upstream_id);

	call->running_at_send = load->running;
	call->tokens_counted = call->prompt_tokens;
	call->is_counted = true;
	load->running++;
	load->tokens += call->tokens_counted;
}

void en_load_first_token(struct en_call *call)
{
	struct en_load *load = en_load(call->d, call->upstream_id);

	if (!call->is_counted)
		return;
	load->tokens -= MIN(load->tokens, call->tokens_counted);
	call->tokens_counted = 0;
}

void en_load_remove(struct en_call *call)
{
	struct en_load *load = en_load(call->d, call->upstream_id);

	if (!call->is_counted)
		return;
	en_load_first_token(call);
	call->is_counted = false;
	load->running--;
}

static void en_run_admitted(struct en_call *call)
{
	en_call_transition(call, EN_ADMITTED);
	if (call->request->kind == EN_SERVICE)
		en_service_start(call);
	else
		en_place(call);
}

static void en_refuse(struct en_call *call, const struct lm_answer *answer)
{
	enum en_code code = EN_OVERLOADED;

	if (answer->reason == LM_DEADLINE_PASSED)
		code = EN_DEADLINE_NOT_RUN;
	if (answer->reason == LM_DRAINING)
		code = EN_DRAINING;
	en_call_fail(call, code, NULL,
		     (answer->retry_after_ms + EN_MS_PER_S - 1) / EN_MS_PER_S);
	en_call_end(call);
}

void en_dispatch_run_waiting(struct en_dispatch *d)
{
	struct lm_next next;

	while (lm_next(&d->limits, &next, ck_now_ms())) {
		struct en_call *call = g_hash_table_lookup(d->calls, &next.id);

		if (!call)
			lm_done(&d->limits, next.id, ck_now_ms());
		else if (next.answer.verdict == LM_RUN)
			en_run_admitted(call);
		else
			en_refuse(call, &next.answer);
	}
	en_place_parked(d);
	mt_set(&en_running, d->limits.running);
	mt_set(&en_waiting, d->limits.waiting);
}

static void en_infer_urgency(struct en_call *call)
{
	struct en_dispatch *d = call->d;
	const struct en_request *request = call->request;
	const struct cm_route *route =
		cm_route(d->process->config, request->team, request->name);
	struct ug_request evidence = { .is_stream = request->is_stream,
				       .max_tokens = request->max_tokens };

	call->history_key = ug_history_key(request->team, request->name);
	evidence.history_key = call->history_key;
	call->urgency = CM_URGENT;
	if (request->kind != EN_SERVICE)
		call->urgency =
			ug_infer(&d->urgency, route ? route->urgency : CM_AUTO,
				 &evidence, ck_now_ms());
}

static void en_admit(struct en_call *call)
{
	struct en_dispatch *d = call->d;
	const struct cm_team *team =
		cm_team(d->process->config, call->request->team);
	struct lm_request request = {
		.id = call->id,
		.team = px_id(call->request->team),
		.team_weight = team ? team->weight : 0,
		.team_max_running = team ? team->max_running : 0,
		.team_max_waiting = team ? team->max_waiting : 0,
		.urgency = call->urgency,
		.bytes = call->body ? strlen(call->body)
				    : call->request->body->len,
		.tokens = call->prompt_tokens,
		.deadline_ms = call->deadline_ms,
	};
	struct lm_answer answer = lm_admit(&d->limits, &request, ck_now_ms());

	switch (answer.verdict) {
	case LM_RUN:
		en_run_admitted(call);
		break;
	case LM_WAIT:
		en_call_transition(call, EN_QUEUED);
		break;
	case LM_REFUSE:
		en_refuse(call, &answer);
		break;
	}
	/* A full queue may have shed another request to admit this one. */
	en_dispatch_run_waiting(d);
}

static void en_accept_request(struct en_dispatch *d, struct en_request *request)
{
	struct en_call *call = en_call_new(d, request);

	if (request->kind != EN_SERVICE &&
	    !cm_model(d->process->config, request->name)) {
		en_call_fail(call, EN_UNKNOWN_MODEL, NULL, 0);
		en_call_end(call);
		return;
	}
	en_infer_urgency(call);
	if (request->kind != EN_SERVICE)
		en_engine_prepare(call);
	en_admit(call);
}

static void en_disconnected(struct en_call *call)
{
	if (call->request->kind == EN_SERVICE)
		en_service_disconnected(call);
	else
		en_engine_disconnected(call);
}

static void en_dispatch_message(struct kn_task *task,
				struct kn_message *message)
{
	struct en_dispatch *d = task->state;
	struct en_call *call = g_hash_table_lookup(d->calls, &message->cookie);

	switch (message->type) {
	case EN_MSG_REQUEST:
		en_accept_request(d, message->body);
		message->body = NULL;
		break;
	case EN_MSG_DISCONNECTED:
		if (call)
			en_disconnected(call);
		break;
	case EN_MSG_ONCE_STEP:
		if (call)
			en_service_step(call, message->body);
		break;
	default:
		break;
	}
	en_dispatch_run_waiting(d);
}

/* Aborts the answers that lost a part because the message queue was full. */
static void en_abort_lost_replies(struct en_dispatch *d)
{
	while (d->lost_replies->len) {
		guint last = d->lost_replies->len - 1;
		uint64_t id = g_array_index(d->lost_replies, uint64_t, last);
		struct en_reply *reply = g_new0(struct en_reply, 1);
		struct en_call *call = g_hash_table_lookup(d->calls, &id);

		reply->part = EN_REPLY_ABORT;
		if (kn_post(d->task->kernel, *d->desc.front,
			    &(struct kn_message){
				    .type = EN_MSG_REPLY,
				    .cookie = id,
				    .body = reply,
				    .free_body = en_reply_free }) != ST_OK)
			return;
		g_array_set_size(d->lost_replies, last);
		if (call)
			en_disconnected(call);
	}
}

static void en_on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct en_dispatch *d = timer->data;

	en_abort_lost_replies(d);
	en_peers_tick(d, ck_now_ms());
	en_dispatch_run_waiting(d);
}

static enum st_code en_dispatch_start(struct kn_task *task)
{
	struct en_dispatch *d = task->state;
	const struct cf_settings *settings = &d->process->settings;
	struct lm_desc limits = {
		.self = px_id(settings->self.name),
		.max_running = settings->limits.max_running,
		.max_waiting = settings->limits.max_waiting,
		.max_waiting_bytes = settings->limits.max_waiting_bytes,
	};
	const char *policy = *settings->routing.policy
				     ? settings->routing.policy
				     : CF_DEFAULT_POLICY;
	enum st_code code;

	d->task = task;
	code = hc_init(&d->client,
		       &(struct hc_desc){ .loop = task->kernel->loop,
					  .max_collected_bytes =
						  EN_MAX_COLLECTED_BYTES });
	if (code != ST_OK)
		return code;
	d->policy = rt_policy_find(policy);
	if (!d->policy)
		return st_fail(ST_INTERNAL, "unknown routing policy %s",
			       policy);
	lk_near_init(&d->near, d->process->settings.rpc_key);
	rt_router_init(&d->router, &(struct rt_desc){ 0 });
	lm_init(&d->limits, &limits);
	lm_engine_init(&d->engine_limits, &(struct lm_engine_desc){ 0 });
	rb_table_init(&d->retries, &(struct rb_desc){ 0 });
	ps_init(&d->poison);
	ug_init(&d->urgency);
	d->is_started = true;
	en_peers_serve(d);
	ev_timer_init(&d->tick, en_on_tick, EN_TICK_S, EN_TICK_S);
	d->tick.data = d;
	ev_timer_start(task->kernel->loop, &d->tick);
	return ST_OK;
}

/* Accepted requests run to their end; the front task refuses new ones. */
static bool en_dispatch_is_idle(struct kn_task *task)
{
	struct en_dispatch *d = task->state;

	return !g_hash_table_size(d->calls) && !hc_in_flight(&d->client);
}

static void en_dispatch_stop(struct kn_task *task)
{
	struct en_dispatch *d = task->state;

	g_hash_table_remove_all(d->calls);
	ev_timer_stop(task->kernel->loop, &d->tick);
	hc_finish(&d->client);
	if (!d->is_started)
		return;
	d->is_started = false;
	lk_near_finish(&d->near);
	rt_router_finish(&d->router);
	lm_finish(&d->limits);
	lm_engine_finish(&d->engine_limits);
	rb_table_finish(&d->retries);
	ps_finish(&d->poison);
	ug_finish(&d->urgency);
}

static const struct kn_task_ops en_dispatch_ops = {
	.name = "dispatch",
	.start = en_dispatch_start,
	.message = en_dispatch_message,
	.is_idle = en_dispatch_is_idle,
	.stop = en_dispatch_stop,
};

enum st_code en_dispatch_spawn(struct en_dispatch **out,
			       struct kn_kernel *kernel,
			       const struct en_dispatch_desc *desc,
			       struct kn_handle *handle)
{
	struct en_dispatch *d = g_new0(struct en_dispatch, 1);

	d->desc = *desc;
	d->process = desc->process;
	d->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 en_call_free);
	d->loads = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	d->wrong_weights = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	d->lost_replies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	*out = d;
	return kn_spawn(kernel, &en_dispatch_ops, d, handle);
}

void en_dispatch_free(struct en_dispatch *d)
{
	if (!d)
		return;
	g_hash_table_destroy(d->calls);
	g_hash_table_destroy(d->loads);
	g_hash_table_destroy(d->wrong_weights);
	g_array_free(d->lost_replies, TRUE);
	g_free(d);
}
