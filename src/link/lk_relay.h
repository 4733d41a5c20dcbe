/*
 * lk_relay - the far side of the link: forwards requests to engines.
 *
 * Overview
 *	Belongs to the entry's front, which hands it the exchanges that come
 *	in at LK_RELAY_PATH. It checks the MAC and the age of the message,
 *	puts the body together (lk.h), sends it to the engine, which must be a
 *	member of this entry's own region, and passes the answer on as it
 *	comes. It takes no decisions: limits, retries and resumption stay with
 *	the near side, which also resumes and cancels streams directly.
 *
 *	What became of a request that got no answer from the engine stands in
 *	the header LK_RELAY_HEADER of a 502: not_run or unknown.
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
 * struct lk_relay_desc - zero means default.
 * @loop: required.
 * @secret: LK_SECRET_BYTES, required.
 * @members: where the engines are, required.
 * @store_bytes: bound of the kept text.
 */
struct lk_relay_desc {
	struct ev_loop *loop;
	const uint8_t *secret;
	const struct mb_table *members;
	uint64_t store_bytes;
};

/** struct lk_relay - state; fields are private. */
struct lk_relay {
	struct lk_relay_desc _desc;
	struct lk_cache _store;
	struct hc_client _client;
};

enum st_code lk_relay_init(struct lk_relay *relay,
			   const struct lk_relay_desc *desc);
void lk_relay_finish(struct lk_relay *relay);

/** lk_relay_request() - take over an exchange; uses its @arg. */
void lk_relay_request(struct lk_relay *relay, struct hs_exchange *x);

/** lk_relay_closed() - the near side has gone or has the whole answer. */
void lk_relay_closed(struct lk_relay *relay, struct hs_exchange *x);

#endif
