/*
 * en - the tasks of the entry process and their messages.
 *
 * Overview
 *	front		owns the HTTP server for callers: who asks, what is
 *			wrong with it, answers and streams to them
 *	dispatch	owns the HTTP client and the calls to upstreams:
 *			limits, placement, attempts, recovery
 *	once		owns the store: claims and kept answers of calls that
 *			must run at most once
 *
 *	A request is named by its id, which the front task gives out and never
 *	uses again. docs/REQUESTS.md has the life cycle.
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
 * enum en_message - messages between the tasks; the cookie is the request.
 * @EN_MSG_REQUEST: front to dispatch: struct en_request.
 * @EN_MSG_DISCONNECTED: front to dispatch: the caller has hung up.
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

/** enum en_reply_part - which part of an answer a reply is. */
enum en_reply_part {
	EN_REPLY_FULL = 0,
	EN_REPLY_BEGIN,
	EN_REPLY_DATA,
	EN_REPLY_END,
	EN_REPLY_ABORT
};

/**
 * struct en_reply - a part of an answer.
 * @status: with EN_REPLY_FULL and EN_REPLY_BEGIN.
 * @headers: names and values in turn; NULL for JSON.
 * @retry_after_s: 0 for none.
 * @data: NULL for none.
 */
struct en_reply {
	enum en_reply_part part;
	uint32_t status;
	GPtrArray *headers;
	uint32_t retry_after_s;
	GString *data;
};

/** en_reply_free() - takes a struct en_reply. */
void en_reply_free(void *reply);

/** enum en_once_action - what the once task wants of the dispatch task. */
enum en_once_action { EN_ONCE_SEND = 0, EN_ONCE_REPLAY, EN_ONCE_ERROR };

/**
 * struct en_once_request - a call that must run at most once.
 * @team, @service, @key: of the claim.
 * @hash: of the call.
 */
struct en_once_request {
	char team[CM_NAME_BYTES];
	char service[CM_NAME_BYTES];
	char key[EN_KEY_BYTES];
	char hash[65];
};

/**
 * struct en_once_step - what to do now.
 * @action: send the call; answer with @kept; or answer @error.
 */
struct en_once_step {
	enum en_once_action action;
	enum en_code error;
	uint32_t status;
	char content_type[128];
	GString *body;
};

/** en_once_step_free() - takes a struct en_once_step. */
void en_once_step_free(void *step);

/** enum en_once_outcome - what became of a sent call. */
enum en_once_outcome {
	EN_ONCE_ANSWERED = 0,
	EN_ONCE_UNCERTAIN,
	EN_ONCE_NOT_SENT,
	EN_ONCE_NO_UPSTREAM
};

/** struct en_once_result - with the answer for EN_ONCE_ANSWERED. */
struct en_once_result {
	enum en_once_outcome outcome;
	uint32_t status;
	char content_type[128];
	GString *body;
};

/** en_once_result_free() - takes a struct en_once_result. */
void en_once_result_free(void *result);

/** struct en_front_desc - @dispatch: the task that takes requests. */
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

/* Each makes its state, which the matching free function frees after the
 * kernel has stopped the task. */
struct en_front;
struct en_dispatch;
struct en_once;

enum st_code en_front_spawn(struct en_front **front, struct kn_kernel *kernel,
			    const struct en_front_desc *desc,
			    struct kn_handle *handle);
void en_front_free(struct en_front *front);

/** en_front_port() - the port that callers use. */
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

/** struct en_entry - the tasks of the process, in pr_process.role_state. */
struct en_entry {
	struct en_front *front;
	struct en_dispatch *dispatch;
	struct en_once *once;
	struct kn_handle front_task;
	struct kn_handle dispatch_task;
	struct kn_handle once_task;
};

/** en_start() - spawn the tasks; start function of the role. */
enum st_code en_start(struct pr_process *process);

/** en_finish() - stop the tasks and free them. */
void en_finish(struct pr_process *process);

#endif
