/*
 * lg - log records as JSON lines through GLib's structured logging.
 *
 * Overview
 *	lg_init() installs a GLib log writer that prints each record as one
 *	JSON object on standard output: time, level, role, host, zone, message
 *	and the record's own fields. Team keys and request bodies are never
 *	logged; callers pass names and ids only.
 *
 *	Writing never blocks. While standard output is not read, lines are kept
 *	in a bounded buffer; lines that do not fit are dropped and counted. Once
 *	the buffer has been written out, a log line reports the number dropped.
 *
 * Use
 *	lg_init(&(struct lg_desc){ .role = "entry", .host = "h1" });
 *	lg_warn("upstream failed", "engine", name, "request", id, NULL);
 *
 *	The message is followed by pairs of field name and text and a final
 *	NULL. Debug records are written only with G_MESSAGES_DEBUG=all.
 */
#ifndef LG_H
#define LG_H

#include <glib.h>

/**
 * struct lg_desc - fields of every record (NULL omits a field), and buffering.
 * @defers: keep lines for lg_flush(), so that one write carries many lines.
 */
struct lg_desc {
	const char *role;
	const char *host;
	const char *zone;
	gboolean defers;
};

/** lg_init() - install the log writer; strings are copied. */
void lg_init(const struct lg_desc *desc);

/** lg_flush() - write buffered lines until standard output would block. */
void lg_flush(void);

/** lg_write() - write one record; called through the macros below. */
void lg_write(GLogLevelFlags level, const char *message,
	      ...) G_GNUC_NULL_TERMINATED;

#define lg_error(...) lg_write(G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define lg_warn(...)  lg_write(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define lg_info(...)  lg_write(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define lg_debug(...) lg_write(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
