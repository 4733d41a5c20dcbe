/*
 * gw_changes - messages of a collector with loads.
 *
 * Overview
 *	src/peers/pe_change.h decides what they carry. Members, collectors of
 *	other zones and their standbys are groups of their own; see
 *	enum gw_sums_group. A new member is sent the sums in full once.
 */
#ifndef GW_CHANGES_H
#define GW_CHANGES_H

#include "gateway/gw_collect.h"

/** gw_changes_reset() - forget what was sent: this process begins to collect.
 */
void gw_changes_reset(struct gw_collect *collect);

/**
 * gw_changes_send_due() - send what is due.
 * @hosts: this host, then the peers in their order.
 */
void gw_changes_send_due(struct gw_peers *p, const struct pe_zone_host *hosts,
			 uint32_t count, int64_t now_ms);

/** gw_changes_call() - send one message to one host. */
void gw_changes_call(struct gw_peers *p, uint32_t ipv4, uint16_t port,
		     const bp_gateway_changes *message);

#endif
