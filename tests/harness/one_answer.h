/*
 * one_answer - a server that gives one answer, byte by byte if wished.
 *
 * Overview
 *	Takes one connection and answers the first bytes that come on it. It
 *	acts in serve() only, which a test calls between turns of its loop.
 *
 * Use
 *	OneAnswer server("HTTP/1.1 000 None\r\n\r\n", false, true);
 *	while (!is_done) {
 *		server.serve();
 *		ev_run(loop, EVRUN_NOWAIT);
 *	}
 */
#ifndef HARNESS_ONE_ANSWER_H
#define HARNESS_ONE_ANSWER_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace harness
{

class OneAnswer
{
      public:
	/** OneAnswer() - @closes: after the last byte, as the client may. */
	OneAnswer(std::string text, bool is_bytewise, bool closes)
	    : rest(std::move(text)), is_bytewise(is_bytewise), closes(closes)
	{
		struct sockaddr_in a = {};
		socklen_t bytes = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&a, bytes), 0);
		EXPECT_EQ(listen(listener, 4), 0);
		getsockname(listener, (struct sockaddr *)&a, &bytes);
		port = ntohs(a.sin_port);
	}

	~OneAnswer()
	{
		if (fd >= 0)
			close(fd);
		close(listener);
	}

	void serve()
	{
		char buffer[4096];
		ssize_t n;

		if (fd < 0 && !is_closed) {
			fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
			return;
		}
		if (fd < 0)
			return;
		n = recv(fd, buffer, sizeof(buffer), 0);
		is_asked = is_asked || n > 0;
		if (n == 0 || (n < 0 && errno != EAGAIN))
			end();
		else if (is_asked)
			answer();
	}

	OneAnswer(const OneAnswer &) = delete;
	OneAnswer &operator=(const OneAnswer &) = delete;

	uint16_t port;
	bool is_closed = false;

      private:
	std::string rest;
	bool is_bytewise, closes;
	int listener, fd = -1;
	bool is_asked = false;

	void end()
	{
		close(fd);
		fd = -1;
		is_closed = true;
	}

	void answer()
	{
		int on = 1;
		size_t bytes = is_bytewise ? !rest.empty() : rest.size();

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		send(fd, rest.data(), bytes, MSG_NOSIGNAL);
		rest.erase(0, bytes);
		if (rest.empty() && closes)
			end();
	}
};

} // namespace harness

#endif
