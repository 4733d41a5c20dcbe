#include "kernel/tl.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static struct {
	struct ck_hlc clock;
	struct tl_event ring[TL_CAPACITY];
	uint64_t recorded;
} tl_state;

static const char *const tl_kind_names[TL_KIND_COUNT] = {
	[TL_PROCESS_STARTED] = "process_started",
	[TL_PROCESS_DRAINING] = "process_draining",
	[TL_REQUEST_ACCEPTED] = "request_accepted",
	[TL_REQUEST_PLACED] = "request_placed",
	[TL_REQUEST_REFUSED] = "request_refused",
	[TL_REQUEST_DONE] = "request_done",
	[TL_REQUEST_BROKEN] = "request_broken",
	[TL_UPSTREAM_FAILED] = "upstream_failed",
	[TL_STREAM_RESUMED] = "stream_resumed",
	[TL_STREAM_CONTINUED] = "stream_continued",
	[TL_CALL_CLAIMED] = "call_claimed",
	[TL_CALL_SETTLED] = "call_settled",
	[TL_CONFIG_APPLIED] = "config_applied",
	[TL_CONFIG_REFUSED] = "config_refused",
	[TL_MEMBER_UP] = "member_up",
	[TL_MEMBER_DOWN] = "member_down",
	[TL_MEMBER_LEAVING] = "member_leaving",
	[TL_ENGINE_RESTARTED] = "engine_restarted",
	[TL_EVENTS_GAP] = "events_gap",
	[TL_LEASE_TAKEN] = "lease_taken",
	[TL_LEASE_LOST] = "lease_lost",
	[TL_ORDER_SENT] = "order_sent",
	[TL_ORDER_DONE] = "order_done",
	[TL_ORDER_REFUSED] = "order_refused",
	[TL_REQUEST_POISONED] = "request_poisoned",
	[TL_PLATFORM_DOWN] = "platform_down",
	[TL_PLATFORM_UP] = "platform_up",
};

struct ck_hlc *tl_clock(void)
{
	return &tl_state.clock;
}

void tl_record(enum tl_kind kind, const char *subject, const char *format, ...)
{
	struct tl_event *event =
		&tl_state.ring[tl_state.recorded % TL_CAPACITY];
	va_list args;

	event->stamp = ck_hlc_tick(&tl_state.clock, ck_wall_ms());
	event->kind = kind;
	g_strlcpy(event->subject, subject ? subject : "", TL_SUBJECT_BYTES);
	va_start(args, format);
	vsnprintf(event->detail, TL_DETAIL_BYTES, format, args);
	va_end(args);
	tl_state.recorded++;
}

uint64_t tl_overwritten(void)
{
	if (tl_state.recorded <= TL_CAPACITY)
		return 0;
	return tl_state.recorded - TL_CAPACITY;
}

uint32_t tl_read(uint64_t stamp, struct tl_event *out, uint32_t capacity)
{
	uint32_t count = 0;

	for (uint64_t i = tl_overwritten(); i < tl_state.recorded; i++) {
		const struct tl_event *event = &tl_state.ring[i % TL_CAPACITY];

		if (event->stamp <= stamp)
			continue;
		if (count == capacity)
			break;
		out[count++] = *event;
	}
	return count;
}

const char *tl_kind_name(uint32_t kind)
{
	return kind < TL_KIND_COUNT ? tl_kind_names[kind] : "unknown";
}

uint32_t tl_kind_find(const char *name)
{
	uint32_t kind = 0;

	while (kind < TL_KIND_COUNT && strcmp(tl_kind_names[kind], name))
		kind++;
	return kind;
}
