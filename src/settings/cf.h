/*
 * cf - the settings file of a host (JSON with comments).
 *
 * Overview
 *	The three processes of a host share one file. cf_load() reads and
 *	validates the whole file and reports every finding with its place: line
 *	and column for syntax errors, a path such as /peers/2/zone for invalid
 *	values. Omitted settings get their defaults; an unknown setting is a
 *	finding.
 *
 *	Teams, models, routes and services are not settings: they are the
 *	configuration, which operators change by remote calls (cm.h).
 *
 * Use
 *	struct cf_settings settings;
 *	struct fd_list findings;
 *
 *	if (cf_load(&settings, path, &findings) != ST_OK)
 *		fd_print(&findings, path, stderr);
 *	cf_finish(&settings);
 */
#ifndef CF_H
#define CF_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"
#include "settings/fd.h"

#define CF_NAME_BYTES 64
#define CF_URL_BYTES  256
#define CF_KEY_BYTES  32
#define CF_MAX_PEERS  1024

/** Routing policy of an entry without /routing/policy. */
#define CF_DEFAULT_POLICY "cost"

/**
 * struct cf_peer - an entry host: this host or another.
 * All processes of a host share its address.
 */
struct cf_peer {
	char name[CF_NAME_BYTES];
	char zone[CF_NAME_BYTES];
	char region[CF_NAME_BYTES];
	char address[CF_NAME_BYTES];
	uint16_t entry_http_port;
	uint16_t entry_rpc_port;
	uint16_t index_http_port;
	uint16_t index_rpc_port;
	uint16_t control_http_port;
	uint16_t control_rpc_port;
};

/** struct cf_platform - platform settings; see struct pf_desc. */
struct cf_platform {
	char kind[CF_NAME_BYTES];
	char tables_url[CF_URL_BYTES];
	char objects_url[CF_URL_BYTES];
	char hosts_url[CF_URL_BYTES];
	uint32_t reads_per_s;
	uint32_t writes_per_s;
};

/**
 * struct cf_limits - limits of one entry process.
 * @max_body_bytes: maximum body size of a caller's request.
 * @max_running: maximum concurrent requests at upstreams.
 * @max_waiting: maximum requests in the queue.
 * @max_waiting_bytes: maximum total body size of queued requests.
 * @max_wait_ms: maximum time in the queue; the request is then refused.
 * @first_byte_timeout_ms: maximum wait for an engine's first token.
 * @idle_timeout_ms: maximum time between two tokens of an engine.
 * @lookup_timeout_ms: maximum wait for an answer of the index.
 * @max_unfinished_bytes: maximum total size of bodies that are being read.
 */
struct cf_limits {
	uint64_t max_body_bytes;
	uint32_t max_running;
	uint32_t max_waiting;
	uint64_t max_waiting_bytes;
	int64_t max_wait_ms;
	int64_t first_byte_timeout_ms;
	int64_t idle_timeout_ms;
	int64_t lookup_timeout_ms;
	uint64_t max_unfinished_bytes;
};

/**
 * struct cf_routing - how the entry places requests.
 * @policy: name of a struct rt_policy; default "cost".
 */
struct cf_routing {
	char policy[CF_NAME_BYTES];
};

/**
 * struct cf_settings - all settings of a host.
 * @self: this host.
 * @peers: other entry hosts known at start-up; the host list adds more.
 * @rpc_key: key shared by all processes.
 * @operator_key_hash: SHA-256 of the operator key, 32 bytes.
 */
struct cf_settings {
	struct cf_peer self;
	struct cf_peer *peers;
	uint32_t peer_count;
	struct cf_platform platform;
	struct cf_limits limits;
	struct cf_routing routing;
	uint8_t rpc_key[CF_KEY_BYTES];
	uint8_t operator_key_hash[CF_KEY_BYTES];
};

/**
 * cf_load() - read and validate a settings file.
 * @findings: initialized here; empty on success.
 *
 * Return: ST_OK; ST_NOT_FOUND if the file cannot be read; ST_INVALID with
 * findings, or without if the file is too large.
 */
enum st_code cf_load(struct cf_settings *settings, const char *path,
		     struct fd_list *findings);

/** cf_parse() - parse and validate settings from text in memory. */
enum st_code cf_parse(struct cf_settings *settings, const char *text,
		      struct fd_list *findings);

void cf_finish(struct cf_settings *settings);

#endif
