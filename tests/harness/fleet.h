/*
 * fleet - a stand-in for the users' platform: row store and engines.
 *
 * Overview
 *	Runs on a loop of its own in a thread of the test's process. Speaks the
 *	protocol that platform/ translates: rows with transactions and a feed,
 *	engines that answer, refuse, break off or hang as the test says, and
 *	orders for new weights. It keeps what reached the engines.
 *
 * Use
 *	Fleet fleet;
 *	fleet.add_engine("i-1", "svc", "m", 1);
 *	fleet.put("op", "config", text);
 *	Process gateway = ... with fleet.settings(directory, "h1");
 */
#ifndef HARNESS_FLEET_H
#define HARNESS_FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace harness
{

/** Behaviour - how an engine treats requests. */
enum class Behaviour {
	answer,	    /* in full */
	refuse,	    /* 503, not run */
	fail,	    /* 500, run */
	close,	    /* reads the request and closes */
	hang,	    /* reads the request and says nothing */
	break_off,  /* tears the stream in the middle of its fourth event */
	unsigned_,  /* 200 without a signature */
	stall,	    /* two events, then nothing */
	pace,	    /* in full, an event after the other; names the request */
	pace_stall, /* the same, but no more than two events */
	pace_slow,  /* in full, with long pauses between the events */
	trickle,    /* two events, then a byte of a comment now and then */
	endless,    /* a signed head, then bytes without end */
	break_then_fail,   /* break_off, but 500 for a stream that goes on */
	break_then_refuse, /* the same, but 503, not run */
	break_then_unsign, /* the same, but 200 without a signature */
	break_then_answer, /* the same, but in full */
};

/** Arrival - a request as an engine saw it. */
struct Arrival {
	std::string engine;
	std::string method;
	std::string target;
	std::string body;
	std::map<std::string, std::string> headers;
	int64_t at_ms;
	bool ends_engine = false;  /* the engine crashes with it */
	std::string software = ""; /* version of the engine's software */
};

/** Order - of new weights, as an engine saw it. */
struct Order {
	std::string engine;
	std::string body;
	int64_t at_ms = 0;
	bool is_taken = false;
	int64_t fencing = 0;
};

/**
 * Place - of a host, and what differs in its settings.
 * @store: its way to the store, "" for the direct one.
 * @lease_ms: least time between orders of two hosts.
 */
struct Place {
	std::string zone = "z1";
	std::string region = "r1";
	std::string store;
	int lease_ms = 500;
};

class Fleet
{
      public:
	struct State;

	Fleet();
	~Fleet();
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	/** put() - a row; a value of "" deletes it. */
	void put(const std::string &table, const std::string &key,
		 const std::string &value);

	/** put_together() - several rows of a table in one transaction. */
	void put_together(
		const std::string &table,
		const std::vector<std::pair<std::string, std::string>> &rows);

	/** row() - its value; "" if there is none. */
	std::string row(const std::string &table, const std::string &key);

	/**
	 * add_engine() - and its entry; @model "" makes a plain one. With
	 * @software the entry is left to set_address() or write_entry(), so
	 * that its first one is whole.
	 */
	void add_engine(const std::string &id, const std::string &service,
			const std::string &model = "", int weights = 0,
			const std::string &software = "");
	void behave(const std::string &id, Behaviour behaviour);

	/** set_address() - of its entry: "IP:PORT" of a proxy in front of it.
	 */
	void set_address(const std::string &id, const std::string &address);
	void set_draining(const std::string &id);

	/** say_leaving() - all its answers say that it leaves; not its entry.
	 */
	void say_leaving(const std::string &id);

	/**
	 * ask_pause() - it refuses everything for @pause_ms, and each refusal
	 * asks for a pause until then. It ends no longer pause.
	 */
	void ask_pause(const std::string &id, int pause_ms);

	/**
	 * set_brittle() - all its answers say that it is brittle: it falls over
	 * once it has to turn more than @per_s requests away in a second.
	 */
	void set_brittle(const std::string &id, int per_s);

	/**
	 * set_software() - the version of its software in its entry, which is
	 * written. It stands in each event that it sends.
	 */
	void set_software(const std::string &id, const std::string &version);

	/**
	 * restart_engine() - it ends at once, its runs torn; it is back under
	 * its id and at its address after @down_ms, as another process with
	 * that version of the software, and writes its entry @entry_ms later.
	 */
	void restart_engine(const std::string &id, const std::string &version,
			    int down_ms, int entry_ms = 0);

	/** set_pace() - between two events of an answer, of all engines. */
	void set_pace(int pace_ms);

	/** write_entry() - its entry, once more. */
	void write_entry(const std::string &id);

	/**
	 * start_anew() - as another process; its entry is not written. Nothing
	 * tells its connections, as if none had been open.
	 */
	void start_anew(const std::string &id);

	/**
	 * follow_engine() - @on_port is told 0 before the connections of the
	 * engine break as it ends, and the port when it listens again.
	 */
	void follow_engine(const std::string &id,
			   std::function<void(uint16_t port)> on_port);
	uint16_t engine_port(const std::string &id);

	/** remove_engine() - entry and process are gone, its runs torn. */
	void remove_engine(const std::string &id);

	/** set_store_down() - calls are refused with 503. */
	void set_store_down(bool is_down);

	/**
	 * state_era() - whether the store's answers, errors too, carry the
	 * header Store-Era. It begins at 1; by default there is no header.
	 */
	void state_era(bool is_stated);

	/**
	 * restore_store() - the store goes away for @away_ms, its connections
	 * close, and then it has its rows and versions as they were @back_ms
	 * before; the era rises by one. Rows of the tables op and servers that
	 * were written since are written again within two seconds, in random
	 * order. Returns at once; may be called again before that is over.
	 */
	void restore_store(int away_ms, int back_ms);

	/** seed_store() - of the delays with which rows are written again. */
	void seed_store(uint32_t seed);

	/**
	 * add_view() - "IP:PORT" of a way to the store on which the entries of
	 * engines have other addresses, by the engines' ids. Hosts of a region
	 * hand rows on to each other, so a host with a view of its own needs a
	 * region of its own.
	 */
	std::string
	add_view(const std::map<std::string, std::string> &addresses);

	/** forget_history() - feeds that are behind must read the table. */
	void forget_history();

	/**
	 * crash_on() - an engine that begins to run a request whose body starts
	 * with @body ends: its connections close, its port refuses, and after
	 * @down_ms it is back at the same address as a new incarnation.
	 */
	void crash_on(const std::string &body, int down_ms);

	/**
	 * crash_on_part() - the same for a request whose prompt has the part
	 * @part (its ID in hexadecimal) before the last one. Parts add up.
	 */
	void crash_on_part(const std::string &part, int down_ms);

	/** spare_parts() - no part ends engines any more. */
	void spare_parts();

	/** crashes() - engines that ended so. */
	int crashes();

	/** crash_times() - when each of them ended, in order. */
	std::vector<int64_t> crash_times();

	/** at_work() - requests that engines answer at their pace now. */
	size_t at_work();

	/** runs() - begun for that attempt at any engine. */
	int runs(const std::string &attempt);

	std::vector<Arrival> arrivals();
	std::vector<Order> orders();
	int store_calls();

	/** settings() - writes a host's file; returns its path. */
	std::string settings(const std::string &directory,
			     const std::string &host, const Place &place = {});

	/** store_ip(), store_port() - for a proxy in front of the store. */
	static std::string store_ip();
	uint16_t store_port() const;

	/** url() - of a host's callers' server, with @target. */
	static std::string url(const std::string &host,
			       const std::string &target);
	static std::string readiness(const std::string &host);

	/** via() - of its server for requests that other hosts pass on. */
	static std::string via(const std::string &host);
	static std::string metrics(const std::string &host);

      private:
	std::unique_ptr<State> state;
	std::thread thread;

	void run(const std::function<void()> &fn);
};

/**
 * stream_answer() - the events that an engine sends, from @after on; @software
 * is the version of its software, "" if its entry has none.
 */
std::string stream_answer(int after, const std::string &software = "");

/** paced_answer() - of an engine with Behaviour::pace, in full. */
std::string paced_answer(const std::string &attempt, bool is_stream);

} // namespace harness

#endif
