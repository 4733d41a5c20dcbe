#include "kernel/lg.h"

#include <json-c/json.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "kernel/mt.h"

#define LG_MAX_FIELDS 20
/* Limit on lines buffered for standard output; further lines are dropped. */
#define LG_MAX_BUFFERED_BYTES (512u << 10)
/* With deferred writes, a buffer of this size is written without lg_flush(). */
#define LG_FLUSH_BYTES (8u << 10)

MT_COUNTER(lg_lines, "balsampin_log_lines_total", "log lines written")
MT_COUNTER(lg_dropped_total, "balsampin_log_lines_dropped_total",
	   "log lines dropped because standard output was not read")

static struct {
	char *role;
	char *host;
	char *zone;
	gboolean debug;
	gboolean defers;
	GString *buffer;
	gsize buffer_written;
	guint64 dropped;
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

static void lg_add_field(struct json_object *line, const char *name,
			 const char *text)
{
	if (text)
		json_object_object_add(line, name,
				       json_object_new_string(text));
}

/* Fields that GLib adds for its own use; they are left out of the line. */
static gboolean lg_is_internal(const char *key)
{
	return !strcmp(key, "PRIORITY") || !strcmp(key, "GLIB_DOMAIN") ||
	       !strncmp(key, "CODE_", 5);
}

static void lg_append_dropped(void)
{
	if (!lg_state.dropped)
		return;
	g_string_append_printf(
		lg_state.buffer,
		"{\"level\":\"warning\",\"event\":"
		"\"log_lines_dropped\",\"count\":\"%" G_GUINT64_FORMAT "\"}\n",
		lg_state.dropped);
	lg_state.dropped = 0;
}

void lg_flush(void)
{
	GString *buffer = lg_state.buffer;

	while (buffer && lg_state.buffer_written < buffer->len) {
		ssize_t n = write(STDOUT_FILENO,
				  buffer->str + lg_state.buffer_written,
				  buffer->len - lg_state.buffer_written);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		lg_state.buffer_written += n;
	}
	if (!buffer)
		return;
	g_string_truncate(buffer, 0);
	lg_state.buffer_written = 0;
	lg_append_dropped();
}

static void lg_append_line(const char *line)
{
	gsize unwritten = lg_state.buffer->len - lg_state.buffer_written;

	if (unwritten + strlen(line) > LG_MAX_BUFFERED_BYTES) {
		lg_state.dropped++;
		mt_add(&lg_dropped_total, 1);
		return;
	}
	if (lg_state.buffer_written) {
		g_string_erase(lg_state.buffer, 0, lg_state.buffer_written);
		lg_state.buffer_written = 0;
	}
	mt_add(&lg_lines, 1);
	g_string_append(lg_state.buffer, line);
	g_string_append_c(lg_state.buffer, '\n');
	if (!lg_state.defers || lg_state.buffer->len >= LG_FLUSH_BYTES)
		lg_flush();
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
	lg_add_field(line, "time", time_text);
	lg_add_field(line, "level", lg_level_name(level));
	lg_add_field(line, "role", lg_state.role);
	lg_add_field(line, "host", lg_state.host);
	lg_add_field(line, "zone", lg_state.zone);
	for (gsize i = 0; i < count; i++) {
		const char *key = fields[i].key;

		if (lg_is_internal(key) || fields[i].length != -1)
			continue;
		lg_add_field(line, strcmp(key, "MESSAGE") ? key : "message",
			     fields[i].value);
	}
	lg_append_line(
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
	if (!lg_state.buffer)
		lg_state.buffer = g_string_new(NULL);
	lg_state.defers = desc->defers;
	/* A stalled reader of standard output must not block the process. */
	(void)fcntl(STDOUT_FILENO, F_SETFL,
		    fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
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
