/*
 * ug - how urgent a request is, inferred.
 *
 * Overview
 *	Callers do not state urgency. A route of the configuration may fix it;
 *	for CM_AUTO it is inferred from the request (is the answer streamed,
 *	how long may it get) and from what callers of the same team and model
 *	did before: hanging up soon means that somebody was waiting, sitting
 *	through a long wait means that nobody was. The past is kept in a table
 *	of fixed size and fades.
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

/** enum ug_outcome - how a request ended, as far as its caller goes. */
enum ug_outcome { UG_ANSWERED = 0, UG_DISCONNECTED };

/**
 * struct ug_request - what is seen of a request.
 * @history_key: ug_history_key() of its team and model.
 * @is_stream: the caller asked for a stream.
 * @max_tokens: that the caller asked for; 0 if it did not say.
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

/** ug_history_key() - the key under which the past is kept. */
uint64_t ug_history_key(const char *team, const char *model);

/**
 * ug_infer() - the urgency to use, never CM_AUTO.
 * @configured: of the route; anything but CM_AUTO is returned as it is.
 */
enum cm_urgency ug_infer(const struct ug_table *table,
			 enum cm_urgency configured,
			 const struct ug_request *request, int64_t now_ms);

/**
 * ug_record() - learn from a request that ended.
 * @waited_ms: until the first token, or until the caller hung up.
 */
void ug_record(struct ug_table *table, uint64_t history_key,
	       enum ug_outcome outcome, int64_t waited_ms, int64_t now_ms);

/** ug_priority() - for engines, where a lower value goes first. */
int32_t ug_priority(enum cm_urgency urgency);

#endif
