/*
 * Assignment of shared duties to hosts. There is no election: each host
 * computes the assignment from the hosts that are alive.
 */
#include "gateway/gw.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_relay.h"
#include "kernel/ck.h"
#include "peers/pe_home.h"
#include "peers/pe_reader.h"

/* Limit of the hosts considered, this one included. */
#define GW_MAX_HOSTS 512
/* The next host in order becomes the reader if the reader is silent. */
#define GW_READER_SILENT_MS 1000
/* Deadline of a call whose answer is not awaited. */
#define GW_ONE_WAY_MS 60
/* A host that is up has sent its first message by then; 200 far hosts send one
 * in 12 s, see GW_FAR_PER_PEER_MS. */
#define GW_FIRST_MESSAGE_MS 15000

bool gw_peer_is_alive(const struct gw_peer *peer, int64_t now_ms)
{
	return peer->is_seen &&
	       now_ms - peer->received_ms <
		       GW_READER_SILENT_MS + 2 * peer->period_ms;
}

/* Lists this host, then the live peers. @peers may be NULL. */
static uint32_t gw_list_live_hosts(const struct gw_gateway *g,
				   struct pe_host *hosts,
				   const struct gw_peer **peers)
{
	const struct gw_settings *s = &g->settings;
	const struct gw_peers *p = g->peers;
	int64_t now_ms = ck_now_ms();
	uint32_t count = 1;

	hosts[0] = (struct pe_host){ gw_name_hash(s->host),
				     g_quark_from_string(s->region),
				     gw_takes_part(g) };
	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count == GW_MAX_HOSTS || !gw_peer_is_alive(peer, now_ms))
			continue;
		if (peers)
			peers[count] = peer;
		hosts[count++] = (struct pe_host){ peer->hash, peer->region,
						   peer->takes_part };
	}
	return count;
}

bool gw_peers_is_reader(const struct gw_gateway *g)
{
	struct pe_host hosts[GW_MAX_HOSTS];
	uint32_t count = gw_list_live_hosts(g, hosts, NULL);

	return pe_reader_index(hosts, count, hosts[0].region) <= 0;
}

uint32_t gw_peers_rank(const struct gw_gateway *g)
{
	struct pe_host hosts[GW_MAX_HOSTS];
	uint32_t count = gw_list_live_hosts(g, hosts, NULL);

	return pe_reader_rank(hosts, count, hosts[0].hash);
}

uint32_t gw_peers_count(const struct gw_gateway *g)
{
	return g->peers ? g->peers->hosts.peers->len : 0;
}

void gw_peers_call_one(struct gw_gateway *g, const struct rp_peer *peer,
		       uint32_t number, xdrproc_t args, const void *value)
{
	gw_peers_call(g,
		      &(struct rp_call_desc){
			      .to = { .ipv4 = peer->ipv4, .port = peer->port },
			      .number = number,
			      .args = args,
			      .args_value = value,
			      .deadline_ms = GW_ONE_WAY_MS });
}

static void gw_call_peer(struct gw_gateway *g, const struct gw_peer *peer,
			 uint32_t number, xdrproc_t args, const void *value)
{
	gw_peers_call_one(g,
			  &(struct rp_peer){ .ipv4 = peer->address.ipv4,
					     .port = peer->address.port },
			  number, args, value);
}

/*
 * Finds the hosts that forward rows to their zone. They take part, so that a
 * host which misses rows can get the table from them.
 */
static uint32_t gw_find_forwarders(const struct gw_peers *p, uint32_t zone,
				   const struct gw_peer *found[PE_COLLECTORS])
{
	struct pe_zone_host hosts[GW_MAX_HOSTS];
	uint32_t indexes[PE_COLLECTORS];
	uint32_t count = MIN(p->hosts.peers->len, GW_MAX_HOSTS);
	int64_t now_ms = ck_now_ms();

	for (uint32_t i = 0; i < count; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		hosts[i] = (struct pe_zone_host){
			peer->hash, peer->zone,
			peer->takes_part && gw_peer_is_alive(peer, now_ms)
		};
	}
	count = pe_zone_collectors(hosts, count, zone, indexes);
	for (uint32_t i = 0; i < count; i++)
		found[i] = p->hosts.peers->pdata[indexes[i]];
	return count;
}

/* Calls hosts of @zone that forward to it; false if there are none. */
static bool gw_call_forwarders(struct gw_gateway *g, uint32_t zone,
			       uint32_t number, xdrproc_t args,
			       const void *value)
{
	const struct gw_peer *found[PE_COLLECTORS];
	uint32_t count = 0;

	if (gw_collect_is_used(g->peers) &&
	    zone != g_quark_from_string(g->settings.zone))
		count = gw_find_forwarders(g->peers, zone, found);
	for (uint32_t i = 0; i < count; i++)
		gw_call_peer(g, found[i], number, args, value);
	return count > 0;
}

void gw_peers_call_followers(struct gw_gateway *g, uint32_t number,
			     uint32_t forward_number, xdrproc_t args,
			     const void *value)
{
	struct pe_host hosts[GW_MAX_HOSTS];
	uint32_t count = gw_list_live_hosts(g, hosts, NULL);
	struct gw_peers *p = g->peers;
	GHashTable *forwarded = g_hash_table_new(NULL, NULL);
	uint32_t region = 0;
	bool reads_for_region = false;

	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		/* Peers are in the order of their rows, sorted by name, so
		 * those of a region are mostly adjacent. No quark is 0. */
		if (peer->region != region) {
			region = peer->region;
			reads_for_region =
				pe_reader_index(hosts, count, region) == 0;
		}
		if (!reads_for_region)
			continue;
		if (g_hash_table_contains(forwarded,
					  GUINT_TO_POINTER(peer->zone)))
			continue;
		if (gw_call_forwarders(g, peer->zone, forward_number, args,
				       value))
			g_hash_table_add(forwarded,
					 GUINT_TO_POINTER(peer->zone));
		else
			gw_call_peer(g, peer, number, args, value);
	}
	g_hash_table_destroy(forwarded);
}

void gw_peers_call_zone(struct gw_gateway *g, uint32_t number, xdrproc_t args,
			const void *value)
{
	struct gw_peers *p = g->peers;

	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (gw_collect_is_member(p, peer))
			gw_call_peer(g, peer, number, args, value);
	}
}

void gw_peers_call_collectors(struct gw_gateway *g, uint32_t number,
			      xdrproc_t args, const void *value)
{
	struct gw_peers *p = g->peers;

	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (peer->is_collector)
			gw_call_peer(g, peer, number, args, value);
	}
}

/*
 * Finds the owners of @key; NULL in @owners stands for this host. Hosts that
 * are not alive own nothing.
 */
static uint32_t gw_find_owners(const struct gw_gateway *g, uint64_t key,
			       const struct gw_peer *owners[PE_OWNERS])
{
	const struct gw_peer *peers[GW_MAX_HOSTS] = { NULL };
	struct pe_host hosts[GW_MAX_HOSTS];
	uint64_t hashes[GW_MAX_HOSTS];
	uint32_t indexes[PE_OWNERS];
	uint32_t count = gw_list_live_hosts(g, hosts, peers);
	uint32_t found;

	for (uint32_t i = 0; i < count; i++)
		hashes[i] = hosts[i].hash;
	found = pe_owners(hashes, count, key, indexes);
	for (uint32_t i = 0; i < found; i++)
		owners[i] = peers[indexes[i]];
	return found;
}

uint32_t gw_peers_owner_index(const struct gw_gateway *g, uint64_t key)
{
	const struct gw_peer *owners[PE_OWNERS];
	uint32_t count = gw_find_owners(g, key, owners);

	for (uint32_t i = 0; i < count; i++)
		if (!owners[i])
			return i;
	return GW_NOT_OWNER;
}

void gw_peers_call_owners(struct gw_gateway *g, uint64_t key, uint32_t number,
			  xdrproc_t args, const void *value)
{
	const struct gw_peer *owners[PE_OWNERS];
	uint32_t count = gw_find_owners(g, key, owners);

	for (uint32_t i = 0; i < count; i++)
		if (owners[i])
			gw_call_peer(g, owners[i], number, args, value);
}

/* Whether this process is too young to tell if the host is up. */
static bool gw_may_be_alive(const struct gw_peer *peer, int64_t now_ms)
{
	return !peer->is_seen &&
	       now_ms - peer->received_ms < GW_FIRST_MESSAGE_MS;
}

static bool gw_is_listed(const struct rp_peer *list, uint32_t count,
			 const struct gw_peer *peer)
{
	for (uint32_t i = 0; i < count; i++)
		if (list[i].ipv4 == peer->address.ipv4 &&
		    list[i].port == peer->address.port)
			return true;
	return false;
}

/* @all: of the hosts that may be alive, too. Returns the new length of @list.
 */
static uint32_t gw_add_owners(const struct gw_gateway *g, uint64_t key,
			      uint32_t max, bool all, struct rp_peer *list,
			      uint32_t listed)
{
	const struct gw_peer *peers[GW_MAX_HOSTS] = { NULL };
	uint64_t hashes[GW_MAX_HOSTS] = { gw_name_hash(g->settings.host) };
	uint32_t ranked[PE_MAX_RANKED];
	const struct gw_peers *p = g->peers;
	int64_t now_ms = ck_now_ms();
	uint32_t count = 1, found;

	for (uint32_t i = 0; i < p->hosts.peers->len && count < GW_MAX_HOSTS;
	     i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (!gw_peer_is_alive(peer, now_ms) &&
		    !(all && gw_may_be_alive(peer, now_ms)))
			continue;
		peers[count] = peer;
		hashes[count++] = peer->hash;
	}
	found = pe_rank(hashes, count, key, max, ranked);
	for (uint32_t i = 0; i < found; i++) {
		const struct gw_peer *peer = peers[ranked[i]];

		if (!peer || listed == GW_MAX_LISTED_OWNERS ||
		    gw_is_listed(list, listed, peer))
			continue;
		list[listed++] = (struct rp_peer){ .ipv4 = peer->address.ipv4,
						   .port = peer->address.port };
	}
	return listed;
}

uint32_t gw_peers_list_owners(const struct gw_gateway *g, uint64_t key,
			      uint32_t max,
			      struct rp_peer owners[GW_MAX_LISTED_OWNERS],
			      uint32_t listed)
{
	if (!g->peers || !g->peers->is_open)
		return listed;
	listed = gw_add_owners(g, key, max, false, owners, listed);
	return gw_add_owners(g, key, max, true, owners, listed);
}

void gw_peers_call_all(struct gw_gateway *g, uint32_t number, xdrproc_t args,
		       const void *value)
{
	struct gw_peers *p = g->peers;

	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++)
		gw_call_peer(g, p->hosts.peers->pdata[i], number, args, value);
}
