#include "http1/h1_guard.h"

#include <string.h>

/* Members that one decision looks at, and that one call sheds. */
#define H1_GUARD_LOOKS 32
#define H1_GUARD_SHEDS 8
/*
 * A request whose next byte is so late has stalled: packets of a caller in
 * another region that are lost twice come within 0.6 s.
 */
#define H1_GUARD_STALL_MS 700
/* An answer that is read so slowly may be given up when memory is short. */
#define H1_GUARD_UNREAD_MS 2000
/*
 * Slower requests give way when memory is short: a body of 64 KB that takes the
 * usual 3 s is at 21 KB/s.
 */
#define H1_GUARD_SLOW_BYTES_PER_S 16384
/* Before that, a rate says nothing. */
#define H1_GUARD_RATE_AGE_MS 1000
/* Ranks; ages in ms are below. */
#define H1_GUARD_RANK_STALLED (UINT64_C(1) << 40)
#define H1_GUARD_RANK_UNKNOWN (UINT64_C(1) << 41)

void h1_guard_init(struct h1_guard *guard, struct ba_account *account)
{
	memset(guard, 0, sizeof(*guard));
	guard->account = account;
}

void h1_guard_join(struct h1_guard *guard, struct h1_member *member,
		   int64_t now_ms)
{
	member->standing = H1_FRESH;
	member->since_ms = now_ms;
	member->moved_ms = now_ms;
	member->read_bytes = 0;
	member->charged_bytes = 0;
	member->is_known = false;
	member->_link.data = member;
	member->_holder.data = member;
	g_queue_push_tail_link(&guard->_members[H1_FRESH], &member->_link);
	guard->_open++;
}

void h1_guard_leave(struct h1_guard *guard, struct h1_member *member)
{
	h1_guard_hold(guard, member, 0);
	g_queue_unlink(&guard->_members[member->standing], &member->_link);
	guard->_open--;
}

void h1_guard_set(struct h1_guard *guard, struct h1_member *member,
		  enum h1_standing standing, int64_t now_ms)
{
	if (member->standing == standing)
		return;
	g_queue_unlink(&guard->_members[member->standing], &member->_link);
	member->standing = standing;
	member->since_ms = now_ms;
	member->moved_ms = now_ms;
	g_queue_push_tail_link(&guard->_members[standing], &member->_link);
}

static uint64_t h1_guard_charge_of(uint64_t bytes)
{
	return bytes > H1_GUARANTEED_BYTES ? bytes - H1_GUARANTEED_BYTES : 0;
}

void h1_guard_hold(struct h1_guard *guard, struct h1_member *member,
		   uint64_t bytes)
{
	uint64_t charge = h1_guard_charge_of(bytes);

	if (charge == member->charged_bytes)
		return;
	if (!member->charged_bytes)
		g_queue_push_tail_link(&guard->_holders, &member->_holder);
	else if (!charge)
		g_queue_unlink(&guard->_holders, &member->_holder);
	ba_charge(guard->account, BA_CALLERS,
		  (int64_t)(charge - member->charged_bytes));
	member->charged_bytes = charge;
}

static bool h1_guard_is_slow(const struct h1_member *member, int64_t now_ms)
{
	int64_t age_ms = now_ms - member->since_ms;

	return age_ms >= H1_GUARD_RATE_AGE_MS &&
	       member->read_bytes * 1000 / (uint64_t)age_ms <
		       H1_GUARD_SLOW_BYTES_PER_S;
}

uint64_t h1_guard_rank_memory(const struct h1_member *member, int64_t now_ms)
{
	int64_t quiet_ms = now_ms - member->moved_ms;
	int64_t age_ms = now_ms - member->since_ms;

	if (!member->charged_bytes)
		return 0;
	switch (member->standing) {
	case H1_UNREAD:
		return quiet_ms >= H1_GUARD_UNREAD_MS ? quiet_ms : 0;
	case H1_UNFINISHED:
		break;
	default:
		return 0;
	}
	if (quiet_ms >= H1_GUARD_STALL_MS || h1_guard_is_slow(member, now_ms))
		return H1_GUARD_RANK_STALLED + age_ms +
		       (member->is_known ? 0 : H1_GUARD_RANK_UNKNOWN);
	return 0;
}

bool h1_guard_may_close(const struct h1_member *member, int64_t now_ms)
{
	switch (member->standing) {
	case H1_LEAVING:
	case H1_FRESH:
	case H1_KEPT:
		return true;
	case H1_UNFINISHED:
		return now_ms - member->moved_ms >= H1_GUARD_STALL_MS ||
		       h1_guard_is_slow(member, now_ms);
	case H1_UNREAD:
		return now_ms - member->moved_ms >= H1_GUARD_UNREAD_MS;
	default:
		return false;
	}
}

/*
 * Looks at those that have held memory the longest. Those that keep it go to
 * the end, so that they don't hide others from the next look.
 */
static struct h1_member *h1_guard_for_memory(struct h1_guard *guard,
					     int64_t now_ms)
{
	uint32_t looks = MIN(guard->_holders.length, H1_GUARD_LOOKS);
	struct h1_member *first = NULL;
	uint64_t most = 0;

	while (looks--) {
		GList *link = g_queue_pop_head_link(&guard->_holders);
		struct h1_member *member = link->data;
		uint64_t rank = h1_guard_rank_memory(member, now_ms);

		g_queue_push_tail_link(&guard->_holders, link);
		if (rank > most) {
			most = rank;
			first = member;
		}
	}
	return first;
}

bool h1_guard_make_room(struct h1_guard *guard, const struct h1_member *member,
			uint64_t bytes, int64_t now_ms)
{
	uint64_t charge = h1_guard_charge_of(bytes);
	uint64_t more;
	struct h1_member *other;

	if (charge <= member->charged_bytes)
		return true;
	more = charge - member->charged_bytes;
	for (uint32_t i = 0; !ba_fits(guard->account, BA_CALLERS, more); i++) {
		if (i == H1_GUARD_SHEDS)
			return false;
		other = h1_guard_for_memory(guard, now_ms);
		if (!other || other == member)
			return false;
		other->shed(other, "memory");
	}
	return true;
}

/* The one that has had its standing the longest, of those that may go. */
static struct h1_member *h1_guard_for_place(struct h1_guard *guard,
					    int64_t now_ms)
{
	for (int standing = 0; standing < H1_WORKING; standing++) {
		GQueue *queue = &guard->_members[standing];
		uint32_t looks = MIN(queue->length, H1_GUARD_LOOKS);

		while (looks--) {
			GList *link = g_queue_pop_head_link(queue);
			struct h1_member *member = link->data;

			if (h1_guard_may_close(member, now_ms) &&
			    (standing == H1_LEAVING || standing == H1_UNREAD ||
			     !member->is_writing(member))) {
				g_queue_push_head_link(queue, link);
				return member;
			}
			g_queue_push_tail_link(queue, link);
		}
	}
	return NULL;
}

bool h1_guard_shed_one(struct h1_guard *guard, int64_t now_ms)
{
	struct h1_member *member = h1_guard_for_place(guard, now_ms);

	if (!member)
		return false;
	member->shed(member, "descriptors");
	return true;
}

bool h1_guard_make_place(struct h1_guard *guard, bool is_control,
			 int64_t now_ms)
{
	uint32_t used = guard->_open + guard->_members[H1_WORKING].length;
	uint32_t kept = is_control ? 0 : H1_CONTROL_PLACES;

	return !guard->max_open || used + kept < guard->max_open ||
	       h1_guard_shed_one(guard, now_ms);
}
