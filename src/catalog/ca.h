/*
 * ca - catalog of routes, services and teams of one configuration version.
 *
 * Overview
 *	A catalog is built from one configuration and is immutable once
 *	sealed. A request holds a reference to the catalog that it was
 *	admitted under, so a newer catalog can take effect meanwhile.
 *
 *	Routes are matched by host and longest path prefix, teams by any of
 *	their keys.
 *
 * Use
 *	struct ca_catalog *c = ca_catalog_new(7);
 *
 *	route = ca_add_route(c, "letters.example", "/drafts/");
 *	ca_add_split(route, ca_add_service(c, "drafts"), 100);
 *	ca_catalog_seal(c);
 *	route = ca_find_route(c, "letters.example", "/drafts/new");
 *	ca_catalog_unref(c);
 */
#ifndef CA_H
#define CA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CA_MAX_SPLITS 8

/**
 * enum ca_kind - whether a route's requests may be retried.
 * @CA_IDEMPOTENT: a request may run any number of times.
 * @CA_AT_MOST_ONCE: a request may run at most once.
 * @CA_STREAM: as CA_AT_MOST_ONCE, except that a stream of a resumable route may
 *	be resumed on another engine after the last event sent to the caller.
 */
enum ca_kind { CA_IDEMPOTENT = 0, CA_AT_MOST_ONCE, CA_STREAM };

/**
 * enum ca_field - members of a configuration; a dialect gives each the name
 * that it has in the operator's file.
 */
enum ca_field {
	CA_FIELD_KIND = 0,
	CA_FIELD_TIMEOUT,
	CA_FIELD_TARGET,
	CA_FIELD_GAP_TARGET,
	CA_FIELD_MAX_SENDS,
	CA_FIELD_PRIORITY,
	CA_FIELD_PUBLIC,
	CA_FIELD_RESUMABLE,
	CA_FIELD_SPLITS,
	CA_FIELD_MAX_CONNECTIONS,
	CA_FIELD_MODEL,
	CA_FIELD_SLOTS,
	CA_FIELD_MEMORY,
	CA_FIELD_STORE,
	CA_FIELD_ZONE,
	CA_FIELD_KEYS,
	CA_FIELD_ISOLATED,
	CA_FIELD_CAP_RATE,
	CA_FIELD_CAP_BURST,
	CA_FIELD_CAP_UNIT,
	CA_FIELD_CAP_PLAIN_COST,
	CA_FIELD_HEADER_BYTES,
	CA_FIELD_BODY_BYTES,
	CA_FIELD_HEADER_TIMEOUT,
	CA_FIELD_IDLE_TIMEOUT,
	CA_FIELD_COUNT
};

/**
 * struct ca_service - a pool of upstreams.
 * @place: JSON pointer to its entry in the operator's file; "" if it is only
 *	named by routes.
 * @name: service name in the upstreams' entries.
 * @max_connections: limit per upstream, over all hosts; 0: unknown.
 * @is_model: its upstreams are model engines.
 * @slots: requests that a model engine runs concurrently.
 * @memory_tokens: KV cache capacity of a model engine, in tokens.
 * @loosest_target_ms: highest target of the routes to it; 0: none has one.
 * @store_address: address if the service is a KV cache store, otherwise "".
 * @store_zone: availability zone of that store.
 */
struct ca_service {
	char *place;
	char *name;
	uint32_t max_connections;
	bool is_model;
	uint32_t slots;
	uint64_t memory_tokens;
	int64_t loosest_target_ms;
	char *store_address;
	char *store_zone;
};

struct ca_split {
	const struct ca_service *service;
	uint32_t weight;
};

/**
 * struct ca_route - destination and handling of matching requests.
 * @place: JSON pointer to its entry in the operator's file.
 * @timeout_ms: total time limit of a request; 0: no limit.
 * @target_ms: target time to the answer, or to a stream's first event.
 * @gap_target_ms: target time between two events of a stream.
 * @max_sends: number of upstreams that one request may be sent to.
 * @priority: 0 is the most urgent.
 * @is_public: requests need no key.
 * @is_resumable: see enum ca_kind.
 */
struct ca_route {
	char *place;
	char *name;
	char *host;
	char *prefix;
	enum ca_kind kind;
	int64_t timeout_ms;
	int64_t target_ms;
	int64_t gap_target_ms;
	uint32_t max_sends;
	uint32_t priority;
	bool is_public;
	bool is_resumable;
	struct ca_split splits[CA_MAX_SPLITS];
	uint32_t split_count;
};

/** enum ca_unit - what a team's cap counts. */
enum ca_unit { CA_REQUESTS = 0, CA_TOKENS };

/**
 * struct ca_team - a group of callers.
 * @place: JSON pointer to its entry in the operator's file.
 * @priority: overrides the route's priority; -1: the route's applies.
 * @is_isolated: shares no cached prompts with other teams.
 * @cap_per_s: cap of its usage over all hosts, see src/limits/lm_cap.h; 0: no
 *	cap.
 * @cap_burst: what it may use at once beyond that.
 * @cap_unit: of both.
 * @cap_plain_cost: tokens that a request without a number of them counts as.
 * @has_bad_cap: the cap could not be read, see ca_keep_caps().
 */
struct ca_team {
	char *place;
	char *name;
	int32_t priority;
	bool is_isolated;
	double cap_per_s;
	int64_t cap_burst;
	enum ca_unit cap_unit;
	int64_t cap_plain_cost;
	bool has_bad_cap;
};

/** struct ca_limits - limits on requests of callers; 0: the default. */
struct ca_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct ca_catalog - state; fields without "_" are readable.
 * @unusable_entries: entries that lack what they need. A catalog with any is
 *	never put in force: requests would be handled as no version says.
 */
struct ca_catalog {
	uint64_t version;
	uint32_t unusable_entries;
	struct ca_limits limits;
	bool has_teams;

	uint32_t _references;
	GPtrArray *_routes;
	GPtrArray *_services;
	GHashTable *_services_by_name;
	GPtrArray *_teams;
	GHashTable *_teams_by_key;
	GHashTable *_routes_by_host;
};

struct ca_catalog *ca_catalog_new(uint64_t version);
struct ca_catalog *ca_catalog_ref(struct ca_catalog *c);
void ca_catalog_unref(struct ca_catalog *c);

/**
 * ca_replaces() - whether a host that has @current in force takes @next.
 * @current: NULL if there is none.
 */
bool ca_replaces(const struct ca_catalog *next,
		 const struct ca_catalog *current);

struct ca_route *ca_add_route(struct ca_catalog *c, const char *host,
			      const char *prefix);
/** ca_add_service() - find the service of this name or create it. */
struct ca_service *ca_add_service(struct ca_catalog *c, const char *name);
/**
 * ca_add_split() - send a portion of the requests to a service; a weight of 0
 * adds nothing.
 *
 * Return: false if the route has CA_MAX_SPLITS splits already.
 */
bool ca_add_split(struct ca_route *route, const struct ca_service *service,
		  uint32_t weight);
struct ca_team *ca_add_team(struct ca_catalog *c, const char *name);
void ca_add_key(struct ca_catalog *c, struct ca_team *team, const char *key);

/** ca_catalog_seal() - complete the catalog: sort routes by prefix length. */
void ca_catalog_seal(struct ca_catalog *c);

/** ca_find_route() - route for a path with optional query; NULL if none. */
const struct ca_route *ca_find_route(const struct ca_catalog *c,
				     const char *host, const char *target);
const struct ca_team *ca_find_team(const struct ca_catalog *c, const char *key);

/**
 * ca_keep_caps() - teams whose cap could not be read keep the one that they
 * have in @before, which may be NULL.
 */
void ca_keep_caps(struct ca_catalog *c, const struct ca_catalog *before);
const struct ca_service *ca_find_service(const struct ca_catalog *c,
					 const char *name);

/** ca_set_place() - replace the place of a route, service or team. */
void ca_set_place(char **place, const char *text);

/* All entries, in the order in which they were added; NULL behind the last. */
uint32_t ca_route_count(const struct ca_catalog *c);
const struct ca_route *ca_route_at(const struct ca_catalog *c, uint32_t index);
uint32_t ca_service_count(const struct ca_catalog *c);
const struct ca_service *ca_service_at(const struct ca_catalog *c,
				       uint32_t index);
uint32_t ca_team_count(const struct ca_catalog *c);
const struct ca_team *ca_team_at(const struct ca_catalog *c, uint32_t index);

typedef void (*ca_key_fn)(void *arg, const char *key,
			  const struct ca_team *team);

/** ca_each_key() - call @fn for each key, in no particular order. */
void ca_each_key(const struct ca_catalog *c, ca_key_fn fn, void *arg);

/** ca_pick_service() - choose a service by hash and split weights. */
const struct ca_service *ca_pick_service(const struct ca_route *route,
					 uint64_t hash);

/** ca_find_store() - the first KV cache store, or NULL. */
const struct ca_service *ca_find_store(const struct ca_catalog *c);

const char *ca_kind_name(enum ca_kind kind);

#endif
