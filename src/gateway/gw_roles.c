/*
 * Assignment of shared duties to hosts. There is no election: each host
 * computes the assignment from the hosts that are alive.
 */
#include "gateway/gw.h"
#include "gateway/gw_bound.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_relay.h"
#include "kernel/ck.h"
#include "peers/pe_home.h"
#include "peers/pe_reader.h"

/* Limit of the hosts considered, this one included. */
#define GW_MAX_HOSTS 512
/* Deadline of a call whose answer is not awaited. */
#define GW_ONE_WAY_MS 60

static int gw_compare_hashes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns the highest hash of the hosts that are considered. All hosts leave
 * out the same ones, those that would have duties last.
 */
static uint64_t gw_highest_considered(const struct gw_peers *p, int64_t now_ms)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t highest = UINT64_MAX;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (gw_peer_is_alive(peer, now_ms))
			g_array_append_val(hashes, peer->hash);
	}
	if (hashes->len >= GW_MAX_HOSTS) {
		gw_bound_reached(GW_BOUND_HOSTS, hashes->len + 1, GW_MAX_HOSTS);
		g_array_sort(hashes, gw_compare_hashes);
		highest = g_array_index(hashes, uint64_t, GW_MAX_HOSTS - 2);
	}
	g_array_free(hashes, TRUE);
	return highest;
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
	uint64_t highest = UINT64_MAX;

	if (p && p->is_open && p->hosts.peers->len >= GW_MAX_HOSTS)
		highest = gw_highest_considered(p, now_ms);
	hosts[0] = (struct pe_host){ gw_name_hash(s->host),
				     g_quark_from_string(s->region),
				     gw_takes_part(g) };
	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count == GW_MAX_HOSTS || peer->hash > highest ||
		    !gw_peer_is_alive(peer, now_ms))
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
	const struct gw_peer *members[GW_MAX_HOSTS];
	struct pe_zone_host hosts[GW_MAX_HOSTS];
	uint32_t indexes[PE_COLLECTORS];
	uint32_t count = 0;
	int64_t now_ms = ck_now_ms();

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (count == GW_MAX_HOSTS || peer->zone != zone ||
		    !peer->takes_part || !gw_peer_is_alive(peer, now_ms))
			continue;
		members[count] = peer;
		hosts[count++] =
			(struct pe_zone_host){ peer->hash, peer->zone, true };
	}
	count = pe_zone_collectors(hosts, count, zone, indexes);
	for (uint32_t i = 0; i < count; i++)
		found[i] = members[indexes[i]];
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

void gw_peers_call_all(struct gw_gateway *g, uint32_t number, xdrproc_t args,
		       const void *value)
{
	struct gw_peers *p = g->peers;

	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len; i++)
		gw_call_peer(g, p->hosts.peers->pdata[i], number, args, value);
}
