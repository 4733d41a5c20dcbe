/*
 * Requests to engines of another region go by an entry there.
 */
#include <string.h>

#include "entry/en_dispatch.h"

/* Higher is better: the engine's own zone first, then the same entry for the
 * same prefix, so that its text is there. */
static bool en_is_better(const struct mb_member *a, const struct mb_member *b,
			 const struct mb_member *engine, uint64_t key)
{
	bool a_near = !strcmp(a->zone, engine->zone);
	bool b_near = b && !strcmp(b->zone, engine->zone);

	if (!b || a_near != b_near)
		return !b || a_near;
	return px_rank(key, a->id) > px_rank(key, b->id);
}

const struct up_via *en_via(struct en_call *call,
			    const struct mb_member *engine)
{
	struct en_dispatch *d = call->d;
	const struct mb_table *members = d->process->members;
	uint64_t key = call->chain->count ? call->chain->keys[0] : 0;
	const struct mb_member *far = NULL;

	call->via = (struct up_via){ 0 };
	if (call->goes_directly ||
	    !strcmp(engine->region, d->process->settings.self.region))
		return NULL;
	for (const struct mb_member *m = mb_next(members, MB_ENTRY, NULL, NULL);
	     m; m = mb_next(members, MB_ENTRY, NULL, m)) {
		if (strcmp(m->region, engine->region) || !mb_can_get_work(m) ||
		    m->state == MB_SUSPECT)
			continue;
		if (en_is_better(m, far, engine, key))
			far = m;
	}
	if (!far)
		return NULL;
	g_strlcpy(call->far, far->name, sizeof(call->far));
	call->via = (struct up_via){
		.near = &d->near,
		.far = call->far,
		.far_incarnation = far->incarnation,
		.ipv4 = far->ipv4,
		.port = far->http_port,
		.team = call->ask->team,
		.engine = call->upstream,
	};
	return &call->via;
}
