#include "gateway/gw_watch.h"

#include <glib.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/st.h"

/* Of a call, on top of what the store may wait: a slow store answers by then.
 */
#define GW_ANSWER_TIMEOUT_MS 1200
/* Between tries while the store does not answer, with up to half of it more. */
#define GW_RETRY_S 0.25

static void gw_watch_call(struct gw_watch *watch);

static void gw_watch_again(struct gw_watch *watch, double after_s)
{
	ev_timer_stop(watch->_desc.loop, &watch->_timer);
	ev_timer_set(&watch->_timer, after_s, 0.0);
	ev_timer_start(watch->_desc.loop, &watch->_timer);
}

static void gw_watch_failed(struct gw_watch *watch, enum st_code code)
{
	double jitter = g_random_double_range(1.0, 1.5);

	if (code == ST_STALE) {
		watch->_has_table = false;
		gw_watch_again(watch, 0.0);
		return;
	}
	if (!watch->_lost_ms) {
		watch->_lost_ms = ck_now_ms();
		watch->_desc.on_lost(watch->_desc.arg, st_message());
	}
	gw_watch_again(watch, GW_RETRY_S * jitter);
}

static void gw_watch_on_rows(void *arg, enum st_code code,
			     const struct rw_rows *rows)
{
	struct gw_watch *watch = arg;
	bool is_whole = !watch->_has_table;
	int64_t waited_ms = ck_now_ms() - watch->_sent_ms;

	if (code != ST_OK) {
		gw_watch_failed(watch, code);
		return;
	}
	if (watch->_lost_ms) {
		watch->_desc.on_regained(watch->_desc.arg,
					 ck_now_ms() - watch->_lost_ms);
		watch->_lost_ms = 0;
	}
	watch->fresh_ms = watch->_sent_ms;
	if (!is_whole && !rows->count && waited_ms >= watch->_desc.wait_ms)
		watch->fresh_ms += watch->_desc.wait_ms;
	if (rows->version > watch->_version)
		watch->_version = rows->version;
	watch->_has_table = true;
	if (is_whole || rows->count)
		watch->_desc.on_rows(watch->_desc.arg, rows, is_whole);
	gw_watch_again(watch,
		       rows->count ? watch->_desc.pause_ms / 1000.0 : 0.0);
}

static void gw_watch_call(struct gw_watch *watch)
{
	struct rw_query query = {
		.table = watch->_desc.table,
		.after = watch->_version,
		.wait_ms = watch->_desc.wait_ms,
		.timeout_ms = watch->_desc.wait_ms + GW_ANSWER_TIMEOUT_MS,
	};

	watch->_sent_ms = ck_now_ms();
	if (watch->_has_table)
		rw_feed(watch->_desc.store, &query, gw_watch_on_rows, watch,
			&watch->_call);
	else
		rw_get(watch->_desc.store, &query, gw_watch_on_rows, watch,
		       &watch->_call);
}

static void gw_watch_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	gw_watch_call(w->data);
}

void gw_watch_start(struct gw_watch *watch, const struct gw_watch_desc *desc)
{
	memset(watch, 0, sizeof(*watch));
	watch->_desc = *desc;
	ev_timer_init(&watch->_timer, gw_watch_on_timer, 0.0, 0.0);
	watch->_timer.data = watch;
	gw_watch_call(watch);
}

void gw_watch_stop(struct gw_watch *watch)
{
	if (!watch->_desc.loop)
		return;
	ev_timer_stop(watch->_desc.loop, &watch->_timer);
	rw_cancel(watch->_desc.store, &watch->_call);
}
