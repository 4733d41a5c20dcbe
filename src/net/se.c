#include "net/se.h"

#include <string.h>

void se_init(struct se_parser *parser, const struct se_desc *desc)
{
	*parser = (struct se_parser){ ._desc = *desc };
	if (!parser->_desc.max_event_bytes)
		parser->_desc.max_event_bytes = SE_DEFAULT_MAX_EVENT_BYTES;
	parser->_line = g_string_new(NULL);
	parser->_data = g_string_new(NULL);
}

void se_finish(struct se_parser *parser)
{
	g_string_free(parser->_line, TRUE);
	g_string_free(parser->_data, TRUE);
	parser->_line = NULL;
	parser->_data = NULL;
}

static void se_clear_event(struct se_parser *parser)
{
	g_string_truncate(parser->_data, 0);
	parser->_type[0] = '\0';
	parser->_has_own_id = false;
	parser->_has_data = false;
}

void se_reset(struct se_parser *parser)
{
	g_string_truncate(parser->_line, 0);
	se_clear_event(parser);
	parser->_id[0] = '\0';
	parser->_is_after_cr = false;
}

static void se_give_out(struct se_parser *parser)
{
	struct se_event event = {
		.id = parser->_id,
		.has_own_id = parser->_has_own_id,
		.type = *parser->_type ? parser->_type : "message",
		.data = parser->_data->str,
		.bytes = parser->_data->len,
	};

	if (parser->_has_data)
		parser->_desc.on_event(parser->_desc.arg, &event);
	se_clear_event(parser);
}

static void se_take_field(struct se_parser *parser, const char *name,
			  const char *value)
{
	if (!strcmp(name, "id")) {
		g_strlcpy(parser->_id, value, sizeof(parser->_id));
		parser->_has_own_id = true;
	} else if (!strcmp(name, "event")) {
		g_strlcpy(parser->_type, value, sizeof(parser->_type));
	} else if (!strcmp(name, "data")) {
		if (parser->_has_data)
			g_string_append_c(parser->_data, '\n');
		g_string_append(parser->_data, value);
		parser->_has_data = true;
	}
}

static void se_take_line(struct se_parser *parser)
{
	char *line = parser->_line->str;
	char *colon = strchr(line, ':');
	char *value = "";

	if (!*line) {
		se_give_out(parser);
		return;
	}
	if (colon) {
		*colon = '\0';
		value = colon + 1;
		if (*value == ' ')
			value++;
	}
	/* A line that begins with the colon is a comment: its name is "". */
	se_take_field(parser, line, value);
	g_string_truncate(parser->_line, 0);
}

static uint64_t se_line_bytes(const char *data, uint64_t bytes)
{
	uint64_t i = 0;

	while (i < bytes && data[i] != '\n' && data[i] != '\r')
		i++;
	return i;
}

bool se_feed(struct se_parser *parser, const char *data, uint64_t bytes)
{
	const char *end = data + bytes;

	while (data < end) {
		uint64_t n;

		if (parser->_is_after_cr && *data == '\n')
			data++;
		parser->_is_after_cr = false;
		n = se_line_bytes(data, (uint64_t)(end - data));
		g_string_append_len(parser->_line, data, (gssize)n);
		if (parser->_line->len + parser->_data->len >
		    parser->_desc.max_event_bytes)
			return false;
		data += n;
		if (data == end)
			break;
		parser->_is_after_cr = *data++ == '\r';
		se_take_line(parser);
	}
	return true;
}
