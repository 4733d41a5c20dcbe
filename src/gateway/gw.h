/*
 * gw - the gateway: one process per host that forwards requests unchanged.
 *
 * Overview
 *	The command "gateway" runs these modules on one event loop:
 *
 *	gw_front.c	HTTP server for callers, readiness, metrics
 *	gw_request.c	life cycle of a request, from arrival to answer
 *	gw_send.c	one attempt at an upstream
 *	gw_admit.c	admission decision and the terms of service
 *	gw_events.c	splits a stream into whole events
 *	gw_watch.c	follows one table of the store
 *	gw_knowledge.c	configuration, wanted weights and upstreams
 *	gw_weights.c	which weights are wanted, and since when
 *	gw_plan.c	decision which engines load new weights next
 *	gw_rollout.c	sends the load orders, under a lease
 *	gw_silence.c	detection of engines that stop answering
 *	gw_reach.c	whether this host is cut off from all engines
 *	gw_via.c	requests passed on to another host, if cut off
 *	gw_notice.c	engines that say that they leave or want a pause
 *	gw_relay.c	distribution of store rows within a region
 *	gw_hosts.c	list of the other hosts, from the gateway's own rows
 *	gw_catchup.c	copy of a store table from another host
 *	gw_peers.c	messages between hosts: load, held prefixes
 *	gw_collect.c	load summed by a collector in each zone
 *	gw_roles.c	assignment of shared duties to hosts
 *	gw_poison.c	requests that crash engines
 *	gw_begun.c	which build began which stream
 *	gw_cap.c	usage caps of teams
 *	gw_place.c	candidates for src/placement
 *	gw_continue.c	at which build of the engines a stream may go on
 *	gw_separate.c	demand of short and long prompts, and who waits
 *
 *	A dialect (src/dialect/dl.h) supplies the names and formats of the
 *	platform, a row store (src/rows/rw.h) supplies access to its store.
 */
#ifndef GW_H
#define GW_H

#include "catalog/ca.h"
#include "dialect/dl.h"
#include "fleet/fl.h"
#include "gateway/gw_settings.h"
#include "gateway/gw_weights.h"
#include "http1/h1_server.h"
#include "kernel/ba.h"
#include "kernel/kn.h"
#include "limits/rb.h"
#include "peers/pe_held.h"
#include "peers/pe_load.h"
#include "rows/rw.h"
#include "rpc/rp.h"

/*
 * All answers that are collected share a pool, within the account. It guards
 * against engines that send bytes without end, to many requests at once.
 */
#define GW_ANSWER_POOL_BYTES (8u << 20)

struct gw_knowledge;
struct gw_rollout;
struct gw_front;
struct gw_peers;
struct gw_catchup;
struct gw_poison;
struct gw_begun;
struct gw_cap;
struct gw_via;
struct gw_reach;

/**
 * struct gw_gateway - state shared by the modules of the gateway.
 * @settings: settings of the process.
 * @settings_path: file of the settings, read again on SIGHUP.
 * @kernel: event loop and tasks.
 * @dialect: names and formats of the platform.
 * @store: row store of the platform.
 * @catalog: configuration in force, NULL before the first one.
 * @fleet: upstreams.
 * @has_fleet: the table of upstreams has been read.
 * @weights: weights that engines are to load.
 * @requests: requests of callers that are not finished.
 * @recent_streams: streams that began a short while ago; see gw_continue.h.
 * @held: prefixes that engines hold in their caches.
 * @prefix_kept_ms: time for which an engine probably keeps a prefix after its
 *	last use.
 * @sent_tokens: tokens sent to engines since gw_peers.c last updated
 *	@prefix_kept_ms from them.
 * @peer_load: requests that the other hosts have running at each engine.
 * @account: of the bytes that the process holds for others.
 * @config_fresh_ms: last time at which @catalog was known to be the newest
 *	configuration.
 * @pools: struct sp_pool by the name of a model service; see gw_separate.h.
 * @cause_crash_ms: last known crash of an engine under what is refused for it.
 * @held_requests: number of requests that wait for room at an engine.
 * @retries: retry budgets of this host, by service.
 * @started_ms: start time of the process.
 * @early_requests: number of requests held until the store has been read once.
 * @stop_ms: time at which SIGTERM arrived, 0 before.
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
	GQueue recent_streams;
	struct pe_held held;
	int64_t prefix_kept_ms;
	uint64_t sent_tokens;
	struct pe_load peer_load;
	struct ba_account account;
	int64_t config_fresh_ms;
	GHashTable *pools;
	int64_t cause_crash_ms;
	uint32_t held_requests;
	struct rb_table retries;
	int64_t started_ms;
	uint32_t early_requests;
	int64_t stop_ms;
	ev_timer log_timer;

	struct gw_knowledge *knowledge;
	struct gw_rollout *rollout;
	struct gw_front *front;
	struct gw_peers *peers;
	struct gw_catchup *catchup;
	struct gw_poison *poison;
	struct gw_begun *begun;
	struct gw_cap *cap;
	struct gw_via *via;
	struct gw_reach *reach;
};

/**
 * gw_has_read() - whether what the first requests need has been read from the
 * store.
 */
bool gw_has_read(const struct gw_gateway *g);

/** gw_is_ready() - whether this host should receive new connections. */
bool gw_is_ready(const struct gw_gateway *g, int64_t now_ms);

/**
 * gw_takes_part() - whether the store answers this host and the process is not
 * stopping.
 */
bool gw_takes_part(const struct gw_gateway *g);

/** gw_knowledge_start() - follow the store until gw_knowledge_stop(). */
enum st_code gw_knowledge_start(struct gw_gateway *g);
void gw_knowledge_stop(struct gw_gateway *g);

/** gw_rollout_start() - take part in rolling out wanted weights. */
enum st_code gw_rollout_start(struct gw_gateway *g);
void gw_rollout_stop(struct gw_gateway *g);

/** gw_rollout_changed() - react to a change of an engine or wanted version. */
void gw_rollout_changed(struct gw_gateway *g);

/** gw_peers_start() - exchange load and held prefixes with other hosts. */
enum st_code gw_peers_start(struct gw_gateway *g);
void gw_peers_stop(struct gw_gateway *g);

/** gw_peers_apply_rows() - apply the gateway's own rows after a read. */
void gw_peers_apply_rows(struct gw_gateway *g, const struct rw_rows *rows);

/** gw_peers_call() - call one host. */
enum st_code gw_peers_call(struct gw_gateway *g,
			   const struct rp_call_desc *desc);

/** gw_peers_call_awaited() - call one host; @handle is for gw_peers_cancel().
 */
enum st_code gw_peers_call_awaited(struct gw_gateway *g,
				   const struct rp_call_desc *desc,
				   struct rp_handle *handle);

/** gw_peers_cancel() - forget a call; its on_done is not called. */
void gw_peers_cancel(struct gw_gateway *g, struct rp_handle handle);

/** gw_peers_rank() - number of live hosts that rank before this one. */
uint32_t gw_peers_rank(const struct gw_gateway *g);

/** gw_peers_count() - number of other hosts, live or not. */
uint32_t gw_peers_count(const struct gw_gateway *g);

/** gw_peers_read_rows() - read the gateway's own rows with the next step. */
void gw_peers_read_rows(struct gw_gateway *g);

/** Result of gw_peers_owner_index() if this host is not an owner. */
#define GW_NOT_OWNER UINT32_MAX

/**
 * gw_peers_owner_index() - index of this host among the owners of @key; see
 * peers/pe_home.h.
 */
uint32_t gw_peers_owner_index(const struct gw_gateway *g, uint64_t key);

/** gw_peers_is_owner() - whether this host is an owner of @key. */
static inline bool gw_peers_is_owner(const struct gw_gateway *g, uint64_t key)
{
	return gw_peers_owner_index(g, key) != GW_NOT_OWNER;
}

/** gw_peers_call_owners() - make a one-way call to other owners of @key. */
void gw_peers_call_owners(struct gw_gateway *g, uint64_t key, uint32_t number,
			  xdrproc_t args, const void *value);

/** Limit of gw_peers_list_owners(). */
#define GW_MAX_LISTED_OWNERS 8

/**
 * gw_peers_list_owners() - append the hosts that may be owners of @key to
 * @owners, without this one and those in it.
 * @max: number of owners that @key has, PE_MAX_RANKED at most.
 * @listed: length of @owners.
 *
 * These are the owners among the hosts that are alive, and those among the
 * hosts that are alive or may be: a process that has just started has not heard
 * from all others.
 *
 * Return: the new length of @owners.
 */
uint32_t gw_peers_list_owners(const struct gw_gateway *g, uint64_t key,
			      uint32_t max,
			      struct rp_peer owners[GW_MAX_LISTED_OWNERS],
			      uint32_t listed);

/** gw_peers_call_one() - make a one-way call to the host at @peer. */
void gw_peers_call_one(struct gw_gateway *g, const struct rp_peer *peer,
		       uint32_t number, xdrproc_t args, const void *value);

/** gw_peers_call_all() - make a one-way call to all other hosts. */
void gw_peers_call_all(struct gw_gateway *g, uint32_t number, xdrproc_t args,
		       const void *value);

/** gw_peers_announce_held() - announce that @engine holds prefix @key. */
void gw_peers_announce_held(struct gw_gateway *g, uint64_t key,
			    uint64_t engine);

/** gw_front_start() - listen for callers. */
enum st_code gw_front_start(struct gw_gateway *g);
void gw_front_stop(struct gw_gateway *g);

/** gw_front_drain() - close each connection after its next answer. */
void gw_front_drain(struct gw_gateway *g);

/** gw_front_busy() - number of requests that are not finished. */
uint32_t gw_front_busy(const struct gw_gateway *g);

/** gw_requests_release() - resume early requests; see gw_startup_wait_ms(). */
void gw_requests_release(struct gw_gateway *g);

/** gw_requests_stop() - end what runs before the process does; see gw_stop.h.
 */
void gw_requests_stop(struct gw_gateway *g);

/** gw_requests_sweep() - end attempts that may no longer begin. */
void gw_requests_sweep(struct gw_gateway *g, int64_t now_ms);

/** gw_front_limit() - apply the limits of the configuration. */
void gw_front_limit(struct gw_gateway *g);

#endif
