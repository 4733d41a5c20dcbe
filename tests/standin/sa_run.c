#include <string.h>

#include "bench/bench_answer.h"
#include "sa_engine.h"

#define SA_DEFAULT_MAX_TOKENS 16
/* Finished streams whose output an engine keeps for resumption. */
#define SA_KEPT_STREAMS 256

static const char *const sa_run_state_names[] = {
	[SA_WAITING] = "waiting",     [SA_PREFILL] = "prefill",
	[SA_DECODE] = "decode",	      [SA_DONE] = "done",
	[SA_CANCELLED] = "cancelled", [SA_CRASHED] = "crashed",
};

const char *sa_run_state_name(enum sa_run_state state)
{
	return sa_run_state_names[state];
}

static uint64_t sa_run_cache_seed(const struct sa_run *run)
{
	return bench_answer_seed(run->salt, strlen(run->salt), run->model,
				 run->version);
}

/* "content" is a text, or a list of parts of which the texts count. */
static void sa_run_add_content(GString *prompt, struct json_object *content)
{
	size_t parts;

	if (!json_object_is_type(content, json_type_array)) {
		g_string_append(prompt, json_object_get_string(content));
		return;
	}
	parts = json_object_array_length(content);
	for (size_t i = 0; i < parts; i++)
		g_string_append(prompt,
				sa_text(json_object_array_get_idx(content, i),
					"text", ""));
}

static char *sa_run_chat_prompt(struct json_object *messages)
{
	GString *prompt = g_string_new(NULL);
	size_t count = messages ? json_object_array_length(messages) : 0;

	for (size_t i = 0; i < count; i++) {
		struct json_object *m = json_object_array_get_idx(messages, i);

		g_string_append_printf(prompt, "<|%s|>",
				       sa_text(m, "role", ""));
		sa_run_add_content(prompt, sa_member(m, "content"));
		g_string_append_c(prompt, '\n');
	}
	return g_string_free(prompt, FALSE);
}

static void sa_run_read_prompt(struct sa_run *run, struct json_object *body)
{
	const char *so_far =
		sa_text(sa_member(body, "continue_from"), "text", "");
	char *prompt = run->is_chat
			       ? sa_run_chat_prompt(sa_member(body, "messages"))
			       : g_strdup(sa_text(body, "prompt", ""));

	run->answer_seed = bench_answer_seed(prompt, strlen(prompt), run->model,
					     run->version);
	run->answered_tokens = (uint32_t)(strlen(so_far) / BENCH_TOKEN_BYTES);
	run->prompt = g_strconcat(prompt, so_far, NULL);
	run->prompt_bytes = strlen(run->prompt);
	run->prompt_hash = bench_answer_seed(prompt, strlen(prompt), "", "");
	g_free(prompt);
}

static void sa_run_read(struct sa_run *run, struct hs_exchange *x,
			struct json_object *body)
{
	const struct sa_engine_desc *desc = &run->engine->desc;
	const char *salt = hs_header(x, "X-Cache-Salt");
	uint32_t bytes_per_token = desc->bytes_per_token;

	run->salt = g_strdup(salt ? salt : "");
	sa_run_read_prompt(run, body);
	run->is_stream =
		json_object_get_boolean(sa_member(body, "stream")) != 0;
	run->priority = sa_number(body, "priority", 0);
	run->max_tokens =
		(uint32_t)sa_number(body, "max_tokens",
				    sa_number(body, "max_completion_tokens",
					      SA_DEFAULT_MAX_TOKENS));
	run->max_tokens = MAX(run->max_tokens, 1);
	run->prompt_tokens =
		(uint32_t)((run->prompt_bytes + bytes_per_token - 1) /
			   bytes_per_token);
	run->blocks = sa_cache_ids(
		sa_run_cache_seed(run), run->prompt, run->prompt_bytes,
		(uint64_t)desc->block_tokens * bytes_per_token);
}

static gint sa_run_compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct sa_run *left = a;
	const struct sa_run *right = b;

	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

uint64_t sa_run_waiting_tokens(struct sa_engine *engine)
{
	uint64_t tokens = 0;

	for (GList *l = engine->waiting.head; l; l = l->next) {
		struct sa_run *run = l->data;
		uint64_t hits = sa_cache_hits(&engine->cache, run->blocks);

		tokens += run->prompt_tokens - hits * engine->desc.block_tokens;
	}
	return tokens;
}

static bool sa_run_is_elsewhere(const struct sa_engine *engine, uint64_t id)
{
	GPtrArray *engines = engine->world->engines;

	for (guint i = 0; i < engines->len; i++) {
		struct sa_engine *other = g_ptr_array_index(engines, i);

		if (other != engine && sa_engine_live(other) &&
		    !strcmp(other->desc.zone, engine->desc.zone) &&
		    sa_cache_has(&other->cache, id))
			return true;
	}
	return false;
}

static void sa_run_begin_prefill(struct sa_run *run)
{
	struct sa_engine *engine = run->engine;
	uint64_t tokens;

	run->state = SA_PREFILL;
	engine->prefilling = run;
	run->cached_blocks = sa_cache_hits(&engine->cache, run->blocks);
	run->computed_blocks = run->blocks->len - run->cached_blocks;
	for (guint i = run->cached_blocks; i < run->blocks->len; i++) {
		uint64_t id = g_array_index(run->blocks, uint64_t, i);

		run->wasted_blocks += sa_run_is_elsewhere(engine, id);
	}
	tokens = run->prompt_tokens -
		 (uint64_t)run->cached_blocks * engine->desc.block_tokens;
	ev_now_update(engine->world->loop);
	ev_timer_set(&run->timer,
		     (double)tokens / engine->desc.prefill_tokens_per_s, 0.0);
	ev_timer_start(engine->world->loop, &run->timer);
}

void sa_run_schedule(struct sa_engine *engine)
{
	if (engine->prefilling || engine->is_frozen || !engine->is_up ||
	    engine->decoding >= engine->desc.max_running ||
	    g_queue_is_empty(&engine->waiting))
		return;
	sa_run_begin_prefill(g_queue_pop_head(&engine->waiting));
}

static void sa_run_forget_output(struct sa_run *run)
{
	g_string_free(run->out, TRUE);
	run->out = NULL;
	if (g_hash_table_lookup(run->engine->streams, run->id) == run)
		g_hash_table_remove(run->engine->streams, run->id);
}

/* Keep the newest streams for resumption, the rest as records only. */
static void sa_run_keep(struct sa_run *run)
{
	GQueue *finished = &run->engine->finished;

	g_queue_push_tail(finished, run);
	while (finished->length > SA_KEPT_STREAMS) {
		struct sa_run *oldest = g_queue_pop_head(finished);

		sa_run_forget_output(oldest);
	}
}

void sa_run_finish(struct sa_run *run, enum sa_run_state state)
{
	struct sa_engine *engine = run->engine;

	ev_timer_stop(engine->world->loop, &run->timer);
	if (run->state == SA_WAITING)
		g_queue_remove(&engine->waiting, run);
	if (run->state == SA_PREFILL)
		engine->prefilling = NULL;
	if (run->state == SA_DECODE)
		engine->decoding--;
	run->state = state;
	g_free(run->prompt);
	run->prompt = NULL;
	if (state == SA_DONE)
		sa_run_keep(run);
	else
		sa_run_forget_output(run);
	sa_run_schedule(engine);
}

static void sa_run_next_token(struct sa_run *run)
{
	char token[BENCH_TOKEN_BYTES + 1];
	bool is_last;

	bench_answer_token(run->answer_seed,
			   run->answered_tokens + run->produced_tokens, token);
	run->produced_tokens++;
	is_last = run->produced_tokens >= run->max_tokens;
	sa_stream_token(run, token, is_last);
	if (!is_last)
		return;
	sa_stream_end(run);
	sa_run_finish(run, SA_DONE);
}

static bool sa_run_is_poisoned(const struct sa_run *run)
{
	const char *poison = run->engine->world->poison;

	return poison && strstr(run->prompt, poison);
}

static void sa_run_end_prefill(struct sa_run *run)
{
	struct sa_engine *engine = run->engine;

	if (sa_run_is_poisoned(run)) {
		sa_engine_crash(engine, engine->world->poison_down_ms);
		return;
	}
	sa_cache_add(&engine->cache, run->blocks);
	engine->prefilling = NULL;
	engine->decoding++;
	run->state = SA_DECODE;
	run->timer.repeat = engine->desc.token_ms / 1000.0;
	ev_timer_again(engine->world->loop, &run->timer);
	sa_run_next_token(run);
	sa_run_schedule(engine);
}

static void sa_run_on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct sa_run *run = timer->data;

	if (run->engine->is_frozen) {
		timer->repeat = run->engine->desc.token_ms / 1000.0;
		ev_timer_again(loop, timer);
	} else if (run->state == SA_PREFILL) {
		sa_run_end_prefill(run);
	} else {
		sa_run_next_token(run);
	}
}

static struct sa_model *sa_run_model(struct sa_engine *engine,
				     struct hs_exchange *x,
				     struct json_object *body)
{
	const char *version = hs_header(x, "X-Weights-Version");
	const char *name = sa_text(body, "model", "");
	struct sa_model *model = sa_orders_model(engine, name, version);

	if (model)
		return model;
	if (sa_orders_model(engine, name, NULL))
		sa_answer_error(x, 409, "wrong_weights");
	else
		sa_answer_error(x, 404, "model_not_found");
	return NULL;
}

void sa_run_start(struct sa_engine *engine, struct hs_exchange *x, bool is_chat)
{
	struct json_object *body = json_tokener_parse(x->body->str);
	const char *id = hs_header(x, "X-Request-Id");
	struct sa_model *model;
	struct sa_run *run;

	if (!body) {
		sa_answer_error(x, 400, "bad_json");
		return;
	}
	model = sa_run_model(engine, x, body);
	if (!model) {
		json_object_put(body);
		return;
	}
	run = g_new0(struct sa_run, 1);
	run->engine = engine;
	run->exchange = x;
	x->arg = run;
	run->is_chat = is_chat;
	run->order = engine->next_order++;
	run->id = id ? g_strdup(id)
		     : g_strdup_printf("run-%u", engine->runs->len);
	run->model = g_strdup(model->name);
	run->version = g_strdup(model->version);
	ev_init(&run->timer, sa_run_on_timer);
	run->timer.data = run;
	sa_run_read(run, x, body);
	json_object_put(body);
	g_ptr_array_add(engine->runs, run);
	g_hash_table_insert(engine->streams, run->id, run);
	sa_stream_begin(run);
	g_queue_insert_sorted(&engine->waiting, run, sa_run_compare, NULL);
	sa_run_schedule(engine);
}
