/*
 * lk_relay - far side of the inter-region link: forwards requests to engines.
 *
 * Overview
 *	The entry's front passes the exchanges at LK_RELAY_PATH to the relay.
 *	The relay checks the MAC and the age of the message, reassembles the
 *	body (lk.h), sends it to the engine, which must be a member of this
 *	entry's own region, and streams the answer back. The relay makes no
 *	decisions: limits, retries and resumption stay with the near side,
 *	which also resumes and cancels streams directly.
 *
 *	If the engine does not answer, the relay responds with 502 and states
 *	in the header LK_RELAY_HEADER whether the request ran: not_run or
 *	unknown.
 *
 * Use
 *	lk_relay_init(&relay, &(struct lk_relay_desc){ ... });
 *	lk_relay_request(&relay, exchange);	from hs on_request
 *	lk_relay_closed(&relay, exchange);	from hs on_closed
 */
#ifndef LK_RELAY_H
#define LK_RELAY_H

#include "link/lk_near.h"
#include "membership/mb.h"
#include "net/hc.h"
#include "net/hs.h"

#define LK_DEFAULT_STORE_BYTES (24u << 20)

/**
 * struct lk_relay_desc - parameters of a relay; zero means default.
 * @loop: required.
 * @secret: LK_SECRET_BYTES, required.
 * @members: addresses of the engines, required.
 * @store_bytes: size limit of the chunk cache.
 */
struct lk_relay_desc {
	struct ev_loop *loop;
	const uint8_t *secret;
	const struct mb_table *members;
	uint64_t store_bytes;
};

/** struct lk_relay - state of a relay; fields are private. */
struct lk_relay {
	struct lk_relay_desc _desc;
	struct lk_cache _store;
	struct hc_client _client;
};

enum st_code lk_relay_init(struct lk_relay *relay,
			   const struct lk_relay_desc *desc);
void lk_relay_finish(struct lk_relay *relay);

/** lk_relay_request() - forward and answer an exchange; uses its @arg. */
void lk_relay_request(struct lk_relay *relay, struct hs_exchange *x);

/**
 * lk_relay_closed() - the near side has disconnected or received the whole
 * answer; cancels the call to the engine if it is still running.
 */
void lk_relay_closed(struct lk_relay *relay, struct hs_exchange *x);

#endif
