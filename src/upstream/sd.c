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

void sd_finish(struct sd_decoder *d)
{
	g_free(d->_weights);
	if (d->_parser._line)
		se_finish(&d->_parser);
	memset(d, 0, sizeof(*d));
}

/* Returns false unless the whole text is a decimal number. */
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

static void sd_deliver(struct sd_decoder *d, const struct se_event *from,
		       uint64_t sequence)
{
	struct sd_event event = {
		.sequence = sequence,
		.data = from->data,
		.bytes = from->bytes,
		.is_done = !strcmp(from->data, "[DONE]"),
	};

	d->_desc.on_event(d->_desc.arg, &event);
	if (d->fault != SD_FINE)
		return;
	d->last_sequence = sequence;
	d->is_done = event.is_done;
}

static void sd_on_event(void *arg, const struct se_event *event)
{
	struct sd_decoder *d = arg;
	uint64_t number = 0;

	/* Ignores the rest of a piece of data in which a fault was found. */
	if (d->fault != SD_FINE)
		return;
	if (!event->has_own_id || !sd_parse_number(event->id, &number))
		sd_fail(d, SD_NO_NUMBER);
	else if (number <= d->last_sequence)
		d->duplicates++;
	else if (d->is_done)
		sd_fail(d, SD_AFTER_DONE);
	else if (number != d->last_sequence + 1)
		sd_fail(d, SD_GAP);
	else
		sd_deliver(d, event, number);
}

void sd_init(struct sd_decoder *d, const struct sd_desc *desc)
{
	memset(d, 0, sizeof(*d));
	d->_desc = *desc;
	d->_weights = g_strdup(desc->weights);
	d->incarnation = desc->incarnation;
	se_init(&d->_parser,
		&(struct se_desc){ .max_event_bytes = SD_MAX_EVENT_BYTES,
				   .on_event = sd_on_event,
				   .arg = d });
}

enum sd_fault sd_feed(struct sd_decoder *d, const char *data, uint64_t bytes)
{
	if (!d->_is_open)
		sd_check_headers(d);
	if (d->fault == SD_FINE && !se_feed(&d->_parser, data, bytes))
		sd_fail(d, SD_TOO_LARGE);
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
	d->_has_weights_header = false;
	d->_has_incarnation_header = false;
	d->_is_other_weights = false;
	d->_is_other_incarnation = false;
	se_reset(&d->_parser);
}
