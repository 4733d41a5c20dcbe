/*
 * State of a Fleet, used on its thread only; private to fleet*.cc.
 */
#ifndef HARNESS_FLEET_STATE_H
#define HARNESS_FLEET_STATE_H

#include <condition_variable>
#include <deque>
#include <list>
#include <random>
#include <set>

#include "fleet.h"

extern "C" {
#include <ev.h>

#include "http1/h1_server.h"
#include "kernel/ck.h"
}

namespace harness
{

struct Engine;

struct Row {
	std::string value;
	uint64_t version;
	bool is_deleted;
};

/* What a write to a row of the store replaced. */
struct Change {
	int64_t at_ms;
	std::string table;
	std::string key;
	bool had_row;
	Row before;
	uint64_t version_before;
};

/* A row that its writer writes again after the store lost it. */
struct Rewrite {
	std::string value;
	int64_t due_ms;
};

/* A way to the store on which engines' entries have other addresses. */
struct View {
	Fleet::State *state;
	std::map<std::string, std::string> addresses;
	struct h1_server server = {};
};

struct Waiter {
	struct h1_exchange *x;
	const View *view;
	std::string table;
	uint64_t after;
	int64_t until_ms;
};

/* A request that an engine works on at its pace. */
struct Run {
	Engine *engine;
	struct h1_exchange *x;
	std::string attempt;
	int events;
	int64_t due_ms;
	bool is_endless;
};

struct Engine {
	Fleet::State *state;
	std::string id;
	std::string address;
	bool is_draining = false;
	bool is_leaving = false;
	int brittle_per_s = 0;
	int64_t paused_until_ms = 0;
	std::string service;
	std::string model;
	int weights = 0;
	int orders = 0;
	int64_t busy_until_ms = 0;
	int born = 1;
	uint16_t port = 0;
	bool is_crashing = false;
	int64_t down_until_ms = 0;
	int64_t entry_due_ms = 0;
	int entry_ms = 0;
	std::string software;
	Behaviour behaviour = Behaviour::answer;
	std::function<void(uint16_t)> on_port = [](uint16_t) {};
	struct h1_server server = {};
};

struct Fleet::State {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct h1_server store = {};
	struct ev_async wake = {};
	struct ev_timer tick = {};
	std::mutex mutex;
	std::condition_variable ran;
	std::deque<std::function<void()>> work;
	uint64_t done = 0, posted = 0;
	bool is_over = false;

	bool is_down = false;
	uint64_t version = 0;
	uint64_t history_from = 0;
	int calls = 0;
	std::string crash_body;
	std::set<std::string> crash_parts;
	int crash_down_ms = 0;
	std::vector<int64_t> crash_times;
	int pace_ms = 15;
	std::list<Run> running;
	std::map<std::string, int> begun;
	std::map<std::string, std::map<std::string, Row>> tables;
	std::deque<Change> changes;
	std::map<std::pair<std::string, std::string>, Rewrite> rewrites;
	uint64_t era = 1;
	bool is_era_stated = false;
	/* While the store is away: when it is back, and the age of its copy. */
	int64_t away_until_ms = 0;
	int64_t copy_ms = 0;
	std::mt19937 random;
	std::list<Waiter> waiters;
	std::list<View> views;
	std::map<std::string, std::unique_ptr<Engine>> engines;
	std::vector<Arrival> arrivals;
	std::vector<Order> orders;

	std::string rows_json(const std::string &table, uint64_t after,
			      bool is_feed, const View *view, int *count);
	void answer(struct h1_exchange *x, uint32_t status,
		    const std::string &body);
	void answer_rows(struct h1_exchange *x, const std::string &table,
			 uint64_t after, bool is_feed, const View *view);
	void put(const std::string &table, const std::string &key,
		 const std::string &value);
	void set_row(const std::string &table, const std::string &key,
		     const Row &row);
	void answer_waiters(const std::string &table);
	void go_away(int away_ms, int back_ms);
	void undo_since(int64_t at_ms);
	void come_back(int64_t now_ms);
	void on_store_tick(int64_t now_ms);
	void write_entry(const Engine &e);
	void on_store(struct h1_exchange *x, const View *view);
	void forget_waiter(struct h1_exchange *x);
	void listen(View *view);
	void on_transaction(struct h1_exchange *x);
	void on_engine(Engine *e, struct h1_exchange *x);
	void on_order(Engine *e, struct h1_exchange *x);
	void on_pace(Engine *e, struct h1_exchange *x,
		     const std::string &attempt, int after);
	bool go_on(Run &run);
	void on_tick();
	void listen(Engine *e);
	void close(Engine *e);
	void end_process(Engine *e, int64_t back_ms);
	bool crashes(const Arrival &arrival) const;
	void crash_or_start(Engine *e, int64_t now_ms);
};

/** own_ip() - first address of this test's range. */
std::string own_ip();

void respond(struct h1_exchange *x, uint32_t status, const std::string &body,
	     const std::map<std::string, std::string> &fields = {});

} // namespace harness

#endif
