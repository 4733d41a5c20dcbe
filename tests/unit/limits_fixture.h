// The limits of one entry, with short calls for the tests of src/limits/lm.
#ifndef LIMITS_FIXTURE_H
#define LIMITS_FIXTURE_H

#include <vector>

extern "C" {
#include "limits/lm.h"
}

struct Limits {
	struct lm_limits lm;
	uint64_t last_id = 0;

	explicit Limits(struct lm_desc desc = {})
	{
		lm_init(&lm, &desc);
	}
	~Limits()
	{
		lm_finish(&lm);
	}
	Limits(const Limits &) = delete;
	Limits &operator=(const Limits &) = delete;

	struct lm_answer admit(uint64_t team, enum cm_urgency urgency,
			       int64_t now_ms, uint32_t max_running = 4,
			       uint32_t tokens = 100, uint64_t bytes = 1000,
			       uint32_t weight = 1)
	{
		struct lm_request r = {};

		r.id = ++last_id;
		r.team = team;
		r.team_weight = weight;
		r.team_max_running = max_running;
		r.urgency = urgency;
		r.tokens = tokens;
		r.bytes = bytes;
		return lm_admit(&lm, &r, now_ms);
	}
	std::vector<struct lm_next> collect(int64_t now_ms)
	{
		std::vector<struct lm_next> all;
		struct lm_next next;

		while (lm_next(&lm, &next, now_ms))
			all.push_back(next);
		return all;
	}
};

#endif
