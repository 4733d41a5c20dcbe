#include "gateway/gw_begun.h"

#include "gateway/gw_hosts.h"
#include "gateway/gw_peers.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "peers/pe_begun.h"
#include "peers/pe_builds.h"
#include "peers/pe_home.h"
#include "rpc/gen/balsampin.h"

/* Covers a round trip between regions and a late timer. */
#define GW_BEGUN_ANSWER_MS 200
/* A process that has just started reads the list of hosts within a few calls to
 * the store; how long and how often a question waits for it. */
#define GW_BEGUN_LIST_MS     200
#define GW_BEGUN_LIST_STEP_S 0.01
/* Hosts that are asked: one of the owners may have become one after the stream
 * began, in the place of the next. */
#define GW_BEGUN_ASKED (PE_OWNERS + 1)
/* Period of gw_begun_see_engine() for all engines, and of the expiry. */
#define GW_BEGUN_SWEEP_MS 1000

MT_COUNTER(gw_begun_told, "balsampin_gateway_begun_told_total",
	   "records of begun streams sent to owners")
MT_COUNTER(gw_begun_heard, "balsampin_gateway_begun_heard_total",
	   "records of begun streams received")
MT_COUNTER(gw_begun_conflicts, "balsampin_gateway_begun_conflicts_total",
	   "records with another build or service than the one kept")
MT_COUNTER(gw_begun_asked, "balsampin_gateway_begun_asked_total",
	   "questions for the build that began a stream")
MT_COUNTER(gw_begun_known, "balsampin_gateway_begun_known_total",
	   "such questions answered by an owner with a record")
MT_COUNTER(gw_begun_inferred, "balsampin_gateway_begun_inferred_total",
	   "such questions answered from the builds of the service")
MT_COUNTER(gw_begun_unknown, "balsampin_gateway_begun_unknown_total",
	   "such questions without an answer that names a build")
MT_GAUGE(gw_begun_records, "balsampin_gateway_begun_records",
	 "records of begun streams that are kept")

struct gw_begun {
	struct pe_begun records;
	struct pe_builds builds;
	GQueue questions;
	int64_t next_sweep_ms;
};

struct gw_question_call {
	struct gw_question *question;
	struct rp_handle handle;
	bool is_pending;
};

/*
 * The first @owners of the @asked calls go to owners of the attempt, the others
 * to hosts beyond them. @has_sent: the calls have been made.
 */
struct gw_question {
	struct gw_begun_query *query;
	struct gw_gateway *gateway;
	void (*fn)(void *arg, uint64_t build);
	void *arg;
	char request[DL_ID_BYTES];
	uint64_t attempt;
	uint64_t service;
	int64_t began_ms;
	ev_timer timer;
	GList link;
	struct gw_question_call calls[GW_MAX_LISTED_OWNERS];
	bool has_sent;
	uint32_t owners;
	uint32_t asked;
	uint32_t pending;
	struct pe_begun_answer answers[GW_MAX_LISTED_OWNERS];
	uint32_t answered;
};

static bool gw_add_record(struct gw_begun *b, uint64_t attempt,
			  uint64_t service, uint64_t build)
{
	int64_t now_ms = ck_now_ms();

	pe_builds_see(&b->builds, service, build, now_ms);
	if (pe_begun_add(&b->records, attempt, service, build, now_ms))
		return true;
	mt_add(&gw_begun_conflicts, 1);
	return false;
}

void gw_begun_note(struct gw_gateway *g, const char *attempt,
		   const char *service, uint64_t build)
{
	bp_gateway_begun message = { .attempt = gw_name_hash(attempt),
				     .service = gw_name_hash(service),
				     .build = build };
	struct rp_peer owners[GW_MAX_LISTED_OWNERS];
	uint32_t count;

	if (!g->begun)
		return;
	gw_add_record(g->begun, message.attempt, message.service, build);
	count = gw_peers_list_owners(g, message.attempt, PE_OWNERS, owners, 0);
	for (uint32_t i = 0; i < count; i++)
		gw_peers_call_one(g, &owners[i], BP_GATEWAY_BEGUN,
				  (xdrproc_t)xdr_bp_gateway_begun, &message);
	mt_add(&gw_begun_told, count);
}

uint64_t gw_begun_infer(const struct gw_gateway *g, const char *service,
			int64_t now_ms)
{
	return g->begun ? pe_builds_infer(&g->begun->builds,
					  gw_name_hash(service), now_ms)
			: 0;
}

/* What this host knows of an attempt. */
static struct pe_begun_answer gw_own_answer(const struct gw_begun *b,
					    uint64_t attempt, uint64_t service)
{
	int64_t now_ms = ck_now_ms();
	struct pe_begun_answer answer = {
		.inferred = pe_builds_infer(&b->builds, service, now_ms),
		.has_several =
			pe_builds_has_several(&b->builds, service, now_ms)
	};

	answer.is_known = pe_begun_find(&b->records, attempt, service, now_ms,
					&answer.build);
	return answer;
}

bool gw_begun_find(struct gw_gateway *g, const char *attempt,
		   const char *service, uint64_t *build)
{
	struct pe_begun_answer own;

	*build = 0;
	if (!g->begun)
		return false;
	own = gw_own_answer(g->begun, gw_name_hash(attempt),
			    gw_name_hash(service));
	*build = own.is_known ? own.build : own.inferred;
	return own.is_known || own.inferred;
}

static void gw_on_begun(void *arg, struct rp_request *request, const void *args)
{
	struct gw_gateway *g = arg;
	const bp_gateway_begun *message = args;

	mt_add(&gw_begun_heard, 1);
	if (g->begun)
		gw_add_record(g->begun, message->attempt, message->service,
			      message->build);
	rp_drop(request);
}

static void gw_on_begun_query(void *arg, struct rp_request *request,
			      const void *args)
{
	struct gw_gateway *g = arg;
	const bp_gateway_begun_query *query = args;
	struct pe_begun_answer own;

	if (!g->begun) {
		rp_drop(request);
		return;
	}
	own = gw_own_answer(g->begun, query->attempt, query->service);
	rp_reply(request,
		 &(bp_gateway_begun_answer){ .known = own.is_known,
					     .build = own.build,
					     .inferred = own.inferred,
					     .several = own.has_several });
}

enum st_code gw_begun_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	enum st_code code = rp_serve(
		rpc,
		&(struct rp_procedure){ .number = BP_GATEWAY_BEGUN,
					.args = (xdrproc_t)xdr_bp_gateway_begun,
					.args_bytes = sizeof(bp_gateway_begun),
					.handler = gw_on_begun,
					.arg = g });

	if (code != ST_OK)
		return code;
	return rp_serve(
		rpc, &(struct rp_procedure){
			     .number = BP_GATEWAY_BEGUN_QUERY,
			     .args = (xdrproc_t)xdr_bp_gateway_begun_query,
			     .args_bytes = sizeof(bp_gateway_begun_query),
			     .result = (xdrproc_t)xdr_bp_gateway_begun_answer,
			     .handler = gw_on_begun_query,
			     .arg = g });
}

/* @q is in no queue any more. */
static void gw_drop_question(struct gw_question *q)
{
	struct gw_gateway *g = q->gateway;

	for (uint32_t i = 0; i < q->asked; i++)
		if (q->calls[i].is_pending)
			gw_peers_cancel(g, q->calls[i].handle);
	ev_timer_stop(g->kernel.loop, &q->timer);
	q->query->_question = NULL;
	g_free(q);
}

static void gw_free_question(struct gw_question *q)
{
	g_queue_unlink(&q->gateway->begun->questions, &q->link);
	gw_drop_question(q);
}

void gw_begun_cancel(struct gw_begun_query *query)
{
	if (query->_question)
		gw_free_question(query->_question);
}

static void gw_log_question(const struct gw_question *q,
			    enum pe_begun_outcome outcome)
{
	static const char *const names[] = { "unknown", "inferred", "known" };
	char asked[12], answers[12], took[24];

	g_snprintf(asked, sizeof(asked), "%u", q->asked);
	g_snprintf(answers, sizeof(answers), "%u", q->answered);
	g_snprintf(took, sizeof(took), "%" G_GINT64_FORMAT,
		   ck_now_ms() - q->began_ms);
	lg_info("build that began a stream", "event", "stream_build", "request",
		q->request, "outcome", names[outcome], "asked", asked,
		"answers", answers, "ms", took, NULL);
}

/* The record may have arrived here while the owners were asked. */
static enum pe_begun_outcome gw_decide(struct gw_question *q, uint64_t *build)
{
	struct pe_begun_answer answers[GW_MAX_LISTED_OWNERS + 1];

	answers[0] = gw_own_answer(q->gateway->begun, q->attempt, q->service);
	for (uint32_t i = 0; i < q->answered; i++)
		answers[i + 1] = q->answers[i];
	return pe_begun_decide(answers, q->answered + 1, build);
}

static void gw_end_question(struct gw_question *q)
{
	static struct mt_metric *const counters[] = { &gw_begun_unknown,
						      &gw_begun_inferred,
						      &gw_begun_known };
	void (*fn)(void *arg, uint64_t build) = q->fn;
	void *arg = q->arg;
	enum pe_begun_outcome outcome;
	uint64_t build;

	outcome = gw_decide(q, &build);
	mt_add(counters[outcome], 1);
	gw_log_question(q, outcome);
	gw_free_question(q);
	fn(arg, build);
}

static void gw_on_begun_answer(void *arg, enum st_code code,
			       const struct rp_peer *from, const void *result)
{
	struct gw_question_call *call = arg;
	struct gw_question *q = call->question;
	const bp_gateway_begun_answer *answer = result;
	bool is_spare = call >= &q->calls[q->owners];
	bool is_known = code == ST_OK && answer->known && !is_spare;

	call->is_pending = false;
	q->pending--;
	if (code == ST_OK)
		q->answers[q->answered++] =
			(struct pe_begun_answer){ answer->known, answer->build,
						  answer->inferred,
						  answer->several, is_spare };
	if (is_known || !q->pending)
		gw_end_question(q);
}

static void gw_ask_host(struct gw_question *q, const struct rp_peer *to)
{
	struct gw_question_call *call = &q->calls[q->asked];
	bp_gateway_begun_query args = { q->attempt, q->service };

	call->question = q;
	call->is_pending =
		gw_peers_call_awaited(
			q->gateway,
			&(struct rp_call_desc){
				.to = *to,
				.number = BP_GATEWAY_BEGUN_QUERY,
				.args = (xdrproc_t)xdr_bp_gateway_begun_query,
				.args_value = &args,
				.result =
					(xdrproc_t)xdr_bp_gateway_begun_answer,
				.result_bytes = sizeof(bp_gateway_begun_answer),
				.deadline_ms = GW_BEGUN_ANSWER_MS,
				.on_done = gw_on_begun_answer,
				.arg = call },
			&call->handle) == ST_OK;
	q->asked++;
	q->pending += call->is_pending;
}

/* Whether the list of hosts has not been read yet, but may be soon. */
static bool gw_may_find_hosts(const struct gw_question *q)
{
	const struct gw_gateway *g = q->gateway;

	return g->peers && g->settings.peers.address[0] && !g->peers->is_open &&
	       ck_now_ms() - q->began_ms < GW_BEGUN_LIST_MS;
}

static void gw_ask_hosts(struct gw_question *q)
{
	struct rp_peer asked[GW_MAX_LISTED_OWNERS];
	uint32_t count;

	q->owners = gw_peers_list_owners(q->gateway, q->attempt, PE_OWNERS,
					 asked, 0);
	count = gw_peers_list_owners(q->gateway, q->attempt, GW_BEGUN_ASKED,
				     asked, q->owners);
	for (uint32_t i = 0; i < count; i++)
		gw_ask_host(q, &asked[i]);
}

static void gw_question_wait(struct gw_question *q, double after_s)
{
	struct ev_loop *loop = q->gateway->kernel.loop;

	ev_now_update(loop);
	ev_timer_set(&q->timer, after_s, 0.0);
	ev_timer_start(loop, &q->timer);
}

static void gw_question_step(struct gw_question *q)
{
	if (gw_may_find_hosts(q)) {
		gw_question_wait(q, GW_BEGUN_LIST_STEP_S);
		return;
	}
	q->has_sent = true;
	gw_ask_hosts(q);
	gw_question_wait(q, q->pending ? GW_BEGUN_ANSWER_MS / 1000.0 : 0.0);
}

static void gw_on_question_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_question *q = w->data;

	if (q->has_sent)
		gw_end_question(q);
	else
		gw_question_step(q);
}

void gw_begun_ask(struct gw_gateway *g, struct gw_begun_query *query,
		  const char *attempt, const char *service,
		  void (*fn)(void *arg, uint64_t build), void *arg)
{
	struct gw_question *q;

	gw_begun_cancel(query);
	q = g_new0(struct gw_question, 1);
	query->_question = q;
	q->query = query;
	q->gateway = g;
	q->fn = fn;
	q->arg = arg;
	q->attempt = gw_name_hash(attempt);
	q->service = gw_name_hash(service);
	q->began_ms = ck_now_ms();
	g_strlcpy(q->request, attempt, sizeof(q->request));
	ev_init(&q->timer, gw_on_question_timer);
	q->timer.data = q;
	q->link.data = q;
	g_queue_push_tail_link(&g->begun->questions, &q->link);
	mt_add(&gw_begun_asked, 1);
	gw_question_step(q);
}

void gw_begun_see_engine(struct gw_gateway *g, const struct fl_engine *e)
{
	if (g->begun)
		pe_builds_see(&g->begun->builds, gw_name_hash(e->entry.service),
			      fl_build(e), ck_now_ms());
}

void gw_begun_sweep(struct gw_gateway *g, int64_t fresh_ms, int64_t now_ms)
{
	struct gw_begun *b = g->begun;

	if (!b)
		return;
	pe_builds_follow(&b->builds, fresh_ms, now_ms);
	if (now_ms < b->next_sweep_ms)
		return;
	b->next_sweep_ms = now_ms + GW_BEGUN_SWEEP_MS;
	fl_for_each (&g->fleet, e)
		gw_begun_see_engine(g, e);
	pe_builds_expire(&b->builds, now_ms);
	pe_begun_expire(&b->records, now_ms);
	mt_set(&gw_begun_records, pe_begun_count(&b->records));
}

enum st_code gw_begun_start(struct gw_gateway *g)
{
	g->begun = g_new0(struct gw_begun, 1);
	pe_begun_init(&g->begun->records, PE_MAX_BEGUN);
	pe_builds_init(&g->begun->builds);
	g_queue_init(&g->begun->questions);
	return ST_OK;
}

void gw_begun_stop(struct gw_gateway *g)
{
	struct gw_begun *b = g->begun;
	GList *link;

	if (!b)
		return;
	while ((link = g_queue_pop_head_link(&b->questions)))
		gw_drop_question(link->data);
	pe_begun_finish(&b->records);
	pe_builds_finish(&b->builds);
	g_free(b);
	g->begun = NULL;
}
