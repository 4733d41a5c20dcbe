/*
 * pe_zone - load of all other hosts, summed by availability zone.
 *
 * Load pattern
 *	Hundreds of hosts place a few requests a second each. If every host
 *	reported to every other one, the messages would grow with the square of
 *	the hosts, so their period would have to exceed the time that a request
 *	runs. Hosts would then choose engines blindly: while a quarter of the
 *	engines is lost and others load weights, the busiest engine would get
 *	three times its share.
 *
 * Overview
 *	One host of each zone, the collector, receives the load of the other
 *	members of the zone several times a second and sends them the sums over
 *	all hosts; each subtracts what it has itself reported. It exchanges the
 *	sum of its zone with the collectors of the other zones. The messages of
 *	a member do not depend on the number of hosts. Most messages carry only
 *	the loads that changed; see pe_change.h.
 *
 *	The next host in order is the standby: it receives the reports, too, and
 *	takes over when the collector falls silent. A host that receives no sums
 *	uses the less frequent reports between all hosts (pe_load.h).
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	n = pe_zone_collectors(hosts, count, zone, indexes);
 *	pe_zone_add_member(&z, host, sequence, shares, n, now_ms);
 *	pe_zone_list_for_member(&z, host, out);		at the collector
 *	pe_zone_add_sums(&z, zone, &part, now_ms);	at collector and member
 *	pe_zone_add_changes(&z, zone, &changes, now_ms);
 *	if (pe_zone_others(&z, engine, now_ms, &share)) ...
 */
#ifndef PE_ZONE_H
#define PE_ZONE_H

#include <stdbool.h>

#include "peers/pe_load.h"

/** The collector and its standby. */
#define PE_COLLECTORS 2

/** Id of this host among the members. */
#define PE_SELF 1

/** Most upstreams in one sum. */
#define PE_MAX_SUM_SHARES 4096

/**
 * struct pe_zone_host - this host, or another one of any zone.
 * @hash: of the host name.
 * @zone: a number that identifies the zone.
 * @is_usable: its messages arrive as often as those of a collector should.
 */
struct pe_zone_host {
	uint64_t hash;
	uint32_t zone;
	bool is_usable;
};

/**
 * struct pe_zone_part - part of a sum that a collector sent.
 * @sender: incarnation of the collector.
 * @sequence: of the sum; parts of other sums are never mixed.
 * @part, @parts: index of this part, and number of parts.
 * @period_ms: time between two sums.
 */
struct pe_zone_part {
	uint64_t sender;
	uint64_t sequence;
	uint32_t part;
	uint32_t parts;
	int64_t period_ms;
	const struct pe_share *shares;
	uint32_t count;
};

/**
 * struct pe_zone_changes - loads that a collector sent by themselves.
 * @sequence: a load of a message with a lower one does not replace it.
 * @turn_ms: time in which the sender repeats each load.
 * @shares: sums over the hosts of the sender's zone; from the own collector,
 *	over all hosts, this one included.
 */
struct pe_zone_changes {
	uint64_t sender;
	uint64_t sequence;
	int64_t period_ms;
	int64_t turn_ms;
	const struct pe_share *shares;
	uint32_t count;
};

/** Shares in one report of this host; BP_MAX_SHARES of src/rpc/balsampin.x. */
#define PE_MAX_OWN_SHARES 40
/** Reports that are kept: two periods of reports to collector and standby. */
#define PE_OWN_REPORTS 4

/** struct pe_own - a report of this host to its collector. */
struct pe_own {
	int64_t sent_ms;
	uint32_t count;
	struct pe_share shares[PE_MAX_OWN_SHARES];
};

struct pe_zone {
	struct pe_load _members;
	struct pe_load _all;
	struct pe_load _sums;
	GPtrArray *_senders;
	struct pe_own _own[PE_OWN_REPORTS];
	uint32_t _own_count;
	int64_t _complete_from_ms;
	int64_t _fresh_until_ms;
	int64_t _collecting_from_ms;
};

void pe_zone_init(struct pe_zone *zone);
void pe_zone_finish(struct pe_zone *zone);

/**
 * pe_zone_collectors() - the usable hosts of @zone with the lowest hashes.
 * Return: their number, PE_COLLECTORS at most.
 */
uint32_t pe_zone_collectors(const struct pe_zone_host *hosts, uint32_t count,
			    uint32_t zone, uint32_t indexes[PE_COLLECTORS]);

/**
 * pe_zone_is_silent() - whether a collector has sent nothing for too long.
 * @silent_ms: time since its last message, or since it was chosen.
 * @report_ms: period of the reports to it.
 * @sums_ms: period of its sums according to the last one; 0: none received. It
 *	grows with members and upstreams.
 */
bool pe_zone_is_silent(int64_t silent_ms, int64_t report_ms, int64_t sums_ms);

/** pe_zone_add_member() - record the report of a member of the zone. */
void pe_zone_add_member(struct pe_zone *zone, uint64_t host, uint64_t sequence,
			const struct pe_share *shares, uint32_t count,
			int64_t now_ms);

/**
 * pe_zone_add_sums() - record a part of a sum.
 * @other: zone whose hosts are summed; 0: the sum is from the own collector and
 *	over all hosts but this one.
 *
 * While two hosts of a zone both act as its collector, only the sums of one of
 * them count.
 */
void pe_zone_add_sums(struct pe_zone *zone, uint64_t other,
		      const struct pe_zone_part *part, int64_t now_ms);

/**
 * pe_zone_add_changes() - record loads that changed, or that are repeated.
 * @other: as in pe_zone_add_sums().
 *
 * Sums of the own collector are used once they have been complete, that is
 * after a first turn, or after a pe_zone_add_sums().
 */
void pe_zone_add_changes(struct pe_zone *zone, uint64_t other,
			 const struct pe_zone_changes *changes, int64_t now_ms);

/**
 * pe_zone_note_own() - record what this host has reported to its collector, so
 * that it is not taken for the load of others when it comes back in a sum.
 */
void pe_zone_note_own(struct pe_zone *zone, const struct pe_share *shares,
		      uint32_t count, int64_t now_ms);

/**
 * pe_zone_set_collecting() - whether this host is a collector, or the standby,
 * and so receives the reports of the members.
 */
void pe_zone_set_collecting(struct pe_zone *zone, bool is_collecting,
			    int64_t now_ms);

/** pe_zone_may_send() - whether every member has had time to report here. */
bool pe_zone_may_send(const struct pe_zone *zone, int64_t now_ms);

/** pe_zone_list_for_member() - sums for @host; see pe_load_list(). */
void pe_zone_list_for_member(const struct pe_zone *zone, uint64_t host,
			     GArray *out);

/** pe_zone_list_all() - sums over all hosts. */
void pe_zone_list_all(const struct pe_zone *zone, GArray *out);

/** pe_zone_list_own() - sum of the own zone, for the other collectors. */
void pe_zone_list_own(const struct pe_zone *zone, GArray *out);

/**
 * pe_zone_others() - load of all other hosts at @engine.
 * Return: false if this host has no recent sums.
 */
bool pe_zone_others(const struct pe_zone *zone, uint64_t engine, int64_t now_ms,
		    struct pe_share *share);

/** pe_zone_expire() - drop reports and sums that are too old. */
void pe_zone_expire(struct pe_zone *zone, int64_t now_ms);

#endif
