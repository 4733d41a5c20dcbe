#include "limits/ps.h"

#include <string.h>
#include <xxhash.h>

#include "limits/ps_answered.h"
#include "limits/ps_suspect.h"

/*
 * An attempt that is running, or that broke at @broken_ms.
 * @is_engine_alive: the engine accepted a connection after the attempt broke.
 * @is_abandoned: this side cancelled the attempt while the engine was silent.
 * @is_answered: the engine answered some request after the attempt broke.
 * @is_after_break: the attempt began after another one had broken there, and
 *	the engine has answered nothing since, so it may never have run.
 */
struct _ps_run {
	uint64_t fingerprint;
	uint64_t engine;
	uint64_t incarnation;
	int64_t broken_ms;
	bool is_broken;
	bool is_engine_alive;
	bool is_abandoned;
	bool is_answered;
	bool is_after_break;
};

void ps_init(struct ps_table *table)
{
	table->_suspects = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	table->_runs = g_array_new(FALSE, FALSE, sizeof(struct _ps_run));
	table->_completed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
}

void ps_finish(struct ps_table *table)
{
	g_hash_table_destroy(table->_suspects);
	g_array_free(table->_runs, TRUE);
	g_hash_table_destroy(table->_completed);
}

static uint64_t ps_of_content(uint64_t hash)
{
	return hash & ~PS_PART_BIT;
}

uint64_t ps_fingerprint(uint64_t salt, const struct px_chain *chain,
			const void *tail, uint64_t tail_bytes,
			const void *params, uint64_t params_bytes)
{
	uint64_t key = chain->count ? chain->keys[chain->count - 1] : salt;

	key = XXH3_64bits_withSeed(tail, tail_bytes, key ^ chain->bytes);
	return ps_of_content(XXH3_64bits_withSeed(params, params_bytes, key));
}

static uint64_t ps_hash_text(const char *text, uint64_t key)
{
	return XXH3_64bits_withSeed(text, strlen(text), key);
}

uint64_t ps_call_fingerprint(const struct ps_call *call)
{
	uint64_t key = ps_hash_text(call->method, 0);

	key = ps_hash_text(call->target, key);
	key = ps_hash_text(call->caller, key);
	return ps_of_content(
		XXH3_64bits_withSeed(call->body, call->body_bytes, key));
}

uint64_t ps_part_fingerprint(const char *model, uint64_t part)
{
	return ps_hash_text(model, part) | PS_PART_BIT;
}

static struct _ps_run *ps_run_at(const struct ps_table *table, uint32_t i)
{
	return &g_array_index(table->_runs, struct _ps_run, i);
}

/*
 * Counts attempts that broke recently on engines that are not known to have
 * crashed (yet). For a request with PS_POISON_CRASHES recorded crashes, a
 * connection that the engine accepted is no evidence: it may have been accepted
 * by the next incarnation.
 */
static uint32_t ps_count_broken(const struct ps_table *table,
				uint64_t fingerprint,
				const struct _ps_suspect *suspect,
				int64_t now_ms, int64_t *last_ms)
{
	bool is_watched = suspect && suspect->count >= PS_POISON_CRASHES;
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);
		struct ps_crash crash = { run->engine, run->incarnation, 0 };

		if (run->fingerprint != fingerprint || !run->is_broken ||
		    (run->is_engine_alive && !is_watched) ||
		    run->is_abandoned || now_ms - run->broken_ms > PS_HOLD_MS)
			continue;
		if (suspect && ps_has_crash(suspect, &crash))
			continue;
		if (count++ == 0 || run->broken_ms > *last_ms)
			*last_ms = run->broken_ms;
	}
	return count;
}

/* A suspect runs once at a time, so that it cannot crash several engines. */
static bool ps_is_running(const struct ps_table *table, uint64_t fingerprint)
{
	for (uint32_t i = 0; i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (run->fingerprint == fingerprint && !run->is_broken)
			return true;
	}
	return false;
}

static struct ps_answer ps_hold(int64_t left_ms)
{
	return (struct ps_answer){ PS_HOLD, left_ms > 0 ? (uint32_t)left_ms : 1,
				   false };
}

/* Remaining pause of a suspect with rivals; it grows with the crashes. */
static int64_t ps_isolate_pause_ms(const struct ps_table *table,
				   const struct _ps_suspect *suspect,
				   int64_t now_ms)
{
	uint32_t extra = suspect->count - PS_POISON_CRASHES;
	int64_t pause_ms =
		extra ? (int64_t)PS_ISOLATE_PAUSE_MS << (extra - 1) : 0;

	if (ps_completed_recently(table, suspect))
		pause_ms = MIN(pause_ms, PS_COMPLETED_PAUSE_MS);
	return ps_last_crash_ms(suspect) + pause_ms - now_ms;
}

uint64_t ps_find_proven(struct ps_table *table, const uint64_t *parts,
			uint32_t count, int64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		struct _ps_suspect *s =
			ps_find_current(table, parts[i], now_ms);

		if (!s)
			continue;
		ps_set_proven(s, ps_is_proven(table, s), now_ms);
		if (!s->proven_ms)
			continue;
		/* The record is kept as long as the part is sent again. */
		s->last_ms = now_ms;
		return parts[i];
	}
	return 0;
}

static bool ps_contains(const uint64_t *parts, uint32_t count,
			uint64_t fingerprint)
{
	for (uint32_t i = 0; i < count; i++)
		if (parts[i] == fingerprint)
			return true;
	return false;
}

/*
 * Which part that the content lacks was present at all its crashes: a proven
 * one if there is one, else any; NULL: none.
 */
static const struct _ps_suspect *
ps_find_foreign_part(const struct ps_table *table,
		     const struct _ps_suspect *content, const uint64_t *parts,
		     uint32_t count, bool *is_proven)
{
	const struct _ps_suspect *found = NULL;
	GHashTableIter iter;
	gpointer value;

	*is_proven = false;
	g_hash_table_iter_init(&iter, table->_suspects);
	while (!*is_proven && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct _ps_suspect *other = value;

		if (!ps_is_part(other->fingerprint) ||
		    ps_contains(parts, count, other->fingerprint) ||
		    !ps_was_at_all_crashes(content, other))
			continue;
		found = other;
		*is_proven = ps_is_proven(table, other);
	}
	return found;
}

/*
 * A part explains the crashes of a content, but the content may crash engines,
 * too: it runs once at a time until it completes.
 */
static struct ps_answer ps_run_explained(const struct ps_table *table,
					 const struct _ps_suspect *content,
					 uint32_t broken)
{
	if (broken || ps_is_running(table, content->fingerprint))
		return ps_hold(PS_RUNNING_RETRY_MS);
	return (struct ps_answer){ PS_RUN, 0,
				   content->count > PS_POISON_CRASHES };
}

struct ps_answer ps_check_request(struct ps_table *table, uint64_t fingerprint,
				  const uint64_t *parts, uint32_t count,
				  int64_t now_ms)
{
	struct _ps_suspect *s = ps_find_current(table, fingerprint, now_ms);
	uint32_t crashes = s ? s->count : 0;
	int64_t last_ms = now_ms;
	uint32_t broken =
		ps_count_broken(table, fingerprint, s, now_ms, &last_ms);
	bool is_watched = crashes >= PS_POISON_CRASHES;
	int64_t pause_ms =
		is_watched ? ps_isolate_pause_ms(table, s, now_ms) : 0;
	bool is_explained = false;
	bool has_foreign =
		is_watched &&
		ps_find_foreign_part(table, s, parts, count, &is_explained);

	if (is_explained)
		return ps_run_explained(table, s, broken);
	if (s && !has_foreign && ps_is_proven(table, s)) {
		/* The record is kept as long as the request is sent again. */
		s->last_ms = now_ms;
		return (struct ps_answer){ PS_REFUSE, 0, false };
	}
	if (crashes + broken == 0)
		return (struct ps_answer){ PS_RUN, 0, false };
	if (ps_is_running(table, fingerprint))
		return ps_hold(PS_RUNNING_RETRY_MS);
	if (pause_ms > 0)
		return ps_hold(pause_ms);
	if (is_watched && broken == 0)
		return (struct ps_answer){ PS_ISOLATE, 0,
					   crashes > PS_POISON_CRASHES };
	if (crashes + broken >= PS_POISON_CRASHES)
		return ps_hold(last_ms + PS_HOLD_MS - now_ms);
	return (struct ps_answer){ PS_RUN, 0, false };
}

bool ps_may_run_after_break(struct ps_table *table, uint64_t fingerprint,
			    int64_t now_ms)
{
	struct _ps_suspect *s = ps_find_current(table, fingerprint, now_ms);
	int64_t last_ms = now_ms;
	uint32_t crashes = s ? s->count : 0;
	uint32_t broken =
		ps_count_broken(table, fingerprint, s, now_ms, &last_ms);

	return crashes + broken + 1 < PS_POISON_CRASHES;
}

bool ps_start_probe(struct ps_table *table, uint64_t fingerprint,
		    int64_t now_ms)
{
	struct _ps_suspect *s = ps_find_current(table, fingerprint, now_ms);
	int64_t pause_ms =
		ps_is_part(fingerprint) ? PS_PART_PROBE_MS : PS_PROBE_MS;

	if (!s || s->probes >= PS_MAX_PROBES ||
	    ps_is_running(table, fingerprint))
		return false;
	for (uint32_t i = 0; i < s->probes; i++)
		pause_ms *= PS_PROBE_GROWTH;
	if (now_ms - ps_last_crash_ms(s) < pause_ms)
		return false;
	s->probes++;
	return true;
}

void ps_peer_probes(struct ps_table *table, uint64_t fingerprint,
		    uint32_t probes)
{
	struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);

	if (s && s->count && s->probes < probes)
		s->probes = probes;
}

uint32_t ps_rival_engines(const struct ps_table *table, uint64_t fingerprint,
			  uint64_t *engines, uint32_t capacity)
{
	const struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);
	uint32_t count = 0;

	for (uint32_t i = 0; s && i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);
		const struct _ps_suspect *other = g_hash_table_lookup(
			table->_suspects, &run->fingerprint);

		if (run->is_broken || !other || !ps_is_rival(s, other))
			continue;
		if (count < capacity)
			engines[count++] = run->engine;
	}
	return count;
}

/* Whether an attempt broke at the engine, which has answered nothing since. */
static bool ps_broke_unanswered(const struct ps_table *table, uint64_t engine,
				uint64_t incarnation)
{
	for (uint32_t i = 0; i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (run->is_broken && !run->is_abandoned && !run->is_answered &&
		    run->engine == engine && run->incarnation == incarnation)
			return true;
	}
	return false;
}

void ps_started(struct ps_table *table, uint64_t fingerprint, uint64_t engine,
		uint64_t incarnation, int64_t now_ms)
{
	struct _ps_run run = { .fingerprint = fingerprint,
			       .engine = engine,
			       .incarnation = incarnation,
			       .is_after_break = ps_broke_unanswered(
				       table, engine, incarnation) };

	if (table->_runs->len >= PS_MAX_RUNS)
		ps_expire(table, now_ms);
	if (table->_runs->len < PS_MAX_RUNS)
		g_array_append_val(table->_runs, run);
}

static struct _ps_run *ps_find_run(const struct ps_table *table,
				   uint64_t fingerprint, uint64_t engine,
				   uint64_t incarnation, uint32_t *index)
{
	for (*index = 0; *index < table->_runs->len; (*index)++) {
		struct _ps_run *run = ps_run_at(table, *index);

		if (run->fingerprint == fingerprint && run->engine == engine &&
		    run->incarnation == incarnation && !run->is_broken)
			return run;
	}
	return NULL;
}

static void ps_remove_broken(struct ps_table *table, uint64_t fingerprint)
{
	for (uint32_t i = table->_runs->len; i-- > 0;) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (run->fingerprint == fingerprint && run->is_broken)
			g_array_remove_index_fast(table->_runs, i);
	}
}

bool ps_ended(struct ps_table *table, uint64_t fingerprint, uint64_t engine,
	      uint64_t incarnation, enum ps_end end, int64_t now_ms)
{
	uint32_t index;
	struct _ps_run *run =
		ps_find_run(table, fingerprint, engine, incarnation, &index);

	if (run && (end == PS_BROKEN || end == PS_ABANDONED)) {
		run->is_broken = true;
		run->is_abandoned = end == PS_ABANDONED;
		run->broken_ms = now_ms;
		return false;
	}
	if (run)
		g_array_remove_index_fast(table->_runs, index);
	if (end != PS_COMPLETED)
		return false;
	ps_engine_answered(table, engine, incarnation);
	ps_remove_broken(table, fingerprint);
	ps_record_completion(table, fingerprint, now_ms);
	return ps_clear(table, fingerprint, now_ms);
}

/* Whether the attempt broke too long ago to relate to a crash reported now. */
static bool ps_is_stale(const struct _ps_run *run, int64_t now_ms)
{
	int64_t kept_ms =
		run->is_abandoned ? PS_ABANDONED_KEPT_MS : PS_BROKEN_KEPT_MS;

	return run->is_broken && now_ms - run->broken_ms > kept_ms;
}

/* Whether an answer in full speaks against charging the part with a crash. */
static bool ps_is_answered_part(const struct ps_table *table,
				uint64_t fingerprint, int64_t crash_ms)
{
	int64_t completed_ms = ps_completed_ms(table, fingerprint);

	return ps_is_part(fingerprint) && completed_ms &&
	       crash_ms - completed_ms < PS_PART_ANSWERED_MS;
}

/*
 * A crash may be found long after it broke the attempts, by a new entry in the
 * store. Attempts that still run show that it is recent.
 */
static int64_t ps_crash_ms(const struct ps_table *table, uint64_t engine,
			   uint64_t incarnation, int64_t now_ms)
{
	int64_t broken_ms = INT64_MIN;

	for (uint32_t i = 0; i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (run->engine != engine || run->incarnation != incarnation)
			continue;
		if (!run->is_broken)
			return now_ms;
		if (!run->is_abandoned && !run->is_after_break)
			broken_ms = MAX(broken_ms, run->broken_ms);
	}
	return broken_ms == INT64_MIN ? now_ms : broken_ms;
}

uint32_t ps_crashed(struct ps_table *table, uint64_t engine,
		    uint64_t incarnation, uint64_t *fingerprints,
		    uint32_t capacity, int64_t now_ms)
{
	int64_t at_ms = ps_crash_ms(table, engine, incarnation, now_ms);
	struct ps_crash crash = { engine, incarnation, at_ms };
	uint32_t count = 0;

	for (uint32_t i = table->_runs->len; i-- > 0;) {
		struct _ps_run run = *ps_run_at(table, i);

		if (run.engine != engine || run.incarnation != incarnation)
			continue;
		g_array_remove_index_fast(table->_runs, i);
		if (ps_is_stale(&run, now_ms) || run.is_after_break ||
		    ps_is_answered_part(table, run.fingerprint, at_ms))
			continue;
		if (ps_add_crash(table, run.fingerprint, &crash) &&
		    count < capacity)
			fingerprints[count++] = run.fingerprint;
	}
	return count;
}

void ps_engine_alive(struct ps_table *table, uint64_t engine,
		     uint64_t incarnation)
{
	for (uint32_t i = 0; i < table->_runs->len; i++) {
		struct _ps_run *run = ps_run_at(table, i);

		if (run->is_broken && run->engine == engine &&
		    run->incarnation == incarnation)
			run->is_engine_alive = true;
	}
}

void ps_engine_answered(struct ps_table *table, uint64_t engine,
			uint64_t incarnation)
{
	for (uint32_t i = 0; i < table->_runs->len; i++) {
		struct _ps_run *run = ps_run_at(table, i);

		if (run->engine != engine || run->incarnation != incarnation)
			continue;
		if (run->is_broken)
			run->is_answered = true;
		else
			run->is_after_break = false;
	}
}

bool ps_has_broken_attempt(const struct ps_table *table, uint64_t engine,
			   uint64_t incarnation, int64_t now_ms)
{
	for (uint32_t i = 0; i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (run->is_broken && !ps_is_stale(run, now_ms) &&
		    run->engine == engine && run->incarnation == incarnation)
			return true;
	}
	return false;
}

bool ps_has_attempt(const struct ps_table *table, uint64_t engine,
		    uint64_t incarnation)
{
	for (uint32_t i = 0; i < table->_runs->len; i++) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (run->engine == engine && run->incarnation == incarnation)
			return true;
	}
	return false;
}

static void ps_copy_suspect(const struct ps_table *table,
			    const struct _ps_suspect *suspect,
			    struct ps_suspect *out)
{
	*out = (struct ps_suspect){ .fingerprint = suspect->fingerprint,
				    .count = suspect->count,
				    .probes = suspect->probes,
				    .is_proven = ps_is_proven(table, suspect) };
	out->confirmed_ms = suspect->confirmed_ms;
	memcpy(out->crashes, suspect->crashes, sizeof(out->crashes));
}

bool ps_find(const struct ps_table *table, uint64_t fingerprint,
	     struct ps_suspect *suspect)
{
	const struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);

	if (!s || !s->count)
		return false;
	ps_copy_suspect(table, s, suspect);
	return true;
}

uint32_t ps_crash_count(const struct ps_table *table, uint64_t fingerprint)
{
	const struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);

	return s ? s->count : 0;
}

static gint ps_newer_first(gconstpointer a, gconstpointer b)
{
	const struct _ps_suspect *x = *(const struct _ps_suspect *const *)a;
	const struct _ps_suspect *y = *(const struct _ps_suspect *const *)b;

	if (x->last_ms != y->last_ms)
		return x->last_ms > y->last_ms ? -1 : 1;
	return x->fingerprint < y->fingerprint ? -1 : 1;
}

uint32_t ps_list(const struct ps_table *table, struct ps_suspect *suspects,
		 uint32_t capacity)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t count;

	g_hash_table_iter_init(&iter, table->_suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct _ps_suspect *s = value;

		if (s->count >= PS_POISON_CRASHES)
			g_ptr_array_add(found, value);
	}
	g_ptr_array_sort(found, ps_newer_first);
	count = MIN(found->len, capacity);
	for (uint32_t i = 0; i < count; i++)
		ps_copy_suspect(table, found->pdata[i], &suspects[i]);
	g_ptr_array_free(found, TRUE);
	return count;
}

bool ps_peer_report(struct ps_table *table, uint64_t fingerprint,
		    uint64_t engine, uint64_t incarnation, int64_t age_ms,
		    int64_t now_ms)
{
	struct ps_crash crash = { engine, incarnation, now_ms - age_ms };
	int64_t completed_ms = ps_completed_ms(table, fingerprint);

	if (engine == 0) {
		ps_record_completion(table, fingerprint, crash.at_ms);
		ps_clear(table, fingerprint, crash.at_ms);
		return false;
	}
	return age_ms <= PS_EXPIRE_MS &&
	       (!completed_ms || completed_ms < crash.at_ms) &&
	       !ps_is_answered_part(table, fingerprint, crash.at_ms) &&
	       ps_add_crash(table, fingerprint, &crash);
}

void ps_confirm(struct ps_table *table, uint64_t fingerprint, int64_t now_ms)
{
	struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);

	if (s)
		s->confirmed_ms = MAX(s->confirmed_ms, now_ms);
}

void ps_expire(struct ps_table *table, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->_suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct _ps_suspect *s = value;

		if (ps_is_expired(s, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	for (uint32_t i = table->_runs->len; i-- > 0;) {
		const struct _ps_run *run = ps_run_at(table, i);

		if (ps_is_stale(run, now_ms))
			g_array_remove_index_fast(table->_runs, i);
	}
}
