/*
 * pe_held - table of the engines that hold shared prefixes in their caches.
 *
 * Overview
 *	An engine holds a prefix once it has sent the first event of a stream
 *	whose prompt begins with the prefix. Hosts announce this to each other.
 *	An engine may have evicted the prefix since: then a copy fails, which
 *	costs little. The key of a prefix includes the weights it was computed
 *	with, so an entry of older weights is never found. Prefixes unused for
 *	a while are removed.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	key = pe_held_key(prefix, weights);
 *	pe_held_add(&held, key, engine, now_ms);
 *	if (pe_held_used_ms(&held, key, engine) > since_ms) ...
 */
#ifndef PE_HELD_H
#define PE_HELD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Most holders of a prefix; a new one replaces the least recently used. */
#define PE_MAX_HOLDERS 6

struct pe_held {
	GHashTable *_prefixes;
};

void pe_held_init(struct pe_held *held);
void pe_held_finish(struct pe_held *held);

uint64_t pe_held_key(uint64_t prefix, uint64_t weights);

/** Interval at which a prefix in use is announced to other hosts again. */
#define PE_ANNOUNCE_AGAIN_MS 1000

/**
 * pe_held_add() - record that an engine computed the prefix or continued from
 * it.
 *
 * Return: whether to announce it to other hosts: the holder is new, or was last
 * announced PE_ANNOUNCE_AGAIN_MS ago or earlier.
 */
bool pe_held_add(struct pe_held *held, uint64_t key, uint64_t engine,
		 int64_t now_ms);

/** pe_held_used_ms() - time of the last use at @engine; 0: never. */
int64_t pe_held_used_ms(const struct pe_held *held, uint64_t key,
			uint64_t engine);

/** pe_held_expire() - remove prefixes not added since @before_ms. */
void pe_held_expire(struct pe_held *held, int64_t before_ms);

#endif
