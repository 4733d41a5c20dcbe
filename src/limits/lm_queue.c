#include "limits/lm_team.h"

int lm_expiry_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct lm_active *x = a, *y = b;

	(void)unused;
	if (x->expires_ms != y->expires_ms)
		return x->expires_ms < y->expires_ms ? -1 : 1;
	if (x->request.id != y->request.id)
		return x->request.id < y->request.id ? -1 : 1;
	return 0;
}

void lm_queue_add(struct lm_limits *limits, struct lm_active *active)
{
	struct lm_team *team = active->team;
	GQueue *queue = &team->queues[active->request.urgency];

	g_queue_push_tail(queue, active);
	active->link = queue->tail;
	if (team->waiting++ == 0)
		g_ptr_array_add(limits->_waiting_teams, team);
	limits->waiting++;
	limits->waiting_bytes += active->request.bytes;
	g_tree_insert(limits->_expiry, active, active);
	lm_team_invalidate(team);
}

void lm_queue_remove(struct lm_limits *limits, struct lm_active *active)
{
	struct lm_team *team = active->team;

	g_queue_delete_link(&team->queues[active->request.urgency],
			    active->link);
	active->link = NULL;
	if (--team->waiting == 0)
		g_ptr_array_remove_fast(limits->_waiting_teams, team);
	limits->waiting--;
	limits->waiting_bytes -= active->request.bytes;
	g_tree_remove(limits->_expiry, active);
	lm_team_invalidate(team);
}

/* Urgency after aging; CM_URGENT runs first. */
static int64_t lm_effective_urgency(const struct lm_active *active,
				    int64_t now_ms)
{
	int64_t steps = (now_ms - active->admitted_ms) / LM_AGING_STEP_MS;
	int64_t urgency = (int64_t)active->request.urgency - steps;

	return urgency > CM_URGENT ? urgency : CM_URGENT;
}

/* Each queue is in order of arrival, so only the heads are compared. */
static struct lm_active *lm_best_of_team(const struct lm_team *team,
					 int64_t now_ms)
{
	struct lm_active *best = NULL;

	for (int i = CM_URGENT; i <= CM_DEFERRABLE; i++) {
		struct lm_active *active =
			g_queue_peek_head((GQueue *)&team->queues[i]);

		if (!active)
			continue;
		if (!best ||
		    lm_effective_urgency(active, now_ms) <
			    lm_effective_urgency(best, now_ms) ||
		    (lm_effective_urgency(active, now_ms) ==
			     lm_effective_urgency(best, now_ms) &&
		     active->admitted_ms < best->admitted_ms))
			best = active;
	}
	return best;
}

static double lm_start_tag(const struct lm_limits *limits,
			   const struct lm_team *team)
{
	return team->finish_tag > limits->_virtual_time ? team->finish_tag
							: limits->_virtual_time;
}

void lm_queue_account(struct lm_limits *limits, struct lm_team *team,
		      uint32_t tokens)
{
	double start = lm_start_tag(limits, team);

	limits->_virtual_time = start;
	team->finish_tag = start + (double)(tokens ? tokens : 1) / team->weight;
}

static bool lm_runs_before(const struct lm_limits *limits,
			   const struct lm_active *a, const struct lm_active *b,
			   int64_t now_ms)
{
	int64_t urgency_a = lm_effective_urgency(a, now_ms),
		urgency_b = lm_effective_urgency(b, now_ms);

	if (urgency_a != urgency_b)
		return urgency_a < urgency_b;
	return lm_start_tag(limits, a->team) < lm_start_tag(limits, b->team);
}

struct lm_active *lm_queue_pick(struct lm_limits *limits, int64_t now_ms)
{
	struct lm_active *best = NULL;

	for (uint32_t i = 0; i < limits->_waiting_teams->len; i++) {
		struct lm_team *team =
			g_ptr_array_index(limits->_waiting_teams, i);
		struct lm_active *head = lm_best_of_team(team, now_ms);

		if (best && !lm_runs_before(limits, head, best, now_ms))
			continue;
		if (lm_team_may_run(limits, team, now_ms))
			best = head;
	}
	return best;
}

struct lm_active *lm_queue_expired(struct lm_limits *limits, int64_t now_ms)
{
	GTreeNode *node = g_tree_node_first(limits->_expiry);
	struct lm_active *active = node ? g_tree_node_value(node) : NULL;

	return active && active->expires_ms <= now_ms ? active : NULL;
}

static double lm_weighted_waiting(const struct lm_team *team)
{
	return (double)team->waiting / team->weight;
}

/* Returns the newest of the least urgent waiting requests of @team, or NULL. */
static struct lm_active *lm_least_urgent(const struct lm_team *team)
{
	for (int i = CM_DEFERRABLE; i >= CM_URGENT; i--) {
		struct lm_active *active =
			g_queue_peek_tail((GQueue *)&team->queues[i]);

		if (active)
			return active;
	}
	return NULL;
}

static bool lm_is_better_victim(const struct lm_active *a,
				const struct lm_active *b)
{
	if (a->request.urgency != b->request.urgency)
		return a->request.urgency > b->request.urgency;
	return lm_weighted_waiting(a->team) > lm_weighted_waiting(b->team);
}

static bool lm_is_displaced_by(const struct lm_active *victim,
			       const struct lm_request *request,
			       const struct lm_team *team)
{
	if (victim->request.urgency != request->urgency)
		return victim->request.urgency > request->urgency;
	return lm_weighted_waiting(victim->team) >
	       (double)(team->waiting + 1) / team->weight;
}

struct lm_active *lm_queue_victim(struct lm_limits *limits,
				  struct lm_team *team,
				  const struct lm_request *request)
{
	struct lm_team *requesting_team = lm_team_get(limits, request->team);
	struct lm_active *worst = team ? lm_least_urgent(team) : NULL;

	for (uint32_t i = 0; !team && i < limits->_waiting_teams->len; i++) {
		struct lm_active *active = lm_least_urgent(
			g_ptr_array_index(limits->_waiting_teams, i));

		if (!worst || lm_is_better_victim(active, worst))
			worst = active;
	}
	return worst && lm_is_displaced_by(worst, request, requesting_team)
		       ? worst
		       : NULL;
}
