#include "routing/ug.h"

#include <glib.h>
#include <math.h>

#include "prefix/px.h"

/* Half-life of the counts in the history. */
#define UG_HALF_LIFE_MS 3600000.0
/* A disconnect within this time shows that the caller was waiting. */
#define UG_EARLY_DISCONNECT_MS 15000
/* A caller that waits this long for the first token is not interactive. */
#define UG_LONG_WAIT_MS 8000
/* Assumed requests without a disconnect in each history. */
#define UG_PRIOR_REQUESTS 10.0
/* Fractions of the past requests from which on they are evidence. */
#define UG_SOME_DISCONNECTS 0.1
#define UG_MANY_DISCONNECTS 0.3
#define UG_SOME_LONG_WAITS  0.2
/* Answers of at most this length, such as a grade, are read by programs. */
#define UG_SHORT_TOKENS 8
/* Evidence of this weight makes a request urgent, its negative deferrable. */
#define UG_DECISIVE 2

#define UG_PRIORITY_URGENT     0
#define UG_PRIORITY_NORMAL     100
#define UG_PRIORITY_DEFERRABLE 200

void ug_init(struct ug_table *table)
{
	table->_history = g_new0(struct _ug_history, (gsize)UG_SETS * UG_WAYS);
}

void ug_finish(struct ug_table *table)
{
	g_free(table->_history);
	table->_history = NULL;
}

uint64_t ug_history_key(const char *team, const char *model)
{
	return px_salt(team, model, "", "");
}

static struct _ug_history *ug_set(const struct ug_table *table,
				  uint64_t history_key)
{
	return &table->_history[(history_key % UG_SETS) * UG_WAYS];
}

static struct _ug_history *ug_find(const struct ug_table *table,
				   uint64_t history_key)
{
	struct _ug_history *set = ug_set(table, history_key);

	for (int i = 0; i < UG_WAYS; i++) {
		if (set[i].key == history_key && set[i].requests > 0.0f)
			return &set[i];
	}
	return NULL;
}

/* Returns the history of that key, or replaces the least recently used one. */
static struct _ug_history *ug_get(struct ug_table *table, uint64_t history_key)
{
	struct _ug_history *history = ug_find(table, history_key);
	struct _ug_history *set = ug_set(table, history_key);

	if (history)
		return history;
	history = &set[0];
	for (int i = 1; i < UG_WAYS; i++) {
		if (set[i].last_ms < history->last_ms)
			history = &set[i];
	}
	*history = (struct _ug_history){ .key = history_key };
	return history;
}

static double ug_decay(const struct _ug_history *history, int64_t now_ms)
{
	return exp2(-(double)(now_ms - history->last_ms) / UG_HALF_LIFE_MS);
}

void ug_record(struct ug_table *table, uint64_t history_key,
	       enum ug_outcome outcome, int64_t waited_ms, int64_t now_ms)
{
	struct _ug_history *history = ug_get(table, history_key);
	float decay = (float)ug_decay(history, now_ms);
	bool is_early_disconnect = outcome == UG_DISCONNECTED &&
				   waited_ms < UG_EARLY_DISCONNECT_MS;
	bool is_long_wait =
		outcome == UG_ANSWERED && waited_ms >= UG_LONG_WAIT_MS;

	history->requests = history->requests * decay + 1.0f;
	history->disconnects = history->disconnects * decay +
			       (is_early_disconnect ? 1.0f : 0.0f);
	history->long_waits =
		history->long_waits * decay + (is_long_wait ? 1.0f : 0.0f);
	history->last_ms = now_ms;
}

static int ug_history_evidence(const struct ug_table *table,
			       uint64_t history_key, int64_t now_ms)
{
	const struct _ug_history *history = ug_find(table, history_key);
	double decay, all, disconnects, long_waits;

	if (!history)
		return 0;
	decay = ug_decay(history, now_ms);
	all = history->requests * decay + UG_PRIOR_REQUESTS;
	disconnects = history->disconnects * decay / all;
	long_waits = history->long_waits * decay / all;
	if (disconnects >= UG_MANY_DISCONNECTS)
		return 2;
	if (disconnects >= UG_SOME_DISCONNECTS)
		return 1;
	return long_waits >= UG_SOME_LONG_WAITS ? -1 : 0;
}

static int ug_request_evidence(const struct ug_request *request)
{
	if (request->is_stream)
		return UG_DECISIVE;
	if (request->max_tokens > 0 && request->max_tokens <= UG_SHORT_TOKENS)
		return -UG_DECISIVE;
	return 0;
}

enum cm_urgency ug_infer(const struct ug_table *table,
			 enum cm_urgency configured,
			 const struct ug_request *request, int64_t now_ms)
{
	int evidence;

	if (configured != CM_AUTO)
		return configured;
	evidence = ug_request_evidence(request) +
		   ug_history_evidence(table, request->history_key, now_ms);
	if (evidence >= UG_DECISIVE)
		return CM_URGENT;
	return evidence <= -UG_DECISIVE ? CM_DEFERRABLE : CM_NORMAL;
}

int32_t ug_priority(enum cm_urgency urgency)
{
	switch (urgency) {
	case CM_URGENT:
		return UG_PRIORITY_URGENT;
	case CM_DEFERRABLE:
		return UG_PRIORITY_DEFERRABLE;
	default:
		return UG_PRIORITY_NORMAL;
	}
}
