/*
 * ls - a lease on a row of the table service, with a fencing number.
 *
 * Overview
 *	The row lease/NAME names its holder and a fencing number. It is taken
 *	and renewed by compare-and-set on the row's revision; taking it raises
 *	the number, and the row is never deleted, so the number only grows.
 *
 *	No clocks of different hosts are compared. The holder counts the
 *	duration from when it SENT a write that took effect; the others count
 *	it from when they first SAW the row's present revision, which is later,
 *	and take the lease only if the row did not change for that time plus a
 *	margin for clocks that run at different rates.
 *
 *	A holder asks ls_can_order() with the present time just before each
 *	order, so one that was paused beyond its lease finds out before it
 *	acts. An engine that checks fencing numbers refuses whatever a pause
 *	between that check and the sending lets through. For engines that do
 *	not, the new holder stays quiet until the longest order of the old one
 *	must have ended, and repairs by reading back.
 *
 *	Plain functions: time comes in as an argument, and the caller does what
 *	ls_next() says.
 *
 * Use
 *	switch (ls_next(&lease, now_ms)) {
 *	case LS_READ: ls_step_sent(&lease, now_ms); read the row; break;
 *	case LS_WRITE: ls_step_sent(&lease, now_ms); write
 *ls_row_to_write(&lease); ...
 *	}
 *	ls_on_read(&lease, code, row, now_ms) or ls_on_written(&lease, code,
 *...)
 */
#ifndef LS_H
#define LS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define LS_DEFAULT_DURATION_MS	    10000
#define LS_DEFAULT_MARGIN_MS	    1000
#define LS_DEFAULT_ORDER_TIMEOUT_MS 2000
/** The holder renews after this part of the duration. */
#define LS_RENEW_DIVISOR 3
/** The others read the row that often. */
#define LS_READ_PERIOD_MS 3000

enum ls_state { LS_FOLLOWING = 0, LS_HELD };

/** enum ls_step - what the caller is to do. */
enum ls_step { LS_NOTHING = 0, LS_READ, LS_WRITE };

/**
 * struct ls_row - the row; a @revision of 0 means that there is none.
 * @holder: "" if the last holder gave it up.
 * @idle_ms: then: how long before that it gave its last order.
 */
struct ls_row {
	char holder[64];
	uint64_t incarnation;
	uint64_t fencing;
	uint64_t revision;
	int64_t idle_ms;
};

/**
 * struct ls_desc - zero means default.
 * @holder: name of this host.
 * @incarnation: of this process.
 * @duration_ms: of the lease.
 * @margin_ms: for clock rates, and before the end.
 * @order_timeout_ms: the longest that an order is under way.
 * @quiet_ms: how long a new holder gives no order to engines that do not check
 *	fencing numbers; by default the duration and the order timeout.
 * @lapsed_quiet_ms: the same after a holder whose lease lapsed, whose last
 *order is older than that of one that gave it up; by default the same.
 * @read_period_ms: how often the others read the row.
 * @is_only_process: no former process of this host lives any more. A row that
 *	one of them left is taken over at once, and only its orders that may be
 *	under way are waited for.
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
 * @state: as far as this process knows; ask ls_can_order() before acting.
 * @fencing: of the present or last holding.
 * @row: as last seen.
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
	struct ls_row _pending_row;
};

void ls_init(struct ls_lease *lease, const struct ls_desc *desc);

/**
 * ls_set_read_period() - how often a host that follows reads the row. A shorter
 * period also brings the next read forward.
 */
void ls_set_read_period(struct ls_lease *lease, int64_t period_ms,
			int64_t now_ms);

/** ls_next() - the next step; drops a lease that has run out. */
enum ls_step ls_next(struct ls_lease *lease, int64_t now_ms);

/** ls_step_sent() - the step is under way since @now_ms. */
void ls_step_sent(struct ls_lease *lease, int64_t now_ms);

/** ls_row_to_write() - the row that LS_WRITE writes, on @row's revision. */
const struct ls_row *ls_row_to_write(const struct ls_lease *lease);

/** ls_on_read() - an answer to LS_READ. */
void ls_on_read(struct ls_lease *lease, enum st_code code,
		const struct ls_row *row, int64_t now_ms);

/** ls_on_written() - an answer to LS_WRITE; @revision of the row after it. */
void ls_on_written(struct ls_lease *lease, enum st_code code, uint64_t revision,
		   int64_t now_ms);

/**
 * ls_release() - prepare the row that gives the lease up, for
 * ls_row_to_write(). The holder gives no order and takes no other step
 * afterwards.
 * @idle_ms: since its last order.
 *
 * Return: false if it is not held.
 */
bool ls_release(struct ls_lease *lease, int64_t idle_ms);

/** ls_on_refused() - an engine knows a higher number: read the row again. */
void ls_on_refused(struct ls_lease *lease);

/**
 * ls_can_order() - may an order be sent at @now_ms?
 * @is_checked: the engine refuses old fencing numbers.
 */
bool ls_can_order(const struct ls_lease *lease, bool is_checked,
		  int64_t now_ms);

/** ls_order_timeout_ms() - the longest that an order may be under way. */
static inline int64_t ls_order_timeout_ms(const struct ls_lease *lease)
{
	return lease->_desc.order_timeout_ms;
}

/** ls_row_decode() - from the row's text; false if it is none. */
bool ls_row_decode(const char *text, uint64_t revision, struct ls_row *row);

/** ls_row_encode() - text of the row; free with g_free(). */
char *ls_row_encode(const struct ls_row *row);

#endif
