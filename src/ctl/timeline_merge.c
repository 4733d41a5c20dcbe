#include "ctl/timeline_merge.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/tl.h"

#define TM_TEXT_BLOCK_BYTES 65536
#define TM_TIME_BYTES	    32

void tm_init(struct tm_list *list, const struct tm_filter *filter)
{
	list->filter = *filter;
	list->events = g_array_new(FALSE, FALSE, sizeof(struct tm_event));
	list->_texts = g_string_chunk_new(TM_TEXT_BLOCK_BYTES);
}

void tm_finish(struct tm_list *list)
{
	g_array_unref(list->events);
	g_string_chunk_free(list->_texts);
}

static bool tm_is_wanted(const struct tm_filter *filter, const char *host,
			 const bp_event *event)
{
	return (!filter->host || !strcmp(filter->host, host)) &&
	       (!filter->subject || !strcmp(filter->subject, event->subject)) &&
	       (filter->kind == TL_KIND_COUNT || filter->kind == event->kind);
}

void tm_add(struct tm_list *list, const bp_timeline_part *part)
{
	const char *host =
		g_string_chunk_insert_const(list->_texts, part->host);
	const char *role =
		g_string_chunk_insert_const(list->_texts, part->role);

	for (uint32_t i = 0; i < part->events.events_len; i++) {
		const bp_event *from = &part->events.events_val[i];
		struct tm_event event = { .stamp = from->stamp,
					  .kind = from->kind,
					  .incarnation = part->incarnation,
					  .host = host,
					  .role = role };

		if (!tm_is_wanted(&list->filter, host, from))
			continue;
		event.subject =
			g_string_chunk_insert(list->_texts, from->subject);
		event.detail =
			g_string_chunk_insert(list->_texts, from->detail);
		g_array_append_val(list->events, event);
	}
}

static gint tm_compare(gconstpointer a, gconstpointer b)
{
	const struct tm_event *x = a;
	const struct tm_event *y = b;
	int order;

	if (x->stamp != y->stamp)
		return x->stamp < y->stamp ? -1 : 1;
	order = strcmp(x->host, y->host);
	return order ? order : strcmp(x->role, y->role);
}

static void tm_format_time(uint64_t stamp, char out[TM_TIME_BYTES])
{
	int64_t wall_ms = ck_hlc_wall_ms(stamp);
	GDateTime *time = g_date_time_new_from_unix_utc(wall_ms / 1000);
	char *text = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%S")
			  : g_strdup("?");

	snprintf(out, TM_TIME_BYTES, "%.22s.%03dZ", text,
		 (int)(wall_ms % 1000));
	g_free(text);
	if (time)
		g_date_time_unref(time);
}

static void tm_print_json(const struct tm_event *event, const char *time,
			  FILE *out)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "time", json_object_new_string(time));
	json_object_object_add(o, "stamp",
			       json_object_new_uint64(event->stamp));
	json_object_object_add(o, "host", json_object_new_string(event->host));
	json_object_object_add(o, "role", json_object_new_string(event->role));
	json_object_object_add(o, "incarnation",
			       json_object_new_uint64(event->incarnation));
	json_object_object_add(
		o, "kind", json_object_new_string(tl_kind_name(event->kind)));
	json_object_object_add(o, "subject",
			       json_object_new_string(event->subject));
	json_object_object_add(o, "detail",
			       json_object_new_string(event->detail));
	fprintf(out, "%s\n",
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

void tm_print(struct tm_list *list, bool json, FILE *out)
{
	char time[TM_TIME_BYTES];

	/* Stable, so that equal stamps of one process keep their order. */
	g_array_sort(list->events, tm_compare);
	for (guint i = 0; i < list->events->len; i++) {
		const struct tm_event *event =
			&g_array_index(list->events, struct tm_event, i);

		tm_format_time(event->stamp, time);
		if (json)
			tm_print_json(event, time, out);
		else
			fprintf(out, "%s %s/%s %s %s %s\n", time, event->host,
				event->role, tl_kind_name(event->kind),
				*event->subject ? event->subject : "-",
				event->detail);
	}
}
