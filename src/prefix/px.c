#include "prefix/px.h"

#include <string.h>
#include <xxhash.h>

/* Odd constants of the splitmix64 finalizer (Steele et al., 2014). */
#define PX_MIX_1 UINT64_C(0xbf58476d1ce4e5b9)
#define PX_MIX_2 UINT64_C(0x94d049bb133111eb)
#define PX_GAMMA UINT64_C(0x9e3779b97f4a7c15)

uint64_t px_id(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* The terminating NUL is hashed too, so that "a","b" differs from "ab","". */
static uint64_t px_extend_salt(uint64_t salt, const char *name)
{
	return XXH3_64bits_withSeed(name, strlen(name) + 1, salt);
}

uint64_t px_salt(const char *team, const char *model, const char *version,
		 const char *adapter)
{
	uint64_t salt = px_extend_salt(0, team);

	salt = px_extend_salt(salt, model);
	salt = px_extend_salt(salt, version);
	return px_extend_salt(salt, adapter);
}

void px_chain_make(struct px_chain *chain, uint64_t salt, const void *text,
		   uint64_t bytes)
{
	const uint8_t *chunk = text;
	uint64_t chunks = bytes / PX_CHUNK_BYTES;
	uint64_t key = salt;

	chain->bytes = bytes;
	chain->count = chunks < PX_MAX_KEYS ? (uint32_t)chunks : PX_MAX_KEYS;
	for (uint32_t i = 0; i < chain->count; i++) {
		key = XXH3_64bits_withSeed(chunk, PX_CHUNK_BYTES, key);
		chain->keys[i] = key;
		chunk += PX_CHUNK_BYTES;
	}
}

uint64_t px_rank(uint64_t key, uint64_t member)
{
	uint64_t x = key + member * PX_GAMMA;

	x = (x ^ (x >> 30)) * PX_MIX_1;
	x ^= member;
	x = (x ^ (x >> 27)) * PX_MIX_2;
	return x ^ (x >> 31);
}
