#include "ctl/timeline_gather.h"

/** struct tg_state - of one run. */
struct tg_state {
	const struct tg_desc *desc;
	struct tm_list *list;
	struct ev_loop *loop;
	struct rp_endpoint rpc;
	uint32_t next;
	uint32_t in_flight;
};

/** struct tg_call - one call and its target. */
struct tg_call {
	struct tg_state *state;
	struct tg_target *target;
};

static void tg_start_calls(struct tg_state *state);

static void tg_on_done(void *arg, enum st_code code, const struct rp_peer *from,
		       const void *result)
{
	struct tg_call *call = arg;
	struct tg_state *state = call->state;
	const bp_timeline_part *part = result;

	call->target->code = code;
	if (code == ST_OK) {
		call->target->overwritten = part->overwritten;
		tm_add(state->list, part);
	}
	g_free(call);
	state->in_flight--;
	tg_start_calls(state);
}

static void tg_start_call(struct tg_state *state, struct tg_target *target)
{
	bp_timeline_from args = { .after = state->desc->after };
	struct tg_call *call = g_new(struct tg_call, 1);
	struct rp_call_desc desc = {
		.to = target->to,
		.transport = RP_TCP,
		.number = BP_TIMELINE,
		.args = (xdrproc_t)xdr_bp_timeline_from,
		.args_value = &args,
		.result = (xdrproc_t)xdr_bp_timeline_part,
		.result_bytes = sizeof(bp_timeline_part),
		.deadline_ms = state->desc->deadline_ms,
		.on_done = tg_on_done,
		.arg = call,
	};

	if (!desc.deadline_ms)
		desc.deadline_ms = TG_DEFAULT_DEADLINE_MS;
	*call = (struct tg_call){ state, target };
	target->code = rp_call(&state->rpc, &desc, NULL);
	if (target->code == ST_OK)
		state->in_flight++;
	else
		g_free(call);
}

static void tg_start_calls(struct tg_state *state)
{
	while (state->in_flight < TG_MAX_IN_FLIGHT &&
	       state->next < state->desc->count)
		tg_start_call(state, &state->desc->targets[state->next++]);
	if (!state->in_flight)
		ev_break(state->loop, EVBREAK_ALL);
}

enum st_code tg_run(const struct tg_desc *desc, struct tm_list *list)
{
	struct tg_state state = { .desc = desc, .list = list };
	enum st_code code;

	state.loop = desc->loop ? desc->loop : ev_loop_new(EVFLAG_AUTO);
	if (!state.loop)
		return st_fail(ST_INTERNAL, "no event loop");
	/* Outgoing connections do not depend on the address bound. */
	code = rp_init(
		&state.rpc,
		&(struct rp_desc){ .loop = state.loop,
				   .address = "127.0.0.1",
				   .key = desc->key,
				   .host = g_get_host_name(),
				   .role = "timeline",
				   .incarnation = rp_new_incarnation() });
	if (code == ST_OK) {
		tg_start_calls(&state);
		if (state.in_flight)
			ev_run(state.loop, 0);
		rp_finish(&state.rpc);
	}
	if (!desc->loop)
		ev_loop_destroy(state.loop);
	return code;
}
