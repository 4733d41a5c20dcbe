/*
 * sa_platform - the stand-in platform: tables, objects and the host list.
 *
 * Overview
 *	sa_platform.c	server, faults, objects, host list
 *	sa_tables.c	the part of etcd's JSON gateway that docs/PROTOCOLS.md
 *			names, on a sorted tree of rows
 */
#ifndef SA_PLATFORM_H
#define SA_PLATFORM_H

#include "sa.h"

/** struct sa_row - a row of the table service. */
struct sa_row {
	char *value;
	uint64_t created;
	uint64_t changed;
	uint64_t version;
};

/**
 * struct sa_tables - the table service.
 * @revision: of the store; only grows.
 */
struct sa_tables {
	GTree *rows;
	uint64_t revision;
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
};

void sa_tables_init(struct sa_tables *tables);

/** sa_tables_range() - answer to a range request, or NULL if it is wrong. */
struct json_object *sa_tables_range(struct sa_tables *tables,
				    struct json_object *request);

/**
 * sa_tables_txn() - run a transaction.
 * @is_write: set if it put or deleted something.
 */
struct json_object *sa_tables_txn(struct sa_tables *tables,
				  struct json_object *request, bool *is_write);

/** sa_tables_keys() - every key, for the records. */
struct json_object *sa_tables_keys(const struct sa_tables *tables);

/**
 * struct sa_platform - the platform.
 * @hosts: the list as shown.
 * @next_hosts: the list as it is; shown after lag_ms.
 * @slow_ms: each answer takes that long.
 * @lose_answers: so many next writes take effect and get no answer.
 */
struct sa_platform {
	char address[64];
	uint16_t port;
	struct sa_world *world;
	struct hs_server server;
	bool is_up;
	ev_timer restart;
	struct sa_tables tables;
	GHashTable *objects;
	struct json_object *hosts;
	struct json_object *next_hosts;
	int64_t lag_ms;
	ev_timer lag;
	int64_t slow_ms;
	uint32_t lose_answers;
	GQueue delayed;
	ev_timer delay;
};

/** sa_platform_new() - engines and services are in the host list already. */
struct sa_platform *sa_platform_new(struct sa_world *world,
				    struct json_object *o);

/** sa_platform_down() - refuse connections; 0 ends it, -1 has no end. */
void sa_platform_down(struct sa_platform *platform, int64_t ms);

/**
 * sa_platform_change_host() - change the host list, seen after the lag.
 * @state: "live", "leaving" or "gone".
 */
void sa_platform_change_host(struct sa_platform *platform, const char *name,
			     const char *state);

/** sa_platform_add_host() - add an entry, seen after the lag. */
void sa_platform_add_host(struct sa_platform *platform,
			  struct json_object *entry);

#endif
