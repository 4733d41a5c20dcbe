#include "gateway/gw_hosts.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "rpc/rp.h"

#define GW_KEY_ROW     "key"
#define GW_HOST_PREFIX "host/"
/* The list of hosts changes rarely. The messages of a new host are received
 * before its row is read. */
#define GW_ROWS_PERIOD_MS 20000
/* Just after a host has started, other hosts often start, too. */
#define GW_ROWS_START_MS	10000
#define GW_ROWS_START_PERIOD_MS 3000
#define GW_ROWS_RETRY_MS	500
/* Covers a store that is sixty times slower than usual. */
#define GW_ROWS_TIMEOUT_MS 1000

uint64_t gw_name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

static int64_t gw_rows_period_ms(const struct gw_hosts *hosts)
{
	return ck_now_ms() - hosts->_started_ms < GW_ROWS_START_MS
		       ? GW_ROWS_START_PERIOD_MS
		       : GW_ROWS_PERIOD_MS;
}

static void gw_on_own_rows(void *arg, enum st_code code,
			   const struct rw_rows *rows)
{
	struct gw_hosts *hosts = arg;

	if (code == ST_OK)
		gw_hosts_apply_rows(hosts, rows);
	else
		hosts->_next_read_ms = ck_now_ms() + GW_ROWS_RETRY_MS;
}

void gw_hosts_step(struct gw_hosts *hosts, int64_t now_ms)
{
	struct gw_gateway *g = hosts->_desc.gateway;

	if (now_ms < hosts->_next_read_ms || hosts->_read_call._call)
		return;
	hosts->_next_read_ms = now_ms + gw_rows_period_ms(hosts);
	rw_get(&g->store,
	       &(struct rw_query){ .table = g->dialect->own_table,
				   .timeout_ms = GW_ROWS_TIMEOUT_MS,
				   .reason = "own_rows" },
	       gw_on_own_rows, hosts, &hosts->_read_call);
}

static void gw_on_row_written(void *arg, enum st_code code, uint64_t version)
{
	struct gw_hosts *hosts = arg;

	hosts->_is_writing = false;
	hosts->_next_read_ms =
		ck_now_ms() +
		(code == ST_OK || code == ST_CONFLICT ? 0 : GW_ROWS_RETRY_MS);
}

static void gw_write_row(struct gw_hosts *hosts, const char *key,
			 const char *value, uint64_t version)
{
	struct gw_gateway *g = hosts->_desc.gateway;

	if (hosts->_is_writing)
		return;
	hosts->_is_writing = true;
	rw_write(&g->store,
		 &(struct rw_write){ .table = g->dialect->own_table,
				     .key = key,
				     .value = value,
				     .version = version,
				     .timeout_ms = GW_ROWS_TIMEOUT_MS,
				     .reason = "own_rows_write" },
		 gw_on_row_written, hosts, &hosts->_write_call);
}

static void gw_create_key(struct gw_hosts *hosts)
{
	uint8_t bytes[RP_KEY_BYTES];
	char text[2 * RP_KEY_BYTES + 1];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(text, sizeof(text), bytes, sizeof(bytes));
	gw_write_row(hosts, GW_KEY_ROW, text, 0);
}

static struct gw_peer *gw_find_peer(const struct gw_hosts *hosts,
				    const char *name)
{
	for (uint32_t i = 0; i < hosts->peers->len; i++) {
		struct gw_peer *peer = hosts->peers->pdata[i];

		if (!strcmp(peer->name, name))
			return peer;
	}
	return NULL;
}

struct gw_peer *gw_hosts_find(const struct gw_hosts *hosts, uint32_t ipv4,
			      uint16_t port)
{
	for (uint32_t i = 0; i < hosts->peers->len; i++) {
		struct gw_peer *peer = hosts->peers->pdata[i];

		if (peer->address.ipv4 == ipv4 && peer->address.port == port)
			return peer;
	}
	return NULL;
}

/* Parses "IP:PORT REGION ZONE [PORT]"; older hosts write three words. */
static bool gw_parse_peer(const struct gw_gateway *g, const char *value,
			  struct gw_peer *peer)
{
	char address[32], region[DL_ID_BYTES], zone[DL_ID_BYTES];
	unsigned int via_port = 0;

	if (sscanf(value, "%31s %71s %71s %u", address, region, zone,
		   &via_port) < 3 ||
	    !ad_parse(address, &peer->address) || !peer->address.port)
		return false;
	peer->region = g_quark_from_string(region);
	peer->zone = g_quark_from_string(zone);
	peer->via_port = via_port <= UINT16_MAX ? (uint16_t)via_port : 0;
	peer->is_far = strcmp(region, g->settings.region) != 0;
	return true;
}

static void gw_update_peer(struct gw_hosts *hosts, const struct rw_row *row)
{
	const char *name = row->key + strlen(GW_HOST_PREFIX);
	struct gw_peer parsed = { 0 };
	struct gw_peer *peer = gw_find_peer(hosts, name);

	if (!row->value ||
	    !gw_parse_peer(hosts->_desc.gateway, row->value, &parsed)) {
		lg_warn("host row ignored", "event", "row_ignored", "key",
			row->key, NULL);
		return;
	}
	if (!peer) {
		peer = g_new0(struct gw_peer, 1);
		g_strlcpy(peer->name, name, sizeof(peer->name));
		peer->hash = gw_name_hash(name);
		peer->received_ms = ck_now_ms();
		peer->takes_part = true;
		g_ptr_array_add(hosts->peers, peer);
		lg_info("peer found", "event", "peer_found", "peer", name,
			"address", row->value, NULL);
	}
	peer->address = parsed.address;
	peer->via_port = parsed.via_port;
	peer->region = parsed.region;
	peer->zone = parsed.zone;
	peer->is_far = parsed.is_far;
}

void gw_hosts_apply_rows(struct gw_hosts *hosts, const struct rw_rows *rows)
{
	const struct gw_settings *s = &hosts->_desc.gateway->settings;
	char own[DL_ID_BYTES + sizeof(GW_HOST_PREFIX)];
	uint64_t own_version = 0;
	bool has_key = false, has_own_row = false;

	hosts->_next_read_ms = ck_now_ms() + gw_rows_period_ms(hosts);
	snprintf(own, sizeof(own), GW_HOST_PREFIX "%s", s->host);
	for (uint32_t i = 0; i < rows->count; i++) {
		const struct rw_row *row = &rows->rows[i];

		if (!strcmp(row->key, GW_KEY_ROW) && row->value) {
			has_key = true;
			hosts->_desc.on_key(hosts->_desc.arg, row->value);
		} else if (!strcmp(row->key, own)) {
			own_version = row->version;
			has_own_row = row->value &&
				      !strcmp(row->value, hosts->_address);
		} else if (g_str_has_prefix(row->key, GW_HOST_PREFIX)) {
			gw_update_peer(hosts, row);
		}
	}
	if (!has_key)
		gw_create_key(hosts);
	else if (!has_own_row)
		gw_write_row(hosts, own, hosts->_address, own_version);
}

void gw_hosts_init(struct gw_hosts *hosts, const struct gw_hosts_desc *desc)
{
	const struct gw_settings *s = &desc->gateway->settings;

	memset(hosts, 0, sizeof(*hosts));
	hosts->_desc = *desc;
	hosts->_started_ms = ck_now_ms();
	hosts->peers = g_ptr_array_new_with_free_func(g_free);
	snprintf(hosts->_address, sizeof(hosts->_address), "%s:%u %s %s %u",
		 s->peers.address, s->peers.port, s->region, s->zone,
		 s->via.port);
}

void gw_hosts_finish(struct gw_hosts *hosts)
{
	struct rw_store *store = &hosts->_desc.gateway->store;

	rw_cancel(store, &hosts->_read_call);
	rw_cancel(store, &hosts->_write_call);
	g_ptr_array_free(hosts->peers, TRUE);
}
