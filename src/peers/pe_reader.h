/*
 * pe_reader - which host reads the store for a region, and which may hold the
 * lease.
 *
 * Load pattern
 *	The store's calls are dear and its feed wakes all that wait. It answers
 *	only some hosts for seconds, or none of a zone, while
 *	the hosts still hear each other. Keys may be used only by a host that
 *	knows how fresh its rows are, so a host cut off from the store refuses
 *	all its callers within seconds, though its neighbours know every row.
 *	In a roll-out hosts stop one after the other, each for seconds, the
 *	holder of the lease among them.
 *
 * Overview
 *	A host takes part while the store answers it and it is not stopping.
 *	Of those, the one with the lowest hash of its name reads for its region.
 *	A region without such a host is read for by one of another. A zone that
 *	is cut off hears only its own hosts, and so has a reader of its own. The
 *	first few of all look at the lease often.
 *
 *	Nobody is elected: each host works it out from what the others said
 *	last. Two readers for a moment cost calls, no harm.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	i = pe_reader_index(hosts, n, region);
 *	rank = pe_reader_rank(hosts, n, hosts[0].hash);
 */
#ifndef PE_READER_H
#define PE_READER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct pe_host - that has been heard lately, or this one.
 * @hash: of its name.
 * @region: any number that differs between regions.
 * @takes_part: as far as it knows, the store answers it; it is not stopping.
 */
struct pe_host {
	uint64_t hash;
	uint32_t region;
	bool takes_part;
};

/** pe_reader_index() - index of the region's reader; -1 if the store is away.
 */
int32_t pe_reader_index(const struct pe_host *hosts, uint32_t count,
			uint32_t region);

/** pe_reader_rank() - how many that take part come before @hash. */
uint32_t pe_reader_rank(const struct pe_host *hosts, uint32_t count,
			uint64_t hash);

#endif
