/*
 * gw_hosts - list of the other hosts, from the gateway's own rows of the store.
 *
 * Overview
 *	Row "host/NAME" holds an address, region and zone, and the port for
 *	requests that hosts pass on to it (gw_via.h); row "key" holds the
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
 * @via_port: for requests that are passed on to it; 0: it takes none.
 * @region: quark of the name of its region.
 * @zone: quark of the name of its availability zone.
 * @is_far: it is in another region than this host.
 * @is_collector: the load of this host is reported to it; see gw_collect.h.
 * @chosen_ms: since when @is_collector holds.
 * @sums_period_ms: of the sums that it sends, according to the last one.
 * @distrusted_until_ms: not chosen as a collector before.
 * @relayed_end: end of the announcements relayed to it; see gw_collect.h.
 * @incarnation: incarnation of its process in its last message, 0 before one.
 * @is_seen: a message from it was received since this process started.
 * @takes_part: according to its last message, the store answers it and it is
 *	not stopping.
 * @received_ms: time of its last message, or of its addition to the list.
 * @sent_ms: time of the last message to it.
 * @period_ms: time between two messages to it.
 * @announced_end: end of the announcements sent to it; see struct gw_peers.
 */
struct gw_peer {
	char name[DL_ID_BYTES];
	uint64_t hash;
	struct ad_address address;
	uint16_t via_port;
	uint32_t region;
	uint32_t zone;
	bool is_far;
	bool is_collector;
	int64_t chosen_ms;
	int64_t sums_period_ms;
	int64_t distrusted_until_ms;
	uint64_t relayed_end;
	uint64_t incarnation;
	bool is_seen;
	bool takes_part;
	int64_t received_ms;
	int64_t sent_ms;
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

/** gw_name_hash() - hash of a host name, which defines the order of hosts. */
uint64_t gw_name_hash(const char *name);

#endif
