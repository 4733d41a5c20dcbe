/*
 * gw_silence - engines that fall silent without closing their connections.
 *
 * Load pattern
 *	A quarter of the engines lose power under full load. Nothing closes,
 *	and what runs or waits there would be waited for until its time is over,
 *	though another engine could still answer it.
 *
 * Overview
 *	When a request has heard nothing for a while, a new connection to its
 *	engine is tried. An engine that takes none, twice in a row, is gone:
 *	the requests there that may go on or run elsewhere do so, and it is
 *	avoided. An engine that takes connections is only slow, but a stream
 *	that has begun and stands still for longer than its caller would wait
 *	has hung.
 *
 *	An attempt that breaks has its engine checked, too: one that refuses
 *	the connection has ended, see gw_poison.h.
 *
 *	Silence alone ends no answer: a request that can't be sent elsewhere
 *	any more, or may run once at most, is waited for.
 *
 * Use
 *	gw_silence_sweep(g, now_ms);	several times a second
 */
#ifndef GW_SILENCE_H
#define GW_SILENCE_H

#include "gateway/gw.h"

struct gw_request;

/** enum gw_silence - what a silent request asks for. */
enum gw_silence { GW_NOT_SILENT = 0, GW_CHECK, GW_HUNG };

/**
 * gw_silence_of() - the decision alone.
 * @silent_ms: since the last byte, or since it was sent.
 * @has_begun: the engine has begun to answer.
 * @may_go_on: it can be sent elsewhere.
 */
enum gw_silence gw_silence_of(int64_t silent_ms, bool has_begun,
			      bool may_go_on);

/** gw_silence_check() - try a connection now, whatever was found before. */
void gw_silence_check(struct gw_gateway *g, struct fl_engine *e);

void gw_silence_sweep(struct gw_gateway *g, int64_t now_ms);

#endif
