/*
 * gw_admit - admission of requests: the decision and the terms.
 *
 * Overview
 *	A plain function over the configuration in force, its age, and the
 *	caller's headers. Only a host whose configuration is fresh answers "not
 *	found" or "unknown key"; a host with an older one answers that it can't
 *	serve now.
 *
 *	A key may have been revoked since the configuration was last known to be
 *	the newest. Requests with a key are therefore served only up to a
 *	configuration age that keeps within the bound for revocations.
 *
 * Use
 *	gw_admit(&(struct gw_admit_input){ ... }, &terms);
 */
#ifndef GW_ADMIT_H
#define GW_ADMIT_H

#include "catalog/ca.h"
#include "dialect/dl.h"

/**
 * struct gw_admit_input
 * @catalog: NULL before the first configuration.
 * @config_age_ms: since @catalog was known to be the newest.
 * @config_ms: bound within which a newer configuration is in force.
 * @revoke_ms: bound within which a revoked key is refused.
 * @host: header field of the request, "" if absent.
 * @target: path and query.
 * @request: parsed headers of the caller.
 */
struct gw_admit_input {
	const struct ca_catalog *catalog;
	int64_t config_age_ms;
	int64_t config_ms;
	int64_t revoke_ms;
	const char *host;
	const char *target;
	const struct dl_request *request;
};

/** enum gw_verdict - result of the admission. */
enum gw_verdict {
	GW_ADMITTED = 0,
	GW_NO_ROUTE,
	GW_UNKNOWN_KEY,
	GW_NO_CONFIG,
	GW_STALE_CONFIG
};

/**
 * struct gw_terms - of an admitted request.
 * @team: NULL for public routes.
 * @priority: 0 is the most urgent.
 */
struct gw_terms {
	const struct ca_route *route;
	const struct ca_team *team;
	uint32_t priority;
};

enum gw_verdict gw_admit(const struct gw_admit_input *input,
			 struct gw_terms *terms);

/**
 * gw_max_key_age_ms() - greatest configuration age at which requests with a key
 * are served.
 */
int64_t gw_max_key_age_ms(int64_t revoke_ms);

/**
 * gw_startup_wait_ms() - how long a request may wait for the first read of the
 * store; 0: proceed at once.
 *
 * Load: all hosts lose power and start at the same moment, and callers return
 * at once. The first read takes less time than a refused caller waits before
 * its retry. An unreachable store is detected within that time, and from then
 * on requests are refused at once.
 * @has_read: configuration and upstreams are known.
 * @up_ms: since the start of the process.
 * @early: requests that wait already.
 */
int64_t gw_startup_wait_ms(bool has_read, int64_t up_ms, uint32_t early);

const char *gw_verdict_name(enum gw_verdict verdict);

#endif
