#include "index/ix_feed.h"

#include <inttypes.h>
#include <string.h>

#include "index/ix_decode.h"
#include "kernel/ck.h"
#include "kernel/mt.h"

#define IX_FEED_URL_BYTES    128
#define IX_FEED_HEADER_BYTES 96

MT_COUNTER(ix_events_total, "balsampin_index_events_total",
	   "events of engines taken in")
MT_COUNTER(ix_events_bad, "balsampin_index_events_malformed_total",
	   "events of engines that could not be decoded")
MT_COUNTER(ix_events_gaps, "balsampin_index_event_gaps_total",
	   "gaps in the events of engines")
MT_COUNTER(ix_streams_opened, "balsampin_index_streams_opened_total",
	   "event streams opened")
MT_COUNTER(ix_snapshots_taken, "balsampin_index_snapshots_total",
	   "snapshots of caches taken in")
MT_COUNTER(ix_snapshots_failed, "balsampin_index_snapshots_failed_total",
	   "snapshots that failed, could not be decoded or were too old")

static void ix_feed_open_stream(struct ix_feed *feed);

static void ix_feed_notify(struct ix_feed *feed, enum ix_notice notice)
{
	feed->_desc.on_notice(feed->_desc.arg, feed, notice);
}

static void ix_feed_make_url(const struct ix_feed *feed, const char *path,
			     char out[IX_FEED_URL_BYTES])
{
	hc_make_url(out, IX_FEED_URL_BYTES, feed->ipv4, feed->port, path);
}

static void ix_feed_timer_start(struct ix_feed *feed, ev_timer *timer,
				int64_t after_ms)
{
	ev_now_update(feed->_desc.loop);
	ev_timer_stop(feed->_desc.loop, timer);
	ev_timer_set(timer, (double)after_ms / 1000., 0.);
	ev_timer_start(feed->_desc.loop, timer);
}

/* Returns a random delay of half to all of @retry_ms and doubles @retry_ms. */
static int64_t ix_feed_backoff(int64_t *retry_ms)
{
	int64_t delay_ms = *retry_ms / 2 + (int64_t)(g_random_double() *
						     (double)*retry_ms / 2.);

	*retry_ms = MIN(*retry_ms * 2, IX_FEED_MAX_RETRY_MS);
	return delay_ms;
}

/* Returns whether the incarnation is newer than the last one seen. */
static bool ix_feed_update_incarnation(struct ix_feed *feed,
				       uint64_t incarnation)
{
	bool is_restart = feed->incarnation != 0;

	if (incarnation <= feed->incarnation)
		return false;
	feed->incarnation = incarnation;
	feed->_is_leaving = false;
	if (is_restart)
		ix_feed_notify(feed, IX_NOTICE_RESTARTED);
	return true;
}

static void ix_feed_report_event(struct ix_feed *feed,
				 const struct ix_event *event,
				 enum ix_effect effect)
{
	int64_t now_ms = ck_now_ms();
	bool is_new_run = ix_feed_update_incarnation(feed, event->incarnation);

	if (effect == IX_IGNORED && !is_new_run)
		return;
	feed->sequence = event->sequence;
	if (effect == IX_GAP) {
		mt_add(&ix_events_gaps, 1);
		ix_feed_notify(feed, IX_NOTICE_GAP);
	}
	if (event->kind == IX_LOAD && event->load.is_leaving &&
	    !feed->_is_leaving) {
		feed->_is_leaving = true;
		ix_feed_notify(feed, IX_NOTICE_LEAVING);
	}
	if (is_new_run ||
	    now_ms - feed->_answered_ms >= IX_FEED_ANSWERED_INTERVAL_MS) {
		feed->_answered_ms = now_ms;
		ix_feed_notify(feed, IX_NOTICE_ANSWERED);
	}
}

static void ix_feed_on_event(void *arg, const struct se_event *from)
{
	struct ix_feed *feed = arg;
	struct ix_event event;
	enum ix_effect effect;

	if (!ix_decode_event(from, &event, feed->_blocks)) {
		/* The gap in the sequence will trigger a snapshot. */
		mt_add(&ix_events_bad, 1);
		return;
	}
	mt_add(&ix_events_total, 1);
	feed->_stream_retry_ms = IX_FEED_MIN_RETRY_MS;
	effect = ix_event(feed->_desc.index, feed->_desc.engine, &event,
			  ck_now_ms());
	ix_feed_report_event(feed, &event, effect);
	/* Calls cannot be started from a call's callback; the timer does it. */
	if (ix_needs_snapshot(feed->_desc.index, feed->_desc.engine) &&
	    !ev_is_active(&feed->_snapshot_timer))
		ix_feed_timer_start(feed, &feed->_snapshot_timer, 0);
}

static void ix_feed_on_data(void *arg, uint32_t http_status, const char *data,
			    uint64_t bytes)
{
	struct ix_feed *feed = arg;

	if (http_status != 200 || feed->_is_unusable)
		return;
	if (!feed->_is_streaming) {
		feed->_is_streaming = true;
		ix_set_connected(feed->_desc.index, feed->_desc.engine, true,
				 ck_now_ms());
	}
	if (se_feed(&feed->_parser, data, bytes))
		return;
	/* Calls cannot be cancelled from their callback; the timer does it. */
	feed->_is_unusable = true;
	ix_feed_timer_start(feed, &feed->_stream_timer,
			    ix_feed_backoff(&feed->_stream_retry_ms));
}

static void ix_feed_on_stream_done(void *arg, const struct hc_result *result)
{
	struct ix_feed *feed = arg;

	feed->_stream = (struct hc_call){ 0 };
	feed->_is_streaming = false;
	ix_set_connected(feed->_desc.index, feed->_desc.engine, false,
			 ck_now_ms());
	if (result->outcome == HC_NO_CONNECTION || result->outcome == HC_IDLE)
		ix_feed_notify(feed, IX_NOTICE_FAILED);
	ix_feed_timer_start(feed, &feed->_stream_timer,
			    ix_feed_backoff(&feed->_stream_retry_ms));
}

/* Resumes after the last event, or after a later snapshot. */
static bool ix_feed_make_last_id(const struct ix_feed *feed,
				 char out[IX_FEED_HEADER_BYTES])
{
	struct ix_stats stats;

	if (ix_stats(feed->_desc.index, feed->_desc.engine, &stats) != ST_OK ||
	    !stats.incarnation)
		return false;
	g_snprintf(out, IX_FEED_HEADER_BYTES,
		   "Last-Event-ID: %" PRIu64 ":%" PRIu64, stats.incarnation,
		   stats.sequence);
	return true;
}

static void ix_feed_open_stream(struct ix_feed *feed)
{
	char url[IX_FEED_URL_BYTES];
	char last[IX_FEED_HEADER_BYTES];
	const char *headers[] = { "Accept: text/event-stream", NULL, NULL };
	struct hc_call_desc desc = {
		.url = url,
		.headers = headers,
		.first_byte_timeout_ms = feed->_desc.idle_ms,
		.idle_timeout_ms = feed->_desc.idle_ms,
		.on_data = ix_feed_on_data,
		.on_done = ix_feed_on_stream_done,
		.arg = feed,
	};

	hc_cancel(feed->_desc.http, feed->_stream);
	se_reset(&feed->_parser);
	feed->_is_unusable = false;
	feed->_is_streaming = false;
	ix_feed_make_url(feed, "/v1/cache/events", url);
	if (ix_feed_make_last_id(feed, last))
		headers[1] = last;
	mt_add(&ix_streams_opened, 1);
	if (hc_send(feed->_desc.http, &desc, &feed->_stream) != ST_OK)
		ix_feed_timer_start(feed, &feed->_stream_timer,
				    ix_feed_backoff(&feed->_stream_retry_ms));
}

static bool ix_feed_apply_snapshot(struct ix_feed *feed,
				   const struct hc_result *result)
{
	GArray *blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t incarnation = 0;
	uint64_t sequence = 0;
	bool ok;

	ok = result->outcome == HC_DONE && result->http_status == 200 &&
	     ix_decode_snapshot(result->body, result->body_bytes, &incarnation,
				&sequence, blocks) &&
	     ix_snapshot_end(feed->_desc.index, feed->_desc.engine, incarnation,
			     sequence,
			     (const uint64_t *)(const void *)blocks->data,
			     blocks->len, ck_now_ms()) == ST_OK;
	g_array_unref(blocks);
	if (ok)
		ix_feed_update_incarnation(feed, incarnation);
	return ok;
}

static void ix_feed_on_snapshot_done(void *arg, const struct hc_result *result)
{
	struct ix_feed *feed = arg;

	feed->_snapshot = (struct hc_call){ 0 };
	feed->_snapshot_not_before_ms =
		ck_now_ms() + (int64_t)(result->body_bytes * 1000 /
					IX_FEED_SNAPSHOT_BYTES_PER_S);
	if (ix_feed_apply_snapshot(feed, result)) {
		mt_add(&ix_snapshots_taken, 1);
		feed->_snapshot_retry_ms = IX_FEED_MIN_RETRY_MS;
	} else {
		mt_add(&ix_snapshots_failed, 1);
		ix_snapshot_cancel(feed->_desc.index, feed->_desc.engine);
	}
	if (ix_needs_snapshot(feed->_desc.index, feed->_desc.engine))
		ix_feed_timer_start(feed, &feed->_snapshot_timer,
				    ix_feed_backoff(&feed->_snapshot_retry_ms));
}

/* Fetches a snapshot if one is needed and none is pending. */
static void ix_feed_fetch_snapshot(struct ix_feed *feed)
{
	char url[IX_FEED_URL_BYTES];
	struct hc_call_desc desc = {
		.url = url,
		.total_timeout_ms = IX_FEED_SNAPSHOT_TIMEOUT_MS,
		.max_answer_bytes = IX_FEED_MAX_SNAPSHOT_BYTES,
		.on_done = ix_feed_on_snapshot_done,
		.arg = feed,
	};
	int64_t wait_ms;

	if (!ix_needs_snapshot(feed->_desc.index, feed->_desc.engine) ||
	    ev_is_active(&feed->_snapshot_timer))
		return;
	wait_ms = feed->_snapshot_not_before_ms - ck_now_ms();
	if (wait_ms > 0) {
		ix_feed_timer_start(feed, &feed->_snapshot_timer, wait_ms);
		return;
	}
	ix_feed_make_url(feed, "/v1/cache/blocks", url);
	ix_snapshot_begin(feed->_desc.index, feed->_desc.engine);
	if (hc_send(feed->_desc.http, &desc, &feed->_snapshot) == ST_OK)
		return;
	ix_snapshot_cancel(feed->_desc.index, feed->_desc.engine);
	ix_feed_timer_start(feed, &feed->_snapshot_timer,
			    ix_feed_backoff(&feed->_snapshot_retry_ms));
}

static void ix_feed_on_stream_timer(struct ev_loop *loop, ev_timer *timer,
				    int events)
{
	ix_feed_open_stream(timer->data);
}

static void ix_feed_on_snapshot_timer(struct ev_loop *loop, ev_timer *timer,
				      int events)
{
	ix_feed_fetch_snapshot(timer->data);
}

void ix_feed_start(struct ix_feed *feed, const struct ix_feed_desc *desc)
{
	*feed = (struct ix_feed){ .ipv4 = desc->ipv4,
				  .port = desc->port,
				  ._desc = *desc,
				  ._stream_retry_ms = IX_FEED_MIN_RETRY_MS,
				  ._snapshot_retry_ms = IX_FEED_MIN_RETRY_MS };
	g_strlcpy(feed->name, desc->name, sizeof(feed->name));
	feed->_desc.name = feed->name;
	if (!feed->_desc.idle_ms)
		feed->_desc.idle_ms = IX_FEED_IDLE_MS;
	se_init(&feed->_parser,
		&(struct se_desc){ .on_event = ix_feed_on_event, .arg = feed });
	feed->_blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ev_timer_init(&feed->_stream_timer, ix_feed_on_stream_timer, 0., 0.);
	ev_timer_init(&feed->_snapshot_timer, ix_feed_on_snapshot_timer, 0.,
		      0.);
	feed->_stream_timer.data = feed;
	feed->_snapshot_timer.data = feed;
	ix_feed_open_stream(feed);
	ix_feed_fetch_snapshot(feed);
}

void ix_feed_stop(struct ix_feed *feed)
{
	hc_cancel(feed->_desc.http, feed->_stream);
	hc_cancel(feed->_desc.http, feed->_snapshot);
	ix_snapshot_cancel(feed->_desc.index, feed->_desc.engine);
	ix_set_connected(feed->_desc.index, feed->_desc.engine, false,
			 ck_now_ms());
	ev_timer_stop(feed->_desc.loop, &feed->_stream_timer);
	ev_timer_stop(feed->_desc.loop, &feed->_snapshot_timer);
	se_finish(&feed->_parser);
	g_array_unref(feed->_blocks);
}
