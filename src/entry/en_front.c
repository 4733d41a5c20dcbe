/*
 * The front task: callers over HTTP.
 */
#include <inttypes.h>
#include <string.h>

#include "entry/en.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "link/lk_relay.h"

/** A caller that leaves more of its stream unread than this is dropped. */
#define EN_MAX_UNSENT_BYTES (1u << 20)
/** The balancer sees the drain for at least this long. */
#define EN_MIN_DRAIN_MS	      1000
#define EN_NUMBER_BYTES	      24
#define EN_MAX_ANSWER_HEADERS 72

MT_COUNTER(en_requests, "balsampin_entry_requests_total",
	   "requests of callers, those with errors included")
MT_COUNTER(en_bad_input, "balsampin_entry_bad_input_total",
	   "requests answered 4xx because of what they hold")
MT_COUNTER(en_hangups, "balsampin_entry_hangups_total",
	   "callers that hung up before their answer was complete")
MT_COUNTER(en_slow_readers, "balsampin_entry_slow_readers_total",
	   "streams dropped because their caller did not read them")
MT_GAUGE(en_open_gauge, "balsampin_entry_open_requests",
	 "requests whose answer is not complete")

struct en_front {
	struct en_front_desc desc;
	struct kn_task *task;
	struct hs_server server;
	struct lk_relay relay;
	bool has_server;
	uint64_t last_id;
	GHashTable *open;
	GHashTable *by_request_id;
	bool is_draining;
	int64_t drain_ms;
};

/* An exchange that the dispatch task works on. */
struct en_open {
	uint64_t id;
	struct hs_exchange *x;
	char *key;
	char request_id[EN_ID_BYTES];
	bool is_answered;
};

static void en_open_free(void *body)
{
	struct en_open *open = body;

	g_free(open->key);
	g_free(open);
}

static void en_front_respond(struct en_front *f, struct hs_exchange *x,
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
	if (f->is_draining)
		headers[n++] = (struct hs_header){ "Connection", "close" };
	if (reply->part == EN_REPLY_BEGIN) {
		hs_begin(x, reply->status, headers);
		return;
	}
	hs_respond(x, reply->status, headers,
		   reply->data ? reply->data->str : "",
		   reply->data ? reply->data->len : 0);
}

static void en_front_refuse(struct en_front *f, struct hs_exchange *x,
			    enum en_code code, const char *why,
			    const char *request_id)
{
	const struct en_error *error = en_error(code);
	struct en_reply reply = { .part = EN_REPLY_FULL,
				  .status = error->status,
				  .retry_after_s = error->retry_after_s,
				  .data = g_string_new(NULL) };

	if (error->status < 500)
		mt_add(&en_bad_input, 1);
	en_error_body(reply.data, error, why);
	en_front_respond(f, x, &reply, request_id);
	g_string_free(reply.data, TRUE);
	tl_record(TL_REQUEST_REFUSED, request_id ? request_id : "", "code=%s",
		  error->code);
}

static void en_front_list_model(void *arg, const struct cm_model *model)
{
	struct json_object *one = json_object_new_object();

	json_object_object_add(one, "id", json_object_new_string(model->name));
	json_object_object_add(one, "object", json_object_new_string("model"));
	json_object_array_add(arg, one);
}

/* Without a configuration no key is known, which says nothing of the key. */
static bool en_front_is_starting(const struct en_front *f)
{
	const struct pr_process *process = f->desc.process;

	return !process->config->revision && !cr_is_trusted(&process->cr);
}

static void en_front_models(struct en_front *f, struct hs_exchange *x)
{
	const struct cm_config *config = f->desc.process->config;
	const struct cm_team *team = NULL;
	enum en_code code =
		en_front_is_starting(f)
			? EN_STARTING
			: en_authenticate(config, hs_header(x, "Authorization"),
					  &team);
	struct json_object *all = json_object_new_array();
	struct json_object *seen = json_object_new_array();
	struct json_object *out = json_object_new_object();
	struct en_reply reply = { .part = EN_REPLY_FULL, .status = 200 };

	cm_for_each_model(config, en_front_list_model, all);
	for (size_t i = 0; team && i < json_object_array_length(all); i++) {
		struct json_object *one = json_object_array_get_idx(all, i);
		struct json_object *id = json_object_object_get(one, "id");

		if (cm_names_has(&team->models, json_object_get_string(id)))
			json_object_array_add(seen, json_object_get(one));
	}
	json_object_object_add(out, "object", json_object_new_string("list"));
	json_object_object_add(out, "data", seen);
	if (code == EN_OK) {
		reply.data = g_string_new(json_object_to_json_string_ext(
			out, JSON_C_TO_STRING_PLAIN));
		en_front_respond(f, x, &reply, NULL);
		g_string_free(reply.data, TRUE);
	} else {
		en_front_refuse(f, x, code, NULL, NULL);
	}
	json_object_put(all);
	json_object_put(out);
}

/* Why no request is taken at all; EN_OK if they are. */
static enum en_code en_front_closed(const struct en_front *f)
{
	if (f->is_draining)
		return EN_DRAINING;
	return en_front_is_starting(f) ? EN_STARTING : EN_OK;
}

static void en_front_health(struct en_front *f, struct hs_exchange *x)
{
	if (f->is_draining)
		hs_respond(x, 503, NULL, "draining\n", 9);
	else if (en_front_is_starting(f))
		hs_respond(x, 503, NULL, "starting\n", 9);
	else
		hs_respond(x, 200, NULL, "ok\n", 3);
}

static bool en_front_answer_own(struct en_front *f, struct hs_exchange *x)
{
	if (!strcmp(x->path, "/healthz")) {
		en_front_health(f, x);
		return true;
	}
	if (!strcmp(x->path, "/metrics")) {
		pr_answer_metrics(x);
		return true;
	}
	if (!strcmp(x->path, "/v1/models") && !strcmp(x->method, "GET")) {
		en_front_models(f, x);
		return true;
	}
	return false;
}

static const char *const en_kept_back_headers[] = {
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
	for (size_t i = 0; i < G_N_ELEMENTS(en_kept_back_headers); i++)
		if (!g_ascii_strcasecmp(name, en_kept_back_headers[i]))
			return;
	/* "Name;" is how libcurl is told to send an empty value. */
	if (value && *value)
		g_ptr_array_add(lines, g_strdup_printf("%s: %s", name, value));
	else
		g_ptr_array_add(lines, g_strdup_printf("%s;", name));
}

static enum en_code en_front_check(struct en_front *f, struct hs_exchange *x,
				   struct en_request **ask, const char **why)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	GString *query = g_string_new(NULL);
	char fallback[EN_ID_BYTES];
	struct en_input input = {
		.method = x->method,
		.path = x->path,
		.authorization = hs_header(x, "Authorization"),
		.request_id = hs_header(x, "X-Request-Id"),
		.deadline_ms = hs_header(x, "X-Deadline-Ms"),
		.idempotency_key = hs_header(x, "Idempotency-Key"),
		.body = x->body->str,
		.body_bytes = x->body->len,
		.fallback_id = fallback,
	};
	enum en_code code;

	g_snprintf(fallback, sizeof(fallback), "%016" PRIx64 "-%" PRIx64,
		   f->desc.process->incarnation, f->last_id + 1);
	hs_append_query(x, query);
	hs_each_header(x, en_front_collect_header, lines);
	g_ptr_array_add(lines, NULL);
	input.query = query->str;
	input.headers = (const char *const *)lines->pdata;
	code = en_request_new(ask, f->desc.process->config, &input, why);
	g_string_free(query, TRUE);
	g_ptr_array_free(lines, TRUE);
	return code;
}

static struct en_open *en_front_open(struct en_front *f, struct hs_exchange *x,
				     struct en_request *ask)
{
	char *key = g_strdup_printf("%s %s", ask->team, ask->request_id);
	struct en_open *open;

	if (g_hash_table_contains(f->by_request_id, key)) {
		g_free(key);
		return NULL;
	}
	open = g_new0(struct en_open, 1);
	open->id = ++f->last_id;
	open->x = x;
	open->key = key;
	g_strlcpy(open->request_id, ask->request_id, sizeof(open->request_id));
	ask->id = open->id;
	x->arg = open;
	g_hash_table_insert(f->open, &open->id, open);
	g_hash_table_insert(f->by_request_id, open->key, open);
	mt_set(&en_open_gauge, g_hash_table_size(f->open));
	return open;
}

static void en_front_hand_over(struct en_front *f, struct hs_exchange *x,
			       struct en_request *ask)
{
	struct en_open *open = en_front_open(f, x, ask);
	enum st_code code;

	if (!open) {
		en_front_refuse(f, x, EN_DUPLICATE_ID, NULL, ask->request_id);
		en_request_free(ask);
		return;
	}
	tl_record(TL_REQUEST_ACCEPTED, ask->request_id, "team=%s name=%s",
		  ask->team, ask->name);
	code = kn_post(f->task->kernel, *f->desc.dispatch,
		       &(struct kn_message){ .type = EN_MSG_REQUEST,
					     .from = f->task->self,
					     .cookie = ask->id,
					     .body = ask,
					     .free_body = en_request_free });
	if (code == ST_OK) {
		/* The request has its own copy. */
		hs_drop_body(x);
		return;
	}
	open->is_answered = true;
	en_front_refuse(f, x, EN_OVERLOADED, NULL, open->request_id);
}

static void en_front_on_request(void *arg, struct hs_exchange *x)
{
	struct en_front *f = arg;
	const char *request_id = hs_header(x, "X-Request-Id");
	struct en_request *ask = NULL;
	const char *why = NULL;
	enum en_code code;

	if (!strcmp(x->path, LK_RELAY_PATH)) {
		lk_relay_request(&f->relay, x);
		return;
	}
	if (en_front_answer_own(f, x))
		return;
	mt_add(&en_requests, 1);
	code = en_front_closed(f);
	if (code != EN_OK) {
		en_front_refuse(f, x, code, NULL, request_id);
		return;
	}
	code = en_front_check(f, x, &ask, &why);
	if (code != EN_OK) {
		en_front_refuse(f, x, code, why,
				code == EN_BAD_HEADER ? NULL : request_id);
		return;
	}
	en_front_hand_over(f, x, ask);
}

static void en_front_on_closed(void *arg, struct hs_exchange *x)
{
	struct en_front *f = arg;
	struct en_open *open = x->arg;

	if (!strcmp(x->path, LK_RELAY_PATH)) {
		lk_relay_closed(&f->relay, x);
		return;
	}
	if (!open)
		return;
	x->arg = NULL;
	if (!open->is_answered) {
		mt_add(&en_hangups, 1);
		kn_post(f->task->kernel, *f->desc.dispatch,
			&(struct kn_message){ .type = EN_MSG_DISCONNECTED,
					      .cookie = open->id });
	}
	g_hash_table_remove(f->by_request_id, open->key);
	g_hash_table_remove(f->open, &open->id);
	mt_set(&en_open_gauge, g_hash_table_size(f->open));
}

/* What a caller does not read would fill the memory. */
static void en_front_write(struct en_front *f, struct en_open *open,
			   const struct en_reply *reply)
{
	hs_write(open->x, reply->data->str, reply->data->len);
	if (hs_unsent_bytes(open->x) <= EN_MAX_UNSENT_BYTES)
		return;
	mt_add(&en_slow_readers, 1);
	open->is_answered = true;
	hs_abort(open->x);
	kn_post(f->task->kernel, *f->desc.dispatch,
		&(struct kn_message){ .type = EN_MSG_DISCONNECTED,
				      .cookie = open->id });
}

static void en_front_message(struct kn_task *task, struct kn_message *message)
{
	struct en_front *f = task->state;
	struct en_reply *reply = message->body;
	struct en_open *open = g_hash_table_lookup(f->open, &message->cookie);

	if (message->type != EN_MSG_REPLY || !open || open->is_answered)
		return;
	switch (reply->part) {
	case EN_REPLY_FULL:
		open->is_answered = true;
		en_front_respond(f, open->x, reply, open->request_id);
		break;
	case EN_REPLY_BEGIN:
		en_front_respond(f, open->x, reply, open->request_id);
		break;
	case EN_REPLY_DATA:
		en_front_write(f, open, reply);
		break;
	case EN_REPLY_END:
		open->is_answered = true;
		hs_end(open->x);
		break;
	case EN_REPLY_ABORT:
		open->is_answered = true;
		hs_abort(open->x);
		break;
	}
}

static enum st_code en_front_start(struct kn_task *task)
{
	struct en_front *f = task->state;
	const struct cf_settings *settings = &f->desc.process->settings;
	enum st_code code;

	f->task = task;
	code = hs_init(
		&f->server,
		&(struct hs_desc){ .loop = task->kernel->loop,
				   .address = settings->self.address,
				   .port = settings->self.entry_http_port,
				   .max_body_bytes =
					   settings->limits.max_body_bytes,
				   .on_request = en_front_on_request,
				   .on_closed = en_front_on_closed,
				   .arg = f });
	f->has_server = code == ST_OK;
	if (code != ST_OK)
		return code;
	return lk_relay_init(
		&f->relay,
		&(struct lk_relay_desc){ .loop = task->kernel->loop,
					 .secret = settings->rpc_key,
					 .members = f->desc.process->members });
}

/* The listening socket stays open: who still comes is told to go elsewhere. */
static void en_front_drain(struct kn_task *task)
{
	struct en_front *f = task->state;

	f->is_draining = true;
	f->drain_ms = ck_now_ms();
	tl_record(TL_PROCESS_DRAINING, "entry", "open=%u", hs_open(&f->server));
}

static bool en_front_is_idle(struct kn_task *task)
{
	struct en_front *f = task->state;

	if (hs_open(&f->server))
		return false;
	return ck_now_ms() - f->drain_ms >= EN_MIN_DRAIN_MS;
}

static void en_front_stop(struct kn_task *task)
{
	struct en_front *f = task->state;

	if (!f->has_server)
		return;
	hs_finish(&f->server);
	lk_relay_finish(&f->relay);
	f->has_server = false;
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
	struct en_front *f = g_new0(struct en_front, 1);

	f->desc = *desc;
	f->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					en_open_free);
	f->by_request_id = g_hash_table_new(g_str_hash, g_str_equal);
	*out = f;
	return kn_spawn(kernel, &en_front_ops, f, handle);
}

void en_front_free(struct en_front *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->by_request_id);
	g_hash_table_destroy(f->open);
	g_free(f);
}

uint16_t en_front_port(const struct en_front *f)
{
	return hs_port(&f->server);
}
