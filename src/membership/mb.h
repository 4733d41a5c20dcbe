/*
 * mb - membership table: liveness of processes and upstreams.
 *
 * Overview
 *	The members are the processes of entry hosts, and upstreams. The table
 *	combines three kinds of evidence:
 *
 *	- the platform's host list, which lags: it makes a member known and
 *	  marks it as leaving;
 *	- gossip: each process sends random peers its own record with an
 *	  increasing heartbeat, the records that changed, and heartbeats of
 *	  other members, which only prove that they are alive;
 *	- direct evidence: an answer or a failure that this process observed.
 *
 *	The incarnation orders all updates of one member: an update with a
 *	lower incarnation is stale and is dropped, a higher one is a restart.
 *	Within one incarnation "leaving" is final.
 *
 *	The table has no sockets and no clock. Its input comes from the
 *	membership task (mb_task.h) and from the callers of upstreams.
 *
 * Use
 *	mb_init(&table, &(struct mb_desc){ .self = me });
 *	mb_receive_record(&table, &record, now_ms);
 *	mb_tick(&table, now_ms);
 *	for (m = mb_next(&table, NULL, MB_INDEX); m; m = mb_next(...))
 *
 * Hysteresis
 *	A silent process is SUSPECT after MB_SUSPECT_AFTER_MS and DEAD after
 *	MB_DEAD_AFTER_MS. A suspect stays in the placement, so that one-way
 *	loss or a short pause does not move keys. Only an update from the
 *	member itself makes it ALIVE again.
 *
 *	Silence alone never makes an upstream DEAD, since there may be no
 *	process left that follows its events; direct failures keep work away
 *	from it instead. After a pause of its own a process does not count
 *	that time as silence of the others (mb_tick()).
 *
 *	The heartbeat of an upstream is raised by each process that receives
 *	a direct answer from it.
 */
#ifndef MB_H
#define MB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define MB_NAME_BYTES	    64
#define MB_SUSPECT_AFTER_MS 2000
#define MB_DEAD_AFTER_MS    6000
/** A member absent from the host list is removed after this silence. */
#define MB_FORGET_AFTER_MS 600000
#define MB_MAX_MEMBERS	   8192
/** Updates from other zones arrive later: factor on their timeouts. */
#define MB_OTHER_ZONE_FACTOR 4
/** Consecutive direct failures after which a member gets no work ... */
#define MB_MAX_DIRECT_FAILURES 3
/** ... until this time after the last one; then it gets one retry. */
#define MB_RETRY_FAILED_AFTER_MS 2000
/** Times that a record or a heartbeat is forwarded after it changed. */
#define MB_MAX_RELAYS 6

enum mb_role {
	MB_ENTRY = 0,
	MB_INDEX,
	MB_CONTROL,
	MB_ENGINE,
	MB_SERVICE,
	MB_ROLE_COUNT
};

/**
 * enum mb_state - state of a member as this process sees it.
 * @MB_UNKNOWN: in the host list, but nothing received yet.
 */
enum mb_state { MB_UNKNOWN = 0, MB_ALIVE, MB_SUSPECT, MB_LEAVING, MB_DEAD };

/**
 * struct mb_member - one member.
 * @name: of the host or upstream; unique within a role.
 * @service: name of the plain service, for MB_SERVICE.
 * @id: XXH3-64 of @name.
 * @incarnation: 0 until it is known.
 * @heartbeat: highest received within @incarnation.
 * @config_revision: last reported revision in force at the member.
 * @heard_ms: time of the last sign of life of the member.
 * @is_listed: the host list names it.
 * @is_listed_leaving: the host list marks it as leaving.
 * @failures: direct failures since the last direct answer.
 * @failed_ms: time of the last direct failure.
 */
struct mb_member {
	char name[MB_NAME_BYTES];
	char service[MB_NAME_BYTES];
	char zone[MB_NAME_BYTES];
	char region[MB_NAME_BYTES];
	uint64_t id;
	uint32_t role;
	uint32_t state;
	uint32_t ipv4;
	uint16_t http_port;
	uint16_t rpc_port;
	uint64_t incarnation;
	uint64_t heartbeat;
	uint64_t config_revision;
	int64_t heard_ms;
	bool is_listed;
	bool is_listed_leaving;
	uint32_t failures;
	int64_t failed_ms;

	uint64_t _heartbeat_id;
	uint32_t _position;
	uint32_t _relays;
	uint32_t _heartbeat_relays;
};

/**
 * struct mb_heartbeat - proof of life, small enough that one datagram covers a
 * zone.
 * @member: hash of role and name.
 * @incarnation: ignored unless it equals the known incarnation.
 * @heartbeat: as in struct mb_member.
 */
struct mb_heartbeat {
	uint64_t member;
	uint64_t incarnation;
	uint64_t heartbeat;
};

/**
 * struct mb_desc - zero means default.
 * @self: this process's own record; NULL for a table without one.
 */
struct mb_desc {
	const struct mb_member *self;
};

/** struct mb_table - table of members; fields are private. */
struct mb_table {
	GHashTable *_members;
	GHashTable *_by_heartbeat_id;
	GPtrArray *_order;
	struct mb_member *_self;
	int64_t _last_tick_ms;
};

void mb_init(struct mb_table *table, const struct mb_desc *desc);
void mb_finish(struct mb_table *table);

/** mb_self() - this process's own record, or NULL. */
struct mb_member *mb_self(struct mb_table *table);

/**
 * mb_receive_record() - merge a record from gossip or from the member itself.
 *
 * Return: ST_OK if it is newer, ST_STALE for an old incarnation or heartbeat,
 * ST_FULL if the table has no room.
 */
enum st_code mb_receive_record(struct mb_table *table,
			       const struct mb_member *record, int64_t now_ms);

/**
 * mb_apply_host_list() - replace the platform's host list.
 * @members: all entries; is_listed_leaving marks those that are leaving.
 */
void mb_apply_host_list(struct mb_table *table, const struct mb_member *members,
			uint32_t count, int64_t now_ms);

/** mb_mark_answered() - the member answered this process directly. */
void mb_mark_answered(struct mb_table *table, enum mb_role role,
		      const char *name, uint64_t incarnation, int64_t now_ms);

/** mb_mark_failed() - a direct call did not reach the member. */
void mb_mark_failed(struct mb_table *table, enum mb_role role, const char *name,
		    int64_t now_ms);

/** mb_mark_leaving() - the member told this process that it is leaving. */
void mb_mark_leaving(struct mb_table *table, enum mb_role role,
		     const char *name, uint64_t incarnation);

/** mb_tick() - update states by age; call several times a second. */
void mb_tick(struct mb_table *table, int64_t now_ms);

/** mb_find() - a member by role and name, or NULL. */
const struct mb_member *mb_find(const struct mb_table *table, enum mb_role role,
				const char *name);

/**
 * mb_next() - iterate over the members of a role, ordered by name.
 * @zone: limits the members to this zone; NULL for all.
 * @after: NULL for the first.
 */
const struct mb_member *mb_next(const struct mb_table *table, enum mb_role role,
				const char *zone,
				const struct mb_member *after);

/**
 * mb_can_get_work() - whether the member is eligible for work.
 *
 * ALIVE, SUSPECT and UNKNOWN members are, except those with too many direct
 * failures, and upstreams that the host list leaves out or marks as leaving.
 */
bool mb_can_get_work(const struct mb_member *member);

/** mb_receive_heartbeat() - merge one from gossip; see mb_receive_record(). */
enum st_code mb_receive_heartbeat(struct mb_table *table,
				  const struct mb_heartbeat *heartbeat,
				  int64_t now_ms);

/**
 * mb_select_records() - copy the records to gossip: this process's own, then
 * those in which more than the heartbeat changed, the newest changes first.
 *
 * Return: number of records in @out.
 */
uint32_t mb_select_records(struct mb_table *table, struct mb_member *out,
			   uint32_t capacity);

/**
 * mb_select_heartbeats() - copy the heartbeats to gossip, own zone first, there
 * the newest first.
 *
 * Return: number of heartbeats in @out.
 */
uint32_t mb_select_heartbeats(const struct mb_table *table,
			      struct mb_heartbeat *out, uint32_t capacity);

/** mb_mark_heartbeats_sent() - count one relay for each heartbeat sent. */
void mb_mark_heartbeats_sent(struct mb_table *table,
			     const struct mb_heartbeat *heartbeats,
			     uint32_t count);

/** mb_mark_records_sent() - count one relay for each record sent. */
void mb_mark_records_sent(struct mb_table *table,
			  const struct mb_member *records, uint32_t count);

/**
 * mb_owner() - rendezvous owner of an upstream among the index processes of a
 * zone that can get work; NULL if there are no more than @rank.
 * @rank: 0 for the owner, 1 for the next in rank, and so on.
 */
const struct mb_member *mb_owner(const struct mb_table *table, const char *zone,
				 uint64_t upstream_id, uint32_t rank);

const char *mb_state_name(uint32_t state);
const char *mb_role_name(uint32_t role);

#endif
