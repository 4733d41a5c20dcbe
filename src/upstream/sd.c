#include "upstream/sd.h"

#include <string.h>

static const char *const sd_fault_names[SD_FAULT_COUNT] = {
	[SD_FINE] = "fine",
	[SD_GAP] = "gap",
	[SD_NO_NUMBER] = "no_number",
	[SD_NOT_DONE] = "not_done",
	[SD_AFTER_DONE] = "after_done",
	[SD_TOO_LARGE] = "too_large",
	[SD_WRONG_WEIGHTS] = "wrong_weights",
	[SD_WRONG_INCARNATION] = "wrong_incarnation",
	[SD_CROSSED] = "crossed",
	[SD_ERROR] = "error",
};

const char *sd_fault_name(enum sd_fault fault)
{
	return sd_fault_names[fault];
}

static void sd_fail(struct sd_decoder *d, enum sd_fault fault)
{
	if (d->fault == SD_FINE)
		d->fault = fault;
}

void sd_init(struct sd_decoder *d, const struct sd_desc *desc)
{
	memset(d, 0, sizeof(*d));
	d->_desc = *desc;
	d->_weights = g_strdup(desc->weights);
	d->incarnation = desc->incarnation;
	d->_line = g_string_new(NULL);
	d->_data = g_string_new(NULL);
}

void sd_finish(struct sd_decoder *d)
{
	g_free(d->_weights);
	if (d->_line)
		g_string_free(d->_line, TRUE);
	if (d->_data)
		g_string_free(d->_data, TRUE);
	memset(d, 0, sizeof(*d));
}

/* A whole decimal number, or false. */
static bool sd_parse_number(const char *text, uint64_t *number)
{
	return g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, number,
					  NULL);
}

void sd_header(struct sd_decoder *d, const char *name, const char *value)
{
	uint64_t incarnation = 0;

	if (!strcmp(name, "x-weights-version")) {
		d->_has_weights_header = true;
		d->_is_other_weights =
			d->_weights && strcmp(d->_weights, value) != 0;
		return;
	}
	if (strcmp(name, "x-engine-incarnation") != 0)
		return;
	d->_has_incarnation_header = true;
	if (!sd_parse_number(value, &incarnation) || !incarnation) {
		d->_is_other_incarnation = true;
		return;
	}
	d->seen_incarnation = incarnation;
	d->_is_other_incarnation =
		d->incarnation && d->incarnation != incarnation;
	if (!d->incarnation)
		d->incarnation = incarnation;
}

enum sd_fault sd_check_headers(struct sd_decoder *d)
{
	d->_is_open = true;
	if (d->_weights && (!d->_has_weights_header || d->_is_other_weights))
		sd_fail(d, SD_WRONG_WEIGHTS);
	if (!d->_has_incarnation_header || d->_is_other_incarnation)
		sd_fail(d, SD_WRONG_INCARNATION);
	return d->fault;
}

static void sd_clear_event(struct sd_decoder *d)
{
	g_string_truncate(d->_data, 0);
	d->_has_number = false;
	d->_has_data = false;
}

static void sd_give_out(struct sd_decoder *d)
{
	struct sd_event event = {
		.sequence = d->_number,
		.data = d->_data->str,
		.bytes = d->_data->len,
		.is_done = !strcmp(d->_data->str, "[DONE]"),
	};

	d->_desc.on_event(d->_desc.arg, &event);
	if (d->fault != SD_FINE)
		return;
	d->last = event.sequence;
	d->is_done = event.is_done;
}

/* An empty line ends an event; without data there was none. */
static void sd_end_event(struct sd_decoder *d)
{
	if (!d->_has_data)
		return;
	if (!d->_has_number)
		sd_fail(d, SD_NO_NUMBER);
	else if (d->_number <= d->last)
		d->repeats++;
	else if (d->is_done)
		sd_fail(d, SD_AFTER_DONE);
	else if (d->_number != d->last + 1)
		sd_fail(d, SD_GAP);
	else
		sd_give_out(d);
}

static void sd_take_field(struct sd_decoder *d, const char *name,
			  const char *value)
{
	if (!strcmp(name, "id")) {
		d->_has_number = sd_parse_number(value, &d->_number);
		return;
	}
	if (strcmp(name, "data") != 0)
		return;
	if (d->_has_data)
		g_string_append_c(d->_data, '\n');
	g_string_append(d->_data, value);
	d->_has_data = true;
	if (d->_data->len > SD_MAX_EVENT_BYTES)
		sd_fail(d, SD_TOO_LARGE);
}

static void sd_take_line(struct sd_decoder *d)
{
	char *line = d->_line->str;
	char *colon = strchr(line, ':');
	char *value = "";

	if (!*line) {
		sd_end_event(d);
		sd_clear_event(d);
		return;
	}
	if (colon) {
		*colon = '\0';
		value = colon + 1;
		if (*value == ' ')
			value++;
	}
	/* An empty name is a comment, sent to keep the connection alive. */
	if (*line)
		sd_take_field(d, line, value);
	g_string_truncate(d->_line, 0);
}

static void sd_take_byte(struct sd_decoder *d, char byte)
{
	bool is_second_of_crlf = byte == '\n' && d->_is_after_cr;

	d->_is_after_cr = byte == '\r';
	if (is_second_of_crlf)
		return;
	if (byte == '\n' || byte == '\r') {
		sd_take_line(d);
		return;
	}
	g_string_append_c(d->_line, byte);
	if (d->_line->len > SD_MAX_EVENT_BYTES)
		sd_fail(d, SD_TOO_LARGE);
}

enum sd_fault sd_feed(struct sd_decoder *d, const char *data, uint64_t bytes)
{
	if (!d->_is_open)
		sd_check_headers(d);
	for (uint64_t i = 0; i < bytes && d->fault == SD_FINE; i++)
		sd_take_byte(d, data[i]);
	return d->fault;
}

void sd_reject(struct sd_decoder *d, enum sd_fault fault)
{
	sd_fail(d, fault);
}

enum sd_fault sd_end(struct sd_decoder *d)
{
	if (!d->_is_open)
		sd_check_headers(d);
	if (!d->is_done)
		sd_fail(d, SD_NOT_DONE);
	return d->fault;
}

void sd_reopen(struct sd_decoder *d)
{
	d->fault = SD_FINE;
	d->_is_open = false;
	d->_is_after_cr = false;
	d->_has_weights_header = false;
	d->_has_incarnation_header = false;
	d->_is_other_weights = false;
	d->_is_other_incarnation = false;
	g_string_truncate(d->_line, 0);
	sd_clear_event(d);
}
