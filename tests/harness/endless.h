/*
 * endless - a server that sends without end.
 *
 * Overview
 *	Answers each request with @start, in which "@" stands for the id of the
 *	attempt, then with @part over and over until the client closes.
 *
 * Use
 *	EndlessServer server("127.0.0.1", "HTTP/1.1 200 OK\r\n\r\n", "x");
 */
#ifndef HARNESS_ENDLESS_H
#define HARNESS_ENDLESS_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

class EndlessServer
{
      public:
	std::atomic<uint64_t> sent{ 0 };
	std::atomic<int> open{ 0 };

	EndlessServer(const std::string &ip, std::string start,
		      std::string part)
	    : ip(ip), start(std::move(start)), part(std::move(part))
	{
		struct sockaddr_in at = {};
		socklen_t bytes = sizeof(at);

		while (this->part.size() < 4096)
			this->part += this->part;
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = inet_addr(ip.c_str());
		listener = socket(AF_INET, SOCK_STREAM, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&at, sizeof(at)),
			  0);
		EXPECT_EQ(listen(listener, 64), 0);
		getsockname(listener, (struct sockaddr *)&at, &bytes);
		port_number = ntohs(at.sin_port);
		acceptor = std::thread([this] { accept_all(); });
	}

	~EndlessServer()
	{
		is_over = true;
		acceptor.join();
		for (auto &thread : threads)
			thread.join();
		close(listener);
	}

	uint16_t port() const
	{
		return port_number;
	}

	std::string address() const
	{
		return ip + ":" + std::to_string(port_number);
	}

      private:
	std::string ip, start, part;
	int listener;
	uint16_t port_number;
	std::atomic<bool> is_over{ false };
	std::thread acceptor;
	std::vector<std::thread> threads;

	static bool is_ready(int fd, short events)
	{
		struct pollfd p = { fd, events, 0 };

		return poll(&p, 1, 50) > 0;
	}

	void accept_all()
	{
		while (!is_over) {
			if (!is_ready(listener, POLLIN))
				continue;
			int fd = accept(listener, nullptr, nullptr);
			threads.emplace_back([this, fd] { serve(fd); });
		}
	}

	// The id of the attempt, for answers that must name it.
	static std::string fill(std::string text, const std::string &request)
	{
		size_t at = request.find("X-Attempt-Id: ");
		size_t hole = text.find('@');
		std::string id;

		if (at != std::string::npos) {
			at += strlen("X-Attempt-Id: ");
			id = request.substr(at, request.find('\r', at) - at);
		}
		return hole == std::string::npos ? text
						 : text.replace(hole, 1, id);
	}

	void serve(int fd)
	{
		char buffer[8192];
		std::string request, text;

		open++;
		while (!is_over &&
		       request.find("\r\n\r\n") == std::string::npos) {
			if (!is_ready(fd, POLLIN))
				continue;
			ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
			if (n <= 0)
				break;
			request.append(buffer, n);
		}
		text = fill(start, request);
		while (!is_over && !request.empty()) {
			if (!is_ready(fd, POLLOUT))
				continue;
			ssize_t n = send(fd, text.data(), text.size(),
					 MSG_NOSIGNAL | MSG_DONTWAIT);
			if (n < 0 && errno == EAGAIN)
				continue;
			if (n < 0)
				break;
			sent += n;
			text.erase(0, n);
			if (text.empty())
				text = part;
		}
		close(fd);
		open--;
	}
};

} // namespace harness

#endif
