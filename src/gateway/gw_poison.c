#include "gateway/gw_poison.h"

#include <string.h>

#include "gateway/gw_hosts.h"
#include "gateway/gw_poison_row.h"
#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "rpc/gen/balsampin.h"

/* Crash records per crash; an engine runs a few hundred requests at most. */
#define GW_MAX_CRASH_RECORDS 1024
/* Period of the broadcasts of an owner, and limit of suspects in each. */
#define GW_ANNOUNCE_PERIOD_MS 2000
#define GW_MAX_ANNOUNCED      16
/* Suspects considered for a broadcast; those of other owners are skipped. */
#define GW_MAX_LISTED 256
/* A suspect that no owner has broadcast for this time may have been cleared. */
#define GW_UNCONFIRMED_MS (3 * GW_ANNOUNCE_PERIOD_MS)
#define GW_EXPIRE_MS	  60000
/* A part that crashes engines does so when they begin to write an answer. */
#define GW_LONG_STREAM_MS 1000
/* A complete answer within this time of the previous one changes nothing. */
#define GW_COMPLETED_STEP_MS 1000

MT_COUNTER(gw_crashed_engines, "balsampin_gateway_engines_ended_total",
	   "engines that exited while they were running requests")
MT_COUNTER(gw_crash_records, "balsampin_gateway_requests_charged_total",
	   "requests that were running at an engine when it exited")
MT_GAUGE(gw_proven, "balsampin_gateway_poisoned_requests",
	 "request contents that are refused because they crash engines")

struct gw_poison {
	struct ps_table table;
	struct gw_poison_row row;
	int64_t next_announce_ms;
	int64_t next_expire_ms;
};

/* Builds the message that holds all crash records of @s. */
static bp_gateway_suspect gw_to_wire(const struct ps_suspect *s,
				     bp_charge *records, int64_t now_ms)
{
	for (uint32_t i = 0; i < s->count; i++)
		records[i] =
			(bp_charge){ s->crashes[i].engine,
				     s->crashes[i].incarnation,
				     MAX(now_ms - s->crashes[i].at_ms, 0) };
	return (bp_gateway_suspect){ .fingerprint = s->fingerprint,
				     .probes = s->probes,
				     .charges = { s->count, records } };
}

static void gw_log_suspect(const char *event, const struct ps_suspect *s,
			   const char *evidence)
{
	char content[20], crashes[12];

	g_snprintf(content, sizeof(content), "%" G_GINT64_MODIFIER "x",
		   s->fingerprint);
	g_snprintf(crashes, sizeof(crashes), "%u", s->count);
	lg_info("request under suspicion", "event", event, "content", content,
		"kind", ps_is_part(s->fingerprint) ? "part" : "content",
		"crashes", crashes, "outcome",
		s->is_proven ? "refused" : "watched", "evidence", evidence,
		NULL);
}

/* @peer: NULL to send to all hosts. */
static void gw_send_report(struct gw_gateway *g, const struct rp_peer *peer,
			   const bp_gateway_suspect *message)
{
	xdrproc_t encode = (xdrproc_t)xdr_bp_gateway_suspect;

	if (peer)
		gw_peers_call_one(g, peer, BP_GATEWAY_SUSPECT, encode, message);
	else
		gw_peers_call_all(g, BP_GATEWAY_SUSPECT, encode, message);
}

static void gw_send_suspect(struct gw_gateway *g, const struct rp_peer *peer,
			    const struct ps_suspect *s)
{
	bp_charge records[PS_MAX_CRASHES];
	bp_gateway_suspect message = gw_to_wire(s, records, ck_now_ms());

	gw_send_report(g, peer, &message);
}

/* Sends the newest suspects that this host owns, to all hosts or to @peer. */
static void gw_send_known_suspects(struct gw_gateway *g,
				   const struct rp_peer *peer)
{
	struct ps_suspect suspects[GW_MAX_LISTED];
	uint32_t count = ps_list(&g->poison->table, suspects, GW_MAX_LISTED);
	uint32_t sent = 0;

	for (uint32_t i = 0; i < count && sent < GW_MAX_ANNOUNCED; i++) {
		if (!gw_peers_is_owner(g, suspects[i].fingerprint))
			continue;
		gw_send_suspect(g, peer, &suspects[i]);
		sent++;
	}
}

void gw_poison_sync_peer(struct gw_gateway *g, const struct rp_peer *peer)
{
	gw_send_known_suspects(g, peer);
}

/* Logs a new crash record of @content, and broadcasts it from an owner. */
static void gw_announce_crash(struct gw_gateway *g, uint64_t content,
			      const char *evidence)
{
	struct ps_suspect s;

	if (ps_is_part(content))
		(void)ps_find_proven(&g->poison->table, &content, 1,
				     ck_now_ms());
	if (!ps_find(&g->poison->table, content, &s))
		return;
	gw_poison_row_changed(&g->poison->row);
	if (s.is_proven)
		g->cause_crash_ms = ck_now_ms();
	if (s.count >= PS_POISON_CRASHES)
		gw_log_suspect("request_suspected", &s, evidence);
	if (s.count >= PS_POISON_CRASHES && gw_peers_is_owner(g, content))
		gw_send_suspect(g, NULL, &s);
}

static void gw_send_cleared(struct gw_gateway *g, uint64_t content,
			    int64_t age_ms)
{
	bp_gateway_suspect message = { .fingerprint = content,
				       .cleared = true,
				       .cleared_age_ms = age_ms };

	gw_peers_call_owners(g, content, BP_GATEWAY_SUSPECT,
			     (xdrproc_t)xdr_bp_gateway_suspect, &message);
}

/*
 * All hosts know of a suspect, so a report that clears it is broadcast to all
 * hosts, too.
 */
static void gw_apply_cleared(struct gw_gateway *g,
			     const bp_gateway_suspect *message)
{
	struct ps_table *table = &g->poison->table;
	uint64_t content = message->fingerprint;
	uint32_t before = ps_crash_count(table, content);
	int64_t completed_ms = ps_completed_ms(table, content);
	struct ps_suspect s;

	ps_peer_report(table, content, 0, 0, message->cleared_age_ms,
		       ck_now_ms());
	if (before < PS_POISON_CRASHES ||
	    (ps_crash_count(table, content) == before &&
	     ps_completed_ms(table, content) - completed_ms <
		     GW_COMPLETED_STEP_MS))
		return;
	if (!ps_find(table, content, &s))
		s = (struct ps_suspect){ .fingerprint = content };
	gw_poison_row_changed(&g->poison->row);
	gw_log_suspect("request_cleared", &s, "completed_elsewhere");
	if (gw_peers_is_owner(g, content))
		gw_send_report(g, NULL, message);
}

/*
 * If this host has received a complete answer recently, that is evidence that
 * the suspect is harmless. It is sent to the owners and to the host that
 * reported the suspect.
 */
static void gw_send_counter_evidence(struct gw_gateway *g,
				     const struct rp_peer *from,
				     const bp_gateway_suspect *message,
				     int64_t now_ms)
{
	int64_t completed_ms =
		ps_completed_ms(&g->poison->table, message->fingerprint);
	bp_gateway_suspect answer = { .fingerprint = message->fingerprint,
				      .cleared = true };

	if (!message->charges.charges_len || !completed_ms ||
	    now_ms - completed_ms > PS_COMPLETED_RECENT_MS)
		return;
	answer.cleared_age_ms = now_ms - completed_ms;
	gw_send_report(g, from, &answer);
	gw_send_cleared(g, message->fingerprint, answer.cleared_age_ms);
}

/* Attempts from now on run on the process after the one that crashed. */
static void gw_note_end(struct gw_gateway *g, const bp_charge *record)
{
	struct fl_engine *e =
		fl_find_run(&g->fleet, record->engine, record->incarnation);

	if (e && !ps_has_attempt(&g->poison->table, record->engine,
				 record->incarnation))
		fl_count_end(e);
}

static void gw_on_suspect(void *arg, struct rp_request *request,
			  const void *args)
{
	struct gw_gateway *g = arg;
	const bp_gateway_suspect *message = args;
	struct ps_table *table = &g->poison->table;
	int64_t now_ms = ck_now_ms();
	bool is_news = false;

	if (message->cleared)
		gw_apply_cleared(g, message);
	for (uint32_t i = 0; i < message->charges.charges_len; i++) {
		const bp_charge *record = &message->charges.charges_val[i];

		is_news |= ps_peer_report(table, message->fingerprint,
					  record->engine, record->incarnation,
					  record->age_ms, now_ms);
		gw_note_end(g, record);
	}
	ps_peer_probes(table, message->fingerprint, message->probes);
	ps_confirm(table, message->fingerprint, now_ms);
	gw_send_counter_evidence(g, rp_peer_of(request), message, now_ms);
	if (is_news)
		gw_announce_crash(g, message->fingerprint, "told");
	rp_drop(request);
}

enum st_code gw_poison_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_GATEWAY_SUSPECT,
				     .args = (xdrproc_t)xdr_bp_gateway_suspect,
				     .args_bytes = sizeof(bp_gateway_suspect),
				     .handler = gw_on_suspect,
				     .arg = g });
}

/* Only the first owner probes; it reports the probe to the other hosts. */
static bool gw_may_probe(struct gw_gateway *g, uint64_t content)
{
	struct ps_suspect s;

	if (gw_peers_owner_index(g, content) != 0 ||
	    !ps_start_probe(&g->poison->table, content, ck_now_ms()) ||
	    !ps_find(&g->poison->table, content, &s))
		return false;
	gw_log_suspect("request_probed", &s, "pause_over");
	gw_send_suspect(g, NULL, &s);
	return true;
}

bool gw_poison_has_proven_part(const struct gw_request *r)
{
	return ps_find_proven(&r->gateway->poison->table, r->parts,
			      r->part_count, ck_now_ms());
}

bool gw_poison_may_move(const struct gw_request *r)
{
	return !gw_poison_has_proven_part(r) &&
	       ps_may_run_after_break(&r->gateway->poison->table, r->content,
				      ck_now_ms());
}

static void gw_log_part_refused(const struct gw_request *r, uint64_t part)
{
	char text[20];

	g_snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x", part);
	lg_info("part of the prompt crashes engines", "event", "part_refused",
		"request", r->in.attempt ? r->in.attempt : "", "part", text,
		NULL);
}

/* The verdict that follows from a part which crashes engines. */
static struct ps_answer gw_check_part(struct gw_request *r, uint64_t part)
{
	r->is_probe = gw_may_probe(r->gateway, part);
	if (!r->is_probe)
		gw_log_part_refused(r, part);
	return (struct ps_answer){ .verdict = r->is_probe ? PS_ISOLATE
							  : PS_REFUSE };
}

struct ps_answer gw_poison_check(struct gw_request *r)
{
	struct gw_gateway *g = r->gateway;
	struct ps_table *table = &g->poison->table;
	int64_t now_ms = ck_now_ms();
	uint64_t content = r->content;
	uint64_t part = ps_find_proven(table, r->parts, r->part_count, now_ms);
	struct ps_answer answer;

	r->is_probe = false;
	if (part)
		return gw_check_part(r, part);
	answer = ps_check_request(table, content, r->parts, r->part_count,
				  now_ms);
	if (answer.verdict == PS_REFUSE && gw_may_probe(g, content))
		answer.verdict = PS_ISOLATE;
	else if (answer.single_host_only &&
		 gw_peers_owner_index(g, content) != 0)
		answer = (struct ps_answer){ PS_HOLD, PS_RUNNING_RETRY_MS,
					     false };
	return answer;
}

uint32_t gw_poison_avoid(const struct gw_gateway *g, uint64_t content,
			 uint64_t *engines, uint32_t capacity)
{
	return ps_rival_engines(&g->poison->table, content, engines, capacity);
}

void gw_poison_attempt_started(struct gw_request *r)
{
	struct ps_table *table = &r->gateway->poison->table;
	uint64_t engine = r->engine->hash;
	uint64_t incarnation = fl_run_incarnation(r->engine);
	int64_t now_ms = ck_now_ms();

	r->is_counted = true;
	r->has_streamed_long = false;
	ps_started(table, r->content, engine, incarnation, now_ms);
	for (uint32_t i = 0; i < r->part_count; i++)
		ps_started(table, r->parts[i], engine, incarnation, now_ms);
}

static void gw_record_end(struct gw_request *r, uint64_t fingerprint,
			  enum ps_end end)
{
	struct gw_gateway *g = r->gateway;

	if (ps_ended(&g->poison->table, fingerprint, r->engine->hash,
		     fl_run_incarnation(r->engine), end, ck_now_ms()))
		gw_send_cleared(g, fingerprint, 0);
}

static void gw_record_end_of_parts(struct gw_request *r, enum ps_end end)
{
	for (uint32_t i = 0; i < r->part_count; i++)
		gw_record_end(r, r->parts[i], end);
}

void gw_poison_attempt_streaming(struct gw_request *r)
{
	if (!r->is_counted || r->has_streamed_long ||
	    ck_now_ms() - r->sent_ms - r->first_event_ms < GW_LONG_STREAM_MS)
		return;
	r->has_streamed_long = true;
	gw_record_end_of_parts(r, PS_CANCELLED);
}

void gw_poison_attempt_ended(struct gw_request *r, enum ps_end end)
{
	if (!r->is_counted)
		return;
	r->is_counted = false;
	/* An engine that shuts down as planned ends the requests it runs. */
	if (end == PS_BROKEN &&
	    (r->engine->is_gone || fl_is_leaving(r->engine)))
		end = PS_CANCELLED;
	gw_record_end(r, r->content, end);
	/* An error is no answer that the engine wrote on the prompt. */
	if (end == PS_COMPLETED && r->status / 100 != 2)
		end = PS_CANCELLED;
	if (!r->has_streamed_long || end == PS_COMPLETED)
		gw_record_end_of_parts(r, end);
}

static void gw_send_to_owners(struct gw_gateway *g, const struct ps_suspect *s)
{
	bp_charge records[PS_MAX_CRASHES];
	bp_gateway_suspect message = gw_to_wire(s, records, ck_now_ms());

	gw_peers_call_owners(g, s->fingerprint, BP_GATEWAY_SUSPECT,
			     (xdrproc_t)xdr_bp_gateway_suspect, &message);
}

/*
 * A host that missed the message which cleared a suspect keeps refusing it. The
 * owners either record the suspect and broadcast it again, or answer with the
 * evidence that cleared it.
 */
static uint32_t gw_check_suspects(struct gw_gateway *g, int64_t now_ms)
{
	struct ps_suspect suspects[GW_MAX_LISTED];
	uint32_t count = ps_list(&g->poison->table, suspects, GW_MAX_LISTED);
	uint32_t proven = 0, sent = 0;

	for (uint32_t i = 0; i < count; i++) {
		proven += suspects[i].is_proven;
		if (sent == GW_MAX_ANNOUNCED ||
		    now_ms - suspects[i].confirmed_ms < GW_UNCONFIRMED_MS ||
		    gw_peers_is_owner(g, suspects[i].fingerprint))
			continue;
		gw_log_suspect("suspect_unconfirmed", &suspects[i],
			       "no_owner_reports_it");
		gw_send_to_owners(g, &suspects[i]);
		sent++;
	}
	return proven;
}

/* Sends all crash records of this host, so that the owners know no fewer. */
static void gw_report_crash(struct gw_gateway *g, uint64_t content)
{
	struct ps_suspect s;

	mt_add(&gw_crash_records, 1);
	if (!ps_find(&g->poison->table, content, &s))
		return;
	gw_send_to_owners(g, &s);
	gw_announce_crash(g, content, "ran_there");
}

void gw_poison_engine_exited(struct gw_gateway *g, struct fl_engine *e,
			     const char *evidence)
{
	uint64_t crashed[GW_MAX_CRASH_RECORDS];
	uint64_t incarnation = fl_run_incarnation(e);
	struct ps_table *table = &g->poison->table;
	char requests[12];
	uint32_t count;

	fl_forget_build(e);
	if (fl_is_leaving(e) || !ps_has_attempt(table, e->hash, incarnation))
		return;
	count = ps_crashed(table, e->hash, incarnation, crashed,
			   GW_MAX_CRASH_RECORDS, ck_now_ms());
	fl_count_end(e);
	if (!count)
		return;
	mt_add(&gw_crashed_engines, 1);
	g_snprintf(requests, sizeof(requests), "%u", count);
	lg_warn("engine exited while running requests", "event", "engine_ended",
		"engine", e->entry.id, "evidence", evidence, "requests",
		requests, NULL);
	for (uint32_t i = 0; i < count; i++)
		gw_report_crash(g, crashed[i]);
}

void gw_poison_engine_alive(struct gw_gateway *g, const struct fl_engine *e)
{
	ps_engine_alive(&g->poison->table, e->hash, fl_run_incarnation(e));
}

void gw_poison_engine_answered(struct gw_gateway *g, const struct fl_engine *e)
{
	ps_engine_answered(&g->poison->table, e->hash, fl_run_incarnation(e));
}

bool gw_poison_has_broken_attempt(const struct gw_gateway *g,
				  const struct fl_engine *e)
{
	return ps_has_broken_attempt(&g->poison->table, e->hash,
				     fl_run_incarnation(e), ck_now_ms());
}

void gw_poison_apply_rows(struct gw_gateway *g, const struct rw_rows *rows)
{
	gw_poison_row_apply(&g->poison->row, rows);
}

void gw_poison_sweep(struct gw_gateway *g, int64_t now_ms)
{
	struct gw_poison *p = g->poison;

	if (now_ms >= p->next_announce_ms) {
		p->next_announce_ms = now_ms + GW_ANNOUNCE_PERIOD_MS;
		gw_send_known_suspects(g, NULL);
		mt_set(&gw_proven, gw_check_suspects(g, now_ms));
	}
	if (now_ms >= p->next_expire_ms) {
		p->next_expire_ms = now_ms + GW_EXPIRE_MS;
		ps_expire(&p->table, now_ms);
	}
}

enum st_code gw_poison_start(struct gw_gateway *g)
{
	g->poison = g_new0(struct gw_poison, 1);
	ps_init(&g->poison->table);
	gw_poison_row_init(&g->poison->row, g, &g->poison->table);
	return ST_OK;
}

void gw_poison_stop(struct gw_gateway *g)
{
	struct gw_poison *p = g->poison;

	if (!p)
		return;
	gw_poison_row_finish(&p->row);
	ps_finish(&p->table);
	g_free(p);
	g->poison = NULL;
}
