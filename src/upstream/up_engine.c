/*
 * The "engine" plug-in: OpenAI-compatible API.
 */
#include <inttypes.h>
#include <string.h>

#include "fleet/fl_notice.h"
#include "http1/h1_headers.h"
#include "kernel/ck.h"
#include "kernel/kn_registry.h"
#include "kernel/tl.h"
#include "upstream/up.h"

#define UP_STREAM_PATH_BYTES (UP_ID_BYTES + 32)

static void up_engine_add_headers(struct up_attempt *a, GPtrArray *headers)
{
	uint64_t stamp = ck_hlc_tick(tl_clock(), ck_wall_ms());

	g_ptr_array_add(headers, g_strdup("Content-Type: application/json"));
	g_ptr_array_add(headers, g_strdup_printf("X-Request-Id: %s", a->_id));
	g_ptr_array_add(headers,
			g_strdup_printf("X-Weights-Version: %s", a->_weights));
	g_ptr_array_add(headers, g_strdup_printf("X-Cache-Salt: %016" PRIx64,
						 a->_desc.cache_salt));
	g_ptr_array_add(headers,
			g_strdup_printf("X-Event-Time: %" PRIu64, stamp));
}

static void up_engine_header(struct up_attempt *a, const char *name,
			     const char *value)
{
	if (!strcmp(name, "retry-after"))
		a->_pause_ms =
			MAX(h1_parse_delay_ms(value, FL_MAX_PAUSE_MS), 0);
	sd_header(&a->_decoder, name, value);
}

static void up_engine_data(struct up_attempt *a, uint32_t http_status,
			   const char *data, uint64_t bytes)
{
	if (http_status == 200) {
		sd_feed(&a->_decoder, data, bytes);
		return;
	}
	if (a->_error_body->len + bytes <= UP_MAX_ERROR_BYTES)
		g_string_append_len(a->_error_body, data, (gssize)bytes);
}

static void up_engine_set_fault(struct up_result *result, enum sd_fault fault)
{
	result->fault = fault;
	if (fault != SD_FINE)
		result->end = UP_FAULTY;
}

/* An answer is complete after [DONE]; later faults are ignored. */
static void up_engine_classify_stream(struct up_attempt *a,
				      struct up_result *result)
{
	struct sd_decoder *d = &a->_decoder;

	if (d->is_done) {
		result->end = UP_COMPLETE;
		return;
	}
	if (d->fault != SD_FINE) {
		up_engine_set_fault(result, d->fault);
		return;
	}
	/* A body that ends regularly but before [DONE] counts as broken. */
	if (result->end == UP_COMPLETE) {
		sd_end(d);
		up_engine_set_fault(result, d->fault);
		if (d->fault == SD_NOT_DONE)
			result->end = UP_BROKEN;
	}
}

static void up_engine_classify_plain(struct up_attempt *a,
				     const struct hc_result *answer,
				     struct up_result *result)
{
	if (result->end != UP_COMPLETE)
		return;
	up_engine_set_fault(result, sd_check_headers(&a->_decoder));
	if (result->fault != SD_FINE)
		return;
	a->_json = up_parse_json(answer->body, answer->body_bytes);
	if (!up_owns_answer(a, a->_json)) {
		up_engine_set_fault(result, SD_CROSSED);
		return;
	}
	result->json = a->_json;
}

static void up_engine_classify(struct up_attempt *a,
			       const struct hc_result *answer,
			       struct up_result *result)
{
	if (result->end == UP_COMPLETE && answer->http_status != 200) {
		result->end = UP_REFUSED;
		if (answer->http_status == 429 || answer->http_status == 503)
			result->pause_ms = a->_pause_ms;
		result->body = answer->body;
		result->body_bytes = answer->body_bytes;
		if (a->_desc.is_stream) {
			result->body = a->_error_body->str;
			result->body_bytes = a->_error_body->len;
		}
		return;
	}
	if (a->_desc.is_stream)
		up_engine_classify_stream(a, result);
	else
		up_engine_classify_plain(a, answer, result);
}

static void up_engine_stream_path(const struct up_attempt *a,
				  char path[UP_STREAM_PATH_BYTES])
{
	g_snprintf(path, UP_STREAM_PATH_BYTES, "/v1/streams/%s", a->_id);
}

/* Uses a new connection, since the old one may never deliver data again. */
static enum st_code up_engine_resume(struct up_attempt *a)
{
	const struct up_desc *desc = &a->_desc;
	struct hc_call_desc call = {
		.method = "GET",
		.first_byte_timeout_ms = desc->idle_timeout_ms,
		.idle_timeout_ms = desc->idle_timeout_ms,
		.total_timeout_ms = desc->total_timeout_ms,
		.fresh_connection = true,
	};
	char path[UP_STREAM_PATH_BYTES];
	char last[64];
	const char *headers[] = { last, "Accept: text/event-stream", NULL };

	up_engine_stream_path(a, path);
	g_snprintf(last, sizeof(last), "Last-Event-ID: %" PRIu64,
		   a->_decoder.last_sequence);
	return up_send(a, &call, path, headers);
}

static void up_engine_cancel(struct up_attempt *a)
{
	char path[UP_STREAM_PATH_BYTES];

	up_engine_stream_path(a, path);
	up_send_detached(a, "DELETE", path);
}

static const struct up_ops up_engine = {
	.name = "engine",
	.add_headers = up_engine_add_headers,
	.on_header = up_engine_header,
	.on_data = up_engine_data,
	.classify = up_engine_classify,
	.resume = up_engine_resume,
	.cancel = up_engine_cancel,
};
KN_REGISTER("upstream", "engine", up_engine)
