#include "limits/lm_team.h"

#include "limits/lm_share.h"

#define LM_SHARE_CACHE_MS 25
/* Teams take turns in reports, so a row is kept longer than one report. */
#define LM_ROW_KEPT_MS (INT64_C(4) * LM_PEER_TIMEOUT_MS)

static void lm_remove_team(struct lm_limits *limits, uint32_t index)
{
	struct lm_team *team = g_ptr_array_index(limits->_team_list, index);

	limits->_row_count -= team->rows->len;
	g_ptr_array_remove_index(limits->_team_list, index);
	g_hash_table_remove(limits->_teams, &team->id);
}

void lm_team_free(struct lm_team *team)
{
	for (int i = 0; i <= CM_DEFERRABLE; i++)
		g_queue_clear(&team->queues[i]);
	g_array_free(team->rows, TRUE);
	g_free(team);
}

struct lm_team *lm_team_get(struct lm_limits *limits, uint64_t id)
{
	struct lm_team *team = g_hash_table_lookup(limits->_teams, &id);

	if (team)
		return team;
	team = g_new0(struct lm_team, 1);
	team->id = id;
	team->weight = 1;
	team->rows = g_array_new(FALSE, FALSE, sizeof(struct lm_peer_row));
	g_hash_table_insert(limits->_teams, &team->id, team);
	g_ptr_array_add(limits->_team_list, team);
	return team;
}

void lm_team_invalidate(struct lm_team *team)
{
	team->share_until_ms = INT64_MIN;
}

/*
 * The lowest demand that the other entries may have received. It never exceeds
 * what any of them counts for this entry, so that the shares that all entries
 * compute do not add up to more than the limit while demand changes.
 */
static uint32_t lm_reported_demand(const struct lm_team *team)
{
	uint32_t now = team->running + team->waiting;
	uint32_t reported = MIN(team->reported[0], team->reported[1]);

	return MIN(now, reported);
}

static const struct lm_peer_row *lm_find_row(const struct lm_team *team,
					     uint64_t id, uint32_t *index)
{
	const struct lm_peer_row *rows =
		(const struct lm_peer_row *)team->rows->data;

	while (*index < team->rows->len && rows[*index].entry < id)
		(*index)++;
	if (*index < team->rows->len && rows[*index].entry == id)
		return &rows[*index];
	return NULL;
}

/* Merges the entries with the rows of @team; both are sorted by entry. */
static void lm_collect_usage(struct lm_limits *limits,
			     const struct lm_team *team, int64_t now_ms)
{
	struct lm_share_entry *out =
		(struct lm_share_entry *)limits->_shares->data;
	uint32_t index = 0;

	for (uint32_t i = 0; i < limits->_entries->len; i++) {
		const struct lm_entry *entry =
			&g_array_index(limits->_entries, struct lm_entry, i);
		const struct lm_peer_row *row =
			lm_find_row(team, entry->id, &index);

		out[i] = (struct lm_share_entry){ 0 };
		out[i].is_self = entry->id == limits->desc.self;
		if (out[i].is_self) {
			out[i].demand = lm_reported_demand(team);
			out[i].running = team->running;
			continue;
		}
		out[i].is_silent =
			now_ms - entry->last_report_ms > LM_PEER_TIMEOUT_MS;
		if (!row || now_ms - row->at_ms > LM_ROW_KEPT_MS)
			continue;
		out[i].demand = row->running + row->waiting;
		out[i].running = row->running;
	}
}

static uint32_t lm_team_share(struct lm_limits *limits, struct lm_team *team,
			      int64_t now_ms)
{
	if (team->max_running == 0)
		return UINT32_MAX;
	if (now_ms < team->share_until_ms)
		return team->share;
	lm_collect_usage(limits, team, now_ms);
	team->share = lm_share_compute(
		team->max_running,
		(const struct lm_share_entry *)limits->_shares->data,
		limits->_entries->len);
	team->share_until_ms = now_ms + LM_SHARE_CACHE_MS;
	return team->share;
}

uint32_t lm_share(struct lm_limits *limits, uint64_t team, int64_t now_ms)
{
	return lm_team_share(limits, lm_team_get(limits, team), now_ms);
}

bool lm_team_may_run(struct lm_limits *limits, struct lm_team *team,
		     int64_t now_ms)
{
	return limits->running < limits->desc.max_running &&
	       team->running < lm_team_share(limits, team, now_ms);
}

uint32_t lm_team_max_waiting(const struct lm_limits *limits,
			     const struct lm_team *team)
{
	uint32_t entries = limits->_entries->len;

	if (team->max_waiting == 0)
		return UINT32_MAX;
	return (team->max_waiting + entries - 1) / entries;
}

static int lm_entry_compare(gconstpointer a, gconstpointer b)
{
	uint64_t id_a = ((const struct lm_entry *)a)->id;
	uint64_t id_b = ((const struct lm_entry *)b)->id;

	return id_a < id_b ? -1 : id_a > id_b;
}

static struct lm_entry *lm_entry_find(struct lm_limits *limits, uint64_t id)
{
	struct lm_entry wanted = { .id = id };
	guint index;

	if (!g_array_binary_search(limits->_entries, &wanted, lm_entry_compare,
				   &index))
		return NULL;
	return &g_array_index(limits->_entries, struct lm_entry, index);
}

void lm_set_entries(struct lm_limits *limits, const uint64_t *ids,
		    uint32_t count, int64_t now_ms)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct lm_entry));
	struct lm_entry self = { .id = limits->desc.self };

	(void)now_ms;
	g_array_append_val(entries, self);
	for (uint32_t i = 0; i < count; i++) {
		const struct lm_entry *known = lm_entry_find(limits, ids[i]);
		struct lm_entry entry = { ids[i], INT64_MIN / 2 };

		if (ids[i] == limits->desc.self)
			continue;
		if (known)
			entry = *known;
		g_array_append_val(entries, entry);
	}
	g_array_sort(entries, lm_entry_compare);
	g_array_free(limits->_entries, TRUE);
	limits->_entries = entries;
	g_array_set_size(limits->_shares, entries->len);
	for (uint32_t i = 0; i < limits->_team_list->len; i++)
		lm_team_invalidate(g_ptr_array_index(limits->_team_list, i));
}

static void lm_set_row(struct lm_limits *limits, struct lm_team *team,
		       const struct lm_peer_row *row)
{
	GArray *rows = team->rows;
	uint32_t index = 0;
	const struct lm_peer_row *known = lm_find_row(team, row->entry, &index);

	if (known) {
		if (row->at_ms >= known->at_ms)
			g_array_index(rows, struct lm_peer_row, index) = *row;
		return;
	}
	if (limits->_row_count >= LM_MAX_PEER_ROWS)
		return;
	g_array_insert_val(rows, index, *row);
	limits->_row_count++;
}

void lm_peer_report(struct lm_limits *limits, uint64_t entry,
		    const struct lm_usage *usage, uint32_t count,
		    int64_t age_ms, int64_t now_ms)
{
	struct lm_entry *peer = lm_entry_find(limits, entry);
	int64_t at_ms = now_ms - age_ms;

	if (!peer || entry == limits->desc.self)
		return;
	if (at_ms > peer->last_report_ms)
		peer->last_report_ms = at_ms;
	for (uint32_t i = 0; i < count; i++) {
		struct lm_team *team = lm_team_get(limits, usage[i].team);
		struct lm_peer_row row = { entry, usage[i].running,
					   usage[i].waiting, at_ms };

		lm_set_row(limits, team, &row);
		lm_team_invalidate(team);
	}
}

static void lm_drop_old_rows(struct lm_limits *limits, struct lm_team *team,
			     int64_t now_ms)
{
	for (uint32_t i = team->rows->len; i-- > 0;) {
		const struct lm_peer_row *row =
			&g_array_index(team->rows, struct lm_peer_row, i);

		if (now_ms - row->at_ms <= LM_ROW_KEPT_MS)
			continue;
		g_array_remove_index(team->rows, i);
		limits->_row_count--;
	}
}

/* A team is reported until two reports in a row have had no demand. */
static bool lm_needs_report(const struct lm_team *team)
{
	return team->running || team->waiting || team->reported[0] ||
	       team->reported[1];
}

uint32_t lm_report(struct lm_limits *limits, struct lm_usage *out,
		   uint32_t capacity, int64_t now_ms)
{
	uint32_t teams = limits->_team_list->len;
	uint32_t count = 0, seen = 0;

	for (; seen < teams && count < capacity; seen++) {
		uint32_t index = (limits->_report_start + seen) % teams;
		struct lm_team *team =
			g_ptr_array_index(limits->_team_list, index);

		if (!lm_needs_report(team))
			continue;
		out[count++] = (struct lm_usage){ team->id, team->running,
						  team->waiting };
		team->reported[1] = team->reported[0];
		team->reported[0] = team->running + team->waiting;
		lm_team_invalidate(team);
	}
	limits->_report_start =
		teams ? (limits->_report_start + seen) % teams : 0;
	for (uint32_t i = teams; i-- > 0;) {
		struct lm_team *team = g_ptr_array_index(limits->_team_list, i);

		lm_drop_old_rows(limits, team, now_ms);
		if (!lm_needs_report(team) && team->rows->len == 0)
			lm_remove_team(limits, i);
	}
	return count;
}
