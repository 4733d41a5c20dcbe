/*
 * dl - the dialect: how a platform spells what the gateway deals with.
 *
 * Overview
 *	A dialect is a plug-in of the kind "dialect". It translates header
 *	fields, rows and bodies of a platform into the types below and back,
 *	and decides nothing. The gateway never sees a name of the platform.
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

/** struct dl_part - a piece of a prompt that other prompts may share. */
struct dl_part {
	uint64_t id;
	uint32_t tokens;
};

/**
 * struct dl_request - what a caller says of its request. Texts belong to the
 * header fields they were read from.
 * @attempt: names this attempt of the caller, NULL if absent.
 * @key: of a team, NULL if absent.
 * @budget_ms: how long the caller waits, -1 if it does not say.
 * @model: NULL for plain requests.
 * @prompt_tokens: of the whole prompt.
 * @max_output_tokens: the most that it may generate.
 * @expected_output_tokens: the caller's estimate; 0 if there is none.
 * @parts: of the prompt, in order; the last one is the request's own.
 * @resume_after: last event that the caller has, -1 for none.
 */
struct dl_request {
	const char *attempt;
	const char *key;
	int64_t budget_ms;
	const char *model;
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t expected_output_tokens;
	struct dl_part parts[DL_MAX_PARTS];
	uint32_t part_count;
	int64_t resume_after;
};

/**
 * struct dl_forward_fields - what the gateway tells an upstream; NULL, 0 and -1
 * leave a field out.
 * @team: who sends it.
 * @budget_ms: how long the answer is waited for.
 * @instance: the only upstream that may run it.
 * @priority: 0 to 9, 0 is the most urgent; -1 for none.
 * @cache_scope: cached prompts are shared only under the same text.
 * @weights: version that the engine must have.
 * @fetch_from: "IP:PORT" of an engine or store to copy cached prompts from.
 * @save_to: "IP:PORT" of a store to copy them to.
 * @resume_after: last event that the caller has.
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
};

/**
 * struct dl_answer - what an upstream's header fields say.
 * @attempt: the request it belongs to, NULL if absent.
 * @is_signed: it bears the upstream's signature.
 * @has_not_run: the request has not run there and never will.
 */
struct dl_answer {
	const char *attempt;
	bool is_signed;
	bool has_not_run;
};

/**
 * struct dl_engine - an upstream's entry in the store.
 * @ipv4: in host byte order.
 * @is_draining: it leaves soon.
 * @slots: requests that it runs at once.
 * @cold_ms: how much longer it is slow after its start.
 * @started_ms: wall clock of its start, 0 if unknown.
 * @model: that it has loaded, "" for plain upstreams.
 * @weights: version of the model.
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
};

/** struct dl_weights - the version of a model that engines are to have. */
struct dl_weights {
	char model[DL_ID_BYTES];
	uint64_t version;
};

/**
 * struct dl_report - what an engine says of itself.
 * @orders: orders accepted since its start.
 * @is_busy: one of them is being carried out.
 * @started_ms: wall clock of its start, 0 if unknown.
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
 * enum dl_load_mode - what happens to the requests that run on an engine which
 * is to load other weights.
 * @DL_FINISH_RUNS: they end on the old weights first.
 * @DL_ABORT_RUNS: their streams are reset.
 * @DL_SWAP_DURING_RUNS: they go on, on the new weights.
 */
enum dl_load_mode { DL_FINISH_RUNS = 0, DL_ABORT_RUNS, DL_SWAP_DURING_RUNS };

/**
 * struct dl_order - bring an engine to a version.
 * @holder: of the lease.
 * @fencing: number of the lease.
 * @after_orders: the engine's count of orders that this one builds on.
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
 * struct dl_dialect - a plug-in.
 * @operator_table: rows of the operator.
 * @config_key: of the configuration there.
 * @weights_prefix: keys of the wanted versions there begin so.
 * @engines_table: rows of upstreams.
 * @own_table: rows of the gateway itself.
 * @report_target: path of a report.
 * @order_target: path of an order.
 */
struct dl_dialect {
	const char *operator_table;
	const char *config_key;
	const char *weights_prefix;
	const char *engines_table;
	const char *own_table;
	const char *report_target;
	const char *order_target;
	void (*read_request)(const struct h1_headers *headers,
			     struct dl_request *request);
	void (*write_request)(const struct h1_headers *from,
			      const struct dl_forward_fields *send,
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
