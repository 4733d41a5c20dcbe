/*
 * The platform over HTTP: etcd's v3 JSON gateway, S3 objects, host list.
 *
 * A transaction goes on a connection of its own: libcurl repeats a request
 * whose reused connection turns out to be closed, and a compare-and-set that
 * took effect the first time would then be reported as a conflict.
 */
#include <glib.h>
#include <string.h>

#include "kernel/kn_registry.h"
#include "net/hc.h"
#include "platform/pf.h"
#include "platform/pf_codec.h"

enum {
	PF_HTTP_OK = 200,
	PF_HTTP_FIRST_ERROR = 300,
	PF_HTTP_NOT_FOUND = 404,
	PF_HTTP_REQUEST_TIMEOUT = 408,
	PF_HTTP_PRECONDITION_FAILED = 412,
	PF_HTTP_TOO_MANY = 429,
	PF_HTTP_FIRST_CLIENT_ERROR = 400,
	PF_HTTP_FIRST_SERVER_ERROR = 500
};

struct pf_http {
	struct hc_client client;
	char *tables_url;
	char *objects_url;
	char *hosts_url;
	GHashTable *calls;
};

struct pf_http_call {
	struct pf_http *http;
	bool is_write;
	pf_txn_fn txn_fn;
	pf_rows_fn rows_fn;
	pf_hosts_fn hosts_fn;
	pf_object_fn object_fn;
	void *arg;
};

static const char *const pf_json_headers[] = { "Content-Type: application/json",
					       "Expect:", NULL };

static enum st_code pf_http_init(void **impl, const struct pf_desc *desc)
{
	struct pf_http *http;
	enum st_code code;

	if (!desc->tables_url || !desc->hosts_url)
		return st_fail(ST_INVALID,
			       "tables_url and hosts_url are required");
	http = g_new0(struct pf_http, 1);
	code = hc_init(&http->client, &(struct hc_desc){ .loop = desc->loop });
	if (code != ST_OK) {
		g_free(http);
		return code;
	}
	http->tables_url = g_strdup(desc->tables_url);
	http->objects_url = g_strdup(desc->objects_url);
	http->hosts_url = g_strdup(desc->hosts_url);
	http->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	*impl = http;
	return ST_OK;
}

static void pf_http_finish(void *impl)
{
	struct pf_http *http = impl;

	hc_finish(&http->client);
	g_hash_table_destroy(http->calls);
	g_free(http->tables_url);
	g_free(http->objects_url);
	g_free(http->hosts_url);
	g_free(http);
}

/*
 * What a call without a usable answer did at the platform. A server error may
 * hide an effect: etcd answers 503 also when a proposal timed out that may
 * still be committed.
 */
static enum st_code pf_http_failure(const struct pf_http_call *call,
				    const struct hc_result *result)
{
	uint32_t status = result->http_status;
	bool is_refused = result->outcome == HC_DONE &&
			  status >= PF_HTTP_FIRST_CLIENT_ERROR &&
			  status < PF_HTTP_FIRST_SERVER_ERROR &&
			  status != PF_HTTP_REQUEST_TIMEOUT;

	if (is_refused && status != PF_HTTP_TOO_MANY)
		return st_fail(ST_INVALID, "the platform answered %u: %.200s",
			       status, result->body);
	if (is_refused || !call->is_write || !result->maybe_sent)
		return st_fail(ST_UNAVAILABLE, "platform: %s (%u)",
			       result->message ? result->message : "error",
			       status);
	return st_fail(ST_UNKNOWN, "platform: the answer was lost: %s (%u)",
		       result->message ? result->message : "error", status);
}

static bool pf_http_is_ok(const struct hc_result *result)
{
	return result->outcome == HC_DONE &&
	       result->http_status >= PF_HTTP_OK &&
	       result->http_status < PF_HTTP_FIRST_ERROR;
}

static void pf_http_end_txn(struct pf_http_call *call,
			    const struct hc_result *result)
{
	bool succeeded = false;
	uint64_t revision = 0;
	enum st_code code;

	if (!pf_http_is_ok(result) ||
	    !pf_decode_txn(result->body, &succeeded, &revision))
		code = pf_http_failure(call, result);
	else
		code = succeeded ? ST_OK
				 : st_fail(ST_CONFLICT,
					   "a row has changed meanwhile");
	call->txn_fn(call->arg, code, revision);
}

static void pf_http_end_range(struct pf_http_call *call,
			      const struct hc_result *result)
{
	struct pf_decoded_rows rows = { 0 };

	if (pf_http_is_ok(result) && pf_decode_range(result->body, &rows))
		call->rows_fn(call->arg, ST_OK, &rows.rows);
	else
		call->rows_fn(call->arg, pf_http_failure(call, result), NULL);
	pf_decoded_rows_finish(&rows);
}

static void pf_http_end_hosts(struct pf_http_call *call,
			      const struct hc_result *result)
{
	GArray *hosts = NULL;

	if (pf_http_is_ok(result))
		hosts = pf_decode_hosts(result->body);
	if (!hosts) {
		call->hosts_fn(call->arg, pf_http_failure(call, result), NULL,
			       0);
		return;
	}
	call->hosts_fn(call->arg, ST_OK, (const struct pf_host *)hosts->data,
		       hosts->len);
	g_array_unref(hosts);
}

static void pf_http_end_get(struct pf_http_call *call,
			    const struct hc_result *result)
{
	enum st_code code;

	if (pf_http_is_ok(result)) {
		call->object_fn(call->arg, ST_OK, result->body,
				result->body_bytes);
		return;
	}
	if (result->outcome == HC_DONE &&
	    result->http_status == PF_HTTP_NOT_FOUND)
		code = st_fail(ST_NOT_FOUND, "no such object");
	else
		code = pf_http_failure(call, result);
	call->object_fn(call->arg, code, NULL, 0);
}

static void pf_http_end_put(struct pf_http_call *call,
			    const struct hc_result *result)
{
	enum st_code code = ST_OK;

	if (result->outcome == HC_DONE &&
	    result->http_status == PF_HTTP_PRECONDITION_FAILED)
		code = st_fail(ST_CONFLICT, "the object exists");
	else if (!pf_http_is_ok(result))
		code = pf_http_failure(call, result);
	call->txn_fn(call->arg, code, 0);
}

typedef void (*pf_http_end_fn)(struct pf_http_call *call,
			       const struct hc_result *result);

static void pf_http_end(void *arg, const struct hc_result *result,
			pf_http_end_fn end)
{
	struct pf_http_call *call = arg;

	g_hash_table_steal(call->http->calls, call);
	end(call, result);
	g_free(call);
}

static void pf_http_txn_done(void *arg, const struct hc_result *result)
{
	pf_http_end(arg, result, pf_http_end_txn);
}

static void pf_http_range_done(void *arg, const struct hc_result *result)
{
	pf_http_end(arg, result, pf_http_end_range);
}

static void pf_http_hosts_done(void *arg, const struct hc_result *result)
{
	pf_http_end(arg, result, pf_http_end_hosts);
}

static void pf_http_get_done(void *arg, const struct hc_result *result)
{
	pf_http_end(arg, result, pf_http_end_get);
}

static void pf_http_put_done(void *arg, const struct hc_result *result)
{
	pf_http_end(arg, result, pf_http_end_put);
}

static enum st_code pf_http_send(struct pf_http *http,
				 const struct pf_http_call *what,
				 struct hc_call_desc *desc)
{
	struct pf_http_call *call = g_memdup2(what, sizeof(*what));
	enum st_code code;

	call->http = http;
	desc->arg = call;
	desc->fresh_connection = call->is_write;
	if (!desc->total_timeout_ms)
		desc->total_timeout_ms = PF_DEFAULT_TIMEOUT_MS;
	code = hc_send(&http->client, desc, NULL);
	if (code == ST_OK)
		g_hash_table_add(http->calls, call);
	else
		g_free(call);
	return code;
}

static enum st_code pf_http_txn(void *impl, const struct pf_txn *txn,
				pf_txn_fn fn, void *arg)
{
	struct pf_http *http = impl;
	g_autofree char *url =
		g_strdup_printf("%s/v3/kv/txn", http->tables_url);
	g_autofree char *body = pf_encode_txn(txn);

	return pf_http_send(
		http,
		&(struct pf_http_call){ .txn_fn = fn,
					.arg = arg,
					.is_write = txn->put_count > 0 },
		&(struct hc_call_desc){ .method = "POST",
					.url = url,
					.headers = pf_json_headers,
					.body = body,
					.body_bytes = strlen(body),
					.total_timeout_ms = txn->timeout_ms,
					.on_done = pf_http_txn_done });
}

static enum st_code pf_http_range(void *impl, const struct pf_range *range,
				  pf_rows_fn fn, void *arg)
{
	struct pf_http *http = impl;
	g_autofree char *url =
		g_strdup_printf("%s/v3/kv/range", http->tables_url);
	g_autofree char *body = pf_encode_range(range);

	return pf_http_send(
		http, &(struct pf_http_call){ .rows_fn = fn, .arg = arg },
		&(struct hc_call_desc){ .method = "POST",
					.url = url,
					.headers = pf_json_headers,
					.body = body,
					.body_bytes = strlen(body),
					.total_timeout_ms = range->timeout_ms,
					.on_done = pf_http_range_done });
}

static enum st_code pf_http_hosts(void *impl, pf_hosts_fn fn, void *arg)
{
	struct pf_http *http = impl;

	return pf_http_send(
		http, &(struct pf_http_call){ .hosts_fn = fn, .arg = arg },
		&(struct hc_call_desc){ .url = http->hosts_url,
					.on_done = pf_http_hosts_done });
}

static enum st_code pf_http_object_get(void *impl, const char *key,
				       pf_object_fn fn, void *arg)
{
	struct pf_http *http = impl;
	g_autofree char *url = NULL;

	if (!http->objects_url)
		return st_fail(ST_INVALID, "objects_url is not set");
	url = g_strdup_printf("%s/%s", http->objects_url, key);
	return pf_http_send(
		http, &(struct pf_http_call){ .object_fn = fn, .arg = arg },
		&(struct hc_call_desc){ .url = url,
					.on_done = pf_http_get_done });
}

static enum st_code pf_http_object_put(void *impl, const char *key,
				       const void *data, uint64_t bytes,
				       pf_txn_fn fn, void *arg)
{
	struct pf_http *http = impl;
	g_autofree char *url = NULL;

	if (!http->objects_url)
		return st_fail(ST_INVALID, "objects_url is not set");
	url = g_strdup_printf("%s/%s", http->objects_url, key);
	return pf_http_send(
		http,
		&(struct pf_http_call){
			.txn_fn = fn, .arg = arg, .is_write = true },
		&(struct hc_call_desc){ .method = "PUT",
					.url = url,
					.body = data ? data : "",
					.body_bytes = bytes,
					.on_done = pf_http_put_done });
}

static const struct pf_ops pf_http_ops = {
	.init = pf_http_init,
	.finish = pf_http_finish,
	.txn = pf_http_txn,
	.range = pf_http_range,
	.hosts = pf_http_hosts,
	.object_get = pf_http_object_get,
	.object_put = pf_http_object_put,
};
KN_REGISTER("platform", "http", pf_http_ops)
