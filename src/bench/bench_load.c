#include "bench/bench_load.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "bench/bn.h"
#include "kernel/ck.h"
#include "kernel/kn_registry.h"

#define BENCH_DEFAULT_SECONDS 10.0
#define BENCH_DEFAULT_RATE    20.0
#define BENCH_RECORDS_MS      10000
#define BENCH_URL_BYTES	      256
#define BENCH_US_PER_S	      1e6

enum bench_key {
	BENCH_ENTRY = 256,
	BENCH_STANDIN,
	BENCH_SERVICE,
	BENCH_PROFILE,
	BENCH_SEED,
	BENCH_SECONDS,
	BENCH_RATE,
	BENCH_LABEL,
	BENCH_FAULT
};

static const struct argp_option bench_options[] = {
	{ "entry", BENCH_ENTRY, "URL", 0,
	  "entry process, such as http://127.0.0.1:8080; repeatable", 0 },
	{ "standin", BENCH_STANDIN, "URL", 0,
	  "control port of the stand-ins, for their records", 0 },
	{ "service", BENCH_SERVICE, "NAME", 0,
	  "plain service that takes dispatches", 0 },
	{ "profile", BENCH_PROFILE, "NAME", 0, "kitami or pisarik", 0 },
	{ "seed", BENCH_SEED, "N", 0, "of the arrivals (1)", 0 },
	{ "seconds", BENCH_SECONDS, "S", 0, "how long requests arrive (10)",
	  0 },
	{ "rate", BENCH_RATE, "N", 0, "requests a second (20)", 0 },
	{ "label", BENCH_LABEL, "TEXT", 0, "name of the run in its figures",
	  0 },
	{ "fault", BENCH_FAULT, "S:NAME:JSON", 0,
	  "switch a fault on at second S; repeatable", 0 },
	{ 0 }
};

static error_t bench_add_fault(struct bench_load *load, char *text)
{
	struct bench_fault *fault = &load->faults[load->fault_count];
	char *name = strchr(text, ':');
	char *json = name ? strchr(name + 1, ':') : NULL;

	if (!json || load->fault_count == BENCH_MAX_FAULTS)
		return EINVAL;
	*name = '\0';
	*json = '\0';
	*fault = (struct bench_fault){ .load = load,
				       .at_s = strtod(text, NULL),
				       .name = name + 1,
				       .json = json + 1 };
	load->fault_count++;
	return 0;
}

static error_t bench_parse_option(int key, char *arg, struct argp_state *state)
{
	struct bench_load *load = state->input;

	switch (key) {
	case BENCH_ENTRY:
		if (load->entry_count == BENCH_MAX_ENTRIES)
			argp_error(state, "too many entries");
		load->entries[load->entry_count++] = arg;
		return 0;
	case BENCH_STANDIN:
		load->standin_url = arg;
		return 0;
	case BENCH_SERVICE:
		load->service = arg;
		return 0;
	case BENCH_PROFILE:
		load->profile = bench_profile_find(arg);
		if (!load->profile)
			argp_error(state, "no profile '%s'", arg);
		return 0;
	case BENCH_SEED:
		load->seed = strtoull(arg, NULL, 10);
		return 0;
	case BENCH_SECONDS:
		load->seconds = strtod(arg, NULL);
		return 0;
	case BENCH_RATE:
		load->rate = strtod(arg, NULL);
		return 0;
	case BENCH_LABEL:
		load->label = arg;
		return 0;
	case BENCH_FAULT:
		if (bench_add_fault(load, arg))
			argp_error(state, "no fault: '%s'", arg);
		return 0;
	case ARGP_KEY_END:
		if (!load->entry_count)
			argp_error(state, "--entry is required");
		if (load->rate <= 0.0 || load->seconds <= 0.0)
			argp_error(state, "--rate and --seconds must be above "
					  "zero");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp bench_argp = {
	bench_options,
	bench_parse_option,
	NULL,
	"Sends open-loop load to entry processes and checks every answer.",
	NULL,
	NULL,
	NULL
};

static void bench_on_fault_done(void *arg, const struct hc_result *result)
{
	struct bench_fault *fault = arg;

	if (result->outcome != HC_DONE || result->http_status != 200)
		fprintf(stderr, "fault %s: %s\n", fault->name, result->message);
}

static void bench_on_fault(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct bench_fault *fault = timer->data;
	char url[BENCH_URL_BYTES];
	struct hc_call_desc desc = {
		.method = "POST",
		.url = url,
		.body = fault->json,
		.body_bytes = strlen(fault->json),
		.total_timeout_ms = BENCH_RECORDS_MS,
		.on_done = bench_on_fault_done,
		.arg = fault,
	};

	snprintf(url, sizeof(url), "%s/faults/%s", fault->load->standin_url,
		 fault->name);
	hc_send(&fault->load->client, &desc, NULL);
}

/** struct bench_fetch - the records as they come in. */
struct bench_fetch {
	struct bench_load *load;
	struct json_object *records;
};

static void bench_on_records(void *arg, const struct hc_result *result)
{
	struct bench_fetch *fetch = arg;

	fetch->records = json_tokener_parse(result->body);
	ev_break(fetch->load->loop, EVBREAK_ALL);
}

static struct json_object *bench_fetch_records(struct bench_load *load)
{
	struct bench_fetch fetch = { .load = load };
	char url[BENCH_URL_BYTES];
	struct hc_call_desc desc = {
		.url = url,
		.total_timeout_ms = BENCH_RECORDS_MS,
		.on_done = bench_on_records,
		.arg = &fetch,
	};

	if (!load->standin_url)
		return NULL;
	snprintf(url, sizeof(url), "%s/records?summary=1", load->standin_url);
	if (hc_send(&load->client, &desc, NULL) == ST_OK)
		ev_run(load->loop, 0);
	return fetch.records;
}

/* Send all that is due, then wait for the next; arrivals never wait. */
static void bench_on_arrival(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct bench_load *load = timer->data;
	double now_s = (double)ck_now_us() / BENCH_US_PER_S - load->start_s;

	while (load->next_s <= now_s && load->next_s < load->seconds) {
		double due_s = load->start_s + load->next_s;
		struct bench_request request;

		load->next_s += bench_workload_next(
			&load->workload, load->next_s, load->rate, &request);
		bench_call_start(load, &request,
				 (int64_t)(due_s * BENCH_US_PER_S));
	}
	if (load->next_s >= load->seconds) {
		load->is_over = true;
		if (!load->open_calls)
			ev_break(loop, EVBREAK_ALL);
		return;
	}
	ev_timer_set(timer, MAX(0.0, load->next_s - now_s), 0.0);
	ev_timer_start(loop, timer);
}

static void bench_start(struct bench_load *load)
{
	load->start_s = (double)ck_now_us() / BENCH_US_PER_S;
	ev_now_update(load->loop);
	ev_timer_init(&load->arrival, bench_on_arrival, 0.0, 0.0);
	load->arrival.data = load;
	ev_timer_start(load->loop, &load->arrival);
	for (uint32_t i = 0; i < load->fault_count; i++) {
		struct bench_fault *fault = &load->faults[i];

		ev_timer_init(&fault->timer, bench_on_fault, fault->at_s, 0.0);
		fault->timer.data = fault;
		ev_timer_start(load->loop, &fault->timer);
	}
}

static int bench_load_run(int argc, char **argv)
{
	struct bench_load *load = g_new0(struct bench_load, 1);
	int code;

	load->profile = bench_profile_find("kitami");
	load->label = "load";
	load->seed = 1;
	load->seconds = BENCH_DEFAULT_SECONDS;
	load->rate = BENCH_DEFAULT_RATE;
	argp_parse(&bench_argp, argc, argv, 0, NULL, load);
	load->loop = ev_loop_new(EVFLAG_AUTO);
	load->figures.first_token_ms =
		g_array_new(FALSE, FALSE, sizeof(double));
	load->figures.total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	hc_init(&load->client, &(struct hc_desc){ .loop = load->loop });
	bench_workload_init(&load->workload, load->profile, load->seed);
	load->before = bench_fetch_records(load);
	bench_start(load);
	ev_run(load->loop, 0);
	load->after = bench_fetch_records(load);
	code = bench_report(load);
	json_object_put(load->before);
	json_object_put(load->after);
	bench_workload_finish(&load->workload);
	hc_finish(&load->client);
	g_array_unref(load->figures.first_token_ms);
	g_array_unref(load->figures.total_ms);
	ev_loop_destroy(load->loop);
	g_free(load);
	return code;
}

static const struct bn_mode bench_load_mode = {
	"load",
	"open-loop load against entry processes, with figures",
	bench_load_run,
};

KN_REGISTER("bench", "load", bench_load_mode)
