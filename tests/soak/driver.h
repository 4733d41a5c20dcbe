/*
 * driver - plays a schedule against real processes.
 *
 * Overview
 *	One loop drives the callers, the faults and the clock. The stand-in for
 *	the platform and the faulty ways run in threads of their own; each host
 *	is a process of its own, started and ended by its id.
 *
 *	Callers use the product's own HTTP client, which never repeats a call,
 *	and keep their connections until the process is gone.
 */
#ifndef SOAK_DRIVER_H
#define SOAK_DRIVER_H

#include <ev.h>

#include <deque>
#include <memory>
#include <random>

#include "fleet.h"
#include "process.h"
#include "promises.h"
#include "proxy.h"
#include "schedule.h"

extern "C" {
#include "http1/h1_client.h"
}

namespace soak
{

struct Host {
	std::string name;
	std::string settings;
	uint32_t life = 0;
	bool is_up = false;
	int64_t paused_until_ms = 0;
	int64_t start_at_ms = 0;
	/* The last moment at which its process could not answer. */
	int64_t disturbed_ms = 0;
	int64_t way_until_ms = 0;
	std::unique_ptr<harness::Proxy> way;
	std::unique_ptr<harness::Process> process;
	struct h1_peer peer;
};

struct EngineSlot {
	std::string id;
	std::string service;
	std::string model;
	std::string software;
	std::unique_ptr<harness::Proxy> way;
	int64_t way_until_ms = 0;
	int64_t behaves_until_ms = 0;
	int64_t paused_until_ms = 0;
	/* It ended: another one comes up at its address then. */
	int64_t reused_at_ms = 0;
	bool keeps_way = false;
	/* It is not in service until then. */
	int64_t back_at_ms = 0;
};

/** build_of() - @which: of the two in drills. */
std::string build_of(uint32_t which);

/* Between two events in drills: a stream is open for half a second. */
constexpr int pace_of_drills_ms = 60;

class Driver;

struct Caller {
	Driver *driver;
	struct h1_call call = {};
	ev_timer timer = {};
	bool is_calling = false;
	int64_t stood_still_ms = 0; /* of the driver, when it asked */
	Sent sent = {};
	Got got = {};
	Stream stream = {}; /* that it takes up next, if it has events */
};

class Driver
{
      public:
	Driver(const Size &size, uint64_t seed, const std::string &folder);
	~Driver();
	Driver(const Driver &) = delete;
	Driver &operator=(const Driver &) = delete;

	/** play() - returns the promises broken. */
	std::vector<std::string> play(const std::vector<Fault> &faults);
	std::map<std::string, uint32_t> outcomes() const
	{
		return promises.outcomes;
	}
	void remove_logs();

      private:
	Size size;
	std::string folder;
	std::mt19937_64 dice;
	struct ev_loop *loop;
	/* These outlive the fleet, which tells them of its engines. */
	std::vector<std::unique_ptr<EngineSlot>> engines;
	std::vector<std::unique_ptr<harness::Proxy>> ways_of_drained;
	harness::Fleet fleet;
	Promises promises;
	std::vector<std::unique_ptr<Host>> hosts;
	std::vector<std::unique_ptr<Caller>> callers;
	std::deque<Fault> faults;
	std::vector<std::string> deadly_bodies;
	std::vector<std::string> tainted_parts;
	ev_timer tick;
	int64_t started_ms = 0;
	int64_t recover_by_ms = 0;
	/* For how long this process did not run, and when it last did. */
	int64_t stood_still_ms = 0;
	int64_t seen_ms = 0;
	int64_t store_until_ms = 0;
	/* Since then all rows that the store lost are written again. */
	int64_t store_settled_ms = 0;
	/* When the entries of engines that are gone run out. */
	std::deque<std::pair<int64_t, std::string>> entries_last;
	uint64_t next_attempt = 0;
	int version = 0;
	int weights = 1;
	uint32_t engines_made = 0;
	bool is_over = false;
	std::vector<std::set<Route>> answered_since;

	uint64_t draw(uint64_t below);
	int64_t elapsed_ms() const;

	void start_host(Host &host);
	void end_host(Host &host, int number, int64_t for_ms);
	void add_engine(EngineSlot &slot);
	void put_configuration();
	std::string draw_body();
	std::string draw_part();
	void begin(const Fault &fault);
	void begin_at_host(const Fault &fault, Host &host);
	void begin_at_engine(const Fault &fault, EngineSlot &slot);
	void end_faults(int64_t now_ms);

	/* drills.cc */
	bool begin_drill(const Fault &fault);
	void end_drills(int64_t now_ms);
	Host *find_holder();
	void rebuild(EngineSlot &slot);
	void crash(EngineSlot &slot);
	void reuse(EngineSlot &slot);
	uint32_t count_serving(const std::string &software) const;
	void draw_stream(Caller &caller);
	void follow_stream(Caller &caller, bool is_whole);
	void on_tick();
	void note_standstill();
	void look_for_recovery(int64_t now_ms);
	void check_processes();
	void read_logs();

	void ask(Caller &caller);
	void on_timer(Caller &caller);
	void on_done(Caller &caller, bool is_whole);
	static bool on_head(void *arg, uint32_t status,
			    const struct h1_headers *headers);
};

} // namespace soak

#endif
