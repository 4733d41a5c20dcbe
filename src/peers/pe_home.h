/*
 * pe_home - which hosts keep what all hosts together learn of a key.
 *
 * Load pattern
 *	An engine with a hundred requests ends, and each of the hosts that sent
 *	them knows a few of them. Telling each of them to each host would be
 *	tens of thousands of messages in a large fleet.
 *
 * Overview
 *	Rendezvous hashing: of the hosts, those with the highest hash together
 *	with the key. Each host works it out alone; when hosts come and go, few
 *	keys move.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	n = pe_owners(hashes, count, key, homes);
 */
#ifndef PE_HOME_H
#define PE_HOME_H

#include <stdint.h>

/** Owners of a key: one may be lost with its host, another with a datagram. */
#define PE_OWNERS 3

/**
 * pe_owners() - the homes of @key, the first one first.
 * @hosts: hashes of the hosts' names.
 * @homes: places of the homes in @hosts.
 *
 * Return: their number.
 */
uint32_t pe_owners(const uint64_t *hosts, uint32_t count, uint64_t key,
		   uint32_t homes[PE_OWNERS]);

#endif
