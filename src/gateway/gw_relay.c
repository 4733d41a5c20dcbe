#include "gateway/gw_relay.h"

#include <string.h>

#include "gateway/gw_catchup.h"
#include "gateway/gw_peers.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "rpc/gen/balsampin.h"

/* Bytes of a datagram for rows; the rest holds the RPC header. */
#define GW_RELAY_PAYLOAD_BYTES 1100
/* Bytes of an encoded row beside its key and value. */
#define GW_RELAY_ROW_OVERHEAD_BYTES 32

MT_COUNTER(gw_relay_sent, "balsampin_gateway_rows_told_total",
	   "messages with store rows sent to other hosts")
MT_COUNTER(gw_relay_forwarded, "balsampin_gateway_rows_forwarded_total",
	   "messages with store rows forwarded to the hosts of the zone")
MT_COUNTER(gw_relay_received, "balsampin_gateway_rows_heard_total",
	   "messages with store rows from the reader of the region")

static uint32_t gw_row_bytes(const struct rw_row *row)
{
	return GW_RELAY_ROW_OVERHEAD_BYTES + strlen(row->key) +
	       row->value_bytes;
}

static bp_row gw_row_to_wire(const struct rw_row *row)
{
	return (bp_row){
		.key = (char *)row->key,
		.value = { row->value ? row->value_bytes : 0,
			   (char *)row->value },
		.revision = row->version,
		.deleted = row->is_deleted,
	};
}

static void gw_relay_send_now(struct gw_gateway *g,
			      const bp_gateway_rows *message)
{
	mt_add(&gw_relay_sent, 1);
	gw_peers_call_followers(g, BP_GATEWAY_ROWS, BP_GATEWAY_FORWARD_ROWS,
				(xdrproc_t)xdr_bp_gateway_rows, message);
}

static bp_gateway_rows *gw_relay_copy(const bp_gateway_rows *message)
{
	bp_gateway_rows *copy = g_memdup2(message, sizeof(*message));

	copy->rows.rows_val = g_new0(bp_row, message->rows.rows_len);
	for (uint32_t i = 0; i < message->rows.rows_len; i++) {
		const bp_row *from = &message->rows.rows_val[i];
		bp_row *to = &copy->rows.rows_val[i];

		*to = *from;
		to->key = g_strdup(from->key);
		to->value.value_val =
			g_memdup2(from->value.value_val, from->value.value_len);
	}
	return copy;
}

static void gw_relay_free(bp_gateway_rows *message)
{
	for (uint32_t i = 0; i < message->rows.rows_len; i++) {
		g_free(message->rows.rows_val[i].key);
		g_free(message->rows.rows_val[i].value.value_val);
	}
	g_free(message->rows.rows_val);
	g_free(message);
}

static void gw_relay_offer(struct gw_gateway *g, const bp_gateway_rows *message)
{
	bp_gateway_rows *copy;

	if (!g->peers || !g->peers->is_open)
		return;
	if (pe_pace_is_full(&g->peers->pace)) {
		lg_warn("too many rows to relay; hosts will read the store",
			"event", "relay_full", "outcome", "dropped", NULL);
		return;
	}
	copy = gw_relay_copy(message);
	if (!pe_pace_offer(&g->peers->pace, copy))
		return;
	gw_relay_send_now(g, copy);
	gw_relay_free(copy);
}

void gw_relay_step(struct gw_gateway *g)
{
	bp_gateway_rows *message = pe_pace_next(&g->peers->pace);

	if (!message)
		return;
	gw_relay_send_now(g, message);
	gw_relay_free(message);
}

void gw_relay_clear(struct gw_gateway *g)
{
	bp_gateway_rows *message;

	while ((message = pe_pace_take(&g->peers->pace)))
		gw_relay_free(message);
}

/*
 * Shortens a message that ends between rows of one transaction. The version at
 * its end tells receivers that they have all rows up to it.
 */
static uint32_t gw_relay_end_of_version(const struct rw_rows *rows,
					uint32_t first, uint32_t count)
{
	uint32_t end = first + count;

	if (end == rows->count)
		return count;
	while (end > first &&
	       rows->rows[end - 1].version == rows->rows[end].version)
		end--;
	return end - first;
}

/*
 * Encodes the rows from @first on that fit a datagram. Returns their number; 0
 * if those of the next version are too large.
 */
static uint32_t gw_relay_fill(const struct rw_rows *rows, uint32_t first,
			      bp_row *wire)
{
	uint32_t room = GW_RELAY_PAYLOAD_BYTES;
	uint32_t count = 0;

	while (first + count < rows->count && count < BP_MAX_ROWS) {
		const struct rw_row *row = &rows->rows[first + count];

		if (gw_row_bytes(row) > room)
			break;
		room -= gw_row_bytes(row);
		wire[count++] = gw_row_to_wire(row);
	}
	return gw_relay_end_of_version(rows, first, count);
}

static void gw_relay_send_reload(struct gw_gateway *g,
				 const struct gw_table_update *update,
				 bp_gateway_rows message)
{
	message.from = update->rows.version;
	message.to = update->rows.version;
	message.newest = update->rows.version;
	message.reload = true;
	gw_relay_offer(g, &message);
}

/* Sends as many messages as the rows need; only the last one has @newest. */
static void gw_relay_send_rows(struct gw_gateway *g,
			       const struct gw_table_update *update,
			       bp_gateway_rows message)
{
	const struct rw_rows *rows = &update->rows;
	bp_row wire[BP_MAX_ROWS];
	uint32_t first = 0;

	do {
		uint32_t count = gw_relay_fill(rows, first, wire);

		message.partial = !count && rows->count;
		first = message.partial ? rows->count : first + count;
		message.to = first < rows->count ? rows->rows[first - 1].version
						 : rows->version;
		message.newest =
			first < rows->count ? message.to : update->newest;
		message.rows.rows_val = wire;
		message.rows.rows_len = count;
		gw_relay_offer(g, &message);
		message.from = message.to;
	} while (first < rows->count);
}

void gw_relay_send(struct gw_gateway *g, enum gw_table table,
		   const struct gw_table_update *update, int64_t lapse_left_ms)
{
	bp_gateway_rows message = { .table = table,
				    .from = update->from,
				    .store_ms = update->rows.store_ms,
				    .lapse_left_ms = lapse_left_ms };

	if (update->is_reload)
		gw_relay_send_reload(g, update, message);
	else
		gw_relay_send_rows(g, update, message);
}

static void gw_on_relayed(void *arg, struct rp_request *request,
			  const void *args)
{
	const bp_gateway_rows *message = args;
	struct rw_row rows[BP_MAX_ROWS];
	struct gw_table_update update = {
		.from = message->from,
		.newest = message->newest,
		.is_partial = message->partial,
		.is_reload = message->reload,
		.rows = { rows, message->rows.rows_len, message->to,
			  (int64_t)message->store_ms },
	};

	mt_add(&gw_relay_received, 1);
	for (uint32_t i = 0; i < message->rows.rows_len; i++) {
		const bp_row *row = &message->rows.rows_val[i];

		rows[i] = (struct rw_row){
			.key = row->key,
			.value = row->value.value_len ? row->value.value_val
						      : NULL,
			.value_bytes = row->value.value_len,
			.version = row->revision,
			.is_deleted = row->deleted,
		};
	}
	if (message->table < GW_TABLES &&
	    !gw_knowledge_apply_update(arg, message->table, &update,
				       message->lapse_left_ms))
		gw_catchup_request(arg, message->table, rp_peer_of(request));
	rp_drop(request);
}

static void gw_on_forward(void *arg, struct rp_request *request,
			  const void *args)
{
	mt_add(&gw_relay_forwarded, 1);
	gw_peers_call_zone(arg, BP_GATEWAY_ROWS, (xdrproc_t)xdr_bp_gateway_rows,
			   args);
	gw_on_relayed(arg, request, args);
}

enum st_code gw_relay_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	enum st_code code = rp_serve(
		rpc,
		&(struct rp_procedure){ .number = BP_GATEWAY_ROWS,
					.args = (xdrproc_t)xdr_bp_gateway_rows,
					.args_bytes = sizeof(bp_gateway_rows),
					.handler = gw_on_relayed,
					.arg = g });

	if (code != ST_OK)
		return code;
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_GATEWAY_FORWARD_ROWS,
				     .args = (xdrproc_t)xdr_bp_gateway_rows,
				     .args_bytes = sizeof(bp_gateway_rows),
				     .handler = gw_on_forward,
				     .arg = g });
}
