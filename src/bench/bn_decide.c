/*
 * `balsampin bench decide`: CPU time of a decision and of a prompt's keys.
 *
 * Requests come from a seed, with prefixes nested at three levels. Each is
 * preselected from all engines, short-listed, given the answers that an index
 * might give, and decided; only the router's own functions are timed.
 */
#include <argp.h>
#include <gsl/gsl_statistics_double.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "bench/bn.h"
#include "kernel/kn_registry.h"
#include "limits/lm_cap.h"
#include "routing/rt.h"

#define BN_BATCHES	    9
#define BN_REQUESTS	    512
#define BN_LOOKED_UP	    12
#define BN_KEYS		    50
#define BN_KEYS_OF_HOUSE    25
#define BN_KEYS_OF_TEMPLATE 40
#define BN_HOUSES	    8
#define BN_TEMPLATES	    64
#define BN_TOKENS_PER_KEY   1024
#define BN_CHAIN_BYTES	    (UINT64_C(1) * PX_MAX_KEYS * PX_CHUNK_BYTES)
#define BN_CHAINS	    200
#define BN_DEFAULT_ROUNDS   20
#define BN_CAP_TEAMS	    16
#define BN_CAP_SOURCES	    20
#define BN_CAP_TAKES	    100000
#define BN_DEFAULT_ENGINES  600

struct _bn_options {
	uint64_t seed;
	uint32_t rounds;
	uint32_t engines;
	const char *policy;
	int is_json;
};

/* One request with its candidates, ready to be decided. */
struct _bn_case {
	struct px_chain chain;
	struct rt_candidate candidates[RT_MAX_CANDIDATES];
	struct rt_request request;
};

struct _bn_state {
	const struct _bn_options *options;
	struct rt_router router;
	struct rt_candidate *engines;
	struct _bn_case *cases;
	uint64_t random;
	int64_t now_ms;
	volatile uint64_t sink;
};

static uint64_t bn_random(struct _bn_state *state, uint64_t below)
{
	state->random = px_rank(state->random, 1);
	return state->random % below;
}

static void bn_make_chain(struct _bn_state *state, struct px_chain *chain)
{
	uint64_t house = bn_random(state, BN_HOUSES);
	uint64_t template =
		house * BN_TEMPLATES + bn_random(state, BN_TEMPLATES);
	uint64_t tail = state->random;

	chain->count = BN_KEYS;
	chain->bytes = (uint64_t)BN_KEYS * PX_CHUNK_BYTES;
	for (uint32_t i = 0; i < BN_KEYS; i++) {
		uint64_t of = tail;

		if (i < BN_KEYS_OF_HOUSE)
			of = house + 1;
		else if (i < BN_KEYS_OF_TEMPLATE)
			of = template + 1000;
		chain->keys[i] = px_rank(of, i + 1);
	}
}

static void bn_make_engines(struct _bn_state *state, uint32_t candidates)
{
	for (uint32_t i = 0; i < state->options->engines; i++) {
		state->engines[i] = (struct rt_candidate){
			.engine = px_rank(99, i + 1),
			.incarnation = 1,
			.distance =
				i < candidates ? RT_SAME_ZONE : RT_SAME_REGION,
			.prefill_tokens_per_s = 10000,
		};
	}
}

/* What the index might answer about the engines of the short list. */
static void bn_look_up(struct _bn_state *state, struct _bn_case *c)
{
	uint64_t listed[BN_LOOKED_UP];
	uint32_t count = rt_shortlist(&state->router, &c->request, listed,
				      BN_LOOKED_UP, state->now_ms);

	for (uint32_t i = 0; i < c->request.count; i++) {
		struct rt_candidate *e = &c->candidates[i];

		for (uint32_t k = 0; k < count; k++) {
			if (listed[k] != e->engine)
				continue;
			e->has_index = true;
			e->held = (uint32_t)bn_random(state, BN_KEYS + 1);
			e->confidence_permille = 900;
			e->waiting_tokens = (uint32_t)bn_random(state, 20000);
			e->load_age_ms = (uint32_t)bn_random(state, 1000);
		}
	}
}

static void bn_make_case(struct _bn_state *state, struct _bn_case *c,
			 uint32_t candidates)
{
	uint32_t taken[RT_MAX_CANDIDATES];
	uint32_t count;

	bn_make_chain(state, &c->chain);
	count = rt_preselect(&c->chain, state->engines, state->options->engines,
			     taken);
	if (count > candidates)
		count = candidates;
	for (uint32_t i = 0; i < count; i++)
		c->candidates[i] = state->engines[taken[i]];
	c->request = (struct rt_request){
		.chain = &c->chain,
		.prompt_tokens = BN_KEYS * BN_TOKENS_PER_KEY,
		.candidates = c->candidates,
		.count = count,
	};
	bn_look_up(state, c);
}

static void bn_preselect(struct _bn_state *state, struct _bn_case *c)
{
	uint32_t taken[RT_MAX_CANDIDATES];

	state->sink += rt_preselect(&c->chain, state->engines,
				    state->options->engines, taken);
}

static void bn_shortlist(struct _bn_state *state, struct _bn_case *c)
{
	uint64_t listed[BN_LOOKED_UP];

	state->sink += rt_shortlist(&state->router, &c->request, listed,
				    BN_LOOKED_UP, state->now_ms);
}

static void bn_choose(struct _bn_state *state, struct _bn_case *c)
{
	const struct rt_policy *policy = rt_policy_find(state->options->policy);
	struct rt_choice choice = { 0 };

	state->now_ms++;
	rt_decide(policy, &state->router, &c->request, &choice, state->now_ms);
	state->sink += choice.candidate;
}

/* Microseconds for each request: the median of the batches. */
static double bn_time(struct _bn_state *state,
		      void (*step)(struct _bn_state *, struct _bn_case *))
{
	double us[BN_BATCHES];
	double count = (double)state->options->rounds * BN_REQUESTS;

	for (uint32_t b = 0; b < BN_BATCHES; b++) {
		int64_t began_ns = bn_cpu_ns();

		for (uint32_t r = 0; r < state->options->rounds; r++) {
			for (uint32_t i = 0; i < BN_REQUESTS; i++)
				step(state, &state->cases[i]);
		}
		us[b] = (double)(bn_cpu_ns() - began_ns) / 1000.0 / count;
	}
	return gsl_stats_median(us, 1, BN_BATCHES);
}

static void bn_print_size(const struct _bn_options *options,
			  uint32_t candidates, const double *us)
{
	double total = us[0] + us[1] + us[2];
	struct json_object *line;

	if (!options->is_json) {
		printf("%10u %10u %12.2f %12.2f %12.2f %12.2f\n",
		       options->engines, candidates, us[0], us[1], us[2],
		       total);
		return;
	}
	line = json_object_new_object();
	json_object_object_add(line, "policy",
			       json_object_new_string(options->policy));
	json_object_object_add(line, "engines",
			       json_object_new_int64(options->engines));
	json_object_object_add(line, "candidates",
			       json_object_new_int64(candidates));
	json_object_object_add(line, "preselect_us",
			       json_object_new_double(us[0]));
	json_object_object_add(line, "shortlist_us",
			       json_object_new_double(us[1]));
	json_object_object_add(line, "decide_us",
			       json_object_new_double(us[2]));
	json_object_object_add(line, "total_us", json_object_new_double(total));
	puts(json_object_to_json_string(line));
	json_object_put(line);
}

static void bn_print_line(const struct _bn_options *options, const char *what,
			  const char *unit, struct bn_line line)
{
	if (options->is_json)
		printf("{\"slope_of\": \"%s\", \"at_zero_us\": %.3f, "
		       "\"us_per_%s\": %.4f}\n",
		       what, line.at_zero, unit, line.slope);
	else
		printf("%s: %.2f us + %.4f us per %s\n", what, line.at_zero,
		       line.slope, unit);
}

static void bn_decisions(struct _bn_state *state)
{
	static const uint32_t sizes[] = { 8, 16, 32, 64, RT_MAX_CANDIDATES };
	const uint32_t count = sizeof(sizes) / sizeof(sizes[0]);
	double x[sizeof(sizes) / sizeof(sizes[0])];
	double y[sizeof(sizes) / sizeof(sizes[0])];

	if (!state->options->is_json)
		printf("%10s %10s %12s %12s %12s %12s\n", "engines",
		       "candidates", "preselect us", "shortlist us",
		       "decide us", "total us");
	for (uint32_t s = 0; s < count; s++) {
		double us[3];

		bn_make_engines(state, sizes[s]);
		for (uint32_t i = 0; i < BN_REQUESTS; i++)
			bn_make_case(state, &state->cases[i], sizes[s]);
		us[0] = bn_time(state, bn_preselect);
		us[1] = bn_time(state, bn_shortlist);
		us[2] = bn_time(state, bn_choose);
		bn_print_size(state->options, sizes[s], us);
		x[s] = sizes[s];
		y[s] = us[1] + us[2];
	}
	bn_print_line(state->options, "shortlist and decide", "candidate",
		      bn_fit(x, y, count));
}

static double bn_time_chain(struct _bn_state *state, const char *text,
			    uint64_t bytes)
{
	double us[BN_BATCHES];

	for (uint32_t b = 0; b < BN_BATCHES; b++) {
		int64_t began_ns = bn_cpu_ns();

		for (uint32_t i = 0; i < BN_CHAINS; i++) {
			struct px_chain chain;

			px_chain_make(&chain, i, text, bytes);
			state->sink += chain.keys[chain.count - 1];
		}
		us[b] = (double)(bn_cpu_ns() - began_ns) / 1000.0 / BN_CHAINS;
	}
	return gsl_stats_median(us, 1, BN_BATCHES);
}

static void bn_chains(struct _bn_state *state)
{
	static const uint32_t keys[] = { 1, 10, 25, 50, PX_MAX_KEYS };
	const uint32_t count = sizeof(keys) / sizeof(keys[0]);
	double x[sizeof(keys) / sizeof(keys[0])];
	double y[sizeof(keys) / sizeof(keys[0])];
	char *text = malloc(BN_CHAIN_BYTES);

	for (uint64_t i = 0; i < BN_CHAIN_BYTES; i++)
		text[i] = (char)bn_random(state, 256);
	for (uint32_t s = 0; s < count; s++) {
		uint64_t bytes = (uint64_t)keys[s] * PX_CHUNK_BYTES;

		x[s] = (double)bytes / 1024.0;
		y[s] = bn_time_chain(state, text, bytes);
	}
	free(text);
	bn_print_line(state->options, "keys of a prompt", "KiB",
		      bn_fit(x, y, count));
}

/* The sources of a collector: members of its zone and other zones. */
static void bn_make_caps(struct lm_caps *caps)
{
	struct lm_cap_expected sources[BN_CAP_SOURCES];
	struct lm_cap_message message = { .sequence = 1, .is_whole = true };

	lm_cap_init(caps, 1, 0);
	for (uint64_t t = 0; t < BN_CAP_TEAMS; t++)
		lm_cap_set(caps, t, 100000, 200000, 0);
	for (uint64_t i = 0; i < BN_CAP_SOURCES; i++)
		sources[i] =
			(struct lm_cap_expected){ i + 1, LM_CAP_HOST, 1, 1 };
	lm_cap_expect(caps, sources, BN_CAP_SOURCES, LM_CAP_HOST, 1, 0);
	for (uint64_t i = 0; i < BN_CAP_SOURCES; i++)
		lm_cap_heard(caps, i + 1, &message, 0);
}

/* One decision on a request, and one tick of all teams. */
static void bn_caps(struct _bn_state *state)
{
	struct lm_caps caps;
	struct lm_cap_answer answer;
	double take_us[BN_BATCHES], tick_us[BN_BATCHES];
	int64_t now_ms = 0;

	bn_make_caps(&caps);
	for (uint32_t b = 0; b < BN_BATCHES; b++) {
		int64_t began_ns = bn_cpu_ns();

		for (uint32_t i = 0; i < BN_CAP_TAKES; i++)
			state->sink += lm_cap_take(&caps, i % BN_CAP_TEAMS, 100,
						   true, now_ms, &answer);
		take_us[b] = (double)(bn_cpu_ns() - began_ns) / 1000.0 /
			     BN_CAP_TAKES;
		began_ns = bn_cpu_ns();
		now_ms += 100;
		lm_cap_tick(&caps, now_ms);
		tick_us[b] = (double)(bn_cpu_ns() - began_ns) / 1000.0;
	}
	lm_cap_finish(&caps);
	if (state->options->is_json)
		printf("{\"cap_us\": %.4f, \"cap_tick_us\": %.2f, "
		       "\"teams\": %u, \"sources\": %u}\n",
		       gsl_stats_median(take_us, 1, BN_BATCHES),
		       gsl_stats_median(tick_us, 1, BN_BATCHES), BN_CAP_TEAMS,
		       BN_CAP_SOURCES);
	else
		printf("usage cap: %.3f us, and %.1f us every 100 ms "
		       "(%u teams, %u sources)\n",
		       gsl_stats_median(take_us, 1, BN_BATCHES),
		       gsl_stats_median(tick_us, 1, BN_BATCHES), BN_CAP_TEAMS,
		       BN_CAP_SOURCES);
}

static error_t bn_parse(int key, char *arg, struct argp_state *state)
{
	struct _bn_options *options = state->input;

	switch (key) {
	case 's':
		options->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'r':
		options->rounds = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'e':
		options->engines = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'p':
		options->policy = arg;
		return 0;
	case 'j':
		options->is_json = 1;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option bn_argp_options[] = {
	{ "seed", 's', "N", 0, "seed of the requests (1)", 0 },
	{ "rounds", 'r', "N", 0, "rounds over the requests in a batch (20)",
	  0 },
	{ "engines", 'e', "N", 0, "engines to preselect from (600)", 0 },
	{ "policy", 'p', "NAME", 0, "policy that decides (cost)", 0 },
	{ "json", 'j', NULL, 0, "print JSON lines", 0 },
	{ 0 },
};

static const struct argp bn_argp = {
	bn_argp_options,
	bn_parse,
	NULL,
	"CPU time of a routing decision and of a prompt's keys.",
	NULL,
	NULL,
	NULL
};

static int bn_decide_run(int argc, char **argv)
{
	struct _bn_options options = { .seed = 1,
				       .rounds = BN_DEFAULT_ROUNDS,
				       .engines = BN_DEFAULT_ENGINES,
				       .policy = "cost" };
	struct _bn_state state = { .options = &options };

	if (argp_parse(&bn_argp, argc, argv, 0, NULL, &options))
		return EX_USAGE;
	if (!rt_policy_find(options.policy) || options.rounds == 0 ||
	    options.engines < RT_MAX_CANDIDATES ||
	    options.engines > RT_MAX_ENGINES) {
		fprintf(stderr,
			"balsampin: bench decide takes a registered "
			"policy, rounds, and %d to %d engines\n",
			RT_MAX_CANDIDATES, RT_MAX_ENGINES);
		return EX_USAGE;
	}
	state.random = options.seed;
	state.now_ms = 1000;
	state.engines = calloc(options.engines, sizeof(*state.engines));
	state.cases = calloc(BN_REQUESTS, sizeof(*state.cases));
	rt_router_init(&state.router, &(struct rt_desc){ 0 });
	bn_decisions(&state);
	bn_chains(&state);
	bn_caps(&state);
	rt_router_finish(&state.router);
	free(state.cases);
	free(state.engines);
	return 0;
}

static const struct bn_mode bn_decide = { "decide",
					  "CPU time of a routing decision",
					  bn_decide_run };

KN_REGISTER("bench", "decide", bn_decide)
