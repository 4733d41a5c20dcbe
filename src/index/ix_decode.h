/*
 * ix_decode - an engine's cache events and snapshots, from their JSON.
 *
 * Overview
 *	The formats are those of docs/PROTOCOLS.md. There are no sockets here;
 *	whatever does not fit the format is refused.
 */
#ifndef IX_DECODE_H
#define IX_DECODE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "index/ix.h"
#include "net/se.h"

/**
 * ix_decode_event() - an event of /v1/cache/events.
 * @blocks: array of uint64_t that event->blocks points into afterwards.
 */
bool ix_decode_event(const struct se_event *from, struct ix_event *event,
		     GArray *blocks);

/** ix_decode_snapshot() - an answer of /v1/cache/blocks. */
bool ix_decode_snapshot(const char *text, uint64_t bytes, uint64_t *incarnation,
			uint64_t *sequence, GArray *blocks);

#endif
