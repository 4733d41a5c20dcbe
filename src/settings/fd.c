#include "settings/fd.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

void fd_init(struct fd_list *list)
{
	memset(list, 0, sizeof(*list));
}

void fd_finish(struct fd_list *list)
{
	for (uint32_t i = 0; i < list->count; i++) {
		g_free(list->items[i].place);
		g_free(list->items[i].message);
	}
	fd_init(list);
}

void fd_add(struct fd_list *list, const char *place, const char *format, ...)
{
	struct fd_finding *finding;
	va_list args;

	if (list->count == FD_MAX_FINDINGS) {
		list->left_out++;
		return;
	}
	finding = &list->items[list->count++];
	finding->place = g_strdup(place);
	va_start(args, format);
	finding->message = g_strdup_vprintf(format, args);
	va_end(args);
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
