/*
 * od_engines - engines that the order task follows, and calls to them.
 *
 * Overview
 *	Private to od_task.
 */
#ifndef OD_ENGINES_H
#define OD_ENGINES_H

#include "control/od_task.h"

/**
 * struct od_peer - an engine and what is under way with it.
 * @engine: what the plan sees; first, so that a peer is an engine.
 * @read_ms: when it was last asked for its status.
 * @ordered_ms: when the last order was sent.
 */
struct od_peer {
	struct od_engine engine;
	struct od_task *od;
	uint32_t ipv4;
	uint16_t port;
	int64_t read_ms;
	int64_t ordered_ms;
	bool is_reading;
	bool is_sending;
	bool is_listed;
};

/** od_engines_update() - follow the engines of the membership table. */
void od_engines_update(struct od_task *od);

/** od_engines_invalidate() - another holder may have changed what was read. */
void od_engines_invalidate(struct od_task *od);

/** od_engines_read() - ask some of them for their status. */
void od_engines_read(struct od_task *od, int64_t now_ms);

/** od_engines_sorted() - all, in the order of names. */
GPtrArray *od_engines_sorted(const struct od_task *od);

/** od_engine_order() - send an order. */
void od_engine_order(struct od_peer *peer, const struct od_models *wanted,
		     uint64_t fencing);

#endif
