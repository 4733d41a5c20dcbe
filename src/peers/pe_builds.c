#include "peers/pe_builds.h"

#include "peers/pe_begun.h"

/* Builds kept of a service; two are enough to infer nothing. */
#define PE_MAX_BUILDS 8
/* Nothing is inferred of a service beyond them. */
#define PE_MAX_SERVICES 4096

struct pe_build {
	uint64_t build;
	int64_t seen_ms;
};

struct pe_service {
	uint64_t service;
	struct pe_build builds[PE_MAX_BUILDS];
	uint32_t count;
};

void pe_builds_init(struct pe_builds *builds)
{
	*builds = (struct pe_builds){ ._services = g_hash_table_new_full(
					      g_int64_hash, g_int64_equal, NULL,
					      g_free) };
}

void pe_builds_finish(struct pe_builds *builds)
{
	if (builds->_services)
		g_hash_table_destroy(builds->_services);
	builds->_services = NULL;
}

static bool pe_is_recent(const struct pe_build *build, int64_t now_ms)
{
	return now_ms - build->seen_ms < PE_BEGUN_KEEP_MS;
}

/* Returns the slot of @build, else a free one or that seen longest ago. */
static struct pe_build *pe_build_slot(struct pe_service *service,
				      uint64_t build)
{
	struct pe_build *oldest = &service->builds[0];

	for (uint32_t i = 0; i < service->count; i++) {
		if (service->builds[i].build == build)
			return &service->builds[i];
		if (service->builds[i].seen_ms < oldest->seen_ms)
			oldest = &service->builds[i];
	}
	return service->count < PE_MAX_BUILDS
		       ? &service->builds[service->count++]
		       : oldest;
}

void pe_builds_see(struct pe_builds *builds, uint64_t service, uint64_t build,
		   int64_t now_ms)
{
	struct pe_service *s = g_hash_table_lookup(builds->_services, &service);

	if (!s) {
		if (g_hash_table_size(builds->_services) >= PE_MAX_SERVICES)
			return;
		s = g_new0(struct pe_service, 1);
		s->service = service;
		g_hash_table_insert(builds->_services, &s->service, s);
	}
	*pe_build_slot(s, build) = (struct pe_build){ build, now_ms };
}

void pe_builds_follow(struct pe_builds *builds, int64_t fresh_ms,
		      int64_t now_ms)
{
	bool has_gap = !fresh_ms || now_ms - fresh_ms > PE_BUILDS_GAP_MS ||
		       (builds->_followed_ms &&
			now_ms - builds->_followed_ms > PE_BUILDS_GAP_MS);

	if (has_gap)
		builds->_since_ms = 0;
	else if (!builds->_since_ms)
		builds->_since_ms = now_ms;
	builds->_fresh_ms = fresh_ms;
	builds->_followed_ms = now_ms;
}

static bool pe_has_known_all(const struct pe_builds *builds, int64_t now_ms)
{
	return builds->_since_ms &&
	       now_ms - builds->_since_ms >= PE_BEGUN_KEEP_MS &&
	       now_ms - builds->_followed_ms <= PE_BUILDS_GAP_MS &&
	       now_ms - builds->_fresh_ms <= PE_BUILDS_MAX_AGE_MS;
}

uint64_t pe_builds_infer(const struct pe_builds *builds, uint64_t service,
			 int64_t now_ms)
{
	const struct pe_service *s =
		g_hash_table_lookup(builds->_services, &service);
	uint64_t only = 0;
	uint32_t count = 0;

	if (!s || !pe_has_known_all(builds, now_ms))
		return 0;
	for (uint32_t i = 0; i < s->count; i++) {
		if (!pe_is_recent(&s->builds[i], now_ms))
			continue;
		only = s->builds[i].build;
		count++;
	}
	return count == 1 ? only : 0;
}

bool pe_builds_has_several(const struct pe_builds *builds, uint64_t service,
			   int64_t now_ms)
{
	const struct pe_service *s =
		g_hash_table_lookup(builds->_services, &service);
	uint32_t count = 0;

	for (uint32_t i = 0; s && i < s->count; i++)
		count += s->builds[i].build &&
			 pe_is_recent(&s->builds[i], now_ms);
	return count > 1;
}

void pe_builds_expire(struct pe_builds *builds, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, builds->_services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pe_service *s = value;
		bool is_recent = false;

		for (uint32_t i = 0; i < s->count; i++)
			is_recent |= pe_is_recent(&s->builds[i], now_ms);
		if (!is_recent)
			g_hash_table_iter_remove(&iter);
	}
}
