/*
 * kn - the kernel: one loop, the tasks on it, and their messages.
 *
 * Overview
 *	A process is one libev loop on one thread. The work is split into
 *	tasks. A task owns its sockets, timers and state; no other task
 *	touches them. Tasks talk by messages: kn_post() queues one, and the
 *	loop delivers it after the present callback has returned, so that a
 *	handler never runs inside another. A handle carries a generation: a
 *	message to a task that has stopped meanwhile is dropped and counted,
 *	and never reaches the task that took over its slot.
 *
 *	Shutdown is graceful. kn_drain() asks every task to take no new work;
 *	the loop ends once every task reports that it is idle, however long
 *	that takes. A second SIGTERM does not shorten it.
 *
 * Use
 *	struct kn_kernel kernel;
 *	struct kn_handle h;
 *
 *	kn_init(&kernel, &(struct kn_desc){ .name = "entry" });
 *	kn_spawn(&kernel, &task_ops, &my_state, &h);
 *	kn_post(&kernel, h, &(struct kn_message){ .type = MY_TICK });
 *	kn_run(&kernel);
 *	kn_finish(&kernel);
 *
 * Message types
 *	Each task defines its types as an enum that starts at a base of its
 *	own and documents which body goes with which type. A body on the heap
 *	is freed by @free_body after delivery or when it is dropped; a handler
 *	that keeps the body sets @body to NULL.
 */
#ifndef KN_H
#define KN_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define KN_MAX_TASKS	       64
#define KN_MAX_QUEUED_MESSAGES 65536

struct kn_kernel;
struct kn_task;

/**
 * struct kn_handle - names a task; {0} names none.
 * @slot: index of the slot plus one.
 * @generation: of the slot at the time the task was spawned.
 */
struct kn_handle {
	uint32_t slot;
	uint32_t generation;
};

/**
 * struct kn_message - a typed message.
 * @type: from the receiving task's enum.
 * @from: the sender, to which an answer goes; {0} if none is wanted.
 * @cookie: chosen by the sender, returned unchanged in the answer.
 * @body: depends on @type.
 * @free_body: frees @body; NULL if it needs no freeing.
 */
struct kn_message {
	uint32_t type;
	struct kn_handle from;
	uint64_t cookie;
	void *body;
	void (*free_body)(void *body);
};

/**
 * struct kn_task_ops - what a task does.
 * @name: for logs.
 * @start: open sockets and timers; a failure ends kn_spawn().
 * @message: handle one message.
 * @drain: take no new work from now on (may be NULL).
 * @is_idle: no work is left; NULL means always.
 * @stop: close everything that @start and later work opened.
 */
struct kn_task_ops {
	const char *name;
	enum st_code (*start)(struct kn_task *task);
	void (*message)(struct kn_task *task, struct kn_message *message);
	void (*drain)(struct kn_task *task);
	bool (*is_idle)(struct kn_task *task);
	void (*stop)(struct kn_task *task);
};

/**
 * struct kn_task - a spawned task.
 * @kernel: where it runs.
 * @ops: its table.
 * @state: memory of the spawner, which outlives the task.
 * @self: its handle.
 */
struct kn_task {
	struct kn_kernel *kernel;
	const struct kn_task_ops *ops;
	void *state;
	struct kn_handle self;
};

/**
 * struct kn_desc - zero means default.
 * @name: role of the process, for logs and events.
 * @loop: an existing loop; NULL makes one.
 * @no_signals: do not install the SIGTERM and SIGINT watchers.
 */
struct kn_desc {
	const char *name;
	struct ev_loop *loop;
	bool no_signals;
};

struct _kn_queued {
	struct kn_handle to;
	struct kn_message message;
};

/**
 * struct kn_kernel - all state of the kernel. Fields are read-only outside.
 * @loop: the libev loop.
 * @draining: kn_drain() was called.
 * @dropped_messages: messages to tasks that had stopped.
 */
struct kn_kernel {
	struct ev_loop *loop;
	bool draining;
	uint64_t dropped_messages;

	const char *_name;
	bool _owns_loop;
	bool _has_signals;
	struct kn_task _tasks[KN_MAX_TASKS];
	uint32_t _generations[KN_MAX_TASKS];
	struct _kn_queued *_queue;
	uint32_t _queue_capacity;
	uint32_t _queue_head;
	uint32_t _queue_length;
	ev_prepare _deliver;
	ev_idle _wake;
	ev_timer _drain_check;
	ev_signal _on_term;
	ev_signal _on_int;
};

/** kn_init() - prepare a kernel on memory that the caller owns. */
enum st_code kn_init(struct kn_kernel *kernel, const struct kn_desc *desc);

/** kn_finish() - kn_stop_all(), then free the loop. */
void kn_finish(struct kn_kernel *kernel);

/**
 * kn_spawn() - start a task.
 * @handle: filled in on success; may be NULL.
 *
 * Return: ST_FULL without a free slot, else what ops->start() returned.
 */
enum st_code kn_spawn(struct kn_kernel *kernel, const struct kn_task_ops *ops,
		      void *state, struct kn_handle *handle);

/** kn_stop() - stop one task; messages still queued for it are dropped. */
void kn_stop(struct kn_kernel *kernel, struct kn_handle handle);

/**
 * kn_stop_all() - stop every task, last spawned first, and drop what is
 * queued. The loop is still there, for what the tasks shared.
 */
void kn_stop_all(struct kn_kernel *kernel);

/**
 * kn_post() - queue a message; @message is copied, its body handed over.
 *
 * Return: ST_FULL if the queue is at its limit (the body is freed),
 * ST_NOT_FOUND if @to names no living task (likewise).
 */
enum st_code kn_post(struct kn_kernel *kernel, struct kn_handle to,
		     const struct kn_message *message);

/** kn_is_none() - whether a handle names no task. */
static inline bool kn_is_none(struct kn_handle handle)
{
	return handle.slot == 0;
}

/** kn_drain() - begin the graceful shutdown. */
void kn_drain(struct kn_kernel *kernel);

/** kn_run() - run until the graceful shutdown is complete. */
void kn_run(struct kn_kernel *kernel);

#endif
