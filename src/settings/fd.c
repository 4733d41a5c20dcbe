#include "settings/fd.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

void fd_init(struct fd_list *list)
{
	memset(list, 0, sizeof(*list));
}

static void fd_clear(struct fd_finding *finding)
{
	g_free(finding->place);
	g_free(finding->message);
}

void fd_finish(struct fd_list *list)
{
	for (uint32_t i = 0; i < list->count; i++)
		fd_clear(&list->items[i]);
	fd_init(list);
}

/* Errors must not be crowded out by findings of less severity. */
static bool fd_make_room(struct fd_list *list, enum fd_severity severity)
{
	uint32_t i = list->count;

	if (list->count < FD_MAX_FINDINGS)
		return true;
	list->left_out++;
	if (severity != FD_ERROR)
		return false;
	while (i && list->items[i - 1].rule->severity == FD_ERROR)
		i--;
	if (!i)
		return false;
	fd_clear(&list->items[i - 1]);
	memmove(&list->items[i - 1], &list->items[i],
		(list->count - i) * sizeof(list->items[0]));
	list->count--;
	return true;
}

static void fd_append(struct fd_list *list, const char *place,
		      const struct fd_rule *rule, const char *format,
		      va_list args)
{
	struct fd_finding *finding;

	list->totals[rule->severity]++;
	if (!fd_make_room(list, rule->severity))
		return;
	finding = &list->items[list->count++];
	finding->place = g_strdup(place);
	finding->message = g_strdup_vprintf(format, args);
	finding->rule = rule;
}

void fd_add(struct fd_list *list, const char *place, const char *format, ...)
{
	static const struct fd_rule rule = { "invalid", FD_ERROR,
					     "correct the value" };
	va_list args;

	va_start(args, format);
	fd_append(list, place, &rule, format, args);
	va_end(args);
}

void fd_report(struct fd_list *list, const char *place,
	       const struct fd_rule *rule, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fd_append(list, place, rule, format, args);
	va_end(args);
}

const char *fd_severity_name(enum fd_severity severity)
{
	static const char *const names[] = { "error", "warning", "note" };

	return names[severity];
}

void fd_print(const struct fd_list *list, const char *file, FILE *out)
{
	for (uint32_t i = 0; i < list->count; i++)
		fprintf(out, "%s: %s: %s\n", file, list->items[i].place,
			list->items[i].message);
	if (list->left_out)
		fprintf(out, "%s: %u more findings omitted\n", file,
			list->left_out);
}
