/*
 * dl - dialects: translation between a platform's formats and the gateway.
 *
 * Overview
 *	A dialect is a plug-in of the kind "dialect". It translates header
 *	fields, rows and bodies of a platform into the types below and back.
 *	It makes no decisions, and the names that a platform uses stay inside
 *	its dialect.
 *
 * Use
 *	const struct dl_dialect *d = kn_plugin_find("dialect", "fleet");
 *
 *	d->read_request(headers, &request);
 */
#ifndef DL_H
#define DL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "catalog/ca.h"
#include "http1/h1_headers.h"
#include "kernel/st.h"
#include "settings/fd.h"

#define DL_MAX_PARTS 16
#define DL_ID_BYTES  72

/** struct dl_part - section of a prompt that other prompts may share. */
struct dl_part {
	uint64_t id;
	uint32_t tokens;
};

/**
 * struct dl_request - header fields of a caller's request. The strings belong
 * to the header fields that they were read from.
 * @attempt: id of this attempt of the caller, NULL if absent.
 * @key: key of a team, NULL if absent.
 * @budget_ms: time for which the caller waits, -1 if not given.
 * @model: NULL for plain requests.
 * @has_tokens: the two numbers below are given.
 * @prompt_tokens: length of the whole prompt.
 * @max_output_tokens: limit of generated tokens.
 * @expected_output_tokens: the caller's estimate; 0 if there is none.
 * @parts: sections of the prompt, in order; the last one is not shared.
 * @resume_after: number of the last event that the caller received, -1 for
 *	none.
 * @resumes: id of the caller's attempt that brought the first event of the
 *	stream that this one takes up, NULL if absent.
 */
struct dl_request {
	const char *attempt;
	const char *key;
	int64_t budget_ms;
	const char *model;
	bool has_tokens;
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t expected_output_tokens;
	struct dl_part parts[DL_MAX_PARTS];
	uint32_t part_count;
	int64_t resume_after;
	const char *resumes;
};

/**
 * struct dl_forward_fields - header fields that the gateway sends to an
 * upstream; NULL, 0 and -1 leave a field out.
 * @team: name of the calling team.
 * @budget_ms: time for which the gateway waits for the answer.
 * @instance: the only upstream that may run the request.
 * @priority: 0 to 9, 0 is the most urgent; -1 for none.
 * @cache_scope: cached prompts are shared only between requests with the same
 *	scope.
 * @weights: version that the engine must have loaded.
 * @fetch_from: "IP:PORT" of an engine or store to copy cached prompts from.
 * @save_to: "IP:PORT" of a store to copy cached prompts to.
 * @resume_after: number of the last event that the caller received.
 * @omitted: name of a caller's field that is left out; NULL: none.
 */
struct dl_forward_fields {
	const char *team;
	int64_t budget_ms;
	const char *instance;
	int32_t priority;
	const char *cache_scope;
	uint64_t weights;
	const char *fetch_from;
	const char *save_to;
	int64_t resume_after;
	const char *omitted;
};

/**
 * struct dl_answer - header fields of an upstream's answer.
 * @attempt: id of the request that was answered, NULL if absent.
 * @is_signed: the answer carries the upstream's signature.
 * @has_not_run: the upstream has not run the request and never will.
 * @is_leaving: the upstream says that it leaves the service.
 * @pause_ms: time for which it wants no more requests from this host; 0: none.
 * @rejections_per_s: more than so many in a second make it fall over; 0: any
 *	number is borne.
 * @has_bad_notice: a field for one of the two above could not be read.
 */
struct dl_answer {
	const char *attempt;
	bool is_signed;
	bool has_not_run;
	bool is_leaving;
	int64_t pause_ms;
	uint32_t rejections_per_s;
	bool has_bad_notice;
};

/**
 * struct dl_engine - an upstream's entry in the store.
 * @ipv4: in host byte order.
 * @is_draining: the upstream leaves the service soon.
 * @slots: number of requests that run at once.
 * @cold_ms: remaining time for which the upstream is slow after its start.
 * @started_ms: wall clock of the upstream's start, 0 if unknown.
 * @model: loaded model, "" for plain upstreams.
 * @weights: version of the loaded weights.
 * @build: version of its software; "" if not given, which is a build, too.
 */
struct dl_engine {
	char id[DL_ID_BYTES];
	char service[DL_ID_BYTES];
	char zone[DL_ID_BYTES];
	char address[DL_ID_BYTES];
	uint32_t ipv4;
	uint16_t port;
	bool is_draining;
	uint32_t slots;
	int64_t cold_ms;
	int64_t started_ms;
	char model[DL_ID_BYTES];
	uint64_t weights;
	char build[DL_ID_BYTES];
};

/** struct dl_weights - target version of a model's weights. */
struct dl_weights {
	char model[DL_ID_BYTES];
	uint64_t version;
};

/**
 * struct dl_report - status report of an engine.
 * @orders: number of orders accepted since the engine's start.
 * @is_busy: an order is in progress.
 * @started_ms: wall clock of the engine's start, 0 if unknown.
 */
struct dl_report {
	uint64_t orders;
	bool is_busy;
	int64_t started_ms;
	uint32_t waiting;
	uint32_t running;
	char model[DL_ID_BYTES];
	uint64_t weights;
};

/**
 * enum dl_load_mode - handling of running requests when an engine loads other
 * weights.
 * @DL_FINISH_RUNS: the requests finish on the old weights first.
 * @DL_ABORT_RUNS: the requests' streams are reset.
 * @DL_SWAP_DURING_RUNS: the requests continue on the new weights.
 */
enum dl_load_mode { DL_FINISH_RUNS = 0, DL_ABORT_RUNS, DL_SWAP_DURING_RUNS };

/**
 * struct dl_order - command to an engine to load a version of the weights.
 * @holder: holder of the lease.
 * @fencing: fencing number of the lease.
 * @after_orders: the engine's order count for which this order is valid.
 */
struct dl_order {
	const char *model;
	uint64_t version;
	const char *holder;
	uint64_t fencing;
	uint64_t after_orders;
	enum dl_load_mode mode;
};

/**
 * struct dl_dialect - operations and names of a dialect plug-in.
 * @operator_table: store table with the operator's rows.
 * @config_key: key of the configuration in @operator_table.
 * @weights_prefix: key prefix of the target versions in @operator_table.
 * @engines_table: store table with the rows of upstreams.
 * @own_table: store table with the gateway's own rows.
 * @report_target: HTTP path from which an engine's report is read.
 * @order_target: HTTP path to which orders are posted.
 * @config_fields: names of a configuration's members by enum ca_field.
 * @pass_request: writes the fields with which another host of this system takes
 *	the request over: the caller's, but for the time that is left.
 * @decode_config: takes whatever of a configuration is valid. Each part that is
 *	refused or ignored is a finding of severity FD_ERROR; without a catalog
 *	there is at least one. NULL if nothing can be used. Entries that lack
 *	what they need are counted in ca_catalog.unusable_entries.
 */
struct dl_dialect {
	const char *operator_table;
	const char *config_key;
	const char *weights_prefix;
	const char *engines_table;
	const char *own_table;
	const char *report_target;
	const char *order_target;
	const char *const *config_fields;
	void (*read_request)(const struct h1_headers *headers,
			     struct dl_request *request);
	void (*write_request)(const struct h1_headers *from,
			      const struct dl_forward_fields *fields,
			      struct h1_headers *to);
	void (*pass_request)(const struct h1_headers *from, int64_t budget_ms,
			     struct h1_headers *to);
	void (*read_answer)(uint32_t status, const struct h1_headers *headers,
			    struct dl_answer *answer);
	void (*write_order_headers)(const char *instance,
				    struct h1_headers *to);
	char *(*encode_order)(const struct dl_order *order);
	enum st_code (*decode_report)(const char *text, uint64_t bytes,
				      struct dl_report *report);
	struct ca_catalog *(*decode_config)(const char *text, uint64_t bytes,
					    struct fd_list *findings);
	enum st_code (*decode_engine)(const char *key, const char *text,
				      uint64_t bytes, struct dl_engine *engine);
	enum st_code (*decode_weights)(const char *text, uint64_t bytes,
				       struct dl_weights *weights);
};

#endif
