/*
 * gw_request - the life cycle of one request.
 *
 * Overview
 *	arrival		gw_request_new(): admitted (gw_admit.c) or answered
 *	placement	an upstream is chosen (gw_place.c)
 *	sending		one attempt at it (gw_send.c)
 *	recovery	after a failed attempt: retry, another upstream, or an
 *			answer that says whether it may have run (see
 *			src/limits/rb.h)
 *	answer		complete, or event by event
 *
 *	A request ends with exactly one answer to the caller, or when the caller
 *	disconnects. What it has borrowed from its exchange is given up before
 *	the answer is handed over. Its deadline is the caller's or the route's
 *	timeout, whichever is earlier.
 */
#ifndef GW_REQUEST_H
#define GW_REQUEST_H

#include "gateway/gw.h"
#include "gateway/gw_admit.h"
#include "gateway/gw_begun.h"
#include "gateway/gw_continue.h"
#include "gateway/gw_events.h"
#include "gateway/gw_place.h"

/** enum gw_answer_mode - how an upstream's answer is handled. */
enum gw_answer_mode {
	GW_NO_ANSWER = 0, /* no answer has arrived */
	GW_COLLECT,	  /* buffered until it is complete */
	GW_EVENTS,	  /* forwarded event by event */
};

/**
 * struct gw_request - see above.
 * @in: parsed headers of the caller.
 * @terms: result of its admission.
 * @deadline_ms: when the request times out.
 * @prefix: prompt prefix shared with other requests, see src/placement/pc.h.
 * @kind: of its prompt, see src/placement/sp.h.
 * @is_counted_running: counted in the demand of its pool.
 * @held_until_ms: it waits for room until then; 0: it does not wait.
 * @content: fingerprint, the same when the caller sends the request again.
 * @parts: fingerprints of the parts of its prompt that it may share.
 * @scope: cached prompts are shared within this scope.
 * @read_tokens: counted as waiting at the engine; 0 after its first token.
 * @priority: at the engine, see src/placement/pu.h.
 * @store_hash: of the store that holds the prefix after the first token; or 0.
 * @weights: version that the engine had when the request was sent.
 * @stream: at which build its stream may go on.
 * @begun: the question which build began its stream.
 * @is_early: held until the first read of the store, see gw_admit.h.
 * @is_counted: gw_poison.h counts the attempt as running.
 * @has_streamed_long: the engine has written its answer for so long that the
 *	parts of the prompt have not crashed it; see gw_poison.h.
 * @is_probe: sent although a part of its prompt is refused, see gw_poison.h.
 * @is_awaiting_head: sent, and the head of the answer has not arrived.
 * @is_awaiting_event: sent, and its first event has not arrived.
 * @sends: upstreams that the request was sent to.
 * @max_sends: limit of @sends beside that of the route; see gw_via.h.
 * @is_passed: another host has passed it on to this one.
 * @via_tries: other hosts that it was passed on to.
 * @via_host: the last one of them, by the hash of its name.
 * @via_zone: zone of the last one that refused it; 0: none.
 * @failed_connects: upstreams that accepted no connection.
 * @retry_after_ms: for a refusal; 0: a short random time, see gw_request.c.
 * @charged: cost of the current attempt if it may be given back; see gw_cap.h.
 * @is_cut_by_stop: the end of this process comes before its deadline.
 * @may_have_begun: some upstream may have run it.
 * @predicted_ms: from sending to the first event, as placement predicted it.
 * @first_event_ms: from sending to the first event of the attempt; -1 before.
 * @last_byte_ms: when it was sent, or the last byte of the answer arrived.
 * @pooled_bytes: taken from the gateway's memory for answers, see gw_send.c.
 * @sending_bytes: of the body, copied on its way to the upstream.
 * @answer: parsed headers of the upstream's answer.
 * @has_begun: the caller has the head of the answer.
 * @last_event: id of the last event that the caller has.
 * @event_ms: when the last event was forwarded.
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
	enum sp_kind kind;
	bool is_counted_running;
	uint64_t content;
	uint64_t parts[DL_MAX_PARTS];
	uint32_t part_count;
	char scope[2 * DL_ID_BYTES];
	ev_timer timer;
	ev_timer hold_timer;
	int64_t held_until_ms;
	GList link;

	struct fl_engine *engine;
	uint32_t read_tokens;
	uint32_t priority;
	uint64_t store_hash;
	uint64_t weights;
	struct gw_stream stream;
	struct gw_begun_query begun;
	bool is_early;
	bool is_counted;
	bool has_streamed_long;
	bool is_probe;
	bool is_awaiting_head;
	bool is_awaiting_event;
	struct h1_call call;
	uint32_t sends;
	uint32_t max_sends;
	bool is_passed;
	uint32_t via_tries;
	uint64_t via_host;
	uint32_t via_zone;
	uint32_t failed_connects;
	uint64_t tried[GW_MAX_TRIED];
	uint32_t tried_count;
	int64_t retry_after_ms;
	int64_t charged;
	bool is_cut_by_stop;
	bool may_have_begun;
	int64_t sent_ms;
	double predicted_ms;
	int64_t first_event_ms;
	int64_t last_byte_ms;

	enum gw_answer_mode mode;
	uint64_t pooled_bytes;
	uint64_t sending_bytes;
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

/* Iterates over all requests; the current one may be freed by the body. */
#define gw_for_each_request(gateway, r)                                        \
	for (GList * _next, *_link = (gateway)->requests.head;                 \
	     _link && (_next = _link->next, true); _link = _next)              \
		for (struct gw_request *r = _link->data; r; r = NULL)

/** gw_request_new() - handle a new request; it frees itself when it ends. */
void gw_request_new(struct gw_gateway *g, struct h1_exchange *exchange);

/**
 * gw_request_new_passed() - the same, for a request that another host passes
 * on. @max_sends: upstreams that it may be sent to, 1 or more.
 */
void gw_request_new_passed(struct gw_gateway *g, struct h1_exchange *exchange,
			   uint32_t max_sends);

/**
 * gw_request_kind() - kind of its route, for metrics; "none" without a route.
 */
const char *gw_request_kind(const struct gw_request *r);

/** gw_request_is_resumable() - its stream may go on at another upstream. */
bool gw_request_is_resumable(const struct gw_request *r);

/**
 * gw_request_caller_left() - the caller has disconnected; frees the request.
 */
void gw_request_caller_left(struct gw_request *r);

/** gw_request_place() - choose an upstream and send, or refuse the request. */
void gw_request_place(struct gw_request *r);

/**
 * gw_request_give_up() - refuse with a status that says whether it may have
 * run; frees the request.
 */
void gw_request_give_up(struct gw_request *r, const char *reason);

/** gw_request_sends_left() - upstreams that it may still be sent to. */
uint32_t gw_request_sends_left(const struct gw_request *r);

/** gw_request_can_retry() - the request can be sent to one more upstream. */
bool gw_request_can_retry(const struct gw_request *r);

/**
 * gw_request_can_move() - whether its attempt may be given up for a retry: a
 * stream that has begun is lost if no other upstream takes it.
 */
bool gw_request_can_move(const struct gw_request *r);

/** gw_request_failed() - an attempt ended without a usable answer. */
void gw_request_failed(struct gw_request *r, const char *reason);

/**
 * gw_request_answer() - the upstream's answer is complete: sends what the
 * caller does not have of it and frees the request.
 */
void gw_request_answer(struct gw_request *r);

/**
 * gw_request_refuse() - answer with an error of the gateway; frees the request.
 */
void gw_request_refuse(struct gw_request *r, uint32_t status,
		       const char *reason);

/**
 * gw_request_give_up() - refuse with a status that says whether the request may
 * have run; frees it.
 */
void gw_request_give_up(struct gw_request *r, const char *reason);

/**
 * gw_request_needs_body() - whether a request with these header fields may be
 * admitted, so that its body is needed. @arg: the gateway.
 */
bool gw_request_needs_body(void *arg, const struct h1_exchange *exchange);

/** gw_send() - start one attempt at @to; its end calls the functions above. */
void gw_send(struct gw_request *r, const struct gw_place_answer *to);

/** gw_send_cancel() - cancel the attempt; its connection is closed. */
void gw_send_cancel(struct gw_request *r);

/**
 * gw_send_hold_body() - account for the copy of the body on its way.
 * Return: false if there is no memory for it.
 */
bool gw_send_hold_body(struct gw_request *r);

/** gw_send_release_body() - the copy is no longer needed. */
void gw_send_release_body(struct gw_request *r);

/**
 * gw_send_reserve_answer() - account for what the answer holds now.
 * Return: false if the memory for all answers is used up.
 */
bool gw_send_reserve_answer(struct gw_request *r);

/**
 * gw_send_log_failure() - log and count that the current attempt has failed.
 * @reason: in words, if @outcome does not say it all; or "".
 */
void gw_send_log_failure(const struct gw_request *r, const char *outcome,
			 const char *reason);

#endif
