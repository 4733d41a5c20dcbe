/*
 * promises - what must hold, whatever the schedule does.
 *
 * Overview
 *	The driver tells what callers sent and got; the engines' stand-in knows
 *	what ran. Each broken promise becomes a line.
 */
#ifndef SOAK_PROMISES_H
#define SOAK_PROMISES_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet.h"

namespace soak
{

/* Of the settings that the stand-in writes, and what the pages add to them. */
constexpr int64_t revoke_ms = 3200;
constexpr int64_t rollback_slack_ms = 250;
constexpr int64_t drain_ms = 3000;
constexpr int64_t lease_slack_ms = 700;
/* Of a request that ends engines: so long after the third of them has ended,
 * no more than so many ends follow, by hosts that ran undisturbed as long. */
constexpr int64_t known_after_ms = 4000;
constexpr size_t ends_before = 3;
constexpr int ends_after = 3;
/* Of requests that share a part which ends engines, likewise. */
constexpr size_t part_ends_before = 5;
/* A pause binds a host from then on, but for so many requests. */
constexpr int64_t pause_settle_ms = 500;
constexpr int allowed_in_pause = 2;
/* An engine that has crashed is back then, as a new incarnation. */
constexpr int64_t engine_down_ms = 600;
/* Between the end of a deadline and the answer that says so. */
constexpr int64_t answer_slack_ms = 1000;

enum class Route { grade, draft, record, look };

/**
 * Stream - what a caller has of one, over its tries.
 * @first: the attempt that brought its first event.
 */
struct Stream {
	std::string first;
	std::string build;
	int events = 0;
	int tries = 0;
	bool is_joined = false;
};

struct Sent {
	Route route;
	std::string attempt;
	uint32_t host;
	uint32_t life; /* which process of that host */
	int key;       /* version that has this key; 0: the key of all */
	int64_t sent_ms;
	int64_t deadline_ms;
	bool is_settled; /* its host ran undisturbed for known_after_ms */
	/* In drills: what it takes up, and whether LOST counts it. */
	Stream stream = {};
	bool is_in_touch = false;
	bool is_lost_if_refused = false;
};

struct Got {
	bool is_whole;
	uint32_t status;
	bool says_not_run;
	bool has_retry_after;
	std::string leaving; /* engine that says so in this answer, or "" */
	int64_t head_ms;
	std::string body;
	int64_t at_ms;
};

class Promises
{
      public:
	explicit Promises(harness::Fleet &fleet);

	/** named() - the operator put a configuration in force. */
	void named(int version, int64_t at_ms);

	/** drained() - an engine's entry says so. */
	void drained(const std::string &engine, int64_t at_ms);

	/** deadly() - a request with that body ends engines. */
	void deadly(const std::string &body);

	/** tainted() - requests with that part end engines. */
	void tainted(const std::string &part);

	/** paused() - the engine refuses, and asks for a pause until then. */
	void paused(const std::string &engine, int64_t from_ms,
		    int64_t until_ms);

	/** disturbed() - hosts may know nothing new until then. */
	void disturbed(int64_t until_ms);

	void answered(const Sent &sent, const Got &got);

	/** unanswered() - the deadline and its slack passed without an end. */
	void unanswered(const Sent &sent, const std::string &what);

	/** drill() - streams are of engines that mark their events. */
	void drill();

	/** thawed() - a frozen host goes on. */
	void thawed(const std::string &host, int64_t at_ms);

	/** streamed() - in drills; brings @stream up to date. */
	void streamed(const Sent &sent, const Got &got, Stream *stream);

	/** check_store_calls() - in drills, of all hosts in a play. */
	void check_store_calls(size_t hosts, int64_t lasted_ms);

	/**
	 * placed() - a host's log says that it sent the attempt to the engine;
	 * that host need not be the one that the caller asked.
	 */
	void placed(uint32_t host, const std::string &attempt,
		    const std::string &engine);

	/** finish() - what can only be seen at the end. */
	void finish();

	void broken(const std::string &what);
	const std::vector<std::string> &list() const
	{
		return found;
	}

	std::map<std::string, uint32_t> outcomes;

      private:
	harness::Fleet &fleet;
	std::vector<std::string> found;
	std::map<int, int64_t> named_ms;
	std::map<std::string, int64_t> drained_ms;
	int64_t disturbed_until_ms = 0;
	/* Of each process: the newest version seen in force, and when. */
	std::map<std::pair<uint32_t, uint32_t>, std::pair<int, int64_t>> seen;
	std::set<std::string> records;
	std::set<std::string> not_run;
	std::set<std::string> deadly_bodies;
	std::set<std::string> unsettled;
	std::set<std::string> tainted_parts;
	struct Pause {
		std::string engine;
		int64_t from_ms, until_ms;
	};
	std::vector<Pause> pauses;
	/* A process, by its host's number and which life of it. */
	using Life = std::pair<uint32_t, uint32_t>;
	std::map<std::string, Sent> sent_by_attempt;
	/* By attempt and engine: the hosts that sent it there. */
	std::map<std::pair<std::string, std::string>, std::set<uint32_t>>
		placed_by;
	/* By host: which life it was at, as its callers saw it. */
	std::map<uint32_t, std::map<int64_t, uint32_t>> lives;
	/* When a process passed on that an engine leaves. */
	std::map<std::pair<Life, std::string>, std::set<int64_t>>
		heard_leaving_ms;
	/* Answers that said so: attempt, engine and time. */
	struct Leaving {
		std::string attempt, engine;
		int64_t at_ms;
	};
	std::vector<Leaving> leaving;

	void note(const Sent &sent);
	Life life_of(uint32_t host, int64_t at_ms) const;
	std::set<Life> senders(const Sent &sent,
			       const std::string &engine) const;
	void check_body(const Sent &sent, const Got &got);
	void check_key(const Sent &sent, const Got &got);
	void check_orders();
	/* drills.cc */
	bool is_drill = false;
	uint32_t joined = 0;
	std::map<std::string, std::vector<int64_t>> thawed_ms;
	void check_events(const Sent &sent, const Got &got);
	bool is_thawing(const harness::Order &order);
	void check_lost();
	void check_holders();
	void check_deadly();
	void check_late(const std::string &what, int64_t known_ms,
			const std::vector<const harness::Arrival *> &list);
	void check_tainted(const std::vector<harness::Arrival> &arrivals);
	void check_leaving(const std::vector<harness::Arrival> &arrivals);
	void check_pauses(const std::vector<harness::Arrival> &arrivals);
};

} // namespace soak

#endif
