// What collectors send to other zones, and how often hosts report directly.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "peers/pe_change.h"
#include "peers/pe_report.h"
#include "peers/pe_zone.h"
}

namespace
{

int64_t bytes_per_s(const struct pe_change_plan &plan, uint32_t receivers)
{
	uint32_t datagrams =
		(plan.shares + PE_DATAGRAM_SHARES - 1) / PE_DATAGRAM_SHARES;

	return (int64_t(datagrams) * PE_DATAGRAM_BYTES +
		int64_t(plan.shares) * PE_SHARE_BYTES) *
	       receivers * 1000 / plan.period_ms;
}

// Sums in full grew with hosts and upstreams beyond what regions share.
TEST(ChangePlan, KeepsToItsBudgetAtAnySize)
{
	static const struct {
		uint32_t upstreams, receivers;
		int64_t period_ms, bytes_per_s, longest_period_ms, turn_ms;
	} cases[] = {
		{ 12, 1, 100, 100000, 100, 1500 },
		{ 0, 0, 100, 100000, 100, 1500 },
		{ 300, 2, 100, 100000, 100, 1500 },
		{ 600, 2, 100, 100000, 100, 1500 },
		{ 1000, 2, 100, 100000, 100, 2000 },
		{ 3000, 2, 100, 100000, 100, 6000 },
		{ 3000, 5, 100, 100000, 100, 6000 },
		{ 600, 3, 200, 50000, 200, 2000 },
		{ 1000, 3, 200, 50000, 200, 3000 },
		{ 3000, 3, 200, 50000, 200, 9000 },
		{ 3000, 40, 200, 50000, 350, 120000 },
		{ 3000, 100, 100, 10000, 4300, 1500000 },
		{ 3000, 1, 100, 1, 500000, 300000000 },
	};

	for (const auto &c : cases) {
		struct pe_change_budget budget = { c.upstreams, c.receivers,
						   c.period_ms, c.bytes_per_s,
						   4 };
		struct pe_change_plan plan = pe_change_plan(&budget);

		EXPECT_LE(bytes_per_s(plan, c.receivers), c.bytes_per_s)
			<< c.upstreams << " " << c.receivers;
		EXPECT_GE(plan.period_ms, c.period_ms);
		EXPECT_LE(plan.period_ms, c.longest_period_ms)
			<< c.upstreams << " " << c.receivers;
		EXPECT_LE(plan.turn_ms, c.turn_ms)
			<< c.upstreams << " " << c.receivers;
		EXPECT_GT(plan.repeated, 0u);
		EXPECT_LT(plan.repeated, plan.shares);
	}
}

// Loads took the room of configuration, keys and weights.
TEST(ChangeRoom, OtherMessagesComeFirst)
{
	static const struct {
		int64_t budget, other;
		bool is_standby;
		int64_t room;
	} cases[] = {
		{ 100000, 0, false, 87500 },
		{ 100000, 50000, false, 37500 },
		{ 100000, 90000, false, 25000 },
		{ 100000, 500000, false, 25000 },
		{ 100000, 90000, true, 12500 },
		{ 0, 10, false, 0 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(pe_change_room(c.budget, c.other, c.is_standby),
			  c.room);
}

// Each member of a large zone got its own message, so that the collector sent
// most of all hosts.
TEST(ChangeRelays, NoHostSendsManyMessagesForOne)
{
	for (uint32_t members = 0; members <= 1000; members++) {
		uint32_t relays = pe_change_relays(members, 32);
		uint32_t forwards = relays ? (members - 1) / relays : 0;

		ASSERT_LE(relays, std::max(members, 8u));
		ASSERT_LE(relays, members <= 8 ? 8u : 32u) << members;
		ASSERT_LE(forwards, 32u) << members;
		if (members <= 8) {
			ASSERT_EQ(relays, members);
		}
	}
}

class Changes : public testing::Test
{
      protected:
	struct pe_change change;
	GArray *sums, *out;
	struct pe_change_plan plan = { 100, 72, 54, 1500 };

	void SetUp() override
	{
		pe_change_init(&change);
		sums = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
		out = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	}

	void TearDown() override
	{
		pe_change_finish(&change);
		g_array_free(sums, TRUE);
		g_array_free(out, TRUE);
	}

	void set(const std::vector<pe_share> &shares)
	{
		g_array_set_size(sums, 0);
		g_array_append_vals(sums, shares.data(), shares.size());
	}

	std::vector<uint64_t> choose(int64_t now_ms)
	{
		std::vector<uint64_t> engines;

		g_array_set_size(out, 0);
		pe_change_choose(&change, sums, &plan, now_ms, out);
		for (uint32_t i = 0; i < out->len; i++)
			engines.push_back(
				g_array_index(out, struct pe_share, i).engine);
		return engines;
	}
};

TEST_F(Changes, CarryWhatWouldChangeADecision)
{
	static const struct {
		struct pe_share before, after;
		bool is_sent;
	} cases[] = {
		{ { 7, 2, 0 }, { 7, 2, 0 }, false },
		{ { 7, 2, 0 }, { 7, 3, 0 }, true },
		{ { 7, 2, 0 }, { 7, 1, 0 }, true },
		{ { 7, 40, 0 }, { 7, 41, 0 }, false },
		{ { 7, 40, 0 }, { 7, 47, 0 }, true },
		{ { 7, 2, 1000 }, { 7, 2, 1100 }, false },
		{ { 7, 2, 1000 }, { 7, 2, 1400 }, true },
		{ { 7, 2, 8000 }, { 7, 2, 8900 }, false },
		{ { 7, 0, 50 }, { 7, 0, 0 }, true },
	};

	for (const auto &c : cases) {
		pe_change_clear(&change);
		set({ c.before });
		EXPECT_EQ(choose(1000).size(), 1u);
		set({ c.after });
		EXPECT_EQ(choose(1100).size(), c.is_sent ? 1u : 0u)
			<< c.after.running << " " << c.after.tokens;
	}
}

TEST_F(Changes, LargestAreFirst)
{
	plan.shares = 2;
	plan.repeated = 1;
	set({ { 1, 1, 0 }, { 2, 9, 0 }, { 3, 1, 9000 } });
	EXPECT_EQ(choose(1000), (std::vector<uint64_t>{ 3, 2 }));
	EXPECT_EQ(choose(1100), (std::vector<uint64_t>{ 1 }));
	EXPECT_TRUE(choose(1200).empty());
}

// An upstream that lost all its load would count as busy until its zero came.
TEST_F(Changes, GoneLoadIsRepeatedAsZeroAndThenForgotten)
{
	uint32_t zeros = 0;

	set({ { 7, 5, 0 } });
	choose(1000);
	set({});
	for (int64_t now = 1100; now < 9000; now += 100)
		zeros += choose(now).size();
	EXPECT_GE(zeros, 2u);
	EXPECT_LE(zeros, 4u);
	EXPECT_EQ(g_hash_table_size(change._sent), 0u);
}

// Load: a zone with up to 3,000 upstreams; each 100 ms the load at some of them
// changes. Messages are lost, delivered twice and out of order.
class Link
{
      public:
	std::mt19937 random{ 1 };
	struct pe_zone zone;
	struct pe_change change;
	std::map<uint64_t, pe_share> truth;
	double lost = 0, doubled = 0, late = 0;
	int64_t now = 1000, period_ms = 100, bytes_per_s = 100000;
	uint64_t sequence = 0, sent_bytes = 0;
	std::deque<std::pair<uint64_t, std::vector<pe_share>>> waiting;
	struct pe_change_plan plan;

	Link()
	{
		pe_zone_init(&zone);
		pe_change_init(&change);
	}

	~Link()
	{
		pe_zone_finish(&zone);
		pe_change_finish(&change);
	}

	void alter(uint32_t upstreams, uint32_t count)
	{
		for (uint32_t i = 0; i < count; i++) {
			uint64_t engine = 1 + random() % upstreams;

			truth[engine] = { engine, uint32_t(random() % 12),
					  uint32_t(random() % 4000) };
		}
	}

	bool happens(double probability)
	{
		return random() % 10000 < probability * 10000;
	}

	void step()
	{
		GArray *sums = g_array_new(FALSE, FALSE, sizeof(pe_share));
		GArray *out = g_array_new(FALSE, FALSE, sizeof(pe_share));

		for (const auto &t : truth)
			if (t.second.running || t.second.tokens)
				g_array_append_val(sums, t.second);
		struct pe_change_budget budget = { sums->len, 1, period_ms,
						   bytes_per_s, 2 };
		plan = pe_change_plan(&budget);
		pe_change_choose(&change, sums, &plan, now, out);
		sent_bytes += 2 * PE_DATAGRAM_BYTES + 16 * out->len;
		send(out);
		g_array_free(sums, TRUE);
		g_array_free(out, TRUE);
		now += plan.period_ms;
		pe_zone_expire(&zone, now);
	}

	// The receiver's idea of the sum less the truth, over all upstreams.
	uint32_t wrong()
	{
		GArray *list = g_array_new(FALSE, FALSE, sizeof(pe_share));
		std::map<uint64_t, pe_share> known;
		uint32_t count = 0;

		pe_zone_list_all(&zone, list);
		for (uint32_t i = 0; i < list->len; i++) {
			auto s = g_array_index(list, pe_share, i);

			known[s.engine] = s;
		}
		g_array_free(list, TRUE);
		for (const auto &t : truth) {
			auto k = known[t.first];

			count += k.running != t.second.running ||
				 k.tokens != t.second.tokens;
		}
		return count;
	}

      private:
	void send(const GArray *out)
	{
		std::vector<pe_share> shares;

		for (uint32_t i = 0; i < out->len; i++)
			shares.push_back(g_array_index(out, pe_share, i));
		sequence++;
		if (!happens(lost))
			waiting.push_back({ sequence, shares });
		if (happens(doubled))
			waiting.push_back({ sequence, shares });
		if (happens(late) && waiting.size() < 4)
			return;
		std::shuffle(waiting.begin(), waiting.end(), random);
		for (const auto &w : waiting)
			deliver(w.first, w.second);
		waiting.clear();
	}

	void deliver(uint64_t at, const std::vector<pe_share> &shares)
	{
		struct pe_zone_changes changes = { 5,
						   at,
						   plan.period_ms,
						   plan.turn_ms,
						   shares.data(),
						   uint32_t(shares.size()) };

		pe_zone_add_changes(&zone, 9, &changes, now);
	}
};

TEST(ChangeLink, ReceiverCatchesUpWithinTwoSeconds)
{
	static const struct {
		const char *what;
		uint32_t upstreams;
		double lost, doubled, late;
	} cases[] = {
		{ "all arrive", 600, 0, 0, 0 },
		{ "doubled and out of order", 600, 0, 0.2, 0.5 },
		{ "few upstreams", 12, 0, 0.1, 0.2 },
		{ "1,000 upstreams", 1000, 0, 0.1, 0.2 },
	};

	for (const auto &c : cases) {
		Link link;

		link.lost = c.lost;
		link.doubled = c.doubled;
		link.late = c.late;
		link.alter(c.upstreams, c.upstreams);
		for (int i = 0; i < 50; i++) {
			link.alter(c.upstreams, 20);
			link.step();
		}
		link.late = 0;
		for (int64_t until = link.now + 2000; link.now < until;)
			link.step();
		EXPECT_EQ(link.wrong(), 0u) << c.what;
	}
}

// What was lost is repeated within 2 s, up to 1,000 upstreams.
TEST(ChangeLink, LostMessagesAreMadeUpFor)
{
	for (uint32_t upstreams : { 12, 300, 1000 }) {
		Link link;

		link.alter(upstreams, upstreams);
		for (int i = 0; i < 40; i++)
			link.step();
		link.lost = 1;
		link.alter(upstreams, 20);
		for (int i = 0; i < 3; i++)
			link.step();
		link.lost = 0;
		for (int64_t until = link.now + 2000; link.now < until;)
			link.step();
		EXPECT_EQ(link.wrong(), 0u) << upstreams;
	}
}

// A zero that was lost in all its repetitions must not stay for ever.
TEST(ChangeLink, LoadThatIsNoLongerRepeatedIsDropped)
{
	Link link;

	link.alter(10, 100);
	for (int i = 0; i < 30; i++)
		link.step();
	link.lost = 1;
	for (auto &t : link.truth)
		t.second = { t.first, 0, 0 };
	/* The sender stays in touch by messages about another upstream. */
	for (int i = 0; i < 60; i++) {
		link.truth[99] = { 99, uint32_t(i + 1), 0 };
		link.lost = i % 2;
		if (i < 40)
			link.lost = 1;
		link.step();
	}
	link.lost = 0;
	for (int i = 0; i < 60; i++)
		link.step();
	EXPECT_EQ(link.wrong(), 0u);
}

// Sums in full took 28,800 bytes and more a second for 100 upstreams.
TEST(ChangeLink, UnchangedLoadCostsAFractionOfSumsInFull)
{
	for (uint32_t upstreams : { 12, 300, 600, 1000, 3000 }) {
		Link link;

		link.alter(upstreams, upstreams);
		for (int i = 0; i < 100; i++)
			link.step();
		uint64_t before = link.sent_bytes;
		for (int i = 0; i < 100; i++)
			link.step();
		uint64_t per_s = (link.sent_bytes - before) / 10;
		uint64_t in_full =
			10 * (16 * upstreams + 200 * (upstreams / 44 + 1));

		EXPECT_LE(per_s, std::max<uint64_t>(in_full / 4, 8000))
			<< upstreams;
		EXPECT_LE(per_s, 17000u) << upstreams;
	}
}

class Member : public testing::Test
{
      protected:
	struct pe_zone zone;
	uint64_t sequence = 0;

	void SetUp() override
	{
		pe_zone_init(&zone);
	}

	void TearDown() override
	{
		pe_zone_finish(&zone);
	}

	void sum(uint64_t sender, uint32_t running, int64_t now_ms)
	{
		struct pe_share share = { 7, running, 0 };
		struct pe_zone_changes changes = { sender, ++sequence, 100,
						   1500,   &share,     1 };

		pe_zone_add_changes(&zone, 0, &changes, now_ms);
	}

	void report(uint32_t running, int64_t now_ms)
	{
		struct pe_share share = { 7, running, 0 };

		pe_zone_note_own(&zone, &share, 1, now_ms);
	}

	int64_t others(int64_t now_ms)
	{
		struct pe_share share;

		return pe_zone_others(&zone, 7, now_ms, &share)
			       ? (int64_t)share.running
			       : -1;
	}
};

TEST_F(Member, DoesNotTakeItsOwnLoadForThatOfOthers)
{
	report(2, 1000);
	sum(21, 5, 1050);
	report(9, 1095);
	sum(21, 5, 1100); // the last report cannot be part of it
	for (int64_t now = 1100; now <= 3000; now += 100)
		sum(21, 5, now);
	EXPECT_EQ(others(3000), 0);
	report(1, 3000);
	sum(21, 5, 3050);
	EXPECT_EQ(others(3050), 4);
}

// Upstreams of which nothing was heard yet would count as idle.
TEST_F(Member, UsesSumsAfterAWholeTurn)
{
	sum(21, 5, 1000);
	EXPECT_EQ(others(1000), -1);
	for (int64_t now = 1100; now <= 2400; now += 100)
		sum(21, 5, now);
	EXPECT_EQ(others(2400), -1);
	sum(21, 5, 2500);
	EXPECT_EQ(others(2500), 5);
}

// The next collector sends changes only, too.
TEST_F(Member, KeepsSumsWhenTheCollectorIsReplaced)
{
	for (int64_t now = 1000; now <= 3000; now += 100)
		sum(21, 5, now);
	EXPECT_EQ(others(3000), 5);
	sequence = 0;
	sum(22, 6, 3100);
	EXPECT_EQ(others(3100), 5);
	sum(22, 6, 4000);
	EXPECT_EQ(others(4000), 6);
	EXPECT_EQ(others(5000), -1);
}

// The standby is sent the sums of other zones once a second. It would place by
// them although the collector sends it fresher ones.
TEST_F(Member, StandbyUsesSumsOfTheCollectorWhileTheyAreFresh)
{
	struct pe_share old = { 7, 1, 0 };
	struct pe_zone_changes zone_sums = { 31, 1, 1000, 1500, &old, 1 };

	pe_zone_set_collecting(&zone, true, 1000);
	for (int64_t now = 1000; now <= 3000; now += 100)
		sum(21, 5, now);
	pe_zone_add_changes(&zone, 9, &zone_sums, 3000);
	EXPECT_EQ(others(3000), 5);
	EXPECT_EQ(others(3600), 1) << "it has taken over";
}

// Load: as in zone_test.cc, 96 hosts in three zones place 230 prompts a second
// on 29 engines, each of which reads a prompt in 100 ms; but collectors send
// changes, and lose one message of fifty.
class ChangeReplay
{
      public:
	static constexpr int hosts = 96, zones = 3, engines = 29;

	std::vector<int64_t> waits_ms;
	bool is_in_full;

	explicit ChangeReplay(bool in_full) : is_in_full(in_full)
	{
		for (auto &m : members)
			pe_zone_init(&m);
		for (auto &c : collectors)
			pe_zone_init(&c);
		for (auto &c : to_members)
			pe_change_init(&c);
		for (auto &c : to_zones)
			pe_change_init(&c);
	}

	~ChangeReplay()
	{
		for (auto &m : members)
			pe_zone_finish(&m);
		for (auto &c : collectors)
			pe_zone_finish(&c);
		for (auto &c : to_members)
			pe_change_finish(&c);
		for (auto &c : to_zones)
			pe_change_finish(&c);
	}

	void play(int64_t until_ms)
	{
		for (now = 1000; now < 1000 + until_ms; now++) {
			end_jobs();
			for (int h = 0; h < hosts; h++)
				if ((now + h * 7) % 100 == 0)
					report(h);
			for (int z = 0; z < zones; z++) {
				if ((now + z * 31) % 100 == 10)
					tell_zones(z);
				if ((now + z * 31) % 100 == 60)
					tell_members(z);
			}
			if (random() % 1000 < 230)
				place(int(random() % hosts));
		}
	}

	int64_t worst_tenth_ms()
	{
		std::sort(waits_ms.begin(), waits_ms.end());
		return waits_ms[waits_ms.size() * 9 / 10];
	}

      private:
	struct Job {
		int host, engine;
		int64_t end_ms;
	};

	std::mt19937 random{ 1 };
	int64_t now = 0;
	uint64_t sequence = 0;
	std::vector<Job> jobs;
	int64_t free_ms[engines] = {};
	struct pe_zone members[hosts], collectors[zones];
	struct pe_change to_members[zones], to_zones[zones];

	void end_jobs()
	{
		jobs.erase(std::remove_if(jobs.begin(), jobs.end(),
					  [&](const Job &j) {
						  return j.end_ms <= now;
					  }),
			   jobs.end());
	}

	void report(int h)
	{
		std::map<int, uint32_t> load;
		std::vector<pe_share> shares;

		for (const Job &j : jobs)
			if (j.host == h)
				load[j.engine]++;
		for (const auto &l : load)
			shares.push_back(
				{ uint64_t(l.first) + 1, l.second, 0 });
		pe_zone_note_own(&members[h], shares.data(), shares.size(),
				 now);
		pe_zone_add_member(&collectors[h % zones], 100 + h, ++sequence,
				   shares.data(), shares.size(), now);
	}

	void tell(struct pe_change *change, GArray *sums, uint64_t zone,
		  const std::vector<struct pe_zone *> &receivers, uint64_t from)
	{
		struct pe_change_budget budget = { sums->len, 6, 100, 70000,
						   1 };
		struct pe_change_plan plan = pe_change_plan(&budget);
		GArray *out = g_array_new(FALSE, FALSE, sizeof(pe_share));

		pe_change_choose(change, sums, &plan, now, out);
		struct pe_zone_changes changes = {
			from,
			++sequence,
			100,
			plan.turn_ms,
			(const struct pe_share *)(void *)out->data,
			out->len
		};
		for (auto *r : receivers)
			if (random() % 50)
				pe_zone_add_changes(r, zone, &changes, now);
		g_array_free(out, TRUE);
		g_array_free(sums, TRUE);
	}

	void send_in_full(struct pe_zone *to, uint64_t zone, const GArray *sums,
			  uint64_t from)
	{
		struct pe_zone_part part = {
			from,	  ++sequence,
			0,	  1,
			100,	  (const struct pe_share *)(void *)sums->data,
			sums->len
		};

		pe_zone_add_sums(to, zone, &part, now);
	}

	void tell_in_full(int h, GArray *sums)
	{
		g_array_set_size(sums, 0);
		pe_zone_list_for_member(&collectors[h % zones], 100 + h, sums);
		if (random() % 50)
			send_in_full(&members[h], 0, sums, h % zones + 1);
	}

	void tell_zones(int z)
	{
		GArray *sums = g_array_new(FALSE, FALSE, sizeof(pe_share));
		std::vector<struct pe_zone *> receivers;

		for (int other = 0; other < zones; other++)
			if (other != z)
				receivers.push_back(&collectors[other]);
		pe_zone_list_own(&collectors[z], sums);
		if (!is_in_full) {
			tell(&to_zones[z], sums, z + 1, receivers, z + 1);
			return;
		}
		for (auto *r : receivers)
			if (random() % 50)
				send_in_full(r, z + 1, sums, z + 1);
		g_array_free(sums, TRUE);
	}

	void tell_members(int z)
	{
		GArray *sums = g_array_new(FALSE, FALSE, sizeof(pe_share));
		std::vector<struct pe_zone *> receivers;

		for (int h = z; h < hosts; h += zones)
			receivers.push_back(&members[h]);
		pe_zone_expire(&collectors[z], now);
		if (is_in_full) {
			for (int h = z; h < hosts; h += zones)
				tell_in_full(h, sums);
			g_array_free(sums, TRUE);
			return;
		}
		pe_zone_list_all(&collectors[z], sums);
		tell(&to_members[z], sums, 0, receivers, z + 1);
	}

	void place(int host)
	{
		int best = 0;
		double best_cost = 1e9;

		for (int e = 0; e < engines; e++) {
			struct pe_share others = {};

			pe_zone_others(&members[host], e + 1, now, &others);
			double cost = others.running + random() % 100 / 100.0;

			for (const Job &j : jobs)
				cost += j.host == host && j.engine == e;
			if (cost < best_cost) {
				best_cost = cost;
				best = e;
			}
		}
		free_ms[best] = std::max(free_ms[best], now) + 100;
		jobs.push_back({ host, best, free_ms[best] });
		/* Sums are used after a first turn. */
		if (now > 4000)
			waits_ms.push_back(free_ms[best] - now);
	}
};

// Messages of changes must not let hosts herd more than sums in full did, with
// the same delays and losses.
TEST(ChangeReplayTest, HostsChooseAsWellAsWithSumsInFull)
{
	ChangeReplay changes(false), in_full(true);

	changes.play(13000);
	in_full.play(13000);
	EXPECT_LE(changes.worst_tenth_ms(), in_full.worst_tenth_ms() * 1.1);
}

TEST(Report, FirstHostsOfAZoneAreOnDuty)
{
	static const struct {
		const char *what;
		std::vector<pe_report_host> hosts;
		std::vector<bool> on_duty;
	} cases[] = {
		{ "alone", { { 9, 1, true, true } }, { true } },
		{ "lowest hashes",
		  { { 9, 1, true, true },
		    { 1, 1, true, true },
		    { 2, 1, true, true },
		    { 3, 1, true, true } },
		  { false, true, true, true } },
		{ "dead hosts have no duty",
		  { { 9, 1, true, true },
		    { 1, 1, false, true },
		    { 2, 1, true, true },
		    { 3, 1, true, true } },
		  { true, false, true, true } },
		{ "those that take part, too",
		  { { 9, 1, true, true },
		    { 1, 1, true, false },
		    { 2, 1, true, false },
		    { 3, 1, true, false },
		    { 4, 1, true, false } },
		  { true, true, true, true, false } },
		{ "each zone",
		  { { 9, 2, true, true },
		    { 1, 1, true, true },
		    { 2, 1, true, true },
		    { 3, 1, true, true },
		    { 4, 1, true, true } },
		  { true, true, true, true, false } },
	};

	for (const auto &c : cases) {
		bool on_duty[8] = {};

		pe_report_duty(c.hosts.data(), c.hosts.size(), on_duty);
		EXPECT_EQ(std::vector<bool>(on_duty, on_duty + c.hosts.size()),
			  c.on_duty)
			<< c.what;
	}
}

// Direct reports were most of the messages: each host sent 440 KB a second at
// 100 hosts, and a reader was replaced after up to 20 s at 300.
TEST(Report, MessagesOfAHostAreBoundedAndAReaderIsReplacedSoon)
{
	static const struct {
		uint32_t zones, hosts;
		double messages_per_s, between_zones_per_s;
	} cases[] = {
		{ 3, 18, 25, 17 },  { 3, 71, 40, 17 },	{ 3, 86, 45, 17 },
		{ 6, 100, 55, 40 }, { 6, 300, 75, 45 }, { 6, 1000, 160, 70 },
	};
	const struct pe_report_pair duty = { true, false, true },
				    zone = { false, true, false },
				    other = { false, false, true },
				    unlisted = { false, false, false };

	EXPECT_LE(1000 + 2 * pe_report_expected_ms(&duty, 500), 2000);
	EXPECT_LE(1000 + 2 * pe_report_expected_ms(&duty, 700), 2000);
	EXPECT_GE(pe_report_expected_ms(&duty, 3000), PE_LIST_PERIOD_MS);
	EXPECT_EQ(pe_report_expected_ms(&other, 100), PE_LIST_PERIOD_MS);
	EXPECT_EQ(pe_report_expected_ms(&unlisted, 100), PE_OTHER_PERIOD_MS);
	EXPECT_EQ(pe_report_period_ms(&unlisted), PE_OTHER_PERIOD_MS);
	for (const auto &c : cases) {
		double members = double(c.hosts) / c.zones - 1;
		double others = c.hosts - 1 - members;
		double on_duty = double(c.zones - 1) * PE_DUTY_HOSTS;
		double between = others * 1000 / pe_report_period_ms(&other) +
				 on_duty * 1000 / pe_report_period_ms(&duty);

		EXPECT_LE(between + members * 1000 / pe_report_period_ms(&zone),
			  c.messages_per_s)
			<< c.hosts;
		EXPECT_LE(between, c.between_zones_per_s) << c.hosts;
	}
}

// All hosts of a zone whose lists end would report at the same moment.
TEST(Report, DirectReportsBeginAgainSpreadOverTime)
{
	uint32_t listed = 0;

	EXPECT_TRUE(pe_report_is_listed(5900, 0));
	EXPECT_FALSE(pe_report_is_listed(6000, 0));
	for (uint64_t host = 0; host < 3000; host++)
		listed += pe_report_is_listed(7500, host * 7);
	EXPECT_NEAR(listed, 1500, 100);
	EXPECT_FALSE(pe_report_is_listed(9000, 2999));
}

TEST(Report, AZoneIsSilentOnceItsFrequentHostsAre)
{
	EXPECT_FALSE(pe_report_zone_is_silent(1900, 500));
	EXPECT_TRUE(pe_report_zone_is_silent(2100, 500));
	EXPECT_FALSE(pe_report_zone_is_silent(2100, 3000));
}

} // namespace
