/*
 * standin - clients, engines and the platform's store for the review's cases.
 *
 * Overview
 *	Small HTTP/1.1 stand-ins with a thread for each connection, on loopback.
 *	They speak what the users' pages say (PROTOCOL.md). The gateways are the
 *	project's own program, started as separate processes with the command
 *	of the deploy file. No library is needed but the C++ one.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <sys/types.h>

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

namespace standin
{

/** Exit codes of a case. */
enum { rule_held = 0, rule_broken = 1, could_not_run = 2 };

/** now_ms() - of a steady clock, from the start of the program. */
int64_t now_ms();
void sleep_ms(int64_t ms);
bool wait_until(const std::function<bool()> &condition, int64_t timeout_ms);

/** has_trouble() - false with TROUBLE=0. */
bool has_trouble();

/** note() - a line of record.txt, with the time. */
void open_record(const std::string &path);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** give_up() - the case could not run: says why and exits with 2. */
[[noreturn]] void give_up(const std::string &why);

using Fields = std::vector<std::pair<std::string, std::string>>;

/** Message - a request or an answer. */
struct Message {
	std::string method, target;
	int status = 0;
	Fields fields;
	std::string body;
	bool is_whole = false;

	/** field() - value of a header field, "" without it. */
	std::string field(const std::string &name) const;
};

/** Channel - a connection, with what was read from it and not yet used. */
class Channel
{
      public:
	explicit Channel(int fd) : fd(fd)
	{
	}
	~Channel();
	Channel(const Channel &) = delete;
	Channel &operator=(const Channel &) = delete;

	bool send(const std::string &bytes);
	bool respond(int status, const Fields &fields, const std::string &body);

	/** read_request() - false if the channel ends before a whole one. */
	bool read_request(Message &request);

	/**
	 * read_answer() - a whole one, or what came until the end. At most
	 * @bytes_per_s are read; 0: no limit.
	 */
	Message read_answer(int64_t timeout_ms, int64_t bytes_per_s = 0);

	/** is_closed() - whether the other side has closed it. */
	bool is_closed() const;
	int descriptor() const
	{
		return fd;
	}

      private:
	int fd;
	std::string pending;

	bool read_some(int64_t timeout_ms, size_t most);
	bool read_head(Message &message, int64_t timeout_ms);
	bool take_line(std::string &line, int64_t timeout_ms);
};

/** connect_to() - NULL if it is refused. @receive_bytes: of its buffer. */
std::unique_ptr<Channel> connect_to(uint16_t port, int receive_bytes = 0);

/** Server - calls its handler for each request; false closes the channel. */
class Server
{
      public:
	using Handler = std::function<bool(Channel &, const Message &)>;

	explicit Server(Handler handler);
	~Server();
	Server(const Server &) = delete;
	Server &operator=(const Server &) = delete;
	std::string address() const;

      private:
	Handler handler;
	int listener;
	uint16_t port = 0;
	std::thread accepting;
	std::mutex mutex;
	std::vector<std::thread> threads;
	std::vector<int> descriptors;
	bool is_over = false;

	void serve(int fd);
};

/** Write - a row that a transaction wrote. */
struct Write {
	std::string table, key, value;
	int64_t at_ms;
	bool is_applied;
	bool is_answer_lost;
};

/** Store - the platform's store: rows, their feed, and transactions. */
class Store
{
      public:
	Store();
	std::string address() const;
	void put(const std::string &table, const std::string &key,
		 const std::string &value);

	/** lose_answers() - @loses is asked about each write once done. */
	void lose_answers(std::function<bool(const Write &)> loses);

	/** writes() - of all transactions, refused ones too. */
	std::vector<Write> writes();
	void close();

      private:
	struct Row {
		std::string value;
		uint64_t version;
		bool is_deleted;
	};

	std::mutex mutex;
	std::condition_variable changed;
	uint64_t version = 0;
	std::map<std::string, std::map<std::string, Row>> tables;
	std::vector<Write> written;
	std::function<bool(const Write &)> loses;
	bool is_over = false;
	std::unique_ptr<Server> server;

	bool on_request(Channel &channel, const Message &request);
	bool on_transaction(Channel &channel, const Message &request);
	std::string rows_text(const std::string &table, uint64_t after,
			      bool is_feed, size_t *count);
	void put_locked(const std::string &table, const std::string &key,
			const std::string &value, bool is_deleted);
};

/** Order - as an engine saw it arrive. */
struct Order {
	std::string engine, holder;
	int64_t fence, version, at_ms;
	int status;
};

/** Engine - an upstream, its entry in the store, its orders and runs. */
class Engine
{
      public:
	/** @model: "" for a plain service. */
	Engine(Store &store, const std::string &id, const std::string &service,
	       const std::string &zone, const std::string &model);
	~Engine();

	/** on_run() - how it answers; by default at once, in a few bytes. */
	void on_run(Server::Handler handler);
	std::vector<Order> orders();
	int runs(const std::string &attempt);
	int64_t weights();

	/** stamp() - header fields of an answer to @request. */
	Fields stamp(const Message &request) const;

      private:
	Store &store;
	std::string id, service, zone, model;
	std::mutex mutex;
	std::condition_variable changed;
	int64_t version = 1, loading = 0, loaded_at_ms = 0, taken = 0;
	std::vector<Order> arrived;
	std::map<std::string, int> begun;
	Server::Handler handler;
	bool is_over = false;
	std::unique_ptr<Server> server;
	std::thread loader;

	bool on_request(Channel &channel, const Message &request);
	bool on_order(Channel &channel, const Message &request);
	void write_entry();
	void load();
};

/** Place - of a machine. */
struct Place {
	std::string zone, region;
};

/** Gateway - a process of the project on a machine of its own ports. */
class Gateway
{
      public:
	Gateway(const Store &store, const std::string &folder,
		const std::string &name, const Place &place);
	~Gateway();
	Gateway(const Gateway &) = delete;
	Gateway &operator=(const Gateway &) = delete;

	/** start() - the process ends with the thread that calls this. */
	void start();
	void signal(int number);
	/** has_ended() - the process, once it was started. */
	bool has_ended();
	/** end() - of a process that has ended: its exit code or signal. */
	std::string end() const;
	bool is_ready() const;
	int64_t memory_kb() const;

	const std::string name;
	uint16_t callers, readiness;

      private:
	std::string folder;
	std::string settings;
	pid_t child = -1;
	int starts = 0;
	int end_status = 0;
};

/** Folder - a temporary one, removed at the end. */
class Folder
{
      public:
	Folder();
	~Folder();
	std::string path;
};

/** Route - of the host "h.example", with the prefix "/NAME/". */
struct Route {
	std::string name, kind, service;
	int timeout_ms, max_attempts;
	bool is_resumable;
};

/** manifest() - with one tenant "t1", whose key is "key1". */
std::string manifest(int version, const std::vector<Route> &routes,
		     const std::string &model_service,
		     int max_header_bytes = 16384);

/** request_text() - a client's request on @route, with a body of @bytes. */
std::string request_text(const std::string &route, const std::string &attempt,
			 int deadline_ms, const std::string &body);

} // namespace standin

#endif
