/*
 * gw_events - splits a stream of server-sent events into whole events.
 *
 * Overview
 *	An event ends with an empty line. Only whole events are returned, so
 *	that a caller never receives part of one and a broken stream can resume
 *	at another engine after the last whole event. Bytes are not changed.
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
 * struct gw_event - valid until the next call. @id: -1 if the event has none.
 */
struct gw_event {
	const char *data;
	uint64_t bytes;
	int64_t id;
};

/**
 * struct gw_events
 * @_used: bytes of @_pending that were already returned.
 * @_searched: bytes after @_used in which no event ends.
 */
struct gw_events {
	GString *_pending;
	uint64_t _used;
	uint64_t _searched;
};

void gw_events_init(struct gw_events *events);
void gw_events_finish(struct gw_events *events);
void gw_events_add(struct gw_events *events, const char *data, uint64_t bytes);
bool gw_events_next(struct gw_events *events, struct gw_event *event);

/** gw_events_clear() - drop the pending bytes. */
void gw_events_clear(struct gw_events *events);

/** gw_events_pending() - bytes of the incomplete event. */
static inline uint64_t gw_events_pending(const struct gw_events *events)
{
	return events->_pending->len - events->_used;
}

/** gw_events_is_incomplete() - an event has begun and not ended. */
bool gw_events_is_incomplete(const struct gw_events *events);

#endif
