#include "fleet.h"

#include <gtest/gtest.h>
#include <json-c/json.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <list>
#include <set>

#include "process.h"

extern "C" {
#include <ev.h>

#include "http1/h1_server.h"
#include "kernel/ck.h"
}

namespace harness
{

struct Engine;

namespace
{

constexpr int events_of_an_answer = 8;
constexpr int load_ms = 50;
constexpr int events_before_a_stall = 2;
constexpr int pace_ms = 15;
/* Below the two seconds after which a stream counts as hung. */
constexpr int slow_pace_ms = 1500;
constexpr int trickle_ms = 200;
constexpr size_t garbage_bytes = 256 << 10;
constexpr int hosts_of_an_address_range = 14;
constexpr int first_port = 8080;
constexpr int ports_of_a_host = 10;

std::string event(int id)
{
	return "id: " + std::to_string(id) + "\ndata: token " +
	       std::to_string(id) + "\n\n";
}

std::string query(const std::string &target, const std::string &name)
{
	size_t at = target.find(name + "=");

	if (at == std::string::npos)
		return "";
	at += name.size() + 1;
	return target.substr(at, target.find('&', at) - at);
}

std::string base64(const std::string &text)
{
	char *encoded = g_base64_encode(
		reinterpret_cast<const guchar *>(text.data()), text.size());
	std::string result = encoded;

	g_free(encoded);
	return result;
}

std::string unbase64(const char *text)
{
	gsize bytes = 0;
	guchar *decoded = g_base64_decode(text, &bytes);
	std::string result(reinterpret_cast<char *>(decoded), bytes);

	g_free(decoded);
	return result;
}

std::string own_ip()
{
	int pid = getpid();

	return "127." + std::to_string(128 + (pid >> 12) % 64) + "." +
	       std::to_string((pid >> 4) % 256) + "." +
	       std::to_string((pid % 16) * 15 + 1);
}

int number_of(const std::string &host)
{
	return std::stoi(host.substr(1));
}

std::string ip_of(const std::string &host)
{
	std::string ip = own_ip();
	size_t dot = ip.rfind('.');
	int last = std::stoi(ip.substr(dot + 1));

	return ip.substr(0, dot + 1) +
	       std::to_string(last +
			      number_of(host) % hosts_of_an_address_range);
}

/* "IP:PORT" of one of a host's servers. */
std::string address_of(const std::string &host, int which)
{
	int range = number_of(host) / hosts_of_an_address_range;

	return ip_of(host) + ":" +
	       std::to_string(first_port + range * ports_of_a_host + which);
}

enum { callers_port, readiness_port, metrics_port, peers_port };

std::string paced_event(const std::string &attempt, int id)
{
	return "id: " + std::to_string(id) + "\ndata: token " +
	       std::to_string(id) + " of " + attempt + "\n\n";
}

struct Row {
	std::string value;
	uint64_t version;
	bool is_deleted;
};

struct Waiter {
	struct h1_exchange *x;
	std::string table;
	uint64_t after;
	int64_t until_ms;
};

} // namespace

/* A request that an engine works on at its pace. */
struct Run {
	Engine *engine;
	struct h1_exchange *x;
	std::string attempt;
	int events;
	int64_t due_ms;
	bool is_endless;
};

struct Engine {
	Fleet::State *state;
	std::string id;
	std::string address;
	bool is_draining = false;
	bool is_leaving = false;
	int64_t paused_until_ms = 0;
	std::string service;
	std::string model;
	int weights = 0;
	int orders = 0;
	int64_t busy_until_ms = 0;
	int born = 1;
	uint16_t port = 0;
	bool is_crashing = false;
	int64_t down_until_ms = 0;
	Behaviour behaviour = Behaviour::answer;
	std::function<void(uint16_t)> on_port = [](uint16_t) {};
	struct h1_server server = {};
};

struct Fleet::State {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct h1_server store = {};
	struct ev_async wake = {};
	struct ev_timer tick = {};
	std::mutex mutex;
	std::condition_variable ran;
	std::deque<std::function<void()>> work;
	uint64_t done = 0, posted = 0;
	bool is_over = false;

	bool is_down = false;
	uint64_t version = 0;
	uint64_t history_from = 0;
	int calls = 0;
	std::string crash_body;
	std::set<std::string> crash_parts;
	int crash_down_ms = 0;
	std::vector<int64_t> crash_times;
	std::list<Run> running;
	std::map<std::string, int> begun;
	std::map<std::string, std::map<std::string, Row>> tables;
	std::list<Waiter> waiters;
	std::map<std::string, std::unique_ptr<Engine>> engines;
	std::vector<Arrival> arrivals;
	std::vector<Order> orders;

	std::string rows_json(const std::string &table, uint64_t after,
			      bool is_feed, int *count);
	void answer_rows(struct h1_exchange *x, const std::string &table,
			 uint64_t after, bool is_feed);
	void put(const std::string &table, const std::string &key,
		 const std::string &value);
	void write_entry(const Engine &e);
	void on_store(struct h1_exchange *x);
	void on_transaction(struct h1_exchange *x);
	void on_engine(Engine *e, struct h1_exchange *x);
	void on_order(Engine *e, struct h1_exchange *x);
	void on_pace(Engine *e, struct h1_exchange *x,
		     const std::string &attempt, int after);
	bool go_on(Run &run);
	void on_tick();
	void listen(Engine *e);
	void close(Engine *e);
	bool crashes(const Arrival &arrival) const;
	void crash_or_start(Engine *e, int64_t now_ms);
};

std::string paced_answer(const std::string &attempt, bool is_stream)
{
	std::string text;

	if (!is_stream)
		return "recorded " + attempt;
	for (int id = 1; id <= events_of_an_answer; id++)
		text += paced_event(attempt, id);
	return text;
}

std::string stream_answer(int after)
{
	std::string text;

	for (int id = after + 1; id <= events_of_an_answer; id++)
		text += event(id);
	return text;
}

static void respond(struct h1_exchange *x, uint32_t status,
		    const std::string &body,
		    const std::map<std::string, std::string> &fields = {})
{
	struct h1_headers headers;

	h1_headers_init(&headers);
	for (const auto &field : fields)
		h1_headers_add(&headers, field.first.c_str(),
			       field.second.c_str());
	h1_respond(x, status, &headers, body.data(), body.size());
	h1_headers_finish(&headers);
}

std::string Fleet::State::rows_json(const std::string &table, uint64_t after,
				    bool is_feed, int *count)
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
			"\",\"ver\":" + std::to_string(row.version);
		rows += row.is_deleted
				? ",\"deleted\":true}"
				: ",\"value\":\"" + base64(row.value) + "\"}";
	}
	return "{\"rows\":[" + rows +
	       "],\"has_more\":false,\"ver\":" + std::to_string(version) +
	       ",\"now_ms\":" + std::to_string(ck_now_ms()) + "}";
}

void Fleet::State::answer_rows(struct h1_exchange *x, const std::string &table,
			       uint64_t after, bool is_feed)
{
	int count;
	std::string text = rows_json(table, after, is_feed, &count);

	respond(x, 200, text);
}

void Fleet::State::put(const std::string &table, const std::string &key,
		       const std::string &value)
{
	tables[table][key] = { value, ++version, value.empty() };
	for (auto it = waiters.begin(); it != waiters.end();) {
		if (it->table != table) {
			++it;
			continue;
		}
		answer_rows(it->x, table, it->after, true);
		it = waiters.erase(it);
	}
}

void Fleet::State::on_transaction(struct h1_exchange *x)
{
	struct json_object *root = json_tokener_parse(x->body->str);
	struct json_object *checks, *puts;
	bool holds = true;

	auto text = [](struct json_object *o, const char *name) {
		struct json_object *v;

		return json_object_object_get_ex(o, name, &v)
			       ? std::string(json_object_get_string(v))
			       : std::string();
	};
	json_object_object_get_ex(root, "precondition", &checks);
	json_object_object_get_ex(root, "upserts", &puts);
	for (size_t i = 0; i < json_object_array_length(checks); i++) {
		struct json_object *c = json_object_array_get_idx(checks, i);
		auto &rows = tables[text(c, "table")];
		auto it = rows.find(text(c, "key"));
		uint64_t have = it == rows.end() || it->second.is_deleted
					? 0
					: it->second.version;

		holds &= have == std::stoull(text(c, "ver"));
	}
	for (size_t i = 0; holds && i < json_object_array_length(puts); i++) {
		struct json_object *p = json_object_array_get_idx(puts, i);

		put(text(p, "table"), text(p, "key"),
		    unbase64(text(p, "value").c_str()));
	}
	json_object_put(root);
	respond(x, holds ? 200 : 412,
		"{\"ver\":" + std::to_string(version) + ",\"now_ms\":1}");
}

void Fleet::State::on_store(struct h1_exchange *x)
{
	std::string target = x->target;

	calls++;
	if (is_down) {
		respond(x, 503, "");
	} else if (target.rfind("/rows-tx", 0) == 0) {
		on_transaction(x);
	} else if (target.rfind("/rows-get", 0) == 0) {
		answer_rows(x, query(target, "table"), 0, false);
	} else if (target.rfind("/rows-feed", 0) == 0) {
		std::string table = query(target, "table");
		uint64_t after = std::stoull(query(target, "after"));
		int count;

		if (after < history_from) {
			respond(x, 410, "{}");
			return;
		}
		rows_json(table, after, true, &count);
		if (count)
			answer_rows(x, table, after, true);
		else
			waiters.push_back(
				{ x, table, after,
				  ck_now_ms() + std::stoll(query(target,
								 "wait_ms")) });
	} else {
		respond(x, 404, "");
	}
}

void Fleet::State::write_entry(const Engine &e)
{
	std::string models = e.model.empty()
				     ? "[]"
				     : "[{\"name\":\"" + e.model +
					       "\",\"version\":" +
					       std::to_string(e.weights) + "}]";
	std::string address =
		e.address.empty()
			? own_ip() + ":" +
				  std::to_string(h1_server_port(&e.server))
			: e.address;

	put("servers", e.id,
	    "{\"service\":\"" + e.service + "\",\"address\":\"" + address +
		    "\",\"zone\":\"z1\",\"slots\":8,\"state\":\"" +
		    (e.is_draining ? "draining" : "ready") +
		    "\",\"born\":" + std::to_string(e.born) +
		    ",\"models\":" + models + ",\"seq\":1}");
}

void Fleet::State::on_order(Engine *e, struct h1_exchange *x)
{
	struct json_object *root = json_tokener_parse(x->body->str);
	struct json_object *value;

	json_object_object_get_ex(root, "fence", &value);
	orders.push_back({ e->id, x->body->str, ck_now_ms(), false,
			   json_object_get_int64(value) });
	json_object_object_get_ex(root, "precondition", &value);
	if (json_object_get_int(value) != e->orders || e->busy_until_ms) {
		respond(x, 409, "{}");
	} else {
		json_object_object_get_ex(root, "version", &value);
		e->weights = json_object_get_int(value);
		e->orders++;
		e->busy_until_ms = ck_now_ms() + load_ms;
		orders.back().is_taken = true;
		respond(x, 202, "{}");
	}
	json_object_put(root);
}

/* @after: the last event that the caller has, 0 for a new request. */
static Behaviour behaviour_of(const Engine &e, int after)
{
	switch (e.behaviour) {
	case Behaviour::break_then_fail:
		return after ? Behaviour::fail : Behaviour::break_off;
	case Behaviour::break_then_refuse:
		return after ? Behaviour::refuse : Behaviour::break_off;
	case Behaviour::break_then_unsign:
		return after ? Behaviour::unsigned_ : Behaviour::break_off;
	default:
		return e.behaviour;
	}
}

void Fleet::State::on_engine(Engine *e, struct h1_exchange *x)
{
	std::string target = x->target;
	std::map<std::string, std::string> fields;
	Arrival arrival = { e->id,	  x->method, target,
			    x->body->str, {},	     ck_now_ms() };
	int after = 0;

	if (target == "/order") {
		on_order(e, x);
		return;
	}
	if (target == "/report") {
		respond(x, 200,
			"{\"busy\":" +
				std::string(e->busy_until_ms ? "true"
							     : "false") +
				",\"seq\":" + std::to_string(e->orders) +
				",\"born\":" + std::to_string(e->born) +
				",\"models\":[{\"name\":\"" + e->model +
				"\",\"version\":" + std::to_string(e->weights) +
				"}]}");
		return;
	}
	for (uint32_t i = 0; i < h1_headers_count(x->headers); i++)
		arrival.headers[h1_headers_name(x->headers, i)] =
			h1_headers_value(x->headers, i);
	arrivals.push_back(arrival);
	fields["X-Attempt-Id"] = arrival.headers["X-Attempt-Id"];
	if (e->is_leaving)
		fields["Server-Leaving"] = "1";
	if (arrival.at_ms < e->paused_until_ms) {
		fields["X-Not-Executed"] = "1";
		fields["Retry-After"] = std::to_string(
			(e->paused_until_ms - arrival.at_ms) / 1000.0);
		respond(x, 503, "", fields);
		return;
	}
	if (arrival.headers.count("Last-Event-Id"))
		after = std::stoi(arrival.headers["Last-Event-Id"]);
	if (e->behaviour != Behaviour::refuse)
		begun[arrival.headers["X-Attempt-Id"]]++;
	if (crashes(arrival)) {
		arrivals.back().ends_engine = !e->is_crashing;
		e->is_crashing = true;
		return;
	}
	switch (behaviour_of(*e, after)) {
	case Behaviour::pace:
	case Behaviour::pace_stall:
	case Behaviour::pace_slow:
	case Behaviour::trickle:
	case Behaviour::endless:
		on_pace(e, x, arrival.headers["X-Attempt-Id"], after);
		return;
	case Behaviour::refuse:
		fields["X-Not-Executed"] = "1";
		respond(x, 503, "", fields);
		return;
	case Behaviour::close:
		h1_abort(x);
		return;
	case Behaviour::hang:
		return;
	case Behaviour::fail:
		fields["X-Response-Stamp"] = "stamp-" + e->id;
		respond(x, 500, "failed", fields);
		return;
	case Behaviour::unsigned_:
		respond(x, 200, "no signature", fields);
		return;
	default:
		break;
	}
	fields["X-Response-Stamp"] = "stamp-" + e->id;
	if (e->model.empty()) {
		respond(x, 200, "recorded", fields);
		return;
	}
	struct h1_headers headers;
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Content-Type", "text/event-stream");
	for (const auto &field : fields)
		h1_headers_add(&headers, field.first.c_str(),
			       field.second.c_str());
	h1_begin(x, 200, &headers, -1);
	h1_headers_finish(&headers);
	std::string text = stream_answer(after);
	if (behaviour_of(*e, after) == Behaviour::break_off) {
		text = event(1) + event(2) + event(3) + "id: 4\ndata: tok";
		h1_write(x, text.data(), text.size());
		h1_abort(x);
		return;
	}
	if (e->behaviour == Behaviour::stall) {
		text = event(after + 1) + event(after + 2);
		h1_write(x, text.data(), text.size());
		return;
	}
	h1_write(x, text.data(), text.size());
	h1_end(x);
}

void Fleet::State::on_pace(Engine *e, struct h1_exchange *x,
			   const std::string &attempt, int after)
{
	struct h1_headers headers;

	if (!e->model.empty() || e->behaviour == Behaviour::endless) {
		h1_headers_init(&headers);
		h1_headers_add(&headers, "Content-Type", "text/event-stream");
		h1_headers_add(&headers, "X-Attempt-Id", attempt.c_str());
		h1_headers_add(&headers, "X-Response-Stamp",
			       ("stamp-" + e->id).c_str());
		if (e->is_leaving)
			h1_headers_add(&headers, "Server-Leaving", "1");
		h1_begin(x, 200, &headers, -1);
		h1_headers_finish(&headers);
	}
	running.push_back({ e, x, attempt, after, ck_now_ms() + pace_ms,
			    e->behaviour == Behaviour::endless });
}

/* One step of a run; true at its end. */
bool Fleet::State::go_on(Run &run)
{
	static const std::string garbage(garbage_bytes, 'x');

	if (run.is_endless) {
		if (h1_unsent_bytes(run.x) < garbage.size())
			h1_write(run.x, garbage.data(), garbage.size());
		return false;
	}
	if (run.engine->behaviour == Behaviour::pace_stall &&
	    run.events >= events_before_a_stall)
		return false;
	if (run.engine->behaviour == Behaviour::trickle &&
	    run.events >= events_before_a_stall) {
		h1_write(run.x, ":", 1);
		run.due_ms += trickle_ms;
		return false;
	}
	if (run.engine->model.empty()) {
		std::map<std::string, std::string> fields = {
			{ "X-Attempt-Id", run.attempt },
			{ "X-Response-Stamp", "stamp-" + run.engine->id }
		};

		if (run.engine->is_leaving)
			fields["Server-Leaving"] = "1";
		respond(run.x, 200, paced_answer(run.attempt, false), fields);
		return true;
	}
	if (run.events == events_of_an_answer) {
		h1_end(run.x);
		return true;
	}
	std::string text = paced_event(run.attempt, ++run.events);

	h1_write(run.x, text.data(), text.size());
	run.due_ms += run.engine->behaviour == Behaviour::pace_slow
			      ? slow_pace_ms
			      : pace_ms;
	return false;
}

void Fleet::State::listen(Engine *e)
{
	struct h1_server_desc desc = {};
	static std::string ip;

	ip = own_ip();
	desc.loop = loop;
	desc.address = ip.c_str();
	desc.port = e->port;
	desc.on_request = [](void *arg, struct h1_exchange *x) {
		auto *engine = static_cast<Engine *>(arg);

		engine->state->on_engine(engine, x);
	};
	desc.on_gone = [](void *arg, struct h1_exchange *x) {
		static_cast<Engine *>(arg)->state->running.remove_if(
			[x](const Run &r) { return r.x == x; });
	};
	desc.arg = e;
	/* While it was down another socket may have got its port. */
	if (h1_server_init(&e->server, &desc) != ST_OK) {
		desc.port = 0;
		EXPECT_EQ(h1_server_init(&e->server, &desc), ST_OK);
	}
	e->port = h1_server_port(&e->server);
}

/* The process is gone, its runs are torn. */
void Fleet::State::close(Engine *e)
{
	running.remove_if([e](const Run &r) {
		if (r.engine == e)
			h1_abort(r.x);
		return r.engine == e;
	});
	h1_server_finish(&e->server);
}

bool Fleet::State::crashes(const Arrival &arrival) const
{
	auto parts = arrival.headers.find("X-Prefix-Hash");

	if (!crash_body.empty() && arrival.body.rfind(crash_body, 0) == 0)
		return true;
	if (parts == arrival.headers.end())
		return false;
	for (const std::string &part : crash_parts) {
		/* Each part but the last is followed by a comma. */
		size_t at = parts->second.find(part + ":");

		if (at != std::string::npos &&
		    parts->second.find(',', at) != std::string::npos)
			return true;
	}
	return false;
}

void Fleet::State::crash_or_start(Engine *e, int64_t now_ms)
{
	if (e->is_crashing) {
		/* As with a process that ends: nothing is accepted any more
		 * when its connections break. */
		shutdown(e->server._fd, SHUT_RDWR);
		e->on_port(0);
		close(e);
		crash_times.push_back(now_ms);
		e->is_crashing = false;
		e->down_until_ms = now_ms + crash_down_ms;
	} else if (e->down_until_ms && now_ms >= e->down_until_ms) {
		e->down_until_ms = 0;
		e->is_leaving = false;
		e->born++;
		listen(e);
		e->on_port(e->port);
		write_entry(*e);
	}
}

void Fleet::State::on_tick()
{
	int64_t now_ms = ck_now_ms();

	for (auto &entry : engines)
		crash_or_start(entry.second.get(), now_ms);

	for (auto it = running.begin(); it != running.end();)
		it = now_ms >= it->due_ms && go_on(*it) ? running.erase(it)
							: std::next(it);

	for (auto it = waiters.begin(); it != waiters.end();) {
		if (now_ms < it->until_ms) {
			++it;
			continue;
		}
		answer_rows(it->x, it->table, it->after, true);
		it = waiters.erase(it);
	}
	for (auto &entry : engines) {
		Engine &e = *entry.second;

		if (!e.busy_until_ms || now_ms < e.busy_until_ms)
			continue;
		e.busy_until_ms = 0;
		write_entry(e);
	}
}

static void on_wake(struct ev_loop *loop, ev_async *w, int events)
{
}

Fleet::Fleet() : state(std::make_unique<State>())
{
	State *s = state.get();
	struct h1_server_desc desc = {};
	static std::string ip;

	ip = own_ip();
	desc.loop = s->loop;
	desc.address = ip.c_str();
	desc.limits.header_timeout_ms = 60000;
	desc.on_request = [](void *arg, struct h1_exchange *x) {
		static_cast<State *>(arg)->on_store(x);
	};
	desc.on_gone = [](void *arg, struct h1_exchange *x) {
		static_cast<State *>(arg)->waiters.remove_if(
			[x](const Waiter &w) { return w.x == x; });
	};
	desc.arg = s;
	EXPECT_EQ(h1_server_init(&s->store, &desc), ST_OK);
	ev_async_init(&s->wake, on_wake);
	ev_async_start(s->loop, &s->wake);
	ev_timer_init(
		&s->tick,
		[](struct ev_loop *, ev_timer *w, int) {
			static_cast<State *>(w->data)->on_tick();
		},
		0.01, 0.01);
	s->tick.data = s;
	ev_timer_start(s->loop, &s->tick);
	thread = std::thread([s] {
		for (;;) {
			ev_run(s->loop, EVRUN_ONCE);
			std::unique_lock<std::mutex> lock(s->mutex);
			while (!s->work.empty()) {
				auto fn = s->work.front();

				s->work.pop_front();
				fn();
				s->done++;
			}
			s->ran.notify_all();
			if (s->is_over)
				return;
		}
	});
}

Fleet::~Fleet()
{
	run([this] { state->is_over = true; });
	thread.join();
	for (auto &entry : state->engines)
		h1_server_finish(&entry.second->server);
	h1_server_finish(&state->store);
	ev_loop_destroy(state->loop);
}

void Fleet::run(const std::function<void()> &fn)
{
	std::unique_lock<std::mutex> lock(state->mutex);
	uint64_t mine = ++state->posted;

	state->work.push_back(fn);
	ev_async_send(state->loop, &state->wake);
	state->ran.wait(lock, [&] { return state->done >= mine; });
}

void Fleet::put(const std::string &table, const std::string &key,
		const std::string &value)
{
	run([&] { state->put(table, key, value); });
}

void Fleet::add_engine(const std::string &id, const std::string &service,
		       const std::string &model, int weights)
{
	run([&] {
		auto e = std::make_unique<Engine>();

		e->state = state.get();
		e->id = id;
		e->service = service;
		e->model = model;
		e->weights = weights;
		state->listen(e.get());
		state->write_entry(*e);
		state->engines[id] = std::move(e);
	});
}

void Fleet::behave(const std::string &id, Behaviour behaviour)
{
	run([&] { state->engines[id]->behaviour = behaviour; });
}

void Fleet::set_address(const std::string &id, const std::string &address)
{
	run([&] {
		state->engines[id]->address = address;
		state->write_entry(*state->engines[id]);
	});
}

void Fleet::say_leaving(const std::string &id)
{
	run([&] { state->engines[id]->is_leaving = true; });
}

void Fleet::ask_pause(const std::string &id, int pause_ms)
{
	run([&] {
		Engine &e = *state->engines[id];

		e.paused_until_ms =
			std::max(e.paused_until_ms, ck_now_ms() + pause_ms);
	});
}

void Fleet::start_anew(const std::string &id)
{
	run([&] {
		state->engines[id]->born++;
		state->engines[id]->is_leaving = false;
	});
}

void Fleet::write_entry(const std::string &id)
{
	run([&] { state->write_entry(*state->engines[id]); });
}

void Fleet::set_draining(const std::string &id)
{
	run([&] {
		state->engines[id]->is_draining = true;
		state->write_entry(*state->engines[id]);
	});
}

void Fleet::follow_engine(const std::string &id,
			  std::function<void(uint16_t)> on_port)
{
	run([&] { state->engines[id]->on_port = std::move(on_port); });
}

uint16_t Fleet::engine_port(const std::string &id)
{
	uint16_t port = 0;

	run([&] { port = h1_server_port(&state->engines[id]->server); });
	return port;
}

void Fleet::remove_engine(const std::string &id)
{
	run([&] {
		Engine *e = state->engines[id].get();

		state->put("servers", id, "");
		state->close(e);
		state->engines.erase(id);
	});
}

void Fleet::forget_history()
{
	run([&] { state->history_from = ++state->version; });
}

void Fleet::crash_on(const std::string &body, int down_ms)
{
	run([&] {
		state->crash_body = body;
		state->crash_down_ms = down_ms;
	});
}

void Fleet::crash_on_part(const std::string &part, int down_ms)
{
	run([&] {
		state->crash_parts.insert(part);
		state->crash_down_ms = down_ms;
	});
}

void Fleet::spare_parts()
{
	run([&] { state->crash_parts.clear(); });
}

int Fleet::crashes()
{
	return (int)crash_times().size();
}

std::vector<int64_t> Fleet::crash_times()
{
	std::vector<int64_t> times;

	run([&] { times = state->crash_times; });
	return times;
}

int Fleet::runs(const std::string &attempt)
{
	int count = 0;

	run([&] {
		auto it = state->begun.find(attempt);

		count = it == state->begun.end() ? 0 : it->second;
	});
	return count;
}

void Fleet::set_store_down(bool is_down)
{
	run([&] { state->is_down = is_down; });
}

std::vector<Arrival> Fleet::arrivals()
{
	std::vector<Arrival> copy;

	run([&] { copy = state->arrivals; });
	return copy;
}

std::vector<Order> Fleet::orders()
{
	std::vector<Order> copy;

	run([&] { copy = state->orders; });
	return copy;
}

int Fleet::store_calls()
{
	int calls = 0;

	run([&] { calls = state->calls; });
	return calls;
}

std::string Fleet::settings(const std::string &directory,
			    const std::string &host, const Place &place)
{
	std::string store = store_ip() + ":" + std::to_string(store_port());
	std::string path = directory + "/" + host + ".json";

	write_file(
		path,
		"// one host\n{\"host\":{\"name\":\"" + host +
			"\",\"zone\":\"" + place.zone + "\",\"region\":\"" +
			place.region +
			"\"},\"dialect\":\"fleet\",\"store\":{\"address\":\"" +
			(place.store.empty() ? store : place.store) +
			"\"},\"listen\":{\"callers\":\"" +
			address_of(host, callers_port) + "\",\"readiness\":\"" +
			address_of(host, readiness_port) + "\",\"metrics\":\"" +
			address_of(host, metrics_port) + "\",\"peers\":\"" +
			address_of(host, peers_port) +
			"\"},\"zones\":{\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":"
			"\"r2\"},"
			"\"bounds\":{\"grace_s\":8,\"revoke_ms\":3200,"
			"\"lease_ms\":500}}");
	return path;
}

std::string Fleet::url(const std::string &host, const std::string &target)
{
	return "http://" + address_of(host, callers_port) + target;
}

std::string Fleet::store_ip()
{
	return own_ip();
}

uint16_t Fleet::store_port() const
{
	return h1_server_port(&state->store);
}

std::string Fleet::metrics(const std::string &host)
{
	return "http://" + address_of(host, metrics_port) + "/metrics";
}

std::string Fleet::readiness(const std::string &host)
{
	return "http://" + address_of(host, readiness_port) + "/ready";
}

} // namespace harness
