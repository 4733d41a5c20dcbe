#include "driver.h"

#include <dirent.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <iostream>
#include <sstream>

#include "fleet_config.h"
#include "http.h"

extern "C" {
#include "kernel/ck.h"
#include "net/ad.h"
}

using harness::Behaviour;
using harness::Way;

namespace soak
{

namespace
{

constexpr double tick_s = 0.02;
/* A longer time between two events of the loop is no waiting of its callers. */
constexpr int64_t standstill_ms = 200;
/* The pages' bound for serving again once everything is back. */
constexpr int64_t recover_ms = 12000;
constexpr int64_t deadline_of_calls_ms = 2000;
constexpr int64_t think_ms = 40;
constexpr int64_t start_wait_ms = 8000;
/* Under the least that a host of the users has; the address sanitizer keeps
 * its own maps and freed memory beside that. */
#ifdef __SANITIZE_ADDRESS__
constexpr long most_resident_kb = 512 * 1024;
#else
constexpr long most_resident_kb = 64 * 1024;
#endif
constexpr int most_descriptors = 512;
/* Bodies of requests that end engines begin so. */
constexpr char deadly[] = "ends engines ";
/* A new process is loaded and in main() by then. */
constexpr int64_t load_ms = 150;
/* One in so many requests is such a one, once there are any. */
constexpr uint64_t deadly_in = 16;
/* Of ten keys drawn, so many are of one version only. */
constexpr uint64_t version_keys_in_ten = 4;

const std::vector<harness::RouteText> routes = {
	{ "grade", "streaming", "llm", 3, true, 1500 },
	{ "draft", "streaming", "llm", 1, false, 1500 },
	{ "record", "non_idempotent", "app", 2, false, 1500 },
	{ "look", "idempotent", "app", 3, false, 1500 },
};

std::string key_of(int version)
{
	return version ? "version-" + std::to_string(version) : "all";
}

std::string configuration(int version)
{
	return harness::fleet_config(version, routes,
				     "\"" + key_of(0) + "\",\"" +
					     key_of(version) + "\"");
}

Way way_of(Kind kind)
{
	switch (kind) {
	case Kind::store_slow:
	case Kind::engine_slow:
		return Way::slow;
	case Kind::store_silent:
	case Kind::engine_silent:
		return Way::silent;
	case Kind::store_lost_answers:
	case Kind::engine_lost_answers:
		return Way::lose_answers;
	default:
		return Way::reset;
	}
}

Behaviour behaviour_of(Kind kind)
{
	switch (kind) {
	case Kind::engine_refuses:
		return Behaviour::refuse;
	case Kind::engine_fails:
		return Behaviour::fail;
	case Kind::engine_hangs:
		return Behaviour::hang;
	case Kind::engine_endless:
		return Behaviour::endless;
	default:
		return Behaviour::pace_stall;
	}
}

} // namespace

Driver::Driver(const Size &size, uint64_t seed, const std::string &folder)
    : size(size), folder(folder), dice(seed ^ 0x5eed),
      loop(ev_loop_new(EVFLAG_AUTO)), promises(fleet)
{
	put_configuration();
	if (size.drills) {
		fleet.state_era(true);
		fleet.seed_store(seed);
		fleet.set_pace(pace_of_drills_ms);
		promises.drill();
	}
	fleet.crash_on(deadly, engine_down_ms);
	for (uint32_t i = 0; i < size.engines + size.services; i++) {
		engines.push_back(std::make_unique<EngineSlot>());
		engines.back()->service = i < size.engines ? "llm" : "app";
		engines.back()->model = i < size.engines ? "m" : "";
		if (size.drills && i < size.engines)
			engines.back()->software = build_of(i % 2);
		add_engine(*engines.back());
	}
	for (uint32_t i = 0; i < size.hosts; i++) {
		harness::Place place;
		struct ad_address at;
		std::string url;

		hosts.push_back(std::make_unique<Host>());
		Host &host = *hosts.back();
		host.name = "h" + std::to_string(i + 1);
		host.way = std::make_unique<harness::Proxy>(
			harness::Fleet::store_ip(), harness::Fleet::store_ip(),
			fleet.store_port());
		place.zone = "z" + std::to_string(i % 3 + 1);
		place.region = i % 3 == 2 ? "r2" : "r1";
		place.store = host.way->address();
		host.settings = fleet.settings(folder, host.name, place);
		url = harness::Fleet::url(host.name, "");
		ad_parse(url.c_str() + sizeof("http://") - 1, &at);
		h1_peer_init(&host.peer, loop, at.ipv4, at.port);
		start_host(host);
	}
	answered_since.resize(size.hosts);
}

Driver::~Driver()
{
	for (auto &caller : callers) {
		h1_call_cancel(&caller->call);
		ev_timer_stop(loop, &caller->timer);
	}
	for (auto &host : hosts) {
		if (host->process)
			host->process->signal(SIGCONT);
		h1_peer_finish(&host->peer);
	}
	ev_loop_destroy(loop);
}

uint64_t Driver::draw(uint64_t below)
{
	return dice() % below;
}

int64_t Driver::elapsed_ms() const
{
	return ck_now_ms() - started_ms;
}

void Driver::start_host(Host &host)
{
	host.life++;
	host.is_up = true;
	host.start_at_ms = 0;
	host.disturbed_ms = ck_now_ms();
	host.process = std::make_unique<harness::Process>(
		std::vector<std::string>{ BALSAMPIN_PROGRAM, "gateway",
					  "--settings", host.settings },
		folder + "/" + host.name + ".log");
}

void Driver::end_host(Host &host, int number, int64_t for_ms)
{
	host.process->signal(SIGCONT);
	if (host.paused_until_ms)
		promises.thawed(host.name, ck_now_ms());
	host.paused_until_ms = 0;
	host.process->signal(number);
	host.is_up = false;
	host.start_at_ms = ck_now_ms() + for_ms;
	host.disturbed_ms = ck_now_ms();
}

void Driver::add_engine(EngineSlot &slot)
{
	slot.id = "e" + std::to_string(++engines_made);
	fleet.add_engine(slot.id, slot.service, slot.model, weights,
			 slot.software);
	fleet.behave(slot.id, Behaviour::pace);
	if (slot.keeps_way)
		slot.way->set_target_port(fleet.engine_port(slot.id));
	else
		slot.way = std::make_unique<harness::Proxy>(
			harness::Fleet::store_ip(), harness::Fleet::store_ip(),
			fleet.engine_port(slot.id));
	slot.keeps_way = false;
	slot.way_until_ms = 0;
	slot.behaves_until_ms = 0;
	slot.paused_until_ms = 0;
	fleet.follow_engine(slot.id, [way = slot.way.get()](uint16_t port) {
		way->set_target_port(port);
	});
	fleet.set_address(slot.id, slot.way->address());
}

void Driver::put_configuration()
{
	version++;
	fleet.put("op", "config", configuration(version));
	promises.named(version, ck_now_ms());
}

void Driver::begin_at_host(const Fault &fault, Host &host)
{
	int64_t until_ms = ck_now_ms() + fault.for_ms;

	promises.disturbed(until_ms);
	if (fault.kind >= Kind::store_slow) {
		host.way->set(way_of(fault.kind));
		host.way_until_ms = until_ms;
		return;
	}
	if (!host.is_up)
		return;
	if (fault.kind == Kind::pause) {
		host.process->signal(SIGSTOP);
		host.paused_until_ms = until_ms;
		host.disturbed_ms = until_ms;
	} else if (fault.kind == Kind::reload) {
		/* Before main() no program can keep it from being ended. */
		if (ck_now_ms() - host.disturbed_ms > load_ms)
			host.process->signal(SIGHUP);
	} else {
		end_host(host, fault.kind == Kind::kill ? SIGKILL : SIGTERM,
			 fault.for_ms);
	}
}

void Driver::begin_at_engine(const Fault &fault, EngineSlot &slot)
{
	int64_t until_ms = ck_now_ms() + fault.for_ms;
	std::string drained;

	if (fault.kind == Kind::engine_replaced) {
		fleet.remove_engine(slot.id);
		add_engine(slot);
	} else if (fault.kind == Kind::engine_drained) {
		/* It lives on, and another one takes its place. */
		fleet.set_draining(slot.id);
		promises.drained(slot.id, ck_now_ms());
		ways_of_drained.push_back(std::move(slot.way));
		add_engine(slot);
	} else if (fault.kind == Kind::engine_leaves) {
		/* Its entry doesn't tell; another one takes its place. */
		fleet.say_leaving(slot.id);
		ways_of_drained.push_back(std::move(slot.way));
		add_engine(slot);
	} else if (fault.kind == Kind::engine_pauses) {
		/* A host that the refusal doesn't reach isn't bound. */
		if (slot.way_until_ms)
			return;
		fleet.ask_pause(slot.id, fault.for_ms);
		promises.paused(slot.id, ck_now_ms(), until_ms);
		slot.paused_until_ms = until_ms;
	} else if (fault.kind >= Kind::engine_refuses) {
		fleet.behave(slot.id, behaviour_of(fault.kind));
		slot.behaves_until_ms = until_ms;
	} else if (ck_now_ms() >= slot.paused_until_ms) {
		slot.way->set(way_of(fault.kind));
		slot.way_until_ms = until_ms;
	}
}

void Driver::begin(const Fault &fault)
{
	if (begin_drill(fault))
		return;
	if (fault.kind == Kind::configuration) {
		put_configuration();
	} else if (fault.kind == Kind::weights) {
		weights++;
		fleet.put("op", "version/m",
			  "{\"model\":\"m\",\"version\":" +
				  std::to_string(weights) + "}");
	} else if (fault.kind == Kind::store_down) {
		fleet.set_store_down(true);
		store_until_ms = ck_now_ms() + fault.for_ms;
		promises.disturbed(store_until_ms);
	} else if (fault.kind == Kind::store_forgets) {
		fleet.forget_history();
	} else if (fault.kind == Kind::deadly_request) {
		deadly_bodies.push_back(deadly + std::to_string(fault.target));
		promises.deadly(deadly_bodies.back());
	} else if (fault.kind == Kind::tainted_part) {
		tainted_parts.push_back("dead" + std::to_string(fault.target));
		fleet.crash_on_part(tainted_parts.back(), engine_down_ms);
		promises.tainted(tainted_parts.back());
	} else if (fault.kind >= Kind::engine_slow) {
		begin_at_engine(fault, *engines[fault.target % engines.size()]);
	} else {
		begin_at_host(fault, *hosts[fault.target % hosts.size()]);
	}
}

void Driver::end_faults(int64_t now_ms)
{
	end_drills(now_ms);
	if (store_until_ms && now_ms >= store_until_ms) {
		fleet.set_store_down(false);
		store_until_ms = 0;
	}
	for (auto &host : hosts) {
		if (host->paused_until_ms && now_ms >= host->paused_until_ms) {
			host->process->signal(SIGCONT);
			host->paused_until_ms = 0;
			host->disturbed_ms = now_ms;
			promises.thawed(host->name, now_ms);
		}
		if (host->way_until_ms && now_ms >= host->way_until_ms) {
			host->way->set(Way::pass);
			host->way_until_ms = 0;
		}
		if (host->start_at_ms && now_ms >= host->start_at_ms &&
		    !host->process->is_running())
			start_host(*host);
	}
	for (auto &slot : engines) {
		if (slot->way_until_ms && now_ms >= slot->way_until_ms) {
			slot->way->set(Way::pass);
			slot->way_until_ms = 0;
		}
		if (slot->behaves_until_ms &&
		    now_ms >= slot->behaves_until_ms) {
			fleet.behave(slot->id, Behaviour::pace);
			slot->behaves_until_ms = 0;
		}
	}
}

/* Every host answers every kind of request again. */
void Driver::look_for_recovery(int64_t now_ms)
{
	bool is_back = true;

	for (auto &routes_of_host : answered_since)
		is_back &= routes_of_host.size() == routes.size();
	if (is_back) {
		is_over = true;
	} else if (now_ms > recover_by_ms) {
		for (size_t i = 0; i < hosts.size(); i++)
			if (answered_since[i].size() < 4)
				promises.broken(
					"host " + hosts[i]->name + " answers " +
					std::to_string(
						answered_since[i].size()) +
					" of 4 kinds " +
					std::to_string(recover_ms) +
					" ms after the last fault");
		is_over = true;
	}
}

void Driver::on_tick()
{
	int64_t now_ms = ck_now_ms();

	note_standstill();
	end_faults(now_ms);
	while (!faults.empty() && faults.front().at_ms <= elapsed_ms()) {
		begin(faults.front());
		faults.pop_front();
	}
	if (!faults.empty() || elapsed_ms() < size.lasts_ms)
		return;
	if (!recover_by_ms) {
		bool is_quiet = !store_until_ms;

		for (auto &host : hosts)
			is_quiet &= host->is_up && !host->paused_until_ms &&
				    !host->way_until_ms;
		for (auto &slot : engines)
			is_quiet &= !slot->way_until_ms &&
				    !slot->behaves_until_ms &&
				    !slot->reused_at_ms;
		if (!is_quiet)
			return;
		recover_by_ms = now_ms + recover_ms;
		for (auto &routes_of_host : answered_since)
			routes_of_host.clear();
	}
	look_for_recovery(now_ms);
	if (is_over)
		ev_break(loop, EVBREAK_ALL);
}

bool Driver::on_head(void *arg, uint32_t status,
		     const struct h1_headers *headers)
{
	auto *c = static_cast<Caller *>(arg);
	const char *attempt = h1_headers_get(headers, "X-Attempt-Id");

	if (attempt && c->sent.attempt != attempt)
		c->driver->promises.broken("an answer of " +
					   std::string(attempt) +
					   " for attempt " + c->sent.attempt);
	c->got.status = status;
	c->got.head_ms = ck_now_ms();
	c->got.says_not_run = h1_headers_get(headers, "X-Not-Executed");
	if (h1_headers_get(headers, "Server-Leaving") &&
	    h1_headers_get(headers, "X-Response-Stamp"))
		c->got.leaving = h1_headers_get(headers, "X-Response-Stamp") +
				 strlen("stamp-");
	c->got.has_retry_after = h1_headers_get(headers, "Retry-After");
	return true;
}

std::string Driver::draw_body()
{
	if (deadly_bodies.empty() || draw(deadly_in))
		return "body";
	return deadly_bodies[draw(deadly_bodies.size())];
}

/* No two prompts with such a part are alike. */
std::string Driver::draw_part()
{
	if (tainted_parts.empty() || draw(deadly_in))
		return "";
	return tainted_parts[draw(tainted_parts.size())];
}

void Driver::ask(Caller &c)
{
	std::string part = draw_part();
	std::string body = part.empty()
				   ? draw_body()
				   : "prompt " + std::to_string(next_attempt);
	struct h1_headers headers;
	uint32_t route = draw(4);
	uint32_t host = draw(hosts.size());
	bool is_own = draw(10) < version_keys_in_ten;
	/* A key of the newest version, or of one just gone. */
	int key = is_own ? std::max<int>(1, version - draw(2)) : 0;

	c.sent = { static_cast<Route>(route),
		   "s" + std::to_string(++next_attempt),
		   host,
		   hosts[host]->life,
		   key,
		   ck_now_ms(),
		   ck_now_ms() + deadline_of_calls_ms,
		   ck_now_ms() - hosts[host]->disturbed_ms > known_after_ms };
	if (size.drills) {
		draw_stream(c);
		/* No two prompts are alike. */
		body = "prompt " + std::to_string(next_attempt);
		part = "bb";
	}
	note_standstill();
	c.got = {};
	c.stood_still_ms = stood_still_ms;
	c.is_calling = true;
	h1_headers_init(&headers);
	h1_headers_add(&headers, "Host", "h");
	h1_headers_add(&headers, "Authorization",
		       ("Bearer " + key_of(key)).c_str());
	h1_headers_add(&headers, "X-Attempt-Id", c.sent.attempt.c_str());
	h1_headers_add(&headers, "X-Deadline-Ms",
		       std::to_string(deadline_of_calls_ms).c_str());
	if (c.sent.route <= Route::draft) {
		h1_headers_add(&headers, "X-Model", "m");
		h1_headers_add(&headers, "X-Token-Usage", "100,8");
		h1_headers_add(&headers, "X-Prefix-Hash",
			       part.empty()
				       ? "aa:50,bb:30,cc:20"
				       : ("aa:50," + part + ":30,f" +
					  std::to_string(next_attempt) + ":20")
						 .c_str());
	}
	if (c.sent.stream.events) {
		h1_headers_add(&headers, "Last-Event-Id",
			       std::to_string(c.sent.stream.events).c_str());
		h1_headers_add(&headers, "Resumes",
			       c.sent.stream.first.c_str());
	}
	std::string target = std::string("/") +
			     routes[static_cast<uint32_t>(c.sent.route)].name +
			     "/x";
	struct h1_call_desc desc = {};

	desc.peer = &hosts[host]->peer;
	desc.method = "POST";
	desc.target = target.c_str();
	desc.headers = &headers;
	desc.body = body.data();
	desc.body_bytes = body.size();
	desc.connect_timeout_ms = 500;
	desc.on_head = on_head;
	desc.on_body = [](void *arg, const char *data, uint64_t bytes) {
		static_cast<Caller *>(arg)->got.body.append(data, bytes);
	};
	desc.on_done = [](void *arg, enum h1_outcome outcome) {
		auto *caller = static_cast<Caller *>(arg);

		caller->driver->on_done(*caller, outcome == H1_DONE);
	};
	desc.arg = &c;
	h1_call_start(&c.call, &desc);
	h1_headers_finish(&headers);
	ev_timer_stop(loop, &c.timer);
	ev_timer_set(&c.timer,
		     (deadline_of_calls_ms + answer_slack_ms) / 1000.0, 0.0);
	ev_timer_start(loop, &c.timer);
}

void Driver::on_done(Caller &c, bool is_whole)
{
	c.is_calling = false;
	c.got.is_whole = is_whole;
	c.got.at_ms = ck_now_ms();
	if (c.got.status)
		promises.answered(c.sent, c.got);
	else
		promises.unanswered(c.sent, "");
	if (size.drills)
		follow_stream(c, is_whole);
	if (is_whole && c.got.status == 200)
		answered_since[c.sent.host].insert(c.sent.route);
	ev_timer_stop(loop, &c.timer);
	ev_timer_set(&c.timer, (1 + draw(think_ms)) / 1000.0, 0.0);
	ev_timer_start(loop, &c.timer);
}

void Driver::note_standstill()
{
	int64_t now_ms = ck_now_ms();

	if (now_ms - seen_ms > standstill_ms)
		stood_still_ms += now_ms - seen_ms;
	seen_ms = now_ms;
}

void Driver::on_timer(Caller &c)
{
	const Host &host = *hosts[c.sent.host];

	note_standstill();
	/* What came while this process stood still has yet to be read. */
	if (c.is_calling && stood_still_ms > c.stood_still_ms) {
		ev_timer_set(&c.timer,
			     (stood_still_ms - c.stood_still_ms) / 1000.0, 0.0);
		ev_timer_start(loop, &c.timer);
		c.stood_still_ms = stood_still_ms;
		return;
	}
	if (c.is_calling) {
		bool must_answer = host.is_up && host.life == c.sent.life &&
				   host.disturbed_ms < c.sent.sent_ms;

		h1_call_cancel(&c.call);
		c.is_calling = false;
		promises.unanswered(c.sent,
				    must_answer ? "no end of an answer" : "");
		if (size.drills)
			follow_stream(c, false);
	}
	ask(c);
}

void Driver::check_processes()
{
	for (auto &host : hosts) {
		std::string proc =
			"/proc/" + std::to_string(host->process->pid());
		std::istringstream status(harness::read_file(proc + "/status"));
		std::string line;
		int descriptors = 0;

		if (!host->process->is_running()) {
			promises.broken("host " + host->name +
					" ended by itself");
			continue;
		}
		while (std::getline(status, line))
			if (line.rfind("VmRSS:", 0) == 0 &&
			    std::stol(line.substr(6)) > most_resident_kb)
				promises.broken("host " + host->name + ": " +
						line);
		DIR *dir = opendir((proc + "/fd").c_str());
		while (dir && readdir(dir))
			descriptors++;
		if (dir)
			closedir(dir);
		if (descriptors > most_descriptors)
			promises.broken("host " + host->name + " has " +
					std::to_string(descriptors) +
					" descriptors");
	}
}

/* The text of a member of a log line; "" if it has none. */
static std::string member(const std::string &line, const std::string &name)
{
	std::string begin = "\"" + name + "\":\"";
	size_t at = line.find(begin);

	if (at == std::string::npos)
		return "";
	at += begin.size();
	return line.substr(at, line.find('"', at) - at);
}

/* Which host sent which attempt to which engine. */
void Driver::read_logs()
{
	for (size_t i = 0; i < hosts.size(); i++) {
		std::istringstream log(harness::read_file(
			folder + "/" + hosts[i]->name + ".log"));
		std::string line;

		while (std::getline(log, line))
			if (member(line, "event") == "request_sent")
				promises.placed(i, member(line, "request"),
						member(line, "engine"));
	}
}

std::vector<std::string> Driver::play(const std::vector<Fault> &list)
{
	for (auto &host : hosts)
		if (!harness::wait_until(
			    [&host] {
				    return harness::call(
						   harness::Fleet::readiness(
							   host->name))
						   .status == 200;
			    },
			    start_wait_ms))
			promises.broken("host " + host->name +
					" does not get ready");
	faults.assign(list.begin(), list.end());
	started_ms = ck_now_ms();
	seen_ms = started_ms;
	ev_timer_init(
		&tick,
		[](struct ev_loop *, ev_timer *w, int) {
			static_cast<Driver *>(w->data)->on_tick();
		},
		0.0, tick_s);
	tick.data = this;
	ev_timer_start(loop, &tick);
	for (uint32_t i = 0; i < size.callers; i++) {
		callers.push_back(std::make_unique<Caller>());
		Caller &c = *callers.back();
		c.driver = this;
		ev_timer_init(
			&c.timer,
			[](struct ev_loop *, ev_timer *w, int) {
				auto *caller = static_cast<Caller *>(w->data);

				caller->driver->on_timer(*caller);
			},
			draw(think_ms) / 1000.0, 0.0);
		c.timer.data = &c;
		ev_timer_start(loop, &c.timer);
	}
	ev_run(loop, 0);
	ev_timer_stop(loop, &tick);
	check_processes();
	read_logs();
	promises.finish();
	if (size.drills)
		promises.check_store_calls(hosts.size(), elapsed_ms());
	return promises.list();
}

void Driver::remove_logs()
{
	for (auto &host : hosts) {
		unlink((folder + "/" + host->name + ".log").c_str());
		unlink(host->settings.c_str());
	}
	unlink((folder + "/schedule.txt").c_str());
	rmdir(folder.c_str());
}

} // namespace soak
