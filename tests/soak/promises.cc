#include "promises.h"

#include <time.h>

#include <cstdio>

extern "C" {
#include "kernel/ck.h"
}

namespace soak
{

namespace
{

/* As the hosts' logs have it, so that a late arrival can be told from them. */
std::string time_of_day(int64_t at_ms)
{
	int64_t wall_ms = ck_wall_ms() - (ck_now_ms() - at_ms);
	time_t seconds = wall_ms / 1000;
	struct tm utc;
	char text[32];

	gmtime_r(&seconds, &utc);
	snprintf(text, sizeof(text), "%02d:%02d:%02d.%03d", utc.tm_hour,
		 utc.tm_min, utc.tm_sec, (int)(wall_ms % 1000));
	return text;
}

std::string described(const Sent &sent)
{
	return "attempt " + sent.attempt + " at host " +
	       std::to_string(sent.host) + ", sent at " +
	       std::to_string(sent.sent_ms) + " (" + time_of_day(sent.sent_ms) +
	       ")";
}

bool is_stream(Route route)
{
	return route == Route::grade || route == Route::draft;
}

bool begins_with(const std::string &whole, const std::string &part)
{
	return whole.compare(0, part.size(), part) == 0;
}

} // namespace

Promises::Promises(harness::Fleet &fleet) : fleet(fleet)
{
}

void Promises::broken(const std::string &what)
{
	found.push_back(what);
}

void Promises::named(int version, int64_t at_ms)
{
	named_ms[version] = at_ms;
}

void Promises::drained(const std::string &engine, int64_t at_ms)
{
	drained_ms[engine] = at_ms;
}

void Promises::deadly(const std::string &body)
{
	deadly_bodies.insert(body);
}

void Promises::tainted(const std::string &part)
{
	tainted_parts.insert(part);
}

void Promises::paused(const std::string &engine, int64_t from_ms,
		      int64_t until_ms)
{
	pauses.push_back({ engine, from_ms, until_ms });
}

void Promises::disturbed(int64_t until_ms)
{
	disturbed_until_ms = std::max(disturbed_until_ms, until_ms);
}

/* A whole answer is the engine's, unchanged; a torn one is the start of it. */
void Promises::check_body(const Sent &sent, const Got &got)
{
	std::string due =
		harness::paced_answer(sent.attempt, is_stream(sent.route));

	if (got.status != 200)
		return;
	if (is_drill && is_stream(sent.route)) {
		check_events(sent, got);
		return;
	}
	if (got.is_whole && got.body != due)
		broken("not the answer of " + described(sent) + ": " +
		       got.body);
	if (!got.is_whole && !begins_with(due, got.body))
		broken("not the start of the answer of " + described(sent) +
		       ": " + got.body);
}

/* Keys of one version only: those of older ones are refused, in time and for
 * good. */
void Promises::check_key(const Sent &sent, const Got &got)
{
	auto &newest = seen[{ sent.host, sent.life }];
	auto next = named_ms.find(sent.key + 1);

	if (!sent.key || got.status != 200)
		return;
	if (next != named_ms.end() && sent.sent_ms > next->second + revoke_ms)
		broken("a key taken away in version " +
		       std::to_string(sent.key + 1) + " at " +
		       std::to_string(next->second) +
		       " was taken: " + described(sent));
	if (newest.first > sent.key &&
	    sent.sent_ms > newest.second + rollback_slack_ms)
		broken("version " + std::to_string(sent.key) + " after " +
		       std::to_string(newest.first) + ": " + described(sent));
	if (sent.key > newest.first)
		newest = { sent.key, got.at_ms };
}

void Promises::note(const Sent &sent)
{
	if (sent.route == Route::record)
		records.insert(sent.attempt);
	if (!sent.is_settled)
		unsettled.insert(sent.attempt);
	sent_by_attempt[sent.attempt] = sent;
	lives[sent.host][sent.sent_ms] = sent.life;
}

void Promises::placed(uint32_t host, const std::string &attempt,
		      const std::string &engine)
{
	placed_by[{ attempt, engine }].insert(host);
}

Promises::Life Promises::life_of(uint32_t host, int64_t at_ms) const
{
	auto known = lives.find(host);

	if (known == lives.end())
		return { host, 0 };
	auto next = known->second.upper_bound(at_ms);

	return { host, next == known->second.begin()
			       ? next->second
			       : std::prev(next)->second };
}

/* The processes that sent it to the engine; without a log line of any, the one
 * that its caller asked. */
std::set<Promises::Life> Promises::senders(const Sent &sent,
					   const std::string &engine) const
{
	auto placed = placed_by.find({ sent.attempt, engine });
	std::set<Life> processes;

	if (placed == placed_by.end())
		return { { sent.host, sent.life } };
	for (uint32_t host : placed->second)
		processes.insert(host == sent.host
					 ? Life{ host, sent.life }
					 : life_of(host, sent.sent_ms));
	return processes;
}

void Promises::answered(const Sent &sent, const Got &got)
{
	note(sent);
	outcomes[(got.is_whole ? "" : "torn ") + std::to_string(got.status)]++;
	check_body(sent, got);
	check_key(sent, got);
	if (!got.leaving.empty()) {
		heard_leaving_ms[{ { sent.host, sent.life }, got.leaving }]
			.insert(got.head_ms);
		leaving.push_back({ sent.attempt, got.leaving, got.head_ms });
	}
	if (got.says_not_run)
		not_run.insert(sent.attempt);
	if (got.is_whole && got.status == 503 && !got.has_retry_after)
		broken("503 without Retry-After: " + described(sent));
}

void Promises::unanswered(const Sent &sent, const std::string &what)
{
	outcomes["unanswered"]++;
	note(sent);
	if (!what.empty())
		broken(what + ": " + described(sent));
}

/* Orders of an older holder stop when a newer one's begin. */
void Promises::check_orders()
{
	int64_t newest = 0, since_ms = 0;

	for (const harness::Order &order : fleet.orders()) {
		if (!order.is_taken)
			continue;
		if (order.fencing > newest) {
			newest = order.fencing;
			since_ms = order.at_ms;
		} else if (order.fencing < newest &&
			   order.at_ms > since_ms + lease_slack_ms) {
			broken("an order under fencing number " +
			       std::to_string(order.fencing) + " " +
			       std::to_string(order.at_ms - since_ms) +
			       " ms after the first under " +
			       std::to_string(newest));
		}
	}
}

/* Whoever learns of it last, the hosts together send little to engines later
 * than @known_ms. */
void Promises::check_late(const std::string &what, int64_t known_ms,
			  const std::vector<const harness::Arrival *> &list)
{
	std::string times;
	int late = 0;

	for (const harness::Arrival *a : list) {
		bool is_settled =
			!unsettled.count(a->headers.at("X-Attempt-Id"));

		late += a->at_ms > known_ms && is_settled;
		times += " " + std::to_string(a->at_ms - known_ms) + " (" +
			 a->engine + (is_settled ? ")" : ", not in touch)");
	}
	if (late > ends_after)
		broken(what + " reached engines " +
		       std::to_string(list.size()) +
		       " times, ms since it had to be known:" + times);
}

void Promises::check_deadly()
{
	std::map<std::string, std::vector<const harness::Arrival *>> ends;
	std::vector<harness::Arrival> arrivals = fleet.arrivals();

	for (const harness::Arrival &a : arrivals)
		if (deadly_bodies.count(a.body))
			ends[a.target + " " + a.body].push_back(&a);
	for (const auto &entry : ends) {
		const auto &list = entry.second;

		outcomes["ends by a deadly request"] += list.size();
		if (list.size() > ends_before)
			check_late("\"" + entry.first + "\"",
				   list[ends_before - 1]->at_ms +
					   known_after_ms,
				   list);
	}
}

void Promises::check_tainted(const std::vector<harness::Arrival> &arrivals)
{
	for (const std::string &part : tainted_parts) {
		std::vector<const harness::Arrival *> list;
		int64_t known_ms = INT64_MAX;
		size_t ends = 0;

		for (const harness::Arrival &a : arrivals) {
			auto parts = a.headers.find("X-Prefix-Hash");

			if (parts == a.headers.end() ||
			    parts->second.find("," + part + ":") ==
				    std::string::npos)
				continue;
			list.push_back(&a);
			ends += a.ends_engine;
			if (a.ends_engine && ends == part_ends_before)
				known_ms = a.at_ms + known_after_ms;
		}
		outcomes["ends by a part"] += ends;
		check_late("part " + part, known_ms, list);
	}
}

/* What an answer told a process binds it, whatever its store says, until the
 * engine has crashed: it starts anew under its id then, and doesn't leave. */
void Promises::check_leaving(const std::vector<harness::Arrival> &arrivals)
{
	std::map<std::string, int64_t> crashed_ms;

	/* The host that asked the engine knows as soon as the one that told. */
	for (const Leaving &l : leaving)
		for (const Life &life :
		     senders(sent_by_attempt.at(l.attempt), l.engine))
			heard_leaving_ms[{ life, l.engine }].insert(l.at_ms);
	for (const harness::Arrival &a : arrivals) {
		if (a.ends_engine)
			crashed_ms[a.engine] = a.at_ms;
		auto sent = sent_by_attempt.find(
			a.headers.count("X-Attempt-Id")
				? a.headers.at("X-Attempt-Id")
				: "");
		if (sent == sent_by_attempt.end())
			continue;
		for (const Life &life : senders(sent->second, a.engine)) {
			const auto &heard =
				heard_leaving_ms[{ life, a.engine }];
			auto since = heard.upper_bound(crashed_ms[a.engine] +
						       engine_down_ms);

			if (since != heard.end() &&
			    sent->second.sent_ms > *since + drain_ms)
				broken("engine " + a.engine +
				       " got a request after it had said that "
				       "it leaves: " +
				       described(sent->second) + ", from " +
				       std::to_string(life.first));
		}
	}
}

void Promises::check_pauses(const std::vector<harness::Arrival> &arrivals)
{
	for (const Pause &pause : pauses) {
		std::map<Life, int64_t> told_ms;
		std::map<Life, int> late;

		for (const harness::Arrival &a : arrivals) {
			auto sent = sent_by_attempt.find(
				a.headers.count("X-Attempt-Id")
					? a.headers.at("X-Attempt-Id")
					: "");

			if (a.engine != pause.engine ||
			    a.at_ms < pause.from_ms ||
			    a.at_ms >= pause.until_ms ||
			    sent == sent_by_attempt.end() ||
			    !sent->second.is_settled)
				continue;
			for (const Life &life :
			     senders(sent->second, a.engine)) {
				int64_t first_ms =
					told_ms.insert({ life, a.at_ms })
						.first->second;

				if (a.at_ms > first_ms + pause_settle_ms &&
				    ++late[life] == allowed_in_pause + 1)
					broken("engine " + a.engine +
					       " got too many requests in its "
					       "pause: " +
					       described(sent->second));
			}
		}
	}
}

void Promises::finish()
{
	std::vector<harness::Arrival> arrivals = fleet.arrivals();

	check_deadly();
	check_tainted(arrivals);
	check_leaving(arrivals);
	check_pauses(arrivals);
	for (const std::string &attempt : records)
		if (fleet.runs(attempt) > 1)
			broken("attempt " + attempt + " ran " +
			       std::to_string(fleet.runs(attempt)) + " times");
	for (const std::string &attempt : not_run)
		if (fleet.runs(attempt))
			broken("attempt " + attempt +
			       " was said not to have run, but did");
	for (const harness::Arrival &a : arrivals) {
		auto it = drained_ms.find(a.engine);

		if (it != drained_ms.end() &&
		    a.at_ms >
			    std::max(it->second, disturbed_until_ms) + drain_ms)
			broken("engine " + a.engine + " got a request " +
			       std::to_string(a.at_ms - it->second) +
			       " ms after its entry said draining");
	}
	check_orders();
	if (is_drill) {
		check_lost();
		check_holders();
	}
}

} // namespace soak
