#include "upstream/up.h"

#include <inttypes.h>
#include <string.h>

#include "kernel/kn_registry.h"
#include "upstream/up_link.h"

#define UP_URL_BYTES	       (UP_PATH_BYTES + 64)
#define UP_DETACHED_TIMEOUT_MS 2000

static const char *const up_end_names[UP_END_COUNT] = {
	[UP_COMPLETE] = "complete", [UP_REFUSED] = "refused",
	[UP_NOT_SENT] = "not_sent", [UP_SILENT] = "silent",
	[UP_BROKEN] = "broken",	    [UP_FAULTY] = "faulty",
	[UP_TIMEOUT] = "timeout",   [UP_TOO_LARGE] = "too_large",
	[UP_GARBLED] = "garbled",
};

static const enum up_end up_end_of_outcome[] = {
	[HC_DONE] = UP_COMPLETE,   [HC_NO_CONNECTION] = UP_NOT_SENT,
	[HC_BROKEN] = UP_BROKEN,   [HC_IDLE] = UP_SILENT,
	[HC_TIMEOUT] = UP_TIMEOUT, [HC_TOO_LARGE] = UP_TOO_LARGE,
	[HC_GARBLED] = UP_GARBLED,
};

const char *up_end_name(enum up_end end)
{
	return up_end_names[end];
}

struct json_object *up_parse_json(const char *text, uint64_t bytes)
{
	struct json_tokener *tokener = json_tokener_new_ex(UP_MAX_JSON_DEPTH);
	struct json_object *value;

	if (!tokener)
		return NULL;
	if (bytes >= INT32_MAX) {
		json_tokener_free(tokener);
		return NULL;
	}
	/* Includes the NUL, which terminates a number at the top level. */
	value = json_tokener_parse_ex(tokener, text, (int)bytes + 1);
	if (json_tokener_get_error(tokener) != json_tokener_success ||
	    json_tokener_get_parse_end(tokener) < bytes) {
		json_object_put(value);
		value = NULL;
	}
	json_tokener_free(tokener);
	return value;
}

bool up_owns_answer(const struct up_attempt *a, struct json_object *answer)
{
	static const char *const prefixes[] = { "cmpl-", "chatcmpl-", "" };
	struct json_object *field;
	const char *id = NULL;

	if (json_object_object_get_ex(answer, "id", &field))
		id = json_object_get_string(field);
	for (size_t i = 0; id && i < G_N_ELEMENTS(prefixes); i++) {
		size_t bytes = strlen(prefixes[i]);

		if (!strncmp(id, prefixes[i], bytes))
			return !strcmp(id + bytes, a->_id);
	}
	return false;
}

static void up_on_stream_event(void *arg, const struct sd_event *event)
{
	struct up_attempt *a = arg;
	struct up_event out = { .sequence = event->sequence,
				.is_done = event->is_done };

	a->_bytes_since_event = 0;
	if (!event->is_done) {
		struct json_object *field;

		out.json = up_parse_json(event->data, event->bytes);
		if (json_object_object_get_ex(out.json, "error", &field)) {
			sd_reject(&a->_decoder, SD_ERROR);
			json_object_put(out.json);
			return;
		}
		if (!up_owns_answer(a, out.json)) {
			sd_reject(&a->_decoder, SD_CROSSED);
			json_object_put(out.json);
			return;
		}
	}
	a->_desc.on_event(a->_desc.arg, &out);
	json_object_put(out.json);
}

static void up_end_attempt(struct up_attempt *a, const struct hc_result *answer)
{
	struct up_result result = {
		.end = up_end_of_outcome[answer->outcome],
		.http_status = answer->http_status,
		.maybe_sent = answer->maybe_sent,
		.message = answer->message,
		.body = "",
	};

	a->_is_running = false;
	a->_was_sent = a->_was_sent || answer->maybe_sent;
	result.maybe_sent = a->_was_sent;
	a->_ops->classify(a, answer, &result);
	result.last_sequence = a->_decoder.last_sequence;
	result.incarnation = a->_decoder.seen_incarnation;
	a->_desc.on_done(a->_desc.arg, &result);
}

static void up_on_done(void *arg, const struct hc_result *answer)
{
	struct up_attempt *a = arg;
	struct hc_result result = *answer;

	ev_timer_stop(a->_desc.loop, &a->_fault_timer);
	if (a->_link && up_link_handle_answer(a, &result))
		return;
	up_end_attempt(a, &result);
}

static void up_on_header(void *arg, const char *name, const char *value)
{
	struct up_attempt *a = arg;

	if (a->_link)
		up_link_header(a, name, value);
	a->_ops->on_header(a, name, value);
}

/* Runs from a timer: libcurl cannot remove a transfer in its callbacks. */
static void up_on_fault_timer(struct ev_loop *loop, ev_timer *timer,
			      int revents)
{
	struct up_attempt *a = timer->data;
	struct hc_result answer = { .outcome = HC_BROKEN,
				    .http_status = 200,
				    .maybe_sent = true,
				    .body = "",
				    .message = "the answer failed validation" };

	hc_cancel(a->_desc.client, a->_call);
	up_end_attempt(a, &answer);
}

static void up_on_data(void *arg, uint32_t http_status, const char *data,
		       uint64_t bytes)
{
	struct up_attempt *a = arg;

	a->_bytes_since_event += bytes;
	a->_ops->on_data(a, http_status, data, bytes);
	if (a->_bytes_since_event > UP_MAX_BYTES_WITHOUT_EVENT)
		sd_reject(&a->_decoder, SD_TOO_LARGE);
	if (a->_decoder.fault == SD_FINE || ev_is_active(&a->_fault_timer))
		return;
	ev_timer_set(&a->_fault_timer, 0.0, 0.0);
	ev_timer_start(a->_desc.loop, &a->_fault_timer);
}

enum st_code up_init(struct up_attempt *a, const struct up_desc *desc)
{
	struct sd_desc sd = { .weights = desc->weights,
			      .incarnation = desc->incarnation,
			      .on_event = up_on_stream_event,
			      .arg = a };

	memset(a, 0, sizeof(*a));
	a->_ops = kn_plugin_find("upstream", desc->kind);
	if (!a->_ops)
		return st_fail(ST_INVALID, "unknown upstream kind %s",
			       desc->kind);
	a->_desc = *desc;
	g_strlcpy(a->_id, desc->id, sizeof(a->_id));
	g_strlcpy(a->_weights, desc->weights ? desc->weights : "",
		  sizeof(a->_weights));
	sd_init(&a->_decoder, &sd);
	a->_error_body = g_string_new(NULL);
	a->_headers = g_ptr_array_new_with_free_func(g_free);
	ev_timer_init(&a->_fault_timer, up_on_fault_timer, 0.0, 0.0);
	a->_fault_timer.data = a;
	return ST_OK;
}

static void up_stop(struct up_attempt *a)
{
	ev_timer_stop(a->_desc.loop, &a->_fault_timer);
	if (a->_is_running)
		hc_cancel(a->_desc.client, a->_call);
	a->_is_running = false;
}

void up_finish(struct up_attempt *a)
{
	if (!a->_ops)
		return;
	up_stop(a);
	up_link_finish(a);
	sd_finish(&a->_decoder);
	g_string_free(a->_error_body, TRUE);
	g_ptr_array_free(a->_headers, TRUE);
	json_object_put(a->_json);
	memset(a, 0, sizeof(*a));
}

enum st_code up_send(struct up_attempt *a, const struct hc_call_desc *desc,
		     const char *path, const char *const *headers)
{
	return up_send_to(a, desc, a->_desc.ipv4, a->_desc.port, path, headers);
}

enum st_code up_send_to(struct up_attempt *a, const struct hc_call_desc *desc,
			uint32_t ipv4, uint16_t port, const char *path,
			const char *const *headers)
{
	struct hc_call_desc call = *desc;
	char url[UP_URL_BYTES];
	enum st_code code;

	hc_make_url(url, sizeof(url), ipv4, port, path);
	call.url = url;
	call.headers = headers;
	call.on_header = up_on_header;
	call.on_data = a->_desc.is_stream ? up_on_data : NULL;
	call.on_done = up_on_done;
	call.arg = a;
	code = hc_send(a->_desc.client, &call, &a->_call);
	a->_is_running = code == ST_OK;
	return code;
}

static void up_ignore_result(void *arg, const struct hc_result *result)
{
}

void up_send_detached(struct up_attempt *a, const char *method,
		      const char *path)
{
	char url[UP_URL_BYTES];
	struct hc_call_desc call = { .method = method,
				     .url = url,
				     .total_timeout_ms = UP_DETACHED_TIMEOUT_MS,
				     .fresh_connection = true,
				     .on_done = up_ignore_result };

	hc_make_url(url, sizeof(url), a->_desc.ipv4, a->_desc.port, path);
	hc_send(a->_desc.client, &call, NULL);
}

enum st_code up_start(struct up_attempt *a)
{
	const struct up_desc *desc = &a->_desc;
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	struct hc_call_desc call = {
		.method = desc->method ? desc->method : "POST",
		.body = desc->body,
		.body_bytes = desc->body_bytes,
		.first_byte_timeout_ms = desc->first_byte_timeout_ms,
		.idle_timeout_ms = desc->idle_timeout_ms,
		.total_timeout_ms = desc->total_timeout_ms,
		.max_answer_bytes = desc->max_answer_bytes,
		.fresh_connection = desc->fresh_connection,
	};
	enum st_code code;

	for (const char *const *h = desc->headers; h && *h; h++)
		g_ptr_array_add(headers, g_strdup(*h));
	a->_ops->add_headers(a, headers);
	g_ptr_array_add(headers, NULL);
	if (desc->via)
		code = up_link_start(a, &call, desc->path,
				     (const char *const *)headers->pdata);
	else
		code = up_send(a, &call, desc->path,
			       (const char *const *)headers->pdata);
	g_ptr_array_free(headers, TRUE);
	/* The caller may free these strings after the return. */
	a->_desc.body = NULL;
	a->_desc.headers = NULL;
	a->_desc.path = NULL;
	return code;
}

bool up_can_resume(const struct up_attempt *a)
{
	return a->_ops && a->_ops->resume && a->_desc.is_stream &&
	       !a->_decoder.is_done;
}

enum st_code up_resume(struct up_attempt *a)
{
	if (!up_can_resume(a))
		return st_fail(ST_INVALID, "attempt %s cannot be resumed",
			       a->_id);
	sd_reopen(&a->_decoder);
	g_string_truncate(a->_error_body, 0);
	return a->_ops->resume(a);
}

void up_cancel(struct up_attempt *a)
{
	bool has_begun;

	if (!a->_ops)
		return;
	has_begun = a->_is_running || a->_was_sent;
	up_stop(a);
	if (has_begun && a->_ops->cancel)
		a->_ops->cancel(a);
}
