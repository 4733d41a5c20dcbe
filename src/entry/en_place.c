/*
 * Choice of an engine: candidates, look-up at the index, decision.
 */
#include <string.h>

#include "entry/en_dispatch.h"

MT_COUNTER(en_lookups, "balsampin_entry_lookups_total",
	   "look-ups sent to index processes")
MT_COUNTER(en_lookups_missed, "balsampin_entry_lookups_missed_total",
	   "look-ups that failed or timed out")
MT_COUNTER(en_placed_blind, "balsampin_entry_placed_blind_total",
	   "requests placed without an answer from the index")

/* A look-up at the index process that owns the engines. */
struct en_lookup {
	struct en_placing *placing;
	struct rp_peer to;
	uint64_t engines[BP_MAX_ENGINES];
	uint32_t engine_count;
	struct rp_handle handle;
	bool is_open;
};

struct en_placing {
	struct en_call *call;
	struct rt_candidate candidates[RT_MAX_CANDIDATES];
	char names[RT_MAX_CANDIDATES][MB_NAME_BYTES];
	uint32_t count;
	struct en_lookup lookups[BP_MAX_ENGINES];
	uint32_t lookup_count;
	uint32_t open;
	int64_t barred_ms; /* until the first of the others may run it */
	bool has_answer;
	bool is_starting;
};

static void en_unpark(struct en_call *call)
{
	if (call->parked)
		g_queue_delete_link(&call->d->parked, call->parked);
	call->parked = NULL;
}

void en_place_cancel(struct en_call *call)
{
	struct en_placing *p = call->placing;

	en_unpark(call);
	if (!p)
		return;
	for (uint32_t i = 0; i < p->lookup_count; i++)
		if (p->lookups[i].is_open)
			rp_cancel(&call->d->process->rpc, p->lookups[i].handle);
	call->placing = NULL;
	g_free(p);
}

static enum rt_distance en_distance(const struct en_dispatch *d,
				    const struct mb_member *m)
{
	const struct cf_peer *self = &d->process->settings.self;

	if (!strcmp(self->zone, m->zone))
		return RT_SAME_ZONE;
	if (!strcmp(self->region, m->region))
		return RT_SAME_REGION;
	return RT_OTHER_REGION;
}

/* For how long the engine is known to refuse the request; 0: it may run it. */
static int64_t en_barred_ms(struct en_call *call, uint64_t engine)
{
	struct en_dispatch *d = call->d;
	uint64_t key = px_rank(engine, px_id(call->version));
	const int64_t *until_ms = g_hash_table_lookup(d->wrong_weights, &key);
	int64_t now_ms = ck_now_ms();

	return MAX(until_ms ? MAX(*until_ms - now_ms, 0) : 0,
		   lm_engine_pause_left_ms(&d->engine_limits, engine, now_ms));
}

static void en_add_candidate(struct en_placing *p, const struct mb_member *m,
			     enum rt_distance distance)
{
	struct en_dispatch *d = p->call->d;
	struct en_load *load = en_load(d, m->id);
	struct rt_candidate *c = &p->candidates[p->count];

	g_strlcpy(p->names[p->count], m->name, MB_NAME_BYTES);
	p->count++;
	*c = (struct rt_candidate){
		.engine = m->id,
		.incarnation = m->incarnation,
		.distance = distance,
		.is_suspect = m->state == MB_SUSPECT,
		.own_running = load->running,
		.own_tokens = load->tokens,
		.max_running = lm_engine_limit(&d->engine_limits, m->id),
	};
}

/* All engines from which the candidates of a request are chosen. */
struct en_pool {
	struct rt_candidate engines[RT_MAX_ENGINES];
	const struct mb_member *members[RT_MAX_ENGINES];
	uint32_t count;
};

/* Beyond RT_MAX_CANDIDATES engines, all routers preselect the same ones. */
static void en_add_candidates(struct en_placing *p, const struct en_pool *pool)
{
	uint32_t chosen[RT_MAX_CANDIDATES];
	uint32_t count = pool->count;

	if (count > RT_MAX_CANDIDATES)
		count = rt_preselect(p->call->chain, pool->engines, count,
				     chosen);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t index =
			pool->count > RT_MAX_CANDIDATES ? chosen[i] : i;

		en_add_candidate(p, pool->members[index],
				 pool->engines[index].distance);
	}
}

/* Leaves the engine out, and keeps the shortest of such times. */
static bool en_is_barred(struct en_placing *p, uint64_t engine)
{
	int64_t barred_ms = en_barred_ms(p->call, engine);

	if (barred_ms && (!p->barred_ms || barred_ms < p->barred_ms))
		p->barred_ms = barred_ms;
	return barred_ms > 0;
}

static void en_collect_candidates(struct en_placing *p)
{
	struct en_call *call = p->call;
	struct en_dispatch *d = call->d;
	const struct cm_model *model =
		cm_model(d->process->config, call->request->name);
	const struct mb_table *members = d->process->members;
	struct en_pool pool;

	pool.count = 0;
	if (!model)
		return;
	for (const struct mb_member *m =
		     mb_next(members, MB_ENGINE, NULL, NULL);
	     m && pool.count < RT_MAX_ENGINES;
	     m = mb_next(members, MB_ENGINE, NULL, m)) {
		if (!mb_can_get_work(m) ||
		    !cm_names_has(&model->engines, m->name) ||
		    en_is_barred(p, m->id))
			continue;
		pool.engines[pool.count].engine = m->id;
		pool.engines[pool.count].distance = en_distance(d, m);
		pool.members[pool.count++] = m;
	}
	en_add_candidates(p, &pool);
}

static struct rt_request en_rt_request(struct en_placing *p)
{
	struct en_call *call = p->call;
	const struct cm_route *route =
		cm_route(call->d->process->config, call->request->team,
			 call->request->name);

	return (struct rt_request){
		.chain = call->chain,
		.prompt_tokens = call->prompt_tokens,
		.objective = route ? route->objective : CM_FIRST_TOKEN,
		.urgency = call->urgency,
		.candidates = p->candidates,
		.count = p->count,
		.excluded = call->excluded,
		.excluded_count = call->excluded_count,
	};
}

static const struct mb_member *en_candidate_member(struct en_placing *p,
						   uint32_t i)
{
	return mb_find(p->call->d->process->members, MB_ENGINE, p->names[i]);
}

/* Whether an engine, even an excluded one, is at its limit. */
static bool en_is_limit_reached(struct en_placing *p)
{
	struct rt_request request = en_rt_request(p);
	bool has_engine_at_limit = false;

	request.excluded_count = 0;
	for (uint32_t i = 0; i < p->count; i++)
		if (!rt_is_eligible(&request, i))
			has_engine_at_limit = true;
	return has_engine_at_limit;
}

/* Queues the request until an engine is below its limit, for max_wait_ms at
 * most, as in the queue of the limits. */
static void en_park(struct en_call *call)
{
	struct en_dispatch *d = call->d;

	en_place_cancel(call);
	if (!call->parked_ms)
		call->parked_ms = ck_now_ms();
	g_queue_push_tail(&d->parked, call);
	call->parked = d->parked.tail;
}

static void en_decide(struct en_placing *p)
{
	struct en_call *call = p->call;
	struct en_dispatch *d = call->d;
	struct rt_request request = en_rt_request(p);
	struct rt_choice choice = { 0 };
	const struct mb_member *engine = NULL;
	enum st_code code = ST_UNAVAILABLE;

	if (!p->has_answer)
		mt_add(&en_placed_blind, 1);
	if (p->count)
		code = rt_decide(d->policy, &d->router, &request, &choice,
				 ck_now_ms());
	if (code == ST_OK)
		engine = en_candidate_member(p, choice.candidate);
	if (!engine && en_is_limit_reached(p)) {
		en_park(call);
		return;
	}
	if (!engine) {
		/* An engine that was tried may be well again any time. */
		int64_t retry_after_ms = p->count ? 0 : p->barred_ms;

		en_place_cancel(call);
		en_call_fail(call,
			     call->may_have_run ? EN_UPSTREAM_FAILED
						: EN_NO_UPSTREAM,
			     NULL,
			     (retry_after_ms + EN_MS_PER_S - 1) / EN_MS_PER_S);
		en_call_end(call);
		return;
	}
	tl_record(TL_REQUEST_PLACED, call->request->request_id,
		  "engine=%s reason=%s cost_us=%u new_tokens=%u index=%d",
		  engine->name, rt_reason_name(choice.reason), choice.cost_us,
		  choice.new_tokens, p->has_answer);
	en_place_cancel(call);
	en_engine_send(call, engine, choice.new_tokens);
}

static void en_merge_found(struct en_placing *p, const bp_ix_engine *e)
{
	struct rt_candidate found = {
		.engine = e->engine,
		.incarnation = e->incarnation,
		.held = e->held,
		.pending = e->pending,
		.confidence_permille = e->confidence_permille,
		.running = e->running,
		.waiting_tokens = e->waiting_tokens,
		.sent_tokens = e->sent_tokens,
		.load_age_ms = e->load_age_ms,
		.prefill_tokens_per_s = e->prefill_tokens_per_s,
	};

	for (uint32_t i = 0; i < p->count; i++)
		if (rt_candidate_merge(&p->candidates[i], &found))
			return;
}

static void en_on_lookup(void *arg, enum st_code code,
			 const struct rp_peer *from, const void *result)
{
	struct en_lookup *lookup = arg;
	struct en_placing *p = lookup->placing;
	const bp_ix_found *found = result;

	lookup->is_open = false;
	p->open--;
	if (code == ST_OK && found) {
		p->has_answer = true;
		for (u_int i = 0; i < found->engines.engines_len; i++)
			en_merge_found(p, &found->engines.engines_val[i]);
	} else {
		mt_add(&en_lookups_missed, 1);
	}
	if (!p->open && !p->is_starting)
		en_decide(p);
}

static void en_send_lookup(struct en_lookup *lookup)
{
	struct en_placing *p = lookup->placing;
	struct en_call *call = p->call;
	struct en_dispatch *d = call->d;
	bp_ix_lookup args = {
		.engines = { lookup->engine_count, lookup->engines },
		.keys = { call->chain->count, call->chain->keys },
	};
	struct rp_call_desc desc = {
		.to = lookup->to,
		.transport = RP_UDP,
		.number = BP_IX_LOOKUP,
		.args = (xdrproc_t)xdr_bp_ix_lookup,
		.args_value = &args,
		.result = (xdrproc_t)xdr_bp_ix_found,
		.result_bytes = sizeof(bp_ix_found),
		.deadline_ms = d->process->settings.limits.lookup_timeout_ms,
		.on_done = en_on_lookup,
		.arg = lookup,
	};

	if (rp_call(&d->process->rpc, &desc, &lookup->handle) != ST_OK)
		return;
	lookup->is_open = true;
	p->open++;
	mt_add(&en_lookups, 1);
}

static struct en_lookup *en_get_lookup(struct en_placing *p,
				       const struct mb_member *owner)
{
	struct en_lookup *lookup;

	for (uint32_t i = 0; i < p->lookup_count; i++)
		if (p->lookups[i].to.ipv4 == owner->ipv4 &&
		    p->lookups[i].to.port == owner->rpc_port)
			return &p->lookups[i];
	lookup = &p->lookups[p->lookup_count++];
	lookup->placing = p;
	lookup->to.ipv4 = owner->ipv4;
	lookup->to.port = owner->rpc_port;
	return lookup;
}

static void en_send_lookups(struct en_placing *p)
{
	struct en_dispatch *d = p->call->d;
	struct rt_request request = en_rt_request(p);
	uint64_t engines[BP_MAX_ENGINES];
	uint32_t count = rt_shortlist(&d->router, &request, engines,
				      BP_MAX_ENGINES, ck_now_ms());

	for (uint32_t i = 0; i < count; i++) {
		const struct mb_member *engine = NULL, *owner = NULL;
		struct en_lookup *lookup;

		for (uint32_t j = 0; j < p->count && !engine; j++)
			if (p->candidates[j].engine == engines[i])
				engine = en_candidate_member(p, j);
		if (engine)
			owner = mb_owner(d->process->members, engine->zone,
					 engine->id, 0);
		if (!owner)
			continue;
		lookup = en_get_lookup(p, owner);
		lookup->engines[lookup->engine_count++] = engines[i];
	}
	for (uint32_t i = 0; i < p->lookup_count; i++)
		en_send_lookup(&p->lookups[i]);
}

/* Keeps a suspect away from engines that run other suspects, so that a crash
 * points to one request. */
static void en_exclude_rivals(struct en_call *call)
{
	uint64_t engines[RB_MAX_ATTEMPTS];
	uint32_t count = ps_rival_engines(&call->d->poison, call->fingerprint,
					  engines, G_N_ELEMENTS(engines));

	for (uint32_t i = 0; i < count; i++)
		en_call_exclude(call, engines[i]);
}

/* Fails and ends the call, and returns true, if it must not run now. */
static bool en_stop_if_poisoned(struct en_call *call)
{
	struct ps_answer answer =
		ps_check(&call->d->poison, call->fingerprint, ck_now_ms());

	switch (answer.verdict) {
	case PS_RUN:
		return false;
	case PS_ISOLATE:
		en_exclude_rivals(call);
		return false;
	case PS_HOLD:
		en_call_fail(call,
			     call->may_have_run ? EN_UPSTREAM_FAILED
						: EN_NOT_RUN,
			     "held back: engines failed while they ran it",
			     answer.retry_after_ms / 1000 + 1);
		break;
	case PS_REFUSE:
		tl_record(TL_REQUEST_POISONED, call->request->request_id,
			  "fingerprint=%016" G_GINT64_MODIFIER "x",
			  call->fingerprint);
		en_call_fail(call, EN_POISONED, NULL, 0);
		break;
	}
	en_call_end(call);
	return true;
}

static bool en_has_room(struct en_call *call)
{
	struct en_placing *p = g_new0(struct en_placing, 1);
	struct rt_request request;
	bool has_room = false;

	p->call = call;
	en_collect_candidates(p);
	request = en_rt_request(p);
	for (uint32_t i = 0; i < p->count && !has_room; i++)
		has_room = rt_is_eligible(&request, i);
	/* Without candidates, placement goes on and reports the error. */
	has_room = has_room || !p->count;
	g_free(p);
	return has_room;
}

static void en_fail_parked(struct en_call *call)
{
	en_call_fail(call,
		     call->may_have_run ? EN_UPSTREAM_FAILED : EN_OVERLOADED,
		     NULL, 0);
	en_call_end(call);
}

void en_place_parked(struct en_dispatch *d)
{
	int64_t max_wait_ms = d->process->settings.limits.max_wait_ms;
	GList *next = d->parked.head;

	for (uint32_t i = 0; next && i < EN_MAX_PARKED_CHECKS; i++) {
		struct en_call *call = next->data;

		next = next->next;
		if (ck_now_ms() - call->parked_ms >= max_wait_ms) {
			en_fail_parked(call);
		} else if (en_call_is_past_deadline(call) ||
			   en_has_room(call)) {
			en_unpark(call);
			en_place(call);
		}
	}
}

void en_place(struct en_call *call)
{
	struct en_placing *p;

	if (en_call_is_past_deadline(call)) {
		en_call_fail(call,
			     call->may_have_run ? EN_DEADLINE
						: EN_DEADLINE_NOT_RUN,
			     NULL, 0);
		en_call_end(call);
		return;
	}
	if (en_stop_if_poisoned(call))
		return;
	p = g_new0(struct en_placing, 1);
	p->call = call;
	call->placing = p;
	en_collect_candidates(p);
	p->is_starting = true;
	if (p->count)
		en_send_lookups(p);
	p->is_starting = false;
	if (!p->open)
		en_decide(p);
}
