#include "gateway/gw_bound.h"

#include <glib.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt_family.h"

/* Between two lines about the same bound; it may be reached by each request. */
#define GW_BOUND_LOG_MS 30000

MT_COUNTERS(gw_bounds, "balsampin_gateway_bounds_reached_total",
	    "times that only a part could be considered", "bound")

static const char *const gw_bound_names[GW_BOUNDS] = {
	[GW_BOUND_CANDIDATES] = "candidates",
	[GW_BOUND_HOSTS] = "hosts",
	[GW_BOUND_SHARES] = "shares",
	[GW_BOUND_ANNOUNCEMENTS] = "announcements",
	[GW_BOUND_RELAYED] = "relayed",
};

void gw_bound_reached(enum gw_bound bound, uint32_t wanted, uint32_t max)
{
	static int64_t logged_ms[GW_BOUNDS];
	int64_t now_ms = ck_now_ms();
	char had[24], kept[24];

	mt_count(&gw_bounds, gw_bound_names[bound]);
	if (logged_ms[bound] && now_ms - logged_ms[bound] < GW_BOUND_LOG_MS)
		return;
	logged_ms[bound] = now_ms;
	g_snprintf(had, sizeof(had), "%u", wanted);
	g_snprintf(kept, sizeof(kept), "%u", max);
	lg_warn("more than this host considers", "event", "bound_reached",
		"bound", gw_bound_names[bound], "wanted", had, "max", kept,
		NULL);
}
