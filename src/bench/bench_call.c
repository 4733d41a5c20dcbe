#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench_answer.h"
#include "bench/bench_load.h"
#include "kernel/ck.h"

#define BENCH_TIMEOUT_MS   60000
#define BENCH_HEADER_BYTES 128
#define BENCH_URL_BYTES	   256
#define BENCH_US_PER_MS	   1000.0

/** struct bench_call - a request in flight. */
struct bench_call {
	struct bench_load *load;
	struct bench_request request;
	uint64_t answer_seed;
	int64_t due_us;
	int64_t first_us;
	GString *answer;
};

/** struct bench_dispatch - a call that must run at most once. */
struct bench_dispatch {
	struct bench_load *load;
	char key[BENCH_HEADER_BYTES];
};

/** enum bench_end - how an answer ended. */
enum bench_end { BENCH_WHOLE, BENCH_REFUSED, BENCH_BROKEN, BENCH_INCOMPLETE };

static const char *bench_pick_entry(struct bench_load *load)
{
	return load->entries[load->next_entry++ % load->entry_count];
}

static void bench_close(struct bench_load *load)
{
	load->open_calls--;
	if (load->is_over && !load->open_calls)
		ev_break(load->loop, EVBREAK_ALL);
}

static struct json_object *bench_at(struct json_object *o, const char *pointer)
{
	struct json_object *found = NULL;

	if (!o || json_pointer_get(o, pointer, &found))
		return NULL;
	return found;
}

/* Add the token text of an event or of a plain answer; count its usage. */
static void bench_take_json(struct bench_call *call, GString *text,
			    struct json_object *o)
{
	struct bench_figures *figures = &call->load->figures;
	struct json_object *token = bench_at(o, "/choices/0/text");
	struct json_object *usage = bench_at(o, "/usage");

	if (token)
		g_string_append(text, json_object_get_string(token));
	if (!usage)
		return;
	figures->prompt_tokens += (uint64_t)json_object_get_int64(
		bench_at(usage, "/prompt_tokens"));
	figures->cached_tokens += (uint64_t)json_object_get_int64(
		bench_at(usage, "/prompt_tokens_details/cached_tokens"));
}

/* Return: whether the stream ended with [DONE]. */
static bool bench_take_stream(struct bench_call *call, GString *text,
			      bool *has_error)
{
	char **lines = g_strsplit(call->answer->str, "\n", -1);
	bool is_done = false;

	for (char **line = lines; *line; line++) {
		struct json_object *o;

		if (strncmp(*line, "data: ", 6) != 0)
			continue;
		is_done = !strcmp(*line, "data: [DONE]");
		o = is_done ? NULL : json_tokener_parse(*line + 6);
		*has_error |= bench_at(o, "/error") != NULL;
		bench_take_json(call, text, o);
		json_object_put(o);
	}
	g_strfreev(lines);
	return is_done;
}

static bool bench_is_not_run(const char *body)
{
	struct json_object *o = json_tokener_parse(body);
	struct json_object *run = bench_at(o, "/error/run");
	bool is_not_run =
		run && !strcmp(json_object_get_string(run), "not_run");

	json_object_put(o);
	return is_not_run;
}

static enum bench_end bench_read_answer(struct bench_call *call,
					const struct hc_result *result,
					GString *text)
{
	bool has_error = false;
	bool is_done;
	struct json_object *o;

	if (result->outcome == HC_NO_CONNECTION)
		return BENCH_REFUSED;
	if (result->http_status != 200) {
		if (!result->http_status || result->outcome != HC_DONE)
			return BENCH_INCOMPLETE;
		return bench_is_not_run(call->answer->str) ? BENCH_REFUSED
							   : BENCH_BROKEN;
	}
	if (call->request.is_stream) {
		is_done = bench_take_stream(call, text, &has_error);
		if (is_done && result->outcome == HC_DONE)
			return BENCH_WHOLE;
		return has_error && !is_done ? BENCH_BROKEN : BENCH_INCOMPLETE;
	}
	if (result->outcome != HC_DONE)
		return BENCH_INCOMPLETE;
	o = json_tokener_parse(call->answer->str);
	bench_take_json(call, text, o);
	json_object_put(o);
	return BENCH_WHOLE;
}

static bool bench_is_right(const struct bench_call *call, const GString *text)
{
	char token[BENCH_TOKEN_BYTES + 1];

	if (text->len != (uint64_t)call->request.tokens * BENCH_TOKEN_BYTES)
		return false;
	for (uint32_t i = 0; i < call->request.tokens; i++) {
		bench_answer_token(call->answer_seed, i, token);
		if (memcmp(text->str + (size_t)i * BENCH_TOKEN_BYTES, token,
			   BENCH_TOKEN_BYTES) != 0)
			return false;
	}
	return true;
}

static void bench_add_times(struct bench_call *call)
{
	struct bench_figures *figures = &call->load->figures;
	int64_t now_us = ck_now_us();
	int64_t first_us = call->request.is_stream ? call->first_us : now_us;
	double first_ms = (double)(first_us - call->due_us) / BENCH_US_PER_MS;
	double total_ms = (double)(now_us - call->due_us) / BENCH_US_PER_MS;

	g_array_append_val(figures->first_token_ms, first_ms);
	g_array_append_val(figures->total_ms, total_ms);
}

static void bench_call_on_data(void *arg, uint32_t status, const char *data,
			       uint64_t bytes)
{
	struct bench_call *call = arg;

	if (!call->first_us)
		call->first_us = ck_now_us();
	g_string_append_len(call->answer, data, (gssize)bytes);
}

static void bench_call_on_done(void *arg, const struct hc_result *result)
{
	struct bench_call *call = arg;
	struct bench_figures *figures = &call->load->figures;
	GString *text = g_string_new(NULL);

	switch (bench_read_answer(call, result, text)) {
	case BENCH_WHOLE:
		if (bench_is_right(call, text)) {
			figures->whole++;
			bench_add_times(call);
		} else {
			figures->wrong++;
		}
		break;
	case BENCH_REFUSED:
		figures->refused++;
		break;
	case BENCH_BROKEN:
		figures->broken++;
		break;
	case BENCH_INCOMPLETE:
		figures->incomplete++;
		break;
	}
	g_string_free(text, TRUE);
	g_string_free(call->answer, TRUE);
	bench_close(call->load);
	g_free(call);
}

static char *bench_body(const struct bench_request *request)
{
	return g_strdup_printf(
		"{\"model\":\"" BENCH_MODEL "\",\"max_tokens\":%u,"
		"\"stream\":%s,\"stream_options\":{\"include_usage\":true},"
		"\"prompt\":\"%s\"}",
		request->tokens, request->is_stream ? "true" : "false",
		request->prompt->str);
}

static void bench_send(struct bench_call *call)
{
	struct bench_load *load = call->load;
	char url[BENCH_URL_BYTES];
	char key[BENCH_HEADER_BYTES];
	const char *headers[] = { key, "Content-Type: application/json", NULL };
	char *body = bench_body(&call->request);
	struct hc_call_desc desc = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_bytes = strlen(body),
		.total_timeout_ms = BENCH_TIMEOUT_MS,
		.on_data = bench_call_on_data,
		.on_done = bench_call_on_done,
		.arg = call,
	};

	snprintf(url, sizeof(url), "%s/v1/completions", bench_pick_entry(load));
	snprintf(key, sizeof(key), "Authorization: Bearer key-of-team-%u",
		 call->request.team);
	load->open_calls++;
	load->figures.sent++;
	if (hc_send(&load->client, &desc, NULL) != ST_OK) {
		const struct hc_result none = { .outcome = HC_NO_CONNECTION };

		bench_call_on_done(call, &none);
	}
	g_free(body);
}

static void bench_dispatch_on_done(void *arg, const struct hc_result *result)
{
	struct bench_dispatch *dispatch = arg;
	struct bench_figures *figures = &dispatch->load->figures;

	if (result->outcome == HC_DONE && result->http_status == 200)
		figures->dispatches_answered++;
	else if (result->outcome == HC_NO_CONNECTION ||
		 (result->outcome == HC_DONE && bench_is_not_run(result->body)))
		figures->dispatches_refused++;
	else
		figures->dispatches_unknown++;
	bench_close(dispatch->load);
	g_free(dispatch);
}

static void bench_dispatch(struct bench_load *load,
			   const struct bench_request *request)
{
	struct bench_dispatch *dispatch = g_new0(struct bench_dispatch, 1);
	char url[BENCH_URL_BYTES];
	char team[BENCH_HEADER_BYTES];
	const char *headers[] = { team, dispatch->key, NULL };
	struct hc_call_desc desc = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = "{}",
		.body_bytes = 2,
		.total_timeout_ms = BENCH_TIMEOUT_MS,
		.fresh_connection = true,
		.on_done = bench_dispatch_on_done,
		.arg = dispatch,
	};

	dispatch->load = load;
	snprintf(url, sizeof(url), "%s/v1/services/%s/send",
		 bench_pick_entry(load), load->service);
	snprintf(team, sizeof(team), "Authorization: Bearer key-of-team-%u",
		 request->team);
	snprintf(dispatch->key, sizeof(dispatch->key),
		 "Idempotency-Key: dispatch-%" PRIu64 "-%" PRIu64, load->seed,
		 request->number);
	load->open_calls++;
	load->figures.dispatches++;
	if (hc_send(&load->client, &desc, NULL) != ST_OK) {
		const struct hc_result none = { .outcome = HC_NO_CONNECTION };

		bench_dispatch_on_done(dispatch, &none);
	}
}

void bench_call_start(struct bench_load *load, struct bench_request *request,
		      int64_t due_us)
{
	struct bench_call *call = g_new0(struct bench_call, 1);

	call->load = load;
	call->request = *request;
	call->due_us = due_us;
	call->answer = g_string_new(NULL);
	call->answer_seed =
		bench_answer_seed(request->prompt->str, request->prompt->len,
				  BENCH_MODEL, BENCH_VERSION);
	load->figures.blocks += request->blocks;
	load->figures.ideal_blocks += request->ideal_blocks;
	bench_send(call);
	if (load->service && request->has_dispatch)
		bench_dispatch(load, request);
	if (load->service && request->has_dispatch && request->is_twice)
		bench_dispatch(load, request);
	g_string_free(request->prompt, TRUE);
	request->prompt = NULL;
}
