// Shares of the limit of a team over all entries.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "limits/lm_share.h"
}
#include "limits_fixture.h"

namespace
{

struct ShareCase {
	const char *what;
	uint32_t limit;
	std::vector<struct lm_share_entry> entries;
	std::vector<uint32_t> shares;
};

TEST(Share, FollowsDemandAboveTheMinimum)
{
	const ShareCase cases[] = {
		{ "one entry", 64, { { 5, 5, false, false } }, { 64 } },
		{ "no demand",
		  9,
		  { { 0, 0, false, false },
		    { 0, 0, false, false },
		    { 0, 0, false, false } },
		  { 3, 3, 3 } },
		{ "one entry has all the demand",
		  12,
		  { { 99, 0, false, false },
		    { 0, 0, false, false },
		    { 0, 0, false, false } },
		  { 8, 2, 2 } },
		{ "two entries have equal demand",
		  12,
		  { { 50, 0, false, false },
		    { 50, 0, false, false },
		    { 0, 0, false, false } },
		  { 5, 5, 2 } },
		{ "a silent entry is assumed to use an equal share",
		  12,
		  { { 99, 0, false, false },
		    { 0, 0, true, false },
		    { 0, 0, false, false } },
		  { 6, 4, 2 } },
		{ "the entry receives no reports",
		  12,
		  { { 99, 0, false, false },
		    { 0, 0, true, false },
		    { 0, 0, true, false } },
		  { 4, 4, 4 } },
		{ "others still run more than their share",
		  12,
		  { { 99, 0, false, false },
		    { 99, 9, false, false },
		    { 0, 0, false, false } },
		  { 3, 5, 2 } },
	};

	for (const ShareCase &c : cases) {
		for (size_t i = 0; i < c.entries.size(); i++) {
			auto seen = c.entries;

			/* An entry always knows its own usage. */
			seen[i].is_self = true;
			seen[i].is_silent = false;
			if (c.entries[i].is_silent) {
				for (size_t j = 0; j < seen.size(); j++)
					seen[j].is_silent = j != i;
			}
			EXPECT_EQ(lm_share_compute(c.limit, seen.data(),
						   (uint32_t)seen.size()),
				  c.shares[i])
				<< c.what << ", entry " << i;
		}
	}
}

TEST(Share, EqualReportsNeverExceedTheLimit)
{
	std::mt19937 random(1);

	for (int round = 0; round < 3000; round++) {
		uint32_t count = 1 + random() % 40;
		uint32_t limit = 1 + random() % 200;
		std::vector<struct lm_share_entry> entries(count);
		uint64_t sum = 0;

		for (auto &e : entries) {
			e.demand = random() % 3 ? random() % 60 : 0;
			e.running = 0;
		}
		for (uint32_t i = 0; i < count; i++) {
			entries[i].is_self = true;
			sum += lm_share_compute(limit, entries.data(), count);
			entries[i].is_self = false;
		}
		if (limit >= count) {
			EXPECT_EQ(sum, limit);
		}
		EXPECT_LE(sum, limit + count);
	}
}

// Entries that exchange reports every LM_REPORT_INTERVAL_MS and run requests
// of a given duration.
struct Cluster {
	std::vector<std::unique_ptr<Limits>> entries;
	std::vector<bool> drops_incoming, drops_outgoing;
	std::multimap<int64_t, std::pair<size_t, uint64_t>> ends;
	std::vector<std::map<uint64_t, int64_t>> waiting;
	int64_t now_ms = 1000000;
	uint32_t max_running = 0;

	explicit Cluster(size_t count)
	    : drops_incoming(count), drops_outgoing(count), waiting(count)
	{
		std::vector<uint64_t> ids;

		for (size_t i = 0; i < count; i++)
			ids.push_back(100 + i);
		for (size_t i = 0; i < count; i++) {
			struct lm_desc desc = {};

			desc.self = ids[i];
			entries.push_back(std::make_unique<Limits>(desc));
			lm_set_entries(&entries[i]->lm, ids.data(), count,
				       now_ms);
		}
	}
	uint32_t running()
	{
		uint32_t sum = 0;

		for (auto &e : entries)
			sum += e->lm.running;
		return sum;
	}
	void exchange()
	{
		for (size_t i = 0; i < entries.size(); i++) {
			struct lm_usage usage[32];
			uint32_t n =
				lm_report(&entries[i]->lm, usage, 32, now_ms);

			for (size_t j = 0; j < entries.size(); j++) {
				if (i != j && !drops_outgoing[i] &&
				    !drops_incoming[j])
					lm_peer_report(&entries[j]->lm, 100 + i,
						       usage, n, 40, now_ms);
			}
		}
	}
	void run(size_t entry, uint64_t id, int64_t duration_ms)
	{
		ends.emplace(now_ms + duration_ms, std::make_pair(entry, id));
	}
	void step(const std::vector<int> &arrivals, uint32_t limit,
		  int64_t duration_ms)
	{
		now_ms += LM_TICK_MS;
		if (now_ms % LM_REPORT_INTERVAL_MS == 0)
			exchange();
		while (!ends.empty() && ends.begin()->first <= now_ms) {
			auto [entry, id] = ends.begin()->second;

			lm_done(&entries[entry]->lm, id, now_ms);
			ends.erase(ends.begin());
		}
		for (size_t i = 0; i < entries.size(); i++) {
			for (int k = 0; k < arrivals[i]; k++) {
				if (entries[i]
					    ->admit(7, CM_NORMAL, now_ms, limit)
					    .verdict == LM_RUN)
					run(i, entries[i]->last_id,
					    duration_ms);
			}
			for (auto &next : entries[i]->collect(now_ms)) {
				if (next.answer.verdict == LM_RUN)
					run(i, next.id, duration_ms);
			}
		}
		max_running = std::max(max_running, running());
	}
};

struct OvershootCase {
	const char *what;
	uint32_t limit;
	bool drops_outgoing, drops_incoming;
	int bursts;
	uint32_t max_running, max_running_at_end;
};

// One entry stops sending reports, receiving them, or both while all are under
// load: the limit is exceeded by no more than stated, and the lost part of the
// limit is distributed again.
TEST(Share, OvershootIsBoundedWhenAPeerGoesSilent)
{
	const OvershootCase cases[] = {
		{ "all entries exchange reports", 90, false, false, 9, 90, 90 },
		{ "one entry has all the load", 90, false, false, 1, 90, 90 },
		{ "one entry sends no reports", 90, true, false, 9, 100, 100 },
		{ "one entry receives no reports", 90, false, true, 9, 100,
		  100 },
		{ "one entry is cut off", 90, true, true, 9, 100, 100 },
		{ "one entry is cut off with all the load", 90, true, true, 1,
		  100, 100 },
		{ "limit below the number of entries", 4, false, false, 9, 9,
		  9 },
	};

	for (const OvershootCase &c : cases) {
		Cluster cluster(9);
		std::vector<int> arrivals(9);

		for (int i = 0; i < c.bursts; i++)
			arrivals[i] = 3;
		for (int i = 0; i < 200; i++)
			cluster.step(arrivals, c.limit, 700);
		cluster.drops_outgoing[0] = c.drops_outgoing;
		cluster.drops_incoming[0] = c.drops_incoming;
		for (int i = 0; i < 200; i++)
			cluster.step(arrivals, c.limit, 700);
		EXPECT_LE(cluster.max_running, c.max_running) << c.what;
		EXPECT_LE(cluster.running(), c.max_running_at_end) << c.what;
		/* The limit must not be kept by running almost nothing. */
		EXPECT_GE(cluster.running(),
			  c.bursts == 1 ? c.limit / 10 : c.limit * 8 / 10)
			<< c.what;
	}
}

// Demand changes at every entry while requests outlast many reports. Running
// requests above a share that has shrunk are not cancelled, so the overshoot
// must stay bounded.
TEST(Share, ChangingDemandStaysWithinABound)
{
	struct {
		uint32_t limit;
		int64_t duration_ms;
		uint32_t max_running;
	} loads[] = {
		{ 4, 1500, 4 + 9 }, { 30, 1500, 37 },	{ 90, 300, 100 },
		{ 90, 6000, 112 },  { 300, 1500, 330 },
	};

	for (auto &c : loads) {
		std::mt19937 random(1);
		Cluster cluster(9);
		std::vector<int> arrivals(9);
		uint64_t sum = 0;

		for (int i = 0; i < 1500; i++) {
			for (int &a : arrivals) {
				uint32_t burst = random() % (c.limit / 8 + 2);

				if (random() % 20 == 0)
					a = random() % 2 ? (int)burst : 0;
			}
			cluster.step(arrivals, c.limit, c.duration_ms);
			sum += cluster.running();
		}
		EXPECT_LE(cluster.max_running, c.max_running) << c.limit;
		EXPECT_GE(sum / 1500, c.limit * 8 / 10) << c.limit;
	}
}

TEST(Share, IdleEntryLendsItsShareAndRegainsItAtOnce)
{
	Cluster cluster(9);
	std::vector<int> single_load(9), even_load(9, 3);

	single_load[4] = 9;
	for (int i = 0; i < 100; i++)
		cluster.step(single_load, 90, 500);
	EXPECT_GE(cluster.entries[4]->lm.running, 45u);
	cluster.step(even_load, 90, 500);
	for (auto &e : cluster.entries)
		EXPECT_GE(e->lm.running, 3u);
	EXPECT_LE(cluster.running(), 90u);
}

} // namespace
