#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sa_engine.h"

#define SA_NUMBER_BYTES 32

static void sa_stream_headers(const struct sa_run *run, char *incarnation,
			      struct hs_header headers[4])
{
	snprintf(incarnation, SA_NUMBER_BYTES, "%" PRIu64,
		 run->engine->incarnation);
	headers[0] = (struct hs_header){ "Content-Type",
					 run->is_stream ? "text/event-stream"
							: "application/json" };
	headers[1] = (struct hs_header){ "X-Engine-Incarnation", incarnation };
	headers[2] = (struct hs_header){ "X-Weights-Version", run->version };
	headers[3] = (struct hs_header){ NULL, NULL };
}

static void sa_stream_open(struct sa_run *run, struct hs_exchange *x)
{
	char incarnation[SA_NUMBER_BYTES];
	struct hs_header headers[4];

	sa_stream_headers(run, incarnation, headers);
	hs_begin(x, 200, headers);
}

void sa_stream_begin(struct sa_run *run)
{
	run->out = g_string_new(NULL);
	run->event_ends = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	if (run->is_stream)
		sa_stream_open(run, run->exchange);
}

static void sa_stream_event(struct sa_run *run, const char *data)
{
	uint64_t start = run->out->len;
	uint64_t end;

	g_string_append_printf(run->out, "id: %u\ndata: %s\n\n",
			       run->event_ends->len + 1, data);
	end = run->out->len;
	g_array_append_val(run->event_ends, end);
	if (run->exchange)
		hs_write(run->exchange, run->out->str + start, end - start);
}

static struct json_object *sa_stream_object(const struct sa_run *run,
					    struct json_object *choices)
{
	struct json_object *o = json_object_new_object();
	const char *kind = !run->is_chat    ? "text_completion"
			   : run->is_stream ? "chat.completion.chunk"
					    : "chat.completion";

	json_object_object_add(o, "id", json_object_new_string(run->id));
	json_object_object_add(o, "object", json_object_new_string(kind));
	json_object_object_add(o, "created", json_object_new_int(0));
	json_object_object_add(o, "model", json_object_new_string(run->model));
	json_object_object_add(o, "choices", choices);
	return o;
}

static struct json_object *sa_stream_choice(const struct sa_run *run,
					    const char *text, bool is_last)
{
	struct json_object *choices = json_object_new_array();
	struct json_object *choice = json_object_new_object();
	struct json_object *message = json_object_new_object();
	struct json_object *value = json_object_new_string(text);

	json_object_object_add(choice, "index", json_object_new_int(0));
	if (run->is_chat) {
		json_object_object_add(message, "role",
				       json_object_new_string("assistant"));
		json_object_object_add(message, "content", value);
		json_object_object_add(
			choice, run->is_stream ? "delta" : "message", message);
	} else {
		json_object_put(message);
		json_object_object_add(choice, "text", value);
	}
	json_object_object_add(choice, "finish_reason",
			       is_last ? json_object_new_string("length")
				       : NULL);
	json_object_array_add(choices, choice);
	return choices;
}

static struct json_object *sa_stream_usage(const struct sa_run *run)
{
	struct json_object *usage = json_object_new_object();
	struct json_object *details = json_object_new_object();
	struct json_object *ids = json_object_new_array();
	uint32_t block_tokens = run->engine->desc.block_tokens;

	for (guint i = 0; i < run->blocks->len; i++) {
		char hex[SA_NUMBER_BYTES];

		snprintf(hex, sizeof(hex), "%016" PRIx64,
			 g_array_index(run->blocks, uint64_t, i));
		json_object_array_add(ids, json_object_new_string(hex));
	}
	json_object_object_add(
		details, "cached_tokens",
		json_object_new_int64((int64_t)run->cached_blocks *
				      block_tokens));
	json_object_object_add(details, "block_tokens",
			       json_object_new_int64(block_tokens));
	json_object_object_add(details, "block_ids", ids);
	json_object_object_add(usage, "prompt_tokens",
			       json_object_new_int64(run->prompt_tokens));
	json_object_object_add(usage, "completion_tokens",
			       json_object_new_int64(run->produced_tokens));
	json_object_object_add(usage, "prompt_tokens_details", details);
	return usage;
}

void sa_stream_token(struct sa_run *run, const char *text, bool is_last)
{
	struct json_object *o;

	if (!run->is_stream) {
		g_string_append(run->out, text);
		return;
	}
	o = sa_stream_object(run, sa_stream_choice(run, text, is_last));
	sa_stream_event(
		run, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static void sa_stream_end_plain(struct sa_run *run)
{
	struct json_object *o = sa_stream_object(
		run, sa_stream_choice(run, run->out->str, true));
	char incarnation[SA_NUMBER_BYTES];
	struct hs_header headers[4];

	json_object_object_add(o, "usage", sa_stream_usage(run));
	sa_stream_headers(run, incarnation, headers);
	if (run->exchange)
		sa_answer_json(run->exchange, 200, headers, o);
	else
		json_object_put(o);
}

void sa_stream_end(struct sa_run *run)
{
	struct json_object *o;

	if (!run->is_stream) {
		sa_stream_end_plain(run);
		return;
	}
	o = sa_stream_object(run, json_object_new_array());
	json_object_object_add(o, "usage", sa_stream_usage(run));
	sa_stream_event(
		run, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	sa_stream_event(run, "[DONE]");
	if (run->exchange)
		hs_end(run->exchange);
}

/* A stream goes on without a reader; nobody can ask for a plain answer. */
void sa_stream_detach(struct sa_engine *engine, struct hs_exchange *x)
{
	struct sa_run *run = x->arg;

	if (!run || run->exchange != x)
		return;
	run->exchange = NULL;
	if (!run->is_stream && run->state < SA_DONE && engine->is_up)
		sa_run_finish(run, SA_CANCELLED);
}

void sa_stream_resume(struct sa_engine *engine, struct hs_exchange *x,
		      const char *id)
{
	struct sa_run *run = g_hash_table_lookup(engine->streams, id);
	const char *last = hs_header(x, "Last-Event-ID");
	uint64_t seen = last ? strtoull(last, NULL, 10) : 0;
	uint64_t start;

	if (!run || !run->is_stream) {
		sa_answer_error(x, 404, "no_such_stream");
		return;
	}
	if (seen > run->event_ends->len) {
		sa_answer_error(x, 400, "event_not_sent_yet");
		return;
	}
	if (run->exchange)
		hs_abort(run->exchange);
	run->exchange = x;
	x->arg = run;
	start = seen ? g_array_index(run->event_ends, uint64_t, seen - 1) : 0;
	sa_stream_open(run, x);
	hs_write(x, run->out->str + start, run->out->len - start);
	if (run->state == SA_DONE)
		hs_end(x);
}

void sa_stream_cancel(struct sa_engine *engine, struct hs_exchange *x,
		      const char *id)
{
	struct sa_run *run = g_hash_table_lookup(engine->streams, id);
	struct hs_exchange *reader;

	if (!run) {
		sa_answer_error(x, 404, "no_such_stream");
		return;
	}
	reader = run->exchange;
	run->exchange = NULL;
	if (run->state < SA_DONE)
		sa_run_finish(run, SA_CANCELLED);
	if (reader && run->is_stream)
		hs_abort(reader);
	else if (reader)
		sa_answer_error(reader, 409, "cancelled");
	sa_answer_json(x, 200, NULL, json_object_new_object());
}
