#include "gateway/gw_watch.h"

#include <glib.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/st.h"

/* Time that a call gets beyond wait_ms; covers a slow store. */
#define GW_ANSWER_TIMEOUT_MS 1200
/* First retry delay while the store does not answer; doubled up to the maximum
 * that the owner of the watch gives. */
#define GW_RETRY_MS 250
/* A host that is not the reader polls the store if its rows are older than
 * this: the reader's own call may take a second, and a message may be lost. */
#define GW_RELAYED_MAX_AGE_MS 2000
#define GW_RELAYED_CHECK_S    0.1

/* An answer without rows is trusted to be complete after this time. */
#define GW_EMPTY_FEED_MS 3000

static void gw_watch_schedule(struct gw_watch *watch, double after_s)
{
	ev_timer_stop(watch->_desc.loop, &watch->_timer);
	ev_timer_set(&watch->_timer, after_s, 0.0);
	ev_timer_start(watch->_desc.loop, &watch->_timer);
}

/*
 * The store's clock cannot have been read before the call was sent. The highest
 * difference is therefore the tightest bound that is certainly not too high.
 */
static void gw_watch_learn_offset(struct gw_watch *watch, int64_t store_ms)
{
	int64_t offset_ms = watch->_sent_ms - store_ms;

	if (store_ms < watch->store_ms)
		watch->_has_offset = false;
	if (!watch->_has_offset || offset_ms > watch->_offset_ms)
		watch->_offset_ms = offset_ms;
	watch->_has_offset = true;
}

static void gw_watch_update_freshness(struct gw_watch *watch, int64_t store_ms)
{
	if (store_ms < watch->store_ms)
		return;
	watch->store_ms = store_ms;
	watch->fresh_ms = store_ms + watch->_offset_ms;
}

/*
 * The known version means nothing to the store, so the table is read anew. Its
 * version may be lower then, and the store's clock another one.
 */
static void gw_watch_restart(struct gw_watch *watch)
{
	watch->_has_table = false;
	watch->_is_restarted = true;
}

static bool gw_watch_is_of_other_era(const struct gw_watch *watch)
{
	return watch->_era != rw_era(watch->_desc.store);
}

/* The first answer after a restart is the whole table. */
static void gw_watch_begin_anew(struct gw_watch *watch)
{
	watch->_is_restarted = false;
	watch->_has_offset = false;
	watch->version = 0;
	watch->store_ms = 0;
	watch->_empty_ms = 0;
}

static void gw_watch_failed(struct gw_watch *watch, enum st_code code)
{
	double jitter = g_random_double_range(1.0, 1.5);

	if (code == ST_STALE) {
		gw_watch_restart(watch);
		gw_watch_schedule(watch, 0.0);
		return;
	}
	if (!watch->_lost_ms) {
		watch->_lost_ms = ck_now_ms();
		watch->_retry_ms = GW_RETRY_MS;
		watch->_desc.on_lost(watch->_desc.arg, st_message());
	}
	gw_watch_schedule(watch, watch->_retry_ms * jitter / 1000.0);
	watch->_retry_ms = MIN(2 * watch->_retry_ms,
			       watch->_desc.retry_max_ms(watch->_desc.arg));
}

/* Advances the version in the feed; see gw_watch.h on answers without rows. */
static void gw_watch_advance(struct gw_watch *watch, const struct rw_rows *rows,
			     bool is_whole)
{
	int64_t now_ms = ck_now_ms();

	if (is_whole || rows->count) {
		watch->version = MAX(watch->version, rows->version);
		watch->_empty_ms = 0;
		return;
	}
	if (watch->_empty_ms && now_ms - watch->_empty_ms < GW_EMPTY_FEED_MS)
		return;
	if (watch->_empty_ms)
		watch->version = MAX(watch->version, watch->_empty_version);
	watch->_empty_version = rows->version;
	watch->_empty_ms = now_ms;
}

static void gw_watch_on_rows(void *arg, enum st_code code,
			     const struct rw_rows *rows)
{
	struct gw_watch *watch = arg;
	bool is_whole = !watch->_has_table;
	struct gw_table_update update = { .from = watch->version,
					  .is_reload = is_whole };

	if (code != ST_OK) {
		gw_watch_failed(watch, code);
		return;
	}
	if (watch->_lost_ms) {
		watch->_desc.on_regained(watch->_desc.arg,
					 ck_now_ms() - watch->_lost_ms);
		watch->_lost_ms = 0;
	}
	/* A feed from a version of another era omits rows without saying so. */
	if (gw_watch_is_of_other_era(watch)) {
		watch->_era = rw_era(watch->_desc.store);
		gw_watch_restart(watch);
		if (!is_whole) {
			gw_watch_schedule(watch, 0.0);
			return;
		}
	}
	if (watch->_is_restarted && is_whole)
		gw_watch_begin_anew(watch);
	gw_watch_learn_offset(watch, rows->store_ms);
	gw_watch_update_freshness(watch, rows->store_ms);
	gw_watch_advance(watch, rows, is_whole);
	watch->_has_table = true;
	if (is_whole || rows->count)
		watch->_desc.on_rows(watch->_desc.arg, rows, is_whole);
	update.rows = *rows;
	update.rows.version = watch->version;
	update.newest = MAX(rows->version, watch->version);
	if (!is_whole || watch->_has_had_table)
		watch->_desc.on_read(watch->_desc.arg, &update);
	watch->_has_had_table = true;
	gw_watch_schedule(watch, 0.0);
}

static void gw_watch_call(struct gw_watch *watch, const char *reason)
{
	struct rw_query query = {
		.table = watch->_desc.table,
		.after = watch->version,
		.wait_ms = watch->_desc.wait_ms,
		.timeout_ms = watch->_desc.wait_ms + GW_ANSWER_TIMEOUT_MS,
		.reason = watch->_has_table ? reason : "whole_table",
	};

	/* Its end starts the timer again, which would cancel it before. */
	ev_timer_stop(watch->_desc.loop, &watch->_timer);
	rw_cancel(watch->_desc.store, &watch->_call);
	watch->_sent_ms = ck_now_ms();
	if (watch->_has_table)
		rw_feed(watch->_desc.store, &query, gw_watch_on_rows, watch,
			&watch->_call);
	else
		rw_get(watch->_desc.store, &query, gw_watch_on_rows, watch,
		       &watch->_call);
}

bool gw_watch_is_lost(const struct gw_watch *watch)
{
	return watch->_lost_ms != 0;
}

/* Returns why this host has to poll the store, or NULL. */
static const char *gw_watch_poll_reason(const struct gw_watch *watch)
{
	if (watch->_lost_ms)
		return "retry";
	if (!watch->_has_table)
		return "whole_table";
	if (watch->_desc.is_reader(watch->_desc.arg))
		return "reader";
	return ck_now_ms() - watch->fresh_ms > GW_RELAYED_MAX_AGE_MS
		       ? "nothing_relayed"
		       : NULL;
}

static void gw_watch_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_watch *watch = w->data;
	const char *reason = gw_watch_poll_reason(watch);

	if (reason)
		gw_watch_call(watch, reason);
	else
		gw_watch_schedule(watch, GW_RELAYED_CHECK_S);
}

/* Reads the missing rows; returns false if the store does not answer. */
static bool gw_watch_fetch_missing(struct gw_watch *watch)
{
	if (watch->_lost_ms)
		return false;
	if (!watch->_call._call || !watch->_has_table)
		gw_watch_call(watch, "missing_rows");
	return true;
}

/* Applies those rows of the update that are newer than the known ones. */
static void gw_watch_apply_newer(struct gw_watch *watch,
				 const struct gw_table_update *update,
				 uint64_t known)
{
	GArray *newer = g_array_new(FALSE, FALSE, sizeof(struct rw_row));
	struct rw_rows rows = update->rows;

	for (uint32_t i = 0; i < update->rows.count; i++) {
		const struct rw_row *row = &update->rows.rows[i];

		/* Whether a row without a version is newer is not known. */
		if (!row->version || row->version > known)
			g_array_append_vals(newer, row, 1);
	}
	rows.rows = (const struct rw_row *)(void *)newer->data;
	rows.count = newer->len;
	if (rows.count)
		watch->_desc.on_rows(watch->_desc.arg, &rows, false);
	g_array_free(newer, TRUE);
}

/* Whether the known rows are those of the store at the time of the update. */
static bool gw_watch_is_confirmed(const struct gw_watch *watch,
				  const struct gw_table_update *update)
{
	return watch->_has_table && !update->is_reload && !update->is_partial &&
	       update->from <= watch->version &&
	       watch->version <= update->newest;
}

bool gw_watch_apply_update(struct gw_watch *watch,
			   const struct gw_table_update *update)
{
	uint64_t known = watch->version;

	if (!watch->_has_offset)
		return true;
	if (watch->_has_table &&
	    (update->is_reload || gw_watch_is_of_other_era(watch))) {
		watch->_has_table = false;
		return gw_watch_fetch_missing(watch);
	}
	if (update->rows.version < watch->version) {
		if (gw_watch_is_confirmed(watch, update))
			gw_watch_update_freshness(watch, update->rows.store_ms);
		return true;
	}
	if (!watch->_has_table)
		return !watch->_lost_ms;
	if (update->rows.version > watch->version &&
	    (update->is_partial || update->from > watch->version))
		return gw_watch_fetch_missing(watch);
	watch->version = update->rows.version;
	gw_watch_update_freshness(watch, update->rows.store_ms);
	gw_watch_apply_newer(watch, update, known);
	return true;
}

void gw_watch_apply_table(struct gw_watch *watch, const struct rw_rows *rows)
{
	if (!watch->_has_offset || !watch->_lost_ms ||
	    rows->version < watch->version)
		return;
	/* A read under way may be older than these rows. */
	if (watch->_call._call) {
		rw_cancel(watch->_desc.store, &watch->_call);
		gw_watch_schedule(watch, watch->_retry_ms / 1000.0);
	}
	watch->version = rows->version;
	watch->_has_table = true;
	/* Of which era the rows are is not known here. */
	if (rw_era(watch->_desc.store))
		gw_watch_restart(watch);
	gw_watch_update_freshness(watch, rows->store_ms);
	watch->_desc.on_rows(watch->_desc.arg, rows, true);
}

void gw_watch_start(struct gw_watch *watch, const struct gw_watch_desc *desc)
{
	memset(watch, 0, sizeof(*watch));
	watch->_desc = *desc;
	ev_timer_init(&watch->_timer, gw_watch_on_timer, 0.0, 0.0);
	watch->_timer.data = watch;
	gw_watch_call(watch, "whole_table");
}

void gw_watch_stop(struct gw_watch *watch)
{
	if (!watch->_desc.loop)
		return;
	ev_timer_stop(watch->_desc.loop, &watch->_timer);
	rw_cancel(watch->_desc.store, &watch->_call);
}
