#include "control/cs_change.h"

#include <string.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

MT_COUNTER(cs_applied_total, "balsampin_config_changes_applied_total",
	   "operators' changes that took effect")
MT_COUNTER(cs_conflicts_total, "balsampin_config_changes_conflicting_total",
	   "operators' changes refused because another came first")
MT_COUNTER(cs_resolved_total, "balsampin_config_changes_settled_total",
	   "changes whose lost answer was resolved by reading back")

/*
 * struct cs_change - a queued change and its progress.
 * @base_revision: revision in force when newer rows were requested.
 * @may_be_applied: the outcome of an earlier write is unknown.
 */
struct cs_change {
	char *id;
	uint64_t expected_revision;
	struct cr_delta *delta;
	cs_change_done_fn done;
	void *arg;
	int64_t deadline_ms;
	uint64_t base_revision;
	bool may_be_applied;
};

static void cs_change_free(struct cs_change *change)
{
	g_free(change->id);
	cr_delta_free(change->delta);
	g_free(change);
}

void cs_change_drop_all(struct cs_task *cs)
{
	struct cs_change *change;

	while ((change = g_queue_pop_head(&cs->_changes)))
		cs_change_free(change);
}

static struct cs_change *cs_current_change(struct cs_task *cs)
{
	return g_queue_peek_head(&cs->_changes);
}

static void cs_change_finish(struct cs_task *cs, enum st_code code,
			     uint64_t revision, const struct fd_list *findings)
{
	struct cs_change *change = g_queue_pop_head(&cs->_changes);

	if (code == ST_OK)
		mt_add(&cs_applied_total, 1);
	else if (code == ST_CONFLICT)
		mt_add(&cs_conflicts_total, 1);
	change->done(change->arg, code, revision, findings);
	cs_change_free(change);
	if (cs_current_change(cs))
		cs_change_start(cs);
}

/* Restart after a pause, or report the outcome if the deadline has passed. */
static void cs_change_retry(struct cs_task *cs)
{
	struct cs_change *change = cs_current_change(cs);

	if (ck_now_ms() >= change->deadline_ms) {
		cs_change_finish(cs,
				 change->may_be_applied ? ST_UNKNOWN
							: ST_UNAVAILABLE,
				 0, NULL);
		return;
	}
	ev_timer_stop(cs->_task->kernel->loop, &cs->_retry);
	ev_timer_set(&cs->_retry, CS_CHANGE_RETRY_MS / 1000.0, 0.0);
	ev_timer_start(cs->_task->kernel->loop, &cs->_retry);
}

/* --- writing --- */

static void cs_post_applied(struct cs_task *cs, const struct cs_change *change,
			    uint64_t revision)
{
	struct cr_delta *delta = cr_delta_new(revision);

	for (uint32_t i = 0; i < change->delta->objects->len; i++) {
		struct cm_object *o = &g_array_index(change->delta->objects,
						     struct cm_object, i);

		o->revision = revision;
		cr_delta_add(delta, o);
	}
	kn_post(cs->_task->kernel, cs->_desc.replica,
		&(struct kn_message){ .type = CR_MSG_DELTA,
				      .from = cs->_task->self,
				      .body = delta,
				      .free_body = cr_delta_free });
}

static void cs_on_written(void *arg, enum st_code code, uint64_t revision)
{
	struct cs_task *cs = arg;
	struct cs_change *change = cs_current_change(cs);

	cs_record_platform_state(cs, code == ST_OK || code == ST_CONFLICT);
	if (code == ST_OK) {
		cs_post_applied(cs, change, revision);
		cs_change_finish(cs, ST_OK, revision, NULL);
		return;
	}
	if (code == ST_INVALID) {
		cs_change_finish(cs, ST_UNAVAILABLE, 0, NULL);
		return;
	}
	if (code == ST_UNKNOWN)
		change->may_be_applied = true;
	cs_change_retry(cs);
}

/* Append puts of the changed objects; @texts owns their strings. */
static void cs_add_object_puts(const struct cs_change *change, GArray *puts,
			       GPtrArray *texts)
{
	for (uint32_t i = 0; i < change->delta->objects->len; i++) {
		const struct cm_object *o = &g_array_index(
			change->delta->objects, struct cm_object, i);
		struct pf_put put = {
			.key = cs_object_key(o->kind, o->name),
			.value =
				o->is_deleted ? "{\"deleted\": true}" : o->json,
		};

		g_ptr_array_add(texts, (char *)put.key);
		g_array_append_val(puts, put);
	}
}

static void cs_add_change_puts(struct cs_task *cs,
			       const struct cs_change *change, GArray *puts,
			       GPtrArray *texts)
{
	char dropped[CM_NAME_BYTES];
	char *head = cs_head_append_change(cs->_head, change->id, dropped,
					   sizeof(dropped));
	struct pf_put head_put = { .key = CS_HEAD, .value = head };
	struct pf_put change_put = { .key = cs_change_key(change->id),
				     .value = "{}" };
	struct pf_put drop_put = { .key = cs_change_key(dropped) };

	g_ptr_array_add(texts, head);
	g_ptr_array_add(texts, (char *)change_put.key);
	g_ptr_array_add(texts, (char *)drop_put.key);
	g_array_append_val(puts, head_put);
	g_array_append_val(puts, change_put);
	if (*dropped)
		g_array_append_val(puts, drop_put);
}

static void cs_change_write(struct cs_task *cs, struct cs_change *change)
{
	GArray *puts = g_array_new(false, true, sizeof(struct pf_put));
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *change_key = cs_change_key(change->id);
	struct pf_check checks[] = {
		{ .key = CS_HEAD, .revision = change->expected_revision },
		{ .key = change_key },
	};
	struct pf_txn txn = { .checks = checks,
			      .check_count = G_N_ELEMENTS(checks) };
	enum st_code code;

	cs_add_object_puts(change, puts, texts);
	cs_add_change_puts(cs, change, puts, texts);
	txn.puts = (const struct pf_put *)puts->data;
	txn.put_count = puts->len;
	code = pf_txn(&cs->_store, &txn, cs_on_written, cs);
	g_array_unref(puts);
	g_ptr_array_unref(texts);
	if (code != ST_OK)
		cs_change_retry(cs);
}

/* --- checking --- */

static bool cs_check_size(const struct cs_change *change,
			  struct fd_list *findings)
{
	/* Less the head, this change's row and the old change row deleted. */
	uint32_t max_objects = PF_MAX_PUTS - 3;

	if (!change->delta->objects->len)
		fd_add(findings, "/", "the change is empty");
	if (change->delta->objects->len > max_objects)
		fd_add(findings, "/", "the change has %u objects, at most %u",
		       change->delta->objects->len, max_objects);
	return !findings->count;
}

void cs_change_check(struct cs_task *cs)
{
	const struct cm_config *config = cr_config(cs->_desc.cr);
	struct cs_change *change = cs_current_change(cs);
	struct cm_delta delta;
	struct fd_list findings;

	if (change->expected_revision != config->revision) {
		cs_change_finish(cs, ST_CONFLICT, config->revision, NULL);
		return;
	}
	delta = (struct cm_delta){
		.revision = config->revision + 1,
		.objects = (const void *)change->delta->objects->data,
		.count = change->delta->objects->len,
	};
	fd_init(&findings);
	if (cs_check_size(change, &findings) &&
	    cm_check(config, &delta, &findings) == ST_OK)
		cs_change_write(cs, change);
	else
		cs_change_finish(cs, ST_INVALID, config->revision, &findings);
	fd_finish(&findings);
}

/*
 * --- reading ---
 *
 * Newer rows are read before the change's own row, so that a write of this
 * change that lands between the two reads counts as done, not as a conflict.
 */

static void cs_on_change_row(void *arg, enum st_code code,
			     const struct pf_rows *rows)
{
	struct cs_task *cs = arg;

	cs_record_platform_state(cs, code == ST_OK);
	if (code != ST_OK) {
		cs_change_retry(cs);
	} else if (rows->count) {
		mt_add(&cs_resolved_total, 1);
		cs_poll_now(cs);
		cs_change_finish(cs, ST_OK, rows->rows[0].created, NULL);
	} else {
		/* Messages are ordered: the replica handles the rows first. */
		kn_post(cs->_task->kernel, cs->_task->self,
			&(struct kn_message){ .type = CS_MSG_CHECK });
	}
}

static void cs_read_change_row(struct cs_task *cs)
{
	g_autofree char *key = cs_change_key(cs_current_change(cs)->id);

	if (pf_range(&cs->_store, &(struct pf_range){ .key = key },
		     cs_on_change_row, cs) != ST_OK)
		cs_change_retry(cs);
}

static void cs_on_newer_rows(void *arg, enum st_code code,
			     const struct pf_rows *rows)
{
	struct cs_task *cs = arg;
	struct cs_change *change = cs_current_change(cs);

	cs_record_platform_state(cs, code == ST_OK);
	if (code == ST_OK)
		code = cs_apply_rows(cs, rows, change->base_revision);
	if (code == ST_OK)
		cs_read_change_row(cs);
	else
		cs_change_retry(cs);
}

void cs_change_start(struct cs_task *cs)
{
	struct cs_change *change = cs_current_change(cs);

	change->base_revision = cr_config(cs->_desc.cr)->revision;
	if (pf_range(&cs->_store,
		     &(struct pf_range){ .prefix = CS_PREFIX,
					 .min_revision =
						 change->base_revision + 1 },
		     cs_on_newer_rows, cs) != ST_OK)
		cs_change_retry(cs);
}

enum st_code cs_change(struct cs_task *cs, const struct cs_request *request)
{
	struct cs_change *change;

	if (cs->_changes.length >= CS_MAX_CHANGES) {
		cr_delta_free(request->delta);
		return st_fail(ST_FULL, "%d changes are already queued",
			       CS_MAX_CHANGES);
	}
	change = g_new0(struct cs_change, 1);
	change->id = g_strdup(request->change_id);
	change->expected_revision = request->expected_revision;
	change->delta = request->delta;
	change->done = request->done;
	change->arg = request->arg;
	change->deadline_ms = ck_now_ms() + cs->_desc.change_deadline_ms;
	g_queue_push_tail(&cs->_changes, change);
	if (cs->_changes.length == 1)
		cs_change_start(cs);
	return ST_OK;
}
