/*
 * gw_silence - detection of engines that stop answering without closing their
 * connections.
 *
 * Load pattern
 *	A quarter of the engines lose power under full load. No connection
 *	closes, and without a check the requests there would wait until they
 *	time out, though another engine could still answer them.
 *
 * Overview
 *	When a request has received nothing for a while, the gateway tries a new
 *	connection to its engine. An engine that accepts none, twice in a row,
 *	counts as lost: requests there that can be retried or resumed are sent
 *	elsewhere, and the engine is avoided. An engine that accepts connections
 *	is only slow, but a stream that has begun and stalls for longer than its
 *	caller would wait has hung.
 *
 *	The engine of a broken attempt is checked, too: if it refuses the
 *	connection, it has crashed, see gw_poison.h.
 *
 *	Silence alone ends no answer: a request that can't be sent elsewhere, or
 *	may run at most once, keeps waiting.
 *
 * Use
 *	gw_silence_sweep(g, now_ms);	several times a second
 */
#ifndef GW_SILENCE_H
#define GW_SILENCE_H

#include "gateway/gw.h"

struct gw_request;

/** enum gw_silence - action for a silent request. */
enum gw_silence { GW_NOT_SILENT = 0, GW_CHECK, GW_HUNG };

/**
 * gw_silence_of() - the decision alone, as a plain function.
 * @silent_ms: since the last byte, or since it was sent.
 * @has_begun: the engine has begun to answer.
 * @may_go_on: it can be sent elsewhere.
 */
enum gw_silence gw_silence_of(int64_t silent_ms, bool has_begun,
			      bool may_go_on);

/** gw_silence_check() - try a connection now, whatever earlier checks found. */
void gw_silence_check(struct gw_gateway *g, struct fl_engine *e);

void gw_silence_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
