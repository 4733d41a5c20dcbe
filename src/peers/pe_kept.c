#include "peers/pe_kept.h"

#include <glib.h>

/* Fraction of engine memory left for prefixes that no request is using. */
#define PE_KEPT_FRACTION 0.7
/* Number of updates over which the token rate is averaged. */
#define PE_KEPT_SMOOTHING 3.0

int64_t pe_kept_update(struct pe_kept *kept, const struct pe_kept_input *input)
{
	double tokens_per_ms =
		(double)input->sent_tokens * input->hosts / input->period_ms;

	kept->_tokens_per_ms +=
		(tokens_per_ms - kept->_tokens_per_ms) / PE_KEPT_SMOOTHING;
	if (kept->_tokens_per_ms <= 0)
		return PE_KEPT_MAX_MS;
	return CLAMP(PE_KEPT_FRACTION * input->memory_tokens /
			     kept->_tokens_per_ms,
		     PE_KEPT_MIN_MS, PE_KEPT_MAX_MS);
}
