// Following a table of the store: by calls to the store and by updates from the
// reader of the region, with a store that drops its history.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <unistd.h>

extern "C" {
#include "gateway/gw_watch.h"
#include "kernel/ck.h"
#include "kernel/kn_registry.h"
}

namespace
{

// The pending call of a fake store; the test answers it.
struct Pending {
	bool is_feed = false;
	uint64_t after = 0;
	rw_rows_fn fn = nullptr;
	void *arg = nullptr;
	struct rw_call *call = nullptr;
};

Pending pending;
int calls;
uint64_t store_era;

void start_call(const struct rw_query *query, rw_rows_fn fn, void *arg,
		struct rw_call *call, bool is_feed)
{
	pending = { is_feed, query->after, fn, arg, call };
	call->_call = &pending;
	calls++;
}

enum st_code fake_init(void **impl, const struct rw_desc *desc)
{
	*impl = &pending;
	return ST_OK;
}

void fake_finish(void *impl)
{
}

void fake_get(void *impl, const struct rw_query *query, rw_rows_fn fn,
	      void *arg, struct rw_call *call)
{
	start_call(query, fn, arg, call, false);
}

void fake_feed(void *impl, const struct rw_query *query, rw_rows_fn fn,
	       void *arg, struct rw_call *call)
{
	start_call(query, fn, arg, call, true);
}

void fake_write(void *impl, const struct rw_write *write, rw_write_fn fn,
		void *arg, struct rw_call *call)
{
}

void fake_cancel(void *impl, struct rw_call *call)
{
	pending.fn = nullptr;
}

uint64_t fake_era(const void *impl)
{
	return store_era;
}

const struct rw_ops fake_ops = { fake_init,  fake_finish, fake_get, fake_feed,
				 fake_write, fake_cancel, fake_era };
KN_REGISTER("rows", "scripted", fake_ops)

class Watch : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct rw_store store = {};
	struct gw_watch watch = {};
	bool is_reader = true;
	std::vector<std::string> received_keys;
	int whole_reads = 0;
	int reloads_reported = 0;
	struct gw_table_update last_update = {};
	int64_t retry_max_ms = 1000;
	int losses = 0;

	void SetUp() override
	{
		struct rw_desc store_desc = { loop, "scripted", "" };
		struct gw_watch_desc desc = {};

		ASSERT_EQ(rw_init(&store, &store_desc), ST_OK);
		desc.loop = loop;
		desc.store = &store;
		desc.table = "t";
		desc.wait_ms = 1000;
		desc.is_reader = [](void *arg) {
			return static_cast<Watch *>(arg)->is_reader;
		};
		desc.retry_max_ms = [](void *arg) {
			return static_cast<Watch *>(arg)->retry_max_ms;
		};
		desc.on_rows = [](void *arg, const struct rw_rows *rows,
				  bool is_whole) {
			auto *self = static_cast<Watch *>(arg);

			self->whole_reads += is_whole;
			for (uint32_t i = 0; i < rows->count; i++)
				self->received_keys.push_back(
					rows->rows[i].key);
		};
		desc.on_read = [](void *arg,
				  const struct gw_table_update *update) {
			auto *self = static_cast<Watch *>(arg);

			self->reloads_reported += update->is_reload;
			self->last_update = *update;
		};
		desc.on_lost = [](void *arg, const char *reason) {
			static_cast<Watch *>(arg)->losses++;
		};
		desc.on_regained = [](void *arg, int64_t lost_ms) {};
		desc.arg = this;
		calls = 0;
		store_era = 0;
		gw_watch_start(&watch, &desc);
	}

	void TearDown() override
	{
		gw_watch_stop(&watch);
		ev_loop_destroy(loop);
	}

	void spin(int64_t ms = 5)
	{
		int64_t end_ms = ck_now_ms() + ms;

		while (ck_now_ms() < end_ms) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(500);
		}
	}

	void answer(enum st_code code, uint64_t version, int64_t store_ms,
		    const char *key = nullptr)
	{
		struct rw_row row = { key, "v", 1, version, false };
		struct rw_rows rows = { &row, key ? 1u : 0u, version,
					store_ms };
		Pending p = pending;

		ASSERT_NE(p.fn, nullptr);
		p.call->_call = nullptr;
		p.fn(p.arg, code, &rows);
		spin();
	}

	void receive_update(uint64_t from, uint64_t to, int64_t store_ms,
			    const char *key = nullptr, bool is_reload = false,
			    uint64_t newest = 0)
	{
		struct rw_row row = { key, "v", 1, to, false };
		struct gw_table_update update = {};

		update.from = from;
		update.newest = std::max(newest, to);
		update.is_reload = is_reload;
		update.rows = { &row, key ? 1u : 0u, to, store_ms };
		gw_watch_apply_update(&watch, &update);
	}
};

// A store that is about to drop its history omits changes for a second. The
// version in the feed must not advance past an omitted change.
TEST_F(Watch, EmptyFeedDoesNotAdvanceTheVersion)
{
	answer(ST_OK, 10, 1000, "a");
	EXPECT_TRUE(pending.is_feed);
	EXPECT_EQ(pending.after, 10u);
	/* Version 12 was a change of this table that the feed omits. */
	answer(ST_OK, 12, 2000);
	answer(ST_OK, 13, 3000);
	EXPECT_EQ(pending.after, 10u);
	answer(ST_OK, 14, 4000, "b");
	EXPECT_EQ(pending.after, 14u);
}

TEST_F(Watch, LostHistoryReloadsTheTableAndReportsIt)
{
	answer(ST_OK, 10, 1000, "a");
	answer(ST_STALE, 0, 0);
	EXPECT_FALSE(pending.is_feed);
	answer(ST_OK, 20, 2000, "b");
	EXPECT_EQ(whole_reads, 2);
	EXPECT_EQ(reloads_reported, 1);
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a", "b" }));
}

// A store that has returned from an older copy lacks the known version. A feed
// from there would be refused again and again until it has passed that version.
TEST_F(Watch, FeedGoesOnFromAnOlderVersionAfterAReload)
{
	answer(ST_OK, 30, 1000, "a");
	answer(ST_STALE, 0, 0);
	answer(ST_OK, 20, 500, "b");
	EXPECT_TRUE(pending.is_feed);
	EXPECT_EQ(pending.after, 20u);
	EXPECT_GT(watch.fresh_ms, 0);
	EXPECT_EQ(watch.store_ms, 500);
}

// The version exists again by the time that the feed is read: it stands for
// another write, and rows between the copy and it are never sent.
TEST_F(Watch, AnswerOfAnotherEraReloadsTheTable)
{
	static const struct {
		const char *what;
		bool is_lost;
	} cases[] = { { "in the answer of a feed", false },
		      { "after the store was away", true } };
	uint64_t version = 30;

	store_era = 1;
	answer(ST_OK, version, 1000, "a");
	for (const auto &c : cases) {
		if (c.is_lost) {
			answer(ST_UNAVAILABLE, 0, 0);
			spin(500);
		}
		ASSERT_TRUE(pending.is_feed) << c.what;
		received_keys.clear();
		store_era++;
		answer(ST_OK, version + 1, 1500, "b");
		EXPECT_FALSE(pending.is_feed) << c.what;
		EXPECT_TRUE(received_keys.empty()) << c.what;
		version -= 5;
		answer(ST_OK, version, 1600, "c");
		EXPECT_EQ(pending.after, version) << c.what;
	}
}

// The reader of a store that has returned relays lower versions; its followers
// must not take them for old ones.
TEST_F(Watch, FollowerReloadsWhenItsReaderReadsALowerVersion)
{
	is_reader = false;
	answer(ST_OK, 30, ck_now_ms(), "a");
	int before = calls;
	receive_update(20, 20, ck_now_ms(), nullptr, true);
	EXPECT_EQ(calls, before + 1);
	EXPECT_FALSE(pending.is_feed);
}

// The reader has read the whole table of a store that has returned, and its
// message about that is lost. Versions pass the one that the follower knows of
// the earlier era; rows 21 to 29 of the new one would never be read.
TEST_F(Watch, FollowerThatMissedTheReloadAppliesNoRowsOfAnotherEra)
{
	is_reader = false;
	store_era = 1;
	answer(ST_OK, 30, ck_now_ms(), "a");
	/* Another call, such as that for the lease, has told of the return. */
	store_era = 2;
	int before = calls;
	receive_update(29, 31, ck_now_ms(), "z");
	spin(150);
	EXPECT_EQ(calls, before + 1);
	EXPECT_FALSE(pending.is_feed);
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a" }));
}

// As above, while the reader's rows are older and the store's version is not:
// the follower's rows of the earlier era must not be confirmed as fresh.
TEST_F(Watch, ReaderOfAnotherEraConfirmsNothing)
{
	is_reader = false;
	store_era = 1;
	int64_t start_ms = ck_now_ms();
	answer(ST_OK, 30, start_ms, "a");
	int64_t fresh_ms = watch.fresh_ms;
	store_era = 2;
	spin(50);
	receive_update(22, 22, ck_now_ms(), nullptr, false, 31);
	EXPECT_EQ(watch.fresh_ms, fresh_ms);
}

// A host that could not reach the store, and holds the rows of an earlier era,
// sends its table. The feed would go on from its version, which the store has
// given out again, and omit what was written before it.
TEST_F(Watch, TableOfAnEarlierEraFromAnotherHostIsReadAnew)
{
	store_era = 2;
	answer(ST_OK, 20, ck_now_ms(), "a");
	answer(ST_UNAVAILABLE, 0, 0);
	struct rw_row row = { "of_era_1", "v", 1, 30, false };
	struct rw_rows table = { &row, 1, 30, ck_now_ms() };
	gw_watch_apply_table(&watch, &table);
	spin(500);
	EXPECT_TRUE(!pending.is_feed || pending.after <= 20) << pending.after;
}

// The version of a table from another host, which may be of another era, was
// kept over the whole read that followed: changes in between were missed.
TEST_F(Watch, FeedGoesOnFromTheReadThatFollowsAnotherHostsTable)
{
	store_era = 2;
	answer(ST_OK, 20, ck_now_ms(), "a");
	answer(ST_OK, 20, ck_now_ms(), "a");
	answer(ST_UNAVAILABLE, 0, 0);
	struct rw_row row = { "of_era_1", "v", 1, 30, false };
	struct rw_rows table = { &row, 1, 30, ck_now_ms() };
	gw_watch_apply_table(&watch, &table);
	spin(500);
	ASSERT_FALSE(pending.is_feed);
	answer(ST_OK, 22, ck_now_ms(), "b");
	EXPECT_TRUE(pending.is_feed);
	EXPECT_EQ(pending.after, 22u);
}

// A whole read was under way when the table came from another host: its older
// rows were applied over the newer ones, as changes.
TEST_F(Watch, TableFromAnotherHostEndsTheReadUnderWay)
{
	answer(ST_OK, 20, 1000, "a");
	answer(ST_STALE, 0, 0);
	answer(ST_UNAVAILABLE, 0, 0);
	spin(500);
	Pending read = pending;
	ASSERT_FALSE(read.is_feed);
	struct rw_row row = { "newer", "v", 1, 30, false };
	struct rw_rows table = { &row, 1, 30, 2000 };
	gw_watch_apply_table(&watch, &table);
	EXPECT_EQ(pending.fn, nullptr);
	/* The second pause is twice the first one of 250 ms. */
	spin(1000);
	EXPECT_TRUE(pending.is_feed);
	EXPECT_EQ(pending.after, 30u);
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a", "newer" }));
}

// The history was dropped and the store does not answer any more. A host that
// lost the store earlier sends an older table than the known one.
TEST_F(Watch, OlderTableFromAnotherHostIsRefusedAfterLostHistory)
{
	answer(ST_OK, 30, 2000, "a");
	answer(ST_STALE, 0, 0);
	answer(ST_UNAVAILABLE, 0, 0);
	struct rw_row row = { "older", "v", 1, 20, false };
	struct rw_rows table = { &row, 1, 20, 1000 };
	gw_watch_apply_table(&watch, &table);
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a" }));
}

// The store that returns has another clock. Rows must not look fresh for longer
// than they are, or keys that were taken away are accepted without the store.
TEST_F(Watch, ClockOfAReturnedStoreDoesNotRaiseFreshness)
{
	for (int64_t jump_ms : { -50000, 50000 }) {
		int64_t clock_ms = 100000;

		store_era++;
		if (pending.is_feed)
			answer(ST_OK, 30, clock_ms, "x");
		answer(ST_OK, 30, clock_ms, "a");
		store_era++;
		answer(ST_OK, 31, clock_ms + jump_ms, "b");
		answer(ST_OK, 25, clock_ms + jump_ms + 5, "c");
		EXPECT_LE(watch.fresh_ms, ck_now_ms()) << jump_ms;
		EXPECT_GE(watch.fresh_ms, ck_now_ms() - 1000) << jump_ms;
	}
}

// When the reader had to read the whole table again, its followers must do so,
// too: no feed contains the rows of the gap any more.
TEST_F(Watch, FollowerReloadsWithItsReader)
{
	is_reader = false;
	answer(ST_OK, 10, ck_now_ms(), "a");
	int before = calls;
	receive_update(20, 20, ck_now_ms(), nullptr, true);
	EXPECT_EQ(calls, before + 1);
	EXPECT_FALSE(pending.is_feed);
}

TEST_F(Watch, FollowerAppliesUpdatesAndPollsAfterAGap)
{
	is_reader = false;
	answer(ST_OK, 10, ck_now_ms(), "a");
	int before = calls;
	receive_update(10, 11, ck_now_ms(), "b");
	EXPECT_EQ(watch.version, 11u);
	EXPECT_EQ(calls, before);
	receive_update(12, 13, ck_now_ms(), "d");
	EXPECT_EQ(watch.version, 11u);
	EXPECT_EQ(calls, before + 1);
	EXPECT_EQ(pending.after, 11u);
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a", "b" }));
}

// Freshness is measured on the store's clock, so a delayed update does not make
// the rows look fresh.
// An update may arrive twice, and begin with rows that are already known.
TEST_F(Watch, RepeatedRowsAreAppliedOnceAndFillAGap)
{
	is_reader = false;
	answer(ST_OK, 10, ck_now_ms(), "a");
	int before = calls;
	receive_update(10, 11, ck_now_ms(), "b");
	receive_update(10, 11, ck_now_ms(), "b");
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a", "b" }));
	/* The update from 11 to 12 is lost; the next one begins with it. */
	receive_update(11, 13, ck_now_ms(), "d");
	EXPECT_EQ(watch.version, 13u);
	EXPECT_EQ(calls, before);
	EXPECT_EQ(received_keys, (std::vector<std::string>{ "a", "b", "d" }));
}

TEST_F(Watch, DelayedUpdatesDoNotRaiseFreshness)
{
	is_reader = false;
	int64_t start_ms = ck_now_ms();

	answer(ST_OK, 10, 5000);
	int64_t fresh_ms = watch.fresh_ms;
	EXPECT_LE(fresh_ms, start_ms + 100);
	spin(200);
	receive_update(10, 10, 5001);
	EXPECT_LE(watch.fresh_ms, fresh_ms + 1);
	receive_update(10, 10, 4000);
	EXPECT_LE(watch.fresh_ms, fresh_ms + 1);
}

// The reader keeps version 10 for some seconds, as the store's answers hold no
// rows; a host that has read the whole table since then knows version 15.
TEST_F(Watch, ReaderThatLagsConfirmsWhatTheStoreStillHas)
{
	static const struct {
		const char *what;
		uint64_t from, to, newest;
		bool is_reload;
		bool is_confirmed;
	} cases[] = {
		{ "no change after 10 in a store at 15", 10, 10, 15, false,
		  true },
		{ "nor in one that is further", 10, 10, 40, false, true },
		{ "the store was at 14", 10, 10, 14, false, false },
		{ "the store begins anew", 1, 2, 3, false, false },
		{ "the reader has read the whole table", 10, 10, 15, true,
		  false },
	};

	is_reader = false;
	answer(ST_OK, 15, 1000, "a");
	int64_t store_ms = 1000;
	for (const auto &c : cases) {
		int64_t before_ms = watch.fresh_ms;

		spin(20);
		store_ms += 20;
		receive_update(c.from, c.to, store_ms, nullptr, c.is_reload,
			       c.newest);
		EXPECT_EQ(watch.fresh_ms > before_ms, c.is_confirmed) << c.what;
		EXPECT_EQ(watch.version, 15u) << c.what;
		if (!c.is_confirmed)
			store_ms -= 20;
	}
}

TEST_F(Watch, ReaderTellsTheVersionOfTheStore)
{
	answer(ST_OK, 10, 1000, "a");
	answer(ST_OK, 12, 2000);
	EXPECT_EQ(last_update.from, 10u);
	EXPECT_EQ(last_update.rows.version, 10u);
	EXPECT_EQ(last_update.newest, 12u);
}

TEST_F(Watch, StoreLossIsReportedOnceAndRetried)
{
	answer(ST_OK, 10, 1000, "a");
	answer(ST_UNAVAILABLE, 0, 0);
	spin(500);
	answer(ST_UNAVAILABLE, 0, 0);
	EXPECT_EQ(losses, 1);
	spin(1000);
	answer(ST_OK, 10, 3000);
	EXPECT_EQ(watch.version, 10u);
}

} // namespace
