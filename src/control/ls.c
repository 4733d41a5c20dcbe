#include "control/ls.h"

#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

/* Longer than any quiet period; stands for an order that was never given. */
#define LS_LONG_AGO_MS 86400000
/* Bits of a fencing number below the era: 139 years of milliseconds. */
#define LS_ERA_SHIFT 42
/*
 * From this era on there is no room for the clock. The number of acquisitions
 * in an era has fewer bits than the shift.
 */
#define LS_LARGE_ERA	   (UINT64_C(1) << 21)
#define LS_LARGE_ERA_SHIFT 20

void ls_init(struct ls_lease *lease, const struct ls_desc *desc)
{
	memset(lease, 0, sizeof(*lease));
	lease->_desc = *desc;
	if (!desc->duration_ms)
		lease->_desc.duration_ms = LS_DEFAULT_DURATION_MS;
	if (!desc->margin_ms)
		lease->_desc.margin_ms = LS_DEFAULT_MARGIN_MS;
	if (!desc->order_timeout_ms)
		lease->_desc.order_timeout_ms = LS_DEFAULT_ORDER_TIMEOUT_MS;
	if (!desc->quiet_ms)
		lease->_desc.quiet_ms = lease->_desc.duration_ms +
					lease->_desc.order_timeout_ms;
	if (!desc->lapsed_quiet_ms)
		lease->_desc.lapsed_quiet_ms = lease->_desc.quiet_ms;
	if (!desc->read_period_ms)
		lease->_desc.read_period_ms = LS_READ_PERIOD_MS;
}

/* Whether the row is as its last writer left it, as far as can be known. */
static bool ls_is_current(const struct ls_lease *lease,
			  const struct ls_row *row)
{
	return row->era == lease->_era && !lease->_is_restored;
}

static bool ls_is_own(const struct ls_lease *lease, const struct ls_row *row)
{
	return row->incarnation == lease->_desc.incarnation &&
	       !strcmp(row->holder, lease->_desc.holder);
}

static bool ls_is_of_previous_process(const struct ls_lease *lease,
				      const struct ls_row *row)
{
	return lease->_desc.is_only_process && !ls_is_own(lease, row) &&
	       !strcmp(row->holder, lease->_desc.holder);
}

static bool ls_is_same_holder(const struct ls_lease *lease,
			      const struct ls_row *row)
{
	return ls_is_own(lease, row) ||
	       (lease->_desc.is_only_process &&
		!strcmp(row->last_holder, lease->_desc.holder));
}

/* Times since this holder, and since any other, may have given an order. */
struct ls_ages {
	int64_t own_ms;
	int64_t other_ms;
};

/* Time since the last order of a holder whose lease has just lapsed. */
static int64_t ls_lapsed_idle_ms(const struct ls_lease *lease)
{
	return lease->_desc.quiet_ms - lease->_desc.lapsed_quiet_ms;
}

/* Time since the holder of the row may have given an order. */
static int64_t ls_holder_idle_ms(const struct ls_lease *lease, int64_t age_ms)
{
	const struct ls_row *row = &lease->row;

	if (!row->holder[0] || ls_is_own(lease, row))
		return row->idle_ms + age_ms;
	if (ls_is_of_previous_process(lease, row))
		return 0;
	return ls_lapsed_idle_ms(lease);
}

/*
 * What the row tells to the holder that takes it over at @now_ms. The row is at
 * least as old as this process knows it.
 */
static struct ls_ages ls_ages_at(const struct ls_lease *lease, int64_t now_ms)
{
	const struct ls_row *row = &lease->row;
	int64_t age_ms = now_ms - lease->_unchanged_since_ms;
	struct ls_ages ages = { LS_LONG_AGO_MS, LS_LONG_AGO_MS };

	if (!ls_is_current(lease, row)) {
		/* Any host may have held the lease in what was lost. */
		ages.own_ms = ls_lapsed_idle_ms(lease);
		ages.other_ms = ages.own_ms;
		return ages;
	}
	if (!row->revision)
		return ages;
	ages.other_ms = row->other_idle_ms + age_ms;
	if (ls_is_same_holder(lease, row))
		ages.own_ms = ls_holder_idle_ms(lease, age_ms);
	else
		ages.other_ms =
			MIN(ages.other_ms, ls_holder_idle_ms(lease, age_ms));
	return ages;
}

static void ls_lose(struct ls_lease *lease)
{
	lease->state = LS_FOLLOWING;
	lease->_must_read = true;
	lease->_next_ms = 0;
}

/* The row stayed unchanged for longer than its holder may rely on it. */
static bool ls_has_lapsed(const struct ls_lease *lease, int64_t now_ms)
{
	if (ls_is_current(lease, &lease->row) &&
	    (!lease->row.revision || !lease->row.holder[0] ||
	     ls_is_of_previous_process(lease, &lease->row)))
		return true;
	return now_ms - lease->_unchanged_since_ms >=
	       lease->_desc.duration_ms + lease->_desc.margin_ms;
}

/* Whether this process may take the lease. */
static bool ls_is_free(const struct ls_lease *lease, int64_t now_ms)
{
	return (ls_is_current(lease, &lease->row) &&
		ls_is_own(lease, &lease->row)) ||
	       ls_has_lapsed(lease, now_ms);
}

/* The store's clock at @now_ms, or a little less; 0 if it is not known. */
static uint64_t ls_store_clock_ms(const struct ls_lease *lease, int64_t now_ms)
{
	int64_t store_ms = now_ms + lease->_clock_offset_ms;

	if (!lease->_has_clock || store_ms < 0 ||
	    store_ms >= INT64_C(1) << LS_ERA_SHIFT)
		return 0;
	return store_ms;
}

/* The lowest number that may be given out at @now_ms. */
static uint64_t ls_lowest_fencing(const struct ls_lease *lease, int64_t now_ms)
{
	if (lease->_era >= LS_LARGE_ERA)
		return lease->_era << LS_LARGE_ERA_SHIFT;
	return (lease->_era << LS_ERA_SHIFT) | ls_store_clock_ms(lease, now_ms);
}

/*
 * Returns a number above all that other holders have had, also in what was
 * lost. A holder that resumes its own lease keeps its number unless the store's
 * clock, or what this process has seen, says that there may have been others.
 */
static uint64_t ls_next_fencing(const struct ls_lease *lease, int64_t now_ms)
{
	const struct ls_row *row = &lease->row;
	uint64_t lowest = ls_lowest_fencing(lease, now_ms);
	uint64_t seen = MAX(row->fencing, lease->_max_fencing);
	bool is_resumed = ls_is_current(lease, row) && ls_is_own(lease, row) &&
			  row->fencing == seen;

	return MAX(is_resumed ? seen : seen + 1, lowest);
}

static void ls_prepare_row(struct ls_lease *lease, uint64_t fencing,
			   int64_t now_ms)
{
	struct ls_row *row = &lease->_pending_row;
	struct ls_ages ages = { now_ms - lease->_own_order_ms,
				now_ms - lease->_other_order_ms };

	if (lease->state != LS_HELD)
		ages = ls_ages_at(lease, now_ms);
	g_strlcpy(row->holder, lease->_desc.holder, sizeof(row->holder));
	g_strlcpy(row->last_holder, lease->_desc.holder,
		  sizeof(row->last_holder));
	row->idle_ms = MIN(ages.own_ms, LS_LONG_AGO_MS);
	row->other_idle_ms = MIN(ages.other_ms, LS_LONG_AGO_MS);
	row->incarnation = lease->_desc.incarnation;
	row->fencing = fencing;
	row->revision = lease->row.revision;
	row->era = lease->_era;
}

static enum ls_step ls_next_held(struct ls_lease *lease, int64_t now_ms)
{
	if (now_ms < lease->_next_ms)
		return LS_NOTHING;
	if (lease->_must_read)
		return LS_READ;
	ls_prepare_row(lease, lease->fencing, now_ms);
	return LS_WRITE;
}

/*
 * A row that names this process while it does not hold the lease comes from a
 * write whose answer was lost, or was held until it expired; taking the lease
 * anew resolves the uncertainty.
 */
static enum ls_step ls_next_following(struct ls_lease *lease, int64_t now_ms)
{
	if (now_ms < lease->_next_ms)
		return LS_NOTHING;
	if (!lease->_has_read || lease->_must_read || !lease->_is_fresh)
		return LS_READ;
	if (!ls_is_free(lease, now_ms))
		return LS_READ;
	ls_prepare_row(lease, ls_next_fencing(lease, now_ms), now_ms);
	return LS_WRITE;
}

void ls_set_read_period(struct ls_lease *lease, int64_t period_ms,
			int64_t now_ms)
{
	bool is_shorter = period_ms < lease->_desc.read_period_ms;

	lease->_desc.read_period_ms = period_ms;
	if (is_shorter && lease->state == LS_FOLLOWING)
		lease->_next_ms = MIN(lease->_next_ms, now_ms + period_ms);
}

void ls_on_store(struct ls_lease *lease, uint64_t era, int64_t store_ms,
		 int64_t now_ms)
{
	if (store_ms) {
		lease->_has_clock = true;
		lease->_clock_offset_ms = store_ms - now_ms;
	}
	if (era <= lease->_era)
		return;
	lease->_era = era;
	lease->_has_read = false;
	lease->_is_restored = false;
	/* The others read the row when it is their turn. */
	if (lease->state == LS_HELD)
		ls_lose(lease);
}

enum ls_step ls_next(struct ls_lease *lease, int64_t now_ms)
{
	if (lease->state == LS_HELD && now_ms >= lease->_expires_ms)
		ls_lose(lease);
	if (lease->_is_in_flight)
		return LS_NOTHING;
	if (lease->state == LS_HELD)
		return ls_next_held(lease, now_ms);
	return ls_next_following(lease, now_ms);
}

void ls_step_sent(struct ls_lease *lease, int64_t now_ms)
{
	lease->_is_in_flight = true;
	lease->_sent_ms = now_ms;
}

const struct ls_row *ls_row_to_write(const struct ls_lease *lease)
{
	return &lease->_pending_row;
}

static int64_t ls_renew_after_ms(const struct ls_lease *lease)
{
	return lease->_desc.duration_ms / LS_RENEW_DIVISOR;
}

static void ls_observe_row(struct ls_lease *lease, const struct ls_row *row,
			   int64_t now_ms)
{
	bool is_changed =
		!lease->_has_read || row->revision != lease->row.revision;

	/* Without an era, a revision that goes back tells of a return. */
	if (is_changed)
		lease->_is_restored =
			lease->_has_read && row->revision < lease->row.revision;
	if (is_changed)
		lease->_unchanged_since_ms = now_ms;
	lease->_max_fencing = MAX(lease->_max_fencing, row->fencing);
	lease->row = *row;
	lease->_has_read = true;
	lease->_must_read = false;
	lease->_is_fresh = true;
}

/*
 * A follower with a long period would otherwise call a store that is away more
 * often than one that answers.
 */
static int64_t ls_retry_ms(const struct ls_lease *lease)
{
	if (lease->state != LS_FOLLOWING)
		return lease->_desc.margin_ms;
	return MAX(lease->_desc.margin_ms, lease->_desc.read_period_ms / 2);
}

void ls_on_read(struct ls_lease *lease, enum st_code code,
		const struct ls_row *row, int64_t now_ms)
{
	lease->_is_in_flight = false;
	if (code != ST_OK) {
		lease->_next_ms = now_ms + ls_retry_ms(lease);
		return;
	}
	ls_observe_row(lease, row, now_ms);
	if (lease->state == LS_HELD &&
	    (!ls_is_current(lease, row) || !ls_is_own(lease, row) ||
	     row->fencing != lease->fencing))
		ls_lose(lease);
	else if (lease->state == LS_HELD || ls_is_free(lease, now_ms))
		lease->_next_ms = now_ms;
	else
		lease->_next_ms = now_ms + lease->_desc.read_period_ms;
	if (lease->state == LS_FOLLOWING && lease->_next_ms > now_ms)
		lease->_is_fresh = false;
}

/* How long a holder that takes the lease must give no order. */
static int64_t ls_quiet_ms(const struct ls_lease *lease, struct ls_ages ages)
{
	int64_t quiet_ms = MAX(lease->_desc.quiet_ms - ages.other_ms, 0);

	/* An order of the previous process may still be in flight. */
	return MAX(quiet_ms, lease->_desc.order_timeout_ms - ages.own_ms);
}

static void ls_acquire(struct ls_lease *lease, struct ls_ages ages,
		       int64_t now_ms)
{
	lease->state = LS_HELD;
	lease->fencing = lease->_pending_row.fencing;
	lease->_own_order_ms = now_ms - ages.own_ms;
	lease->_other_order_ms = now_ms - ages.other_ms;
	lease->_quiet_until_ms = now_ms + ls_quiet_ms(lease, ages);
}

bool ls_release(struct ls_lease *lease, int64_t idle_ms, int64_t now_ms)
{
	if (lease->state != LS_HELD)
		return false;
	ls_prepare_row(lease, lease->fencing, now_ms);
	lease->_pending_row.holder[0] = '\0';
	lease->_pending_row.idle_ms = MIN(idle_ms, LS_LONG_AGO_MS);
	lease->_pending_row.idle_ms =
		MIN(lease->_pending_row.idle_ms, now_ms - lease->_own_order_ms);
	ls_lose(lease);
	return true;
}

void ls_on_written(struct ls_lease *lease, enum st_code code, uint64_t revision,
		   int64_t now_ms)
{
	struct ls_row row = lease->_pending_row;
	struct ls_ages ages = ls_ages_at(lease, now_ms);

	lease->_is_in_flight = false;
	lease->_is_fresh = false;
	/*
	 * The store has returned since the row was prepared: the write may be
	 * lost, or have taken effect on a revision that was given out twice.
	 */
	if (code == ST_OK && row.era != lease->_era)
		code = ST_UNKNOWN;
	if (code != ST_OK) {
		lease->_must_read = code != ST_UNAVAILABLE;
		lease->_next_ms = code == ST_UNAVAILABLE
					  ? now_ms + lease->_desc.margin_ms
					  : now_ms;
		return;
	}
	row.revision = revision;
	ls_observe_row(lease, &row, now_ms);
	if (lease->state != LS_HELD)
		ls_acquire(lease, ages, now_ms);
	lease->_expires_ms = lease->_sent_ms + lease->_desc.duration_ms;
	lease->_next_ms = lease->_sent_ms + ls_renew_after_ms(lease);
}

void ls_on_refused(struct ls_lease *lease)
{
	ls_lose(lease);
}

bool ls_can_order(const struct ls_lease *lease, bool is_checked, int64_t now_ms)
{
	int64_t end_ms = lease->_expires_ms - lease->_desc.margin_ms;

	if (lease->state != LS_HELD)
		return false;
	if (is_checked)
		return now_ms < end_ms;
	return now_ms + lease->_desc.order_timeout_ms < end_ms &&
	       now_ms >= lease->_quiet_until_ms;
}

static uint64_t ls_get_u64(struct json_object *json, const char *field)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(json, field, &value);
	return json_object_get_uint64(value);
}

bool ls_row_decode(const char *text, uint64_t revision, struct ls_row *row)
{
	struct json_object *json = json_tokener_parse(text);
	struct json_object *holder = NULL;
	bool is_row = json_object_is_type(json, json_type_object) &&
		      json_object_object_get_ex(json, "holder", &holder);

	memset(row, 0, sizeof(*row));
	if (is_row) {
		g_strlcpy(row->holder, json_object_get_string(holder),
			  sizeof(row->holder));
		row->incarnation = ls_get_u64(json, "incarnation");
		row->fencing = ls_get_u64(json, "fencing");
		row->idle_ms = (int64_t)ls_get_u64(json, "idle_ms");
		/* Rows of older versions do not tell: another may just have. */
		row->other_idle_ms = (int64_t)ls_get_u64(json, "other_idle_ms");
		row->era = ls_get_u64(json, "era");
		if (json_object_object_get_ex(json, "last_holder", &holder))
			g_strlcpy(row->last_holder,
				  json_object_get_string(holder),
				  sizeof(row->last_holder));
		row->revision = revision;
	}
	json_object_put(json);
	return is_row;
}

char *ls_row_encode(const struct ls_row *row)
{
	return g_strdup_printf(
		"{\"holder\": \"%s\", \"incarnation\": %" PRIu64
		", \"fencing\": %" PRIu64 ", \"idle_ms\": %" PRId64
		", \"last_holder\": \"%s\""
		", \"other_idle_ms\": %" PRId64 ", \"era\": %" PRIu64 "}",
		row->holder, row->incarnation, row->fencing, row->idle_ms,
		row->last_holder, row->other_idle_ms, row->era);
}
