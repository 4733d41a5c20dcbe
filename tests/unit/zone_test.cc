// Load of all hosts, summed by the collectors of the zones.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "peers/pe_zone.h"
}

namespace
{

class Zone : public testing::Test
{
      protected:
	struct pe_zone zone;
	GArray *list;

	void SetUp() override
	{
		pe_zone_init(&zone);
		list = g_array_new(FALSE, FALSE, sizeof(struct pe_share));
	}

	void TearDown() override
	{
		pe_zone_finish(&zone);
		g_array_free(list, TRUE);
	}

	void member(uint64_t host, uint64_t sequence, uint32_t running,
		    int64_t now_ms = 0)
	{
		struct pe_share share = { 7, running, running * 100 };

		pe_zone_add_member(&zone, host, sequence, &share, 1, now_ms);
	}

	void sums(uint64_t other, uint64_t sender, uint64_t sequence,
		  uint32_t running, int64_t now_ms, uint32_t part = 0,
		  uint32_t parts = 1, uint64_t engine = 7)
	{
		struct pe_share share = { engine, running, running * 100 };
		struct pe_zone_part p = { sender, sequence, part, parts,
					  100,	  &share,   1 };

		pe_zone_add_sums(&zone, other, &p, now_ms);
	}

	// Requests at @engine; -1 if there are no recent sums.
	int64_t others(int64_t now_ms, uint64_t engine = 7)
	{
		struct pe_share share;

		return pe_zone_others(&zone, engine, now_ms, &share)
			       ? (int64_t)share.running
			       : -1;
	}

	uint32_t listed(uint64_t host)
	{
		uint32_t running = 0;

		g_array_set_size(list, 0);
		if (host)
			pe_zone_list_for_member(&zone, host, list);
		else
			pe_zone_list_own(&zone, list);
		for (uint32_t i = 0; i < list->len; i++)
			running +=
				g_array_index(list, struct pe_share, i).running;
		return running;
	}
};

TEST(Collectors, AreTheUsableHostsOfTheZoneWithTheLowestHashes)
{
	static const struct {
		std::vector<pe_zone_host> hosts;
		std::vector<uint32_t> chosen;
	} cases[] = {
		{ {}, {} },
		{ { { 9, 1, true } }, { 0 } },
		{ { { 9, 1, false } }, {} },
		{ { { 9, 1, true }, { 4, 1, true }, { 5, 1, true } },
		  { 1, 2 } },
		{ { { 9, 1, true }, { 4, 2, true }, { 5, 1, true } },
		  { 2, 0 } },
		{ { { 9, 1, true }, { 4, 1, false }, { 5, 1, true } },
		  { 2, 0 } },
	};

	for (const auto &c : cases) {
		uint32_t indexes[PE_COLLECTORS];
		uint32_t count = pe_zone_collectors(c.hosts.data(),
						    c.hosts.size(), 1, indexes);

		EXPECT_EQ(std::vector<uint32_t>(indexes, indexes + count),
			  c.chosen);
	}
}

// A collector of 72 members and 600 engines sends a sum each second: members
// must not replace it in between.
TEST(Collectors, SilenceIsCountedInPeriodsOfTheCollector)
{
	static const struct {
		int64_t silent_ms, report_ms, sums_ms;
		bool is_silent;
	} cases[] = {
		{ 400, 100, 0, false },	    { 600, 100, 0, true },
		{ 600, 100, 100, true },    { 600, 100, 1008, false },
		{ 4000, 100, 1008, false }, { 5100, 100, 1008, true },
		{ 900, 200, 100, false },
	};

	for (const auto &c : cases)
		EXPECT_EQ(
			pe_zone_is_silent(c.silent_ms, c.report_ms, c.sums_ms),
			c.is_silent)
			<< c.silent_ms << " " << c.sums_ms;
}

TEST_F(Zone, MemberIsToldOfAllHostsButItself)
{
	member(PE_SELF, 1, 1);
	member(11, 1, 2);
	member(12, 1, 4);
	sums(2, 21, 1, 8, 0);
	EXPECT_EQ(listed(11), 13u);
	EXPECT_EQ(listed(12), 11u);
	EXPECT_EQ(listed(0), 7u);
	member(12, 2, 1);
	EXPECT_EQ(listed(11), 10u);
}

TEST_F(Zone, CollectorUsesReportsOnceAllMembersHadTimeToReport)
{
	member(PE_SELF, 1, 1);
	member(11, 1, 2);
	pe_zone_set_collecting(&zone, true, 1000);
	EXPECT_EQ(others(1100), -1);
	EXPECT_FALSE(pe_zone_may_send(&zone, 1100));
	EXPECT_TRUE(pe_zone_may_send(&zone, 1500));
	EXPECT_EQ(others(1500), 2);
	pe_zone_set_collecting(&zone, false, 1600);
	EXPECT_EQ(others(1600), -1);
}

TEST_F(Zone, SumsAreUsedWhileTheyAreRecent)
{
	EXPECT_EQ(others(0), -1);
	sums(0, 21, 1, 5, 1000);
	EXPECT_EQ(others(1400), 5);
	EXPECT_EQ(others(1600), -1);
	sums(0, 21, 2, 0, 1700);
	EXPECT_EQ(others(1700), 0);
}

TEST_F(Zone, IncompleteAndReorderedSumsAreNotUsed)
{
	sums(0, 21, 5, 3, 1000, 0, 2);
	EXPECT_EQ(others(1000), -1);
	sums(0, 21, 5, 4, 1000, 1, 2, 8);
	EXPECT_EQ(others(1000), 3);
	EXPECT_EQ(others(1000, 8), 4);
	sums(0, 21, 6, 9, 1100, 1, 2);
	EXPECT_EQ(others(1100), 3);
	sums(0, 21, 4, 9, 1100);
	EXPECT_EQ(others(1100), 3);
}

// Two hosts of another zone both act as its collector for a moment: the load of
// that zone must not count twice.
TEST_F(Zone, OnlyOneSenderCountsForAZone)
{
	member(PE_SELF, 1, 0);
	sums(2, 21, 1, 5, 1000);
	sums(2, 22, 1, 5, 1050);
	EXPECT_EQ(listed(11), 5u);
	sums(2, 22, 2, 6, 1900);
	EXPECT_EQ(listed(11), 6u);
}

TEST_F(Zone, SilentMembersAndZonesAreDropped)
{
	member(11, 1, 2, 1000);
	sums(2, 21, 1, 5, 2000);
	pe_zone_expire(&zone, 2600);
	EXPECT_EQ(listed(12), 5u);
	pe_zone_expire(&zone, 3600);
	EXPECT_EQ(listed(12), 0u);
}

// Load: 96 hosts in three zones place 230 prompts a second on the 29 engines
// that a roll-out and a loss have left. An engine reads a prompt in 100 ms. All
// hosts choose the engine with the fewest unread prompts that they know of.
class Replay
{
      public:
	static constexpr int hosts = 96, zones = 3, engines = 29;
	static constexpr int arrivals_per_s = 230, read_ms = 100;

	struct Job {
		int host, engine;
		int64_t end_ms;
	};

	std::vector<Job> jobs;
	std::vector<int64_t> free_ms = std::vector<int64_t>(engines, 0);
	std::vector<int64_t> waits_ms;

	// @period_ms: of the news that each host has of all others.
	void play(int64_t period_ms, int64_t until_ms)
	{
		std::mt19937 random(1);
		std::vector<std::vector<int>> known(
			hosts, std::vector<int>(engines, 0));

		for (int64_t now = 0; now < until_ms; now++) {
			end_jobs(now);
			for (int h = 0; h < hosts; h++)
				if ((now + h * 7) % period_ms == 0)
					known[h] = told(h);
			if (int(random() % 1000) < arrivals_per_s)
				place(random() % hosts, known, now, random);
		}
	}

	double worst_tenth_ms()
	{
		std::sort(waits_ms.begin(), waits_ms.end());
		return waits_ms[waits_ms.size() * 9 / 10];
	}

      private:
	void end_jobs(int64_t now)
	{
		jobs.erase(std::remove_if(jobs.begin(), jobs.end(),
					  [&](const Job &j) {
						  return j.end_ms <= now;
					  }),
			   jobs.end());
	}

	// What a host hears of the others: the collector of its zone sums the
	// members, and the sums of the other zones.
	std::vector<int> told(int host)
	{
		struct pe_zone zone;
		std::vector<int> found(engines, 0);
		std::map<int, std::map<int, uint32_t>> load;
		GArray *list =
			g_array_new(FALSE, FALSE, sizeof(struct pe_share));

		for (const Job &j : jobs)
			load[j.host][j.engine]++;
		pe_zone_init(&zone);
		for (int z = 0; z < zones; z++)
			add_zone(&zone, z, host % zones, load);
		pe_zone_list_for_member(&zone, host + 100, list);
		for (uint32_t i = 0; i < list->len; i++) {
			auto *s = &g_array_index(list, struct pe_share, i);

			found[s->engine - 1] = s->running;
		}
		g_array_free(list, TRUE);
		pe_zone_finish(&zone);
		return found;
	}

	static void add_zone(struct pe_zone *zone, int z, int own,
			     std::map<int, std::map<int, uint32_t>> &load)
	{
		std::map<int, uint32_t> sum;
		std::vector<pe_share> shares;

		for (int h = z; h < hosts; h += zones) {
			shares.clear();
			for (const auto &l : load[h]) {
				shares.push_back(
					{ uint64_t(l.first) + 1, l.second, 0 });
				sum[l.first] += l.second;
			}
			if (z == own)
				pe_zone_add_member(zone, h + 100, 1,
						   shares.data(), shares.size(),
						   0);
		}
		if (z == own)
			return;
		shares.clear();
		for (const auto &l : sum)
			shares.push_back(
				{ uint64_t(l.first) + 1, l.second, 0 });
		struct pe_zone_part part = {
			uint64_t(z) + 1,	1, 0, 1, 100, shares.data(),
			uint32_t(shares.size())
		};
		pe_zone_add_sums(zone, z + 1, &part, 0);
	}

	void place(int host, std::vector<std::vector<int>> &known, int64_t now,
		   std::mt19937 &random)
	{
		int best = 0;
		double best_cost = 1e9;

		for (int e = 0; e < engines; e++) {
			double cost = known[host][e] + random() % 100 / 100.0;

			for (const Job &j : jobs)
				cost += j.host == host && j.engine == e;
			if (cost < best_cost) {
				best_cost = cost;
				best = e;
			}
		}
		free_ms[best] = std::max(free_ms[best], now) + read_ms;
		jobs.push_back({ host, best, free_ms[best] });
		waits_ms.push_back(free_ms[best] - now);
	}
};

TEST(ZoneReplay, RecentSumsKeepPromptsOffTheSameEngines)
{
	Replay replay;

	replay.play(100, 10000);
	// Half of the 800 ms in which callers want the first token.
	EXPECT_LE(replay.worst_tenth_ms(), 400);
}

TEST(ZoneReplay, ReportsAsRareAsBetweenAllHostsDoNot)
{
	Replay replay;

	replay.play(580, 10000);
	EXPECT_GT(replay.worst_tenth_ms(), 400);
}

} // namespace
