/*
 * sa_service - a stand-in plain service that counts what it ran.
 */
#ifndef SA_SERVICE_H
#define SA_SERVICE_H

#include "sa.h"

/**
 * struct sa_service - a service.
 * @runs_by_key: Idempotency-Key to the number of runs.
 * @runs_by_body: body to the number of runs.
 * @slow_ms: each answer takes that long.
 * @lose_answers: so many next runs get no answer.
 */
struct sa_service {
	char name[64];
	char address[64];
	char zone[64];
	char region[64];
	uint16_t port;
	struct sa_world *world;
	struct hs_server server;
	GHashTable *runs_by_key;
	GHashTable *runs_by_body;
	uint32_t runs;
	int64_t slow_ms;
	uint32_t lose_answers;
};

struct sa_service *sa_service_new(struct sa_world *world,
				  struct json_object *o);

/** sa_service_records() - runs per key and per body. */
struct json_object *sa_service_records(const struct sa_service *service);

#endif
