/*
 * gw_hosts - list of the other hosts, from the gateway's own rows of the store.
 *
 * Overview
 *	Row "host/NAME" holds an address, region and zone; row "key" holds the
 *	key that authenticates the datagrams between hosts. A host that finds no
 *	key creates one. A replaced host leaves its row behind; since it is
 *	silent, messages are sent to it only rarely.
 *
 * Use
 *	gw_hosts_init(&hosts, &(struct gw_hosts_desc){ .gateway = g,
 *		.on_key = open, .arg = me });
 *	gw_hosts_step(&hosts, now_ms);	// periodically
 *	gw_hosts_finish(&hosts);
 */
#ifndef GW_HOSTS_H
#define GW_HOSTS_H

#include "gateway/gw.h"
#include "net/ad.h"

/**
 * struct gw_peer - another host.
 * @hash: gw_name_hash() of its name.
 * @region: quark of the name of its region.
 * @zone: quark of the name of its availability zone.
 * @is_far: it is in another region than this host.
 * @is_collector: the load of this host is reported to it; see gw_collect.h.
 * @chosen_ms: since when @is_collector holds.
 * @sums_period_ms: of the sums that it sends, according to the last one.
 * @distrusted_ms: when it was last found silent as a collector; 0: never.
 * @is_on_duty: see src/peers/pe_report.h.
 * @is_zone_silent: its whole zone has fallen silent.
 * @synced_incarnation: process that was sent sums in full; see gw_collect.c.
 * @joined_ms: since when that process is a member.
 * @incarnation: incarnation of its process in its last message, 0 before one.
 * @is_seen: a message from it was received since this process started.
 * @takes_part: according to its last message, the store answers it and it is
 *	not stopping.
 * @received_ms: time of its last message, or of its addition to the list.
 * @load_ms: time of its last report of load.
 * @intervals_ms: times before its last two reports; 0: unknown.
 * @listed_ms: when a list of its zone last told of it; 0: never.
 * @expected_ms: longest usual time between two messages from it.
 * @added_ms: when it was added to the list.
 * @has_sent: a message was sent to it.
 * @sent_ms: time of the last message to it.
 * @sent_takes_part: what that message said of this host.
 * @period_ms: time between two messages to it.
 * @announced_end: end of the announcements sent to it; see struct gw_peers.
 */
struct gw_peer {
	char name[DL_ID_BYTES];
	uint64_t hash;
	struct ad_address address;
	uint32_t region;
	uint32_t zone;
	bool is_far;
	bool is_collector;
	int64_t chosen_ms;
	int64_t sums_period_ms;
	int64_t distrusted_ms;
	bool is_on_duty;
	bool is_zone_silent;
	uint64_t synced_incarnation;
	int64_t joined_ms;
	uint64_t incarnation;
	bool is_seen;
	bool takes_part;
	int64_t received_ms;
	int64_t load_ms;
	int64_t intervals_ms[2];
	int64_t listed_ms;
	int64_t expected_ms;
	int64_t added_ms;
	bool has_sent;
	int64_t sent_ms;
	bool sent_takes_part;
	int64_t period_ms;
	uint64_t announced_end;
};

/**
 * struct gw_hosts_desc
 * @on_key: called with the key whenever the rows have been read.
 */
struct gw_hosts_desc {
	struct gw_gateway *gateway;
	void (*on_key)(void *arg, const char *key);
	void *arg;
};

/** struct gw_hosts - @peers is public: pointers to struct gw_peer. */
struct gw_hosts {
	GPtrArray *peers;

	struct gw_hosts_desc _desc;
	bool _is_writing;
	struct rw_call _read_call;
	struct rw_call _write_call;
	int64_t _started_ms;
	int64_t _next_read_ms;
	int64_t _read_sent_ms;
	char _address[3 * DL_ID_BYTES];
};

void gw_hosts_init(struct gw_hosts *hosts, const struct gw_hosts_desc *desc);
void gw_hosts_finish(struct gw_hosts *hosts);

/** gw_hosts_step() - read the rows if a read is due. */
void gw_hosts_step(struct gw_hosts *hosts, int64_t now_ms);

/** gw_hosts_read_soon() - read the rows with the next gw_hosts_step(). */
static inline void gw_hosts_read_soon(struct gw_hosts *hosts)
{
	hosts->_next_read_ms = 0;
}

/** gw_hosts_apply_rows() - apply the gateway's own rows after any read. */
void gw_hosts_apply_rows(struct gw_hosts *hosts, const struct rw_rows *rows);

/** gw_hosts_find() - find the host with an address; NULL if there is none. */
struct gw_peer *gw_hosts_find(const struct gw_hosts *hosts, uint32_t ipv4,
			      uint16_t port);

/** gw_hosts_find_hash() - find the host whose name has a hash; or NULL. */
struct gw_peer *gw_hosts_find_hash(const struct gw_hosts *hosts, uint64_t hash);

/**
 * gw_peer_is_alive() - whether it was heard recently. The next host in order
 * becomes the reader if the reader is not.
 */
bool gw_peer_is_alive(const struct gw_peer *peer, int64_t now_ms);

/** gw_name_hash() - hash of a host name, which defines the order of hosts. */
uint64_t gw_name_hash(const char *name);

#endif
