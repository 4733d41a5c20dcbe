#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "bench/bench_load.h"

#define BENCH_BLOCK_BYTES 8000
#define BENCH_WORD_BYTES  8
/* The exponent of the popularity of teams and files (Zipf). */
#define BENCH_TEAM_SKEW 1.0
#define BENCH_FILE_SKEW 0.8
/* At each shift the hot files move on by that many. */
#define BENCH_SHIFT_STEP   7
#define BENCH_SHORT_TOKENS 1

static const struct bench_profile bench_profiles[] = {
	{ .name = "kitami",
	  .teams = 8,
	  .roots_per_team = 1,
	  .files_per_root = 40,
	  .root_bytes = 200000,
	  .file_bytes = 24000,
	  .tail_bytes = 400,
	  .short_permille = 600,
	  .short_is_plain = true,
	  .long_tokens = 30,
	  .dispatch_permille = 100,
	  .twice_permille = 300,
	  .shift_s = 10 },
	{ .name = "pisarik",
	  .teams = 8,
	  .roots_per_team = 6,
	  .files_per_root = 20,
	  .root_bytes = 32000,
	  .file_bytes = 16000,
	  .tail_bytes = 600,
	  .short_permille = 0,
	  .long_tokens = 40,
	  .dispatch_permille = 100,
	  .twice_permille = 300,
	  .shift_s = 10 },
};

const struct bench_profile *bench_profile_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bench_profiles); i++)
		if (!strcmp(bench_profiles[i].name, name))
			return &bench_profiles[i];
	return NULL;
}

static gsl_ran_discrete_t *bench_zipf(uint32_t count, double skew)
{
	double *weights = g_new(double, count);
	gsl_ran_discrete_t *table;

	for (uint32_t i = 0; i < count; i++)
		weights[i] = 1.0 / pow(i + 1, skew);
	table = gsl_ran_discrete_preproc(count, weights);
	g_free(weights);
	return table;
}

void bench_workload_init(struct bench_workload *w,
			 const struct bench_profile *profile, uint64_t seed)
{
	*w = (struct bench_workload){ ._profile = profile, ._seed = seed };
	w->_rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w->_rng, seed);
	w->_teams = bench_zipf(profile->teams, BENCH_TEAM_SKEW);
	w->_files = bench_zipf(profile->files_per_root, BENCH_FILE_SKEW);
	w->_seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
}

void bench_workload_finish(struct bench_workload *w)
{
	gsl_rng_free(w->_rng);
	gsl_ran_discrete_free(w->_teams);
	gsl_ran_discrete_free(w->_files);
	g_hash_table_destroy(w->_seen);
}

/* Text of a level: words that depend on the level's place alone. */
static void bench_add_text(GString *out, uint64_t place, uint32_t bytes)
{
	static const char digits[] = "0123456789abcdef";
	uint64_t end = out->len + bytes;
	uint64_t x = place;

	while (out->len < end) {
		char word[BENCH_WORD_BYTES];

		x = XXH3_64bits(&x, sizeof(x));
		for (uint32_t i = 0; i < BENCH_WORD_BYTES; i++)
			word[i] = digits[x >> (4 * i) & 15];
		word[BENCH_WORD_BYTES - 1] = ' ';
		g_string_append_len(out, word, BENCH_WORD_BYTES);
	}
	g_string_truncate(out, end);
}

/* What one cache without bound would hold; the request's blocks join it. */
static void bench_count_ideal(struct bench_workload *w,
			      struct bench_request *request)
{
	const GString *prompt = request->prompt;
	uint64_t id = request->team + 1;

	for (uint64_t at = 0; at + BENCH_BLOCK_BYTES <= prompt->len;
	     at += BENCH_BLOCK_BYTES) {
		id = XXH3_64bits_withSeed(prompt->str + at, BENCH_BLOCK_BYTES,
					  id);
		request->blocks++;
		if (!g_hash_table_add(w->_seen, g_memdup2(&id, sizeof(id))))
			request->ideal_blocks++;
	}
}

static bool bench_chance(struct bench_workload *w, uint32_t permille)
{
	return gsl_rng_uniform_int(w->_rng, 1000) < permille;
}

static uint32_t bench_pick_file(struct bench_workload *w, double now_s)
{
	const struct bench_profile *p = w->_profile;
	uint32_t shifts = (uint32_t)(now_s / p->shift_s);
	uint32_t rank = (uint32_t)gsl_ran_discrete(w->_rng, w->_files);

	return (rank + shifts * BENCH_SHIFT_STEP) % p->files_per_root;
}

double bench_workload_next(struct bench_workload *w, double now_s, double rate,
			   struct bench_request *request)
{
	const struct bench_profile *p = w->_profile;
	uint64_t root;
	uint64_t file;
	bool is_short;

	*request = (struct bench_request){ .number = w->_count++ };
	request->team = (uint32_t)gsl_ran_discrete(w->_rng, w->_teams);
	root = (uint64_t)request->team * p->roots_per_team +
	       gsl_rng_uniform_int(w->_rng, p->roots_per_team);
	file = root * p->files_per_root + bench_pick_file(w, now_s);
	is_short = bench_chance(w, p->short_permille);
	request->tokens = is_short ? BENCH_SHORT_TOKENS : p->long_tokens;
	request->is_stream = !(is_short && p->short_is_plain);
	request->has_dispatch = bench_chance(w, p->dispatch_permille);
	request->is_twice = bench_chance(w, p->twice_permille);
	request->prompt = g_string_new(NULL);
	bench_add_text(request->prompt, w->_seed + root, p->root_bytes);
	bench_add_text(request->prompt, w->_seed + (1u << 20) + file,
		       p->file_bytes);
	bench_add_text(request->prompt, w->_seed + (1u << 30) + request->number,
		       p->tail_bytes);
	bench_count_ideal(w, request);
	return gsl_ran_exponential(w->_rng, 1.0 / rate);
}
