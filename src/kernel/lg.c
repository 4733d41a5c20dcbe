#include "kernel/lg.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define LG_MAX_FIELDS 16

static struct {
	char *role;
	char *host;
	char *zone;
	gboolean debug;
} lg_state;

static const char *lg_level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

static void lg_add(struct json_object *line, const char *name, const char *text)
{
	if (text)
		json_object_object_add(line, name,
				       json_object_new_string(text));
}

/* GLib's own fields that say nothing to a reader of the line. */
static gboolean lg_is_internal(const char *key)
{
	return !strcmp(key, "PRIORITY") || !strcmp(key, "GLIB_DOMAIN") ||
	       !strncmp(key, "CODE_", 5);
}

static GLogWriterOutput lg_writer(GLogLevelFlags level, const GLogField *fields,
				  gsize count, gpointer data)
{
	struct json_object *line;
	GDateTime *now;
	char *time_text;

	if ((level & G_LOG_LEVEL_DEBUG) && !lg_state.debug)
		return G_LOG_WRITER_HANDLED;
	line = json_object_new_object();
	now = g_date_time_new_now_utc();
	time_text = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	lg_add(line, "time", time_text);
	lg_add(line, "level", lg_level_name(level));
	lg_add(line, "role", lg_state.role);
	lg_add(line, "host", lg_state.host);
	lg_add(line, "zone", lg_state.zone);
	for (gsize i = 0; i < count; i++) {
		const char *key = fields[i].key;

		if (lg_is_internal(key) || fields[i].length != -1)
			continue;
		lg_add(line, strcmp(key, "MESSAGE") ? key : "message",
		       fields[i].value);
	}
	fprintf(stdout, "%s\n",
		json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	json_object_put(line);
	g_free(time_text);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void lg_init(const struct lg_desc *desc)
{
	const char *debug = g_getenv("G_MESSAGES_DEBUG");

	g_free(lg_state.role);
	g_free(lg_state.host);
	g_free(lg_state.zone);
	lg_state.role = g_strdup(desc->role);
	lg_state.host = g_strdup(desc->host);
	lg_state.zone = g_strdup(desc->zone);
	lg_state.debug = debug && !strcmp(debug, "all");
	g_log_set_writer_func(lg_writer, NULL, NULL);
}

void lg_write(GLogLevelFlags level, const char *message, ...)
{
	GLogField fields[LG_MAX_FIELDS] = { { "MESSAGE", message, -1 } };
	gsize count = 1;
	const char *name;
	va_list args;

	va_start(args, message);
	while (count < LG_MAX_FIELDS && (name = va_arg(args, const char *))) {
		fields[count].key = name;
		fields[count].value = va_arg(args, const char *);
		fields[count].length = -1;
		if (fields[count].value)
			count++;
	}
	va_end(args);
	g_log_structured_array(level, fields, count);
}
