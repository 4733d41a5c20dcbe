/*
 * Messages to index processes, and to and from other entries.
 */
#include <string.h>

#include "entry/en_dispatch.h"
#include "peers/pe_home.h"

MT_COUNTER(en_records_dropped, "balsampin_entry_records_dropped_total",
	   "records for the index that could not be sent")

static void en_send_datagram(struct en_dispatch *d, const struct mb_member *to,
			     uint32_t number, xdrproc_t args, const void *value)
{
	struct rp_call_desc desc = {
		.to = { .ipv4 = to->ipv4, .port = to->rpc_port },
		.transport = RP_UDP,
		.number = number,
		.args = args,
		.args_value = value,
		.deadline_ms = EN_RECORD_DEADLINE_MS,
	};

	if (rp_call(&d->process->rpc, &desc, NULL) != ST_OK)
		mt_add(&en_records_dropped, 1);
}

void en_peers_send_record(struct en_call *call, bp_ix_phase phase)
{
	struct en_dispatch *d = call->d;
	struct en_usage *usage = &call->relay.usage;
	const struct mb_member *owner = mb_owner(
		d->process->members, call->upstream_zone, call->upstream_id, 0);
	bp_ix_record record = {
		.engine = call->upstream_id,
		.incarnation = call->incarnation,
		.request = call->id,
		.phase = phase,
		.new_tokens = call->new_tokens,
		.block_tokens = usage->block_tokens,
		.prompt_bytes = (u_int)MIN(call->chain->bytes, UINT32_MAX),
		.prompt_tokens = usage->prompt_tokens,
		.keys = { call->chain->count, call->chain->keys },
		.blocks = { usage->block_count, usage->blocks },
	};

	call->is_recorded = phase != BP_IX_ENDED;
	if (!owner)
		return;
	en_send_datagram(d, owner, BP_IX_RECORD, (xdrproc_t)xdr_bp_ix_record,
			 &record);
}

static void en_send_to_entries(struct en_dispatch *d, const char *zone,
			       uint32_t number, xdrproc_t args,
			       const void *value, uint32_t from, uint32_t count)
{
	const char *self = d->process->settings.self.name;
	uint32_t i = 0;

	for (const struct mb_member *m =
		     mb_next(d->process->members, MB_ENTRY, zone, NULL);
	     m; m = mb_next(d->process->members, MB_ENTRY, zone, m)) {
		if (!strcmp(m->name, self) || m->state == MB_DEAD ||
		    m->state == MB_UNKNOWN)
			continue;
		if (i >= from && i < from + count)
			en_send_datagram(d, m, number, args, value);
		i++;
	}
	if (from + count >= i)
		d->usage_offset = 0;
}

/* Lists entries that may get work, of all zones; this one is first, as NULL. */
static GPtrArray *en_list_entries(const struct en_dispatch *d, GArray *ids)
{
	GPtrArray *entries = g_ptr_array_new();
	uint64_t self = px_id(d->process->settings.self.name);

	g_ptr_array_add(entries, NULL);
	g_array_append_val(ids, self);
	for (const struct mb_member *m =
		     mb_next(d->process->members, MB_ENTRY, NULL, NULL);
	     m; m = mb_next(d->process->members, MB_ENTRY, NULL, m)) {
		if (m->id == self || !mb_can_get_work(m) ||
		    m->state == MB_UNKNOWN)
			continue;
		g_ptr_array_add(entries, (gpointer)m);
		g_array_append_val(ids, m->id);
	}
	return entries;
}

static void en_update_entries(struct en_dispatch *d, int64_t now_ms)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_ptr_array_free(en_list_entries(d, ids), TRUE);
	lm_set_entries(&d->limits, (const uint64_t *)(void *)ids->data,
		       ids->len, now_ms);
	g_array_free(ids, TRUE);
}

/* Reports to a few entries in rotation, which bounds the bytes per second. */
static void en_report_usage(struct en_dispatch *d, int64_t now_ms)
{
	struct lm_usage usage[BP_MAX_USAGE];
	bp_usage_team teams[BP_MAX_USAGE];
	uint32_t count = lm_report(&d->limits, usage, BP_MAX_USAGE, now_ms);
	bp_usage message = { .sequence = ++d->usage_sequence,
			     .teams = { count, teams } };
	uint32_t from = d->usage_offset;

	for (uint32_t i = 0; i < count; i++)
		teams[i] = (bp_usage_team){ .team = usage[i].team,
					    .running = usage[i].running,
					    .waiting = usage[i].waiting };
	d->usage_offset += EN_USAGE_FANOUT;
	en_send_to_entries(d, NULL, BP_USAGE, (xdrproc_t)xdr_bp_usage, &message,
			   from, EN_USAGE_FANOUT);
}

static void en_broadcast_poison(struct en_dispatch *d, const char *zone,
				const bp_poison *message)
{
	uint32_t offset = d->usage_offset;

	en_send_to_entries(d, zone, BP_POISON, (xdrproc_t)xdr_bp_poison,
			   message, 0, UINT32_MAX / 2);
	d->usage_offset = offset;
}

/* Finds the owners of a fingerprint; NULL stands for this entry. */
static uint32_t en_find_owners(const struct en_dispatch *d,
			       uint64_t fingerprint,
			       const struct mb_member *owners[PE_OWNERS])
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GPtrArray *entries = en_list_entries(d, ids);
	uint32_t indexes[PE_OWNERS];
	uint32_t count = pe_owners((const uint64_t *)(void *)ids->data,
				   ids->len, fingerprint, indexes);

	for (uint32_t i = 0; i < count; i++)
		owners[i] = entries->pdata[indexes[i]];
	g_ptr_array_free(entries, TRUE);
	g_array_free(ids, TRUE);
	return count;
}

static bool en_is_owner(const struct en_dispatch *d, uint64_t fingerprint)
{
	const struct mb_member *owners[PE_OWNERS];
	uint32_t count = en_find_owners(d, fingerprint, owners);

	for (uint32_t i = 0; i < count; i++)
		if (!owners[i])
			return true;
	return false;
}

static void en_broadcast_suspect(struct en_dispatch *d,
				 const struct ps_suspect *s, int64_t now_ms)
{
	for (uint32_t i = 0; i < s->count; i++) {
		const struct ps_crash *crash = &s->crashes[i];

		en_broadcast_poison(
			d, NULL,
			&(bp_poison){
				.fingerprint = s->fingerprint,
				.engine = crash->engine,
				.incarnation = crash->incarnation,
				.age_ms = MAX(now_ms - crash->at_ms, 0),
			});
	}
}

/* Owners resend, which repairs lost messages and informs restarted entries. */
static void en_resend_suspects(struct en_dispatch *d, int64_t now_ms)
{
	struct ps_suspect suspects[EN_MAX_POISON_RESENT];
	uint32_t count = ps_list(&d->poison, suspects, EN_MAX_POISON_RESENT);

	for (uint32_t i = 0; i < count; i++)
		if (en_is_owner(d, suspects[i].fingerprint))
			en_broadcast_suspect(d, &suspects[i], now_ms);
}

/* Sends to the owners in other zones, so that crashes of all zones add up. */
static void en_send_to_owners(struct en_dispatch *d, const bp_poison *message)
{
	const struct mb_member *owners[PE_OWNERS];
	uint32_t count = en_find_owners(d, message->fingerprint, owners);

	for (uint32_t i = 0; i < count; i++) {
		if (!owners[i] ||
		    !strcmp(owners[i]->zone, d->process->settings.self.zone))
			continue;
		en_send_datagram(d, owners[i], BP_POISON,
				 (xdrproc_t)xdr_bp_poison, message);
	}
}

void en_peers_send_poison(struct en_dispatch *d, uint64_t fingerprint,
			  uint64_t engine, uint64_t incarnation)
{
	bp_poison message = { .fingerprint = fingerprint,
			      .engine = engine,
			      .incarnation = incarnation };

	en_broadcast_poison(d, d->process->settings.self.zone, &message);
	en_send_to_owners(d, &message);
}

static void en_on_usage(void *arg, struct rp_request *request, const void *args)
{
	struct en_dispatch *d = arg;
	const bp_usage *message = args;
	struct lm_usage usage[BP_MAX_USAGE];
	uint32_t count = MIN(message->teams.teams_len, BP_MAX_USAGE);

	for (uint32_t i = 0; i < count; i++) {
		const bp_usage_team *team = &message->teams.teams_val[i];

		usage[i] = (struct lm_usage){ .team = team->team,
					      .running = team->running,
					      .waiting = team->waiting };
	}
	lm_peer_report(&d->limits, px_id(rp_peer_of(request)->host), usage,
		       count, 0, ck_now_ms());
	rp_drop(request);
	en_dispatch_run_waiting(d);
}

static void en_on_poison(void *arg, struct rp_request *request,
			 const void *args)
{
	struct en_dispatch *d = arg;
	const bp_poison *message = args;
	int64_t now_ms = ck_now_ms();
	bool is_news = ps_peer_report(&d->poison, message->fingerprint,
				      message->engine, message->incarnation,
				      message->age_ms, now_ms);
	struct ps_suspect after;

	if (is_news && ps_find(&d->poison, message->fingerprint, &after) &&
	    after.count >= PS_POISON_CRASHES &&
	    en_is_owner(d, message->fingerprint))
		en_broadcast_suspect(d, &after, now_ms);
	rp_drop(request);
}

void en_peers_serve(struct en_dispatch *d)
{
	rp_serve(&d->process->rpc,
		 &(struct rp_procedure){ .number = BP_USAGE,
					 .args = (xdrproc_t)xdr_bp_usage,
					 .args_bytes = sizeof(bp_usage),
					 .handler = en_on_usage,
					 .arg = d });
	rp_serve(&d->process->rpc,
		 &(struct rp_procedure){ .number = BP_POISON,
					 .args = (xdrproc_t)xdr_bp_poison,
					 .args_bytes = sizeof(bp_poison),
					 .handler = en_on_poison,
					 .arg = d });
}

static void en_engine_crashed(struct en_dispatch *d, uint64_t engine,
			      uint64_t incarnation, int64_t now_ms)
{
	uint64_t suspects[64];
	uint32_t count = ps_crashed(&d->poison, engine, incarnation, suspects,
				    G_N_ELEMENTS(suspects), now_ms);

	lm_engine_forget(&d->engine_limits, engine);
	for (uint32_t i = 0; i < count; i++)
		en_peers_send_poison(d, suspects[i], engine, incarnation);
}

void en_peers_check_engine(struct en_dispatch *d, const struct mb_member *m,
			   int64_t now_ms)
{
	struct en_load *load = en_load(d, m->id);
	bool is_dead = m->state == MB_DEAD;

	if (load->incarnation &&
	    (is_dead || load->incarnation != m->incarnation))
		en_engine_crashed(d, m->id, load->incarnation, now_ms);
	load->incarnation = is_dead ? 0 : m->incarnation;
}

static void en_scan_engines(struct en_dispatch *d, int64_t now_ms)
{
	for (const struct mb_member *m =
		     mb_next(d->process->members, MB_ENGINE, NULL, NULL);
	     m; m = mb_next(d->process->members, MB_ENGINE, NULL, m))
		en_peers_check_engine(d, m, now_ms);
}

void en_peers_tick(struct en_dispatch *d, int64_t now_ms)
{
	if (now_ms >= d->next_report_ms) {
		d->next_report_ms = now_ms + LM_REPORT_INTERVAL_MS;
		en_update_entries(d, now_ms);
		en_report_usage(d, now_ms);
	}
	if (now_ms >= d->next_scan_ms) {
		d->next_scan_ms = now_ms + EN_CRASH_SCAN_INTERVAL_MS;
		en_scan_engines(d, now_ms);
	}
	if (now_ms >= d->next_resend_ms) {
		d->next_resend_ms = now_ms + EN_POISON_RESEND_INTERVAL_MS;
		en_resend_suspects(d, now_ms);
	}
	if (now_ms >= d->next_expire_ms) {
		d->next_expire_ms = now_ms + EN_EXPIRE_INTERVAL_MS;
		ps_expire(&d->poison, now_ms);
	}
}
