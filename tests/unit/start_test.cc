// From where a host that starts gets its tables.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "peers/pe_start.h"
}

namespace
{

TEST(Start, ReadsOrAsks)
{
	static const struct {
		const char *what;
		struct pe_start_state state;
		enum pe_start_step step;
	} cases[] = {
		{ "alone", { 0, 0, 0, 0, false, 40 }, PE_START_READ },
		{ "first of the region",
		  { 0, 99, 0, 0, false, 40 },
		  PE_START_ASK },
		{ "first of the region, nobody answers",
		  { 140, 99, 0, 0, false, 40 },
		  PE_START_READ },
		{ "first of the region, others are new, too",
		  { 40, 99, 1, 1, false, 40 },
		  PE_START_READ },
		{ "nobody answers in time",
		  { 339, 99, 50, 0, false, 40 },
		  PE_START_ASK },
		{ "nobody answers",
		  { 340, 99, 50, 0, false, 40 },
		  PE_START_READ },
		{ "others are new, too",
		  { 400, 99, 50, 4, false, 40 },
		  PE_START_ASK },
		{ "second round", { 740, 99, 2, 4, false, 40 }, PE_START_READ },
		{ "others never get it",
		  { PE_START_MAX_MS + 40, 99, 50, 90, false, 40 },
		  PE_START_READ },
		{ "the table is on its way",
		  { 9000, 99, 50, 4, true, 40 },
		  PE_START_WAIT },
	};

	for (const auto &c : cases)
		EXPECT_EQ(pe_start_next(&c.state), c.step) << c.what;
}

TEST(Start, RankIsFirstOfEachZoneFirst)
{
	static const struct {
		std::vector<pe_start_host> hosts;
		uint32_t rank;
	} cases[] = {
		{ { { 5, 1, true } }, 0 },
		{ { { 5, 1, true }, { 4, 1, true } }, 1 },
		{ { { 5, 1, true }, { 4, 1, false } }, 0 },
		{ { { 5, 2, true }, { 4, 1, true }, { 3, 1, true } }, 1 },
		{ { { 5, 1, true }, { 4, 1, true }, { 3, 2, true } }, 2 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(pe_start_rank(c.hosts.data(), c.hosts.size()),
			  c.rank);
}

// Load: all hosts of a region lose power at once. Each read of the store takes
// its share of the link that they have in common, 60 Mbit/s; a host sends a
// table to one other at a time with 32 Mbit/s. Rows have some 200 bytes.
class Replay
{
      public:
	struct Host {
		bool has = false, reads = false, copies = false;
		double left_bytes = 0;
		int64_t until_ms = 0, busy_ms = 0, has_ms = 0;
		uint32_t answers = 0;
		int64_t jitter_ms = 0;
	};

	std::vector<Host> hosts;
	uint32_t reads = 0;

	// Returns when the last host has the table; -1 after a minute.
	int64_t play(uint32_t count, uint32_t rows, uint32_t zones, bool asks)
	{
		std::mt19937 random(1);
		double bytes = rows * 200.0;

		hosts.assign(count, {});
		for (auto &h : hosts)
			h.jitter_ms = random() % 50;
		for (int64_t now = 0; now < 60000; now += 20) {
			step(now, bytes, zones, asks, random);
			if (std::all_of(hosts.begin(), hosts.end(),
					[](const Host &h) { return h.has; }))
				return now;
		}
		return -1;
	}

      private:
	void step(int64_t now, double bytes, uint32_t zones, bool asks,
		  std::mt19937 &random)
	{
		uint32_t reading =
			std::count_if(hosts.begin(), hosts.end(),
				      [](const Host &h) { return h.reads; });

		for (uint32_t i = 0; i < hosts.size(); i++) {
			Host &h = hosts[i];

			if (h.reads) {
				h.left_bytes -= 7500.0 * 20 / reading;
				if (h.left_bytes <= 0)
					h.has = true, h.reads = false;
			}
			if (h.copies && now >= h.until_ms)
				h.has = true, h.copies = false;
			if (h.has || h.reads || h.copies)
				continue;
			next(i, now, bytes, zones, asks, random);
		}
	}

	void next(uint32_t i, int64_t now, double bytes, uint32_t zones,
		  bool asks, std::mt19937 &random)
	{
		Host &h = hosts[i];
		/* Hosts are dealt to the zones in turn, so the index is the
		 * rank. */
		struct pe_start_state state = {
			now,   asks ? uint32_t(hosts.size() - 1) : 0,
			i,     h.answers,
			false, h.jitter_ms
		};

		if (pe_start_next(&state) == PE_START_READ) {
			h.reads = true;
			h.left_bytes = bytes;
			reads++;
			return;
		}
		if (now % 40)
			return;
		for (int k = 0; k < 3 && !h.copies; k++) {
			Host &other = hosts[random() % hosts.size()];

			if (!other.has || other.busy_ms > now + 200) {
				h.answers++;
				continue;
			}
			other.busy_ms = std::max(other.busy_ms, now) +
					int64_t(bytes / 4000);
			h.copies = true;
			h.until_ms = other.busy_ms;
		}
	}
};

TEST(StartReplay, AllHostsOfARegionHaveTheTableSoon)
{
	static const struct {
		uint32_t hosts, rows;
		int64_t within_ms;
		uint32_t reads;
	} cases[] = {
		{ 18, 300, 600, 4 },	 { 50, 1000, 1200, 8 },
		{ 75, 3000, 1900, 14 },	 { 150, 3000, 1900, 14 },
		{ 500, 3000, 2500, 20 },
	};

	for (const auto &c : cases) {
		Replay replay;
		int64_t took_ms = replay.play(c.hosts, c.rows, 3, true);

		EXPECT_GE(took_ms, 0) << c.hosts;
		EXPECT_LE(took_ms, c.within_ms) << c.hosts;
		EXPECT_LE(replay.reads, c.reads) << c.hosts;
	}
}

TEST(StartReplay, WithoutAskingTheLinkIsFullForLong)
{
	Replay replay;

	EXPECT_GT(replay.play(150, 3000, 3, false), 10000);
	EXPECT_EQ(replay.reads, 150u);
}

} // namespace
