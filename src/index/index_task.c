#include "index/index_task.h"

#include <inttypes.h>
#include <string.h>

#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "membership/mb_task.h"
#include "prefix/px.h"
#include "rpc/gen/balsampin.h"

MT_GAUGE(index_engines, "balsampin_index_engines", "engines followed")
MT_GAUGE(index_blocks, "balsampin_index_blocks", "blocks known")
MT_GAUGE(index_bytes, "balsampin_index_bytes", "memory of the block tables")
MT_GAUGE(index_doubtful, "balsampin_index_engines_doubtful",
	 "engines of whose events some are missing")
MT_COUNTER(index_lookups, "balsampin_index_lookups_total", "look-ups answered")
MT_COUNTER(index_lookups_unowned, "balsampin_index_lookups_unowned_total",
	   "engines looked up here that another process owns")
MT_COUNTER(index_records, "balsampin_index_records_total", "records taken in")
MT_COUNTER(index_records_refused, "balsampin_index_records_refused_total",
	   "records of engines not owned or of an old incarnation")
MT_COUNTER(index_moves, "balsampin_index_ownership_moves_total",
	   "engines taken over or given up")

static void index_on_notice(void *arg, const struct ix_feed *feed,
			    enum ix_notice notice)
{
	struct index_task *self = arg;
	struct kn_kernel *kernel = self->_task->kernel;
	struct kn_handle membership = self->_desc.membership;

	switch (notice) {
	case IX_NOTICE_ANSWERED:
		mb_report_answered(kernel, membership, MB_ENGINE, feed->name,
				   feed->incarnation);
		break;
	case IX_NOTICE_FAILED:
		mb_report_failed(kernel, membership, MB_ENGINE, feed->name);
		break;
	case IX_NOTICE_LEAVING:
		mb_report_leaving(kernel, membership, MB_ENGINE, feed->name,
				  feed->incarnation);
		break;
	case IX_NOTICE_RESTARTED:
		tl_record(TL_ENGINE_RESTARTED, feed->name,
			  "incarnation=%" PRIu64, feed->incarnation);
		lg_warn("engine restarted", "engine", feed->name, NULL);
		break;
	case IX_NOTICE_GAP:
		tl_record(TL_EVENTS_GAP, feed->name,
			  "incarnation=%" PRIu64 " before=%" PRIu64,
			  feed->incarnation, feed->sequence);
		break;
	}
}

static void index_feed_free(void *value)
{
	struct ix_feed *feed = value;

	ix_feed_stop(feed);
	g_free(feed);
}

static void index_follow_engine(struct index_task *self,
				const struct mb_member *member)
{
	struct ix_feed *feed;

	if (ix_own(&self->_index, member->id, ck_now_ms()) != ST_OK) {
		lg_warn("cannot add engine to the index", "engine",
			member->name, "reason", st_message(), NULL);
		return;
	}
	mt_add(&index_moves, 1);
	feed = g_new(struct ix_feed, 1);
	ix_feed_start(feed,
		      &(struct ix_feed_desc){ .loop = self->_task->kernel->loop,
					      .http = &self->_http,
					      .index = &self->_index,
					      .engine = member->id,
					      .name = member->name,
					      .ipv4 = member->ipv4,
					      .port = member->http_port,
					      .on_notice = index_on_notice,
					      .arg = self });
	g_hash_table_insert(self->_feeds,
			    g_memdup2(&member->id, sizeof(member->id)), feed);
}

static void index_unfollow_engine(struct index_task *self, uint64_t engine)
{
	mt_add(&index_moves, 1);
	g_hash_table_remove(self->_feeds, &engine);
	ix_disown(&self->_index, engine);
}

static bool index_owns_engine(const struct index_task *self,
			      const struct mb_member *member)
{
	const struct mb_member *owner;

	if (strcmp(member->zone, self->_desc.settings->self.zone) != 0)
		return false;
	owner = mb_owner(self->_desc.members, member->zone, member->id, 0);
	return owner && !strcmp(owner->name, self->_desc.settings->self.name);
}

static const struct mb_member *index_find_engine(const struct index_task *self,
						 const struct ix_feed *feed)
{
	return mb_find(self->_desc.members, MB_ENGINE, feed->name);
}

/* Drops engines with a new owner, a new address, or no membership entry. */
static void index_unfollow_moved(struct index_task *self)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	g_hash_table_iter_init(&iter, self->_feeds);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct ix_feed *feed = value;
		const struct mb_member *member = index_find_engine(self, feed);

		if (member && index_owns_engine(self, member) &&
		    member->ipv4 == feed->ipv4 &&
		    member->http_port == feed->port)
			continue;
		g_array_append_vals(gone, key, 1);
	}
	for (guint i = 0; i < gone->len; i++)
		index_unfollow_engine(self, g_array_index(gone, uint64_t, i));
	g_array_unref(gone);
}

static void index_check_ownership(struct index_task *self)
{
	const char *zone = self->_desc.settings->self.zone;

	index_unfollow_moved(self);
	for (const struct mb_member *member =
		     mb_next(self->_desc.members, MB_ENGINE, zone, NULL);
	     member;
	     member = mb_next(self->_desc.members, MB_ENGINE, zone, member)) {
		if (member->ipv4 && member->http_port &&
		    !ix_owns(&self->_index, member->id) &&
		    index_owns_engine(self, member))
			index_follow_engine(self, member);
	}
}

static void index_set_gauges(struct index_task *self)
{
	GHashTableIter iter;
	gpointer key;
	struct ix_stats stats;
	uint64_t bytes = 0;
	uint32_t blocks = 0;
	uint32_t doubtful = 0;

	g_hash_table_iter_init(&iter, self->_feeds);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		ix_stats(&self->_index, *(uint64_t *)key, &stats);
		blocks += stats.blocks;
		bytes += stats.bytes;
		doubtful += stats.is_incomplete;
	}
	mt_set(&index_engines, g_hash_table_size(self->_feeds));
	mt_set(&index_blocks, blocks);
	mt_set(&index_bytes, (int64_t)bytes);
	mt_set(&index_doubtful, doubtful);
}

static void index_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct index_task *self = timer->data;

	index_check_ownership(self);
	ix_expire(&self->_index, ck_now_ms());
	index_set_gauges(self);
}

static void index_fill_engine(const struct ix_answer *answer, uint64_t engine,
			      bp_ix_engine *out)
{
	*out = (bp_ix_engine){
		.engine = engine,
		.incarnation = answer->incarnation,
		.state = MB_UNKNOWN,
		.held = answer->held,
		.pending = answer->pending,
		.confidence_permille = answer->confidence_permille,
		.running = answer->running,
		.waiting_tokens = answer->waiting_tokens,
		.load_age_ms = answer->load_age_ms,
		.sent_tokens = answer->sent_tokens,
		.prefill_tokens_per_s = answer->prefill_tokens_per_s,
	};
	if (answer->has_load)
		out->state = answer->is_leaving ? MB_LEAVING : MB_ALIVE;
	else
		out->load_age_ms = UINT32_MAX;
}

static void index_on_lookup(void *arg, struct rp_request *request,
			    const void *args)
{
	struct index_task *self = arg;
	const bp_ix_lookup *lookup = args;
	bp_ix_engine engines[BP_MAX_ENGINES];
	bp_ix_found found = { .engines.engines_val = engines };
	struct ix_answer answer;

	mt_add(&index_lookups, 1);
	for (uint32_t i = 0; i < lookup->engines.engines_len; i++) {
		uint64_t engine = lookup->engines.engines_val[i];

		if (ix_lookup(&self->_index, engine, lookup->keys.keys_val,
			      lookup->keys.keys_len, ck_now_ms(),
			      &answer) == ST_OK)
			index_fill_engine(
				&answer, engine,
				&engines[found.engines.engines_len++]);
		else
			mt_add(&index_lookups_unowned, 1);
	}
	rp_reply(request, &found);
}

static void index_on_record(void *arg, struct rp_request *request,
			    const void *args)
{
	struct index_task *self = arg;
	const bp_ix_record *from = args;
	struct ix_record record = {
		.engine = from->engine,
		.incarnation = from->incarnation,
		/* Entry hosts number their requests from 1 independently. */
		.request = px_rank(from->request,
				   rp_peer_of(request)->incarnation),
		.phase = (enum ix_phase)from->phase,
		.new_tokens = from->new_tokens,
		.block_tokens = from->block_tokens,
		.prompt_bytes = from->prompt_bytes,
		.prompt_tokens = from->prompt_tokens,
		.keys = from->keys.keys_val,
		.key_count = from->keys.keys_len,
		.blocks = from->blocks.blocks_val,
		.block_count = from->blocks.blocks_len,
	};

	if (ix_record(&self->_index, &record, ck_now_ms()) == ST_OK)
		mt_add(&index_records, 1);
	else
		mt_add(&index_records_refused, 1);
	rp_reply(request, NULL);
}

static enum st_code index_serve(struct index_task *self)
{
	enum st_code code;

	code = rp_serve(
		self->_desc.rpc,
		&(struct rp_procedure){ .number = BP_IX_LOOKUP,
					.args = (xdrproc_t)xdr_bp_ix_lookup,
					.args_bytes = sizeof(bp_ix_lookup),
					.result = (xdrproc_t)xdr_bp_ix_found,
					.handler = index_on_lookup,
					.arg = self });
	if (code != ST_OK)
		return code;
	return rp_serve(
		self->_desc.rpc,
		&(struct rp_procedure){ .number = BP_IX_RECORD,
					.args = (xdrproc_t)xdr_bp_ix_record,
					.args_bytes = sizeof(bp_ix_record),
					.handler = index_on_record,
					.arg = self });
}

static enum st_code index_start(struct kn_task *task)
{
	struct index_task *self = task->state;
	struct ev_loop *loop = task->kernel->loop;
	enum st_code code = index_serve(self);

	if (code != ST_OK)
		return code;
	code = hc_init(&self->_http, &(struct hc_desc){ .loop = loop });
	if (code != ST_OK)
		return code;
	self->_task = task;
	ix_init(&self->_index, &(struct ix_desc){ 0 }, ck_now_ms());
	self->_feeds = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, index_feed_free);
	ev_timer_init(&self->_timer, index_on_timer, 0.,
		      INDEX_TASK_OWNERSHIP_MS / 1000.);
	self->_timer.data = self;
	ev_timer_start(loop, &self->_timer);
	return ST_OK;
}

static void index_message(struct kn_task *task, struct kn_message *message)
{
}

static void index_stop(struct kn_task *task)
{
	struct index_task *self = task->state;

	ev_timer_stop(task->kernel->loop, &self->_timer);
	g_hash_table_unref(self->_feeds);
	hc_finish(&self->_http);
	ix_finish(&self->_index);
}

static const struct kn_task_ops index_ops = {
	.name = "index",
	.start = index_start,
	.message = index_message,
	.stop = index_stop,
};

enum st_code index_task_spawn(struct index_task *task, struct kn_kernel *kernel,
			      const struct index_task_desc *desc,
			      struct kn_handle *handle)
{
	*task = (struct index_task){ ._desc = *desc };
	return kn_spawn(kernel, &index_ops, task, handle);
}
