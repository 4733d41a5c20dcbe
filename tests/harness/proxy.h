/*
 * proxy - a faulty way over loopback.
 *
 * Overview
 *	Passes TCP connections on to a target, in a thread of the test's
 *	process. What it does to them may change at any moment.
 *
 * Use
 *	Proxy proxy("127.0.0.1", target_ip, target_port);
 *	... connect to proxy.address() ...
 *	proxy.set(Way::silent);
 */
#ifndef HARNESS_PROXY_H
#define HARNESS_PROXY_H

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

/** Way - what happens to connections. */
enum class Way {
	pass,
	slow,	      /* each piece is late */
	silent,	      /* nothing comes through, either way; no end is told */
	lose_answers, /* what the caller sends arrives; nothing comes back */
	reset,	      /* all are torn, new ones too */
};

constexpr int slow_ms = 120;

class Proxy
{
      public:
	Proxy(const std::string &ip, const std::string &target_ip,
	      uint16_t target_port);
	~Proxy();
	Proxy(const Proxy &) = delete;
	Proxy &operator=(const Proxy &) = delete;

	/** address() - "IP:PORT" to connect to. */
	std::string address() const;
	void set(Way way, int64_t late_ms = slow_ms);

	/** tear() - reset the connections of this moment. */
	void tear();

	/**
	 * set_target_port() - the target's process ended (0), or listens there.
	 * As no network accepts for it, neither does this: with 0 the listener
	 * is closed on return.
	 */
	void set_target_port(uint16_t to_port);

      private:
	struct Piece {
		int64_t due_ms;
		std::string bytes;
	};
	struct Side {
		int fd;
		std::list<Piece> out;
		bool is_read_over;
		bool is_shut;
	};
	struct Link {
		Side caller;
		Side target;
		bool is_torn;
		/* Bytes of an answer were lost: nothing may follow them. */
		bool is_mute;
	};

	std::string ip;
	std::string target_ip;
	std::atomic<uint16_t> target_port;
	uint16_t port = 0;
	int listener = -1;
	std::atomic<bool> is_listening{ false };
	std::atomic<Way> way{ Way::pass };
	std::atomic<int64_t> late_ms{ slow_ms };
	std::atomic<bool> is_tearing{ false };
	std::atomic<bool> is_over{ false };
	std::list<Link> links;
	std::thread thread;

	void listen_or_refuse();
	void loop();
	void take();
	void read_side(Link &link, Side &from, Side &to, bool is_answer);
	void write_side(Link &link, Side &to, const Side &from);
	void close_link(Link &link);
};

} // namespace harness

#endif
