/*
 * pe_load - load that the other hosts put on each upstream.
 *
 * Overview
 *	Each host sends the others, several times a second, the number of its
 *	requests that run at each upstream and the number of their prompt
 *	tokens that wait for prefill there. The table keeps the last report of
 *	each peer and the sums; a silent peer is removed.
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

/**
 * struct pe_share - load of one host or of all hosts on one upstream.
 * @running: requests.
 * @tokens: prompt tokens that wait for prefill.
 */
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
 * pe_load_receive() - replace the shares of a peer; a missing share is zero.
 * @peer: id of the peer's process.
 * @sequence: of the message; ignored unless higher than the previous one.
 */
void pe_load_receive(struct pe_load *load, uint64_t peer, uint64_t sequence,
		     const struct pe_share *shares, uint32_t count,
		     int64_t now_ms);

/**
 * pe_load_merge() - replace the shares of a peer at some upstreams only.
 * @sequence: of the message; a share of a message with a higher one stays.
 */
void pe_load_merge(struct pe_load *load, uint64_t peer, uint64_t sequence,
		   const struct pe_share *shares, uint32_t count,
		   int64_t now_ms);

/**
 * pe_load_restart() - accept any sequence from now on, and keep the shares; a
 * new process reports what @peer stands for.
 */
void pe_load_restart(struct pe_load *load, uint64_t peer);

/** pe_load_touch() - count a peer, if known, as received at @now_ms. */
void pe_load_touch(struct pe_load *load, uint64_t peer, int64_t now_ms);

/** pe_load_expire_merged() - drop merged shares not received since @before_ms.
 */
void pe_load_expire_merged(struct pe_load *load, uint64_t peer,
			   int64_t before_ms);

/** pe_load_remove() - drop what a peer has reported. */
void pe_load_remove(struct pe_load *load, uint64_t peer);

/** pe_load_expire() - remove peers without a report since @before_ms. */
void pe_load_expire(struct pe_load *load, int64_t before_ms);

/** pe_load_sum() - sum of the shares of all peers at an upstream. */
struct pe_share pe_load_sum(const struct pe_load *load, uint64_t engine);

/** pe_load_sum_without() - the same without the shares of one peer. */
struct pe_share pe_load_sum_without(const struct pe_load *load, uint64_t engine,
				    uint64_t peer);

/**
 * pe_load_list() - append the sums of all upstreams with load to @out, an
 * array of struct pe_share, without the shares of @peer (0: of all peers).
 */
void pe_load_list(const struct pe_load *load, uint64_t peer, GArray *out);

uint32_t pe_load_peer_count(const struct pe_load *load);

#endif
