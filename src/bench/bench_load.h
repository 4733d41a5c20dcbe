/*
 * bench_load - `balsampin bench load`: open-loop load against real processes.
 *
 * Overview
 *	Requests arrive at times drawn from a seed, whether or not earlier ones
 *	were answered; latency counts from the drawn time. Prompts share nested
 *	prefixes at three levels (root, file, tail), and the hot ones shift.
 *	Each answer is checked byte for byte against bench_answer.h.
 *
 *	bench_load.c		command line and run
 *	bench_workload.c	what arrives when, a function of the seed
 *	bench_call.c		one request and its answer
 *	bench_report.c		figures, as a table and a JSON line
 *
 * Use
 *	bench_workload_init(&w, bench_profile_find("kitami"), seed);
 *	gap_s = bench_workload_next(&w, now_s, rate, &request);
 *	bench_call_start(&load, &request, now_us);
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <ev.h>
#include <glib.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/hc.h"

#define BENCH_MAX_ENTRIES 64
#define BENCH_MAX_FAULTS  32
#define BENCH_MODEL	  "m"
#define BENCH_VERSION	  "v1"

/**
 * struct bench_profile - the shape of a load.
 * @teams: with one root prefix each; the first are the largest.
 * @roots_per_team: root prefixes.
 * @files_per_root: second level.
 * @root_bytes: length of the root.
 * @file_bytes: length of the second level.
 * @tail_bytes: length of what only one request has.
 * @short_permille: share of answers of one token.
 * @short_is_plain: those are not streamed.
 * @long_tokens: length of the other answers.
 * @dispatch_permille: requests that are followed by a dispatch.
 * @twice_permille: dispatches that are sent twice.
 * @shift_s: after that long other files are hot.
 */
struct bench_profile {
	const char *name;
	uint32_t teams;
	uint32_t roots_per_team;
	uint32_t files_per_root;
	uint32_t root_bytes;
	uint32_t file_bytes;
	uint32_t tail_bytes;
	uint32_t short_permille;
	bool short_is_plain;
	uint32_t long_tokens;
	uint32_t dispatch_permille;
	uint32_t twice_permille;
	uint32_t shift_s;
};

/** bench_profile_find() - by name, or NULL. */
const struct bench_profile *bench_profile_find(const char *name);

/**
 * struct bench_request - one arrival.
 * @prompt: to be freed with g_string_free().
 * @ideal_blocks: that one unlimited shared cache would hold.
 * @blocks: whole blocks of the prompt.
 */
struct bench_request {
	uint64_t number;
	uint32_t team;
	uint32_t tokens;
	bool is_stream;
	bool has_dispatch;
	bool is_twice;
	GString *prompt;
	uint32_t ideal_blocks;
	uint32_t blocks;
};

/** struct bench_workload - state; fields are private. */
struct bench_workload {
	const struct bench_profile *_profile;
	gsl_rng *_rng;
	gsl_ran_discrete_t *_teams;
	gsl_ran_discrete_t *_files;
	GHashTable *_seen;
	uint64_t _seed;
	uint64_t _count;
};

void bench_workload_init(struct bench_workload *w,
			 const struct bench_profile *profile, uint64_t seed);
void bench_workload_finish(struct bench_workload *w);

/**
 * bench_workload_next() - the next request.
 * @now_s: since the start, for the shift of the hot files.
 * @rate: requests a second.
 *
 * Return: seconds until the request after it.
 */
double bench_workload_next(struct bench_workload *w, double now_s, double rate,
			   struct bench_request *request);

/**
 * struct bench_figures - what the calls saw.
 * @first_token_ms: of each whole answer.
 * @refused: "not_run"; no harm done.
 * @broken: ended by an explicit error whose effect may be unknown.
 * @incomplete: looked whole and was not, or ended without a word.
 * @wrong: other bytes than the engine's.
 */
struct bench_figures {
	GArray *first_token_ms;
	GArray *total_ms;
	uint64_t sent;
	uint64_t whole;
	uint64_t refused;
	uint64_t broken;
	uint64_t incomplete;
	uint64_t wrong;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t blocks;
	uint64_t ideal_blocks;
	uint64_t dispatches;
	uint64_t dispatches_answered;
	uint64_t dispatches_refused;
	uint64_t dispatches_unknown;
};

/** struct bench_fault - a fault at the stand-ins, on schedule. */
struct bench_fault {
	struct bench_load *load;
	double at_s;
	const char *name;
	const char *json;
	ev_timer timer;
};

/**
 * struct bench_load - a run.
 * @entries: base URLs; requests go to them in turn.
 * @standin_url: control port of the stand-ins; NULL without records.
 * @service: name of the service that dispatches go to.
 */
struct bench_load {
	const char *entries[BENCH_MAX_ENTRIES];
	uint32_t entry_count;
	const char *standin_url;
	const char *service;
	const char *label;
	const struct bench_profile *profile;
	uint64_t seed;
	double seconds;
	double rate;
	struct bench_fault faults[BENCH_MAX_FAULTS];
	uint32_t fault_count;

	struct ev_loop *loop;
	struct hc_client client;
	struct bench_workload workload;
	struct bench_figures figures;
	uint32_t next_entry;
	uint32_t open_calls;
	bool is_over;
	double start_s;
	double next_s;
	ev_timer arrival;
	struct json_object *before;
	struct json_object *after;
};

/** bench_call_start() - send a request that was due at @due_us. */
void bench_call_start(struct bench_load *load, struct bench_request *request,
		      int64_t due_us);

/** bench_report() - print the table and the JSON line; exit code. */
int bench_report(struct bench_load *load);

#endif
