#include "limits/ps_row.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PS_ROW_LINE                                                            \
	"%016" PRIx64 " %" PRId64 " %016" PRIx64 " %016" PRIx64 " %u\n"
#define PS_ROW_SCAN   "%16" SCNx64 " %" SCNd64 " %16" SCNx64 " %16" SCNx64 " %u"
#define PS_ROW_FIELDS 5

/*
 * Entries read from ps_list(), so that suspects that are not proven do not
 * crowd out those that are.
 */
#define PS_ROW_CANDIDATES (4 * PS_ROW_MAX)

struct ps_row_line {
	uint64_t fingerprint;
	struct ps_crash crash;
	uint32_t probes;
};

/*
 * Parses the next readable line of @text. Returns the text after it, or NULL if
 * there is none.
 */
static const char *ps_row_next_line(const char *text, struct ps_row_line *line)
{
	while (text && *text) {
		const char *end = strchr(text, '\n');
		int fields = sscanf(text, PS_ROW_SCAN, &line->fingerprint,
				    &line->crash.at_ms, &line->crash.engine,
				    &line->crash.incarnation, &line->probes);

		text = end ? end + 1 : NULL;
		if (fields == PS_ROW_FIELDS)
			return text ? text : "";
	}
	return NULL;
}

void ps_row_read(struct ps_table *table, const char *text, int64_t now_ms,
		 int64_t store_ms)
{
	struct ps_row_line line;

	while ((text = ps_row_next_line(text, &line))) {
		ps_peer_report(table, line.fingerprint, line.crash.engine,
			       line.crash.incarnation,
			       MAX(store_ms - line.crash.at_ms, 0), now_ms);
		ps_peer_probes(table, line.fingerprint, line.probes);
	}
}

static uint32_t ps_list_proven(const struct ps_table *table, int64_t now_ms,
			       struct ps_suspect *suspects)
{
	struct ps_suspect listed[PS_ROW_CANDIDATES];
	uint32_t count = ps_list(table, listed, PS_ROW_CANDIDATES);
	uint32_t proven = 0;

	for (uint32_t i = 0; i < count && proven < PS_ROW_MAX; i++) {
		const struct ps_suspect *s = &listed[i];

		if (s->is_proven &&
		    now_ms - s->crashes[s->count - 1].at_ms <= PS_EXPIRE_MS)
			suspects[proven++] = *s;
	}
	return proven;
}

static bool ps_is_listed(const struct ps_suspect *suspects, uint32_t count,
			 uint64_t fingerprint)
{
	for (uint32_t i = 0; i < count; i++)
		if (suspects[i].fingerprint == fingerprint)
			return true;
	return false;
}

static bool ps_row_has(const char *text, uint64_t fingerprint)
{
	struct ps_row_line line;

	while ((text = ps_row_next_line(text, &line)))
		if (line.fingerprint == fingerprint)
			return true;
	return false;
}

bool ps_row_is_current(const struct ps_table *table, const char *text,
		       int64_t now_ms)
{
	struct ps_suspect suspects[PS_ROW_MAX];
	uint32_t count = ps_list_proven(table, now_ms, suspects);
	const char *rest = text;
	struct ps_row_line line;

	while ((rest = ps_row_next_line(rest, &line)))
		if (!ps_is_listed(suspects, count, line.fingerprint))
			return false;
	for (uint32_t i = 0; i < count; i++)
		if (!ps_row_has(text, suspects[i].fingerprint))
			return false;
	return true;
}

char *ps_row_format(const struct ps_table *table, int64_t now_ms,
		    int64_t store_ms)
{
	struct ps_suspect suspects[PS_ROW_MAX];
	uint32_t count = ps_list_proven(table, now_ms, suspects);
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < count; i++) {
		const struct ps_suspect *s = &suspects[i];

		for (uint32_t j = 0; j < s->count; j++)
			g_string_append_printf(
				text, PS_ROW_LINE, s->fingerprint,
				store_ms - (now_ms - s->crashes[j].at_ms),
				s->crashes[j].engine, s->crashes[j].incarnation,
				s->probes);
	}
	return g_string_free(text, FALSE);
}
