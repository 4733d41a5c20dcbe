/*
 * gw_poison - requests that crash the engines which run them.
 *
 * Load pattern
 *	A caller sends the same request again and again, to any host, and each
 *	engine that begins to run it ends, with all that it runs.
 *
 * Overview
 *	src/limits/ps.h decides; here is what it is told, and what carries its
 *	knowledge further than a request, a host and a host's restart:
 *
 *	- An attempt that breaks has its engine checked by a connection. An
 *	  engine has ended if it refuses one, if another incarnation has taken
 *	  its place, or if its entry is gone and it takes none. One that leaves
 *	  as planned has not crashed.
 *	- What was running there is charged. A charge goes to a few hosts, the
 *	  homes of its fingerprint (src/peers/pe_home.h). From the second one
 *	  on the homes tell all hosts, at once and then every few seconds, which
 *	  makes up for lost messages. A host that starts is told as soon as it
 *	  speaks.
 *	- A host that has had a complete answer to it since a crash says so,
 *	  which clears it.
 *	- Those that are proven lie in a row of the store, for hosts that all
 *	  started anew.
 *
 * Use
 *	verdict = gw_poison_check(g, content);
 *	gw_poison_attempt_started(r);
 *	gw_poison_attempt_ended(r, PS_BROKEN);
 */
#ifndef GW_POISON_H
#define GW_POISON_H

#include "gateway/gw.h"
#include "limits/ps.h"

struct gw_request;
struct gw_poison;

enum st_code gw_poison_start(struct gw_gateway *g);
void gw_poison_stop(struct gw_gateway *g);

/** gw_poison_serve() - take what other hosts tell. */
enum st_code gw_poison_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/** gw_poison_sync_peer() - a process that knows nothing yet has spoken. */
void gw_poison_sync_peer(struct gw_gateway *g, const struct rp_peer *peer);

/** gw_poison_check() - before every attempt. */
struct ps_answer gw_poison_check(struct gw_gateway *g, uint64_t content);

/** gw_poison_avoid() - hashes of engines that it must not share. */
uint32_t gw_poison_avoid(const struct gw_gateway *g, uint64_t content,
			 uint64_t *engines, uint32_t capacity);

/** gw_poison_attempt_started() - an attempt begins at @r->engine. */
void gw_poison_attempt_started(struct gw_request *r);

/** gw_poison_attempt_ended() - it is over; call it before @r->engine is left.
 */
void gw_poison_attempt_ended(struct gw_request *r, enum ps_end end);

/** gw_poison_engine_exited() - that incarnation runs no more. */
void gw_poison_engine_exited(struct gw_gateway *g, const struct fl_engine *e,
			     const char *evidence);

/** gw_poison_engine_alive() - it took a connection. */
void gw_poison_engine_alive(struct gw_gateway *g, const struct fl_engine *e);

/** gw_poison_has_broken_attempt() - an attempt broke there, and nobody knows
 * why. */
bool gw_poison_has_broken_attempt(const struct gw_gateway *g,
				  const struct fl_engine *e);

/** gw_poison_apply_rows() - the gateway's own rows were read. */
void gw_poison_apply_rows(struct gw_gateway *g, const struct rw_rows *rows);

/** gw_poison_sweep() - about once a second. */
void gw_poison_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
