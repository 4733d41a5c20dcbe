/*
 * lm_team - private to lm: teams and their requests at one entry.
 *
 * Overview
 *	A team has one queue per urgency, in order of arrival, and the last
 *	reports of the other entries on it, sorted by entry. lm_team.c maintains
 *	the teams and their shares, lm_queue.c the waiting requests.
 */
#ifndef LM_TEAM_H
#define LM_TEAM_H

#include "limits/lm.h"

/** struct lm_peer_row - last report of a peer on one team. */
struct lm_peer_row {
	uint64_t entry;
	uint32_t running;
	uint32_t waiting;
	int64_t at_ms;
};

/**
 * struct lm_entry - an entry host; @last_report_ms: time of its last report.
 */
struct lm_entry {
	uint64_t id;
	int64_t last_report_ms;
};

/**
 * struct lm_team - a team at this entry.
 * @queues: waiting requests, by enum cm_urgency.
 * @rows: of struct lm_peer_row, sorted by entry.
 * @reported: demand in the last two reports, the older one second.
 * @finish_tag: virtual time at which its last started request finishes.
 * @completions_per_s: smoothed rate at which its requests end, as of @rate_ms.
 * @share: cached until @share_until_ms.
 */
struct lm_team {
	uint64_t id;
	uint32_t weight;
	uint32_t max_running;
	uint32_t max_waiting;
	uint32_t running;
	uint32_t waiting;
	GQueue queues[CM_DEFERRABLE + 1];
	GArray *rows;
	uint32_t reported[2];
	double finish_tag;
	double completions_per_s;
	int64_t rate_ms;
	uint32_t share;
	int64_t share_until_ms;
};

/**
 * struct lm_active - a waiting or running request.
 * @link: in the queue of its team; NULL while it runs.
 */
struct lm_active {
	struct lm_request request;
	struct lm_team *team;
	int64_t admitted_ms;
	int64_t expires_ms;
	GList *link;
};

/* lm_team.c */
struct lm_team *lm_team_get(struct lm_limits *limits, uint64_t id);
void lm_team_free(struct lm_team *team);
bool lm_team_may_run(struct lm_limits *limits, struct lm_team *team,
		     int64_t now_ms);
void lm_team_invalidate(struct lm_team *team);
uint32_t lm_team_max_waiting(const struct lm_limits *limits,
			     const struct lm_team *team);

/* lm_queue.c */
void lm_queue_add(struct lm_limits *limits, struct lm_active *active);
void lm_queue_remove(struct lm_limits *limits, struct lm_active *active);

/** lm_queue_pick() - return the request to run next, or NULL. */
struct lm_active *lm_queue_pick(struct lm_limits *limits, int64_t now_ms);

/**
 * lm_queue_expired() - return a request whose time to wait is over, or NULL.
 */
struct lm_active *lm_queue_expired(struct lm_limits *limits, int64_t now_ms);

/**
 * lm_queue_victim() - choose the waiting request to shed for a new one.
 * @team: consider only this team; NULL for all.
 *
 * Return: NULL if no waiting request ranks below @request.
 */
struct lm_active *lm_queue_victim(struct lm_limits *limits,
				  struct lm_team *team,
				  const struct lm_request *request);

/**
 * lm_queue_account() - advance the fair queue for a request of @team that
 * starts.
 */
void lm_queue_account(struct lm_limits *limits, struct lm_team *team,
		      uint32_t tokens);

int lm_expiry_compare(gconstpointer a, gconstpointer b, gpointer unused);

#endif
