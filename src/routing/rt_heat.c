#include "routing/rt_heat.h"

#include <glib.h>
#include <math.h>

/* All counts are scaled down when the weight of a request reaches this. */
#define RT_HEAT_MAX_WEIGHT (double)(1 << 20)
/* Scaling frees the slots whose count falls below this. */
#define RT_HEAT_MIN_COUNT 1e-3f

void rt_heat_init(struct rt_heat *heat, const struct rt_heat_desc *desc)
{
	heat->_sets = desc->sets ? desc->sets : RT_HEAT_DEFAULT_SETS;
	heat->_half_life_ms = desc->half_life_ms ? desc->half_life_ms
						 : RT_HEAT_DEFAULT_HALF_LIFE_MS;
	heat->_slots =
		g_new0(struct _rt_heat_slot, (gsize)heat->_sets * RT_HEAT_WAYS);
	heat->_landmark_ms = 0;
	heat->_weight = 1.0;
	heat->_total = 0.0;
}

void rt_heat_finish(struct rt_heat *heat)
{
	g_free(heat->_slots);
	heat->_slots = NULL;
}

static void rt_heat_scale(struct rt_heat *heat, double factor)
{
	uint32_t slots = heat->_sets * RT_HEAT_WAYS;

	for (uint32_t i = 0; i < slots; i++) {
		struct _rt_heat_slot *slot = &heat->_slots[i];

		slot->count *= (float)factor;
		slot->error *= (float)factor;
		if (slot->count < RT_HEAT_MIN_COUNT)
			*slot = (struct _rt_heat_slot){ 0 };
	}
	heat->_total *= factor;
}

static void rt_heat_advance(struct rt_heat *heat, int64_t now_ms)
{
	double half_lives;

	if (heat->_total == 0.0 || now_ms < heat->_landmark_ms)
		heat->_landmark_ms = now_ms;
	half_lives = (double)(now_ms - heat->_landmark_ms) /
		     (double)heat->_half_life_ms;
	heat->_weight = exp2(half_lives);
	if (heat->_weight < RT_HEAT_MAX_WEIGHT)
		return;
	rt_heat_scale(heat, 1.0 / heat->_weight);
	heat->_landmark_ms = now_ms;
	heat->_weight = 1.0;
}

static struct _rt_heat_slot *rt_heat_set(const struct rt_heat *heat,
					 uint64_t key)
{
	return &heat->_slots[(key & (heat->_sets - 1)) * RT_HEAT_WAYS];
}

static struct _rt_heat_slot *rt_heat_find(const struct rt_heat *heat,
					  uint64_t key)
{
	struct _rt_heat_slot *set = rt_heat_set(heat, key);

	for (uint32_t i = 0; i < RT_HEAT_WAYS; i++) {
		if (set[i].key == key && set[i].count > 0.0f)
			return &set[i];
	}
	return NULL;
}

static void rt_heat_insert(struct rt_heat *heat, uint64_t key)
{
	struct _rt_heat_slot *set = rt_heat_set(heat, key);
	struct _rt_heat_slot *lowest = &set[0];

	for (uint32_t i = 1; i < RT_HEAT_WAYS; i++) {
		if (set[i].count < lowest->count)
			lowest = &set[i];
	}
	lowest->key = key;
	lowest->error = lowest->count;
	lowest->count += (float)heat->_weight;
}

void rt_heat_count(struct rt_heat *heat, const struct px_chain *chain,
		   int64_t now_ms)
{
	uint32_t inserted = 0;

	rt_heat_advance(heat, now_ms);
	heat->_total += heat->_weight;
	for (uint32_t i = 0;
	     i < chain->count && inserted < RT_HEAT_MAX_NEW_KEYS; i++) {
		struct _rt_heat_slot *slot = rt_heat_find(heat, chain->keys[i]);

		if (slot) {
			slot->count += (float)heat->_weight;
			continue;
		}
		rt_heat_insert(heat, chain->keys[i]);
		inserted++;
	}
}

double rt_heat_share(const struct rt_heat *heat, uint64_t key)
{
	const struct _rt_heat_slot *slot = rt_heat_find(heat, key);
	double requests, all;

	if (!slot)
		return 0.0;
	requests = (double)(slot->count - slot->error) / heat->_weight;
	all = heat->_total / heat->_weight + RT_HEAT_PRIOR_REQUESTS;
	if (requests <= 1.0)
		return 0.0;
	return (requests - sqrt(requests)) / all;
}
