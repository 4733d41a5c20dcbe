/*
 * pe_change - choice of the loads that a message to another zone carries.
 *
 * Load pattern
 *	The collector of a zone knows the load of up to thousands of upstreams
 *	and sends it several times a second over links that are expensive and
 *	narrow. Most of it is as it was in the message before. With 3,001
 *	upstreams, sums in full were 48 KB each, ten times a second, to two
 *	hosts of every other zone: more than the link of two regions carries.
 *
 * Overview
 *	A message carries the loads that changed enough to change a decision,
 *	largest change first, and in turn those that were sent longest ago, so
 *	that a lost message is made up for. A receiver merges them into what it
 *	knows (pe_zone_add_changes()) and drops what no later turn repeated.
 *	A budget of bytes per second determines the size of a message, and
 *	stretches the period once a message would be too small to be useful.
 *	The time of a turn grows with the number of upstreams.
 *
 *	One state serves all receivers that get the same messages.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	plan = pe_change_plan(&budget);
 *	pe_change_choose(&change, sums, &plan, now_ms, out);
 */
#ifndef PE_CHANGE_H
#define PE_CHANGE_H

#include <stdbool.h>

#include "peers/pe_load.h"

/** Most loads in one datagram; BP_MAX_CHANGES of src/rpc/balsampin.x. */
#define PE_DATAGRAM_SHARES 36
/** Bytes of a datagram beside its loads: IP, UDP, RPC and message header. */
#define PE_DATAGRAM_BYTES 230
#define PE_SHARE_BYTES	  16

/** Time of a turn over all upstreams, if the budget allows it. */
#define PE_TURN_MS 1500

/**
 * struct pe_change_budget
 * @upstreams: number of them with load.
 * @receivers: number of hosts that get each message.
 * @period_ms: shortest time between two messages to a receiver.
 * @bytes_per_s: to all receivers together.
 * @max_datagrams: of one message.
 */
struct pe_change_budget {
	uint32_t upstreams;
	uint32_t receivers;
	int64_t period_ms;
	int64_t bytes_per_s;
	uint32_t max_datagrams;
};

/**
 * struct pe_change_plan
 * @shares: most loads in a message.
 * @repeated: of these, most that are repeated without a change.
 * @turn_ms: time in which each load is sent at least once.
 */
struct pe_change_plan {
	int64_t period_ms;
	uint32_t shares;
	uint32_t repeated;
	int64_t turn_ms;
};

/** Members of a zone up to which each gets its messages from the collector. */
#define PE_DIRECT_MEMBERS 8

/**
 * pe_change_room() - bytes per second for loads to one kind of zones.
 * @budget: for all control messages to them.
 * @other: of these, bytes per second that other messages have taken lately.
 * @is_standby: for the standbys, which get a fixed eighth.
 *
 * Configuration, keys and weights come first. A quarter of the budget is left
 * for loads in any case, as hosts without them would overload engines.
 */
int64_t pe_change_room(int64_t budget, int64_t other, bool is_standby);

/** struct pe_change - what was sent to a group of receivers. */
struct pe_change {
	GHashTable *_sent;
	uint64_t _round;
};

void pe_change_init(struct pe_change *change);
void pe_change_finish(struct pe_change *change);

/** pe_change_clear() - forget what was sent; all loads count as changed. */
void pe_change_clear(struct pe_change *change);

struct pe_change_plan pe_change_plan(const struct pe_change_budget *budget);

/**
 * pe_change_choose() - append the loads of the next message to @out.
 * @sums: loads of all upstreams with load, as struct pe_share. An upstream that
 *	is not among them any more has none; this is sent as zero.
 */
void pe_change_choose(struct pe_change *change, const GArray *sums,
		      const struct pe_change_plan *plan, int64_t now_ms,
		      GArray *out);

/**
 * pe_change_relays() - number of members that get a message from the collector
 * and pass it on to the others.
 * @members: of the zone, the collector left out.
 * @max_forwards: most members that one of them passes it on to.
 *
 * About the root of @members, so that neither the collector nor any of these
 * sends more than some ten messages for one.
 */
uint32_t pe_change_relays(uint32_t members, uint32_t max_forwards);

#endif
