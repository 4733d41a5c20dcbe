#include "config/cr_source.h"

#include <string.h>

/* Rank of a source; lower is preferred. */
enum cr_rank {
	CR_OWN_HOST = 0,
	CR_OWN_ZONE_POLLER,
	CR_OWN_ZONE,
	CR_OWN_REGION,
	CR_ELSEWHERE,
	CR_OTHER_ROLES,
	CR_RANK_NONE = 16
};

struct cr_failures {
	uint32_t count;
	int64_t retry_at_ms;
};

void cr_sources_init(struct cr_sources *sources, const char *host,
		     const char *zone, const char *region)
{
	sources->host = host;
	sources->zone = zone;
	sources->region = region;
	sources->_failures =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void cr_sources_finish(struct cr_sources *sources)
{
	g_hash_table_destroy(sources->_failures);
	memset(sources, 0, sizeof(*sources));
}

static char *cr_source_key(enum mb_role role, const char *name)
{
	return g_strdup_printf("%s/%s", mb_role_name(role), name);
}

static bool cr_is_available(const struct cr_sources *sources,
			    const struct mb_member *m, int64_t now_ms)
{
	g_autofree char *key = cr_source_key(m->role, m->name);
	const struct cr_failures *failures =
		g_hash_table_lookup(sources->_failures, key);

	if (m->state == MB_DEAD || !m->rpc_port)
		return false;
	return !failures || now_ms >= failures->retry_at_ms;
}

static uint32_t cr_rank(const struct cr_sources *sources,
			const struct mb_member *m)
{
	uint32_t rank = m->role == MB_CONTROL ? 0 : CR_OTHER_ROLES;

	if (!strcmp(m->name, sources->host))
		return rank + CR_OWN_HOST;
	if (!strcmp(m->zone, sources->zone))
		return rank + CR_OWN_ZONE;
	if (!strcmp(m->region, sources->region))
		return rank + CR_OWN_REGION;
	return rank + CR_ELSEWHERE;
}

bool cr_polls_host_list(const struct mb_table *members, const char *zone,
			const char *host)
{
	const struct mb_member *m = NULL;
	uint32_t live_before = 0;

	while ((m = mb_next(members, MB_CONTROL, zone, m)) &&
	       live_before < CR_POLLERS_PER_ZONE) {
		if (!strcmp(m->name, host))
			return true;
		if (m->state == MB_ALIVE || m->state == MB_SUSPECT)
			live_before++;
	}
	return false;
}

/* struct cr_pick - best rank so far, with a random choice among ties. */
struct cr_pick {
	const struct mb_member *best;
	uint32_t rank;
	uint32_t tie_count;
	uint32_t random;
	bool ignore_location;
};

static void cr_consider_member(struct cr_pick *pick, const struct mb_member *m,
			       uint32_t rank)
{
	if (rank > pick->rank)
		return;
	pick->tie_count = rank < pick->rank ? 1 : pick->tie_count + 1;
	pick->rank = rank;
	if (pick->random % pick->tie_count == 0)
		pick->best = m;
}

static void cr_consider_role(struct cr_pick *pick,
			     const struct cr_sources *sources,
			     const struct mb_table *members, enum mb_role role,
			     uint64_t have_revision, int64_t now_ms)
{
	const struct mb_member *m = NULL;
	uint32_t rank;

	while ((m = mb_next(members, role, NULL, m))) {
		if (have_revision != UINT64_MAX &&
		    m->config_revision <= have_revision)
			continue;
		if (m == mb_self((struct mb_table *)members) ||
		    !cr_is_available(sources, m, now_ms))
			continue;
		rank = pick->ignore_location ? CR_ELSEWHERE
					     : cr_rank(sources, m);
		if (have_revision == UINT64_MAX && rank == CR_OWN_ZONE &&
		    cr_polls_host_list(members, sources->zone, m->name))
			rank = CR_OWN_ZONE_POLLER;
		cr_consider_member(pick, m, rank);
	}
}

const struct mb_member *cr_source_newer(const struct cr_sources *sources,
					const struct mb_table *members,
					uint64_t have_revision, uint32_t random,
					int64_t now_ms)
{
	static const enum mb_role roles[] = { MB_CONTROL, MB_ENTRY, MB_INDEX };
	struct cr_pick pick = { .rank = CR_RANK_NONE, .random = random };

	for (uint32_t i = 0; i < G_N_ELEMENTS(roles); i++)
		cr_consider_role(&pick, sources, members, roles[i],
				 have_revision, now_ms);
	return pick.best;
}

const struct mb_member *cr_source_any(const struct cr_sources *sources,
				      const struct mb_table *members,
				      bool ignore_location, uint32_t random,
				      int64_t now_ms)
{
	struct cr_pick pick = { .rank = CR_RANK_NONE,
				.random = random,
				.ignore_location = ignore_location };

	cr_consider_role(&pick, sources, members, MB_CONTROL, UINT64_MAX,
			 now_ms);
	return pick.best;
}

void cr_source_failed(struct cr_sources *sources, enum mb_role role,
		      const char *name, int64_t now_ms)
{
	char *key = cr_source_key(role, name);
	struct cr_failures *failures =
		g_hash_table_lookup(sources->_failures, key);
	int64_t wait_ms = CR_FIRST_BACKOFF_MS;

	if (!failures) {
		failures = g_new0(struct cr_failures, 1);
		g_hash_table_insert(sources->_failures, key, failures);
	} else {
		g_free(key);
	}
	for (uint32_t i = 0; i < failures->count; i++)
		wait_ms = MIN(wait_ms * 2, CR_MAX_BACKOFF_MS);
	failures->count++;
	failures->retry_at_ms = now_ms + wait_ms;
}

void cr_source_answered(struct cr_sources *sources, enum mb_role role,
			const char *name)
{
	g_autofree char *key = cr_source_key(role, name);

	g_hash_table_remove(sources->_failures, key);
}

uint64_t cr_highest_known_revision(const struct mb_table *members)
{
	uint64_t highest = 0;

	for (uint32_t role = MB_ENTRY; role <= MB_CONTROL; role++) {
		const struct mb_member *m = NULL;

		while ((m = mb_next(members, role, NULL, m)))
			highest = MAX(highest, m->config_revision);
	}
	return highest;
}
