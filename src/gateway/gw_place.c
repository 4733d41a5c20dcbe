#include "gateway/gw_place.h"

#include <string.h>

#define GW_MAX_CANDIDATES 1024
/*
 * Kept free of the bound for new weights: a request may wait at the engine
 * that long before it begins.
 */
#define GW_WEIGHTS_MARGIN_MS 1500

static enum pc_distance gw_distance(const struct gw_gateway *g,
				    const char *zone)
{
	if (!strcmp(zone, g->settings.zone))
		return PC_SAME_ZONE;
	return strcmp(gw_region_of(&g->settings, zone), g->settings.region)
		       ? PC_OTHER_REGION
		       : PC_SAME_REGION;
}

static bool gw_is_tried(const struct gw_place_request *request, uint64_t hash)
{
	for (uint32_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == hash)
			return true;
	return false;
}

static bool gw_has_usable_weights(const struct gw_gateway *g,
				  const struct fl_engine *e,
				  const struct gw_wanted *wanted,
				  int64_t now_ms)
{
	if (!wanted || e->entry.weights >= wanted->version)
		return true;
	return now_ms - wanted->since_ms <
	       g->settings.weights_ms - GW_WEIGHTS_MARGIN_MS;
}

static bool gw_can_run(const struct gw_gateway *g,
		       const struct gw_place_request *request,
		       const struct fl_engine *e,
		       const struct gw_wanted *wanted, int64_t now_ms)
{
	if (e->is_gone || e->entry.is_draining ||
	    strcmp(e->entry.service, request->service->name) != 0)
		return false;
	if (!request->model)
		return true;
	return !strcmp(e->entry.model, request->model) &&
	       gw_has_usable_weights(g, e, wanted, now_ms);
}

struct gw_place_answer gw_place(const struct gw_gateway *g,
				const struct gw_place_request *request,
				int64_t now_ms)
{
	struct pc_candidate candidates[GW_MAX_CANDIDATES];
	struct fl_engine *engines[GW_MAX_CANDIDATES];
	const struct gw_wanted *wanted =
		request->model ? gw_wanted_of(g, request->model) : NULL;
	struct pc_answer answer;
	struct pc_request prefix = request->prefix;
	uint32_t count = 0;
	bool has_current = false;

	fl_for_each(&g->fleet, e)
	{
		if (count == GW_MAX_CANDIDATES ||
		    !gw_can_run(g, request, e, wanted, now_ms))
			continue;
		if (!e->is_next && (!wanted || e->entry.weights >= wanted->version))
			has_current = true;
		engines[count] = e;
		candidates[count++] = (struct pc_candidate){
			.hash = e->hash,
			.running = e->running,
			.joined_ms = e->joined_ms,
			.distance = gw_distance(g, e->entry.zone),
			.is_avoided = now_ms < e->avoid_until_ms || e->is_next,
			.is_tried = gw_is_tried(request, e->hash),
			.is_current =
				!wanted || e->entry.weights >= wanted->version,
		};
	}
	/* Older weights are on their way out: nothing is worth gathering. */
	prefix.is_root_read |= !has_current;
	answer = pc_place(&prefix, candidates, count);
	return (struct gw_place_answer){
		answer.chosen < 0 ? NULL : engines[answer.chosen],
		answer.source < 0 ? NULL : engines[answer.source],
	};
}
