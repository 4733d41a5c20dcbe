/*
 * gw_peers - private state of the messages between hosts.
 *
 *	gw_peers.c	load and held prefixes
 *	gw_roles.c	which hosts read the store, look at the lease, and keep
 *			what all learn of a request
 */
#ifndef GW_PEERS_H
#define GW_PEERS_H

#include "gateway/gw_hosts.h"
#include "peers/pe_kept.h"

struct gw_peers {
	struct gw_gateway *gateway;
	struct gw_hosts hosts;
	struct rp_endpoint rpc;
	bool is_open;
	ev_timer tick;
	GArray *announcements;
	uint64_t announcements_end;
	uint64_t sequence;
	struct pe_kept kept;
	int64_t next_sweep_ms;
};

#endif
