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

/** listen_on_loopback() - a socket that does not block, at a port of its own.
 */
inline int listen_on_loopback(uint16_t *port, int window_bytes = 0)
{
	struct sockaddr_in at = {};
	socklen_t bytes = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (window_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes,
			   sizeof(window_bytes));
	EXPECT_EQ(bind(fd, (struct sockaddr *)&at, bytes), 0);
	EXPECT_EQ(listen(fd, 4), 0);
	getsockname(fd, (struct sockaddr *)&at, &bytes);
	*port = ntohs(at.sin_port);
	return fd;
}

class OneAnswer
{
      public:
	/** OneAnswer() - @closes: after the last byte, as the client may. */
	OneAnswer(std::string text, bool is_bytewise, bool closes)
	    : rest(std::move(text)), is_bytewise(is_bytewise), closes(closes)
	{
		listener = listen_on_loopback(&port);
	}

	~OneAnswer()
	{
		if (fd >= 0)
			close(fd);
		close(listener);
	}

	OneAnswer(const OneAnswer &) = delete;
	OneAnswer &operator=(const OneAnswer &) = delete;

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
