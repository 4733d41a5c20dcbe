/*
 * The once task: claims and stored answers in the table service.
 */
#include <inttypes.h>
#include <string.h>

#include "entry/en.h"
#include "kernel/ck.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "once/on.h"
#include "platform/pf.h"

MT_COUNTER(en_claims, "balsampin_entry_claims_total",
	   "claims of calls that must run at most once")
MT_COUNTER(en_repeats, "balsampin_entry_repeats_total",
	   "repeated calls answered with the stored answer")
MT_COUNTER(en_unsettled, "balsampin_entry_unsettled_total",
	   "repeated calls refused because the first had no known outcome")

struct en_once {
	struct en_once_desc desc;
	struct kn_task *task;
	struct pf_store store;
	bool has_store;
	GHashTable *claims;
	uint64_t last_attempt;
};

/* One claim, from the request until its row needs no further write. */
struct en_claim {
	struct en_once *once;
	uint64_t id;
	struct on_machine machine;
	struct on_row row;
	char *key;
	bool is_answered;
	ev_timer wait;
};

static void en_claim_execute(struct en_claim *claim, enum on_action action,
			     const struct on_row *row);

static void en_claim_free(void *body)
{
	struct en_claim *claim = body;

	ev_timer_stop(claim->once->task->kernel->loop, &claim->wait);
	on_row_finish(&claim->row);
	g_free(claim->key);
	g_free(claim);
}

static void en_claim_advance(struct en_claim *claim,
			     const struct on_input *input)
{
	en_claim_execute(claim, on_step(&claim->machine, input), input->row);
}

static void en_claim_post_step(struct en_claim *claim,
			       struct en_once_step *step)
{
	struct en_once *once = claim->once;

	claim->is_answered = step->action != EN_ONCE_SEND;
	kn_post(once->task->kernel, *once->desc.dispatch,
		&(struct kn_message){ .type = EN_MSG_ONCE_STEP,
				      .cookie = claim->id,
				      .body = step,
				      .free_body = en_once_step_free });
}

static void en_claim_error(struct en_claim *claim, enum en_code error)
{
	struct en_once_step *step;

	if (claim->is_answered)
		return;
	step = g_new0(struct en_once_step, 1);
	step->action = EN_ONCE_ERROR;
	step->error = error;
	en_claim_post_step(claim, step);
}

static void en_claim_allow_send(struct en_claim *claim)
{
	struct en_once_step *step = g_new0(struct en_once_step, 1);

	step->action = EN_ONCE_SEND;
	tl_record(TL_CALL_CLAIMED, claim->key, "attempt=%s",
		  claim->row.attempt);
	en_claim_post_step(claim, step);
}

static void en_claim_replay_answer(struct en_claim *claim,
				   const struct on_row *row)
{
	struct en_once_step *step;

	mt_add(&en_repeats, 1);
	if (!row || row->is_too_large) {
		en_claim_error(claim, EN_ANSWER_NOT_KEPT);
		return;
	}
	step = g_new0(struct en_once_step, 1);
	step->action = EN_ONCE_REPLAY;
	step->status = row->status;
	g_strlcpy(step->content_type, row->content_type,
		  sizeof(step->content_type));
	step->body = g_string_new_len(row->body->str, (gssize)row->body->len);
	en_claim_post_step(claim, step);
}

static void en_on_claimed(void *arg, enum st_code code, uint64_t revision)
{
	en_claim_advance(arg, &(struct on_input){ .event = ON_CLAIM_ANSWERED,
						  .code = code,
						  .revision = revision });
}

static void en_on_answer_stored(void *arg, enum st_code code, uint64_t revision)
{
	en_claim_advance(arg, &(struct on_input){ .event = ON_KEEP_ANSWERED,
						  .code = code });
}

static void en_on_released(void *arg, enum st_code code, uint64_t revision)
{
	en_claim_advance(arg, &(struct on_input){ .event = ON_RELEASE_ANSWERED,
						  .code = code });
}

static void en_on_read(void *arg, enum st_code code, const struct pf_rows *rows)
{
	struct on_row row = { 0 };
	struct on_input input = { .event = ON_READ_ANSWERED, .code = code };

	if (code == ST_OK && rows->count) {
		input.code = on_row_parse(&row, rows->rows[0].value,
					  rows->rows[0].revision);
		input.row = &row;
	}
	en_claim_advance(arg, &input);
	on_row_finish(&row);
}

/* Writes or deletes the row, provided that it still has the given revision. */
static void en_claim_write(struct en_claim *claim, uint64_t revision,
			   bool is_delete, pf_txn_fn fn)
{
	char *value = is_delete ? NULL : on_row_format(&claim->row);
	struct pf_check check = { .key = claim->key, .revision = revision };
	struct pf_put put = { .key = claim->key, .value = value };
	struct pf_txn txn = {
		.checks = &check, .check_count = 1, .puts = &put, .put_count = 1
	};
	enum st_code code = pf_txn(&claim->once->store, &txn, fn, claim);

	g_free(value);
	if (code != ST_OK)
		fn(claim, ST_UNAVAILABLE, 0);
}

static void en_claim_read(struct en_claim *claim)
{
	struct pf_range range = { .key = claim->key, .limit = 1 };

	if (pf_range(&claim->once->store, &range, en_on_read, claim) != ST_OK)
		en_on_read(claim, ST_UNAVAILABLE, NULL);
}

static void en_on_wait_elapsed(struct ev_loop *loop, ev_timer *timer,
			       int revents)
{
	en_claim_advance(timer->data,
			 &(struct on_input){ .event = ON_WAIT_ELAPSED });
}

static void en_claim_wait(struct en_claim *claim)
{
	struct ev_loop *loop = claim->once->task->kernel->loop;

	ev_timer_set(&claim->wait, (double)on_wait_ms(&claim->machine) / 1000.0,
		     0.0);
	ev_timer_start(loop, &claim->wait);
}

static void en_claim_end(struct en_claim *claim)
{
	tl_record(TL_CALL_SETTLED, claim->key, "attempt=%s answered=%d",
		  claim->row.attempt, claim->row.is_answered);
	g_hash_table_remove(claim->once->claims, &claim->id);
}

static void en_claim_execute(struct en_claim *claim, enum on_action action,
			     const struct on_row *row)
{
	uint64_t revision = claim->machine.revision;

	switch (action) {
	case ON_CLAIM:
		mt_add(&en_claims, 1);
		en_claim_write(claim, 0, false, en_on_claimed);
		return;
	case ON_READ:
		en_claim_read(claim);
		return;
	case ON_SEND:
		en_claim_allow_send(claim);
		return;
	case ON_KEEP:
		en_claim_write(claim, revision, false, en_on_answer_stored);
		return;
	case ON_RELEASE:
		en_claim_error(claim, EN_NOT_RUN);
		en_claim_write(claim, revision, true, en_on_released);
		return;
	case ON_REFUSE_AND_WAIT:
		en_claim_error(claim, EN_PLATFORM_DOWN);
		en_claim_wait(claim);
		return;
	case ON_WAIT:
		en_claim_wait(claim);
		return;
	case ON_ANSWER_KEPT:
		en_claim_replay_answer(claim, row);
		break;
	case ON_REFUSE:
		en_claim_error(claim, EN_PLATFORM_DOWN);
		break;
	case ON_UNSETTLED:
		mt_add(&en_unsettled, 1);
		en_claim_error(claim, EN_UNSETTLED);
		break;
	case ON_UNCERTAIN:
		en_claim_error(claim, EN_UPSTREAM_FAILED);
		break;
	case ON_REUSED:
		en_claim_error(claim, EN_KEY_REUSED);
		break;
	case ON_FINISHED:
		break;
	}
	en_claim_end(claim);
}

static void en_claim_begin(struct en_once *once, uint64_t id,
			   const struct en_once_request *request)
{
	struct en_claim *claim = g_new0(struct en_claim, 1);
	struct pr_process *process = once->desc.process;

	claim->once = once;
	claim->id = id;
	claim->key = on_row_key(request->team, request->service, request->key);
	g_snprintf(claim->row.attempt, sizeof(claim->row.attempt),
		   "%016" PRIx64 "-o%" PRIx64, process->incarnation,
		   ++once->last_attempt);
	g_strlcpy(claim->row.hash, request->hash, sizeof(claim->row.hash));
	g_strlcpy(claim->row.entry, process->settings.self.name,
		  sizeof(claim->row.entry));
	claim->row.claimed_ms = ck_wall_ms();
	on_init(&claim->machine, claim->row.attempt, claim->row.hash);
	ev_timer_init(&claim->wait, en_on_wait_elapsed, 0.0, 0.0);
	claim->wait.data = claim;
	g_hash_table_insert(once->claims, &claim->id, claim);
	en_claim_advance(claim, &(struct on_input){ .event = ON_BEGIN });
}

static void en_claim_on_result(struct en_claim *claim,
			       const struct en_once_result *result)
{
	static const enum on_event events[] = {
		[EN_ONCE_ANSWERED] = ON_SEND_ANSWERED,
		[EN_ONCE_UNCERTAIN] = ON_SEND_UNCERTAIN,
		[EN_ONCE_NOT_SENT] = ON_NOT_SENT,
		[EN_ONCE_NO_UPSTREAM] = ON_NO_UPSTREAM_LEFT,
	};

	if (result->outcome == EN_ONCE_ANSWERED) {
		claim->is_answered = true;
		on_row_set_answer(&claim->row, result->status,
				  result->content_type,
				  result->body ? result->body->str : "",
				  result->body ? result->body->len : 0);
	}
	en_claim_advance(
		claim, &(struct on_input){ .event = events[result->outcome] });
}

static void en_once_message(struct kn_task *task, struct kn_message *message)
{
	struct en_once *once = task->state;
	struct en_claim *claim =
		g_hash_table_lookup(once->claims, &message->cookie);

	if (message->type == EN_MSG_ONCE && !claim)
		en_claim_begin(once, message->cookie, message->body);
	if (message->type == EN_MSG_ONCE_RESULT && claim)
		en_claim_on_result(claim, message->body);
}

static enum st_code en_once_start(struct kn_task *task)
{
	struct en_once *once = task->state;
	const struct cf_platform *platform =
		&once->desc.process->settings.platform;
	struct pf_desc desc = {
		.loop = task->kernel->loop,
		.kind = platform->kind,
		.tables_url = platform->tables_url,
		.objects_url = platform->objects_url,
		.hosts_url = platform->hosts_url,
		.reads_per_s = platform->reads_per_s,
		.writes_per_s = platform->writes_per_s,
	};
	enum st_code code;

	once->task = task;
	code = pf_init(&once->store, &desc);
	once->has_store = code == ST_OK;
	return code;
}

/* Idle only when no answer is left to store and no unused claim to delete. */
static bool en_once_is_idle(struct kn_task *task)
{
	struct en_once *once = task->state;

	return !g_hash_table_size(once->claims);
}

static void en_once_stop(struct kn_task *task)
{
	struct en_once *once = task->state;

	g_hash_table_remove_all(once->claims);
	if (once->has_store)
		pf_finish(&once->store);
	once->has_store = false;
}

static const struct kn_task_ops en_once_ops = {
	.name = "once",
	.start = en_once_start,
	.message = en_once_message,
	.is_idle = en_once_is_idle,
	.stop = en_once_stop,
};

enum st_code en_once_spawn(struct en_once **out, struct kn_kernel *kernel,
			   const struct en_once_desc *desc,
			   struct kn_handle *handle)
{
	struct en_once *once = g_new0(struct en_once, 1);

	once->desc = *desc;
	once->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     en_claim_free);
	*out = once;
	return kn_spawn(kernel, &en_once_ops, once, handle);
}

void en_once_free(struct en_once *once)
{
	if (!once)
		return;
	g_hash_table_destroy(once->claims);
	g_free(once);
}
