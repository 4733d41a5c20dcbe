#include "limits/lm.h"

#include <math.h>

#include "limits/lm_share.h"
#include "limits/lm_team.h"
#include "prefix/px.h"

/* Time constant for smoothing the rate at which requests of a team end. */
#define LM_RATE_SMOOTHING_MS 5000.0
/*
 * Lowest rate assumed, also for a team without ended requests: one in this
 * time.
 */
#define LM_DEFAULT_COMPLETION_MS 1000.0
/* Spread of retry times around the estimated wait, in either direction. */
#define LM_JITTER_PERMILLE INT64_C(250)

static const int64_t lm_default_wait_ms[CM_DEFERRABLE + 1] = {
	[CM_AUTO] = LM_NORMAL_WAIT_MS,
	[CM_URGENT] = LM_URGENT_WAIT_MS,
	[CM_NORMAL] = LM_NORMAL_WAIT_MS,
	[CM_DEFERRABLE] = LM_DEFERRABLE_WAIT_MS,
};

static void lm_apply_defaults(struct lm_desc *desc)
{
	if (!desc->max_running)
		desc->max_running = LM_DEFAULT_MAX_RUNNING;
	if (!desc->max_waiting)
		desc->max_waiting = LM_DEFAULT_MAX_WAITING;
	if (!desc->max_waiting_bytes)
		desc->max_waiting_bytes = LM_DEFAULT_WAITING_BYTES;
	for (int i = 0; i <= CM_DEFERRABLE; i++) {
		if (!desc->max_wait_ms[i])
			desc->max_wait_ms[i] = lm_default_wait_ms[i];
	}
}

void lm_init(struct lm_limits *limits, const struct lm_desc *desc)
{
	*limits = (struct lm_limits){ .desc = *desc };
	lm_apply_defaults(&limits->desc);
	limits->_teams =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      (GDestroyNotify)lm_team_free);
	limits->_requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	limits->_team_list = g_ptr_array_new();
	limits->_waiting_teams = g_ptr_array_new();
	limits->_expiry = g_tree_new_full(lm_expiry_compare, NULL, NULL, NULL);
	limits->_entries = g_array_new(FALSE, FALSE, sizeof(struct lm_entry));
	limits->_shares =
		g_array_new(FALSE, TRUE, sizeof(struct lm_share_entry));
	g_queue_init(&limits->_refused);
	lm_set_entries(limits, NULL, 0, 0);
}

void lm_finish(struct lm_limits *limits)
{
	g_queue_clear_full(&limits->_refused, g_free);
	g_array_free(limits->_shares, TRUE);
	g_array_free(limits->_entries, TRUE);
	g_tree_destroy(limits->_expiry);
	g_ptr_array_free(limits->_waiting_teams, TRUE);
	g_ptr_array_free(limits->_team_list, TRUE);
	g_hash_table_destroy(limits->_teams);
	g_hash_table_destroy(limits->_requests);
}

void lm_drain(struct lm_limits *limits)
{
	limits->is_draining = true;
}

static double lm_completion_rate(const struct lm_team *team, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - team->rate_ms);

	return team->completions_per_s * exp(-passed_ms / LM_RATE_SMOOTHING_MS);
}

static void lm_count_completion(struct lm_team *team, int64_t now_ms)
{
	team->completions_per_s = lm_completion_rate(team, now_ms) +
				  1000.0 / LM_RATE_SMOOTHING_MS;
	team->rate_ms = now_ms;
}

/*
 * Estimates the time until the waiting requests of @team, and request @id, will
 * have ended.
 */
static uint32_t lm_retry_after_ms(const struct lm_team *team, uint64_t id,
				  int64_t now_ms)
{
	double rate = lm_completion_rate(team, now_ms);
	double slowest = 1000.0 / LM_DEFAULT_COMPLETION_MS;
	double wait_ms = 1000.0 * (team->waiting + 1) /
			 (rate > slowest ? rate : slowest);
	int64_t jitter =
		(int64_t)(px_rank(id, team->id) % (2 * LM_JITTER_PERMILLE)) -
		LM_JITTER_PERMILLE;

	wait_ms *= 1.0 + (double)jitter / 1000.0;
	if (wait_ms < LM_MIN_RETRY_AFTER_MS)
		return LM_MIN_RETRY_AFTER_MS;
	if (wait_ms > LM_MAX_RETRY_AFTER_MS)
		return LM_MAX_RETRY_AFTER_MS;
	return (uint32_t)wait_ms;
}

static struct lm_answer lm_refuse(const struct lm_team *team, uint64_t id,
				  enum lm_reason reason, int64_t now_ms)
{
	struct lm_answer answer = { LM_REFUSE, reason, 0 };

	if (reason != LM_DEADLINE_PASSED)
		answer.retry_after_ms = lm_retry_after_ms(team, id, now_ms);
	return answer;
}

static void lm_start_running(struct lm_limits *limits, struct lm_active *active)
{
	active->team->running++;
	limits->running++;
	lm_queue_account(limits, active->team, active->request.tokens);
	lm_team_invalidate(active->team);
}

static struct lm_active *lm_track(struct lm_limits *limits,
				  const struct lm_request *request,
				  struct lm_team *team, int64_t now_ms)
{
	struct lm_active *active = g_new0(struct lm_active, 1);

	active->request = *request;
	active->team = team;
	active->admitted_ms = now_ms;
	active->expires_ms =
		now_ms + limits->desc.max_wait_ms[request->urgency];
	if (request->deadline_ms && request->deadline_ms < active->expires_ms)
		active->expires_ms = request->deadline_ms;
	g_hash_table_insert(limits->_requests, &active->request.id, active);
	return active;
}

static void lm_shed(struct lm_limits *limits, struct lm_active *victim,
		    int64_t now_ms)
{
	struct lm_next *next = g_new0(struct lm_next, 1);

	lm_queue_remove(limits, victim);
	next->id = victim->request.id;
	next->answer = lm_refuse(victim->team, next->id, LM_SHED, now_ms);
	g_queue_push_tail(&limits->_refused, next);
	g_hash_table_remove(limits->_requests, &next->id);
}

static bool lm_has_room(const struct lm_limits *limits,
			const struct lm_request *request)
{
	return limits->waiting < limits->desc.max_waiting &&
	       limits->waiting_bytes + request->bytes <=
		       limits->desc.max_waiting_bytes;
}

/* Makes room in the queue, or returns the reason why it cannot. */
static enum lm_reason lm_make_room(struct lm_limits *limits,
				   struct lm_team *team,
				   const struct lm_request *request,
				   int64_t now_ms)
{
	struct lm_active *victim;

	if (request->bytes > limits->desc.max_waiting_bytes)
		return LM_QUEUE_FULL;
	if (team->waiting >= lm_team_max_waiting(limits, team)) {
		victim = lm_queue_victim(limits, team, request);
		if (!victim)
			return LM_TEAM_QUEUE_FULL;
		lm_shed(limits, victim, now_ms);
	}
	while (!lm_has_room(limits, request)) {
		victim = lm_queue_victim(limits, NULL, request);
		if (!victim)
			return LM_QUEUE_FULL;
		lm_shed(limits, victim, now_ms);
	}
	return LM_NO_REASON;
}

static struct lm_team *lm_team_update(struct lm_limits *limits,
				      const struct lm_request *request)
{
	struct lm_team *team = lm_team_get(limits, request->team);

	team->weight = request->team_weight ? request->team_weight : 1;
	team->max_running = request->team_max_running;
	team->max_waiting = request->team_max_waiting;
	lm_team_invalidate(team);
	return team;
}

struct lm_answer lm_admit(struct lm_limits *limits,
			  const struct lm_request *request, int64_t now_ms)
{
	struct lm_request r = *request;
	struct lm_team *team = lm_team_update(limits, request);
	enum lm_reason reason;

	lm_done(limits, r.id, now_ms);
	if (r.urgency == CM_AUTO)
		r.urgency = CM_NORMAL;
	if (limits->is_draining)
		return lm_refuse(team, r.id, LM_DRAINING, now_ms);
	if (r.deadline_ms && r.deadline_ms <= now_ms)
		return lm_refuse(team, r.id, LM_DEADLINE_PASSED, now_ms);
	if (team->waiting == 0 && lm_team_may_run(limits, team, now_ms)) {
		lm_start_running(limits, lm_track(limits, &r, team, now_ms));
		return (struct lm_answer){ .verdict = LM_RUN };
	}
	reason = lm_make_room(limits, team, &r, now_ms);
	if (reason != LM_NO_REASON)
		return lm_refuse(team, r.id, reason, now_ms);
	lm_queue_add(limits, lm_track(limits, &r, team, now_ms));
	return (struct lm_answer){ .verdict = LM_WAIT };
}

static void lm_refuse_expired(struct lm_limits *limits,
			      struct lm_active *active, struct lm_next *next,
			      int64_t now_ms)
{
	int64_t deadline_ms = active->request.deadline_ms;
	enum lm_reason reason = LM_WAITED_TOO_LONG;

	if (deadline_ms && deadline_ms <= now_ms)
		reason = LM_DEADLINE_PASSED;
	lm_queue_remove(limits, active);
	next->id = active->request.id;
	next->answer = lm_refuse(active->team, next->id, reason, now_ms);
	g_hash_table_remove(limits->_requests, &next->id);
}

bool lm_next(struct lm_limits *limits, struct lm_next *next, int64_t now_ms)
{
	struct lm_next *refused = g_queue_pop_head(&limits->_refused);
	struct lm_active *active;

	if (refused) {
		*next = *refused;
		g_free(refused);
		return true;
	}
	active = lm_queue_expired(limits, now_ms);
	if (active) {
		lm_refuse_expired(limits, active, next, now_ms);
		return true;
	}
	active = lm_queue_pick(limits, now_ms);
	if (!active)
		return false;
	lm_queue_remove(limits, active);
	lm_start_running(limits, active);
	next->id = active->request.id;
	next->answer = (struct lm_answer){ .verdict = LM_RUN };
	return true;
}

/* Drops the pending refusal of a request whose caller has left. */
static void lm_drop_refusal(struct lm_limits *limits, uint64_t id)
{
	for (GList *l = limits->_refused.head; l; l = l->next) {
		struct lm_next *refused = l->data;

		if (refused->id != id)
			continue;
		g_free(refused);
		g_queue_delete_link(&limits->_refused, l);
		return;
	}
}

void lm_done(struct lm_limits *limits, uint64_t id, int64_t now_ms)
{
	struct lm_active *active = g_hash_table_lookup(limits->_requests, &id);

	if (!active) {
		lm_drop_refusal(limits, id);
		return;
	}
	if (active->link) {
		lm_queue_remove(limits, active);
	} else {
		active->team->running--;
		limits->running--;
		lm_count_completion(active->team, now_ms);
		lm_team_invalidate(active->team);
	}
	g_hash_table_remove(limits->_requests, &id);
}

const char *lm_reason_name(enum lm_reason reason)
{
	static const char *const names[LM_REASON_COUNT] = {
		[LM_NO_REASON] = "none",
		[LM_TEAM_QUEUE_FULL] = "team_queue_full",
		[LM_QUEUE_FULL] = "queue_full",
		[LM_WAITED_TOO_LONG] = "waited_too_long",
		[LM_DEADLINE_PASSED] = "deadline_passed",
		[LM_SHED] = "shed",
		[LM_DRAINING] = "draining",
	};

	return (uint32_t)reason < LM_REASON_COUNT ? names[reason] : "unknown";
}
