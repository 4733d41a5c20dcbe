/*
 * RPC messages: header, authenticator, and the body of every type that a
 * datagram or record may carry.
 */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "rpc/gen/balsampin.h"
#include "rpc/rp_message.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static void decode(xdrproc_t proc, const uint8_t *data, size_t bytes)
{
	union {
		bp_gossip gossip;
		bp_ix_lookup lookup;
		bp_ix_found found;
		bp_ix_record record;
		bp_usage usage;
		bp_poison poison;
		bp_pull pull;
		bp_pulled pulled;
		bp_operate operate;
		bp_operated operated;
		bp_timeline_from from;
		bp_timeline_part part;
		bp_link_request link;
		bp_link_missing missing;
	} value;
	XDR xdr;

	memset(&value, 0, sizeof(value));
	xdrmem_create(&xdr, (char *)data, (u_int)bytes, XDR_DECODE);
	proc(&xdr, &value);
	xdr_free(proc, (char *)&value);
	xdr_destroy(&xdr);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static const xdrproc_t procs[] = {
		(xdrproc_t)xdr_bp_gossip,
		(xdrproc_t)xdr_bp_ix_lookup,
		(xdrproc_t)xdr_bp_ix_found,
		(xdrproc_t)xdr_bp_ix_record,
		(xdrproc_t)xdr_bp_usage,
		(xdrproc_t)xdr_bp_poison,
		(xdrproc_t)xdr_bp_pull,
		(xdrproc_t)xdr_bp_pulled,
		(xdrproc_t)xdr_bp_operate,
		(xdrproc_t)xdr_bp_operated,
		(xdrproc_t)xdr_bp_timeline_from,
		(xdrproc_t)xdr_bp_timeline_part,
		(xdrproc_t)xdr_bp_link_request,
		(xdrproc_t)xdr_bp_link_missing,
	};
	static const uint8_t key[32];
	struct rp_message message;

	if (rp_message_parse(&message, data, (uint32_t)bytes))
		rp_message_is_authentic(&message, data, (uint32_t)bytes, key);
	if (bytes < 1)
		return 0;
	decode(procs[data[0] % (sizeof(procs) / sizeof(procs[0]))], data + 1,
	       bytes - 1);
	return 0;
}
