/*
 * sa - the stand-ins of one process: engines, plain services, one platform.
 *
 * Overview
 *	A small test program: `balsampin-standin FILE` reads a JSON file that
 *	describes the stand-ins, serves them all on one loop and prints one
 *	JSON line once it listens. A control port switches faults on and shows
 *	what each stand-in saw. The protocols are those of docs/PROTOCOLS.md.
 *
 * File
 *	{"control": {"address", "port"},
 *	 "engine_defaults": {fields of an engine},
 *	 "engines": [{"name", "address", "port", "zone", "region",
 *		"models": [{"model", "version", "adapter"}], "block_tokens",
 *		"bytes_per_token", "cache_blocks", "prefill_tokens_per_s",
 *		"token_ms", "event_delay_ms", "load_period_ms", "max_running",
 *		"load_ms", "orders": "checked" | "ignored"}],
 *	 "services": [{"name", "address", "port", "zone", "region"}],
 *	 "platform": {"address", "port", "lag_ms",
 *		"hosts": [entries added to the host list]}}
 */
#ifndef SA_H
#define SA_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/hs.h"

struct sa_engine;
struct sa_platform;
struct sa_service;

/**
 * struct sa_world - all stand-ins.
 * @kept: store of kept cache: name of the object to a GArray of block ids.
 * @poison: text whose prefill crashes an engine, or NULL.
 * @poison_down_ms: how long such a crash lasts.
 * @loading: models that load at this moment, over all engines.
 */
struct sa_world {
	struct ev_loop *loop;
	GPtrArray *engines;
	GPtrArray *services;
	struct sa_platform *platform;
	struct hs_server control;
	GHashTable *kept;
	char *poison;
	int64_t poison_down_ms;
	uint32_t loading;
};

/** sa_text() - a text field; @fallback if it is missing. */
const char *sa_text(struct json_object *o, const char *key,
		    const char *fallback);

/** sa_number() - a number, also one written as text. */
int64_t sa_number(struct json_object *o, const char *key, int64_t fallback);

/** sa_member() - any field, or NULL. */
struct json_object *sa_member(struct json_object *o, const char *key);

/** sa_answer_json() - answer with @o, which is released. */
void sa_answer_json(struct hs_exchange *x, uint32_t status,
		    const struct hs_header *headers, struct json_object *o);

/** sa_answer_error() - answer with an error object of this code. */
void sa_answer_error(struct hs_exchange *x, uint32_t status, const char *code);

/** sa_drop() - close the connection without an answer. */
void sa_drop(struct hs_exchange *x);

/** sa_client_port() - the caller's port, which names the connection. */
uint16_t sa_client_port(struct hs_exchange *x);

/** sa_control_start() - serve faults and records. */
enum st_code sa_control_start(struct sa_world *world, struct json_object *o);

#endif
