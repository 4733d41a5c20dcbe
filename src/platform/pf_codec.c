#include "platform/pf_codec.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "kernel/mt.h"

#define PF_MAX_PORT 65535

MT_COUNTER(pf_bad_hosts, "balsampin_host_list_bad_entries_total",
	   "entries of the host list that could not be understood")

static void pf_add_base64(struct json_object *to, const char *field,
			  const char *data, size_t bytes)
{
	g_autofree char *text = g_base64_encode((const uint8_t *)data, bytes);

	json_object_object_add(to, field, json_object_new_string(text));
}

static void pf_add_text(struct json_object *to, const char *field,
			const char *text)
{
	pf_add_base64(to, field, text, strlen(text));
}

static void pf_add_u64(struct json_object *to, const char *field,
		       uint64_t number)
{
	g_autofree char *text = g_strdup_printf("%" PRIu64, number);

	json_object_object_add(to, field, json_object_new_string(text));
}

static struct json_object *pf_encode_check(const struct pf_check *check)
{
	struct json_object *json = json_object_new_object();
	bool is_absent = check->revision == 0;

	json_object_object_add(json, "result", json_object_new_string("EQUAL"));
	json_object_object_add(
		json, "target",
		json_object_new_string(is_absent ? "CREATE" : "MOD"));
	pf_add_text(json, "key", check->key);
	pf_add_u64(json, is_absent ? "create_revision" : "mod_revision",
		   check->revision);
	return json;
}

static struct json_object *pf_encode_put(const struct pf_put *put)
{
	struct json_object *json = json_object_new_object();
	struct json_object *operation = json_object_new_object();

	pf_add_text(operation, "key", put->key);
	if (put->value)
		pf_add_text(operation, "value", put->value);
	json_object_object_add(
		json, put->value ? "request_put" : "request_delete_range",
		operation);
	return json;
}

static char *pf_to_text(struct json_object *json)
{
	char *text = g_strdup(
		json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));

	json_object_put(json);
	return text;
}

char *pf_encode_txn(const struct pf_txn *txn)
{
	struct json_object *json = json_object_new_object();
	struct json_object *compare = json_object_new_array();
	struct json_object *success = json_object_new_array();

	for (uint32_t i = 0; i < txn->check_count; i++)
		json_object_array_add(compare,
				      pf_encode_check(&txn->checks[i]));
	for (uint32_t i = 0; i < txn->put_count; i++)
		json_object_array_add(success, pf_encode_put(&txn->puts[i]));
	json_object_object_add(json, "compare", compare);
	json_object_object_add(json, "success", success);
	return pf_to_text(json);
}

/* The key after the last one that starts with @prefix. */
static void pf_add_range_end(struct json_object *json, const char *prefix)
{
	size_t length = strlen(prefix);
	g_autofree char *end = g_strdup(prefix);

	while (length && (uint8_t)end[length - 1] == UINT8_MAX)
		length--;
	if (!length) {
		/* etcd's name for "every key from the first one on". */
		pf_add_base64(json, "range_end", "\0", 1);
		return;
	}
	end[length - 1]++;
	pf_add_base64(json, "range_end", end, length);
}

char *pf_encode_range(const struct pf_range *range)
{
	struct json_object *json = json_object_new_object();

	if (range->key) {
		pf_add_text(json, "key", range->key);
	} else if (!*range->prefix) {
		pf_add_base64(json, "key", "\0", 1);
		pf_add_range_end(json, "");
	} else {
		pf_add_text(json, "key", range->prefix);
		pf_add_range_end(json, range->prefix);
	}
	if (range->min_revision)
		pf_add_u64(json, "min_mod_revision", range->min_revision);
	if (range->limit)
		pf_add_u64(json, "limit", range->limit);
	return pf_to_text(json);
}

static uint64_t pf_get_u64(struct json_object *json, const char *field)
{
	struct json_object *value;

	if (!json_object_object_get_ex(json, field, &value))
		return 0;
	return g_ascii_strtoull(json_object_get_string(value), NULL, 10);
}

static struct json_object *pf_parse(const char *text, enum json_type type)
{
	struct json_object *json = json_tokener_parse(text);

	if (json_object_is_type(json, type))
		return json;
	json_object_put(json);
	return NULL;
}

/* The store's revision, 0 if the answer is not one of the store's. */
static uint64_t pf_get_revision(struct json_object *json)
{
	struct json_object *header;

	if (!json_object_object_get_ex(json, "header", &header))
		return 0;
	return pf_get_u64(header, "revision");
}

bool pf_decode_txn(const char *text, bool *succeeded, uint64_t *revision)
{
	struct json_object *json = pf_parse(text, json_type_object);
	struct json_object *value = NULL;

	if (!json)
		return false;
	*revision = pf_get_revision(json);
	json_object_object_get_ex(json, "succeeded", &value);
	*succeeded = json_object_get_boolean(value);
	json_object_put(json);
	return *revision != 0;
}

static char *pf_get_base64(struct json_object *json, const char *field)
{
	struct json_object *value;
	size_t bytes;
	g_autofree uint8_t *data = NULL;

	if (!json_object_object_get_ex(json, field, &value))
		return g_strdup("");
	data = g_base64_decode(json_object_get_string(value), &bytes);
	return g_strndup((const char *)data, bytes);
}

static void pf_free_row(void *p)
{
	struct pf_row *row = p;

	g_free((char *)row->key);
	g_free((char *)row->value);
}

bool pf_decode_range(const char *text, struct pf_decoded_rows *out)
{
	struct json_object *json = pf_parse(text, json_type_object);
	struct json_object *kvs = NULL;
	size_t count = 0;

	memset(out, 0, sizeof(*out));
	if (!json)
		return false;
	out->_items = g_array_new(false, true, sizeof(struct pf_row));
	g_array_set_clear_func(out->_items, pf_free_row);
	if (json_object_object_get_ex(json, "kvs", &kvs) &&
	    json_object_is_type(kvs, json_type_array))
		count = json_object_array_length(kvs);
	for (size_t i = 0; i < count; i++) {
		struct json_object *kv = json_object_array_get_idx(kvs, i);
		struct pf_row row = {
			.key = pf_get_base64(kv, "key"),
			.value = pf_get_base64(kv, "value"),
			.revision = pf_get_u64(kv, "mod_revision"),
			.created = pf_get_u64(kv, "create_revision"),
		};

		g_array_append_val(out->_items, row);
	}
	out->rows.rows = (const struct pf_row *)out->_items->data;
	out->rows.count = out->_items->len;
	out->rows.store_revision = pf_get_revision(json);
	json_object_put(json);
	return out->rows.store_revision != 0;
}

void pf_decoded_rows_finish(struct pf_decoded_rows *rows)
{
	if (rows->_items)
		g_array_unref(rows->_items);
	memset(rows, 0, sizeof(*rows));
}

static const char *pf_label(struct json_object *labels, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(labels, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "";
	return json_object_get_string(value);
}

static uint16_t pf_port(const char *text)
{
	uint64_t port = g_ascii_strtoull(text, NULL, 10);

	return port <= PF_MAX_PORT ? (uint16_t)port : 0;
}

static bool pf_decode_target(const char *target, struct pf_host *host)
{
	const char *colon = strrchr(target, ':');
	g_autofree char *address = NULL;
	struct in_addr ipv4;

	if (!colon)
		return false;
	address = g_strndup(target, colon - target);
	if (inet_pton(AF_INET, address, &ipv4) != 1)
		return false;
	host->ipv4 = ntohl(ipv4.s_addr);
	host->port = pf_port(colon + 1);
	return host->port != 0;
}

static bool pf_decode_kind(const char *text, uint32_t *kind)
{
	static const char *const names[] = { "entry", "engine", "service" };

	for (uint32_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], text))
			continue;
		*kind = i;
		return true;
	}
	return false;
}

static bool pf_decode_labels(struct json_object *labels, struct pf_host *host)
{
	const char *state = pf_label(labels, "state");

	if (g_strlcpy(host->name, pf_label(labels, "name"),
		      sizeof(host->name)) >= sizeof(host->name) ||
	    !*host->name)
		return false;
	g_strlcpy(host->service, pf_label(labels, "service"),
		  sizeof(host->service));
	g_strlcpy(host->zone, pf_label(labels, "zone"), sizeof(host->zone));
	g_strlcpy(host->region, pf_label(labels, "region"),
		  sizeof(host->region));
	host->entry_http_port = pf_port(pf_label(labels, "entry_http"));
	host->entry_rpc_port = pf_port(pf_label(labels, "entry_rpc"));
	host->index_rpc_port = pf_port(pf_label(labels, "index_rpc"));
	host->control_rpc_port = pf_port(pf_label(labels, "control_rpc"));
	host->is_leaving = !strcmp(state, "leaving");
	return pf_decode_kind(pf_label(labels, "kind"), &host->kind);
}

static bool pf_decode_group(struct json_object *group, GArray *out)
{
	struct json_object *targets;
	struct json_object *labels;
	struct pf_host host = { 0 };

	if (!json_object_object_get_ex(group, "targets", &targets) ||
	    !json_object_is_type(targets, json_type_array) ||
	    json_object_array_length(targets) != 1 ||
	    !json_object_object_get_ex(group, "labels", &labels))
		return false;
	if (!pf_decode_labels(labels, &host) ||
	    !pf_decode_target(json_object_get_string(
				      json_object_array_get_idx(targets, 0)),
			      &host))
		return false;
	g_array_append_val(out, host);
	return true;
}

GArray *pf_decode_hosts(const char *text)
{
	struct json_object *json = pf_parse(text, json_type_array);
	GArray *out;

	if (!json)
		return NULL;
	out = g_array_new(false, true, sizeof(struct pf_host));
	for (size_t i = 0; i < json_object_array_length(json); i++)
		if (!pf_decode_group(json_object_array_get_idx(json, i), out))
			mt_add(&pf_bad_hosts, 1);
	json_object_put(json);
	return out;
}
