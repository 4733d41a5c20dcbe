/*
 * gw_peers - private state of the messages between hosts.
 *
 *	gw_peers.c	load and held prefixes
 *	gw_collect.c	the same through a collector in each zone
 *	gw_roles.c	which hosts read the store, poll the lease, and own the
 *			crash records of a request
 */
#ifndef GW_PEERS_H
#define GW_PEERS_H

#include "gateway/gw_collect.h"
#include "gateway/gw_hosts.h"
#include "peers/pe_kept.h"
#include "peers/pe_pace.h"

/**
 * struct gw_peers - state of the messages to and from other hosts.
 * @announcements: the newest held prefixes to send, as bp_held.
 * @announcements_end: number of announcements ever added; a peer whose
 *	announced_end is lower lacks the last ones.
 * @pace: rows to relay that wait for their turn.
 */
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
	struct gw_collect collect;
	struct pe_pace pace;
	int64_t next_sweep_ms;
};

/** gw_peer_is_alive() - a message from it has come a short while ago. */
bool gw_peer_is_alive(const struct gw_peer *peer, int64_t now_ms);

#endif
