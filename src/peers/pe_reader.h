/*
 * pe_reader - choice of the host that reads the store for a region, and of the
 * candidates for the lease.
 *
 * Load pattern
 *	Calls to the store are expensive, and its feed wakes every host that
 *	waits on it. For seconds it may answer only some hosts, or none of a
 *	zone, while the hosts still reach each other. Keys of callers may be
 *	accepted only by a host that knows how fresh its rows are, so a host cut
 *	off from the store refuses all its callers within seconds, although its
 *	neighbours have every row. In a roll-out hosts stop one after the
 *	other, each for seconds, the holder of the lease among them.
 *
 * Overview
 *	A host takes part while the store answers it and it is not stopping.
 *	Of the hosts of a region that take part, the one with the lowest hash
 *	of its name is the reader. A region without such a host uses a reader
 *	of another region. A zone that is cut off receives messages only from
 *	its own hosts, and so has a reader of its own. The hosts with the lowest
 *	ranks poll the lease often, and call a store that does not answer often.
 *
 *	There is no election: each host computes the choice from the last
 *	messages of the others. Two readers for a moment only cost extra calls.
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
 * struct pe_host - this host, or one whose messages arrived recently.
 * @hash: of the host name.
 * @region: a number that identifies the region.
 * @takes_part: the host reports that the store answers it, and is not stopping.
 */
struct pe_host {
	uint64_t hash;
	uint32_t region;
	bool takes_part;
};

/** pe_reader_index() - index of the region's reader; -1: no host takes part. */
int32_t pe_reader_index(const struct pe_host *hosts, uint32_t count,
			uint32_t region);

/**
 * pe_reader_rank() - number of hosts before the one with @hash: hosts that take
 * part come first, each group in the order of the hashes. So only few hosts
 * have a low rank while the store answers none of them.
 */
uint32_t pe_reader_rank(const struct pe_host *hosts, uint32_t count,
			uint64_t hash);

#endif
