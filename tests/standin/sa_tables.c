#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "sa_platform.h"

#define SA_NUMBER_BYTES 32

static void sa_row_free(void *data)
{
	struct sa_row *row = data;

	g_free(row->value);
	g_free(row);
}

static gint sa_row_compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	return strcmp(a, b);
}

void sa_tables_init(struct sa_tables *tables)
{
	*tables = (struct sa_tables){ .revision = 1 };
	tables->rows =
		g_tree_new_full(sa_row_compare, NULL, g_free, sa_row_free);
}

/* A base64 field as text; "" if it is missing. */
static char *sa_tables_decode(struct json_object *o, const char *key)
{
	gsize bytes;
	guchar *data = g_base64_decode(sa_text(o, key, ""), &bytes);
	char *text = g_strndup((char *)data, bytes);

	g_free(data);
	return text;
}

static void sa_tables_add_text(struct json_object *o, const char *key,
			       const char *text)
{
	char *base64 = g_base64_encode((const guchar *)text, strlen(text));

	json_object_object_add(o, key, json_object_new_string(base64));
	g_free(base64);
}

static void sa_tables_add_number(struct json_object *o, const char *key,
				 uint64_t number)
{
	char text[SA_NUMBER_BYTES];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	json_object_object_add(o, key, json_object_new_string(text));
}

static struct json_object *sa_tables_answer(const struct sa_tables *tables)
{
	struct json_object *o = json_object_new_object();
	struct json_object *header = json_object_new_object();

	sa_tables_add_number(header, "revision", tables->revision);
	json_object_object_add(o, "header", header);
	return o;
}

static struct json_object *sa_tables_kv(const char *key,
					const struct sa_row *row)
{
	struct json_object *kv = json_object_new_object();

	sa_tables_add_text(kv, "key", key);
	sa_tables_add_text(kv, "value", row->value);
	sa_tables_add_number(kv, "create_revision", row->created);
	sa_tables_add_number(kv, "mod_revision", row->changed);
	sa_tables_add_number(kv, "version", row->version);
	return kv;
}

/* One key without a range_end; every key from @key on if that is a zero. */
static bool sa_tables_in_range(const char *key, const char *first,
			       const char *end, bool has_end)
{
	if (!has_end)
		return !strcmp(key, first);
	return !*end || strcmp(key, end) < 0;
}

struct json_object *sa_tables_range(struct sa_tables *tables,
				    struct json_object *request)
{
	struct json_object *o = sa_tables_answer(tables);
	struct json_object *kvs = json_object_new_array();
	uint64_t limit = (uint64_t)sa_number(request, "limit", 0);
	uint64_t min = (uint64_t)sa_number(request, "min_mod_revision", 0);
	char *key = sa_tables_decode(request, "key");
	char *end = sa_tables_decode(request, "range_end");
	bool has_end = sa_member(request, "range_end") != NULL;
	uint64_t count = 0;

	tables->reads++;
	for (GTreeNode *n = g_tree_lower_bound(tables->rows, key); n;
	     n = g_tree_node_next(n)) {
		const struct sa_row *row = g_tree_node_value(n);

		if (!sa_tables_in_range(g_tree_node_key(n), key, end, has_end))
			break;
		if (row->changed < min)
			continue;
		if (!limit || count < limit)
			json_object_array_add(
				kvs, sa_tables_kv(g_tree_node_key(n), row));
		count++;
	}
	json_object_object_add(o, "kvs", kvs);
	sa_tables_add_number(o, "count", count);
	json_object_object_add(o, "more",
			       json_object_new_boolean(limit && count > limit));
	g_free(key);
	g_free(end);
	return o;
}

static bool sa_tables_holds(const struct sa_tables *tables,
			    struct json_object *compare)
{
	char *key = sa_tables_decode(compare, "key");
	const struct sa_row *row = g_tree_lookup(tables->rows, key);
	bool is_create = !strcmp(sa_text(compare, "target", ""), "CREATE");
	uint64_t actual = !row ? 0 : is_create ? row->created : row->changed;
	int64_t wanted = sa_number(
		compare, is_create ? "create_revision" : "mod_revision", 0);

	g_free(key);
	return actual == (uint64_t)wanted;
}

static bool sa_tables_all_hold(const struct sa_tables *tables,
			       struct json_object *compares)
{
	size_t count = compares ? json_object_array_length(compares) : 0;

	for (size_t i = 0; i < count; i++)
		if (!sa_tables_holds(tables,
				     json_object_array_get_idx(compares, i)))
			return false;
	return true;
}

static void sa_tables_put(struct sa_tables *tables, struct json_object *put,
			  uint64_t revision)
{
	char *key = sa_tables_decode(put, "key");
	const struct sa_row *old = g_tree_lookup(tables->rows, key);
	struct sa_row *row = g_new0(struct sa_row, 1);

	row->value = sa_tables_decode(put, "value");
	row->created = old ? old->created : revision;
	row->changed = revision;
	row->version = old ? old->version + 1 : 1;
	g_tree_replace(tables->rows, key, row);
}

static void sa_tables_delete(struct sa_tables *tables,
			     struct json_object *request)
{
	char *key = sa_tables_decode(request, "key");
	char *end = sa_tables_decode(request, "range_end");
	bool has_end = sa_member(request, "range_end") != NULL;
	GTreeNode *n;

	while ((n = g_tree_lower_bound(tables->rows, key)) &&
	       sa_tables_in_range(g_tree_node_key(n), key, end, has_end)) {
		char *found = g_strdup(g_tree_node_key(n));

		g_tree_remove(tables->rows, found);
		g_free(found);
	}
	g_free(key);
	g_free(end);
}

static bool sa_tables_is_write(struct json_object *operation)
{
	return sa_member(operation, "request_put") ||
	       sa_member(operation, "request_delete_range");
}

static struct json_object *sa_tables_operate(struct sa_tables *tables,
					     struct json_object *operation)
{
	struct json_object *response = json_object_new_object();
	struct json_object *put = sa_member(operation, "request_put");
	struct json_object *gone = sa_member(operation, "request_delete_range");
	struct json_object *range = sa_member(operation, "request_range");

	if (put) {
		sa_tables_put(tables, put, tables->revision);
		json_object_object_add(response, "response_put",
				       json_object_new_object());
	} else if (gone) {
		sa_tables_delete(tables, gone);
		json_object_object_add(response, "response_delete_range",
				       json_object_new_object());
	} else if (range) {
		json_object_object_add(response, "response_range",
				       sa_tables_range(tables, range));
	}
	return response;
}

struct json_object *sa_tables_txn(struct sa_tables *tables,
				  struct json_object *request, bool *is_write)
{
	bool holds = sa_tables_all_hold(tables, sa_member(request, "compare"));
	struct json_object *list =
		sa_member(request, holds ? "success" : "failure");
	size_t count = list ? json_object_array_length(list) : 0;
	struct json_object *responses = json_object_new_array();
	struct json_object *o;

	*is_write = false;
	for (size_t i = 0; i < count; i++)
		*is_write |=
			sa_tables_is_write(json_object_array_get_idx(list, i));
	tables->revision += *is_write;
	tables->writes++;
	tables->conflicts += !holds;
	for (size_t i = 0; i < count; i++)
		json_object_array_add(
			responses,
			sa_tables_operate(tables,
					  json_object_array_get_idx(list, i)));
	o = sa_tables_answer(tables);
	json_object_object_add(o, "succeeded", json_object_new_boolean(holds));
	json_object_object_add(o, "responses", responses);
	return o;
}

static gboolean sa_tables_add_key(gpointer key, gpointer row, gpointer list)
{
	json_object_array_add(list, json_object_new_string(key));
	return FALSE;
}

struct json_object *sa_tables_keys(const struct sa_tables *tables)
{
	struct json_object *list = json_object_new_array();

	g_tree_foreach(tables->rows, sa_tables_add_key, list);
	return list;
}
