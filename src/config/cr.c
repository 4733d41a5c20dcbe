/*
 * The replica task. A timer tick decides whether to pull. At most one pull is
 * in flight, so that an update announced by many members costs one call.
 */
#include "config/cr.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "config/cr_source.h"
#include "config/cr_wire.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"

#define CR_TICK_MS 200
/* Poll period of a process that does not read the platform itself. */
#define CR_POLL_PERIOD_MS 500
/* One poll of a control process in this many goes to any zone. */
#define CR_ANY_ZONE_ONE_IN 4
/* Control polls others for the host list once its own is older than this. */
#define CR_HOSTS_STALE_MS   1500
#define CR_PULL_DEADLINE_MS 4000
#define CR_JITTER_PERMILLE  250

MT_GAUGE(cr_revision_gauge, "balsampin_config_revision",
	 "revision of the configuration in force")
MT_GAUGE(cr_highest_known_gauge, "balsampin_config_highest_heard_revision",
	 "highest revision that any process announced by gossip")
MT_GAUGE(cr_trusted_gauge, "balsampin_config_trusted",
	 "1 once this replica has caught up since it started")
MT_GAUGE(cr_hosts_age_gauge, "balsampin_host_list_age_ms",
	 "time since a platform confirmed the host list; -1 without one")
MT_COUNTER(cr_pulls_total, "balsampin_config_pulls_total", "pulls sent")
MT_COUNTER(cr_failed_total, "balsampin_config_pulls_failed_total",
	   "pulls without a usable answer")
MT_COUNTER(cr_served_total, "balsampin_config_pulls_served_total",
	   "pulls by other processes answered")
MT_COUNTER(cr_refused_total, "balsampin_config_refused_total",
	   "newer revisions refused because of findings")

struct _cr_state {
	struct cr_desc desc;
	struct kn_task *task;
	struct cm_config config;
	struct cr_sources sources;
	struct kn_handle subscribers[CR_MAX_SUBSCRIBERS];
	uint32_t subscriber_count;
	ev_timer timer;
	int64_t next_poll_ms;
	bool is_trusted;
	bool is_pulling;
	struct rp_handle pull;
	enum mb_role source_role;
	char source_name[MB_NAME_BYTES];
	struct mb_listing *hosts;
	uint64_t hosts_revision;
	int64_t hosts_confirmed_ms;
};

static void cr_free_object(void *p)
{
	struct cm_object *o = p;

	g_free((char *)o->kind);
	g_free((char *)o->name);
	g_free((char *)o->json);
}

struct cr_delta *cr_delta_new(uint64_t revision)
{
	struct cr_delta *delta = g_new0(struct cr_delta, 1);

	delta->revision = revision;
	delta->objects = g_array_new(false, true, sizeof(struct cm_object));
	g_array_set_clear_func(delta->objects, cr_free_object);
	return delta;
}

void cr_delta_add(struct cr_delta *delta, const struct cm_object *object)
{
	struct cm_object copy = *object;

	copy.kind = g_strdup(object->kind);
	copy.name = g_strdup(object->name);
	copy.json = g_strdup(object->json);
	g_array_append_val(delta->objects, copy);
}

void cr_delta_free(void *p)
{
	struct cr_delta *delta = p;

	g_array_unref(delta->objects);
	g_free(delta);
}

static void cr_mark_trusted(struct _cr_state *s)
{
	if (s->is_trusted)
		return;
	s->is_trusted = true;
	mt_set(&cr_trusted_gauge, 1);
	lg_info("configuration replica has caught up", NULL);
}

static void cr_notify_subscribers(struct _cr_state *s)
{
	struct kn_kernel *kernel = s->task->kernel;
	struct kn_message message = { .type = CR_MSG_APPLIED,
				      .from = s->task->self,
				      .cookie = s->config.revision };

	mt_set(&cr_revision_gauge, (int64_t)s->config.revision);
	for (uint32_t i = 0; i < s->subscriber_count; i++)
		kn_post(kernel, s->subscribers[i], &message);
	message.type = MB_MSG_REVISION;
	kn_post(kernel, s->desc.membership, &message);
}

static void cr_log_findings(const struct fd_list *findings, uint64_t revision)
{
	g_autofree char *text = g_strdup_printf("%" PRIu64, revision);

	for (uint32_t i = 0; i < findings->count; i++)
		lg_error("configuration refused", "revision", text, "place",
			 findings->items[i].place, "finding",
			 findings->items[i].message, NULL);
}

static enum st_code cr_apply(struct _cr_state *s, uint64_t revision,
			     const GArray *objects, const char *source)
{
	struct cm_delta delta = { .revision = revision,
				  .objects = (const void *)objects->data,
				  .count = objects->len };
	char subject[TL_SUBJECT_BYTES];
	struct fd_list findings;
	enum st_code code;

	fd_init(&findings);
	code = cm_apply(&s->config, &delta, &findings);
	g_snprintf(subject, sizeof(subject), "config/%" PRIu64, revision);
	if (code == ST_OK) {
		tl_record(TL_CONFIG_APPLIED, subject, "from=%s objects=%u",
			  source, objects->len);
		cr_notify_subscribers(s);
	} else if (code == ST_INVALID) {
		mt_add(&cr_refused_total, 1);
		tl_record(TL_CONFIG_REFUSED, subject, "from=%s findings=%u",
			  source, findings.count);
		cr_log_findings(&findings, revision);
	}
	fd_finish(&findings);
	return code;
}

/* --- the host list --- */

static void cr_post_hosts(struct _cr_state *s)
{
	kn_post(s->task->kernel, s->desc.membership,
		&(struct kn_message){ .type = MB_MSG_HOST_LIST,
				      .from = s->task->self,
				      .body = cr_listing_copy(s->hosts),
				      .free_body = g_free });
}

static void cr_set_hosts(struct _cr_state *s, struct mb_listing *hosts,
			 uint64_t revision, int64_t confirmed_ms)
{
	bool is_same = cr_listing_equal(hosts, s->hosts);

	g_free(s->hosts);
	s->hosts = hosts;
	s->hosts_revision = revision;
	s->hosts_confirmed_ms = confirmed_ms;
	if (!is_same)
		cr_post_hosts(s);
}

/* The list as read from the platform: changed content gets a new revision. */
static void cr_observe_hosts(struct _cr_state *s,
			     const struct mb_listing *hosts)
{
	uint64_t revision = s->hosts_revision;

	if (!revision || !cr_listing_equal(hosts, s->hosts))
		revision = ck_hlc_tick(tl_clock(), ck_wall_ms());
	cr_set_hosts(s, cr_listing_copy(hosts), revision, ck_now_ms());
}

static void cr_apply_pulled_hosts(struct _cr_state *s, const bp_pulled *pulled)
{
	int64_t confirmed_ms = ck_now_ms() - (int64_t)pulled->hosts_age_ms;

	if (!pulled->hosts_revision ||
	    pulled->hosts_revision < s->hosts_revision)
		return;
	if (pulled->hosts_revision == s->hosts_revision) {
		s->hosts_confirmed_ms =
			MAX(s->hosts_confirmed_ms, confirmed_ms);
		return;
	}
	cr_set_hosts(s,
		     cr_listing_from_wire(pulled->upstreams.upstreams_val,
					  pulled->upstreams.upstreams_len),
		     pulled->hosts_revision, confirmed_ms);
}

/* --- pulling --- */

static int64_t cr_jittered(int64_t ms)
{
	int64_t spread = ms * CR_JITTER_PERMILLE / 1000;

	return ms - spread + randombytes_uniform((uint32_t)(2 * spread) + 1);
}

static void cr_pull_failed(struct _cr_state *s, enum st_code code)
{
	mt_add(&cr_failed_total, 1);
	cr_source_failed(&s->sources, s->source_role, s->source_name,
			 ck_now_ms());
	lg_debug("configuration pull failed", "source", s->source_name, "code",
		 st_name(code), NULL);
}

static void cr_apply_pulled_objects(struct _cr_state *s,
				    const bp_pulled *pulled)
{
	GArray *objects = cr_objects_from_wire(pulled->objects.objects_val,
					       pulled->objects.objects_len);
	enum st_code code = ST_STALE;

	if (pulled->revision > s->config.revision)
		code = cr_apply(s, pulled->revision, objects, s->source_name);
	g_array_unref(objects);
	if (code == ST_INVALID)
		cr_pull_failed(s, code);
	else
		cr_source_answered(&s->sources, s->source_role, s->source_name);
}

static void cr_on_pulled(void *arg, enum st_code code,
			 const struct rp_peer *from, const void *result)
{
	struct _cr_state *s = arg;
	const bp_pulled *pulled = result;

	s->is_pulling = false;
	if (code != ST_OK) {
		cr_pull_failed(s, code);
		return;
	}
	cr_apply_pulled_objects(s, pulled);
	cr_apply_pulled_hosts(s, pulled);
	if (cr_has_caught_up(pulled->trusted, pulled->revision,
			     s->config.revision,
			     cr_highest_known_revision(s->desc.members)))
		cr_mark_trusted(s);
}

static void cr_pull(struct _cr_state *s, const struct mb_member *source)
{
	bp_pull pull = { .have_revision = s->config.revision,
			 .have_hosts = s->hosts_revision };
	struct rp_call_desc call = {
		.to = { .ipv4 = source->ipv4, .port = source->rpc_port },
		.transport = RP_TCP,
		.number = BP_PULL,
		.args = (xdrproc_t)xdr_bp_pull,
		.args_value = &pull,
		.result = (xdrproc_t)xdr_bp_pulled,
		.result_bytes = sizeof(bp_pulled),
		.deadline_ms = CR_PULL_DEADLINE_MS,
		.on_done = cr_on_pulled,
		.arg = s,
	};
	enum st_code code;

	s->source_role = source->role;
	g_strlcpy(s->source_name, source->name, sizeof(s->source_name));
	mt_add(&cr_pulls_total, 1);
	code = rp_call(s->desc.rpc, &call, &s->pull);
	s->is_pulling = code == ST_OK;
	if (code != ST_OK)
		cr_pull_failed(s, code);
}

static bool cr_is_poll_due(struct _cr_state *s, int64_t now_ms)
{
	int64_t hosts_age_ms =
		cr_hosts_age_ms(&(struct cr_replica){ s }, now_ms);

	if (now_ms < s->next_poll_ms)
		return false;
	if (!s->desc.serve || !s->is_trusted)
		return true;
	return hosts_age_ms < 0 || hosts_age_ms > CR_HOSTS_STALE_MS;
}

/*
 * If a whole zone restarted, none of its replicas is trusted; only another zone
 * can confirm that they have caught up.
 */
static bool cr_polls_any_zone(const struct _cr_state *s)
{
	return s->desc.serve && randombytes_uniform(CR_ANY_ZONE_ONE_IN) == 0;
}

static void cr_tick(struct _cr_state *s, int64_t now_ms)
{
	const struct mb_member *source;
	uint32_t random = randombytes_random();

	if (s->is_pulling)
		return;
	source = cr_source_newer(&s->sources, s->desc.members,
				 s->config.revision, random, now_ms);
	if (!source && cr_is_poll_due(s, now_ms)) {
		source = cr_source_any(&s->sources, s->desc.members,
				       cr_polls_any_zone(s), random, now_ms);
		s->next_poll_ms = now_ms + cr_jittered(CR_POLL_PERIOD_MS);
	}
	if (source)
		cr_pull(s, source);
}

static void cr_on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct _cr_state *s = timer->data;
	int64_t now_ms = ck_now_ms();

	mt_set(&cr_hosts_age_gauge,
	       cr_hosts_age_ms(&(struct cr_replica){ s }, now_ms));
	mt_set(&cr_highest_known_gauge,
	       (int64_t)cr_highest_known_revision(s->desc.members));
	cr_tick(s, now_ms);
	ev_timer_set(timer, (double)cr_jittered(CR_TICK_MS) / 1000.0, 0.0);
	ev_timer_start(loop, timer);
}

/* --- serving --- */

static void cr_on_pull(void *arg, struct rp_request *request, const void *args)
{
	struct _cr_state *s = arg;
	const bp_pull *pull = args;
	GArray *changed = g_array_new(false, true, sizeof(struct cm_object));
	GArray *objects;
	GArray *upstreams;
	bp_pulled pulled = { .trusted = s->is_trusted,
			     .revision = s->config.revision,
			     .hosts_revision = s->hosts_revision };

	mt_add(&cr_served_total, 1);
	if (pull->have_revision < s->config.revision)
		cm_changed_since(&s->config, pull->have_revision, changed);
	objects = cr_objects_to_wire(changed);
	upstreams = cr_listing_to_wire(
		pull->have_hosts < s->hosts_revision ? s->hosts : NULL);
	pulled.objects.objects_val = (bp_object *)objects->data;
	pulled.objects.objects_len = objects->len;
	pulled.upstreams.upstreams_val = (bp_upstream *)upstreams->data;
	pulled.upstreams.upstreams_len = upstreams->len;
	if (s->hosts_revision)
		pulled.hosts_age_ms =
			(u_int)(ck_now_ms() - s->hosts_confirmed_ms);
	rp_reply(request, &pulled);
	g_array_unref(objects);
	g_array_unref(upstreams);
	g_array_unref(changed);
}

/* --- the task --- */

static void cr_on_delta(struct _cr_state *s, const struct cr_delta *delta)
{
	enum st_code code =
		cr_apply(s, delta->revision, delta->objects, "platform");

	if (code == ST_OK ||
	    (code == ST_STALE && delta->revision <= s->config.revision))
		cr_mark_trusted(s);
}

static void cr_on_message(struct kn_task *task, struct kn_message *message)
{
	struct _cr_state *s = ((struct cr_replica *)task->state)->_state;

	if (message->type == CR_MSG_DELTA)
		cr_on_delta(s, message->body);
	else if (message->type == CR_MSG_HOSTS)
		cr_observe_hosts(s, message->body);
}

static enum st_code cr_on_start(struct kn_task *task)
{
	struct _cr_state *s = ((struct cr_replica *)task->state)->_state;

	s->task = task;
	ev_timer_init(&s->timer, cr_on_timer, 0.0, 0.0);
	s->timer.data = s;
	ev_timer_start(task->kernel->loop, &s->timer);
	if (!s->desc.serve)
		return ST_OK;
	return rp_serve(s->desc.rpc, &(struct rp_procedure){
					     .number = BP_PULL,
					     .args = (xdrproc_t)xdr_bp_pull,
					     .args_bytes = sizeof(bp_pull),
					     .result = (xdrproc_t)xdr_bp_pulled,
					     .handler = cr_on_pull,
					     .arg = s });
}

static void cr_on_stop(struct kn_task *task)
{
	struct cr_replica *replica = task->state;
	struct _cr_state *s = replica->_state;

	ev_timer_stop(task->kernel->loop, &s->timer);
	if (s->is_pulling)
		rp_cancel(s->desc.rpc, s->pull);
	cr_sources_finish(&s->sources);
	cm_finish(&s->config);
	g_free(s->hosts);
	g_free(s);
	replica->_state = NULL;
}

static const struct kn_task_ops cr_ops = {
	"replica", cr_on_start, cr_on_message, NULL, NULL, cr_on_stop,
};

enum st_code cr_spawn(struct cr_replica *replica, struct kn_kernel *kernel,
		      const struct cr_desc *desc, struct kn_handle *handle)
{
	struct _cr_state *s = g_new0(struct _cr_state, 1);
	const struct cf_peer *self = &desc->settings->self;
	enum st_code code;

	s->desc = *desc;
	cm_init(&s->config);
	cr_sources_init(&s->sources, self->name, self->zone, self->region);
	replica->_state = s;
	code = kn_spawn(kernel, &cr_ops, replica, handle);
	if (code != ST_OK && replica->_state) {
		cr_sources_finish(&s->sources);
		cm_finish(&s->config);
		g_free(s);
		replica->_state = NULL;
	}
	return code;
}

const struct cm_config *cr_config(const struct cr_replica *replica)
{
	return &replica->_state->config;
}

bool cr_is_trusted(const struct cr_replica *replica)
{
	return replica->_state->is_trusted;
}

int64_t cr_hosts_age_ms(const struct cr_replica *replica, int64_t now_ms)
{
	const struct _cr_state *s = replica->_state;

	return s->hosts_revision ? now_ms - s->hosts_confirmed_ms : -1;
}

enum st_code cr_subscribe(struct cr_replica *replica, struct kn_handle task)
{
	struct _cr_state *s = replica->_state;

	if (s->subscriber_count == CR_MAX_SUBSCRIBERS)
		return st_fail(
			ST_FULL,
			"replica already has %d subscribers, the maximum",
			CR_MAX_SUBSCRIBERS);
	s->subscribers[s->subscriber_count++] = task;
	return ST_OK;
}
