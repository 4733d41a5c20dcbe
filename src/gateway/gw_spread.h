/*
 * gw_spread - a message to all members of a zone through some of them.
 *
 * Overview
 *	A host sends the message to about the root of their number; each of
 *	these passes it on to the members that it lists. See pe_change_relays().
 */
#ifndef GW_SPREAD_H
#define GW_SPREAD_H

#include <glib.h>

#include "rpc/gen/balsampin.h"

/**
 * gw_spread_shuffle() - put hosts in a new order, for each message, so that a
 * member that has failed keeps only few messages from the others.
 */
void gw_spread_shuffle(GPtrArray *hosts);

/**
 * gw_spread_fill() - list whom a host is to pass a message on to.
 * @hosts: struct gw_peer, all receivers.
 * @relay: index of the host, below @relays.
 * @forwards: of BP_MAX_FORWARDS.
 * Return: their number.
 */
uint32_t gw_spread_fill(const GPtrArray *hosts, uint32_t relay, uint32_t relays,
			bp_forward *forwards);

#endif
