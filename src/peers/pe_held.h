/*
 * pe_held - which engines have read which shared prefixes.
 *
 * Overview
 *	A prefix is held by an engine once the first event of a stream that
 *	has it came from there. Hosts tell each other. An engine may have
 *	evicted it since: then a copy is tried in vain, which costs little.
 *	The key of a prefix takes in the weights it was read under, so what
 *	older weights made is never found. Prefixes unused for a while are
 *	forgotten.
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

/** The engines remembered of a prefix; the oldest gives way. */
#define PE_MAX_HOLDERS 6

struct pe_held {
	GHashTable *_prefixes;
};

void pe_held_init(struct pe_held *held);
void pe_held_finish(struct pe_held *held);

uint64_t pe_held_key(uint64_t prefix, uint64_t weights);

/** How long other hosts go by what they were told of a prefix in use. */
#define PE_ANNOUNCE_AGAIN_MS 1000

/**
 * pe_held_add() - an engine has read the prefix, or read on from it.
 *
 * Return: whether other hosts should be told: it was not known, or last told
 * PE_ANNOUNCE_AGAIN_MS ago.
 */
bool pe_held_add(struct pe_held *held, uint64_t key, uint64_t engine,
		 int64_t now_ms);

/** pe_held_used_ms() - when it was last used there; 0: never. */
int64_t pe_held_used_ms(const struct pe_held *held, uint64_t key,
			uint64_t engine);

/** pe_held_expire() - forget prefixes not added since @before_ms. */
void pe_held_expire(struct pe_held *held, int64_t before_ms);

#endif
