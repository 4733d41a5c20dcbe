/*
 * gw_hosts - the other hosts, as the gateway's own rows of the store list them.
 *
 * Overview
 *	"host/NAME" holds an address, region and zone; "key" the key that
 *	authenticates the datagrams between hosts. Whoever finds no key makes
 *	one. A host that was replaced leaves its row behind; it is then only
 *	tried once in a while.
 *
 * Use
 *	gw_hosts_init(&hosts, &(struct gw_hosts_desc){ .gateway = g,
 *		.on_key = open, .arg = me });
 *	gw_hosts_step(&hosts, now_ms);	// now and then
 *	gw_hosts_finish(&hosts);
 */
#ifndef GW_HOSTS_H
#define GW_HOSTS_H

#include "gateway/gw.h"
#include "net/ad.h"

/**
 * struct gw_peer - another host.
 * @region: number of its name.
 * @incarnation: of its process, as heard last; 0 before.
 * @is_seen: it was heard since this process started.
 * @takes_part: the store answers it and it is not stopping, as it said last.
 * @period_ms: between two messages to it.
 * @announced_end: news up to that number have been told; see gw_peers.c.
 */
struct gw_peer {
	char name[DL_ID_BYTES];
	uint64_t hash;
	struct ad_address address;
	uint32_t region;
	bool is_far;
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
 * @on_key: the key was read; called each time the rows are.
 */
struct gw_hosts_desc {
	struct gw_gateway *gateway;
	void (*on_key)(void *arg, const char *key);
	void *arg;
};

/** struct gw_hosts - @peers is readable: of struct gw_peer. */
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

/** gw_hosts_step() - read the rows if it is time. */
void gw_hosts_step(struct gw_hosts *hosts, int64_t now_ms);

/** gw_hosts_read_soon() - with the next step. */
static inline void gw_hosts_read_soon(struct gw_hosts *hosts)
{
	hosts->_next_read_ms = 0;
}

/** gw_hosts_apply_rows() - the gateway's own rows were read, for whatever
 * reason. */
void gw_hosts_apply_rows(struct gw_hosts *hosts, const struct rw_rows *rows);

/** gw_hosts_find() - the host with that address, or NULL. */
struct gw_peer *gw_hosts_find(const struct gw_hosts *hosts, uint32_t ipv4,
			      uint16_t port);

/** gw_name_hash() - the order of hosts. */
uint64_t gw_name_hash(const char *name);

#endif
