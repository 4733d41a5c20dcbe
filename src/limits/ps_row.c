#include "limits/ps_row.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PS_ROW_LINE                                                            \
	"%016" PRIx64 " %" PRId64 " %016" PRIx64 " %016" PRIx64 " %u\n"
#define PS_ROW_SCAN   "%16" SCNx64 " %" SCNd64 " %16" SCNx64 " %16" SCNx64 " %u"
#define PS_ROW_FIELDS 5
/* Longer lines are not of this version. */
#define PS_ROW_LINE_BYTES      128
#define PS_ROW_ANSWERED_LINE   "s %016" PRIx64 " %" PRId64 "\n"
#define PS_ROW_ANSWERED_SCAN   "%16" SCNx64 " %" SCNd64
#define PS_ROW_ANSWERED_FIELDS 2
/*
 * The time of a read differs from that of the store by the delay of the answer,
 * so an answer in full that is later by less is the one known already.
 */
#define PS_ROW_DELAY_MS 1000

/*
 * Entries read from ps_list(), so that suspects that are not proven do not
 * crowd out those that are.
 */
#define PS_ROW_CANDIDATES (4 * PS_ROW_MAX)

/**
 * enum ps_row_kind - first letter of a line; proven ones have none, as older
 * versions read them.
 */
enum ps_row_kind {
	PS_ROW_PROVEN = 0,
	PS_ROW_WATCHED = 'w',
	PS_ROW_ANSWERED = 's',
	PS_ROW_TIME = 't'
};

/* The first @proven of @count suspects are proven, the others are watched. */
struct ps_row_content {
	struct ps_suspect suspects[PS_ROW_MAX + PS_ROW_MAX_WATCHED];
	uint32_t proven;
	uint32_t count;
};

/* Of an answer, only the fingerprint and @crash.at_ms are set. */
struct ps_row_line {
	enum ps_row_kind kind;
	uint64_t fingerprint;
	struct ps_crash crash;
	uint32_t probes;
};

static bool ps_row_scan_crash(const char *text, struct ps_row_line *line)
{
	return sscanf(text, PS_ROW_SCAN, &line->fingerprint, &line->crash.at_ms,
		      &line->crash.engine, &line->crash.incarnation,
		      &line->probes) == PS_ROW_FIELDS;
}

static bool ps_row_scan(const char *text, struct ps_row_line *line)
{
	*line = (struct ps_row_line){ .kind = PS_ROW_PROVEN };
	if (text[0] == '\0' || text[1] != ' ')
		return ps_row_scan_crash(text, line);
	line->kind = (unsigned char)text[0];
	switch (line->kind) {
	case PS_ROW_WATCHED:
		return ps_row_scan_crash(text + 2, line);
	case PS_ROW_ANSWERED:
		return sscanf(text + 2, PS_ROW_ANSWERED_SCAN,
			      &line->fingerprint,
			      &line->crash.at_ms) == PS_ROW_ANSWERED_FIELDS;
	case PS_ROW_TIME:
		return sscanf(text + 2, "%" SCNd64, &line->crash.at_ms) == 1;
	default:
		return false;
	}
}

/* Parses the readable lines of @text; free the array with g_array_free(). */
static GArray *ps_row_parse(const char *text)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct ps_row_line));
	char copy[PS_ROW_LINE_BYTES];
	struct ps_row_line line;

	while (text && *text) {
		size_t bytes = strcspn(text, "\n");

		g_strlcpy(copy, text, MIN(bytes + 1, sizeof(copy)));
		if (ps_row_scan(copy, &line))
			g_array_append_val(lines, line);
		text += bytes + (text[bytes] == '\n');
	}
	return lines;
}

static const struct ps_row_line *ps_row_at(const GArray *lines, uint32_t i)
{
	return &g_array_index(lines, struct ps_row_line, i);
}

static void ps_row_read_answers(struct ps_table *table, const GArray *lines,
				int64_t now_ms, int64_t store_ms)
{
	for (uint32_t i = 0; i < lines->len; i++) {
		const struct ps_row_line *line = ps_row_at(lines, i);
		int64_t age_ms = MAX(store_ms - line->crash.at_ms, 0);
		int64_t known_ms = ps_completed_ms(table, line->fingerprint);

		if (line->kind == PS_ROW_ANSWERED && age_ms <= PS_EXPIRE_MS &&
		    (!known_ms || now_ms - age_ms > known_ms + PS_ROW_DELAY_MS))
			ps_peer_report(table, line->fingerprint, 0, 0, age_ms,
				       now_ms);
	}
}

static void ps_row_read_crash(struct ps_table *table,
			      const struct ps_row_line *line, int64_t now_ms,
			      int64_t store_ms)
{
	ps_peer_report(table, line->fingerprint, line->crash.engine,
		       line->crash.incarnation,
		       MAX(store_ms - line->crash.at_ms, 0), now_ms);
	ps_peer_probes(table, line->fingerprint, line->probes);
}

/* Answers come first: they clear a fingerprint of the crashes before them. */
void ps_row_read(struct ps_table *table, const char *text, int64_t now_ms,
		 int64_t store_ms)
{
	GArray *lines = ps_row_parse(text);
	uint64_t news[PS_ROW_MAX];
	uint32_t count = 0;

	ps_row_read_answers(table, lines, now_ms, store_ms);
	for (uint32_t i = 0; i < lines->len; i++) {
		const struct ps_row_line *line = ps_row_at(lines, i);

		if (line->kind != PS_ROW_PROVEN && line->kind != PS_ROW_WATCHED)
			continue;
		if (line->kind == PS_ROW_PROVEN && count < PS_ROW_MAX &&
		    !ps_crash_count(table, line->fingerprint))
			news[count++] = line->fingerprint;
		ps_row_read_crash(table, line, now_ms, store_ms);
	}
	for (uint32_t i = 0; i < count; i++)
		ps_restore_proof(table, news[i], now_ms);
	g_array_free(lines, TRUE);
}

static int64_t ps_row_last_ms(const struct ps_suspect *s)
{
	int64_t last_ms = INT64_MIN;

	for (uint32_t i = 0; i < s->count; i++)
		last_ms = MAX(last_ms, s->crashes[i].at_ms);
	return last_ms;
}

static int ps_row_most_crashes_first(const void *a, const void *b)
{
	const struct ps_suspect *x = a, *y = b;
	int64_t x_ms = ps_row_last_ms(x), y_ms = ps_row_last_ms(y);

	if (x->count != y->count)
		return x->count > y->count ? -1 : 1;
	if (x_ms != y_ms)
		return x_ms > y_ms ? -1 : 1;
	return (x->fingerprint > y->fingerprint) -
	       (x->fingerprint < y->fingerprint);
}

/* Lists what the row should hold; ps_list() compares it with all suspects. */
static void ps_row_select(const struct ps_table *table, int64_t now_ms,
			  struct ps_row_content *content)
{
	struct ps_suspect listed[PS_ROW_CANDIDATES];
	uint32_t count = ps_list(table, listed, PS_ROW_CANDIDATES);
	uint32_t watched = 0;

	content->proven = 0;
	for (uint32_t i = 0; i < count; i++) {
		const struct ps_suspect *s = &listed[i];

		if (now_ms - ps_row_last_ms(s) > PS_EXPIRE_MS)
			continue;
		if (!s->is_proven)
			listed[watched++] = *s;
		else if (content->proven < PS_ROW_MAX)
			content->suspects[content->proven++] = *s;
	}
	qsort(listed, watched, sizeof(listed[0]), ps_row_most_crashes_first);
	watched = MIN(watched, PS_ROW_MAX_WATCHED);
	memcpy(content->suspects + content->proven, listed,
	       watched * sizeof(listed[0]));
	content->count = content->proven + watched;
}

static bool ps_is_listed(const struct ps_suspect *suspects, uint32_t count,
			 uint64_t fingerprint)
{
	for (uint32_t i = 0; i < count; i++)
		if (suspects[i].fingerprint == fingerprint)
			return true;
	return false;
}

static bool ps_row_has(const GArray *lines, uint64_t fingerprint)
{
	for (uint32_t i = 0; i < lines->len; i++) {
		const struct ps_row_line *line = ps_row_at(lines, i);

		if (line->kind == PS_ROW_PROVEN &&
		    line->fingerprint == fingerprint)
			return true;
	}
	return false;
}

static bool ps_row_lists_only(const GArray *lines,
			      const struct ps_suspect *suspects, uint32_t count)
{
	for (uint32_t i = 0; i < lines->len; i++) {
		const struct ps_row_line *line = ps_row_at(lines, i);

		if (line->kind == PS_ROW_PROVEN &&
		    !ps_is_listed(suspects, count, line->fingerprint))
			return false;
	}
	return true;
}

static bool ps_row_has_proven(const GArray *lines,
			      const struct ps_row_content *content)
{
	if (!ps_row_lists_only(lines, content->suspects, content->proven))
		return false;
	for (uint32_t i = 0; i < content->proven; i++)
		if (!ps_row_has(lines, content->suspects[i].fingerprint))
			return false;
	return true;
}

/* Hosts infer different incarnations for the same crash. */
static bool ps_row_is_same_crash(const struct ps_crash *a,
				 const struct ps_crash *b)
{
	return a->engine == b->engine &&
	       (a->incarnation == b->incarnation ||
		ABS(a->at_ms - b->at_ms) < PS_SAME_CAUSE_MS);
}

/* @crash: its time is on the clock of the store, as that of the row is. */
static bool ps_row_has_crash(const GArray *lines, uint64_t fingerprint,
			     const struct ps_crash *crash)
{
	for (uint32_t i = 0; i < lines->len; i++) {
		const struct ps_row_line *line = ps_row_at(lines, i);

		if ((line->kind == PS_ROW_PROVEN ||
		     line->kind == PS_ROW_WATCHED) &&
		    line->fingerprint == fingerprint &&
		    ps_row_is_same_crash(&line->crash, crash))
			return true;
	}
	return false;
}

/* Whether the row lacks a crash of @s that is no older than the activity. */
static bool ps_row_lacks(const GArray *lines, const struct ps_suspect *s,
			 int64_t now_ms, int64_t store_ms)
{
	for (uint32_t i = 0; i < s->count; i++) {
		struct ps_crash crash = s->crashes[i];
		int64_t age_ms = now_ms - crash.at_ms;

		crash.at_ms = store_ms - age_ms;
		if (age_ms <= PS_ROW_ACTIVE_MS &&
		    !ps_row_has_crash(lines, s->fingerprint, &crash))
			return true;
	}
	return false;
}

static bool ps_row_knows(const struct ps_table *table,
			 const struct ps_row_line *line)
{
	struct ps_suspect s;

	if (!ps_find(table, line->fingerprint, &s))
		return false;
	for (uint32_t i = 0; i < s.count; i++)
		if (s.crashes[i].engine == line->crash.engine &&
		    s.crashes[i].incarnation == line->crash.incarnation)
			return true;
	return false;
}

/* Whether the row charges a crash that an answer since has cleared. */
static bool ps_row_has_cleared(const struct ps_table *table,
			       const GArray *lines, int64_t now_ms,
			       int64_t store_ms)
{
	for (uint32_t i = 0; i < lines->len; i++) {
		const struct ps_row_line *line = ps_row_at(lines, i);
		int64_t completed_ms =
			ps_completed_ms(table, line->fingerprint);

		if (line->kind == PS_ROW_WATCHED && completed_ms &&
		    now_ms - completed_ms <= store_ms - line->crash.at_ms &&
		    !ps_row_knows(table, line))
			return true;
	}
	return false;
}

/* Returns INT64_MIN for a row without it, as older versions write it. */
static int64_t ps_row_written_ms(const GArray *lines)
{
	for (uint32_t i = 0; i < lines->len; i++)
		if (ps_row_at(lines, i)->kind == PS_ROW_TIME)
			return ps_row_at(lines, i)->crash.at_ms;
	return INT64_MIN;
}

/* Whether something was answered since the row was written, some time ago. */
static bool ps_row_lacks_answers(const struct ps_table *table,
				 const GArray *lines, int64_t now_ms,
				 int64_t store_ms)
{
	int64_t written_ms = ps_row_written_ms(lines);
	struct ps_answered answered;
	int64_t since_ms;

	if (written_ms == INT64_MIN)
		since_ms = now_ms - PS_COMPLETED_RECENT_MS;
	else if (store_ms - written_ms < PS_ROW_ANSWERS_MS)
		return false;
	else
		since_ms = now_ms - (store_ms - written_ms) + 1;
	return ps_list_answered(table, since_ms, &answered, 1);
}

static bool ps_row_lines_are_behind(const struct ps_table *table,
				    const GArray *lines,
				    const struct ps_row_content *content,
				    int64_t now_ms, int64_t store_ms)
{
	bool is_active = false;

	for (uint32_t i = content->proven; i < content->count; i++) {
		const struct ps_suspect *s = &content->suspects[i];

		if (ps_row_lacks(lines, s, now_ms, store_ms))
			return true;
		is_active |= now_ms - ps_row_last_ms(s) <= PS_ROW_ACTIVE_MS;
	}
	if (is_active && ps_row_lacks_answers(table, lines, now_ms, store_ms))
		return true;
	return ps_row_has_cleared(table, lines, now_ms, store_ms);
}

bool ps_row_is_current(const struct ps_table *table, const char *text,
		       int64_t now_ms)
{
	struct ps_row_content content;
	GArray *lines = ps_row_parse(text);
	bool is_current;

	ps_row_select(table, now_ms, &content);
	is_current = ps_row_has_proven(lines, &content);
	g_array_free(lines, TRUE);
	return is_current;
}

bool ps_row_is_stale(const struct ps_table *table, const char *text,
		     int64_t now_ms, int64_t store_ms)
{
	struct ps_row_content content;
	GArray *lines = ps_row_parse(text);
	bool is_stale;

	ps_row_select(table, now_ms, &content);
	is_stale = !ps_row_has_proven(lines, &content) ||
		   ps_row_lines_are_behind(table, lines, &content, now_ms,
					   store_ms);
	g_array_free(lines, TRUE);
	return is_stale;
}

int64_t ps_row_pause_ms(const char *text, int64_t store_ms)
{
	GArray *lines = ps_row_parse(text);
	int64_t written_ms = ps_row_written_ms(lines);

	g_array_free(lines, TRUE);
	if (written_ms == INT64_MIN || written_ms > store_ms ||
	    store_ms - written_ms >= PS_ROW_GAP_MS)
		return 0;
	return PS_ROW_GAP_MS - (store_ms - written_ms);
}

/* @prefix: of each line. */
static void ps_row_append(GString *text, const char *prefix,
			  const struct ps_suspect *s, int64_t ahead_ms)
{
	for (uint32_t i = 0; i < s->count; i++)
		g_string_append_printf(
			text, "%s" PS_ROW_LINE, prefix, s->fingerprint,
			ahead_ms + s->crashes[i].at_ms, s->crashes[i].engine,
			s->crashes[i].incarnation, s->probes);
}

static uint32_t ps_row_append_answers_of(GString *text,
					 const struct ps_table *table,
					 const struct ps_suspect *suspects,
					 uint32_t count, int64_t now_ms,
					 int64_t ahead_ms)
{
	uint32_t lines = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t fingerprint = suspects[i].fingerprint;
		int64_t at_ms = ps_completed_ms(table, fingerprint);

		if (!at_ms || now_ms - at_ms > PS_EXPIRE_MS)
			continue;
		g_string_append_printf(text, PS_ROW_ANSWERED_LINE, fingerprint,
				       ahead_ms + at_ms);
		lines++;
	}
	return lines;
}

static void ps_row_append_answers(GString *text, const struct ps_table *table,
				  const struct ps_suspect *suspects,
				  uint32_t count, int64_t now_ms,
				  int64_t ahead_ms)
{
	struct ps_answered answered[PS_ROW_MAX_ANSWERED];
	uint32_t frequent =
		ps_list_answered(table, now_ms - PS_COMPLETED_RECENT_MS,
				 answered, PS_ROW_MAX_ANSWERED);
	uint32_t lines = ps_row_append_answers_of(text, table, suspects, count,
						  now_ms, ahead_ms);

	for (uint32_t i = 0; i < frequent && lines < PS_ROW_MAX_ANSWERED; i++) {
		if (ps_is_listed(suspects, count, answered[i].fingerprint))
			continue;
		g_string_append_printf(text, PS_ROW_ANSWERED_LINE,
				       answered[i].fingerprint,
				       ahead_ms + answered[i].at_ms);
		lines++;
	}
}

char *ps_row_format(const struct ps_table *table, int64_t now_ms,
		    int64_t store_ms)
{
	struct ps_row_content content;
	GString *text = g_string_new(NULL);

	ps_row_select(table, now_ms, &content);
	g_string_append_printf(text, "t %" PRId64 "\n", store_ms);
	for (uint32_t i = 0; i < content.count; i++)
		ps_row_append(text, i < content.proven ? "" : "w ",
			      &content.suspects[i], store_ms - now_ms);
	ps_row_append_answers(text, table, content.suspects, content.count,
			      now_ms, store_ms - now_ms);
	return g_string_free(text, FALSE);
}
