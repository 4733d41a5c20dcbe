/*
 * ls - lease on a row of the table service, with a fencing number.
 *
 * Overview
 *	The row lease/NAME holds the name of the holder and a fencing number.
 *	The lease is acquired and renewed by compare-and-set on the row's
 *	revision. A new holder takes a higher fencing number than any before
 *	it, and the row is never deleted.
 *
 *	A store may return from an older copy of its rows, which it states as a
 *	higher era. The row, its revision and its ages then go back, and a
 *	holder may have been lost with them. A row that was written in an
 *	earlier era is therefore evidence of nothing: whoever held the lease
 *	stops, and it is acquired as from an unknown holder that had renewed it
 *	just before the return. The era is the high part of a fencing number, so
 *	that a number that was lost with the row is never given out again; the
 *	store's clock is a lower bound for the low part, which covers a row that
 *	a late write has set back within an era. See docs/design/lease.md.
 *
 *	Clocks of different hosts are never compared. The holder counts the
 *	duration from when it SENT a write that took effect. Other hosts count
 *	from when they first SAW the row's current revision, which is later,
 *	and acquire the lease only if the row stayed unchanged for the duration
 *	plus a margin for differing clock rates.
 *
 *	The holder calls ls_can_order() with the current time just before each
 *	order, so a holder that was paused beyond its lease sends nothing. An
 *	order that a pause between this check and the send lets through is
 *	refused by engines that check fencing numbers. For engines that do not,
 *	a new holder sends no orders until the longest order of the previous
 *	holder must have ended, and then repairs their state by reading it
 *	back. The row says how long ago other holders than its own may have
 *	ordered, so that a holder which is stopped, killed or loses an answer
 *	while it waits passes on what is left of the wait.
 *
 *	Plain functions: time is passed in as an argument, and the caller
 *	carries out the step that ls_next() returns.
 *
 * Use
 *	switch (ls_next(&lease, now_ms)) {
 *	case LS_READ:
 *		ls_step_sent(&lease, now_ms);
 *		read the row, then ls_on_read(&lease, code, &row, now_ms)
 *	case LS_WRITE:
 *		ls_step_sent(&lease, now_ms);
 *		write ls_row_to_write(&lease), then ls_on_written(&lease, ...)
 *	}
 */
#ifndef LS_H
#define LS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define LS_DEFAULT_DURATION_MS	    10000
#define LS_DEFAULT_MARGIN_MS	    1000
#define LS_DEFAULT_ORDER_TIMEOUT_MS 2000
/** The holder renews after the duration divided by this. */
#define LS_RENEW_DIVISOR 3
/** Default period at which followers read the row. */
#define LS_READ_PERIOD_MS 3000

enum ls_state { LS_FOLLOWING = 0, LS_HELD };

/** enum ls_step - next action of the caller. */
enum ls_step { LS_NOTHING = 0, LS_READ, LS_WRITE };

/**
 * struct ls_row - the row; @revision is 0 if it does not exist.
 * @holder: "" if the last holder released the lease.
 * @last_holder: who wrote the row, also after a release.
 * @idle_ms: time from the last order of a previous process of @last_holder to
 *	the write of this row; after a release, that of its process counts too.
 * @other_idle_ms: time from the last order that any other holder may have given
 *	to the write of this row.
 * @era: of the store, as known to the writer; 0 in rows of older versions.
 */
struct ls_row {
	char holder[64];
	char last_holder[64];
	uint64_t incarnation;
	uint64_t fencing;
	uint64_t revision;
	int64_t idle_ms;
	int64_t other_idle_ms;
	uint64_t era;
};

/**
 * struct ls_desc - zero means default.
 * @holder: name of this host.
 * @incarnation: incarnation of this process.
 * @duration_ms: duration of the lease.
 * @margin_ms: allowance for clock rates; the holder also stops ordering this
 *	long before the lease ends.
 * @order_timeout_ms: upper bound on the time that an order is in flight.
 * @quiet_ms: how long a new holder sends no orders to engines that do not check
 *	fencing numbers; default: duration plus order timeout.
 * @lapsed_quiet_ms: the same after a holder whose lease lapsed; its last order
 *	is older than that of a holder that released the lease. Default:
 *	@quiet_ms.
 * @read_period_ms: how often a follower reads the row.
 * @is_only_process: no previous process of this host is alive. A lease held by
 *	one is taken over at once, with a quiet period of only the order
 *	timeout for orders that may still be in flight.
 */
struct ls_desc {
	const char *holder;
	uint64_t incarnation;
	int64_t duration_ms;
	int64_t margin_ms;
	int64_t order_timeout_ms;
	int64_t quiet_ms;
	int64_t lapsed_quiet_ms;
	int64_t read_period_ms;
	bool is_only_process;
};

/**
 * struct ls_lease - state. Readable fields:
 * @state: as known to this process; call ls_can_order() before each order.
 * @fencing: fencing number of the current or last lease held.
 * @row: the row as last read or written.
 */
struct ls_lease {
	struct ls_desc _desc;
	enum ls_state state;
	uint64_t fencing;
	struct ls_row row;
	bool _is_in_flight;
	bool _has_read;
	bool _must_read;
	bool _is_fresh;
	int64_t _sent_ms;
	int64_t _next_ms;
	int64_t _unchanged_since_ms;
	int64_t _expires_ms;
	int64_t _quiet_until_ms;
	int64_t _own_order_ms;
	int64_t _other_order_ms;
	struct ls_row _pending_row;
	uint64_t _era;
	bool _has_clock;
	int64_t _clock_offset_ms;
	uint64_t _max_fencing;
	bool _is_restored;
};

void ls_init(struct ls_lease *lease, const struct ls_desc *desc);

/**
 * ls_set_read_period() - set how often a follower reads the row. A shorter
 * period also advances the next read.
 */
void ls_set_read_period(struct ls_lease *lease, int64_t period_ms,
			int64_t now_ms);

/**
 * ls_on_store() - note what an answer of the store states, whatever it answers;
 * call it before ls_on_read() and ls_on_written().
 * @era: number of returns from an older copy; 0 if the store does not say.
 *	Answers of an earlier era than one seen before must not get here.
 * @store_ms: the store's clock; 0 if the answer has none.
 */
void ls_on_store(struct ls_lease *lease, uint64_t era, int64_t store_ms,
		 int64_t now_ms);

/** ls_next() - return the next step; gives up a lease that has expired. */
enum ls_step ls_next(struct ls_lease *lease, int64_t now_ms);

/** ls_step_sent() - note that the step's call was sent at @now_ms. */
void ls_step_sent(struct ls_lease *lease, int64_t now_ms);

/** ls_row_to_write() - the row for LS_WRITE; expects @row's revision. */
const struct ls_row *ls_row_to_write(const struct ls_lease *lease);

/** ls_on_read() - handle the result of LS_READ. */
void ls_on_read(struct ls_lease *lease, enum st_code code,
		const struct ls_row *row, int64_t now_ms);

/** ls_on_written() - handle the result of LS_WRITE, with the new revision. */
void ls_on_written(struct ls_lease *lease, enum st_code code, uint64_t revision,
		   int64_t now_ms);

/**
 * ls_release() - prepare the row that releases the lease for ls_row_to_write().
 * The caller sends no order and takes no other step afterwards.
 * @idle_ms: time since the last order of this process; INT64_MAX without one.
 *
 * Return: false if the lease is not held.
 */
bool ls_release(struct ls_lease *lease, int64_t idle_ms, int64_t now_ms);

/** ls_on_refused() - an engine has a higher fencing number: reread the row. */
void ls_on_refused(struct ls_lease *lease);

/**
 * ls_can_order() - whether an order may be sent at @now_ms.
 * @is_checked: the engine refuses old fencing numbers.
 */
bool ls_can_order(const struct ls_lease *lease, bool is_checked,
		  int64_t now_ms);

/** ls_quiet_left_ms() - how long from @now_ms a holder still has to wait. */
static inline int64_t ls_quiet_left_ms(const struct ls_lease *lease,
				       int64_t now_ms)
{
	return lease->state == LS_HELD && lease->_quiet_until_ms > now_ms
		       ? lease->_quiet_until_ms - now_ms
		       : 0;
}

/** ls_order_timeout_ms() - upper bound on the time an order is in flight. */
static inline int64_t ls_order_timeout_ms(const struct ls_lease *lease)
{
	return lease->_desc.order_timeout_ms;
}

/** ls_row_decode() - parse the row's text; false if it is not a lease row. */
bool ls_row_decode(const char *text, uint64_t revision, struct ls_row *row);

/** ls_row_encode() - format the row as text; free with g_free(). */
char *ls_row_encode(const struct ls_row *row);

#endif
