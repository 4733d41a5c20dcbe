#include "fleet.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "fleet_state.h"
#include "process.h"

namespace harness
{

std::string own_ip()
{
	int pid = getpid();

	return "127." + std::to_string(128 + (pid >> 12) % 64) + "." +
	       std::to_string((pid >> 4) % 256) + "." +
	       std::to_string((pid % 16) * 15 + 1);
}

namespace
{

constexpr int hosts_of_an_address_range = 14;
constexpr int first_port = 8080;
constexpr int ports_of_a_host = 10;

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

enum { callers_port, readiness_port, metrics_port, peers_port, via_port };

} // namespace

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
		static_cast<State *>(arg)->on_store(x, nullptr);
	};
	desc.on_gone = [](void *arg, struct h1_exchange *x) {
		static_cast<State *>(arg)->forget_waiter(x);
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
	for (View &view : state->views)
		h1_server_finish(&view.server);
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

void Fleet::put_together(
	const std::string &table,
	const std::vector<std::pair<std::string, std::string>> &rows)
{
	run([&] {
		uint64_t version = state->version + 1;

		for (const auto &row : rows)
			state->set_row(table, row.first,
				       { row.second, version, false });
		state->answer_waiters(table);
	});
}

std::string Fleet::row(const std::string &table, const std::string &key)
{
	std::string value;

	run([&] {
		auto it = state->tables[table].find(key);

		if (it != state->tables[table].end())
			value = it->second.value;
	});
	return value;
}

void Fleet::add_engine(const std::string &id, const std::string &service,
		       const std::string &model, int weights,
		       const std::string &software)
{
	run([&] {
		auto e = std::make_unique<Engine>();

		e->state = state.get();
		e->id = id;
		e->service = service;
		e->model = model;
		e->weights = weights;
		e->software = software;
		state->listen(e.get());
		if (software.empty())
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

void Fleet::set_brittle(const std::string &id, int per_s)
{
	run([&] { state->engines[id]->brittle_per_s = per_s; });
}

void Fleet::start_anew(const std::string &id)
{
	run([&] {
		state->engines[id]->born++;
		state->engines[id]->is_leaving = false;
	});
}

void Fleet::set_software(const std::string &id, const std::string &version)
{
	run([&] {
		state->engines[id]->software = version;
		state->write_entry(*state->engines[id]);
	});
}

void Fleet::restart_engine(const std::string &id, const std::string &version,
			   int down_ms, int entry_ms)
{
	run([&] {
		Engine *e = state->engines[id].get();

		state->end_process(e, ck_now_ms() + down_ms);
		e->software = version;
		e->entry_ms = entry_ms;
	});
}

void Fleet::set_pace(int pace_ms)
{
	run([&] { state->pace_ms = pace_ms; });
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

std::string Fleet::add_view(const std::map<std::string, std::string> &addresses)
{
	std::string address;

	run([&] {
		state->views.push_back({ state.get(), addresses });
		View &view = state->views.back();

		state->listen(&view);
		address = store_ip() + ":" +
			  std::to_string(h1_server_port(&view.server));
	});
	return address;
}

void Fleet::forget_history()
{
	run([&] { state->history_from = ++state->version; });
}

void Fleet::state_era(bool is_stated)
{
	run([&] { state->is_era_stated = is_stated; });
}

void Fleet::restore_store(int away_ms, int back_ms)
{
	run([&] { state->go_away(away_ms, back_ms); });
}

void Fleet::seed_store(uint32_t seed)
{
	run([&] { state->random.seed(seed); });
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

size_t Fleet::at_work()
{
	size_t count = 0;

	run([&] { count = state->running.size(); });
	return count;
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
			address_of(host, peers_port) + "\",\"via\":\"" +
			address_of(host, via_port) +
			"\"},\"zones\":{\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":"
			"\"r2\"},"
			"\"bounds\":{\"grace_s\":8,\"revoke_ms\":3200,"
			"\"lease_ms\":" +
			std::to_string(place.lease_ms) + "}}");
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

std::string Fleet::via(const std::string &host)
{
	return "http://" + address_of(host, via_port);
}

std::string Fleet::readiness(const std::string &host)
{
	return "http://" + address_of(host, readiness_port) + "/ready";
}

} // namespace harness
