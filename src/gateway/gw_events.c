#include "gateway/gw_events.h"

#include <stdlib.h>
#include <string.h>

void gw_events_init(struct gw_events *events)
{
	events->_pending = g_string_new(NULL);
	events->_used = 0;
	events->_searched = 0;
}

void gw_events_finish(struct gw_events *events)
{
	if (events->_pending)
		g_string_free(events->_pending, TRUE);
	events->_pending = NULL;
}

void gw_events_add(struct gw_events *events, const char *data, uint64_t bytes)
{
	if (events->_used)
		g_string_erase(events->_pending, 0, events->_used);
	events->_used = 0;
	g_string_append_len(events->_pending, data, bytes);
}

/* An event ends with a line feed and an empty line, which may have a CR. */
#define GW_EVENT_END_BYTES 3

/* Returns the end of the empty lines from @from on that are there already. */
static uint64_t gw_skip_empty_lines(const char *data, uint64_t from,
				    uint64_t bytes)
{
	for (;;) {
		if (from < bytes && data[from] == '\n')
			from++;
		else if (from + 1 < bytes && data[from] == '\r' &&
			 data[from + 1] == '\n')
			from += 2;
		else
			return from;
	}
}

/*
 * Returns the length of the first whole event, or 0 if there is none. No event
 * may end before @from. Further empty lines are part of the event: an engine
 * may send them without end, and each event has its cost.
 */
static uint64_t gw_whole_event(const char *data, uint64_t from, uint64_t bytes)
{
	for (uint64_t i = from; i < bytes; i++) {
		if (data[i] != '\n')
			continue;
		if (i + 1 < bytes && data[i + 1] == '\n')
			return gw_skip_empty_lines(data, i + 2, bytes);
		if (i + 2 < bytes && data[i + 1] == '\r' && data[i + 2] == '\n')
			return gw_skip_empty_lines(data, i + 3, bytes);
	}
	return 0;
}

static int64_t gw_event_id(const char *data, uint64_t bytes)
{
	static const char name[] = "id:";
	const uint64_t name_bytes = sizeof(name) - 1;
	const char *line = data;
	const char *end = data + bytes;

	while (line < end) {
		const char *stop = memchr(line, '\n', end - line);

		if ((uint64_t)(end - line) > name_bytes &&
		    !strncmp(line, name, name_bytes))
			return strtoll(line + name_bytes, NULL, 10);
		if (!stop)
			break;
		line = stop + 1;
	}
	return -1;
}

bool gw_events_next(struct gw_events *events, struct gw_event *event)
{
	const char *data = events->_pending->str + events->_used;
	uint64_t pending = gw_events_pending(events);
	uint64_t bytes = gw_whole_event(data, events->_searched, pending);

	if (!bytes) {
		events->_searched =
			pending - MIN(pending, GW_EVENT_END_BYTES - 1);
		return false;
	}
	events->_searched = 0;
	event->data = data;
	event->bytes = bytes;
	event->id = gw_event_id(data, bytes);
	events->_used += bytes;
	return true;
}

void gw_events_clear(struct gw_events *events)
{
	g_string_truncate(events->_pending, 0);
	events->_used = 0;
	events->_searched = 0;
}

bool gw_events_is_incomplete(const struct gw_events *events)
{
	return events->_pending->len > events->_used;
}
