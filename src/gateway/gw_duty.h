/*
 * gw_duty - which hosts are on duty, and which of other zones are alive.
 *
 * Overview
 *	src/peers/pe_report.h says who is on duty and how often hosts report to
 *	each other. The collector of each zone lists its members to the others.
 */
#ifndef GW_DUTY_H
#define GW_DUTY_H

#include "gateway/gw_collect.h"

/** gw_duty_find() - find who is on duty, this host included. */
void gw_duty_find(struct gw_peers *p, int64_t now_ms);

/** gw_duty_find_silent_zones() - find zones of which nothing is heard. */
void gw_duty_find_silent_zones(struct gw_peers *p, int64_t now_ms);

/**
 * gw_duty_set_period() - set the periods of the messages to and from @peer
 * where collectors are in use.
 */
void gw_duty_set_period(const struct gw_peers *p, struct gw_peer *peer,
			int64_t report_ms, int64_t now_ms);

/** gw_duty_send_list() - list the members to the collectors of other zones. */
void gw_duty_send_list(struct gw_peers *p, const struct pe_zone_host *hosts,
		       uint32_t count, int64_t now_ms);

/** gw_duty_serve() - accept lists. */
enum st_code gw_duty_serve(struct gw_peers *p);

#endif
