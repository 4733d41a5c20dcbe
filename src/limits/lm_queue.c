#include "limits/lm_team.h"

int lm_expiry_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct lm_held *x = a, *y = b;

	(void)unused;
	if (x->expires_ms != y->expires_ms)
		return x->expires_ms < y->expires_ms ? -1 : 1;
	if (x->request.id != y->request.id)
		return x->request.id < y->request.id ? -1 : 1;
	return 0;
}

void lm_queue_add(struct lm_limits *limits, struct lm_held *held)
{
	struct lm_team *team = held->team;
	GQueue *queue = &team->queues[held->request.urgency];

	g_queue_push_tail(queue, held);
	held->link = queue->tail;
	if (team->waiting++ == 0)
		g_ptr_array_add(limits->_queued, team);
	limits->waiting++;
	limits->waiting_bytes += held->request.bytes;
	g_tree_insert(limits->_expiry, held, held);
	lm_team_stale(team);
}

void lm_queue_remove(struct lm_limits *limits, struct lm_held *held)
{
	struct lm_team *team = held->team;

	g_queue_delete_link(&team->queues[held->request.urgency], held->link);
	held->link = NULL;
	if (--team->waiting == 0)
		g_ptr_array_remove_fast(limits->_queued, team);
	limits->waiting--;
	limits->waiting_bytes -= held->request.bytes;
	g_tree_remove(limits->_expiry, held);
	lm_team_stale(team);
}

/* The grade after ageing: CM_URGENT is the first to run. */
static int64_t lm_grade(const struct lm_held *held, int64_t now_ms)
{
	int64_t raised = (now_ms - held->since_ms) / LM_AGING_STEP_MS;
	int64_t grade = (int64_t)held->request.urgency - raised;

	return grade > CM_URGENT ? grade : CM_URGENT;
}

/* Within a queue the oldest is first, so only the heads compete. */
static struct lm_held *lm_head(const struct lm_team *team, int64_t now_ms)
{
	struct lm_held *best = NULL;

	for (int i = CM_URGENT; i <= CM_DEFERRABLE; i++) {
		struct lm_held *held =
			g_queue_peek_head((GQueue *)&team->queues[i]);

		if (!held)
			continue;
		if (!best || lm_grade(held, now_ms) < lm_grade(best, now_ms) ||
		    (lm_grade(held, now_ms) == lm_grade(best, now_ms) &&
		     held->since_ms < best->since_ms))
			best = held;
	}
	return best;
}

static double lm_start(const struct lm_limits *limits,
		       const struct lm_team *team)
{
	return team->finish > limits->_virtual_time ? team->finish
						    : limits->_virtual_time;
}

void lm_queue_charge(struct lm_limits *limits, struct lm_team *team,
		     uint32_t tokens)
{
	double start = lm_start(limits, team);

	limits->_virtual_time = start;
	team->finish = start + (double)(tokens ? tokens : 1) / team->weight;
}

static bool lm_goes_before(const struct lm_limits *limits,
			   const struct lm_held *a, const struct lm_held *b,
			   int64_t now_ms)
{
	int64_t of_a = lm_grade(a, now_ms), of_b = lm_grade(b, now_ms);

	if (of_a != of_b)
		return of_a < of_b;
	return lm_start(limits, a->team) < lm_start(limits, b->team);
}

struct lm_held *lm_queue_pick(struct lm_limits *limits, int64_t now_ms)
{
	struct lm_held *best = NULL;

	for (uint32_t i = 0; i < limits->_queued->len; i++) {
		struct lm_team *team = g_ptr_array_index(limits->_queued, i);
		struct lm_held *head = lm_head(team, now_ms);

		if (best && !lm_goes_before(limits, head, best, now_ms))
			continue;
		if (lm_team_may_run(limits, team, now_ms))
			best = head;
	}
	return best;
}

struct lm_held *lm_queue_expired(struct lm_limits *limits, int64_t now_ms)
{
	GTreeNode *node = g_tree_node_first(limits->_expiry);
	struct lm_held *held = node ? g_tree_node_value(node) : NULL;

	return held && held->expires_ms <= now_ms ? held : NULL;
}

static double lm_waiting_by_weight(const struct lm_team *team)
{
	return (double)team->waiting / team->weight;
}

/* The newest request of the least urgent grade that @team has waiting. */
static struct lm_held *lm_least(const struct lm_team *team)
{
	for (int i = CM_DEFERRABLE; i >= CM_URGENT; i--) {
		struct lm_held *held =
			g_queue_peek_tail((GQueue *)&team->queues[i]);

		if (held)
			return held;
	}
	return NULL;
}

static bool lm_is_worth_less(const struct lm_held *a, const struct lm_held *b)
{
	if (a->request.urgency != b->request.urgency)
		return a->request.urgency > b->request.urgency;
	return lm_waiting_by_weight(a->team) > lm_waiting_by_weight(b->team);
}

static bool lm_gives_way(const struct lm_held *victim,
			 const struct lm_request *request,
			 const struct lm_team *team)
{
	if (victim->request.urgency != request->urgency)
		return victim->request.urgency > request->urgency;
	return lm_waiting_by_weight(victim->team) >
	       (double)(team->waiting + 1) / team->weight;
}

struct lm_held *lm_queue_victim(struct lm_limits *limits, struct lm_team *team,
				const struct lm_request *request)
{
	struct lm_team *of_request = lm_team_get(limits, request->team);
	struct lm_held *worst = team ? lm_least(team) : NULL;

	for (uint32_t i = 0; !team && i < limits->_queued->len; i++) {
		struct lm_held *held =
			lm_least(g_ptr_array_index(limits->_queued, i));

		if (!worst || lm_is_worth_less(held, worst))
			worst = held;
	}
	return worst && lm_gives_way(worst, request, of_request) ? worst : NULL;
}
