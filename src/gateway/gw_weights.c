#include "gateway/gw_weights.h"

#include <string.h>

/*
 * The request time is unknown for versions requested before the start or during
 * a long time without updates. Older weights then stay in use for this time,
 * less the margin of gw_place.c, which is what a restart of all hosts needs to
 * bring the first engines to the version.
 */
#define GW_UNKNOWN_AGE_LEFT_MS 5000

void gw_weights_init(struct gw_weights *weights)
{
	weights->_wanted = g_array_new(FALSE, TRUE, sizeof(struct gw_wanted));
}

void gw_weights_finish(struct gw_weights *weights)
{
	g_array_free(weights->_wanted, TRUE);
	weights->_wanted = NULL;
}

static struct gw_wanted *gw_find_wanted(const struct gw_weights *weights,
					const char *model)
{
	for (uint32_t i = 0; i < weights->_wanted->len; i++) {
		struct gw_wanted *wanted =
			&g_array_index(weights->_wanted, struct gw_wanted, i);

		if (!strcmp(wanted->model, model))
			return wanted;
	}
	return NULL;
}

const struct gw_wanted *gw_weights_of(const struct gw_weights *weights,
				      const char *model)
{
	return gw_find_wanted(weights, model);
}

int64_t gw_weights_requested_ms(int64_t fresh_ms, int64_t bound_ms,
				int64_t started_ms, int64_t now_ms)
{
	int64_t max_age_ms = MAX(bound_ms - GW_UNKNOWN_AGE_LEFT_MS, 0);

	return fresh_ms ? MAX(fresh_ms, now_ms - max_age_ms)
			: started_ms - max_age_ms;
}

bool gw_weights_add_version(struct gw_weights *weights, const char *model,
			    uint64_t version, int64_t requested_ms)
{
	struct gw_wanted *wanted = gw_find_wanted(weights, model);

	if (wanted && version <= wanted->version)
		return false;
	if (!wanted) {
		g_array_set_size(weights->_wanted, weights->_wanted->len + 1);
		wanted = &g_array_index(weights->_wanted, struct gw_wanted,
					weights->_wanted->len - 1);
		g_strlcpy(wanted->model, model, sizeof(wanted->model));
	}
	if (wanted->version_count == GW_MAX_WANTED_VERSIONS) {
		memmove(wanted->versions, wanted->versions + 1,
			(GW_MAX_WANTED_VERSIONS - 1) *
				sizeof(wanted->versions[0]));
		wanted->version_count--;
	}
	wanted->versions[wanted->version_count++] =
		(struct gw_wanted_version){ version, requested_ms };
	wanted->version = version;
	return true;
}

int64_t gw_weights_age_ms(const struct gw_wanted *wanted, uint64_t version,
			  int64_t now_ms)
{
	if (!wanted)
		return 0;
	for (uint32_t i = 0; i < wanted->version_count; i++)
		if (wanted->versions[i].version > version)
			return MAX(now_ms - wanted->versions[i].requested_ms,
				   1);
	return 0;
}
