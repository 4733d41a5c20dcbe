/*
 * Requests to engines of another region are relayed by an entry of that region.
 */
#include <string.h>

#include "entry/en_dispatch.h"

/* Prefers entries in the engine's zone, then the highest rendezvous rank, so
 * that requests with the same prefix use the same entry, which already holds
 * the text of the prefix. */
static bool en_is_better_far_entry(const struct mb_member *candidate,
				   const struct mb_member *best,
				   const struct mb_member *engine, uint64_t key)
{
	bool candidate_in_zone = !strcmp(candidate->zone, engine->zone);
	bool best_in_zone = best && !strcmp(best->zone, engine->zone);

	if (!best || candidate_in_zone != best_in_zone)
		return !best || candidate_in_zone;
	return px_rank(key, candidate->id) > px_rank(key, best->id);
}

const struct up_far_entry *en_via(struct en_call *call,
				  const struct mb_member *engine)
{
	struct en_dispatch *d = call->d;
	const struct mb_table *members = d->process->members;
	uint64_t key = call->chain->count ? call->chain->keys[0] : 0;
	const struct mb_member *far = NULL;

	call->via = (struct up_far_entry){ 0 };
	if (call->is_direct ||
	    !strcmp(engine->region, d->process->settings.self.region))
		return NULL;
	for (const struct mb_member *m = mb_next(members, MB_ENTRY, NULL, NULL);
	     m; m = mb_next(members, MB_ENTRY, NULL, m)) {
		if (strcmp(m->region, engine->region) || !mb_can_get_work(m) ||
		    m->state == MB_SUSPECT)
			continue;
		if (en_is_better_far_entry(m, far, engine, key))
			far = m;
	}
	if (!far)
		return NULL;
	g_strlcpy(call->far, far->name, sizeof(call->far));
	call->via = (struct up_far_entry){
		.near = &d->near,
		.far = call->far,
		.far_incarnation = far->incarnation,
		.ipv4 = far->ipv4,
		.port = far->http_port,
		.team = call->request->team,
		.engine = call->upstream,
	};
	return &call->via;
}
