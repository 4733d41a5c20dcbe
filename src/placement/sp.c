#include "placement/sp.h"

#include <math.h>
#include <stdlib.h>

#define MAX(a, b) ((a) > (b) ? (a) : (b))
#define MIN(a, b) ((a) < (b) ? (a) : (b))

/* A pool without short requests for that long is shared by all again. */
#define SP_IDLE_MS 10000
/* Requests are spread for so long after a crash with a known cause: the next
 * causes are proven within some seconds of theirs. */
#define SP_SPREAD_MS 15000
/* Time constant of the demand: longer than a burst, so that a burst of one kind
 * does not take the engines of the other. */
#define SP_MEAN_MS 12000.0
/* Demand of a shorter time says little. */
#define SP_MIN_COVERED_MS 1500.0
/* Kept engines are to be used to this part, so that a burst finds slots. */
#define SP_SLOT_UTILIZATION 0.65
/* Part of the time in which engines for long prompts prefill: the tighter the
 * target of these against the time that one takes, the less. A prompt meets
 * its target behind some others, but their lengths differ by a factor of ten.
 */
#define SP_MIN_PREFILL_UTILIZATION 0.3
#define SP_MAX_PREFILL_UTILIZATION 0.7
#define SP_PREFILLS_IN_TARGET	   4.0
#define SP_PREFILL_TOKENS_PER_MS   40.0
/* Bounds of the kept part; the rest is for long prompts. */
#define SP_MIN_SHARE 0.15
#define SP_MAX_SHARE 0.6
/* Time that a request holds its slot: the answers to short prompts are long. It
 * weighs the wait for a slot against the other costs. */
#define SP_SHORT_SLOT_MS 1500.0
#define SP_LONG_SLOT_MS	 500.0
/* Late short requests must leave slots to those that are not late. */
#define SP_LATE_FILL 0.7
/* A request that waits is decided on again after this time, or later if more
 * than so many wait: some 180 decisions a second at most. */
#define SP_TRY_MIN_MS	 100.0
#define SP_TRY_MAX_MS	 250.0
#define SP_TRIES_AT_ONCE 32
/* Age of what a host knows of the load of others. */
#define SP_ROOM_PERIOD_MS 300.0
/* The share changes in steps, and only when the demand is beyond the next one,
 * as a change moves prefixes to other engines. */
#define SP_STEP 0.05

enum sp_kind sp_kind_of(uint32_t prompt_tokens, int64_t target_ms,
			int64_t loosest_target_ms)
{
	if (prompt_tokens > SP_SHORT_TOKENS)
		return SP_LONG;
	return target_ms && target_ms < loosest_target_ms ? SP_SHORT : SP_OTHER;
}

/* Moves both averages to @now_ms; they cover at most the pool's life. */
static void sp_advance(struct sp_pool *pool, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - pool->mean_ms);
	double part;

	if (!pool->mean_ms || elapsed_ms <= 0.0) {
		pool->mean_ms = MAX(pool->mean_ms, now_ms);
		return;
	}
	part = exp(-elapsed_ms / SP_MEAN_MS);
	pool->covered_ms = part * pool->covered_ms + (1.0 - part) * SP_MEAN_MS;
	pool->running_ms = part * pool->running_ms +
			   (1.0 - part) * SP_MEAN_MS * pool->running;
	pool->long_tokens *= part;
	pool->long_count *= part;
	pool->mean_ms = now_ms;
}

void sp_arrived(struct sp_pool *pool, enum sp_kind kind, int64_t now_ms)
{
	if (kind == SP_SHORT)
		pool->short_ms = now_ms;
}

void sp_started(struct sp_pool *pool, enum sp_kind kind, uint32_t read_tokens,
		int64_t target_ms, int64_t now_ms)
{
	sp_advance(pool, now_ms);
	if (kind == SP_SHORT)
		pool->running++;
	else if (kind == SP_LONG) {
		pool->long_tokens += read_tokens;
		pool->long_count += 1.0;
		pool->long_target_ms = target_ms;
	}
}

static double sp_prefill_utilization(const struct sp_pool *pool)
{
	double ms, part;

	if (pool->long_count <= 0.0 || !pool->long_target_ms)
		return SP_MAX_PREFILL_UTILIZATION;
	ms = pool->long_tokens / pool->long_count / SP_PREFILL_TOKENS_PER_MS;
	part = 1.0 - SP_PREFILLS_IN_TARGET * ms / (double)pool->long_target_ms;
	return fmin(fmax(part, SP_MIN_PREFILL_UTILIZATION),
		    SP_MAX_PREFILL_UTILIZATION);
}

void sp_ended(struct sp_pool *pool, enum sp_kind kind, int64_t now_ms)
{
	sp_advance(pool, now_ms);
	if (kind == SP_SHORT)
		pool->running--;
}

bool sp_is_separated(const struct sp_pool *pool, int64_t crash_ms,
		     int64_t now_ms)
{
	if (crash_ms && now_ms - crash_ms < SP_SPREAD_MS)
		return false;
	return pool->short_ms && now_ms - pool->short_ms < SP_IDLE_MS;
}

double sp_kept_share(struct sp_pool *pool, uint32_t hosts, uint32_t engines,
		     uint64_t slots, int64_t now_ms)
{
	double shorts = 0.0, longs = 0.0, wanted = SP_MIN_SHARE;

	sp_advance(pool, now_ms);
	if (engines && slots && pool->covered_ms >= SP_MIN_COVERED_MS) {
		shorts = pool->running_ms / pool->covered_ms * hosts * engines /
			 ((double)slots * SP_SLOT_UTILIZATION);
		longs = pool->long_tokens / pool->covered_ms * hosts /
			(SP_PREFILL_TOKENS_PER_MS *
			 sp_prefill_utilization(pool));
		wanted = shorts / fmax(engines, shorts + longs);
	}
	wanted = fmin(fmax(wanted, SP_MIN_SHARE), SP_MAX_SHARE);
	if (!pool->share)
		pool->share = wanted;
	while (wanted > pool->share + SP_STEP)
		pool->share += SP_STEP;
	while (wanted < pool->share - SP_STEP)
		pool->share -= SP_STEP;
	return pool->share;
}

static bool sp_take_room(struct sp_pool *pool, uint32_t free_slots,
			 uint32_t hosts, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - pool->room_ms);

	if (elapsed_ms > SP_ROOM_PERIOD_MS)
		elapsed_ms = SP_ROOM_PERIOD_MS;
	pool->room += elapsed_ms / SP_ROOM_PERIOD_MS * free_slots / hosts;
	pool->room = fmin(pool->room, 1.0 + (double)free_slots / hosts);
	pool->room_ms = now_ms;
	if (pool->room < 1.0)
		return false;
	pool->room -= 1.0;
	return true;
}

double sp_slot_ms(enum sp_kind kind)
{
	return kind == SP_LONG ? SP_LONG_SLOT_MS : SP_SHORT_SLOT_MS;
}

double sp_late_fill(enum sp_kind kind)
{
	return kind == SP_LONG ? 1.0 : SP_LATE_FILL;
}

enum sp_action sp_decide(struct sp_pool *pool, const struct sp_wait *wait,
			 int64_t now_ms)
{
	bool may_send = wait->has_room;

	if (may_send && wait->kind != SP_LONG)
		may_send = sp_take_room(pool, wait->free_slots, wait->hosts,
					now_ms);
	if (may_send)
		return SP_SEND;
	if (!wait->may_wait || (wait->until_ms && now_ms >= wait->until_ms))
		return SP_REFUSE;
	return SP_WAIT;
}

int64_t sp_next_try_ms(uint32_t waiting, double random, int64_t now_ms,
		       int64_t until_ms)
{
	double ms = SP_TRY_MIN_MS + random * (SP_TRY_MAX_MS - SP_TRY_MIN_MS);

	if (waiting > SP_TRIES_AT_ONCE)
		ms *= (double)waiting / SP_TRIES_AT_ONCE;
	/* What is not sent by then is refused at once. */
	return MIN((int64_t)ms, MAX(until_ms - now_ms, 0));
}

int64_t sp_wait_until_ms(int64_t now_ms, int64_t deadline_ms)
{
	return now_ms + (deadline_ms - now_ms) / 2;
}

static uint64_t sp_rank(uint64_t hash)
{
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53ULL;
	hash ^= hash >> 29;
	hash *= 0xff51afd7ed558ccdULL;
	return hash ^ hash >> 32;
}

static int sp_compare(const void *a, const void *b)
{
	const struct sp_engine *left = *(const struct sp_engine *const *)a;
	const struct sp_engine *right = *(const struct sp_engine *const *)b;
	uint64_t x = sp_rank(left->hash), y = sp_rank(right->hash);

	if (left->zone != right->zone)
		return left->zone < right->zone ? -1 : 1;
	return x < y ? -1 : x > y;
}

void sp_choose_kept(struct sp_engine *engines, uint32_t count, double share)
{
	struct sp_engine **order = calloc(count, sizeof(*order));
	uint32_t first = 0;

	if (!order)
		abort();
	for (uint32_t i = 0; i < count; i++)
		order[i] = &engines[i];
	qsort(order, count, sizeof(*order), sp_compare);
	while (first < count) {
		uint32_t end = first, kept;

		while (end < count && order[end]->zone == order[first]->zone)
			end++;
		kept = (uint32_t)lround((end - first) * share);
		for (uint32_t i = first; i < end; i++)
			order[i]->is_kept = i - first < kept;
		first = end;
	}
	free(order);
}
