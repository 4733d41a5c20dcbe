#include "ctl/lo.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#define LO_US_PER_MS 1000

/* Fields that lo_print() puts in front, or that say nothing more. */
static const char *const lo_front_fields[] = { "time",	 "level", "role",
					       "host",	 "zone",  "event",
					       "message" };

struct lo_line {
	struct json_object *json;
	char *text;
	const char *host;
	int64_t time_us;
	uint32_t number;
	bool is_selected;
};

static void lo_line_free(void *data)
{
	struct lo_line *line = data;

	json_object_put(line->json);
	g_free(line->text);
	g_free(line);
}

void lo_init(struct lo_list *list)
{
	memset(list, 0, sizeof(*list));
	list->_lines = g_ptr_array_new_with_free_func(lo_line_free);
}

void lo_finish(struct lo_list *list)
{
	g_ptr_array_free(list->_lines, TRUE);
	list->_lines = NULL;
}

static const char *lo_field(const struct lo_line *line, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(line->json, name, &value)
		       ? json_object_get_string(value)
		       : "";
}

static bool lo_read_time(struct lo_line *line)
{
	GDateTime *time =
		g_date_time_new_from_iso8601(lo_field(line, "time"), NULL);

	if (!time)
		return false;
	line->time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
			g_date_time_get_microsecond(time);
	g_date_time_unref(time);
	return true;
}

void lo_add(struct lo_list *list, const char *text)
{
	struct lo_line *line = g_new0(struct lo_line, 1);

	line->text = g_strchomp(g_strdup(text));
	line->json = json_tokener_parse(line->text);
	line->number = list->_lines->len;
	if (!json_object_is_type(line->json, json_type_object) ||
	    !lo_read_time(line)) {
		list->unreadable++;
		lo_line_free(line);
		return;
	}
	line->host = lo_field(line, "host");
	g_ptr_array_add(list->_lines, line);
}

static bool lo_names(const struct lo_line *line, const char *id)
{
	json_object_object_foreach(line->json, key, value)
	{
		if (key && !g_strcmp0(json_object_get_string(value), id))
			return true;
	}
	return false;
}

static bool lo_is_near(const struct lo_line *line, const struct lo_line *named,
		       int64_t around_ms)
{
	return !strcmp(line->host, named->host) &&
	       !*lo_field(line, "request") &&
	       ABS(line->time_us - named->time_us) <= around_ms * LO_US_PER_MS;
}

void lo_select(struct lo_list *list, const char *id, int64_t around_ms)
{
	GPtrArray *named = g_ptr_array_new();

	list->selected = 0;
	for (uint32_t i = 0; i < list->_lines->len; i++) {
		struct lo_line *line = list->_lines->pdata[i];

		line->is_selected = lo_names(line, id);
		if (line->is_selected)
			g_ptr_array_add(named, line);
	}
	for (uint32_t i = 0; i < list->_lines->len; i++) {
		struct lo_line *line = list->_lines->pdata[i];

		for (uint32_t j = 0;
		     around_ms > 0 && !line->is_selected && j < named->len; j++)
			line->is_selected =
				lo_is_near(line, named->pdata[j], around_ms);
		list->selected += line->is_selected;
	}
	g_ptr_array_free(named, TRUE);
}

static int lo_compare(const void *a, const void *b)
{
	const struct lo_line *x = *(struct lo_line *const *)a;
	const struct lo_line *y = *(struct lo_line *const *)b;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static bool lo_is_front_field(const char *name)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(lo_front_fields); i++)
		if (!strcmp(name, lo_front_fields[i]))
			return true;
	return false;
}

static void lo_print_line(const struct lo_line *line, FILE *out)
{
	fprintf(out, "%s %s %s", lo_field(line, "time"), line->host,
		lo_field(line, "event"));
	json_object_object_foreach(line->json, key, value)
	{
		if (!lo_is_front_field(key))
			fprintf(out, " %s=%s", key,
				json_object_get_string(value));
	}
	fputc('\n', out);
}

void lo_print(const struct lo_list *list, bool is_json, FILE *out)
{
	g_ptr_array_sort(list->_lines, lo_compare);
	for (uint32_t i = 0; i < list->_lines->len; i++) {
		const struct lo_line *line = list->_lines->pdata[i];

		if (!line->is_selected)
			continue;
		if (is_json)
			fprintf(out, "%s\n", line->text);
		else
			lo_print_line(line, out);
	}
}
