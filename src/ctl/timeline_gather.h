/*
 * tg - ask processes for their time lines.
 *
 * Overview
 *	tg_run() calls BP_TIMELINE at a list of processes, a bounded number at
 *	a time, and returns once each has answered or failed. It runs the loop
 *	itself: it serves a command, not a task.
 */
#ifndef TIMELINE_GATHER_H
#define TIMELINE_GATHER_H

#include <glib.h>
#include <stdint.h>

#include "ctl/timeline_merge.h"
#include "rpc/rp.h"

#define TG_DEFAULT_DEADLINE_MS 5000
#define TG_MAX_IN_FLIGHT       32

/**
 * struct tg_target - a process to ask.
 * @host: its name.
 * @role: its role.
 * @to: its address and port.
 * @code: how that went, set by tg_run().
 * @overwritten: events that its ring no longer holds.
 */
struct tg_target {
	const char *host;
	const char *role;
	struct rp_peer to;
	enum st_code code;
	uint64_t overwritten;
};

/**
 * struct tg_desc - zero means default.
 * @loop: an existing loop; NULL makes one.
 * @key: of the processes' calls, required.
 * @targets: required.
 * @count: of @targets.
 * @after: stamp; only later events are asked for.
 * @deadline_ms: of each call; default TG_DEFAULT_DEADLINE_MS.
 */
struct tg_desc {
	struct ev_loop *loop;
	const uint8_t *key;
	struct tg_target *targets;
	uint32_t count;
	uint64_t after;
	int64_t deadline_ms;
};

/**
 * tg_run() - ask all targets and add their answers to @list.
 *
 * Return: ST_OK if every target was asked; their codes say how that went.
 */
enum st_code tg_run(const struct tg_desc *desc, struct tm_list *list);

#endif
