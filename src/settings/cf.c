#include "settings/cf.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/kn_registry.h"

#define CF_MAX_FILE_BYTES (4u << 20)
#define CF_MAX_DEPTH	  16
#define CF_PLACE_BYTES	  160

/** enum cf_type - type of a setting. */
enum cf_type {
	CF_NAME = 0,
	CF_IPV4,
	CF_URL,
	CF_PORT,
	CF_U32,
	CF_U64,
	CF_I64,
	CF_HEX
};

/**
 * struct cf_field - one setting of a section.
 * @key: key within the section.
 * @offset: offset in the section's struct.
 * @is_required: omitting the setting is a finding.
 * @min: minimum of a number.
 * @max: maximum of a number.
 * @default_number: default of a number.
 */
struct cf_field {
	const char *key;
	enum cf_type type;
	size_t offset;
	bool is_required;
	int64_t min;
	int64_t max;
	int64_t default_number;
};

#define CF_PORT_FIELD(key_, member_)                                           \
	{                                                                      \
		key_, CF_PORT, offsetof(struct cf_peer, member_), true, 1,     \
			65535, 0                                               \
	}

static const struct cf_field cf_host_fields[] = {
	{ "name", CF_NAME, offsetof(struct cf_peer, name), true, 0, 0, 0 },
	{ "zone", CF_NAME, offsetof(struct cf_peer, zone), true, 0, 0, 0 },
	{ "region", CF_NAME, offsetof(struct cf_peer, region), true, 0, 0, 0 },
	{ "address", CF_IPV4, offsetof(struct cf_peer, address), true, 0, 0,
	  0 },
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static const struct cf_field cf_entry_fields[] = {
	CF_PORT_FIELD("http_port", entry_http_port),
	CF_PORT_FIELD("rpc_port", entry_rpc_port),
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static const struct cf_field cf_index_fields[] = {
	CF_PORT_FIELD("http_port", index_http_port),
	CF_PORT_FIELD("rpc_port", index_rpc_port),
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static const struct cf_field cf_control_fields[] = {
	CF_PORT_FIELD("http_port", control_http_port),
	CF_PORT_FIELD("rpc_port", control_rpc_port),
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static const struct cf_field cf_peer_fields[] = {
	{ "name", CF_NAME, offsetof(struct cf_peer, name), true, 0, 0, 0 },
	{ "zone", CF_NAME, offsetof(struct cf_peer, zone), true, 0, 0, 0 },
	{ "region", CF_NAME, offsetof(struct cf_peer, region), true, 0, 0, 0 },
	{ "address", CF_IPV4, offsetof(struct cf_peer, address), true, 0, 0,
	  0 },
	CF_PORT_FIELD("entry_http_port", entry_http_port),
	CF_PORT_FIELD("entry_rpc_port", entry_rpc_port),
	CF_PORT_FIELD("index_http_port", index_http_port),
	CF_PORT_FIELD("index_rpc_port", index_rpc_port),
	CF_PORT_FIELD("control_http_port", control_http_port),
	CF_PORT_FIELD("control_rpc_port", control_rpc_port),
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static const struct cf_field cf_platform_fields[] = {
	{ "kind", CF_NAME, offsetof(struct cf_platform, kind), true, 0, 0, 0 },
	{ "tables_url", CF_URL, offsetof(struct cf_platform, tables_url), false,
	  0, 0, 0 },
	{ "objects_url", CF_URL, offsetof(struct cf_platform, objects_url),
	  false, 0, 0, 0 },
	{ "hosts_url", CF_URL, offsetof(struct cf_platform, hosts_url), false,
	  0, 0, 0 },
	{ "reads_per_s", CF_U32, offsetof(struct cf_platform, reads_per_s),
	  false, 1, 2000, 20 },
	{ "writes_per_s", CF_U32, offsetof(struct cf_platform, writes_per_s),
	  false, 1, 1000, 20 },
	{ NULL, 0, 0, false, 0, 0, 0 },
};

#define CF_LIMIT(member_, type_, min_, max_, default_)                         \
	{                                                                      \
#member_, type_, offsetof(struct cf_limits, member_), false,   \
			min_, max_, default_                                   \
	}

static const struct cf_field cf_limits_fields[] = {
	CF_LIMIT(max_body_bytes, CF_U64, 1024, 64 << 20, 8 << 20),
	CF_LIMIT(max_unfinished_bytes, CF_U64, 1 << 20, UINT32_MAX, 128 << 20),
	CF_LIMIT(max_running, CF_U32, 1, 100000, 2000),
	CF_LIMIT(max_waiting, CF_U32, 0, 100000, 2000),
	CF_LIMIT(max_waiting_bytes, CF_U64, 0, 1 << 30, 32 << 20),
	CF_LIMIT(max_wait_ms, CF_I64, 1, 3600000, 20000),
	CF_LIMIT(first_byte_timeout_ms, CF_I64, 10, 3600000, 30000),
	CF_LIMIT(idle_timeout_ms, CF_I64, 10, 3600000, 5000),
	CF_LIMIT(lookup_timeout_ms, CF_I64, 1, 1000, 3),
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static const struct cf_field cf_routing_fields[] = {
	{ "policy", CF_NAME, offsetof(struct cf_routing, policy), false, 0, 0,
	  0 },
	{ NULL, 0, 0, false, 0, 0, 0 },
};

static void cf_place(char *out, const char *section, const char *key)
{
	snprintf(out, CF_PLACE_BYTES, "%s/%s", section, key);
}

static void cf_read_text(char *out, size_t size, struct json_object *value,
			 const char *place, struct fd_list *findings)
{
	const char *text = json_object_get_string(value);

	if (!json_object_is_type(value, json_type_string)) {
		fd_add(findings, place, "is not a string");
		return;
	}
	if (!*text)
		fd_add(findings, place, "is empty");
	if (strlen(text) >= size) {
		fd_add(findings, place, "is longer than %zu bytes", size - 1);
		return;
	}
	g_strlcpy(out, text, size);
}

static void cf_read_ipv4(char *out, struct json_object *value,
			 const char *place, struct fd_list *findings)
{
	struct in_addr address;

	cf_read_text(out, CF_NAME_BYTES, value, place, findings);
	if (*out && inet_pton(AF_INET, out, &address) != 1)
		fd_add(findings, place, "'%s' is not an IPv4 address", out);
}

static void cf_read_url(char *out, struct json_object *value, const char *place,
			struct fd_list *findings)
{
	cf_read_text(out, CF_URL_BYTES, value, place, findings);
	if (*out && !g_str_has_prefix(out, "http://") &&
	    !g_str_has_prefix(out, "https://"))
		fd_add(findings, place, "'%s' is not an http or https URL",
		       out);
}

static int64_t cf_read_number(const struct cf_field *field,
			      struct json_object *value, const char *place,
			      struct fd_list *findings)
{
	int64_t number;

	if (!json_object_is_type(value, json_type_int)) {
		fd_add(findings, place, "is not an integer");
		return field->default_number;
	}
	number = json_object_get_int64(value);
	if (number < field->min || number > field->max)
		fd_add(findings, place,
		       "is %" PRId64 ", must be %" PRId64 " to %" PRId64,
		       number, field->min, field->max);
	return number;
}

static void cf_store_number(const struct cf_field *field, void *section,
			    int64_t number)
{
	char *at = (char *)section + field->offset;

	switch (field->type) {
	case CF_PORT:
		*(uint16_t *)at = (uint16_t)number;
		break;
	case CF_U32:
		*(uint32_t *)at = (uint32_t)number;
		break;
	case CF_U64:
		*(uint64_t *)at = (uint64_t)number;
		break;
	default:
		*(int64_t *)at = number;
	}
}

static bool cf_is_number(const struct cf_field *field)
{
	return field->type == CF_PORT || field->type == CF_U32 ||
	       field->type == CF_U64 || field->type == CF_I64;
}

static void cf_read_field(const struct cf_field *field, void *section,
			  struct json_object *value, const char *place,
			  struct fd_list *findings)
{
	char *at = (char *)section + field->offset;

	if (cf_is_number(field)) {
		cf_store_number(field, section,
				cf_read_number(field, value, place, findings));
		return;
	}
	if (field->type == CF_IPV4)
		cf_read_ipv4(at, value, place, findings);
	else if (field->type == CF_URL)
		cf_read_url(at, value, place, findings);
	else
		cf_read_text(at, CF_NAME_BYTES, value, place, findings);
}

static void cf_find_unknown(struct json_object *object, const char *section,
			    const struct cf_field *fields,
			    struct fd_list *findings)
{
	json_object_object_foreach(object, key, value)
	{
		const struct cf_field *f = fields;
		char place[CF_PLACE_BYTES];

		while (f->key && strcmp(f->key, key))
			f++;
		if (f->key)
			continue;
		cf_place(place, section, key);
		fd_add(findings, place, "is not a known setting");
	}
}

static void cf_read_section(struct json_object *object, const char *section,
			    const struct cf_field *fields, void *out,
			    struct fd_list *findings)
{
	if (object && !json_object_is_type(object, json_type_object)) {
		fd_add(findings, section, "is not an object");
		return;
	}
	for (const struct cf_field *f = fields; f->key; f++) {
		struct json_object *value = NULL;
		char place[CF_PLACE_BYTES];

		cf_place(place, section, f->key);
		if (cf_is_number(f))
			cf_store_number(f, out, f->default_number);
		if (object)
			json_object_object_get_ex(object, f->key, &value);
		if (value)
			cf_read_field(f, out, value, place, findings);
		else if (f->is_required)
			fd_add(findings, place, "is required");
	}
	if (object)
		cf_find_unknown(object, section, fields, findings);
}

static void cf_read_hex(uint8_t *out, struct json_object *root, const char *key,
			struct fd_list *findings)
{
	struct json_object *value = NULL;
	char place[CF_PLACE_BYTES];
	const char *text;

	cf_place(place, "", key);
	if (!json_object_object_get_ex(root, key, &value)) {
		fd_add(findings, place, "is required");
		return;
	}
	text = json_object_get_string(value);
	if (!json_object_is_type(value, json_type_string) ||
	    strlen(text) != (size_t)2 * CF_KEY_BYTES ||
	    strspn(text, "0123456789abcdefABCDEF") != strlen(text)) {
		fd_add(findings, place, "is not %d hexadecimal digits",
		       2 * CF_KEY_BYTES);
		return;
	}
	for (uint32_t i = 0; i < CF_KEY_BYTES; i++)
		out[i] = (uint8_t)(g_ascii_xdigit_value(text[2 * i]) << 4 |
				   g_ascii_xdigit_value(text[2 * i + 1]));
}

static void cf_check_duplicate_name(const struct cf_settings *settings,
				    uint32_t i, const char *place,
				    struct fd_list *findings)
{
	const struct cf_peer *peer = &settings->peers[i];

	for (uint32_t j = 0; j < i; j++)
		if (!strcmp(peer->name, settings->peers[j].name))
			fd_add(findings, place,
			       "has the same name '%s' as /peers/%u",
			       peer->name, j);
}

static void cf_read_peers(struct cf_settings *settings,
			  struct json_object *list, struct fd_list *findings)
{
	size_t count;

	if (!list)
		return;
	if (!json_object_is_type(list, json_type_array)) {
		fd_add(findings, "/peers", "is not a list");
		return;
	}
	count = json_object_array_length(list);
	if (count > CF_MAX_PEERS) {
		fd_add(findings, "/peers", "has more than %d entries",
		       CF_MAX_PEERS);
		return;
	}
	settings->peers = g_new0(struct cf_peer, count ? count : 1);
	settings->peer_count = (uint32_t)count;
	for (uint32_t i = 0; i < count; i++) {
		char place[CF_PLACE_BYTES];

		snprintf(place, sizeof(place), "/peers/%u", i);
		cf_read_section(json_object_array_get_idx(list, i), place,
				cf_peer_fields, &settings->peers[i], findings);
		cf_check_duplicate_name(settings, i, place, findings);
	}
}

static struct json_object *cf_get_section(struct json_object *root,
					  const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(root, key, &value);
	return value;
}

static void cf_check_platform(const struct cf_platform *platform,
			      struct fd_list *findings)
{
	if (strcmp(platform->kind, "http"))
		return;
	if (!*platform->tables_url)
		fd_add(findings, "/platform/tables_url", "is required");
	if (!*platform->hosts_url)
		fd_add(findings, "/platform/hosts_url", "is required");
}

static void cf_check_routing(struct cf_routing *routing,
			     struct fd_list *findings)
{
	if (!*routing->policy)
		g_strlcpy(routing->policy, CF_DEFAULT_POLICY,
			  sizeof(routing->policy));
	else if (!kn_plugin_find("policy", routing->policy))
		fd_add(findings, "/routing/policy",
		       "'%s' is not a known policy", routing->policy);
}

static void cf_read_root(struct cf_settings *settings, struct json_object *root,
			 struct fd_list *findings)
{
	static const struct cf_field sections[] = {
		{ "host", 0, 0, false, 0, 0, 0 },
		{ "entry", 0, 0, false, 0, 0, 0 },
		{ "index", 0, 0, false, 0, 0, 0 },
		{ "control", 0, 0, false, 0, 0, 0 },
		{ "peers", 0, 0, false, 0, 0, 0 },
		{ "platform", 0, 0, false, 0, 0, 0 },
		{ "limits", 0, 0, false, 0, 0, 0 },
		{ "routing", 0, 0, false, 0, 0, 0 },
		{ "rpc_key", 0, 0, false, 0, 0, 0 },
		{ "operator_key_sha256", 0, 0, false, 0, 0, 0 },
		{ NULL, 0, 0, false, 0, 0, 0 },
	};

	if (!json_object_is_type(root, json_type_object)) {
		fd_add(findings, "/", "is not an object");
		return;
	}
	cf_read_section(cf_get_section(root, "host"), "/host", cf_host_fields,
			&settings->self, findings);
	cf_read_section(cf_get_section(root, "entry"), "/entry",
			cf_entry_fields, &settings->self, findings);
	cf_read_section(cf_get_section(root, "index"), "/index",
			cf_index_fields, &settings->self, findings);
	cf_read_section(cf_get_section(root, "control"), "/control",
			cf_control_fields, &settings->self, findings);
	cf_read_section(cf_get_section(root, "platform"), "/platform",
			cf_platform_fields, &settings->platform, findings);
	cf_read_section(cf_get_section(root, "limits"), "/limits",
			cf_limits_fields, &settings->limits, findings);
	cf_read_section(cf_get_section(root, "routing"), "/routing",
			cf_routing_fields, &settings->routing, findings);
	cf_check_routing(&settings->routing, findings);
	cf_check_platform(&settings->platform, findings);
	cf_read_peers(settings, cf_get_section(root, "peers"), findings);
	cf_read_hex(settings->rpc_key, root, "rpc_key", findings);
	cf_read_hex(settings->operator_key_hash, root, "operator_key_sha256",
		    findings);
	cf_find_unknown(root, "", sections, findings);
}

/* Adds a finding with the line and column, from 1, of the byte at @offset. */
static void cf_add_syntax_error(const char *text, size_t offset,
				const char *what, struct fd_list *findings)
{
	uint32_t line = 1;
	uint32_t column = 1;
	char place[CF_PLACE_BYTES];

	for (size_t i = 0; i < offset && text[i]; i++) {
		column = text[i] == '\n' ? 1 : column + 1;
		line += text[i] == '\n';
	}
	snprintf(place, sizeof(place), "line %u, column %u", line, column);
	fd_add(findings, place, "%s", what);
}

/* Skips white space and comments; an unterminated comment is not skipped. */
static size_t cf_skip_space(const char *text, size_t at)
{
	for (;;) {
		at += strspn(text + at, " \t\r\n");
		if (g_str_has_prefix(text + at, "//")) {
			at += strcspn(text + at, "\n");
			continue;
		}
		if (g_str_has_prefix(text + at, "/*")) {
			const char *end = strstr(text + at + 2, "*/");

			if (!end)
				return at;
			at = (size_t)(end - text) + 2;
			continue;
		}
		return at;
	}
}

enum st_code cf_parse(struct cf_settings *settings, const char *text,
		      struct fd_list *findings)
{
	struct json_tokener *tokener = json_tokener_new_ex(CF_MAX_DEPTH);
	struct json_object *root;
	enum json_tokener_error error;
	size_t end;

	memset(settings, 0, sizeof(*settings));
	fd_init(findings);
	root = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
	error = json_tokener_get_error(tokener);
	end = json_tokener_get_parse_end(tokener);
	/* json-c accepts an unterminated comment at the end of the text. */
	if (end > strlen(text))
		error = json_tokener_error_parse_eof;
	if (error != json_tokener_success)
		cf_add_syntax_error(text, end, json_tokener_error_desc(error),
				    findings);
	else if (text[cf_skip_space(text, end)])
		cf_add_syntax_error(text, cf_skip_space(text, end),
				    "text after the end of the settings",
				    findings);
	else
		cf_read_root(settings, root, findings);
	json_object_put(root);
	json_tokener_free(tokener);
	if (findings->count)
		return st_fail(ST_INVALID, "settings have %u findings",
			       findings->count);
	return ST_OK;
}

enum st_code cf_load(struct cf_settings *settings, const char *path,
		     struct fd_list *findings)
{
	GError *error = NULL;
	enum st_code code;
	char *text;
	gsize bytes;

	memset(settings, 0, sizeof(*settings));
	fd_init(findings);
	if (!g_file_get_contents(path, &text, &bytes, &error)) {
		code = st_fail(ST_NOT_FOUND, "%s", error->message);
		g_error_free(error);
		return code;
	}
	if (bytes > CF_MAX_FILE_BYTES)
		code = st_fail(ST_INVALID, "%s is larger than %u bytes", path,
			       CF_MAX_FILE_BYTES);
	else
		code = cf_parse(settings, text, findings);
	g_free(text);
	return code;
}

void cf_finish(struct cf_settings *settings)
{
	g_free(settings->peers);
	memset(settings, 0, sizeof(*settings));
}
