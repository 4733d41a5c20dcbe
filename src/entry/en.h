/*
 * en - the tasks of the entry process and their messages.
 *
 * Overview
 *	front		owns the HTTP server for callers: authentication,
 *			validation, and sending responses and streams
 *	dispatch	owns the HTTP client and the calls to upstreams:
 *			limits, placement, attempts, recovery
 *	once		owns the store: claims and stored answers of calls that
 *			must run at most once
 *
 *	A request is identified by an id that the front task assigns and never
 *	reuses. docs/REQUESTS.md describes the life cycle.
 *
 * Use
 *	en_start(process);
 *	...
 *	en_finish(process);
 */
#ifndef EN_H
#define EN_H

#include "entry/en_ask.h"
#include "kernel/kn.h"
#include "process/pr.h"

/**
 * enum en_message - messages between the tasks; the cookie is the request id.
 * @EN_MSG_REQUEST: front to dispatch: struct en_request.
 * @EN_MSG_DISCONNECTED: front to dispatch: the caller disconnected.
 * @EN_MSG_REPLY: dispatch to front: struct en_reply.
 * @EN_MSG_ONCE: dispatch to once: struct en_once_request.
 * @EN_MSG_ONCE_STEP: once to dispatch: struct en_once_step.
 * @EN_MSG_ONCE_RESULT: dispatch to once: struct en_once_result.
 */
enum en_message {
	EN_MSG_REQUEST = 300,
	EN_MSG_DISCONNECTED,
	EN_MSG_REPLY,
	EN_MSG_ONCE,
	EN_MSG_ONCE_STEP,
	EN_MSG_ONCE_RESULT
};

/**
 * enum en_reply_part - the part of an answer that a reply carries.
 * @EN_REPLY_FULL: the complete answer, not streamed.
 * @EN_REPLY_ABORT: close the connection without completing the stream.
 */
enum en_reply_part {
	EN_REPLY_FULL = 0,
	EN_REPLY_BEGIN,
	EN_REPLY_DATA,
	EN_REPLY_END,
	EN_REPLY_ABORT
};

/**
 * struct en_reply - an answer or a part of a streamed one.
 * @status: HTTP status; set with EN_REPLY_FULL and EN_REPLY_BEGIN.
 * @headers: alternating names and values; NULL if @data is JSON.
 * @retry_after_s: value of Retry-After; 0 omits the header.
 * @data: body or stream bytes; NULL for none.
 */
struct en_reply {
	enum en_reply_part part;
	uint32_t status;
	GPtrArray *headers;
	uint32_t retry_after_s;
	GString *data;
};

/** en_reply_free() - free a struct en_reply; usable as kn_message.free_body. */
void en_reply_free(void *reply);

/**
 * enum en_once_action - what the dispatch task must do with a claimed call.
 * @EN_ONCE_SEND: send the call to the service.
 * @EN_ONCE_REPLAY: return the stored answer of an earlier call.
 * @EN_ONCE_ERROR: return an error.
 */
enum en_once_action { EN_ONCE_SEND = 0, EN_ONCE_REPLAY, EN_ONCE_ERROR };

/**
 * struct en_once_request - a call that must run at most once.
 * @team: with @service and @key, the identity of the claim.
 * @service: name of the plain service.
 * @key: value of Idempotency-Key.
 * @hash: of method, path and body, to detect that a key is reused for another
 *	call.
 */
struct en_once_request {
	char team[CM_NAME_BYTES];
	char service[CM_NAME_BYTES];
	char key[EN_KEY_BYTES];
	char hash[65];
};

/**
 * struct en_once_step - the next step of an at-most-once call.
 * @error: set with EN_ONCE_ERROR.
 * @status: with @content_type and @body, the stored answer; set with
 *	EN_ONCE_REPLAY.
 */
struct en_once_step {
	enum en_once_action action;
	enum en_code error;
	uint32_t status;
	char content_type[128];
	GString *body;
};

/** en_once_step_free() - free a struct en_once_step. */
void en_once_step_free(void *step);

/**
 * enum en_once_outcome - outcome of a call that the once task let through.
 * @EN_ONCE_ANSWERED: the service returned a complete answer.
 * @EN_ONCE_UNCERTAIN: the call failed after bytes may have left; it may have
 *	run.
 * @EN_ONCE_NOT_SENT: the attempt failed before a byte left.
 * @EN_ONCE_NO_UPSTREAM: nothing was sent: no upstream was available, the
 *	caller disconnected or the deadline passed.
 */
enum en_once_outcome {
	EN_ONCE_ANSWERED = 0,
	EN_ONCE_UNCERTAIN,
	EN_ONCE_NOT_SENT,
	EN_ONCE_NO_UPSTREAM
};

/** struct en_once_result - outcome, with the answer for EN_ONCE_ANSWERED. */
struct en_once_result {
	enum en_once_outcome outcome;
	uint32_t status;
	char content_type[128];
	GString *body;
};

/** en_once_result_free() - free a struct en_once_result. */
void en_once_result_free(void *result);

/**
 * struct en_front_desc - parameters of the front task.
 * @dispatch: task that receives the requests.
 */
struct en_front_desc {
	struct pr_process *process;
	struct kn_handle *dispatch;
};

struct en_dispatch_desc {
	struct pr_process *process;
	struct kn_handle *front;
	struct kn_handle *once;
};

struct en_once_desc {
	struct pr_process *process;
	struct kn_handle *dispatch;
};

/* Each spawn function allocates the state of its task; the matching free
 * function releases it after the kernel has stopped the task. */
struct en_front;
struct en_dispatch;
struct en_once;

enum st_code en_front_spawn(struct en_front **front, struct kn_kernel *kernel,
			    const struct en_front_desc *desc,
			    struct kn_handle *handle);
void en_front_free(struct en_front *front);

/** en_front_port() - port on which callers connect. */
uint16_t en_front_port(const struct en_front *front);

enum st_code en_dispatch_spawn(struct en_dispatch **dispatch,
			       struct kn_kernel *kernel,
			       const struct en_dispatch_desc *desc,
			       struct kn_handle *handle);
void en_dispatch_free(struct en_dispatch *dispatch);

enum st_code en_once_spawn(struct en_once **once, struct kn_kernel *kernel,
			   const struct en_once_desc *desc,
			   struct kn_handle *handle);
void en_once_free(struct en_once *once);

/** struct en_entry - tasks of the process; kept in pr_process.role_state. */
struct en_entry {
	struct en_front *front;
	struct en_dispatch *dispatch;
	struct en_once *once;
	struct kn_handle front_task;
	struct kn_handle dispatch_task;
	struct kn_handle once_task;
};

/** en_start() - spawn the tasks; the start function of the role. */
enum st_code en_start(struct pr_process *process);

/** en_finish() - stop the tasks and free them. */
void en_finish(struct pr_process *process);

#endif
