/*
 * pe_kept - how long engines probably keep a prefix.
 *
 * Load pattern
 *	Engines evict what was used the longest ago. What they keep is as old
 *	as it takes to fill their memory with the tokens that all hosts send,
 *	so the time shrinks to seconds at the peak.
 *
 * Overview
 *	A host knows only its own tokens; its share of them is taken as the
 *	mean of all hosts, and the rate is averaged over some seconds.
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

/* Bounds of the estimate, for hosts that have seen few requests. */
#define PE_KEPT_MIN_MS 2000
#define PE_KEPT_MAX_MS 30000

/** struct pe_kept - zero it before the first use. */
struct pe_kept {
	double _tokens_per_ms;
};

/**
 * struct pe_kept_input
 * @sent_tokens: of prompts, by this host in the last @period_ms.
 * @hosts: all, this one too.
 * @memory_tokens: of all engines.
 */
struct pe_kept_input {
	uint64_t sent_tokens;
	int64_t period_ms;
	uint32_t hosts;
	uint64_t memory_tokens;
};

/** pe_kept_update() - a prefix used less than that ago is probably there. */
int64_t pe_kept_update(struct pe_kept *kept, const struct pe_kept_input *input);

#endif
