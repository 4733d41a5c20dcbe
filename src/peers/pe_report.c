#include "peers/pe_report.h"

#include <glib.h>

/* Reports are sent with a tick of 20 ms, and delayed in transit. */
#define PE_JITTER_FACTOR 1.5
/* Without so many lists in a row, direct reports begin again. */
#define PE_LISTS_LOST 3
/* As long as a host on duty counts as alive. */
#define PE_ZONE_SILENT_MS (1000 + 2 * PE_DUTY_PERIOD_MS)

static bool pe_is_before(const struct pe_report_host *a,
			 const struct pe_report_host *b)
{
	return a->hash != b->hash ? a->hash < b->hash : a < b;
}

static int pe_compare_hosts(const void *a, const void *b)
{
	const struct pe_report_host *x =
		*(const struct pe_report_host *const *)a;
	const struct pe_report_host *y =
		*(const struct pe_report_host *const *)b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	return pe_is_before(x, y) ? -1 : pe_is_before(y, x);
}

void pe_report_duty(const struct pe_report_host *hosts, uint32_t count,
		    bool *is_on_duty)
{
	GPtrArray *order = g_ptr_array_sized_new(count);
	uint32_t alive = 0, taking_part = 0, zone = 0;

	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(order, (void *)&hosts[i]);
	g_ptr_array_sort(order, pe_compare_hosts);
	for (uint32_t i = 0; i < count; i++) {
		const struct pe_report_host *host = order->pdata[i];
		bool *on_duty = &is_on_duty[host - hosts];

		if (!i || host->zone != zone)
			alive = taking_part = 0;
		zone = host->zone;
		*on_duty = false;
		if (!host->is_alive)
			continue;
		*on_duty = alive++ < PE_DUTY_HOSTS;
		if (host->takes_part)
			*on_duty |= taking_part++ < PE_DUTY_HOSTS;
	}
	g_ptr_array_free(order, TRUE);
}

int64_t pe_report_period_ms(const struct pe_report_pair *pair)
{
	if (pair->are_on_duty)
		return PE_DUTY_PERIOD_MS;
	if (pair->is_same_zone)
		return PE_ZONE_PERIOD_MS;
	return pair->is_listed ? PE_LISTED_PERIOD_MS : PE_OTHER_PERIOD_MS;
}

bool pe_report_is_listed(int64_t listed_ms, uint64_t spread)
{
	return listed_ms < PE_LISTS_LOST * PE_LIST_PERIOD_MS +
				   (int64_t)(spread % PE_OTHER_PERIOD_MS);
}

int64_t pe_report_expected_ms(const struct pe_report_pair *pair,
			      int64_t observed_ms)
{
	if (pair->are_on_duty &&
	    observed_ms <= PE_DUTY_PERIOD_MS * PE_JITTER_FACTOR)
		return PE_DUTY_PERIOD_MS;
	if (pair->is_same_zone)
		return PE_ZONE_PERIOD_MS;
	return pair->is_listed ? PE_LIST_PERIOD_MS : PE_OTHER_PERIOD_MS;
}

bool pe_report_zone_is_silent(int64_t silent_ms, int64_t observed_ms)
{
	return silent_ms > PE_ZONE_SILENT_MS &&
	       observed_ms <= PE_DUTY_PERIOD_MS * PE_JITTER_FACTOR;
}
