/*
 * gw_place - the upstreams that could run a request, for src/placement.
 *
 * Overview
 *	Turns the fleet into a table of candidates: upstreams of the service
 *	that are not draining and, for a model, have usable weights. Weights
 *	older than the wanted ones are usable for a bounded time. A stream that
 *	has begun goes on only at engines of its build. Engines that
 *	are next in the roll-out are avoided, so that they are idle when their
 *	order arrives; every host computes the same order independently.
 */
#ifndef GW_PLACE_H
#define GW_PLACE_H

#include "gateway/gw.h"
#include "placement/pc.h"
#include "placement/sp.h"

#define GW_MAX_TRIED 8

/**
 * struct gw_place_request
 * @service: required.
 * @model: NULL for plain requests.
 * @prefix: the shared prefix, see pc.h.
 * @kind: see sp.h.
 * @kept_share: part of the engines kept for short prompts; 0: none.
 * @build: the only one that may run it, see gw_continue.h; 0: any.
 * @tried: hashes of upstreams that this request was already sent to.
 */
struct gw_place_request {
	const struct ca_service *service;
	const char *model;
	struct pc_request prefix;
	enum sp_kind kind;
	double kept_share;
	uint64_t build;
	const uint64_t *tried;
	uint32_t tried_count;
};

/**
 * struct gw_place_answer - the chosen upstream and sources of its prefix.
 * @engine: NULL if no upstream can run the request.
 * @pause_end_ms: first end of the pauses of upstreams that could run it
 *	otherwise; 0: no such upstream, or there are others, which were tried.
 * @source: engine to copy the prefix from, or NULL.
 * @store: store of cached prompts; NULL if none is used.
 * @has_room, @free_slots, @is_from_store, @is_to_store, @read_tokens, @cost_ms,
 *@mean_wait_ms: see pc.h.
 */
struct gw_place_answer {
	struct fl_engine *engine;
	int64_t pause_end_ms;
	struct fl_engine *source;
	const struct ca_service *store;
	bool is_from_store;
	bool is_to_store;
	uint32_t read_tokens;
	double cost_ms;
	double mean_wait_ms;
	bool has_room;
	uint32_t free_slots;
	double kept_share;
};

/** gw_store_hash() - key of a store among the holders of prefixes. */
uint64_t gw_store_hash(const struct ca_service *store);

struct gw_place_answer gw_place(const struct gw_gateway *g,
				const struct gw_place_request *request,
				int64_t now_ms);

#endif
