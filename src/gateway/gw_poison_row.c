#include "gateway/gw_poison_row.h"

#include <string.h>

#include "gateway/gw_hosts.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "limits/ps_row.h"

#define GW_POISON_ROW	  "poison"
#define GW_ROW_TIMEOUT_MS 1000
/* The row is checked this soon after a change, and this often without one. */
#define GW_ROW_TICK_S	0.1
#define GW_ROW_CHECK_MS 1000

void gw_poison_row_apply(struct gw_poison_row *row, const struct rw_rows *rows)
{
	int64_t now_ms = ck_now_ms();
	uint64_t version = 0;

	g_free(row->text);
	row->text = NULL;
	row->has_read = true;
	row->store_ahead_ms = rows->store_ms - now_ms;
	for (uint32_t i = 0; i < rows->count; i++) {
		const struct rw_row *found = &rows->rows[i];

		if (strcmp(found->key, GW_POISON_ROW) != 0)
			continue;
		row->text = g_strdup(found->value);
		version = found->version;
	}
	ps_turn_read(&row->turn, version, now_ms);
	ps_row_read(row->table, row->text, now_ms, rows->store_ms);
}

void gw_poison_row_changed(struct gw_poison_row *row)
{
	row->is_changed = true;
}

static void gw_on_poison_written(void *arg, enum st_code code, uint64_t version)
{
	struct gw_poison_row *row = arg;

	row->is_writing = false;
	row->has_read = false;
	if (code != ST_OK)
		lg_info("row of crash records not written", "event",
			"poison_row", "outcome",
			code == ST_CONFLICT ? "conflict" : "failed", "reason",
			st_message(), NULL);
	gw_peers_read_rows(row->gateway);
}

static void gw_write_poison_row(struct gw_poison_row *row, int64_t now_ms)
{
	struct gw_gateway *g = row->gateway;
	char *text =
		ps_row_format(row->table, now_ms, now_ms + row->store_ahead_ms);

	row->is_writing = true;
	lg_info("row of crash records written", "event", "poison_row",
		"outcome", "sent", NULL);
	rw_write(&g->store,
		 &(struct rw_write){ .table = g->dialect->own_table,
				     .key = GW_POISON_ROW,
				     .value = text,
				     .version = row->turn.version,
				     .timeout_ms = GW_ROW_TIMEOUT_MS,
				     .reason = "poison_write" },
		 gw_on_poison_written, row, &row->write);
	g_free(text);
}

static enum ps_turn_step gw_next_step(struct gw_poison_row *row,
				      uint32_t owner_index, int64_t now_ms)
{
	int64_t store_ms = now_ms + row->store_ahead_ms;
	int64_t pause_ms = ps_row_pause_ms(row->text, store_ms);
	bool is_stale;

	row->is_changed = false;
	row->next_check_ms = now_ms + (pause_ms ? pause_ms : GW_ROW_CHECK_MS);
	if (pause_ms)
		return PS_TURN_WAIT;
	is_stale = ps_row_is_stale(row->table, row->text, now_ms, store_ms);
	return ps_turn_next(&row->turn, is_stale, owner_index, now_ms);
}

static bool gw_is_check_due(const struct gw_poison_row *row,
			    uint32_t owner_index, int64_t now_ms)
{
	/* The others wait for the first owner anyhow. */
	return now_ms >= row->next_check_ms ||
	       (row->is_changed && owner_index == 0);
}

static void gw_on_row_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_poison_row *row = w->data;
	int64_t now_ms = ck_now_ms();
	uint32_t owner_index;

	if (!row->has_read || row->is_writing)
		return;
	owner_index = gw_peers_owner_index(row->gateway, 0);
	if (owner_index == GW_NOT_OWNER ||
	    !gw_is_check_due(row, owner_index, now_ms))
		return;
	switch (gw_next_step(row, owner_index, now_ms)) {
	case PS_TURN_WAIT:
		return;
	case PS_TURN_READ:
		row->has_read = false;
		gw_peers_read_rows(row->gateway);
		return;
	case PS_TURN_WRITE:
		gw_write_poison_row(row, now_ms);
		return;
	}
}

void gw_poison_row_init(struct gw_poison_row *row, struct gw_gateway *g,
			struct ps_table *table)
{
	*row = (struct gw_poison_row){ .gateway = g, .table = table };
	ev_timer_init(&row->timer, gw_on_row_tick, GW_ROW_TICK_S,
		      GW_ROW_TICK_S);
	row->timer.data = row;
	if (g->settings.peers.address[0])
		ev_timer_start(g->kernel.loop, &row->timer);
}

void gw_poison_row_finish(struct gw_poison_row *row)
{
	ev_timer_stop(row->gateway->kernel.loop, &row->timer);
	rw_cancel(&row->gateway->store, &row->write);
	g_free(row->text);
}
