// Hosts that are cut off from all upstreams: how they find out, and through
// which other host their requests go.
#include <gtest/gtest.h>

#include <map>
#include <vector>

extern "C" {
#include "peers/pe_reach.h"
#include "peers/pe_via.h"
}

namespace
{

struct ReachStep {
	bool is_heard;
	uint64_t upstream;
	int64_t began_ms; /* of the attempt, or when the byte came */
	int64_t ended_ms;
};

const int64_t silent_ms = PE_REACH_SILENT_MS;

const struct {
	const char *name;
	uint32_t upstreams;
	std::vector<ReachStep> steps;
	bool is_cut_off;
} reach_cases[] = {
	{ "nothing yet", 9, {}, false },
	{ "two of many", 9, { { 0, 1, 10, 20 }, { 0, 2, 10, 20 } }, false },
	{ "three of many, none has ever answered",
	  9,
	  { { 0, 1, 10, 20 }, { 0, 2, 10, 20 }, { 0, 3, 10, 20 } },
	  true },
	{ "one of many, again and again",
	  9,
	  { { 0, 1, 10, 20 },
	    { 0, 1, 20, 30 },
	    { 0, 1, 30, 40 },
	    { 0, 1, 40, 9000 } },
	  false },
	{ "the only one", 1, { { 0, 1, 10, 20 } }, true },
	{ "both of two", 2, { { 0, 1, 10, 20 }, { 0, 2, 10, 20 } }, true },
	{ "another has answered since they began",
	  9,
	  { { 1, 4, 15, 15 },
	    { 0, 1, 10, 900 },
	    { 0, 2, 12, 900 },
	    { 0, 3, 14, 900 } },
	  false },
	{ "another has answered before they began, a while ago",
	  9,
	  { { 1, 4, 5, 5 },
	    { 0, 1, 10, 20 },
	    { 0, 2, 12, 20 },
	    { 0, 3, 14, 5 + silent_ms } },
	  true },
	/* Three engines crash one after the other under the requests of a host
	 * that the others answer. */
	{ "another has answered before they began, just now",
	  9,
	  { { 1, 4, 5, 5 },
	    { 0, 1, 10, 20 },
	    { 0, 2, 12, 20 },
	    { 0, 3, 14, 4 + silent_ms } },
	  false },
	{ "the same, and nothing answers later",
	  9,
	  { { 1, 4, 5, 5 },
	    { 0, 1, 10, 20 },
	    { 0, 2, 12, 20 },
	    { 0, 3, 14, 20 },
	    { 0, 1, 30, 5 + silent_ms } },
	  true },
	{ "another answers in between",
	  9,
	  { { 0, 1, 10, 20 },
	    { 0, 2, 12, 20 },
	    { 1, 4, 13, 13 },
	    { 0, 3, 14, 900 } },
	  false },
	{ "an answer ends it",
	  9,
	  { { 0, 1, 10, 20 },
	    { 0, 2, 10, 20 },
	    { 0, 3, 10, 20 },
	    { 1, 1, 900, 900 } },
	  false },
};

TEST(Reach, HostIsCutOffWhileNoUpstreamSendsAByte)
{
	for (const auto &c : reach_cases) {
		struct pe_reach reach = {};

		for (const ReachStep &s : c.steps) {
			if (s.is_heard)
				pe_reach_heard(&reach, s.began_ms);
			else
				pe_reach_failed(&reach, s.upstream, s.began_ms,
						c.upstreams, s.ended_ms);
		}
		EXPECT_EQ(reach.is_cut_off, c.is_cut_off) << c.name;
	}
}

const uint64_t service = 77, other_service = 78;

class Via : public testing::Test
{
      protected:
	struct pe_via via;
	std::vector<pe_via_host> hosts;
	uint64_t seed = 1;

	void SetUp() override
	{
		pe_via_init(&via);
	}

	void TearDown() override
	{
		pe_via_finish(&via);
	}

	// Zones 1 and 2 are of the own region, 3 of another one; 1 is the own.
	void add(uint64_t hash, uint32_t zone, bool takes_part = true)
	{
		hosts.push_back({ hash, zone, zone - 1, takes_part });
	}

	int64_t choose(int64_t now_ms, uint32_t avoided_zone = 0,
		       uint64_t of = service)
	{
		pe_via_choice choice = {};
		int32_t i;

		choice.hosts = hosts.data();
		choice.count = hosts.size();
		choice.service = of;
		choice.avoided_zone = avoided_zone;
		choice.seed = seed++ * 0x9e3779b97f4a7c15ull;
		i = pe_via_choose(&via, &choice, now_ms);
		return i < 0 ? -1 : (int64_t)hosts[i].hash;
	}
};

TEST_F(Via, NoHostIsChosenOfNone)
{
	EXPECT_EQ(choose(0), -1);
}

TEST_F(Via, NearHostsComeFirst)
{
	add(31, 3);
	EXPECT_EQ(choose(0), 31);
	add(21, 2);
	EXPECT_EQ(choose(0), 21);
	add(11, 1, false);
	EXPECT_EQ(choose(0), 21);
	add(12, 1);
	EXPECT_EQ(choose(0), 12);
	EXPECT_EQ(choose(0, 1), 21);
}

// All callers of a zone went to the same host.
TEST_F(Via, LoadIsSpreadOverHostsThatAreEquallyNear)
{
	for (size_t count : { 2, 8, 60, 299 }) {
		std::map<int64_t, int> chosen;
		const int per_host = 40;

		hosts.clear();
		for (size_t i = 0; i < count; i++)
			add(100 + i, 1);
		for (size_t i = 0; i < count * per_host; i++)
			chosen[choose(0)]++;
		EXPECT_EQ(chosen.size(), count);
		for (const auto &entry : chosen)
			EXPECT_LT(entry.second, 3 * per_host) << count;
	}
}

TEST_F(Via, HostThatRefusesIsLeftAloneForAWhile)
{
	add(11, 1);
	add(21, 2);
	pe_via_refused(&via, 11, service, 1000);
	EXPECT_EQ(choose(1000), 21);
	EXPECT_EQ(choose(1000, 0, other_service), 11);
	EXPECT_EQ(choose(1000 + PE_VIA_PAUSE_MS), 11);
	pe_via_refused(&via, 11, service, 2000);
	EXPECT_EQ(choose(2000 + PE_VIA_PAUSE_MS), 21);
	EXPECT_EQ(choose(2000 + 2 * PE_VIA_PAUSE_MS), 11);
	pe_via_accepted(&via, 11, service);
	pe_via_refused(&via, 11, service, 9000);
	EXPECT_EQ(choose(9000 + PE_VIA_PAUSE_MS), 11);
}

// The upstreams of a service are down: hosts must not ask each other for each
// request.
TEST_F(Via, NobodyIsAskedWhileAllRefuse)
{
	int64_t now_ms = 0;
	int asked = 0;

	for (int i = 0; i < 300; i++)
		add(100 + i, 1 + i % 3);
	for (; now_ms < 20000; now_ms += 10) {
		int64_t host = choose(now_ms);

		if (host < 0)
			continue;
		asked++;
		pe_via_refused(&via, host, service, now_ms);
	}
	EXPECT_LE(asked, PE_VIA_STREAK + 20000 / PE_VIA_PAUSE_MS);
	EXPECT_GE(choose(now_ms, 0, other_service), 0);
	/* One that serves again is found within the longest pause. */
	now_ms += PE_VIA_MAX_PAUSE_MS;
	int64_t host = choose(now_ms);
	ASSERT_GE(host, 0);
	pe_via_accepted(&via, host, service);
	EXPECT_GE(choose(now_ms), 0);
}

// All hosts of the own zone are cut off, too: each request finds one of another
// zone with its second choice, and soon with the first.
TEST_F(Via, HostsOfACutOffZoneAreSkipped)
{
	int failed = 0;

	for (int i = 0; i < 14; i++)
		add(100 + i, 1);
	for (int i = 0; i < 14; i++)
		add(200 + i, 2);
	for (int64_t now_ms = 0; now_ms < 4000; now_ms += 10) {
		int64_t host = choose(now_ms);

		if (host >= 0 && host < 200) {
			pe_via_refused(&via, host, service, now_ms);
			host = choose(now_ms, 1);
		}
		if (host >= 200)
			pe_via_accepted(&via, host, service);
		else
			failed++;
	}
	EXPECT_EQ(failed, 0);
}

} // namespace
