#include "control/cs.h"

#include <sodium.h>
#include <string.h>

#include "config/cr_source.h"
#include "control/cs_change.h"
#include "kernel/ck.h"
#include "kernel/lg.h"
#include "kernel/mt.h"
#include "kernel/tl.h"

/* Spreads the first polls of hosts that restart together. */
#define CS_FIRST_POLL_SPREAD_MS 1000
#define CS_JITTER_PERMILLE	250

MT_COUNTER(cs_polls_total, "balsampin_config_polls_total",
	   "polls of the configuration's rows")
MT_COUNTER(cs_list_reads_total, "balsampin_host_list_reads_total",
	   "reads of the platform's host list")
MT_GAUGE(cs_down_gauge, "balsampin_platform_down",
	 "1 while the platform does not answer")

void cs_record_platform_state(struct cs_task *cs, bool has_answered)
{
	if (cs->_is_down == !has_answered)
		return;
	cs->_is_down = !has_answered;
	mt_set(&cs_down_gauge, cs->_is_down);
	tl_record(cs->_is_down ? TL_PLATFORM_DOWN : TL_PLATFORM_UP, "platform",
		  "%s", cs->_is_down ? st_message() : "answers again");
}

static void cs_start_timer(struct cs_task *cs, ev_timer *timer, int64_t ms)
{
	int64_t spread = ms * CS_JITTER_PERMILLE / 1000;

	ms += randombytes_uniform((uint32_t)(2 * spread) + 1) - spread;
	ev_timer_stop(cs->_task->kernel->loop, timer);
	ev_timer_set(timer, (double)ms / 1000.0, 0.0);
	ev_timer_start(cs->_task->kernel->loop, timer);
}

static int64_t cs_backoff_period(int64_t period_ms, int64_t normal_ms,
				 enum st_code code)
{
	if (code == ST_OK)
		return normal_ms;
	return MIN(period_ms * 2, CS_MAX_PERIOD_MS);
}

enum st_code cs_apply_rows(struct cs_task *cs, const struct pf_rows *rows,
			   uint64_t base_revision)
{
	struct cr_delta *delta = cs_rows_to_delta(rows, base_revision);
	const char *head = cs_find_head(rows);

	if (!delta)
		return st_fail(ST_INVALID,
			       "configuration rows without " CS_HEAD);
	if (head) {
		g_free(cs->_head);
		cs->_head = g_strdup(head);
	}
	return kn_post(cs->_task->kernel, cs->_desc.replica,
		       &(struct kn_message){ .type = CR_MSG_DELTA,
					     .from = cs->_task->self,
					     .body = delta,
					     .free_body = cr_delta_free });
}

/*
 * With 10 to 50 control processes, all together poll about ten times a second;
 * the bounds of the period make it fewer below that and more above.
 */
static int64_t cs_poll_period(const struct cs_task *cs)
{
	const struct mb_member *m = NULL;
	int64_t period_ms = 0;

	while ((m = mb_next(cs->_desc.members, MB_CONTROL, NULL, m)))
		period_ms += CS_POLL_MS_PER_PROCESS;
	return CLAMP(period_ms, CS_MIN_POLL_PERIOD_MS, CS_MAX_POLL_PERIOD_MS);
}

static void cs_on_rows(void *arg, enum st_code code, const struct pf_rows *rows)
{
	struct cs_task *cs = arg;

	cs->_is_polling = false;
	if (code == ST_OK)
		cs_apply_rows(cs, rows, cs->_polled_revision);
	cs_record_platform_state(cs, code == ST_OK);
	cs->_poll_period_ms = cs_backoff_period(cs->_poll_period_ms,
						cs_poll_period(cs), code);
	cs_start_timer(cs, &cs->_poll, cs->_poll_period_ms);
}

static void cs_on_poll(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct cs_task *cs = timer->data;
	uint64_t have = cr_config(cs->_desc.cr)->revision;

	if (cs->_is_polling)
		return;
	mt_add(&cs_polls_total, 1);
	cs->_polled_revision = have;
	cs->_is_polling =
		pf_range(&cs->_store,
			 &(struct pf_range){ .prefix = CS_PREFIX,
					     .min_revision = have + 1 },
			 cs_on_rows, cs) == ST_OK;
	if (!cs->_is_polling)
		cs_start_timer(cs, timer, CS_MAX_PERIOD_MS);
}

void cs_poll_now(struct cs_task *cs)
{
	if (!cs->_is_polling)
		ev_feed_event(cs->_task->kernel->loop, &cs->_poll, EV_TIMER);
}

static void cs_on_hosts(void *arg, enum st_code code,
			const struct pf_host *hosts, uint32_t count)
{
	struct cs_task *cs = arg;

	cs->_is_reading_hosts = false;
	if (code == ST_OK)
		kn_post(cs->_task->kernel, cs->_desc.replica,
			&(struct kn_message){
				.type = CR_MSG_HOSTS,
				.from = cs->_task->self,
				.body = cs_hosts_to_listing(hosts, count),
				.free_body = g_free });
	cs->_hosts_period_ms = cs_backoff_period(cs->_hosts_period_ms,
						 CS_HOSTS_PERIOD_MS, code);
	cs_start_timer(cs, &cs->_hosts, cs->_hosts_period_ms);
}

/* Two control processes of each zone read the list; all do if it is stale. */
static bool cs_should_read_hosts(const struct cs_task *cs)
{
	const struct cf_peer *self = &cs->_desc.settings->self;
	int64_t age_ms = cr_hosts_age_ms(cs->_desc.cr, ck_now_ms());

	return age_ms < 0 || age_ms > CS_HOSTS_STALE_MS ||
	       cr_polls_host_list(cs->_desc.members, self->zone, self->name);
}

static void cs_on_hosts_timer(struct ev_loop *loop, ev_timer *timer,
			      int revents)
{
	struct cs_task *cs = timer->data;

	if (cs_should_read_hosts(cs)) {
		mt_add(&cs_list_reads_total, 1);
		cs->_is_reading_hosts =
			pf_hosts(&cs->_store, cs_on_hosts, cs) == ST_OK;
	}
	if (!cs->_is_reading_hosts)
		cs_start_timer(cs, timer, CS_HOSTS_PERIOD_MS);
}

static void cs_on_retry(struct ev_loop *loop, ev_timer *timer, int revents)
{
	cs_change_start(timer->data);
}

static void cs_on_message(struct kn_task *task, struct kn_message *message)
{
	if (message->type == CS_MSG_CHECK)
		cs_change_check(task->state);
}

static enum st_code cs_on_start(struct kn_task *task)
{
	struct cs_task *cs = task->state;
	const struct cf_platform *p = &cs->_desc.settings->platform;
	struct ev_loop *loop = task->kernel->loop;
	uint32_t delay_ms = randombytes_uniform(CS_FIRST_POLL_SPREAD_MS);
	enum st_code code;

	cs->_task = task;
	code = pf_init(&cs->_store,
		       &(struct pf_desc){ .loop = loop,
					  .kind = p->kind,
					  .tables_url = p->tables_url,
					  .objects_url = p->objects_url,
					  .hosts_url = p->hosts_url,
					  .reads_per_s = p->reads_per_s,
					  .writes_per_s = p->writes_per_s });
	if (code != ST_OK)
		return code;
	ev_timer_init(&cs->_poll, cs_on_poll, delay_ms / 1000.0, 0.0);
	ev_timer_init(&cs->_hosts, cs_on_hosts_timer, delay_ms / 1000.0, 0.0);
	ev_timer_init(&cs->_retry, cs_on_retry, 0.0, 0.0);
	cs->_poll.data = cs->_hosts.data = cs->_retry.data = cs;
	ev_timer_start(loop, &cs->_poll);
	ev_timer_start(loop, &cs->_hosts);
	return ST_OK;
}

static bool cs_is_idle(struct kn_task *task)
{
	struct cs_task *cs = task->state;

	return g_queue_is_empty(&cs->_changes);
}

static void cs_on_stop(struct kn_task *task)
{
	struct cs_task *cs = task->state;
	struct ev_loop *loop = task->kernel->loop;

	ev_timer_stop(loop, &cs->_poll);
	ev_timer_stop(loop, &cs->_hosts);
	ev_timer_stop(loop, &cs->_retry);
	pf_finish(&cs->_store);
	cs_change_drop_all(cs);
	g_free(cs->_head);
	cs->_head = NULL;
}

static const struct kn_task_ops cs_ops = {
	"store", cs_on_start, cs_on_message, NULL, cs_is_idle, cs_on_stop,
};

enum st_code cs_spawn(struct cs_task *cs, struct kn_kernel *kernel,
		      const struct cs_desc *desc, struct kn_handle *handle)
{
	memset(cs, 0, sizeof(*cs));
	cs->_desc = *desc;
	if (!cs->_desc.change_deadline_ms)
		cs->_desc.change_deadline_ms = CS_CHANGE_DEADLINE_MS;
	cs->_poll_period_ms = CS_MIN_POLL_PERIOD_MS;
	cs->_hosts_period_ms = CS_HOSTS_PERIOD_MS;
	g_queue_init(&cs->_changes);
	return kn_spawn(kernel, &cs_ops, cs, handle);
}

struct pf_store *cs_store(struct cs_task *cs)
{
	return &cs->_store;
}
