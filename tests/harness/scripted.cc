#include "scripted.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

namespace harness
{

namespace
{

const int poll_ms = 20;
const char *const end_of_head = "\r\n\r\n";

} // namespace

std::string ScriptedServer::Request::field(const std::string &name) const
{
	std::istringstream lines(head);
	std::string line;

	while (std::getline(lines, line)) {
		if (strncasecmp(line.c_str(), (name + ": ").c_str(),
				name.size() + 2) != 0)
			continue;
		line.erase(line.find_last_not_of("\r") + 1);
		return line.substr(name.size() + 2);
	}
	return "";
}

ScriptedServer::ScriptedServer(Script fn) : script(std::move(fn))
{
	struct sockaddr_in at = {};
	socklen_t bytes = sizeof(at);

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	bind(listener, (struct sockaddr *)&at, bytes);
	listen(listener, 64);
	getsockname(listener, (struct sockaddr *)&at, &bytes);
	port = ntohs(at.sin_port);
	thread = std::thread([this] { serve(); });
}

ScriptedServer::~ScriptedServer()
{
	is_over = true;
	thread.join();
	for (const Connection &connection : connections)
		close(connection.fd);
	close(listener);
}

std::string ScriptedServer::address() const
{
	return "127.0.0.1:" + std::to_string(port);
}

/* Returns false at the end of the connection. */
bool ScriptedServer::read_some(Connection &connection)
{
	char buffer[4096];
	ssize_t n = recv(connection.fd, buffer, sizeof(buffer), 0);

	if (n <= 0)
		return false;
	connection.received.append(buffer, n);
	for (;;) {
		size_t end = connection.received.find(end_of_head);

		if (end == std::string::npos)
			return true;
		Request request = { connection.received.substr(0, end),
				    connection.requests + 1 };
		size_t body = 0;
		std::string length = request.field("Content-Length");

		if (!length.empty())
			body = std::stoul(length);
		if (connection.received.size() < end + 4 + body)
			return true;
		connection.received.erase(0, end + 4 + body);
		connection.requests++;
		std::string answer = script(request);
		send(connection.fd, answer.data(), answer.size(), MSG_NOSIGNAL);
		if (closes ||
		    answer.find("Connection: close\r\n") != std::string::npos)
			return false;
	}
}

void ScriptedServer::serve()
{
	while (!is_over) {
		std::vector<struct pollfd> fds = { { listener, POLLIN, 0 } };

		for (const Connection &connection : connections)
			fds.push_back({ connection.fd, POLLIN, 0 });
		if (poll(fds.data(), fds.size(), poll_ms) <= 0)
			continue;
		for (size_t i = fds.size() - 1; i > 0; i--) {
			if (!fds[i].revents || read_some(connections[i - 1]))
				continue;
			close(connections[i - 1].fd);
			connections.erase(connections.begin() + (long)i - 1);
		}
		if (fds[0].revents)
			connections.push_back(
				{ accept(listener, nullptr, nullptr), 0, "" });
	}
}

} // namespace harness
