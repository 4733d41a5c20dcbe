/*
 * lk_near - near side of the inter-region link: encodes requests for far
 * entries.
 *
 * Overview
 *	Tracks for each far entry which chunks it is believed to hold. A call
 *	is encoded once, and again if the far side answers 409 with the
 *	indexes of chunks that it does not hold. The module uses no sockets:
 *	the caller posts @message to the far entry's LK_RELAY_PATH with the
 *	header of lk_mac(). The answer is the engine's own, or has a header
 *	LK_RELAY_HEADER that states the outcome of the request.
 *
 * Use
 *	lk_near_init(&near, secret);
 *	lk_call_init(&call, &near, &(struct lk_call_desc){ ... });
 *	post call.message;
 *	on 409: lk_call_encode_missing(&call, answer, bytes);
 *		post call.message;
 *	lk_call_finish(&call);
 */
#ifndef LK_NEAR_H
#define LK_NEAR_H

#include <glib.h>
#include <stdint.h>

#include "link/lk.h"

#define LK_RELAY_PATH	       "/internal/v1/relay"
#define LK_RELAY_HEADER	       "X-Relay"
#define LK_MAC_HEADER	       "X-Relay-Mac"
#define LK_MAC_HEX_BYTES       65
#define LK_DEFAULT_KNOWN_BYTES (4u << 20)
#define LK_MAX_HEADERS	       16
/** A relayed request whose stamp differs more from the clock is rejected. */
#define LK_MAX_STAMP_AGE_MS 60000

/** Values of LK_RELAY_HEADER; without it the answer is the engine's. */
#define LK_RELAY_MISSING "missing"
#define LK_RELAY_NOT_RUN "not_run"
#define LK_RELAY_UNKNOWN "unknown"

/** struct lk_near - state of the near side; fields are private. */
struct lk_near {
	uint8_t _secret[LK_SECRET_BYTES];
	GHashTable *_known;
};

/**
 * struct lk_call_desc - request to relay. What the fields point to must outlive
 * the call.
 * @far: name of the far entry's host.
 * @far_incarnation: incarnation of that host; a new one holds no chunks.
 * @team: name of the team.
 * @engine: name of the engine.
 * @path: HTTP path at the engine.
 * @headers: NULL-terminated "Name: value" lines for the engine.
 * @body: body of the request.
 * @bytes: length of @body.
 * @stamp: time stamp of the hybrid logical clock.
 */
struct lk_call_desc {
	const char *far;
	uint64_t far_incarnation;
	const char *team;
	const char *engine;
	const char *path;
	const char *const *headers;
	const char *body;
	uint64_t bytes;
	uint64_t stamp;
};

/**
 * struct lk_call - encoded request.
 * @message: body of the POST request to the far entry.
 * @message_bytes: length of @message.
 * @mac: value of LK_MAC_HEADER.
 */
struct lk_call {
	char *message;
	uint32_t message_bytes;
	char mac[LK_MAC_HEX_BYTES];

	struct lk_near *_near;
	struct lk_call_desc _desc;
	struct lk_request _request;
};

void lk_near_init(struct lk_near *near, const uint8_t *secret);
void lk_near_finish(struct lk_near *near);

/** lk_call_init() - ST_FULL or ST_INVALID if the request cannot be relayed. */
enum st_code lk_call_init(struct lk_call *call, struct lk_near *near,
			  const struct lk_call_desc *desc);

/** lk_call_encode_missing() - encode again after a 409 with body @answer. */
enum st_code lk_call_encode_missing(struct lk_call *call, const char *answer,
				    uint64_t bytes);
void lk_call_finish(struct lk_call *call);

/** lk_mac() - value of LK_MAC_HEADER for a message. */
void lk_mac(char *out, const uint8_t *secret, const void *message,
	    uint64_t bytes);

#endif
