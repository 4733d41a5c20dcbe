#include "peers/pe_zone.h"

#include <string.h>

/* A host that has been a collector for less has not heard all members. */
#define PE_WARM_UP_MS 400
/* Load of a member or a zone that has been silent for longer is dropped. */
#define PE_MEMBER_SILENT_MS 1500
/* Another sender for a zone is accepted after this silence of the last one. */
#define PE_SENDER_SILENT_MS 700
/* Sums are used for this many of their periods after the last one. */
#define PE_FRESH_PERIODS 5
#define PE_MAX_PERIOD_MS 2000
/* A collector that sends nothing for so many of its periods is replaced. */
#define PE_SILENT_PERIODS 5
/* Another sender is accepted after so many periods of the last one at least. */
#define PE_SENDER_SILENT_PERIODS 3
/* A load that is repeated in each turn is dropped after so many without it. */
#define PE_LOST_TURNS 3
/* A report takes this long to be part of the sums of the collector. */
#define PE_REPORT_TRANSIT_MS 20

/**
 * struct pe_sender - the collector that sums a zone.
 * @zone: hash of the other zone; 0: collector of the own one.
 * @period_ms: of its messages.
 * @turn_ms: in which it repeats each load; 0: it sends all in each message.
 * @parts: shares of the parts of @sequence received until now.
 * @parts_received: their number.
 */
struct pe_sender {
	uint64_t zone;
	uint64_t sender;
	int64_t received_ms;
	int64_t period_ms;
	int64_t turn_ms;
	uint64_t sequence;
	uint32_t parts_received;
	GArray *parts;
};

static void pe_sender_free(void *data)
{
	struct pe_sender *s = data;

	g_array_free(s->parts, TRUE);
	g_free(s);
}

void pe_zone_init(struct pe_zone *zone)
{
	memset(zone, 0, sizeof(*zone));
	pe_load_init(&zone->_members);
	pe_load_init(&zone->_all);
	pe_load_init(&zone->_sums);
	zone->_senders = g_ptr_array_new_with_free_func(pe_sender_free);
}

void pe_zone_finish(struct pe_zone *zone)
{
	if (!zone->_senders)
		return;
	pe_load_finish(&zone->_members);
	pe_load_finish(&zone->_all);
	pe_load_finish(&zone->_sums);
	g_ptr_array_free(zone->_senders, TRUE);
	zone->_senders = NULL;
}

/* Returns the usable host of @zone with the lowest hash above @after. */
static int32_t pe_next_collector(const struct pe_zone_host *hosts,
				 uint32_t count, uint32_t zone, int32_t after)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (hosts[i].zone != zone || !hosts[i].is_usable ||
		    (after >= 0 && hosts[i].hash <= hosts[after].hash))
			continue;
		if (best < 0 || hosts[i].hash < hosts[best].hash)
			best = i;
	}
	return best;
}

uint32_t pe_zone_collectors(const struct pe_zone_host *hosts, uint32_t count,
			    uint32_t zone, uint32_t indexes[PE_COLLECTORS])
{
	uint32_t found = 0;
	int32_t last = -1;

	while (found < PE_COLLECTORS) {
		last = pe_next_collector(hosts, count, zone, last);
		if (last < 0)
			break;
		indexes[found++] = last;
	}
	return found;
}

bool pe_zone_is_silent(int64_t silent_ms, int64_t report_ms, int64_t sums_ms)
{
	return silent_ms > PE_SILENT_PERIODS * MAX(report_ms, sums_ms);
}

void pe_zone_add_member(struct pe_zone *zone, uint64_t host, uint64_t sequence,
			const struct pe_share *shares, uint32_t count,
			int64_t now_ms)
{
	pe_load_receive(&zone->_members, host, sequence, shares, count, now_ms);
	pe_load_receive(&zone->_all, host, sequence, shares, count, now_ms);
}

static struct pe_sender *pe_find_sender(struct pe_zone *zone, uint64_t other)
{
	struct pe_sender *added;

	for (uint32_t i = 0; i < zone->_senders->len; i++) {
		struct pe_sender *s = zone->_senders->pdata[i];

		if (s->zone == other)
			return s;
	}
	added = g_new0(struct pe_sender, 1);
	added->zone = other;
	added->parts = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	g_ptr_array_add(zone->_senders, added);
	return added;
}

/* Returns NULL while another host sends the sums of this zone. */
static struct pe_sender *pe_accept_sender(struct pe_zone *zone, uint64_t other,
					  uint64_t sender, int64_t now_ms)
{
	struct pe_sender *s = pe_find_sender(zone, other);
	int64_t silent_ms = MAX(PE_SENDER_SILENT_MS,
				PE_SENDER_SILENT_PERIODS * s->period_ms);

	if (s->sender != sender) {
		if (s->sender && now_ms - s->received_ms < silent_ms)
			return NULL;
		if (other)
			pe_load_restart(&zone->_all, other);
		else
			pe_load_restart(&zone->_sums, PE_SELF);
		s->sender = sender;
		s->sequence = 0;
	}
	s->received_ms = now_ms;
	return s;
}

static void pe_renew_sums(struct pe_zone *zone, int64_t period_ms,
			  int64_t now_ms)
{
	zone->_fresh_until_ms =
		now_ms +
		PE_FRESH_PERIODS * CLAMP(period_ms, 1, PE_MAX_PERIOD_MS);
}

static void pe_apply_sums(struct pe_zone *zone, struct pe_sender *s,
			  int64_t period_ms, int64_t now_ms)
{
	const struct pe_share *shares =
		(const struct pe_share *)(void *)s->parts->data;

	s->period_ms = period_ms;
	if (s->zone) {
		pe_load_receive(&zone->_all, s->zone, s->sequence, shares,
				s->parts->len, now_ms);
		return;
	}
	pe_load_receive(&zone->_sums, PE_SELF, s->sequence, shares,
			s->parts->len, now_ms);
	zone->_complete_from_ms = now_ms;
	pe_renew_sums(zone, period_ms, now_ms);
}

void pe_zone_add_sums(struct pe_zone *zone, uint64_t other,
		      const struct pe_zone_part *part, int64_t now_ms)
{
	struct pe_sender *s =
		pe_accept_sender(zone, other, part->sender, now_ms);

	if (!s || part->sequence < s->sequence)
		return;
	if (part->sequence > s->sequence) {
		g_array_set_size(s->parts, 0);
		s->sequence = part->sequence;
		s->parts_received = 0;
	}
	/* The parts of a sum are sent in order; a gap drops the sum. */
	if (part->part != s->parts_received ||
	    s->parts->len + part->count > PE_MAX_SUM_SHARES)
		return;
	g_array_append_vals(s->parts, part->shares, part->count);
	if (++s->parts_received == part->parts)
		pe_apply_sums(zone, s, part->period_ms, now_ms);
}

void pe_zone_note_own(struct pe_zone *zone, const struct pe_share *shares,
		      uint32_t count, int64_t now_ms)
{
	struct pe_own *own = &zone->_own[zone->_own_count++ % PE_OWN_REPORTS];

	own->sent_ms = now_ms;
	own->count = MIN(count, PE_MAX_OWN_SHARES);
	memcpy(own->shares, shares, own->count * sizeof(*shares));
}

/* Returns the last report that the sums received at @now_ms can contain. */
static const struct pe_own *pe_own_in_sums(const struct pe_zone *zone,
					   int64_t now_ms)
{
	uint32_t count = MIN(zone->_own_count, PE_OWN_REPORTS);

	for (uint32_t i = 1; i <= count; i++) {
		const struct pe_own *own =
			&zone->_own[(zone->_own_count - i) % PE_OWN_REPORTS];

		if (now_ms - own->sent_ms >= PE_REPORT_TRANSIT_MS)
			return own;
	}
	return NULL;
}

static struct pe_share pe_without_own(struct pe_share sum,
				      const struct pe_own *own)
{
	for (uint32_t i = 0; own && i < own->count; i++) {
		if (own->shares[i].engine != sum.engine)
			continue;
		sum.running -= MIN(sum.running, own->shares[i].running);
		sum.tokens -= MIN(sum.tokens, own->shares[i].tokens);
	}
	return sum;
}

/* Merges sums over all hosts, this one included. */
static void pe_merge_own_sums(struct pe_zone *zone, const struct pe_sender *s,
			      const struct pe_zone_changes *changes,
			      int64_t now_ms)
{
	const struct pe_own *own = pe_own_in_sums(zone, now_ms);

	for (uint32_t i = 0; i < changes->count; i++) {
		struct pe_share share = pe_without_own(changes->shares[i], own);

		pe_load_merge(&zone->_sums, PE_SELF, changes->sequence, &share,
			      1, now_ms);
	}
	if (!zone->_complete_from_ms)
		zone->_complete_from_ms = now_ms + s->turn_ms;
	if (now_ms >= zone->_complete_from_ms)
		pe_renew_sums(zone, s->period_ms, now_ms);
}

void pe_zone_add_changes(struct pe_zone *zone, uint64_t other,
			 const struct pe_zone_changes *changes, int64_t now_ms)
{
	struct pe_sender *s =
		pe_accept_sender(zone, other, changes->sender, now_ms);

	if (!s)
		return;
	s->period_ms = changes->period_ms;
	s->turn_ms = changes->turn_ms;
	if (other)
		pe_load_merge(&zone->_all, other, changes->sequence,
			      changes->shares, changes->count, now_ms);
	else
		pe_merge_own_sums(zone, s, changes, now_ms);
}

void pe_zone_set_collecting(struct pe_zone *zone, bool is_collecting,
			    int64_t now_ms)
{
	if (!is_collecting)
		zone->_collecting_from_ms = 0;
	else if (!zone->_collecting_from_ms)
		zone->_collecting_from_ms = now_ms;
}

bool pe_zone_may_send(const struct pe_zone *zone, int64_t now_ms)
{
	return zone->_collecting_from_ms &&
	       now_ms - zone->_collecting_from_ms >= PE_WARM_UP_MS;
}

void pe_zone_list_for_member(const struct pe_zone *zone, uint64_t host,
			     GArray *out)
{
	pe_load_list(&zone->_all, host, out);
}

void pe_zone_list_own(const struct pe_zone *zone, GArray *out)
{
	pe_load_list(&zone->_members, 0, out);
}

bool pe_zone_others(const struct pe_zone *zone, uint64_t engine, int64_t now_ms,
		    struct pe_share *share)
{
	bool is_fresh = now_ms < zone->_fresh_until_ms;

	/* The standby, too, hears of other zones sooner by the collector. */
	if (!is_fresh && pe_zone_may_send(zone, now_ms)) {
		*share = pe_load_sum_without(&zone->_all, engine, PE_SELF);
		return true;
	}
	*share = pe_load_sum(&zone->_sums, engine);
	return is_fresh;
}

void pe_zone_list_all(const struct pe_zone *zone, GArray *out)
{
	pe_load_list(&zone->_all, 0, out);
}

/* Drops what the sender did not repeat in time. */
static void pe_expire_lost(struct pe_zone *zone, const struct pe_sender *s,
			   int64_t now_ms)
{
	if (!s->turn_ms)
		return;
	if (s->zone)
		pe_load_expire_merged(&zone->_all, s->zone,
				      now_ms - PE_LOST_TURNS * s->turn_ms);
	else
		pe_load_expire_merged(&zone->_sums, PE_SELF,
				      now_ms - PE_LOST_TURNS * s->turn_ms);
}

static bool pe_sender_is_silent(const struct pe_sender *s, int64_t now_ms)
{
	return now_ms - s->received_ms >
	       MAX(PE_MEMBER_SILENT_MS, PE_SILENT_PERIODS * s->period_ms);
}

void pe_zone_expire(struct pe_zone *zone, int64_t now_ms)
{
	for (uint32_t i = zone->_senders->len; i-- > 0;) {
		const struct pe_sender *s = zone->_senders->pdata[i];

		if (!pe_sender_is_silent(s, now_ms)) {
			pe_expire_lost(zone, s, now_ms);
			if (s->zone)
				pe_load_touch(&zone->_all, s->zone, now_ms);
			continue;
		}
		if (s->zone)
			pe_load_remove(&zone->_all, s->zone);
		else
			zone->_complete_from_ms = 0;
		g_ptr_array_remove_index_fast(zone->_senders, i);
	}
	pe_load_expire(&zone->_members, now_ms - PE_MEMBER_SILENT_MS);
	pe_load_expire(&zone->_all, now_ms - PE_MEMBER_SILENT_MS);
}
