// The engines of a Fleet: how they answer, crash, and start anew.
#include "fleet_state.h"

#include <gtest/gtest.h>
#include <json-c/json.h>
#include <sys/socket.h>
#include <unistd.h>

namespace harness
{

namespace
{

constexpr int events_of_an_answer = 8;
constexpr int load_ms = 50;
constexpr int events_before_a_stall = 2;
/* Below the two seconds after which a stream counts as hung. */
constexpr int slow_pace_ms = 1500;
constexpr int trickle_ms = 200;
constexpr size_t garbage_bytes = 256 << 10;
/* What http_parser takes. */
constexpr uint64_t max_header_bytes = 80 << 10;

std::string event(int id, const std::string &software)
{
	return "id: " + std::to_string(id) + "\ndata: token " +
	       std::to_string(id) + (software.empty() ? "" : " by ") +
	       software + "\n\n";
}

std::string paced_event(const std::string &attempt, int id,
			const std::string &software)
{
	return "id: " + std::to_string(id) + "\ndata: token " +
	       std::to_string(id) + " of " + attempt +
	       (software.empty() ? "" : " by ") + software + "\n\n";
}

} // namespace

std::string paced_answer(const std::string &attempt, bool is_stream)
{
	std::string text;

	if (!is_stream)
		return "recorded " + attempt;
	for (int id = 1; id <= events_of_an_answer; id++)
		text += paced_event(attempt, id, "");
	return text;
}

std::string stream_answer(int after, const std::string &software)
{
	std::string text;

	for (int id = after + 1; id <= events_of_an_answer; id++)
		text += event(id, software);
	return text;
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
	case Behaviour::break_then_answer:
		return after ? Behaviour::answer : Behaviour::break_off;
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
	const char *expected = h1_headers_get(x->headers, "X-Expect-Instance");
	int after = 0;

	/* Another engine has come up at the address. */
	if (expected && e->id != expected) {
		respond(x, 421, "{}");
		return;
	}
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
	arrival.software = e->software;
	arrivals.push_back(arrival);
	fields["X-Attempt-Id"] = arrival.headers["X-Attempt-Id"];
	if (e->is_leaving)
		fields["Server-Leaving"] = "1";
	if (e->brittle_per_s)
		fields["Server-Brittle"] = std::to_string(e->brittle_per_s);
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
	std::string text = stream_answer(after, e->software);
	if (behaviour_of(*e, after) == Behaviour::break_off) {
		text = event(1, e->software) + event(2, e->software) +
		       event(3, e->software) + "id: 4\ndata: tok";
		h1_write(x, text.data(), text.size());
		h1_abort(x);
		return;
	}
	if (e->behaviour == Behaviour::stall) {
		text = event(after + 1, e->software) +
		       event(after + 2, e->software);
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
	std::string text =
		paced_event(run.attempt, ++run.events, run.engine->software);

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
	desc.limits.max_header_bytes = max_header_bytes;
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

void Fleet::State::end_process(Engine *e, int64_t back_ms)
{
	/* As with a process that ends: nothing is accepted any more when its
	 * connections break. */
	shutdown(e->server._fd, SHUT_RDWR);
	e->on_port(0);
	close(e);
	e->is_crashing = false;
	/* The order in progress ends with it, and writes no entry. */
	e->busy_until_ms = 0;
	e->down_until_ms = back_ms;
}

void Fleet::State::crash_or_start(Engine *e, int64_t now_ms)
{
	if (e->is_crashing) {
		end_process(e, now_ms + crash_down_ms);
		crash_times.push_back(now_ms);
	} else if (e->down_until_ms && now_ms >= e->down_until_ms) {
		e->down_until_ms = 0;
		e->is_leaving = false;
		e->born++;
		listen(e);
		e->on_port(e->port);
		e->entry_due_ms = now_ms + e->entry_ms;
		e->entry_ms = 0;
	}
	if (e->entry_due_ms && now_ms >= e->entry_due_ms) {
		e->entry_due_ms = 0;
		write_entry(*e);
	}
}

void Fleet::State::on_tick()
{
	int64_t now_ms = ck_now_ms();

	on_store_tick(now_ms);
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
		answer_rows(it->x, it->table, it->after, true, it->view);
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

} // namespace harness
