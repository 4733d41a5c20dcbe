/*
 * od - orders to engines: from wanted to actual state.
 *
 * Overview
 *	The wanted state follows from the models of the configuration. What an
 *	engine holds is read back from its GET /v1/status. od_plan() compares
 *	the two and names the orders that may go out now; each order carries
 *	the engine's whole wanted state, so a lost, repeated or overtaken order
 *	is repaired by the next comparison. Plain functions without clock.
 *
 *	Limits of a rollout, per model:
 *	- at most max_loading engines load it at once; an engine whose order
 *	  has not been read back counts as loading;
 *	- an engine gives the serving version up only while min_ready others
 *	  have it ready;
 *	- serving moves to version once min_ready engines, and no fewer than
 *	  have the old one, are ready with it (od_can_switch_serving()).
 */
#ifndef OD_H
#define OD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"

#define OD_MAX_MODELS 16

/** struct od_model - a model on an engine. */
struct od_model {
	char model[CM_NAME_BYTES];
	char version[CM_NAME_BYTES];
	char adapter[CM_NAME_BYTES];
	bool is_ready;
};

/** struct od_models - what an engine holds or is to hold. */
struct od_models {
	struct od_model items[OD_MAX_MODELS];
	uint32_t count;
};

/**
 * struct od_engine - an engine as read back.
 * @is_known: its status has been read since it was last ordered or lost.
 * @is_ordered: an order is under way or not read back yet.
 * @is_leaving: by its own word or the host list's.
 * @is_checked: it refuses old fencing numbers.
 * @fencing: highest number it knows.
 * @wanted: of the last order.
 */
struct od_engine {
	char name[CM_NAME_BYTES];
	char role[CM_NAME_BYTES];
	uint64_t incarnation;
	uint64_t fencing;
	bool is_known;
	bool is_ordered;
	bool is_leaving;
	bool is_checked;
	struct od_models models;
	struct od_models wanted;
};

/** struct od_order - an order: @engine is an index. */
struct od_order {
	uint32_t engine;
	struct od_models wanted;
};

/**
 * od_plan() - orders that may go out now.
 * @engines: pointers to struct od_engine, in the order of names.
 * @orders: of struct od_order, appended to.
 */
void od_plan(const struct cm_config *config, const GPtrArray *engines,
	     GArray *orders);

/** od_can_switch_serving() - may the model's serving version become its
 * version? */
bool od_can_switch_serving(const struct cm_model *model,
			   const GPtrArray *engines);

/** od_status_decode() - an answer of GET /v1/status; false if it is none. */
bool od_status_decode(const char *text, struct od_engine *engine);

/** od_order_encode() - body of POST /v1/orders; free with g_free(). */
char *od_order_encode(const struct od_engine *engine,
		      const struct od_models *wanted, uint64_t fencing,
		      const char *order_id);

#endif
