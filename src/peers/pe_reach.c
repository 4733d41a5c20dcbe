#include "peers/pe_reach.h"

#include <glib.h>

void pe_reach_heard(struct pe_reach *reach, int64_t now_ms)
{
	reach->heard_ms = now_ms;
	reach->is_cut_off = false;
	reach->_failed_count = 0;
}

static void pe_reach_add(struct pe_reach *reach, uint64_t upstream)
{
	for (uint32_t i = 0; i < reach->_failed_count; i++)
		if (reach->_failed[i] == upstream)
			return;
	if (reach->_failed_count < PE_REACH_UPSTREAMS)
		reach->_failed[reach->_failed_count++] = upstream;
}

void pe_reach_failed(struct pe_reach *reach, uint64_t upstream,
		     int64_t began_ms, uint32_t upstreams, int64_t now_ms)
{
	if (began_ms < reach->heard_ms)
		return;
	pe_reach_add(reach, upstream);
	reach->is_cut_off =
		reach->_failed_count >= MIN(PE_REACH_UPSTREAMS, upstreams) &&
		(!reach->heard_ms ||
		 now_ms - reach->heard_ms >= PE_REACH_SILENT_MS);
}
