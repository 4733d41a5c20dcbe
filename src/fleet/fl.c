#include "fleet/fl.h"

#include <string.h>
#include <xxhash.h>

#include "limits/ps.h"

static void fl_drop(void *data)
{
	struct fl_engine *e = data;

	e->is_gone = true;
	h1_peer_close_idle(&e->peer);
	fl_unref(e);
}

void fl_init(struct fl_fleet *fleet, struct ev_loop *loop)
{
	fleet->_loop = loop;
	fleet->_engines = g_ptr_array_new_with_free_func(fl_drop);
	fleet->_notices = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
}

void fl_finish(struct fl_fleet *fleet)
{
	if (fleet->_engines)
		g_ptr_array_free(fleet->_engines, TRUE);
	fleet->_engines = NULL;
	if (fleet->_notices)
		g_hash_table_destroy(fleet->_notices);
	fleet->_notices = NULL;
}

struct fl_engine *fl_find(const struct fl_fleet *fleet, const char *id)
{
	fl_for_each (fleet, e)
		if (!strcmp(e->entry.id, id))
			return e;
	return NULL;
}

/* A process does not change its build; its start may not be known. */
static bool fl_is_same_incarnation(const struct dl_engine *a,
				   const struct dl_engine *b)
{
	return a->started_ms == b->started_ms && a->ipv4 == b->ipv4 &&
	       a->port == b->port && !strcmp(a->service, b->service) &&
	       !strcmp(a->build, b->build);
}

static uint64_t fl_hash_incarnation(const struct dl_engine *entry)
{
	uint64_t start[] = { entry->started_ms, entry->ipv4, entry->port };

	return XXH3_64bits(start, sizeof(start)) & ~PS_INFERRED_BIT;
}

uint64_t fl_incarnation(const struct fl_engine *engine)
{
	return engine->_incarnation;
}

void fl_count_end(struct fl_engine *engine)
{
	uint64_t drawn = (uint64_t)g_random_int() << 32 | g_random_int();

	engine->_run_incarnation = drawn | PS_INFERRED_BIT;
	fl_forget_build(engine);
}

void fl_forget_build(struct fl_engine *engine)
{
	engine->_build = 0;
}

void fl_keep_build(struct fl_engine *engine, uint64_t build)
{
	engine->_build = build;
}

uint64_t fl_build(const struct fl_engine *engine)
{
	return engine->_build;
}

uint64_t fl_build_hash(const char *version)
{
	uint64_t hash = XXH3_64bits(version, strlen(version));

	return hash ? hash : 1;
}

uint64_t fl_run_incarnation(const struct fl_engine *engine)
{
	return engine->_run_incarnation;
}

struct fl_engine *fl_find_run(const struct fl_fleet *fleet, uint64_t hash,
			      uint64_t incarnation)
{
	fl_for_each (fleet, e)
		if (e->hash == hash && fl_run_incarnation(e) == incarnation)
			return e;
	return NULL;
}

bool fl_is_superseded_by(const struct fl_engine *engine,
			 const struct dl_engine *entry)
{
	const struct dl_engine *old = &engine->entry;

	if (!strcmp(old->id, entry->id))
		return !fl_is_same_incarnation(old, entry);
	return old->ipv4 == entry->ipv4 && old->port == entry->port;
}

static uint64_t fl_notice_key(const struct fl_engine *engine)
{
	return engine->hash ^ engine->_incarnation;
}

/* A full table is emptied: engines that are present keep their own copies. */
void fl_keep_notice(struct fl_fleet *fleet, const struct fl_engine *engine)
{
	uint64_t key = fl_notice_key(engine);

	if (!engine->notice.is_leaving && !engine->notice.pause_until_ms)
		return;
	if (g_hash_table_size(fleet->_notices) >= FL_MAX_NOTICES)
		g_hash_table_remove_all(fleet->_notices);
	g_hash_table_replace(
		fleet->_notices, g_memdup2(&key, sizeof(key)),
		g_memdup2(&engine->notice, sizeof(engine->notice)));
}

static void fl_recall_notice(struct fl_fleet *fleet, struct fl_engine *engine)
{
	uint64_t key = fl_notice_key(engine);
	const struct fl_notice *kept =
		g_hash_table_lookup(fleet->_notices, &key);

	if (kept)
		engine->notice = *kept;
}

static struct fl_engine *fl_add(struct fl_fleet *fleet,
				const struct dl_engine *entry)
{
	struct fl_engine *e = g_new0(struct fl_engine, 1);

	e->entry = *entry;
	e->hash = XXH3_64bits(entry->id, strlen(entry->id));
	e->_incarnation = fl_hash_incarnation(entry);
	e->_run_incarnation = e->_incarnation;
	e->_build = fl_build_hash(entry->build);
	e->region = "";
	e->_references = 1;
	fl_recall_notice(fleet, e);
	h1_peer_init(&e->peer, fleet->_loop, entry->ipv4, entry->port);
	g_ptr_array_add(fleet->_engines, e);
	return e;
}

struct fl_engine *fl_put(struct fl_fleet *fleet, const struct dl_engine *entry)
{
	struct fl_engine *e = fl_find(fleet, entry->id);
	bool is_draining;

	if (e && !fl_is_same_incarnation(&e->entry, entry)) {
		g_ptr_array_remove(fleet->_engines, e);
		e = NULL;
	}
	if (!e)
		return fl_add(fleet, entry);
	is_draining = entry->is_draining ||
		      (entry->started_ms && e->entry.is_draining);
	e->entry = *entry;
	e->entry.is_draining = is_draining;
	e->_missing_until_ms = 0;
	return e;
}

/*
 * Notes for when its entry returns, from an older copy of the store, that an
 * upstream which is dropped was draining.
 */
static void fl_keep_draining(struct fl_fleet *fleet, struct fl_engine *e)
{
	if (!e->entry.is_draining || !e->entry.started_ms)
		return;
	e->notice.is_leaving = true;
	fl_keep_notice(fleet, e);
}

void fl_mark_missing(struct fl_fleet *fleet, const char *id,
		     int64_t keep_until_ms)
{
	struct fl_engine *e = fl_find(fleet, id);

	if (!e)
		return;
	fl_keep_draining(fleet, e);
	if (!keep_until_ms)
		g_ptr_array_remove(fleet->_engines, e);
	else if (!e->_missing_until_ms)
		e->_missing_until_ms = keep_until_ms;
}

uint32_t fl_expire(struct fl_fleet *fleet, int64_t now_ms)
{
	uint32_t dropped = 0;
	uint32_t i = 0;

	while (i < fleet->_engines->len) {
		struct fl_engine *e = fleet->_engines->pdata[i];

		if (!e->_missing_until_ms || now_ms < e->_missing_until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(fleet->_engines, i);
		dropped++;
	}
	return dropped;
}

void fl_ref(struct fl_engine *engine)
{
	engine->_references++;
}

void fl_unref(struct fl_engine *engine)
{
	if (--engine->_references)
		return;
	h1_peer_finish(&engine->peer);
	g_free(engine);
}
