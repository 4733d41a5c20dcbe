/*
 * gw_weights - the wanted weights of each model and when they were requested.
 *
 * Overview
 *	Each requested version has a bound of its own, after which no request
 *	may begin on older weights. The list therefore keeps when each of the
 *	last versions was requested.
 *
 *	A version that a host finds in its first read of the store was requested
 *	at an unknown time before the start of the process, however late that
 *	read is; it is taken to be old, so that the bound holds. A version that
 *	appears afterwards was requested after the host last knew the table to
 *	be without it, which is a while ago if an update was lost. This also
 *	holds for the first version of a model.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	gw_weights_init(&weights);
 *	gw_weights_add_version(&weights, "m", 2, gw_weights_requested_ms(...));
 *	age_ms = gw_weights_age_ms(gw_weights_of(&weights, "m"), 1, now_ms);
 *	gw_weights_finish(&weights);
 */
#ifndef GW_WEIGHTS_H
#define GW_WEIGHTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "dialect/dl.h"

#define GW_MAX_WANTED_VERSIONS 16

/** struct gw_wanted_version - a version and when it was requested. */
struct gw_wanted_version {
	uint64_t version;
	int64_t requested_ms;
};

/**
 * struct gw_wanted - the version that engines of a model are to load.
 * @version: the newest.
 * @versions: the last versions, the oldest first.
 */
struct gw_wanted {
	char model[DL_ID_BYTES];
	uint64_t version;
	struct gw_wanted_version versions[GW_MAX_WANTED_VERSIONS];
	uint32_t version_count;
};

/** struct gw_weights - the wanted weights of all models. */
struct gw_weights {
	GArray *_wanted;
};

void gw_weights_init(struct gw_weights *weights);
void gw_weights_finish(struct gw_weights *weights);

/** gw_weights_of() - entry of a model, NULL if no version was requested. */
const struct gw_wanted *gw_weights_of(const struct gw_weights *weights,
				      const char *model);

/**
 * gw_weights_requested_ms() - assumed request time of a version found now.
 * @fresh_ms: when the table was last known to be without it; 0 if this process
 *	never read the table before.
 * @bound_ms: no request begins on older weights after that.
 * @started_ms: start of this process.
 */
int64_t gw_weights_requested_ms(int64_t fresh_ms, int64_t bound_ms,
				int64_t started_ms, int64_t now_ms);

/**
 * gw_weights_add_version() - record that @version was requested; false if it is
 * not newer.
 */
bool gw_weights_add_version(struct gw_weights *weights, const char *model,
			    uint64_t version, int64_t requested_ms);

/**
 * gw_weights_age_ms() - time since the first version after @version was
 * requested; 0 if none was. Every version has its own bound, so a newer one
 * does not reset it.
 */
int64_t gw_weights_age_ms(const struct gw_wanted *wanted, uint64_t version,
			  int64_t now_ms);

#endif
