/*
 * gw_collect - exchange of load and held prefixes through a host of each zone.
 *
 * Overview
 *	src/peers/pe_zone.h explains the roles: members report to the collector
 *	of their zone and to its standby with the messages of gw_peers.c, only
 *	more often. The collector answers with sums, and relays the prefixes
 *	that members announce.
 *
 * Use
 *	gw_collect_step(p, now_ms);		with each tick of gw_peers.c
 *	gw_collect_member(p, peer, ...);	for each message of a peer
 *	share = gw_collect_others(g, engine, now_ms);
 */
#ifndef GW_COLLECT_H
#define GW_COLLECT_H

#include "gateway/gw_hosts.h"
#include "peers/pe_change.h"
#include "peers/pe_zone.h"
#include "rpc/gen/balsampin.h"

struct gw_peers;

/** enum gw_sums_group - hosts that are sent the same loads. */
enum gw_sums_group {
	GW_SUMS_MEMBERS = 0,
	GW_SUMS_NEAR, /* collectors of the other zones of the region */
	GW_SUMS_FAR,  /* collectors of zones of other regions */
	GW_SUMS_NEAR_STANDBY,
	GW_SUMS_FAR_STANDBY,
	GW_SUMS_GROUPS
};

/**
 * struct gw_sums_state - of the messages to a group.
 * @relayed_end: end of the announcements relayed to it.
 * @next_ms: when the next message is due.
 */
struct gw_sums_state {
	struct pe_change change;
	uint64_t relayed_end;
	int64_t next_ms;
};

/**
 * struct gw_relayed - an announcement.
 * @is_own: of a host of this zone.
 */
struct gw_relayed {
	bp_held held;
	int64_t heard_ms;
	bool is_own;
};

/**
 * struct gw_collect - state of this host as member or collector.
 * @relayed: the newest announcements to relay, as struct gw_relayed.
 * @relayed_end: number of announcements ever added.
 * @is_collector: this host is the collector of its zone.
 * @is_standby: it is the standby of the collector.
 * @is_on_duty: see src/peers/pe_report.h; since @duty_ms.
 * @uses_sums: the last choice of an engine used sums.
 * @next_choice_ms: when collectors are next chosen.
 * @next_list_ms: when the collector next lists the members.
 */
struct gw_collect {
	struct pe_zone zone;
	GArray *relayed;
	uint64_t relayed_end;
	uint64_t sequence;
	bool is_collector;
	bool is_standby;
	bool is_on_duty;
	bool uses_sums;
	int64_t duty_ms;
	int64_t next_choice_ms;
	struct gw_sums_state groups[GW_SUMS_GROUPS];
	int64_t next_list_ms;
};

void gw_collect_init(struct gw_collect *collect);
void gw_collect_finish(struct gw_collect *collect);

/** gw_collect_serve() - accept sums and changes from collectors. */
enum st_code gw_collect_serve(struct gw_peers *p);

/** gw_collect_step() - choose collectors; send sums that are due. */
void gw_collect_step(struct gw_peers *p, int64_t now_ms);

/** gw_collect_is_used() - whether the fleet is large enough for collectors. */
bool gw_collect_is_used(const struct gw_peers *p);

/** gw_collect_is_member() - whether @peer is in the zone of this host. */
bool gw_collect_is_member(const struct gw_peers *p, const struct gw_peer *peer);

/** gw_collect_member() - note the shares that @peer has reported. */
void gw_collect_member(struct gw_peers *p, const struct gw_peer *peer,
		       uint64_t sequence, const struct pe_share *shares,
		       uint32_t count, int64_t now_ms);

/** gw_collect_relay() - relay an announcement if this host is a collector. */
void gw_collect_relay(struct gw_peers *p, const bp_held *held,
		      bool is_from_own_zone);

/** gw_collect_report_ms() - period of the reports to a collector. */
int64_t gw_collect_report_ms(const struct gw_peers *p);

/** gw_collect_zone() - number of the zone of this host. */
uint32_t gw_collect_zone(const struct gw_peers *p);

/** gw_collect_is_usable() - whether @peer may collect or be sent sums. */
bool gw_collect_is_usable(const struct gw_peer *peer, int64_t now_ms);

/** gw_collect_list_members() - usable hosts of the zone; to be freed. */
GPtrArray *gw_collect_list_members(const struct gw_peers *p, int64_t now_ms);

/** gw_collect_list_group() - add the host of each other zone in @group. */
void gw_collect_list_group(const struct gw_peers *p,
			   const struct pe_zone_host *hosts, uint32_t count,
			   enum gw_sums_group group, GPtrArray *receivers);

/** gw_collect_others() - load of all other hosts at @engine, as far as known.
 */
struct pe_share gw_collect_others(const struct gw_gateway *g, uint64_t engine,
				  int64_t now_ms);

#endif
