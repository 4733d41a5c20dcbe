#include "limits/lm_cap.h"

#include <math.h>
#include <string.h>

/* Of the burst; the rest covers charges that are not known yet. */
#define LM_CAP_DEPTH 0.8
/* Of what a window allows, the most that is charged in one. It binds a bucket
 * that is deep for large requests, while small ones come. */
#define LM_CAP_MOST_USED 1.1
/* Of the burst, at the start: a restart must not grant a fresh burst. */
#define LM_CAP_START 0.3
/* All hosts may start at once: a first request is admitted if that of each of
 * them fits in this part of a window. */
#define LM_CAP_START_REQUESTS 0.25
/* A source that has not been heard from for so long is silent: three of the
 * messages that are sent while nothing changes. */
#define LM_CAP_SILENT_MS 1500
/* The same if no source at all has been heard. */
#define LM_CAP_ALONE_MS 1000
/* Another sender of the same sum is accepted after this silence of the last. */
#define LM_CAP_SENDER_SILENT_MS 700
/* Share of a silent source: by its usage, and by its hosts. */
#define LM_CAP_USAGE_PART 0.8
/* Usage is averaged over some of the latest seconds. */
#define LM_CAP_MEAN_MS 4000
/* A pause of lm_cap_tick() that only a frozen process has. */
#define LM_CAP_FROZEN_MS 500
/* After a freeze, counters of the time before arrive for so long. */
#define LM_CAP_THAW_MS 2000
/* Processes that start within this time have started at once. */
#define LM_CAP_SAME_START_MS 2000
/* Charges of others are known after this time. */
#define LM_CAP_LATE_MS 300
/* Offered cost above the rate, on the mean of so long, is pressure. */
#define LM_CAP_PRESSURE_MS	 500
#define LM_CAP_PRESSURE_LASTS_MS 4000
/* Under pressure, a host may use this many times its share until the next
 * message, which arrives after this time at the latest. */
#define LM_CAP_PACE	  2
#define LM_CAP_MESSAGE_MS 100
/* Also with a full bucket, and once its share only, if no message has arrived
 * for this time. Under pressure there are messages all the time. */
#define LM_CAP_OVERDUE_MS   600
#define LM_CAP_PACE_FROM_MS 800
#define LM_CAP_PACE_FROM    0.5
/* Of the depth: requests that are neither urgent nor small leave so much to the
 * others. A cap that binds then serves many requests, not a few large ones. */
#define LM_CAP_RESERVED_PART 0.5
/* What the large ones leave is not paced for those that go first. */
#define LM_CAP_FIRST_PACE_PART 0.5
#define LM_CAP_RETRY_MIN_MS    300
#define LM_CAP_RETRY_MAX_MS    5000
#define LM_CAP_REFUSED_MEAN_MS 1000
#define LM_CAP_SLOTS	       8

/** struct lm_mean - an average per second that decays with time. */
struct lm_mean {
	double per_s;
	int64_t at_ms;
};

/**
 * struct lm_team - a team's bucket.
 * @rate: per millisecond; 0: no cap.
 * @level: what the bucket holds; below 0 if others charged at the same time.
 * @credit: refill of the time in which this process was frozen, which only
 *	covers what others charged meanwhile.
 * @spilled: refill that found the bucket full, while charges of others were on
 *	their way; it only covers those.
 * @largest: cost of the largest request.
 * @own, @hosts, @zones, @all: cumulative cost charged here, and by the sources
 *	of each kind.
 * @others: usage of the sources in use, at the last tick.
 * @offered, @requests: cost and number of the requests to this host.
 * @told: what other hosts charged.
 * @heard: 1 less the shares of the silent sources.
 * @own_share: of this host, when a source in use was heard last.
 * @paced: charged here since the last message of a source.
 * @slots: known charges of the last seconds.
 */
struct lm_team {
	uint64_t id;
	double rate;
	int64_t burst;
	double level;
	double credit;
	int64_t credit_until_ms;
	double spilled;
	int64_t filled_ms;
	double largest;
	int64_t own;
	double by_kind[LM_CAP_ALL + 1];
	int64_t changed_ms;
	struct lm_mean own_usage;
	double others;
	double heard;
	double own_share;
	struct lm_mean offered;
	struct lm_mean requests;
	struct lm_mean told;
	int64_t pressure_until_ms;
	struct lm_mean refused;
	double paced;
	int64_t paced_from_ms;
	double slots[LM_CAP_SLOTS];
	int64_t slot;
};

/**
 * struct lm_part - one team's charges of a source.
 * @counter: last one of the stream.
 * @total: charges counted, those assumed since the last message included.
 * @assumed: those since the last message.
 * @share: of the rate, when it was heard last.
 */
struct lm_part {
	bool has_counter;
	int64_t counter;
	double total;
	double assumed;
	struct lm_mean usage;
	double share;
};

/**
 * struct lm_source - @heard_ms: last message, or since it is expected.
 * @is_fresh: heard since the last tick.
 * @stream_in, @sequence: of the last message of the source.
 * @stream_out: of the lists for this source.
 * @has_whole: the stream has listed all teams.
 */
struct lm_source {
	struct lm_cap_expected is;
	bool is_expected;
	bool is_forgotten;
	bool was_heard;
	bool is_fresh;
	int64_t heard_ms;
	uint64_t stream_in;
	uint64_t sequence;
	bool has_whole;
	bool is_new_process;
	uint64_t stream_out;
	GHashTable *parts;
};

static double lm_mean_at(const struct lm_mean *mean, int64_t over_ms,
			 int64_t now_ms)
{
	if (now_ms <= mean->at_ms)
		return mean->per_s;
	return mean->per_s *
	       exp((double)(mean->at_ms - now_ms) / (double)over_ms);
}

static void lm_mean_add(struct lm_mean *mean, int64_t over_ms, double amount,
			int64_t now_ms)
{
	mean->per_s = lm_mean_at(mean, over_ms, now_ms) +
		      amount * 1000 / (double)over_ms;
	mean->per_s = MAX(mean->per_s, 0);
	mean->at_ms = MAX(mean->at_ms, now_ms);
}

static uint64_t lm_cap_random(struct lm_caps *caps)
{
	uint64_t x = (caps->_random += UINT64_C(0x9e3779b97f4a7c15));

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

static void lm_source_free(void *data)
{
	struct lm_source *s = data;

	g_hash_table_destroy(s->parts);
	g_free(s);
}

void lm_cap_init(struct lm_caps *caps, uint64_t seed, int64_t now_ms)
{
	memset(caps, 0, sizeof(*caps));
	caps->_teams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	caps->_sources = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, lm_source_free);
	caps->_uses = LM_CAP_HOST;
	caps->_random = seed;
	caps->_own_stream = lm_cap_random(caps);
	caps->_streams = lm_cap_random(caps);
	caps->_hosts = 1;
	caps->_started_ms = now_ms;
	caps->_ticked_ms = now_ms;
}

void lm_cap_finish(struct lm_caps *caps)
{
	if (!caps->_teams)
		return;
	g_hash_table_destroy(caps->_sources);
	g_hash_table_destroy(caps->_teams);
	caps->_teams = NULL;
	caps->_sources = NULL;
}

bool lm_cap_is_active(const struct lm_caps *caps)
{
	return caps->_active > 0;
}

static double lm_depth(const struct lm_team *t)
{
	return MAX(LM_CAP_DEPTH * (double)t->burst * t->heard, t->largest);
}

static double lm_window(const struct lm_team *t)
{
	return t->rate * LM_CAP_WINDOW_MS + (double)t->burst;
}

static void lm_fill(struct lm_team *t, int64_t now_ms)
{
	double over;

	if (now_ms > t->filled_ms) {
		t->level += t->rate * (double)(now_ms - t->filled_ms);
		t->filled_ms = now_ms;
	}
	over = t->level - lm_depth(t);
	if (over > 0) {
		t->level -= over;
		t->spilled = MIN(t->spilled + over, t->rate * LM_CAP_LATE_MS);
	}
	if (now_ms >= t->credit_until_ms)
		t->credit = 0;
}

static void lm_note_used(struct lm_team *t, double cost, int64_t now_ms)
{
	int64_t slot = now_ms * LM_CAP_SLOTS / LM_CAP_WINDOW_MS;

	for (; t->slot < slot; t->slot++) {
		if (slot - t->slot > LM_CAP_SLOTS)
			t->slot = slot - LM_CAP_SLOTS;
		t->slots[(t->slot + 1) % LM_CAP_SLOTS] = 0;
	}
	t->slots[slot % LM_CAP_SLOTS] += cost;
}

/* What was charged more than a window ago does not matter any more. */
static void lm_deduct(struct lm_team *t, double cost, int64_t now_ms)
{
	lm_fill(t, now_ms);
	lm_note_used(t, cost, now_ms);
	t->level -= cost;
	t->level = CLAMP(t->level, -lm_window(t), lm_depth(t));
}

static bool lm_is_used(const struct lm_caps *caps, const struct lm_source *s)
{
	return caps->_uses == LM_CAP_ALL ? s->is.kind == LM_CAP_ALL
					 : s->is.kind != LM_CAP_ALL;
}

/* Takes what it can of @cost from @from. Returns how much. */
static double lm_cover(double *from, double cost)
{
	double covered = CLAMP(cost, 0, *from);

	*from -= covered;
	return covered;
}

/*
 * Counts charges of a source, which are known or assumed; a negative cost is a
 * refund.
 */
static void lm_count(struct lm_caps *caps, const struct lm_source *s,
		     struct lm_part *part, struct lm_team *t, double cost,
		     bool is_known, int64_t now_ms)
{
	double covered = 0;

	if (cost == 0)
		return;
	part->total += cost;
	t->by_kind[s->is.kind] += cost;
	t->changed_ms = now_ms;
	if (!lm_is_used(caps, s) || !t->rate)
		return;
	lm_fill(t, now_ms);
	if (is_known) {
		lm_mean_add(&t->told, LM_CAP_PRESSURE_MS, cost, now_ms);
		covered = lm_cover(&t->credit, cost);
		covered += lm_cover(&t->spilled, cost - covered);
	}
	lm_note_used(t, covered, now_ms);
	lm_deduct(t, cost - covered, now_ms);
}

static struct lm_part *lm_part_of(struct lm_source *s, struct lm_team *t)
{
	struct lm_part *part = g_hash_table_lookup(s->parts, &t->id);

	if (part)
		return part;
	part = g_new0(struct lm_part, 1);
	g_hash_table_insert(s->parts, &t->id, part);
	return part;
}

static double lm_part_usage(const struct lm_source *s,
			    const struct lm_part *part, int64_t now_ms)
{
	bool is_silent = now_ms - s->heard_ms > LM_CAP_SILENT_MS;

	return lm_mean_at(&part->usage, LM_CAP_MEAN_MS,
			  is_silent ? s->heard_ms : now_ms);
}

static double lm_share(const struct lm_caps *caps, double usage, double all,
		       uint32_t hosts)
{
	double by_hosts = MIN((double)hosts / caps->_hosts, 1);
	double by_usage = all > 0 ? MIN(usage / all, 1) : by_hosts;

	return LM_CAP_USAGE_PART * by_usage +
	       (1 - LM_CAP_USAGE_PART) * by_hosts;
}

/* As of the last message, as long as no others arrive. */
static double lm_own_share(const struct lm_caps *caps, const struct lm_team *t)
{
	return t->own_share > 0 ? t->own_share : 1.0 / caps->_hosts;
}

/*
 * A frozen process has not heard of what was charged. Its bucket does not
 * refill for that time, but late counters are covered.
 */
static void lm_thaw(struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter i;
	void *value;
	int64_t frozen_ms = now_ms - caps->_ticked_ms;

	g_hash_table_iter_init(&i, caps->_teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct lm_team *t = value;

		if (t->filled_ms < now_ms)
			t->credit += t->rate * (double)(now_ms - t->filled_ms);
		t->credit = MIN(t->credit, t->rate * (double)frozen_ms);
		t->credit_until_ms = now_ms + LM_CAP_THAW_MS;
		t->filled_ms = MAX(t->filled_ms, now_ms);
	}
	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct lm_source *s = value;

		s->heard_ms = MIN(s->heard_ms + frozen_ms, now_ms);
	}
	caps->_heard_ms = MIN(caps->_heard_ms + frozen_ms, now_ms);
}

static void lm_wake(struct lm_caps *caps, int64_t now_ms)
{
	if (now_ms - caps->_ticked_ms <= LM_CAP_FROZEN_MS)
		return;
	lm_thaw(caps, now_ms);
	caps->_ticked_ms = now_ms;
}

void lm_cap_set(struct lm_caps *caps, uint64_t team, double rate_per_s,
		int64_t burst, int64_t now_ms)
{
	struct lm_team *t = g_hash_table_lookup(caps->_teams, &team);

	if (!t && (rate_per_s <= 0 ||
		   g_hash_table_size(caps->_teams) >= LM_CAP_MAX_TEAMS))
		return;
	if (!t) {
		t = g_new0(struct lm_team, 1);
		t->id = team;
		g_hash_table_insert(caps->_teams, &t->id, t);
	}
	rate_per_s = CLAMP(rate_per_s, 0, (double)LM_CAP_MAX_RATE);
	burst = CLAMP(burst, 0, LM_CAP_MAX_RATE);
	if (t->rate > 0)
		lm_fill(t, now_ms);
	if (!caps->_active)
		caps->_ticked_ms = now_ms;
	caps->_active += (rate_per_s > 0) - (t->rate > 0);
	if (rate_per_s > 0 && t->rate <= 0) {
		t->level = LM_CAP_START * (double)burst;
		t->heard = 1;
		t->credit = 0;
		t->spilled = 0;
		t->filled_ms = now_ms;
	}
	t->rate = rate_per_s / 1000;
	t->burst = burst;
	t->level = MIN(t->level, lm_depth(t));
}

/* A cap that was removed keeps its counters, which must not go backwards. */
static struct lm_team *lm_find_team(const struct lm_caps *caps, uint64_t team)
{
	struct lm_team *t = g_hash_table_lookup(caps->_teams, &team);

	return t && t->rate > 0 ? t : NULL;
}

static void lm_charge(struct lm_team *t, int64_t cost, int64_t now_ms)
{
	t->own += cost;
	t->changed_ms = now_ms;
	t->paced += (double)cost;
	lm_mean_add(&t->own_usage, LM_CAP_MEAN_MS, (double)cost, now_ms);
	lm_deduct(t, (double)cost, now_ms);
}

/*
 * Offered cost is what callers of this host and the other hosts charge. While
 * the bucket is empty the others charge nothing, so pressure lasts some time.
 */
static bool lm_has_pressure(struct lm_team *t, int64_t now_ms)
{
	if (lm_mean_at(&t->offered, LM_CAP_PRESSURE_MS, now_ms) +
		    lm_mean_at(&t->told, LM_CAP_PRESSURE_MS, now_ms) >
	    t->rate * 1000)
		t->pressure_until_ms = now_ms + LM_CAP_PRESSURE_LASTS_MS;
	return now_ms < t->pressure_until_ms;
}

/*
 * Whether this host is new and does not know what the others charge: it has
 * heard nobody, or only hosts that have just started, too.
 */
static bool lm_is_starting(const struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter i;
	void *value;

	if (caps->_has_heard_older ||
	    (caps->_has_heard &&
	     now_ms - caps->_started_ms >= LM_CAP_SILENT_MS))
		return false;
	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value))
		if (lm_is_used(caps, value))
			return true;
	return false;
}

/* A spike may take this much before it is known everywhere. */
static double lm_pace_from(const struct lm_team *t)
{
	return MAX(LM_CAP_PACE_FROM * lm_depth(t),
		   LM_CAP_PACE_FROM_MS * t->rate);
}

/*
 * All hosts see the same level, so each of them would use it all before they
 * hear of each other. A host that starts uses an equal share; under pressure, a
 * host uses twice its share between two messages.
 */
static bool lm_is_paced(const struct lm_caps *caps, struct lm_team *t,
			int64_t cost, bool goes_first, int64_t now_ms)
{
	double pace_from =
		lm_pace_from(t) * (goes_first ? LM_CAP_FIRST_PACE_PART : 1);
	bool is_overdue;
	double room;

	if (lm_is_starting(caps, now_ms)) {
		room = LM_CAP_START * (double)t->burst +
		       t->rate * (double)(now_ms - caps->_started_ms);
		if (t->own <= 0)
			room = MAX(room, LM_CAP_START_REQUESTS * lm_window(t));
		return (double)(t->own + cost) > room / caps->_hosts;
	}
	is_overdue = now_ms - t->paced_from_ms > LM_CAP_OVERDUE_MS;
	if (!lm_has_pressure(t, now_ms) || caps->_hosts == 1 ||
	    (t->level >= pace_from && !is_overdue))
		return false;
	room = (is_overdue ? 1 : LM_CAP_PACE) * lm_own_share(caps, t) *
	       t->rate *
	       (double)MAX(now_ms - t->paced_from_ms, LM_CAP_MESSAGE_MS);
	/* Between two messages one request is admitted, however large it is. */
	return (t->paced > 0 || is_overdue) && t->paced + (double)cost > room;
}

/* Known charges of all hosts in the last window. */
static double lm_used(struct lm_team *t, int64_t now_ms)
{
	double used = 0;

	lm_note_used(t, 0, now_ms);
	for (uint32_t k = 0; k < LM_CAP_SLOTS; k++)
		used += t->slots[k];
	return MAX(used, 0);
}

static void lm_look(const struct lm_caps *caps, struct lm_team *t,
		    int64_t now_ms, struct lm_cap_answer *answer)
{
	GHashTableIter i;
	void *value;

	memset(answer, 0, sizeof(*answer));
	answer->left = (int64_t)t->level;
	answer->used = (int64_t)lm_used(t, now_ms);
	answer->cap = (int64_t)lm_window(t);
	answer->share_permille = (uint32_t)(1000 * lm_own_share(caps, t));
	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct lm_source *s = value;

		if (lm_is_used(caps, s) && !s->is_forgotten)
			answer->age_ms =
				MAX(answer->age_ms, now_ms - s->heard_ms);
	}
}

bool lm_cap_look(struct lm_caps *caps, uint64_t team, int64_t now_ms,
		 struct lm_cap_answer *answer)
{
	struct lm_team *t = lm_find_team(caps, team);

	if (!t)
		return false;
	lm_fill(t, now_ms);
	lm_look(caps, t, now_ms, answer);
	return true;
}

/* Callers return over the time in which what was refused could be charged. */
static int64_t lm_retry_after_ms(struct lm_caps *caps, const struct lm_team *t,
				 double missing, int64_t now_ms)
{
	double backlog_ms =
		lm_mean_at(&t->refused, LM_CAP_REFUSED_MEAN_MS, now_ms) /
		t->rate;
	double random = (double)(lm_cap_random(caps) >> 11) / 0x1p53;
	double after_ms = MAX(missing, 0) / t->rate + 2 * random * backlog_ms;

	return (int64_t)CLAMP(after_ms, LM_CAP_RETRY_MIN_MS,
			      LM_CAP_RETRY_MAX_MS);
}

/* Costs no more than the mean request that is offered. */
static bool lm_is_small(const struct lm_team *t, int64_t cost, int64_t now_ms)
{
	return (double)cost *
		       lm_mean_at(&t->requests, LM_CAP_PRESSURE_MS, now_ms) <=
	       lm_mean_at(&t->offered, LM_CAP_PRESSURE_MS, now_ms);
}

bool lm_cap_take(struct lm_caps *caps, uint64_t team, int64_t cost,
		 bool is_urgent, int64_t now_ms, struct lm_cap_answer *answer)
{
	struct lm_team *t = lm_find_team(caps, team);
	double needed = (double)cost;
	bool goes_first;

	if (!t)
		return true;
	lm_wake(caps, now_ms);
	/* No window has room for a larger one. */
	t->largest = MAX(t->largest, MIN((double)cost, lm_window(t)));
	lm_fill(t, now_ms);
	lm_mean_add(&t->offered, LM_CAP_PRESSURE_MS, (double)cost, now_ms);
	lm_mean_add(&t->requests, LM_CAP_PRESSURE_MS, 1.0, now_ms);
	goes_first = is_urgent || lm_is_small(t, cost, now_ms);
	if (!goes_first)
		needed = MIN(needed + LM_CAP_RESERVED_PART * lm_depth(t),
			     lm_depth(t));
	if (t->level >= needed &&
	    lm_used(t, now_ms) + (double)cost <=
		    LM_CAP_MOST_USED * lm_window(t) &&
	    !lm_is_paced(caps, t, cost, goes_first, now_ms)) {
		lm_charge(t, cost, now_ms);
		return true;
	}
	lm_look(caps, t, now_ms, answer);
	answer->retry_after_ms =
		lm_retry_after_ms(caps, t, needed - t->level, now_ms);
	lm_mean_add(&t->refused, LM_CAP_REFUSED_MEAN_MS, (double)cost, now_ms);
	return false;
}

void lm_cap_charge(struct lm_caps *caps, uint64_t team, int64_t cost,
		   int64_t now_ms)
{
	struct lm_team *t = lm_find_team(caps, team);

	if (t)
		lm_charge(t, cost, now_ms);
}

void lm_cap_give_back(struct lm_caps *caps, uint64_t team, int64_t cost,
		      int64_t now_ms)
{
	struct lm_team *t = lm_find_team(caps, team);

	if (!t)
		return;
	t->own -= cost;
	t->changed_ms = now_ms;
	t->paced = MAX(t->paced - (double)cost, 0);
	lm_mean_add(&t->own_usage, LM_CAP_MEAN_MS, -(double)cost, now_ms);
	lm_deduct(t, -(double)cost, now_ms);
}

static struct lm_source *lm_add_source(struct lm_caps *caps,
				       const struct lm_cap_expected *is,
				       int64_t now_ms)
{
	struct lm_source *s = g_new0(struct lm_source, 1);

	s->is = *is;
	s->heard_ms = now_ms;
	s->stream_out = ++caps->_streams;
	s->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g_hash_table_insert(caps->_sources, &s->is.id, s);
	return s;
}

static gboolean lm_is_unexpected(void *key, void *value, void *arg)
{
	const struct lm_source *s = value;

	return !s->is_expected;
}

void lm_cap_expect(struct lm_caps *caps, const struct lm_cap_expected *sources,
		   uint32_t count, enum lm_cap_kind uses, uint64_t own_zone,
		   int64_t now_ms)
{
	GHashTableIter i;
	void *value;

	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value))
		((struct lm_source *)value)->is_expected = false;
	caps->_uses = uses;
	caps->_own_zone = own_zone;
	caps->_hosts = 1;
	for (uint32_t k = 0; k < count; k++) {
		struct lm_source *s =
			g_hash_table_lookup(caps->_sources, &sources[k].id);

		if (!s)
			s = lm_add_source(caps, &sources[k], now_ms);
		s->is.zone = sources[k].zone;
		s->is.hosts = sources[k].hosts;
		s->is_expected = true;
		if (lm_is_used(caps, s))
			caps->_hosts += s->is.hosts;
	}
	g_hash_table_foreach_remove(caps->_sources, lm_is_unexpected, NULL);
}

static bool lm_is_young(const struct lm_caps *caps,
			const struct lm_cap_message *message, int64_t now_ms)
{
	return message->age_ms <
	       now_ms - caps->_started_ms + LM_CAP_SAME_START_MS;
}

/*
 * A process that is no older than this one has charged what it did meanwhile. A
 * sum of such a process does not contain what another sender has told before.
 */
static bool lm_is_new_process(const struct lm_caps *caps,
			      const struct lm_source *s,
			      const struct lm_cap_message *message,
			      int64_t now_ms)
{
	return lm_is_young(caps, message, now_ms) &&
	       (s->is.kind == LM_CAP_HOST || !s->was_heard);
}

/*
 * Another stream has other counters, so that what was charged since the last
 * message is not known: it is assumed.
 */
static void lm_start_stream(struct lm_caps *caps, struct lm_source *s,
			    const struct lm_cap_message *message,
			    int64_t now_ms)
{
	GHashTableIter i;
	void *value;
	double gap_ms = (double)MAX(now_ms - s->heard_ms, 0);

	s->is_new_process = lm_is_new_process(caps, s, message, now_ms);
	g_hash_table_iter_init(&i, caps->_teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct lm_team *t = value;
		struct lm_part *part = lm_part_of(s, t);
		double assumed = part->assumed;

		if (s->is_new_process)
			assumed = 0;
		else if (s->was_heard && !s->is_forgotten)
			assumed = part->share * t->rate * gap_ms;
		lm_count(caps, s, part, t, assumed - part->assumed, false,
			 now_ms);
		part->has_counter = false;
		part->assumed = 0;
	}
	s->stream_in = message->stream;
	s->sequence = 0;
	s->has_whole = false;
}

/*
 * A correction after more than a window must not empty the bucket: the assumed
 * charges were as much as the source was allowed.
 */
static double lm_correct(const struct lm_source *s, double charged,
			 double assumed, int64_t now_ms)
{
	if (now_ms - s->heard_ms <= LM_CAP_WINDOW_MS)
		return charged - assumed;
	return s->is_forgotten ? 0 : MIN(charged - assumed, 0);
}

static void lm_hear_row(struct lm_caps *caps, struct lm_source *s,
			struct lm_team *t, int64_t used, int64_t now_ms)
{
	struct lm_part *part = lm_part_of(s, t);
	double charged = 0;

	if (part->has_counter)
		charged = (double)(used - part->counter);
	else if (s->has_whole || s->is_new_process)
		charged = (double)used;
	part->counter = used;
	part->has_counter = true;
	lm_mean_add(&part->usage, LM_CAP_MEAN_MS, charged, now_ms);
	charged = lm_correct(s, charged, part->assumed, now_ms);
	part->assumed = 0;
	lm_count(caps, s, part, t, charged, true, now_ms);
}

/* Teams that are not listed have charged nothing, or it is told soon. */
static void lm_settle(struct lm_caps *caps, struct lm_source *s, int64_t now_ms)
{
	GHashTableIter i;
	void *value;

	g_hash_table_iter_init(&i, caps->_teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct lm_team *t = value;
		struct lm_part *part = lm_part_of(s, t);

		if (part->assumed != 0) {
			double back = lm_correct(s, 0, part->assumed, now_ms);

			part->assumed = 0;
			lm_count(caps, s, part, t, back, false, now_ms);
		}
		if (lm_is_used(caps, s)) {
			t->paced = 0;
			t->paced_from_ms = now_ms;
		}
	}
}

/* While two collectors send the sum of the same hosts, one of them counts. */
static bool lm_may_change(const struct lm_source *s, int64_t now_ms)
{
	return s->is.kind == LM_CAP_HOST || !s->was_heard ||
	       now_ms - s->heard_ms >= LM_CAP_SENDER_SILENT_MS;
}

void lm_cap_heard(struct lm_caps *caps, uint64_t id,
		  const struct lm_cap_message *message, int64_t now_ms)
{
	struct lm_source *s = g_hash_table_lookup(caps->_sources, &id);

	if (!s)
		return;
	lm_wake(caps, now_ms);
	if (s->stream_in != message->stream || !s->was_heard) {
		if (!lm_may_change(s, now_ms))
			return;
		lm_start_stream(caps, s, message, now_ms);
	}
	if (message->sequence <= s->sequence)
		return;
	s->sequence = message->sequence;
	for (uint32_t i = 0; i < message->count; i++) {
		struct lm_team *t = g_hash_table_lookup(caps->_teams,
							&message->rows[i].team);

		if (t)
			lm_hear_row(caps, s, t, message->rows[i].used, now_ms);
	}
	s->has_whole |= message->is_whole;
	lm_settle(caps, s, now_ms);
	if (lm_is_used(caps, s)) {
		caps->_has_heard = true;
		caps->_heard_ms = now_ms;
	}
	caps->_has_heard_older |=
		lm_is_used(caps, s) && !lm_is_young(caps, message, now_ms);
	s->was_heard = true;
	s->is_fresh = true;
	s->is_forgotten = false;
	s->heard_ms = now_ms;
}

static bool lm_is_heard(const struct lm_caps *caps, const struct lm_source *s,
			int64_t now_ms)
{
	bool hears_any = now_ms - caps->_heard_ms <= LM_CAP_ALONE_MS;

	return s->was_heard &&
	       now_ms - s->heard_ms <=
		       (hears_any ? LM_CAP_SILENT_MS : LM_CAP_ALONE_MS);
}

static bool lm_is_silent(const struct lm_caps *caps, const struct lm_source *s,
			 int64_t now_ms)
{
	return lm_is_used(caps, s) && !s->is_forgotten &&
	       !lm_is_heard(caps, s, now_ms);
}

/* Whether another host of the zone of @s is heard, or this host is there. */
static bool lm_has_neighbour(const struct lm_caps *caps,
			     const struct lm_source *s, int64_t now_ms)
{
	GHashTableIter i;
	void *value;
	bool hears = false, hears_zone = false;

	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct lm_source *other = value;

		if (!lm_is_used(caps, other) ||
		    !lm_is_heard(caps, other, now_ms))
			continue;
		hears = true;
		hears_zone |= other->is.kind == LM_CAP_HOST &&
			      other->is.zone == s->is.zone;
	}
	return hears && (hears_zone || s->is.zone == caps->_own_zone);
}

static void lm_assume(struct lm_caps *caps, struct lm_source *s, int64_t now_ms)
{
	GHashTableIter i;
	void *value;

	g_hash_table_iter_init(&i, caps->_teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct lm_team *t = value;
		struct lm_part *part = lm_part_of(s, t);
		double assumed;

		if (!s->was_heard)
			part->share = (double)s->is.hosts / caps->_hosts;
		assumed =
			part->share * t->rate * (double)(now_ms - s->heard_ms);
		if (assumed <= part->assumed)
			continue;
		lm_count(caps, s, part, t, assumed - part->assumed, false,
			 now_ms);
		part->assumed = assumed;
	}
}

static void lm_tick_source(struct lm_caps *caps, struct lm_source *s,
			   int64_t now_ms)
{
	int64_t silent_ms = now_ms - s->heard_ms;

	if (s->is_forgotten || lm_is_heard(caps, s, now_ms))
		return;
	if (s->is.kind == LM_CAP_HOST && silent_ms > LM_CAP_WINDOW_MS &&
	    lm_has_neighbour(caps, s, now_ms)) {
		s->is_forgotten = true;
		return;
	}
	lm_assume(caps, s, now_ms);
}

/* Sums the usage of all sources, for the shares. */
static void lm_sum_usage(struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter teams, sources;
	void *value;

	g_hash_table_iter_init(&teams, caps->_teams);
	while (g_hash_table_iter_next(&teams, NULL, &value)) {
		struct lm_team *t = value;
		void *source;

		t->others = 0;
		g_hash_table_iter_init(&sources, caps->_sources);
		while (g_hash_table_iter_next(&sources, NULL, &source)) {
			struct lm_source *s = source;

			if (lm_is_used(caps, s) && !s->is_forgotten)
				t->others += lm_part_usage(s, lm_part_of(s, t),
							   now_ms);
		}
	}
}

/*
 * Both sides of a cut hold the same bucket. Each keeps its share of it, or the
 * rest would be spent once on each side.
 */
static void lm_keep_share(struct lm_team *t, double heard, int64_t now_ms)
{
	double refilled, kept;

	heard = CLAMP(heard, 0, 1);
	lm_fill(t, now_ms);
	/* The refill since the last message is reduced to the share already. */
	refilled = heard * t->rate * LM_CAP_SILENT_MS;
	kept = t->level - refilled;
	if (heard < t->heard && kept > 0)
		t->level = refilled + kept * heard / t->heard;
	t->heard = heard;
}

static void lm_keep_shares(struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter teams, sources;
	void *team, *value;

	g_hash_table_iter_init(&teams, caps->_teams);
	while (g_hash_table_iter_next(&teams, NULL, &team)) {
		struct lm_team *t = team;
		double heard = 1;

		g_hash_table_iter_init(&sources, caps->_sources);
		while (g_hash_table_iter_next(&sources, NULL, &value)) {
			struct lm_source *s = value;

			if (s->was_heard && lm_is_silent(caps, s, now_ms))
				heard -= lm_part_of(s, t)->share;
		}
		lm_keep_share(t, heard, now_ms);
	}
}

/*
 * Notes the shares of the sources that were just heard, all of them from usage
 * of the same moment: the shares on both sides of a cut must add up to one.
 */
static void lm_note_shares(struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter teams, sources;
	void *team, *value;
	bool has_news = caps->_hosts == 1;

	g_hash_table_iter_init(&sources, caps->_sources);
	while (g_hash_table_iter_next(&sources, NULL, &value)) {
		struct lm_source *s = value;

		has_news |= s->is_fresh && lm_is_used(caps, s);
		g_hash_table_iter_init(&teams, caps->_teams);
		while (s->is_fresh &&
		       g_hash_table_iter_next(&teams, NULL, &team)) {
			struct lm_team *t = team;
			struct lm_part *part = lm_part_of(s, t);
			double own = lm_mean_at(&t->own_usage, LM_CAP_MEAN_MS,
						now_ms);
			double usage = lm_part_usage(s, part, now_ms);

			part->share = lm_share(caps, usage, own + t->others,
					       s->is.hosts);
		}
		s->is_fresh = false;
	}
	g_hash_table_iter_init(&teams, caps->_teams);
	while (has_news && g_hash_table_iter_next(&teams, NULL, &team)) {
		struct lm_team *t = team;
		double own = lm_mean_at(&t->own_usage, LM_CAP_MEAN_MS, now_ms);

		t->own_share = lm_share(caps, own, own + t->others, 1);
	}
}

void lm_cap_tick(struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter i;
	void *value;

	lm_wake(caps, now_ms);
	caps->_ticked_ms = now_ms;
	if (!caps->_active)
		return;
	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value))
		lm_tick_source(caps, value, now_ms);
	lm_keep_shares(caps, now_ms);
	lm_sum_usage(caps, now_ms);
	lm_note_shares(caps, now_ms);
}

static int64_t lm_counter(const struct lm_team *t,
			  const struct lm_cap_query *query,
			  struct lm_source *receiver)
{
	double used = (double)t->own;

	if (query->kind != LM_CAP_HOST)
		used += t->by_kind[LM_CAP_HOST];
	if (query->kind == LM_CAP_ALL)
		used += t->by_kind[LM_CAP_ZONE] -
			lm_part_of(receiver, (struct lm_team *)t)->total;
	return llround(used);
}

static int lm_compare_levels(const void *a, const void *b)
{
	const struct lm_team *left = *(struct lm_team *const *)a;
	const struct lm_team *right = *(struct lm_team *const *)b;
	double l = left->level / MAX(lm_depth(left), 1);
	double r = right->level / MAX(lm_depth(right), 1);

	return (l > r) - (l < r);
}

/* Puts half of the places to those nearest to their cap, the rest in turns. */
static void lm_choose(struct lm_caps *caps, GPtrArray *teams, uint32_t max)
{
	uint32_t first = max / 2, rest = teams->len - first;

	g_ptr_array_sort(teams, lm_compare_levels);
	for (uint32_t i = first; i < max; i++) {
		uint32_t k = first + (uint32_t)(caps->_turn++ % rest);
		void *swap = teams->pdata[i];

		teams->pdata[i] = teams->pdata[k];
		teams->pdata[k] = swap;
	}
	g_ptr_array_set_size(teams, (int)max);
}

bool lm_cap_list(struct lm_caps *caps, const struct lm_cap_query *query,
		 struct lm_cap_message *message, int64_t now_ms)
{
	struct lm_source *receiver = NULL;
	GPtrArray *teams;
	GHashTableIter i;
	void *value;

	memset(message, 0, sizeof(*message));
	if (query->kind == LM_CAP_ALL) {
		receiver =
			g_hash_table_lookup(caps->_sources, &query->receiver);
		if (!receiver)
			return false;
	}
	teams = g_ptr_array_new();
	g_hash_table_iter_init(&i, caps->_teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct lm_team *t = value;

		if (t->changed_ms && t->changed_ms >= query->changed_ms)
			g_ptr_array_add(teams, t);
	}
	message->is_whole = !query->changed_ms && teams->len <= query->max;
	if (teams->len > query->max)
		lm_choose(caps, teams, query->max);
	for (uint32_t k = 0; k < teams->len; k++) {
		const struct lm_team *t = teams->pdata[k];

		query->rows[k] =
			(struct lm_cap_row){ t->id,
					     lm_counter(t, query, receiver) };
	}
	message->stream = receiver ? receiver->stream_out : caps->_own_stream;
	message->age_ms = now_ms - caps->_started_ms;
	message->rows = query->rows;
	message->count = teams->len;
	g_ptr_array_free(teams, TRUE);
	return true;
}

uint32_t lm_cap_silent(const struct lm_caps *caps, int64_t now_ms)
{
	GHashTableIter i;
	void *value;
	uint32_t silent = 0;

	g_hash_table_iter_init(&i, caps->_sources);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		silent += lm_is_silent(caps, value, now_ms);
	}
	return silent;
}
