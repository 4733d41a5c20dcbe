#include "placement/pu.h"

/* The prediction ignores the steps of running requests, which take about the
 * same time again under full load. */
#define PU_TARGET_FRACTION 0.6
/* Priorities per class; lower ranks share the last one. */
#define PU_RANKS_PER_CLASS (PU_PRIORITIES / 2)
/* Late requests run in idle gaps: however many wait, a new urgent request is
 * delayed by at most the prompt chunk that is being prefilled. */
#define PU_LATE_WEIGHT 0.05

struct pu_urgency pu_decide(double predicted_ms, int64_t target_ms,
			    uint32_t rank)
{
	bool is_late = target_ms &&
		       predicted_ms > PU_TARGET_FRACTION * (double)target_ms;
	uint32_t rank_in_class =
		rank < PU_RANKS_PER_CLASS ? rank : PU_RANKS_PER_CLASS - 1;

	return (struct pu_urgency){
		.priority = is_late ? PU_RANKS_PER_CLASS + rank_in_class
				    : rank_in_class,
		.is_late = is_late,
		.weight = is_late ? PU_LATE_WEIGHT : 1.0,
	};
}
