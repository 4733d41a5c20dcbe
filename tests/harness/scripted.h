/*
 * scripted - a server whose answers a test writes byte by byte.
 *
 * Overview
 *	Accepts connections in a thread of the test's process, reads whole
 *	requests and sends whatever the test's function returns for each, also
 *	bytes that no sound server would send. An answer with the field
 *	"Connection: close" ends its connection, as each one does while closes
 *	is set.
 *
 * Use
 *	ScriptedServer server([](const ScriptedServer::Request &r) {
 *		return "HTTP/1.1 200 OK\r\n..."; });
 *	fleet.set_address("e1", server.address());
 */
#ifndef HARNESS_SCRIPTED_H
#define HARNESS_SCRIPTED_H

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

class ScriptedServer
{
      public:
	/** Request - @number: on its connection, from 1. */
	struct Request {
		std::string head;
		int number;

		/** field() - value of a header field, "" without it. */
		std::string field(const std::string &name) const;
	};
	using Script = std::function<std::string(const Request &request)>;

	explicit ScriptedServer(Script script);
	~ScriptedServer();
	ScriptedServer(const ScriptedServer &) = delete;
	ScriptedServer &operator=(const ScriptedServer &) = delete;

	std::atomic<bool> closes{ false };

	/** address() - "IP:PORT". */
	std::string address() const;

      private:
	struct Connection {
		int fd;
		int requests;
		std::string received;
	};

	Script script;
	int listener;
	uint16_t port;
	std::atomic<bool> is_over{ false };
	std::vector<Connection> connections;
	std::thread thread;

	void serve();
	bool read_some(Connection &connection);
};

} // namespace harness

#endif
