/*
 * ix_pending - requests in flight at one engine: the keys whose blocks they
 * compute, and the prompt tokens sent since the last load report.
 *
 * Overview
 *	A request is added when an entry host has sent it and removed when it
 *	has ended. Records can be lost, so requests also expire. At the limit
 *	the oldest request is dropped.
 */
#ifndef IX_PENDING_H
#define IX_PENDING_H

#include <glib.h>
#include <stdint.h>

#include "index/ix_map.h"

/** struct ix_pending - state of one engine; fields are private. */
struct ix_pending {
	GHashTable *_requests;
	GQueue _order;
	struct ix_map _keys;
	uint32_t _max_requests;
	uint64_t _sent_tokens;
	int64_t _report_ms;
};

void ix_pending_init(struct ix_pending *pending, uint32_t max_requests);
void ix_pending_finish(struct ix_pending *pending);

/** ix_pending_clear() - drop all requests, as after an engine restart. */
void ix_pending_clear(struct ix_pending *pending);

/** ix_pending_add() - add a sent request; duplicates are ignored. */
void ix_pending_add(struct ix_pending *pending, uint64_t request,
		    const uint64_t *keys, uint32_t count, uint32_t new_tokens,
		    int64_t now_ms);

/** ix_pending_set_prefilled() - note that the prefill of a request is done. */
void ix_pending_set_prefilled(struct ix_pending *pending, uint64_t request,
			      int64_t now_ms);

/** ix_pending_remove() - remove a finished request. */
void ix_pending_remove(struct ix_pending *pending, uint64_t request);

/** ix_pending_expire() - drop requests last updated before @before_ms. */
void ix_pending_expire(struct ix_pending *pending, int64_t before_ms);

/** ix_pending_set_report() - set the time that the last load report covers. */
void ix_pending_set_report(struct ix_pending *pending, int64_t report_ms);

/** ix_pending_has_key() - whether a request in flight computes the key. */
bool ix_pending_has_key(const struct ix_pending *pending, uint64_t key);

/** ix_pending_sent_tokens() - uncomputed tokens sent since the report. */
uint32_t ix_pending_sent_tokens(const struct ix_pending *pending);

/** ix_pending_count() - number of requests in flight. */
uint32_t ix_pending_count(const struct ix_pending *pending);

#endif
