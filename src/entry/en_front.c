/*
 * The front task: HTTP server for callers.
 */
#include <inttypes.h>
#include <string.h>

#include "entry/en.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "link/lk_relay.h"

/** Unsent bytes of a stream above which a slow caller is disconnected. */
#define EN_MAX_UNSENT_BYTES (1u << 20)
/** Minimum drain time, so that the load balancer notices it on /healthz. */
#define EN_MIN_DRAIN_MS	      1000
#define EN_NUMBER_BYTES	      24
#define EN_MAX_ANSWER_HEADERS 72

MT_COUNTER(en_requests, "balsampin_entry_requests_total",
	   "requests received from callers, including invalid ones")
MT_COUNTER(en_bad_input, "balsampin_entry_bad_input_total",
	   "requests rejected with a 4xx status as invalid")
MT_COUNTER(en_hangups, "balsampin_entry_hangups_total",
	   "callers that disconnected before their answer was complete")
MT_COUNTER(en_slow_readers, "balsampin_entry_slow_readers_total",
	   "streams aborted because the caller read them too slowly")
MT_GAUGE(en_open_gauge, "balsampin_entry_open_requests",
	 "requests whose answer is not complete")

struct en_front {
	struct en_front_desc desc;
	struct kn_task *task;
	struct hs_server server;
	struct lk_relay relay;
	bool has_server;
	uint64_t last_id;
	GHashTable *pending;
	GHashTable *by_request_id;
	bool is_draining;
	int64_t drain_started_ms;
};

/* An exchange that is waiting for the dispatch task. */
struct en_pending {
	uint64_t id;
	struct hs_exchange *exchange;
	char *key;
	char request_id[EN_ID_BYTES];
	bool is_answered;
};

static void en_pending_free(void *body)
{
	struct en_pending *pending = body;

	g_free(pending->key);
	g_free(pending);
}

static void en_front_respond(struct en_front *front,
			     struct hs_exchange *exchange,
			     const struct en_reply *reply,
			     const char *request_id)
{
	struct hs_header headers[EN_MAX_ANSWER_HEADERS + 4] = { 0 };
	char retry_after[EN_NUMBER_BYTES];
	uint32_t n = 0;

	for (guint i = 0; reply->headers && i + 1 < reply->headers->len &&
			  n < EN_MAX_ANSWER_HEADERS;
	     i += 2) {
		headers[n].name = g_ptr_array_index(reply->headers, i);
		headers[n++].value = g_ptr_array_index(reply->headers, i + 1);
	}
	if (!reply->headers)
		headers[n++] = (struct hs_header){ "Content-Type",
						   "application/json" };
	if (request_id)
		headers[n++] = (struct hs_header){ "X-Request-Id", request_id };
	if (reply->retry_after_s) {
		g_snprintf(retry_after, sizeof(retry_after), "%" PRIu32,
			   reply->retry_after_s);
		headers[n++] = (struct hs_header){ "Retry-After", retry_after };
	}
	if (front->is_draining)
		headers[n++] = (struct hs_header){ "Connection", "close" };
	if (reply->part == EN_REPLY_BEGIN) {
		hs_begin(exchange, reply->status, headers);
		return;
	}
	hs_respond(exchange, reply->status, headers,
		   reply->data ? reply->data->str : "",
		   reply->data ? reply->data->len : 0);
}

static void en_front_refuse(struct en_front *front,
			    struct hs_exchange *exchange, enum en_code code,
			    const char *detail, const char *request_id)
{
	const struct en_error *error = en_error(code);
	struct en_reply reply = { .part = EN_REPLY_FULL,
				  .status = error->status,
				  .retry_after_s = error->retry_after_s,
				  .data = g_string_new(NULL) };

	if (error->status < 500)
		mt_add(&en_bad_input, 1);
	en_error_body(reply.data, error, detail);
	en_front_respond(front, exchange, &reply, request_id);
	g_string_free(reply.data, TRUE);
	tl_record(TL_REQUEST_REFUSED, request_id ? request_id : "", "code=%s",
		  error->code);
}

static void en_front_append_model(void *arg, const struct cm_model *model)
{
	struct json_object *entry = json_object_new_object();

	json_object_object_add(entry, "id",
			       json_object_new_string(model->name));
	json_object_object_add(entry, "object",
			       json_object_new_string("model"));
	json_object_array_add(arg, entry);
}

/* Without a configuration every key is unknown, so a key must not be rejected
 * as invalid. */
static bool en_front_is_starting(const struct en_front *front)
{
	const struct pr_process *process = front->desc.process;

	return !process->config->revision && !cr_is_trusted(&process->cr);
}

static void en_front_models(struct en_front *front,
			    struct hs_exchange *exchange)
{
	const struct cm_config *config = front->desc.process->config;
	const struct cm_team *team = NULL;
	enum en_code code =
		en_front_is_starting(front)
			? EN_STARTING
			: en_authenticate(config,
					  hs_header(exchange, "Authorization"),
					  &team);
	struct json_object *all = json_object_new_array();
	struct json_object *allowed = json_object_new_array();
	struct json_object *out = json_object_new_object();
	struct en_reply reply = { .part = EN_REPLY_FULL, .status = 200 };

	cm_for_each_model(config, en_front_append_model, all);
	for (size_t i = 0; team && i < json_object_array_length(all); i++) {
		struct json_object *entry = json_object_array_get_idx(all, i);
		struct json_object *id = json_object_object_get(entry, "id");

		if (cm_names_has(&team->models, json_object_get_string(id)))
			json_object_array_add(allowed, json_object_get(entry));
	}
	json_object_object_add(out, "object", json_object_new_string("list"));
	json_object_object_add(out, "data", allowed);
	if (code == EN_OK) {
		reply.data = g_string_new(json_object_to_json_string_ext(
			out, JSON_C_TO_STRING_PLAIN));
		en_front_respond(front, exchange, &reply, NULL);
		g_string_free(reply.data, TRUE);
	} else {
		en_front_refuse(front, exchange, code, NULL, NULL);
	}
	json_object_put(all);
	json_object_put(out);
}

/* EN_OK if this host accepts requests, otherwise the error for all of them. */
static enum en_code en_front_availability(const struct en_front *front)
{
	if (front->is_draining)
		return EN_DRAINING;
	return en_front_is_starting(front) ? EN_STARTING : EN_OK;
}

static void en_front_health(struct en_front *front,
			    struct hs_exchange *exchange)
{
	if (front->is_draining)
		hs_respond(exchange, 503, NULL, "draining\n", 9);
	else if (en_front_is_starting(front))
		hs_respond(exchange, 503, NULL, "starting\n", 9);
	else
		hs_respond(exchange, 200, NULL, "ok\n", 3);
}

static bool en_front_serve_builtin(struct en_front *front,
				   struct hs_exchange *exchange)
{
	if (!strcmp(exchange->path, "/healthz")) {
		en_front_health(front, exchange);
		return true;
	}
	if (!strcmp(exchange->path, "/metrics")) {
		pr_answer_metrics(exchange);
		return true;
	}
	if (!strcmp(exchange->path, "/v1/models") &&
	    !strcmp(exchange->method, "GET")) {
		en_front_models(front, exchange);
		return true;
	}
	return false;
}

static const char *const en_unforwarded_headers[] = {
	"authorization",
	"connection",
	"content-length",
	"expect",
	"host",
	"keep-alive",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"x-request-id",
	"x-deadline-ms",
	"accept-encoding",
};

static void en_front_collect_header(void *arg, const char *name,
				    const char *value)
{
	GPtrArray *lines = arg;

	if (lines->len >= EN_MAX_HEADERS)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(en_unforwarded_headers); i++)
		if (!g_ascii_strcasecmp(name, en_unforwarded_headers[i]))
			return;
	/* libcurl sends a header with an empty value for "Name;". */
	if (value && *value)
		g_ptr_array_add(lines, g_strdup_printf("%s: %s", name, value));
	else
		g_ptr_array_add(lines, g_strdup_printf("%s;", name));
}

static enum en_code en_front_parse(struct en_front *front,
				   struct hs_exchange *exchange,
				   struct en_request **request,
				   const char **detail)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	GString *query = g_string_new(NULL);
	char fallback[EN_ID_BYTES];
	struct en_input input = {
		.method = exchange->method,
		.path = exchange->path,
		.authorization = hs_header(exchange, "Authorization"),
		.request_id = hs_header(exchange, "X-Request-Id"),
		.deadline_ms = hs_header(exchange, "X-Deadline-Ms"),
		.idempotency_key = hs_header(exchange, "Idempotency-Key"),
		.body = exchange->body->str,
		.body_bytes = exchange->body->len,
		.fallback_id = fallback,
	};
	enum en_code code;

	g_snprintf(fallback, sizeof(fallback), "%016" PRIx64 "-%" PRIx64,
		   front->desc.process->incarnation, front->last_id + 1);
	hs_append_query(exchange, query);
	hs_each_header(exchange, en_front_collect_header, lines);
	g_ptr_array_add(lines, NULL);
	input.query = query->str;
	input.headers = (const char *const *)lines->pdata;
	code = en_request_new(request, front->desc.process->config, &input,
			      detail);
	g_string_free(query, TRUE);
	g_ptr_array_free(lines, TRUE);
	return code;
}

static struct en_pending *en_front_add_pending(struct en_front *front,
					       struct hs_exchange *exchange,
					       struct en_request *request)
{
	char *key =
		g_strdup_printf("%s %s", request->team, request->request_id);
	struct en_pending *pending;

	if (g_hash_table_contains(front->by_request_id, key)) {
		g_free(key);
		return NULL;
	}
	pending = g_new0(struct en_pending, 1);
	pending->id = ++front->last_id;
	pending->exchange = exchange;
	pending->key = key;
	g_strlcpy(pending->request_id, request->request_id,
		  sizeof(pending->request_id));
	request->id = pending->id;
	exchange->arg = pending;
	g_hash_table_insert(front->pending, &pending->id, pending);
	g_hash_table_insert(front->by_request_id, pending->key, pending);
	mt_set(&en_open_gauge, g_hash_table_size(front->pending));
	return pending;
}

static void en_front_dispatch(struct en_front *front,
			      struct hs_exchange *exchange,
			      struct en_request *request)
{
	struct en_pending *pending =
		en_front_add_pending(front, exchange, request);
	enum st_code code;

	if (!pending) {
		en_front_refuse(front, exchange, EN_DUPLICATE_ID, NULL,
				request->request_id);
		en_request_free(request);
		return;
	}
	tl_record(TL_REQUEST_ACCEPTED, request->request_id, "team=%s name=%s",
		  request->team, request->name);
	code = kn_post(front->task->kernel, *front->desc.dispatch,
		       &(struct kn_message){ .type = EN_MSG_REQUEST,
					     .from = front->task->self,
					     .cookie = request->id,
					     .body = request,
					     .free_body = en_request_free });
	if (code == ST_OK) {
		/* The request holds its own copy of the body. */
		hs_drop_body(exchange);
		return;
	}
	pending->is_answered = true;
	en_front_refuse(front, exchange, EN_OVERLOADED, NULL,
			pending->request_id);
}

static void en_front_on_request(void *arg, struct hs_exchange *exchange)
{
	struct en_front *front = arg;
	const char *request_id = hs_header(exchange, "X-Request-Id");
	struct en_request *request = NULL;
	const char *detail = NULL;
	enum en_code code;

	if (!strcmp(exchange->path, LK_RELAY_PATH)) {
		lk_relay_request(&front->relay, exchange);
		return;
	}
	if (en_front_serve_builtin(front, exchange))
		return;
	mt_add(&en_requests, 1);
	code = en_front_availability(front);
	if (code != EN_OK) {
		en_front_refuse(front, exchange, code, NULL, request_id);
		return;
	}
	code = en_front_parse(front, exchange, &request, &detail);
	if (code != EN_OK) {
		en_front_refuse(front, exchange, code, detail,
				code == EN_BAD_HEADER ? NULL : request_id);
		return;
	}
	en_front_dispatch(front, exchange, request);
}

static void en_front_on_closed(void *arg, struct hs_exchange *exchange)
{
	struct en_front *front = arg;
	struct en_pending *pending = exchange->arg;

	if (!strcmp(exchange->path, LK_RELAY_PATH)) {
		lk_relay_closed(&front->relay, exchange);
		return;
	}
	if (!pending)
		return;
	exchange->arg = NULL;
	if (!pending->is_answered) {
		mt_add(&en_hangups, 1);
		kn_post(front->task->kernel, *front->desc.dispatch,
			&(struct kn_message){ .type = EN_MSG_DISCONNECTED,
					      .cookie = pending->id });
	}
	g_hash_table_remove(front->by_request_id, pending->key);
	g_hash_table_remove(front->pending, &pending->id);
	mt_set(&en_open_gauge, g_hash_table_size(front->pending));
}

/* Aborts the stream of a slow caller, which would use unbounded memory. */
static void en_front_write(struct en_front *front, struct en_pending *pending,
			   const struct en_reply *reply)
{
	hs_write(pending->exchange, reply->data->str, reply->data->len);
	if (hs_unsent_bytes(pending->exchange) <= EN_MAX_UNSENT_BYTES)
		return;
	mt_add(&en_slow_readers, 1);
	pending->is_answered = true;
	hs_abort(pending->exchange);
	kn_post(front->task->kernel, *front->desc.dispatch,
		&(struct kn_message){ .type = EN_MSG_DISCONNECTED,
				      .cookie = pending->id });
}

static void en_front_message(struct kn_task *task, struct kn_message *message)
{
	struct en_front *front = task->state;
	struct en_reply *reply = message->body;
	struct en_pending *pending =
		g_hash_table_lookup(front->pending, &message->cookie);

	if (message->type != EN_MSG_REPLY || !pending || pending->is_answered)
		return;
	switch (reply->part) {
	case EN_REPLY_FULL:
		pending->is_answered = true;
		en_front_respond(front, pending->exchange, reply,
				 pending->request_id);
		break;
	case EN_REPLY_BEGIN:
		en_front_respond(front, pending->exchange, reply,
				 pending->request_id);
		break;
	case EN_REPLY_DATA:
		en_front_write(front, pending, reply);
		break;
	case EN_REPLY_END:
		pending->is_answered = true;
		hs_end(pending->exchange);
		break;
	case EN_REPLY_ABORT:
		pending->is_answered = true;
		hs_abort(pending->exchange);
		break;
	}
}

static enum st_code en_front_start(struct kn_task *task)
{
	struct en_front *front = task->state;
	const struct cf_settings *settings = &front->desc.process->settings;
	enum st_code code;

	front->task = task;
	code = hs_init(
		&front->server,
		&(struct hs_desc){
			.loop = task->kernel->loop,
			.address = settings->self.address,
			.port = settings->self.entry_http_port,
			.max_body_bytes = settings->limits.max_body_bytes,
			.max_unfinished_bytes =
				settings->limits.max_unfinished_bytes,
			.on_request = en_front_on_request,
			.on_closed = en_front_on_closed,
			.arg = front });
	front->has_server = code == ST_OK;
	if (code != ST_OK)
		return code;
	return lk_relay_init(&front->relay,
			     &(struct lk_relay_desc){
				     .loop = task->kernel->loop,
				     .secret = settings->rpc_key,
				     .members = front->desc.process->members });
}

/* The listening socket stays open, so that new requests get "draining" and can
 * be retried at another host. */
static void en_front_drain(struct kn_task *task)
{
	struct en_front *front = task->state;

	front->is_draining = true;
	front->drain_started_ms = ck_now_ms();
	tl_record(TL_PROCESS_DRAINING, "entry", "open=%u",
		  hs_open(&front->server));
}

static bool en_front_is_idle(struct kn_task *task)
{
	struct en_front *front = task->state;

	if (hs_open(&front->server))
		return false;
	return ck_now_ms() - front->drain_started_ms >= EN_MIN_DRAIN_MS;
}

static void en_front_stop(struct kn_task *task)
{
	struct en_front *front = task->state;

	if (!front->has_server)
		return;
	hs_finish(&front->server);
	lk_relay_finish(&front->relay);
	front->has_server = false;
}

static const struct kn_task_ops en_front_ops = {
	.name = "front",
	.start = en_front_start,
	.message = en_front_message,
	.drain = en_front_drain,
	.is_idle = en_front_is_idle,
	.stop = en_front_stop,
};

enum st_code en_front_spawn(struct en_front **out, struct kn_kernel *kernel,
			    const struct en_front_desc *desc,
			    struct kn_handle *handle)
{
	struct en_front *front = g_new0(struct en_front, 1);

	front->desc = *desc;
	front->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, en_pending_free);
	front->by_request_id = g_hash_table_new(g_str_hash, g_str_equal);
	*out = front;
	return kn_spawn(kernel, &en_front_ops, front, handle);
}

void en_front_free(struct en_front *front)
{
	if (!front)
		return;
	g_hash_table_destroy(front->by_request_id);
	g_hash_table_destroy(front->pending);
	g_free(front);
}

uint16_t en_front_port(const struct en_front *front)
{
	return hs_port(&front->server);
}
