/*
 * pf_budget - calls to a store within a budget of calls a second.
 *
 * Overview
 *	Private to the module pf. A token bucket for reads and one for writes,
 *	each with room for one second's budget. A call that finds a token and
 *	no queue goes out at once; others wait in the order in which they came
 *	and fail with ST_UNAVAILABLE when their deadline passes first, which
 *	is exact: they were never sent.
 */
#ifndef PF_BUDGET_H
#define PF_BUDGET_H

#include "platform/pf.h"

/** enum pf_bucket - whose budget a call counts against. */
enum pf_bucket { PF_READS = 0, PF_WRITES, PF_BUCKET_COUNT };

/**
 * struct pf_job - a call that may have to wait.
 * @bucket: its budget.
 * @timeout_ms: of the whole call, waiting included.
 * @send: hands the call to the plug-in with the time that is left; if that
 *	fails @fail is called.
 * @fail: reports that nothing was sent.
 * @free: frees the job.
 */
struct pf_job {
	enum pf_bucket bucket;
	int64_t timeout_ms;
	enum st_code (*send)(struct pf_job *job, int64_t left_ms);
	void (*fail)(struct pf_job *job, enum st_code code);
	void (*free)(struct pf_job *job);
	int64_t _deadline_ms;
};

struct _pf_budget;

struct _pf_budget *pf_budget_new(struct ev_loop *loop, uint32_t reads_per_s,
				 uint32_t writes_per_s);

/** pf_budget_free() - drop waiting jobs without a report. */
void pf_budget_free(struct _pf_budget *budget);

/**
 * pf_budget_submit() - send a job now or later; takes the job over.
 *
 * Return: ST_FULL, or what @send returned when it went out at once; the job
 * is freed then and @fail is not called.
 */
enum st_code pf_budget_submit(struct _pf_budget *budget, struct pf_job *job);

#endif
