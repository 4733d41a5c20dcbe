/*
 * lg - logs as JSON lines, by GLib's structured logging.
 *
 * Overview
 *	lg_init() installs a GLib log writer that prints each record as one
 *	JSON object on standard output: time, level, role, host, zone, message
 *	and the record's own fields. Keys of teams and bodies of requests are
 *	never logged; callers pass names and ids only.
 *
 *	A write never blocks: lines wait in a bounded buffer while standard
 *	output is not read, and those that find it full are dropped and
 *	counted; a line says how many, once it flows again.
 *
 * Use
 *	lg_init(&(struct lg_desc){ .role = "entry", .host = "h1" });
 *	lg_warn("upstream failed", "engine", name, "request", id, NULL);
 *
 *	A list of pairs of field name and text ends with NULL. The log level
 *	is that of G_MESSAGES_DEBUG=all for debug, else info and above.
 */
#ifndef LG_H
#define LG_H

#include <glib.h>

/**
 * struct lg_desc - what stands in every record; NULL leaves a field out.
 * @defers: lines wait for lg_flush(), so that many go out in one write.
 */
struct lg_desc {
	const char *role;
	const char *host;
	const char *zone;
	gboolean defers;
};

/** lg_init() - install the writer; strings are copied. */
void lg_init(const struct lg_desc *desc);

/** lg_flush() - write what waits, as far as standard output takes it. */
void lg_flush(void);

/** lg_write() - one record; used by the macros below. */
void lg_write(GLogLevelFlags level, const char *message,
	      ...) G_GNUC_NULL_TERMINATED;

#define lg_error(...) lg_write(G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define lg_warn(...)  lg_write(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define lg_info(...)  lg_write(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define lg_debug(...) lg_write(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
