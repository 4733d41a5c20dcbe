#include "gateway/gw_notice.h"

#include "gateway/gw_peers.h"
#include "gateway/gw_relay.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "rpc/gen/balsampin.h"

/* The end of a pause is put off by a random share of it, up to a limit. */
#define GW_PAUSE_SPREAD_DIVISOR 10
#define GW_PAUSE_MAX_SPREAD_MS	1000
/* Between the start of an engine and its entry. */
#define GW_REGISTRATION_MS 500
/* Notices that a process which started is told. */
#define GW_MAX_SYNC_NOTICES 64

MT_COUNTER(gw_leaving, "balsampin_gateway_engines_leaving_total",
	   "engines that said in an answer that they leave")
MT_COUNTER(gw_pauses, "balsampin_gateway_engine_pauses_total",
	   "pauses that engines asked for with a refusal")
MT_COUNTER(gw_heard_notices, "balsampin_gateway_notices_heard_total",
	   "notices of engines that other hosts passed on")
MT_COUNTER(gw_bad_notices, "balsampin_gateway_bad_notices_total",
	   "answers with an unreadable pause or notice of leaving")

static void gw_log_notice(const char *event, const struct fl_engine *e,
			  const char *request, int64_t pause_ms)
{
	char incarnation[20], pause[24];

	g_snprintf(incarnation, sizeof(incarnation), "%" G_GINT64_MODIFIER "x",
		   fl_incarnation(e));
	g_snprintf(pause, sizeof(pause), "%" G_GINT64_FORMAT, pause_ms);
	lg_info("notice of an engine", "event", event, "engine", e->entry.id,
		"incarnation", incarnation, "request", request, "pause_ms",
		pause, NULL);
}

static bp_gateway_notice gw_notice_to_wire(const struct fl_engine *e,
					   int64_t left_ms)
{
	return (bp_gateway_notice){ .engine = e->hash,
				    .incarnation = fl_incarnation(e),
				    .left_ms = left_ms,
				    .is_leaving = e->notice.is_leaving };
}

static void gw_notice_tell_zone(struct gw_gateway *g,
				const bp_gateway_notice *message)
{
	xdrproc_t encode = (xdrproc_t)xdr_bp_gateway_notice;

	if (!g->peers)
		return;
	if (gw_collect_is_used(g->peers) && !g->peers->collect.is_collector)
		gw_peers_call_collectors(g, BP_GATEWAY_NOTICE, encode, message);
	else
		gw_peers_call_zone(g, BP_GATEWAY_NOTICE, encode, message);
}

static void gw_notice_tell(struct gw_gateway *g, const struct fl_engine *e)
{
	bp_gateway_notice message = gw_notice_to_wire(
		e, fl_notice_left_ms(&e->notice, ck_now_ms()));

	gw_notice_tell_zone(g, &message);
}

/* A collector passes on what it heard; the others, what they were told. */
void gw_notice_sync_peer(struct gw_gateway *g, const struct rp_peer *peer)
{
	bool is_used = gw_collect_is_used(g->peers);
	int64_t now_ms = ck_now_ms();
	uint32_t sent = 0;

	if (is_used && !g->peers->collect.is_collector)
		return;
	fl_for_each (&g->fleet, e) {
		int64_t left_ms = fl_notice_left_ms(&e->notice, now_ms);
		bp_gateway_notice message;

		if (is_used)
			left_ms =
				MAX(left_ms, e->notice.heard_until_ms - now_ms);
		if (left_ms <= 0 || sent == GW_MAX_SYNC_NOTICES)
			continue;
		message = gw_notice_to_wire(e, left_ms);
		gw_peers_call_one(g, peer, BP_GATEWAY_NOTICE,
				  (xdrproc_t)xdr_bp_gateway_notice, &message);
		sent++;
	}
}

static struct fl_engine *gw_find_incarnation(const struct gw_gateway *g,
					     uint64_t engine,
					     uint64_t incarnation)
{
	fl_for_each (&g->fleet, e)
		if (e->hash == engine && fl_incarnation(e) == incarnation)
			return e;
	return NULL;
}

static void gw_on_notice(void *arg, struct rp_request *request,
			 const void *args)
{
	struct gw_gateway *g = arg;
	const bp_gateway_notice *message = args;
	struct fl_engine *e =
		gw_find_incarnation(g, message->engine, message->incarnation);

	mt_add(&gw_heard_notices, 1);
	if (e && fl_notice_hear(&e->notice, message->left_ms, ck_now_ms())) {
		gw_log_notice(message->is_leaving ? "engine_leaving_heard"
						  : "engine_pause_heard",
			      e, "", message->left_ms);
		if (g->peers && gw_collect_is_used(g->peers) &&
		    g->peers->collect.is_collector)
			gw_notice_tell_zone(g, message);
	}
	rp_drop(request);
}

enum st_code gw_notice_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_GATEWAY_NOTICE,
				     .args = (xdrproc_t)xdr_bp_gateway_notice,
				     .args_bytes = sizeof(bp_gateway_notice),
				     .handler = gw_on_notice,
				     .arg = g });
}

static int64_t gw_spread_pause(int64_t pause_ms)
{
	int64_t spread_ms =
		MIN(pause_ms / GW_PAUSE_SPREAD_DIVISOR, GW_PAUSE_MAX_SPREAD_MS);

	return pause_ms + g_random_int_range(0, (gint32)spread_ms + 1);
}

static void gw_apply_notice(struct gw_gateway *g, struct fl_engine *e,
			    const struct dl_answer *answer, const char *request)
{
	struct fl_notice *notice = &e->notice;

	if (answer->has_bad_notice) {
		mt_add(&gw_bad_notices, 1);
		if (!notice->was_unreadable)
			gw_log_notice("engine_notice_ignored", e, request, -1);
		notice->was_unreadable = true;
	}
	if (answer->is_leaving && fl_notice_leaving(notice, ck_now_ms())) {
		mt_add(&gw_leaving, 1);
		gw_log_notice("engine_leaving", e, request, -1);
		gw_notice_tell(g, e);
	}
	if (answer->pause_ms > 0) {
		int64_t pause_ms = gw_spread_pause(answer->pause_ms);

		if (fl_notice_pause(notice, pause_ms, ck_now_ms())) {
			mt_add(&gw_pauses, 1);
			gw_log_notice("engine_paused", e, request, pause_ms);
			gw_notice_tell(g, e);
		}
	}
	fl_keep_notice(&g->fleet, e);
}

static struct fl_engine *gw_find_successor(const struct gw_gateway *g,
					   const struct fl_engine *gone)
{
	fl_for_each (&g->fleet, e)
		if (fl_is_superseded_by(gone, &e->entry))
			return e;
	return NULL;
}

void gw_notice_answer(struct gw_gateway *g, struct fl_engine *e,
		      const struct dl_answer *answer, const char *request)
{
	struct fl_engine *successor =
		e->is_gone ? gw_find_successor(g, e) : NULL;

	gw_apply_notice(g, e, answer, request);
	if (successor)
		gw_apply_notice(g, successor, answer, request);
}

void gw_notice_inherit(struct gw_gateway *g, struct fl_engine *e,
		       const struct fl_notice *before, int64_t since_ms)
{
	if (!fl_notice_inherit(&e->notice, before,
			       since_ms - GW_REGISTRATION_MS))
		return;
	gw_log_notice("engine_notice_inherited", e, "",
		      MAX(e->notice.pause_until_ms - ck_now_ms(), 0));
	fl_keep_notice(&g->fleet, e);
}

void gw_notice_sweep(struct gw_gateway *g, int64_t now_ms)
{
	fl_for_each (&g->fleet, e)
		if (fl_notice_end_pause(&e->notice, now_ms))
			gw_log_notice("engine_pause_over", e, "", 0);
}
