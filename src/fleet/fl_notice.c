#include "fleet/fl_notice.h"

#include <glib.h>

static bool fl_notice_is_paused(const struct fl_notice *notice, int64_t now_ms)
{
	return now_ms < notice->pause_until_ms;
}

enum fl_use fl_notice_use(const struct fl_notice *notice, int64_t now_ms)
{
	if (notice->is_leaving)
		return FL_LEAVING;
	return fl_notice_is_paused(notice, now_ms) ? FL_PAUSED : FL_USABLE;
}

bool fl_notice_leaving(struct fl_notice *notice, int64_t now_ms)
{
	bool is_news = !notice->is_leaving;

	notice->said_ms = MAX(notice->said_ms, now_ms);
	notice->is_leaving = true;
	return is_news;
}

bool fl_notice_pause(struct fl_notice *notice, int64_t pause_ms, int64_t now_ms)
{
	bool is_news = !fl_notice_is_paused(notice, now_ms);

	notice->said_ms = MAX(notice->said_ms, now_ms);
	if (is_news)
		notice->pause_calls = 0;
	notice->pause_until_ms =
		MAX(notice->pause_until_ms,
		    now_ms + CLAMP(pause_ms, 0, FL_MAX_PAUSE_MS));
	return is_news;
}

bool fl_notice_end_pause(struct fl_notice *notice, int64_t now_ms)
{
	if (!notice->pause_until_ms || fl_notice_is_paused(notice, now_ms))
		return false;
	notice->pause_until_ms = 0;
	return true;
}

bool fl_notice_take_call(struct fl_notice *notice, int64_t now_ms)
{
	if (!fl_notice_is_paused(notice, now_ms))
		return true;
	if (notice->pause_calls >= FL_PAUSE_CALLS)
		return false;
	notice->pause_calls++;
	return true;
}

bool fl_notice_inherit(struct fl_notice *notice, const struct fl_notice *before,
		       int64_t since_ms)
{
	struct fl_notice old = *notice;

	if (!before->said_ms || before->said_ms < since_ms)
		return false;
	notice->is_leaving = notice->is_leaving || before->is_leaving;
	notice->pause_until_ms =
		MAX(notice->pause_until_ms, before->pause_until_ms);
	notice->pause_calls = MAX(notice->pause_calls, before->pause_calls);
	notice->said_ms = MAX(notice->said_ms, before->said_ms);
	return notice->is_leaving != old.is_leaving ||
	       notice->pause_until_ms != old.pause_until_ms;
}

int64_t fl_notice_left_ms(const struct fl_notice *notice, int64_t now_ms)
{
	if (notice->is_leaving)
		return FL_MAX_HEARD_MS;
	return CLAMP(notice->pause_until_ms - now_ms, 0, FL_MAX_HEARD_MS);
}

bool fl_notice_hear(struct fl_notice *notice, int64_t left_ms, int64_t now_ms)
{
	int64_t until_ms = now_ms + CLAMP(left_ms, 0, FL_MAX_HEARD_MS);
	int64_t known_ms = MAX(notice->heard_until_ms,
			       now_ms + fl_notice_left_ms(notice, now_ms));

	notice->heard_until_ms = MAX(notice->heard_until_ms, until_ms);
	return until_ms - known_ms >= FL_HEARD_STEP_MS;
}

bool fl_notice_is_heard(const struct fl_notice *notice, int64_t now_ms)
{
	return now_ms < notice->heard_until_ms;
}
