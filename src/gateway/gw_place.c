#include "gateway/gw_place.h"

#include <string.h>
#include <xxhash.h>

#include "gateway/gw_peers.h"

#define GW_MAX_CANDIDATES 1024
/*
 * Margin within the bound for new weights: the time that a request may wait at
 * the engine before it begins.
 */
#define GW_WEIGHTS_MARGIN_MS 1500

static enum pc_distance gw_distance(const struct gw_gateway *g,
				    const struct fl_engine *e)
{
	if (!strcmp(e->entry.zone, g->settings.zone))
		return PC_SAME_ZONE;
	return strcmp(e->region, g->settings.region) ? PC_OTHER_REGION
						     : PC_SAME_REGION;
}

static bool gw_was_tried(const struct gw_place_request *request, uint64_t hash)
{
	for (uint32_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == hash)
			return true;
	return false;
}

static bool gw_can_run(const struct gw_gateway *g,
		       const struct gw_place_request *request,
		       const struct fl_engine *e, int64_t weights_age_ms)
{
	if (e->is_gone || fl_is_leaving(e) ||
	    strcmp(e->entry.service, request->service->name) != 0)
		return false;
	if (request->build && fl_build(e) != request->build)
		return false;
	if (!request->model)
		return true;
	return !strcmp(e->entry.model, request->model) &&
	       weights_age_ms < g->settings.weights_ms - GW_WEIGHTS_MARGIN_MS;
}

/*
 * Time since an engine last used a prefix under its present weights; -1: never.
 */
static int64_t gw_used_age_ms(const struct gw_gateway *g, uint64_t prefix,
			      const struct fl_engine *e, int64_t now_ms)
{
	int64_t used_ms;

	if (!prefix)
		return -1;
	used_ms = pe_held_used_ms(
		&g->held, pe_held_key(prefix, e->entry.weights), e->hash);
	return used_ms ? now_ms - used_ms : -1;
}

static struct pc_candidate gw_candidate(const struct gw_gateway *g,
					const struct gw_place_request *request,
					const struct fl_engine *e,
					int64_t weights_age_ms, int64_t now_ms)
{
	const struct pc_request *prefix = &request->prefix;
	struct pe_share others = gw_collect_others(g, e->hash, now_ms);
	struct pc_candidate c = {
		.hash = e->hash,
		.running = e->running + others.running,
		.waiting_tokens = e->waiting_tokens + others.tokens,
		.slots = e->entry.slots,
		.region = e->region_number,
		.distance = gw_distance(g, e),
		.is_avoided = now_ms < e->avoid_until_ms || e->is_updating ||
			      fl_notice_is_heard(&e->notice, now_ms),
		.is_tried = gw_was_tried(request, e->hash),
		.weights = e->entry.weights,
		.weights_age_ms = weights_age_ms,
	};

	c.prefix_age_ms = gw_used_age_ms(g, prefix->prefix_hash, e, now_ms);
	c.root_age_ms = gw_used_age_ms(g, prefix->root_hash, e, now_ms);
	c.holds_prefix =
		c.prefix_age_ms >= 0 && c.prefix_age_ms < g->prefix_kept_ms;
	c.holds_root = c.root_age_ms >= 0 && c.root_age_ms < g->prefix_kept_ms;
	return c;
}

uint64_t gw_store_hash(const struct ca_service *store)
{
	return XXH3_64bits(store->store_address, strlen(store->store_address));
}

/* Returns whether the store holds the prefix under the newest weights. */
static struct pc_store gw_describe_store(const struct gw_gateway *g,
					 const struct gw_place_request *request,
					 const struct ca_service *store,
					 const struct gw_wanted *wanted)
{
	uint64_t weights = wanted ? wanted->version : 0;
	uint64_t hash = gw_store_hash(store);
	const char *region = gw_region_of(&g->settings, store->store_zone);

	return (struct pc_store){
		.region = g_quark_from_string(region),
		.holds_prefix = pe_held_used_ms(
			&g->held,
			pe_held_key(request->prefix.prefix_hash, weights),
			hash),
		.holds_root = pe_held_used_ms(
			&g->held,
			pe_held_key(request->prefix.root_hash, weights), hash),
	};
}

/*
 * Keeps engines for short prompts. They count as avoided for long ones, which
 * excludes them from the owners of long prefixes, too.
 */
static void gw_separate(const struct gw_place_request *request,
			struct pc_candidate *candidates,
			struct fl_engine **engines, uint32_t count)
{
	struct sp_engine table[GW_MAX_CANDIDATES];
	uint32_t indexes[GW_MAX_CANDIDATES];
	uint32_t usable = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (candidates[i].is_avoided)
			continue;
		table[usable] = (struct sp_engine){
			engines[i]->hash,
			g_quark_from_string(engines[i]->entry.zone), false
		};
		indexes[usable++] = i;
	}
	sp_choose_kept(table, usable, request->kept_share);
	for (uint32_t i = 0; i < usable; i++) {
		struct pc_candidate *c = &candidates[indexes[i]];

		if (request->kind == SP_LONG)
			c->is_avoided = table[i].is_kept;
		else
			c->is_less_suited = !table[i].is_kept;
	}
}

/* The earlier of two times, of which 0 is none. */
static int64_t gw_earlier(int64_t a_ms, int64_t b_ms)
{
	return a_ms && a_ms < b_ms ? a_ms : b_ms;
}

struct gw_place_answer gw_place(const struct gw_gateway *g,
				const struct gw_place_request *request,
				int64_t now_ms)
{
	struct pc_candidate candidates[GW_MAX_CANDIDATES];
	struct fl_engine *engines[GW_MAX_CANDIDATES];
	const struct gw_wanted *wanted =
		request->model ? gw_weights_of(&g->weights, request->model)
			       : NULL;
	const struct ca_service *store =
		request->prefix.prefix_hash ? ca_find_store(g->catalog) : NULL;
	struct pc_request prefix = request->prefix;
	struct pc_store stored;
	struct pc_answer answer;
	int64_t pause_end_ms = 0;
	uint32_t count = 0;

	fl_for_each (&g->fleet, e) {
		int64_t age_ms =
			gw_weights_age_ms(wanted, e->entry.weights, now_ms);

		if (count == GW_MAX_CANDIDATES ||
		    !gw_can_run(g, request, e, age_ms))
			continue;
		if (fl_notice_use(&e->notice, now_ms) == FL_PAUSED) {
			pause_end_ms = gw_earlier(pause_end_ms,
						  e->notice.pause_until_ms);
			continue;
		}
		if (rj_is_backing_off(&e->rejections, now_ms)) {
			pause_end_ms = gw_earlier(
				pause_end_ms, e->rejections.backoff_until_ms);
			continue;
		}
		engines[count] = e;
		candidates[count++] =
			gw_candidate(g, request, e, age_ms, now_ms);
	}
	/* One that was tried may be well again any time. */
	if (count)
		pause_end_ms = 0;
	if (store) {
		stored = gw_describe_store(g, request, store, wanted);
		prefix.store = &stored;
	}
	if (request->kept_share > 0.0)
		gw_separate(request, candidates, engines, count);
	answer = pc_place(&prefix, candidates, count);
	return (struct gw_place_answer){
		.engine = answer.chosen < 0 ? NULL : engines[answer.chosen],
		.pause_end_ms = pause_end_ms,
		.source = answer.source < 0 ? NULL : engines[answer.source],
		.store = store,
		.is_from_store = answer.is_from_store,
		.is_to_store = answer.is_to_store,
		.read_tokens = answer.prefill_tokens,
		.cost_ms = answer.cost_ms,
		.mean_wait_ms = answer.mean_wait_ms,
		.has_room = answer.has_room,
		.kept_share = request->kept_share,
		.free_slots = answer.free_slots,
	};
}
