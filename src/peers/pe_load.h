/*
 * pe_load - what the other hosts have running at each upstream.
 *
 * Overview
 *	Each host tells the others, several times a second, how many of its
 *	requests run at each upstream and how many prompt tokens of theirs are
 *	still to be read there. The table keeps the last word of each peer and
 *	the sums; a peer that falls silent is forgotten.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	pe_load_receive(&load, peer, sequence, shares, n, now_ms);
 *	sum = pe_load_sum(&load, engine);
 */
#ifndef PE_LOAD_H
#define PE_LOAD_H

#include <glib.h>
#include <stdint.h>

/** struct pe_share - of one host or of all at one upstream. */
struct pe_share {
	uint64_t engine;
	uint32_t running;
	uint32_t tokens;
};

struct pe_load {
	GHashTable *_peers;
	GHashTable *_sums;
};

void pe_load_init(struct pe_load *load);
void pe_load_finish(struct pe_load *load);

/**
 * pe_load_receive() - a peer's present shares; those it leaves out are none.
 * @peer: id of its process.
 * @sequence: of the message; an older one than the last is ignored.
 */
void pe_load_receive(struct pe_load *load, uint64_t peer, uint64_t sequence,
		     const struct pe_share *shares, uint32_t count,
		     int64_t now_ms);

/** pe_load_expire() - forget peers not heard since @before_ms. */
void pe_load_expire(struct pe_load *load, int64_t before_ms);

/** pe_load_sum() - sum over all peers. */
struct pe_share pe_load_sum(const struct pe_load *load, uint64_t engine);

/** pe_load_peer_count() - how many are known. */
uint32_t pe_load_peer_count(const struct pe_load *load);

#endif
