/*
 * pe_via - through which other host a request goes that finds no way to its
 * upstreams.
 *
 * Load pattern
 *	One host, most of a zone or all hosts but one are cut off from the
 *	upstreams. The others take over their requests: near ones first, as
 *	bytes between zones and regions are expensive, and without a herd on the
 *	first. Hosts of the own zone are often cut off, too. If upstreams are
 *	down for all, asking around must not multiply the load.
 *
 * Overview
 *	Of the hosts that have not refused a request for the service a short
 *	while ago, one of the nearest is chosen at random. A second choice for a
 *	request avoids the zone of the first. A refusal for want of a way to the
 *	upstreams excludes a host for PE_VIA_PAUSE_MS, doubled with each in a
 *	row. After PE_VIA_STREAK refusals in a row, by any hosts, none is asked
 *	for that service for such a time.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	i = pe_via_choose(&via, &(struct pe_via_choice){ .hosts = hosts,
 *		.count = n, .service = service, .seed = hash }, now_ms);
 *	pe_via_refused(&via, hosts[i].hash, service, now_ms);
 */
#ifndef PE_VIA_H
#define PE_VIA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PE_VIA_PAUSE_MS	    1000
#define PE_VIA_MAX_PAUSE_MS 4000
#define PE_VIA_STREAK	    6
/** Pauses that are remembered; all are forgotten beyond. */
#define PE_VIA_MAX_PAUSES 4096

/**
 * struct pe_via_host - another host that is alive and passes requests on.
 * @hash: of its name.
 * @zone: a number that identifies its availability zone.
 * @distance: 0: the own zone, 1: the own region, 2: another region.
 * @takes_part: the store answers it, and it is not stopping.
 */
struct pe_via_host {
	uint64_t hash;
	uint32_t zone;
	uint32_t distance;
	bool takes_part;
};

/**
 * struct pe_via_choice
 * @service: hash of the service's name.
 * @avoided_zone: zone of a host that has refused the request; 0: none has.
 * @seed: random; spreads requests over hosts that are equally good.
 */
struct pe_via_choice {
	const struct pe_via_host *hosts;
	uint32_t count;
	uint64_t service;
	uint32_t avoided_zone;
	uint64_t seed;
};

struct pe_via {
	GHashTable *_pauses;
};

void pe_via_init(struct pe_via *via);
void pe_via_finish(struct pe_via *via);

/** pe_via_choose() - index of the host to ask; -1: none. */
int32_t pe_via_choose(const struct pe_via *via,
		      const struct pe_via_choice *choice, int64_t now_ms);

/** pe_via_refused() - @host has no way to the service, or is not reached. */
void pe_via_refused(struct pe_via *via, uint64_t host, uint64_t service,
		    int64_t now_ms);

/** pe_via_accepted() - @host has a way to the service. */
void pe_via_accepted(struct pe_via *via, uint64_t host, uint64_t service);

#endif
