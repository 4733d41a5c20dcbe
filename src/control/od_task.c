#include "control/od_task.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

#include "control/od_engines.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"

#define OD_JITTER_MS 50

MT_GAUGE(od_held_gauge, "balsampin_orders_lease_held",
	 "1 while this process holds the lease on orders")
MT_GAUGE(od_fencing_gauge, "balsampin_orders_fencing",
	 "fencing number of the last lease held")

/* --- the lease --- */

static void od_update_lease_state(struct od_task *od)
{
	bool is_held = od->_lease.state == LS_HELD;

	if (is_held == od->_was_held)
		return;
	od->_was_held = is_held;
	mt_set(&od_held_gauge, is_held);
	mt_set(&od_fencing_gauge, (int64_t)od->_lease.fencing);
	tl_record(is_held ? TL_LEASE_TAKEN : TL_LEASE_LOST, OD_LEASE_KEY,
		  "fencing=%" PRIu64, od->_lease.fencing);
	if (is_held)
		od_engines_invalidate(od);
}

static void od_on_lease_row(void *arg, enum st_code code,
			    const struct pf_rows *rows)
{
	struct od_task *od = arg;
	struct ls_row row = { 0 };

	if (code == ST_OK && rows->count)
		ls_row_decode(rows->rows[0].value, rows->rows[0].revision,
			      &row);
	/* The table service states no clock; hosts' clocks nearly agree. */
	ls_on_store(&od->_lease, 0, ck_wall_ms(), ck_now_ms());
	ls_on_read(&od->_lease, code, &row, ck_now_ms());
	od_update_lease_state(od);
}

static void od_on_lease_written(void *arg, enum st_code code, uint64_t revision)
{
	struct od_task *od = arg;

	ls_on_written(&od->_lease, code, revision, ck_now_ms());
	od_update_lease_state(od);
}

static void od_read_lease(struct od_task *od, int64_t now_ms)
{
	enum st_code code;

	ls_step_sent(&od->_lease, now_ms);
	code = pf_range(cs_store(od->_desc.cs),
			&(struct pf_range){ .key = OD_LEASE_KEY },
			od_on_lease_row, od);
	if (code != ST_OK)
		ls_on_read(&od->_lease, ST_UNAVAILABLE, NULL, now_ms);
}

static void od_write_lease(struct od_task *od, int64_t now_ms)
{
	const struct ls_row *row = ls_row_to_write(&od->_lease);
	g_autofree char *text = ls_row_encode(row);
	struct pf_check check = { OD_LEASE_KEY, row->revision };
	struct pf_put put = { OD_LEASE_KEY, text };
	enum st_code code;

	ls_step_sent(&od->_lease, now_ms);
	code = pf_txn(cs_store(od->_desc.cs),
		      &(struct pf_txn){ .checks = &check,
					.check_count = 1,
					.puts = &put,
					.put_count = 1 },
		      od_on_lease_written, od);
	if (code != ST_OK)
		ls_on_written(&od->_lease, ST_UNAVAILABLE, 0, now_ms);
}

static void od_step_lease(struct od_task *od, int64_t now_ms)
{
	enum ls_step step = ls_next(&od->_lease, now_ms);

	od_update_lease_state(od);
	/* A process that drains or has not caught up leaves it to others. */
	if (od->_task->kernel->draining || !cr_is_trusted(od->_desc.cr))
		return;
	if (step == LS_READ)
		od_read_lease(od, now_ms);
	else if (step == LS_WRITE)
		od_write_lease(od, now_ms);
}

/* --- orders --- */

static void od_send_orders(struct od_task *od)
{
	GPtrArray *engines = od_engines_sorted(od);
	GArray *orders = g_array_new(false, false, sizeof(struct od_order));

	od_plan(cr_config(od->_desc.cr), engines, orders);
	for (uint32_t i = 0; i < orders->len; i++) {
		const struct od_order *order =
			&g_array_index(orders, struct od_order, i);
		struct od_peer *peer =
			g_ptr_array_index(engines, order->engine);

		/* The lease may have expired since the start of the tick. */
		if (ls_can_order(&od->_lease, peer->engine.is_checked,
				 ck_now_ms()))
			od_engine_order(peer, &order->wanted,
					od->_lease.fencing);
	}
	g_array_unref(orders);
	g_ptr_array_unref(engines);
}

/* --- the serving version --- */

static void od_on_serving_switched(void *arg, enum st_code code,
				   uint64_t revision,
				   const struct fd_list *findings)
{
	struct od_task *od = arg;

	od->_is_switching = false;
	if (code != ST_OK)
		lg_info("serving version was not switched", "outcome",
			st_name(code), NULL);
}

static char *od_serving_json(const struct cm_object *object,
			     const char *version)
{
	struct json_object *json = json_tokener_parse(object->json);
	char *text;

	json_object_object_add(json, "serving",
			       json_object_new_string(version));
	text = g_strdup(
		json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

static void od_switch_serving(struct od_task *od, const struct cm_model *model)
{
	const struct cm_config *config = cr_config(od->_desc.cr);
	const struct cm_object *object =
		cm_object_find(config, "model", model->name);
	g_autofree char *json = od_serving_json(object, model->version);
	g_autofree char *id =
		g_strdup_printf("serving-%" PRIu64 "-%" PRIu64,
				config->revision, od->_lease.fencing);
	struct cr_delta *delta = cr_delta_new(0);

	cr_delta_add(delta, &(struct cm_object){ .kind = "model",
						 .name = model->name,
						 .json = json });
	od->_is_switching =
		cs_change(od->_desc.cs,
			  &(struct cs_request){ .change_id = id,
						.expected_revision =
							config->revision,
						.delta = delta,
						.done = od_on_serving_switched,
						.arg = od }) == ST_OK;
}

struct od_switch_context {
	struct od_task *od;
	GPtrArray *engines;
};

static void od_switch_if_ready(void *arg, const struct cm_model *model)
{
	struct od_switch_context *context = arg;

	if (!context->od->_is_switching &&
	    od_can_switch_serving(model, context->engines))
		od_switch_serving(context->od, model);
}

static void od_switch_all(struct od_task *od)
{
	struct od_switch_context context = { od, od_engines_sorted(od) };

	cm_for_each_model(cr_config(od->_desc.cr), od_switch_if_ready,
			  &context);
	g_ptr_array_unref(context.engines);
}

/* --- the task --- */

static void od_on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct od_task *od = timer->data;
	int64_t now_ms = ck_now_ms();
	uint32_t jitter_ms = randombytes_uniform(OD_JITTER_MS);

	od_step_lease(od, now_ms);
	if (ls_can_order(&od->_lease, true, now_ms)) {
		od_engines_update(od);
		od_engines_read(od, now_ms);
		od_send_orders(od);
		od_switch_all(od);
	}
	ev_timer_set(timer, (OD_TICK_MS + jitter_ms) / 1000.0, 0.0);
	ev_timer_start(loop, timer);
}

static void od_on_message(struct kn_task *task, struct kn_message *message)
{
}

static enum st_code od_on_start(struct kn_task *task)
{
	struct od_task *od = task->state;
	enum st_code code;

	od->_task = task;
	code = hc_init(&od->_http,
		       &(struct hc_desc){ .loop = task->kernel->loop });
	if (code != ST_OK)
		return code;
	od->_engines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	ev_timer_init(&od->_timer, od_on_timer, OD_TICK_MS / 1000.0, 0.0);
	od->_timer.data = od;
	ev_timer_start(task->kernel->loop, &od->_timer);
	return ST_OK;
}

static void od_on_stop(struct kn_task *task)
{
	struct od_task *od = task->state;

	ev_timer_stop(task->kernel->loop, &od->_timer);
	hc_finish(&od->_http);
	g_hash_table_destroy(od->_engines);
}

static const struct kn_task_ops od_ops = {
	"orders", od_on_start, od_on_message, NULL, NULL, od_on_stop,
};

enum st_code od_spawn(struct od_task *od, struct kn_kernel *kernel,
		      const struct od_task_desc *desc, struct kn_handle *handle)
{
	struct ls_desc lease = desc->lease;

	memset(od, 0, sizeof(*od));
	od->_desc = *desc;
	lease.holder = desc->settings->self.name;
	lease.incarnation = desc->incarnation;
	ls_init(&od->_lease, &lease);
	return kn_spawn(kernel, &od_ops, od, handle);
}

static void od_print_models(const struct od_engine *engine, GString *out)
{
	for (uint32_t i = 0; i < engine->models.count; i++) {
		const struct od_model *m = &engine->models.items[i];

		g_string_append_printf(out,
				       "%s{\"model\": \"%s\", \"version\": "
				       "\"%s\", \"state\": \"%s\"}",
				       i ? ", " : "", m->model, m->version,
				       m->is_ready ? "ready" : "loading");
	}
}

void od_print(void *arg, GString *out)
{
	const struct od_task *od = arg;
	GPtrArray *engines = od_engines_sorted(od);

	g_string_append_printf(
		out,
		"{\"lease\": {\"holder\": \"%s\", \"fencing\": %" PRIu64
		", \"held_here\": %s}, \"engines\": [",
		od->_lease.row.holder, od->_lease.row.fencing,
		od->_lease.state == LS_HELD ? "true" : "false");
	for (uint32_t i = 0; i < engines->len; i++) {
		const struct od_engine *e = g_ptr_array_index(engines, i);

		g_string_append_printf(
			out,
			"%s{\"name\": \"%s\", \"known\": %s, \"orders\": "
			"\"%s\", \"leaving\": %s, \"models\": [",
			i ? ", " : "", e->name, e->is_known ? "true" : "false",
			e->is_checked ? "checked" : "ignored",
			e->is_leaving ? "true" : "false");
		od_print_models(e, out);
		g_string_append(out, "]}");
	}
	g_string_append(out, "]}");
	g_ptr_array_unref(engines);
}
