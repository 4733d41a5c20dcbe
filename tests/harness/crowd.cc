#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <thread>

namespace harness
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const char scheme[] = "http://";
constexpr auto turn_pause = milliseconds(2);

sockaddr_in address_of(const std::string &url)
{
	std::string place = url.substr(strlen(scheme));
	size_t colon = place.find(':');
	sockaddr_in to = {};

	to.sin_family = AF_INET;
	to.sin_addr.s_addr = inet_addr(place.substr(0, colon).c_str());
	to.sin_port = htons(std::stoi(place.substr(colon + 1)));
	return to;
}

} // namespace

Crowd::Crowd(const std::string &url, int count)
{
	sockaddr_in to = address_of(url);
	int one = 1;

	for (int i = 0; i < count; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		(void)!connect(fd, (sockaddr *)&to, sizeof(to));
		members.push_back({ fd });
	}
}

Crowd::~Crowd()
{
	for (const Member &member : members)
		close(member.fd);
}

/* Returns the bytes taken; notes the end of the text or of the connection. */
size_t Crowd::write_some(Member &member, const std::string &text, size_t bytes)
{
	ssize_t n =
		send(member.fd, text.data() + member.at,
		     std::min(bytes, text.size() - member.at), MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINTR)
		member.is_over = true;
	if (n <= 0)
		return 0;
	member.at += n;
	return n;
}

void Crowd::write(const std::string &text, int quiet_ms)
{
	write_in_pieces(text, text.size(), quiet_ms);
}

void Crowd::write_in_pieces(const std::string &text, size_t bytes, int quiet_ms)
{
	auto last = Clock::now();
	bool is_done = false;

	for (Member &member : members)
		member.at = 0;
	while (!is_done && Clock::now() - last < milliseconds(quiet_ms)) {
		size_t taken = 0;

		is_done = true;
		for (Member &member : members) {
			if (member.is_over || member.at == text.size())
				continue;
			is_done = false;
			taken += write_some(member, text, bytes);
		}
		if (taken)
			last = Clock::now();
		else
			std::this_thread::sleep_for(turn_pause);
	}
}

void Crowd::trickle(const std::string &text, int pause_ms, int lasts_ms)
{
	auto end = Clock::now() + milliseconds(lasts_ms);

	for (Member &member : members)
		member.at = 0;
	while (Clock::now() < end) {
		for (Member &member : members)
			if (!member.is_over && member.at < text.size())
				write_some(member, text, 1);
		std::this_thread::sleep_for(milliseconds(pause_ms));
	}
}

bool accepts(const std::string &url)
{
	sockaddr_in to = address_of(url);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool is_open = connect(fd, (sockaddr *)&to, sizeof(to)) == 0;

	close(fd);
	return is_open;
}

} // namespace harness
