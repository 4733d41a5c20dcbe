#include "placement/pu.h"

/* The prediction ignores the steps of running requests, which take about the
 * same time again under full load: when the prompts that wait at the engines
 * take PU_FULL_WAIT_MS to prefill. */
#define PU_IDLE_TARGET_FRACTION 0.9
#define PU_FULL_TARGET_FRACTION 0.6
#define PU_FULL_WAIT_MS		150.0
/* Priorities per class; lower ranks share the last one. */
#define PU_RANKS_PER_CLASS (PU_PRIORITIES / 2)
/* Late requests run in idle gaps: however many wait, a new urgent request is
 * delayed by at most the prompt chunk that is being prefilled. */
#define PU_LATE_WEIGHT 0.05

static double pu_target_fraction(double mean_wait_ms)
{
	double load = mean_wait_ms < PU_FULL_WAIT_MS
			      ? mean_wait_ms / PU_FULL_WAIT_MS
			      : 1.0;

	return PU_IDLE_TARGET_FRACTION -
	       load * (PU_IDLE_TARGET_FRACTION - PU_FULL_TARGET_FRACTION);
}

struct pu_urgency pu_decide(double predicted_ms, int64_t target_ms,
			    double mean_wait_ms, uint32_t rank)
{
	double fraction = pu_target_fraction(mean_wait_ms);
	bool is_late = target_ms && predicted_ms > fraction * (double)target_ms;
	uint32_t rank_in_class =
		rank < PU_RANKS_PER_CLASS ? rank : PU_RANKS_PER_CLASS - 1;

	return (struct pu_urgency){
		.priority = is_late ? PU_RANKS_PER_CLASS + rank_in_class
				    : rank_in_class,
		.is_late = is_late,
		.weight = is_late ? PU_LATE_WEIGHT : 1.0,
	};
}
