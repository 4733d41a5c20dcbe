/*
 * rp_message - RPC messages as bytes: header, authenticator and MAC.
 *
 * Overview
 *	Messages are those of RFC 5531. A call names its sender in the body of
 *	the credential, and its verifier is the MAC. A reply has no credential,
 *	so its verifier holds both. The MAC is HMAC-SHA512-256 over the whole
 *	message, record mark excluded, with the MAC's own bytes taken as zero.
 *
 *	Parsing and checking the MAC are two steps. Neither allocates memory,
 *	and nothing behind the header is decoded before the MAC is checked.
 *	There are no sockets here: tests and the fuzz target call it directly.
 *
 * Use
 *	struct rp_message m;
 *
 *	if (rp_message_parse(&m, data, bytes) &&
 *	    rp_message_is_authentic(&m, data, bytes, key))
 *		rp_message_body(&m, data, bytes, proc, value);
 */
#ifndef RP_MESSAGE_H
#define RP_MESSAGE_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define RP_AUTH_FLAVOUR 0x20426d71
#define RP_MAC_BYTES	32
/* Header and authenticator of any message fit in it. */
#define RP_MAX_HEADER_BYTES 256

/**
 * struct rp_sender - the authenticator.
 * @host: name of the sender's host.
 * @role: of the sending process.
 * @incarnation: of the sending process.
 * @stamp: its hybrid logical clock.
 * @wall_ms: its wall clock, which bounds the replay of a call. The hybrid
 *	clock would not do: one host whose clock is fast moves that of all.
 * @addressed: incarnation that the message is meant for, 0 for any.
 */
struct rp_sender {
	char host[64];
	char role[16];
	uint64_t incarnation;
	uint64_t stamp;
	uint64_t wall_ms;
	uint64_t addressed;
};

/**
 * struct rp_message - a header.
 * @xid: transaction id.
 * @is_reply: else a call.
 * @program: of a call.
 * @version: of a call.
 * @procedure: of a call.
 * @status: of a reply, an enum accept_stat.
 * @sender: the authenticator.
 * @body_offset: where argument or result begin; set by rp_message_parse().
 */
struct rp_message {
	uint32_t xid;
	bool is_reply;
	uint32_t program;
	uint32_t version;
	uint32_t procedure;
	uint32_t status;
	struct rp_sender sender;
	uint32_t body_offset;
	uint32_t _mac_offset;
};

/**
 * rp_message_write() - encode and sign.
 * @proc: XDR function of @value; NULL for no body.
 * @bytes: length written to @out.
 *
 * Return: ST_INVALID if the value cannot be encoded within @capacity.
 */
enum st_code rp_message_write(const struct rp_message *message, xdrproc_t proc,
			      const void *value, const uint8_t *key,
			      uint8_t *out, uint32_t capacity, uint32_t *bytes);

/** rp_message_parse() - decode the header; false for anything malformed. */
bool rp_message_parse(struct rp_message *message, const uint8_t *data,
		      uint32_t bytes);

/** rp_message_is_authentic() - whether the MAC is right. */
bool rp_message_is_authentic(const struct rp_message *message,
			     const uint8_t *data, uint32_t bytes,
			     const uint8_t *key);

/**
 * rp_message_body() - decode argument or result.
 * @value: zeroed memory; to be freed with xdr_free() in either case.
 */
bool rp_message_body(const struct rp_message *message, const uint8_t *data,
		     uint32_t bytes, xdrproc_t proc, void *value);

/**
 * rp_message_try() - decode arbitrary bytes as far as it goes, MAC unchecked,
 * and free what was decoded; for fuzzing.
 * @proc: XDR function of the body; @value_bytes its size in memory.
 */
void rp_message_try(const uint8_t *data, uint32_t bytes, xdrproc_t proc,
		    uint32_t value_bytes);

#endif
