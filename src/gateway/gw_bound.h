/*
 * gw_bound - notes that a constant bounds what this host considers.
 *
 * Use
 *	if (count > GW_MAX_HOSTS)
 *		gw_bound_reached(GW_BOUND_HOSTS, count, GW_MAX_HOSTS);
 */
#ifndef GW_BOUND_H
#define GW_BOUND_H

#include <stdint.h>

/** enum gw_bound - bounds, in the order of their names in gw_bound.c. */
enum gw_bound {
	GW_BOUND_CANDIDATES = 0, /* engines that a placement compares */
	GW_BOUND_HOSTS,		 /* hosts considered for duties */
	GW_BOUND_SHARES,	 /* loads in a report */
	GW_BOUND_ANNOUNCEMENTS,	 /* prefixes that wait to be announced */
	GW_BOUND_RELAYED,	 /* announcements that wait to be relayed */
	GW_BOUNDS
};

/** gw_bound_reached() - count it, and log it once in a while. */
void gw_bound_reached(enum gw_bound bound, uint32_t wanted, uint32_t max);

#endif
