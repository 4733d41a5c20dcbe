#include "gateway/gw_admit.h"

#include <string.h>

/*
 * Margin within the bound for revocations: for the transfer to the engine, late
 * timers, and a feed that reports a change up to a second late.
 */
#define GW_REVOKE_MARGIN_MS 1200

/*
 * From the start of the process to the end of its first read of the store, also
 * if the store is slow; about the shortest time after which a refused caller
 * retries.
 */
#define GW_FIRST_READ_MS 400
/*
 * Requests held at the same time; one may have a body of some MB, most have
 * some KB.
 */
#define GW_MAX_EARLY 256

int64_t gw_max_key_age_ms(int64_t revoke_ms)
{
	return revoke_ms - GW_REVOKE_MARGIN_MS;
}

enum gw_verdict gw_admit(const struct gw_admit_input *input,
			 struct gw_terms *terms)
{
	bool is_fresh = input->config_age_ms < input->config_ms;

	memset(terms, 0, sizeof(*terms));
	if (!input->catalog)
		return GW_NO_CONFIG;
	terms->route =
		ca_find_route(input->catalog, input->host, input->target);
	if (!terms->route)
		return is_fresh ? GW_NO_ROUTE : GW_STALE_CONFIG;
	terms->priority = terms->route->priority;
	if (terms->route->is_public || !input->catalog->has_teams)
		return GW_ADMITTED;
	if (input->config_age_ms > gw_max_key_age_ms(input->revoke_ms))
		return GW_STALE_CONFIG;
	if (input->request->key)
		terms->team = ca_find_team(input->catalog, input->request->key);
	if (!terms->team)
		return is_fresh ? GW_UNKNOWN_KEY : GW_STALE_CONFIG;
	if (terms->team->priority >= 0)
		terms->priority = terms->team->priority;
	return GW_ADMITTED;
}

int64_t gw_startup_wait_ms(bool has_read, int64_t up_ms, uint32_t early)
{
	if (has_read || early >= GW_MAX_EARLY)
		return 0;
	return up_ms < GW_FIRST_READ_MS ? GW_FIRST_READ_MS - up_ms : 0;
}

const char *gw_verdict_name(enum gw_verdict verdict)
{
	static const char *const names[] = { "admitted", "no_route",
					     "unknown_key", "no_config",
					     "stale_config" };

	return names[verdict];
}
