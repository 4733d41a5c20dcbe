/*
 * bench_answer - the answer text of a stand-in engine.
 *
 * Overview
 *	The answer is a function of prompt, model and weights version alone, so
 *	that a test computes what a stream must hold, byte for byte. Each token
 *	is BENCH_TOKEN_BYTES long. The header has no dependencies, for tests and
 *	the load tool to include.
 *
 * Use
 *	uint64_t seed = bench_answer_seed(prompt, strlen(prompt), "m", "v1");
 *	char token[BENCH_TOKEN_BYTES + 1];
 *
 *	bench_answer_token(seed, 0, token);
 *
 *	The prompt of a chat is each message as "<|ROLE|>CONTENT\n".
 */
#ifndef BENCH_ANSWER_H
#define BENCH_ANSWER_H

#include <stdint.h>
#include <string.h>

#define BENCH_TOKEN_BYTES 4

static inline uint64_t bench_answer_mix(uint64_t hash, const char *data,
					uint64_t bytes)
{
	for (uint64_t i = 0; i < bytes; i++)
		hash = (hash ^ (uint8_t)data[i]) * 0x100000001b3u;
	return hash;
}

/** bench_answer_seed() - FNV-1a over version, model and prompt. */
static inline uint64_t bench_answer_seed(const char *prompt, uint64_t bytes,
					 const char *model, const char *version)
{
	uint64_t hash = 0xcbf29ce484222325u;

	hash = bench_answer_mix(hash, version, strlen(version) + 1);
	hash = bench_answer_mix(hash, model, strlen(model) + 1);
	return bench_answer_mix(hash, prompt, bytes);
}

/** bench_answer_token() - token @index, from 0: a space and three digits. */
static inline void bench_answer_token(uint64_t seed, uint32_t index,
				      char token[BENCH_TOKEN_BYTES + 1])
{
	static const char digits[] = "0123456789abcdef";
	uint64_t x = seed + (index + 1) * 0x9e3779b97f4a7c15u;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	x ^= x >> 31;
	token[0] = ' ';
	token[1] = digits[x & 15];
	token[2] = digits[x >> 4 & 15];
	token[3] = digits[x >> 8 & 15];
	token[4] = '\0';
}

#endif
