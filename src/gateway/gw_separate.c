#include "gateway/gw_separate.h"

#include <string.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "placement/pu.h"

/* Requests that wait at a host, each with its body of some KB. */
#define GW_MAX_HELD 512
/*
 * Retry-After of a request that found no room: by then those that wait have
 * been sent or given up; spread so that callers do not return as one wave.
 */
#define GW_NO_ROOM_RETRY_MIN_MS 500
#define GW_NO_ROOM_RETRY_MAX_MS 2500

MT_COUNTER(gw_held, "balsampin_gateway_held_total",
	   "requests that waited for room at an engine")
MT_GAUGE(gw_holding, "balsampin_gateway_holding",
	 "requests that wait for room at an engine")
MT_COUNTER(gw_no_room, "balsampin_gateway_no_room_total",
	   "requests refused because no engine had room for a late one")

void gw_separate_init(struct gw_gateway *g)
{
	g->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void gw_separate_finish(struct gw_gateway *g)
{
	g_hash_table_destroy(g->pools);
	g->pools = NULL;
}

static struct sp_pool *gw_pool_of(const struct gw_request *r)
{
	GHashTable *pools = r->gateway->pools;
	struct sp_pool *pool;

	if (!r->in.model || !r->service->is_model)
		return NULL;
	pool = g_hash_table_lookup(pools, r->service->name);
	if (pool)
		return pool;
	pool = g_new0(struct sp_pool, 1);
	g_hash_table_insert(pools, g_strdup(r->service->name), pool);
	return pool;
}

static uint32_t gw_host_count(const struct gw_request *r)
{
	return gw_peers_count(r->gateway) + 1;
}

/* Requests of this size that fit the memory of an engine. */
static uint32_t gw_max_running(const struct gw_request *r)
{
	uint64_t tokens = r->in.prompt_tokens + r->in.max_output_tokens;
	uint64_t fit = r->service->memory_tokens / MAX(tokens, 1);

	return MAX(fit, SP_MIN_RUNNING);
}

void gw_separate_classify(struct gw_request *r)
{
	const struct gw_gateway *g = r->gateway;
	struct sp_pool *pool = gw_pool_of(r);
	int64_t now_ms = ck_now_ms();

	if (!pool)
		return;
	r->kind = sp_kind_of(r->in.prompt_tokens, r->terms.route->target_ms,
			     r->service->loosest_target_ms);
	sp_arrived(pool, r->kind, now_ms);
	if (!sp_is_separated(pool, g->cause_crash_ms, now_ms))
		return;
	r->prefix.slot_ms = sp_slot_ms(r->kind);
	r->prefix.late_fill = sp_late_fill(r->kind);
	r->prefix.max_running = gw_max_running(r);
}

double gw_separate_kept_share(const struct gw_request *r)
{
	const struct gw_gateway *g = r->gateway;
	struct sp_pool *pool = gw_pool_of(r);
	int64_t now_ms = ck_now_ms();
	uint64_t slots = 0;
	uint32_t engines = 0;

	if (!pool || !sp_is_separated(pool, g->cause_crash_ms, now_ms))
		return 0.0;
	fl_for_each (&g->fleet, e) {
		if (strcmp(e->entry.service, r->service->name) != 0 ||
		    e->is_gone || e->is_updating)
			continue;
		slots += e->entry.slots;
		engines++;
	}
	return sp_kept_share(pool, gw_host_count(r), engines, slots, now_ms);
}

void gw_separate_started(struct gw_request *r, uint32_t read_tokens)
{
	struct sp_pool *pool = gw_pool_of(r);

	if (!pool)
		return;
	r->is_counted_running = true;
	sp_started(pool, r->kind, read_tokens, r->terms.route->target_ms,
		   ck_now_ms());
}

void gw_separate_ended(struct gw_request *r)
{
	if (r->is_counted_running)
		sp_ended(gw_pool_of(r), r->kind, ck_now_ms());
	r->is_counted_running = false;
}

static void gw_on_hold_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	gw_request_place(w->data);
}

static void gw_log_held(const struct gw_request *r,
			const struct gw_place_answer *answer)
{
	char predicted[24], free_slots[12], left[24];

	g_snprintf(predicted, sizeof(predicted), "%.0f", answer->cost_ms);
	g_snprintf(free_slots, sizeof(free_slots), "%u", answer->free_slots);
	g_snprintf(left, sizeof(left), "%" G_GINT64_FORMAT,
		   r->deadline_ms - ck_now_ms());
	lg_info("request waits for room at an engine", "event", "request_held",
		"request", r->in.attempt ? r->in.attempt : "", "engine",
		answer->engine->entry.id, "predicted_ms", predicted,
		"free_slots", free_slots, "left_ms", left, NULL);
}

static void gw_hold(struct gw_request *r, const struct gw_place_answer *answer)
{
	struct gw_gateway *g = r->gateway;
	int64_t next_ms;

	if (!r->held_until_ms) {
		r->held_until_ms =
			sp_wait_until_ms(ck_now_ms(), r->deadline_ms);
		g->held_requests++;
		mt_add(&gw_held, 1);
		mt_set(&gw_holding, g->held_requests);
		gw_log_held(r, answer);
	}
	next_ms = sp_next_try_ms(g->held_requests, g_random_double(),
				 ck_now_ms(), r->held_until_ms);
	ev_timer_init(&r->hold_timer, gw_on_hold_timer, next_ms / 1000.0, 0.0);
	r->hold_timer.data = r;
	ev_timer_start(g->kernel.loop, &r->hold_timer);
}

void gw_separate_release(struct gw_request *r)
{
	ev_timer_stop(r->gateway->kernel.loop, &r->hold_timer);
	if (!r->held_until_ms)
		return;
	r->held_until_ms = 0;
	r->gateway->held_requests--;
	mt_set(&gw_holding, r->gateway->held_requests);
}

/* Whether the first token is expected after the target. */
static bool gw_is_late(const struct gw_request *r,
		       const struct gw_place_answer *answer)
{
	int64_t target_ms = r->terms.route->target_ms;
	int64_t left_ms = target_ms - (ck_now_ms() - r->arrived_ms);

	return pu_decide(answer->cost_ms, target_ms ? MAX(left_ms, 1) : 0,
			 answer->mean_wait_ms, r->terms.priority)
		.is_late;
}

bool gw_separate_holds(struct gw_request *r,
		       const struct gw_place_answer *answer)
{
	const struct gw_gateway *g = r->gateway;
	struct sp_pool *pool = gw_pool_of(r);
	int64_t now_ms = ck_now_ms();
	struct sp_wait wait = {
		.kind = r->kind,
		.has_room = answer->has_room,
		.free_slots = answer->free_slots,
		.hosts = gw_host_count(r),
		.until_ms = r->held_until_ms,
		.may_wait = !g->stop_ms && (r->held_until_ms ||
					    g->held_requests < GW_MAX_HELD),
	};

	if (!pool || r->has_begun || r->may_have_begun ||
	    !sp_is_separated(pool, g->cause_crash_ms, now_ms) ||
	    !gw_is_late(r, answer)) {
		gw_separate_release(r);
		return false;
	}
	switch (sp_decide(pool, &wait, now_ms)) {
	case SP_SEND:
		gw_separate_release(r);
		return false;
	case SP_WAIT:
		gw_hold(r, answer);
		return true;
	default:
		mt_add(&gw_no_room, 1);
		r->retry_after_ms = g_random_int_range(GW_NO_ROOM_RETRY_MIN_MS,
						       GW_NO_ROOM_RETRY_MAX_MS);
		gw_request_give_up(r, g->stop_ms ? "stopping" : "no_room");
		return true;
	}
}
