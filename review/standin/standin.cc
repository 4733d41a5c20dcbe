#include "standin.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "json.h"

namespace standin
{

namespace
{

/* Time that an engine takes to load weights, as in SYSTEM.md. */
constexpr int64_t load_ms = 380;
constexpr int64_t channel_timeout_ms = 60000;
constexpr size_t read_bytes = 65536;
/* Below the range from which the kernel takes ports of clients. */
constexpr int first_port = 20000;
constexpr int port_count = 12000;
constexpr const char *loopback = "127.0.0.1";

FILE *record;
std::mutex record_mutex;

int64_t clock_ms()
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

const int64_t started_ms = clock_ms();

struct sockaddr_in address_of(uint16_t port)
{
	struct sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	inet_pton(AF_INET, loopback, &address.sin_addr);
	return address;
}

bool can_bind(uint16_t port, int type)
{
	struct sockaddr_in address = address_of(port);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool is_free = !bind(fd, (struct sockaddr *)&address, sizeof(address));

	close(fd);
	return is_free;
}

uint16_t free_port()
{
	static std::mt19937 random(std::random_device{}());
	static std::set<uint16_t> taken;

	for (int i = 0; i < port_count; i++) {
		uint16_t port = first_port + random() % port_count;

		if (can_bind(port, SOCK_STREAM) && can_bind(port, SOCK_DGRAM) &&
		    taken.insert(port).second)
			return port;
	}
	give_up("no free port");
}

const char base64_digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string &text)
{
	std::string out;

	for (size_t i = 0; i < text.size(); i += 3) {
		uint32_t bits = 0;
		size_t count = std::min<size_t>(3, text.size() - i);

		for (size_t j = 0; j < 3; j++)
			bits = bits << 8 |
			       (j < count ? (uint8_t)text[i + j] : 0);
		for (size_t j = 0; j < 4; j++)
			out += j <= count ? base64_digits[bits >> (18 - 6 * j) &
							  63]
					  : '=';
	}
	return out;
}

std::string unbase64(const std::string &text)
{
	std::string out;
	uint32_t bits = 0;
	int count = 0;

	for (char c : text) {
		const char *at = c ? strchr(base64_digits, c) : nullptr;

		if (!at)
			break;
		bits = bits << 6 | (uint32_t)(at - base64_digits);
		count += 6;
		if (count >= 8) {
			count -= 8;
			out += (char)(bits >> count & 255);
		}
	}
	return out;
}

std::string query(const std::string &target, const std::string &name)
{
	size_t at = target.find("?" + name + "=");

	if (at == std::string::npos)
		at = target.find("&" + name + "=");
	if (at == std::string::npos)
		return "";
	at += name.size() + 2;
	return target.substr(at, target.find('&', at) - at);
}

const char *reason_of(int status)
{
	return status < 300 ? "OK" : status < 500 ? "Refused" : "Failed";
}

} // namespace

int64_t now_ms()
{
	return clock_ms() - started_ms;
}

void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool wait_until(const std::function<bool()> &condition, int64_t timeout_ms)
{
	int64_t end_ms = now_ms() + timeout_ms;

	while (!condition()) {
		if (now_ms() >= end_ms)
			return false;
		sleep_ms(2);
	}
	return true;
}

bool has_trouble()
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void open_record(const std::string &path)
{
	/* A peer that has gone ends a write with an error. */
	std::signal(SIGPIPE, SIG_IGN);
	record = fopen(path.c_str(), "w");
	if (!record)
		give_up("cannot write " + path);
	note("TROUBLE=%d", has_trouble());
}

void note(const char *format, ...)
{
	std::lock_guard<std::mutex> guard(record_mutex);
	va_list args;

	if (!record)
		return;
	fprintf(record, "%8.3f  ", now_ms() / 1000.0);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

void give_up(const std::string &why)
{
	note("could not run: %s", why.c_str());
	fprintf(stderr, "could not run: %s\n", why.c_str());
	/* Threads may wait for ever; children end with this process. */
	_exit(could_not_run);
}

std::string Message::field(const std::string &name) const
{
	for (const auto &f : fields)
		if (!strcasecmp(f.first.c_str(), name.c_str()))
			return f.second;
	return "";
}

Channel::~Channel()
{
	close(fd);
}

bool Channel::send(const std::string &bytes)
{
	size_t sent = 0;

	while (sent < bytes.size()) {
		ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent,
				   MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		sent += n;
	}
	return true;
}

bool Channel::respond(int status, const Fields &fields, const std::string &body)
{
	std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
			   reason_of(status) + "\r\n";

	for (const auto &f : fields)
		text += f.first + ": " + f.second + "\r\n";
	text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
	return send(text + body);
}

bool Channel::read_some(int64_t timeout_ms, size_t most)
{
	struct pollfd p = { fd, POLLIN, 0 };
	char buffer[read_bytes];
	ssize_t n;

	if (poll(&p, 1, (int)std::max<int64_t>(timeout_ms, 0)) <= 0)
		return false;
	n = recv(fd, buffer, std::min(most, sizeof(buffer)), 0);
	if (n <= 0)
		return false;
	pending.append(buffer, n);
	return true;
}

bool Channel::take_line(std::string &line, int64_t timeout_ms)
{
	size_t end;

	while ((end = pending.find("\r\n")) == std::string::npos)
		if (!read_some(timeout_ms, read_bytes))
			return false;
	line = pending.substr(0, end);
	pending.erase(0, end + 2);
	return true;
}

bool Channel::read_head(Message &message, int64_t timeout_ms)
{
	std::string line;

	if (!take_line(line, timeout_ms))
		return false;
	if (!line.compare(0, 5, "HTTP/")) {
		message.status = atoi(line.c_str() + line.find(' ') + 1);
	} else {
		size_t space = line.find(' ');

		message.method = line.substr(0, space);
		message.target =
			line.substr(space + 1, line.rfind(' ') - space - 1);
	}
	while (take_line(line, timeout_ms)) {
		size_t colon = line.find(':');

		if (line.empty())
			return true;
		if (colon == std::string::npos)
			return false;
		message.fields.emplace_back(
			line.substr(0, colon),
			line.substr(std::min(
				line.size(),
				line.find_first_not_of(" ", colon + 1))));
	}
	return false;
}

bool Channel::read_request(Message &request)
{
	size_t bytes;

	if (!read_head(request, channel_timeout_ms))
		return false;
	bytes = strtoul(request.field("Content-Length").c_str(), nullptr, 10);
	while (pending.size() < bytes)
		if (!read_some(channel_timeout_ms, read_bytes))
			return false;
	request.body = pending.substr(0, bytes);
	pending.erase(0, bytes);
	request.is_whole = true;
	return true;
}

Message Channel::read_answer(int64_t timeout_ms, int64_t bytes_per_s)
{
	int64_t end_ms = now_ms() + timeout_ms;
	Message answer;
	std::string line;
	size_t bytes;

	if (!read_head(answer, timeout_ms))
		return answer;
	if (!answer.field("Transfer-Encoding").empty()) {
		while (take_line(line, end_ms - now_ms())) {
			bytes = strtoul(line.c_str(), nullptr, 16);
			while (pending.size() < bytes + 2)
				if (!read_some(end_ms - now_ms(), read_bytes))
					return answer;
			answer.body += pending.substr(0, bytes);
			pending.erase(0, bytes + 2);
			if (bytes)
				continue;
			answer.is_whole = true;
			break;
		}
		return answer;
	}
	bytes = strtoul(answer.field("Content-Length").c_str(), nullptr, 10);
	while (pending.size() < bytes) {
		size_t most =
			bytes_per_s ? (size_t)bytes_per_s / 100 : read_bytes;

		if (!read_some(end_ms - now_ms(), most))
			break;
		if (bytes_per_s)
			sleep_ms(10);
	}
	answer.is_whole = pending.size() >= bytes;
	answer.body = pending.substr(0, bytes);
	pending.erase(0, answer.body.size());
	return answer;
}

bool Channel::is_closed() const
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !n || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<Channel> connect_to(uint16_t port, int receive_bytes)
{
	struct sockaddr_in address = address_of(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return nullptr;
	}
	return std::make_unique<Channel>(fd);
}

Server::Server(Handler h) : handler(std::move(h))
{
	struct sockaddr_in address = address_of(0);
	socklen_t bytes = sizeof(address);

	listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(listener, 512) ||
	    getsockname(listener, (struct sockaddr *)&address, &bytes))
		give_up("cannot listen");
	port = ntohs(address.sin_port);
	accepting = std::thread([this] {
		int fd;

		while ((fd = accept4(listener, nullptr, nullptr,
				     SOCK_CLOEXEC)) >= 0) {
			std::lock_guard<std::mutex> guard(mutex);

			descriptors.push_back(fd);
			threads.emplace_back([this, fd] { serve(fd); });
		}
	});
}

Server::~Server()
{
	shutdown(listener, SHUT_RDWR);
	accepting.join();
	close(listener);
	{
		std::lock_guard<std::mutex> guard(mutex);

		is_over = true;
		for (int fd : descriptors)
			shutdown(fd, SHUT_RDWR);
	}
	for (auto &thread : threads)
		thread.join();
}

std::string Server::address() const
{
	return std::string(loopback) + ":" + std::to_string(port);
}

void Server::serve(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	{
		Channel channel(dup(fd));

		for (;;) {
			Message request;

			if (!channel.read_request(request) ||
			    !handler(channel, request))
				break;
		}
	}
	/* The number stays in use until here, so it is never another's. */
	std::lock_guard<std::mutex> guard(mutex);
	descriptors.erase(
		std::find(descriptors.begin(), descriptors.end(), fd));
	close(fd);
}

Store::Store()
{
	server = std::make_unique<Server>([this](Channel &c, const Message &m) {
		return on_request(c, m);
	});
}

std::string Store::address() const
{
	return server->address();
}

void Store::close()
{
	{
		std::lock_guard<std::mutex> guard(mutex);

		is_over = true;
	}
	changed.notify_all();
	server.reset();
}

void Store::put_locked(const std::string &table, const std::string &key,
		       const std::string &value, bool is_deleted)
{
	tables[table][key] = { value, ++version, is_deleted };
	changed.notify_all();
}

void Store::put(const std::string &table, const std::string &key,
		const std::string &value)
{
	std::lock_guard<std::mutex> guard(mutex);

	put_locked(table, key, value, false);
}

void Store::lose_answers(std::function<bool(const Write &)> fn)
{
	std::lock_guard<std::mutex> guard(mutex);

	loses = std::move(fn);
}

std::vector<Write> Store::writes()
{
	std::lock_guard<std::mutex> guard(mutex);

	return written;
}

std::string Store::rows_text(const std::string &table, uint64_t after,
			     bool is_feed, size_t *count)
{
	std::string rows;

	*count = 0;
	for (const auto &entry : tables[table]) {
		const Row &row = entry.second;

		if (row.version <= after || (row.is_deleted && !is_feed))
			continue;
		rows += (*count)++ ? "," : "";
		rows += "{\"table\":\"" + table +
			"\",\"part\":\"\",\"key\":\"" + entry.first +
			"\",\"ver\":" + std::to_string(row.version) +
			(row.is_deleted
				 ? ",\"deleted\":true}"
				 : ",\"value\":\"" + base64(row.value) + "\"}");
	}
	return "{\"rows\":[" + rows +
	       "],\"has_more\":false,\"ver\":" + std::to_string(version) +
	       ",\"now_ms\":" + std::to_string(now_ms() + 1000000) + "}";
}

bool Store::on_transaction(Channel &channel, const Message &request)
{
	Json root = Json::parse(request.body);
	std::vector<Write> done;
	bool holds = true, is_lost = false;
	std::string text;

	{
		std::lock_guard<std::mutex> guard(mutex);

		for (const Json &check : root["precondition"].items) {
			auto &rows = tables[check["table"].text];
			auto row = rows.find(check["key"].text);
			uint64_t have =
				row == rows.end() || row->second.is_deleted
					? 0
					: row->second.version;

			holds &= have == (uint64_t)check["ver"].number();
		}
		for (const Json &put : root["upserts"].items) {
			Write write = { put["table"].text,
					put["key"].text,
					unbase64(put["value"].text),
					now_ms(),
					holds,
					false };

			if (holds)
				put_locked(write.table, write.key, write.value,
					   false);
			write.is_answer_lost = loses && loses(write);
			is_lost |= write.is_answer_lost;
			written.push_back(write);
		}
		text = "{\"rows\":[],\"ver\":" + std::to_string(version) +
		       ",\"now_ms\":" + std::to_string(now_ms() + 1000000) +
		       "}";
	}
	if (is_lost) {
		/* The channel delivers nothing further. */
		Message ignored;

		while (channel.read_request(ignored))
			;
		return false;
	}
	return channel.respond(holds ? 200 : 412, {}, text);
}

bool Store::on_request(Channel &channel, const Message &request)
{
	const std::string &target = request.target;
	std::string table = query(target, "table");
	std::string text;
	size_t count;

	if (!target.compare(0, 8, "/rows-tx"))
		return on_transaction(channel, request);
	if (!target.compare(0, 9, "/rows-get")) {
		std::lock_guard<std::mutex> guard(mutex);

		text = rows_text(table, 0, false, &count);
	} else if (!target.compare(0, 10, "/rows-feed")) {
		std::unique_lock<std::mutex> lock(mutex);
		uint64_t after =
			strtoull(query(target, "after").c_str(), nullptr, 10);
		auto wait = std::chrono::milliseconds(
			atoi(query(target, "wait_ms").c_str()));

		changed.wait_for(lock, wait, [&] {
			rows_text(table, after, true, &count);
			return is_over || count;
		});
		text = rows_text(table, after, true, &count);
	} else {
		return channel.respond(404, {}, "{}");
	}
	return channel.respond(200, { { "Content-Type", "application/json" } },
			       text);
}

Engine::Engine(Store &s, const std::string &i, const std::string &v,
	       const std::string &z, const std::string &m)
    : store(s), id(i), service(v), zone(z), model(m)
{
	handler = [this](Channel &channel, const Message &request) {
		return channel.respond(200, stamp(request), "done");
	};
	server = std::make_unique<Server>([this](Channel &c, const Message &r) {
		return on_request(c, r);
	});
	loader = std::thread([this] { load(); });
	write_entry();
}

Engine::~Engine()
{
	{
		std::lock_guard<std::mutex> guard(mutex);

		is_over = true;
	}
	changed.notify_all();
	loader.join();
	server.reset();
}

void Engine::on_run(Server::Handler h)
{
	std::lock_guard<std::mutex> guard(mutex);

	handler = std::move(h);
}

std::vector<Order> Engine::orders()
{
	std::lock_guard<std::mutex> guard(mutex);

	return arrived;
}

int Engine::runs(const std::string &attempt)
{
	std::lock_guard<std::mutex> guard(mutex);

	return begun[attempt];
}

int64_t Engine::weights()
{
	std::lock_guard<std::mutex> guard(mutex);

	return version;
}

Fields Engine::stamp(const Message &request) const
{
	return { { "X-Attempt-Id", request.field("X-Attempt-Id") },
		 { "X-Response-Stamp", "stamp." + id },
		 { "Keep-Alive", "timeout=10" } };
}

void Engine::write_entry()
{
	std::string models =
		model.empty()
			? "[]"
			: "[{\"name\":\"" + model +
				  "\",\"version\":" + std::to_string(version) +
				  ",\"adapters\":[]}]";

	store.put("servers", id,
		  "{\"service\":\"" + service + "\",\"address\":\"" +
			  server->address() + "\",\"zone\":\"" + zone +
			  "\",\"version\":1,\"slots\":64,\"state\":\"ready\","
			  "\"cold_remaining_ms\":0,\"born\":1700000000000,"
			  "\"models\":" +
			  models + ",\"seq\":1}");
}

/* Carries out the order that was taken, then shows it in the entry. */
void Engine::load()
{
	std::unique_lock<std::mutex> lock(mutex);

	while (!is_over) {
		if (!loading || now_ms() < loaded_at_ms) {
			changed.wait_for(lock, std::chrono::milliseconds(10));
			continue;
		}
		version = loading;
		loading = 0;
		note("engine %s has loaded version %lld", id.c_str(),
		     (long long)version);
		write_entry();
	}
}

bool Engine::on_order(Channel &channel, const Message &request)
{
	Json body = Json::parse(request.body);
	Order order = { id,
			body["holder"].text,
			body["fence"].number(),
			body["version"].number(),
			now_ms(),
			202 };

	{
		std::lock_guard<std::mutex> guard(mutex);

		if (body["precondition"].is_present &&
		    (loading || body["precondition"].number() != taken))
			order.status = 409;
		else if (order.version == version)
			order.status = 200;
		if (order.status == 202) {
			taken++;
			loading = order.version;
			loaded_at_ms = now_ms() + load_ms;
		}
		arrived.push_back(order);
	}
	note("order at engine %s: version %lld from holder %s, fence %lld: %d",
	     id.c_str(), (long long)order.version, order.holder.c_str(),
	     (long long)order.fence, order.status);
	changed.notify_all();
	return channel.respond(order.status, {}, "{}");
}

bool Engine::on_request(Channel &channel, const Message &request)
{
	std::string expected = request.field("X-Expect-Instance");
	Server::Handler run;

	if (!expected.empty() && expected != id)
		return channel.respond(421, { { "X-Instance-Id", id } }, "");
	if (request.target == "/order")
		return on_order(channel, request);
	if (request.target == "/report") {
		std::unique_lock<std::mutex> lock(mutex);
		std::string text =
			"{\"stage\":\"unified\",\"models\":[{\"name\":\"" +
			model + "\",\"version\":" + std::to_string(version) +
			",\"adapters\":[]}],\"busy\":" +
			(loading ? "true" : "false") +
			",\"seq\":" + std::to_string(taken) +
			",\"waiting\":0,\"running\":0,\"kv_used\":0,"
			"\"kv_total\":90000,\"handles\":0,"
			"\"born\":1700000000000}";

		lock.unlock();
		return channel.respond(
			200, { { "Content-Type", "application/json" } }, text);
	}
	{
		std::lock_guard<std::mutex> guard(mutex);

		begun[request.field("X-Attempt-Id")]++;
		run = handler;
	}
	return run(channel, request);
}

Gateway::Gateway(const Store &store, const std::string &f, const std::string &n,
		 const Place &place)
    : name(n), callers(free_port()), readiness(free_port()), folder(f),
      settings(f + "/" + n + ".json")
{
	auto at = [](uint16_t port) {
		return "\"" + std::string(loopback) + ":" +
		       std::to_string(port) + "\"";
	};
	std::ofstream file(settings);

	/* platform/settings.template, with the bounds of the site. */
	file << "{\"host\":{\"name\":\"" << name << "\",\"zone\":\""
	     << place.zone << "\",\"region\":\"" << place.region
	     << "\"},\"dialect\":\"fleet\",\"store\":{\"address\":\""
	     << store.address() << "\"},\"listen\":{\"callers\":" << at(callers)
	     << ",\"readiness\":" << at(readiness)
	     << ",\"metrics\":" << at(free_port())
	     << ",\"peers\":" << at(free_port())
	     << "},\"zones\":{\"ishikari-a\":\"ishikari\","
		"\"tokachi-a\":\"tokachi\",\"ishikari-b\":\"ishikari\"},"
		"\"bounds\":{\"grace_s\":8,\"config_ms\":3000,"
		"\"revoke_ms\":5000,\"weights_ms\":8000,\"lease_ms\":3000},"
		"\"retries\":{\"ratio\":0.2,\"floor\":58}}\n";
}

Gateway::~Gateway()
{
	signal(SIGKILL);
	if (child > 0)
		waitpid(child, nullptr, 0);
}

void Gateway::start()
{
	std::string log =
		folder + "/" + name + "." + std::to_string(++starts) + ".log";
	pid_t parent = getpid();

	child = fork();
	if (child < 0)
		give_up("cannot fork");
	if (child)
		return;
	/* The command of deploy/system.toml, as the platform starts it. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	setenv("BALSAMPIN_BOOT", settings.c_str(), 1);
	dup2(open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600),
	     STDOUT_FILENO);
	dup2(STDOUT_FILENO, STDERR_FILENO);
	execl("target/balsampin", "target/balsampin", "gateway",
	      (char *)nullptr);
	_exit(127);
}

void Gateway::signal(int number)
{
	if (child > 0 && !has_ended())
		kill(child, number);
}

bool Gateway::has_ended()
{
	if (child > 0 && waitpid(child, &end_status, WNOHANG) == child)
		child = -1;
	return child < 0;
}

std::string Gateway::end() const
{
	if (child > 0)
		return "not yet";
	if (WIFSIGNALED(end_status))
		return "by signal " + std::to_string(WTERMSIG(end_status));
	return "with code " + std::to_string(WEXITSTATUS(end_status));
}

bool Gateway::is_ready() const
{
	auto channel = connect_to(readiness);

	return channel &&
	       channel->send("GET /readyz HTTP/1.1\r\n"
			     "Host: balancer\r\n\r\n") &&
	       channel->read_answer(1000).status == 200;
}

int64_t Gateway::memory_kb() const
{
	std::ifstream file("/proc/" + std::to_string(child) + "/status");
	std::string word;
	int64_t kb = 0;

	while (file >> word)
		if (word == "VmRSS:")
			file >> kb;
	return kb;
}

Folder::Folder()
{
	const char *base = getenv("TMPDIR");
	std::string pattern =
		std::string(base ? base : "/tmp") + "/review.XXXXXX";

	if (!mkdtemp(&pattern[0]))
		give_up("no temporary folder");
	path = pattern;
}

Folder::~Folder()
{
	const char *keep = getenv("KEEP");
	std::string command = "rm -rf '" + path + "'";

	if (keep)
		fprintf(stderr, "logs are in %s\n", path.c_str());
	else if (system(command.c_str()))
		note("temporary folder not removed");
}

std::string manifest(int version, const std::vector<Route> &routes,
		     const std::string &model_service, int max_header_bytes)
{
	std::string list, services;
	std::vector<std::string> seen;

	for (const Route &r : routes) {
		list += (list.empty() ? "" : ",") +
			std::string("{\"name\":\"") + r.name +
			"\",\"host\":\"h.example\",\"prefix\":\"/" + r.name +
			"/\",\"kind\":\"" + r.kind + "\",\"service\":\"" +
			r.service +
			"\",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
			",\"max_attempts\":" + std::to_string(r.max_attempts) +
			",\"target_latency_ms\":800,\"priority\":1,"
			"\"public\":false,\"resumable\":" +
			(r.is_resumable ? "true}" : "false}");
		if (std::find(seen.begin(), seen.end(), r.service) !=
		    seen.end())
			continue;
		seen.push_back(r.service);
		services += (services.empty() ? "" : ",") +
			    std::string("{\"name\":\"") + r.service + "\"" +
			    (r.service == model_service
				     ? ",\"engine\":{\"slots\":64,"
				       "\"kv_capacity_tokens\":88566}"
				     : "") +
			    ",\"max_connections\":630}";
	}
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	       list + "],\"services\":[" + services +
	       "],\"limits\":{\"max_header_bytes\":" +
	       std::to_string(max_header_bytes) +
	       ","
	       "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	       "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\","
	       "\"api_keys\":[\"key1\"],\"isolated\":false}]}";
}

std::string request_text(const std::string &route, const std::string &attempt,
			 int deadline_ms, const std::string &body)
{
	return "POST /" + route +
	       "/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt +
	       "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
	       "\r\nAuthorization: Bearer key1\r\nContent-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace standin
