#include "gateway/gw_catchup.h"

#include "gateway/gw_start.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "rows/rw_mirror.h"
#include "rpc/gen/balsampin.h"

/* Covers a new connection to another region and a table of some hundred rows.
 */
#define GW_CATCHUP_TIMEOUT_MS 800
/* A table that is sent takes this long by a link of some 30 Mbit/s. */
#define GW_TABLE_BYTES_PER_MS 4000
/* Further tables are sent if the ones before are through after this time. */
#define GW_TABLES_AHEAD_MS 200

MT_COUNTER(gw_catchups, "balsampin_gateway_tables_from_hosts_total",
	   "tables of the store received from another host")

struct gw_table_call {
	struct gw_catchup *catchup;
	enum gw_table table;
	bool is_pending;
};

struct gw_catchup {
	struct gw_gateway *gateway;
	struct rw_mirror mirrors[GW_TABLES];
	struct gw_table_call calls[GW_TABLES];
	int64_t busy_until_ms;
};

void gw_catchup_start(struct gw_gateway *g)
{
	struct gw_catchup *c = g_new0(struct gw_catchup, 1);

	g->catchup = c;
	c->gateway = g;
	for (uint32_t i = 0; i < GW_TABLES; i++) {
		rw_mirror_init(&c->mirrors[i]);
		c->calls[i] = (struct gw_table_call){ c, i, false };
	}
}

void gw_catchup_stop(struct gw_gateway *g)
{
	struct gw_catchup *c = g->catchup;

	if (!c)
		return;
	for (uint32_t i = 0; i < GW_TABLES; i++)
		rw_mirror_finish(&c->mirrors[i]);
	g_free(c);
	g->catchup = NULL;
}

void gw_catchup_apply_rows(struct gw_gateway *g, enum gw_table table,
			   const struct rw_rows *rows, bool is_whole)
{
	if (g->catchup)
		rw_mirror_apply(&g->catchup->mirrors[table], rows, is_whole);
}

static void gw_on_table_received(void *arg, enum st_code code,
				 const struct rp_peer *from, const void *result)
{
	struct gw_table_call *call = arg;
	const bp_gateway_table *sent = result;
	GArray *rows;

	call->is_pending = false;
	if (code != ST_OK) {
		lg_warn("request for a table from another host failed", "event",
			"table_from_host", "outcome", "failed", "reason",
			st_message(), NULL);
		return;
	}
	/* It has none, or is sending it to others. */
	if (!sent->newest)
		return;
	mt_add(&gw_catchups, 1);
	lg_info("table received from another host", "event", "table_from_host",
		"outcome", "taken", "from", from->host, NULL);
	rows = g_array_new(FALSE, FALSE, sizeof(struct rw_row));
	for (uint32_t i = 0; i < sent->rows.rows_len; i++) {
		const bp_table_row *row = &sent->rows.rows_val[i];
		struct rw_row copy = { row->key, row->value.value_val,
				       row->value.value_len, row->revision,
				       false };

		g_array_append_val(rows, copy);
	}
	gw_knowledge_apply_table(
		call->catchup->gateway, call->table,
		&(struct rw_rows){ (struct rw_row *)(void *)rows->data,
				   rows->len, sent->newest, sent->store_ms },
		sent->lapse_left_ms);
	g_array_free(rows, TRUE);
}

void gw_catchup_request(struct gw_gateway *g, enum gw_table table,
			const struct rp_peer *peer)
{
	struct gw_table_call *call = &g->catchup->calls[table];
	unsigned int number = table;

	if (call->is_pending)
		return;
	call->is_pending =
		gw_peers_call(g,
			      &(struct rp_call_desc){
				      .to = { .ipv4 = peer->ipv4,
					      .port = peer->port },
				      .transport = RP_TCP,
				      .number = BP_GATEWAY_TABLE,
				      .args = (xdrproc_t)xdr_u_int,
				      .args_value = &number,
				      .result = (xdrproc_t)xdr_bp_gateway_table,
				      .result_bytes = sizeof(bp_gateway_table),
				      .deadline_ms = GW_CATCHUP_TIMEOUT_MS,
				      .on_done = gw_on_table_received,
				      .arg = call }) == ST_OK;
}

bool gw_catchup_is_pending(const struct gw_gateway *g, enum gw_table table)
{
	return g->catchup && g->catchup->calls[table].is_pending;
}

bool gw_catchup_is_busy(const struct gw_gateway *g, int64_t now_ms)
{
	return g->catchup &&
	       g->catchup->busy_until_ms - now_ms > GW_TABLES_AHEAD_MS;
}

static void gw_on_table_request(void *arg, struct rp_request *request,
				const void *args)
{
	struct gw_gateway *g = arg;
	unsigned int table = *(const unsigned int *)args;
	bp_gateway_table answer = { 0 };
	struct rw_rows state = { 0 };
	int64_t lapse_left_ms = 0;
	GArray *list, *wire;

	if (table >= GW_TABLES || !g->catchup || !gw_takes_part(g)) {
		rp_drop(request);
		return;
	}
	if (!gw_knowledge_has_table(g, table) ||
	    gw_catchup_is_busy(g, ck_now_ms())) {
		rp_reply(request, &answer);
		return;
	}
	gw_knowledge_get_version(g, table, &state, &lapse_left_ms);
	list = g_array_new(FALSE, FALSE, sizeof(struct rw_row));
	wire = g_array_new(FALSE, FALSE, sizeof(bp_table_row));
	rw_mirror_list(&g->catchup->mirrors[table], list);
	for (uint32_t i = 0; i < list->len; i++) {
		const struct rw_row *row =
			&g_array_index(list, struct rw_row, i);
		bp_table_row copy = { (char *)row->key,
				      { row->value_bytes, (char *)row->value },
				      row->version };

		if (row->value)
			g_array_append_val(wire, copy);
	}
	answer.newest = state.version;
	answer.store_ms = state.store_ms;
	answer.lapse_left_ms = lapse_left_ms;
	answer.rows.rows_val = (bp_table_row *)(void *)wire->data;
	answer.rows.rows_len = wire->len;
	g->catchup->busy_until_ms =
		MAX(g->catchup->busy_until_ms, ck_now_ms()) +
		(int64_t)xdr_sizeof((xdrproc_t)xdr_bp_gateway_table, &answer) /
			GW_TABLE_BYTES_PER_MS;
	rp_reply(request, &answer);
	g_array_free(list, TRUE);
	g_array_free(wire, TRUE);
}

enum st_code gw_catchup_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_GATEWAY_TABLE,
				     .args = (xdrproc_t)xdr_u_int,
				     .args_bytes = sizeof(unsigned int),
				     .result = (xdrproc_t)xdr_bp_gateway_table,
				     .handler = gw_on_table_request,
				     .arg = g });
}
