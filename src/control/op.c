#include "control/op.h"

#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

#include "config/cr_wire.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

MT_COUNTER(op_calls_total, "balsampin_operator_calls_total",
	   "operators' calls accepted")
MT_COUNTER(op_denied_total, "balsampin_operator_calls_denied_total",
	   "operators' calls with a wrong key")

/*
 * struct op_call - a call that is answered asynchronously.
 * @expected_revision: of a change.
 */
struct op_call {
	struct op_server *op;
	struct rp_request *request;
	uint64_t expected_revision;
};

bool op_is_valid_key(const struct cf_settings *settings, const char *key)
{
	uint8_t hash[CF_KEY_BYTES];

	crypto_hash_sha256(hash, (const uint8_t *)key, strlen(key));
	return sodium_memcmp(hash, settings->operator_key_hash, sizeof(hash)) ==
	       0;
}

static bp_operated op_answer(struct op_server *op, enum st_code code,
			     const char *message)
{
	return (bp_operated){ .status = code,
			      .message = (char *)message,
			      .revision = cr_config(op->_desc.cr)->revision,
			      .text = "" };
}

static void op_reply_code(struct op_server *op, struct rp_request *request,
			  enum st_code code, const char *message)
{
	bp_operated answer = op_answer(op, code, message);

	rp_reply(request, &answer);
}

static void op_reply_text(struct op_server *op, struct rp_request *request,
			  GString *text)
{
	bp_operated answer = op_answer(op, ST_OK, "");

	if (text->len > BP_MAX_JSON_BYTES)
		g_string_truncate(text, BP_MAX_JSON_BYTES);
	answer.text = text->str;
	rp_reply(request, &answer);
	g_string_free(text, true);
}

/* --- objects --- */

static void op_reply_objects(struct op_server *op, struct rp_request *request,
			     enum st_code code, const GArray *objects)
{
	bp_operated answer = op_answer(op, code, "");
	GArray *wire = cr_objects_to_wire(objects);

	answer.objects.objects_val = (bp_object *)wire->data;
	answer.objects.objects_len = wire->len;
	rp_reply(request, &answer);
	g_array_unref(wire);
}

static void op_show(struct op_server *op, struct rp_request *request,
		    const bp_operate *call)
{
	const struct cm_object *object =
		cm_object_find(cr_config(op->_desc.cr), call->kind, call->name);
	GArray *objects;

	if (!object || object->is_deleted) {
		op_reply_code(op, request, ST_NOT_FOUND, "no such object");
		return;
	}
	objects = g_array_new(false, false, sizeof(struct cm_object));
	g_array_append_val(objects, *object);
	op_reply_objects(op, request, ST_OK, objects);
	g_array_unref(objects);
}

/*
 * The revision to base a change on. A process that has just started is still at
 * revision 0, and a change based on it would be refused as a conflict.
 */
static void op_reply_revision(struct op_server *op, struct rp_request *request)
{
	if (cr_is_trusted(op->_desc.cr))
		op_reply_code(op, request, ST_OK, "");
	else
		op_reply_code(op, request, ST_STALE,
			      "this process has not caught up yet");
}

static void op_list(struct op_server *op, struct rp_request *request,
		    const bp_operate *call)
{
	GArray *all = g_array_new(false, false, sizeof(struct cm_object));
	GArray *wanted = g_array_new(false, false, sizeof(struct cm_object));

	cm_changed_since(cr_config(op->_desc.cr), 0, all);
	for (uint32_t i = 0; i < all->len; i++) {
		struct cm_object *o = &g_array_index(all, struct cm_object, i);

		if (!o->is_deleted &&
		    (!*call->kind || !strcmp(call->kind, o->kind)))
			g_array_append_val(wanted, *o);
	}
	op_reply_objects(op, request, ST_OK, wanted);
	g_array_unref(all);
	g_array_unref(wanted);
}

/* --- changes --- */

static void op_reply_findings(struct op_server *op, struct rp_request *request,
			      const struct fd_list *findings)
{
	bp_operated answer = op_answer(
		op, ST_INVALID, "the change was refused; no part took effect");
	bp_finding wire[FD_MAX_FINDINGS];

	for (uint32_t i = 0; i < findings->count; i++)
		wire[i] = (bp_finding){ findings->items[i].place,
					findings->items[i].message };
	answer.findings.findings_val = wire;
	answer.findings.findings_len = findings->count;
	rp_reply(request, &answer);
}

static void op_reply_conflict(struct op_server *op, struct op_call *call)
{
	GArray *changed = g_array_new(false, false, sizeof(struct cm_object));

	cm_changed_since(cr_config(op->_desc.cr), call->expected_revision,
			 changed);
	op_reply_objects(op, call->request, ST_CONFLICT, changed);
	g_array_unref(changed);
}

static void op_on_changed(void *arg, enum st_code code, uint64_t revision,
			  const struct fd_list *findings)
{
	struct op_call *call = arg;
	struct op_server *op = call->op;
	bp_operated answer;

	if (code == ST_INVALID) {
		op_reply_findings(op, call->request, findings);
	} else if (code == ST_CONFLICT) {
		op_reply_conflict(op, call);
	} else {
		answer = op_answer(op, code, code == ST_OK ? "" : st_message());
		answer.revision = revision;
		rp_reply(call->request, &answer);
	}
	g_free(call);
}

static struct cr_delta *op_read_delta(const bp_operate *call)
{
	struct cr_delta *delta = cr_delta_new(0);
	GArray *objects = cr_objects_from_wire(call->objects.objects_val,
					       call->objects.objects_len);

	for (uint32_t i = 0; i < objects->len; i++) {
		struct cm_object *o =
			&g_array_index(objects, struct cm_object, i);

		o->revision = 0;
		if (o->is_deleted)
			o->json = NULL;
		cr_delta_add(delta, o);
	}
	g_array_unref(objects);
	return delta;
}

static void op_apply(struct op_server *op, struct rp_request *request,
		     const bp_operate *call)
{
	struct op_call *pending;
	enum st_code code;

	if (!*call->change_id || strchr(call->change_id, '/')) {
		op_reply_code(op, request, ST_INVALID,
			      "a change id without \"/\" is required");
		return;
	}
	pending = g_new0(struct op_call, 1);
	pending->op = op;
	pending->request = request;
	pending->expected_revision = call->expected_revision;
	code = cs_change(op->_desc.cs,
			 &(struct cs_request){ .change_id = call->change_id,
					       .expected_revision =
						       call->expected_revision,
					       .delta = op_read_delta(call),
					       .done = op_on_changed,
					       .arg = pending });
	if (code == ST_OK)
		return;
	g_free(pending);
	op_reply_code(op, request, ST_UNAVAILABLE, st_message());
}

/* --- hosts --- */

static void op_on_forwarded(void *arg, enum st_code code,
			    const struct rp_peer *from, const void *result)
{
	struct op_call *call = arg;

	if (code == ST_OK)
		rp_reply(call->request, result);
	else
		op_reply_code(call->op, call->request, code, st_message());
	g_free(call);
}

static void op_forward(struct op_server *op, struct rp_request *request,
		       const bp_operate *args)
{
	const struct mb_member *to =
		mb_find(op->_desc.members, MB_CONTROL, args->name);
	struct op_call *call;
	enum st_code code;

	if (!to || !to->rpc_port) {
		op_reply_code(op, request, ST_NOT_FOUND, "no such host");
		return;
	}
	call = g_new0(struct op_call, 1);
	call->op = op;
	call->request = request;
	code = rp_call(op->_desc.rpc,
		       &(struct rp_call_desc){
			       .to = { .ipv4 = to->ipv4, .port = to->rpc_port },
			       .transport = RP_TCP,
			       .number = BP_OPERATE,
			       .args = (xdrproc_t)xdr_bp_operate,
			       .args_value = args,
			       .result = (xdrproc_t)xdr_bp_operated,
			       .result_bytes = sizeof(bp_operated),
			       .deadline_ms = OP_FORWARD_DEADLINE_MS,
			       .on_done = op_on_forwarded,
			       .arg = call },
		       NULL);
	if (code == ST_OK)
		return;
	g_free(call);
	op_reply_code(op, request, code, st_message());
}

/* The other processes of the host serve DRAIN as well (dr.h). */
static void op_drain_others(struct op_server *op, const bp_operate *args)
{
	static const enum mb_role roles[] = { MB_ENTRY, MB_INDEX };

	for (uint32_t i = 0; i < G_N_ELEMENTS(roles); i++) {
		const struct mb_member *m =
			mb_find(op->_desc.members, roles[i],
				op->_desc.settings->self.name);

		if (!m || !m->rpc_port)
			continue;
		rp_call(op->_desc.rpc,
			&(struct rp_call_desc){
				.to = { .ipv4 = m->ipv4, .port = m->rpc_port },
				.transport = RP_TCP,
				.number = BP_OPERATE,
				.args = (xdrproc_t)xdr_bp_operate,
				.args_value = args,
				.deadline_ms = OP_FORWARD_DEADLINE_MS },
			NULL);
	}
}

static void op_drain(struct op_server *op, struct rp_request *request,
		     const bp_operate *args)
{
	op_drain_others(op, args);
	op_reply_code(op, request, ST_OK, "draining");
	kn_drain(op->_desc.kernel);
}

static void op_counters(struct op_server *op, struct rp_request *request)
{
	GString *text = g_string_new(NULL);

	mt_print(text);
	op_reply_text(op, request, text);
}

static void op_versions(struct op_server *op, struct rp_request *request)
{
	GString *text = g_string_new(NULL);

	op_print_versions(op->_desc.members, cr_config(op->_desc.cr)->revision,
			  cr_is_trusted(op->_desc.cr), text);
	op_reply_text(op, request, text);
}

static void op_orders(struct op_server *op, struct rp_request *request)
{
	GString *text = g_string_new(NULL);

	if (op->_desc.print_orders)
		op->_desc.print_orders(op->_desc.orders_arg, text);
	op_reply_text(op, request, text);
}

static bool op_is_for_other_host(const struct op_server *op,
				 const bp_operate *call)
{
	return *call->name &&
	       strcmp(call->name, op->_desc.settings->self.name) != 0;
}

static void op_dispatch(struct op_server *op, struct rp_request *request,
			const bp_operate *call)
{
	switch (call->operation) {
	case BP_OP_SHOW:
		op_show(op, request, call);
		break;
	case BP_OP_LIST:
		if (!strcmp(call->kind, OP_KIND_REVISION))
			op_reply_revision(op, request);
		else
			op_list(op, request, call);
		break;
	case BP_OP_APPLY:
		op_apply(op, request, call);
		break;
	case BP_OP_VERSIONS:
		op_versions(op, request);
		break;
	case BP_OP_ORDERS:
		op_orders(op, request);
		break;
	case BP_OP_DRAIN:
		if (op_is_for_other_host(op, call))
			op_forward(op, request, call);
		else
			op_drain(op, request, call);
		break;
	case BP_OP_COUNTERS:
		if (op_is_for_other_host(op, call))
			op_forward(op, request, call);
		else
			op_counters(op, request);
		break;
	default:
		op_reply_code(op, request, ST_INVALID, "no such operation");
	}
}

static void op_on_call(void *arg, struct rp_request *request, const void *args)
{
	struct op_server *op = arg;
	const bp_operate *call = args;

	if (!op_is_valid_key(op->_desc.settings, call->operator_key)) {
		mt_add(&op_denied_total, 1);
		lg_warn("operator's call with a wrong key", "from",
			rp_peer_of(request)->host, NULL);
		op_reply_code(op, request, ST_DENIED, "wrong operator key");
		return;
	}
	mt_add(&op_calls_total, 1);
	op_dispatch(op, request, call);
}

enum st_code op_init(struct op_server *op, const struct op_desc *desc)
{
	op->_desc = *desc;
	return rp_serve(desc->rpc, &(struct rp_procedure){
					   .number = BP_OPERATE,
					   .args = (xdrproc_t)xdr_bp_operate,
					   .args_bytes = sizeof(bp_operate),
					   .result = (xdrproc_t)xdr_bp_operated,
					   .handler = op_on_call,
					   .arg = op });
}
