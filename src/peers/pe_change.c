#include "peers/pe_change.h"

#include <stdlib.h>
#include <string.h>

/* A message with fewer loads than this consists mostly of headers. */
#define PE_MIN_SHARES 12
/* Smaller differences do not change which upstream a host chooses: one of eight
 * requests, or the tokens that an engine reads in some 10 ms. */
#define PE_SMALL_FRACTION 8
#define PE_SMALL_TOKENS	  200
/* A request delays others about as much as so many tokens. */
#define PE_TOKENS_PER_REQUEST 500
/* Of the loads in a message, so many may be repetitions: 3 of 4. The others
 * are left for changes. */
#define PE_REPEATED_NUMERATOR	3
#define PE_REPEATED_DENOMINATOR 4
/* Parts of a budget. */
#define PE_STANDBY_PART 8
#define PE_LEAST_PART	4
/* An upstream without load is sent as zero in so many turns. */
#define PE_ZERO_TURNS 2

/**
 * struct pe_sent - an upstream whose load was sent.
 * @sent: the load in the last message that carried it.
 * @now: the present load.
 * @sent_ms: time of that message; 0: none.
 * @zero_ms: since when it has no load; 0: it has.
 */
struct pe_sent {
	struct pe_share sent;
	struct pe_share now;
	int64_t sent_ms;
	int64_t zero_ms;
	uint64_t round;
};

void pe_change_init(struct pe_change *change)
{
	memset(change, 0, sizeof(*change));
	change->_sent = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
}

void pe_change_finish(struct pe_change *change)
{
	if (change->_sent)
		g_hash_table_destroy(change->_sent);
	change->_sent = NULL;
}

void pe_change_clear(struct pe_change *change)
{
	g_hash_table_remove_all(change->_sent);
}

struct pe_change_plan pe_change_plan(const struct pe_change_budget *budget)
{
	const int64_t full_bytes =
		PE_DATAGRAM_BYTES + PE_DATAGRAM_SHARES * PE_SHARE_BYTES;
	const int64_t least_bytes =
		PE_DATAGRAM_BYTES + PE_MIN_SHARES * PE_SHARE_BYTES;
	int64_t receivers = MAX(budget->receivers, 1);
	int64_t bytes_per_s = MAX(budget->bytes_per_s, 1);
	int64_t room = bytes_per_s * budget->period_ms / 1000 / receivers;
	struct pe_change_plan plan = { .period_ms = budget->period_ms };
	int64_t datagrams = CLAMP(room / full_bytes, 1, budget->max_datagrams);
	int64_t turns;

	if (room < least_bytes) {
		plan.period_ms =
			(receivers * least_bytes * 1000 + bytes_per_s - 1) /
			bytes_per_s;
		room = least_bytes;
	}
	plan.shares =
		MIN((room - datagrams * PE_DATAGRAM_BYTES) / PE_SHARE_BYTES,
		    datagrams * PE_DATAGRAM_SHARES);
	plan.repeated =
		plan.shares * PE_REPEATED_NUMERATOR / PE_REPEATED_DENOMINATOR;
	turns = (budget->upstreams + plan.repeated - 1) / plan.repeated;
	plan.turn_ms = MAX(PE_TURN_MS, turns * plan.period_ms);
	return plan;
}

int64_t pe_change_room(int64_t budget, int64_t other, bool is_standby)
{
	int64_t standby = budget / PE_STANDBY_PART;

	if (is_standby)
		return standby;
	return MAX(budget - standby - other, budget / PE_LEAST_PART);
}

static void pe_note_present(struct pe_change *change, const GArray *sums)
{
	change->_round++;
	for (uint32_t i = 0; i < sums->len; i++) {
		const struct pe_share *share =
			&g_array_index(sums, struct pe_share, i);
		struct pe_sent *s =
			g_hash_table_lookup(change->_sent, &share->engine);

		if (!s) {
			s = g_new0(struct pe_sent, 1);
			s->sent.engine = share->engine;
			g_hash_table_insert(change->_sent, &s->sent.engine, s);
		}
		s->now = *share;
		s->zero_ms = 0;
		s->round = change->_round;
	}
}

/* Returns the upstreams; those that have had no load for long are removed. */
static GPtrArray *pe_list_sent(struct pe_change *change, int64_t turn_ms,
			       int64_t now_ms)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, change->_sent);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pe_sent *s = value;

		if (s->round != change->_round) {
			s->now.running = 0;
			s->now.tokens = 0;
			if (!s->zero_ms)
				s->zero_ms = now_ms;
		}
		if (s->zero_ms &&
		    (!s->sent_ms ||
		     (s->sent_ms >= s->zero_ms &&
		      now_ms - s->zero_ms > PE_ZERO_TURNS * turn_ms)))
			g_hash_table_iter_remove(&iter);
		else
			g_ptr_array_add(list, s);
	}
	return list;
}

static int64_t pe_distance(uint32_t a, uint32_t b)
{
	return llabs((int64_t)a - (int64_t)b);
}

/* Returns how much the load has changed; 0: not enough. */
static int64_t pe_weight(const struct pe_sent *s)
{
	int64_t running = pe_distance(s->now.running, s->sent.running);
	int64_t tokens = pe_distance(s->now.tokens, s->sent.tokens);
	bool is_idle_now = !s->now.running && !s->now.tokens;
	bool was_idle = !s->sent.running && !s->sent.tokens;

	if (is_idle_now == was_idle &&
	    running <=
		    MAX(s->now.running, s->sent.running) / PE_SMALL_FRACTION &&
	    tokens <= MAX(PE_SMALL_TOKENS, MAX(s->now.tokens, s->sent.tokens) /
						   PE_SMALL_FRACTION))
		return 0;
	return running * PE_TOKENS_PER_REQUEST + tokens;
}

static int pe_compare_age(const void *a, const void *b)
{
	const struct pe_sent *x = *(struct pe_sent *const *)a;
	const struct pe_sent *y = *(struct pe_sent *const *)b;

	return x->sent_ms < y->sent_ms ? -1 : x->sent_ms > y->sent_ms;
}

static int pe_compare_weight(const void *a, const void *b)
{
	int64_t x = pe_weight(*(struct pe_sent *const *)a);
	int64_t y = pe_weight(*(struct pe_sent *const *)b);

	return x > y ? -1 : x < y;
}

static void pe_send_share(struct pe_sent *s, int64_t now_ms, GArray *out)
{
	s->sent.running = s->now.running;
	s->sent.tokens = s->now.tokens;
	s->sent_ms = now_ms;
	g_array_append_val(out, s->sent);
}

void pe_change_choose(struct pe_change *change, const GArray *sums,
		      const struct pe_change_plan *plan, int64_t now_ms,
		      GArray *out)
{
	GPtrArray *list;

	pe_note_present(change, sums);
	list = pe_list_sent(change, plan->turn_ms, now_ms);
	g_ptr_array_sort(list, pe_compare_age);
	for (uint32_t i = 0; i < list->len && out->len < plan->repeated; i++) {
		struct pe_sent *s = list->pdata[i];

		/* What was never sent is a change. */
		if (!s->sent_ms)
			continue;
		if (now_ms - s->sent_ms < PE_TURN_MS - plan->period_ms)
			break;
		pe_send_share(s, now_ms, out);
	}
	g_ptr_array_sort(list, pe_compare_weight);
	for (uint32_t i = 0; i < list->len && out->len < plan->shares; i++) {
		if (!pe_weight(list->pdata[i]))
			break;
		pe_send_share(list->pdata[i], now_ms, out);
	}
	g_ptr_array_free(list, TRUE);
}

uint32_t pe_change_relays(uint32_t members, uint32_t max_forwards)
{
	uint32_t relays = 1;

	if (members <= PE_DIRECT_MEMBERS)
		return members;
	while (relays * relays < members)
		relays++;
	return MAX(relays, (members + max_forwards) / (max_forwards + 1));
}
