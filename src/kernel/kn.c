#include "kernel/kn.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/lg.h"

#define KN_INITIAL_QUEUE_CAPACITY 256
#define KN_DRAIN_CHECK_S	  0.05

static struct kn_task *kn_lookup(struct kn_kernel *kernel,
				 struct kn_handle handle)
{
	uint32_t i = handle.slot - 1;

	if (!handle.slot || handle.slot > KN_MAX_TASKS)
		return NULL;
	if (!kernel->_tasks[i].ops)
		return NULL;
	if (kernel->_generations[i] != handle.generation)
		return NULL;
	return &kernel->_tasks[i];
}

static void kn_free_body(struct kn_message *message)
{
	if (message->body && message->free_body)
		message->free_body(message->body);
	message->body = NULL;
}

static void kn_deliver_one(struct kn_kernel *kernel)
{
	struct _kn_queued item = kernel->_queue[kernel->_queue_head];
	struct kn_task *task;

	kernel->_queue_head =
		(kernel->_queue_head + 1) % kernel->_queue_capacity;
	kernel->_queue_length--;
	task = kn_lookup(kernel, item.to);
	if (task)
		task->ops->message(task, &item.message);
	else
		kernel->dropped_messages++;
	kn_free_body(&item.message);
}

/*
 * Delivers the messages that were queued when this loop iteration began.
 * Messages that handlers post meanwhile wait for the next iteration, so that
 * message traffic cannot starve the sockets.
 */
static void kn_on_prepare(struct ev_loop *loop, ev_prepare *watcher,
			  int revents)
{
	struct kn_kernel *kernel = watcher->data;
	uint32_t count = kernel->_queue_length;

	while (count--)
		kn_deliver_one(kernel);
	if (!kernel->_queue_length)
		ev_idle_stop(loop, &kernel->_wake);
}

/* Does nothing: an active idle watcher keeps the loop from blocking. */
static void kn_on_idle(struct ev_loop *loop, ev_idle *watcher, int revents)
{
}

static void kn_on_signal(struct ev_loop *loop, ev_signal *watcher, int revents)
{
	kn_drain(watcher->data);
}

static bool kn_all_idle(struct kn_kernel *kernel)
{
	if (kernel->_queue_length)
		return false;
	for (uint32_t i = 0; i < KN_MAX_TASKS; i++) {
		struct kn_task *task = &kernel->_tasks[i];

		if (!task->ops || !task->ops->is_idle)
			continue;
		if (!task->ops->is_idle(task))
			return false;
	}
	return true;
}

static void kn_on_drain_check(struct ev_loop *loop, ev_timer *watcher,
			      int revents)
{
	if (kn_all_idle(watcher->data))
		ev_break(loop, EVBREAK_ALL);
}

enum st_code kn_init(struct kn_kernel *kernel, const struct kn_desc *desc)
{
	memset(kernel, 0, sizeof(*kernel));
	kernel->_name = desc->name ? desc->name : "balsampin";
	kernel->_owns_loop = !desc->loop;
	kernel->loop = desc->loop ? desc->loop : ev_loop_new(EVFLAG_AUTO);
	if (!kernel->loop)
		return st_fail(ST_INTERNAL, "cannot create the event loop");
	kernel->_queue_capacity = KN_INITIAL_QUEUE_CAPACITY;
	kernel->_queue =
		calloc(kernel->_queue_capacity, sizeof(*kernel->_queue));
	if (!kernel->_queue)
		return st_fail(ST_FULL, "out of memory for the message queue");

	ev_prepare_init(&kernel->_deliver, kn_on_prepare);
	kernel->_deliver.data = kernel;
	ev_prepare_start(kernel->loop, &kernel->_deliver);
	ev_idle_init(&kernel->_wake, kn_on_idle);
	ev_timer_init(&kernel->_drain_check, kn_on_drain_check,
		      KN_DRAIN_CHECK_S, KN_DRAIN_CHECK_S);
	kernel->_drain_check.data = kernel;

	if (desc->no_signals)
		return ST_OK;
	kernel->_has_signals = true;
	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&kernel->_on_term, kn_on_signal, SIGTERM);
	kernel->_on_term.data = kernel;
	ev_signal_start(kernel->loop, &kernel->_on_term);
	ev_signal_init(&kernel->_on_int, kn_on_signal, SIGINT);
	kernel->_on_int.data = kernel;
	ev_signal_start(kernel->loop, &kernel->_on_int);
	return ST_OK;
}

static void kn_stop_slot(struct kn_kernel *kernel, uint32_t i)
{
	struct kn_task *task = &kernel->_tasks[i];

	if (!task->ops)
		return;
	if (task->ops->stop)
		task->ops->stop(task);
	memset(task, 0, sizeof(*task));
	kernel->_generations[i]++;
}

void kn_stop_all(struct kn_kernel *kernel)
{
	for (uint32_t i = KN_MAX_TASKS; i-- > 0;)
		kn_stop_slot(kernel, i);
	while (kernel->_queue_length)
		kn_deliver_one(kernel);
}

/*
 * Ignores both signals from here on: stopping the libev watchers restores the
 * default action, and a repeated SIGTERM would kill the process during the last
 * steps of its shutdown. The signals are blocked in between.
 */
static void kn_ignore_signals(struct kn_kernel *kernel)
{
	sigset_t shutdown_signals;
	sigset_t old_mask;

	sigemptyset(&shutdown_signals);
	sigaddset(&shutdown_signals, SIGTERM);
	sigaddset(&shutdown_signals, SIGINT);
	sigprocmask(SIG_BLOCK, &shutdown_signals, &old_mask);
	ev_signal_stop(kernel->loop, &kernel->_on_term);
	ev_signal_stop(kernel->loop, &kernel->_on_int);
	signal(SIGTERM, SIG_IGN);
	signal(SIGINT, SIG_IGN);
	sigprocmask(SIG_SETMASK, &old_mask, NULL);
}

void kn_finish(struct kn_kernel *kernel)
{
	kn_stop_all(kernel);
	ev_prepare_stop(kernel->loop, &kernel->_deliver);
	ev_idle_stop(kernel->loop, &kernel->_wake);
	ev_timer_stop(kernel->loop, &kernel->_drain_check);
	if (kernel->_has_signals)
		kn_ignore_signals(kernel);
	if (kernel->_owns_loop)
		ev_loop_destroy(kernel->loop);
	free(kernel->_queue);
	memset(kernel, 0, sizeof(*kernel));
}

static uint32_t kn_find_free_slot(struct kn_kernel *kernel)
{
	uint32_t i = 0;

	while (i < KN_MAX_TASKS && kernel->_tasks[i].ops)
		i++;
	return i;
}

enum st_code kn_spawn(struct kn_kernel *kernel, const struct kn_task_ops *ops,
		      void *state, struct kn_handle *handle)
{
	uint32_t i = kn_find_free_slot(kernel);
	struct kn_task *task = &kernel->_tasks[i];
	enum st_code code = ST_OK;

	if (i == KN_MAX_TASKS)
		return st_fail(ST_FULL, "no free slot for task %s", ops->name);
	task->kernel = kernel;
	task->ops = ops;
	task->state = state;
	task->self.slot = i + 1;
	task->self.generation = kernel->_generations[i];
	/* Set before start(), which may already post messages to the task. */
	if (handle)
		*handle = task->self;
	if (ops->start)
		code = ops->start(task);
	if (code != ST_OK) {
		kn_stop_slot(kernel, i);
		if (handle)
			*handle = (struct kn_handle){ 0 };
	}
	return code;
}

void kn_stop(struct kn_kernel *kernel, struct kn_handle handle)
{
	if (kn_lookup(kernel, handle))
		kn_stop_slot(kernel, handle.slot - 1);
}

static bool kn_queue_grow(struct kn_kernel *kernel)
{
	uint32_t capacity = kernel->_queue_capacity * 2;
	struct _kn_queued *queue;

	if (capacity > KN_MAX_QUEUED_MESSAGES)
		return false;
	queue = calloc(capacity, sizeof(*queue));
	if (!queue)
		return false;
	for (uint32_t i = 0; i < kernel->_queue_length; i++)
		queue[i] = kernel->_queue[(kernel->_queue_head + i) %
					  kernel->_queue_capacity];
	free(kernel->_queue);
	kernel->_queue = queue;
	kernel->_queue_capacity = capacity;
	kernel->_queue_head = 0;
	return true;
}

enum st_code kn_post(struct kn_kernel *kernel, struct kn_handle to,
		     const struct kn_message *message)
{
	struct kn_message copy = *message;
	struct _kn_queued *item;

	if (!kn_lookup(kernel, to)) {
		kernel->dropped_messages++;
		kn_free_body(&copy);
		return st_fail(ST_NOT_FOUND,
			       "message of type %u posted to a stopped task",
			       copy.type);
	}
	if (kernel->_queue_length == kernel->_queue_capacity &&
	    !kn_queue_grow(kernel)) {
		kn_free_body(&copy);
		return st_fail(ST_FULL, "message queue is full");
	}
	item = &kernel->_queue[(kernel->_queue_head + kernel->_queue_length) %
			       kernel->_queue_capacity];
	item->to = to;
	item->message = copy;
	kernel->_queue_length++;
	ev_idle_start(kernel->loop, &kernel->_wake);
	return ST_OK;
}

void kn_drain(struct kn_kernel *kernel)
{
	if (kernel->draining)
		return;
	kernel->draining = true;
	lg_info("drain", "role", kernel->_name, NULL);
	for (uint32_t i = 0; i < KN_MAX_TASKS; i++) {
		struct kn_task *task = &kernel->_tasks[i];

		if (task->ops && task->ops->drain)
			task->ops->drain(task);
	}
	ev_timer_start(kernel->loop, &kernel->_drain_check);
}

void kn_run(struct kn_kernel *kernel)
{
	ev_run(kernel->loop, 0);
}
