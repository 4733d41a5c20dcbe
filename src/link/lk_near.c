#include "link/lk_near.h"

#include <sodium.h>
#include <string.h>

#define LK_MAX_ANSWER_BYTES (64u << 10)

/* Chunks that a far entry is believed to hold. */
struct lk_far_entry {
	uint64_t incarnation;
	struct lk_cache known;
};

static void lk_far_free(gpointer data)
{
	struct lk_far_entry *far = data;

	lk_cache_finish(&far->known);
	g_free(far);
}

void lk_near_init(struct lk_near *near, const uint8_t *secret)
{
	memcpy(near->_secret, secret, LK_SECRET_BYTES);
	near->_known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     lk_far_free);
}

void lk_near_finish(struct lk_near *near)
{
	g_hash_table_destroy(near->_known);
	memset(near, 0, sizeof(*near));
}

/* Starts with an empty set after a restart of the far entry. */
static struct lk_cache *lk_known_chunks(struct lk_near *near,
					const struct lk_call_desc *desc)
{
	struct lk_far_entry *far = g_hash_table_lookup(near->_known, desc->far);

	if (far && far->incarnation == desc->far_incarnation)
		return &far->known;
	far = g_new0(struct lk_far_entry, 1);
	far->incarnation = desc->far_incarnation;
	lk_cache_init(&far->known, LK_DEFAULT_KNOWN_BYTES);
	g_hash_table_replace(near->_known, g_strdup(desc->far), far);
	return &far->known;
}

void lk_mac(char *out, const uint8_t *secret, const void *message,
	    uint64_t bytes)
{
	uint8_t mac[crypto_auth_BYTES];

	crypto_auth(mac, message, bytes, secret);
	sodium_bin2hex(out, LK_MAC_HEX_BYTES, mac, sizeof(mac));
}

static enum st_code lk_serialize(struct lk_call *call)
{
	bp_link_request *wire = &call->_request.wire;
	uint64_t bytes = xdr_sizeof((xdrproc_t)xdr_bp_link_request, wire);
	bool_t is_done;
	XDR xdr;

	g_free(call->message);
	call->message = g_malloc(bytes);
	call->message_bytes = (uint32_t)bytes;
	xdrmem_create(&xdr, call->message, (u_int)bytes, XDR_ENCODE);
	is_done = xdr_bp_link_request(&xdr, wire);
	xdr_destroy(&xdr);
	if (!is_done)
		return st_fail(ST_INVALID,
			       "the relayed request cannot be encoded as XDR");
	lk_mac(call->mac, call->_near->_secret, call->message, bytes);
	return ST_OK;
}

enum st_code lk_call_init(struct lk_call *call, struct lk_near *near,
			  const struct lk_call_desc *desc)
{
	bp_text headers[LK_MAX_HEADERS];
	bp_link_request *wire = &call->_request.wire;
	enum st_code code;
	uint32_t count = 0;

	memset(call, 0, sizeof(*call));
	call->_near = near;
	call->_desc = *desc;
	code = lk_encode(lk_known_chunks(near, desc), near->_secret, desc->team,
			 desc->body, desc->bytes, &call->_request);
	if (code != ST_OK)
		return code;
	while (desc->headers && desc->headers[count] && count < LK_MAX_HEADERS)
		count++;
	for (uint32_t i = 0; i < count; i++)
		headers[i] = (char *)desc->headers[i];
	wire->stamp = desc->stamp;
	wire->team = (char *)desc->team;
	wire->engine = (char *)desc->engine;
	wire->path = (char *)desc->path;
	wire->headers.headers_len = count;
	wire->headers.headers_val = headers;
	return lk_serialize(call);
}

enum st_code lk_call_encode_missing(struct lk_call *call, const char *answer,
				    uint64_t bytes)
{
	bp_text headers[LK_MAX_HEADERS];
	bp_link_missing missing = { 0 };
	enum st_code code = ST_INVALID;
	XDR xdr;

	if (bytes > LK_MAX_ANSWER_BYTES)
		return st_fail(ST_INVALID,
			       "the list of missing chunks is too large");
	xdrmem_create(&xdr, (char *)answer, (u_int)bytes, XDR_DECODE);
	if (xdr_bp_link_missing(&xdr, &missing)) {
		for (uint32_t i = 0; i < LK_MAX_HEADERS; i++)
			headers[i] = i < call->_request.wire.headers.headers_len
					     ? (char *)call->_desc.headers[i]
					     : NULL;
		call->_request.wire.headers.headers_val = headers;
		lk_add_missing_text(&call->_request, call->_desc.body,
				    &missing);
		code = lk_serialize(call);
	}
	xdr_free((xdrproc_t)xdr_bp_link_missing, (char *)&missing);
	xdr_destroy(&xdr);
	return code;
}

void lk_call_finish(struct lk_call *call)
{
	g_free(call->message);
	lk_request_finish(&call->_request);
	memset(call, 0, sizeof(*call));
}
