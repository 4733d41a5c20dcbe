#include "rpc/rp_message.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "rpc/gen/balsampin.h"

/* xdr_void() lacks the arguments of an XDR function. */
static bool_t rp_xdr_nothing(XDR *xdr, ...)
{
	return TRUE;
}

static bool rp_sender_xdr(XDR *xdr, struct rp_sender *sender)
{
	char *host = sender->host;
	char *role = sender->role;

	return xdr_string(xdr, &host, sizeof(sender->host) - 1) &&
	       xdr_string(xdr, &role, sizeof(sender->role) - 1) &&
	       xdr_uint64_t(xdr, &sender->incarnation) &&
	       xdr_uint64_t(xdr, &sender->stamp) &&
	       xdr_uint64_t(xdr, &sender->wall_ms) &&
	       xdr_uint64_t(xdr, &sender->addressed);
}

static uint32_t rp_sender_encode(const struct rp_sender *sender, char *out,
				 uint32_t capacity)
{
	struct rp_sender copy = *sender;
	XDR xdr;

	xdrmem_create(&xdr, out, capacity, XDR_ENCODE);
	if (!rp_sender_xdr(&xdr, &copy))
		return 0;
	return xdr_getpos(&xdr);
}

static bool rp_sender_decode(struct rp_sender *sender, char *data,
			     uint32_t bytes)
{
	XDR xdr;

	xdrmem_create(&xdr, data, bytes, XDR_DECODE);
	return rp_sender_xdr(&xdr, sender) && xdr_getpos(&xdr) == bytes;
}

static void rp_message_mac(const uint8_t *data, uint32_t bytes,
			   uint32_t mac_offset, const uint8_t *key,
			   uint8_t mac[RP_MAC_BYTES])
{
	static const uint8_t zeros[RP_MAC_BYTES];
	crypto_auth_hmacsha512256_state state;
	uint32_t after = mac_offset + RP_MAC_BYTES;

	crypto_auth_hmacsha512256_init(&state, key,
				       crypto_auth_hmacsha512256_KEYBYTES);
	crypto_auth_hmacsha512256_update(&state, data, mac_offset);
	crypto_auth_hmacsha512256_update(&state, zeros, RP_MAC_BYTES);
	crypto_auth_hmacsha512256_update(&state, data + after, bytes - after);
	crypto_auth_hmacsha512256_final(&state, mac);
}

static bool rp_write_call(XDR *xdr, const struct rp_message *m,
			  uint32_t *mac_offset)
{
	char cred[RP_MAX_HEADER_BYTES];
	char mac[RP_MAC_BYTES] = { 0 };
	struct rpc_msg call = { .rm_xid = m->xid, .rm_direction = CALL };

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = m->program;
	call.rm_call.cb_vers = m->version;
	call.rm_call.cb_proc = m->procedure;
	call.rm_call.cb_cred.oa_flavor = RP_AUTH_FLAVOUR;
	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_cred.oa_length =
		rp_sender_encode(&m->sender, cred, sizeof(cred));
	call.rm_call.cb_verf.oa_flavor = RP_AUTH_FLAVOUR;
	call.rm_call.cb_verf.oa_base = mac;
	call.rm_call.cb_verf.oa_length = sizeof(mac);
	if (!call.rm_call.cb_cred.oa_length || !xdr_callmsg(xdr, &call))
		return false;
	*mac_offset = xdr_getpos(xdr) - RP_MAC_BYTES;
	return true;
}

/* Bytes of an accepted reply's header behind its verifier. */
static uint32_t rp_reply_tail_bytes(uint32_t status)
{
	return status == PROG_MISMATCH ? 3 * BYTES_PER_XDR_UNIT
				       : BYTES_PER_XDR_UNIT;
}

static bool rp_write_reply(XDR *xdr, const struct rp_message *m,
			   uint32_t *mac_offset)
{
	char verf[RP_MAX_HEADER_BYTES + RP_MAC_BYTES] = { 0 };
	struct rpc_msg reply = { .rm_xid = m->xid, .rm_direction = REPLY };
	uint32_t bytes =
		rp_sender_encode(&m->sender, verf, RP_MAX_HEADER_BYTES);

	reply.rm_reply.rp_stat = MSG_ACCEPTED;
	reply.acpted_rply.ar_verf.oa_flavor = RP_AUTH_FLAVOUR;
	reply.acpted_rply.ar_verf.oa_base = verf;
	reply.acpted_rply.ar_verf.oa_length = bytes + RP_MAC_BYTES;
	reply.acpted_rply.ar_stat = m->status;
	if (m->status == PROG_MISMATCH) {
		reply.acpted_rply.ar_vers.low = BALSAMPIN_V1;
		reply.acpted_rply.ar_vers.high = BALSAMPIN_V1;
	} else {
		reply.acpted_rply.ar_results.proc = rp_xdr_nothing;
	}
	if (!bytes || !xdr_replymsg(xdr, &reply))
		return false;
	*mac_offset =
		xdr_getpos(xdr) - rp_reply_tail_bytes(m->status) - RP_MAC_BYTES;
	return true;
}

enum st_code rp_message_write(const struct rp_message *message, xdrproc_t proc,
			      const void *value, const uint8_t *key,
			      uint8_t *out, uint32_t capacity, uint32_t *bytes)
{
	uint32_t mac_offset = 0;
	bool ok;
	XDR xdr;

	xdrmem_create(&xdr, (char *)out, capacity, XDR_ENCODE);
	if (message->is_reply)
		ok = rp_write_reply(&xdr, message, &mac_offset);
	else
		ok = rp_write_call(&xdr, message, &mac_offset);
	/* XDR functions take a plain pointer for both directions. */
	if (ok && proc)
		ok = proc(&xdr, (void *)value);
	if (!ok)
		return st_fail(ST_INVALID, "message does not fit %u bytes",
			       capacity);
	*bytes = xdr_getpos(&xdr);
	rp_message_mac(out, *bytes, mac_offset, key, out + mac_offset);
	return ST_OK;
}

static bool rp_parse_call(struct rp_message *m, XDR *xdr)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg call = { 0 };
	const struct call_body *body = &call.rm_call;

	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdr, &call) ||
	    body->cb_cred.oa_flavor != RP_AUTH_FLAVOUR ||
	    body->cb_verf.oa_flavor != RP_AUTH_FLAVOUR ||
	    body->cb_verf.oa_length != RP_MAC_BYTES ||
	    !rp_sender_decode(&m->sender, cred, body->cb_cred.oa_length))
		return false;
	m->xid = call.rm_xid;
	m->program = body->cb_prog;
	m->version = body->cb_vers;
	m->procedure = body->cb_proc;
	m->body_offset = xdr_getpos(xdr);
	m->_mac_offset = m->body_offset - RP_MAC_BYTES;
	return true;
}

static bool rp_parse_reply(struct rp_message *m, XDR *xdr)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg reply = { 0 };
	const struct opaque_auth *auth = &reply.acpted_rply.ar_verf;

	/* A denied reply has no verifier, so that anyone could forge it. */
	reply.acpted_rply.ar_verf.oa_base = verf;
	reply.acpted_rply.ar_results.proc = rp_xdr_nothing;
	if (!xdr_replymsg(xdr, &reply) ||
	    reply.rm_reply.rp_stat != MSG_ACCEPTED ||
	    auth->oa_flavor != RP_AUTH_FLAVOUR ||
	    auth->oa_length < RP_MAC_BYTES ||
	    !rp_sender_decode(&m->sender, verf, auth->oa_length - RP_MAC_BYTES))
		return false;
	m->xid = reply.rm_xid;
	m->is_reply = true;
	m->status = reply.acpted_rply.ar_stat;
	m->body_offset = xdr_getpos(xdr);
	m->_mac_offset =
		m->body_offset - rp_reply_tail_bytes(m->status) - RP_MAC_BYTES;
	return true;
}

bool rp_message_parse(struct rp_message *message, const uint8_t *data,
		      uint32_t bytes)
{
	uint32_t direction;
	XDR xdr;

	*message = (struct rp_message){ 0 };
	if (bytes < 2 * BYTES_PER_XDR_UNIT)
		return false;
	memcpy(&direction, data + BYTES_PER_XDR_UNIT, sizeof(direction));
	xdrmem_create(&xdr, (char *)data, bytes, XDR_DECODE);
	switch (g_ntohl(direction)) {
	case CALL:
		return rp_parse_call(message, &xdr);
	case REPLY:
		return rp_parse_reply(message, &xdr);
	default:
		return false;
	}
}

bool rp_message_is_authentic(const struct rp_message *message,
			     const uint8_t *data, uint32_t bytes,
			     const uint8_t *key)
{
	uint8_t mac[RP_MAC_BYTES];

	rp_message_mac(data, bytes, message->_mac_offset, key, mac);
	return !sodium_memcmp(mac, data + message->_mac_offset, sizeof(mac));
}

bool rp_message_body(const struct rp_message *message, const uint8_t *data,
		     uint32_t bytes, xdrproc_t proc, void *value)
{
	XDR xdr;

	if (!proc)
		return true;
	xdrmem_create(&xdr, (char *)data + message->body_offset,
		      bytes - message->body_offset, XDR_DECODE);
	return proc(&xdr, value);
}

void rp_message_try(const uint8_t *data, uint32_t bytes, xdrproc_t proc,
		    uint32_t value_bytes)
{
	static const uint8_t key[crypto_auth_hmacsha512256_KEYBYTES];
	struct rp_message message;
	void *value;

	if (!rp_message_parse(&message, data, bytes))
		return;
	rp_message_is_authentic(&message, data, bytes, key);
	value = g_malloc0(value_bytes);
	rp_message_body(&message, data, bytes, proc, value);
	xdr_free(proc, value);
	g_free(value);
}
