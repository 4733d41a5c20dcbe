#include "raw.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <thread>
#include <vector>

namespace harness
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr size_t read_bytes = 64 << 10;
constexpr int slow_steps_per_s = 20;
const char scheme[] = "http://";

int left_ms(Clock::time_point end)
{
	auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
		end - Clock::now());

	return std::max<int>(left.count(), 0);
}

} // namespace

RawCaller::RawCaller(const std::string &url, int window_bytes)
{
	struct sockaddr_in to = {};
	std::string place = url.substr(strlen(scheme));
	size_t colon = place.find(':');

	to.sin_family = AF_INET;
	to.sin_addr.s_addr = inet_addr(place.substr(0, colon).c_str());
	to.sin_port = htons(std::stoi(place.substr(colon + 1)));
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (window_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes,
			   sizeof(window_bytes));
	EXPECT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
}

RawCaller::~RawCaller()
{
	close(fd);
}

void RawCaller::write(const std::string &text)
{
	EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
		  (ssize_t)text.size());
}

void RawCaller::stop_writing()
{
	shutdown(fd, SHUT_WR);
}

/* Returns false at the end of the connection and after @timeout_ms. */
bool RawCaller::read_some(size_t most, int timeout_ms)
{
	struct pollfd p = { fd, POLLIN, 0 };
	std::vector<char> buffer(most);

	if (poll(&p, 1, timeout_ms) <= 0)
		return false;
	ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
	at_end = n <= 0;
	if (n > 0)
		received.append(buffer.data(), n);
	return n > 0;
}

const std::string &RawCaller::read(const std::string &until, int timeout_ms)
{
	auto end = Clock::now() + std::chrono::milliseconds(timeout_ms);

	while (received.find(until) == std::string::npos &&
	       read_some(read_bytes, left_ms(end)))
		;
	return received;
}

const std::string &RawCaller::read_slowly(int bytes_per_s)
{
	static const int patience_ms = 5000;

	while (read_some(bytes_per_s / slow_steps_per_s, patience_ms))
		std::this_thread::sleep_for(
			std::chrono::milliseconds(1000 / slow_steps_per_s));
	return received;
}

const std::string &RawCaller::read_to_end(int timeout_ms)
{
	auto end = Clock::now() + std::chrono::milliseconds(timeout_ms);

	while (read_some(read_bytes, left_ms(end)))
		;
	return received;
}

int RawCaller::status() const
{
	static const size_t at = strlen("HTTP/1.1 ");

	return received.size() < at + 3 ? 0 : std::stoi(received.substr(at, 3));
}

bool RawCaller::is_whole() const
{
	static const std::string name = "Content-Length: ";
	size_t end = received.find("\r\n\r\n");
	size_t length = received.find(name);

	if (end == std::string::npos || length > end)
		return false;
	return received.size() >=
	       end + 4 + std::stoul(received.substr(length + name.size()));
}

} // namespace harness
