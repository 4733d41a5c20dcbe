/*
 * px - a prompt as a chain of block keys.
 *
 * Overview
 *	A prompt is cut into chunks of PX_CHUNK_BYTES. The key of a chunk is
 *	the XXH3-64 hash of its bytes seeded with the previous key; the first
 *	one is seeded with the salt of team, model, weights version and
 *	adapter. Two prompts share exactly the keys of the whole chunks of
 *	their common prefix, and an entry of another team or of older weights
 *	cannot match.
 *
 * Use
 *	struct px_chain chain;
 *
 *	px_chain_make(&chain, px_salt(team, model, version, adapter),
 *		      text, bytes);
 */
#ifndef PX_H
#define PX_H

#include <stdint.h>

#define PX_CHUNK_BYTES 4096
#define PX_MAX_KEYS    100

/**
 * struct px_chain - keys of a prompt.
 * @count: whole chunks, PX_MAX_KEYS at most.
 * @bytes: length of the whole prompt.
 */
struct px_chain {
	uint64_t keys[PX_MAX_KEYS];
	uint32_t count;
	uint64_t bytes;
};

/** px_salt() - seed of a chain; pass "" for no adapter. */
uint64_t px_salt(const char *team, const char *model, const char *version,
		 const char *adapter);

void px_chain_make(struct px_chain *chain, uint64_t salt, const void *text,
		   uint64_t bytes);

/** px_id() - XXH3-64 of a name, the id of engines, hosts and teams. */
uint64_t px_id(const char *name);

/** px_rank() - rendezvous weight of a member for a key; the highest wins. */
uint64_t px_rank(uint64_t key, uint64_t member);

#endif
