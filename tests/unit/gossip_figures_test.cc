// The mean age of member records must grow with the number of processes. Prints
// the figures of docs/CAPACITY.md.
#include <gtest/gtest.h>

#include "gossip_swarm.h"

namespace
{

TEST(GossipFigures, RecordAgeByProcessCount)
{
	double age_ms = 0;

	printf("zones processes mean age ms  not alive %%  dead %%\n");
	for (uint32_t count : { 27u, 54u, 108u, 216u }) {
		Swarm swarm(count, 1);

		Print(&swarm, 1, count);
		EXPECT_GT(swarm.MeanAgeMs(), age_ms);
		age_ms = swarm.MeanAgeMs();
	}
}

} // namespace
