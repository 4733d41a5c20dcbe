/*
 * lk - request bodies over the link between regions, by reference.
 *
 * Overview
 *	Prompts that share a prefix should not cross the billed link whole
 *	each time. A body is cut into chunks at places that its content
 *	determines (a rolling hash), so that two bodies share the chunks of
 *	their common text wherever it stands. A chunk's key is a keyed BLAKE2b
 *	hash of team and text. The near side sends the text of chunks that the
 *	far side is not believed to hold and the keys of the others; the far
 *	side keeps the text of chunks in a bounded cache, answers with the
 *	places of those it does not hold, and gets these with their text.
 *
 *	The far side checks the hash of the whole body before it forwards it,
 *	and a key covers the team, so that no team can put text into another
 *	team's prompt or learn that it exists.
 *
 *	Nothing here has sockets. lk_relay.h is the far side's task.
 *
 * Use
 *	near:	lk_encode(&known, key, team, body, bytes, &request);
 *		lk_add_missing_text(&request, body, &missing);	after an answer
 *409 far:	lk_decode(&store, key, &request, &body, &missing);
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
 * struct lk_cache - chunks by key, least recently used first out.
 * @max_bytes: of text and of LK_ENTRY_OVERHEAD_BYTES for each chunk.
 * @bytes: at present.
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

/** lk_cache_count() - chunks held. */
uint32_t lk_cache_count(const struct lk_cache *cache);

/**
 * struct lk_request - an encoded request that owns its memory.
 * @wire: to be sent; its chunks point into the body given to lk_encode(),
 *	which must outlive it.
 */
struct lk_request {
	bp_link_request wire;
	GArray *_chunks;
	GArray *_spans;
};

/**
 * lk_encode() - cut a body and leave out what the far side is known to hold.
 * @known: keys believed to be held there; the chunks are added to it.
 * @secret: LK_SECRET_BYTES shared by all entries.
 * @team: name.
 *
 * Return: ST_OK, ST_FULL for a body of more than BP_MAX_LINK_CHUNKS chunks.
 * lk_request_finish() in either case.
 */
enum st_code lk_encode(struct lk_cache *known, const uint8_t *secret,
		       const char *team, const char *body, uint64_t bytes,
		       struct lk_request *request);

/** lk_add_missing_text() - put the text back into chunks that were missing
 * there. */
void lk_add_missing_text(struct lk_request *request, const char *body,
			 const bp_link_missing *missing);

void lk_request_finish(struct lk_request *request);

/**
 * lk_decode() - put a body together again.
 * @store: the far side's chunks; new ones are added.
 * @body: the whole body on ST_OK.
 * @missing: places of chunks not held, of uint32_t, on ST_NOT_FOUND.
 *
 * Return: ST_OK, ST_NOT_FOUND with @missing, ST_INVALID if the body does not
 * have the hash that the sender gave.
 */
enum st_code lk_decode(struct lk_cache *store, const uint8_t *secret,
		       const bp_link_request *wire, GString *body,
		       GArray *missing);

#endif
