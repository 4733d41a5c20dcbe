// With 27 processes on nine hosts, gossip without direct evidence must never
// mark a live process as dead, in one zone or in three.
#include <gtest/gtest.h>

#include "gossip_swarm.h"

namespace
{

TEST(GossipDead, NoLiveProcessIsMarkedDeadAtNineHosts)
{
	for (uint32_t zones : { 1u, 3u }) {
		Swarm swarm(27, zones);

		Print(&swarm, zones, 27);
		EXPECT_EQ(swarm.ShareDead(), 0);
	}
}

} // namespace
