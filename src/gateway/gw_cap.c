#include "gateway/gw_cap.h"

#include <string.h>

#include "gateway/gw_peers.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/mt_family.h"
#include "limits/lm_cap.h"
#include "rpc/gen/balsampin.h"

#define GW_CAP_PERIOD_MS     100
#define GW_CAP_FAR_PERIOD_MS 200
/* A message per member and period is the load of a collector. */
#define GW_CAP_MS_PER_MEMBER 1
/* A counter is in this many messages after it has changed: one may be lost. */
#define GW_CAP_REPEATS 4
/* Messages with all counters; they tell silence from idleness. */
#define GW_CAP_WHOLE_MS 500
/* Hosts that send messages and are not in the list of hosts yet. */
#define GW_CAP_MAX_UNLISTED 64
#define GW_CAP_UNLISTED_MS  8000
/* Until the list of hosts is read, this host is taken for one of so many. */
#define GW_CAP_UNKNOWN_HOSTS 64
/* Id of the sum over all other hosts. */
#define GW_CAP_ALL_ID 1
/* The best priority that a team's requests had lately is urgent. */
#define GW_CAP_PRIORITY_MS 10000
#define GW_CAP_LINES_PER_S 10
/* A change of the share that is logged, and how often at most. */
#define GW_CAP_LOGGED_PERMILLE 100
#define GW_CAP_LOG_PERIOD_MS   1000

MT_COUNTERS(gw_cap_admitted, "balsampin_gateway_cap_charged_total",
	    "attempts of teams with a cap that were charged", "team")
MT_COUNTERS(gw_cap_refused, "balsampin_gateway_cap_refused_total",
	    "requests refused because their team is at its cap", "team")
MT_COUNTERS(gw_cap_returned, "balsampin_gateway_cap_given_back_total",
	    "charged attempts that were not run", "team")
MT_COUNTER(gw_uses_sent, "balsampin_gateway_use_messages_sent_total",
	   "messages about the usage of teams sent")
MT_COUNTER(gw_uses_heard, "balsampin_gateway_use_messages_heard_total",
	   "messages about the usage of teams received")
MT_GAUGE(gw_cap_hosts, "balsampin_gateway_cap_hosts",
	 "hosts that share the caps of teams; 0 before their list is read")
MT_COUNTER(gw_cap_unlogged, "balsampin_gateway_cap_lines_left_out_total",
	   "refusals over the cap beyond those that are logged")

/**
 * struct gw_cap_team - a team that has or had a cap.
 * @best_priority: of its requests until @best_until_ms.
 * @share_permille: the share logged last.
 */
struct gw_cap_team {
	uint64_t id;
	char *name;
	bool has_cap;
	uint32_t best_priority;
	int64_t best_until_ms;
	int64_t share_permille;
	int64_t logged_ms;
};

/** struct gw_unlisted - a host that is not in the list of hosts. */
struct gw_unlisted {
	uint64_t id;
	uint64_t zone;
	struct rp_peer peer;
	int64_t heard_ms;
};

/**
 * struct gw_cap
 * @next_ms, @next_members_ms, @next_far_ms: when the next messages are due:
 *	to near hosts, to the members of the zone, to other zones or regions.
 * @knows_hosts: the list of hosts has been read.
 * @whole_*: the same for messages with all counters.
 */
struct gw_cap {
	struct gw_gateway *gateway;
	struct lm_caps caps;
	GHashTable *teams;
	GArray *unlisted;
	ev_timer tick;
	uint64_t sequence;
	int64_t next_near_ms;
	int64_t next_members_ms;
	int64_t next_far_ms;
	int64_t whole_near_ms;
	int64_t whole_members_ms;
	int64_t whole_far_ms;
	bool knows_hosts;
	enum lm_cap_kind uses;
	uint32_t silent;
	int64_t line_second;
	uint32_t lines;
};

/* A message that is due: its counters, and how it is sent. */
struct gw_cap_due {
	enum lm_cap_kind kind;
	int64_t changed_ms;
};

static uint64_t gw_cap_zone_hash(const char *zone)
{
	return gw_name_hash(zone);
}

static uint64_t gw_cap_zone_of(const struct gw_peer *peer)
{
	return gw_cap_zone_hash(g_quark_to_string(peer->zone));
}

/* No host has the id of a zone. */
static uint64_t gw_cap_zone_id(uint64_t zone)
{
	return ~zone;
}

static void gw_cap_team_free(void *data)
{
	struct gw_cap_team *team = data;

	g_free(team->name);
	g_free(team);
}

static struct gw_cap_team *gw_cap_add_team(struct gw_cap *cap, const char *name)
{
	uint64_t id = gw_name_hash(name);
	struct gw_cap_team *team = g_hash_table_lookup(cap->teams, &id);

	if (team)
		return team;
	team = g_new0(struct gw_cap_team, 1);
	team->id = id;
	team->name = g_strdup(name);
	g_hash_table_insert(cap->teams, &team->id, team);
	return team;
}

/* --- messages --- */

static void gw_cap_send(struct gw_cap *cap, const struct rp_peer *to,
			enum lm_cap_kind kind, uint64_t receiver,
			int64_t changed_ms)
{
	struct lm_cap_row rows[BP_MAX_USE];
	bp_use uses[BP_MAX_USE];
	struct lm_cap_message list;
	bp_gateway_use message;

	if (!lm_cap_list(&cap->caps,
			 &(struct lm_cap_query){ .kind = kind,
						 .receiver = receiver,
						 .changed_ms = changed_ms,
						 .rows = rows,
						 .max = BP_MAX_USE },
			 &list, ck_now_ms()) ||
	    (!list.count && changed_ms))
		return;
	for (uint32_t i = 0; i < list.count; i++)
		uses[i] = (bp_use){ rows[i].team, rows[i].used };
	message = (bp_gateway_use){
		.sequence = ++cap->sequence,
		.stream = list.stream,
		.zone = gw_cap_zone_hash(cap->gateway->settings.zone),
		.kind = kind,
		.age_ms = (uint32_t)MIN(list.age_ms, UINT32_MAX),
		.whole = list.is_whole,
		.uses = { list.count, uses },
	};
	mt_add(&gw_uses_sent, 1);
	gw_peers_call_one(cap->gateway, to, BP_GATEWAY_USE,
			  (xdrproc_t)xdr_bp_gateway_use, &message);
}

static void gw_cap_send_peer(struct gw_cap *cap, const struct gw_peer *peer,
			     enum lm_cap_kind kind, int64_t changed_ms)
{
	gw_cap_send(cap,
		    &(struct rp_peer){ .ipv4 = peer->address.ipv4,
				       .port = peer->address.port },
		    kind, peer->hash, changed_ms);
}

/*
 * Whether messages are due. @changed_ms: time from which on changed counters
 * are to be sent, 0 for all.
 */
static bool gw_cap_is_due(int64_t *next_ms, int64_t *whole_ms,
			  int64_t period_ms, int64_t now_ms,
			  int64_t *changed_ms)
{
	/* Half a tick early is better than half a period late. */
	if (now_ms < *next_ms - GW_CAP_PERIOD_MS / 2)
		return false;
	*next_ms = MAX(*next_ms + period_ms, now_ms);
	*changed_ms = MAX(now_ms - GW_CAP_REPEATS * period_ms, 1);
	if (now_ms >= *whole_ms) {
		*whole_ms = now_ms + MAX(GW_CAP_WHOLE_MS, period_ms);
		*changed_ms = 0;
	}
	return true;
}

static void gw_cap_send_unlisted(struct gw_cap *cap, enum lm_cap_kind kind,
				 int64_t changed_ms)
{
	uint64_t zone = gw_cap_zone_hash(cap->gateway->settings.zone);

	for (uint32_t i = 0; i < cap->unlisted->len; i++) {
		const struct gw_unlisted *u =
			&g_array_index(cap->unlisted, struct gw_unlisted, i);

		if (kind == LM_CAP_HOST || u->zone == zone)
			gw_cap_send(cap, &u->peer, kind, u->id, changed_ms);
	}
}

static void gw_cap_send_direct(struct gw_cap *cap, bool is_far,
			       int64_t changed_ms)
{
	const struct gw_peers *p = cap->gateway->peers;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (peer->is_far == is_far)
			gw_cap_send_peer(cap, peer, LM_CAP_HOST, changed_ms);
	}
	if (!is_far)
		gw_cap_send_unlisted(cap, LM_CAP_HOST, changed_ms);
}

static void gw_cap_report(struct gw_cap *cap, int64_t changed_ms)
{
	const struct gw_peers *p = cap->gateway->peers;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (peer->is_collector)
			gw_cap_send_peer(cap, peer, LM_CAP_HOST, changed_ms);
	}
}

static void gw_cap_send_members(struct gw_cap *cap, int64_t changed_ms,
				int64_t now_ms)
{
	const struct gw_peers *p = cap->gateway->peers;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];

		if (gw_collect_is_member(p, peer) &&
		    gw_collect_may_collect(peer, now_ms))
			gw_cap_send_peer(cap, peer, LM_CAP_ALL, changed_ms);
	}
	gw_cap_send_unlisted(cap, LM_CAP_ALL, changed_ms);
}

static void gw_cap_send_zones(struct gw_cap *cap, bool is_far,
			      int64_t changed_ms, int64_t now_ms)
{
	GPtrArray *peers = g_ptr_array_new();

	gw_collect_list_far(cap->gateway->peers, peers, now_ms);
	for (uint32_t i = 0; i < peers->len; i++) {
		const struct gw_peer *peer = peers->pdata[i];

		if (peer->is_far == is_far)
			gw_cap_send_peer(cap, peer, LM_CAP_ZONE, changed_ms);
	}
	g_ptr_array_free(peers, TRUE);
}

static int64_t gw_cap_members_ms(const struct gw_peers *p)
{
	int64_t members = 0;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++)
		members += gw_collect_is_member(p, p->hosts.peers->pdata[i]);
	return MAX(GW_CAP_PERIOD_MS, members * GW_CAP_MS_PER_MEMBER);
}

static void gw_cap_send_due(struct gw_cap *cap, int64_t now_ms)
{
	const struct gw_peers *p = cap->gateway->peers;
	bool is_collecting = gw_collect_is_used(p);
	bool is_collector = is_collecting && p->collect.is_collector &&
			    pe_zone_may_send(&p->collect.zone, now_ms);
	int64_t changed_ms;

	if (gw_cap_is_due(&cap->next_near_ms, &cap->whole_near_ms,
			  GW_CAP_PERIOD_MS, now_ms, &changed_ms)) {
		if (is_collecting)
			gw_cap_report(cap, changed_ms);
		else
			gw_cap_send_direct(cap, false, changed_ms);
		if (is_collector)
			gw_cap_send_zones(cap, false, changed_ms, now_ms);
	}
	if (is_collector &&
	    gw_cap_is_due(&cap->next_members_ms, &cap->whole_members_ms,
			  gw_cap_members_ms(p), now_ms, &changed_ms))
		gw_cap_send_members(cap, changed_ms, now_ms);
	if (gw_cap_is_due(&cap->next_far_ms, &cap->whole_far_ms,
			  GW_CAP_FAR_PERIOD_MS, now_ms, &changed_ms)) {
		if (!is_collecting)
			gw_cap_send_direct(cap, true, changed_ms);
		else if (is_collector)
			gw_cap_send_zones(cap, true, changed_ms, now_ms);
	}
}

/* --- sources --- */

static void gw_cap_expect_hosts(const struct gw_cap *cap, GArray *sources,
				bool only_members)
{
	const struct gw_peers *p = cap->gateway->peers;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];
		struct lm_cap_expected is = { peer->hash, LM_CAP_HOST,
					      gw_cap_zone_of(peer), 1 };

		if (!only_members || gw_collect_is_member(p, peer))
			g_array_append_val(sources, is);
	}
	for (uint32_t i = 0; i < cap->unlisted->len; i++) {
		const struct gw_unlisted *u =
			&g_array_index(cap->unlisted, struct gw_unlisted, i);
		struct lm_cap_expected is = { u->id, LM_CAP_HOST, u->zone, 1 };

		if (!only_members ||
		    u->zone == gw_cap_zone_hash(cap->gateway->settings.zone))
			g_array_append_val(sources, is);
	}
}

static void gw_cap_expect_zones(const struct gw_cap *cap, GArray *sources)
{
	const struct gw_peers *p = cap->gateway->peers;
	uint32_t first = sources->len;

	for (uint32_t i = 0; i < p->hosts.peers->len; i++) {
		const struct gw_peer *peer = p->hosts.peers->pdata[i];
		struct lm_cap_expected is = {
			gw_cap_zone_id(gw_cap_zone_of(peer)), LM_CAP_ZONE, 0, 1
		};
		uint32_t k = first;

		if (gw_collect_is_member(p, peer))
			continue;
		while (k < sources->len &&
		       g_array_index(sources, struct lm_cap_expected, k).id !=
			       is.id)
			k++;
		if (k < sources->len)
			g_array_index(sources, struct lm_cap_expected, k)
				.hosts++;
		else
			g_array_append_val(sources, is);
	}
}

/* Returns what this host deducts: the sums of a collector, or the sources. */
static enum lm_cap_kind gw_cap_expect_all(const struct gw_cap *cap,
					  GArray *sources, int64_t now_ms)
{
	const struct gw_peers *p = cap->gateway->peers;
	struct lm_cap_expected all = { GW_CAP_ALL_ID, LM_CAP_ALL, 0,
				       GW_CAP_UNKNOWN_HOSTS - 1 };

	if (!p || !p->is_open) {
		g_array_append_val(sources, all);
		return LM_CAP_ALL;
	}
	all.hosts = p->hosts.peers->len;
	if (!gw_collect_is_used(p)) {
		gw_cap_expect_hosts(cap, sources, false);
		return LM_CAP_HOST;
	}
	g_array_append_val(sources, all);
	if (!pe_zone_is_collecting(&p->collect.zone))
		return LM_CAP_ALL;
	gw_cap_expect_hosts(cap, sources, true);
	gw_cap_expect_zones(cap, sources);
	return pe_zone_may_send(&p->collect.zone, now_ms) ? LM_CAP_HOST
							  : LM_CAP_ALL;
}

static struct gw_peer *gw_cap_find_listed(const struct gw_cap *cap,
					  const struct rp_peer *from)
{
	const struct gw_peers *p = cap->gateway->peers;

	return p ? gw_hosts_find(&p->hosts, from->ipv4, from->port) : NULL;
}

static void gw_cap_expect(struct gw_cap *cap, int64_t now_ms)
{
	const struct gw_peers *p = cap->gateway->peers;
	GArray *sources;

	/* A host without an address for the others is alone. */
	if (!cap->gateway->settings.peers.address[0])
		return;
	sources = g_array_new(FALSE, FALSE, sizeof(struct lm_cap_expected));
	for (uint32_t i = cap->unlisted->len; i-- > 0;) {
		const struct gw_unlisted *u =
			&g_array_index(cap->unlisted, struct gw_unlisted, i);

		if (now_ms - u->heard_ms > GW_CAP_UNLISTED_MS ||
		    gw_cap_find_listed(cap, &u->peer))
			g_array_remove_index_fast(cap->unlisted, i);
	}
	cap->uses = gw_cap_expect_all(cap, sources, now_ms);
	cap->knows_hosts = p && p->is_open;
	mt_set(&gw_cap_hosts, cap->knows_hosts ? p->hosts.peers->len + 1 : 0);
	lm_cap_expect(&cap->caps,
		      (const struct lm_cap_expected *)(void *)sources->data,
		      sources->len, cap->uses,
		      gw_cap_zone_hash(cap->gateway->settings.zone), now_ms);
	g_array_free(sources, TRUE);
}

static void gw_cap_note_unlisted(struct gw_cap *cap, const struct rp_peer *from,
				 uint64_t zone, int64_t now_ms)
{
	struct gw_unlisted fresh = { gw_name_hash(from->host), zone, *from,
				     now_ms };

	if (gw_cap_find_listed(cap, from))
		return;
	fresh.peer.incarnation = 0;
	for (uint32_t i = 0; i < cap->unlisted->len; i++) {
		struct gw_unlisted *u =
			&g_array_index(cap->unlisted, struct gw_unlisted, i);

		if (u->id != fresh.id)
			continue;
		*u = fresh;
		return;
	}
	if (cap->unlisted->len < GW_CAP_MAX_UNLISTED)
		g_array_append_val(cap->unlisted, fresh);
}

static void gw_on_use(void *arg, struct rp_request *request, const void *args)
{
	struct gw_cap *cap = arg;
	const bp_gateway_use *message = args;
	const struct rp_peer *from = rp_peer_of(request);
	struct lm_cap_row rows[BP_MAX_USE];
	int64_t now_ms = ck_now_ms();
	uint64_t id = gw_name_hash(from->host);

	mt_add(&gw_uses_heard, 1);
	for (uint32_t i = 0; i < message->uses.uses_len; i++)
		rows[i] = (struct lm_cap_row){ message->uses.uses_val[i].team,
					       message->uses.uses_val[i].used };
	if (message->kind == LM_CAP_HOST)
		gw_cap_note_unlisted(cap, from, message->zone, now_ms);
	else if (message->kind == LM_CAP_ZONE)
		id = gw_cap_zone_id(message->zone);
	else
		id = GW_CAP_ALL_ID;
	if (message->kind <= LM_CAP_ALL)
		lm_cap_heard(&cap->caps, id,
			     &(struct lm_cap_message){
				     .stream = message->stream,
				     .sequence = message->sequence,
				     .age_ms = message->age_ms,
				     .is_whole = message->whole,
				     .rows = rows,
				     .count = message->uses.uses_len },
			     now_ms);
	rp_drop(request);
}

enum st_code gw_cap_serve(struct gw_gateway *g, struct rp_endpoint *rpc)
{
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_GATEWAY_USE,
				     .args = (xdrproc_t)xdr_bp_gateway_use,
				     .args_bytes = sizeof(bp_gateway_use),
				     .handler = gw_on_use,
				     .arg = g->cap });
}

/* --- logs --- */

static void gw_cap_log_share(const struct gw_cap *cap,
			     const struct gw_cap_team *team,
			     const struct lm_cap_answer *known)
{
	char used[24], limit[24], share[12], age[24], silent[12];

	g_snprintf(used, sizeof(used), "%" G_GINT64_FORMAT, known->used);
	g_snprintf(limit, sizeof(limit), "%" G_GINT64_FORMAT, known->cap);
	g_snprintf(share, sizeof(share), "%u", known->share_permille);
	g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT, known->age_ms);
	g_snprintf(silent, sizeof(silent), "%u", cap->silent);
	lg_info("share of a team's cap", "event", "cap_share", "team",
		team->name, "used", used, "cap", limit, "share_permille", share,
		"age_ms", age, "silent_sources", silent, "outcome",
		cap->uses == LM_CAP_ALL ? "sums" : "reports", NULL);
}

static void gw_cap_log_shares(struct gw_cap *cap, int64_t now_ms)
{
	static enum lm_cap_kind uses = LM_CAP_HOST;
	uint32_t silent = lm_cap_silent(&cap->caps, now_ms);
	bool has_changed = silent != cap->silent || uses != cap->uses;
	GHashTableIter i;
	void *value;

	cap->silent = silent;
	uses = cap->uses;
	g_hash_table_iter_init(&i, cap->teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct gw_cap_team *team = value;
		struct lm_cap_answer known;

		if (now_ms - team->logged_ms < GW_CAP_LOG_PERIOD_MS ||
		    !lm_cap_look(&cap->caps, team->id, now_ms, &known) ||
		    (!has_changed &&
		     ABS(known.share_permille - team->share_permille) <
			     GW_CAP_LOGGED_PERMILLE))
			continue;
		team->share_permille = known.share_permille;
		team->logged_ms = now_ms;
		gw_cap_log_share(cap, team, &known);
	}
}

static void gw_cap_log_refused(struct gw_cap *cap, const struct gw_request *r,
			       int64_t cost, const struct lm_cap_answer *answer,
			       int64_t now_ms)
{
	char used[24], limit[24], share[12], age[24], text[24], after[24];
	char content[20];

	if (cap->line_second != now_ms / 1000) {
		cap->line_second = now_ms / 1000;
		cap->lines = 0;
	}
	if (cap->lines >= GW_CAP_LINES_PER_S) {
		mt_add(&gw_cap_unlogged, 1);
		return;
	}
	cap->lines++;
	g_snprintf(used, sizeof(used), "%" G_GINT64_FORMAT, answer->used);
	g_snprintf(limit, sizeof(limit), "%" G_GINT64_FORMAT, answer->cap);
	g_snprintf(share, sizeof(share), "%u", answer->share_permille);
	g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT, answer->age_ms);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, cost);
	g_snprintf(after, sizeof(after), "%" G_GINT64_FORMAT,
		   answer->retry_after_ms);
	g_snprintf(content, sizeof(content), "%" G_GINT64_MODIFIER "x",
		   r->content);
	lg_info("team is at its cap", "event", "over_cap", "request",
		r->in.attempt ? r->in.attempt : "", "team", r->terms.team->name,
		"cost", text, "used", used, "cap", limit, "share_permille",
		share, "age_ms", age, "retry_after_ms", after, "content",
		content, NULL);
}

bool gw_cap_knows_hosts(const struct gw_gateway *g)
{
	return !g->cap || !lm_cap_is_active(&g->cap->caps) ||
	       !g->settings.peers.address[0] || g->cap->knows_hosts;
}

/* --- charges --- */

static int64_t gw_cap_cost(const struct gw_request *r)
{
	int64_t tokens =
		(int64_t)r->in.prompt_tokens + (int64_t)r->in.max_output_tokens;

	if (r->terms.team->cap_unit == CA_REQUESTS)
		return 1;
	return r->in.has_tokens ? tokens : r->terms.team->cap_plain_cost;
}

static bool gw_cap_is_urgent(struct gw_cap_team *team, uint32_t priority,
			     int64_t now_ms)
{
	if (priority <= team->best_priority || now_ms >= team->best_until_ms) {
		team->best_priority = priority;
		team->best_until_ms = now_ms + GW_CAP_PRIORITY_MS;
	}
	return priority <= team->best_priority;
}

static struct gw_cap_team *gw_cap_team_of(const struct gw_request *r)
{
	struct gw_cap *cap = r->gateway->cap;
	struct gw_cap_team *team;
	uint64_t id;

	if (!cap || !r->terms.team || !lm_cap_is_active(&cap->caps))
		return NULL;
	id = gw_name_hash(r->terms.team->name);
	team = g_hash_table_lookup(cap->teams, &id);
	return team && team->has_cap ? team : NULL;
}

bool gw_cap_charge(struct gw_request *r)
{
	struct gw_cap *cap = r->gateway->cap;
	struct gw_cap_team *team = gw_cap_team_of(r);
	struct lm_cap_answer answer;
	int64_t now_ms = ck_now_ms();
	int64_t cost;

	/* It was held here since it was charged, see gw_separate.h. */
	if (r->charged || !team)
		return true;
	cost = gw_cap_cost(r);
	if (cost <= 0)
		return true;
	if (r->may_have_begun || r->has_begun) {
		lm_cap_charge(&cap->caps, team->id, cost, now_ms);
	} else if (!lm_cap_take(&cap->caps, team->id, cost,
				gw_cap_is_urgent(team, r->terms.route->priority,
						 now_ms),
				now_ms, &answer)) {
		r->retry_after_ms = answer.retry_after_ms;
		mt_count(&gw_cap_refused, team->name);
		gw_cap_log_refused(cap, r, cost, &answer, now_ms);
		return false;
	}
	mt_count(&gw_cap_admitted, team->name);
	r->charged = cost;
	return true;
}

void gw_cap_give_back(struct gw_request *r)
{
	if (!r->charged)
		return;
	lm_cap_give_back(&r->gateway->cap->caps,
			 gw_name_hash(r->terms.team->name), r->charged,
			 ck_now_ms());
	mt_count(&gw_cap_returned, r->terms.team->name);
	r->charged = 0;
}

void gw_cap_keep(struct gw_request *r)
{
	r->charged = 0;
}

/* --- life cycle --- */

void gw_cap_configure(struct gw_gateway *g)
{
	struct gw_cap *cap = g->cap;
	int64_t now_ms = ck_now_ms();
	const struct ca_team *team;
	GHashTableIter i;
	void *value;

	if (!cap)
		return;
	g_hash_table_iter_init(&i, cap->teams);
	while (g_hash_table_iter_next(&i, NULL, &value))
		((struct gw_cap_team *)value)->has_cap = false;
	for (uint32_t k = 0; (team = ca_team_at(g->catalog, k)); k++) {
		struct gw_cap_team *known;

		if (team->cap_per_s <= 0)
			continue;
		known = gw_cap_add_team(cap, team->name);
		known->has_cap = true;
		lm_cap_set(&cap->caps, known->id, team->cap_per_s,
			   team->cap_burst, now_ms);
	}
	g_hash_table_iter_init(&i, cap->teams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct gw_cap_team *known = value;

		if (!known->has_cap)
			lm_cap_set(&cap->caps, known->id, 0, 0, now_ms);
	}
	if (!lm_cap_is_active(&cap->caps)) {
		ev_timer_stop(g->kernel.loop, &cap->tick);
	} else if (!ev_is_active(&cap->tick)) {
		gw_cap_expect(cap, now_ms);
		ev_timer_again(g->kernel.loop, &cap->tick);
	}
}

static void gw_on_cap_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_cap *cap = w->data;
	const struct gw_peers *p = cap->gateway->peers;
	int64_t now_ms = ck_now_ms();

	gw_cap_expect(cap, now_ms);
	if (gw_has_read(cap->gateway))
		gw_requests_release(cap->gateway);
	lm_cap_tick(&cap->caps, now_ms);
	if (p && p->is_open)
		gw_cap_send_due(cap, now_ms);
	gw_cap_log_shares(cap, now_ms);
}

enum st_code gw_cap_start(struct gw_gateway *g)
{
	struct gw_cap *cap = g_new0(struct gw_cap, 1);

	g->cap = cap;
	cap->gateway = g;
	lm_cap_init(&cap->caps, (uint64_t)g_random_int() << 32 | g_random_int(),
		    ck_now_ms());
	cap->teams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   gw_cap_team_free);
	cap->unlisted = g_array_new(FALSE, FALSE, sizeof(struct gw_unlisted));
	ev_timer_init(&cap->tick, gw_on_cap_tick, GW_CAP_PERIOD_MS / 1000.0,
		      GW_CAP_PERIOD_MS / 1000.0);
	cap->tick.data = cap;
	return ST_OK;
}

void gw_cap_stop(struct gw_gateway *g)
{
	struct gw_cap *cap = g->cap;

	if (!cap)
		return;
	ev_timer_stop(g->kernel.loop, &cap->tick);
	lm_cap_finish(&cap->caps);
	g_hash_table_destroy(cap->teams);
	g_array_free(cap->unlisted, TRUE);
	g_free(cap);
	g->cap = NULL;
}
