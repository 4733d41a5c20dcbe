/*
 * mb - membership: which processes and upstreams live.
 *
 * Overview
 *	A table of members: the processes of entry hosts, and upstreams.
 *	Three kinds of evidence are joined:
 *
 *	- the platform's host list, which lags: it makes a member known and
 *	  says that it is leaving;
 *	- gossip: each process sends to random peers its own record, with a
 *	  heartbeat that grows, the records that changed, and beats, which
 *	  only say that a member lives;
 *	- direct evidence: an answer or a failure that this process saw.
 *
 *	An incarnation orders all news of one member: what concerns a lower
 *	incarnation is stale and is dropped, a higher one is a restart. Within
 *	one incarnation "leaving" is final.
 *
 *	The table has no sockets and no clock. It is fed by the membership task
 *	(mb_task.h), and by the callers of upstreams.
 *
 * Use
 *	mb_init(&table, &(struct mb_desc){ .self = me });
 *	mb_receive_record(&table, &record, now_ms);
 *	mb_tick(&table, now_ms);
 *	for (m = mb_next(&table, NULL, MB_INDEX); m; m = mb_next(...))
 *
 * Hysteresis
 *	A process of which nothing was heard is SUSPECT after
 *	MB_SUSPECT_AFTER_MS and DEAD after MB_DEAD_AFTER_MS; a suspect keeps
 *	its place in the placement, so that one-way loss or a short pause does
 *	not shift it. Only news of the member itself makes it ALIVE again.
 *
 *	Silence alone never makes an upstream DEAD, since nobody may be left
 *	who follows its events; direct failures keep work from it instead. A
 *	process that was paused itself does not take its own deafness for the
 *	silence of the others (mb_tick()).
 *
 *	For upstreams the heartbeat is raised by whoever hears them directly.
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
/** A dead member that the host list does not name is forgotten after it. */
#define MB_FORGET_AFTER_MS 600000
#define MB_MAX_MEMBERS	   8192
/** News of other zones takes longer, and may be older by this factor. */
#define MB_OTHER_ZONE_FACTOR 4
/** After so many direct failures in a row a member gets no work ... */
#define MB_MAX_DIRECT_FAILURES 3
/** ... until this time has passed since the last; then one more try. */
#define MB_RETRY_FAILED_AFTER_MS 2000
/** A record or a beat is passed on so many times after it was news. */
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
 * enum mb_state - what is believed of a member.
 * @MB_UNKNOWN: listed, and nothing heard yet.
 */
enum mb_state { MB_UNKNOWN = 0, MB_ALIVE, MB_SUSPECT, MB_LEAVING, MB_DEAD };

/**
 * struct mb_member - one member.
 * @name: of the host or upstream; unique within a role.
 * @service: name of the plain service, for MB_SERVICE.
 * @id: XXH3-64 of @name.
 * @incarnation: 0 until it is known.
 * @heartbeat: highest heard within @incarnation.
 * @config_revision: in force there, as last heard.
 * @heard_ms: when the last news of the member itself came.
 * @is_listed: the host list names it.
 * @is_listed_leaving: the host list says that it is leaving.
 * @failures: direct failures since the last direct answer.
 * @failed_ms: when the last of them was.
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
 * struct mb_heartbeat - a sign of life, short enough to name a whole zone.
 * @member: hash of role and name.
 * @incarnation: a beat of another incarnation than the known one says nothing.
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

/** struct mb_table - state; fields are private. */
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
 * mb_receive_record() - a record from gossip, or from the member itself.
 *
 * Return: ST_OK if it was news, ST_STALE for an old incarnation or heartbeat,
 * ST_FULL without room.
 */
enum st_code mb_receive_record(struct mb_table *table,
			       const struct mb_member *record, int64_t now_ms);

/**
 * mb_apply_host_list() - the platform's host list, whole.
 * @members: what it names; their is_listed_leaving says "leaving".
 */
void mb_apply_host_list(struct mb_table *table, const struct mb_member *members,
			uint32_t count, int64_t now_ms);

/** mb_mark_answered() - the member itself answered this process directly. */
void mb_mark_answered(struct mb_table *table, enum mb_role role,
		      const char *name, uint64_t incarnation, int64_t now_ms);

/** mb_mark_failed() - a direct call to the member failed to get through. */
void mb_mark_failed(struct mb_table *table, enum mb_role role, const char *name,
		    int64_t now_ms);

/** mb_mark_leaving() - the member itself said to this process that it is
 * leaving. */
void mb_mark_leaving(struct mb_table *table, enum mb_role role,
		     const char *name, uint64_t incarnation);

/** mb_tick() - age the members; call some times a second. */
void mb_tick(struct mb_table *table, int64_t now_ms);

/** mb_find() - a member by role and name, or NULL. */
const struct mb_member *mb_find(const struct mb_table *table, enum mb_role role,
				const char *name);

/**
 * mb_next() - walk members of a role in the order of names.
 * @zone: only of this zone; NULL for all.
 * @after: NULL for the first.
 */
const struct mb_member *mb_next(const struct mb_table *table, enum mb_role role,
				const char *zone,
				const struct mb_member *after);

/** mb_can_get_work() - alive, suspect or unknown; not leaving, not dead. */
bool mb_can_get_work(const struct mb_member *member);

/** mb_receive_heartbeat() - a beat from gossip; codes as for
 * mb_receive_record(). */
enum st_code mb_receive_heartbeat(struct mb_table *table,
				  const struct mb_heartbeat *beat,
				  int64_t now_ms);

/**
 * mb_select_records() - records to gossip: the own one, then those in which
 * something else than the heartbeat is news.
 *
 * Return: how many were copied to @out.
 */
uint32_t mb_select_records(struct mb_table *table, struct mb_member *out,
			   uint32_t capacity);

/**
 * mb_select_heartbeats() - beats to gossip, the newest first, own zone first.
 *
 * Return: how many were copied to @out.
 */
uint32_t mb_select_heartbeats(const struct mb_table *table,
			      struct mb_heartbeat *out, uint32_t capacity);

/** mb_mark_heartbeats_sent() - the beats went out to a peer; counts their
 * relays. */
void mb_mark_heartbeats_sent(struct mb_table *table,
			     const struct mb_heartbeat *beats, uint32_t count);

/** mb_mark_records_sent() - the records went out to a peer; counts their
 * relays. */
void mb_mark_records_sent(struct mb_table *table,
			  const struct mb_member *records, uint32_t count);

/**
 * mb_owner() - rendezvous owner of an upstream among the living index
 * processes of a zone; NULL if there is none.
 * @rank: 0 for the owner, 1 for the one that follows it, and so on.
 */
const struct mb_member *mb_owner(const struct mb_table *table, const char *zone,
				 uint64_t upstream_id, uint32_t rank);

const char *mb_state_name(uint32_t state);
const char *mb_role_name(uint32_t role);

#endif
