/*
 * lk - deduplicated transfer of request bodies over the inter-region link.
 *
 * Overview
 *	Traffic on the link is billed, so that prompts with a common prefix
 *	should not be sent whole each time. A body is split by content-defined
 *	chunking (a rolling hash), so that two bodies share the chunks of
 *	their common text at any offset. A chunk's key is a keyed BLAKE2b
 *	hash of team and text. The near side sends the text of chunks that the
 *	far side is not believed to hold and only the keys of the others. The
 *	far side keeps chunks in a bounded cache, answers with the indexes of
 *	missing chunks, and receives these chunks again with their text.
 *
 *	The far side checks the hash of the whole body before forwarding the
 *	body. Since a key covers the team, no team can inject text into
 *	another team's prompt or find out whether a text exists there.
 *
 *	The module uses no sockets. lk_relay.h serves the far side.
 *
 * Use
 *	near:	lk_encode(&known, key, team, body, bytes, &request);
 *		lk_add_missing_text(&request, body, &missing);	on status 409
 *	far:	lk_decode(&store, key, &request, &body, &missing);
 */
#ifndef LK_H
#define LK_H

#include <glib.h>
#include <stdint.h>

#include "kernel/st.h"
#include "rpc/gen/balsampin.h"

#define LK_MIN_CHUNK_BYTES 1024
#define LK_MAX_CHUNK_BYTES BP_MAX_LINK_CHUNK_BYTES
/** Chunks end where this many low bits of the rolling hash are zero. */
#define LK_BOUNDARY_BITS 12
#define LK_KEY_BYTES	 BP_LINK_KEY_BYTES
#define LK_SECRET_BYTES	 32

/**
 * struct lk_cache - LRU cache of chunks by key.
 * @max_bytes: limit of the text plus LK_ENTRY_OVERHEAD_BYTES for each chunk.
 * @bytes: current size, counted in the same way.
 */
struct lk_cache {
	uint64_t max_bytes;
	uint64_t bytes;
	GHashTable *_chunks;
	GQueue _order;
};

#define LK_ENTRY_OVERHEAD_BYTES 128

void lk_cache_init(struct lk_cache *cache, uint64_t max_bytes);
void lk_cache_finish(struct lk_cache *cache);

/** lk_cache_count() - number of cached chunks. */
uint32_t lk_cache_count(const struct lk_cache *cache);

/**
 * struct lk_request - encoded request that owns its memory.
 * @wire: message to send; its chunks point into the body passed to
 *	lk_encode(), which must outlive the request.
 */
struct lk_request {
	bp_link_request wire;
	GArray *_chunks;
	GArray *_spans;
};

/**
 * lk_encode() - split a body and omit the text of chunks that the far side
 * holds.
 * @known: keys that the far side is believed to hold; the body's chunks are
 *	added.
 * @secret: LK_SECRET_BYTES shared by all entries.
 * @team: name of the team.
 *
 * Return: ST_OK, ST_FULL for a body of more than BP_MAX_LINK_CHUNKS chunks.
 * The caller calls lk_request_finish() in either case.
 */
enum st_code lk_encode(struct lk_cache *known, const uint8_t *secret,
		       const char *team, const char *body, uint64_t bytes,
		       struct lk_request *request);

/** lk_add_missing_text() - restore the text of chunks the far side lacks. */
void lk_add_missing_text(struct lk_request *request, const char *body,
			 const bp_link_missing *missing);

void lk_request_finish(struct lk_request *request);

/**
 * lk_decode() - reassemble a body.
 * @store: the far side's chunks; received ones are added.
 * @body: the whole body on ST_OK.
 * @missing: array of uint32_t, indexes of missing chunks on ST_NOT_FOUND.
 *
 * Return: ST_OK, ST_NOT_FOUND with @missing, ST_INVALID if the body does not
 * match the hash that the sender gave.
 */
enum st_code lk_decode(struct lk_cache *store, const uint8_t *secret,
		       const bp_link_request *wire, GString *body,
		       GArray *missing);

#endif
