#include "gateway/gw_start.h"

#include "gateway/gw_catchup.h"
#include "gateway/gw_peers.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "peers/pe_start.h"
#include "rpc/gen/balsampin.h"

#define GW_START_TICK_S 0.02
/* Hosts are asked so many at a time, with this pause: the answer of a host of
 * the zone takes a few ms. */
#define GW_START_ASKED	   3
#define GW_START_ASK_MS	   40
#define GW_START_ANSWER_MS 200
/* Own rows of 300 hosts take 0.5 s if 150 hosts read them over one link. Later,
 * a host does not wait for them: the store is slow, and the fleet may be small.
 */
#define GW_START_OWN_ROWS_MS 600
#define GW_START_JITTER_MS   50

MT_COUNTER(gw_start_asked, "balsampin_gateway_start_questions_total",
	   "questions of this host at its start for tables of others")
MT_COUNTER(gw_start_reads, "balsampin_gateway_start_reads_total",
	   "tables that this host read from the store at its start")

struct gw_start {
	struct gw_gateway *gateway;
	ev_timer timer;
	int64_t begun_ms;
	int64_t known_ms;
	int64_t next_ask_ms;
	int64_t jitter_ms;
	uint32_t answers[GW_TABLES];
};

static bool gw_start_is_over(const struct gw_gateway *g)
{
	for (uint32_t i = 0; i < GW_TABLES; i++)
		if (gw_knowledge_is_waiting(g, i))
			return false;
	return true;
}

static void gw_start_read(struct gw_gateway *g, enum gw_table table,
			  const char *reason)
{
	mt_add(&gw_start_reads, 1);
	lg_info("table is read from the store at the start", "event",
		"start_table", "table",
		table == GW_OPERATOR_ROWS ? "operator" : "engines", "reason",
		reason, NULL);
	gw_knowledge_read(g, table);
}

static void gw_start_read_all(struct gw_gateway *g, const char *reason)
{
	for (uint32_t i = 0; i < GW_TABLES; i++)
		if (gw_knowledge_is_waiting(g, i))
			gw_start_read(g, i, reason);
}

static uint32_t gw_start_rank(const struct gw_gateway *g)
{
	const struct gw_settings *s = &g->settings;
	const GPtrArray *peers = g->peers->hosts.peers;
	struct pe_start_host *hosts =
		g_new0(struct pe_start_host, peers->len + 1);
	uint32_t count = 1, rank;

	hosts[0] = (struct pe_start_host){ gw_name_hash(s->host),
					   gw_name_hash(s->zone), true };
	for (uint32_t i = 0; i < peers->len; i++) {
		const struct gw_peer *peer = peers->pdata[i];

		if (!peer->is_far)
			hosts[count++] = (struct pe_start_host){
				peer->hash,
				gw_name_hash(g_quark_to_string(peer->zone)),
				peer->is_seen
			};
	}
	rank = pe_start_rank(hosts, count);
	g_free(hosts);
	return rank;
}

static void gw_start_on_answer(void *arg, enum st_code code,
			       const struct rp_peer *from, const void *result)
{
	struct gw_start *start = arg;
	const bp_gateway_tables *answer = result;

	if (code != ST_OK)
		return;
	for (uint32_t i = 0; i < GW_TABLES; i++) {
		bool has_it = i < answer->versions.versions_len &&
			      answer->versions.versions_val[i];

		if (!gw_knowledge_is_waiting(start->gateway, i))
			continue;
		if (!has_it || answer->is_busy)
			start->answers[i]++;
		else
			gw_catchup_request(start->gateway, i, from);
	}
}

static void gw_start_ask_one(struct gw_start *start, const struct gw_peer *peer)
{
	mt_add(&gw_start_asked, 1);
	gw_peers_call(start->gateway,
		      &(struct rp_call_desc){
			      .to = { .ipv4 = peer->address.ipv4,
				      .port = peer->address.port },
			      .number = BP_GATEWAY_TABLES,
			      .result = (xdrproc_t)xdr_bp_gateway_tables,
			      .result_bytes = sizeof(bp_gateway_tables),
			      .deadline_ms = GW_START_ANSWER_MS,
			      .on_done = gw_start_on_answer,
			      .arg = start });
}

/* Asks hosts of the zone, and one of the region, at random. */
static void gw_start_ask(struct gw_start *start, int64_t now_ms)
{
	const struct gw_peers *p = start->gateway->peers;
	const GPtrArray *peers = p->hosts.peers;
	GPtrArray *members = g_ptr_array_new();
	GPtrArray *near = g_ptr_array_new();

	if (now_ms < start->next_ask_ms)
		goto done;
	start->next_ask_ms = now_ms + GW_START_ASK_MS;
	for (uint32_t i = 0; i < peers->len; i++) {
		const struct gw_peer *peer = peers->pdata[i];

		if (gw_collect_is_member(p, peer))
			g_ptr_array_add(members, (void *)peer);
		else if (!peer->is_far)
			g_ptr_array_add(near, (void *)peer);
	}
	for (uint32_t i = 0; i < GW_START_ASKED; i++) {
		GPtrArray *from =
			(i == 0 && near->len) || !members->len ? near : members;

		if (from->len)
			gw_start_ask_one(start, from->pdata[g_random_int_range(
							0, (gint32)from->len)]);
	}
done:
	g_ptr_array_free(members, TRUE);
	g_ptr_array_free(near, TRUE);
}

static void gw_start_step(struct gw_start *start, int64_t now_ms)
{
	struct gw_gateway *g = start->gateway;
	struct pe_start_state state = {
		.known_ms = now_ms - start->known_ms,
		.others = gw_collect_is_used(g->peers) && g->peers->is_open
				  ? gw_peers_count(g)
				  : 0,
		.jitter_ms = start->jitter_ms,
	};

	state.rank = state.others ? gw_start_rank(g) : 0;
	for (uint32_t i = 0; i < GW_TABLES; i++) {
		if (!gw_knowledge_is_waiting(g, i))
			continue;
		state.answers = start->answers[i];
		state.is_copying = gw_catchup_is_pending(g, i);
		switch (pe_start_next(&state)) {
		case PE_START_READ:
			gw_start_read(g, i,
				      !state.others   ? "small_fleet"
				      : state.answers ? "turn"
						      : "no_answer");
			break;
		case PE_START_ASK:
			gw_start_ask(start, now_ms);
			break;
		default:
			break;
		}
	}
}

static void gw_start_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_start *start = w->data;
	int64_t now_ms = ck_now_ms();

	if (start->known_ms)
		gw_start_step(start, now_ms);
	else if (now_ms - start->begun_ms >= GW_START_OWN_ROWS_MS)
		gw_start_read_all(start->gateway, "own_rows_unknown");
	if (gw_start_is_over(start->gateway))
		ev_timer_stop(loop, w);
}

bool gw_start_begin(struct gw_gateway *g)
{
	struct gw_start *start;

	if (!g->settings.peers.address[0])
		return false;
	start = g_new0(struct gw_start, 1);
	g->start = start;
	start->gateway = g;
	start->jitter_ms = g_random_int_range(0, GW_START_JITTER_MS);
	start->begun_ms = ck_now_ms();
	ev_timer_init(&start->timer, gw_start_on_timer, GW_START_TICK_S,
		      GW_START_TICK_S);
	start->timer.data = start;
	ev_timer_start(g->kernel.loop, &start->timer);
	return true;
}

void gw_start_end(struct gw_gateway *g)
{
	if (!g->start)
		return;
	ev_timer_stop(g->kernel.loop, &g->start->timer);
	g_free(g->start);
	g->start = NULL;
}

void gw_start_know_hosts(struct gw_gateway *g, int64_t sent_ms,
			 int64_t store_ms)
{
	struct gw_start *start = g->start;

	if (!start || start->known_ms)
		return;
	start->known_ms = ck_now_ms();
	gw_knowledge_set_clock(g, sent_ms, store_ms);
	gw_start_step(start, start->known_ms);
}

void gw_start_fail(struct gw_gateway *g)
{
	if (g->start && !g->start->known_ms)
		gw_start_read_all(g, "own_rows_unknown");
}

static void gw_on_tables_question(void *arg, struct rp_request *request,
				  const void *args)
{
	struct gw_gateway *g = arg;
	uint64_t versions[GW_TABLES] = { 0 };
	bp_gateway_tables answer = {
		.is_busy = gw_catchup_is_busy(g, ck_now_ms()),
		.versions = { GW_TABLES, versions },
	};

	for (uint32_t i = 0; i < GW_TABLES; i++) {
		struct rw_rows state = { 0 };
		int64_t lapse_left_ms;

		if (!gw_takes_part(g) || !gw_knowledge_has_table(g, i))
			continue;
		gw_knowledge_get_version(g, i, &state, &lapse_left_ms);
		versions[i] = state.version;
	}
	rp_reply(request, &answer);
}

enum st_code gw_start_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_GATEWAY_TABLES,
				     .result = (xdrproc_t)xdr_bp_gateway_tables,
				     .handler = gw_on_tables_question,
				     .arg = g });
}
