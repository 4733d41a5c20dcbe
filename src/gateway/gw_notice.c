#include "gateway/gw_notice.h"

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

/* The end of a pause is put off by a random share of it, up to a limit. */
#define GW_PAUSE_SPREAD_DIVISOR 10
#define GW_PAUSE_MAX_SPREAD_MS	1000

MT_COUNTER(gw_leaving, "balsampin_gateway_engines_leaving_total",
	   "engines that said in an answer that they leave")
MT_COUNTER(gw_pauses, "balsampin_gateway_engine_pauses_total",
	   "pauses that engines asked for with a refusal")
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

static int64_t gw_spread_pause(int64_t pause_ms)
{
	int64_t spread_ms =
		MIN(pause_ms / GW_PAUSE_SPREAD_DIVISOR, GW_PAUSE_MAX_SPREAD_MS);

	return pause_ms + g_random_int_range(0, (gint32)spread_ms + 1);
}

void gw_notice_answer(struct gw_gateway *g, struct fl_engine *e,
		      const struct dl_answer *answer, const char *request)
{
	struct fl_notice *notice = &e->notice;

	if (answer->has_bad_notice) {
		mt_add(&gw_bad_notices, 1);
		if (!notice->was_unreadable)
			gw_log_notice("engine_notice_ignored", e, request, -1);
		notice->was_unreadable = true;
	}
	if (answer->is_leaving && fl_notice_leaving(notice)) {
		mt_add(&gw_leaving, 1);
		gw_log_notice("engine_leaving", e, request, -1);
	}
	if (answer->pause_ms > 0) {
		int64_t pause_ms = gw_spread_pause(answer->pause_ms);

		if (fl_notice_pause(notice, pause_ms, ck_now_ms())) {
			mt_add(&gw_pauses, 1);
			gw_log_notice("engine_paused", e, request, pause_ms);
		}
	}
	fl_keep_notice(&g->fleet, e);
}

void gw_notice_sweep(struct gw_gateway *g, int64_t now_ms)
{
	fl_for_each (&g->fleet, e)
		if (fl_notice_end_pause(&e->notice, now_ms))
			gw_log_notice("engine_pause_over", e, "", 0);
}
