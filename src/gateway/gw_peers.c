/*
 * Load and held prefixes, shared with the other hosts by datagrams.
 *
 * Hosts find each other in the gateway's own rows: "host/NAME" holds an
 * address, "key" the key that authenticates the datagrams. A host that was
 * replaced leaves its row behind; it is then only tried once in a while.
 */
#include <arpa/inet.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/gw.h"
#include "gateway/gw_relay.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "rpc/gen/balsampin.h"

#define GW_KEY_ROW     "key"
#define GW_HOST_PREFIX "host/"
/* A third of the shortest time between two messages to a peer. */
#define GW_PEERS_TICK_S 0.02
/* Between two messages to a peer: the time in which a request or two of ten
 * hosts are placed; more when there are many peers, to bound the bytes, of
 * which those between regions are dear. */
#define GW_NEAR_MS	    60
#define GW_FAR_MS	    200
#define GW_NEAR_PER_PEER_MS 6
#define GW_FAR_PER_PEER_MS  60
/* A peer silent for that long, three of the longest periods between two of its
 * messages, is only tried once in a while, and what it had running is over. */
#define GW_SILENT_MS	  6000
#define GW_TRY_SILENT_MS  4000
#define GW_FORGET_LOAD_MS 5000
/* Beyond what any engine or store keeps. */
#define GW_FORGET_HELD_MS 30000
/* The next host in order reads for the zone when the reader is silent. */
#define GW_READER_SILENT_MS 1000
/* Hosts come and go seldom; a new one is heard as soon as it speaks. */
#define GW_ROWS_PERIOD_MS 20000
/* In the first seconds of a host others start, too. */
#define GW_ROWS_START_MS	10000
#define GW_ROWS_START_PERIOD_MS 3000
#define GW_ROWS_RETRY_MS	500
/* A store that takes sixty times as long as usual answers by then. */
#define GW_ROWS_TIMEOUT_MS 1000
#define GW_SWEEP_MS	   1000
/* Of the engines' memory, for prefixes that no request uses just now. */
#define GW_KEPT_PART 0.7
/* Bounds of the estimate, for hosts that have seen few requests. */
#define GW_KEPT_MIN_MS 2000.0
#define GW_KEPT_MAX_MS 30000.0
/* Seconds over which the rate of tokens is averaged. */
#define GW_KEPT_SMOOTHING 3.0
/* Of the repeats that are always allowed; the rest is for hosts that come and
 * go within the time over which repeats are counted. */
#define GW_RETRY_PART 0.6
/* Held prefixes that wait to be told; older ones are left out. */
#define GW_MAX_NEWS 1024

MT_COUNTER(gw_peer_sent, "balsampin_gateway_peer_messages_sent_total",
	   "load messages to other hosts")
MT_COUNTER(gw_peer_heard, "balsampin_gateway_peer_messages_heard_total",
	   "load messages of other hosts")

struct gw_peer {
	char name[DL_ID_BYTES];
	uint32_t ipv4;
	uint16_t port;
	bool is_far;
	bool is_in_zone;
	bool has_spoken;
	int64_t heard_ms;
	int64_t sent_ms;
	int64_t period_ms;
	uint64_t told;
};

struct gw_peers {
	struct gw_gateway *gateway;
	struct rp_endpoint rpc;
	bool is_open;
	bool is_writing;
	ev_timer tick;
	struct rw_call read_call;
	struct rw_call write_call;
	GPtrArray *peers;
	GArray *news;
	uint64_t news_end;
	uint64_t sequence;
	double tokens_per_ms;
	int64_t started_ms;
	int64_t next_read_ms;
	int64_t next_sweep_ms;
	char address[3 * DL_ID_BYTES];
};

static void gw_on_load(void *arg, struct rp_request *request, const void *args)
{
	struct gw_peers *p = arg;
	const bp_gateway_load *message = args;
	const struct rp_peer *from = rp_peer_of(request);
	struct pe_share shares[BP_MAX_SHARES];
	int64_t now_ms = ck_now_ms();

	mt_add(&gw_peer_heard, 1);
	for (uint32_t i = 0; i < message->shares.shares_len; i++) {
		const bp_share *share = &message->shares.shares_val[i];

		shares[i] = (struct pe_share){ share->engine, share->running,
					       share->tokens };
	}
	pe_load_hear(&p->gateway->others, from->incarnation, message->sequence,
		     shares, message->shares.shares_len, now_ms);
	for (uint32_t i = 0; i < message->held.held_len; i++)
		pe_held_add(&p->gateway->held, message->held.held_val[i].key,
			    message->held.held_val[i].engine, now_ms);
	for (uint32_t i = 0; i < p->peers->len; i++) {
		struct gw_peer *peer = p->peers->pdata[i];

		if (peer->ipv4 != from->ipv4 || peer->port != from->port)
			continue;
		peer->heard_ms = now_ms;
		peer->has_spoken = true;
	}
	rp_drop(request);
}

static uint32_t gw_fill_shares(const struct gw_gateway *g, bp_share *shares)
{
	uint32_t count = 0;

	fl_for_each (&g->fleet, e) {
		if (count == BP_MAX_SHARES ||
		    (!e->running && !e->waiting_tokens))
			continue;
		shares[count++] =
			(bp_share){ e->hash, e->running, e->waiting_tokens };
	}
	return count;
}

/* The newest that the peer has not been told; the oldest may be left out. */
static uint32_t gw_fill_held(struct gw_peers *p, struct gw_peer *peer,
			     bp_held *held)
{
	uint64_t first = p->news_end - p->news->len;
	uint32_t count = 0;

	if (peer->told < first)
		peer->told = first;
	while (peer->told < p->news_end && count < BP_MAX_HELD) {
		held[count++] =
			g_array_index(p->news, bp_held, peer->told - first);
		peer->told++;
	}
	return count;
}

static void gw_send_load(struct gw_peers *p, struct gw_peer *peer,
			 int64_t now_ms)
{
	bp_share shares[BP_MAX_SHARES];
	bp_held held[BP_MAX_HELD];
	bp_gateway_load message = { .sequence = p->sequence++ };

	message.shares.shares_val = shares;
	message.shares.shares_len = gw_fill_shares(p->gateway, shares);
	message.held.held_val = held;
	message.held.held_len = gw_fill_held(p, peer, held);
	peer->sent_ms = now_ms;
	mt_add(&gw_peer_sent, 1);
	rp_call(&p->rpc,
		&(struct rp_call_desc){
			.to = { .ipv4 = peer->ipv4, .port = peer->port },
			.number = BP_GATEWAY_LOAD,
			.args = (xdrproc_t)xdr_bp_gateway_load,
			.args_value = &message,
			.deadline_ms = GW_NEAR_MS },
		NULL);
}

static int64_t gw_send_period_ms(const struct gw_peers *p,
				 const struct gw_peer *peer, int64_t now_ms)
{
	int64_t alike = 0;

	if (now_ms - peer->heard_ms > GW_SILENT_MS)
		return GW_TRY_SILENT_MS;
	for (uint32_t i = 0; i < p->peers->len; i++)
		alike += ((struct gw_peer *)p->peers->pdata[i])->is_far ==
			 peer->is_far;
	return peer->is_far ? MAX(GW_FAR_MS, alike * GW_FAR_PER_PEER_MS)
			    : MAX(GW_NEAR_MS, alike * GW_NEAR_PER_PEER_MS);
}

/* Memory of all engines, as the configuration has it. */
static uint64_t gw_engine_memory(const struct gw_gateway *g)
{
	uint64_t sum = 0;

	if (!g->catalog)
		return 0;
	fl_for_each (&g->fleet, e) {
		const struct ca_service *service =
			ca_find_service(g->catalog, e->entry.service);

		sum += service ? service->memory_tokens : 0;
	}
	return sum;
}

/*
 * Engines evict what was used the longest ago. What they keep is as old as it
 * takes to fill their memory with the tokens that all hosts send; this host's
 * share of them is taken as the mean.
 */
static void gw_estimate_kept(struct gw_peers *p, int64_t now_ms)
{
	struct gw_gateway *g = p->gateway;
	double hosts = p->peers->len + 1;
	double per_ms = g->sent_tokens * hosts / GW_SWEEP_MS;

	g->sent_tokens = 0;
	p->tokens_per_ms += (per_ms - p->tokens_per_ms) / GW_KEPT_SMOOTHING;
	g->kept_ms = GW_KEPT_MAX_MS;
	if (p->tokens_per_ms > 0)
		g->kept_ms = CLAMP(GW_KEPT_PART * gw_engine_memory(g) /
					   p->tokens_per_ms,
				   GW_KEPT_MIN_MS, GW_KEPT_MAX_MS);
}

/* The repeats that are always allowed are for all hosts together. */
static void gw_share_retries(struct gw_peers *p)
{
	uint32_t hosts = p->peers->len + 1;
	int64_t share =
		p->gateway->settings.retry_floor * GW_RETRY_PART / hosts;

	p->gateway->retries.desc.max = MAX(share, 1);
}

static void gw_sweep_peers(struct gw_peers *p, int64_t now_ms)
{
	p->next_sweep_ms = now_ms + GW_SWEEP_MS;
	pe_load_expire(&p->gateway->others, now_ms - GW_FORGET_LOAD_MS);
	pe_held_expire(&p->gateway->held, now_ms - GW_FORGET_HELD_MS);
	gw_share_retries(p);
	gw_estimate_kept(p, now_ms);
}

static void gw_on_own_rows(void *arg, enum st_code code,
			   const struct rw_rows *rows)
{
	struct gw_peers *p = arg;

	if (code == ST_OK)
		gw_peers_rows(p->gateway, rows);
	else
		p->next_read_ms = ck_now_ms() + GW_ROWS_RETRY_MS;
}

static int64_t gw_rows_period_ms(const struct gw_peers *p)
{
	return ck_now_ms() - p->started_ms < GW_ROWS_START_MS
		       ? GW_ROWS_START_PERIOD_MS
		       : GW_ROWS_PERIOD_MS;
}

static void gw_read_own_rows(struct gw_peers *p, int64_t now_ms)
{
	p->next_read_ms = now_ms + gw_rows_period_ms(p);
	rw_get(&p->gateway->store,
	       &(struct rw_query){ .table = p->gateway->dialect->own_table,
				   .timeout_ms = GW_ROWS_TIMEOUT_MS },
	       gw_on_own_rows, p, &p->read_call);
}

static void gw_on_peers_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_peers *p = w->data;
	int64_t now_ms = ck_now_ms();

	if (now_ms >= p->next_read_ms && !p->read_call._call)
		gw_read_own_rows(p, now_ms);
	if (now_ms >= p->next_sweep_ms)
		gw_sweep_peers(p, now_ms);
	for (uint32_t i = 0; p->is_open && i < p->peers->len; i++) {
		struct gw_peer *peer = p->peers->pdata[i];

		peer->period_ms = gw_send_period_ms(p, peer, now_ms);
		if (now_ms - peer->sent_ms >= peer->period_ms)
			gw_send_load(p, peer, now_ms);
	}
}

static void gw_on_row_written(void *arg, enum st_code code, uint64_t version)
{
	struct gw_peers *p = arg;

	p->is_writing = false;
	p->next_read_ms =
		ck_now_ms() +
		(code == ST_OK || code == ST_CONFLICT ? 0 : GW_ROWS_RETRY_MS);
}

static void gw_write_row(struct gw_peers *p, const char *key, const char *value,
			 uint64_t version)
{
	if (p->is_writing)
		return;
	p->is_writing = true;
	rw_write(&p->gateway->store,
		 &(struct rw_write){ .table = p->gateway->dialect->own_table,
				     .key = key,
				     .value = value,
				     .version = version,
				     .timeout_ms = GW_ROWS_TIMEOUT_MS },
		 gw_on_row_written, p, &p->write_call);
}

static void gw_make_key(struct gw_peers *p)
{
	uint8_t bytes[RP_KEY_BYTES];
	char text[2 * RP_KEY_BYTES + 1];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(text, sizeof(text), bytes, sizeof(bytes));
	gw_write_row(p, GW_KEY_ROW, text, 0);
}

static void gw_open_endpoint(struct gw_peers *p, const char *key)
{
	const struct gw_settings *s = &p->gateway->settings;
	uint8_t bytes[RP_KEY_BYTES];
	size_t got = 0;
	enum st_code code;

	if (sodium_hex2bin(bytes, sizeof(bytes), key, strlen(key), NULL, &got,
			   NULL) ||
	    got != sizeof(bytes)) {
		lg_warn("row ignored", "event", "row_ignored", "key",
			GW_KEY_ROW, NULL);
		return;
	}
	code = rp_init(&p->rpc, &(struct rp_desc){
					.loop = p->gateway->kernel.loop,
					.address = s->peers.address,
					.port = s->peers.port,
					.key = bytes,
					.host = s->host,
					.role = "gateway",
					.incarnation = rp_new_incarnation() });
	if (code == ST_OK)
		code = rp_serve(&p->rpc,
				&(struct rp_procedure){
					.number = BP_GATEWAY_LOAD,
					.args = (xdrproc_t)xdr_bp_gateway_load,
					.args_bytes = sizeof(bp_gateway_load),
					.handler = gw_on_load,
					.arg = p });
	if (code == ST_OK)
		code = gw_relay_serve(p->gateway, &p->rpc);
	p->is_open = code == ST_OK;
	if (!p->is_open)
		lg_warn("no messages to other hosts", "event", "peers_closed",
			"reason", st_message(), NULL);
}

static struct gw_peer *gw_find_peer(const struct gw_peers *p, const char *name)
{
	for (uint32_t i = 0; i < p->peers->len; i++) {
		struct gw_peer *peer = p->peers->pdata[i];

		if (!strcmp(peer->name, name))
			return peer;
	}
	return NULL;
}

/* "IP:PORT REGION ZONE" */
static bool gw_read_peer(const struct gw_gateway *g, const char *value,
			 struct gw_peer *peer)
{
	char ip[16], region[DL_ID_BYTES], zone[DL_ID_BYTES];
	struct in_addr address;
	unsigned int port;

	if (sscanf(value, "%15[0-9.]:%u %71s %71s", ip, &port, region, zone) !=
		    4 ||
	    inet_pton(AF_INET, ip, &address) != 1 || port > UINT16_MAX)
		return false;
	peer->ipv4 = ntohl(address.s_addr);
	peer->port = port;
	peer->is_far = strcmp(region, g->settings.region) != 0;
	peer->is_in_zone = !strcmp(zone, g->settings.zone);
	return true;
}

static void gw_take_peer(struct gw_peers *p, const struct rw_row *row)
{
	const char *name = row->key + strlen(GW_HOST_PREFIX);
	struct gw_peer read = { 0 };
	struct gw_peer *peer = gw_find_peer(p, name);

	if (!row->value || !gw_read_peer(p->gateway, row->value, &read)) {
		lg_warn("row ignored", "event", "row_ignored", "key", row->key,
			NULL);
		return;
	}
	if (!peer) {
		peer = g_new0(struct gw_peer, 1);
		g_strlcpy(peer->name, name, sizeof(peer->name));
		peer->heard_ms = ck_now_ms();
		g_ptr_array_add(p->peers, peer);
		lg_info("peer found", "event", "peer_found", "peer", name,
			"address", row->value, NULL);
	}
	peer->ipv4 = read.ipv4;
	peer->port = read.port;
	peer->is_far = read.is_far;
	peer->is_in_zone = read.is_in_zone;
}

void gw_peers_rows(struct gw_gateway *g, const struct rw_rows *rows)
{
	struct gw_peers *p = g->peers;
	char own[DL_ID_BYTES + sizeof(GW_HOST_PREFIX)];
	uint64_t own_version = 0;
	bool has_key = false, has_own = false;

	if (!p || !g->settings.peers.address[0])
		return;
	p->next_read_ms = ck_now_ms() + gw_rows_period_ms(p);
	snprintf(own, sizeof(own), GW_HOST_PREFIX "%s", g->settings.host);
	for (uint32_t i = 0; i < rows->count; i++) {
		const struct rw_row *row = &rows->rows[i];

		if (!strcmp(row->key, GW_KEY_ROW) && row->value) {
			has_key = true;
			if (!p->is_open)
				gw_open_endpoint(p, row->value);
		} else if (!strcmp(row->key, own)) {
			own_version = row->version;
			has_own = row->value && !strcmp(row->value, p->address);
		} else if (g_str_has_prefix(row->key, GW_HOST_PREFIX)) {
			gw_take_peer(p, row);
		}
	}
	if (!has_key)
		gw_make_key(p);
	else if (!has_own)
		gw_write_row(p, own, p->address, own_version);
}

void gw_peers_tell_held(struct gw_gateway *g, uint64_t key, uint64_t engine)
{
	struct gw_peers *p = g->peers;
	bp_held held = { key, engine };

	if (!p)
		return;
	if (p->news->len >= GW_MAX_NEWS)
		g_array_remove_range(p->news, 0, GW_MAX_NEWS / 2);
	g_array_append_val(p->news, held);
	p->news_end++;
}

static uint64_t gw_name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* Hosts that speak and whose names come first in the order of a hash. */
static uint32_t gw_count_before(const struct gw_gateway *g, bool in_zone_only)
{
	const struct gw_peers *p = g->peers;
	uint64_t own = gw_name_hash(g->settings.host);
	int64_t now_ms = ck_now_ms();
	uint32_t count = 0;

	for (uint32_t i = 0; p && p->is_open && i < p->peers->len; i++) {
		const struct gw_peer *peer = p->peers->pdata[i];

		if (in_zone_only && !peer->is_in_zone)
			continue;
		count += peer->has_spoken &&
			 now_ms - peer->heard_ms <
				 GW_READER_SILENT_MS + 2 * peer->period_ms &&
			 gw_name_hash(peer->name) < own;
	}
	return count;
}

bool gw_peers_is_reader(const struct gw_gateway *g)
{
	return !gw_count_before(g, true);
}

uint32_t gw_peers_rank(const struct gw_gateway *g)
{
	return gw_count_before(g, false);
}

void gw_peers_call_zone(struct gw_gateway *g, uint32_t number, xdrproc_t args,
			const void *value)
{
	struct gw_peers *p = g->peers;

	for (uint32_t i = 0; p && p->is_open && i < p->peers->len; i++) {
		const struct gw_peer *peer = p->peers->pdata[i];

		if (!peer->is_in_zone)
			continue;
		rp_call(&p->rpc,
			&(struct rp_call_desc){ .to = { .ipv4 = peer->ipv4,
							.port = peer->port },
						.number = number,
						.args = args,
						.args_value = value,
						.deadline_ms = GW_NEAR_MS },
			NULL);
	}
}

enum st_code gw_peers_start(struct gw_gateway *g)
{
	struct gw_peers *p = g_new0(struct gw_peers, 1);

	g->peers = p;
	p->gateway = g;
	p->started_ms = ck_now_ms();
	g->kept_ms = GW_KEPT_MAX_MS;
	p->peers = g_ptr_array_new_with_free_func(g_free);
	p->news = g_array_new(FALSE, FALSE, sizeof(bp_held));
	snprintf(p->address, sizeof(p->address), "%s:%u %s %s",
		 g->settings.peers.address, g->settings.peers.port,
		 g->settings.region, g->settings.zone);
	ev_timer_init(&p->tick, gw_on_peers_tick, GW_PEERS_TICK_S,
		      GW_PEERS_TICK_S);
	p->tick.data = p;
	if (g->settings.peers.address[0])
		ev_timer_start(g->kernel.loop, &p->tick);
	return ST_OK;
}

void gw_peers_stop(struct gw_gateway *g)
{
	struct gw_peers *p = g->peers;

	if (!p)
		return;
	ev_timer_stop(g->kernel.loop, &p->tick);
	rw_cancel(&g->store, &p->read_call);
	rw_cancel(&g->store, &p->write_call);
	if (p->is_open)
		rp_finish(&p->rpc);
	g_ptr_array_free(p->peers, TRUE);
	g_array_free(p->news, TRUE);
	g_free(p);
	g->peers = NULL;
}
