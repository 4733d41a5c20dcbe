// Separation of short and long prompts: tables, and replays of load patterns.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "placement/pc.h"
#include "placement/sp.h"
}

namespace
{

constexpr uint32_t slots = 32;

std::vector<sp_engine> engines(uint32_t zones, uint32_t per_zone)
{
	std::vector<sp_engine> table;

	for (uint32_t i = 0; i < zones * per_zone; i++)
		table.push_back({ (i + 1) * 0x9e3779b97f4a7c15ULL,
				  i % zones + 1, false });
	return table;
}

std::set<uint64_t> kept(std::vector<sp_engine> table, double share)
{
	std::set<uint64_t> result;

	sp_choose_kept(table.data(), table.size(), share);
	for (const sp_engine &e : table)
		if (e.is_kept)
			result.insert(e.hash);
	return result;
}

// One host's part of a demand that is spread evenly over @hosts.
struct Demand {
	double shorts_per_s;
	int64_t short_ms;
	double longs_per_s;
	uint32_t long_tokens;
	int64_t long_target_ms;
};

// Plays demand at one host of @hosts that share @engines.
class Host
{
      public:
	Host(uint32_t hosts, uint32_t engines) : hosts(hosts), count(engines)
	{
	}

	// Returns the kept share at the end.
	double play(const Demand &d, int64_t for_ms)
	{
		for (int64_t end_ms = now_ms + for_ms; now_ms < end_ms;
		     now_ms += 10)
			step(d);
		return share();
	}

      private:
	void step(const Demand &d)
	{
		while (!ends.empty() && ends.front() <= now_ms) {
			sp_ended(&pool, SP_SHORT, now_ms);
			ends.erase(ends.begin());
		}
		for (shorts += d.shorts_per_s / 100; shorts >= 1; shorts--) {
			sp_arrived(&pool, SP_SHORT, now_ms);
			sp_started(&pool, SP_SHORT, 600, 500, now_ms);
			ends.push_back(now_ms + d.short_ms);
		}
		for (longs += d.longs_per_s / 100; longs >= 1; longs--) {
			sp_started(&pool, SP_LONG, d.long_tokens,
				   d.long_target_ms, now_ms);
			sp_ended(&pool, SP_LONG, now_ms);
		}
		share();
	}

	double share()
	{
		return sp_kept_share(&pool, hosts, count, count * slots,
				     now_ms);
	}

	uint32_t hosts, count;
	sp_pool pool = {};
	int64_t now_ms = 1000;
	std::vector<int64_t> ends;
	double shorts = 0, longs = 0;
};

TEST(Separation, KindFollowsFromLengthAndTarget)
{
	static const struct {
		const char *name;
		uint32_t tokens;
		int64_t target_ms, loosest_ms;
		enum sp_kind kind;
	} cases[] = {
		{ "short, tighter target", 800, 500, 1500, SP_SHORT },
		{ "short, the same target", 800, 1500, 1500, SP_OTHER },
		{ "short, the loosest target", 800, 1000, 1000, SP_OTHER },
		{ "short, no target", 800, 0, 1500, SP_OTHER },
		{ "one piece", SP_SHORT_TOKENS, 500, 1500, SP_SHORT },
		{ "long, loose target", 9000, 1500, 1500, SP_LONG },
		{ "long, tighter target", 9000, 800, 1000, SP_LONG },
	};

	for (const auto &c : cases)
		EXPECT_EQ(sp_kind_of(c.tokens, c.target_ms, c.loosest_ms),
			  c.kind)
			<< c.name;
}

// Guards pools whose short prompts have the loosest target, or that have none:
// they are served as if there were no separation.
TEST(Separation, OnlyPoolsWithTightShortPromptsAreSeparated)
{
	sp_pool pool = {};

	EXPECT_FALSE(sp_is_separated(&pool, 0, 5000));
	sp_arrived(&pool, SP_LONG, 5000);
	sp_arrived(&pool, SP_OTHER, 5000);
	EXPECT_FALSE(sp_is_separated(&pool, 0, 5000));
	sp_arrived(&pool, SP_SHORT, 5000);
	EXPECT_TRUE(sp_is_separated(&pool, 0, 5000));
	EXPECT_TRUE(sp_is_separated(&pool, 0, 14000));
	EXPECT_FALSE(sp_is_separated(&pool, 0, 16000));
}

// Failure: a part of some prompts crashes the engines that begin to answer it.
// With all short requests at few engines, each crash breaks off many of them.
TEST(Separation, RequestsAreSpreadWhileEnginesCrashUnderThem)
{
	static const struct {
		int64_t crash_ms, now_ms;
		bool is_separated;
	} cases[] = {
		{ 0, 20000, true },
		{ 19000, 20000, false },
		{ 6000, 20000, false },
		{ 4000, 20000, true },
	};
	sp_pool pool = {};

	sp_arrived(&pool, SP_SHORT, 20000);
	for (const auto &c : cases)
		EXPECT_EQ(sp_is_separated(&pool, c.crash_ms, c.now_ms),
			  c.is_separated)
			<< c.crash_ms;
}

TEST(Separation, KeptShareFollowsTheDemand)
{
	static const struct {
		const char *name;
		Demand demand;
		uint32_t hosts, engines;
		double at_least, at_most;
	} cases[] = {
		{ "few short prompts",
		  { 0.2, 500, 1.0, 4000, 1500 },
		  80,
		  60,
		  0.10,
		  0.20 },
		{ "short prompts with long answers",
		  { 3.0, 1850, 1.0, 4000, 1500 },
		  80,
		  60,
		  0.30,
		  0.45 },
		{ "the same on half of the engines",
		  { 3.0, 1850, 1.0, 4000, 1500 },
		  80,
		  30,
		  0.50,
		  0.60 },
		{ "long prompts with a tight target need room, too",
		  { 3.0, 1850, 3.0, 6000, 800 },
		  80,
		  30,
		  0.15,
		  0.40 },
	};

	for (const auto &c : cases) {
		Host host(c.hosts, c.engines);
		double share = host.play(c.demand, 30000);

		EXPECT_GE(share, c.at_least) << c.name;
		EXPECT_LE(share, c.at_most) << c.name;
	}
}

// Load: long prompts come at three times their rate for five seconds. The
// engines for short ones are not to be given to those that cause the burst.
TEST(Separation, BurstOfLongPromptsTakesFewOfTheKeptEngines)
{
	Demand calm = { 3.0, 1850, 1.0, 4000, 1500 }, burst = calm;
	Host host(80, 60);
	double before = host.play(calm, 30000);

	burst.longs_per_s *= 3;
	EXPECT_GE(host.play(burst, 5000), before - 0.11);
}

// Guards against engines that change sides with every request, which would
// move prefixes between engines.
TEST(Separation, SmallChangesOfTheDemandChangeNothing)
{
	Demand demand = { 3.0, 1850, 1.0, 4000, 1500 };
	Host host(80, 60);
	std::set<double> shares;

	host.play(demand, 30000);
	for (int i = 0; i < 20; i++) {
		demand.shorts_per_s = i % 2 ? 2.85 : 3.15;
		shares.insert(host.play(demand, 1000));
	}
	EXPECT_LE(shares.size(), 2u);
}

TEST(Separation, EachZoneKeepsItsPart)
{
	static const struct {
		uint32_t zones, per_zone;
		double share;
		uint32_t kept;
	} cases[] = { { 6, 10, 0.4, 24 },
		      { 6, 10, 0.25, 18 },
		      { 1, 3, 0.15, 0 },
		      { 3, 4, 0.6, 6 },
		      { 6, 100, 0.15, 90 } };

	for (const auto &c : cases)
		EXPECT_EQ(kept(engines(c.zones, c.per_zone), c.share).size(),
			  c.kept)
			<< c.zones << " x " << c.per_zone;
}

// Failure: an engine is lost. Another one of its zone is kept in its place, and
// all others stay what they were.
TEST(Separation, LostEngineIsReplacedInItsZone)
{
	std::vector<sp_engine> all = engines(6, 10), rest;
	std::set<uint64_t> before = kept(all, 0.4), after;
	uint64_t lost = *before.begin();
	uint32_t common = 0;

	for (const sp_engine &e : all)
		if (e.hash != lost)
			rest.push_back(e);
	after = kept(rest, 0.4);
	for (uint64_t hash : before)
		common += after.count(hash);
	EXPECT_EQ(common, before.size() - 1);
	EXPECT_GE(after.size(), before.size() - 1);
}

// Hosts list engines in different orders and estimate the demand for
// themselves: what one keeps, one with a higher estimate keeps, too.
TEST(Separation, HostsAgreeUpToTheLastEngines)
{
	std::vector<sp_engine> table = engines(6, 10);
	std::set<uint64_t> few = kept(table, 0.3), many;

	std::shuffle(table.begin(), table.end(), std::mt19937(1));
	EXPECT_EQ(kept(table, 0.3), few);
	many = kept(table, 0.45);
	EXPECT_GT(many.size(), few.size());
	EXPECT_TRUE(std::includes(many.begin(), many.end(), few.begin(),
				  few.end()));
}

TEST(Separation, LateRequestsWaitForRoom)
{
	static const struct {
		const char *name;
		sp_wait wait;
		enum sp_action action;
	} cases[] = {
		{ "long, room", { SP_LONG, true, 0, 80, 0, true }, SP_SEND },
		{ "long, no room",
		  { SP_LONG, false, 0, 80, 0, true },
		  SP_WAIT },
		{ "short, more room than hosts",
		  { SP_SHORT, true, 400, 80, 0, true },
		  SP_SEND },
		{ "short, room elsewhere only",
		  { SP_SHORT, false, 400, 80, 0, true },
		  SP_WAIT },
		{ "short, no room",
		  { SP_SHORT, true, 0, 80, 0, true },
		  SP_WAIT },
		{ "has waited for long",
		  { SP_SHORT, true, 0, 80, 9000, true },
		  SP_REFUSE },
		{ "too many wait",
		  { SP_SHORT, false, 0, 80, 0, false },
		  SP_REFUSE },
	};

	for (const auto &c : cases) {
		sp_pool pool = {};

		EXPECT_EQ(sp_decide(&pool, &c.wait, 10000), c.action) << c.name;
	}
	EXPECT_EQ(sp_wait_until_ms(1000, 5000), 3000);
}

// Load: hundreds of requests wait at a host with an eighth of a core. Guards
// against decisions that grow with them, and against a request that waits for
// longer than it may.
TEST(Separation, WaitingRequestsCostABoundedNumberOfDecisions)
{
	static const struct {
		uint32_t waiting;
		double random;
		int64_t left_ms, next_ms;
	} cases[] = {
		{ 1, 0.0, 5000, 100 },	{ 32, 1.0, 5000, 250 },
		{ 64, 0.0, 5000, 200 }, { 512, 0.5, 5000, 2800 },
		{ 1, 1.0, 40, 40 },	{ 512, 1.0, 300, 300 },
		{ 1, 0.5, 0, 0 },	{ 1, 0.5, -10, 0 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(sp_next_try_ms(c.waiting, c.random, 1000,
					 1000 + c.left_ms),
			  c.next_ms)
			<< c.waiting << " " << c.left_ms;
	for (uint32_t waiting : { 1u, 32u, 100u, 512u })
		EXPECT_LE(waiting * 1000.0 /
				  sp_next_try_ms(waiting, 0.5, 0, 1000000),
			  190);
}

// Load: 86 hosts hold late requests, and 20 slots become free in each period of
// the load reports. If each host sent one, they would queue at the engines.
TEST(Separation, HostsTogetherTakeTheFreeSlotsOnce)
{
	std::vector<sp_pool> pools(86);
	std::mt19937 random(1);
	uint32_t sent = 0;

	for (int64_t now_ms = 1000; now_ms < 13000; now_ms += 100)
		for (sp_pool &pool : pools) {
			sp_wait wait = { SP_SHORT, true, 20, 86, 0, true };

			if (random() % 2)
				sent += sp_decide(&pool, &wait, now_ms) ==
					SP_SEND;
		}
	EXPECT_LE(sent, 40 * 20 * 1.2);
	EXPECT_GE(sent, 40 * 20 * 0.7);
}

pc_candidate candidate(const sp_engine &e, uint32_t running, uint32_t waiting)
{
	pc_candidate c = {};

	c.hash = e.hash;
	c.slots = slots;
	c.running = running;
	c.waiting_tokens = waiting;
	c.prefix_age_ms = c.root_age_ms = -1;
	return c;
}

// Load: all engines that are not kept are busy with long prompts. A long one
// waits there, and the kept engines stay free for short ones.
TEST(Separation, LongPromptsDoNotSpillOverToKeptEngines)
{
	std::vector<sp_engine> table = engines(3, 10);
	std::vector<pc_candidate> candidates;
	pc_request prompt = {};

	prompt.prefix_hash = 7;
	prompt.root_hash = 3;
	prompt.shared_tokens = 6300;
	prompt.root_tokens = 2520;
	prompt.suffix_tokens = 2890;
	prompt.max_running = 9;
	prompt.slot_ms = sp_slot_ms(SP_LONG);
	prompt.late_fill = sp_late_fill(SP_LONG);
	sp_choose_kept(table.data(), table.size(), 0.4);
	for (const sp_engine &e : table) {
		pc_candidate c =
			candidate(e, e.is_kept ? 2 : 20, e.is_kept ? 0 : 60000);

		c.is_avoided = e.is_kept;
		candidates.push_back(c);
	}
	pc_answer answer =
		pc_place(&prompt, candidates.data(), candidates.size());
	EXPECT_FALSE(table[answer.chosen].is_kept);
	EXPECT_FALSE(answer.has_room);
	EXPECT_GT(answer.cost_ms, 1500.0);
}

TEST(Separation, ShortPromptsPreferKeptEnginesAndUseOthersWhenTheseAreFull)
{
	std::vector<sp_engine> table = engines(3, 10);
	pc_request prompt = {};

	prompt.suffix_tokens = 600;
	prompt.max_running = 80;
	prompt.slot_ms = sp_slot_ms(SP_SHORT);
	prompt.late_fill = sp_late_fill(SP_SHORT);
	sp_choose_kept(table.data(), table.size(), 0.4);
	for (bool is_full : { false, true }) {
		std::vector<pc_candidate> candidates;

		for (const sp_engine &e : table) {
			uint32_t running = e.is_kept && is_full ? 60 : 10;
			pc_candidate c = candidate(e, running, 0);

			c.is_less_suited = !e.is_kept;
			candidates.push_back(c);
		}
		pc_answer answer =
			pc_place(&prompt, candidates.data(), candidates.size());
		EXPECT_EQ(table[answer.chosen].is_kept, !is_full);
		EXPECT_TRUE(answer.has_room);
	}
}

} // namespace
