// Processes that stop for longer than every time limit and go on: nothing that
// a caller gets is wrong, cut or doubled.
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include "cluster.h"
#include "load.h"

using namespace harness;

namespace
{

// Longer than a member of the zone may be silent (MB_DEAD_AFTER_MS).
const uint32_t FREEZE_MS = 7000;

Options two_hosts()
{
	Options options;

	options.hosts = 2;
	options.engines = 3;
	return options;
}

class FreezeTest : public testing::Test
{
      protected:
	Cluster cluster{ two_hosts() };

	void SetUp() override
	{
		cluster.start();
	}
	std::string completions(uint32_t host) const
	{
		return cluster.entry_url(host) + "/v1/completions";
	}
	void freeze(uint32_t host, const std::string &role)
	{
		cluster.process(host, role).signal(SIGSTOP);
	}
	void thaw(uint32_t host, const std::string &role)
	{
		cluster.process(host, role).signal(SIGCONT);
	}
};

TEST_F(FreezeTest, FrozenIndexAndControlFailNoRequest)
{
	Load load({ cluster.entry_url(0), cluster.entry_url(1) }, 4, 10);

	ASSERT_TRUE(load.more(10));
	freeze(0, "index");
	freeze(0, "control");
	EXPECT_TRUE(load.more(10));
	usleep(FREEZE_MS * 1000);
	EXPECT_TRUE(load.more(10));
	thaw(0, "index");
	thaw(0, "control");
	EXPECT_TRUE(load.more(20));
	load.stop();
	EXPECT_EQ(load.failed, 0);
	EXPECT_TRUE(cluster.stop());
}

TEST_F(FreezeTest, FrozenEntryEndsItsStreamsWholeAndServesAgain)
{
	Stream open(completions(0), completion("frozen", 300, true),
		    Cluster::team(), 60000);
	Load elsewhere({ cluster.entry_url(1) }, 2, 10);

	ASSERT_TRUE(open.wait_events(3));
	freeze(0, "entry");
	usleep(FREEZE_MS * 1000);
	EXPECT_TRUE(elsewhere.more(10));
	thaw(0, "entry");
	expect_whole(open, "frozen", 300);
	Stream again(completions(0), completion("again", 10, true),
		     Cluster::team());
	expect_whole(again, "again", 10);
	elsewhere.stop();
	EXPECT_EQ(elsewhere.failed, 0);
	EXPECT_TRUE(cluster.stop());
}

// The holder of a claim freezes while its call is at the service; a repeat by
// another host must not run it again.
TEST_F(FreezeTest, FrozenEntryDoublesNoDispatch)
{
	Headers headers = Cluster::team();
	std::string path = "/v1/services/dispatch/send";
	Reply repeat, last;

	headers.push_back("Idempotency-Key: letter-9");
	cluster.stand_ins->fault("service",
				 "{\"service\":\"dispatch\",\"slow_ms\":1500}");
	Stream first(cluster.entry_url(0) + path, "{\"to\":9}", headers, 60000);
	ASSERT_TRUE(wait_until([&] {
		return cluster.stand_ins->record("/services/dispatch/runs") !=
		       "0";
	}));
	freeze(0, "entry");
	repeat = call(cluster.entry_url(1) + path, "{\"to\":9}", headers);
	EXPECT_EQ(repeat.status, 409) << repeat.body;
	thaw(0, "entry");
	first.finish();
	EXPECT_TRUE(wait_until([&] {
		last = call(cluster.entry_url(1) + path, "{\"to\":9}", headers);
		return last.status == 200;
	}));
	EXPECT_EQ(cluster.stand_ins->number("/services/dispatch/runs"), 1);
	EXPECT_TRUE(cluster.stop());
}

} // namespace
