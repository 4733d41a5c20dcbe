/*
 * od - orders that bring engines from their actual to the wanted state.
 *
 * Overview
 *	The wanted state follows from the models of the configuration. The
 *	actual state of an engine is read back from its GET /v1/status.
 *	od_plan() compares the two and returns the orders that may be sent now.
 *	Each order carries the engine's complete wanted state, so the next
 *	comparison repairs a lost, repeated or reordered order. Plain functions
 *	that read no clock.
 *
 *	Limits of a rollout, per model:
 *	- at most max_loading engines load it at once; an engine whose order
 *	  has not been read back counts as loading;
 *	- an engine unloads the serving version only while min_ready others
 *	  have it ready;
 *	- serving switches to version once min_ready engines, and at least as
 *	  many as have the old one, are ready with it
 *	  (od_can_switch_serving()).
 */
#ifndef OD_H
#define OD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/cm.h"

#define OD_MAX_MODELS 16

/** struct od_model - a model loaded or to be loaded on an engine. */
struct od_model {
	char model[CM_NAME_BYTES];
	char version[CM_NAME_BYTES];
	char adapter[CM_NAME_BYTES];
	bool is_ready;
};

/** struct od_models - models that an engine has or is to load. */
struct od_models {
	struct od_model items[OD_MAX_MODELS];
	uint32_t count;
};

/**
 * struct od_engine - state of an engine as read back.
 * @is_known: the last status read succeeded, after the lease was acquired.
 * @is_ordered: an order is in flight or not yet read back.
 * @is_leaving: according to its status or the host list.
 * @is_checked: it refuses old fencing numbers.
 * @fencing: highest fencing number that it has received.
 * @wanted: models of the last order.
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

/** struct od_order - an order; @engine is an index into the engines. */
struct od_order {
	uint32_t engine;
	struct od_models wanted;
};

/**
 * od_plan() - compute the orders that may be sent now.
 * @engines: pointers to struct od_engine, sorted by name.
 * @orders: of struct od_order, appended to.
 */
void od_plan(const struct cm_config *config, const GPtrArray *engines,
	     GArray *orders);

/** od_can_switch_serving() - may the model's serving version become its
 * version? */
bool od_can_switch_serving(const struct cm_model *model,
			   const GPtrArray *engines);

/** od_status_decode() - parse a GET /v1/status body; false if invalid. */
bool od_status_decode(const char *text, struct od_engine *engine);

/** od_order_encode() - format a POST /v1/orders body; free with g_free(). */
char *od_order_encode(const struct od_engine *engine,
		      const struct od_models *wanted, uint64_t fencing,
		      const char *order_id);

#endif
