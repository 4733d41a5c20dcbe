/*
 * cm - the configuration: typed, validated teams, models, routes and services.
 *
 * Overview
 *	The configuration is a set of objects, each with a kind, a name and a
 *	JSON text, under one monotonically increasing revision. Each object
 *	keeps the revision at which it last changed, so that a delta (all
 *	objects changed after a revision, deletions included) can be sent on
 *	its own. Objects are stored as text, for forwarding, and parsed, for
 *	use.
 *
 *	A change is validated as a whole against the configuration that would
 *	result. Every finding is reported with its place, such as
 *	"/model/letters/version"; a change with findings is not applied.
 *
 *	cm_apply() refuses a revision that is not above the one in force.
 *
 * Use
 *	struct cm_config config;
 *
 *	cm_init(&config);
 *	cm_apply(&config, &(struct cm_delta){ .revision = 7, .objects = o,
 *		.count = n }, &findings);
 *	team = cm_team_by_key(&config, presented_key);
 *	cm_finish(&config);
 *
 * Objects (JSON; fields are optional unless marked as required)
 *	team/NAME	{"key_sha256": "hex" (required), "weight": 1,
 *			"max_running": 64, "max_waiting": 256,
 *			"models": ["NAME"], "services": ["NAME"]}
 *	model/NAME	{"version": "v2" (required, to load on the engines),
 *			"serving": "v1" (serves requests; default: version),
 *			"adapter": "", "engines": ["NAME"] (none: all),
 *			"max_loading": 2, "min_ready": 1}
 *	route/NAME	{"model": "NAME" (required), "team": "NAME" (none:
 *			every team), "objective": "first_token" | "reuse",
 *			"urgency": "auto" | "urgent" | "normal" | "deferrable"}
 *	service/NAME	{"idempotent_methods": ["GET", "HEAD"],
 *			"timeout_ms": 10000}
 */
#ifndef CM_H
#define CM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"
#include "settings/fd.h"

#define CM_NAME_BYTES		      64
#define CM_KEY_HASH_BYTES	      32
#define CM_MAX_NAMES		      64
#define CM_DEFAULT_MAX_RUNNING	      64
#define CM_DEFAULT_MAX_WAITING	      256
#define CM_DEFAULT_SERVICE_TIMEOUT_MS 10000

/** enum cm_objective - what placement optimizes. */
enum cm_objective { CM_FIRST_TOKEN = 0, CM_REUSE };

/** enum cm_urgency - priority class of requests; CM_AUTO infers it. */
enum cm_urgency { CM_AUTO = 0, CM_URGENT, CM_NORMAL, CM_DEFERRABLE };

/** struct cm_names - a list of names; an empty list matches every name. */
struct cm_names {
	char (*names)[CM_NAME_BYTES];
	uint32_t count;
};

struct cm_team {
	char name[CM_NAME_BYTES];
	uint64_t id;
	uint8_t key_hash[CM_KEY_HASH_BYTES];
	uint32_t weight;
	uint32_t max_running;
	uint32_t max_waiting;
	struct cm_names models;
	struct cm_names services;
};

struct cm_model {
	char name[CM_NAME_BYTES];
	char version[CM_NAME_BYTES];
	char serving[CM_NAME_BYTES];
	char adapter[CM_NAME_BYTES];
	struct cm_names engines;
	uint32_t max_loading;
	uint32_t min_ready;
};

struct cm_route {
	char name[CM_NAME_BYTES];
	char model[CM_NAME_BYTES];
	char team[CM_NAME_BYTES];
	enum cm_objective objective;
	enum cm_urgency urgency;
};

struct cm_service {
	char name[CM_NAME_BYTES];
	struct cm_names idempotent_methods;
	int64_t timeout_ms;
};

/** struct cm_object - an object as text; a deleted object has no @json. */
struct cm_object {
	const char *kind;
	const char *name;
	const char *json;
	uint64_t revision;
	bool is_deleted;
};

/** struct cm_delta - objects changed up to and including @revision. */
struct cm_delta {
	uint64_t revision;
	const struct cm_object *objects;
	uint32_t count;
};

/** struct cm_config - state; all members except @revision are private. */
struct cm_config {
	uint64_t revision;
	GHashTable *_objects;
	GHashTable *_teams_by_key;
	GHashTable *_teams;
	GHashTable *_models;
	GHashTable *_routes;
	GHashTable *_services;
};

void cm_init(struct cm_config *config);
void cm_finish(struct cm_config *config);

/**
 * cm_check() - validate the configuration that would result from @delta.
 * @findings: every fault found is appended.
 *
 * Return: ST_OK or ST_INVALID.
 */
enum st_code cm_check(const struct cm_config *config,
		      const struct cm_delta *delta, struct fd_list *findings);

/**
 * cm_apply() - validate and apply a delta.
 *
 * Return: ST_OK; ST_STALE for a revision not above the one in force; ST_INVALID
 * with findings. A configuration accepted by another process is valid there, so
 * ST_INVALID for it means that the processes run different program versions.
 * On failure the configuration is unchanged.
 */
enum st_code cm_apply(struct cm_config *config, const struct cm_delta *delta,
		      struct fd_list *findings);

/**
 * cm_changed_since() - list objects changed after @revision, also deleted ones.
 * @out: array of struct cm_object, appended to and sorted by kind and name; the
 *	texts belong to the configuration.
 */
void cm_changed_since(const struct cm_config *config, uint64_t revision,
		      GArray *out);

/** cm_object_find() - find an object as text; NULL if unknown. */
const struct cm_object *cm_object_find(const struct cm_config *config,
				       const char *kind, const char *name);

/**
 * cm_team_by_key() - find the team of a presented API key; NULL if unknown.
 *
 * Looks up the SHA-256 hash of the key and compares hashes in constant time.
 */
const struct cm_team *cm_team_by_key(const struct cm_config *config,
				     const char *key);
const struct cm_team *cm_team(const struct cm_config *config, const char *name);
const struct cm_model *cm_model(const struct cm_config *config,
				const char *name);
const struct cm_service *cm_service(const struct cm_config *config,
				    const char *name);

/** cm_route() - find the team's route for a model, else the general route. */
const struct cm_route *cm_route(const struct cm_config *config,
				const char *team, const char *model);

/** cm_for_each_model() - call @fn for every model, sorted by name. */
void cm_for_each_model(const struct cm_config *config,
		       void (*fn)(void *arg, const struct cm_model *model),
		       void *arg);

/** cm_names_has() - whether the list contains @name or is empty. */
bool cm_names_has(const struct cm_names *names, const char *name);

#endif
