#include "platform/pf_budget.h"

#include <glib.h>

#include "kernel/ck.h"
#include "kernel/mt.h"

#define PF_MICRO 1000000

MT_COUNTER(pf_reads, "balsampin_store_reads_total",
	   "reads sent to the platform's store")
MT_COUNTER(pf_writes, "balsampin_store_writes_total",
	   "writes sent to the platform's store")
MT_COUNTER(pf_expired, "balsampin_store_budget_expired_total",
	   "calls whose deadline passed while they waited for the budget")

/* Tokens are counted in millionths, so that the clock's steps lose none. */
struct pf_bucket_state {
	int64_t per_s;
	int64_t micro_tokens;
	int64_t filled_us;
	GQueue waiting;
};

struct _pf_budget {
	struct ev_loop *loop;
	ev_timer timer;
	struct pf_bucket_state buckets[PF_BUCKET_COUNT];
};

static void pf_fill(struct pf_bucket_state *b, int64_t now_us)
{
	b->micro_tokens += (now_us - b->filled_us) * b->per_s;
	b->micro_tokens = MIN(b->micro_tokens, b->per_s * PF_MICRO);
	b->filled_us = now_us;
}

static bool pf_take(struct pf_bucket_state *b)
{
	if (b->micro_tokens < PF_MICRO)
		return false;
	b->micro_tokens -= PF_MICRO;
	return true;
}

static enum st_code pf_send(struct pf_job *job, int64_t now_ms)
{
	mt_add(job->bucket == PF_READS ? &pf_reads : &pf_writes, 1);
	return job->send(job, MAX(job->_deadline_ms - now_ms, 1));
}

static void pf_expire(struct pf_bucket_state *b, int64_t now_ms)
{
	GList *next;

	for (GList *l = b->waiting.head; l; l = next) {
		struct pf_job *job = l->data;

		next = l->next;
		if (job->_deadline_ms > now_ms)
			continue;
		g_queue_delete_link(&b->waiting, l);
		mt_add(&pf_expired, 1);
		job->fail(job, ST_UNAVAILABLE);
		job->free(job);
	}
}

static void pf_send_waiting(struct pf_bucket_state *b, int64_t now_ms)
{
	while (b->waiting.length && pf_take(b)) {
		struct pf_job *job = g_queue_pop_head(&b->waiting);
		enum st_code code = pf_send(job, now_ms);

		if (code != ST_OK)
			job->fail(job, code);
		job->free(job);
	}
}

static void pf_arm(struct _pf_budget *budget)
{
	double wait_s = 0;

	for (uint32_t i = 0; i < PF_BUCKET_COUNT; i++) {
		struct pf_bucket_state *b = &budget->buckets[i];
		double s = 1.0 / (double)b->per_s;

		if (b->waiting.length && (wait_s == 0 || s < wait_s))
			wait_s = s;
	}
	ev_timer_stop(budget->loop, &budget->timer);
	if (wait_s == 0)
		return;
	ev_timer_set(&budget->timer, wait_s, 0);
	ev_timer_start(budget->loop, &budget->timer);
}

static void pf_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct _pf_budget *budget = timer->data;

	for (uint32_t i = 0; i < PF_BUCKET_COUNT; i++) {
		struct pf_bucket_state *b = &budget->buckets[i];

		pf_fill(b, ck_now_us());
		pf_expire(b, ck_now_ms());
		pf_send_waiting(b, ck_now_ms());
	}
	pf_arm(budget);
}

static void pf_bucket_init(struct pf_bucket_state *b, uint32_t per_s)
{
	b->per_s = per_s;
	b->micro_tokens = b->per_s * PF_MICRO;
	b->filled_us = ck_now_us();
	g_queue_init(&b->waiting);
}

struct _pf_budget *pf_budget_new(struct ev_loop *loop, uint32_t reads_per_s,
				 uint32_t writes_per_s)
{
	struct _pf_budget *budget = g_new0(struct _pf_budget, 1);

	budget->loop = loop;
	pf_bucket_init(&budget->buckets[PF_READS], reads_per_s);
	pf_bucket_init(&budget->buckets[PF_WRITES], writes_per_s);
	ev_timer_init(&budget->timer, pf_on_timer, 0, 0);
	budget->timer.data = budget;
	return budget;
}

void pf_budget_free(struct _pf_budget *budget)
{
	ev_timer_stop(budget->loop, &budget->timer);
	for (uint32_t i = 0; i < PF_BUCKET_COUNT; i++) {
		struct pf_job *job;

		while ((job = g_queue_pop_head(&budget->buckets[i].waiting)))
			job->free(job);
	}
	g_free(budget);
}

enum st_code pf_budget_submit(struct _pf_budget *budget, struct pf_job *job)
{
	struct pf_bucket_state *b = &budget->buckets[job->bucket];
	int64_t now_ms = ck_now_ms();
	enum st_code code = ST_OK;

	job->_deadline_ms = now_ms + job->timeout_ms;
	pf_fill(b, ck_now_us());
	if (b->waiting.length >= PF_MAX_QUEUED) {
		job->free(job);
		return st_fail(ST_FULL, "%d calls wait for the store already",
			       PF_MAX_QUEUED);
	}
	if (b->waiting.length || !pf_take(b)) {
		g_queue_push_tail(&b->waiting, job);
		if (!ev_is_active(&budget->timer))
			pf_arm(budget);
		return ST_OK;
	}
	code = pf_send(job, now_ms);
	job->free(job);
	return code;
}
