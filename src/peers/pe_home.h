/*
 * pe_home - owners of a key: the hosts that collect what all hosts know of it.
 *
 * Load pattern
 *	An engine with a hundred requests crashes, and each of the hosts that
 *	sent them knows a few of them. To send each of them to each host would
 *	take tens of thousands of messages in a large fleet.
 *
 * Overview
 *	Rendezvous hashing: the owners are the hosts whose hash combined with
 *	the key is highest. Each host computes them on its own; few keys change
 *	owners when hosts join or leave.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	n = pe_owners(hashes, count, key, owners);
 */
#ifndef PE_HOME_H
#define PE_HOME_H

#include <stdint.h>

/** Owners of a key: one may be down, and the datagram to another be lost. */
#define PE_OWNERS 3

/**
 * pe_owners() - find the owners of @key, in descending order of weight.
 * @hosts: hashes of the host names.
 * @owners: indices of the owners in @hosts.
 *
 * Return: number of owners.
 */
uint32_t pe_owners(const uint64_t *hosts, uint32_t count, uint64_t key,
		   uint32_t owners[PE_OWNERS]);

/** Limit of pe_rank(). */
#define PE_MAX_RANKED 8

/**
 * pe_rank() - find the @max hosts of the highest weights for @key, in
 * descending order; the first PE_OWNERS of them are the owners.
 * @ranked: indices in @hosts.
 *
 * Return: number of hosts found.
 */
uint32_t pe_rank(const uint64_t *hosts, uint32_t count, uint64_t key,
		 uint32_t max, uint32_t *ranked);

#endif
