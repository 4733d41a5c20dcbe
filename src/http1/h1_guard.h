/*
 * h1_guard - what all callers' connections of a process hold, and which of
 * them gives way when memory or descriptors run out.
 *
 * Overview
 *	Every connection of every server of a process is a member. It has a
 *	standing, which the server changes as the connection does, and is
 *	charged to the account with what it holds beyond
 *	H1_GUARANTEED_BYTES; within that, a small request is always read.
 *
 *	Load 1: requests of legal size, many at once, that stop short of their
 *	end. A request for which there is no room takes the place of one that
 *	has stalled, or is refused itself.
 *	Load 2: more connections than descriptors. The one that has been silent
 *	the longest gives way; one with an answer due never does.
 *
 *	h1_guard_for_memory() and h1_guard_for_place() decide; they have
 *	neither sockets nor a clock. Members are kept in order of their
 *	standing's age, so that a decision looks at a few of them only.
 *
 * Use
 *	h1_guard_init(&guard, &account);
 *	guard.max_open = 4000;
 *	(see struct h1_server_desc)
 */
#ifndef H1_GUARD_H
#define H1_GUARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/ba.h"

/** Of a connection; not charged to the account. */
#define H1_GUARANTEED_BYTES (6u << 10)
/** Places that only servers for control may use, such as readiness. */
#define H1_CONTROL_PLACES 16

/**
 * enum h1_standing - of a connection, by whose turn it is.
 * @H1_LEAVING: closed by us; what it still writes is thrown away.
 * @H1_FRESH: has sent nothing yet.
 * @H1_UNFINISHED: a part of a request has come.
 * @H1_KEPT: idle after an answer.
 * @H1_UNREAD: the caller is to read the rest of its answer.
 * @H1_WORKING: an answer is due from us.
 */
enum h1_standing {
	H1_LEAVING = 0,
	H1_FRESH,
	H1_UNFINISHED,
	H1_KEPT,
	H1_UNREAD,
	H1_WORKING,
	H1_STANDINGS
};

/**
 * struct h1_member - a connection, within the memory of its server.
 * @standing: see above.
 * @since_ms: when it got that standing.
 * @moved_ms: of the last byte in either direction.
 * @read_bytes: of an unfinished request.
 * @charged_bytes: to the account.
 * @is_known: its route and key are known; without, it goes first.
 * @owner: for its functions.
 * @shed: closes or refuses it, and may free it; @reason for the log.
 * @is_writing: bytes have come from the caller that are not read yet.
 */
struct h1_member {
	enum h1_standing standing;
	int64_t since_ms;
	int64_t moved_ms;
	uint64_t read_bytes;
	uint64_t charged_bytes;
	bool is_known;
	void *owner;
	void (*shed)(struct h1_member *member, const char *reason);
	bool (*is_writing)(const struct h1_member *member);
	GList _link;
	GList _holder;
};

/**
 * struct h1_guard - @max_open may be changed; 0: unlimited.
 * @max_open: connections, and one more for each in H1_WORKING, as its request
 *	takes a connection to an upstream.
 */
struct h1_guard {
	struct ba_account *account;
	uint32_t max_open;
	GQueue _members[H1_STANDINGS];
	GQueue _holders;
	uint32_t _open;
};

void h1_guard_init(struct h1_guard *guard, struct ba_account *account);

/** h1_guard_join() - @member has its functions set; the rest is set here. */
void h1_guard_join(struct h1_guard *guard, struct h1_member *member,
		   int64_t now_ms);
void h1_guard_leave(struct h1_guard *guard, struct h1_member *member);

void h1_guard_set(struct h1_guard *guard, struct h1_member *member,
		  enum h1_standing standing, int64_t now_ms);

/** h1_guard_hold() - @bytes: all that it holds now, guaranteed or not. */
void h1_guard_hold(struct h1_guard *guard, struct h1_member *member,
		   uint64_t bytes);

/**
 * h1_guard_make_room() - room for @member to hold @bytes in all; sheds others
 * that deserve it less. False if there is none.
 */
bool h1_guard_make_room(struct h1_guard *guard, const struct h1_member *member,
			uint64_t bytes, int64_t now_ms);

/**
 * h1_guard_make_place() - a place for one more connection; sheds the one that
 * deserves it least if all are taken. False if there is none.
 */
bool h1_guard_make_place(struct h1_guard *guard, bool is_control,
			 int64_t now_ms);

/** h1_guard_shed_one() - the system has no descriptor; false: none to shed. */
bool h1_guard_shed_one(struct h1_guard *guard, int64_t now_ms);

/**
 * h1_guard_rank_memory() - how little a member deserves the memory it holds;
 * 0: it keeps it. Greater goes first.
 */
uint64_t h1_guard_rank_memory(const struct h1_member *member, int64_t now_ms);

/** h1_guard_may_close() - whether its descriptor may be taken from it. */
bool h1_guard_may_close(const struct h1_member *member, int64_t now_ms);

/** h1_guard_open() - connections of all servers. */
static inline uint32_t h1_guard_open(const struct h1_guard *guard)
{
	return guard->_open;
}

#endif
