/*
 * State read from the store: configuration, wanted weights, upstreams.
 */
#include <string.h>

#include "gateway/gw.h"
#include "gateway/gw_begun.h"
#include "gateway/gw_cap.h"
#include "gateway/gw_catchup.h"
#include "gateway/gw_continue.h"
#include "gateway/gw_notice.h"
#include "gateway/gw_poison.h"
#include "gateway/gw_reach.h"
#include "gateway/gw_relay.h"
#include "gateway/gw_silence.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"

/* How stale rows may become without changes; see gw_admit.c, gw_watch.c. */
#define GW_ROWS_WAIT_MS 1000
/* Engines restore entries that lapsed in a store outage within two seconds. */
#define GW_LAPSED_GRACE_MS 2300
#define GW_SWEEP_S	   0.1
/* Longest pause between two calls of a host to a store that does not answer: of
 * the hosts that try for all, and of the others. */
#define GW_RETRYING_HOSTS    6
#define GW_RETRY_MAX_MS	     1000
#define GW_RETRY_MS_PER_HOST 16
#define GW_RETRY_IDLE_MAX_MS 5000

MT_COUNTER(gw_configs, "balsampin_gateway_configurations_total",
	   "configurations put in force")
MT_COUNTER(gw_configs_refused, "balsampin_gateway_configurations_refused_total",
	   "configurations with entries that cannot be used")
MT_COUNTER(gw_bad_rows, "balsampin_gateway_unreadable_rows_total",
	   "rows of the store that could not be read")
MT_COUNTER(gw_store_lost, "balsampin_gateway_store_losses_total",
	   "times that the feed of a table was lost")

MT_GAUGE(gw_config_age, "balsampin_gateway_config_age_ms",
	 "time since the configuration was known to be the newest")

struct gw_knowledge {
	struct gw_gateway *gateway;
	struct gw_watch operator_rows;
	struct gw_watch engine_rows;
	ev_timer sweep;
	int64_t lapse_until_ms;
	int64_t engines_fresh_ms; /* before the rows that are being applied */
};

static void gw_log_bad_row(const char *key)
{
	mt_add(&gw_bad_rows, 1);
	lg_warn("unreadable row ignored", "event", "row_ignored", "key", key,
		"reason", st_message(), NULL);
}

/* The last version stays in force: left out entries would change routing. */
static void gw_refuse_config(const struct gw_gateway *g,
			     const struct ca_catalog *catalog)
{
	char version[24], kept[24], entries[12];

	mt_add(&gw_configs_refused, 1);
	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		   catalog->version);
	g_snprintf(kept, sizeof(kept), "%" G_GUINT64_FORMAT,
		   g->catalog ? g->catalog->version : 0);
	g_snprintf(entries, sizeof(entries), "%u", catalog->unusable_entries);
	lg_warn("configuration refused", "event", "config_refused", "version",
		version, "in_force", kept, "unusable_entries", entries, NULL);
}

static void gw_apply_config(struct gw_gateway *g, const struct rw_row *row)
{
	struct fd_list findings;
	struct ca_catalog *catalog;
	char version[24], before[24];

	fd_init(&findings);
	catalog = row->value ? g->dialect->decode_config(
				       row->value, row->value_bytes, &findings)
			     : NULL;
	for (uint32_t i = 0; i < findings.count; i++) {
		if (findings.items[i].rule->severity != FD_ERROR)
			continue;
		lg_warn("configuration finding", "event", "config_finding",
			"place", findings.items[i].place, "finding",
			findings.items[i].message, NULL);
	}
	fd_finish(&findings);
	if (!catalog)
		return;
	if (catalog->unusable_entries)
		gw_refuse_config(g, catalog);
	if (catalog->unusable_entries || !ca_replaces(catalog, g->catalog)) {
		ca_catalog_unref(catalog);
		return;
	}
	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		   catalog->version);
	g_snprintf(before, sizeof(before), "%" G_GUINT64_FORMAT,
		   g->catalog ? g->catalog->version : 0);
	ca_keep_caps(catalog, g->catalog);
	ca_catalog_unref(g->catalog);
	g->catalog = catalog;
	gw_cap_configure(g);
	gw_front_limit(g);
	mt_add(&gw_configs, 1);
	lg_info("configuration in force", "event", "config_in_force", "version",
		version, "before", before, NULL);
}

static void gw_apply_weights(struct gw_gateway *g, const struct rw_row *row)
{
	struct dl_weights weights;
	int64_t now_ms = ck_now_ms(), named_ms;
	char version[24], age[24];

	if (!row->value ||
	    g->dialect->decode_weights(row->value, row->value_bytes,
				       &weights) != ST_OK) {
		gw_log_bad_row(row->key);
		return;
	}
	named_ms = gw_weights_requested_ms(g->config_fresh_ms,
					   g->settings.weights_ms,
					   g->started_ms, now_ms);
	if (!gw_weights_add_version(&g->weights, weights.model, weights.version,
				    named_ms))
		return;
	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		   weights.version);
	g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT, now_ms - named_ms);
	lg_info("weights wanted", "event", "weights_wanted", "model",
		weights.model, "version", version, "since_start",
		g->config_fresh_ms ? "yes" : "no", "age_ms", age, NULL);
}

bool gw_has_read(const struct gw_gateway *g)
{
	return g->catalog && g->has_fleet && gw_cap_knows_hosts(g);
}

static void gw_release_early(struct gw_gateway *g)
{
	if (gw_has_read(g))
		gw_requests_release(g);
}

static void gw_on_operator_rows(void *arg, const struct rw_rows *rows,
				bool is_whole)
{
	struct gw_knowledge *k = arg;
	struct gw_gateway *g = k->gateway;

	gw_catchup_apply_rows(g, GW_OPERATOR_ROWS, rows, is_whole);
	for (uint32_t i = 0; i < rows->count; i++) {
		const struct rw_row *row = &rows->rows[i];

		if (row->is_deleted)
			continue;
		if (!strcmp(row->key, g->dialect->config_key))
			gw_apply_config(g, row);
		else if (g_str_has_prefix(row->key, g->dialect->weights_prefix))
			gw_apply_weights(g, row);
	}
	g->config_fresh_ms = k->operator_rows.fresh_ms;
	gw_rollout_changed(g);
	gw_release_early(g);
}

/* During a store outage and just after it, a missing entry may have lapsed. */
static int64_t gw_keep_until_ms(const struct gw_knowledge *k)
{
	return ck_now_ms() < k->lapse_until_ms ? k->lapse_until_ms : 0;
}

static void gw_mark_engine_missing(struct gw_knowledge *k, const char *id)
{
	int64_t until_ms = gw_keep_until_ms(k);
	struct fl_engine *e = fl_find(&k->gateway->fleet, id);

	if (!e)
		return;
	fl_ref(e);
	fl_mark_missing(&k->gateway->fleet, id, until_ms);
	lg_info("engine entry missing", "event", "engine_entry_gone", "engine",
		id, "outcome", until_ms ? "kept_for_now" : "dropped", NULL);
	if (gw_poison_has_broken_attempt(k->gateway, e))
		gw_silence_check(k->gateway, e);
	fl_unref(e);
}

/*
 * At most one engine can match, as addresses are not shared. Returns what it
 * has said of itself.
 */
static struct fl_notice gw_report_replaced_engine(struct gw_gateway *g,
						  const struct dl_engine *entry)
{
	struct fl_engine *replaced = NULL;
	uint64_t build;

	fl_for_each (&g->fleet, e)
		if (fl_is_superseded_by(e, entry))
			replaced = e;
	if (!replaced)
		return (struct fl_notice){ 0 };
	build = fl_build(replaced);
	gw_continue_engine_replaced(g, replaced, entry);
	gw_poison_engine_exited(g, replaced, "replaced");
	/*
	 * Another engine at its address refuses its requests. The entry may
	 * also be that of an earlier one, from an older copy of the store.
	 */
	if (strcmp(replaced->entry.id, entry->id) != 0)
		fl_keep_build(replaced, build);
	return replaced->notice;
}

static void gw_apply_engine(struct gw_knowledge *k, const struct rw_row *row)
{
	struct gw_gateway *g = k->gateway;
	struct fl_engine *known = fl_find(&g->fleet, row->key);
	struct fl_notice before;
	struct dl_engine entry;
	char weights[24];

	if (g->dialect->decode_engine(row->key, row->value, row->value_bytes,
				      &entry) != ST_OK) {
		gw_log_bad_row(row->key);
		gw_mark_engine_missing(k, row->key);
		return;
	}
	g_snprintf(weights, sizeof(weights), "%" G_GUINT64_FORMAT,
		   entry.weights);
	if (!known || known->entry.is_draining != entry.is_draining ||
	    known->entry.weights != entry.weights ||
	    known->entry.started_ms != entry.started_ms ||
	    strcmp(known->entry.build, entry.build) != 0)
		lg_info("engine entry", "event", "engine_entry", "engine",
			entry.id, "service", entry.service, "engine_zone",
			entry.zone, "state",
			entry.is_draining ? "draining" : "ready", "weights",
			weights, "build", entry.build, NULL);
	before = gw_report_replaced_engine(g, &entry);
	known = fl_put(&g->fleet, &entry);
	gw_notice_inherit(g, known, &before, k->engines_fresh_ms);
	gw_begun_see_engine(g, known);
	known->region = gw_region_of(&g->settings, entry.zone);
	known->region_number = g_quark_from_string(known->region);
}

/* @rows is the whole table, so engines that are not in it are missing. */
static void gw_mark_unlisted_missing(struct gw_knowledge *k,
				     const struct rw_rows *rows)
{
	struct fl_fleet *fleet = &k->gateway->fleet;
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < rows->count; i++)
		g_hash_table_add(present, (char *)rows->rows[i].key);
	fl_for_each (fleet, e)
		if (!g_hash_table_contains(present, e->entry.id))
			g_ptr_array_add(missing, g_strdup(e->entry.id));
	for (uint32_t i = 0; i < missing->len; i++)
		gw_mark_engine_missing(k, missing->pdata[i]);
	g_ptr_array_free(missing, TRUE);
	g_hash_table_destroy(present);
}

static void gw_on_engine_rows(void *arg, const struct rw_rows *rows,
			      bool is_whole)
{
	struct gw_knowledge *k = arg;

	gw_catchup_apply_rows(k->gateway, GW_ENGINE_ROWS, rows, is_whole);
	for (uint32_t i = 0; i < rows->count; i++) {
		const struct rw_row *row = &rows->rows[i];

		if (row->is_deleted)
			gw_mark_engine_missing(k, row->key);
		else
			gw_apply_engine(k, row);
	}
	if (is_whole)
		gw_mark_unlisted_missing(k, rows);
	k->engines_fresh_ms = k->engine_rows.fresh_ms;
	k->gateway->has_fleet = true;
	gw_rollout_changed(k->gateway);
	gw_release_early(k->gateway);
}

bool gw_takes_part(const struct gw_gateway *g)
{
	const struct gw_knowledge *k = g->knowledge;

	return k && !g->stop_ms && !gw_watch_is_lost(&k->operator_rows) &&
	       !gw_watch_is_lost(&k->engine_rows);
}

static bool gw_is_reader(void *arg)
{
	return gw_peers_is_reader(((struct gw_knowledge *)arg)->gateway);
}

/*
 * The hosts of the lowest ranks learn soon that the store answers again, and
 * relay its rows to the others; a large fleet would otherwise spend the limit
 * of the store's calls on retries.
 */
static int64_t gw_store_retry_max_ms(void *arg)
{
	const struct gw_gateway *g = ((struct gw_knowledge *)arg)->gateway;

	if (gw_peers_rank(g) < GW_RETRYING_HOSTS)
		return GW_RETRY_MAX_MS;
	return CLAMP((int64_t)gw_peers_count(g) * GW_RETRY_MS_PER_HOST,
		     GW_RETRY_MAX_MS, GW_RETRY_IDLE_MAX_MS);
}

static void gw_on_operator_read(void *arg, const struct gw_table_update *update)
{
	struct gw_knowledge *k = arg;

	gw_relay_send(k->gateway, GW_OPERATOR_ROWS, update, 0);
}

static void gw_on_engines_read(void *arg, const struct gw_table_update *update)
{
	struct gw_knowledge *k = arg;

	gw_relay_send(k->gateway, GW_ENGINE_ROWS, update,
		      MAX(k->lapse_until_ms - ck_now_ms(), 0));
}

static struct gw_watch *gw_watch_of(struct gw_knowledge *k, enum gw_table table)
{
	return table == GW_OPERATOR_ROWS ? &k->operator_rows : &k->engine_rows;
}

static void gw_extend_lapse(struct gw_knowledge *k, int64_t left_ms)
{
	if (left_ms)
		k->lapse_until_ms =
			MAX(k->lapse_until_ms, ck_now_ms() + left_ms);
}

bool gw_knowledge_apply_update(struct gw_gateway *g, enum gw_table table,
			       const struct gw_table_update *update,
			       int64_t lapse_left_ms)
{
	struct gw_knowledge *k = g->knowledge;

	if (!k)
		return true;
	gw_extend_lapse(k, lapse_left_ms);
	return gw_watch_apply_update(gw_watch_of(k, table), update);
}

void gw_knowledge_apply_table(struct gw_gateway *g, enum gw_table table,
			      const struct rw_rows *rows, int64_t lapse_left_ms)
{
	struct gw_knowledge *k = g->knowledge;

	if (!k)
		return;
	gw_extend_lapse(k, lapse_left_ms);
	gw_watch_apply_table(gw_watch_of(k, table), rows);
}

void gw_knowledge_get_version(const struct gw_gateway *g, enum gw_table table,
			      struct rw_rows *rows, int64_t *lapse_left_ms)
{
	const struct gw_watch *watch = gw_watch_of(g->knowledge, table);

	rows->version = watch->version;
	rows->store_ms = watch->store_ms;
	*lapse_left_ms = MAX(g->knowledge->lapse_until_ms - ck_now_ms(), 0);
}

static void gw_on_lost(void *arg, const char *reason)
{
	mt_add(&gw_store_lost, 1);
	lg_warn("store does not answer", "event", "store_lost", "reason",
		reason, NULL);
}

static void gw_on_operator_regained(void *arg, int64_t lost_ms)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, lost_ms);
	lg_info("store regained", "event", "store_regained", "table",
		"operator", "lost_ms", text, NULL);
}

static void gw_on_engines_regained(void *arg, int64_t lost_ms)
{
	struct gw_knowledge *k = arg;
	char text[24];

	k->lapse_until_ms = ck_now_ms() + GW_LAPSED_GRACE_MS;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, lost_ms);
	lg_info("store regained", "event", "store_regained", "table", "engines",
		"lost_ms", text, NULL);
}

static void gw_on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gw_knowledge *k = w->data;

	k->gateway->config_fresh_ms = k->operator_rows.fresh_ms;
	k->engines_fresh_ms = k->engine_rows.fresh_ms;
	mt_set(&gw_config_age, ck_now_ms() - k->gateway->config_fresh_ms);
	gw_requests_sweep(k->gateway, ck_now_ms());
	gw_silence_sweep(k->gateway, ck_now_ms());
	gw_reach_sweep(k->gateway, ck_now_ms());
	gw_notice_sweep(k->gateway, ck_now_ms());
	gw_begun_sweep(k->gateway, k->engines_fresh_ms, ck_now_ms());
	if (!fl_expire(&k->gateway->fleet, ck_now_ms()))
		return;
	gw_rollout_changed(k->gateway);
	lg_info("missing engines dropped", "event", "engines_dropped", "reason",
		"entry still missing after the store came back", NULL);
}

enum st_code gw_knowledge_start(struct gw_gateway *g)
{
	struct gw_knowledge *k = g_new0(struct gw_knowledge, 1);

	g->knowledge = k;
	k->gateway = g;
	gw_catchup_start(g);
	gw_watch_start(
		&k->operator_rows,
		&(struct gw_watch_desc){ .loop = g->kernel.loop,
					 .store = &g->store,
					 .table = g->dialect->operator_table,
					 .wait_ms = GW_ROWS_WAIT_MS,
					 .is_reader = gw_is_reader,
					 .retry_max_ms = gw_store_retry_max_ms,
					 .on_rows = gw_on_operator_rows,
					 .on_read = gw_on_operator_read,
					 .on_lost = gw_on_lost,
					 .on_regained = gw_on_operator_regained,
					 .arg = k });
	gw_watch_start(
		&k->engine_rows,
		&(struct gw_watch_desc){ .loop = g->kernel.loop,
					 .store = &g->store,
					 .table = g->dialect->engines_table,
					 .wait_ms = GW_ROWS_WAIT_MS,
					 .is_reader = gw_is_reader,
					 .retry_max_ms = gw_store_retry_max_ms,
					 .on_rows = gw_on_engine_rows,
					 .on_read = gw_on_engines_read,
					 .on_lost = gw_on_lost,
					 .on_regained = gw_on_engines_regained,
					 .arg = k });
	ev_timer_init(&k->sweep, gw_on_sweep, GW_SWEEP_S, GW_SWEEP_S);
	k->sweep.data = k;
	ev_timer_start(g->kernel.loop, &k->sweep);
	return ST_OK;
}

void gw_knowledge_stop(struct gw_gateway *g)
{
	struct gw_knowledge *k = g->knowledge;

	if (!k)
		return;
	ev_timer_stop(g->kernel.loop, &k->sweep);
	gw_watch_stop(&k->operator_rows);
	gw_watch_stop(&k->engine_rows);
	gw_catchup_stop(g);
	g_free(k);
	g->knowledge = NULL;
}
