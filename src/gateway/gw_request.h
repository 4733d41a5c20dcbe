/*
 * gw_request - the life of one request.
 *
 * Overview
 *	arrival		gw_request_new(): admitted (gw_admit.c) or answered
 *	placing		an upstream is chosen (gw_place.c)
 *	sending		one attempt at it (gw_send.c)
 *	recovery	after a failed attempt: again, elsewhere, or an answer
 *			that says whether it may have run (gw_recover.c)
 *	answer		whole, or event by event
 *
 *	It ends with exactly one answer to the caller, or when the caller has
 *	gone. Its time ends with the caller's patience or the route's timeout.
 */
#ifndef GW_REQUEST_H
#define GW_REQUEST_H

#include "gateway/gw.h"
#include "gateway/gw_admit.h"
#include "gateway/gw_events.h"
#include "gateway/gw_place.h"

/** enum gw_answer_mode - what is done with an upstream's answer. */
enum gw_answer_mode {
	GW_NO_ANSWER = 0, /* none has come */
	GW_COLLECT,	  /* kept until it is whole */
	GW_EVENTS,	  /* handed on event by event */
};

/**
 * struct gw_request - see above.
 * @in: what the caller says.
 * @terms: of its admission.
 * @deadline_ms: its time is over then.
 * @prefix: what it shares with other prompts, see src/placement/pc.h.
 * @content: fingerprint that it has again when its caller sends it again.
 * @scope: cached prompts are shared under it.
 * @read_tokens: counted as waiting at the engine; 0 after its first token.
 * @priority: at the engine, see src/placement/pu.h.
 * @store_hash: of the store that has the prefix after the first token; or 0.
 * @weights: of the engine when it was sent there.
 * @is_early: held until the first read of the store, see gw_admit.h.
 * @is_counted: gw_poison.h counts the attempt as running.
 * @is_awaiting_head: sent, and nothing of the answer has come.
 * @is_awaiting_event: sent, and its first event has not come.
 * @sends: upstreams it was sent to.
 * @failed_connects: upstreams that took no connection.
 * @retry_after_ms: of a refusal; 0: soon, see gw_request.c.
 * @may_have_begun: some upstream may have run it.
 * @last_byte_ms: when it was sent, or the last byte of the answer came.
 * @pooled_bytes: of the gateway's memory for answers, see gw_send.c.
 * @answer: signs of the upstream's answer.
 * @last_event: last one that the caller has; @event_ms: when it was passed on.
 */
struct gw_request {
	struct gw_gateway *gateway;
	struct h1_exchange *exchange;
	struct ca_catalog *catalog;
	struct dl_request in;
	struct gw_terms terms;
	const struct ca_service *service;
	int64_t arrived_ms;
	int64_t deadline_ms;
	struct pc_request prefix;
	uint64_t content;
	char scope[2 * DL_ID_BYTES];
	ev_timer timer;
	GList link;

	struct fl_engine *engine;
	uint32_t read_tokens;
	uint32_t priority;
	uint64_t store_hash;
	uint64_t weights;
	bool is_early;
	bool is_counted;
	bool is_awaiting_head;
	bool is_awaiting_event;
	struct h1_call call;
	uint32_t sends;
	uint32_t failed_connects;
	uint64_t tried[GW_MAX_TRIED];
	uint32_t tried_count;
	int64_t retry_after_ms;
	bool may_have_begun;
	int64_t sent_ms;
	int64_t last_byte_ms;

	enum gw_answer_mode mode;
	uint64_t pooled_bytes;
	uint32_t status;
	struct dl_answer answer;
	struct h1_headers answer_headers;
	GString *answer_body;
	struct gw_events events;
	bool has_begun;
	int64_t last_event;
	uint32_t event_count;
	int64_t event_ms;
};

/* Over all of them; the one at hand may end on the way. */
#define gw_for_each_request(gateway, r)                                        \
	for (GList * _next, *_link = (gateway)->requests.head;                 \
	     _link && (_next = _link->next, true); _link = _next)              \
		for (struct gw_request *r = _link->data; r; r = NULL)

/** gw_request_new() - a request has come; it frees itself at its end. */
void gw_request_new(struct gw_gateway *g, struct h1_exchange *exchange);

/** gw_request_kind() - of its route, for metrics; "none" without a route. */
const char *gw_request_kind(const struct gw_request *r);

/** gw_request_caller_left() - the caller has left. */
void gw_request_caller_left(struct gw_request *r);

/** gw_request_place() - choose an upstream and send, or give up. */
void gw_request_place(struct gw_request *r);

/** gw_request_can_retry() - it can be sent to one more upstream. */
bool gw_request_can_retry(const struct gw_request *r);

/** gw_request_failed() - an attempt ended without a usable answer. */
void gw_request_failed(struct gw_request *r, const char *reason);

/** gw_request_done() - the answer is complete; frees the request. */
void gw_request_done(struct gw_request *r, const char *outcome);

/** gw_request_refuse() - an answer of our own; frees the request. */
void gw_request_refuse(struct gw_request *r, uint32_t status,
		       const char *reason);

/** gw_send() - one attempt at @to; its end calls the functions above. */
void gw_send(struct gw_request *r, const struct gw_place_answer *to);

/** gw_send_cancel() - give the attempt up; the upstream learns of it. */
void gw_send_cancel(struct gw_request *r);

/** gw_send_log_failure() - the attempt under way has failed. */
void gw_send_log_failure(const struct gw_request *r, const char *outcome);

#endif
