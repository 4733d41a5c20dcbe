/*
 * kn - event loop, tasks and message queue of a process.
 *
 * Overview
 *	A process runs one libev loop on one thread. The work is split into
 *	tasks. A task owns its sockets, timers and state; no other task
 *	touches them. Tasks communicate by messages: kn_post() queues a
 *	message, and the loop delivers it after the current callback has
 *	returned, so handlers never nest. A handle carries a generation: a
 *	message to a task that has since stopped is dropped and counted, and
 *	never reaches a later task in the same slot.
 *
 *	Shutdown is graceful. kn_drain() asks every task to accept no new
 *	work; the loop ends once every task reports that it is idle, without
 *	a time limit. A second SIGTERM does not force an earlier exit.
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
 *	Each task defines its message types as an enum with its own base value
 *	and documents the body of each type. The kernel calls @free_body for a
 *	body after delivery or when the message is dropped; a handler that
 *	takes ownership of the body sets @body to NULL.
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
 * struct kn_handle - reference to a task; {0} refers to none.
 * @slot: index of the slot plus one.
 * @generation: of the slot at the time the task was spawned.
 */
struct kn_handle {
	uint32_t slot;
	uint32_t generation;
};

/**
 * struct kn_message - a typed message.
 * @type: value from the receiving task's enum.
 * @from: the sender, which receives the reply; {0} if no reply is expected.
 * @cookie: chosen by the sender, returned unchanged in the reply.
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
 * struct kn_task_ops - operations of a task.
 * @name: name of the task in logs.
 * @start: open sockets and timers; kn_spawn() returns its failure.
 * @message: handle one message.
 * @drain: stop accepting new work (may be NULL).
 * @is_idle: whether no work is left; NULL means always idle.
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
 * @kernel: the kernel that runs the task.
 * @ops: operations of the task.
 * @state: owned by the caller of kn_spawn(); must outlive the task.
 * @self: handle of the task.
 */
struct kn_task {
	struct kn_kernel *kernel;
	const struct kn_task_ops *ops;
	void *state;
	struct kn_handle self;
};

/**
 * struct kn_desc - parameters of kn_init(); zero means default.
 * @name: role of the process in logs.
 * @loop: an existing loop; NULL creates one.
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
 * @dropped_messages: number of messages to tasks that had stopped.
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

/** kn_init() - initialise a kernel in memory that the caller owns. */
enum st_code kn_init(struct kn_kernel *kernel, const struct kn_desc *desc);

/** kn_finish() - kn_stop_all(), then free the loop if kn_init() made it. */
void kn_finish(struct kn_kernel *kernel);

/**
 * kn_spawn() - start a task.
 * @handle: filled in on success; may be NULL.
 *
 * Return: ST_FULL if no slot is free, else the result of ops->start().
 */
enum st_code kn_spawn(struct kn_kernel *kernel, const struct kn_task_ops *ops,
		      void *state, struct kn_handle *handle);

/** kn_stop() - stop one task; messages still queued for it are dropped. */
void kn_stop(struct kn_kernel *kernel, struct kn_handle handle);

/**
 * kn_stop_all() - stop every task, highest slot first, and drop all queued
 * messages. The loop is kept, so that resources shared by the tasks can still
 * be closed on it.
 */
void kn_stop_all(struct kn_kernel *kernel);

/**
 * kn_post() - queue a copy of @message and take ownership of its body.
 *
 * Return: ST_FULL if the queue is at its limit, ST_NOT_FOUND if @to refers to
 * no running task. The body is freed in both cases.
 */
enum st_code kn_post(struct kn_kernel *kernel, struct kn_handle to,
		     const struct kn_message *message);

/** kn_is_none() - whether a handle refers to no task. */
static inline bool kn_is_none(struct kn_handle handle)
{
	return handle.slot == 0;
}

/** kn_drain() - begin the graceful shutdown. */
void kn_drain(struct kn_kernel *kernel);

/** kn_run() - run the loop until the graceful shutdown is complete. */
void kn_run(struct kn_kernel *kernel);

#endif
