// Kernel: messages to running and stopped tasks, drain, clocks, time line.
#include <gtest/gtest.h>
#include <signal.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "kernel/ck.h"
#include "kernel/kn.h"
#include "kernel/kn_registry.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
}

namespace
{

struct Recorder {
	std::vector<uint64_t> cookies;
	bool is_busy = false;
	bool was_drained = false;
	int stopped = 0;
};

void record(struct kn_task *task, struct kn_message *message)
{
	static_cast<Recorder *>(task->state)
		->cookies.push_back(message->cookie);
}

void drain(struct kn_task *task)
{
	static_cast<Recorder *>(task->state)->was_drained = true;
}

bool is_idle(struct kn_task *task)
{
	return !static_cast<Recorder *>(task->state)->is_busy;
}

void stop(struct kn_task *task)
{
	static_cast<Recorder *>(task->state)->stopped++;
}

const struct kn_task_ops recorder_ops = { "recorder", nullptr, record,
					  drain,      is_idle, stop };

class Kernel : public testing::Test
{
      protected:
	// TearDown() stops the tasks, so their state must outlive the test
	// body.
	std::deque<Recorder> states;
	struct kn_kernel kernel;

	Recorder &add_state()
	{
		return states.emplace_back();
	}

	void SetUp() override
	{
		struct kn_desc desc = {};

		desc.no_signals = true;
		ASSERT_EQ(kn_init(&kernel, &desc), ST_OK);
	}
	void TearDown() override
	{
		kn_finish(&kernel);
	}
	void post(struct kn_handle to, uint64_t cookie)
	{
		struct kn_message m = {};

		m.type = 1;
		m.cookie = cookie;
		kn_post(&kernel, to, &m);
	}
};

TEST_F(Kernel, MessagesArriveInOrderWhileTheQueueGrows)
{
	Recorder &r = add_state();
	struct kn_handle h;
	const uint64_t count = 3000;

	ASSERT_EQ(kn_spawn(&kernel, &recorder_ops, &r, &h), ST_OK);
	for (uint64_t i = 0; i < count; i++)
		post(h, i);
	kn_drain(&kernel);
	kn_run(&kernel);
	ASSERT_EQ(r.cookies.size(), count);
	for (uint64_t i = 0; i < count; i++)
		EXPECT_EQ(r.cookies[i], i);
	EXPECT_TRUE(r.was_drained);
}

TEST_F(Kernel, MessageToAStoppedTaskNeverReachesItsSuccessor)
{
	Recorder &first = add_state(), &second = add_state();
	struct kn_handle old, fresh;

	ASSERT_EQ(kn_spawn(&kernel, &recorder_ops, &first, &old), ST_OK);
	post(old, 1);
	kn_stop(&kernel, old);
	ASSERT_EQ(kn_spawn(&kernel, &recorder_ops, &second, &fresh), ST_OK);
	EXPECT_EQ(fresh.slot, old.slot);
	post(old, 2);
	post(fresh, 3);
	kn_drain(&kernel);
	kn_run(&kernel);
	EXPECT_TRUE(first.cookies.empty());
	EXPECT_EQ(second.cookies, std::vector<uint64_t>{ 3 });
	EXPECT_EQ(kernel.dropped_messages, 2u);
	EXPECT_EQ(first.stopped, 1);
}

TEST_F(Kernel, DrainWaitsForTheLastTask)
{
	Recorder &r = add_state();
	struct kn_handle h;
	ev_timer timer;

	r.is_busy = true;
	ASSERT_EQ(kn_spawn(&kernel, &recorder_ops, &r, &h), ST_OK);
	ev_timer_init(
		&timer,
		[](struct ev_loop *, ev_timer *t, int) {
			static_cast<Recorder *>(t->data)->is_busy = false;
		},
		0.2, 0.0);
	timer.data = &r;
	ev_timer_start(kernel.loop, &timer);
	kn_drain(&kernel);
	int64_t began_ms = ck_now_ms();
	kn_run(&kernel);
	EXPECT_GE(ck_now_ms() - began_ms, 190);
	EXPECT_FALSE(r.is_busy);
}

TEST(Clock, EffectHasAHigherStampThanItsCause)
{
	struct ck_hlc slow = { 0 }, fast = { 0 };
	uint64_t cause = ck_hlc_tick(&fast, 1000500);

	ck_hlc_observe(&slow, cause, 1000000);
	EXPECT_GT(ck_hlc_tick(&slow, 1000000), cause);
	EXPECT_GT(ck_hlc_tick(&slow, 1000000), cause + 1);
}

TEST(Clock, StampTooFarAheadIsIgnored)
{
	struct ck_hlc hlc = { 0 };
	uint64_t far_ahead = (uint64_t)(1000000 + CK_HLC_MAX_AHEAD_MS + 1)
			     << CK_HLC_COUNTER_BITS;

	ck_hlc_observe(&hlc, far_ahead, 1000000);
	EXPECT_LT(ck_hlc_tick(&hlc, 1000000), far_ahead);
}

TEST(TimeLine, KeepsTheNewestAndCountsTheRest)
{
	std::vector<struct tl_event> events(TL_CAPACITY + 10);

	for (int i = 0; i < TL_CAPACITY + 5; i++)
		tl_record(TL_REQUEST_DONE, "r", "n=%d", i);
	EXPECT_EQ(tl_overwritten(), 5u);
	uint32_t count =
		tl_read(0, events.data(), static_cast<uint32_t>(events.size()));
	ASSERT_EQ(count, (uint32_t)TL_CAPACITY);
	EXPECT_STREQ(events[0].detail, "n=5");
	for (uint32_t i = 1; i < count; i++)
		EXPECT_LT(events[i - 1].stamp, events[i].stamp);
	for (uint32_t kind = 0; kind < TL_KIND_COUNT; kind++)
		EXPECT_EQ(tl_kind_find(tl_kind_name(kind)), kind);
}

// A supervisor may repeat SIGTERM while the process finishes its shutdown. That
// signal must not kill the process, which would lose its exit code 0.
TEST(KernelShutdown, SigtermAfterTheLoopHasEndedIsIgnored)
{
	auto run = [] {
		struct kn_kernel kernel;
		struct kn_desc desc = {};

		desc.name = "test";
		kn_init(&kernel, &desc);
		kn_drain(&kernel);
		kn_run(&kernel);
		kn_finish(&kernel);
		raise(SIGTERM);
		raise(SIGINT);
		exit(0);
	};

	EXPECT_EXIT(run(), testing::ExitedWithCode(0), "");
}

} // namespace
