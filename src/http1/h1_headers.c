#include "http1/h1_headers.h"

#include <malloc.h>
#include <string.h>

#include "kernel/ba.h"

/* Fields that are cleared keep memory up to this. */
#define H1_KEPT_FIELDS_BYTES (2u << 10)

struct h1_offsets {
	uint32_t name;
	uint32_t value;
};

void h1_headers_init(struct h1_headers *headers)
{
	headers->_text = g_string_sized_new(512);
	headers->_offsets =
		g_array_sized_new(FALSE, FALSE, sizeof(struct h1_offsets), 16);
}

void h1_headers_finish(struct h1_headers *headers)
{
	if (!headers->_text)
		return;
	g_string_free(headers->_text, TRUE);
	g_array_free(headers->_offsets, TRUE);
	headers->_text = NULL;
	headers->_offsets = NULL;
}

void h1_headers_clear(struct h1_headers *headers)
{
	if (h1_headers_bytes(headers) > H1_KEPT_FIELDS_BYTES) {
		h1_headers_finish(headers);
		h1_headers_init(headers);
		return;
	}
	g_string_truncate(headers->_text, 0);
	g_array_set_size(headers->_offsets, 0);
}

uint64_t h1_headers_bytes(const struct h1_headers *headers)
{
	return ba_text_bytes(headers->_text) +
	       malloc_usable_size(headers->_offsets->data);
}

void h1_headers_add(struct h1_headers *headers, const char *name,
		    const char *value)
{
	struct h1_offsets at;

	at.name = headers->_text->len;
	g_string_append_len(headers->_text, name, strlen(name) + 1);
	at.value = headers->_text->len;
	g_string_append_len(headers->_text, value, strlen(value) + 1);
	g_array_append_val(headers->_offsets, at);
}

const char *h1_headers_name(const struct h1_headers *headers, uint32_t i)
{
	return headers->_text->str +
	       g_array_index(headers->_offsets, struct h1_offsets, i).name;
}

const char *h1_headers_value(const struct h1_headers *headers, uint32_t i)
{
	return headers->_text->str +
	       g_array_index(headers->_offsets, struct h1_offsets, i).value;
}

const char *h1_headers_get(const struct h1_headers *headers, const char *name)
{
	for (uint32_t i = 0; i < h1_headers_count(headers); i++)
		if (!g_ascii_strcasecmp(h1_headers_name(headers, i), name))
			return h1_headers_value(headers, i);
	return NULL;
}

static bool h1_lists(const char *list, const char *name)
{
	size_t bytes = strlen(name);

	while (*list) {
		list += strspn(list, ", \t");
		if (!g_ascii_strncasecmp(list, name, bytes) &&
		    (!list[bytes] || strchr(", \t", list[bytes])))
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool h1_headers_is_hop(const struct h1_headers *headers, const char *name)
{
	static const char *const hop[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"Expect",
		"Content-Length",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(hop[i], name))
			return true;
	for (uint32_t i = 0; i < h1_headers_count(headers); i++)
		if (!g_ascii_strcasecmp(h1_headers_name(headers, i),
					"Connection") &&
		    h1_lists(h1_headers_value(headers, i), name))
			return true;
	return false;
}

void h1_headers_print(const struct h1_headers *headers, GString *out)
{
	for (uint32_t i = 0; i < h1_headers_count(headers); i++) {
		g_string_append(out, h1_headers_name(headers, i));
		g_string_append_len(out, ": ", 2);
		g_string_append(out, h1_headers_value(headers, i));
		g_string_append_len(out, "\r\n", 2);
	}
}

int64_t h1_parse_delay_ms(const char *value, int64_t max_ms)
{
	char *end;
	double delay_ms = g_ascii_strtod(value, &end) * 1000;

	/* Not a number compares false with all. */
	if (end == value || *end || !(delay_ms >= 0 && delay_ms <= max_ms))
		return -1;
	return (int64_t)(delay_ms + 0.5);
}
