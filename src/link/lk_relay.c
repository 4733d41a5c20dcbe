#include "link/lk_relay.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/mt.h"

MT_COUNTER(lk_received, "balsampin_link_received_bytes_total",
	   "bytes of relayed requests that came over the link")
MT_COUNTER(lk_bodies, "balsampin_link_bodies_bytes_total",
	   "bytes of their bodies, put together")
MT_COUNTER(lk_missing_responses, "balsampin_link_missing_total",
	   "relayed requests with chunks that were not held")
MT_COUNTER(lk_slow_readers, "balsampin_link_slow_readers_total",
	   "relayed answers cut off because their caller read too slowly")
MT_COUNTER(lk_denied, "balsampin_link_denied_total",
	   "relayed requests refused for their MAC or age")

#define LK_URL_BYTES	      512
#define LK_MAX_ENGINE_HEADERS 8
/* Of an answer that its caller reads more slowly than the engine writes it. */
#define LK_MAX_UNSENT_BYTES (1u << 20)

/* A request in progress at an engine. */
struct lk_forward {
	struct lk_relay *relay;
	struct hs_exchange *exchange;
	struct hc_call call;
	bool has_response_begun;
	char *names[LK_MAX_ENGINE_HEADERS];
	char *values[LK_MAX_ENGINE_HEADERS];
	uint32_t header_count;
};

enum st_code lk_relay_init(struct lk_relay *relay,
			   const struct lk_relay_desc *desc)
{
	memset(relay, 0, sizeof(*relay));
	relay->_desc = *desc;
	lk_cache_init(&relay->_store, desc->store_bytes
					      ? desc->store_bytes
					      : LK_DEFAULT_STORE_BYTES);
	return hc_init(&relay->_client,
		       &(struct hc_desc){ .loop = desc->loop });
}

void lk_relay_finish(struct lk_relay *relay)
{
	hc_finish(&relay->_client);
	lk_cache_finish(&relay->_store);
}

static void lk_respond(struct hs_exchange *x, uint32_t status, const char *what,
		       const void *body, uint64_t bytes)
{
	const struct hs_header headers[] = { { LK_RELAY_HEADER, what },
					     { NULL, NULL } };

	hs_respond(x, status, headers, body, bytes);
}

static bool lk_is_authentic(struct lk_relay *relay, struct hs_exchange *x)
{
	const char *given = hs_header(x, LK_MAC_HEADER);
	char mac[LK_MAC_HEX_BYTES];

	lk_mac(mac, relay->_desc.secret, x->body->str, x->body->len);
	return given && strlen(given) == sizeof(mac) - 1 &&
	       !sodium_memcmp(given, mac, sizeof(mac) - 1);
}

static bool lk_is_fresh(const bp_link_request *wire)
{
	int64_t age_ms = ck_wall_ms() - ck_hlc_wall_ms(wire->stamp);

	return age_ms < LK_MAX_STAMP_AGE_MS && age_ms > -LK_MAX_STAMP_AGE_MS;
}

static void lk_forward_free(struct lk_forward *f)
{
	for (uint32_t i = 0; i < f->header_count; i++) {
		g_free(f->names[i]);
		g_free(f->values[i]);
	}
	g_free(f);
}

/* Headers that apply to one connection only are not forwarded. */
static bool lk_is_forwarded_header(const char *name)
{
	return strcmp(name, "connection") && strcmp(name, "content-length") &&
	       strcmp(name, "transfer-encoding") && strcmp(name, "date") &&
	       strcmp(name, "keep-alive");
}

static void lk_on_header(void *arg, const char *name, const char *value)
{
	struct lk_forward *f = arg;

	if (f->header_count == LK_MAX_ENGINE_HEADERS ||
	    !lk_is_forwarded_header(name))
		return;
	f->names[f->header_count] = g_strdup(name);
	f->values[f->header_count] = g_strdup(value);
	f->header_count++;
}

static void lk_begin_response(struct lk_forward *f, uint32_t status)
{
	struct hs_header headers[LK_MAX_ENGINE_HEADERS + 1] = { { 0 } };

	f->has_response_begun = true;
	for (uint32_t i = 0; i < f->header_count; i++)
		headers[i] = (struct hs_header){ f->names[i], f->values[i] };
	hs_begin(f->exchange, status, headers);
}

static void lk_on_data(void *arg, uint32_t status, const char *data,
		       uint64_t bytes)
{
	struct lk_forward *f = arg;

	if (!f->has_response_begun)
		lk_begin_response(f, status);
	hs_write(f->exchange, data, bytes);
	if (hs_unsent_bytes(f->exchange) <= LK_MAX_UNSENT_BYTES)
		return;
	mt_add(&lk_slow_readers, 1);
	hc_stop(&f->relay->_client, f->call);
}

static void lk_on_done(void *arg, const struct hc_result *result)
{
	struct lk_forward *f = arg;
	struct hs_exchange *x = f->exchange;

	x->arg = NULL;
	if (result->outcome == HC_DONE && !f->has_response_begun)
		lk_begin_response(f, result->http_status);
	if (result->outcome == HC_DONE)
		hs_end(x);
	else if (f->has_response_begun)
		hs_abort(x);
	else
		lk_respond(x, 502,
			   result->maybe_sent ? LK_RELAY_UNKNOWN
					      : LK_RELAY_NOT_RUN,
			   "", 0);
	lk_forward_free(f);
}

static void lk_send(struct lk_relay *relay, struct hs_exchange *x,
		    const bp_link_request *wire, const struct mb_member *engine,
		    const GString *body)
{
	const char *headers[LK_MAX_HEADERS + 1] = { NULL };
	struct lk_forward *f = g_new0(struct lk_forward, 1);
	char url[LK_URL_BYTES];

	for (uint32_t i = 0; i < wire->headers.headers_len; i++)
		headers[i] = wire->headers.headers_val[i];
	hc_make_url(url, sizeof(url), engine->ipv4, engine->http_port,
		    wire->path);
	f->relay = relay;
	f->exchange = x;
	x->arg = f;
	hs_drop_body(x);
	if (hc_send(&relay->_client,
		    &(struct hc_call_desc){ .method = "POST",
					    .url = url,
					    .headers = headers,
					    .body = body->str,
					    .body_bytes = body->len,
					    .fresh_connection = true,
					    .on_header = lk_on_header,
					    .on_data = lk_on_data,
					    .on_done = lk_on_done,
					    .arg = f },
		    &f->call) == ST_OK)
		return;
	x->arg = NULL;
	lk_forward_free(f);
	lk_respond(x, 502, LK_RELAY_NOT_RUN, "", 0);
}

static void lk_respond_missing(struct hs_exchange *x, GArray *missing)
{
	bp_link_missing wire = { { missing->len,
				   (u_int *)(void *)missing->data } };
	uint64_t bytes = xdr_sizeof((xdrproc_t)xdr_bp_link_missing, &wire);
	char *out = g_malloc(bytes);
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)bytes, XDR_ENCODE);
	xdr_bp_link_missing(&xdr, &wire);
	xdr_destroy(&xdr);
	lk_respond(x, 409, LK_RELAY_MISSING, out, bytes);
	g_free(out);
	mt_add(&lk_missing_responses, 1);
}

static void lk_forward(struct lk_relay *relay, struct hs_exchange *x,
		       const bp_link_request *wire)
{
	const struct mb_member *engine =
		mb_find(relay->_desc.members, MB_ENGINE, wire->engine);
	GString *body = g_string_new(NULL);
	GArray *missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	enum st_code code = lk_decode(&relay->_store, relay->_desc.secret, wire,
				      body, missing);

	mt_add(&lk_bodies, (int64_t)body->len);
	if (code == ST_NOT_FOUND)
		lk_respond_missing(x, missing);
	else if (code != ST_OK || !engine || wire->path[0] != '/')
		lk_respond(x, 502, LK_RELAY_NOT_RUN, "", 0);
	else
		lk_send(relay, x, wire, engine, body);
	g_string_free(body, TRUE);
	g_array_free(missing, TRUE);
}

void lk_relay_request(struct lk_relay *relay, struct hs_exchange *x)
{
	bp_link_request wire = { 0 };
	XDR xdr;

	x->arg = NULL;
	mt_add(&lk_received, (int64_t)x->body->len);
	if (!lk_is_authentic(relay, x)) {
		mt_add(&lk_denied, 1);
		lk_respond(x, 403, LK_RELAY_NOT_RUN, "", 0);
		return;
	}
	xdrmem_create(&xdr, x->body->str, (u_int)x->body->len, XDR_DECODE);
	if (!xdr_bp_link_request(&xdr, &wire)) {
		lk_respond(x, 400, LK_RELAY_NOT_RUN, "", 0);
	} else if (!lk_is_fresh(&wire)) {
		mt_add(&lk_denied, 1);
		lk_respond(x, 403, LK_RELAY_NOT_RUN, "", 0);
	} else {
		lk_forward(relay, x, &wire);
	}
	xdr_free((xdrproc_t)xdr_bp_link_request, (char *)&wire);
	xdr_destroy(&xdr);
}

void lk_relay_closed(struct lk_relay *relay, struct hs_exchange *x)
{
	struct lk_forward *f = x->arg;

	if (!f)
		return;
	hc_cancel(&relay->_client, f->call);
	lk_forward_free(f);
	x->arg = NULL;
}
