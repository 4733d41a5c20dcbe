// The harness: normalized text, and what became of a process.
#include <gtest/gtest.h>
#include <signal.h>

#include "cluster.h"
#include "golden.h"

using namespace harness;

namespace
{

TEST(HarnessTest, NormalizeReplacesWhatDiffersFromRunToRun)
{
	struct {
		const char *text;
		const char *normalized;
	} cases[] = {
		{ "at 127.0.9.1:80 and 127.0.9.2:80, 127.0.9.1:80",
		  "at <address 1> and <address 2>, <address 1>" },
		{ "Date: Fri, 04 Dec 2026 02:25:10 GMT", "Date: <date>" },
		{ "1796351109793:7 1796351109794", "<time 1>:7 <time 2>" },
		{ "block b5dd78bdb7ca466b", "block <id 1>" },
		{ "tokens 100, text 2f9 513", "tokens 100, text 2f9 513" },
	};

	for (const auto &c : cases)
		EXPECT_EQ(normalize(c.text), c.normalized);
}

TEST(HarnessTest, ProcessTellsHowItEnded)
{
	TemporaryDirectory directory;
	struct {
		std::vector<std::string> command;
		int signal_number;
		int exit_code;
	} cases[] = {
		{ { BALSAMPIN_PROGRAM, "--version" }, 0, 0 },
		{ { BALSAMPIN_PROGRAM, "no-such-command" }, 0, 64 },
		{ { "/bin/sleep", "60" }, SIGTERM, -1 },
	};

	for (const auto &c : cases) {
		Process process(c.command, directory.path + "/log");

		if (c.signal_number)
			process.signal(c.signal_number);
		EXPECT_EQ(process.wait(), c.exit_code);
	}
}

} // namespace
