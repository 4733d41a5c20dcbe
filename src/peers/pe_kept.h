/*
 * pe_kept - estimate of how long engines keep an unused prefix in memory.
 *
 * Load pattern
 *	Engines evict the least recently used prefix. A prefix stays for the
 *	time in which the tokens that all hosts send fill the memory, which
 *	shrinks to seconds at peak load.
 *
 * Overview
 *	A host knows only the tokens it sends itself. It assumes that every
 *	host sends as many, and averages the rate over some seconds.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	struct pe_kept kept = { 0 };
 *	kept_ms = pe_kept_update(&kept, &(struct pe_kept_input){
 *		.sent_tokens = sent, .period_ms = 1000, .hosts = 10,
 *		.memory_tokens = memory });
 */
#ifndef PE_KEPT_H
#define PE_KEPT_H

#include <stdint.h>

/* Bounds of the estimate, for hosts that have sent few requests. */
#define PE_KEPT_MIN_MS 2000
#define PE_KEPT_MAX_MS 30000

/** struct pe_kept - moving average; zero it before the first use. */
struct pe_kept {
	double _tokens_per_ms;
};

/**
 * struct pe_kept_input - token rate and memory.
 * @sent_tokens: prompt tokens that this host sent in the last @period_ms.
 * @hosts: number of all hosts, including this one.
 * @memory_tokens: capacity of all engines together.
 */
struct pe_kept_input {
	uint64_t sent_tokens;
	int64_t period_ms;
	uint32_t hosts;
	uint64_t memory_tokens;
};

/**
 * pe_kept_update() - add one period to the average.
 *
 * Return: the time since its last use within which a prefix is probably still
 * in memory.
 */
int64_t pe_kept_update(struct pe_kept *kept, const struct pe_kept_input *input);

#endif
