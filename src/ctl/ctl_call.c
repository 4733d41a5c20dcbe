#include "ctl/ctl_call.h"

#include <arpa/inet.h>
#include <string.h>

#include "net/ad.h"

/* struct ctl_wait - a call under way. */
struct ctl_wait {
	struct ctl_session *session;
	enum st_code code;
	bool is_unclear;
	ctl_answer_fn fn;
	void *arg;
};

static bool ctl_parse_target(const char *text, struct rp_peer *peer)
{
	struct ad_address address;

	if (!ad_parse(text, &address) || !address.port)
		return false;
	peer->ipv4 = address.ipv4;
	peer->port = address.port;
	return true;
}

static void ctl_add_peer(struct ctl_session *session,
			 const struct cf_peer *peer)
{
	struct rp_peer target = { .port = peer->control_rpc_port };
	struct in_addr ipv4;

	if (inet_pton(AF_INET, peer->address, &ipv4) != 1)
		return;
	target.ipv4 = ntohl(ipv4.s_addr);
	g_array_append_val(session->targets, target);
}

enum st_code ctl_session_init(struct ctl_session *session,
			      const struct cf_settings *settings,
			      const char *control, const char *operator_key)
{
	struct rp_peer named = { 0 };

	memset(session, 0, sizeof(*session));
	session->operator_key = operator_key;
	session->targets = g_array_new(false, true, sizeof(struct rp_peer));
	if (control && !ctl_parse_target(control, &named))
		return st_fail(ST_INVALID, "'%s' is not IP:PORT", control);
	if (control)
		g_array_append_val(session->targets, named);
	ctl_add_peer(session, &settings->self);
	for (uint32_t i = 0; i < settings->peer_count; i++)
		ctl_add_peer(session, &settings->peers[i]);
	session->loop = ev_loop_new(EVFLAG_AUTO);
	if (!session->loop)
		return st_fail(ST_INTERNAL, "no event loop");
	/* Outgoing connections do not depend on the address bound. */
	return rp_init(
		&session->rpc,
		&(struct rp_desc){ .loop = session->loop,
				   .address = "127.0.0.1",
				   .key = settings->rpc_key,
				   .host = g_get_host_name(),
				   .role = "ctl",
				   .incarnation = rp_new_incarnation() });
}

void ctl_session_finish(struct ctl_session *session)
{
	rp_finish(&session->rpc);
	if (session->loop)
		ev_loop_destroy(session->loop);
	g_array_unref(session->targets);
}

static void ctl_on_done(void *arg, enum st_code code,
			const struct rp_peer *from, const void *result)
{
	struct ctl_wait *wait = arg;
	const bp_operated *answer = result;

	wait->code = code;
	if (code == ST_OK && answer->status == ST_UNKNOWN)
		wait->is_unclear = true;
	else if (code == ST_OK && answer->status == ST_STALE)
		wait->code = ST_UNAVAILABLE;
	else if (code == ST_OK)
		wait->fn(wait->arg, answer);
	ev_break(wait->session->loop, EVBREAK_ALL);
}

static void ctl_try(struct ctl_wait *wait, const struct rp_peer *to,
		    const bp_operate *call)
{
	struct ctl_session *session = wait->session;

	wait->is_unclear = false;
	wait->code =
		rp_call(&session->rpc,
			&(struct rp_call_desc){
				.to = { .ipv4 = to->ipv4, .port = to->port },
				.transport = RP_TCP,
				.number = BP_OPERATE,
				.args = (xdrproc_t)xdr_bp_operate,
				.args_value = call,
				.result = (xdrproc_t)xdr_bp_operated,
				.result_bytes = sizeof(bp_operated),
				.deadline_ms = CTL_CALL_DEADLINE_MS,
				.on_done = ctl_on_done,
				.arg = wait },
			NULL);
	if (wait->code == ST_OK)
		ev_run(session->loop, 0);
}

enum st_code ctl_operate(struct ctl_session *session, const bp_operate *call,
			 ctl_answer_fn fn, void *arg)
{
	struct ctl_wait wait = { .session = session, .fn = fn, .arg = arg };
	bp_operate with_key = *call;
	bool may_have_effect = false;

	with_key.operator_key = (char *)session->operator_key;
	for (uint32_t i = 0; i < CTL_TRIES; i++) {
		const struct rp_peer *to =
			&g_array_index(session->targets, struct rp_peer,
				       i % session->targets->len);

		ctl_try(&wait, to, &with_key);
		if (wait.code == ST_OK && !wait.is_unclear)
			return ST_OK;
		if (wait.code == ST_INVALID || wait.code == ST_DENIED)
			return wait.code;
		if (wait.code != ST_UNAVAILABLE)
			may_have_effect = true;
		ctl_pause(session, CTL_PAUSE_MS);
	}
	return may_have_effect
		       ? st_fail(ST_UNKNOWN, "no clear answer after %d tries",
				 CTL_TRIES)
		       : st_fail(ST_UNAVAILABLE,
				 "no control process can be reached");
}

static void ctl_on_pause(struct ev_loop *loop, ev_timer *timer, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

void ctl_pause(struct ctl_session *session, int64_t ms)
{
	ev_timer timer;

	ev_timer_init(&timer, ctl_on_pause, (double)ms / 1000.0, 0.0);
	ev_timer_start(session->loop, &timer);
	ev_run(session->loop, 0);
	ev_timer_stop(session->loop, &timer);
}
