#include "gateway/gw_via.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "gateway/gw_cap.h"
#include "gateway/gw_notice.h"
#include "gateway/gw_peers.h"
#include "gateway/gw_request.h"
#include "gateway/gw_separate.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/mt_family.h"
#include "peers/pe_via.h"

/* Other hosts that a request is passed on to. */
#define GW_VIA_TRIES 3
/* As to an engine, which may be as far away. */
#define GW_VIA_CONNECT_TIMEOUT_MS 400
#define GW_MAX_VIA_HOSTS	  512
#define GW_VIA_MAX_PAUSE_MS	  60000
#define GW_VIA_PROOF_BYTES	  (2 * crypto_auth_BYTES + 1)

/* The format in gw_read_proof() has room for so much. */
G_STATIC_ASSERT(GW_VIA_PROOF_BYTES == 64 + 1);
G_STATIC_ASSERT(crypto_auth_KEYBYTES == RP_KEY_BYTES);

MT_COUNTERS(gw_via_sent, "balsampin_gateway_passed_on_total",
	    "requests passed on to another host", "reason")
MT_COUNTERS(gw_via_ended, "balsampin_gateway_passed_on_ended_total",
	    "requests passed on to another host, by what came of it", "outcome")
MT_COUNTER(gw_via_taken, "balsampin_gateway_taken_over_total",
	   "requests that other hosts passed on to this one")
MT_COUNTER(gw_via_unproven, "balsampin_gateway_via_unproven_total",
	   "requests at the hosts' address without a valid proof")

/* Connections to another host, by its address. */
struct gw_via_link {
	uint64_t address;
	struct h1_peer peer;
};

struct gw_via {
	struct gw_gateway *gateway;
	struct pe_via choice;
	GHashTable *links;
	bool has_key;
	uint8_t key[RP_KEY_BYTES];
};

/* --- the proof that a host has passed a request on --- */

/* What the field says before the proof. */
struct gw_via_terms {
	uint32_t sends;
	uint64_t version;
};

static void gw_write_proof(const struct gw_via *v,
			   const struct gw_via_terms *terms,
			   const struct h1_exchange *x, const char *attempt,
			   char proof[GW_VIA_PROOF_BYTES])
{
	uint8_t code[crypto_auth_BYTES];
	g_autofree char *text = g_strdup_printf(
		"%u %" G_GUINT64_FORMAT " %s %s %s", terms->sends,
		terms->version, x->method, x->target, attempt ? attempt : "");

	crypto_auth(code, (const uint8_t *)text, strlen(text), v->key);
	sodium_bin2hex(proof, GW_VIA_PROOF_BYTES, code, sizeof(code));
}

static bool gw_read_proof(const struct gw_via *v, const struct h1_exchange *x,
			  const char *attempt, struct gw_via_terms *terms)
{
	const char *value = h1_headers_get(x->headers, GW_VIA_FIELD);
	char proof[GW_VIA_PROOF_BYTES], given[GW_VIA_PROOF_BYTES];

	if (!value || !v->has_key ||
	    sscanf(value, "%" G_GUINT32_FORMAT " %" G_GUINT64_FORMAT " %64s",
		   &terms->sends, &terms->version, given) != 3)
		return false;
	gw_write_proof(v, terms, x, attempt, proof);
	return strlen(given) == strlen(proof) &&
	       !sodium_memcmp(given, proof, strlen(proof));
}

static void gw_refuse_as_stale(struct h1_exchange *exchange)
{
	struct h1_headers headers;

	h1_headers_init(&headers);
	h1_headers_add(&headers, GW_VIA_REASON_FIELD, "stale_config");
	h1_respond(exchange, 503, &headers, NULL, 0);
	h1_headers_finish(&headers);
}

void gw_via_on_request(void *arg, struct h1_exchange *exchange)
{
	struct gw_gateway *g = arg;
	struct dl_request in = { 0 };
	struct gw_via_terms terms = { 0 };

	g->dialect->read_request(exchange->headers, &in);
	if (!gw_read_proof(g->via, exchange, in.attempt, &terms)) {
		mt_add(&gw_via_unproven, 1);
		h1_respond(exchange, 403, NULL, NULL, 0);
		return;
	}
	mt_add(&gw_via_taken, 1);
	if (!g->catalog || g->catalog->version < terms.version)
		gw_refuse_as_stale(exchange);
	else
		gw_request_new_passed(g, exchange, terms.sends);
}

/* --- passing a request on --- */

/* Returns the number of hosts; @peers are those of @hosts. */
static uint32_t gw_list_hosts(const struct gw_gateway *g,
			      struct pe_via_host *hosts,
			      const struct gw_peer **peers)
{
	const struct gw_peers *p = g->peers;
	int64_t now_ms = ck_now_ms();
	uint32_t count = 0;

	for (uint32_t i = 0; p && p->is_open && i < p->hosts.peers->len &&
			     count < GW_MAX_VIA_HOSTS;
	     i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];
		bool is_own_zone =
			peer->zone == g_quark_from_string(g->settings.zone);

		if (!peer->via_port || !gw_peer_is_alive(peer, now_ms))
			continue;
		hosts[count] = (struct pe_via_host){
			.hash = peer->hash,
			.zone = peer->zone,
			.distance = peer->is_far ? 2 : !is_own_zone,
			.takes_part = peer->takes_part,
		};
		peers[count++] = peer;
	}
	return count;
}

bool gw_via_has_hosts(const struct gw_gateway *g)
{
	struct pe_via_host hosts[GW_MAX_VIA_HOSTS];
	const struct gw_peer *peers[GW_MAX_VIA_HOSTS];

	return gw_list_hosts(g, hosts, peers) > 0;
}

static const struct gw_peer *gw_choose_host(const struct gw_request *r)
{
	struct pe_via_host hosts[GW_MAX_VIA_HOSTS];
	const struct gw_peer *peers[GW_MAX_VIA_HOSTS];
	struct gw_gateway *g = r->gateway;
	uint32_t count = gw_list_hosts(g, hosts, peers);
	int32_t i =
		pe_via_choose(&g->via->choice,
			      &(struct pe_via_choice){
				      .hosts = hosts,
				      .count = count,
				      .service = gw_name_hash(r->service->name),
				      .avoided_zone = r->via_zone,
				      .seed = r->prefix.seed + r->via_tries },
			      ck_now_ms());

	return i < 0 ? NULL : peers[i];
}

static struct h1_peer *gw_via_link_of(struct gw_via *v,
				      const struct gw_peer *peer)
{
	uint64_t address = (uint64_t)peer->address.ipv4 << 16 | peer->via_port;
	struct gw_via_link *link = g_hash_table_lookup(v->links, &address);

	if (!link) {
		link = g_new0(struct gw_via_link, 1);
		link->address = address;
		h1_peer_init(&link->peer, v->gateway->kernel.loop,
			     peer->address.ipv4, peer->via_port);
		g_hash_table_insert(v->links, &link->address, link);
	}
	return &link->peer;
}

static void gw_free_via_link(void *data)
{
	struct gw_via_link *link = data;

	h1_peer_finish(&link->peer);
	g_free(link);
}

static void gw_log_via(const struct gw_request *r, const char *event,
		       const char *host, const char *reason)
{
	char left[24], tries[12], status[12];

	g_snprintf(left, sizeof(left), "%" G_GINT64_FORMAT,
		   r->deadline_ms - ck_now_ms());
	g_snprintf(tries, sizeof(tries), "%u", r->via_tries);
	g_snprintf(status, sizeof(status), "%u", r->status);
	lg_info("request through another host", "event", event, "request",
		r->in.attempt ? r->in.attempt : "", "via", host, "reason",
		reason, "left_ms", left, "tries", tries, "status", status,
		NULL);
}

static void gw_end_via_attempt(struct gw_request *r, const char *outcome,
			       const char *reason)
{
	mt_count(&gw_via_ended, outcome);
	gw_log_via(r, "passed_on_failed", "", reason[0] ? reason : outcome);
	gw_send_release_body(r);
}

static void gw_host_refused(const struct gw_request *r)
{
	pe_via_refused(&r->gateway->via->choice, r->via_host,
		       gw_name_hash(r->service->name), ck_now_ms());
}

/* Whether a host that refused so says nothing about the others. */
static bool gw_may_ask_another(const char *reason)
{
	static const char *const reasons[] = { "cut_off",	"no_engine",
					       "no_config",	"stale_config",
					       "stopping",	"no_memory",
					       "no_descriptor", NULL };

	return g_strv_contains(reasons, reason);
}

/* The other host has no way to the engines, or could not be asked. */
static void gw_ask_another(struct gw_request *r, const char *reason)
{
	gw_host_refused(r);
	if (!gw_via_send(r, "refused"))
		gw_request_give_up(r, reason);
}

/* The other host has refused: nothing has run there. */
static void gw_on_refusal(struct gw_request *r)
{
	const char *reason =
		h1_headers_get(&r->answer_headers, GW_VIA_REASON_FIELD);
	const char *after = h1_headers_get(&r->answer_headers, "Retry-After");
	int64_t after_ms =
		after ? h1_parse_delay_ms(after, GW_VIA_MAX_PAUSE_MS) : -1;

	gw_end_via_attempt(r, "refused", reason ? reason : "");
	r->retry_after_ms = MAX(after_ms, 0);
	if (r->status == 503 && reason && gw_may_ask_another(reason))
		gw_ask_another(r, "no_engine");
	else if (r->status == 429 && !r->may_have_begun)
		gw_request_refuse(r, 429, "over_cap");
	else
		gw_request_give_up(r, "refused_by_host");
}

static bool gw_is_refusal(uint32_t status)
{
	return status == 503 || status / 100 == 4;
}

/* The answer is whole, and an engine's if it is signed. */
static void gw_on_answer(struct gw_request *r)
{
	if (!r->answer.is_signed && gw_is_refusal(r->status)) {
		gw_on_refusal(r);
		return;
	}
	r->may_have_begun = true;
	pe_via_accepted(&r->gateway->via->choice, r->via_host,
			gw_name_hash(r->service->name));
	if (!r->answer.is_signed) {
		gw_end_via_attempt(r, "failed_there", "");
		gw_request_give_up(r, "failed_at_host");
		return;
	}
	mt_count(&gw_via_ended, "answered");
	gw_request_answer(r);
}

static void gw_on_via_sent(void *arg)
{
	gw_send_release_body(arg);
}

/*
 * The engine says that it leaves, and this host is about to pass that on: it
 * must send nothing more there either. A pause is for the other host only.
 */
static void gw_learn_notice(const struct gw_request *r,
			    const struct h1_headers *headers)
{
	struct gw_gateway *g = r->gateway;
	const char *id = h1_headers_get(headers, GW_VIA_ENGINE_FIELD);
	struct fl_engine *e = id ? fl_find(&g->fleet, id) : NULL;
	struct dl_answer answer = { .is_leaving = r->answer.is_leaving };

	if (e && answer.is_leaving)
		gw_notice_answer(g, e, &answer,
				 r->in.attempt ? r->in.attempt : "");
}

static bool gw_on_via_head(void *arg, uint32_t status,
			   const struct h1_headers *headers)
{
	struct gw_request *r = arg;

	r->gateway->dialect->read_answer(status, headers, &r->answer);
	/* A late answer to an earlier request on this connection. */
	if (r->answer.attempt && r->in.attempt &&
	    strcmp(r->answer.attempt, r->in.attempt) != 0)
		return false;
	gw_learn_notice(r, headers);
	r->answer.attempt = NULL;
	r->status = status;
	r->mode = r->terms.route->kind == CA_STREAM && status == 200 &&
				  r->answer.is_signed
			  ? GW_EVENTS
			  : GW_COLLECT;
	h1_headers_clear(&r->answer_headers);
	for (uint32_t i = 0; i < h1_headers_count(headers); i++) {
		const char *name = h1_headers_name(headers, i);

		if (!h1_headers_is_hop(headers, name) &&
		    g_ascii_strcasecmp(name, GW_VIA_ENGINE_FIELD) != 0)
			h1_headers_add(&r->answer_headers, name,
				       h1_headers_value(headers, i));
	}
	return true;
}

/* The other host sends whole events only. */
static void gw_on_via_body(void *arg, const char *data, uint64_t bytes)
{
	struct gw_request *r = arg;

	r->last_byte_ms = ck_now_ms();
	if (r->mode == GW_COLLECT) {
		g_string_append_len(r->answer_body, data, bytes);
	} else {
		if (!r->has_begun) {
			r->first_event_ms = r->last_byte_ms - r->sent_ms;
			h1_begin(r->exchange, r->status, &r->answer_headers,
				 -1);
		}
		r->has_begun = true;
		h1_write(r->exchange, data, bytes);
	}
	if (gw_send_reserve_answer(r))
		return;
	gw_end_via_attempt(r, "too_large", "");
	gw_send_cancel(r);
	r->may_have_begun = true;
	gw_request_give_up(r, "answer_too_large");
}

static void gw_on_via_done(void *arg, enum h1_outcome outcome)
{
	struct gw_request *r = arg;

	if (outcome == H1_DONE) {
		gw_on_answer(r);
		return;
	}
	gw_end_via_attempt(r, h1_outcome_name(outcome),
			   h1_outcome_reason(outcome));
	if (outcome == H1_NO_DESCRIPTOR) {
		gw_request_give_up(r, "no_descriptor");
	} else if (outcome == H1_NOT_SENT) {
		gw_ask_another(r, "no_engine");
	} else {
		gw_host_refused(r);
		r->may_have_begun = true;
		gw_request_give_up(r, "host_broke_off");
	}
}

static void gw_start_via_call(struct gw_request *r, struct h1_peer *link)
{
	struct gw_gateway *g = r->gateway;
	struct gw_via_terms terms = { gw_request_sends_left(r),
				      r->catalog->version };
	char proof[GW_VIA_PROOF_BYTES], field[GW_VIA_FIELD_BYTES];
	struct h1_headers headers;

	gw_write_proof(g->via, &terms, r->exchange, r->in.attempt, proof);
	g_snprintf(field, sizeof(field), "%u %" G_GUINT64_FORMAT " %s",
		   terms.sends, terms.version, proof);
	h1_headers_init(&headers);
	h1_headers_add(&headers, GW_VIA_FIELD, field);
	g->dialect->pass_request(r->exchange->headers,
				 MAX(r->deadline_ms - r->sent_ms, 1), &headers);
	h1_call_start(&r->call,
		      &(struct h1_call_desc){
			      .peer = link,
			      .method = r->exchange->method,
			      .target = r->exchange->target,
			      .headers = &headers,
			      .body = r->exchange->body->str,
			      .body_bytes = r->exchange->body->len,
			      .connect_timeout_ms = GW_VIA_CONNECT_TIMEOUT_MS,
			      .on_sent = gw_on_via_sent,
			      .on_head = gw_on_via_head,
			      .on_body = gw_on_via_body,
			      .on_done = gw_on_via_done,
			      .arg = r });
	h1_headers_finish(&headers);
}

bool gw_via_send(struct gw_request *r, const char *reason)
{
	struct gw_via *v = r->gateway->via;
	const struct gw_peer *peer;

	if (r->is_passed || r->has_begun || !v->has_key ||
	    r->via_tries == GW_VIA_TRIES || !gw_request_sends_left(r) ||
	    gw_continue_is_lost(&r->stream))
		return false;
	peer = gw_choose_host(r);
	if (!peer || !gw_send_hold_body(r))
		return false;
	/* The other host charges it, and holds it if need be. */
	gw_cap_give_back(r);
	gw_separate_release(r);
	r->via_tries++;
	r->via_host = peer->hash;
	r->via_zone = peer->zone;
	r->sent_ms = ck_now_ms();
	r->last_byte_ms = r->sent_ms;
	r->mode = GW_NO_ANSWER;
	r->status = 0;
	g_string_truncate(r->answer_body, 0);
	mt_count(&gw_via_sent, reason);
	gw_log_via(r, "passed_on", peer->name, reason);
	gw_start_via_call(r, gw_via_link_of(v, peer));
	return true;
}

/* --- start and end --- */

void gw_via_set_key(struct gw_gateway *g, const uint8_t *key)
{
	memcpy(g->via->key, key, sizeof(g->via->key));
	g->via->has_key = true;
}

enum st_code gw_via_start(struct gw_gateway *g)
{
	struct gw_via *v = g_new0(struct gw_via, 1);

	g->via = v;
	v->gateway = g;
	pe_via_init(&v->choice);
	v->links = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 gw_free_via_link);
	return ST_OK;
}

void gw_via_stop(struct gw_gateway *g)
{
	struct gw_via *v = g->via;

	if (!v)
		return;
	g_hash_table_destroy(v->links);
	pe_via_finish(&v->choice);
	g_free(v);
	g->via = NULL;
}
