#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace stand
{

static const char ip[] = "127.0.0.1";

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool wait_until(const std::function<bool()> &holds, int64_t timeout_ms)
{
	int64_t end_ms = now_ms() + timeout_ms;

	while (!holds()) {
		if (now_ms() >= end_ms)
			return false;
		sleep_ms(5);
	}
	return true;
}

bool has_trouble()
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

/* --- record --- */

Record::Record(const std::string &path)
    : file(fopen(path.c_str(), "w")), start_ms(now_ms())
{
	if (!file) {
		fprintf(stderr, "cannot write %s\n", path.c_str());
		exit(2);
	}
}

Record::~Record()
{
	fclose((FILE *)file);
}

void Record::line(const char *format, ...)
{
	std::lock_guard<std::mutex> lock(mutex);
	va_list arguments;

	fprintf((FILE *)file, "%7lld ms  ", (long long)(now_ms() - start_ms));
	va_start(arguments, format);
	vfprintf((FILE *)file, format, arguments);
	va_end(arguments);
	fputc('\n', (FILE *)file);
	fflush((FILE *)file);
}

/* --- HTTP --- */

std::string Head::field(const std::string &name) const
{
	auto it = fields.find(name);

	return it == fields.end() ? "" : it->second;
}

Connection::~Connection()
{
	end();
}

void Connection::end()
{
	if (fd >= 0)
		close(fd);
	fd = -1;
}

bool Connection::fill()
{
	char buffer[16384];
	ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

	if (n > 0) {
		in.append(buffer, n);
		return true;
	}
	was_reset = n < 0;
	return false;
}

static std::string lower(std::string text)
{
	for (char &c : text)
		c = c >= 'A' && c <= 'Z' ? c + 32 : c;
	return text;
}

static std::string trim(const std::string &text)
{
	size_t from = text.find_first_not_of(" \t\r");
	size_t to = text.find_last_not_of(" \t\r");

	return from == std::string::npos ? ""
					 : text.substr(from, to + 1 - from);
}

bool Connection::read_head(Head &head)
{
	size_t end, at;

	head = Head();
	while ((end = in.find("\r\n\r\n")) == std::string::npos)
		if (!fill())
			return false;
	std::string text = in.substr(0, end + 2);
	in.erase(0, end + 4);
	at = text.find("\r\n");
	std::string first = text.substr(0, at);
	if (first.rfind("HTTP/", 0) == 0) {
		head.status = atoi(first.c_str() + first.find(' ') + 1);
	} else {
		size_t a = first.find(' '), b = first.rfind(' ');

		head.method = first.substr(0, a);
		head.target = first.substr(a + 1, b - a - 1);
	}
	for (at += 2; at < text.size();) {
		size_t stop = text.find("\r\n", at);
		std::string line = text.substr(at, stop - at);
		size_t colon = line.find(':');

		if (colon != std::string::npos)
			head.fields[lower(line.substr(0, colon))] =
				trim(line.substr(colon + 1));
		at = stop + 2;
	}
	return true;
}

bool Connection::read_bytes(std::string &to, size_t bytes)
{
	while (in.size() < bytes)
		if (!fill())
			return false;
	to.append(in, 0, bytes);
	in.erase(0, bytes);
	return true;
}

bool Connection::read_body(const Head &head, std::string &to)
{
	std::string length = head.field("content-length");

	if (lower(head.field("transfer-encoding")) == "chunked") {
		for (;;) {
			size_t end;
			std::string rest;

			while ((end = in.find("\r\n")) == std::string::npos)
				if (!fill())
					return false;
			size_t bytes = strtoul(in.c_str(), NULL, 16);
			in.erase(0, end + 2);
			if (!read_bytes(to, bytes) || !read_bytes(rest, 2))
				return false;
			if (!bytes)
				return true;
		}
	}
	if (!length.empty())
		return read_bytes(to, strtoul(length.c_str(), NULL, 10));
	if (!head.status)
		return true;
	/* An answer without a length ends with its channel. */
	while (fill())
		;
	to += in;
	in.clear();
	return !was_reset;
}

bool Connection::write(const std::string &text)
{
	size_t done = 0;

	while (done < text.size()) {
		ssize_t n = send(fd, text.data() + done, text.size() - done,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		done += n;
	}
	return true;
}

void Connection::reset()
{
	struct linger now = {};

	now.l_onoff = 1;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	end();
}

std::string
answer(int status,
       const std::vector<std::pair<std::string, std::string>> &fields,
       const std::string &body)
{
	std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";

	for (const auto &field : fields)
		text += field.first + ": " + field.second + "\r\n";
	return text + "Content-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

/* --- listener --- */

static int listen_on(uint16_t *port, int window_bytes)
{
	struct sockaddr_in at = {};
	socklen_t bytes = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	at.sin_family = AF_INET;
	inet_pton(AF_INET, ip, &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (window_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes,
			   sizeof(window_bytes));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 256) ||
	    getsockname(fd, (struct sockaddr *)&at, &bytes)) {
		perror("listen");
		exit(2);
	}
	*port = ntohs(at.sin_port);
	return fd;
}

Listener::Listener(Handler h, int window_bytes)
    : handler(std::move(h)), fd(listen_on(&port, window_bytes))
{
	thread = std::thread([this] { accept_all(); });
}

void Listener::accept_all()
{
	for (;;) {
		int got = accept4(fd, NULL, NULL, SOCK_CLOEXEC), one = 1;
		std::lock_guard<std::mutex> lock(mutex);

		if (is_over) {
			if (got >= 0)
				close(got);
			return;
		}
		if (got < 0)
			continue;
		setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		auto c = std::make_unique<Connection>(got);
		Connection *served = c.get();

		work.push_back({ std::thread(), std::move(c) });
		work.back().thread = std::thread([this, served] {
			handler(*served);
			std::lock_guard<std::mutex> own(mutex);
			served->end();
		});
	}
}

Listener::~Listener()
{
	is_over = true;
	shutdown(fd, SHUT_RDWR);
	thread.join();
	close(fd);
	{
		std::lock_guard<std::mutex> lock(mutex);

		for (Work &w : work)
			if (w.connection->socket() >= 0)
				shutdown(w.connection->socket(), SHUT_RDWR);
	}
	for (Work &w : work)
		w.thread.join();
}

std::string Listener::address() const
{
	return std::string(ip) + ":" + std::to_string(port);
}

/* --- JSON, as much of it as the store's calls need --- */

namespace
{

struct Json {
	std::string text; /* of strings, numbers, words */
	std::vector<Json> items;
	std::map<std::string, Json> members;

	const Json &at(const std::string &name) const
	{
		static const Json none;
		auto it = members.find(name);

		return it == members.end() ? none : it->second;
	}
};

class Parser
{
      public:
	explicit Parser(const std::string &from) : text(from)
	{
	}

	Json value()
	{
		Json v;

		blank();
		if (peek() == '{') {
			at++;
			while (blank(), peek() != '}' && peek()) {
				std::string name = string();

				blank();
				at++;
				v.members[name] = value();
				blank();
				at += peek() == ',';
			}
			at++;
		} else if (peek() == '[') {
			at++;
			while (blank(), peek() != ']' && peek()) {
				v.items.push_back(value());
				blank();
				at += peek() == ',';
			}
			at++;
		} else if (peek() == '"') {
			v.text = string();
		} else {
			while (peek() && !strchr(",]} \t\r\n", peek()))
				v.text += text[at++];
		}
		return v;
	}

      private:
	const std::string &text;
	size_t at = 0;

	char peek() const
	{
		return at < text.size() ? text[at] : 0;
	}

	void blank()
	{
		while (peek() && strchr(" \t\r\n", peek()))
			at++;
	}

	std::string string()
	{
		std::string s;

		for (at++; peek() && peek() != '"'; at++) {
			if (peek() == '\\')
				at++;
			s += peek();
		}
		at++;
		return s;
	}
};

const char digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string &from)
{
	std::string to;

	for (size_t i = 0; i < from.size(); i += 3) {
		size_t n = std::min<size_t>(3, from.size() - i);
		uint32_t bits = 0;

		for (size_t k = 0; k < 3; k++)
			bits = bits << 8 |
			       (k < n ? (unsigned char)from[i + k] : 0);
		for (size_t k = 0; k < 4; k++)
			to += k <= n ? digits[bits >> (18 - 6 * k) & 63] : '=';
	}
	return to;
}

std::string from_base64(const std::string &from)
{
	std::string to;
	uint32_t bits = 0;
	int have = 0;

	for (char c : from) {
		const char *digit = c == '=' ? NULL : strchr(digits, c);

		if (!digit)
			break;
		bits = bits << 6 | (uint32_t)(digit - digits);
		have += 6;
		if (have < 8)
			continue;
		have -= 8;
		to += (char)(bits >> have & 255);
	}
	return to;
}

std::string query(const std::string &target, const std::string &name)
{
	size_t at = target.find(name + "=");

	if (at == std::string::npos)
		return "";
	at += name.size() + 1;
	return target.substr(at, target.find('&', at) - at);
}

} // namespace

/* --- store --- */

Store::Store(int64_t ms) : answer_ms(ms)
{
	listener =
		std::make_unique<Listener>([this](Connection &c) { serve(c); });
}

Store::~Store()
{
	{
		std::lock_guard<std::mutex> lock(mutex);

		is_over = true;
		changed.notify_all();
	}
	listener.reset();
}

std::string Store::address() const
{
	return listener->address();
}

void Store::put_locked(const std::string &table, const std::string &key,
		       const std::string &value)
{
	tables[table][key] = { value, version, value.empty(), ++number };
}

void Store::put(const std::string &table, const std::string &key,
		const std::string &value)
{
	std::lock_guard<std::mutex> lock(mutex);

	version++;
	put_locked(table, key, value);
	changed.notify_all();
}

void Store::transact(const std::vector<Entry> &entries)
{
	std::lock_guard<std::mutex> lock(mutex);

	version++;
	for (const Entry &e : entries)
		put_locked(e.table, e.key, e.value);
	changed.notify_all();
}

std::string Store::get(const std::string &table, const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex);

	return tables[table][key].value;
}

std::string Store::rows(const std::string &table, uint64_t after, bool is_feed,
			int *count)
{
	std::vector<std::pair<std::string, Row>> found;
	std::string list;

	for (const auto &entry : tables[table])
		if (entry.second.version > after &&
		    (is_feed || !entry.second.is_deleted))
			found.push_back(entry);
	/* A feed has the changes in their order, a table its keys. */
	if (is_feed)
		std::sort(found.begin(), found.end(),
			  [](const auto &a, const auto &b) {
				  return a.second.number < b.second.number;
			  });
	*count = (int)found.size();
	for (const auto &entry : found) {
		const Row &row = entry.second;

		list += list.empty() ? "" : ",";
		list += "{\"table\":\"" + table +
			"\",\"part\":\"\",\"key\":\"" + entry.first +
			"\",\"ver\":" + std::to_string(row.version) +
			(row.is_deleted ? ",\"deleted\":true}"
					: ",\"value\":\"" +
						  to_base64(row.value) + "\"}");
	}
	return "{\"rows\":[" + list +
	       "],\"has_more\":false,\"ver\":" + std::to_string(version) +
	       ",\"now_ms\":" + std::to_string(now_ms()) + "}";
}

std::string Store::get_rows(const std::string &target)
{
	std::lock_guard<std::mutex> lock(mutex);
	int count;

	return rows(query(target, "table"), 0, false, &count);
}

std::string Store::feed(const std::string &target)
{
	std::unique_lock<std::mutex> lock(mutex);
	std::string table = query(target, "table"), text;
	uint64_t after = strtoull(query(target, "after").c_str(), NULL, 10);
	int64_t end_ms = now_ms() + atoll(query(target, "wait_ms").c_str());
	int count = 0;

	for (;;) {
		int64_t left_ms = end_ms - now_ms();

		text = rows(table, after, true, &count);
		if (count || is_over || left_ms <= 0)
			return text;
		changed.wait_for(lock, std::chrono::milliseconds(left_ms));
	}
}

std::string Store::transact(const std::string &body)
{
	std::lock_guard<std::mutex> lock(mutex);
	Json root = Parser(body).value();

	for (const Json &c : root.at("precondition").items) {
		auto &table = tables[c.at("table").text];
		auto it = table.find(c.at("key").text);
		uint64_t have = it == table.end() || it->second.is_deleted
					? 0
					: it->second.version;

		if (have != strtoull(c.at("ver").text.c_str(), NULL, 10))
			return answer(412, {}, "{\"rows\":[]}");
	}
	version++;
	for (const Json &p : root.at("upserts").items)
		put_locked(p.at("table").text, p.at("key").text,
			   from_base64(p.at("value").text));
	for (const Json &d : root.at("deletes").items)
		put_locked(d.at("table").text, d.at("key").text, "");
	changed.notify_all();
	return answer(200, {},
		      "{\"ver\":" + std::to_string(version) +
			      ",\"now_ms\":" + std::to_string(now_ms()) + "}");
}

void Store::serve(Connection &c)
{
	Head head;
	std::string body, text;

	while (c.read_head(head)) {
		body.clear();
		if (!c.read_body(head, body))
			return;
		if (head.target.rfind("/rows-tx", 0) == 0)
			text = transact(body);
		else if (head.target.rfind("/rows-get", 0) == 0)
			text = answer(200, {}, get_rows(head.target));
		else if (head.target.rfind("/rows-feed", 0) == 0)
			text = answer(200, {}, feed(head.target));
		else
			text = answer(404, {}, "{}");
		sleep_ms(answer_ms);
		if (!c.write(text))
			return;
	}
}

/* --- gateway --- */

/*
 * Below the ports that outgoing connections draw, so that a process that is
 * started again finds its ports free. No port is given twice.
 */
static std::string free_address()
{
	static std::mutex mutex;
	static int next = getpid() * 61 % 15000;
	std::lock_guard<std::mutex> lock(mutex);
	struct sockaddr_in at = {};

	at.sin_family = AF_INET;
	inet_pton(AF_INET, ip, &at.sin_addr);
	for (int tries = 0; tries < 15000; tries++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int port = 12000 + next++ % 15000;
		bool is_free;

		at.sin_port = htons(port);
		is_free = !bind(fd, (struct sockaddr *)&at, sizeof(at));
		close(fd);
		if (is_free)
			return std::string(ip) + ":" + std::to_string(port);
	}
	fprintf(stderr, "no free port\n");
	exit(2);
}

Gateway::Gateway(const Place &where, const std::string &store,
		 const std::string &dir)
    : place(where), directory(dir), front_address(free_address()),
      readiness_address(free_address())
{
	std::string path = directory + "/" + place.name + ".json";
	FILE *file = fopen(path.c_str(), "w");

	if (!file)
		exit(2);
	/* As the platform fills in platform/settings.template. */
	fprintf(file,
		"{\n\t\"host\": { \"name\": \"%s\", \"zone\": \"%s\", "
		"\"region\": \"%s\" },\n\t\"dialect\": \"fleet\",\n"
		"\t\"store\": { \"address\": \"%s\" },\n\t\"listen\": {\n"
		"\t\t\"callers\": \"%s\",\n\t\t\"readiness\": \"%s\",\n"
		"\t\t\"metrics\": \"%s\",\n\t\t\"peers\": \"%s\"\n\t},\n"
		"\t\"zones\": {\"ishikari-a\":\"ishikari\","
		"\"ishikari-b\":\"ishikari\",\"tokachi-a\":\"tokachi\"},\n"
		"\t\"bounds\": { \"grace_s\": 8, \"config_ms\": 3000, "
		"\"revoke_ms\": 5000, \"weights_ms\": 8000, "
		"\"lease_ms\": 3000 },\n"
		"\t\"limits\": { \"memory_mb\": 110 },\n"
		"\t\"retries\": { \"ratio\": 0.2, \"floor\": 58 }\n}\n",
		place.name.c_str(), place.zone.c_str(), place.region.c_str(),
		store.c_str(), front_address.c_str(), readiness_address.c_str(),
		free_address().c_str(), free_address().c_str());
	fclose(file);
}

void Gateway::start()
{
	std::string settings =
		"BALSAMPIN_BOOT=" + directory + "/" + place.name + ".json";
	std::string log = directory + "/" + place.name + ".log";
	std::string program = "target/balsampin", role = "gateway";
	char *arguments[] = { &program[0], &role[0], NULL };
	char *environment[] = { &settings[0], (char *)"PATH=/usr/bin:/bin",
				NULL };

	code = -1;
	pid = fork();
	if (pid)
		return;
	/* It ends with the test, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(out, 1);
	dup2(out, 2);
	execve(arguments[0], arguments, environment);
	_exit(127);
}

void Gateway::signal(int number)
{
	if (is_running())
		kill(pid, number);
}

int Gateway::wait(int64_t timeout_ms)
{
	wait_until([this] { return !is_running(); }, timeout_ms);
	return code;
}

bool Gateway::is_running()
{
	int status;

	if (pid < 0)
		return false;
	if (waitpid(pid, &status, WNOHANG) != pid)
		return true;
	code = WIFSIGNALED(status) ? 128 + WTERMSIG(status)
				   : WEXITSTATUS(status);
	pid = -1;
	return false;
}

bool Gateway::is_ready()
{
	return ask(readiness_address, "GET", "/readyz", {}, "", 500).status ==
	       200;
}

Gateway::~Gateway()
{
	if (!is_running())
		return;
	kill(pid, SIGCONT);
	kill(pid, SIGKILL);
	wait(5000);
}

/* --- client --- */

Reply ask(const std::string &front, const std::string &method,
	  const std::string &target, const std::vector<std::string> &fields,
	  const std::string &body, int64_t timeout_ms)
{
	size_t colon = front.find(':');
	struct sockaddr_in to = {};
	struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	Connection c(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
	std::string text = method + " " + target + " HTTP/1.1\r\n";
	Reply reply;

	to.sin_family = AF_INET;
	to.sin_port = htons(atoi(front.c_str() + colon + 1));
	inet_pton(AF_INET, front.substr(0, colon).c_str(), &to.sin_addr);
	setsockopt(c.socket(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(c.socket(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(c.socket(), (struct sockaddr *)&to, sizeof(to)))
		return reply;
	for (const std::string &field : fields)
		text += field + "\r\n";
	if (method != "GET")
		text += "Content-Length: " + std::to_string(body.size()) +
			"\r\n";
	if (!c.write(text + "\r\n" + body))
		return reply;
	if (!c.read_head(reply.head))
		return reply;
	reply.status = reply.head.status;
	reply.is_whole = c.read_body(reply.head, reply.body);
	return reply;
}

std::string make_directory()
{
	char path[] = "/tmp/balsampin-review-XXXXXX";

	if (!mkdtemp(path))
		exit(2);
	return path;
}

void remove_directory(const std::string &path)
{
	std::string command = "rm -rf '" + path + "'";

	if (system(command.c_str()))
		fprintf(stderr, "%s is left\n", path.c_str());
}

} // namespace stand
