// Engines behind a proxy that accepts connections even while they are down.
#include <gtest/gtest.h>

#include <memory>

#include "cluster.h"
#include "fleet.h"
#include "fleet_config.h"
#include "http.h"
#include "process.h"
#include "proxy.h"

using namespace harness;

namespace
{

const int down_ms = 700;
const char *const deadly = "ends engines";

// A request that was sent to an engine after it had crashed, and so never ran,
// must not become a suspect for the crash.
TEST(Proxied, RequestsSentToACrashedEngineAreNotSuspected)
{
	TemporaryDirectory directory;
	Fleet fleet;
	int asked = 0;

	fleet.add_engine("a1", "app");
	Proxy proxy(Fleet::store_ip(), Fleet::store_ip(),
		    fleet.engine_port("a1"));
	fleet.set_address("a1", proxy.address());
	fleet.crash_on(deadly, down_ms);
	fleet.put("op", "config",
		  fleet_config(
			  1,
			  { { "look", "idempotent", "app", 1, false, 1500 } },
			  "\"k1\""));
	auto gateway = start_gateway(fleet, directory.path, "h1");
	ASSERT_TRUE(wait_until(
		[] { return call(Fleet::readiness("h1")).status == 200; }));
	auto ask = [&](const std::string &body) {
		return call(Fleet::url("h1", "/look/x"), body,
			    { "Host: h", "Authorization: Bearer k1",
			      "X-Attempt-Id: p" + std::to_string(++asked),
			      "X-Deadline-Ms: 1500" },
			    "POST")
			.status;
	};

	for (int i = 1; i <= 3; i++) {
		ask(deadly + std::to_string(i));
		ASSERT_TRUE(wait_until([&] { return fleet.crashes() == i; }));
		EXPECT_NE(ask("harmless"), 200u);
		ASSERT_TRUE(wait_until([&] {
			return ask("another " + std::to_string(asked)) == 200;
		}));
	}
	EXPECT_TRUE(wait_until([&] { return ask("harmless") == 200; }, 3000));
}

} // namespace
