/*
 * gw_poison - requests that crash the engines which run them.
 *
 * Load pattern
 *	A caller keeps sending the same request, to any host, and each engine
 *	that begins to run it crashes, with all requests that it runs. Or many
 *	different requests do, which share one part of their prompts.
 *
 * Overview
 *	src/limits/ps.h decides. This module supplies its evidence and shares
 *	the evidence between requests, between hosts and across restarts:
 *
 *	- After an attempt whose connection broke, a connection to the engine
 *	  checks whether it still runs. An engine has exited if it refuses the
 *	  connection, if another incarnation has replaced it, or if its entry is
 *	  gone and it accepts no connection. A planned exit is no crash.
 *	- The requests that were running there get a crash record each. It is
 *	  sent to a few hosts, the owners of the fingerprint
 *	  (src/peers/pe_home.h). From the second crash on, the owners broadcast
 *	  the records to all hosts, at once and then every few seconds, which
 *	  makes up for lost messages. A host that has restarted receives them
 *	  after its first message.
 *	- A host that has received a complete answer to the request since a
 *	  crash reports that, which clears the request.
 *	- The parts of a request's prompt are suspects as its content is, and
 *	  all of the above holds for them, too. A request that waits at an
 *	  engine is withdrawn as soon as one of its parts is proven.
 *	- Proven requests, the crash records of watched ones and what was
 *	  answered in full are stored in a row of the store, for the case that
 *	  all hosts restart (gw_poison_row.h).
 *
 * Use
 *	answer = gw_poison_check(r);
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

/** gw_poison_serve() - accept the reports of other hosts. */
enum st_code gw_poison_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/** gw_poison_sync_peer() - send known suspects to a process that started. */
void gw_poison_sync_peer(struct gw_gateway *g, const struct rp_peer *peer);

/** gw_poison_check() - decide whether @r may run, before each attempt. */
struct ps_answer gw_poison_check(struct gw_request *r);

/** gw_poison_has_proven_part() - whether part of @r is known to crash engines.
 */
bool gw_poison_has_proven_part(const struct gw_request *r);

/** gw_poison_may_move() - whether @r may run elsewhere once its attempt breaks.
 */
bool gw_poison_may_move(const struct gw_request *r);

/** gw_poison_avoid() - hashes of engines at which @content may not run now. */
uint32_t gw_poison_avoid(const struct gw_gateway *g, uint64_t content,
			 uint64_t *engines, uint32_t capacity);

/** gw_poison_attempt_started() - record that @r begins to run at @r->engine. */
void gw_poison_attempt_started(struct gw_request *r);

/** gw_poison_attempt_streaming() - record that an event of @r has arrived. */
void gw_poison_attempt_streaming(struct gw_request *r);

/**
 * gw_poison_attempt_ended() - record the end of an attempt. Call it while
 * @r->engine is still set.
 */
void gw_poison_attempt_ended(struct gw_request *r, enum ps_end end);

/** gw_poison_engine_exited() - record that this incarnation has exited. */
void gw_poison_engine_exited(struct gw_gateway *g, struct fl_engine *e,
			     const char *evidence);

/** gw_poison_engine_alive() - record that @e accepted a connection. */
void gw_poison_engine_alive(struct gw_gateway *g, const struct fl_engine *e);

/** gw_poison_engine_answered() - record that @e answered a request. */
void gw_poison_engine_answered(struct gw_gateway *g, const struct fl_engine *e);

/**
 * gw_poison_has_broken_attempt() - whether an attempt at @e broke recently, or
 * was given up while @e was silent, for an unknown reason.
 */
bool gw_poison_has_broken_attempt(const struct gw_gateway *g,
				  const struct fl_engine *e);

/** gw_poison_apply_rows() - apply the gateway's own rows after a read. */
void gw_poison_apply_rows(struct gw_gateway *g, const struct rw_rows *rows);

/** gw_poison_sweep() - periodic work; call about once a second. */
void gw_poison_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
