/*
 * stand - stand-ins for the platform, and the gateway as a process.
 *
 * Overview
 *	Plain blocking sockets and a thread for each connection, on loopback
 *	addresses and free ports. Nothing of the project is linked in: the
 *	gateway runs as a process with the command of the deploy file, with
 *	settings as platform/settings.template gives them.
 *
 *	Record	  what was sent, answered and run, with times
 *	Listener  accepts connections for a handler
 *	Store	  the platform's rows: transactions, get, feed
 *	Gateway	  one process of the project
 *	ask()	  one request of a client on a new connection
 */
#ifndef STAND_H
#define STAND_H

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace stand
{

/** now_ms() - of the steady clock. */
int64_t now_ms();
void sleep_ms(int64_t ms);
bool wait_until(const std::function<bool()> &holds, int64_t timeout_ms);

/** Record - lines of record.txt, with the ms since the start. */
class Record
{
      public:
	explicit Record(const std::string &path);
	~Record();
	void line(const char *format, ...)
		__attribute__((format(printf, 2, 3)));

      private:
	std::mutex mutex;
	void *file;
	int64_t start_ms;
};

/** has_trouble() - false with TROUBLE=0 in the environment. */
bool has_trouble();

/** Head - of a request or an answer; names of fields are in lower case. */
struct Head {
	std::string method, target;
	int status = 0;
	std::map<std::string, std::string> fields;

	std::string field(const std::string &name) const;
};

/** Connection - a socket and what has been read from it. */
class Connection
{
      public:
	explicit Connection(int socket) : fd(socket)
	{
	}
	~Connection();
	Connection(const Connection &) = delete;
	Connection &operator=(const Connection &) = delete;

	/** read_head() - false at the end of the connection. */
	bool read_head(Head &head);
	/** read_bytes() - all or nothing. */
	bool read_bytes(std::string &to, size_t bytes);
	/** read_body() - by Content-Length or chunks. */
	bool read_body(const Head &head, std::string &to);
	bool write(const std::string &text);
	/** end() - close. */
	void end();
	/** reset() - close with a RST. */
	void reset();
	/** is_reset() - the last read ended with an error, not with a FIN. */
	bool is_reset() const
	{
		return was_reset;
	}
	int socket() const
	{
		return fd;
	}

      private:
	int fd;
	std::string in;
	bool was_reset = false;

	bool fill();
};

/** Listener - @handler runs on a thread for each connection. */
class Listener
{
      public:
	using Handler = std::function<void(Connection &)>;

	/** @window_bytes: receive buffer of its connections; 0: the usual. */
	explicit Listener(Handler handler, int window_bytes = 0);
	~Listener();
	std::string address() const;

      private:
	struct Work {
		std::thread thread;
		std::unique_ptr<Connection> connection;
	};
	Handler handler;
	int fd;
	uint16_t port;
	std::thread thread;
	std::mutex mutex;
	std::list<Work> work;
	std::atomic<bool> is_over{ false };

	void accept_all();
};

/** answer() - a whole answer with a length. */
std::string
answer(int status,
       const std::vector<std::pair<std::string, std::string>> &fields,
       const std::string &body);

/** Store - the platform's rows; takes @answer_ms for each call. */
class Store
{
      public:
	explicit Store(int64_t answer_ms = 4);
	~Store();
	std::string address() const;

	/** put() - as the operator or an engine; "" deletes the row. */
	void put(const std::string &table, const std::string &key,
		 const std::string &value);

	/** Entry - a row of a transaction. */
	struct Entry {
		std::string table, key, value;
	};

	/** transact() - all entries at once; they share one version. */
	void transact(const std::vector<Entry> &entries);
	std::string get(const std::string &table, const std::string &key);

      private:
	struct Row {
		std::string value;
		uint64_t version;
		bool is_deleted;
		uint64_t number;
	};
	int64_t answer_ms;
	std::mutex mutex;
	std::condition_variable changed;
	uint64_t version = 0, number = 0;
	bool is_over = false;
	std::map<std::string, std::map<std::string, Row>> tables;
	std::unique_ptr<Listener> listener;

	void put_locked(const std::string &table, const std::string &key,
			const std::string &value);
	std::string rows(const std::string &table, uint64_t after, bool is_feed,
			 int *count);
	void serve(Connection &c);
	std::string get_rows(const std::string &target);
	std::string feed(const std::string &target);
	std::string transact(const std::string &body);
};

/** Place - of a machine. */
struct Place {
	std::string name, zone, region;
};

/** Gateway - "target/balsampin gateway" as a process. */
class Gateway
{
      public:
	/** @directory: of its settings and its log. */
	Gateway(const Place &place, const std::string &store,
		const std::string &directory);
	~Gateway();
	Gateway(const Gateway &) = delete;
	Gateway &operator=(const Gateway &) = delete;

	void start();
	void signal(int number);
	/** wait() - its exit code; 128 + signal; -1: it still runs. */
	int wait(int64_t timeout_ms);
	bool is_running();
	bool is_ready();
	const std::string &front() const
	{
		return front_address;
	}
	const std::string &name() const
	{
		return place.name;
	}
	/** process() - its id; -1: it doesn't run. */
	pid_t process() const
	{
		return pid;
	}

      private:
	Place place;
	std::string directory;
	std::string front_address, readiness_address;
	pid_t pid = -1;
	int code = -1;
};

/**
 * Reply - as a client saw it.
 * @status: 0 without one.
 * @is_whole: the framing says that the body is complete.
 */
struct Reply {
	int status = 0;
	Head head;
	std::string body;
	bool is_whole = false;
};

/** ask() - @fields: without Host, length and end of line. */
Reply ask(const std::string &front, const std::string &method,
	  const std::string &target, const std::vector<std::string> &fields,
	  const std::string &body, int64_t timeout_ms);

/** make_directory() - a new temporary folder. */
std::string make_directory();
void remove_directory(const std::string &path);

} // namespace stand

#endif
