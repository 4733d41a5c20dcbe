/*
 * ug - inference of a request's urgency.
 *
 * Overview
 *	Requests carry no urgency. A route of the configuration may set it; for
 *	CM_AUTO it is inferred from the request (whether the answer is streamed,
 *	and its maximum length) and from earlier requests of the same team and
 *	model: an early disconnect means that somebody was waiting for the
 *	answer, a caller that stays connected through a long wait means that
 *	nobody was. The history is kept in a table of fixed size and decays.
 *
 * Use
 *	ug_init(&table);
 *	urgency = ug_infer(&table, route->urgency, &(struct ug_request){
 *		.history_key = ug_history_key(team, model), .is_stream = true },
 *		now_ms);
 *	body.priority = ug_priority(urgency);
 *	...
 *	ug_record(&table, history_key, UG_ANSWERED, waited_ms, now_ms);
 *	ug_finish(&table);
 */
#ifndef UG_H
#define UG_H

#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"

#define UG_SETS 1024
#define UG_WAYS 4

/** enum ug_outcome - whether the caller got an answer or disconnected. */
enum ug_outcome { UG_ANSWERED = 0, UG_DISCONNECTED };

/**
 * struct ug_request - properties of a request that urgency is inferred from.
 * @history_key: ug_history_key() of its team and model.
 * @is_stream: the answer is streamed.
 * @max_tokens: limit of the answer's length; 0 if the request has none.
 */
struct ug_request {
	uint64_t history_key;
	bool is_stream;
	uint32_t max_tokens;
};

struct _ug_history {
	uint64_t key;
	int64_t last_ms;
	float requests;
	float disconnects;
	float long_waits;
};

struct ug_table {
	struct _ug_history *_history;
};

void ug_init(struct ug_table *table);
void ug_finish(struct ug_table *table);

/** ug_history_key() - key of the history of a team and model. */
uint64_t ug_history_key(const char *team, const char *model);

/**
 * ug_infer() - infer the urgency; never returns CM_AUTO.
 * @configured: by the route; any value but CM_AUTO is returned unchanged.
 */
enum cm_urgency ug_infer(const struct ug_table *table,
			 enum cm_urgency configured,
			 const struct ug_request *request, int64_t now_ms);

/**
 * ug_record() - add the outcome of a request to the history.
 * @waited_ms: time to the first token, or until the caller disconnected.
 */
void ug_record(struct ug_table *table, uint64_t history_key,
	       enum ug_outcome outcome, int64_t waited_ms, int64_t now_ms);

/** ug_priority() - engine priority; lower values are served first. */
int32_t ug_priority(enum cm_urgency urgency);

#endif
