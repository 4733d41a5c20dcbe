#include "routing/ug.h"

#include <glib.h>
#include <math.h>

#include "prefix/px.h"

/* Counts of the past halve in this time. */
#define UG_HALF_LIFE_MS 3600000.0
/* A caller that hangs up this soon did not sit through the wait. */
#define UG_HANG_UP_SOON_MS 15000
/* A caller that waits this long for the first token is not watching. */
#define UG_PATIENT_MS 8000
/* Requests without hang-up that are assumed of everyone. */
#define UG_PRIOR_REQUESTS 10.0
/* Parts of the past requests from which on they count. */
#define UG_SOME_HANG_UPS 0.1
#define UG_MANY_HANG_UPS 0.3
#define UG_SOME_PATIENT	 0.2
/* Answers as short as a grade are read by programs. */
#define UG_SHORT_TOKENS 8
/* Evidence of this weight makes it urgent, of its negative deferrable. */
#define UG_DECISIVE 2

#define UG_PRIORITY_URGENT     0
#define UG_PRIORITY_NORMAL     100
#define UG_PRIORITY_DEFERRABLE 200

void ug_init(struct ug_table *table)
{
	table->_past = g_new0(struct _ug_past, (gsize)UG_SETS * UG_WAYS);
}

void ug_finish(struct ug_table *table)
{
	g_free(table->_past);
	table->_past = NULL;
}

uint64_t ug_behaviour(const char *team, const char *model)
{
	return px_salt(team, model, "", "");
}

static struct _ug_past *ug_set(const struct ug_table *table, uint64_t behaviour)
{
	return &table->_past[(behaviour % UG_SETS) * UG_WAYS];
}

static struct _ug_past *ug_find(const struct ug_table *table,
				uint64_t behaviour)
{
	struct _ug_past *set = ug_set(table, behaviour);

	for (int i = 0; i < UG_WAYS; i++) {
		if (set[i].behaviour == behaviour && set[i].requests > 0.0f)
			return &set[i];
	}
	return NULL;
}

/* The one of that key, else the place of the one unused for longest. */
static struct _ug_past *ug_get(struct ug_table *table, uint64_t behaviour)
{
	struct _ug_past *past = ug_find(table, behaviour);
	struct _ug_past *set = ug_set(table, behaviour);

	if (past)
		return past;
	past = &set[0];
	for (int i = 1; i < UG_WAYS; i++) {
		if (set[i].last_ms < past->last_ms)
			past = &set[i];
	}
	*past = (struct _ug_past){ .behaviour = behaviour };
	return past;
}

static double ug_fade(const struct _ug_past *past, int64_t now_ms)
{
	return exp2(-(double)(now_ms - past->last_ms) / UG_HALF_LIFE_MS);
}

void ug_ended(struct ug_table *table, uint64_t behaviour, enum ug_end end,
	      int64_t waited_ms, int64_t now_ms)
{
	struct _ug_past *past = ug_get(table, behaviour);
	float fade = (float)ug_fade(past, now_ms);
	bool is_soon = end == UG_HANG_UP && waited_ms < UG_HANG_UP_SOON_MS;
	bool is_patient = end == UG_ANSWERED && waited_ms >= UG_PATIENT_MS;

	past->requests = past->requests * fade + 1.0f;
	past->hang_ups = past->hang_ups * fade + (is_soon ? 1.0f : 0.0f);
	past->patient = past->patient * fade + (is_patient ? 1.0f : 0.0f);
	past->last_ms = now_ms;
}

static int ug_evidence_of_past(const struct ug_table *table, uint64_t behaviour,
			       int64_t now_ms)
{
	const struct _ug_past *past = ug_find(table, behaviour);
	double fade, all, hang_ups, patient;

	if (!past)
		return 0;
	fade = ug_fade(past, now_ms);
	all = past->requests * fade + UG_PRIOR_REQUESTS;
	hang_ups = past->hang_ups * fade / all;
	patient = past->patient * fade / all;
	if (hang_ups >= UG_MANY_HANG_UPS)
		return 2;
	if (hang_ups >= UG_SOME_HANG_UPS)
		return 1;
	return patient >= UG_SOME_PATIENT ? -1 : 0;
}

static int ug_evidence_of_request(const struct ug_request *request)
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
	evidence = ug_evidence_of_request(request) +
		   ug_evidence_of_past(table, request->behaviour, now_ms);
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
