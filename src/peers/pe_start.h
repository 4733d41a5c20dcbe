/*
 * pe_start - whether a host that starts reads a table from the store, or asks
 * other hosts for it.
 *
 * Load pattern
 *	Three hundred hosts lose power together. Each reads tables of thousands
 *	of rows when it starts: 150 MB over the link that the hosts of a region
 *	share, which takes half a minute. In a roll-out each host that starts
 *	reads them, too, although all of its neighbours have them.
 *
 * Overview
 *	A host asks others of its zone and region, and copies the table of one
 *	that has it. If none answers, it reads the store. If those that answer
 *	are as new, the hosts of each region read in rounds, two at a time in
 *	the order of their ranks, and serve the others.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	step = pe_start_next(&state);
 */
#ifndef PE_START_H
#define PE_START_H

#include <stdbool.h>
#include <stdint.h>

/** Nobody has answered: read after this time. */
#define PE_START_ALONE_MS 300
/** Hosts of a region that read in a round, and the time of a round. */
#define PE_START_READERS  2
#define PE_START_ROUND_MS 400
/** Hosts of the first round wait no longer than this for others. */
#define PE_START_FIRST_MS 100
/** A host waits no longer than this, whatever others say. */
#define PE_START_MAX_MS 4000

/** enum pe_start_step - what to do now. */
enum pe_start_step { PE_START_ASK = 0, PE_START_READ, PE_START_WAIT };

/**
 * struct pe_start_state
 * @known_ms: time since the other hosts are known.
 * @others: number of other hosts.
 * @rank: number of hosts of the region before this one.
 * @answers: number of answers of hosts that do not have the table yet.
 * @is_copying: the table is on its way from another host.
 * @jitter_ms: random; spreads reads.
 */
struct pe_start_state {
	int64_t known_ms;
	uint32_t others;
	uint32_t rank;
	uint32_t answers;
	bool is_copying;
	int64_t jitter_ms;
};

/** pe_start_next() - the next step for one table. */
enum pe_start_step pe_start_next(const struct pe_start_state *state);

/** struct pe_start_host - another host, for pe_start_rank(). */
struct pe_start_host {
	uint64_t hash;
	uint64_t zone;
	bool is_seen;
};

/**
 * pe_start_rank() - rank of this host among those of its region.
 * @hosts: this host, then the others of the region; @zone is any number that
 *	is the same on all hosts.
 *
 * The first hosts of all zones come first. Only hosts of the own zone need to
 * have been seen, as signs of life within it come sooner.
 */
uint32_t pe_start_rank(const struct pe_start_host *hosts, uint32_t count);

#endif
