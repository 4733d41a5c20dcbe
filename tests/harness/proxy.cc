#include "proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

extern "C" {
#include "kernel/ck.h"
}

namespace harness
{

namespace
{

constexpr int look_ms = 2;
constexpr size_t piece_bytes = 65536;

struct sockaddr_in address_of(const std::string &ip, uint16_t port)
{
	struct sockaddr_in at = {};

	at.sin_family = AF_INET;
	at.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
	return at;
}

/* On any port if @port is 0; -1 if that is taken. */
int listen_at(const std::string &ip, uint16_t port)
{
	struct sockaddr_in at = address_of(ip, port);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) &&
	    !listen(fd, 64))
		return fd;
	close(fd);
	return -1;
}

} // namespace

Proxy::Proxy(const std::string &own_ip, const std::string &to, uint16_t to_port)
    : ip(own_ip), target_ip(to), target_port(to_port)
{
	struct sockaddr_in at = {};
	socklen_t length = sizeof(at);

	listener = listen_at(ip, 0);
	if (listener < 0 ||
	    getsockname(listener, reinterpret_cast<sockaddr *>(&at), &length))
		throw std::runtime_error("the proxy cannot listen");
	is_listening = true;
	port = ntohs(at.sin_port);
	thread = std::thread([this] { loop(); });
}

Proxy::~Proxy()
{
	is_over = true;
	thread.join();
	for (Link &link : links)
		close_link(link);
	if (listener >= 0)
		close(listener);
}

std::string Proxy::address() const
{
	return ip + ":" + std::to_string(port);
}

void Proxy::set(Way to, int64_t by_ms)
{
	late_ms = by_ms;
	way = to;
}

void Proxy::tear()
{
	is_tearing = true;
}

void Proxy::set_target_port(uint16_t to_port)
{
	target_port = to_port;
	while (!to_port && is_listening)
		usleep(100);
}

void Proxy::listen_or_refuse()
{
	if (!target_port && listener >= 0) {
		close(listener);
		listener = -1;
	} else if (target_port && listener < 0) {
		listener = listen_at(ip, port);
	}
	is_listening = listener >= 0;
}

/* Closed with bytes unread or with a zero linger time, both ends see a reset.
 */
void Proxy::close_link(Link &link)
{
	struct linger now = { 1, 0 };

	for (Side *side : { &link.caller, &link.target }) {
		if (link.is_torn)
			setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
		close(side->fd);
	}
}

void Proxy::take()
{
	struct sockaddr_in at = address_of(target_ip, target_port);
	int caller = accept4(listener, nullptr, nullptr,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;

	if (caller < 0)
		return;
	target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (target < 0 ||
	    connect(target, reinterpret_cast<sockaddr *>(&at), sizeof(at))) {
		close(caller);
		if (target >= 0)
			close(target);
		return;
	}
	fcntl(target, F_SETFL, O_NONBLOCK);
	links.push_back({ { caller, {}, false, false },
			  { target, {}, false, false },
			  false,
			  false });
}

void Proxy::read_side(Link &link, Side &from, Side &to, bool is_answer)
{
	std::string bytes(piece_bytes, '\0');
	ssize_t got = read(from.fd, &bytes[0], bytes.size());
	Way now = way;

	if (got > 0) {
		bytes.resize(got);
		if (now == Way::lose_answers && is_answer)
			link.is_mute = true;
		if (link.is_mute && is_answer)
			return;
		to.out.push_back(
			{ ck_now_ms() + (now == Way::slow ? late_ms.load() : 0),
			  bytes });
	} else if (!got) {
		from.is_read_over = true;
	} else if (errno != EAGAIN) {
		link.is_torn = true;
	}
}

void Proxy::write_side(Link &link, Side &to, const Side &from)
{
	while (!to.out.empty() && to.out.front().due_ms <= ck_now_ms()) {
		std::string &bytes = to.out.front().bytes;
		ssize_t put =
			send(to.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);

		if (put < 0) {
			link.is_torn |= errno != EAGAIN;
			return;
		}
		bytes.erase(0, put);
		if (!bytes.empty())
			return;
		to.out.pop_front();
	}
	if (from.is_read_over && to.out.empty() && !to.is_shut) {
		shutdown(to.fd, SHUT_WR);
		to.is_shut = true;
	}
}

void Proxy::loop()
{
	while (!is_over) {
		listen_or_refuse();
		std::vector<pollfd> fds = { { listener, POLLIN, 0 } };
		bool tears = is_tearing.exchange(false) || way == Way::reset;
		bool is_quiet = way == Way::silent;

		for (Link &link : links)
			for (Side *side : { &link.caller, &link.target }) {
				bool is_off = is_quiet || side->is_read_over;

				/* A negative descriptor is passed over. */
				fds.push_back(
					{ is_off ? -1 : side->fd, POLLIN, 0 });
			}
		poll(fds.data(), fds.size(), look_ms);
		size_t i = 1;
		for (Link &link : links) {
			link.is_torn |= tears;
			if (!is_quiet && fds[i].revents)
				read_side(link, link.caller, link.target,
					  false);
			if (!is_quiet && fds[i + 1].revents)
				read_side(link, link.target, link.caller, true);
			i += 2;
			if (is_quiet || link.is_torn)
				continue;
			write_side(link, link.target, link.caller);
			write_side(link, link.caller, link.target);
		}
		for (auto it = links.begin(); it != links.end();) {
			bool is_done = it->is_torn || (it->caller.is_shut &&
						       it->target.is_shut);

			if (is_done)
				close_link(*it);
			it = is_done ? links.erase(it) : std::next(it);
		}
		if (fds[0].revents)
			take();
	}
}

} // namespace harness
