#include "once/on_row.h"

#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

#define ON_HASH_RAW_BYTES 32

G_STATIC_ASSERT(ON_HASH_BYTES == 2 * ON_HASH_RAW_BYTES + 1);

void on_row_finish(struct on_row *row)
{
	if (row->body)
		g_string_free(row->body, TRUE);
	memset(row, 0, sizeof(*row));
}

char *on_row_key(const char *team, const char *service, const char *key)
{
	char *escaped_team = g_uri_escape_string(team, NULL, FALSE);
	char *escaped_service = g_uri_escape_string(service, NULL, FALSE);
	char *escaped_key = g_uri_escape_string(key, NULL, FALSE);
	char *out = g_strdup_printf("once/%s/%s/%s", escaped_team,
				    escaped_service, escaped_key);

	g_free(escaped_team);
	g_free(escaped_service);
	g_free(escaped_key);
	return out;
}

/* The terminating NUL separates the text from the one that follows. */
static void on_hash_text(crypto_generichash_state *state, const char *text)
{
	crypto_generichash_update(state, (const uint8_t *)text,
				  strlen(text) + 1);
}

void on_row_hash(char hash[ON_HASH_BYTES], const char *method, const char *path,
		 const void *body, uint64_t bytes)
{
	crypto_generichash_state state;
	uint8_t raw[ON_HASH_RAW_BYTES];

	crypto_generichash_init(&state, NULL, 0, sizeof(raw));
	on_hash_text(&state, method);
	on_hash_text(&state, path);
	crypto_generichash_update(&state, body, bytes);
	crypto_generichash_final(&state, raw, sizeof(raw));
	sodium_bin2hex(hash, ON_HASH_BYTES, raw, sizeof(raw));
}

void on_row_set_answer(struct on_row *row, uint32_t status,
		       const char *content_type, const void *body,
		       uint64_t bytes)
{
	row->is_answered = true;
	row->status = status;
	g_strlcpy(row->content_type, content_type ? content_type : "",
		  sizeof(row->content_type));
	row->is_too_large = bytes > ON_MAX_KEPT_BYTES;
	if (row->body)
		g_string_free(row->body, TRUE);
	row->body = row->is_too_large ? NULL
				      : g_string_new_len(body, (gssize)bytes);
}

static void on_add_text(struct json_object *json, const char *key,
			const char *text)
{
	json_object_object_add(json, key, json_object_new_string(text));
}

static void on_add_answer(struct json_object *json, const struct on_row *row)
{
	char *encoded;

	json_object_object_add(json, "status",
			       json_object_new_int64(row->status));
	on_add_text(json, "content_type", row->content_type);
	json_object_object_add(json, "is_too_large",
			       json_object_new_boolean(row->is_too_large));
	if (!row->body)
		return;
	encoded =
		g_base64_encode((const guchar *)row->body->str, row->body->len);
	on_add_text(json, "body", encoded);
	g_free(encoded);
}

char *on_row_format(const struct on_row *row)
{
	struct json_object *json = json_object_new_object();
	char *out;

	on_add_text(json, "attempt", row->attempt);
	on_add_text(json, "hash", row->hash);
	on_add_text(json, "entry", row->entry);
	json_object_object_add(json, "claimed_ms",
			       json_object_new_int64(row->claimed_ms));
	on_add_text(json, "state", row->is_answered ? "answered" : "claimed");
	if (row->is_answered)
		on_add_answer(json, row);
	out = g_strdup(json_object_to_json_string_ext(
		json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(json);
	return out;
}

/* False if @key is missing, not a string, or too long for @out. */
static bool on_get_text(struct json_object *json, const char *key, char *out,
			size_t size)
{
	struct json_object *field;

	if (!json_object_object_get_ex(json, key, &field) ||
	    !json_object_is_type(field, json_type_string))
		return false;
	return g_strlcpy(out, json_object_get_string(field), size) < size;
}

static void on_get_answer(struct on_row *row, struct json_object *json)
{
	struct json_object *field;
	gsize bytes = 0;
	guchar *body;

	if (json_object_object_get_ex(json, "status", &field))
		row->status = (uint32_t)json_object_get_int64(field);
	on_get_text(json, "content_type", row->content_type,
		    sizeof(row->content_type));
	if (!json_object_object_get_ex(json, "body", &field)) {
		row->is_too_large = true;
		return;
	}
	body = g_base64_decode(json_object_get_string(field), &bytes);
	row->body = g_string_new_len((const char *)body, (gssize)bytes);
	g_free(body);
}

enum st_code on_row_parse(struct on_row *row, const char *text,
			  uint64_t revision)
{
	struct json_object *json = json_tokener_parse(text);
	struct json_object *field;
	char state[16] = "";
	bool is_valid;

	memset(row, 0, sizeof(*row));
	row->revision = revision;
	is_valid = on_get_text(json, "attempt", row->attempt,
			       sizeof(row->attempt)) &&
		   on_get_text(json, "hash", row->hash, sizeof(row->hash)) &&
		   on_get_text(json, "state", state, sizeof(state));
	on_get_text(json, "entry", row->entry, sizeof(row->entry));
	if (json_object_object_get_ex(json, "claimed_ms", &field))
		row->claimed_ms = json_object_get_int64(field);
	row->is_answered = !strcmp(state, "answered");
	if (is_valid && row->is_answered)
		on_get_answer(row, json);
	json_object_put(json);
	if (!is_valid)
		return st_fail(
			ST_INVALID,
			"at-most-once row lacks a valid attempt, hash or state");
	return ST_OK;
}
