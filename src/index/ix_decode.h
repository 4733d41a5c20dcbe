/*
 * ix_decode - decoder for the cache events and snapshots of an engine.
 *
 * Overview
 *	The formats are defined in docs/PROTOCOLS.md. Input that does not
 *	match the format is rejected. The decoder does no I/O.
 */
#ifndef IX_DECODE_H
#define IX_DECODE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "index/ix.h"
#include "net/se.h"

/**
 * ix_decode_event() - decode an event of /v1/cache/events.
 * @blocks: array of uint64_t that event->blocks points into afterwards.
 */
bool ix_decode_event(const struct se_event *from, struct ix_event *event,
		     GArray *blocks);

/** ix_decode_snapshot() - decode a response of /v1/cache/blocks. */
bool ix_decode_snapshot(const char *text, uint64_t bytes, uint64_t *incarnation,
			uint64_t *sequence, GArray *blocks);

#endif
