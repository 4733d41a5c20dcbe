#include "limits/rb.h"

#define RB_PERMILLE 1000

static enum rb_verdict rb_final_verdict(const struct rb_attempt *attempt)
{
	return attempt->may_have_begun || attempt->has_answer_bytes
		       ? RB_UNKNOWN
		       : RB_NOT_RUN;
}

static bool rb_is_exhausted(const struct rb_attempt *attempt, int64_t now_ms)
{
	if (attempt->attempts >= RB_MAX_ATTEMPTS)
		return true;
	return attempt->deadline_ms &&
	       attempt->deadline_ms - now_ms < RB_MIN_TIME_LEFT_MS;
}

enum rb_verdict rb_decide(const struct rb_attempt *attempt, int64_t now_ms)
{
	bool has_begun = attempt->may_have_begun || attempt->has_answer_bytes;

	if (rb_is_exhausted(attempt, now_ms))
		return rb_final_verdict(attempt);
	/* Resuming starts no new run: it is harmless and needs no budget. */
	if (attempt->is_resumable && has_begun)
		return RB_RESUME;
	if (has_begun && !attempt->is_idempotent)
		return RB_UNKNOWN;
	if (!attempt->has_budget)
		return rb_final_verdict(attempt);
	if (!attempt->has_answer_bytes)
		return RB_RETRY;
	return attempt->can_continue ? RB_CONTINUE : RB_UNKNOWN;
}

const char *rb_verdict_name(enum rb_verdict verdict)
{
	switch (verdict) {
	case RB_RETRY:
		return "retry";
	case RB_RESUME:
		return "resume";
	case RB_CONTINUE:
		return "continue";
	case RB_NOT_RUN:
		return "not_run";
	default:
		return "unknown";
	}
}

void rb_budget_init(struct rb_budget *budget, const struct rb_desc *desc)
{
	budget->desc = *desc;
	if (!budget->desc.ratio_permille)
		budget->desc.ratio_permille = RB_DEFAULT_RATIO_PERMILLE;
	if (!budget->desc.reserve)
		budget->desc.reserve = RB_DEFAULT_RESERVE;
	if (!budget->desc.max)
		budget->desc.max = RB_DEFAULT_MAX;
	budget->_permille = (uint64_t)budget->desc.reserve * RB_PERMILLE;
}

void rb_budget_earn(struct rb_budget *budget)
{
	uint64_t max_permille = (uint64_t)budget->desc.max * RB_PERMILLE;

	budget->_permille += budget->desc.ratio_permille;
	if (budget->_permille > max_permille)
		budget->_permille = max_permille;
}

bool rb_budget_has(const struct rb_budget *budget)
{
	return budget->_permille >= RB_PERMILLE;
}

bool rb_budget_take(struct rb_budget *budget)
{
	if (!rb_budget_has(budget))
		return false;
	budget->_permille -= RB_PERMILLE;
	return true;
}

void rb_table_init(struct rb_table *table, const struct rb_desc *desc)
{
	table->_desc = *desc;
	table->_budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void rb_table_finish(struct rb_table *table)
{
	if (table->_budgets)
		g_hash_table_destroy(table->_budgets);
	table->_budgets = NULL;
}

struct rb_budget *rb_table_get(struct rb_table *table, const char *service)
{
	struct rb_budget *budget =
		g_hash_table_lookup(table->_budgets, service);

	if (budget)
		return budget;
	budget = g_new0(struct rb_budget, 1);
	rb_budget_init(budget, &table->_desc);
	g_hash_table_insert(table->_budgets, g_strdup(service), budget);
	return budget;
}

void rb_table_set_max(struct rb_table *table, uint32_t max)
{
	GHashTableIter iter;
	gpointer value;

	table->_desc.max = max;
	g_hash_table_iter_init(&iter, table->_budgets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct rb_budget *)value)->desc.max = max;
}
