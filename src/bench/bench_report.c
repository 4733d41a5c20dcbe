#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bench/bench_load.h"

#define BENCH_POINTER_BYTES 128

static double bench_quantile(GArray *samples, double quantile)
{
	if (!samples->len)
		return 0.0;
	return gsl_stats_quantile_from_sorted_data((double *)samples->data, 1,
						   samples->len, quantile);
}

static double bench_share(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 0.0;
}

/* The sum of a number over the records of all engines. */
static int64_t bench_sum(struct json_object *records, const char *name)
{
	struct json_object *engines = NULL;
	int64_t sum = 0;

	if (!json_object_object_get_ex(records, "engines", &engines))
		return 0;
	json_object_object_foreach(engines, engine, record)
	{
		struct json_object *number;

		(void)engine;
		if (json_object_object_get_ex(record, name, &number))
			sum += json_object_get_int64(number);
	}
	return sum;
}

static uint64_t bench_grown(const struct bench_load *load, const char *name)
{
	return (uint64_t)(bench_sum(load->after, name) -
			  bench_sum(load->before, name));
}

/* Keys of this seed that ran more often than once, or at all. */
static void bench_count_runs(const struct bench_load *load, uint64_t *ran,
			     uint64_t *doubled)
{
	char pointer[BENCH_POINTER_BYTES];
	char prefix[BENCH_POINTER_BYTES];
	struct json_object *keys = NULL;

	snprintf(pointer, sizeof(pointer), "/services/%s/runs_by_key",
		 load->service ? load->service : "");
	snprintf(prefix, sizeof(prefix), "dispatch-%" PRIu64 "-", load->seed);
	if (!load->after || json_pointer_get(load->after, pointer, &keys))
		return;
	json_object_object_foreach(keys, key, runs)
	{
		if (strncmp(key, prefix, strlen(prefix)) != 0)
			continue;
		(*ran)++;
		*doubled += json_object_get_int64(runs) > 1;
	}
}

static void bench_add(struct json_object *o, const char *key, double value)
{
	char text[BENCH_POINTER_BYTES];

	snprintf(text, sizeof(text), "%.3f", value);
	json_object_object_add(o, key, json_object_new_double_s(value, text));
	printf("  %-24s %12s\n", key, text);
}

static void bench_add_count(struct json_object *o, const char *key,
			    uint64_t value)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)value));
	printf("  %-24s %12" PRIu64 "\n", key, value);
}

static void bench_report_times(struct json_object *o,
			       const struct bench_figures *f)
{
	gsl_sort((double *)f->first_token_ms->data, 1, f->first_token_ms->len);
	gsl_sort((double *)f->total_ms->data, 1, f->total_ms->len);
	bench_add(o, "first_token_p50_ms",
		  bench_quantile(f->first_token_ms, 0.50));
	bench_add(o, "first_token_p95_ms",
		  bench_quantile(f->first_token_ms, 0.95));
	bench_add(o, "first_token_p99_ms",
		  bench_quantile(f->first_token_ms, 0.99));
	bench_add(o, "total_p99_ms", bench_quantile(f->total_ms, 0.99));
}

static void bench_report_cache(struct json_object *o,
			       const struct bench_load *load)
{
	const struct bench_figures *f = &load->figures;
	uint64_t cached = bench_grown(load, "cached_blocks");
	uint64_t computed = bench_grown(load, "computed_blocks");
	uint64_t wasted = bench_grown(load, "wasted_blocks");

	bench_add(o, "hit_rate",
		  bench_share(f->cached_tokens, f->prompt_tokens));
	bench_add(o, "block_hit_rate", bench_share(cached, cached + computed));
	bench_add(o, "ideal_block_hit_rate",
		  bench_share(f->ideal_blocks, f->blocks));
	bench_add_count(o, "computed_blocks", computed);
	bench_add_count(o, "wasted_blocks", wasted);
	bench_add(o, "wasted_share", bench_share(wasted, cached + computed));
}

static void bench_report_counts(struct json_object *o,
				const struct bench_figures *f)
{
	bench_add_count(o, "sent", f->sent);
	bench_add_count(o, "whole", f->whole);
	bench_add_count(o, "refused", f->refused);
	bench_add_count(o, "broken", f->broken);
	bench_add_count(o, "incomplete", f->incomplete);
	bench_add_count(o, "wrong", f->wrong);
}

int bench_report(struct bench_load *load)
{
	const struct bench_figures *f = &load->figures;
	struct json_object *o = json_object_new_object();
	uint64_t ran = 0;
	uint64_t doubled = 0;

	printf("%s, profile %s, seed %" PRIu64 "\n", load->label,
	       load->profile->name, load->seed);
	json_object_object_add(o, "label", json_object_new_string(load->label));
	json_object_object_add(o, "profile",
			       json_object_new_string(load->profile->name));
	json_object_object_add(o, "seed",
			       json_object_new_int64((int64_t)load->seed));
	bench_report_counts(o, f);
	bench_report_times(o, f);
	bench_report_cache(o, load);
	bench_count_runs(load, &ran, &doubled);
	bench_add_count(o, "dispatches", f->dispatches);
	bench_add_count(o, "dispatches_answered", f->dispatches_answered);
	bench_add_count(o, "dispatches_refused", f->dispatches_refused);
	bench_add_count(o, "dispatches_unknown", f->dispatches_unknown);
	bench_add_count(o, "dispatch_keys_run", ran);
	bench_add_count(o, "dispatch_keys_doubled", doubled);
	puts(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return f->incomplete || f->wrong || doubled ? 1 : 0;
}
