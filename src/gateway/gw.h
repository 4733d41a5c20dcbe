/*
 * gw - the gateway: one process a host that passes requests on unchanged.
 *
 * Overview
 *	The command "gateway" composes these parts on one loop:
 *
 *	gw_front.c	callers' server, readiness, metrics
 *	gw_request.c	the life of one request, from its arrival to its answer
 *	gw_send.c	one attempt at an upstream
 *	gw_admit.c	decision: may it be served, and on what terms
 *	gw_events.c	splits a stream into whole events
 *	gw_watch.c	follows one table of the store
 *	gw_knowledge.c	configuration, wanted weights and upstreams from it
 *	gw_weights.c	which weights are wanted, and since when
 *	gw_plan.c	decision: which engines load them next
 *	gw_rollout.c	gives the orders, under a lease
 *	gw_silence.c	engines that fall silent
 *	gw_relay.c	one reader of the store for a region
 *	gw_hosts.c	the other hosts, from the gateway's own rows
 *	gw_catchup.c	a table of the store from another host
 *	gw_peers.c	messages between hosts: load, held prefixes
 *	gw_roles.c	which host does what for the others
 *	gw_poison.c	requests that crash engines
 *	gw_place.c	candidates for src/placement
 *
 *	The platform's spelling comes from a dialect (src/dialect/dl.h) and its
 *	store from a row store (src/rows/rw.h).
 */
#ifndef GW_H
#define GW_H

#include "catalog/ca.h"
#include "dialect/dl.h"
#include "fleet/fl.h"
#include "gateway/gw_settings.h"
#include "gateway/gw_weights.h"
#include "http1/h1_server.h"
#include "kernel/kn.h"
#include "limits/rb.h"
#include "peers/pe_held.h"
#include "peers/pe_load.h"
#include "rows/rw.h"
#include "rpc/rp.h"

struct gw_knowledge;
struct gw_rollout;
struct gw_front;
struct gw_peers;
struct gw_catchup;
struct gw_poison;

/**
 * struct gw_gateway - what the parts share.
 * @settings: of the process.
 * @settings_path: read again on SIGHUP.
 * @kernel: loop and tasks.
 * @dialect: spelling of the platform.
 * @store: rows of the platform.
 * @catalog: configuration in force, NULL before the first one.
 * @fleet: upstreams.
 * @has_fleet: the table of upstreams has been read.
 * @weights: that engines are to have.
 * @held: prefixes that engines have read.
 * @kept_ms: an engine probably keeps a prefix that long after its last use.
 * @sent_tokens: of prompts, since the last look at them; see gw_peers.c.
 * @others: what the other hosts have running.
 * @requests: of callers, not over yet.
 * @pooled_bytes: that answers hold beyond what each may hold anyway.
 * @config_fresh_ms: nothing newer than @catalog existed then.
 * @retries: budgets of this host for second sends, by service.
 * @started_ms: of the process.
 * @early: requests held until the first read of the store.
 * @stop_ms: when SIGTERM came, 0 before.
 */
struct gw_gateway {
	struct gw_settings settings;
	const char *settings_path;
	struct kn_kernel kernel;
	const struct dl_dialect *dialect;
	struct rw_store store;
	struct ca_catalog *catalog;
	struct fl_fleet fleet;
	bool has_fleet;
	struct gw_weights weights;
	GQueue requests;
	struct pe_held held;
	int64_t kept_ms;
	uint64_t sent_tokens;
	struct pe_load others;
	uint64_t pooled_bytes;
	int64_t config_fresh_ms;
	struct rb_table retries;
	int64_t started_ms;
	uint32_t early;
	int64_t stop_ms;
	ev_timer log_timer;

	struct gw_knowledge *knowledge;
	struct gw_rollout *rollout;
	struct gw_front *front;
	struct gw_peers *peers;
	struct gw_catchup *catchup;
	struct gw_poison *poison;
};

/** gw_is_ready() - whether this host should get new connections. */
bool gw_is_ready(const struct gw_gateway *g, int64_t now_ms);

/** gw_takes_part() - the store answers this host, and it is not stopping. */
bool gw_takes_part(const struct gw_gateway *g);

/** gw_knowledge_start() - follow the store; gw_knowledge_stop() ends it. */
enum st_code gw_knowledge_start(struct gw_gateway *g);
void gw_knowledge_stop(struct gw_gateway *g);

/** gw_rollout_start() - take part in bringing engines to wanted weights. */
enum st_code gw_rollout_start(struct gw_gateway *g);
void gw_rollout_stop(struct gw_gateway *g);

/** gw_rollout_changed() - an engine's or a wanted version changed. */
void gw_rollout_changed(struct gw_gateway *g);

/** gw_peers_start() - share load and prefixes with the other hosts. */
enum st_code gw_peers_start(struct gw_gateway *g);
void gw_peers_stop(struct gw_gateway *g);

/** gw_peers_rows() - the gateway's own rows were read. */
void gw_peers_rows(struct gw_gateway *g, const struct rw_rows *rows);

/** gw_peers_call() - call one host. */
enum st_code gw_peers_call(struct gw_gateway *g,
			   const struct rp_call_desc *desc);

/** gw_peers_rank() - how many hosts that speak come before this one. */
uint32_t gw_peers_rank(const struct gw_gateway *g);

/** gw_peers_read_rows() - read the gateway's own rows without delay. */
void gw_peers_read_rows(struct gw_gateway *g);

#define GW_NO_HOME UINT32_MAX

/** gw_peers_home_turn() - place of this host among the homes of @key. */
uint32_t gw_peers_home_turn(const struct gw_gateway *g, uint64_t key);

/** gw_peers_is_home() - this host is one of them; see peers/pe_home.h. */
static inline bool gw_peers_is_home(const struct gw_gateway *g, uint64_t key)
{
	return gw_peers_home_turn(g, key) != GW_NO_HOME;
}

/** gw_peers_call_homes() - a one-way call to the other homes of @key. */
void gw_peers_call_homes(struct gw_gateway *g, uint64_t key, uint32_t number,
			 xdrproc_t args, const void *value);

/** gw_peers_call_one() - a one-way call to the host at that address. */
void gw_peers_call_one(struct gw_gateway *g, const struct rp_peer *peer,
		       uint32_t number, xdrproc_t args, const void *value);

/** gw_peers_call_all() - a one-way call to all other hosts. */
void gw_peers_call_all(struct gw_gateway *g, uint32_t number, xdrproc_t args,
		       const void *value);

/** gw_peers_tell_held() - an engine has read a prefix. */
void gw_peers_tell_held(struct gw_gateway *g, uint64_t key, uint64_t engine);

/** gw_front_start() - listen for callers. */
enum st_code gw_front_start(struct gw_gateway *g);
void gw_front_stop(struct gw_gateway *g);

/** gw_front_drain() - answers end their connections from now on. */
void gw_front_drain(struct gw_gateway *g);

/** gw_front_busy() - requests that are not over. */
uint32_t gw_front_busy(const struct gw_gateway *g);

/** gw_requests_release() - the first read is done; see gw_startup_wait_ms(). */
void gw_requests_release(struct gw_gateway *g);

/** gw_requests_sweep() - end attempts that must not begin any more. */
void gw_requests_sweep(struct gw_gateway *g, int64_t now_ms);

/** gw_front_limit() - take over the limits of the configuration. */
void gw_front_limit(struct gw_gateway *g);

#endif
