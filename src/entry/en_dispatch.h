/*
 * en_dispatch - private state of the dispatch task, shared by its source files.
 *
 *	en_dispatch.c	the task: messages, limits, timer
 *	en_call.c	one request: state, replies, end
 *	en_place.c	choice of an engine: candidates, look-up, decision
 *	en_engine.c	attempts at engines and recovery
 *	en_service.c	attempts at plain services
 *	en_via.c	choice of the far entry for an engine of another region
 *	en_peers.c	messages to and from entries and index processes
 */
#ifndef EN_DISPATCH_H
#define EN_DISPATCH_H

#include "entry/en.h"
#include "entry/en_recover.h"
#include "entry/en_relay.h"
#include "entry/en_state.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "link/lk_near.h"
#include "limits/lm.h"
#include "limits/lm_engine.h"
#include "limits/ps.h"
#include "limits/rb.h"
#include "routing/rt.h"
#include "routing/ug.h"
#include "upstream/up.h"
#include "upstream/up_body.h"

#define EN_MS_PER_S 1000

#define EN_BYTES_PER_TOKEN   4
#define EN_WRONG_WEIGHTS_MS  1000
#define EN_MAX_WRONG_WEIGHTS 4096
/** Parked requests that are checked in one pass. */
#define EN_MAX_PARKED_CHECKS	  64
#define EN_CRASH_SCAN_INTERVAL_MS 500
#define EN_EXPIRE_INTERVAL_MS	  60000
/** Interval and batch size for resending known crashing requests. */
#define EN_POISON_RESEND_INTERVAL_MS 2000
#define EN_MAX_POISON_RESENT	     16
#define EN_USAGE_FANOUT		     16
#define EN_RECORD_DEADLINE_MS	     1000

/**
 * struct en_load - load that this entry has put on one upstream.
 * @running: requests in flight.
 * @tokens: prompt tokens of requests that have no first token yet.
 * @incarnation: last known; a change shows that the upstream restarted.
 */
struct en_load {
	uint64_t id;
	uint32_t running;
	uint32_t tokens;
	uint64_t incarnation;
};

struct en_dispatch {
	struct en_dispatch_desc desc;
	struct kn_task *task;
	struct pr_process *process;
	struct hc_client client;
	struct lk_near near;
	struct rt_router router;
	const struct rt_policy *policy;
	struct lm_limits limits;
	struct lm_engine_table engine_limits;
	struct rb_table retries;
	struct ps_table poison;
	struct ug_table urgency;
	GHashTable *calls;
	GHashTable *loads;
	GHashTable *wrong_weights;
	GArray *lost_replies;
	GQueue parked;
	ev_timer tick;
	uint64_t attempts;
	uint64_t usage_sequence;
	uint32_t usage_offset;
	int64_t next_report_ms;
	int64_t next_scan_ms;
	int64_t next_resend_ms;
	int64_t next_expire_ms;
	bool is_started;
};

struct en_placing;

/**
 * struct en_call - one request.
 * @deadline_ms: on the monotonic clock; 0 for none.
 * @is_disconnected: nothing more can be sent to the caller, but the call
 *	goes on.
 * @parked: link in the queue of requests that have waited since parked_ms
 *	for an engine below its limit; NULL if not queued.
 * @is_once: the once task claims the call before it is sent.
 * @is_idempotent: running it twice does no harm.
 * @may_have_run: an attempt may have run.
 * @is_resuming: the current attempt resumes a stream.
 * @has_stream_begun: the caller has the head of a stream.
 * @is_recorded: the index counts the current attempt as running.
 * @via: the far entry of the current attempt; near is NULL without one.
 * @is_direct: a far entry could not forward the request, so engines are
 *	contacted directly.
 * @is_retry_free: the engine ran nothing, so the retry costs no budget.
 * @upstream: name of the current upstream; its zone, id and incarnation
 *	follow.
 */
struct en_call {
	struct en_dispatch *d;
	struct en_request *request;
	uint64_t id;
	enum en_state state;
	int64_t arrived_ms;
	int64_t sent_ms;
	int64_t deadline_ms;
	enum cm_urgency urgency;
	uint64_t history_key;
	uint64_t fingerprint;
	bool is_disconnected;
	bool is_once;
	bool is_idempotent;
	bool may_have_run;
	bool is_resuming;
	bool has_stream_begun;
	bool is_counted;
	bool is_recorded;
	bool is_retry_free;
	struct px_chain *chain;
	uint32_t prompt_tokens;
	struct en_placing *placing;
	GList *parked;
	int64_t parked_ms;
	uint64_t excluded[RB_MAX_ATTEMPTS + 1];
	uint32_t excluded_count;
	uint32_t attempts;
	struct up_attempt attempt;
	bool has_attempt;
	struct up_far_entry via;
	bool is_direct;
	char far[MB_NAME_BYTES];
	char upstream[MB_NAME_BYTES];
	char upstream_zone[MB_NAME_BYTES];
	uint64_t upstream_id;
	uint64_t incarnation;
	char version[CM_NAME_BYTES];
	uint32_t new_tokens;
	uint32_t running_at_send;
	uint32_t tokens_counted;
	char *body;
	struct en_relay relay;
};

/* en_via.c */
/**
 * en_via() - the far entry that forwards a request to an engine of another
 * region; NULL if it goes directly.
 */
const struct up_far_entry *en_via(struct en_call *call,
				  const struct mb_member *engine);

/* en_call.c */
struct en_call *en_call_new(struct en_dispatch *d, struct en_request *request);
void en_call_transition(struct en_call *call, enum en_state_event event);
void en_call_reply(struct en_call *call, enum en_reply_part part,
		   uint32_t status, GPtrArray *headers, GString *data);
void en_call_fail(struct en_call *call, enum en_code code, const char *message,
		  uint32_t retry_after_s);
/** en_call_end() - finish and free the call. */
void en_call_end(struct en_call *call);
void en_call_drop_attempt(struct en_call *call);
/** en_call_exclude() - send no further attempt to this upstream. */
void en_call_exclude(struct en_call *call, uint64_t upstream);
/** en_call_budget() - the retry budget of the model or service. */
struct rb_budget *en_call_budget(struct en_call *call);
/** en_call_is_past_deadline() - the deadline has passed; nothing more is sent.
 */
bool en_call_is_past_deadline(const struct en_call *call);
int64_t en_call_time_left_ms(const struct en_call *call);
void en_call_next_attempt_id(struct en_call *call, char id[UP_ID_BYTES]);
void en_call_free(void *call);

/* en_place.c */
void en_place(struct en_call *call);
/** en_place_parked() - place parked requests that an engine can take now. */
void en_place_parked(struct en_dispatch *d);
/** en_place_cancel() - drop a pending placement and its look-ups. */
void en_place_cancel(struct en_call *call);

/* en_engine.c */
void en_engine_prepare(struct en_call *call);
void en_engine_send(struct en_call *call, const struct mb_member *engine,
		    uint32_t new_tokens);
void en_engine_disconnected(struct en_call *call);

/* en_service.c */
void en_service_start(struct en_call *call);
void en_service_disconnected(struct en_call *call);
void en_service_step(struct en_call *call, struct en_once_step *step);

/* en_peers.c */
void en_peers_serve(struct en_dispatch *d);
void en_peers_tick(struct en_dispatch *d, int64_t now_ms);
/** en_peers_check_engine() - handle a dead or restarted engine as crashed. */
void en_peers_check_engine(struct en_dispatch *d, const struct mb_member *m,
			   int64_t now_ms);
void en_peers_send_record(struct en_call *call, bp_ix_phase phase);
void en_peers_send_poison(struct en_dispatch *d, uint64_t fingerprint,
			  uint64_t engine, uint64_t incarnation);

/* en_dispatch.c */
struct en_load *en_load(struct en_dispatch *d, uint64_t id);
void en_load_add(struct en_call *call);
void en_load_first_token(struct en_call *call);
void en_load_remove(struct en_call *call);
void en_dispatch_run_waiting(struct en_dispatch *d);

#endif
