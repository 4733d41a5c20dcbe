#include "limits/ps_suspect.h"

#include <string.h>

static bool ps_is_same_moment(int64_t a_ms, int64_t b_ms)
{
	return ABS(a_ms - b_ms) < PS_SAME_CAUSE_MS;
}

static bool ps_is_same_crash(const struct ps_crash *a, const struct ps_crash *b)
{
	if (a->engine != b->engine)
		return false;
	if (a->incarnation == b->incarnation)
		return true;
	return ((a->incarnation | b->incarnation) & PS_INFERRED_BIT) &&
	       ps_is_same_moment(a->at_ms, b->at_ms);
}

bool ps_has_crash(const struct _ps_suspect *suspect,
		  const struct ps_crash *crash)
{
	for (uint32_t i = 0; i < suspect->count; i++)
		if (ps_is_same_crash(&suspect->crashes[i], crash))
			return true;
	return false;
}

int64_t ps_last_crash_ms(const struct _ps_suspect *suspect)
{
	int64_t last_ms = INT64_MIN;

	for (uint32_t i = 0; i < suspect->count; i++)
		last_ms = MAX(last_ms, suspect->crashes[i].at_ms);
	return last_ms;
}

static bool ps_has_crash_near(const struct _ps_suspect *suspect, int64_t at_ms)
{
	for (uint32_t i = 0; i < suspect->count; i++)
		if (ps_is_same_moment(suspect->crashes[i].at_ms, at_ms))
			return true;
	return false;
}

static uint32_t ps_oldest_crash(const struct _ps_suspect *suspect)
{
	uint32_t oldest = 0;

	for (uint32_t i = 1; i < suspect->count; i++)
		if (suspect->crashes[i].at_ms < suspect->crashes[oldest].at_ms)
			oldest = i;
	return oldest;
}

/*
 * A full record does not show whether it was at others at the same moments as
 * its crashes, or at crashes before its first. An answer in full shows that it
 * did not cause those before the answer.
 */
static bool ps_may_omit(const struct _ps_suspect *suspect,
			const struct ps_crash *crash)
{
	if (suspect->count < PS_MAX_CRASHES ||
	    crash->at_ms <= suspect->cleared_ms)
		return false;
	return ps_has_crash_near(suspect, crash->at_ms) ||
	       crash->at_ms <= suspect->crashes[ps_oldest_crash(suspect)].at_ms;
}

/* Whether @other may have been present at all crashes of @suspect. */
bool ps_was_at_all_crashes(const struct _ps_suspect *suspect,
			   const struct _ps_suspect *other)
{
	uint32_t shared = 0;

	if (other == suspect)
		return false;
	for (uint32_t i = 0; i < suspect->count; i++) {
		const struct ps_crash *crash = &suspect->crashes[i];

		if (ps_has_crash(other, crash))
			shared++;
		else if (!ps_may_omit(other, crash))
			return false;
	}
	return shared > 0;
}

/* Whether @other is known to have been at all crashes that prove @suspect. */
static bool ps_was_at_proof(const struct _ps_suspect *suspect,
			    const struct _ps_suspect *other)
{
	if (other == suspect)
		return false;
	for (uint32_t i = 0; i < suspect->proof_count; i++)
		if (!ps_has_crash(other, &suspect->crashes[i]))
			return false;
	return true;
}

/*
 * Whether @other may be the cause of all crashes of @suspect instead. A part is
 * no rival of a content here: most contents that hold it are not known. Parts
 * that come together stop to be rivals in the end. A content does not: after
 * two crashes it is held back, and misses those that have another cause. What
 * takes a proof back was at all crashes of the proof, which later ones do not
 * change.
 */
bool ps_is_rival(const struct _ps_suspect *suspect,
		 const struct _ps_suspect *other)
{
	if (!ps_is_part(suspect->fingerprint))
		return !ps_is_part(other->fingerprint) &&
		       ps_was_at_all_crashes(suspect, other);
	if (ps_is_part(other->fingerprint) &&
	    suspect->count >= PS_PART_SURE_CRASHES &&
	    other->count <= suspect->count)
		return false;
	return suspect->proven_ms ? ps_was_at_proof(suspect, other)
				  : ps_was_at_all_crashes(suspect, other);
}

static bool ps_has_rival(const struct ps_table *table,
			 const struct _ps_suspect *suspect)
{
	GHashTableIter iter;
	gpointer other;

	g_hash_table_iter_init(&iter, table->_suspects);
	while (g_hash_table_iter_next(&iter, NULL, &other)) {
		if (ps_is_rival(suspect, other))
			return true;
	}
	return false;
}

static void ps_evict_suspect(struct ps_table *table)
{
	struct _ps_suspect *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->_suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct _ps_suspect *s = value;

		if (!oldest || s->count < oldest->count ||
		    (s->count == oldest->count && s->last_ms < oldest->last_ms))
			oldest = s;
	}
	if (oldest)
		g_hash_table_remove(table->_suspects, &oldest->fingerprint);
}

static struct _ps_suspect *ps_get_suspect(struct ps_table *table,
					  uint64_t fingerprint)
{
	struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);
	int64_t completed_ms = ps_completed_ms(table, fingerprint);

	if (s)
		return s;
	if (g_hash_table_size(table->_suspects) >= PS_MAX_SUSPECTS)
		ps_evict_suspect(table);
	s = g_new0(struct _ps_suspect, 1);
	s->fingerprint = fingerprint;
	s->cleared_ms = completed_ms ? completed_ms : INT64_MIN;
	s->confirmed_ms = INT64_MIN;
	g_hash_table_insert(table->_suspects, &s->fingerprint, s);
	return s;
}

static void ps_drop_crash(struct _ps_suspect *s, uint32_t index)
{
	s->count--;
	memmove(&s->crashes[index], &s->crashes[index + 1],
		(s->count - index) * sizeof(s->crashes[0]));
}

/* Drops the later of two crashes at the same moment; false if there are none.
 */
static bool ps_drop_same_moment(struct _ps_suspect *s)
{
	for (uint32_t i = 0; i < s->count; i++) {
		for (uint32_t j = 0; j < s->count; j++) {
			if (i == j ||
			    s->crashes[i].at_ms < s->crashes[j].at_ms ||
			    !ps_is_same_moment(s->crashes[i].at_ms,
					       s->crashes[j].at_ms))
				continue;
			ps_drop_crash(s, i);
			return true;
		}
	}
	return false;
}

/*
 * A full record keeps the latest crashes, as what explains the first ones need
 * not explain those that follow, and as many moments as it can: many engines
 * may crash within a second. Another crash at the last moment is not added, so
 * hosts whose times differ a little do not send each other the same crashes
 * again and again. A part that is proven keeps the crashes that show it: more
 * follow from requests that are under way. Returns whether there is room.
 */
static bool ps_make_room(struct _ps_suspect *s, const struct ps_crash *crash)
{
	if (s->count < PS_MAX_CRASHES)
		return true;
	if (crash->at_ms - ps_last_crash_ms(s) < PS_SAME_CAUSE_MS)
		return false;
	if (s->proven_ms)
		return false;
	if (!ps_drop_same_moment(s))
		ps_drop_crash(s, ps_oldest_crash(s));
	return true;
}

/* Returns whether the crash was not recorded before. */
bool ps_add_crash(struct ps_table *table, uint64_t fingerprint,
		  const struct ps_crash *crash)
{
	struct _ps_suspect *s = ps_get_suspect(table, fingerprint);

	if (crash->at_ms < s->cleared_ms || ps_has_crash(s, crash) ||
	    !ps_make_room(s, crash))
		return false;
	s->crashes[s->count++] = *crash;
	s->confirmed_ms = MAX(s->confirmed_ms, crash->at_ms);
	if (crash->at_ms > s->last_ms)
		s->last_ms = crash->at_ms;
	return true;
}

void ps_set_proven(struct _ps_suspect *suspect, bool is_proven, int64_t now_ms)
{
	if (is_proven && suspect->proven_ms)
		return;
	suspect->proven_ms = is_proven ? now_ms : 0;
	suspect->proof_count = is_proven ? suspect->count : 0;
}

void ps_restore_proof(struct ps_table *table, uint64_t fingerprint,
		      int64_t now_ms)
{
	struct _ps_suspect *s = ps_find_current(table, fingerprint, now_ms);

	if (s && ps_is_part(fingerprint) && s->count >= PS_PART_CRASHES)
		ps_set_proven(s, true, now_ms);
}

/*
 * A complete answer clears a request of the crashes before it. Returns whether
 * there were any.
 */
bool ps_clear(struct ps_table *table, uint64_t fingerprint, int64_t at_ms)
{
	struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);
	uint32_t kept = 0, before;

	if (!s)
		return false;
	before = s->count;
	for (uint32_t i = 0; i < s->count; i++) {
		if (s->crashes[i].at_ms > at_ms)
			s->crashes[kept++] = s->crashes[i];
	}
	s->count = kept;
	s->probes = kept ? s->probes : 0;
	if (kept < before)
		ps_set_proven(s, false, 0);
	if (at_ms > s->cleared_ms)
		s->cleared_ms = at_ms;
	return kept < before;
}

bool ps_is_expired(const struct _ps_suspect *suspect, int64_t now_ms)
{
	return now_ms - suspect->last_ms > PS_EXPIRE_MS;
}

struct _ps_suspect *ps_find_current(struct ps_table *table,
				    uint64_t fingerprint, int64_t now_ms)
{
	struct _ps_suspect *s =
		g_hash_table_lookup(table->_suspects, &fingerprint);

	if (!s || !ps_is_expired(s, now_ms))
		return s;
	g_hash_table_remove(table->_suspects, &fingerprint);
	return NULL;
}

/*
 * Whether a complete answer precedes the crashes by at most
 * PS_COMPLETED_RECENT_MS.
 */
bool ps_completed_recently(const struct ps_table *table,
			   const struct _ps_suspect *suspect)
{
	int64_t completed_ms = ps_completed_ms(table, suspect->fingerprint);

	if (!completed_ms)
		return false;
	for (uint32_t i = 0; i < suspect->count; i++)
		if (completed_ms <
		    suspect->crashes[i].at_ms - PS_COMPLETED_RECENT_MS)
			return false;
	return true;
}

/*
 * Whether a part that was proven before @suspect was at the crash. A harmless
 * part may be at the crashes of several others.
 */
static bool ps_is_explained(const struct ps_table *table,
			    const struct _ps_suspect *suspect,
			    const struct ps_crash *crash)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->_suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct _ps_suspect *other = value;

		if (other != suspect && other->proven_ms &&
		    (!suspect->proven_ms ||
		     other->proven_ms < suspect->proven_ms) &&
		    ps_has_crash(other, crash))
			return true;
	}
	return false;
}

/* Crashes of a part that no other explains, at least PS_SAME_CAUSE_MS apart. */
static uint32_t ps_count_moments(const struct ps_table *table,
				 const struct _ps_suspect *suspect)
{
	int64_t from_ms = INT64_MIN;
	uint32_t moments = 0;

	for (;;) {
		int64_t next_ms = INT64_MAX;

		for (uint32_t i = 0; i < suspect->count; i++) {
			const struct ps_crash *crash = &suspect->crashes[i];

			if (crash->at_ms >= from_ms && crash->at_ms < next_ms &&
			    !ps_is_explained(table, suspect, crash))
				next_ms = crash->at_ms;
		}
		if (next_ms == INT64_MAX)
			return moments;
		moments++;
		from_ms = next_ms + PS_SAME_CAUSE_MS;
	}
}

static bool ps_has_enough_moments(const struct ps_table *table,
				  const struct _ps_suspect *suspect)
{
	return !ps_is_part(suspect->fingerprint) ||
	       ps_count_moments(table, suspect) >= PS_PART_CRASHES;
}

bool ps_is_proven(const struct ps_table *table,
		  const struct _ps_suspect *suspect)
{
	uint32_t least = ps_is_part(suspect->fingerprint) ? PS_PART_CRASHES
							  : PS_POISON_CRASHES;

	/* The cheapest first: a rival is mostly found at once. */
	if (suspect->count < least || ps_has_rival(table, suspect) ||
	    !ps_has_enough_moments(table, suspect))
		return false;
	return suspect->count == PS_MAX_CRASHES ||
	       !ps_completed_recently(table, suspect);
}
