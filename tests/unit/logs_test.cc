// Log lines of several hosts: what is selected, and in which order.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "ctl/lo.h"
}

namespace
{

std::string line(const std::string &time, const std::string &host,
		 const std::string &event, const std::string &more)
{
	return "{\"time\":\"2026-09-25T06:17:" + time +
	       "Z\",\"level\":\"info\",\"host\":\"" + host +
	       "\",\"message\":\"m\",\"event\":\"" + event + "\"" + more +
	       "}\n";
}

// Lines of two hosts, not in order, as files are read one after the other.
const std::vector<std::string> lines = {
	line("15.900000", "h2", "request_ended",
	     ",\"request\":\"r1\",\"outcome\":\"stale_config\""),
	line("10.000000", "h2", "store_lost", ",\"reason\":\"503\""),
	line("12.000000", "h2", "request_sent", ",\"request\":\"r2\""),
	line("12.500000", "h2", "lease", ",\"outcome\":\"lost\""),
	"no log line\n",
	line("14.000000", "h1", "request_sent",
	     ",\"request\":\"r1\",\"engine\":\"e1\""),
	line("13.900000", "h1", "engine_entry", ",\"engine\":\"e1\""),
	line("01.000000", "h1", "start", ""),
	"{\"time\":\"yesterday\"}\n",
};

std::string selected(const char *id, int64_t around_ms, bool is_json = false)
{
	struct lo_list list;
	char *text = nullptr;
	size_t bytes = 0;
	FILE *out = open_memstream(&text, &bytes);
	std::string result;

	lo_init(&list);
	for (const std::string &l : lines)
		lo_add(&list, l.c_str());
	lo_select(&list, id, around_ms);
	lo_print(&list, is_json, out);
	EXPECT_EQ(list.unreadable, 2u);
	lo_finish(&list);
	fclose(out);
	result = text;
	free(text);
	return result;
}

TEST(Logs, LinesThatNameTheIdByTime)
{
	EXPECT_EQ(selected("r1", 0),
		  "2026-09-25T06:17:14.000000Z h1 request_sent request=r1 "
		  "engine=e1\n"
		  "2026-09-25T06:17:15.900000Z h2 request_ended request=r1 "
		  "outcome=stale_config\n");
	EXPECT_EQ(selected("none", 5000), "");
}

TEST(Logs, AroundThemWhatTheirHostsLearned)
{
	const struct {
		const char *id;
		int64_t around_ms;
		std::vector<const char *> events;
	} cases[] = {
		{ "r1",
		  200,
		  { "engine_entry", "request_sent", "request_ended" } },
		{ "r1",
		  6000,
		  { "store_lost", "lease", "engine_entry", "request_sent",
		    "request_ended" } },
		{ "e1", 0, { "engine_entry", "request_sent" } },
		{ "r2", 600, { "request_sent", "lease" } },
	};

	for (const auto &c : cases) {
		std::string text = selected(c.id, c.around_ms);
		size_t at = 0;
		size_t count = 0;

		for (const char *event : c.events) {
			at = text.find(event, at);
			EXPECT_NE(at, std::string::npos)
				<< c.id << " " << event << "\n"
				<< text;
		}
		for (char byte : text)
			count += byte == '\n';
		EXPECT_EQ(count, c.events.size()) << c.id << "\n" << text;
	}
}

TEST(Logs, JsonLinesStayAsTheyWere)
{
	EXPECT_EQ(selected("r2", 0, true), lines[2]);
}

} // namespace
