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
 *		.behaviour = ug_behaviour(team, model), .is_stream = true },
 *		now_ms);
 *	body.priority = ug_priority(urgency);
 *	...
 *	ug_ended(&table, behaviour, UG_ANSWERED, waited_ms, now_ms);
 *	ug_finish(&table);
 */
#ifndef UG_H
#define UG_H

#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"

#define UG_SETS 1024
#define UG_WAYS 4

/** enum ug_end - how a request ended, as far as its caller goes. */
enum ug_end { UG_ANSWERED = 0, UG_HANG_UP };

/**
 * struct ug_request - what is seen of a request.
 * @behaviour: ug_behaviour() of its team and model.
 * @is_stream: the caller asked for a stream.
 * @max_tokens: that the caller asked for; 0 if it did not say.
 */
struct ug_request {
	uint64_t behaviour;
	bool is_stream;
	uint32_t max_tokens;
};

struct _ug_past {
	uint64_t behaviour;
	int64_t last_ms;
	float requests;
	float hang_ups;
	float patient;
};

struct ug_table {
	struct _ug_past *_past;
};

void ug_init(struct ug_table *table);
void ug_finish(struct ug_table *table);

/** ug_behaviour() - the key under which the past is kept. */
uint64_t ug_behaviour(const char *team, const char *model);

/**
 * ug_infer() - the urgency to use, never CM_AUTO.
 * @configured: of the route; anything but CM_AUTO is returned as it is.
 */
enum cm_urgency ug_infer(const struct ug_table *table,
			 enum cm_urgency configured,
			 const struct ug_request *request, int64_t now_ms);

/**
 * ug_ended() - learn from a request that ended.
 * @waited_ms: until the first token, or until the caller hung up.
 */
void ug_ended(struct ug_table *table, uint64_t behaviour, enum ug_end end,
	      int64_t waited_ms, int64_t now_ms);

/** ug_priority() - for engines, where a lower value goes first. */
int32_t ug_priority(enum cm_urgency urgency);

#endif
