/*
 * od_engines - engines tracked by the order task, and calls to them.
 *
 * Overview
 *	Private to od_task.
 */
#ifndef OD_ENGINES_H
#define OD_ENGINES_H

#include "control/od_task.h"

/**
 * struct od_peer - an engine and its calls in flight.
 * @engine: input of the plan; the first member, so that a pointer to a peer is
 *	also one to its engine.
 * @read_ms: when the last status read was sent.
 * @ordered_ms: when the last order ended.
 * @is_listed: in the membership table and not dead.
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

/** od_engines_update() - update the engines from the membership table. */
void od_engines_update(struct od_task *od);

/**
 * od_engines_invalidate() - mark all states as unknown, since another holder
 * may have changed them.
 */
void od_engines_invalidate(struct od_task *od);

/** od_engines_read() - start status reads of engines that are due. */
void od_engines_read(struct od_task *od, int64_t now_ms);

/** od_engines_sorted() - all engines, sorted by name. */
GPtrArray *od_engines_sorted(const struct od_task *od);

/** od_engine_order() - send an order. */
void od_engine_order(struct od_peer *peer, const struct od_models *wanted,
		     uint64_t fencing);

#endif
