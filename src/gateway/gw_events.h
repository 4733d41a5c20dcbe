/*
 * gw_events - splits a stream of server-sent events into whole events.
 *
 * Overview
 *	An event ends with an empty line. Only whole events are handed on, so
 *	that a caller never gets a torn one and a broken stream can go on at
 *	another engine after the last whole event. Bytes are not changed.
 *
 * Use
 *	gw_events_add(&events, data, bytes);
 *	while (gw_events_next(&events, &event))
 *		...
 */
#ifndef GW_EVENTS_H
#define GW_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct gw_event - valid until the next call.
 * @id: -1 if the event has none.
 */
struct gw_event {
	const char *data;
	uint64_t bytes;
	int64_t id;
};

/** struct gw_events - @_searched: of the bytes after @_used, no event ends
 * there. */
struct gw_events {
	GString *_pending;
	uint64_t _used;
	uint64_t _searched;
};

void gw_events_init(struct gw_events *events);
void gw_events_finish(struct gw_events *events);
void gw_events_add(struct gw_events *events, const char *data, uint64_t bytes);
bool gw_events_next(struct gw_events *events, struct gw_event *event);

/** gw_events_clear() - forget the part of an event that came last. */
void gw_events_clear(struct gw_events *events);

/** gw_events_pending() - bytes of the event that has begun. */
static inline uint64_t gw_events_pending(const struct gw_events *events)
{
	return events->_pending->len - events->_used;
}

/** gw_events_is_incomplete() - an event has begun and not ended. */
bool gw_events_is_incomplete(const struct gw_events *events);

#endif
