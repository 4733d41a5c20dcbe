/*
 * ca - the catalog: routes, services and teams of one configuration version.
 *
 * Overview
 *	A catalog is made whole from one configuration and never changed.
 *	Requests hold a reference to the catalog that they were admitted
 *	under, so a newer one can come in force while they run.
 *
 *	A route is found by host and by the longest prefix that begins the
 *	path. A team is found by one of its keys.
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
 * enum ca_kind - what may be repeated.
 * @CA_IDEMPOTENT: a request may run any number of times.
 * @CA_AT_MOST_ONCE: it may run once at most.
 * @CA_STREAM: as CA_AT_MOST_ONCE, but for a resumable route, whose streams may
 *	go on at another engine after the last event that the caller has.
 */
enum ca_kind { CA_IDEMPOTENT = 0, CA_AT_MOST_ONCE, CA_STREAM };

/**
 * struct ca_service - a pool of upstreams.
 * @name: as the upstreams name it.
 * @max_connections: of one upstream, from all hosts together; 0: unknown.
 * @is_model: its upstreams are model engines.
 * @slots: requests that a model engine runs at once.
 * @memory_tokens: that a model engine has room for.
 * @store_address: of a store of kept KV cache, "" for other services.
 * @store_zone: availability zone of that store.
 */
struct ca_service {
	char *name;
	uint32_t max_connections;
	bool is_model;
	uint32_t slots;
	uint64_t memory_tokens;
	char *store_address;
	char *store_zone;
};

struct ca_split {
	const struct ca_service *service;
	uint32_t weight;
};

/**
 * struct ca_route - where requests go and how.
 * @timeout_ms: the longest that a caller is kept; 0: no limit.
 * @target_ms: until the answer, or a stream's first event.
 * @gap_target_ms: between two events.
 * @max_sends: upstreams that one request may be sent to.
 * @priority: 0 is the most urgent.
 * @is_public: needs no key.
 * @is_resumable: see enum ca_kind.
 */
struct ca_route {
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

/**
 * struct ca_team - who sends requests.
 * @priority: of all its requests, before the route's; -1: the route's holds.
 * @is_isolated: shares no cached prompt with another team.
 */
struct ca_team {
	char *name;
	int32_t priority;
	bool is_isolated;
};

/** struct ca_limits - what a caller may send; 0: the default. */
struct ca_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/** struct ca_catalog - @version and @limits are for reading. */
struct ca_catalog {
	uint64_t version;
	struct ca_limits limits;
	bool has_teams;

	uint32_t _references;
	GPtrArray *_routes;
	GPtrArray *_services;
	GPtrArray *_teams;
	GHashTable *_teams_by_key;
	GHashTable *_routes_by_host;
};

struct ca_catalog *ca_catalog_new(uint64_t version);
struct ca_catalog *ca_catalog_ref(struct ca_catalog *c);
void ca_catalog_unref(struct ca_catalog *c);

struct ca_route *ca_add_route(struct ca_catalog *c, const char *host,
			      const char *prefix);
/** ca_add_service() - the service of that name, new if there is none. */
struct ca_service *ca_add_service(struct ca_catalog *c, const char *name);
void ca_add_split(struct ca_route *route, const struct ca_service *service,
		  uint32_t weight);
struct ca_team *ca_add_team(struct ca_catalog *c, const char *name);
void ca_add_key(struct ca_catalog *c, struct ca_team *team, const char *key);

/** ca_catalog_seal() - it is complete; longest prefixes come first now. */
void ca_catalog_seal(struct ca_catalog *c);

/** ca_find_route() - @target is a path, a query may follow; NULL if none. */
const struct ca_route *ca_find_route(const struct ca_catalog *c,
				     const char *host, const char *target);
const struct ca_team *ca_find_team(const struct ca_catalog *c, const char *key);
const struct ca_service *ca_find_service(const struct ca_catalog *c,
					 const char *name);

/** ca_pick_service() - by the weights of the route's split. */
const struct ca_service *ca_pick_service(const struct ca_route *route,
					 uint64_t hash);

/** ca_find_store() - a store of kept KV cache, or NULL. */
const struct ca_service *ca_find_store(const struct ca_catalog *c);

const char *ca_kind_name(enum ca_kind kind);

#endif
